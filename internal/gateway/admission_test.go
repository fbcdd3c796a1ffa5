package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/internal/testbed"
	"robindrum/internal/testbed/controlplane"
)

// A value of 0 in the file stays 0 and is not replaced by the default.
func TestExplicitZeroIsNotReplacedByDefault(t *testing.T) {
	conf := parse(t, "zone: a\nzones: {panic_threshold: 0, floor: 0, retry_budget: 0}\n"+strings.Replace(configWithOrigins(t, "overload: {floor: 0, retries: {ratio: 0, rate: 0}}, ", newOrigin(t)), "listeners", "gateway: {of: 3}\nlisteners", 1))
	s := &clusterSpec{config: conf.Clusters[0], classes: conf.Classes, zone: conf.Zone, gateway: conf.Gateway, zones: conf.Zones}
	z, a := s.localityOptions(), s.admissionOptions()
	z.Fill()
	a.Fill()
	if z.Panic != 0 || z.Floor != 0 || z.RetryShare != 0 || z.Gateways != 3 || !z.OwnFree {
		t.Errorf("%+v", z)
	}
	if a.Floor != 0 || a.RetryRatio != 0 || a.RetryRate != 0 || a.Gateways != 3 || a.MaxPending != 1024 {
		t.Errorf("%+v", a)
	}
}

// Bursts are served from the first request on, with a pause between them, and so is a request right after one.
func TestBurstsAreServedCompletely(t *testing.T) {
	testbed.Leaks(t)
	a, b := newOrigin(t), newOrigin(t)
	a.SetDelay(5 * time.Millisecond)
	b.SetDelay(5 * time.Millisecond)
	g := run(t, configWithOrigins(t, "", a, b))
	u := newUser(t, g)
	var bad atomic.Int64
	for _, n := range []int{8, 32, 64, 200} {
		for range 3 {
			var all sync.WaitGroup
			for range n {
				all.Go(func() {
					if r, err := u.do(http.MethodGet, "/x"); err != nil || r.status != 200 {
						bad.Add(1)
						t.Log(r, err)
					}
				})
			}
			all.Wait()
			if r := u.get(t, "/x"); r.status != 200 {
				t.Errorf("right behind a burst of %d: %d", n, r.status)
			}
		}
	}
	if n := bad.Load(); n != 0 {
		t.Errorf("%d requests were not served", n)
	}
}

// One of two endpoints fails under 64 connections, which the other one can serve.
func TestEndpointFailsUnderLoad(t *testing.T) {
	testbed.Leaks(t)
	a, b := newOrigin(t), newOrigin(t)
	a.SetDelay(2 * time.Millisecond)
	b.SetDelay(2 * time.Millisecond)
	g := run(t, configWithOrigins(t, "", a, b))
	l := startLoad(t, g, 64, "/x")
	testbed.Eventually(t, "load", func() bool { return a.Requests() > 500 && b.Requests() > 500 })
	b.Kill()
	n := l.ok.Load()
	testbed.Eventually(t, "load at the other one", func() bool { return l.ok.Load() > n+2000 })
	l.stop()
	l.checkNoneLost(t)
	if n := l.no.Load(); n != 0 {
		t.Errorf("%d of %d refused", n, l.requests.Load())
	}
}

