package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/testbed"
)

func newPool(t testing.TB, opt Options, limit int) *Pool {
	t.Helper()
	if opt.ConnectTimeout == 0 {
		opt.ConnectTimeout = testbed.WaitTimeout
	}
	if opt.IdleTimeout == 0 {
		opt.IdleTimeout = time.Hour
	}
	p := NewPool(opt, NewBudget(limit))
	t.Cleanup(p.Close)
	return p
}

func get(path string) *Request {
	return &Request{Method: http.MethodGet, URI: path, Host: "api.internal", Header: http.Header{"X-Trace-Id": {"t"}}}
}

func post(n int) *Request {
	r := get("/post")
	r.Method, r.Body = http.MethodPost, Body{bytes.Repeat([]byte("a"), n/2), bytes.Repeat([]byte("b"), n-n/2)}
	return r
}

func refuseStream(int, http.Header, int64) io.Writer { panic("not a long answer") }

func do(up *Upstream, r *Request) Reply {
	return NewAttempt(up, r, time.Now().Add(testbed.WaitTimeout)).Do(refuseStream)
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Each row of the outcome table, and answers that look like one and are not.
func TestOutcomes(t *testing.T) {
	testbed.Leaks(t)
	for _, c := range []struct {
		name, reply string
		want        balancer.Result
	}{
		{"served", ok, balancer.Served},
		{"served, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.Served},
		{"served after 1xx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + ok, balancer.Served},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"503, never ran", "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"504, never ran", "HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"never ran, the body breaks", "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 9\r\n\r\nx", balancer.Rejected},
		{"503 that proves nothing", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"503, the header says no", "HTTP/1.1 503 Full\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"500, never ran", "HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"429", "HTTP/1.1 429 Slow down\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"404", "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"204", "HTTP/1.1 204 None\r\n\r\n", balancer.ServerError},
		{"no answer, closed", "", balancer.ConnectionLost},
		{"cut in the head", "HTTP/1.1 200 OK\r\nContent-Le", balancer.ConnectionLost},
		{"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.ConnectionLost},
		{"cut in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", balancer.ConnectionLost},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", balancer.ConnectionLost},
		{"a chunk of no number", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", balancer.ConnectionLost},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", balancer.ConnectionLost},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", balancer.ConnectionLost},
		{"not HTTP", "SSH-2.0-hello\r\n\r\n", balancer.ConnectionLost},
		{"an endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 3*maxHeadBytes/8), balancer.ConnectionLost},
		{"an endless line", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("b", 3*maxHeadBytes), balancer.ConnectionLost},
		{"nothing but 1xx", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50), balancer.ConnectionLost},
		{"another protocol", "HTTP/1.1 101 Switching\r\n\r\n", balancer.ConnectionLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := testbed.NewPeer(t, func(conn net.Conn, _ int) {
				readRequest(conn)
				_, _ = io.WriteString(conn, c.reply)
			})
			reply := do(newPool(t, Options{}, 9).Upstream(b.Addr, 0), get("/get/x?obj=1"))
			if reply.Result != c.want {
				t.Errorf("result %d, want %d", reply.Result, c.want)
			}
			if c.want == balancer.Served && string(reply.Body) != "ok" {
				t.Errorf("body %q", reply.Body)
			}
		})
	}
}

// readRequest reads a request with no body.
func readRequest(c net.Conn) {
	var head []byte
	for b := make([]byte, 1); !bytes.HasSuffix(head, []byte("\r\n\r\n")); head = append(head, b[0]) {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

func TestResetIsLost(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); testbed.Reset(c) })
	if r := do(newPool(t, Options{}, 9).Upstream(b.Addr, 0), get("/get")); r.Result != balancer.ConnectionLost {
		t.Errorf("result %d", r.Result)
	}
}

func TestSilenceTimesOut(t *testing.T) {
	testbed.Leaks(t)
	up := make(chan struct{})
	b := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); <-up })
	defer close(up)
	a := NewAttempt(newPool(t, Options{}, 9).Upstream(b.Addr, 0), get("/get"), time.Now().Add(30*time.Millisecond))
	if r := a.Do(refuseStream); r.Result != balancer.TimedOut {
		t.Errorf("result %d", r.Result)
	}
}

// The client's time may run out while a connection is being made: the backend is not to blame for that.
func TestDeadlineWithinDial(t *testing.T) {
	testbed.Leaks(t)
	a := NewAttempt(newPool(t, Options{}, 9).Upstream(testbed.FullBacklogAddress(t), 0), get("/get"), time.Now().Add(20*time.Millisecond))
	if r := a.Do(refuseStream); r.Result != balancer.TimedOut {
		t.Errorf("result %d", r.Result)
	}
}

