package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/testbed"
)

func TestRequestsAreServed(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(request testbed.ReceivedRequest, n int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-B: %d\r\nContent-Length: %d\r\n\r\n%s", n, len(request.Content), request.Content)
	})
	node := startNode(t, nil, b.Addr)
	c := node.dial(t)
	c.send(requestHead("GET", "get"))
	if code, body, h := c.readAnswer(t); code != 200 || body != "" || h.Get("X-B") != "0" {
		t.Errorf("GET: got status %d, body %q, header %v, want 200, an empty body and X-B: 0", code, body, h)
	}
	long := strings.Repeat("x", DefaultMaxBodyBytes)
	for _, text := range []string{"a", strings.Repeat("y", 20<<10), long} {
		c.send(requestHead("POST", "put", "Idempotency-Key: k", fmt.Sprint("Content-Length: ", len(text))) + text)
		if code, body, _ := c.readAnswer(t); code != 200 || body != text {
			t.Errorf("POST of %d bytes: got status %d and %d bytes, want 200 and the same body", len(text), code, len(body))
		}
	}
	c.send(requestHead("POST", "post", "Transfer-Encoding: chunked") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	if code, body, _ := c.readAnswer(t); code != 200 || body != "abcde" {
		t.Errorf("chunked POST: got status %d, body %q, want 200, \"abcde\"", code, body)
	}
	for i, request := range b.Requests() {
		if request.Header.Get("X-Trace-Id") == "" || request.Header.Get("X-Expires-In-Ms") == "" || i == 1 && request.Header.Get("Idempotency-Key") != "k" {
			t.Errorf("request %d: got header %v, want X-Trace-Id, X-Expires-In-Ms and, for request 1, Idempotency-Key: k", i, request.Header)
		}
	}
	if node.pending() != 0 || node.unanswered != 0 || node.bodies.left.Load() != 64<<20 {
		t.Errorf("at the end: got %d pending requests, %d unanswered, %d bytes available, want 0, 0 and 64 MiB", node.pending(), node.unanswered, node.bodies.left.Load())
	}
}

func TestReady(t *testing.T) {
	testbed.Leaks(t)
	node := startNode(t, nil, testbed.RefusingAddress(t))
	c := node.dial(t)
	c.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if code, _, _ := c.readAnswer(t); code != 200 {
		t.Errorf("/health/ready with an endpoint list: got status %d, want 200", code)
	}
	node.ready.Store(false)
	c.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if code, _, _ := c.readAnswer(t); code != 503 {
		t.Errorf("/health/ready without an endpoint list: got status %d, want 503", code)
	}
}