// With a full queue, a client leaves, a reload lowers the limit, and the gateway stops.
func TestClientLeavesReloadAndStopWithFullQueue(t *testing.T) {
	testbed.Leaks(t)
	o := newOrigin(t)
	goOn := make(chan struct{})
	o.SetHandler(func(http.ResponseWriter, *http.Request) bool { <-goOn; return false })
	const rest = "hedge: false, overload: {mode: fixed, limit: 2}, circuit_breakers: {max_pending_requests: 6}, "
	classes := "classes: [{name: default-safe, wanted: 20s, deadline: 20s}]\n"
	g := run(t, classes+configWithOrigins(t, rest, o))
	admission := func() AdmissionStatus { return g.Status(0).Clusters[0].Admission }
	u := newUser(t, g)
	var all sync.WaitGroup
	var served, refused atomic.Int64
	ask := func(ctx context.Context) {
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, u.base+"/x", nil)
		all.Go(func() {
			resp, err := u.Do(r)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
			switch resp.StatusCode {
			case 200:
				served.Add(1)
			case 503:
				if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err != nil || n < 1 || n > 5 {
					t.Errorf("Retry-After: %q", resp.Header.Get("Retry-After"))
				}
				refused.Add(1)
			}
		})
	}
	leaves, leave := context.WithCancel(t.Context())
	for i := range 8 {
		if i < 2 {
			ask(t.Context())
			testbed.Eventually(t, "two to start", func() bool { return admission().InFlight == i+1 })
		} else if i < 5 {
			ask(t.Context())
		} else {
			ask(leaves)
		}
	}
	testbed.Eventually(t, "six to wait", func() bool { return admission().Waiting == 6 })
	ask(t.Context())
	testbed.Eventually(t, "one more to be refused", func() bool { return refused.Load() == 1 })
	leave()
	testbed.Eventually(t, "three to leave", func() bool { return admission().Waiting == 3 })
	// Under the new settings one may start; what waits under the former ones ends there.
	if err := g.Reload(parse(t, classes+strings.Replace(configWithOrigins(t, strings.Replace(rest, "limit: 2", "limit: 1", 1), o), `"127.0.0.1:0"`, `"127.0.0.1:0"`, 1))); err != nil {
		t.Fatal(err)
	}
	ask(t.Context())
	ask(t.Context())
	testbed.Eventually(t, "one to start and one to wait", func() bool { a := admission(); return a.InFlight == 1 && a.Waiting == 1 && a.Limit == 1 })
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
		defer cancel()
		g.Stop(ctx)
	}()
	close(goOn)
	all.Wait()
	testbed.Receive(t, "the stop", done)
	if served.Load() != 7 || refused.Load() != 1 {
		t.Errorf("%d served, %d refused, want 7 and 1", served.Load(), refused.Load())
	}
	if a := admission(); a.InFlight != 0 || a.Waiting != 0 {
		t.Errorf("%d in flight, %d wait in the end", a.InFlight, a.Waiting)
	}
}

