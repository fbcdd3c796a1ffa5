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

// An explicit 0 in the configuration is not replaced by the default.
func TestExplicitZeroIsNotReplacedByDefault(t *testing.T) {
	conf := parseConfig(t, "zone: a\nzones: {panic_threshold: 0, floor: 0, retry_budget: 0}\n"+strings.Replace(configWithOrigins(t, "overload: {floor: 0, retries: {ratio: 0, rate: 0}}, ", newOrigin(t)), "listeners", "gateway: {of: 3}\nlisteners", 1))
	spec := &clusterSpec{config: conf.Clusters[0], classes: conf.Classes, zone: conf.Zone, gateway: conf.Gateway, zones: conf.Zones}
	locality, admission := spec.localityOptions(), spec.admissionOptions()
	locality.Fill()
	admission.Fill()
	if locality.Panic != 0 || locality.Floor != 0 || locality.RetryShare != 0 || locality.Gateways != 3 || !locality.OwnZoneUnlimited {
		t.Errorf("locality options: got %+v, want Panic, Floor and RetryShare 0, Gateways 3, OwnZoneUnlimited true", locality)
	}
	if admission.Floor != 0 || admission.RetryRatio != 0 || admission.RetryRate != 0 || admission.Gateways != 3 || admission.MaxPending != 1024 {
		t.Errorf("admission options: got %+v, want Floor, RetryRatio and RetryRate 0, Gateways 3, MaxPending 1024", admission)
	}
}

// All requests of bursts are served, from the first burst on, and so is a request immediately after a burst.
func TestBurstsAreServedCompletely(t *testing.T) {
	testbed.Leaks(t)
	originA, originB := newOrigin(t), newOrigin(t)
	originA.SetDelay(5 * time.Millisecond)
	originB.SetDelay(5 * time.Millisecond)
	g := runGatewayWithConfig(t, configWithOrigins(t, "", originA, originB))
	client := newTestClient(t, g)
	var failures atomic.Int64
	for _, count := range []int{8, 32, 64, 200} {
		for range 3 {
			var requests sync.WaitGroup
			for range count {
				requests.Go(func() {
					if r, err := client.do(http.MethodGet, "/x"); err != nil || r.status != 200 {
						failures.Add(1)
						t.Log(r, err)
					}
				})
			}
			requests.Wait()
			if r := client.get(t, "/x"); r.status != 200 {
				t.Errorf("GET /x after a burst of %d requests: got status %d, want 200", count, r.status)
			}
		}
	}
	if count := failures.Load(); count != 0 {
		t.Errorf("%d requests were not served, want 0", count)
	}
}

// One of two endpoints fails under the load of 64 clients, which the other endpoint can serve alone. No request is rejected.
func TestEndpointFailsUnderLoad(t *testing.T) {
	testbed.Leaks(t)
	originA, originB := newOrigin(t), newOrigin(t)
	originA.SetDelay(2 * time.Millisecond)
	originB.SetDelay(2 * time.Millisecond)
	g := runGatewayWithConfig(t, configWithOrigins(t, "", originA, originB))
	load := startLoad(t, g, 64, "/x")
	testbed.Eventually(t, "load", func() bool { return originA.Requests() > 500 && originB.Requests() > 500 })
	originB.Kill()
	n := load.served.Load()
	testbed.Eventually(t, "requests served by the other endpoint", func() bool { return load.served.Load() > n+2000 })
	load.stop()
	load.checkNoneLost(t)
	if n := load.rejected.Load(); n != 0 {
		t.Errorf("%d of %d requests were rejected, want 0", n, load.requests.Load())
	}
}