func TestBadInput(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	node := startNode(t, nil, b.Addr)
	smuggled := "0\r\n\r\n" + requestHead("GET", "get", "X-Trace-Id: hidden")
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"no ID":                                {requestHead("GET", "get", "X-Trace-Id"), 400},
		"empty ID":                             {requestHead("GET", "get", "X-Trace-Id: "), 400},
		"unknown class":                        {requestHead("GET", "odd"), 503},
		"not HTTP":                             {"hello\r\n\r\n", 400},
		"no Host":                              {"GET /get HTTP/1.1\r\nX-Trace-Id: x\r\n\r\n", 400},
		"header line without a colon":          {"GET /get HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n", 400},
		"head too long":                        {"GET /get HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 1<<20), 431},
		"body too long":                        {requestHead("POST", "put", "Content-Length: 65537"), 413},
		"Content-Length is not a number":       {requestHead("POST", "put", "Content-Length: many"), 400},
		"two different Content-Lengths":        {requestHead("POST", "put", "Content-Length: 1", "Content-Length: 2"), 400},
		"chunk without a size":                 {requestHead("POST", "put", "Transfer-Encoding: chunked") + "zz\r\n", 400},
		"Content-Length and Transfer-Encoding": {requestHead("POST", "put", "Content-Length: 5", "Transfer-Encoding: chunked") + smuggled, 400},
		"Transfer-Encoding and Content-Length": {requestHead("POST", "put", "transfer-encoding: chunked", "content-length: 99") + smuggled, 400},
		"Transfer-Encoding in HTTP/1.0":        {strings.Replace(requestHead("POST", "put", "Transfer-Encoding: chunked"), "1.1", "1.0", 1) + smuggled, 400},
		"Content-Length too short":             {requestHead("POST", "put", "Content-Length: 5") + smuggled, 400},
		"negative Content-Length":              {requestHead("POST", "put", "Content-Length: -5"), 400},
		"chunked body too long":                {requestHead("POST", "put", "Transfer-Encoding: chunked") + "10001\r\n" + strings.Repeat("x", 65537) + "\r\n0\r\n\r\n", 413},
		"timeout is not a number":              {requestHead("GET", "get", "X-Expires-In-Ms: soon"), 400},
		"negative timeout":                     {requestHead("GET", "get", "X-Expires-In-Ms: -5"), 400},
		"unknown Transfer-Encoding":            {requestHead("POST", "put", "Transfer-Encoding: gzip") + "zz\r\n", 400},
	} {
		c := node.dial(t)
		go c.send(test.text)
		if code, _, _ := c.readAnswer(t); code != test.status {
			t.Errorf("%s: got status %d, want %d", name, code, test.status)
		}
		if !c.isClosed() {
			t.Errorf("%s: got bytes after the answer, want a closed connection", name)
		}
	}
	if n := len(b.Requests()); n != 0 {
		t.Errorf("got %d requests forwarded, want 0", n)
	}
	c := node.dial(t)
	c.send(requestHead("GET", "get"))
	if code, _, _ := c.readAnswer(t); code != 200 {
		t.Errorf("valid request after the others: got status %d, want 200", code)
	}
}

// A client's own timeout is used if it is below the class's deadline. A value that is not a positive number is rejected.
func TestClientTimeout(t *testing.T) {
	node := &Node{Core: &Core{classes: map[string]balancer.Class{"get": {Deadline: time.Second}}}}
	for text, want := range map[string]time.Duration{"x": 0, "0": 0, "-5": 0, "1.5": 0, "99999999999999999999": 0,
		"2000": time.Second, "480": 480 * time.Millisecond} {
		r := &http.Request{ProtoMajor: 1, Host: "x", Header: http.Header{"X-Qos": {"get"}, "X-Expires-In-Ms": {text}}}
		r.URL = mustParseURL("/get")
		if why := validateRequest(r); (why != "") != (want == 0) {
			t.Errorf("X-Expires-In-Ms: %q: got validation error %q, want an error only if the timeout is invalid", text, why)
		}
		if attrs := node.attributes(r, "t"); want != 0 && attrs.TimeLeft != want {
			t.Errorf("X-Expires-In-Ms: %q: got TimeLeft %v, want %v", text, attrs.TimeLeft, want)
		}
	}
}

// A client that sends nothing or only part of a request is disconnected after requestReadTimeout.
func TestSilentClientsAreClosed(t *testing.T) {
	testbed.Leaks(t)
	node := startNode(t, nil)
	startTime := time.Now()
	clients := map[string]*clientConn{"": nil, "GET /get": nil, requestHead("POST", "put", "Content-Length: 9") + "half": nil}
	for text := range clients {
		clients[text] = node.dial(t)
		clients[text].send(text)
	}
	for text, c := range clients {
		if text != "" {
			if code, _, _ := c.readAnswer(t); code != http.StatusRequestTimeout {
				t.Errorf("client that sent %q: got status %d, want 408", text, code)
			}
		}
		if !c.isClosed() {
			t.Errorf("client that sent %q: got bytes, want a closed connection", text)
		}
	}
	if elapsed := time.Since(startTime); elapsed < requestReadTimeout {
		t.Errorf("clients were disconnected after %v, want at least %v", elapsed, requestReadTimeout)
	}
}

