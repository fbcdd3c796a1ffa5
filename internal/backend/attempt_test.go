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

func failOnStream(int, http.Header, int64) io.Writer {
	panic("response was streamed, want a complete one")
}

func do(up *Upstream, r *Request) Reply {
	return NewAttempt(up, r, time.Now().Add(testbed.WaitTimeout)).Do(failOnStream)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against an attempt that is written although it may not be any more, and against one that then waits for a response. Small
// requests are written before the response is read, large ones meanwhile.
func TestAttemptThatMayNotBeWritten(t *testing.T) {
	testbed.Leaks(t)
	for _, size := range []int{0, 2 * maxInlineBodyBytes} {
		received := make(chan int, 1)
		peer := testbed.NewPeer(t, func(c net.Conn, _ int) {
			n, _ := io.Copy(io.Discard, c)
			received <- int(n)
		})
		a := NewAttempt(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), post(size), time.Now().Add(time.Hour))
		a.OnWrite(func() bool { return false })
		if reply := a.Do(failOnStream); reply.Result != balancer.NotSent {
			t.Errorf("body of %d bytes: result %v, want %v", size, reply.Result, balancer.NotSent)
		}
		if n := testbed.Receive(t, "the end of the connection", received); n != 0 {
			t.Errorf("body of %d bytes: %d bytes were written, want none", size, n)
		}
	}
}

// Guards against an attempt that is aborted while its body is written and then waits for a response until its deadline.
func TestAbortWhileTheBodyIsWritten(t *testing.T) {
	testbed.Leaks(t)
	release := make(chan struct{})
	defer close(release)
	peer := testbed.NewPeer(t, func(net.Conn, int) { <-release })
	a := NewAttempt(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), post(64<<20), time.Now().Add(time.Hour))
	time.AfterFunc(50*time.Millisecond, a.Abort)
	done := make(chan Reply, 1)
	go func() { done <- a.Do(failOnStream) }()
	if reply := testbed.Receive(t, "the end of the attempt", done); reply.Result != balancer.NotSent {
		t.Errorf("result %v, want %v", reply.Result, balancer.NotSent)
	}
}

// Each kind of response maps to its result, including responses that resemble another kind.
func TestOutcomes(t *testing.T) {
	testbed.Leaks(t)
	for _, c := range []struct {
		name, reply string
		want        balancer.Result
	}{
		{"served", okResponse, balancer.Served},
		{"served, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.Served},
		{"served after 1xx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, balancer.Served},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"503, never ran", "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"504, never ran", "HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"never ran, truncated body", "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 9\r\n\r\nx", balancer.Rejected},
		{"503 without X-Never-Ran", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"503 with X-Never-Ran: 0", "HTTP/1.1 503 Full\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"500, never ran", "HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"429", "HTTP/1.1 429 Slow down\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"404", "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"204", "HTTP/1.1 204 None\r\n\r\n", balancer.ServerError},
		{"closed without response", "", balancer.ConnectionLost},
		{"truncated head", "HTTP/1.1 200 OK\r\nContent-Le", balancer.ConnectionLost},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.ConnectionLost},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", balancer.ConnectionLost},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", balancer.ConnectionLost},
		{"invalid chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", balancer.ConnectionLost},
		{"no Content-Length", "HTTP/1.1 200 OK\r\n\r\nok", balancer.ConnectionLost},
		{"conflicting Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", balancer.ConnectionLost},
		{"not HTTP", "SSH-2.0-hello\r\n\r\n", balancer.ConnectionLost},
		{"head over limit", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 3*maxHeadBytes/8), balancer.ConnectionLost},
		{"header line over limit", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("b", 3*maxHeadBytes), balancer.ConnectionLost},
		{"only 1xx", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50), balancer.ConnectionLost},
		{"101 Switching Protocols", "HTTP/1.1 101 Switching\r\n\r\n", balancer.ConnectionLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer := testbed.NewPeer(t, func(conn net.Conn, _ int) {
				readRequest(conn)
				_, _ = io.WriteString(conn, c.reply)
			})
			reply := do(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), get("/get/x?obj=1"))
			if reply.Result != c.want {
				t.Errorf("Do: result %d, want %d", reply.Result, c.want)
			}
			if c.want == balancer.Served && string(reply.Body) != "ok" {
				t.Errorf("Do: body %q, want %q", reply.Body, "ok")
			}
		})
	}
}