// While the queue is full, clients leave, a reload lowers the limit, and the gateway stops. All other requests are served.
func TestClientLeavesReloadAndStopWithFullQueue(t *testing.T) {
	testbed.Leaks(t)
	backend := newOrigin(t)
	unblock := make(chan struct{})
	backend.SetHandler(func(http.ResponseWriter, *http.Request) bool { <-unblock; return false })
	const rest = "hedge: false, overload: {mode: fixed, limit: 2}, circuit_breakers: {max_pending_requests: 6}, "
	classes := "classes: [{name: default-safe, wanted: 20s, deadline: 20s}]\n"
	g := runGatewayWithConfig(t, classes+configWithOrigins(t, rest, backend))
	admission := func() AdmissionStatus { return g.Status(0).Clusters[0].Admission }
	client := newTestClient(t, g)
	var requests sync.WaitGroup
	var served, rejected atomic.Int64
	send := func(ctx context.Context) {
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, client.base+"/x", nil)
		requests.Go(func() {
			resp, err := client.Do(request)
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
					t.Errorf("Retry-After: got %q, want 1 to 5", resp.Header.Get("Retry-After"))
				}
				rejected.Add(1)
			}
		})
	}
	leaveCtx, leave := context.WithCancel(t.Context())
	for i := range 8 {
		if i < 2 {
			send(t.Context())
			testbed.Eventually(t, "two requests to be in flight", func() bool { return admission().InFlight == i+1 })
		} else if i < 5 {
			send(t.Context())
		} else {
			send(leaveCtx)
		}
	}
	testbed.Eventually(t, "six requests to wait", func() bool { return admission().Waiting == 6 })
	send(t.Context())
	testbed.Eventually(t, "one more request to be rejected", func() bool { return rejected.Load() == 1 })
	leave()
	testbed.Eventually(t, "three clients to leave", func() bool { return admission().Waiting == 3 })
	// The new settings admit one request. Requests that wait under the previous settings complete under those.
	if err := g.Reload(parseConfig(t, classes+strings.Replace(configWithOrigins(t, strings.Replace(rest, "limit: 2", "limit: 1", 1), backend), `"127.0.0.1:0"`, `"127.0.0.1:0"`, 1))); err != nil {
		t.Fatal(err)
	}
	send(t.Context())
	send(t.Context())
	testbed.Eventually(t, "one request to be in flight and one to wait", func() bool {
		status := admission()
		return status.InFlight == 1 && status.Waiting == 1 && status.Limit == 1
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
		defer cancel()
		g.Stop(ctx)
	}()
	close(unblock)
	requests.Wait()
	testbed.Receive(t, "the end of Stop", done)
	if served.Load() != 7 || rejected.Load() != 1 {
		t.Errorf("got %d requests served, %d rejected, want 7 and 1", served.Load(), rejected.Load())
	}
	if status := admission(); status.InFlight != 0 || status.Waiting != 0 {
		t.Errorf("after Stop: got %d requests in flight, %d waiting, want 0 and 0", status.InFlight, status.Waiting)
	}
}

// Requests above max_requests of a control plane's circuit breakers wait, and those above max_pending_requests are rejected.
func TestControlPlaneCircuitBreakers(t *testing.T) {
	testbed.Leaks(t)
	server := newControlPlane(t)
	backend := newOrigin(t)
	unblock := make(chan struct{})
	backend.SetHandler(func(http.ResponseWriter, *http.Request) bool { <-unblock; return false })
	cluster := cds("c")
	if err := mergeJSON(cluster, `{"circuit_breakers":{"thresholds":[{"max_requests":2,"max_pending_requests":1,"max_retries":7}]}}`); err != nil {
		t.Fatal(err)
	}
	pushResources(t, server, "1", false, cluster, eds("c", controlplane.Endpoint{Addr: backend.Addr}), rds("r", [2]string{"/", "c"}))
	g := runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(server, ""))
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	var requests sync.WaitGroup
	var rejected atomic.Int64
	for range 6 {
		client := newTestClient(t, g)
		requests.Go(func() {
			if r, err := client.do(http.MethodGet, "/x"); err == nil && r.status == 503 {
				rejected.Add(1)
			}
		})
	}
	testbed.Eventually(t, "three requests to be rejected", func() bool { return rejected.Load() == 3 })
	if admission := g.Status(0).Clusters[0].Admission; admission.InFlight != 2 || admission.Waiting != 1 || admission.Limit != 2 {
		t.Errorf("admission: got %+v, want 2 in flight, 1 waiting, limit 2", admission)
	}
	close(unblock)
	requests.Wait()
}