// Requests above the circuit breakers of a control plane wait, and those above max_pending_requests are rejected.
func TestControlPlaneCircuitBreakers(t *testing.T) {
	testbed.Leaks(t)
	s := newControlPlane(t)
	o := newOrigin(t)
	goOn := make(chan struct{})
	o.SetHandler(func(http.ResponseWriter, *http.Request) bool { <-goOn; return false })
	c := cds("c")
	if err := xdsPolicy(c, `{"circuit_breakers":{"thresholds":[{"max_requests":2,"max_pending_requests":1,"max_retries":7}]}}`); err != nil {
		t.Fatal(err)
	}
	push(t, s, "1", false, c, eds("c", controlplane.Endpoint{Addr: o.Addr}), rds("r", [2]string{"/", "c"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(s, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	var all sync.WaitGroup
	var no atomic.Int64
	for range 6 {
		u := newUser(t, g)
		all.Go(func() {
			if r, err := u.do(http.MethodGet, "/x"); err == nil && r.status == 503 {
				no.Add(1)
			}
		})
	}
	testbed.Eventually(t, "three to be refused", func() bool { return no.Load() == 3 })
	if a := g.Status(0).Clusters[0].Admission; a.InFlight != 2 || a.Waiting != 1 || a.Limit != 2 {
		t.Errorf("%+v", a)
	}
	close(goOn)
	all.Wait()
}

// Routes of high priority have circuit breakers of their own, from the file as well as from xDS.
func TestHighPriorityCircuitBreakers(t *testing.T) {
	const thresholds = `{"circuit_breakers":{"thresholds":[{"max_requests":1,"max_pending_requests":1},{"priority":"HIGH","max_requests":2,"max_pending_requests":1}]}}`
	for _, source := range []string{"file", "xds"} {
		t.Run(source, func(t *testing.T) {
			testbed.Leaks(t)
			o := newOrigin(t)
			goOn := make(chan struct{})
			o.SetHandler(func(http.ResponseWriter, *http.Request) bool { <-goOn; return false })
			var g *Gateway
			if source == "file" {
				conf := configWithOrigins(t, "circuit_breakers: {max_requests: 1, max_pending_requests: 1, high: {max_requests: 2, max_pending_requests: 1}}, ", o)
				g = run(t, strings.Replace(conf, "routes: [", "routes: [{name: h, match: {prefix: /high}, cluster: c, priority: high}, ", 1))
			} else {
				s := newControlPlane(t)
				c, r := cds("c"), rds("r", [2]string{"/high", "c"}, [2]string{"/", "c"})
				if err := errors.Join(xdsPolicy(c, thresholds), xdsHigh(r)); err != nil {
					t.Fatal(err)
				}
				push(t, s, "1", false, c, eds("c", controlplane.Endpoint{Addr: o.Addr}), r)
				g = runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(s, ""))
				testbed.Eventually(t, "the gateway to be ready", g.Ready)
			}
			var all sync.WaitGroup
			for path, want := range map[string]int64{"/low": 3, "/high": 2} {
				var no atomic.Int64
				for range 5 {
					u := newUser(t, g)
					all.Go(func() {
						if r, err := u.do(http.MethodGet, path); err == nil && r.status == 503 {
							no.Add(1)
						}
					})
				}
				testbed.Eventually(t, path+" to be refused as its priority's breakers say", func() bool { return no.Load() == want })
			}
			if a := g.Status(0).Clusters[0].Admission; a.InFlight != 3 || a.Waiting != 2 {
				t.Errorf("%+v", a)
			}
			close(goOn)
			all.Wait()
		})
	}
}

// The Content-Length of an answer to HEAD is the origin's, server-sent events are forwarded one by one, and a long answer
// is forwarded completely.
func TestHeadAndStreamedResponsesAreForwardedUnchanged(t *testing.T) {
	testbed.Leaks(t)
	o := newOrigin(t)
	next := make(chan struct{})
	o.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		switch r.URL.Path {
		case "/head":
			w.Header().Set("Content-Length", "59")
			if r.Method == http.MethodGet {
				_, _ = w.Write(make([]byte, 59))
			}
		case "/big":
			w.Header().Set("Content-Length", strconv.Itoa(40<<20))
			for range 40 {
				_, _ = w.Write(make([]byte, 1<<20))
			}
		case "/events":
			w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
			for i := range 3 {
				fmt.Fprintf(w, "data: %d\n\n", i)
				_ = http.NewResponseController(w).Flush()
				<-next
			}
		}
		return true
	})
	g := run(t, configWithOrigins(t, "overload: {mode: fixed, limit: 1}, ", o))
	u := newUser(t, g)
	if r, err := u.do(http.MethodHead, "/head"); err != nil || r.header.Get("Content-Length") != "59" || r.body != "" {
		t.Errorf("HEAD: %+v, %v", r, err)
	}
	if r, err := u.do(http.MethodGet, "/big"); err != nil || len(r.body) != 40<<20 {
		t.Errorf("40 MiB: %d bytes, %v", len(r.body), err)
	}
	resp, err := u.Get(u.base + "/events")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b := make([]byte, 64)
	for i := range 3 {
		n, err := resp.Body.Read(b)
		if want := fmt.Sprintf("data: %d\n\n", i); string(b[:n]) != want {
			t.Errorf("%q, %v, want %q", b[:n], err, want)
		}
		// A stream that has begun takes no place in the queue: the only one is free.
		if r := u.get(t, "/head"); r.status != 200 {
			t.Errorf("beside a stream: %d", r.status)
		}
		next <- struct{}{}
	}
}

// While clients that do not finish their heads use nine of ten descriptors, and more come, other clients are served.
func TestSlowHeadsDoNotStarveOtherClients(t *testing.T) {
	testbed.Leaks(t)
	o := newOrigin(t)
	g := run(t, configWithOrigins(t, "", o)+"limits: {descriptors: 256}\n")
	addr := g.Addr("web").String()
	var mu sync.Mutex
	var open []net.Conn
	hold := func() {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Slow: ")
		mu.Lock()
		defer mu.Unlock()
		open = append(open, c)
	}
	for range 225 {
		hold()
	}
	testbed.Eventually(t, "the heads to be held", func() bool { return g.Status(0).Limits.ClientConnections >= 200 })
	end := make(chan struct{})
	var flood sync.WaitGroup
	flood.Go(func() {
		for range 300 {
			select {
			case <-end:
				return
			case <-time.After(5 * time.Millisecond):
				hold()
			}
		}
	})
	for range 100 {
		u := newUser(t, g)
		if r, err := u.do(http.MethodGet, "/x"); err != nil || r.status != 200 {
			t.Errorf("a good client: %+v, %v", r, err)
		}
		u.CloseIdleConnections()
	}
	close(end)
	flood.Wait()
	for _, c := range open {
		c.Close()
	}
}
