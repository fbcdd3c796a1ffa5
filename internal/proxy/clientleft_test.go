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

// blockReads blocks all reads from the current clients until unblock is called. This simulates a node so busy that the goroutines that
// detect disconnects are not scheduled.
func (node *testNode) blockReads(t *testing.T) (unblock func()) {
	clients := node.conns.list()
	for _, c := range clients {
		c.reading.Lock()
	}
	unblock = sync.OnceFunc(func() {
		for _, c := range clients {
			c.reading.Unlock()
		}
	})
	t.Cleanup(unblock)
	return unblock
}

// disconnects lists the ways in which a client can disconnect.
var disconnects = map[string]func(net.Conn){
	"closed":      func(c net.Conn) { c.Close() },
	"reset":       testbed.Reset,
	"half closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
}

// A client disconnects, and the node has not read the end of the stream yet. Whatever state the request is in, no further attempt
// starts.
func TestNoAttemptAfterTheClientLeft(t *testing.T) {
	rejection := "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	// Each function returns a node with a client whose request is in the given state, and a function that lets the request continue.
	states := map[string]func(t *testing.T, arrived chan string) (node *testNode, c *clientConn, release func()){
		"waiting in the balancer": func(t *testing.T, arrived chan string) (*testNode, *clientConn, func()) {
			node := startNode(t, nil) // no endpoint list yet
			b := testbed.NewPeer(t, answerRequests(arrived))
			c := node.dial(t)
			c.send(requestHead("GET", "get"))
			testbed.Eventually(t, "the request", func() bool { return node.pending() == 1 })
			return node, c, func() { node.list(b.Addr) }
		},
		"between an outcome and its retry": func(t *testing.T, arrived chan string) (*testNode, *clientConn, func()) {
			first, release := make(chan struct{}, 1), make(chan struct{})
			b := testbed.NewBackend(t, func(s testbed.ReceivedRequest, n int) string {
				if n == 0 {
					first <- struct{}{}
					<-release
					return rejection
				}
				arrived <- s.RequestURI
				return okResponse
			})
			node := startNode(t, nil, b.Addr, b.Addr)
			c := node.dial(t)
			c.send(requestHead("GET", "get"))
			testbed.Receive(t, "the first attempt", first)
			return node, c, func() { close(release) }
		},
		"between a hedge's timer and its attempt": func(t *testing.T, arrived chan string) (*testNode, *clientConn, func()) {
			first := make(chan struct{}, 1)
			b := testbed.NewPeer(t, func(c net.Conn, n int) {
				if n > 0 {
					answerRequests(arrived)(c, n)
					return
				}
				_, _ = c.Read(make([]byte, 4<<10))
				first <- struct{}{}
				_, _ = io.Copy(io.Discard, c)
			})
			node := startNode(t, func(o *Options) { o.Settings.ParallelAttempts = true }, b.Addr, b.Addr)
			c := node.dial(t)
			c.send(requestHead("GET", "get", "X-Trace-Id: q"))
			testbed.Receive(t, "the first attempt", first)
			return node, c, func() {
				node.mu.Lock()
				defer node.mu.Unlock()
				(*host)(node.Core).Send("q", "s1", 0)
			}
		},
		"while dialing": func(t *testing.T, arrived chan string) (*testNode, *clientConn, func()) {
			peer := testbed.NewDelayedPeer(t, answerRequests(arrived))
			node := startNode(t, nil, peer.Addr)
			c := node.dial(t)
			c.send(requestHead("GET", "get"))
			testbed.Eventually(t, "the attempt", func() bool { return node.Stats().Sends == 1 })
			return node, c, peer.Open
		},
	}
	for state, prepare := range states {
		for disconnectName, disconnect := range disconnects {
			t.Run(state+", "+disconnectName, func(t *testing.T) {
				testbed.Leaks(t)
				arrived := make(chan string, 9)
				node, c, release := prepare(t, arrived)
				unblockReads := node.blockReads(t)
				disconnect(c.Conn)
				release()
				testbed.Eventually(t, "detection of the disconnect", func() bool { return node.Stats().ClientLeft == 1 })
				unblockReads()
				testbed.Eventually(t, "the end of all requests and connections", func() bool { return node.pending() == 0 && node.ConnectionCount() == 0 })
				if len(arrived) != 0 {
					t.Errorf("got request %q forwarded after the disconnect, want none", <-arrived)
				}
				if s := node.Stats(); s.Rejected+s.Served+s.Failed != 0 {
					t.Errorf("got stats %+v, want no request rejected, served or failed", s)
				}
			})
		}
	}
}

// If a client disconnects while sending the body of its request, nothing is forwarded.
func TestClientLeavesWhileSendingItsBody(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			arrived := make(chan string, 9)
			b := testbed.NewPeer(t, answerRequests(arrived))
			node := startNode(t, nil, b.Addr)
			c := node.dial(t)
			c.send(requestHead("POST", "put", "Idempotency-Key: k", "Content-Length: 4") + "bo")
			testbed.Eventually(t, "reading of the first part of the body", func() bool {
				clients := node.conns.list()
				if len(clients) == 0 {
					return false
				}
				unread, _ := clients[0].peek()
				return !unread && clients[0].served.Load()
			})
			disconnect(c.Conn)
			testbed.Eventually(t, "detection of the disconnect", func() bool { return node.ConnectionCount() == 0 })
			if s := node.Stats(); s.Accepted != 0 || len(arrived) != 0 {
				t.Errorf("got %d requests accepted and %d forwarded, want 0 and 0", s.Accepted, len(arrived))
			}
		})
	}
}

