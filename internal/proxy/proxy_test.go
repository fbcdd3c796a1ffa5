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

func TestServes(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(s testbed.ReceivedRequest, n int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-B: %d\r\nContent-Length: %d\r\n\r\n%s", n, len(s.Content), s.Content)
	})
	w := start(t, nil, b.Addr)
	c := w.dial(t)
	c.send(head("GET", "get"))
	if code, body, h := c.answer(t); code != 200 || body != "" || h.Get("X-B") != "0" {
		t.Errorf("%d %q %v", code, body, h)
	}
	long := strings.Repeat("x", DefaultMaxBodyBytes)
	for _, text := range []string{"a", strings.Repeat("y", 20<<10), long} {
		c.send(head("POST", "put", "Idempotency-Key: k", fmt.Sprint("Content-Length: ", len(text))) + text)
		if code, body, _ := c.answer(t); code != 200 || body != text {
			t.Errorf("%d, %d bytes of %d", code, len(body), len(text))
		}
	}
	c.send(head("POST", "post", "Transfer-Encoding: chunked") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	if code, body, _ := c.answer(t); code != 200 || body != "abcde" {
		t.Errorf("%d %q", code, body)
	}
	for i, s := range b.Requests() {
		if s.Header.Get("X-Trace-Id") == "" || s.Header.Get("X-Expires-In-Ms") == "" || i == 1 && s.Header.Get("Idempotency-Key") != "k" {
			t.Errorf("request %d: %v", i, s.Header)
		}
	}
	if w.held() != 0 || w.unanswered != 0 || w.bodies.left.Load() != 64<<20 {
		t.Errorf("left: %d requests, %d open, %d bytes", w.held(), w.unanswered, w.bodies.left.Load())
	}
}

func TestReady(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, nil, testbed.RefusingAddress(t))
	c := w.dial(t)
	c.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if code, _, _ := c.answer(t); code != 200 {
		t.Errorf("with a list: %d", code)
	}
	w.ready.Store(false)
	c.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if code, _, _ := c.answer(t); code != 503 {
		t.Errorf("with none: %d", code)
	}
}

func TestBadInput(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	w := start(t, nil, b.Addr)
	hidden := "0\r\n\r\n" + head("GET", "get", "X-Trace-Id: hidden")
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no id":                             {head("GET", "get", "X-Trace-Id"), 400},
		"an empty id":                       {head("GET", "get", "X-Trace-Id: "), 400},
		"unknown class":                     {head("GET", "odd"), 503},
		"not HTTP":                          {"hello\r\n\r\n", 400},
		"no host":                           {"GET /get HTTP/1.1\r\nX-Trace-Id: x\r\n\r\n", 400},
		"a line too many":                   {"GET /get HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n", 400},
		"too long a head":                   {"GET /get HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 1<<20), 431},
		"too long a body":                   {head("POST", "put", "Content-Length: 65537"), 413},
		"no number":                         {head("POST", "put", "Content-Length: many"), 400},
		"two lengths":                       {head("POST", "put", "Content-Length: 1", "Content-Length: 2"), 400},
		"a chunk of no size":                {head("POST", "put", "Transfer-Encoding: chunked") + "zz\r\n", 400},
		"a length and an encoding":          {head("POST", "put", "Content-Length: 5", "Transfer-Encoding: chunked") + hidden, 400},
		"an encoding and a length":          {head("POST", "put", "transfer-encoding: chunked", "content-length: 99") + hidden, 400},
		"an encoding that HTTP/1.0 has not": {strings.Replace(head("POST", "put", "Transfer-Encoding: chunked"), "1.1", "1.0", 1) + hidden, 400},
		"too short a length":                {head("POST", "put", "Content-Length: 5") + hidden, 400},
		"a negative length":                 {head("POST", "put", "Content-Length: -5"), 400},
		"too long a chunked body":           {head("POST", "put", "Transfer-Encoding: chunked") + "10001\r\n" + strings.Repeat("x", 65537) + "\r\n0\r\n\r\n", 413},
		"a time of no number":               {head("GET", "get", "X-Expires-In-Ms: soon"), 400},
		"a negative time":                   {head("GET", "get", "X-Expires-In-Ms: -5"), 400},
		"an unknown encoding":               {head("POST", "put", "Transfer-Encoding: gzip") + "zz\r\n", 400},
	} {
		k := w.dial(t)
		go k.send(c.text)
		if code, _, _ := k.answer(t); code != c.status {
			t.Errorf("%s: %d, want %d", name, code, c.status)
		}
		if !k.closed() {
			t.Errorf("%s: more was answered", name)
		}
	}
	if n := len(b.Requests()); n != 0 {
		t.Errorf("%d of them were sent on", n)
	}
	k := w.dial(t)
	k.send(head("GET", "get"))
	if code, _, _ := k.answer(t); code != 200 {
		t.Errorf("afterwards: %d", code)
	}
}

