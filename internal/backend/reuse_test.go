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

// A backend sends an unsolicited second response, or invalid bytes, while the next request is being sent. They must not be taken for the
// response to that request.
func TestUnsolicitedResponseIsNotTakenForTheNext(t *testing.T) {
	testbed.Leaks(t)
	for name, extra := range map[string]string{"a second response": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/1", "noise": "\x00\x01\x02"} {
		peer := testbed.NewPeer(t, func(c net.Conn, _ int) {
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
		up := p.Upstream(peer.Addr, 0)
		for _, path := range []string{"/1", "/2", "/3"} {
			if r := do(up, get(path)); r.Result != balancer.Served || string(r.Body) != path {
				t.Errorf("%s: request %s: result %d, body %q; want %d, %q", name, path, r.Result, r.Body, balancer.Served, path)
			}
		}
	}
}

// Among the connections that have been idle for at least ReuseDelay, the most recently used one is reused.
func TestMostRecentConnectionAfterReuseDelayIsReused(t *testing.T) {
	testbed.Leaks(t)
	server := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	p := newPool(t, Options{ReuseDelay: time.Hour}, 9)
	up := p.Upstream(server.Addr, 0)
	for range 3 {
		do(up, get("/get"))
	}
	if n := server.Connections(); n != 3 {
		t.Fatalf("%d connections opened, want 3", n)
	}
	p.mu.Lock()
	second := up.idle[1]
	for _, c := range up.idle[:2] {
		c.lastUsed = c.lastUsed.Add(-time.Hour)
	}
	p.opt.IdleTimeout = 10 * time.Hour
	p.mu.Unlock()
	if c := up.reuse(time.Now().Add(testbed.WaitTimeout)); c != second {
		t.Error("reuse returned another connection than the most recently used one past ReuseDelay")
	} else {
		c.returnToPool()
	}
	if n := len(up.idle); n != 3 || p.budget.Used() != 3 {
		t.Errorf("%d idle connections, %d descriptors in use; want 3, 3", n, p.budget.Used())
	}
}

// A connection that an attempt took but did not use, because its client had left, keeps its idle time and its place in the pool.
// Counted as just used, it would be reused even after the idle timeout of the backend.
func TestUnusedConnectionsKeepTheirIdleTime(t *testing.T) {
	testbed.Leaks(t)
	server := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	p := newPool(t, Options{ReuseDelay: time.Hour}, 9)
	up := p.Upstream(server.Addr, 0)
	for range 2 {
		do(up, get("/get"))
	}
	if n := server.Connections(); n != 2 {
		t.Fatalf("%d connections opened, want 2", n)
	}
	p.mu.Lock()
	p.opt.ReuseDelay = 0
	older, newer := up.idle[0], up.idle[1]
	older.lastUsed, newer.lastUsed = older.lastUsed.Add(-30*time.Minute), newer.lastUsed.Add(-20*time.Minute)
	lastUsedBefore := newer.lastUsed
	p.mu.Unlock()
	r := get("/left")
	r.StillWanted = func() bool { return false }
	if got := do(up, r); !got.Unwanted || got.Result != balancer.NotSent {
		t.Errorf("Do: result %d, unwanted %t; want %d, true", got.Result, got.Unwanted, balancer.NotSent)
	}
	p.mu.Lock()
	if len(up.idle) != 2 || up.idle[1] != newer || !newer.lastUsed.Equal(lastUsedBefore) {
		t.Errorf("%d idle connections, the unused one last used %v ago; want 2, %v, at the end of the list", len(up.idle), time.Since(newer.lastUsed), time.Since(lastUsedBefore))
	}
	p.mu.Unlock()
	first, second := up.reuse(time.Now().Add(testbed.WaitTimeout)), up.reuse(time.Now().Add(testbed.WaitTimeout))
	if first != newer || second != older {
		t.Fatal("reuse did not return the newer connection first and the older one second")
	}
	first.insertIdle()
	second.insertIdle()
	if up.idle[0] != older || up.idle[1] != newer {
		t.Error("idle connections are not ordered by lastUsed after insertIdle")
	}
	if n := server.Connections(); n != 2 || p.budget.Used() != 2 {
		t.Errorf("%d connections opened, %d descriptors in use; want 2, 2", n, p.budget.Used())
	}
}

// A reused connection breaks at different points of the exchange. Only if the last byte of the request was not written is it certain
// that the request was never executed.
func TestReusedConnectionBreaks(t *testing.T) {
	testbed.Leaks(t)
	longPost := post(8 << 20) // more than the socket buffers of both sides
	for name, c := range map[string]struct {
		r    *Request
		text string // part of the response sent before the connection breaks
		read bool   // whether the backend reads the request first
		want balancer.Result
	}{
		"during the request":   {longPost, "", false, balancer.NotConnected},
		"after the last byte":  {get("/get"), "", true, balancer.ConnectionLost},
		"in the head":          {get("/get"), "HTTP/1.1 200 OK\r\nCont", true, balancer.ConnectionLost},
		"in the body":          {get("/get"), "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true, balancer.ConnectionLost},
		"after a request body": {post(100), "", true, balancer.ConnectionLost},
	} {
		peer := testbed.NewPeer(t, func(conn net.Conn, _ int) {
			r := bufio.NewReader(conn)
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, okResponse)
			if c.read {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
			} else {
				_, _ = r.Peek(1)
			}
			_, _ = io.WriteString(conn, c.text)
			testbed.Reset(conn)
		})
		up := newPool(t, Options{}, 9).Upstream(peer.Addr, 0)
		if r := do(up, get("/get")); r.Result != balancer.Served {
			t.Fatalf("%s: first request: result %d, want %d", name, r.Result, balancer.Served)
		}
		if r := do(up, c.r); r.Result != c.want {
			t.Errorf("%s: second request: result %d, want %d", name, r.Result, c.want)
		}
		if n := peer.Connections(); n != 1 {
			t.Errorf("%s: %d connections opened, want 1", name, n)
		}
	}
}

// If a backend has closed an idle connection before the next request is sent, a new connection is opened.
func TestConnectionClosedBeforeReuse(t *testing.T) {
	testbed.Leaks(t)
	peer := testbed.NewPeer(t, func(c net.Conn, _ int) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, okResponse)
	})
	up := newPool(t, Options{}, 9).Upstream(peer.Addr, 0)
	for i := range 3 {
		if r := do(up, get("/get")); r.Result != balancer.Served {
			t.Errorf("request %d: result %d, want %d", i, r.Result, balancer.Served)
		}
		up.pool.mu.Lock()
		idle := append([]*conn(nil), up.idle...)
		up.pool.mu.Unlock()
		for _, c := range idle {
			testbed.Eventually(t, "the connection to be closed", func() bool { return !c.isUsable() })
		}
	}
}
