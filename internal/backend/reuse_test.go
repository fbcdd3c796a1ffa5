package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/testbed"
)

// A backend sends a second response, or noise, while the next request is on its way: it is not taken for that request's response.
func TestSecondResponseIsNotTakenForTheNext(t *testing.T) {
	testbed.Leaks(t)
	for name, extra := range map[string]string{"a second answer": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/1", "noise": "\x00\x01\x02"} {
		b := testbed.NewPeer(t, func(c net.Conn, _ int) {
			for r, n := bufio.NewReader(c), 0; ; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if n > 0 { // on the connection of the previous request
					_, _ = io.WriteString(c, extra)
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.RequestURI), req.RequestURI)
			}
		})
		p := newPool(t, Options{ReuseDelay: time.Hour}, 9)
		up := p.Upstream(b.Addr, 0)
		for _, path := range []string{"/1", "/2", "/3"} {
			if r := do(up, get(path)); r.Result != balancer.Served || string(r.Body) != path {
				t.Errorf("%s: %s was answered %d %q", name, path, r.Result, r.Body)
			}
		}
	}
}

// Of the connections that have been idle for long enough, the most recently used one is reused.
func TestRestedConnectionsAreReused(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	p := newPool(t, Options{ReuseDelay: time.Hour}, 9)
	up := p.Upstream(b.Addr, 0)
	for range 3 {
		do(up, get("/get"))
	}
	if n := b.Connections(); n != 3 {
		t.Fatalf("%d connections", n)
	}
	p.mu.Lock()
	second := up.idle[1]
	for _, c := range up.idle[:2] {
		c.lastUsed = c.lastUsed.Add(-time.Hour)
	}
	p.opt.IdleTimeout = 10 * time.Hour
	p.mu.Unlock()
	if c := up.reuse(time.Now().Add(testbed.WaitTimeout)); c != second {
		t.Error("another one is used")
	} else {
		c.returnToPool()
	}
	if n := len(up.idle); n != 3 || p.budget.Used() != 3 {
		t.Errorf("%d are idle, %d descriptors held", n, p.budget.Used())
	}
}

// A connection that an attempt took and did not use, as its client had left, keeps its idle time and its place in the pool. If it
// counted as just used, it would be reused after the backend's idle timeout.
func TestUnusedConnectionsKeepTheirIdleTime(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	p := newPool(t, Options{ReuseDelay: time.Hour}, 9)
	up := p.Upstream(b.Addr, 0)
	for range 2 {
		do(up, get("/get"))
	}
	if n := b.Connections(); n != 2 {
		t.Fatalf("%d connections", n)
	}
	p.mu.Lock()
	p.opt.ReuseDelay = 0
	older, newer := up.idle[0], up.idle[1]
	older.lastUsed, newer.lastUsed = older.lastUsed.Add(-30*time.Minute), newer.lastUsed.Add(-20*time.Minute)
	was := newer.lastUsed
	p.mu.Unlock()
	r := get("/left")
	r.StillWanted = func() bool { return false }
	if got := do(up, r); !got.Unwanted || got.Result != balancer.NotSent {
		t.Errorf("result %d, unwanted %t", got.Result, got.Unwanted)
	}
	p.mu.Lock()
	if len(up.idle) != 2 || up.idle[1] != newer || !newer.lastUsed.Equal(was) {
		t.Errorf("%d are idle, the one not used for %v", len(up.idle), time.Since(newer.lastUsed))
	}
	p.mu.Unlock()
	first, second := up.reuse(time.Now().Add(testbed.WaitTimeout)), up.reuse(time.Now().Add(testbed.WaitTimeout))
	if first != newer || second != older {
		t.Fatal("others are used")
	}
	first.insertIdle()
	second.insertIdle()
	if up.idle[0] != older || up.idle[1] != newer {
		t.Error("the one used last is not at the end")
	}
	if n := b.Connections(); n != 2 || p.budget.Used() != 2 {
		t.Errorf("%d connections, %d descriptors held", n, p.budget.Used())
	}
}

// A reused connection breaks at each point of the exchange. Only if the last byte was not written is it certain that the request
// was never executed.
func TestReusedConnectionBreaks(t *testing.T) {
	testbed.Leaks(t)
	big := post(8 << 20) // more than the socket buffers of both sides
	for name, c := range map[string]struct {
		r    *Request
		text string // of the response, before the connection breaks
		read bool   // the request is read first
		want balancer.Result
	}{
		"as the request comes":     {big, "", false, balancer.NotConnected},
		"behind the last byte":     {get("/get"), "", true, balancer.ConnectionLost},
		"in the head":              {get("/get"), "HTTP/1.1 200 OK\r\nCont", true, balancer.ConnectionLost},
		"in the body":              {get("/get"), "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true, balancer.ConnectionLost},
		"behind a body of its own": {post(100), "", true, balancer.ConnectionLost},
	} {
		b := testbed.NewPeer(t, func(k net.Conn, _ int) {
			r := bufio.NewReader(k)
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(k, ok)
			if c.read {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
			} else {
				_, _ = r.Peek(1)
			}
			_, _ = io.WriteString(k, c.text)
			testbed.Reset(k)
		})
		up := newPool(t, Options{}, 9).Upstream(b.Addr, 0)
		if r := do(up, get("/get")); r.Result != balancer.Served {
			t.Fatalf("%s: the first one: %d", name, r.Result)
		}
		if r := do(up, c.r); r.Result != c.want {
			t.Errorf("%s: result %d, want %d", name, r.Result, c.want)
		}
		if n := b.Connections(); n != 1 {
			t.Errorf("%s: %d connections", name, n)
		}
	}
}

// A backend has closed an idle connection before the next request is sent: another connection is opened.
func TestConnectionClosedBeforeReuse(t *testing.T) {
	testbed.Leaks(t)
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, ok)
	})
	up := newPool(t, Options{}, 9).Upstream(b.Addr, 0)
	for i := range 3 {
		if r := do(up, get("/get")); r.Result != balancer.Served {
			t.Errorf("request %d: %d", i, r.Result)
		}
		up.pool.mu.Lock()
		idle := append([]*conn(nil), up.idle...)
		up.pool.mu.Unlock()
		for _, c := range idle {
			testbed.Eventually(t, "its end", func() bool { return !c.isUsable() })
		}
	}
}
