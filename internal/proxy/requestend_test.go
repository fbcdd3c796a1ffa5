package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/testbed"
)

// answerRequests returns a backend script that sends each complete request to arrived and answers it.
func answerRequests(arrived chan<- string) func(c net.Conn, n int) {
	return func(c net.Conn, _ int) {
		buf := make([]byte, 4<<10)
		for text := ""; ; {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			if text += string(buf[:n]); strings.Contains(text, "\r\n\r\n") {
				arrived <- text
				_, _ = io.WriteString(c, okResponse)
				text = ""
			}
		}
	}
}

// A request ends while the connection for its attempt is being dialed, and the settings forbid cancelling attempts. The request is not
// written to that connection.
func TestRequestEndsWhileDialing(t *testing.T) {
	for _, name := range []string{"client gone", "expired", "answered by a hedge"} {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			late, arrived := make(chan string, 9), make(chan string, 9)
			delayed := testbed.NewDelayedPeer(t, answerRequests(late))
			b := testbed.NewPeer(t, answerRequests(arrived))
			node := startNode(t, func(o *Options) { o.Settings.MayCancel, o.Settings.ParallelAttempts = false, true }, delayed.Addr)
			c := node.dial(t)
			class := "get"
			if name == "expired" {
				class = "brief"
			}
			c.send(requestHead("GET", class, "X-Trace-Id: q"))
			var q *request
			testbed.Eventually(t, "the attempt", func() bool {
				node.mu.Lock()
				defer node.mu.Unlock()
				q = node.requests["q"]
				return q != nil && len(q.attempts) == 1
			})
			switch name {
			case "client gone":
				c.Close()
			case "answered by a hedge":
				node.list(delayed.Addr, b.Addr)
				node.mu.Lock()
				(*host)(node.Core).Send("q", "s1", 0)
				node.mu.Unlock()
			}
			testbed.Receive(t, "the request's end", q.Done())
			delayed.Open()
			// Whether the dial fails or succeeds, nothing may be written on the connection.
			testbed.Eventually(t, "the end of all requests", func() bool { return node.pending() == 0 })
			if len(late) != 0 {
				t.Errorf("got request %q forwarded after its end, want none", <-late)
			}
		})
	}
}

// A hedge that the balancer starts just after the request was answered is not sent.
func TestHedgeAfterTheAnswerIsNotSent(t *testing.T) {
	testbed.Leaks(t)
	arrived, release := make(chan string, 9), make(chan struct{})
	b := testbed.NewPeer(t, func(c net.Conn, n int) {
		if n > 0 {
			answerRequests(arrived)(c, n)
			return
		}
		buf := make([]byte, 4<<10)
		k, _ := c.Read(buf)
		arrived <- string(buf[:k])
		<-release
		_, _ = io.WriteString(c, okResponse)
		_, _ = io.Copy(io.Discard, c)
	})
	node := startNode(t, func(o *Options) { o.Settings.MayCancel, o.Settings.ParallelAttempts = false, true }, b.Addr, b.Addr)
	c := node.dial(t)
	c.send(requestHead("GET", "get", "X-Trace-Id: q"))
	testbed.Receive(t, "the request", arrived)
	node.mu.Lock()
	q := node.requests["q"]
	node.settleAnswer(q, Answer{Status: http.StatusBadGateway})
	(*host)(node.Core).Send("q", "s1", 0)
	if q.attempts[1] != nil {
		t.Error("got an attempt for an answered request, want none")
	}
	node.mu.Unlock()
	node.withBalancer(func(time.Duration) {}) // answers the client
	if code, _, _ := c.readAnswer(t); code != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", code)
	}
	close(release)
	testbed.Eventually(t, "the end of all requests", func() bool { return node.pending() == 0 })
	if len(arrived) != 0 {
		t.Errorf("got request %q forwarded after the answer, want none", <-arrived)
	}
}

// Attempts are cancelled or aborted at different steps of the exchange. No data that they leave on a connection reaches the next
// attempt.
func TestCancelAtEachStep(t *testing.T) {
	testbed.Leaks(t)
	budget := backend.NewBudget(8)
	pool := backend.NewPool(backend.Options{ConnectTimeout: testbed.WaitTimeout, IdleTimeout: time.Hour}, budget)
	defer pool.Close()
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return okResponse })
	up := pool.Upstream(b.Addr, 0)
	refuseStream := func(int, http.Header, int64) io.Writer { return nil }
	for i := range 400 {
		attempt := backend.NewAttempt(up, &backend.Request{Method: "GET", URI: "/x", Host: "x", Header: http.Header{}}, time.Now().Add(testbed.WaitTimeout))
		cancelled := make(chan struct{})
		go func() {
			time.Sleep(time.Duration(i%100) * 2 * time.Microsecond)
			if i%2 == 0 {
				attempt.Cancel()
			} else {
				attempt.Abort()
			}
			close(cancelled)
		}()
		reply := attempt.Do(refuseStream)
		if reply.Result != balancer.Served && reply.Result != balancer.Cancelled && reply.Result != balancer.NotSent {
			t.Fatalf("cancelled attempt: got result %d, want Served, Cancelled or NotSent", reply.Result)
		}
		<-cancelled
		if reply := backend.NewAttempt(up, &backend.Request{Method: "GET", URI: "/x", Host: "x", Header: http.Header{}}, time.Now().Add(testbed.WaitTimeout)).Do(refuseStream); reply.Result != balancer.Served {
			t.Fatalf("next attempt: got result %d, want Served", reply.Result)
		}
		if n := budget.Used(); n > 1 {
			t.Fatalf("got %d descriptors in use, want at most 1", n)
		}
	}
}

// An endpoint moves to a new address under the same ID while an attempt to the old one is in flight. That attempt completes normally, new
// attempts go to the new address, and each attempt is counted once.
func TestEndpointMovesToANewAddress(t *testing.T) {
	testbed.Leaks(t)
	arrived, release := make(chan string, 9), make(chan struct{})
	startBackend := func(name string, pending bool) *testbed.Backend {
		return testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string {
			if arrived <- name; pending {
				<-release
			}
			return okResponse
		})
	}
	oldBackend, newBackend := startBackend("old", true), startBackend("new", false)
	node := startNode(t, nil, oldBackend.Addr)
	first, second := node.dial(t), node.dial(t)
	first.send(requestHead("GET", "get"))
	if name := testbed.Receive(t, "the request", arrived); name != "old" {
		t.Fatal(name)
	}
	inFlight := func() (n int) {
		node.EachServer(func(_ string, k int, _ bool) { n += k })
		return n
	}
	node.list(newBackend.Addr)
	if n := inFlight(); n != 1 {
		t.Errorf("after the address change: got %d attempts in flight, want 1", n)
	}
	second.send(requestHead("GET", "get"))
	if name := testbed.Receive(t, "the next request", arrived); name != "new" {
		t.Errorf("second request: sent to the %s backend, want new", name)
	}
	second.readAnswer(t)
	close(release)
	if code, _, _ := first.readAnswer(t); code != 200 {
		t.Errorf("first request: got status %d, want 200", code)
	}
	testbed.Eventually(t, "the end of all requests", func() bool { return node.pending() == 0 })
	if n := inFlight(); n != 0 {
		t.Errorf("at the end: got %d attempts in flight, want 0", n)
	}
	testbed.Eventually(t, "the close of the connections to the old address", func() bool { return node.budget.Used() == 3 })
}
