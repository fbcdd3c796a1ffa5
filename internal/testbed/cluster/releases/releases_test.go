// Package releases tests releases, drains of zones and builds side by side over processes of the program. It is apart from package cluster
// so that the two run at the same time.
package releases

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/testbed"
	"robindrum/internal/testbed/cluster"
)

// The longest that what has to come may take, and the lease of all tests.
const (
	long      = 30 * time.Second
	testLease = 600 * time.Millisecond
)

// built is the program, in a folder of its own.
var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "robindrum-test-")
	if err != nil {
		return "", err
	}
	return cluster.Build(context.Background(), dir)
})

func binary(t testing.TB) string {
	t.Helper()
	path, err := built()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := built(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// comes waits for something of a cluster; processes start and elect within it.
func comes(t testing.TB, what string, ok func() bool) {
	t.Helper()
	if err := cluster.Await(t.Context(), what, long, ok); err != nil {
		t.Fatal(err)
	}
}

// previous is the build that this one has to work beside: the last commit of the landing before.
const previous = "3acd1043bac94fdc604212d3f823228b0287a8d6"

// TestFleetWithPreviousBuild replaces processes of the previous build by this one, one by one and under load. No request is lost
// and leader-only tasks are handed over. While a voter is of the previous build, a leader of this one grants no drains and reports
// why. A process that goes back to the previous build serves.
func TestFleetWithPreviousBuild(t *testing.T) {
	testbed.Leaks(t)
	dir := t.TempDir()
	old, skip, err := cluster.BuildAt(t.Context(), dir, previous)
	if skip != "" {
		t.Skip(skip)
	}
	if err != nil {
		t.Fatal(err)
	}
	a, err := cluster.NewAuditor("receiver")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	s, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: old, Dir: dir, Gateways: 4, Lease: testLease, Budgets: "[{name: g, most: 1}]", Posts: map[string]*cluster.ExternalService{"audit": &a.ExternalService}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load := s.StartLoad(50)
	defer load.Stop()
	acts := func(what string) {
		t.Helper()
		before, _ := a.Last()
		comes(t, "an act, "+what, func() bool { x, _ := a.Last(); return x.ReceivedAt > before.ReceivedAt })
	}
	orderDrain := func(by int, id string) (drain.Request, error) {
		return s.Nodes[by].SendDrain("drain", drain.Request{ID: id, Target: drain.Target{Gateway: "n3"}, Grace: time.Second, Notice: 100 * time.Millisecond})
	}
	restart := func(n *cluster.Node, binary string) {
		t.Helper()
		n.SetBinary(binary)
		n.Kill()
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		comes(t, n.Name+" to be ready", n.Ready)
	}
	acts("by the previous build")
	for i, n := range s.Nodes {
		restart(n, binary(t))
		acts("with " + n.Name + " of this build")
		if i != 1 {
			continue
		}
		// Of three voters one is of the previous build. Where it leads it takes orders by its own rules; then it is to lead no more.
		tries := 0
		comes(t, "an order to be refused for it", func() bool {
			tries++
			id := fmt.Sprint("early", tries)
			_, err := orderDrain(0, id)
			if err == nil {
				comes(t, "it to be taken back", func() bool { _, err := s.Nodes[0].SendDrain("undrain", drain.Request{ID: id}); return err == nil })
				restart(s.Nodes[2], old)
			}
			return err != nil && strings.Contains(err.Error(), "earlier version")
		})
		comes(t, "nothing to be out", s.Nodes[3].Ready)
	}
	comes(t, "an order to be taken", func() bool { _, err := orderDrain(1, "late"); return err == nil })
	comes(t, "n3 to be out", func() bool { m, _ := s.Nodes[0].DrainRequests(); return m["late"].State == drain.Drained })
	if _, err := s.Nodes[2].SendDrain("undrain", drain.Request{ID: "late"}); err != nil {
		t.Fatal(err)
	}
	comes(t, "n3 to be back", func() bool { m, _ := s.Nodes[0].DrainRequests(); return m["late"].State == drain.Ended })
	restart(s.Nodes[3], old)
	acts("with n3 of the previous build again")
	if why := load.Stop(); why != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d requests failed, first %s", load.Failed.Load(), load.Requests.Load(), why)
	}
	if f := cluster.Audit(a.Acts()); f.Violated() {
		t.Error(f.FirstViolation)
	}
}

func altered(t testing.TB, dir, name, program, change string) string {
	t.Helper()
	path, err := cluster.WriteAlteredProgram(dir, name, program, change)
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// TestReleaseOfAProgram releases versions of the program to five supervised gateways under load. A good one reaches all with at
// most one unavailable at a time and loses no request; one that crashes, one that does not reach the quorum and one that fails a
// class are rolled back at their canary; one that does not exist is rejected.
func TestReleaseOfAProgram(t *testing.T) {
	testbed.Leaks(t)
	bin, dir := binary(t), t.TempDir()
	crash := filepath.Join(dir, "crash")
	if err := os.WriteFile(crash, []byte("#!/bin/sh\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	s, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: bin, Dir: dir, Gateways: 5, Lease: testLease, Budgets: "[{name: g, most: 1}]", Version: "v1",
		Versions: map[string]string{"v1": bin, "v2": bin, "crash": crash, "mute": altered(t, dir, "mute", bin, "s/name: rig$/name: other/"),
			"fails": altered(t, dir, "fails", bin, cluster.MisrouteTenth)}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load := s.StartLoad(50)
	defer load.Stop()
	defer func() {
		if t.Failed() {
			for _, n := range s.Nodes {
				st, err := n.Status()
				t.Logf("%s: ready %v, drained %q, %v", n.Name, st.Ready, st.DrainID, err)
				t.Log(strings.Join(n.Process().LastLines(), "\n"))
				for _, c := range st.Clusters {
					t.Logf("  %s: %+v %+v", c.Name, c.Endpoints, c.Requests)
				}
			}
		}
	}()
	var v cluster.DrainResult
	watch := s.Watch(&v, 1)
	state := func() (l quorum.ReleaseList) {
		for _, n := range s.Nodes {
			if n.Up() && n.Get("/fleet/releases", &l) == nil && l.Fresh {
				return l
			}
		}
		return l
	}
	comes(t, "the gateways to be known", func() bool { return len(state().Gateways) == 5 })
	runAs := func(version string) (n int) {
		for _, g := range state().Gateways {
			if g.Responding && g.Version == version {
				n++
			}
		}
		return n
	}
	play := func(id, to string) (r release.Release) {
		t.Helper()
		p := &release.Plan{ID: id, Target: to, OfProgram: true, Soak: 500 * time.Millisecond, RollBackOnFailure: true, Grace: 2 * time.Second, Notice: 300 * time.Millisecond,
			Gate: release.Gate{MinRequests: 20, MaxMeanRatio: 20, MaxTailRatio: 20, MaxMemoryRatio: 10}}
		comes(t, id+" to be taken", func() bool { return s.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: p}) == nil })
		last := ""
		err := cluster.Await(t.Context(), id+" to end", long, func() bool {
			l := state()
			if l.Current != nil && l.Current.String() != last {
				last = l.Current.String()
				t.Log(last)
			}
			for _, x := range l.Ended {
				if x.ID == id {
					r = x
				}
			}
			return r.ID == id
		})
		if err != nil {
			var o quorum.DrainList
			_ = s.Nodes[1].Get("/fleet/orders", &o)
			l := state()
			text, _ := json.Marshal(l)
			t.Fatalf("%v\n%v\n%+v\n%s", err, last, o, text)
		}
		t.Log(&r)
		return r
	}
	if r := play("good", "v2"); r.State != release.Done {
		t.Fatal(&r)
	}
	comes(t, "all to run as v2", func() bool { return runAs("v2") == 5 })
	if n := load.Failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed for a good one", n, load.Requests.Load())
	}
	for _, x := range []struct{ to, why string }{{"none", "is not here"}, {"crash", "given up here: it ended with 3"}, {"mute", "nobody is heard of"}, {"fails", "failed or were refused"}} {
		failed := load.Failed.Load()
		r := play("to "+x.to, x.to)
		if r.State != release.RolledBack || r.Wave != 0 || !strings.Contains(r.StateReason, x.why) {
			t.Errorf("%v, want why: %s", &r, x.why)
		}
		comes(t, "all to run as v2 again", func() bool { return runAs("v2") == 5 })
		if n := load.Failed.Load() - failed; n > 0 && x.to != "fails" {
			t.Errorf("%s: %d requests failed", x.to, n)
		}
	}
	if m, err := s.Nodes[1].DrainRequests(); err == nil {
		for _, o := range m {
			if o.Restart == "none" {
				t.Errorf("drained for a version that is not there: %+v", o)
			}
		}
	}
	watch()
	if v.OverBudget > 0 || v.MaxUnavailable == 0 {
		t.Errorf("%s", &v)
	}
	t.Log(fmt.Sprint(&v))
}

// TestReleaseHaltsWhenZoneIsLost loses a zone during a release of the program: it halts, drained gateways serve again, and once
// the zone has returned it is resumed and reaches all. A second release meanwhile is rejected, and a second rollback has no
// effect.
func TestReleaseHaltsWhenZoneIsLost(t *testing.T) {
	testbed.Leaks(t)
	bin := binary(t)
	s, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: bin, Dir: t.TempDir(), Gateways: 5, Lease: testLease, Zones: []string{"a", "a", "a", "b", "b"},
		Budgets: "[{name: g, most: 1}]", Version: "v1", Versions: map[string]string{"v1": bin, "v2": bin}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load := s.StartLoad(30)
	defer load.Stop()
	state := func() (l quorum.ReleaseList) { _ = s.Nodes[0].Get("/fleet/releases", &l); return l }
	comes(t, "the gateways to be known", func() bool { return len(state().Gateways) == 5 })
	plan := &release.Plan{ID: "r", Target: "v2", OfProgram: true, Soak: 300 * time.Millisecond, RollBackOnFailure: true, Grace: time.Second, Notice: 300 * time.Millisecond,
		Gate: release.Gate{MinRequests: 10, MaxMeanRatio: 1000, MaxTailRatio: 1000, MaxMemoryRatio: 10, MaxInTimeLoss: 0.9}}
	comes(t, "it to begin", func() bool {
		return s.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}) == nil
	})
	if err := s.Nodes[2].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: &release.Plan{ID: "second", Target: "v1", OfProgram: true}}); err == nil {
		t.Error("a second release began")
	}
	comes(t, "the second wave", func() bool {
		l := state()
		if len(l.Ended) > 0 {
			t.Fatal(&l.Ended[0])
		}
		return l.Current != nil && l.Current.Wave >= 1
	})
	for _, n := range s.Nodes[3:] {
		n.Kill()
	}
	comes(t, "it to halt", func() bool { r := state().Current; return r != nil && r.State == release.Halted })
	if r := state().Current; !strings.Contains(r.StateReason, `zone "b"`) && !strings.Contains(r.StateReason, "no answer") {
		t.Errorf("%v", r)
	}
	comes(t, "those that are there to serve", func() bool {
		for _, n := range s.Nodes[:3] {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	for _, n := range s.Nodes[3:] {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	comes(t, "the zone to be seen again", func() bool {
		here := 0
		for _, g := range state().Gateways {
			if g.Responding && g.Serving {
				here++
			}
		}
		return here == 5
	})
	if err := s.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpResumeRelease}); err != nil {
		t.Fatal(err)
	}
	comes(t, "it to be done", func() bool { l := state(); return len(l.Ended) > 0 && l.Ended[0].State == release.Done })
	plan.ID, plan.Target = "again", "v1"
	if err := s.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		// By the second time it may have ended.
		if err := s.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpRollbackRelease}); err != nil && !strings.Contains(err.Error(), release.ErrNoRelease.Error()) {
			t.Fatal(err)
		}
	}
	comes(t, "it to be back", func() bool { l := state(); return len(l.Ended) > 1 && l.Ended[1].State == release.RolledBack })
	comes(t, "all to run as v2", func() bool {
		for _, g := range state().Gateways {
			if g.Version != "v2" || !g.Serving {
				return false
			}
		}
		return true
	})
	if why := load.Stop(); why != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d requests failed, first %s", load.Failed.Load(), load.Requests.Load(), why)
	}
}