// A client's own timeout counts if it is below the class's deadline; a value that is no positive number is rejected.
func TestClientsTimeout(t *testing.T) {
	n := &Node{Core: &Core{classDeadlines: map[string]time.Duration{"get": time.Second}}}
	for text, want := range map[string]time.Duration{"x": 0, "0": 0, "-5": 0, "1.5": 0, "99999999999999999999": 0,
		"2000": time.Second, "480": 480 * time.Millisecond} {
		r := &http.Request{ProtoMajor: 1, Host: "x", Header: http.Header{"X-Qos": {"get"}, "X-Expires-In-Ms": {text}}}
		r.URL = mustURL("/get")
		if why := malformed(r); (why != "") != (want == 0) {
			t.Errorf("%q: malformed %q", text, why)
		}
		if q := n.attributes(r, "t"); want != 0 && q.TimeLeft != want {
			t.Errorf("%q: %v", text, q.TimeLeft)
		}
	}
}

// A client that sends nothing, or stops in the middle of a request, is disconnected soon.
func TestSilentClientsAreClosed(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, nil)
	began := time.Now()
	peers := map[string]*peer{"": nil, "GET /get": nil, head("POST", "put", "Content-Length: 9") + "half": nil}
	for text := range peers {
		peers[text] = w.dial(t)
		peers[text].send(text)
	}
	for text, c := range peers {
		if text != "" {
			if code, _, _ := c.answer(t); code != http.StatusRequestTimeout {
				t.Errorf("%q: %d", text, code)
			}
		}
		if !c.closed() {
			t.Errorf("%q: something was answered", text)
		}
	}
	if d := time.Since(began); d < requestReadTimeout {
		t.Errorf("a client had %v for its request", d)
	}
}

// Regression test for day term 405155058601, in which the node ignored the client's own timeout and answered long after the client
// had left. The timeout reaches the balancer, and the backend receives what is left of it.
func TestClientsDeadlineIsForwarded(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	silent := testbed.NewPeer(t, func(c net.Conn, _ int) { _, _ = io.Copy(io.Discard, c) })
	w := start(t, nil, b.Addr)
	c := w.dial(t)
	c.send(head("GET", "get", "X-Expires-In-Ms: 4800"))
	if code, _, _ := c.answer(t); code != 200 {
		t.Errorf("%d", code)
	}
	if ms, err := strconv.Atoi(b.Requests()[0].Header.Get("X-Expires-In-Ms")); err != nil || ms <= 0 || ms > 4800 {
		t.Errorf("the backend was told %d ms (%v)", ms, err)
	}
	w.list(silent.Addr)
	c.send(head("GET", "get", "X-Expires-In-Ms: 30")) // the class's deadline is as long as this test waits
	if code, _, _ := c.answer(t); code != 503 {
		t.Errorf("%d", code)
	}
}

// A request with the ID of an open one is not forwarded, also after the answer while an attempt is in flight.
func TestIDInUseIsRejected(t *testing.T) {
	testbed.Leaks(t)
	came, goOn := make(chan struct{}, 1), make(chan struct{})
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { came <- struct{}{}; <-goOn; return ok })
	w := start(t, nil, b.Addr)
	one, two := w.dial(t), w.dial(t)
	one.send(head("GET", "get", "X-Trace-Id: same"))
	testbed.Receive(t, "the request", came)
	two.send(head("GET", "get", "X-Trace-Id: same"))
	if code, _, _ := two.answer(t); code != 409 {
		t.Errorf("%d", code)
	}
	close(goOn)
	if code, _, _ := one.answer(t); code != 200 || len(b.Requests()) != 1 {
		t.Errorf("%d, %d requests", code, len(b.Requests()))
	}
}