// readRequest reads a request without a body.
func readRequest(c net.Conn) {
	var head []byte
	for next := make([]byte, 1); !bytes.HasSuffix(head, []byte("\r\n\r\n")); head = append(head, next[0]) {
		if _, err := c.Read(next); err != nil {
			return
		}
	}
}

func TestResetIsConnectionLost(t *testing.T) {
	testbed.Leaks(t)
	peer := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); testbed.Reset(c) })
	if r := do(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), get("/get")); r.Result != balancer.ConnectionLost {
		t.Errorf("Do: result %d, want %d", r.Result, balancer.ConnectionLost)
	}
}

func TestSilentBackendTimesOut(t *testing.T) {
	testbed.Leaks(t)
	done := make(chan struct{})
	peer := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); <-done })
	defer close(done)
	a := NewAttempt(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), get("/get"), time.Now().Add(30*time.Millisecond))
	if r := a.Do(failOnStream); r.Result != balancer.TimedOut {
		t.Errorf("Do: result %d, want %d", r.Result, balancer.TimedOut)
	}
}

// The deadline of the request may pass while the connection is being established. This is a timeout, not a failed connection that
// counts against the backend.
func TestDeadlineDuringDial(t *testing.T) {
	testbed.Leaks(t)
	a := NewAttempt(newPool(t, Options{}, 9).Upstream(testbed.FullBacklogAddress(t), 0), get("/get"), time.Now().Add(20*time.Millisecond))
	if r := a.Do(failOnStream); r.Result != balancer.TimedOut {
		t.Errorf("Do: result %d, want %d", r.Result, balancer.TimedOut)
	}
}

// A backend starts a request only after its last byte, so a connection that breaks before proves that the request was not executed.
func TestConnectionBreaksBeforeTheLastByte(t *testing.T) {
	testbed.Leaks(t)
	for name, hangUp := range map[string]func(net.Conn){"reset": testbed.Reset, "closed": func(c net.Conn) { c.Close() }} {
		peer := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); hangUp(c) })
		if r := do(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), post(32<<20)); r.Result != balancer.NotConnected {
			t.Errorf("%s: result %d, want %d", name, r.Result, balancer.NotConnected)
		}
	}
}

// A backend may respond before it has read the whole request body, and not read the rest.
func TestResponseBeforeTheBodyIsSent(t *testing.T) {
	testbed.Leaks(t)
	for status, want := range map[string]balancer.Result{
		"503 Full\r\nX-Never-Ran: 1": balancer.Rejected, "500 Oops": balancer.ServerError} {
		done := make(chan struct{})
		peer := testbed.NewPeer(t, func(c net.Conn, _ int) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
			<-done
		})
		up := newPool(t, Options{}, 9).Upstream(peer.Addr, 0)
		if r := do(up, post(32<<20)); r.Result != want {
			t.Errorf("%s: result %d, want %d", status, r.Result, want)
		}
		if len(up.idle) != 0 {
			t.Errorf("%s: %d idle connections after a partly written request, want 0", status, len(up.idle))
		}
		close(done)
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	testbed.Leaks(t)
	server := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	r := post(100 << 10)
	r.URI = "/post/a%2Fb;c?obj=%41&x=1+2&&"
	r.Header["Idempotency-Key"] = []string{"k"}
	if reply := do(newPool(t, Options{}, 9).Upstream(server.Addr, 0), r); reply.Result != balancer.Served {
		t.Fatalf("Do: result %d, want %d", reply.Result, balancer.Served)
	}
	s := server.Requests()[0]
	want := append(bytes.Clone(r.Body[0]), r.Body[1]...)
	if s.Method != "POST" || s.RequestURI != "/post/a%2Fb;c?obj=%41&x=1+2&&" || !bytes.Equal(s.Content, want) ||
		s.Header.Get("X-Trace-Id") != "t" || s.Header.Get("Idempotency-Key") != "k" || s.Host != "api.internal" {
		t.Errorf("backend received %s %s with %d bytes, host %q, header %v; want POST %s with %d bytes", s.Method, s.RequestURI, len(s.Content), s.Host, s.Header, r.URI, len(want))
	}
	if ms := s.Header.Get("X-Expires-In-Ms"); len(ms) < 4 || s.Header["User-Agent"] != nil {
		t.Errorf("backend received X-Expires-In-Ms %q, User-Agent %q; want at least 4 digits and no User-Agent", ms, s.Header["User-Agent"])
	}
	if r.Header["X-Expires-In-Ms"] != nil {
		t.Error("the attempt modified the header of the shared request")
	}
}

