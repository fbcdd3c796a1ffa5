package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/testbed"
)

// repeatSpan is the window of the class "put" in these tests. lateWait is a wait that outlasts it.
const (
	repeatSpan = 400 * time.Millisecond
	lateWait   = 2 * repeatSpan
)

// withRepeatSpan gives the class "put" the window repeatSpan.
func withRepeatSpan(opt *Options) {
	for i := range opt.Settings.Classes {
		opt.Settings.Classes[i].Window = repeatSpan
	}
}

// keyedClient is a Client of a request that is handed to a core directly.
type keyedClient struct{ answered chan Answer }

func (c *keyedClient) Answer(a Answer)                         { c.answered <- a }
func (c *keyedClient) Begin(int, http.Header, int64) io.Writer { return io.Discard }
func (c *keyedClient) Finish(bool)                             {}

// acceptKeyed hands a request of the class "put" to the node's core and returns the channel that receives its answer.
func acceptKeyed(t *testing.T, node *testNode, id string, send backend.Request) <-chan Answer {
	t.Helper()
	client := &keyedClient{answered: make(chan Answer, 1)}
	send.Method, send.URI, send.Host, send.Header = http.MethodPost, "/put", "x", http.Header{}
	q := &Request{Attributes: balancer.Request{ID: id, Class: "put", TimeLeft: testbed.WaitTimeout}, Send: send, Client: client}
	if status, ok := node.Accept(q); !ok {
		t.Fatalf("the request was not accepted: status %d", status)
	}
	return client.answered
}

// cell is a cell of servers. It resets the connection under the first complete request, which has run, and counts the others.
type cell struct {
	bodyBytes int64
	requests  atomic.Int32
	firstRan  chan struct{} // closed when the first request has run
	reset     chan struct{} // the connection is reset once this is closed
}

func newCell(bodyBytes int64) *cell {
	return &cell{bodyBytes: bodyBytes, firstRan: make(chan struct{}), reset: make(chan struct{})}
}

func (c *cell) serve(conn net.Conn, _ int) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if n, err := io.Copy(io.Discard, request.Body); err != nil || n != c.bodyBytes {
		return
	}
	if c.requests.Add(1) > 1 {
		_, _ = io.WriteString(conn, okResponse)
		return
	}
	close(c.firstRan)
	<-c.reset
	testbed.Reset(conn)
}

func (c *cell) requireOneRequest(t *testing.T) {
	t.Helper()
	if n := c.requests.Load(); n != 1 {
		t.Errorf("the cell got %d complete requests, want the first one alone", n)
	}
}

// Guards against the fault that a keyed request was repeated over a connection that came up behind the window, and ran twice. The client
// does not wait for such a connection either.
func TestRepeatIsNotWrittenOverALateConnection(t *testing.T) {
	servers := newCell(0)
	first := testbed.NewPeer(t, servers.serve)
	late := testbed.NewDelayedPeer(t, servers.serve)
	node := startNode(t, withRepeatSpan, first.Addr)
	answered := acceptKeyed(t, node, "r", backend.Request{})
	testbed.Receive(t, "the first attempt", servers.firstRan)
	node.list(first.Addr, late.Addr)
	began := time.Now()
	close(servers.reset)
	answer := testbed.Receive(t, "the answer", answered)
	if answer.Status != http.StatusBadGateway {
		t.Errorf("got status %d, want %d", answer.Status, http.StatusBadGateway)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the answer came %v behind the reset, want it at the end of the window of %v", took, repeatSpan)
	}
	late.Open()
	time.Sleep(1500 * time.Millisecond) // the system dials again a second after the first time
	servers.requireOneRequest(t)
}

