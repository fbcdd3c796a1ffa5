package endpoints

import (
	"fmt"
	"testing"
	"time"

	"robindrum/balancer"

	"pgregory.net/rapid"
)

func exclusions(v *View) map[string]string {
	m := map[string]string{}
	for _, s := range v.Servers() {
		m[s.Address] = s.ExcludedReason
	}
	return m
}

func TestUsableEndpointsByHealthAndPriority(t *testing.T) {
	for name, c := range map[string]struct {
		stale string
		list  []Endpoint
		want  map[string]string
	}{
		"health": {"", []Endpoint{{Address: "a"}, {Address: "b", Health: Healthy}, {Address: "c", Health: Degraded},
			{Address: "d", Health: Draining}, {Address: "e", Health: Unhealthy}, {Address: "f", Health: Timeout}},
			map[string]string{"a": "", "b": "", "c": "degraded", "d": "draining", "e": "unhealthy", "f": "timeout"}},
		"degraded alone": {"", []Endpoint{{Address: "a", Health: Degraded}, {Address: "b", Health: Unhealthy}},
			map[string]string{"a": "", "b": "unhealthy"}},
		"priorities": {"", []Endpoint{{Address: "a", Health: Unhealthy}, {Address: "b", Priority: 1}, {Address: "c", Priority: 2}},
			map[string]string{"a": "unhealthy", "b": "", "c": "priority 1 is in use"}},
		"degraded first": {"", []Endpoint{{Address: "a", Health: Degraded}, {Address: "b", Priority: 1}},
			map[string]string{"a": "", "b": "priority 0 is in use"}},
		"all excluded": {"", []Endpoint{{Address: "a", Health: Draining}}, map[string]string{"a": "draining"}},
		"stale":        {"stale for 5s", []Endpoint{{Address: "a"}}, map[string]string{"a": "stale for 5s"}},
	} {
		var v View
		u := v.Apply(1, Update{Endpoints: c.list, Stale: c.stale})
		got := exclusions(&v)
		if fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		usable := 0
		for _, s := range u.Servers {
			if s.State == balancer.Running {
				usable++
			}
			if (s.State == balancer.Running) != (c.want[s.ID] == "") {
				t.Errorf("%s: %s is sent as %d", name, s.ID, s.State)
			}
		}
		if usable != v.Usable() {
			t.Errorf("%s: %d usable, sent %d", name, v.Usable(), usable)
		}
	}
}

// Endpoints of the first list are warmed up; those added later, back again or changed in identity are new.
func TestNewEndpointsAreTimed(t *testing.T) {
	var v View
	if v.Known() || v.Snapshot() != nil {
		t.Error("the zero view has had an update")
	}
	since := func() map[string]time.Duration {
		m := map[string]time.Duration{}
		for _, s := range v.Servers() {
			m[s.Address] = s.AddedAt
		}
		return m
	}
	a, b := Endpoint{Address: "a", Zone: "z"}, Endpoint{Address: "b", Zone: "z"}
	v.Apply(10, Update{Endpoints: []Endpoint{a}})
	u := v.Apply(20, Update{Endpoints: []Endpoint{a, b}})
	if len(u.Servers) != 1 || u.Kind != balancer.UpdateDelta || u.Servers[0].ID != "b" {
		t.Errorf("%+v", u)
	}
	if m := since(); m["a"] != 0 || m["b"] != 20 {
		t.Errorf("%v", m)
	}
	if u := v.Apply(25, Update{Endpoints: []Endpoint{b, a}, Version: "2"}); u != nil {
		t.Errorf("the same list again is a change: %+v", u)
	}
	if last, at := v.LastUpdate(); last.Version != "2" || at != 25 {
		t.Errorf("last update %q at %d", last.Version, at)
	}
	a.Weight = 3 // not part of its identity
	if v.Apply(30, Update{Endpoints: []Endpoint{a, b}}); since()["a"] != 0 {
		t.Error("a new weight makes it a new endpoint")
	}
	a.Zone = "y"
	if v.Apply(40, Update{Endpoints: []Endpoint{a, b}}); since()["a"] != 40 {
		t.Error("one in another zone counts as the former one")
	}
	u = v.Apply(50, Update{Endpoints: []Endpoint{a}})
	if len(u.Servers) != 1 || u.Servers[0].State != balancer.Removed || len(u.Endpoints) != 0 {
		t.Errorf("%+v", u)
	}
	if v.Apply(60, Update{Endpoints: []Endpoint{a, b}}); since()["b"] != 60 {
		t.Error("one that comes back counts as warmed up")
	}
}

// After any sequence of updates, the accumulated deltas equal the snapshot, which is the last list.
func TestDeltasAddUpToSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v View
		servers, addresses := map[string]balancer.Server{}, map[string]string{}
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			var update Update
			for i := range 6 {
				if rapid.Bool().Draw(t, "there") {
					update.Endpoints = append(update.Endpoints, Endpoint{Address: fmt.Sprint(i), Weight: 1,
						Zone:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
						Health:   Health(rapid.IntRange(0, 5).Draw(t, "health")),
						Priority: rapid.IntRange(0, 2).Draw(t, "priority")})
				}
			}
			if u := v.Apply(time.Duration(step+1), update); u != nil {
				for _, s := range u.Servers {
					if s.State == balancer.Removed {
						delete(servers, s.ID)
						delete(addresses, s.ID)
					} else {
						servers[s.ID], addresses[s.ID] = s, u.Endpoints[s.ID]
					}
				}
			}
			snapshot := v.Snapshot()
			if len(snapshot.Servers) != len(update.Endpoints) || len(servers) != len(update.Endpoints) {
				t.Fatalf("%d in the snapshot, %d by deltas, want %d", len(snapshot.Servers), len(servers), len(update.Endpoints))
			}
			for _, s := range snapshot.Servers {
				if servers[s.ID] != s || addresses[s.ID] != snapshot.Endpoints[s.ID] {
					t.Fatalf("%+v by deltas, %+v in the snapshot", servers[s.ID], s)
				}
			}
		}
	})
}

// An endpoint drained by the fleet gets no requests, whatever its health, and is new when it is back; others are unaffected.
func TestDrainedEndpointIsExcludedAndNewAfterwards(t *testing.T) {
	var v View
	list := func(drained bool) Update {
		return Update{Endpoints: []Endpoint{{Address: "a", Weight: 1, Health: Degraded, DrainedByFleet: drained}, {Address: "b", Weight: 1}}}
	}
	v.Apply(1, list(false))
	v.Apply(2, list(true))
	if s := v.Servers(); s[0].ExcludedReason != drainedReason || s[1].ExcludedReason != "" || v.Usable() != 1 {
		t.Errorf("%+v", s)
	}
	v.Apply(3, list(true))
	v.Apply(9, list(false))
	if s := v.Servers(); s[0].AddedAt != 9 || s[1].AddedAt != 0 {
		t.Errorf("%+v", s)
	}
	v.Apply(12, list(false))
	if s := v.Servers(); s[0].AddedAt != 9 {
		t.Errorf("warming up once more: %+v", s)
	}
}
