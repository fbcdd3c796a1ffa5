// Package releases tests releases, drains of zones and fleets of two builds with processes of the program. It is separate from package
// cluster so that the tests of both run at the same time.
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

const (
	awaitTimeout = 30 * time.Second // for each awaited condition
	testLease    = 600 * time.Millisecond
)

// buildProgram builds the program in a new directory and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "robindrum-test-")
	if err != nil {
		return "", err
	}
	return cluster.Build(context.Background(), dir)
})

// binary returns the path of the program. It builds the program on the first call.
func binary(t testing.TB) string {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// waitFor waits until a condition is met. It fails the test if that takes longer than awaitTimeout, which allows for starts of processes
// and elections.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	if err := cluster.Await(t.Context(), what, awaitTimeout, ok); err != nil {
		t.Fatal(err)
	}
}

// previousCommit is the last commit of the previous landing. Processes of its build and of this build must work in one fleet.
const previousCommit = "3acd1043bac94fdc604212d3f823228b0287a8d6"

// TestFleetWithPreviousBuild replaces processes of the previous build with processes of this build, one by one and under load. No request
// fails, and the post task is handed over. While a voter runs the previous build, a leader of this build rejects drain requests with the
// reason. A process that is returned to the previous build serves.
func TestFleetWithPreviousBuild(t *testing.T) {
	testbed.Leaks(t)
	dir := t.TempDir()
	previousBuild, skip, err := cluster.BuildAt(t.Context(), dir, previousCommit)
	if skip != "" {
		t.Skip(skip)
	}
	if err != nil {
		t.Fatal(err)
	}
	auditor, err := cluster.NewAuditor("receiver")
	if err != nil {
		t.Fatal(err)
	}
	defer auditor.Close()
	site, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: previousBuild, Dir: dir, Gateways: 4, Lease: testLease, Budgets: "[{name: g, most: 1}]", PostTasks: map[string]*cluster.ExternalService{"audit": &auditor.ExternalService}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(50)
	defer load.Stop()
	waitForPost := func(what string) {
		t.Helper()
		before, _ := auditor.Last()
		waitFor(t, "a post "+what, func() bool { post, _ := auditor.Last(); return post.ReceivedAt > before.ReceivedAt })
	}
	requestDrain := func(via int, id string) (drain.Request, error) {
		return site.Nodes[via].SendDrain("drain", drain.Request{ID: id, Target: drain.Target{Gateway: "n3"}, Grace: time.Second, Notice: 100 * time.Millisecond})
	}
	restart := func(n *cluster.Node, binary string) {
		t.Helper()
		n.SetBinary(binary)
		n.Kill()
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		waitFor(t, n.Name+" to be ready", n.Ready)
	}
	waitForPost("by the previous build")
	for i, n := range site.Nodes {
		restart(n, binary(t))
		waitForPost("with " + n.Name + " of this build")
		if i != 1 {
			continue
		}
		// One of three voters runs the previous build. If it leads, it accepts drain requests by its own rules. The test then cancels the
		// request and restarts that voter, so that another one leads.
		attempts := 0
		waitFor(t, "a drain request to be rejected because of the earlier version", func() bool {
			attempts++
			id := fmt.Sprint("early", attempts)
			_, err := requestDrain(0, id)
			if err == nil {
				waitFor(t, "the accepted drain request to be cancelled", func() bool { _, err := site.Nodes[0].SendDrain("undrain", drain.Request{ID: id}); return err == nil })
				restart(site.Nodes[2], previousBuild)
			}
			return err != nil && strings.Contains(err.Error(), "earlier version")
		})
		waitFor(t, "n3 not to be drained", site.Nodes[3].Ready)
	}
	waitFor(t, "a drain request to be accepted", func() bool { _, err := requestDrain(1, "late"); return err == nil })
	waitFor(t, "n3 to be drained", func() bool {
		requests, _ := site.Nodes[0].DrainRequests()
		return requests["late"].State == drain.Drained
	})
	if _, err := site.Nodes[2].SendDrain("undrain", drain.Request{ID: "late"}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the drain of n3 to have ended", func() bool {
		requests, _ := site.Nodes[0].DrainRequests()
		return requests["late"].State == drain.Ended
	})
	restart(site.Nodes[3], previousBuild)
	waitForPost("with n3 of the previous build again")
	if failure := load.Stop(); failure != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d requests failed, first: %s; want 0 of at least 200", load.Failed.Load(), load.Requests.Load(), failure)
	}
	if result := cluster.Audit(auditor.Posts()); result.Violated() {
		t.Error(result.FirstViolation)
	}
}

