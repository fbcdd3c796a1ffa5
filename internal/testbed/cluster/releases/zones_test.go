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

// TestZoneDrainAndEndOfGrace drains zones, which are drained completely or not at all. Of two operators at once one drains a zone;
// a zone beyond the budget waits; a drained zone of servers gets no request of any gateway; requests in flight at the end of the
// grace are answered by class, unless the drain waits for them.
func TestZoneDrainAndEndOfGrace(t *testing.T) {
	testbed.Leaks(t)
	s, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: binary(t), Dir: t.TempDir(), Gateways: 4, Lease: testLease, Zones: []string{"a", "b"},
		Budgets: `[{name: site, each: site, most: 2}, {name: ends, cluster: "*", most: 2}]`})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load := s.StartLoad(20)
	defer load.Stop()
	state := func(id string) drain.Request { m, _ := s.Nodes[2].DrainRequests(); return m[id] }
	ask := func(by int, o drain.Request) (drain.Request, error) {
		o.Owner = "test"
		if o.Grace == 0 {
			o.Grace, o.Notice = 5*time.Second, 300*time.Millisecond
		}
		return s.Nodes[by].SendDrain("drain", o)
	}
	back := func(id string) {
		t.Helper()
		if _, err := s.Nodes[1].SendDrain("undrain", drain.Request{ID: id}); err != nil {
			t.Fatal(err)
		}
		comes(t, id+" to end", func() bool { return state(id).State == drain.Ended })
	}
	comes(t, "the gateways to be known", func() bool {
		var l quorum.DrainList
		return s.Nodes[0].Get("/fleet/orders", &l) == nil && len(l.Budgets) > 0 && l.Budgets[0].Total == 4
	})
	var work sync.WaitGroup
	for i, zone := range []string{"a", "b"} {
		work.Go(func() { _, _ = ask(i, drain.Request{ID: zone, Target: drain.Target{Site: "s", Zone: zone}}) })
	}
	work.Wait()
	comes(t, "one zone to be out", func() bool { return state("a").State == drain.Drained || state("b").State == drain.Drained })
	out, waits := "a", "b"
	if state("b").State == drain.Drained {
		out, waits = "b", "a"
	}
	if o := state(waits); o.State != drain.Pending || !strings.Contains(o.StateReason, "2 of 4 are out") {
		t.Errorf("the other zone: %+v", o)
	}
	for i, n := range s.Nodes {
		if (i%2 == int(out[0]-'a')) == n.Ready() {
			t.Errorf("with zone %s out %s is ready: %v", out, n.Name, n.Ready())
		}
	}
	back(waits)
	back(out)
	// Servers: the zone of two is out together, with one more there is no room.
	if _, err := ask(3, drain.Request{ID: "ends", Target: drain.Target{Cluster: "c", Zone: "a"}}); err != nil {
		t.Fatal(err)
	}
	comes(t, "a zone of servers to be out", func() bool { return state("ends").State == drain.Drained })
	at := time.Now()
	if o, err := ask(0, drain.Request{ID: "third", Target: drain.Target{Cluster: "c", Endpoint: s.Origins[1].Addr}}); err != nil || o.State != drain.Pending {
		t.Errorf("a third server: %+v, %v", o, err)
	}
	before := s.Origins[1].Requests()
	comes(t, "the other server to serve", func() bool { return s.Origins[1].Requests() > before+20 })
	if n := s.Origins[0].RequestsAfter(at) + s.Origins[2].RequestsAfter(at); n > 0 {
		t.Errorf("%d requests to a zone that is out", n)
	}
	back("third")
	back("ends")
	if why := load.Stop(); why != "" || load.Requests.Load() < 100 {
		t.Fatalf("%d of %d requests failed, first %s", load.Failed.Load(), load.Requests.Load(), why)
	}

	type answer struct {
		status int
		again  string
		took   time.Duration
	}
	play := func(id string, o drain.Request) map[string]answer {
		t.Helper()
		// A request that takes longer than a grace; the server says when it has it.
		arrived, release := make(chan struct{}, 8), make(chan struct{})
		for _, x := range s.Origins {
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
		var work sync.WaitGroup
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			work.Go(func() {
				began := time.Now()
				req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Nodes[0].Web+"/", nil)
				if err != nil {
					t.Error(err)
					return
				}
				resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
				if err != nil {
					t.Error(err)
					return
				}
				resp.Body.Close()
				mu.Lock()
				got[method] = answer{resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(began)}
				mu.Unlock()
			})
		}
		<-arrived
		<-arrived
		o.ID, o.Target, o.Grace, o.Notice = id, drain.Target{Gateway: "n0"}, time.Second, 200*time.Millisecond
		if _, err := ask(1, o); err != nil {
			t.Fatal(err)
		}
		if o.WaitForAll {
			comes(t, "it to be overdue", func() bool { return state(id).State == drain.Overdue })
			if x := state(id); x.InFlight != 2 {
				t.Errorf("overdue with %d in flight", x.InFlight)
			}
			close(release)
		}
		comes(t, "it to be done", func() bool { return state(id).State == drain.Drained })
		work.Wait()
		if !o.WaitForAll {
			close(release)
		}
		for _, x := range s.Origins {
			x.SetHandler(nil)
		}
		back(id)
		return got
	}
	got := play("answers", drain.Request{})
	if g, p := got[http.MethodGet], got[http.MethodPost]; g.status != 503 || g.again == "" || p.status != 504 || p.again != "" || g.took < time.Second || g.took > 6*time.Second {
		t.Errorf("at the end of the grace: GET %+v, POST %+v", g, p)
	}
	if got = play("waits", drain.Request{WaitForAll: true}); got[http.MethodGet].status != 200 || got[http.MethodPost].status != 200 {
		t.Errorf("waited for: %+v", got)
	}
}
