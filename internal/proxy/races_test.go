package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

// A client that has sent the first bytes of a pipelined request closes the connection. Its pending request is not forwarded.
func TestClientLeavesAfterStartingAPipelinedRequest(t *testing.T) {
	for name, disconnect := range map[string]func(net.Conn){"closed": func(c net.Conn) { c.Close() }, "reset": testbed.Reset,
		"half closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }} {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
			node := startNode(t, nil) // there is no endpoint list yet, so the request waits
			c := node.dial(t)
			c.send(requestHead("GET", "get"))
			testbed.Eventually(t, "the request", func() bool { return node.pending() == 1 })
			c.send("GET ")
			serverSide := node.conns.list()[0]
			testbed.Eventually(t, "reading of the pipelined bytes", func() bool { unread, _ := serverSide.peek(); return !unread })
			disconnect(c.Conn)
			// If neither the bytes nor the disconnect are detected, the balancer rejects the request after some time.
			testbed.Eventually(t, "the end of the request", func() bool { return node.pending() == 0 })
			if stats := node.Stats(); stats.Failed != 1 || stats.Rejected != 0 {
				t.Errorf("got %d requests failed and %d rejected, want 1 and 0", stats.Failed, stats.Rejected)
			}
			node.list(b.Addr)
			for code := 0; code != 200; { // the balancer may reject some requests, since it has served none yet
				other := node.dial(t)
				other.send(requestHead("GET", "get"))
				code, _, _ = other.readAnswer(t)
				other.Close()
			}
			if n := len(b.Requests()); n != 1 {
				t.Errorf("got %d requests at the backend, want 1", n)
			}
		})
	}
}

// A pipelined request that arrives before the current answer is surplus, complete as it may be: the current request is answered with
// 400, and the pipelined one is not forwarded.
func TestPipelinedRequestIsRejected(t *testing.T) {
	testbed.Leaks(t)
	arrived, release := make(chan struct{}, 9), make(chan struct{})
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { arrived <- struct{}{}; <-release; return okResponse })
	defer close(release)
	for range 100 {
		c := startNode(t, nil, b.Addr).dial(t) // a new node each time, since servers that do not answer are rested
		c.send(requestHead("GET", "get"))
		testbed.Receive(t, "the request", arrived)
		c.send(requestHead("GET", "get"))
		c.requireRejected(t)
		release <- struct{}{}
	}
	if n := len(b.Requests()); n != 100 {
		t.Errorf("got %d requests at the backend, want the 100 first ones", n)
	}
}

// readBlockingRouter is a Router that routes as its node does. Route blocks all reads from clients until release is closed.
type readBlockingRouter struct {
	*testNode
	release chan struct{}
}

func (router *readBlockingRouter) Route(r *http.Request, from Peer) Destination {
	for _, c := range router.conns.list() {
		c.reading.Lock()
		go func() {
			<-router.release
			c.reading.Unlock()
		}()
	}
	return router.Node.Route(r, from)
}

// A client disconnected while its request was in the socket buffer. The request is not forwarded, although the node has not read the end
// of the stream yet.
func TestClientLeavesBeforeItsRequestIsRead(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	node := startNode(t, nil, b.Addr)
	blocking := &readBlockingRouter{node, make(chan struct{})}
	node.router = blocking
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, requestHead("POST", "put", "Idempotency-Key: k", "Content-Length: 1")+"x")
	_ = c.(*net.TCPConn).CloseWrite()
	served := make(chan struct{})
	go func() { node.Serve(listener); close(served) }() // the request is read only now
	c.SetDeadline(time.Now().Add(testbed.WaitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil) // the client has closed only its sending side
	close(blocking.release)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || len(b.Requests()) != 0 {
		t.Errorf("got response %v, error %v and %d requests at the backend, want 503, nil and 0", resp, err, len(b.Requests()))
	}
	c.Close()
	testbed.Eventually(t, "the end of all requests and connections", func() bool { return node.pending() == 0 && node.ConnectionCount() == 0 })
	listener.Close()
	<-served
}