// A backend begins with the last byte: one that hangs up before has not run it.
func TestConnectionBreaksBeforeTheLastByte(t *testing.T) {
	testbed.Leaks(t)
	for name, hangUp := range map[string]func(net.Conn){"reset": testbed.Reset, "closed": func(c net.Conn) { c.Close() }} {
		b := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); hangUp(c) })
		if r := do(newPool(t, Options{}, 9).Upstream(b.Addr, 0), post(32<<20)); r.Result != balancer.NotConnected {
			t.Errorf("%s: result %d", name, r.Result)
		}
	}
}

// A backend may answer before a body ends and read no further.
func TestResponseBeforeTheBodyIsSent(t *testing.T) {
	testbed.Leaks(t)
	for status, want := range map[string]balancer.Result{
		"503 Full\r\nX-Never-Ran: 1": balancer.Rejected, "500 Oops": balancer.ServerError} {
		over := make(chan struct{})
		b := testbed.NewPeer(t, func(c net.Conn, _ int) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
			<-over
		})
		up := newPool(t, Options{}, 9).Upstream(b.Addr, 0)
		if r := do(up, post(32<<20)); r.Result != want {
			t.Errorf("%s: result %d", status, r.Result)
		}
		if len(up.idle) != 0 {
			t.Errorf("%s: the connection was kept with half a request on it", status)
		}
		close(over)
	}
}

func TestRequestGoesOnUnchanged(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	r := post(100 << 10)
	r.URI = "/post/a%2Fb;c?obj=%41&x=1+2&&"
	r.Header["Idempotency-Key"] = []string{"k"}
	if reply := do(newPool(t, Options{}, 9).Upstream(b.Addr, 0), r); reply.Result != balancer.Served {
		t.Fatalf("result %d", reply.Result)
	}
	s := b.Requests()[0]
	want := append(bytes.Clone(r.Body[0]), r.Body[1]...)
	if s.Method != "POST" || s.RequestURI != "/post/a%2Fb;c?obj=%41&x=1+2&&" || !bytes.Equal(s.Content, want) ||
		s.Header.Get("X-Trace-Id") != "t" || s.Header.Get("Idempotency-Key") != "k" || s.Host != "api.internal" {
		t.Errorf("%s %s, %d bytes, %v", s.Method, s.RequestURI, len(s.Content), s.Header)
	}
	if ms := s.Header.Get("X-Expires-In-Ms"); len(ms) < 4 || s.Header["User-Agent"] != nil {
		t.Errorf("X-Expires-In-Ms %q, User-Agent %q", ms, s.Header["User-Agent"])
	}
	if r.Header["X-Expires-In-Ms"] != nil {
		t.Error("the request that the attempts share was changed")
	}
}

// Nothing is sent again unasked, also where net/http's client would: a safe or keyed request on a connection
// that was used before and breaks without an answer.
func TestAttemptWritesItsRequestOnce(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(s testbed.ReceivedRequest, n int) string {
		if n == 0 {
			return ok
		}
		return ""
	})
	up := newPool(t, Options{}, 9).Upstream(b.Addr, 0)
	do(up, get("/get"))
	r := post(10)
	r.Header["Idempotency-Key"] = []string{"k"}
	if reply := do(up, r); reply.Result != balancer.ConnectionLost {
		t.Errorf("result %d", reply.Result)
	}
	if n := len(b.Requests()); n != 2 {
		t.Errorf("the backend has seen %d requests", n)
	}
	if reply := do(up, get("/get")); reply.Result != balancer.ConnectionLost || len(b.Requests()) != 3 {
		t.Errorf("result %d, %d requests", reply.Result, len(b.Requests()))
	}
}

func TestIdleConnectionsEnd(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	p := newPool(t, Options{IdleTimeout: 50 * time.Millisecond}, 9)
	do(p.Upstream(b.Addr, 0), get("/get"))
	testbed.Eventually(t, "the connection to be closed", func() bool { return p.budget.Used() == 0 })
	p = newPool(t, Options{}, 9)
	up := p.Upstream(b.Addr, 0)
	do(up, get("/get"))
	up.CloseIdle()
	if n := p.budget.Used(); n != 0 {
		t.Errorf("CloseIdle left %d", n)
	}
	up.Retire() // an attempt that ends later leaves nothing behind
	do(up, get("/get"))
	if n := p.budget.Used(); n != 0 || len(p.upstreams) != 0 {
		t.Errorf("%d connections and %d backends after Retire", n, len(p.upstreams))
	}
}

// What this node lacks says nothing against a backend.
func TestLocalShortageIsNotSent(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	p := newPool(t, Options{}, 2)
	for p.budget.Used() < p.budget.Limit() {
		p.budget.Acquire()
	}
	for name, up := range map[string]*Upstream{"no descriptor": p.Upstream(b.Addr, 0), "no address": p.Nowhere()} {
		if r := do(up, get("/get")); r.Result != balancer.NotSent {
			t.Errorf("%s: result %d", name, r.Result)
		}
	}
	if n := b.Connections(); n != 0 || p.budget.Used() != p.budget.Limit() {
		t.Errorf("%d connections made, %d descriptors held", n, p.budget.Used())
	}
}