// writeAltered writes a version of the program that changes its configuration with a sed script, and returns its path.
func writeAltered(t testing.TB, dir, name, program, change string) string {
	t.Helper()
	path, err := cluster.WriteAlteredProgram(dir, name, program, change)
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// TestReleaseOfAProgram releases versions of the program to five supervised gateways under load. A good version reaches all gateways
// with at most one unavailable at a time and without a failed request. A version that crashes, one that does not reach the quorum and
// one that fails a tenth of the requests are rolled back at their canary. A release of a version that does not exist is rolled back
// before a gateway is drained for it.
func TestReleaseOfAProgram(t *testing.T) {
	testbed.Leaks(t)
	program, dir := binary(t), t.TempDir()
	crashingProgram := filepath.Join(dir, "crash")
	if err := os.WriteFile(crashingProgram, []byte("#!/bin/sh\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	site, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: program, Dir: dir, Gateways: 5, Lease: testLease, Budgets: "[{name: g, most: 1}]", Version: "v1",
		Versions: map[string]string{"v1": program, "v2": program, "crash": crashingProgram, "mute": writeAltered(t, dir, "mute", program, "s/name: rig$/name: other/"),
			"fails": writeAltered(t, dir, "fails", program, cluster.MisrouteTenth)}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(50)
	defer load.Stop()
	defer func() {
		if t.Failed() {
			for _, n := range site.Nodes {
				status, err := n.Status()
				t.Logf("%s: ready %v, drain request %q, status error %v", n.Name, status.Ready, status.DrainID, err)
				t.Log(strings.Join(n.Process().LastLines(), "\n"))
				for _, c := range status.Clusters {
					t.Logf("  %s: %+v %+v", c.Name, c.Endpoints, c.Requests)
				}
			}
		}
	}()
	var observed cluster.DrainResult
	stopWatch := site.ObserveUnavailable(&observed, 1)
	releases := func() (list quorum.ReleaseList) {
		for _, n := range site.Nodes {
			if n.Up() && n.Get("/fleet/releases", &list) == nil && list.Fresh {
				return list
			}
		}
		return list
	}
	waitFor(t, "the gateways to be known", func() bool { return len(releases().Gateways) == 5 })
	gatewaysRunning := func(version string) (n int) {
		for _, gateway := range releases().Gateways {
			if gateway.Responding && gateway.Version == version {
				n++
			}
		}
		return n
	}
	runRelease := func(id, target string) (r release.Release) {
		t.Helper()
		plan := &release.Plan{ID: id, Target: target, IsVersionRelease: true, Soak: 500 * time.Millisecond, RollBackOnFailure: true, Grace: 2 * time.Second, Notice: 300 * time.Millisecond,
			Gate: release.Gate{MinRequests: 20, MaxMeanRatio: 20, MaxTailRatio: 20, MaxMemoryRatio: 10}}
		waitFor(t, id+" to be accepted", func() bool {
			return site.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}) == nil
		})
		last := ""
		err := cluster.Await(t.Context(), id+" to end", awaitTimeout, func() bool {
			list := releases()
			if list.Current != nil && list.Current.String() != last {
				last = list.Current.String()
				t.Log(last)
			}
			for _, entry := range list.Ended {
				if entry.ID == id {
					r = entry
				}
			}
			return r.ID == id
		})
		if err != nil {
			var o quorum.DrainList
			_ = site.Nodes[1].Get("/fleet/orders", &o)
			list := releases()
			text, _ := json.Marshal(list)
			t.Fatalf("release %s: %v\nlast state: %v\ndrain requests: %+v\nreleases: %s", id, err, last, o, text)
		}
		t.Log(&r)
		return r
	}
	if r := runRelease("good", "v2"); r.State != release.Done {
		t.Fatal(&r)
	}
	waitFor(t, "all gateways to run v2", func() bool { return gatewaysRunning("v2") == 5 })
	if n := load.Failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed during the release of a good version, want 0", n, load.Requests.Load())
	}
	for _, entry := range []struct{ target, reason string }{{"none", "is not here"}, {"crash", "given up here: it ended with 3"}, {"mute", "nobody is heard of"}, {"fails", "failed or were refused"}} {
		failed := load.Failed.Load()
		r := runRelease("to "+entry.target, entry.target)
		if r.State != release.RolledBack || r.Wave != 0 || !strings.Contains(r.StateReason, entry.reason) {
			t.Errorf("release of version %q: got %v, want it rolled back in wave 0 with reason %q", entry.target, &r, entry.reason)
		}
		waitFor(t, "all gateways to run v2 again", func() bool { return gatewaysRunning("v2") == 5 })
		if n := load.Failed.Load() - failed; n > 0 && entry.target != "fails" {
			t.Errorf("release of version %q: %d requests failed, want 0", entry.target, n)
		}
	}
	if requests, err := site.Nodes[1].DrainRequests(); err == nil {
		for _, o := range requests {
			if o.Restart == "none" {
				t.Errorf("got a drain request for a version that does not exist: %+v, want none", o)
			}
		}
	}
	stopWatch()
	if observed.OverBudget > 0 || observed.MaxUnavailable == 0 {
		t.Errorf("observed unavailable gateways: got %s, want none over the budget and at least 1", &observed)
	}
	t.Log(fmt.Sprint(&observed))
}

