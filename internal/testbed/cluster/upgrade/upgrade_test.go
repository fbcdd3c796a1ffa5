// Package upgrade tests fleets in which processes of this build run together with processes of an earlier build. It is separate from
// package cluster so that the tests of both run at the same time.
package upgrade

import (
	"fmt"
	"testing"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/testbed"
	"robindrum/internal/testbed/cluster"
)

const (
	timeout       = 30 * time.Second // for each awaited condition
	leaseTime     = 600 * time.Millisecond
	maxKills      = 24                                         // of leaders or lease holders until one is of the wanted build
	earlierCommit = "bef1bf241be6dab3b66946817ac00cf2cbfc3fe0" // the last commit before the code's identifiers were renamed
)

// mixedFleet is a site with gateways of two builds. The first three gateways vote.
type mixedFleet struct {
	*cluster.Site
	t       *testing.T
	auditor *cluster.Auditor
	current map[string]bool // gateways that run this build, by name
}

// await waits until a condition is met. It fails the test if that takes longer than timeout.
func (f *mixedFleet) await(what string, ok func() bool) {
	f.t.Helper()
	if err := cluster.Await(f.t.Context(), what, timeout, ok); err != nil {
		f.t.Fatal(err)
	}
}

// restart kills a gateway and starts it again, with the same build unless SetBinary has set another one.
func (f *mixedFleet) restart(n *cluster.Node) {
	f.t.Helper()
	n.Kill()
	if err := n.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.await(n.Name+" to be ready", n.Ready)
}

// awaitPost waits for the next accepted post, and returns the member that sent it and its token.
func (f *mixedFleet) awaitPost() (member string, token uint64) {
	f.t.Helper()
	before, _ := f.auditor.Last()
	f.await("a post", func() bool {
		post, _ := f.auditor.Last()
		member, token = post.Member, post.Token
		return post.ReceivedAt > before.ReceivedAt
	})
	return member, token
}

// moveLeadership kills the quorum's leader until a voter of the wanted build leads: this build if current is true.
func (f *mixedFleet) moveLeadership(current bool) {
	f.t.Helper()
	for range maxKills {
		var leader *cluster.Node
		f.await("a leader", func() bool { leader = f.Leader(); return leader != nil })
		if f.current[leader.Name] == current {
			return
		}
		f.restart(leader)
	}
	f.t.Fatalf("no voter of the wanted build (current: %v) leads after %d elections", current, maxKills)
}

// moveLease kills the holder of the post task's lease until a process of the wanted build sends posts: this build if current is true.
// Each hand-over must increase the token.
func (f *mixedFleet) moveLease(current bool) {
	f.t.Helper()
	for range maxKills {
		member, token := f.awaitPost()
		if f.current[member] == current {
			return
		}
		for _, n := range f.Nodes {
			if n.Name == member {
				f.restart(n)
			}
		}
		f.await("a post under a higher token", func() bool { post, _ := f.auditor.Last(); return post.Token > token })
	}
	f.t.Fatalf("no process of the wanted build (current: %v) holds the lease after %d hand-overs", current, maxKills)
}

// drainAndUndrain drains a gateway and returns it to service, with commands sent to another gateway.
func (f *mixedFleet) drainAndUndrain(id string, target, via int) {
	f.t.Helper()
	request := drain.Request{ID: id, Target: drain.Target{Gateway: f.Nodes[target].Name}, Grace: time.Second, Notice: 100 * time.Millisecond}
	f.await(id+" to be accepted", func() bool { _, err := f.Nodes[via].SendDrain("drain", request); return err == nil })
	f.await(id+" to be drained", func() bool { requests, _ := f.Nodes[via].DrainRequests(); return requests[id].State == drain.Drained })
	f.await(id+" to make its gateway not ready", func() bool { return !f.Nodes[target].Ready() })
	f.await(id+" to be cancelled", func() bool { _, err := f.Nodes[via].SendDrain("undrain", request); return err == nil })
	f.await(id+" to have ended", func() bool { requests, _ := f.Nodes[via].DrainRequests(); return requests[id].State == drain.Ended })
}

// TestFormerBuildInOneFleet runs voters, gateways and lease holders of an earlier build and of this build in one fleet under load.
// Leases are handed over from each build to the other, and gateways of each build are drained under leaders of each build.
func TestFormerBuildInOneFleet(t *testing.T) {
	testbed.Leaks(t)
	dir := t.TempDir()
	earlierBuild, skip, err := cluster.BuildAt(t.Context(), dir, earlierCommit)
	if skip != "" {
		t.Skip(skip)
	}
	if err != nil {
		t.Fatal(err)
	}
	currentBuild, err := cluster.Build(t.Context(), dir)
	if err != nil {
		t.Fatal(err)
	}
	auditor, err := cluster.NewAuditor("receiver")
	if err != nil {
		t.Fatal(err)
	}
	defer auditor.Close()
	site, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: earlierBuild, Dir: dir, Gateways: 4, Lease: leaseTime, Budgets: "[{name: g, most: 1}]",
		PostTasks: map[string]*cluster.ExternalService{"audit": &auditor.ExternalService}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(50)
	defer load.Stop()
	f := &mixedFleet{Site: site, t: t, auditor: auditor, current: map[string]bool{}}

	// One voter and the gateway that does not vote run this build; two voters run the earlier one.
	for _, i := range []int{0, 3} {
		f.Nodes[i].SetBinary(currentBuild)
		f.current[f.Nodes[i].Name] = true
		f.restart(f.Nodes[i])
	}
	for _, current := range []bool{false, true} {
		f.moveLease(!current)
		f.moveLease(current)
		f.moveLeadership(current)
		f.drainAndUndrain(fmt.Sprintf("former-gateway-%v", current), 2, 0)
		f.drainAndUndrain(fmt.Sprintf("current-gateway-%v", current), 3, 1)
	}
	f.awaitPost()
	if failure := load.Stop(); failure != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d requests failed, first: %s; want 0 of at least 200", load.Failed.Load(), load.Requests.Load(), failure)
	}
	if finding := cluster.Audit(auditor.Posts()); finding.Violated() {
		t.Error(finding.FirstViolation)
	}
}