// Regression test for day term 405155058601, in which the node ignored the client's own timeout and answered long after the client
// had disconnected. The timeout must reach the balancer, and the backend must receive the remaining time.
func TestClientsDeadlineIsForwarded(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	silent := testbed.NewPeer(t, func(c net.Conn, _ int) { _, _ = io.Copy(io.Discard, c) })
	node := startNode(t, nil, b.Addr)
	c := node.dial(t)
	c.send(requestHead("GET", "get", "X-Expires-In-Ms: 4800"))
	if code, _, _ := c.readAnswer(t); code != 200 {
		t.Errorf("got status %d, want 200", code)
	}
	if ms, err := strconv.Atoi(b.Requests()[0].Header.Get("X-Expires-In-Ms")); err != nil || ms <= 0 || ms > 4800 {
		t.Errorf("backend: got X-Expires-In-Ms %d (error %v), want 1 to 4800", ms, err)
	}
	node.list(silent.Addr)
	c.send(requestHead("GET", "get", "X-Expires-In-Ms: 30")) // the class's deadline is as long as the test's timeout
	if code, _, _ := c.readAnswer(t); code != 503 {
		t.Errorf("request with a timeout of 30 ms: got status %d, want 503", code)
	}
}

// A request with the ID of an open request is rejected and not forwarded. A request stays open until its attempts have ended, even if it
// is already answered.
func TestIDInUseIsRejected(t *testing.T) {
	testbed.Leaks(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { arrived <- struct{}{}; <-release; return okResponse })
	node := startNode(t, nil, b.Addr)
	first, second := node.dial(t), node.dial(t)
	first.send(requestHead("GET", "get", "X-Trace-Id: same"))
	testbed.Receive(t, "the request", arrived)
	second.send(requestHead("GET", "get", "X-Trace-Id: same"))
	if code, _, _ := second.readAnswer(t); code != 409 {
		t.Errorf("second request with the same ID: got status %d, want 409", code)
	}
	close(release)
	if code, _, _ := first.readAnswer(t); code != 200 || len(b.Requests()) != 1 {
		t.Errorf("first request: got status %d and %d requests at the backend, want 200 and 1", code, len(b.Requests()))
	}
}

// A rejection has the balancer's Retry-After in seconds with three decimals.
func TestRetryAfter(t *testing.T) {
	testbed.Leaks(t)
	node := startNode(t, nil)
	c := node.dial(t)
	c.send(requestHead("GET", "get"))
	testbed.Eventually(t, "the request", func() bool { return node.pending() == 1 })
	node.withBalancer(func(time.Duration) {
		for id := range node.requests {
			(*host)(node.Core).Reject(id, 40*time.Millisecond)
		}
	})
	if code, _, h := c.readAnswer(t); code != 503 || h.Get("Retry-After") != "0.040" {
		t.Errorf("got status %d, Retry-After %q, want 503, \"0.040\"", code, h.Get("Retry-After"))
	}
}

func TestMaxOpen(t *testing.T) {
	testbed.Leaks(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { arrived <- struct{}{}; <-release; return okResponse })
	node := startNode(t, func(o *Options) { o.MaxOpen = 1 }, b.Addr)
	first, second := node.dial(t), node.dial(t)
	first.send(requestHead("GET", "get"))
	testbed.Receive(t, "the request", arrived)
	second.send(requestHead("GET", "get"))
	if code, _, _ := second.readAnswer(t); code != 503 {
		t.Errorf("request beyond MaxOpen: got status %d, want 503", code)
	}
	close(release)
	if code, _, _ := first.readAnswer(t); code != 200 {
		t.Errorf("open request: got status %d, want 200", code)
	}
}

