// Package upgrade tests processes of this build beside processes of an earlier one in one fleet. It is apart from package cluster so
// that the two run at the same time.
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
	timeout   = 30 * time.Second // for anything that has to happen
	leaseTime = 600 * time.Millisecond
	maxKills  = 24                                         // of leaders or lease holders, until one is of the wanted build
	former    = "bef1bf241be6dab3b66946817ac00cf2cbfc3fe0" // the last commit before the names of the code changed
)

// mixedFleet is a site of gateways of two builds, of which the first three vote.
type mixedFleet struct {
	*cluster.Site
	t       *testing.T
	auditor *cluster.Auditor
	current map[string]bool // by name: of this build
}

func (f *mixedFleet) await(what string, ok func() bool) {
	f.t.Helper()
	if err := cluster.Await(f.t.Context(), what, timeout, ok); err != nil {
		f.t.Fatal(err)
	}
}

// restart kills a process and starts it again, as the same build unless it was given another one.
func (f *mixedFleet) restart(n *cluster.Node) {
	f.t.Helper()
	n.Kill()
	if err := n.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.await(n.Name+" to be ready", n.Ready)
}

// awaitAct waits for an act that is accepted from now on, and returns the member that did it and its token.
func (f *mixedFleet) awaitAct() (member string, token uint64) {
	f.t.Helper()
	before, _ := f.auditor.Last()
	f.await("an act", func() bool {
		act, _ := f.auditor.Last()
		member, token = act.Member, act.Token
		return act.ReceivedAt > before.ReceivedAt
	})
	return member, token
}

// leadBy kills the quorum's leader until a voter of the wanted build leads.
func (f *mixedFleet) leadBy(current bool) {
	f.t.Helper()
	for range maxKills {
		var leader *cluster.Node
		f.await("a leader", func() bool { leader = f.Leader(); return leader != nil })
		if f.current[leader.Name] == current {
			return
		}
		f.restart(leader)
	}
	f.t.Fatalf("no voter of the wanted build (this one: %v) leads after %d elections", current, maxKills)
}

// holdBy kills the holder of the post's lease until a process of the wanted build acts, always under a higher token.
func (f *mixedFleet) holdBy(current bool) {
	f.t.Helper()
	for range maxKills {
		member, token := f.awaitAct()
		if f.current[member] == current {
			return
		}
		for _, n := range f.Nodes {
			if n.Name == member {
				f.restart(n)
			}
		}
		f.await("another holder's act", func() bool { act, _ := f.auditor.Last(); return act.Token > token })
	}
	f.t.Fatalf("no process of the wanted build (this one: %v) holds the lease after %d hand-overs", current, maxKills)
}

// drainAndReturn has a gateway drained and returned to service, asked for at another process.
func (f *mixedFleet) drainAndReturn(id string, target, by int) {
	f.t.Helper()
	request := drain.Request{ID: id, Target: drain.Target{Gateway: f.Nodes[target].Name}, Grace: time.Second, Notice: 100 * time.Millisecond}
	f.await(id+" to be accepted", func() bool { _, err := f.Nodes[by].SendDrain("drain", request); return err == nil })
	f.await(id+" to be drained", func() bool { l, _ := f.Nodes[by].DrainRequests(); return l[id].State == drain.Drained })
	f.await(id+" to be not ready", func() bool { return !f.Nodes[target].Ready() })
	f.await(id+" to be cancelled", func() bool { _, err := f.Nodes[by].SendDrain("undrain", request); return err == nil })
	f.await(id+" to be in service again", func() bool { l, _ := f.Nodes[by].DrainRequests(); return l[id].State == drain.Ended })
}

// TestFormerBuildInOneFleet runs voters, gateways and lease holders of an earlier build beside those of this one, under load: leases are
// handed over from each build to the other, and gateways of each build are drained under leaders of each.
func TestFormerBuildInOneFleet(t *testing.T) {
	testbed.Leaks(t)
	dir := t.TempDir()
	formerBuild, skip, err := cluster.BuildAt(t.Context(), dir, former)
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
	site, err := cluster.NewSite(t.Context(), cluster.SiteOptions{Binary: formerBuild, Dir: dir, Gateways: 4, Lease: leaseTime, Budgets: "[{name: g, most: 1}]",
		Posts: map[string]*cluster.ExternalService{"audit": &auditor.ExternalService}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(50)
	defer load.Stop()
	f := &mixedFleet{Site: site, t: t, auditor: auditor, current: map[string]bool{}}

	// One voter and one gateway that does not vote are of this build; two voters are of the former one.
	for _, i := range []int{0, 3} {
		f.Nodes[i].SetBinary(currentBuild)
		f.current[f.Nodes[i].Name] = true
		f.restart(f.Nodes[i])
	}
	for _, current := range []bool{false, true} {
		f.holdBy(!current)
		f.holdBy(current)
		f.leadBy(current)
		f.drainAndReturn(fmt.Sprintf("former-gateway-%v", current), 2, 0)
		f.drainAndReturn(fmt.Sprintf("current-gateway-%v", current), 3, 1)
	}
	f.awaitAct()
	if why := load.Stop(); why != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d requests failed, first %s", load.Failed.Load(), load.Requests.Load(), why)
	}
	if finding := cluster.Audit(auditor.Acts()); finding.Violated() {
		t.Error(finding.FirstViolation)
	}
}
