package cluster

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/testbed"
)

// TestDrainsStayWithinBudget drains gateways and endpoints under load: requested by all gateways at once, with one dead, while a
// drained one is killed and restarted, with one that was partitioned, and without a quorum.
func TestDrainsStayWithinBudget(t *testing.T) {
	testbed.Leaks(t)
	s, err := NewSite(t.Context(), SiteOptions{Binary: binary(t), Dir: t.TempDir(), Gateways: 5, Lease: testLease, Budgets: `[{name: g, most: 2}, {name: e, cluster: "*", most: 1}]`})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load := s.StartLoad(20)
	defer load.Stop()
	defer func() {
		if t.Failed() {
			for _, n := range s.Nodes {
				o, err := n.DrainRequests()
				st, err2 := n.Status()
				t.Logf("%s: ready %v, orders %+v %v, %v", n.Name, st.Ready, o, err, err2)
				for _, c := range st.Clusters {
					t.Logf("  %s: %+v %+v", c.Name, c.Endpoints, c.Requests)
				}
			}
		}
	}()
	state := func(id string) drain.State {
		for _, n := range s.Nodes {
			if n.Up() {
				if l, err := n.DrainRequests(); err == nil {
					return l[id].State
				}
			}
		}
		return ""
	}
	gets := func(id string, want ...drain.State) {
		t.Helper()
		comes(t, fmt.Sprint(id, " to be ", want), func() bool {
			got := state(id)
			for _, w := range want {
				if got == w {
					return true
				}
			}
			return false
		})
	}
	orderDrain := func(id string, at int, t drain.Target) (drain.Request, error) {
		return s.Nodes[at].SendDrain("drain", drain.Request{ID: id, Target: t, Owner: "test", Grace: 5 * time.Second, Notice: 300 * time.Millisecond})
	}
	gateway := func(i int) drain.Target { return drain.Target{Gateway: s.Nodes[i].Name} }
	comes(t, "the gateways to be known", func() bool {
		o, err := orderDrain("first", 0, gateway(4))
		return err == nil && o.State != drain.Pending && o.State != drain.Rejected
	})
	gets("first", drain.Drained)
	if s.Nodes[4].Ready() {
		t.Error("ready though it is taken out")
	}

	// All at once: one more may be out, whoever asks.
	var work sync.WaitGroup
	for i := range 4 {
		work.Go(func() { _, _ = orderDrain(fmt.Sprint("all", i), i, gateway(i)) })
	}
	work.Wait()
	granted := ""
	comes(t, "one of four", func() bool {
		for i := range 4 {
			if state(fmt.Sprint("all", i)) == drain.Drained {
				granted = fmt.Sprint("all", i)
			}
		}
		return granted != ""
	})
	out := 0
	for i := range 4 {
		if st := state(fmt.Sprint("all", i)); st != drain.Pending {
			out++
		}
	}
	if out != 1 {
		t.Errorf("%d of four were taken out, one more may be", out)
	}
	for i := range 4 { // those that wait go first, so that none of them takes the place
		if id := fmt.Sprint("all", i); id != granted {
			_, _ = s.Nodes[0].SendDrain("undrain", drain.Request{ID: id})
		}
	}
	if _, err := s.Nodes[0].SendDrain("undrain", drain.Request{ID: granted}); err != nil {
		t.Fatal(err)
	}
	gets(granted, drain.Ended)

	// What is out is killed and started again: it is out still, and its order with it.
	if err := s.Nodes[4].Restart(false); err != nil {
		t.Fatal(err)
	}
	comes(t, "it runs", func() bool {
		st, err := s.Nodes[4].Status()
		return err == nil && len(st.Clusters) == 1 && st.Clusters[0].Usable > 0
	})
	for end := time.Now().Add(time.Second); time.Now().Before(end); _ = sleep(t.Context(), 20*time.Millisecond) {
		if s.Nodes[4].Ready() {
			t.Fatal("ready, though it is taken out")
		}
	}
	gets("first", drain.Drained)

	// One dies: two are out, so nothing more is; and what was asked for is granted when it is back.
	s.Nodes[3].Kill()
	comes(t, "the loss to be counted", func() bool {
		var l quorum.DrainList
		return s.Nodes[0].Get("/fleet/orders", &l) == nil && len(l.Budgets) > 0 && len(l.Budgets[0].Unavailable) == 2
	})
	if o, err := orderDrain("more", 0, gateway(0)); err != nil || o.State != drain.Pending {
		t.Errorf("with two out: %+v, %v", o, err)
	}
	if o, _ := s.Nodes[0].DrainRequests(); !strings.Contains(o["more"].StateReason, "2 of 5 are out") && !strings.Contains(o["more"].StateReason, "budget g") {
		t.Errorf("%+v", o["more"])
	}
	if err := s.Nodes[3].Start(); err != nil {
		t.Fatal(err)
	}
	gets("more", drain.Drained)
	for _, id := range []string{"more", "first"} {
		if _, err := s.Nodes[1].SendDrain("undrain", drain.Request{ID: id}); err != nil {
			t.Fatal(err)
		}
		gets(id, drain.Ended)
	}
	comes(t, "all to be ready", func() bool {
		for _, n := range s.Nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})

	// An endpoint: nothing new within a second, also from a gateway that was cut off and comes back.
	s.Isolate(s.Nodes[4], LinkState{Partitioned: true})
	e := drain.Target{Cluster: "c", Endpoint: s.Origins[0].Addr}
	o, err := orderDrain("e", 0, e)
	if err != nil || o.State == drain.Rejected {
		t.Fatalf("%+v, %v", o, err)
	}
	gets("e", drain.Draining, drain.Drained)
	s.Heal()
	healed := time.Now()
	gets("e", drain.Drained)
	if n := s.Origins[0].RequestsAfter(healed.Add(time.Second)); n != 0 {
		t.Errorf("%d requests to an endpoint that is out", n)
	}
	if o, err := orderDrain("f", 1, drain.Target{Cluster: "c", Endpoint: s.Origins[1].Addr}); err != nil || o.State != drain.Pending {
		t.Errorf("a second one: %+v, %v", o, err)
	}
	if _, err := s.Nodes[2].SendDrain("undrain", drain.Request{ID: "e"}); err != nil {
		t.Fatal(err)
	}
	before := s.Origins[0].Requests()
	comes(t, "it serves", func() bool { return s.Origins[0].Requests() > before+10 })
	gets("e", drain.Cancelled, drain.Ended) // while it is cold its slot is held

	// Without a quorum nothing new is taken out, what is out stays, and all is served.
	for _, n := range s.Nodes[:2] {
		n.Kill()
	}
	if o, err := orderDrain("none", 2, gateway(4)); err == nil {
		t.Errorf("granted without a quorum: %+v", o)
	}
	if why := load.Stop(); why != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d failed, first %s", load.Failed.Load(), load.Requests.Load(), why)
	}
}