// TestReleaseSchedulesViolateNoGuarantee plays six seeded schedules of releases, drains, kills, freezes and partitions. Without
// budgets the observer finds a violation.
func TestReleaseSchedulesViolateNoGuarantee(t *testing.T) {
	testbed.Leaks(t)
	const at = 3 // they mostly wait
	opt := cluster.DrainOptions{Binary: binary(t), Dir: t.TempDir(), Lease: testLease, Steps: 7}
	cluster.RunReleaseSchedules(t.Context(), []uint64{11, 12, 13, 14, 15, 16}, at, opt, func(v cluster.ReleaseResult) {
		if v.Violated() || v.Requests == 0 {
			t.Error(&v)
		}
	})
	// The observer can find it: with no budget to speak of, the last wave of five takes three out at once.
	bin := binary(t)
	s, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: bin, Dir: t.TempDir(), Gateways: 5, Lease: testLease, Budgets: "[{name: g, most: 99}]",
		Version: "v1", Versions: map[string]string{"v1": bin, "v2": bin}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load := s.StartLoad(20)
	defer load.Stop()
	var v cluster.DrainResult
	stop := s.Watch(&v, 2)
	state := func() (l quorum.ReleaseList) { _ = s.Nodes[0].Get("/fleet/releases", &l); return l }
	comes(t, "the gateways to be known", func() bool { return len(state().Gateways) == 5 })
	plan := &release.Plan{ID: "r", Target: "v2", OfProgram: true, Soak: 200 * time.Millisecond, Grace: 5 * time.Second, Notice: time.Second,
		Gate: release.Gate{MinRequests: 5, MaxMeanRatio: 50, MaxTailRatio: 50, MaxMemoryRatio: 10, MaxInTimeLoss: 0.9}}
	comes(t, "it to begin", func() bool {
		return s.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}) == nil
	})
	comes(t, "it to be done", func() bool { l := state(); return len(l.Ended) > 0 && l.Ended[0].State == release.Done })
	stop()
	if v.OverBudget == 0 || v.MaxUnavailable < 3 {
		t.Errorf("without budgets nothing was found: the observer is blind: %s", &v)
	}
}