// A rejection carries the balancer's Retry-After, in seconds with decimals.
func TestRetryAfter(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, nil)
	c := w.dial(t)
	c.send(head("GET", "get"))
	testbed.Eventually(t, "the request", func() bool { return w.held() == 1 })
	w.withBalancer(func(time.Duration) {
		for id := range w.requests {
			(*host)(w.Core).Reject(id, 40*time.Millisecond)
		}
	})
	if code, _, h := c.answer(t); code != 503 || h.Get("Retry-After") != "0.040" {
		t.Errorf("%d, Retry-After %q", code, h.Get("Retry-After"))
	}
}

func TestMaxOpen(t *testing.T) {
	testbed.Leaks(t)
	came, goOn := make(chan struct{}, 1), make(chan struct{})
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { came <- struct{}{}; <-goOn; return ok })
	w := start(t, func(o *Options) { o.MaxOpen = 1 }, b.Addr)
	one, two := w.dial(t), w.dial(t)
	one.send(head("GET", "get"))
	testbed.Receive(t, "the request", came)
	two.send(head("GET", "get"))
	if code, _, _ := two.answer(t); code != 503 {
		t.Errorf("%d", code)
	}
	close(goOn)
	if code, _, _ := one.answer(t); code != 200 {
		t.Errorf("%d", code)
	}
}

// A backend's own rejection is not passed on: whether a request may be repeated only the balancer can tell.
func TestEndpointsRejectionIsNotForwarded(t *testing.T) {
	testbed.Leaks(t)
	for _, reply := range []string{"429 Slow", "503 Full"} {
		b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string {
			return "HTTP/1.1 " + reply + "\r\nContent-Length: 0\r\n\r\n"
		})
		w := start(t, nil, b.Addr)
		c := w.dial(t)
		c.send(head("POST", "post", "Content-Length: 1") + "x")
		if code, _, _ := c.answer(t); code == 429 || code == 503 || code == 200 {
			t.Errorf("%s became %d", reply, code)
		}
		if n := len(b.Requests()); n != 1 {
			t.Errorf("%s: sent %d times", reply, n)
		}
	}
}

// An attempt ends at the client's deadline, and the client is answered; the backend sees the connection close.
func TestDeadline(t *testing.T) {
	testbed.Leaks(t)
	ended := make(chan struct{}, 1)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		_, _ = io.Copy(io.Discard, c)
		ended <- struct{}{}
	})
	w := start(t, nil, b.Addr)
	c := w.dial(t)
	c.send(head("GET", "brief"))
	if code, _, _ := c.answer(t); code != 503 { // safe to repeat
		t.Errorf("%d", code)
	}
	testbed.Receive(t, "the backend to see it", ended)
	testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 })
}

func TestClientLeaves(t *testing.T) {
	testbed.Leaks(t)
	came, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		_, _ = c.Read(make([]byte, 4<<10))
		came <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
		ended <- struct{}{}
	})
	w := start(t, nil, b.Addr)
	for name, leave := range map[string]func(net.Conn){"closed": func(c net.Conn) { c.Close() }, "reset": testbed.Reset,
		"half closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }} {
		c := w.dial(t)
		c.send(head("POST", "put", "Idempotency-Key: k", "Content-Length: 1") + "x")
		testbed.Receive(t, "the request", came)
		leave(c.Conn)
		testbed.Receive(t, "the attempt to be given up", ended)
		if name == "half closed" { // it may still read, and the answer must not claim that nothing was executed
			if code, _, _ := c.answer(t); code == 200 || code == 429 || code == 503 {
				t.Errorf("%s: %d", name, code)
			}
		}
		testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 })
	}
}