// Guards against repeats that are written behind the window after any wait between the decision and the write.
func TestRepeatIsNotWrittenAfterAWait(t *testing.T) {
	for _, wait := range []time.Duration{0, lateWait} {
		servers := newCell(0)
		close(servers.reset)
		peers := []*testbed.Peer{testbed.NewPeer(t, servers.serve), testbed.NewPeer(t, servers.serve)}
		node := startNode(t, withRepeatSpan, peers[0].Addr, peers[1].Addr)
		looks := atomic.Int32{}
		answered := acceptKeyed(t, node, "r", backend.Request{StillWanted: func() bool {
			if looks.Add(1) == 4 { // of the second attempt, after its dial
				time.Sleep(wait)
			}
			return true
		}})
		answer := testbed.Receive(t, "the answer", answered)
		if wait == 0 {
			if answer.Status != http.StatusOK {
				t.Errorf("without a wait: got status %d, want %d", answer.Status, http.StatusOK)
			}
			continue
		}
		if answer.Status != http.StatusBadGateway {
			t.Errorf("got status %d, want %d", answer.Status, http.StatusBadGateway)
		}
		testbed.Eventually(t, "the attempts to end", func() bool { return node.pending() == 0 })
		servers.requireOneRequest(t)
	}
}

// Guards against a first attempt that waits for longer than a second copy of the request, and is written when the window of that one has
// passed.
func TestFirstAttemptIsNotWrittenBehindTheWindowOfASecondCopy(t *testing.T) {
	servers := newCell(0)
	close(servers.reset)
	var measured atomic.Bool // requests are no longer answered at once
	serve := func(conn net.Conn, number int) {
		if !measured.Load() {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		servers.serve(conn, number)
	}
	peers := []*testbed.Peer{testbed.NewPeer(t, serve), testbed.NewPeer(t, serve)}
	node := startNode(t, func(opt *Options) {
		withRepeatSpan(opt)
		opt.Settings.ParallelAttempts = true
		for i := range opt.Settings.Classes {
			opt.Settings.Classes[i].LatencyObjective = 100 * time.Millisecond
		}
	}, peers[0].Addr, peers[1].Addr)
	for i := range 100 { // the latency of answers is learnt, from which on second copies are sent
		testbed.Receive(t, "an answer", acceptKeyed(t, node, fmt.Sprint(i), backend.Request{}))
	}
	measured.Store(true)
	looks := atomic.Int32{}
	answered := acceptKeyed(t, node, "r", backend.Request{StillWanted: func() bool {
		if looks.Add(1) == 1 {
			<-servers.firstRan // by a second copy
			time.Sleep(lateWait)
		}
		return true
	}})
	if answer := testbed.Receive(t, "the answer", answered); answer.Status != http.StatusBadGateway {
		t.Errorf("got status %d, want %d", answer.Status, http.StatusBadGateway)
	}
	testbed.Eventually(t, "the attempts to end", func() bool { return node.pending() == 0 })
	servers.requireOneRequest(t)
}

// Guards against a repeat whose body is read late, so that its last byte is written behind the window.
func TestRepeatWithASlowBodyEndsAtTheWindow(t *testing.T) {
	body := backend.Body{bytes.Repeat([]byte("b"), 64<<20)}
	servers := newCell(body.Len())
	first := testbed.NewPeer(t, servers.serve)
	slow := testbed.NewPeer(t, func(conn net.Conn, number int) {
		time.Sleep(lateWait + time.Second)
		servers.serve(conn, number)
	})
	node := startNode(t, func(opt *Options) {
		withRepeatSpan(opt)
		for i := range opt.Settings.Classes {
			opt.Settings.Classes[i].Window = time.Second // the first server reads the body in this time
		}
	}, first.Addr)
	answered := acceptKeyed(t, node, "r", backend.Request{Body: body})
	testbed.Receive(t, "the first attempt", servers.firstRan)
	node.list(first.Addr, slow.Addr)
	close(servers.reset)
	if answer := testbed.Receive(t, "the answer", answered); answer.Status != http.StatusBadGateway {
		t.Errorf("got status %d, want %d", answer.Status, http.StatusBadGateway)
	}
	time.Sleep(lateWait + 1500*time.Millisecond)
	servers.requireOneRequest(t)
}
