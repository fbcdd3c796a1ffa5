// Package testbed holds scripted peers on loopback sockets for the tests of the node's packages.
package testbed

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"
)

// Patience is how long a test waits for what must happen before it calls it missing.
const Patience = 10 * time.Second

// Peer listens on loopback and hands each connection to a script.
type Peer struct {
	Addr string
	l    net.Listener

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
	all    sync.WaitGroup
}

// NewPeer runs script for each connection, numbered from 0, and closes the connection when it returns.
func NewPeer(t testing.TB, script func(c net.Conn, n int)) *Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Peer{Addr: l.Addr().String(), l: l}
	p.all.Go(func() { p.accept(script) })
	t.Cleanup(p.Close)
	return p
}

func (p *Peer) accept(script func(c net.Conn, n int)) {
	for n := 0; ; n++ {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.closed { // accepted as Close came
			c.Close()
		}
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		p.all.Go(func() {
			defer c.Close()
			script(c, n)
		})
	}
}

// Conns is how many connections came.
func (p *Peer) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close ends the peer and all its connections.
func (p *Peer) Close() {
	p.l.Close()
	p.mu.Lock()
	p.closed = true
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.all.Wait()
}

// Seen is a request as a backend read it, with its body.
type Seen struct {
	*http.Request
	Text []byte
	Conn int
}

// Backend is a peer that reads whole requests.
type Backend struct {
	*Peer
	mu   sync.Mutex
	seen []Seen
}

// NewBackend answers each request with what reply gives, as it is on the wire; the connection is closed where
// that is nothing. Requests are numbered from 0.
func NewBackend(t testing.TB, reply func(s Seen, n int) string) *Backend {
	t.Helper()
	b := &Backend{}
	b.Peer = NewPeer(t, func(c net.Conn, conn int) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			text, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			s := Seen{req, text, conn}
			b.mu.Lock()
			n := len(b.seen)
			b.seen = append(b.seen, s)
			b.mu.Unlock()
			out := reply(s, n)
			if out == "" {
				return
			}
			if _, err := io.WriteString(c, out); err != nil {
				return
			}
		}
	})
	return b
}

// Seen gives the requests that came whole.
func (b *Backend) Seen() []Seen {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Seen(nil), b.seen...)
}

// Full is an address at which connections never come up: its backlog is full.
func Full(t testing.TB) string {
	t.Helper()
	addr, _ := fullListener(t)
	return addr
}

// Late is an address at which connections come up only once it is opened.
type Late struct {
	*Peer
	open func()
}

// NewLate is NewPeer for connections that do not come up before Open.
func NewLate(t testing.TB, script func(c net.Conn, n int)) *Late {
	t.Helper()
	addr, listener := fullListener(t)
	l := &Late{Peer: &Peer{Addr: addr}}
	l.open = func() { l.l = listener(); l.all.Go(func() { l.accept(script) }) }
	t.Cleanup(l.Close)
	return l
}

// Open lets connections come up, those on their way too: as the kernel tries again, within some seconds.
func (l *Late) Open() { l.open() }

// Close ends the peer and all its connections.
func (l *Late) Close() {
	if l.l != nil {
		l.Peer.Close()
	}
}

// Refusing is an address at which nothing listens.
func Refusing(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Reset closes a connection so that the other side sees it broken.
func Reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// Eventually waits until ok.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// Within gives what comes through ch.
func Within[T any](t testing.TB, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(Patience):
		t.Fatalf("never came: %s", what)
		panic("unreachable")
	}
}

// Leaks fails the test if it leaves goroutines or descriptors behind. It is called first, so that it looks last.
func Leaks(t testing.TB) {
	t.Helper()
	goroutines, files := runtime.NumGoroutine(), descriptors(t)
	t.Cleanup(func() {
		end := time.Now().Add(Patience)
		for runtime.NumGoroutine() > goroutines || descriptors(t) > files {
			if time.Now().After(end) {
				var b bytes.Buffer
				b.Grow(1 << 20)
				stack := b.AvailableBuffer()[:1<<20]
				t.Fatalf("left behind: goroutines %d to %d, descriptors %d to %d\n%s", goroutines,
					runtime.NumGoroutine(), files, descriptors(t), stack[:runtime.Stack(stack, true)])
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
}

func descriptors(t testing.TB) int {
	d, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("descriptors cannot be counted here: ", err)
	}
	return len(d)
}