// An attempt never resends its request, not even where net/http's client would: a request that is idempotent or has an idempotency
// key, on a reused connection that breaks without a response.
func TestAttemptWritesItsRequestOnce(t *testing.T) {
	testbed.Leaks(t)
	server := testbed.NewBackend(t, func(s testbed.ReceivedRequest, n int) string {
		if n == 0 {
			return okResponse
		}
		return ""
	})
	up := newPool(t, Options{}, 9).Upstream(server.Addr, 0)
	do(up, get("/get"))
	r := post(10)
	r.Header["Idempotency-Key"] = []string{"k"}
	if reply := do(up, r); reply.Result != balancer.ConnectionLost {
		t.Errorf("Do: result %d, want %d", reply.Result, balancer.ConnectionLost)
	}
	if n := len(server.Requests()); n != 2 {
		t.Errorf("backend received %d requests, want 2", n)
	}
	if reply := do(up, get("/get")); reply.Result != balancer.ConnectionLost || len(server.Requests()) != 3 {
		t.Errorf("Do: result %d, backend received %d requests; want %d, 3", reply.Result, len(server.Requests()), balancer.ConnectionLost)
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	testbed.Leaks(t)
	server := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	p := newPool(t, Options{IdleTimeout: 50 * time.Millisecond}, 9)
	do(p.Upstream(server.Addr, 0), get("/get"))
	testbed.Eventually(t, "the connection to be closed", func() bool { return p.budget.Used() == 0 })
	p = newPool(t, Options{}, 9)
	up := p.Upstream(server.Addr, 0)
	do(up, get("/get"))
	up.CloseIdle()
	if n := p.budget.Used(); n != 0 {
		t.Errorf("after CloseIdle: %d descriptors in use, want 0", n)
	}
	up.Retire() // the connection of a later attempt is closed, too
	do(up, get("/get"))
	if n := p.budget.Used(); n != 0 || len(p.upstreams) != 0 {
		t.Errorf("after Retire: %d descriptors in use, %d endpoints; want 0, 0", n, len(p.upstreams))
	}
}

// A local resource shortage does not count as a failure of the backend.
func TestLocalResourceShortageIsNotSent(t *testing.T) {
	testbed.Leaks(t)
	server := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	p := newPool(t, Options{}, 2)
	for p.budget.Used() < p.budget.Limit() {
		p.budget.Acquire()
	}
	for name, up := range map[string]*Upstream{"no descriptor": p.Upstream(server.Addr, 0), "no address": p.Unlisted()} {
		if r := do(up, get("/get")); r.Result != balancer.NotSent {
			t.Errorf("%s: result %d, want %d", name, r.Result, balancer.NotSent)
		}
	}
	if n := server.Connections(); n != 0 || p.budget.Used() != p.budget.Limit() {
		t.Errorf("%d connections opened, %d descriptors in use; want 0, %d", n, p.budget.Used(), p.budget.Limit())
	}
}

// A connection that is refused or times out releases its descriptor.
func TestFailedDialReleasesItsDescriptor(t *testing.T) {
	testbed.Leaks(t)
	for name, addr := range map[string]string{"refused": testbed.RefusingAddress(t), "connect timeout": testbed.FullBacklogAddress(t)} {
		p := newPool(t, Options{ConnectTimeout: 20 * time.Millisecond}, 9)
		if r := do(p.Upstream(addr, 0), get("/get")); r.Result != balancer.NotConnected {
			t.Errorf("%s: result %d, want %d", name, r.Result, balancer.NotConnected)
		}
		if n := p.budget.Used(); n != 0 {
			t.Errorf("%s: %d descriptors in use, want 0", name, n)
		}
	}
}

// Connections returned concurrently all go to the pool, even while a sweep is scheduled.
func TestAllConnectionsReturnToThePool(t *testing.T) {
	testbed.Leaks(t)
	const n = 3
	received, proceed := make(chan struct{}, n), make(chan struct{})
	server := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { received <- struct{}{}; <-proceed; return okResponse })
	p := newPool(t, Options{}, 9)
	up := p.Upstream(server.Addr, 0)
	for range 2 {
		replies := make(chan Reply, n)
		for range n {
			go func() { replies <- do(up, get("/get")) }()
		}
		for range n {
			testbed.Receive(t, "a request", received)
		}
		for range n {
			proceed <- struct{}{}
		}
		for range n {
			if r := testbed.Receive(t, "a reply", replies); r.Result != balancer.Served {
				t.Errorf("Do: result %d, want %d", r.Result, balancer.Served)
			}
		}
	}
	if server.Connections() != n || len(up.idle) != n || p.budget.Used() != n {
		t.Errorf("%d connections opened, %d idle, %d descriptors in use; want %d of each", server.Connections(), len(up.idle), p.budget.Used(), n)
	}
}

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("client disconnected") }

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
			peer := testbed.NewPeer(t, func(conn net.Conn, _ int) { readRequest(conn); _, _ = io.WriteString(conn, c.reply) })
			up := newPool(t, Options{}, 9).Upstream(peer.Addr, 0)
			var got bytes.Buffer
			begun := 0
			a := NewAttempt(up, get("/get"), time.Now().Add(testbed.WaitTimeout))
			r := a.Do(func(int, http.Header, int64) io.Writer { begun++; return &got })
			if r.Result != c.want || !r.Streamed || begun != 1 || r.FirstByteAt.IsZero() {
				t.Errorf("Do: result %d, streamed %v, begin called %d times, first byte at %v; want %d, true, 1, a time", r.Result, r.Streamed, begun, r.FirstByteAt, c.want)
			}
			if c.whole && got.String() != long || !strings.HasPrefix(long, got.String()) {
				t.Errorf("streamed %d of %d bytes, or different ones; want a prefix, whole %v", got.Len(), len(long), c.whole)
			}
			for what, w := range map[string]io.Writer{"request already answered": nil, "client disconnected": brokenWriter{}} {
				// Use a new pool, because the peer may be about to close the previous connection.
				a := NewAttempt(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), get("/get"), time.Now().Add(testbed.WaitTimeout))
				if r := a.Do(func(int, http.Header, int64) io.Writer { return w }); r.Result != balancer.Cancelled {
					t.Errorf("%s: result %d, want %d", what, r.Result, balancer.Cancelled)
				}
			}
		})
	}
}

