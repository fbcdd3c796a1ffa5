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

// Silent clients connect so fast that none of them reaches the minimum idle time; the test's clock barely advances. The oldest silent
// clients are evicted, but neither a client whose request arrives shortly after its connection nor a client whose request waits to be
// read. The number of descriptors stays within the limit.
func TestOldestSilentClientIsEvicted(t *testing.T) {
	testbed.Leaks(t)
	synctest.Test(t, func(t *testing.T) {
		const limit = 16
		budget := backend.NewBudget(limit)
		f := &Front{conns: newClientSet(budget, false)}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		var all []*client
		defer func() {
			for _, c := range all {
				_ = c.Close()
			}
		}()
		add := func(text string) (c *client, added bool, clientSide net.Conn) {
			clientSide, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { clientSide.Close() })
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c = &client{TCPConn: conn.(*net.TCPConn), front: f}
			if c.raw, err = c.SyscallConn(); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(clientSide, text); err != nil { // over loopback the text has arrived when this returns
				t.Fatal(err)
			}
			all = append(all, c)
			added = f.conns.add(c)
			time.Sleep(time.Microsecond)
			if n := budget.Used(); n > limit {
				t.Fatalf("got %d descriptors in use, want at most %d", n, limit)
			}
			return c, added, clientSide
		}
		var silent []*client
		addSilent := func(n int) {
			t.Helper()
			for range n {
				c, added, _ := add("")
				if !added {
					t.Fatal("new silent client was closed although there are older ones")
				}
				silent = append(silent, c)
			}
		}
		addSilent(14)
		c, added, clientSide := add("")
		if !added || c.closed.Load() {
			t.Fatal("client was closed when it connected")
		}
		if !silent[0].closed.Load() || silent[1].closed.Load() {
			t.Error("want the oldest silent client closed and the second oldest open")
		}
		addSilent(13)
		if c.closed.Load() {
			t.Fatal("client was closed after 13 younger clients connected, want it open")
		}
		if _, err := io.WriteString(clientSide, "GET / HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		addSilent(40)
		if c.closed.Load() {
			t.Error("client was closed after it had sent a request")
		}
		// If all other clients have sent something, only the new silent client can be evicted.
		for i := range silent {
			if !silent[i].closed.Load() {
				add("GET / HTTP/1.1\r\n")
			}
		}
		if _, added, _ := add(""); added {
			t.Error("add of a silent client returned true although all other clients have sent something")
		}
	})
}
