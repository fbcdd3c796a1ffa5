package proxy

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"robindrum/internal/backend"
	"robindrum/internal/testbed"
)

// holdReaders blocks all reads from the current clients until it is ended, as on a node so busy that the goroutines that would see
// clients leave are not scheduled.
func (w *world) holdReaders(t *testing.T) (end func()) {
	held := w.conns.list()
	for _, k := range held {
		k.reading.Lock()
	}
	end = sync.OnceFunc(func() {
		for _, k := range held {
			k.reading.Unlock()
		}
	})
	t.Cleanup(end)
	return end
}

var leaves = map[string]func(net.Conn){
	"closed":      func(c net.Conn) { c.Close() },
	"reset":       testbed.Reset,
	"half closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
}

// A client leaves, and the end of its stream has not been read yet: in whichever state its request is, no further attempt begins.
func TestNoAttemptAfterTheClientLeft(t *testing.T) {
	turnedAway := "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	// Each returns a world with the client's request in one state, and a function that lets it continue from there.
	places := map[string]func(t *testing.T, came chan string) (w *world, c *peer, goOn func()){
		"held by the module": func(t *testing.T, came chan string) (*world, *peer, func()) {
			w := start(t, nil) // no list yet
			b := testbed.NewPeer(t, wholes(came))
			c := w.dial(t)
			c.send(head("GET", "get"))
			testbed.Eventually(t, "the request", func() bool { return w.held() == 1 })
			return w, c, func() { w.list(b.Addr) }
		},
		"between an outcome and its retry": func(t *testing.T, came chan string) (*world, *peer, func()) {
			first, goOn := make(chan struct{}, 1), make(chan struct{})
			b := testbed.NewBackend(t, func(s testbed.ReceivedRequest, n int) string {
				if n == 0 {
					first <- struct{}{}
					<-goOn
					return turnedAway
				}
				came <- s.RequestURI
				return ok
			})
			w := start(t, nil, b.Addr, b.Addr)
			c := w.dial(t)
			c.send(head("GET", "get"))
			testbed.Receive(t, "the first attempt", first)
			return w, c, func() { close(goOn) }
		},
		"between a hedge's timer and its send": func(t *testing.T, came chan string) (*world, *peer, func()) {
			first := make(chan struct{}, 1)
			b := testbed.NewPeer(t, func(c net.Conn, n int) {
				if n > 0 {
					wholes(came)(c, n)
					return
				}
				_, _ = c.Read(make([]byte, 4<<10))
				first <- struct{}{}
				_, _ = io.Copy(io.Discard, c)
			})
			w := start(t, func(o *Options) { o.Settings.ParallelAttempts = true }, b.Addr, b.Addr)
			c := w.dial(t)
			c.send(head("GET", "get", "X-Trace-Id: q"))
			testbed.Receive(t, "the first attempt", first)
			return w, c, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				(*host)(w.Core).Send("q", "s1", 0)
			}
		},
		"in a dial": func(t *testing.T, came chan string) (*world, *peer, func()) {
			l := testbed.NewDelayedPeer(t, wholes(came))
			w := start(t, nil, l.Addr)
			c := w.dial(t)
			c.send(head("GET", "get"))
			testbed.Eventually(t, "the attempt", func() bool { return w.Stats().Sends == 1 })
			return w, c, l.Open
		},
	}
	for place, at := range places {
		for how, leave := range leaves {
			t.Run(place+", "+how, func(t *testing.T) {
				testbed.Leaks(t)
				came := make(chan string, 9)
				w, c, goOn := at(t, came)
				read := w.holdReaders(t)
				leave(c.Conn)
				goOn()
				testbed.Eventually(t, "its end to be seen", func() bool { return w.Stats().ClientLeft == 1 })
				read()
				testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 && w.ConnectionCount() == 0 })
				if len(came) != 0 {
					t.Errorf("sent on: %q", <-came)
				}
				if s := w.Stats(); s.Rejected+s.Served+s.Failed != 0 {
					t.Errorf("%+v", s)
				}
			})
		}
	}
}

// A client leaves in the middle of its request's body: nothing is forwarded.
func TestClientLeavesWithinItsBody(t *testing.T) {
	for how, leave := range leaves {
		t.Run(how, func(t *testing.T) {
			testbed.Leaks(t)
			came := make(chan string, 9)
			b := testbed.NewPeer(t, wholes(came))
			w := start(t, nil, b.Addr)
			c := w.dial(t)
			c.send(head("POST", "put", "Idempotency-Key: k", "Content-Length: 4") + "bo")
			testbed.Eventually(t, "the body's begin to be read", func() bool {
				l := w.conns.list()
				if len(l) == 0 {
					return false
				}
				waits, _ := l[0].peek()
				return !waits && l[0].served.Load()
			})
			leave(c.Conn)
			testbed.Eventually(t, "its end to be seen", func() bool { return w.ConnectionCount() == 0 })
			if s := w.Stats(); s.Accepted != 0 || len(came) != 0 {
				t.Errorf("%d taken, %d sent on", s.Accepted, len(came))
			}
		})
	}
}