// A streamed response has no deadline, but it fails if the backend sends nothing for the stall timeout.
func TestStreamedResponseStalls(t *testing.T) {
	testbed.Leaks(t)
	done := make(chan struct{})
	peer := testbed.NewPeer(t, func(c net.Conn, _ int) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\nbegun")
		<-done
	})
	defer close(done)
	a := NewAttempt(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), get("/get"), time.Now().Add(testbed.WaitTimeout))
	if r := a.Do(func(int, http.Header, int64) io.Writer { return io.Discard }); r.Result != balancer.ConnectionLost || !r.Streamed {
		t.Errorf("Do: result %d, streamed %v; want %d, true", r.Result, r.Streamed, balancer.ConnectionLost)
	}
}

// Incident rda4557: a response that stops partway fails after the pause timeout instead of at the deadline of the request.
func TestIncompleteResponseTimesOut(t *testing.T) {
	testbed.Leaks(t)
	for _, begun := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"} {
		done := make(chan struct{})
		peer := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); _, _ = io.WriteString(c, begun); <-done })
		p := newPool(t, Options{}, 9)
		a := NewAttempt(p.Upstream(peer.Addr, 0), get("/get"), time.Now().Add(time.Hour))
		got := make(chan Reply, 1)
		go func() { got <- a.Do(failOnStream) }()
		if r := testbed.Receive(t, "the reply", got); r.Result != balancer.TimedOut {
			t.Errorf("%q: result %d, want %d", begun, r.Result, balancer.TimedOut)
		}
		close(done)
	}
}

