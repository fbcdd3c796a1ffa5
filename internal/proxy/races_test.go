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

// A client that has sent the first bytes of its next request closes the connection: its pending request is not forwarded.
func TestClientLeavesAfterEarlyBytesOfANextRequest(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){"closed": func(c net.Conn) { c.Close() }, "reset": testbed.Reset,
		"half closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }} {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
			w := start(t, nil) // no list yet: it waits
			c := w.dial(t)
			c.send(head("GET", "get"))
			testbed.Eventually(t, "the request", func() bool { return w.held() == 1 })
			c.send("GET ")
			k := w.conns.list()[0]
			testbed.Eventually(t, "the early bytes to be read", func() bool { waits, _ := k.peek(); return !waits })
			leave(c.Conn)
			// Otherwise the balancer rejects it once it has waited for too long.
			testbed.Eventually(t, "its end to be seen", func() bool { return w.held() == 0 })
			if s := w.Stats(); s.ClientLeft != 1 || s.Rejected != 0 {
				t.Errorf("left %d, refused %d", s.ClientLeft, s.Rejected)
			}
			w.list(b.Addr)
			for code := 0; code != 200; { // the balancer may reject some, as the first one was not served
				o := w.dial(t)
				o.send(head("GET", "get"))
				code, _, _ = o.answer(t)
				o.Close()
			}
			if n := len(b.Requests()); n != 1 {
				t.Errorf("%d requests were sent", n)
			}
		})
	}
}

// A pipelined request that arrives in full before the current answer is served right after that answer.
func TestPipelinedRequestIsServedAfterTheAnswer(t *testing.T) {
	testbed.Leaks(t)
	came, goOn := make(chan struct{}, 9), make(chan struct{})
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { came <- struct{}{}; <-goOn; return ok })
	w := start(t, nil, b.Addr)
	for range 100 {
		c := w.dial(t)
		c.send(head("GET", "get"))
		testbed.Receive(t, "the request", came)
		c.send(head("GET", "get"))
		goOn <- struct{}{}
		testbed.Receive(t, "the next request", came)
		goOn <- struct{}{}
		for range 2 {
			if code, _, _ := c.answer(t); code != 200 {
				t.Fatal(code)
			}
		}
		c.Close()
	}
}

// heldReads routes as the node does, and blocks all reads from clients from then on.
type heldReads struct {
	*world
	goOn chan struct{}
}

func (h *heldReads) Route(r *http.Request, from Peer) Destination {
	for _, k := range h.conns.list() {
		k.reading.Lock()
		go func() {
			<-h.goOn
			k.reading.Unlock()
		}()
	}
	return h.Node.Route(r, from)
}

// A client left while its request waited in the socket buffer: the request is not forwarded, though the end of the stream has not
// been read yet.
func TestClientLeavesBeforeItsRequestIsRead(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	w := start(t, nil, b.Addr)
	h := &heldReads{w, make(chan struct{})}
	w.router = h
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, head("POST", "put", "Idempotency-Key: k", "Content-Length: 1")+"x")
	_ = c.(*net.TCPConn).CloseWrite()
	served := make(chan struct{})
	go func() { w.Serve(l); close(served) }() // only now is anything read
	c.SetDeadline(time.Now().Add(testbed.WaitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil) // the client has closed its sending side only
	close(h.goOn)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || len(b.Requests()) != 0 {
		t.Errorf("%v, %v, and %d requests were sent", resp, err, len(b.Requests()))
	}
	c.Close()
	testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 && w.ConnectionCount() == 0 })
	l.Close()
	<-served
}

// Each open request gets exactly one answer at shutdown, which is a rejection only if no attempt can have been executed.
func TestOpenRequestsAreAnsweredAtShutdown(t *testing.T) {
	testbed.Leaks(t)
	came := make(chan string, 9)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		buf := make([]byte, 4<<10)
		n, _ := c.Read(buf)
		came <- string(buf[:n])
		_, _ = io.Copy(io.Discard, c)
	})
	w := start(t, nil, b.Addr)
	sent := map[string]*peer{}
	for name, text := range map[string]string{
		"unsafe": head("POST", "post", "Content-Length: 1") + "x",
		"keyed":  head("POST", "put", "Idempotency-Key: k", "Content-Length: 1") + "x",
		"safe":   head("GET", "get"),
	} {
		sent[name] = w.dial(t)
		sent[name].send(text)
		testbed.Receive(t, "the request", came)
	}
	sentTo := w
	w = start(t, nil) // it has no endpoint list yet, so requests wait
	held, half := w.dial(t), w.dial(t)
	held.send(head("POST", "post", "Content-Length: 1") + "x")
	text := head("POST", "put", "Idempotency-Key: k", "Content-Length: 4")
	half.send(text + "bo")
	ahead := w.dial(t) // its reader waits behind the start of another request
	ahead.send(head("POST", "post", "Content-Length: 1") + "x")
	testbed.Eventually(t, "them", func() bool { return w.held() == 2 })
	ahead.send("POST ")
	last := w.dial(t)
	last.send("GET /get/x HTTP/1.1\r\nHost: x\r\n")
	stopped := make(chan struct{}, 2)
	for _, w := range []*world{w, sentTo} {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), acceptAfterStop+expireMargin+300*time.Millisecond)
			defer cancel()
			w.Stop(ctx, w.l)
			stopped <- struct{}{}
		}()
	}
	testbed.Receive(t, "the end to be near", w.expired)
	last.send("X-Trace-Id: last\r\nX-Qos: get\r\n\r\n")
	for name, c := range sent {
		code, _, _ := c.answer(t)
		if name == "safe" != (code == http.StatusServiceUnavailable) || name != "safe" && code != http.StatusBadGateway {
			t.Errorf("%s, sent: %d", name, code)
		}
	}
	for name, c := range map[string]*peer{"held": held, "half a body": half, "held, with bytes behind": ahead} {
		if code, _, _ := c.answer(t); code != http.StatusServiceUnavailable {
			t.Errorf("%s: %d", name, code)
		}
	}
	if code, _, _ := last.answer(t); code == http.StatusOK { // it came too late, or its head was incomplete
		t.Errorf("the last one: %d", code)
	}
	testbed.Receive(t, "the end", stopped)
	testbed.Receive(t, "the other end", stopped)
	if len(came) != 0 {
		t.Errorf("sent at the end: %q", <-came)
	}
}

