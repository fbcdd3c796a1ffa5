package endpoints

import (
	"fmt"
	"testing"
	"time"

	"robindrum/balancer"

	"pgregory.net/rapid"
)

// exclusions returns the ExcludedReason of each endpoint by address.
func exclusions(v *View) map[string]string {
	reasons := map[string]string{}
	for _, s := range v.Servers() {
		reasons[s.Address] = s.ExcludedReason
	}
	return reasons
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
		changes := v.Apply(1, Update{Endpoints: c.list, Stale: c.stale})
		got := exclusions(&v)
		if fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: got excluded reasons %v, want %v", name, got, c.want)
		}
		usable := 0
		for _, s := range changes.Servers {
			if s.State == balancer.Running {
				usable++
			}
			if (s.State == balancer.Running) != (c.want[s.ID] == "") {
				t.Errorf("%s: server %s: got state %d, want it to be Running only if the endpoint is not excluded", name, s.ID, s.State)
			}
		}
		if usable != v.Usable() {
			t.Errorf("%s: Usable: got %d, want %d, the number of Running servers", name, v.Usable(), usable)
		}
	}
}

// Endpoints of the first list count as warmed up. Endpoints that are added later, are listed again after a removal, or have another
// identity count as new.
func TestAddedAtOfNewEndpoints(t *testing.T) {
	var v View
	if v.Known() || v.Snapshot() != nil {
		t.Error("zero View: got a list, want none")
	}
	addedAt := func() map[string]time.Duration {
		times := map[string]time.Duration{}
		for _, s := range v.Servers() {
			times[s.Address] = s.AddedAt
		}
		return times
	}
	a, b := Endpoint{Address: "a", Zone: "z"}, Endpoint{Address: "b", Zone: "z"}
	v.Apply(10, Update{Endpoints: []Endpoint{a}})
	changes := v.Apply(20, Update{Endpoints: []Endpoint{a, b}})
	if len(changes.Servers) != 1 || changes.Kind != balancer.UpdateDelta || changes.Servers[0].ID != "b" {
		t.Errorf("Apply with the additional endpoint b: got %+v, want a delta with b", changes)
	}
	if times := addedAt(); times["a"] != 0 || times["b"] != 20 {
		t.Errorf("AddedAt: got %v, want 0 for a, 20 for b", times)
	}
	if changes := v.Apply(25, Update{Endpoints: []Endpoint{b, a}, Version: "2"}); changes != nil {
		t.Errorf("Apply with the same endpoints: got %+v, want nil", changes)
	}
	if last, at := v.LastUpdate(); last.Version != "2" || at != 25 {
		t.Errorf("LastUpdate: got version %q at %d, want version 2 at 25", last.Version, at)
	}
	a.Weight = 3 // not part of the identity
	if v.Apply(30, Update{Endpoints: []Endpoint{a, b}}); addedAt()["a"] != 0 {
		t.Error("endpoint with another weight: counts as new, want the same endpoint")
	}
	a.Zone = "y"
	if v.Apply(40, Update{Endpoints: []Endpoint{a, b}}); addedAt()["a"] != 40 {
		t.Error("endpoint in another zone: counts as the same endpoint, want a new one")
	}
	changes = v.Apply(50, Update{Endpoints: []Endpoint{a}})
	if len(changes.Servers) != 1 || changes.Servers[0].State != balancer.Removed || len(changes.Endpoints) != 0 {
		t.Errorf("Apply without b: got %+v, want one Removed server", changes)
	}
	if v.Apply(60, Update{Endpoints: []Endpoint{a, b}}); addedAt()["b"] != 60 {
		t.Error("endpoint listed again after a removal: counts as warmed up, want a new one")
	}
}

// After any sequence of updates, the accumulated changes equal the snapshot, which contains the last list.
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
			if changes := v.Apply(time.Duration(step+1), update); changes != nil {
				for _, s := range changes.Servers {
					if s.State == balancer.Removed {
						delete(servers, s.ID)
						delete(addresses, s.ID)
					} else {
						servers[s.ID], addresses[s.ID] = s, changes.Endpoints[s.ID]
					}
				}
			}
			snapshot := v.Snapshot()
			if len(snapshot.Servers) != len(update.Endpoints) || len(servers) != len(update.Endpoints) {
				t.Fatalf("got %d servers in the snapshot and %d from the deltas, want %d", len(snapshot.Servers), len(servers), len(update.Endpoints))
			}
			for _, s := range snapshot.Servers {
				if servers[s.ID] != s || addresses[s.ID] != snapshot.Endpoints[s.ID] {
					t.Fatalf("server from the deltas: got %+v at %q, want %+v at %q as in the snapshot", servers[s.ID], addresses[s.ID], s, snapshot.Endpoints[s.ID])
				}
			}
		}
	})
}

// An endpoint that a drain request has taken out of service gets no requests, whatever its health, and counts as new when it is back.
// Other endpoints are not affected.
func TestDrainedEndpointIsExcludedAndNewAfterwards(t *testing.T) {
	var v View
	list := func(drained bool) Update {
		return Update{Endpoints: []Endpoint{{Address: "a", Weight: 1, Health: Degraded, DrainedByFleet: drained}, {Address: "b", Weight: 1}}}
	}
	v.Apply(1, list(false))
	v.Apply(2, list(true))
	if s := v.Servers(); s[0].ExcludedReason != drainedReason || s[1].ExcludedReason != "" || v.Usable() != 1 {
		t.Errorf("a drained: got %+v, want a excluded as drained, b usable", s)
	}
	v.Apply(3, list(true))
	v.Apply(9, list(false))
	if s := v.Servers(); s[0].AddedAt != 9 || s[1].AddedAt != 0 {
		t.Errorf("a back in service at 9: got %+v, want AddedAt 9 for a, 0 for b", s)
	}
	v.Apply(12, list(false))
	if s := v.Servers(); s[0].AddedAt != 9 {
		t.Errorf("a still in service at 12: got %+v, want AddedAt 9 for a", s)
	}
}