// A response that is recognizably invalid fails at once, even though its connection stays open.
func TestInvalidResponsesFailAtOnce(t *testing.T) {
	testbed.Leaks(t)
	for name, begun := range map[string]string{"noise": "\x16\x03\x01", "wrong version": "HTTP/2",
		"3 GB": "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nthey keep coming"} {
		done := make(chan struct{})
		peer := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); _, _ = io.WriteString(c, begun); <-done })
		p := newPool(t, Options{}, 9)
		a := NewAttempt(p.Upstream(peer.Addr, 0), get("/get"), time.Now().Add(testbed.WaitTimeout))
		r := a.Do(func(int, http.Header, int64) io.Writer { return nil })
		close(done)
		if r.Result != balancer.ConnectionLost || p.budget.Used() != 0 {
			t.Errorf("%s: result %d, %d descriptors in use; want %d, 0", name, r.Result, p.budget.Used(), balancer.ConnectionLost)
		}
	}
}

// Pauses within a response that are shorter than the pause timeout are allowed, and so is a longer one before the response.
func TestPausesWithinLimitsAreAllowed(t *testing.T) {
	testbed.Leaks(t)
	peer := testbed.NewPeer(t, func(c net.Conn, _ int) {
		readRequest(c)
		time.Sleep(2 * defaultPauseTimeout)
		for _, part := range []string{okResponse[:9], okResponse[9:30], okResponse[30:]} {
			_, _ = io.WriteString(c, part)
			time.Sleep(defaultPauseTimeout / 5)
		}
	})
	if r := do(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), get("/get")); r.Result != balancer.Served {
		t.Errorf("Do: result %d, want %d", r.Result, balancer.Served)
	}
}

// Cancel also ends an attempt whose response has begun.
func TestCancelDuringResponse(t *testing.T) {
	testbed.Leaks(t)
	begun, done := make(chan struct{}), make(chan struct{})
	peer := testbed.NewPeer(t, func(c net.Conn, _ int) {
		readRequest(c)
		_, _ = io.WriteString(c, okResponse[:9])
		close(begun)
		for {
			select {
			case <-done:
				return
			case <-time.After(defaultPauseTimeout / 10):
				_, _ = io.WriteString(c, "x")
			}
		}
	})
	defer close(done)
	a := NewAttempt(newPool(t, Options{}, 9).Upstream(peer.Addr, 0), get("/get"), time.Now().Add(time.Hour))
	got := make(chan Reply, 1)
	go func() { got <- a.Do(failOnStream) }()
	<-begun
	a.Cancel()
	if r := testbed.Receive(t, "the reply", got); r.Result != balancer.Cancelled {
		t.Errorf("Do: result %d, want %d", r.Result, balancer.Cancelled)
	}
}

func TestHealthCheck(t *testing.T) {
	testbed.Leaks(t)
	server := testbed.NewBackend(t, func(s testbed.ReceivedRequest, n int) string {
		if s.RequestURI != "/health/live" || s.Header.Get("X-Trace-Id") != "" {
			return ""
		}
		return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=7, queue=2\r\nContent-Length: 0\r\n\r\n"
	})
	r := HealthCheck(context.Background(), newPool(t, Options{}, 9).Upstream(server.Addr, 0), "/health/live", testbed.WaitTimeout)
	load := ParseLoad(r.LoadReport)
	if r.Result != balancer.Served || load["inflight"] != 7 || load["queue"] != 2 {
		t.Errorf("HealthCheck: result %d, load report %v; want %d, inflight 7, queue 2", r.Result, load, balancer.Served)
	}
}

func FuzzParseLoad(f *testing.F) {
	for _, s := range []string{"", "TEXT ", "TEXT a=1, b=2.5", "TEXT =,=,a", "JSON {}", "TEXT a=NaN"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) { ParseLoad(s) })
}

// For any response, an attempt ends and releases its descriptor, and data that is not HTTP/1 is never reported as served.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{okResponse, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\n\r\n", "HTTP/1.1 100 C\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "\x00"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		peer := testbed.NewPeer(t, func(c net.Conn, _ int) { readRequest(c); _, _ = c.Write(response) })
		p := newPool(t, Options{}, 9)
		a := NewAttempt(p.Upstream(peer.Addr, 0), get("/get"), time.Now().Add(testbed.WaitTimeout))
		r := a.Do(func(int, http.Header, int64) io.Writer { return io.Discard })
		if r.Result == balancer.Served && !bytes.HasPrefix(response, []byte("HTTP/1.")) {
			t.Errorf("Do: got result Served for invalid response %q, want another result", response)
		}
		p.Close()
		if n := p.budget.Used(); n != 0 {
			t.Errorf("after Close: %d descriptors in use, want 0", n)
		}
	})
}