// A long answer that is being streamed at shutdown is completed.
func TestStreamedAnswerOutlastsShutdown(t *testing.T) {
	testbed.Leaks(t)
	goOn := make(chan struct{})
	half := strings.Repeat("0123456789abcdef", 8<<10)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(half), half))
		<-goOn
		_, _ = io.WriteString(c, half)
	})
	w := start(t, nil, b.Addr)
	c := w.dial(t)
	c.send(head("GET", "get"))
	if _, err := c.r.Peek(1); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acceptAfterStop+expireMargin+300*time.Millisecond)
		defer cancel()
		w.Stop(ctx, w.l)
		close(stopped)
	}()
	testbed.Receive(t, "the end to be near", w.expired)
	close(goOn)
	if code, body, _ := c.answer(t); code != 200 || body != half+half {
		t.Errorf("%d and %d bytes", code, len(body))
	}
	testbed.Receive(t, "the end", stopped)
}

// A request arrives between the check of an idle connection and its closing: it is served, and the connection stays open.
func TestRequestOnAConnectionThatIsBeingClosed(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	w := start(t, nil, b.Addr)
	c := w.dial(t)
	c.send(head("GET", "get"))
	c.answer(t)
	k := w.conns.list()[0]
	testbed.Eventually(t, "it to be idle", func() bool { return w.conns.idleTime(k) > 0 })
	shut := k.closeIdle(func() bool {
		c.send(head("GET", "get"))
		// The reader must wait until this function returns. One that did not would have read the request by now.
		for end := time.Now().Add(200 * time.Millisecond); w.conns.idleTime(k) > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		return true // as seen before the request arrived
	})
	if shut {
		t.Error("shut")
	}
	if code, _, _ := c.answer(t); code != 200 {
		t.Errorf("%d", code)
	}
}

// Descriptors are short, and the client that has been idle for longest has just sent a request that is not read yet: another
// client is evicted.
func TestConnectionWithARequestIsNotEvicted(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	w := start(t, nil, b.Addr)
	c := [2]*peer{}
	var k [2]*client
	for i := range c {
		c[i] = w.dial(t)
		c[i].send(head("GET", "get"))
		c[i].answer(t)
		for _, x := range w.conns.list() {
			if x != k[0] {
				k[i] = x
			}
		}
		testbed.Eventually(t, "it to be idle", func() bool { return w.conns.idleTime(k[i]) >= minIdle })
	}
	k[0].reading.Lock()
	c[0].send(head("GET", "get"))
	testbed.Eventually(t, "the request", func() bool { waits, _ := k[0].peek(); return waits })
	go k[0].reading.Unlock()
	if !w.conns.closeOldestIdle(minIdle) {
		t.Error("no room was made")
	}
	if code, _, _ := c[0].answer(t); code != 200 {
		t.Errorf("%d", code)
	}
	if !c[1].closed() {
		t.Error("the other one is kept")
	}
}

// heldListener accepts nothing until its deadline is set or it is closed.
type heldListener struct {
	*net.TCPListener
	ends chan struct{}
	told bool
}

func (l *heldListener) end() {
	if !l.told {
		l.told = true
		close(l.ends)
	}
}

func (l *heldListener) Accept() (net.Conn, error) { <-l.ends; return l.TCPListener.Accept() }

func (l *heldListener) SetDeadline(t time.Time) error {
	defer l.end()
	return l.TCPListener.SetDeadline(t)
}

func (l *heldListener) Close() error {
	defer l.end()
	return l.TCPListener.Close()
}

// Connections in the kernel's backlog that the node had no time to accept are served before the listener closes.
func TestStopEmptiesTheBacklog(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	w := start(t, nil, b.Addr)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &heldListener{TCPListener: l.(*net.TCPListener), ends: make(chan struct{})}
	served := make(chan struct{})
	go func() { w.ServeAs("held", h); close(served) }()
	testbed.Eventually(t, "both to serve", func() bool { return w.accepting.Load() == 2 })
	var c []*peer
	for range 20 {
		k, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer k.Close()
		p := &peer{k, nil}
		p.send(head("GET", "get"))
		c = append(c, p)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
	defer cancel()
	w.Stop(ctx, h, w.l)
	testbed.Receive(t, "the end of serving", served)
	for i, p := range c {
		p.SetDeadline(time.Now().Add(testbed.WaitTimeout))
		// Part of a burst may be rejected; no connection may end without an answer.
		if text, err := io.ReadAll(p); !strings.HasPrefix(string(text), "HTTP/1.1 200") && !strings.HasPrefix(string(text), "HTTP/1.1 503") {
			t.Errorf("connection %d: %q, %v", i, text, err)
		}
	}
}
