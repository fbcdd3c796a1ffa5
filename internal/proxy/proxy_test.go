package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/discovery"
	"robindrum/internal/testbed"
)

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

type world struct {
	*Node
	addr   string
	budget *backend.Budget
	l      net.Listener
	served chan struct{}
}

// start runs a node over backends at the addresses given, all of one zone and cell.
func start(t *testing.T, shape func(*Options), addrs ...string) *world {
	t.Helper()
	s := balancer.Settings{Zone: "a", Zones: []string{"a"}, Proxies: 1, MaxAttempts: 3, MayCancel: true,
		Classes: []balancer.Class{
			{Name: "get", Deadline: testbed.WaitTimeout, Effect: balancer.Idempotent, PriorityWeight: 1},
			{Name: "brief", Deadline: 50 * time.Millisecond, Effect: balancer.Idempotent, PriorityWeight: 1},
			{Name: "put", Deadline: testbed.WaitTimeout, Effect: balancer.IdempotentWithKey, Group: balancer.GroupCell, Window: time.Minute, PriorityWeight: 1},
			{Name: "post", Deadline: testbed.WaitTimeout, Effect: balancer.NonIdempotent, PriorityWeight: 1},
		}}
	w := &world{budget: backend.NewBudget(64), served: make(chan struct{})}
	opt := Options{Settings: s, Seed: 1, BodyBytes: 64 << 20, Budget: w.budget}
	if shape != nil {
		shape(&opt)
		w.budget = opt.Budget
	}
	pool := backend.NewPool(backend.Options{ConnectTimeout: testbed.WaitTimeout, IdleTimeout: time.Hour}, w.budget)
	var err error
	if w.Node, err = New(opt, pool); err != nil {
		t.Fatal(err)
	}
	if w.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	w.addr = w.l.Addr().String()
	w.list(addrs...)
	go func() {
		w.Serve(w.l)
		close(w.served)
	}()
	t.Cleanup(func() {
		w.stopping.Store(true)
		w.l.Close()
		testbed.Receive(t, "the end of serving", w.served)
		w.Close()
		w.conns.awaitEmpty()
	})
	return w
}

func (w *world) list(addrs ...string) {
	u := discovery.Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateSnapshot}, Endpoints: map[string]string{}}
	if len(addrs) == 0 { // one that has yet to come: requests are held
		u.Kind = balancer.UpdateCached
	}
	for i, a := range addrs {
		id := fmt.Sprint("s", i)
		u.Servers = append(u.Servers, balancer.Server{ID: id, Zone: "a", Weight: 1})
		u.Endpoints[id] = a
	}
	w.UpdateEndpoints(u)
}

func (w *world) held() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// peer is one connection of a client, seen from there.
type peer struct {
	net.Conn
	r *bufio.Reader
}

func (w *world) dial(t *testing.T) *peer {
	t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testbed.WaitTimeout))
	t.Cleanup(func() { c.Close() })
	return &peer{c, bufio.NewReader(c)}
}

var ids atomic.Int64

// head words a request; a trace id is added unless one is given.
func head(method, class string, fields ...string) string {
	h := method + " /" + class + "/x?obj=7 HTTP/1.1\r\nHost: api.internal\r\nX-Qos: " + class + "\r\n"
	if !strings.Contains(strings.Join(fields, "\n"), "X-Trace-Id") {
		fields = append(fields, fmt.Sprint("X-Trace-Id: t", ids.Add(1)))
	}
	for _, f := range fields {
		if f != "X-Trace-Id" {
			h += f + "\r\n"
		}
	}
	return h + "\r\n"
}

func (c *peer) send(text string) { _, _ = io.WriteString(c, text) }

func (c *peer) answer(t *testing.T) (int, string, http.Header) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("half an answer: %v", err)
	}
	if resp.Close {
		resp.Header.Set("Connection", "close") // net/http takes it out
	}
	return resp.StatusCode, string(body), resp.Header
}

func (c *peer) closed() bool {
	_, err := c.r.ReadByte()
	return err != nil
}

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

// What a client says of its time counts below the class's deadline; what is no positive number is turned away.
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

// A client that says nothing, or stops in the middle of a request, is not kept for long.
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

// Day term 405155058601: a node that forgot the client's own time answered when the client had long left. What
// the client says reaches the module, and the backend hears what is left of it.
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
	c.send(head("GET", "get", "X-Expires-In-Ms: 30")) // the class would allow as long as this test is patient
	if code, _, _ := c.answer(t); code != 503 {
		t.Errorf("%d", code)
	}
}

// An id that is still in hand is not sent again, also after its answer while an attempt is out.
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

// A refusal carries the module's advice, in seconds with decimals.
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

// A backend's own refusal is not the client's: it promises what only the module can tell.
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

// An attempt ends at the client's deadline, and the client is told; the backend sees it given up.
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
		if name == "half closed" { // it may still read, and what it is told must promise nothing
			if code, _, _ := c.answer(t); code == 200 || code == 429 || code == 503 {
				t.Errorf("%s: %d", name, code)
			}
		}
		testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 })
	}
}