// Routes of high priority have their own circuit breakers, both with the configuration file and with xDS.
func TestHighPriorityCircuitBreakers(t *testing.T) {
	const thresholds = `{"circuit_breakers":{"thresholds":[{"max_requests":1,"max_pending_requests":1},{"priority":"HIGH","max_requests":2,"max_pending_requests":1}]}}`
	for _, source := range []string{"file", "xds"} {
		t.Run(source, func(t *testing.T) {
			testbed.Leaks(t)
			backend := newOrigin(t)
			unblock := make(chan struct{})
			backend.SetHandler(func(http.ResponseWriter, *http.Request) bool { <-unblock; return false })
			var g *Gateway
			if source == "file" {
				conf := configWithOrigins(t, "circuit_breakers: {max_requests: 1, max_pending_requests: 1, high: {max_requests: 2, max_pending_requests: 1}}, ", backend)
				g = runGatewayWithConfig(t, strings.Replace(conf, "routes: [", "routes: [{name: h, match: {prefix: /high}, cluster: c, priority: high}, ", 1))
			} else {
				server := newControlPlane(t)
				c, r := cds("c"), rds("r", [2]string{"/high", "c"}, [2]string{"/", "c"})
				if err := errors.Join(mergeJSON(c, thresholds), setHighPriority(r)); err != nil {
					t.Fatal(err)
				}
				pushResources(t, server, "1", false, c, eds("c", controlplane.Endpoint{Addr: backend.Addr}), r)
				g = runGateway(t, "clusters: []\nroutes: []\n"+adsConfig(server, ""))
				testbed.Eventually(t, "the gateway to be ready", g.Ready)
			}
			var requests sync.WaitGroup
			for path, want := range map[string]int64{"/low": 3, "/high": 2} {
				var rejected atomic.Int64
				for range 5 {
					client := newTestClient(t, g)
					requests.Go(func() {
						if r, err := client.do(http.MethodGet, path); err == nil && r.status == 503 {
							rejected.Add(1)
						}
					})
				}
				testbed.Eventually(t, path+" requests above the limits of their priority to be rejected", func() bool { return rejected.Load() == want })
			}
			if admission := g.Status(0).Clusters[0].Admission; admission.InFlight != 3 || admission.Waiting != 2 {
				t.Errorf("admission: got %+v, want 3 in flight, 2 waiting", admission)
			}
			close(unblock)
			requests.Wait()
		})
	}
}

// The response to HEAD keeps the Content-Length of the origin, server-sent events are forwarded one by one, and a long
// response is forwarded completely.
func TestHeadAndStreamedResponsesAreForwardedUnchanged(t *testing.T) {
	testbed.Leaks(t)
	backend := newOrigin(t)
	next := make(chan struct{})
	backend.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
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
	g := runGatewayWithConfig(t, configWithOrigins(t, "overload: {mode: fixed, limit: 1}, ", backend))
	client := newTestClient(t, g)
	if r, err := client.do(http.MethodHead, "/head"); err != nil || r.header.Get("Content-Length") != "59" || r.body != "" {
		t.Errorf("HEAD /head: got %+v, error %v, want Content-Length: 59 and no body", r, err)
	}
	if r, err := client.do(http.MethodGet, "/big"); err != nil || len(r.body) != 40<<20 {
		t.Errorf("GET /big: got %d bytes, error %v, want %d bytes", len(r.body), err, 40<<20)
	}
	resp, err := client.Get(client.base + "/events")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	buffer := make([]byte, 64)
	for i := range 3 {
		n, err := resp.Body.Read(buffer)
		if want := fmt.Sprintf("data: %d\n\n", i); string(buffer[:n]) != want {
			t.Errorf("event %d: got %q, error %v, want %q", i, buffer[:n], err, want)
		}
		// A response that is being streamed does not count against the limit of one request in flight.
		if r := client.get(t, "/head"); r.status != 200 {
			t.Errorf("GET /head during a stream: got status %d, want 200", r.status)
		}
		next <- struct{}{}
	}
}

// Other clients are served while clients that never complete their request heads use nine of ten descriptors and further such
// clients connect.
func TestSlowHeadsDoNotStarveOtherClients(t *testing.T) {
	testbed.Leaks(t)
	backend := newOrigin(t)
	g := runGatewayWithConfig(t, configWithOrigins(t, "", backend)+"limits: {descriptors: 256}\n")
	addr := g.Addr("web").String()
	var mu sync.Mutex
	var connections []net.Conn
	openSlow := func() {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Slow: ")
		mu.Lock()
		defer mu.Unlock()
		connections = append(connections, c)
	}
	for range 225 {
		openSlow()
	}
	testbed.Eventually(t, "the slow clients to be connected", func() bool { return g.Status(0).Limits.ClientConnections >= 200 })
	end := make(chan struct{})
	var flood sync.WaitGroup
	flood.Go(func() {
		for range 300 {
			select {
			case <-end:
				return
			case <-time.After(5 * time.Millisecond):
				openSlow()
			}
		}
	})
	for range 100 {
		client := newTestClient(t, g)
		if r, err := client.do(http.MethodGet, "/x"); err != nil || r.status != 200 {
			t.Errorf("GET /x of a normal client: got %+v, error %v, want status 200", r, err)
		}
		client.CloseIdleConnections()
	}
	close(end)
	flood.Wait()
	for _, c := range connections {
		c.Close()
	}
}