// isPassedToBalancer reports whether a request was read from the client and the front's last check that the client is connected has
// passed, so that the balancer gets the request next. Checking the flag served is not enough: it is set before the connection is
// checked, and a client that disconnects in between is answered without the balancer.
func isPassedToBalancer(c *client) bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.served.Load() && !c.bytesRead
}

// 500 clients disconnect at once, and the node does not read the ends of their streams before their requests continue. None of these
// requests is forwarded, and a client that is still connected is served.
func TestManyClientsLeaveAtOnce(t *testing.T) {
	const clientCount = 500
	// state is a state of all requests at the moment when their clients disconnect.
	type state struct {
		node    *testNode
		before  func(clients []*clientConn) // if not nil, called before the requests are sent
		reached func() bool                 // reports whether all requests are in the state
		release func()                      // lets the requests continue
	}
	configure := func(o *Options) { o.Budget = backend.NewBudget(4 * clientCount) }
	states := map[string]func(t *testing.T, script func(net.Conn, int)) state{
		"waiting in the balancer": func(t *testing.T, script func(net.Conn, int)) state {
			node := startNode(t, configure) // no endpoint list yet
			b := testbed.NewPeer(t, script)
			return state{node, nil, func() bool { return node.pending() == clientCount }, func() { node.list(b.Addr) }}
		},
		"unread in the socket buffers": func(t *testing.T, script func(net.Conn, int)) state {
			node := startNode(t, configure, testbed.NewPeer(t, script).Addr)
			var unblockReads func()
			return state{node, func([]*clientConn) {
				testbed.Eventually(t, "them", func() bool { return node.ConnectionCount() == clientCount })
				unblockReads = node.blockReads(t)
			}, func() bool {
				for _, serverSide := range node.conns.list() {
					if unread, _ := serverSide.peek(); !unread {
						return false
					}
				}
				return true
			}, func() { unblockReads() }}
		},
		"read but not yet passed to the balancer": func(t *testing.T, script func(net.Conn, int)) state {
			node := startNode(t, configure, testbed.NewPeer(t, script).Addr)
			unlock := sync.OnceFunc(node.mu.Unlock)
			return state{node, func([]*clientConn) {
				node.mu.Lock()
				t.Cleanup(unlock)
			}, func() bool {
				l := node.conns.list()
				for _, serverSide := range l {
					if !isPassedToBalancer(serverSide) {
						return false
					}
				}
				return len(l) == clientCount
			}, unlock}
		},
		"while dialing": func(t *testing.T, script func(net.Conn, int)) state {
			l := testbed.NewDelayedPeer(t, script)
			node := startNode(t, configure, slices.Repeat([]string{l.Addr}, 60)...)
			// The balancer sends only about 60 requests to servers that have not answered yet, and rejects the others. Sends
			// includes retries, so the accepted requests are checked as well.
			return state{node, nil, func() bool {
				stats := node.Stats()
				return stats.Accepted == clientCount && stats.Sends+stats.Rejected >= clientCount && stats.Sends >= 40
			}, l.Open}
		},
	}
	for name, prepare := range states {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			sent := map[string]int{}
			arrived := make(chan string, 2*clientCount)
			prepared := prepare(t, answerRequests(arrived))
			node := prepared.node
			var clients []*clientConn
			for range clientCount {
				clients = append(clients, node.dial(t))
			}
			if prepared.before != nil {
				prepared.before(clients)
			}
			for i, c := range clients {
				c.send(requestHead("GET", "get", fmt.Sprint("X-Trace-Id: gone", i)))
			}
			testbed.Eventually(t, "all requests to reach their state", prepared.reached)
			unblockReads := func() {}
			if name != "unread in the socket buffers" {
				unblockReads = node.blockReads(t)
			}
			for _, c := range clients {
				c.Close()
			}
			prepared.release()
			if name == "while dialing" { // the kernel completes the dials over some seconds, some of them before this point
				testbed.Eventually(t, "detection of the first disconnect", func() bool { return node.Stats().ClientLeft > 0 })
				unblockReads()
			}
			for code, i := 0, 0; code != 200; i++ { // the balancer may reject some requests, since it has served none yet
				c := node.dial(t)
				c.send(requestHead("GET", "get", fmt.Sprint("X-Trace-Id: there", i)))
				code, _, _ = c.readAnswer(t)
				c.Close()
			}
			if name != "unread in the socket buffers" {
				testbed.Eventually(t, "the end of all requests of disconnected clients", func() bool { stats := node.Stats(); return stats.ClientLeft+stats.Rejected >= clientCount })
			}
			unblockReads()
			testbed.Eventually(t, "the end of all requests and connections", func() bool { return node.pending() == 0 && node.ConnectionCount() == 0 })
			for len(arrived) > 0 {
				_, id, _ := strings.Cut(<-arrived, "X-Trace-Id: ")
				id, _, _ = strings.Cut(id, "\r\n")
				sent[strings.TrimRight(id, "0123456789")]++
			}
			if sent["gone"] != 0 || sent["there"] == 0 {
				t.Errorf("got forwarded requests by client %v, want none from \"gone\" and at least one from \"there\"", sent)
			}
			if stats := node.Stats(); stats.Served != uint64(sent["there"]) {
				t.Errorf("got stats %+v, want %d requests served", stats, sent["there"])
			}
		})
	}
}