// At shutdown each open request gets exactly one answer. The answer is 503 only if the request is
// idempotent or was not sent.
func TestOpenRequestsAreAnsweredAtShutdown(t *testing.T) {
	testbed.Leaks(t)
	arrived := make(chan string, 9)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		buf := make([]byte, 4<<10)
		n, _ := c.Read(buf)
		arrived <- string(buf[:n])
		_, _ = io.Copy(io.Discard, c)
	})
	node := startNode(t, nil, b.Addr)
	sent := map[string]*clientConn{}
	for name, text := range map[string]string{
		"unsafe": requestHead("POST", "post", "Content-Length: 1") + "x",
		"keyed":  requestHead("POST", "put", "Idempotency-Key: k", "Content-Length: 1") + "x",
		"safe":   requestHead("GET", "get"),
	} {
		sent[name] = node.dial(t)
		sent[name].send(text)
		testbed.Receive(t, "the request", arrived)
	}
	sendingNode := node
	node = startNode(t, nil) // this node has no endpoint list yet, so requests wait
	pending, partial := node.dial(t), node.dial(t)
	pending.send(requestHead("POST", "post", "Content-Length: 1") + "x")
	text := requestHead("POST", "put", "Idempotency-Key: k", "Content-Length: 4")
	partial.send(text + "bo")
	pipelining := node.dial(t)
	pipelining.send(requestHead("POST", "post", "Content-Length: 1") + "x")
	testbed.Eventually(t, "them", func() bool { return node.pending() == 2 })
	pipelining.send("POST ")
	late := node.dial(t)
	late.send("GET /get/x HTTP/1.1\r\nHost: x\r\n")
	stopped := make(chan struct{}, 2)
	for _, node := range []*testNode{node, sendingNode} {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), acceptAfterStop+expireMargin+300*time.Millisecond)
			defer cancel()
			node.Stop(ctx, node.listener)
			stopped <- struct{}{}
		}()
	}
	testbed.Receive(t, "the expiry of open requests", node.expired)
	late.send("X-Trace-Id: last\r\nX-Qos: get\r\n\r\n")
	for name, c := range sent {
		code, _, _ := c.readAnswer(t)
		if name == "safe" != (code == http.StatusServiceUnavailable) || name != "safe" && code != http.StatusBadGateway {
			t.Errorf("sent %s request: got status %d, want 503 for the safe request, 502 for others", name, code)
		}
	}
	if code, _, _ := pipelining.readAnswer(t); code != http.StatusBadRequest {
		t.Errorf("held, with a pipelined request: got status %d, want 400", code)
	}
	for name, c := range map[string]*clientConn{"held": pending, "half a body": partial} {
		if code, _, _ := c.readAnswer(t); code != http.StatusServiceUnavailable {
			t.Errorf("%s: got status %d, want 503", name, code)
		}
	}
	if code, _, _ := late.readAnswer(t); code == http.StatusOK { // its head was completed too late
		t.Errorf("request completed after the expiry: got status %d, want an error", code)
	}
	testbed.Receive(t, "the return of the first Stop", stopped)
	testbed.Receive(t, "the return of the second Stop", stopped)
	if len(arrived) != 0 {
		t.Errorf("got request %q forwarded during the shutdown, want none", <-arrived)
	}
}

// A long answer that is being streamed when open requests expire at shutdown is completed.
func TestStreamedAnswerOutlastsShutdown(t *testing.T) {
	testbed.Leaks(t)
	release := make(chan struct{})
	half := strings.Repeat("0123456789abcdef", 8<<10)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(half), half))
		<-release
		_, _ = io.WriteString(c, half)
	})
	node := startNode(t, nil, b.Addr)
	c := node.dial(t)
	c.send(requestHead("GET", "get"))
	if _, err := c.r.Peek(1); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acceptAfterStop+expireMargin+300*time.Millisecond)
		defer cancel()
		node.Stop(ctx, node.listener)
		close(stopped)
	}()
	testbed.Receive(t, "the expiry of open requests", node.expired)
	close(release)
	if code, body, _ := c.readAnswer(t); code != 200 || body != half+half {
		t.Errorf("got status %d and %d bytes, want 200 and the complete body of %d bytes", code, len(body), 2*len(half))
	}
	testbed.Receive(t, "the return of Stop", stopped)
}