// All bodies together stay within the budget; a request whose body exceeds it is rejected, as nothing of it was forwarded.
func TestBodiesStayWithinTheirBudget(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(s testbed.ReceivedRequest, n int) string { return ok })
	w := start(t, func(o *Options) { o.BodyBytes = 64 << 10 }, b.Addr)
	slow := w.dial(t)
	slow.send(head("POST", "put", "Content-Length: 60000") + strings.Repeat("x", 50000))
	testbed.Eventually(t, "the budget to be used", func() bool { return w.bodies.left.Load() < 10<<10 })
	c := w.dial(t)
	go c.send(head("POST", "put", "Content-Length: 60000") + strings.Repeat("x", 60000))
	if code, _, _ := c.answer(t); code != 503 {
		t.Errorf("%d", code)
	}
	slow.send(strings.Repeat("x", 10000))
	if code, _, _ := slow.answer(t); code != 200 {
		t.Errorf("the slow one: %d", code)
	}
	testbed.Eventually(t, "the budget to be free", func() bool { return w.bodies.left.Load() == 64<<10 })
}

// A node that is stopped accepts connections for some time more, then answers its open requests.
func TestStop(t *testing.T) {
	testbed.Leaks(t)
	came, goOn := make(chan struct{}, 9), make(chan struct{})
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { came <- struct{}{}; <-goOn; return ok })
	w := start(t, nil, b.Addr)
	idle, busy, half := w.dial(t), w.dial(t), w.dial(t)
	busy.send(head("GET", "get"))
	testbed.Receive(t, "the request", came)
	text := head("POST", "put", "Idempotency-Key: k", "Content-Length: 4") + "body"
	half.send(text[:len(text)-3])
	stopped := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
		defer cancel()
		w.Stop(ctx, w.l)
		close(stopped)
	}()
	testbed.Eventually(t, "the stop", w.stopping.Load)
	late := w.dial(t)
	late.send(head("GET", "get"))
	testbed.Receive(t, "the late request", came)
	testbed.Eventually(t, "the listener to close", func() bool {
		c, err := net.Dial("tcp", w.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	half.send(text[len(text)-3:])
	testbed.Receive(t, "the half-sent request", came)
	close(goOn)
	for name, c := range map[string]*peer{"busy": busy, "late": late, "half": half} {
		code, body, h := c.answer(t)
		if code != 200 || body != "ok" {
			t.Errorf("%s: %d %q", name, code, body)
		}
		if h.Get("Connection") != "close" || !c.closed() {
			t.Errorf("%s: the connection is kept", name)
		}
	}
	if !idle.closed() {
		t.Error("the idle connection is kept")
	}
	testbed.Receive(t, "the end", stopped)
}

// The guard answers requests that the balancer leaves unanswered, without a claim whether they were executed.
func TestGuardFailsUnansweredRequests(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, nil)
	for _, early := range []string{"", "G"} { // with and without the start of a pipelined request
		c := w.dial(t)
		w.mu.Lock() // the balancer cannot be notified
		c.send(head("GET", "brief"))
		var q *request
		w.mu.Unlock()
		testbed.Eventually(t, "the request", func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, r := range w.requests {
				q = r
			}
			return q != nil
		})
		c.send(early)
		w.mu.Lock()
		w.balancer, _ = balancer.New(w.opt.Settings, 1, (*host)(w.Core))
		w.mu.Unlock()
		if code, _, _ := c.answer(t); code != http.StatusBadGateway {
			t.Errorf("%d", code)
		}
		testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 && w.unanswered == 0 })
	}
}

// Whatever a client sends, the node answers or closes the connection, and keeps serving.
func FuzzClient(f *testing.F) {
	f.Add([]byte(head("GET", "get", "X-Trace-Id: 1")))
	f.Add([]byte(head("POST", "put", "X-Trace-Id: 1", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("GET /get HTTP/1.1\r\nHost: x\r\nConnection: X-Trace-Id, close\r\nX-Trace-Id: 1\r\n\r\n"))
	f.Add([]byte("OPTIONS * HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\n\r\n"))
	f.Add([]byte("GET //x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Qos: get\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
		w := start(t, nil, b.Addr)
		c := w.dial(t)
		_, _ = c.Write(text)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		var out bytes.Buffer
		_, _ = io.Copy(&out, c)
		if out.Len() > 0 && !bytes.HasPrefix(out.Bytes(), []byte("HTTP/1.")) {
			t.Errorf("answered %q", out.Bytes())
		}
		testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 })
	})
}
