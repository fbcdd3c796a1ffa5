package releases

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/quorum"
	"robindrum/internal/testbed"
	"robindrum/internal/testbed/cluster"
)

// TestZoneDrainAndEndOfGrace drains zones, which are drained completely or not at all. Of two concurrent requests for two zones one is
// granted, and the other, which would exceed the budget, stays pending. A drained zone of servers gets no requests from any gateway. At
// the end of the grace, a GET in flight is answered with 503 and Retry-After and a POST with 504, unless the drain waits for all requests.
func TestZoneDrainAndEndOfGrace(t *testing.T) {
	testbed.Leaks(t)
	site, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: binary(t), Dir: t.TempDir(), Gateways: 4, Lease: testLease, Zones: []string{"a", "b"},
		Budgets: `[{name: site, each: site, most: 2}, {name: ends, cluster: "*", most: 2}]`})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(20)
	defer load.Stop()
	requestByID := func(id string) drain.Request { requests, _ := site.Nodes[2].DrainRequests(); return requests[id] }
	requestDrain := func(via int, request drain.Request) (drain.Request, error) {
		request.Owner = "test"
		if request.Grace == 0 {
			request.Grace, request.Notice = 5*time.Second, 300*time.Millisecond
		}
		return site.Nodes[via].SendDrain("drain", request)
	}
	undrain := func(id string) {
		t.Helper()
		if _, err := site.Nodes[1].SendDrain("undrain", drain.Request{ID: id}); err != nil {
			t.Fatal(err)
		}
		waitFor(t, id+" to end", func() bool { return requestByID(id).State == drain.Ended })
	}
	waitFor(t, "the gateways to be known", func() bool {
		var list quorum.DrainList
		return site.Nodes[0].Get("/fleet/orders", &list) == nil && len(list.Budgets) > 0 && list.Budgets[0].Total == 4
	})
	var running sync.WaitGroup
	for i, zone := range []string{"a", "b"} {
		running.Go(func() { _, _ = requestDrain(i, drain.Request{ID: zone, Target: drain.Target{Site: "s", Zone: zone}}) })
	}
	running.Wait()
	waitFor(t, "one zone to be drained", func() bool { return requestByID("a").State == drain.Drained || requestByID("b").State == drain.Drained })
	drained, waiting := "a", "b"
	if requestByID("b").State == drain.Drained {
		drained, waiting = "b", "a"
	}
	if request := requestByID(waiting); request.State != drain.Pending || !strings.Contains(request.StateReason, "2 of 4 are out") {
		t.Errorf("drain request for the other zone: got %+v, want it pending because 2 of 4 are out", request)
	}
	for i, n := range site.Nodes {
		if (i%2 == int(drained[0]-'a')) == n.Ready() {
			t.Errorf("with zone %s drained: ready of %s is %v, want only gateways of the other zone to be ready", drained, n.Name, n.Ready())
		}
	}
	undrain(waiting)
	undrain(drained)
	// Zone a has two of the three servers. They are drained together, and the budget allows no third.
	if _, err := requestDrain(3, drain.Request{ID: "ends", Target: drain.Target{Cluster: "c", Zone: "a"}}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a zone of servers to be drained", func() bool { return requestByID("ends").State == drain.Drained })
	drainedAt := time.Now()
	if request, err := requestDrain(0, drain.Request{ID: "third", Target: drain.Target{Cluster: "c", Endpoint: site.Origins[1].Addr}}); err != nil || request.State != drain.Pending {
		t.Errorf("drain request for a third server: got %+v, error %v, want it pending", request, err)
	}
	before := site.Origins[1].Requests()
	waitFor(t, "the other server to serve", func() bool { return site.Origins[1].Requests() > before+20 })
	if n := site.Origins[0].RequestsAfter(drainedAt) + site.Origins[2].RequestsAfter(drainedAt); n > 0 {
		t.Errorf("requests to a drained zone of servers: got %d, want 0", n)
	}
	undrain("third")
	undrain("ends")
	if failure := load.Stop(); failure != "" || load.Requests.Load() < 100 {
		t.Fatalf("%d of %d requests failed, first: %s; want 0 of at least 100", load.Failed.Load(), load.Requests.Load(), failure)
	}

	type answer struct {
		status     int
		retryAfter string
		took       time.Duration
	}
	answersDuringDrain := func(id string, request drain.Request) map[string]answer {
		t.Helper()
		// Requests that take longer than the grace. The servers signal their arrival.
		arrived, release := make(chan struct{}, 8), make(chan struct{})
		for _, x := range site.Origins {
			x.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
				arrived <- struct{}{}
				select {
				case <-release:
				case <-r.Context().Done():
				}
				return false
			})
		}
		var mu sync.Mutex
		got := map[string]answer{}
		var running sync.WaitGroup
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			running.Go(func() {
				started := time.Now()
				httpRequest, err := http.NewRequestWithContext(t.Context(), method, "http://"+site.Nodes[0].Web+"/", nil)
				if err != nil {
					t.Error(err)
					return
				}
				httpResponse, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(httpRequest)
				if err != nil {
					t.Error(err)
					return
				}
				httpResponse.Body.Close()
				mu.Lock()
				got[method] = answer{httpResponse.StatusCode, httpResponse.Header.Get("Retry-After"), time.Since(started)}
				mu.Unlock()
			})
		}
		<-arrived
		<-arrived
		request.ID, request.Target, request.Grace, request.Notice = id, drain.Target{Gateway: "n0"}, time.Second, 200*time.Millisecond
		if _, err := requestDrain(1, request); err != nil {
			t.Fatal(err)
		}
		if request.WaitForAll {
			waitFor(t, "the drain to be overdue", func() bool { return requestByID(id).State == drain.Overdue })
			if x := requestByID(id); x.InFlight != 2 {
				t.Errorf("requests in flight of an overdue drain: got %d, want 2", x.InFlight)
			}
			close(release)
		}
		waitFor(t, "the gateway to be drained", func() bool { return requestByID(id).State == drain.Drained })
		running.Wait()
		if !request.WaitForAll {
			close(release)
		}
		for _, x := range site.Origins {
			x.SetHandler(nil)
		}
		undrain(id)
		return got
	}
	got := answersDuringDrain("answers", drain.Request{})
	if get, post := got[http.MethodGet], got[http.MethodPost]; get.status != 503 || get.retryAfter == "" || post.status != 504 || post.retryAfter != "" || get.took < time.Second || get.took > 6*time.Second {
		t.Errorf("answers at the end of the grace: GET %+v, POST %+v, want 503 with Retry-After and 504 without it, after 1 s to 6 s", get, post)
	}
	if got = answersDuringDrain("waits", drain.Request{WaitForAll: true}); got[http.MethodGet].status != 200 || got[http.MethodPost].status != 200 {
		t.Errorf("answers when the drain waits for all requests: got %+v, want 200 for GET and POST", got)
	}
}