// A backend's own 429 or 503 is not forwarded, since only the balancer knows whether a request may be repeated.
func TestEndpointsRejectionIsNotForwarded(t *testing.T) {
	testbed.Leaks(t)
	for _, reply := range []string{"429 Slow", "503 Full"} {
		b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string {
			return "HTTP/1.1 " + reply + "\r\nContent-Length: 0\r\n\r\n"
		})
		node := startNode(t, nil, b.Addr)
		c := node.dial(t)
		c.send(requestHead("POST", "post", "Content-Length: 1") + "x")
		if code, _, _ := c.readAnswer(t); code == 429 || code == 503 || code == 200 {
			t.Errorf("backend answered %s: got status %d for the client, want none of 200, 429 and 503", reply, code)
		}
		if n := len(b.Requests()); n != 1 {
			t.Errorf("backend answered %s: got %d requests at the backend, want 1", reply, n)
		}
	}
}

// At the deadline the client is answered and the attempt ends, which closes the connection to the backend.
func TestDeadline(t *testing.T) {
	testbed.Leaks(t)
	ended := make(chan struct{}, 1)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		_, _ = io.Copy(io.Discard, c)
		ended <- struct{}{}
	})
	node := startNode(t, nil, b.Addr)
	c := node.dial(t)
	c.send(requestHead("GET", "brief"))
	if code, _, _ := c.readAnswer(t); code != 503 { // 503, since the request is safe to repeat
		t.Errorf("got status %d, want 503", code)
	}
	testbed.Receive(t, "the end of the connection to the backend", ended)
	testbed.Eventually(t, "the end of all requests", func() bool { return node.pending() == 0 })
}

func TestClientLeaves(t *testing.T) {
	testbed.Leaks(t)
	arrived, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		_, _ = c.Read(make([]byte, 4<<10))
		arrived <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
		ended <- struct{}{}
	})
	node := startNode(t, nil, b.Addr)
	for name, disconnect := range map[string]func(net.Conn){"closed": func(c net.Conn) { c.Close() }, "reset": testbed.Reset,
		"half closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }} {
		c := node.dial(t)
		c.send(requestHead("POST", "put", "Idempotency-Key: k", "Content-Length: 1") + "x")
		testbed.Receive(t, "the request", arrived)
		disconnect(c.Conn)
		testbed.Receive(t, "the end of the attempt", ended)
		if name == "half closed" { // the client may still read, and the answer must not claim that nothing was executed
			if code, _, _ := c.readAnswer(t); code == 200 || code == 429 || code == 503 {
				t.Errorf("%s: got status %d, want none of 200, 429 and 503", name, code)
			}
		}
		testbed.Eventually(t, "the end of all requests", func() bool { return node.pending() == 0 })
	}
}

// All request bodies together stay within the memory budget. A request whose body would exceed it is rejected with 503, since nothing
// was forwarded.
func TestBodiesStayWithinTheirBudget(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(s testbed.ReceivedRequest, n int) string { return okResponse })
	node := startNode(t, func(o *Options) { o.BodyBytes = 64 << 10 }, b.Addr)
	slow := node.dial(t)
	slow.send(requestHead("POST", "put", "Content-Length: 60000") + strings.Repeat("x", 50000))
	testbed.Eventually(t, "use of the budget", func() bool { return node.bodies.left.Load() < 10<<10 })
	c := node.dial(t)
	go c.send(requestHead("POST", "put", "Content-Length: 60000") + strings.Repeat("x", 60000))
	if code, _, _ := c.readAnswer(t); code != 503 {
		t.Errorf("request beyond the budget: got status %d, want 503", code)
	}
	slow.send(strings.Repeat("x", 10000))
	if code, _, _ := slow.readAnswer(t); code != 200 {
		t.Errorf("request that holds the budget: got status %d, want 200", code)
	}
	testbed.Eventually(t, "release of the budget", func() bool { return node.bodies.left.Load() == 64<<10 })
}