// stands reports whether a request was read from the client and the last check that the client is connected is over, so that the
// request goes to the balancer next. The flag served is not enough: it is set before that check, and a client that leaves in between
// is answered without the balancer.
func stands(k *client) bool {
	k.reading.Lock()
	defer k.reading.Unlock()
	return k.served.Load() && !k.bytesRead
}

// 500 clients leave at once, and the ends of their streams are not read before their requests continue: none of these is forwarded,
// and a client that is still connected is served.
func TestManyClientsLeaveAtOnce(t *testing.T) {
	const many = 500
	// Each is a state of the requests when their clients leave, and a function that lets them continue.
	type place struct {
		w      *world
		before func(all []*peer)
		stand  func() bool // all requests are in this state
		goOn   func()
	}
	shape := func(o *Options) { o.Budget = backend.NewBudget(4 * many) }
	places := map[string]func(t *testing.T, script func(net.Conn, int)) place{
		"held by the module": func(t *testing.T, script func(net.Conn, int)) place {
			w := start(t, shape) // no list yet
			b := testbed.NewPeer(t, script)
			return place{w, nil, func() bool { return w.held() == many }, func() { w.list(b.Addr) }}
		},
		"unread in their sockets": func(t *testing.T, script func(net.Conn, int)) place {
			w := start(t, shape, testbed.NewPeer(t, script).Addr)
			var read func()
			return place{w, func([]*peer) {
				testbed.Eventually(t, "them", func() bool { return w.ConnectionCount() == many })
				read = w.holdReaders(t)
			}, func() bool {
				for _, k := range w.conns.list() {
					if waits, _ := k.peek(); !waits {
						return false
					}
				}
				return true
			}, func() { read() }}
		},
		"read, before the module has them": func(t *testing.T, script func(net.Conn, int)) place {
			w := start(t, shape, testbed.NewPeer(t, script).Addr)
			unlock := sync.OnceFunc(w.mu.Unlock)
			return place{w, func([]*peer) {
				w.mu.Lock()
				t.Cleanup(unlock)
			}, func() bool {
				l := w.conns.list()
				for _, k := range l {
					if !stands(k) {
						return false
					}
				}
				return len(l) == many
			}, unlock}
		},
		"in their dials": func(t *testing.T, script func(net.Conn, int)) place {
			l := testbed.NewDelayedPeer(t, script)
			w := start(t, shape, slices.Repeat([]string{l.Addr}, 60)...)
			// The balancer sends no more than some 60 to servers that have answered nothing yet; it rejects the others.
			// Retries are sent as well, so the accepted requests are counted.
			return place{w, nil, func() bool {
				s := w.Stats()
				return s.Accepted == many && s.Sends+s.Rejected >= many && s.Sends >= 40
			}, l.Open}
		},
	}
	for name, at := range places {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			sent := map[string]int{}
			came := make(chan string, 2*many)
			p := at(t, wholes(came))
			w := p.w
			var all []*peer
			for range many {
				all = append(all, w.dial(t))
			}
			if p.before != nil {
				p.before(all)
			}
			for i, c := range all {
				c.send(head("GET", "get", fmt.Sprint("X-Trace-Id: gone", i)))
			}
			testbed.Eventually(t, "them to stand there", p.stand)
			read := func() {}
			if name != "unread in their sockets" {
				read = w.holdReaders(t)
			}
			for _, c := range all {
				c.Close()
			}
			p.goOn()
			if name == "in their dials" { // the kernel completes them over some seconds: some before this, the rest after it
				testbed.Eventually(t, "an end to be seen", func() bool { return w.Stats().ClientLeft > 0 })
				read()
			}
			for code, i := 0, 0; code != 200; i++ { // the balancer may reject some, as it has served nothing yet
				c := w.dial(t)
				c.send(head("GET", "get", fmt.Sprint("X-Trace-Id: there", i)))
				code, _, _ = c.answer(t)
				c.Close()
			}
			if name != "unread in their sockets" {
				testbed.Eventually(t, "their end", func() bool { s := w.Stats(); return s.ClientLeft+s.Rejected >= many })
			}
			read()
			testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 && w.ConnectionCount() == 0 })
			for len(came) > 0 {
				_, id, _ := strings.Cut(<-came, "X-Trace-Id: ")
				id, _, _ = strings.Cut(id, "\r\n")
				sent[strings.TrimRight(id, "0123456789")]++
			}
			if sent["gone"] != 0 || sent["there"] == 0 {
				t.Errorf("sent on %v", sent)
			}
			if s := w.Stats(); s.Served != uint64(sent["there"]) {
				t.Errorf("%+v", s)
			}
		})
	}
}