// TestReleaseHaltsWhenZoneIsLost kills all gateways of a zone during a release of the program. The release halts and drained gateways
// serve again. After the zone has recovered, the release is resumed and reaches all gateways. A second release at the same time is
// rejected, and a second rollback of a release has no effect.
func TestReleaseHaltsWhenZoneIsLost(t *testing.T) {
	testbed.Leaks(t)
	program := binary(t)
	site, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: program, Dir: t.TempDir(), Gateways: 5, Lease: testLease, Zones: []string{"a", "a", "a", "b", "b"},
		Budgets: "[{name: g, most: 1}]", Version: "v1", Versions: map[string]string{"v1": program, "v2": program}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(30)
	defer load.Stop()
	releases := func() (list quorum.ReleaseList) { _ = site.Nodes[0].Get("/fleet/releases", &list); return list }
	waitFor(t, "the gateways to be known", func() bool { return len(releases().Gateways) == 5 })
	plan := &release.Plan{ID: "r", Target: "v2", IsVersionRelease: true, Soak: 300 * time.Millisecond, RollBackOnFailure: true, Grace: time.Second, Notice: 300 * time.Millisecond,
		Gate: release.Gate{MinRequests: 10, MaxMeanRatio: 1000, MaxTailRatio: 1000, MaxMemoryRatio: 10, MaxInTimeLoss: 0.9}}
	waitFor(t, "the release to be accepted", func() bool {
		return site.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}) == nil
	})
	if err := site.Nodes[2].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: &release.Plan{ID: "second", Target: "v1", IsVersionRelease: true}}); err == nil {
		t.Error("a second release was accepted during the first, want an error")
	}
	waitFor(t, "the second wave of the release", func() bool {
		list := releases()
		if len(list.Ended) > 0 {
			t.Fatal(&list.Ended[0])
		}
		return list.Current != nil && list.Current.Wave >= 1
	})
	for _, n := range site.Nodes[3:] {
		n.Kill()
	}
	waitFor(t, "the release to halt", func() bool { r := releases().Current; return r != nil && r.State == release.Halted })
	if r := releases().Current; !strings.Contains(r.StateReason, `zone "b"`) && !strings.Contains(r.StateReason, "no answer") {
		t.Errorf("halted release: got %v, want a reason that names zone b or missing answers", r)
	}
	waitFor(t, "the remaining gateways to be ready", func() bool {
		for _, n := range site.Nodes[:3] {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	for _, n := range site.Nodes[3:] {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "all gateways to respond and serve", func() bool {
		serving := 0
		for _, gateway := range releases().Gateways {
			if gateway.Responding && gateway.Serving {
				serving++
			}
		}
		return serving == 5
	})
	if err := site.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpResumeRelease}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the release to be done", func() bool { list := releases(); return len(list.Ended) > 0 && list.Ended[0].State == release.Done })
	plan.ID, plan.Target = "again", "v1"
	if err := site.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		// The release may have ended before the second rollback.
		if err := site.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpRollbackRelease}); err != nil && !strings.Contains(err.Error(), release.ErrNoRelease.Error()) {
			t.Fatal(err)
		}
	}
	waitFor(t, "the release to be rolled back", func() bool {
		list := releases()
		return len(list.Ended) > 1 && list.Ended[1].State == release.RolledBack
	})
	waitFor(t, "all gateways to run v2 and serve", func() bool {
		for _, gateway := range releases().Gateways {
			if gateway.Version != "v2" || !gateway.Serving {
				return false
			}
		}
		return true
	})
	if failure := load.Stop(); failure != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d requests failed, first: %s; want 0 of at least 200", load.Failed.Load(), load.Requests.Load(), failure)
	}
}

