package proxy

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"robindrum/internal/backend"
	"robindrum/internal/testbed"
)

// Silent clients connect faster than any of them reaches the minimum idle time, on a clock that barely advances. The oldest silent
// ones are evicted: neither a client whose request arrives a moment after its connection, nor one whose request waits. The number of
// descriptors stays within the limit.
func TestOldestSilentClientIsEvicted(t *testing.T) {
	testbed.Leaks(t)
	synctest.Test(t, func(t *testing.T) {
		const limit = 16
		budget := backend.NewBudget(limit)
		f := &Front{conns: newClientSet(budget, false)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		var all []*client
		defer func() {
			for _, k := range all {
				_ = k.Close()
			}
		}()
		add := func(text string) (k *client, taken bool, far net.Conn) {
			far, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { far.Close() })
			nc, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			k = &client{TCPConn: nc.(*net.TCPConn), front: f}
			if k.raw, err = k.SyscallConn(); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(far, text); err != nil { // over loopback it has arrived when this returns
				t.Fatal(err)
			}
			all = append(all, k)
			taken = f.conns.add(k)
			time.Sleep(time.Microsecond)
			if n := budget.Used(); n > limit {
				t.Fatalf("%d descriptors of %d are held", n, limit)
			}
			return k, taken, far
		}
		var silent []*client
		flood := func(n int) {
			t.Helper()
			for range n {
				k, taken, _ := add("")
				if !taken {
					t.Fatal("a silent one is shut at once, though there are older ones")
				}
				silent = append(silent, k)
			}
		}
		flood(14)
		k, taken, far := add("")
		if !taken || k.closed.Load() {
			t.Fatal("it is shut as soon as it has connected")
		}
		if !silent[0].closed.Load() || silent[1].closed.Load() {
			t.Error("it is not the oldest of the silent ones that makes room")
		}
		flood(13)
		if k.closed.Load() {
			t.Fatal("it is shut, though all others are younger")
		}
		if _, err := io.WriteString(far, "GET / HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		flood(40)
		if k.closed.Load() {
			t.Error("it is shut over its request")
		}
		// Where all clients have sent something, only a silent one can be evicted.
		for i := range silent {
			if !silent[i].closed.Load() {
				add("GET / HTTP/1.1\r\n")
			}
		}
		if _, taken, _ := add(""); taken {
			t.Error("a silent one is taken, though each other has something to say")
		}
	})
}