func TestLongAnswerIsStreamed(t *testing.T) {
	testbed.Leaks(t)
	long := strings.Repeat("0123456789abcdef", 1<<17) // 2 MiB
	for name, reply := range map[string]string{
		"sized":        fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"chunked":      fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long),
		"sized, cut":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long)+1, long),
		"chunked, cut": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long),
	} {
		n := 0
		b := testbed.NewPeer(t, func(c net.Conn, k int) {
			n++
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, reply)
		})
		w := start(t, nil, b.Addr)
		c := w.dial(t)
		c.send(head("GET", "get"))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: %v", name, err)
		}
		body, err := io.ReadAll(resp.Body)
		if cut := strings.Contains(name, "cut"); cut != (err != nil) || !cut && string(body) != long {
			t.Errorf("%s: %d bytes, %v", name, len(body), err)
		}
		testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 })
		if b.Connections() != 1 {
			t.Errorf("%s: sent %d times", name, b.Connections())
		}
	}
}

// Bodies together stay within the budget; one that finds no room is refused, as nothing of it was sent on.
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

// A node that is stopped goes on accepting for as long as connections still come, then answers what it holds.
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

// The guard fails what the module leaves unanswered, and says nothing of whether it ran.
func TestGuardFailsUnansweredRequests(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, nil)
	for _, early := range []string{"", "G"} { // with and without a next request that comes too early
		c := w.dial(t)
		w.mu.Lock() // the module cannot know of it
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

// Whatever a client sends, the node answers or closes, and goes on.
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

func mustURL(text string) *url.URL {
	u, err := url.ParseRequestURI(text)
	if err != nil {
		panic(err)
	}
	return u
}

// Incident r69d8ed: answers that take long to send are no reason to refuse what idle backends could do.
func TestStreamedAnswersDoNotCauseRejections(t *testing.T) {
	testbed.Leaks(t)
	over := make(chan struct{})
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Query().Get("obj") != "7" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\nbegun")
				for { // a byte now and then, as it stays under way
					select {
					case <-over:
						return
					case <-time.After(100 * time.Millisecond):
						if _, err := c.Write([]byte("x")); err != nil {
							return
						}
					}
				}
			}
			_, _ = io.WriteString(c, ok)
		}
	})
	defer close(over)
	w := start(t, nil, b.Addr)
	for range 15 {
		c := w.dial(t)
		c.send(strings.Replace(head("GET", "get"), "obj=7", "obj=long", 1))
		if line, err := c.r.ReadString('\n'); err != nil || !strings.Contains(line, "200") {
			t.Fatalf("%q %v", line, err)
		}
	}
	c := w.dial(t)
	for range 20 {
		c.send(head("GET", "get"))
		if code, _, _ := c.answer(t); code != 200 {
			t.Fatalf("%d with 15 answers on their way", code)
		}
	}
}

// Incident r69d8ed again: the copy that lost ends while the other's long answer is passed on. That is no reason
// to cut it off.
func TestLosingHedgeLeavesTheStreamedAnswer(t *testing.T) {
	testbed.Leaks(t)
	long := strings.Repeat("x", 100<<10)
	var copies atomic.Int64
	lost := make(chan struct{}, 2)
	script := func(c net.Conn, _ int) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			switch {
			case err != nil:
				return
			case req.URL.Query().Get("obj") == "7":
				_, _ = io.WriteString(c, ok)
			case copies.Add(1) == 1: // silent, until it is called off
				_, _ = r.ReadByte()
				lost <- struct{}{}
				return
			default:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long[1:])
				<-lost
				time.Sleep(50 * time.Millisecond) // the node hears of it
				_, _ = io.WriteString(c, "x")
				return
			}
		}
	}
	w := start(t, func(o *Options) {
		o.Settings.ParallelAttempts = true
		o.Settings.Classes[0].LatencyObjective = 20 * time.Millisecond
	}, testbed.NewPeer(t, script).Addr, testbed.NewPeer(t, script).Addr)
	c := w.dial(t)
	for range 30 { // so that the module knows how long an answer takes
		c.send(head("GET", "get"))
		c.answer(t)
	}
	c.send(strings.Replace(head("GET", "get"), "obj=7", "obj=long", 1))
	if code, body, _ := c.answer(t); code != 200 || body != long {
		t.Errorf("%d, %d bytes", code, len(body))
	}
	if n := copies.Load(); n != 2 {
		t.Errorf("%d copies", n)
	}
}

// An answer whose body breaks off is none, whatever its head said.
func TestBrokenAnswerIsNotServed(t *testing.T) {
	testbed.Leaks(t)
	for name, text := range map[string]string{
		"short":        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"no body":      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
		"broken chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"spoilt chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
		"without end":  "HTTP/1.1 200 OK\r\n\r\nhalf",
	} {
		b := testbed.NewPeer(t, func(c net.Conn, n int) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
		})
		w := start(t, nil, b.Addr)
		for _, class := range []string{"get", "post"} {
			c := w.dial(t)
			c.send(head("GET", class))
			if code, body, _ := c.answer(t); code != 502 && code != 503 || body != "" {
				t.Errorf("%s, %s: %d %q", name, class, code, body)
			}
		}
	}
}