// TestReleaseOfAConfiguration releases configurations to six gateways of two sites under load. A good one reaches all; one that
// fails requests is rolled back at its canaries although the leader is killed; one that is invalid is rejected there. Only the bad
// one fails requests.
func TestReleaseOfAConfiguration(t *testing.T) {
	testbed.Leaks(t)
	s, err := NewSite(t.Context(), SiteOptions{Binary: binary(t), Dir: t.TempDir(), Gateways: 6, Sites: []string{"s", "t"}, Lease: testLease})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load := s.StartLoad(50)
	defer load.Stop()
	state := func() (l quorum.ReleaseList) {
		for _, n := range s.Nodes {
			if n.Up() && n.Get("/fleet/releases", &l) == nil && l.Fresh {
				return l
			}
		}
		return l
	}
	comes(t, "the gateways to be known", func() bool { return len(state().Gateways) == 6 })
	start := func(id, text string, back bool) {
		t.Helper()
		digest := fleet.ConfigDigest([]byte(text))
		for _, c := range []quorum.Command{{Op: quorum.OpStoreConfig, Digest: digest, Text: text}, {Op: quorum.OpStartRelease, Plan: &release.Plan{ID: id, Target: digest, Soak: time.Second, RollBackOnFailure: back,
			Gate: release.Gate{MinRequests: 50, MaxMeanRatio: 20, MaxMemoryRatio: 10}}}} {
			comes(t, "the command to be taken", func() bool { return s.Nodes[5].SendRelease(c) == nil })
		}
	}
	ended := func(id string) release.Release {
		t.Helper()
		var r release.Release
		comes(t, id+" to end", func() bool {
			for _, x := range state().Ended {
				if x.ID == id {
					r = x
					return true
				}
			}
			return false
		})
		return r
	}
	has := func(digest string) (n int) {
		for _, g := range state().Gateways {
			if g.Config == digest {
				n++
			}
		}
		return n
	}
	good := "routes: [{match: {prefix: /}, cluster: c}, {match: {prefix: /more}, cluster: c}]\n"
	start("good", good, true)
	if r := ended("good"); r.State != release.Done {
		t.Fatalf("%v", &r)
	}
	comes(t, "all to have it", func() bool { return has(fleet.ConfigDigest([]byte(good))) == 6 })
	if n := load.Failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed for a good one", n, load.Requests.Load())
	}

	// It sends half of all requests nowhere.
	bad := "routes: [{match: {prefix: /}, clusters: [{name: c, weight: 1}, {name: none, weight: 1}]}]\nclusters: [{name: none, endpoints: []}]\n"
	start("bad", bad, true)
	most := 0
	var killed *Node
	var r release.Release
	comes(t, "the bad one to end", func() bool {
		l := state()
		if n := has(fleet.ConfigDigest([]byte(bad))); n > 0 {
			if most = max(most, n); killed == nil {
				if killed = s.Leader(); killed != nil { // what is agreed goes on with the next one
					killed.Kill()
				}
			}
		}
		// It may be one of the canaries: a wave waits for those that have not got it yet.
		if killed != nil && !killed.Up() && s.Leader() != nil {
			if err := killed.Start(); err != nil {
				t.Fatal(err)
			}
		}
		for _, x := range l.Ended {
			if x.ID == "bad" {
				r = x
				return true
			}
		}
		return false
	})
	if r.State != release.RolledBack || r.StateReason == "" || most > 2 || r.Wave != 0 {
		t.Errorf("%v; %d gateways had it", &r, most)
	}
	if killed != nil && !killed.Up() {
		if err := killed.Start(); err != nil {
			t.Fatal(err)
		}
	}
	comes(t, "all to have what they had", func() bool { return has(fleet.ConfigDigest([]byte(good))) == 6 })

	start("unreadable", "routes: [{match: {prefix: /}, cluster: nobody}]\nlisteners: []\n", true)
	if r := ended("unreadable"); r.State != release.RolledBack || !strings.Contains(r.StateReason, "listeners is each process's own") {
		t.Errorf("%v", &r)
	}
	comes(t, "all to have what they had", func() bool { return has(fleet.ConfigDigest([]byte(good))) == 6 })
}
