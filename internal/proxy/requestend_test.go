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

// wholes sends each request that arrived in full to came, and answers it.
func wholes(came chan<- string) func(c net.Conn, n int) {
	return func(c net.Conn, _ int) {
		b := make([]byte, 4<<10)
		for text := ""; ; {
			n, err := c.Read(b)
			if err != nil {
				return
			}
			if text += string(b[:n]); strings.Contains(text, "\r\n\r\n") {
				came <- text
				_, _ = io.WriteString(c, ok)
				text = ""
			}
		}
	}
}

// A request ends while the connection for its attempt is being dialed, and the settings allow no cancel: the request is not written.
func TestRequestEndsWhileDialing(t *testing.T) {
	for _, name := range []string{"client gone", "expired", "answered by a copy"} {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			late, came := make(chan string, 9), make(chan string, 9)
			l := testbed.NewDelayedPeer(t, wholes(late))
			b := testbed.NewPeer(t, wholes(came))
			w := start(t, func(o *Options) { o.Settings.MayCancel, o.Settings.ParallelAttempts = false, true }, l.Addr)
			c := w.dial(t)
			class := "get"
			if name == "expired" {
				class = "brief"
			}
			c.send(head("GET", class, "X-Trace-Id: q"))
			var q *request
			testbed.Eventually(t, "the attempt", func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				q = w.requests["q"]
				return q != nil && len(q.attempts) == 1
			})
			switch name {
			case "client gone":
				c.Close()
			case "answered by a copy":
				w.list(l.Addr, b.Addr)
				w.mu.Lock()
				(*host)(w.Core).Send("q", "s1", 0)
				w.mu.Unlock()
			}
			testbed.Receive(t, "the request's end", q.Done())
			l.Open()
			// Whether the dial fails or succeeds, nothing may be written on the connection.
			testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 })
			if len(late) != 0 {
				t.Errorf("sent after its end: %q", <-late)
			}
		})
	}
}

// A hedge is decided just after the answer: nothing is sent.
func TestHedgeAtTheMomentOfTheAnswer(t *testing.T) {
	testbed.Leaks(t)
	came, goOn := make(chan string, 9), make(chan struct{})
	b := testbed.NewPeer(t, func(c net.Conn, n int) {
		if n > 0 {
			wholes(came)(c, n)
			return
		}
		buf := make([]byte, 4<<10)
		k, _ := c.Read(buf)
		came <- string(buf[:k])
		<-goOn
		_, _ = io.WriteString(c, ok)
		_, _ = io.Copy(io.Discard, c)
	})
	w := start(t, func(o *Options) { o.Settings.MayCancel, o.Settings.ParallelAttempts = false, true }, b.Addr, b.Addr)
	c := w.dial(t)
	c.send(head("GET", "get", "X-Trace-Id: q"))
	testbed.Receive(t, "the request", came)
	w.mu.Lock()
	q := w.requests["q"]
	w.settleAnswer(q, Answer{Status: http.StatusBadGateway})
	(*host)(w.Core).Send("q", "s1", 0)
	if q.attempts[1] != nil {
		t.Error("an attempt was made for a request that is over")
	}
	w.mu.Unlock()
	w.withBalancer(func(time.Duration) {}) // answers the client
	if code, _, _ := c.answer(t); code != http.StatusBadGateway {
		t.Errorf("%d", code)
	}
	close(goOn)
	testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 })
	if len(came) != 0 {
		t.Errorf("sent after the answer: %q", <-came)
	}
}

// An attempt is cancelled at each step of the exchange: nothing that it leaves on a connection reaches the next attempt.
func TestCancelAtEachStep(t *testing.T) {
	testbed.Leaks(t)
	budget := backend.NewBudget(8)
	p := backend.NewPool(backend.Options{ConnectTimeout: testbed.WaitTimeout, IdleTimeout: time.Hour}, budget)
	defer p.Close()
	b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return ok })
	up := p.Upstream(b.Addr, 0)
	nobody := func(int, http.Header, int64) io.Writer { return nil }
	for i := range 400 {
		a := backend.NewAttempt(up, &backend.Request{Method: "GET", URI: "/x", Host: "x", Header: http.Header{}}, time.Now().Add(testbed.WaitTimeout))
		cancelled := make(chan struct{})
		go func() {
			time.Sleep(time.Duration(i%100) * 2 * time.Microsecond)
			if i%2 == 0 {
				a.Cancel()
			} else {
				a.Abort()
			}
			close(cancelled)
		}()
		r := a.Do(nobody)
		if r.Result != balancer.Served && r.Result != balancer.Cancelled && r.Result != balancer.NotSent {
			t.Fatalf("result %d", r.Result)
		}
		<-cancelled
		if r := backend.NewAttempt(up, &backend.Request{Method: "GET", URI: "/x", Host: "x", Header: http.Header{}}, time.Now().Add(testbed.WaitTimeout)).Do(nobody); r.Result != balancer.Served {
			t.Fatalf("the next one: %d", r.Result)
		}
		if n := budget.Used(); n > 1 {
			t.Fatalf("%d descriptors held", n)
		}
	}
}

// A backend returns under its ID, at another address or restarted, while an attempt to the old one is in flight: that attempt ends as
// it would have, new ones go to the new backend, and each is counted once.
func TestEndpointReturnsUnderItsID(t *testing.T) {
	testbed.Leaks(t)
	came, goOn := make(chan string, 9), make(chan struct{})
	backendOf := func(name string, held bool) *testbed.Backend {
		return testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string {
			if came <- name; held {
				<-goOn
			}
			return ok
		})
	}
	old, next := backendOf("old", true), backendOf("new", false)
	w := start(t, nil, old.Addr)
	first, second := w.dial(t), w.dial(t)
	first.send(head("GET", "get"))
	if name := testbed.Receive(t, "the request", came); name != "old" {
		t.Fatal(name)
	}
	inFlight := func() (n int) {
		w.EachServer(func(_ string, k int, _ bool) { n += k })
		return n
	}
	w.list(next.Addr)
	if n := inFlight(); n != 1 {
		t.Errorf("%d in flight", n)
	}
	second.send(head("GET", "get"))
	if name := testbed.Receive(t, "the next request", came); name != "new" {
		t.Errorf("sent to the %s one", name)
	}
	second.answer(t)
	close(goOn)
	if code, _, _ := first.answer(t); code != 200 {
		t.Errorf("%d", code)
	}
	testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 })
	if n := inFlight(); n != 0 {
		t.Errorf("%d in flight at the end", n)
	}
	testbed.Eventually(t, "the old one's connections to be gone", func() bool { return w.budget.Used() == 3 })
}