// A request that arrives after a connection was found idle and before it is closed is served, and the connection stays open.
func TestRequestDuringIdleCloseIsServed(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	node := startNode(t, nil, b.Addr)
	c := node.dial(t)
	c.send(requestHead("GET", "get"))
	c.readAnswer(t)
	serverSide := node.conns.list()[0]
	testbed.Eventually(t, "the connection to be idle", func() bool { return node.conns.idleTime(serverSide) > 0 })
	closed := serverSide.closeIdle(func() bool {
		c.send(requestHead("GET", "get"))
		// The reader must wait until this function returns. Without the lock it would read the request during this loop.
		for end := time.Now().Add(200 * time.Millisecond); node.conns.idleTime(serverSide) > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		return true // the result of a check before the request arrived
	})
	if closed {
		t.Error("closeIdle returned true, want false")
	}
	if code, _, _ := c.readAnswer(t); code != 200 {
		t.Errorf("got status %d, want 200", code)
	}
}

// When descriptors are short and the client that has been idle longest has just sent a request that is not read yet, another client is
// evicted.
func TestConnectionWithARequestIsNotEvicted(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	node := startNode(t, nil, b.Addr)
	c := [2]*clientConn{}
	var serverSide [2]*client
	for i := range c {
		c[i] = node.dial(t)
		c[i].send(requestHead("GET", "get"))
		c[i].readAnswer(t)
		for _, listed := range node.conns.list() {
			if listed != serverSide[0] {
				serverSide[i] = listed
			}
		}
		testbed.Eventually(t, "the connection to be idle", func() bool { return node.conns.idleTime(serverSide[i]) >= minIdle })
	}
	serverSide[0].reading.Lock()
	c[0].send(requestHead("GET", "get"))
	testbed.Eventually(t, "the request", func() bool { unread, _ := serverSide[0].peek(); return unread })
	go serverSide[0].reading.Unlock()
	if !node.conns.closeOldestIdle(minIdle) {
		t.Error("closeOldestIdle returned false, want true")
	}
	if code, _, _ := c[0].readAnswer(t); code != 200 {
		t.Errorf("client with a request: got status %d, want 200", code)
	}
	if !c[1].isClosed() {
		t.Error("other client: got bytes, want a closed connection")
	}
}

// delayedListener accepts no connection until its deadline is set or it is closed.
type delayedListener struct {
	*net.TCPListener
	unblock   chan struct{}
	unblocked bool
}

// unblockAccept lets Accept proceed.
func (l *delayedListener) unblockAccept() {
	if !l.unblocked {
		l.unblocked = true
		close(l.unblock)
	}
}

func (l *delayedListener) Accept() (net.Conn, error) { <-l.unblock; return l.TCPListener.Accept() }

func (l *delayedListener) SetDeadline(t time.Time) error {
	defer l.unblockAccept()
	return l.TCPListener.SetDeadline(t)
}

func (l *delayedListener) Close() error {
	defer l.unblockAccept()
	return l.TCPListener.Close()
}

// Stop serves the connections that are still in the kernel's backlog before it closes the listener.
func TestStopEmptiesTheBacklog(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	node := startNode(t, nil, b.Addr)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	delayed := &delayedListener{TCPListener: listener.(*net.TCPListener), unblock: make(chan struct{})}
	served := make(chan struct{})
	go func() { node.ServeAs("held", delayed); close(served) }()
	testbed.Eventually(t, "both listeners to be served", func() bool { return node.accepting.Load() == 2 })
	var clients []*clientConn
	for range 20 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		client := &clientConn{Conn: conn}
		client.send(requestHead("GET", "get"))
		clients = append(clients, client)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
	defer cancel()
	node.Stop(ctx, delayed, node.listener)
	testbed.Receive(t, "the return of ServeAs", served)
	for i, client := range clients {
		client.SetDeadline(time.Now().Add(testbed.WaitTimeout))
		// Some requests of a burst may be rejected, but each connection must get an answer.
		if text, err := io.ReadAll(client); !strings.HasPrefix(string(text), "HTTP/1.1 200") && !strings.HasPrefix(string(text), "HTTP/1.1 503") {
			t.Errorf("connection %d: got answer %q, error %v, want status 200 or 503", i, text, err)
		}
	}
}