// TestReleaseSchedulesViolateNoGuarantee runs six seeded schedules of releases, drains, kills, freezes and partitions. With a budget that
// allows everything, the observer detects a violation.
func TestReleaseSchedulesViolateNoGuarantee(t *testing.T) {
	testbed.Leaks(t)
	const parallel = 3 // schedules mostly wait and need little CPU time
	options := cluster.DrainOptions{Binary: binary(t), Dir: t.TempDir(), Lease: testLease, Steps: 7}
	cluster.RunReleaseSchedules(t.Context(), []uint64{11, 12, 13, 14, 15, 16}, parallel, options, func(result cluster.ReleaseResult) {
		if result.Violated() || result.Requests == 0 {
			t.Error(&result)
		}
	})
	// The observer detects a violation: with an unlimited budget, the last wave of five gateways drains three at once.
	program := binary(t)
	site, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: program, Dir: t.TempDir(), Gateways: 5, Lease: testLease, Budgets: "[{name: g, most: 99}]",
		Version: "v1", Versions: map[string]string{"v1": program, "v2": program}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(20)
	defer load.Stop()
	var result cluster.DrainResult
	stopWatch := site.ObserveUnavailable(&result, 2)
	releases := func() (list quorum.ReleaseList) { _ = site.Nodes[0].Get("/fleet/releases", &list); return list }
	waitFor(t, "the gateways to be known", func() bool { return len(releases().Gateways) == 5 })
	plan := &release.Plan{ID: "r", Target: "v2", IsVersionRelease: true, Soak: 200 * time.Millisecond, Grace: 5 * time.Second, Notice: time.Second,
		Gate: release.Gate{MinRequests: 5, MaxMeanRatio: 50, MaxTailRatio: 50, MaxMemoryRatio: 10, MaxInTimeLoss: 0.9}}
	waitFor(t, "the release to be accepted", func() bool {
		return site.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}) == nil
	})
	waitFor(t, "the release to be done", func() bool { list := releases(); return len(list.Ended) > 0 && list.Ended[0].State == release.Done })
	stopWatch()
	if result.OverBudget == 0 || result.MaxUnavailable < 3 {
		t.Errorf("observed unavailable gateways with an unlimited budget: got %s, want some over the budget and at least 3 at once", &result)
	}
}