// A connection that is refused, or never established, holds no descriptor afterwards.
func TestFailedDialReleasesItsDescriptor(t *testing.T) {
	testbed.Leaks(t)
	for name, addr := range map[string]string{"refused": testbed.RefusingAddress(t), "never up": testbed.FullBacklogAddress(t)} {
		p := newPool(t, Options{ConnectTimeout: 20 * time.Millisecond}, 9)
		if r := do(p.Upstream(addr, 0), get("/get")); r.Result != balancer.NotConnected {
			t.Errorf("%s: result %d", name, r.Result)
		}
		if n := p.budget.Used(); n != 0 {
			t.Errorf("%s: %d descriptors are held", name, n)
		}
	}
}

// Connections that come back side by side all go to the pool, also while a sweep is scheduled.
func TestAllConnectionsReturnToThePool(t *testing.T) {
	testbed.Leaks(t)
	const n = 3
	came, goOn := make(chan struct{}, n), make(chan struct{})
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { came <- struct{}{}; <-goOn; return ok })
	p := newPool(t, Options{}, 9)
	up := p.Upstream(b.Addr, 0)
	for range 2 {
		ends := make(chan Reply, n)
		for range n {
			go func() { ends <- do(up, get("/get")) }()
		}
		for range n {
			testbed.Receive(t, "a request", came)
		}
		for range n {
			goOn <- struct{}{}
		}
		for range n {
			if r := testbed.Receive(t, "an end", ends); r.Result != balancer.Served {
				t.Errorf("result %d", r.Result)
			}
		}
	}
	if b.Connections() != n || len(up.idle) != n || p.budget.Used() != n {
		t.Errorf("%d connections made, %d idle, %d descriptors held; want %d of each", b.Connections(), len(up.idle), p.budget.Used(), n)
	}
}

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("gone") }

func TestLongResponseIsStreamed(t *testing.T) {
	testbed.Leaks(t)
	long := strings.Repeat("0123456789abcdef", 1<<14) // 256 KiB
	sized := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(long), long)
	for _, c := range []struct {
		name, reply string
		want        balancer.Result
		whole       bool
	}{
		{"whole", sized + long, balancer.Served, true},
		{"chunked", chunked + chunk + "0\r\n\r\n", balancer.Served, true},
		{"cut", sized + long[:len(long)-1], balancer.ConnectionLost, false},
		{"chunked, cut", chunked + chunk, balancer.ConnectionLost, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := testbed.NewPeer(t, func(conn net.Conn, _ int) { readRequest(conn); _, _ = io.WriteString(conn, c.reply) })
			up := newPool(t, Options{}, 9).Upstream(b.Addr, 0)
			var got bytes.Buffer
			begun := 0
			a := NewAttempt(up, get("/get"), time.Now().Add(testbed.WaitTimeout))
			r := a.Do(func(int, http.Header, int64) io.Writer { begun++; return &got })
			if r.Result != c.want || !r.Streamed || begun != 1 || r.FirstByteAt.IsZero() {
				t.Errorf("result %d, streamed %v, begun %d", r.Result, r.Streamed, begun)
			}
			if c.whole && got.String() != long || !strings.HasPrefix(long, got.String()) {
				t.Errorf("%d of %d bytes", got.Len(), len(long))
			}
			for what, w := range map[string]io.Writer{"the request is over": nil, "the client is gone": brokenWriter{}} {
				// A connection of its own: the peer may be about to close the one before.
				a := NewAttempt(newPool(t, Options{}, 9).Upstream(b.Addr, 0), get("/get"), time.Now().Add(testbed.WaitTimeout))
				if r := a.Do(func(int, http.Header, int64) io.Writer { return w }); r.Result != balancer.Cancelled {
					t.Errorf("%s: result %d", what, r.Result)
				}
			}
		})
	}
}

// A long answer has no deadline once it has begun, but a backend that falls silent in it is not waited for.
func TestStreamedResponseStalls(t *testing.T) {
	testbed.Leaks(t)
	over := make(chan struct{})
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\nbegun")
		<-over
	})
	defer close(over)
	a := NewAttempt(newPool(t, Options{}, 9).Upstream(b.Addr, 0), get("/get"), time.Now().Add(testbed.WaitTimeout))
	if r := a.Do(func(int, http.Header, int64) io.Writer { return io.Discard }); r.Result != balancer.ConnectionLost || !r.Streamed {
		t.Errorf("result %d, streamed %v", r.Result, r.Streamed)
	}
}