// Stop accepts connections for some time and answers all open requests before it returns.
func TestStop(t *testing.T) {
	testbed.Leaks(t)
	arrived, release := make(chan struct{}, 9), make(chan struct{})
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { arrived <- struct{}{}; <-release; return okResponse })
	node := startNode(t, nil, b.Addr)
	idle, busy, half := node.dial(t), node.dial(t), node.dial(t)
	busy.send(requestHead("GET", "get"))
	testbed.Receive(t, "the request", arrived)
	text := requestHead("POST", "put", "Idempotency-Key: k", "Content-Length: 4") + "body"
	half.send(text[:len(text)-3])
	stopped := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
		defer cancel()
		node.Stop(ctx, node.listener)
		close(stopped)
	}()
	testbed.Eventually(t, "the start of the shutdown", node.stopping.Load)
	late := node.dial(t)
	late.send(requestHead("GET", "get"))
	testbed.Receive(t, "the late request", arrived)
	testbed.Eventually(t, "the close of the listener", func() bool {
		c, err := net.Dial("tcp", node.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	half.send(text[len(text)-3:])
	testbed.Receive(t, "the half-sent request", arrived)
	close(release)
	for name, c := range map[string]*clientConn{"busy": busy, "late": late, "half": half} {
		code, body, h := c.readAnswer(t)
		if code != 200 || body != "ok" {
			t.Errorf("%s: got status %d, body %q, want 200, \"ok\"", name, code, body)
		}
		if h.Get("Connection") != "close" || !c.isClosed() {
			t.Errorf("%s: connection stays open after the answer, want Connection: close and a closed connection", name)
		}
	}
	if !idle.isClosed() {
		t.Error("idle connection: got bytes, want it closed")
	}
	testbed.Receive(t, "the return of Stop", stopped)
}

// A request that the balancer never answers gets 502 from the front after its deadline. Status 502 leaves open whether the
// request was executed, whereas 503 means that a retry is safe. With surplus bytes behind it, the request is rejected before.
func TestRequestWithoutBalancerAnswerFails(t *testing.T) {
	testbed.Leaks(t)
	node := startNode(t, nil)
	for surplus, want := range map[string]int{"": http.StatusBadGateway, "G": http.StatusBadRequest} {
		c := node.dial(t)
		node.mu.Lock() // keeps the request from the balancer
		c.send(requestHead("GET", "brief"))
		var q *request
		node.mu.Unlock()
		testbed.Eventually(t, "the request", func() bool {
			node.mu.Lock()
			defer node.mu.Unlock()
			for _, r := range node.requests {
				q = r
			}
			return q != nil
		})
		c.send(surplus)
		node.mu.Lock()
		node.balancer, _ = balancer.New(node.opt.Settings, 1, (*host)(node.Core))
		node.mu.Unlock()
		if code, _, _ := c.readAnswer(t); code != want {
			t.Errorf("surplus %q: got status %d, want %d", surplus, code, want)
		}
		testbed.Eventually(t, "the end of all requests", func() bool { return node.pending() == 0 && node.unanswered == 0 })
	}
}

// Whatever a client sends, the node answers it or closes the connection, and no request is left pending.
func FuzzClient(f *testing.F) {
	f.Add([]byte(requestHead("GET", "get", "X-Trace-Id: 1")))
	f.Add([]byte(requestHead("POST", "put", "X-Trace-Id: 1", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("GET /get HTTP/1.1\r\nHost: x\r\nConnection: X-Trace-Id, close\r\nX-Trace-Id: 1\r\n\r\n"))
	f.Add([]byte("OPTIONS * HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\n\r\n"))
	f.Add([]byte("GET //x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Qos: get\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
		node := startNode(t, nil, b.Addr)
		c := node.dial(t)
		_, _ = c.Write(text)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		var out bytes.Buffer
		_, _ = io.Copy(&out, c)
		if out.Len() > 0 && !bytes.HasPrefix(out.Bytes(), []byte("HTTP/1.")) {
			t.Errorf("got answer %q, want an HTTP/1 response or none", out.Bytes())
		}
		testbed.Eventually(t, "the end of all requests", func() bool { return node.pending() == 0 })
	})
}
