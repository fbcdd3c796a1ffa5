package endpoints

import (
	"fmt"
	"testing"
	"time"

	"robindrum/balancer"

	"pgregory.net/rapid"
)

func out(v *View) map[string]string {
	m := map[string]string{}
	for _, s := range v.Servers() {
		m[s.Address] = s.ExcludedReason
	}
	return m
}

func TestWhoIsUsed(t *testing.T) {
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
		"all out": {"", []Endpoint{{Address: "a", Health: Draining}}, map[string]string{"a": "draining"}},
		"stale":   {"stale for 5s", []Endpoint{{Address: "a"}}, map[string]string{"a": "stale for 5s"}},
	} {
		var v View
		u := v.Apply(1, Update{Endpoints: c.list, Stale: c.stale})
		got := out(&v)
		if fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		usable := 0
		for _, s := range u.Servers {
			if s.State == balancer.Running {
				usable++
			}
			if (s.State == balancer.Running) != (c.want[s.ID] == "") {
				t.Errorf("%s: %s is told as %d", name, s.ID, s.State)
			}
		}
		if usable != v.Usable() {
			t.Errorf("%s: %d usable, told %d", name, v.Usable(), usable)
		}
	}
}

// Who comes with the first list has run for long; who comes later, comes back or is another one is new.
func TestWhoIsNew(t *testing.T) {
	var v View
	if v.Known() || v.Snapshot() != nil {
		t.Error("the zero view has been told something")
	}
	since := func() map[string]time.Duration {
		m := map[string]time.Duration{}
		for _, s := range v.Servers() {
			m[s.Address] = s.Since
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
		t.Errorf("the same list again is news: %+v", u)
	}
	if w, at := v.LastUpdate(); w.Version != "2" || at != 25 {
		t.Errorf("last word %q at %d", w.Version, at)
	}
	a.Weight = 3 // no other one
	if v.Apply(30, Update{Endpoints: []Endpoint{a, b}}); since()["a"] != 0 {
		t.Error("a new weight makes it another one")
	}
	a.Zone = "y"
	if v.Apply(40, Update{Endpoints: []Endpoint{a, b}}); since()["a"] != 40 {
		t.Error("one that is elsewhere now is taken as the old one")
	}
	u = v.Apply(50, Update{Endpoints: []Endpoint{a}})
	if len(u.Servers) != 1 || u.Servers[0].State != balancer.Removed || len(u.Endpoints) != 0 {
		t.Errorf("%+v", u)
	}
	if v.Apply(60, Update{Endpoints: []Endpoint{a, b}}); since()["b"] != 60 {
		t.Error("one that comes back is taken as warm")
	}
}

// Whatever is told in turn: the changes add up to what All says, and that is the last list.
func TestChangesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v View
		have, addr := map[string]balancer.Server{}, map[string]string{}
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			var w Update
			for i := range 6 {
				if rapid.Bool().Draw(t, "there") {
					w.Endpoints = append(w.Endpoints, Endpoint{Address: fmt.Sprint(i), Weight: 1,
						Zone:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
						Health:   Health(rapid.IntRange(0, 5).Draw(t, "health")),
						Priority: rapid.IntRange(0, 2).Draw(t, "priority")})
				}
			}
			if u := v.Apply(time.Duration(step+1), w); u != nil {
				for _, s := range u.Servers {
					if s.State == balancer.Removed {
						delete(have, s.ID)
						delete(addr, s.ID)
					} else {
						have[s.ID], addr[s.ID] = s, u.Endpoints[s.ID]
					}
				}
			}
			all := v.Snapshot()
			if len(all.Servers) != len(w.Endpoints) || len(have) != len(w.Endpoints) {
				t.Fatalf("%d in all, %d by changes, want %d", len(all.Servers), len(have), len(w.Endpoints))
			}
			for _, s := range all.Servers {
				if have[s.ID] != s || addr[s.ID] != all.Endpoints[s.ID] {
					t.Fatalf("%+v by changes, %+v in all", have[s.ID], s)
				}
			}
		}
	})
}

// An endpoint that an order has taken out gets nothing, whatever its source says of its health, and counts as started anew when it
// is back; the others as they did.
func TestHeldByAnOrder(t *testing.T) {
	var v View
	word := func(held bool) Update {
		return Update{Endpoints: []Endpoint{{Address: "a", Weight: 1, Health: Degraded, Retained: held}, {Address: "b", Weight: 1}}}
	}
	v.Apply(1, word(false))
	v.Apply(2, word(true))
	if s := v.Servers(); s[0].ExcludedReason != held || s[1].ExcludedReason != "" || v.Usable() != 1 {
		t.Errorf("%+v", s)
	}
	v.Apply(3, word(true))
	v.Apply(9, word(false))
	if s := v.Servers(); s[0].Since != 9 || s[1].Since != 0 {
		t.Errorf("%+v", s)
	}
	v.Apply(12, word(false))
	if s := v.Servers(); s[0].Since != 9 {
		t.Errorf("cold once more: %+v", s)
	}
}