// Incident rda4557: an answer that stops half way is not waited for until the client's time is up.
func TestResponseStopsHalfWay(t *testing.T) {
	testbed.Leaks(t)
	for _, begun := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"} {
		over := make(chan struct{})
		b := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); _, _ = io.WriteString(c, begun); <-over })
		p := newPool(t, Options{}, 9)
		a := NewAttempt(p.Upstream(b.Addr, 0), get("/get"), time.Now().Add(time.Hour))
		got := make(chan Reply, 1)
		go func() { got <- a.Do(refuseStream) }()
		if r := testbed.Receive(t, "the end", got); r.Result != balancer.TimedOut {
			t.Errorf("%q: result %d", begun, r.Result)
		}
		close(over)
	}
}

// An answer that shows early that it is spoilt is given up at once, though its connection stays open.
func TestInvalidResponsesFailAtOnce(t *testing.T) {
	testbed.Leaks(t)
	for name, begun := range map[string]string{"noise": "\x16\x03\x01", "noise that begins well": "HTTP/2",
		"3 GB": "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nthey keep coming"} {
		over := make(chan struct{})
		b := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); _, _ = io.WriteString(c, begun); <-over })
		p := newPool(t, Options{}, 9)
		a := NewAttempt(p.Upstream(b.Addr, 0), get("/get"), time.Now().Add(testbed.WaitTimeout))
		r := a.Do(func(int, http.Header, int64) io.Writer { return nil })
		close(over)
		if r.Result != balancer.ConnectionLost || p.budget.Used() != 0 {
			t.Errorf("%s: result %d, %d descriptors", name, r.Result, p.budget.Used())
		}
	}
}

// A pause such as backends make is none of that, nor is one before the answer.
func TestPausesWithinLimitsAreNoFailure(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		readRequest(c)
		time.Sleep(2 * defaultPauseTimeout)
		for _, part := range []string{ok[:9], ok[9:30], ok[30:]} {
			_, _ = io.WriteString(c, part)
			time.Sleep(defaultPauseTimeout / 5)
		}
	})
	if r := do(newPool(t, Options{}, 9).Upstream(b.Addr, 0), get("/get")); r.Result != balancer.Served {
		t.Errorf("result %d", r.Result)
	}
}

// A cancel ends an answer that has begun, too.
func TestCancelWithinTheResponse(t *testing.T) {
	testbed.Leaks(t)
	came, over := make(chan struct{}), make(chan struct{})
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		readRequest(c)
		_, _ = io.WriteString(c, ok[:9])
		close(came)
		for {
			select {
			case <-over:
				return
			case <-time.After(defaultPauseTimeout / 10):
				_, _ = io.WriteString(c, "x")
			}
		}
	})
	defer close(over)
	a := NewAttempt(newPool(t, Options{}, 9).Upstream(b.Addr, 0), get("/get"), time.Now().Add(time.Hour))
	got := make(chan Reply, 1)
	go func() { got <- a.Do(refuseStream) }()
	<-came
	a.Cancel()
	if r := testbed.Receive(t, "the end", got); r.Result != balancer.Cancelled {
		t.Errorf("result %d", r.Result)
	}
}

func TestHealthCheck(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(s testbed.ReceivedRequest, n int) string {
		if s.RequestURI != "/health/live" || s.Header.Get("X-Trace-Id") != "" {
			return ""
		}
		return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=7, queue=2\r\nContent-Length: 0\r\n\r\n"
	})
	r := HealthCheck(context.Background(), newPool(t, Options{}, 9).Upstream(b.Addr, 0), "/health/live", testbed.WaitTimeout)
	load := ParseLoad(r.LoadReport)
	if r.Result != balancer.Served || load["inflight"] != 7 || load["queue"] != 2 {
		t.Errorf("result %d, load %v", r.Result, load)
	}
}

func FuzzParseLoad(f *testing.F) {
	for _, s := range []string{"", "TEXT ", "TEXT a=1, b=2.5", "TEXT =,=,a", "JSON {}", "TEXT a=NaN"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) { ParseLoad(s) })
}

// Whatever a backend answers, an attempt ends with one result and no half answer is called served.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{ok, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\n\r\n", "HTTP/1.1 100 C\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "\x00"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		b := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); _, _ = c.Write(answer) })
		p := newPool(t, Options{}, 9)
		a := NewAttempt(p.Upstream(b.Addr, 0), get("/get"), time.Now().Add(testbed.WaitTimeout))
		r := a.Do(func(int, http.Header, int64) io.Writer { return io.Discard })
		if r.Result == balancer.Served && !bytes.HasPrefix(answer, []byte("HTTP/1.")) {
			t.Errorf("served from %q", answer)
		}
		p.Close()
		if n := p.budget.Used(); n != 0 {
			t.Errorf("%d descriptors are still booked", n)
		}
	})
}
