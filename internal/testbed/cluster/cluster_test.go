package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"robindrum/internal/fleet"
	"robindrum/internal/lease"
	"robindrum/internal/membership"
	"robindrum/internal/quorum"
	"robindrum/internal/testbed"
)

// programDir is the directory of the programs that the tests build.
var programDir = sync.OnceValues(func() (string, error) { return os.MkdirTemp("", "robindrum-test-") })

// binary returns the path of the program with the given build tags. It builds the program on the first call.
func binary(t testing.TB, tags ...string) string {
	t.Helper()
	dir, err := programDir()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "robindrum"+tagSuffix(tags))
	if _, err := os.Stat(path); err == nil {
		return path
	}
	if path, err = Build(t.Context(), dir, tags...); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := programDir(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

const testLease = 600 * time.Millisecond

// startCluster starts a cluster and closes it when the test ends.
func startCluster(t testing.TB, options Options) *Cluster {
	t.Helper()
	options.Binary, options.Dir = binary(t), t.TempDir()
	if options.Lease == 0 {
		options.Lease = testLease
	}
	c, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	return c
}

// waitFor waits until a condition is met. It fails the test if that takes longer than recoveryTimeout.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	if err := Await(t.Context(), what, recoveryTimeout, ok); err != nil {
		t.Fatal(err)
	}
}

// member returns the node's view of a member, or the zero Member if the node does not know it.
func (n *Node) member(name string) (m membership.Member) {
	status, _ := n.Fleet()
	for _, m := range status.Members {
		if m.Name == name {
			return m
		}
	}
	return m
}

// vote returns the status of the node's voter, or the zero Status if there is none.
func (n *Node) vote() quorum.Status {
	if status, err := n.Fleet(); err == nil && status.Vote != nil {
		return *status.Vote
	}
	return quorum.Status{}
}

// TestScheduledFaultsViolateNoGuarantee injects each fault once, and runs the schedules of two seeds. No post with a stale token is
// accepted, no member posts after its lease, the history of lease operations is linearizable, and the fleet recovers each time.
func TestScheduledFaultsViolateNoGuarantee(t *testing.T) {
	testbed.Leaks(t)
	var schedules []Schedule
	for i := 0; i < len(Faults); i += 3 {
		schedules = append(schedules, Schedule{Seed: uint64(100 + i), Nodes: 3 + i%3, Faults: Faults[i : i+3]})
	}
	schedules = append(schedules, DrawSchedule(1), DrawSchedule(2))
	options := ScheduleOptions{Binary: binary(t), Dir: t.TempDir(), Lease: testLease, History: true}
	// Run at most half as many schedules as there are CPUs: tests of other packages run at the same time, and some of them check times.
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	var runs sync.WaitGroup
	for _, schedule := range schedules {
		runs.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if result := RunSchedule(t.Context(), schedule, options); result.Violated() || result.Posts < 10 || result.Operations == 0 {
				t.Errorf("Play(%v) = %v, want no violation, at least 10 posts and some lease operations", schedule.Faults, &result)
			}
		})
	}
	runs.Wait()
}

// TestAuditFindsInjectedFaults turns off the auditor's fence, and then the expiry of leases. The audit finds the violations that each of
// them prevents, and the check of histories rejects a history that is not linearizable.
func TestAuditFindsInjectedFaults(t *testing.T) {
	testbed.Leaks(t)
	auditFault := func(f Fault, binary string, acceptAll bool) (sum AuditResult) {
		for seed := range uint64(3) {
			run := RunSchedule(t.Context(), Schedule{Seed: seed, Nodes: 3, Faults: []Fault{f}}, ScheduleOptions{Binary: binary, Dir: t.TempDir(), Lease: testLease, AcceptAll: acceptAll})
			if run.Err != nil {
				t.Fatal(run.Err)
			}
			if sum.Add(run.AuditResult); sum.Violated() {
				break
			}
		}
		return sum
	}
	if f := auditFault(DelayPost, binary(t), true); f.StaleAccepted == 0 || f.AfterLease != 0 {
		t.Errorf("audit with a receiver that accepts all tokens: got %+v, want StaleAccepted > 0 and AfterLease = 0", f)
	}
	if f := auditFault(FreezeLong, binary(t, "faultinjection"), false); f.AfterLease == 0 || f.StaleAccepted != 0 {
		t.Errorf("audit with holders that ignore the end of their lease: got %+v, want AfterLease > 0 and StaleAccepted = 0", f)
	}
	ms := time.Millisecond
	acquire := func(name string, token uint64, called, returned time.Duration) operation {
		return operation{op: quorum.OpAcquire, member: name, token: token, length: 100 * ms, calledAt: called, returnedAt: returned, result: "granted"}
	}
	for want, operations := range map[bool][]operation{
		true:  {acquire("k0", 1, 0, 5*ms), acquire("k1", 2, 99*ms, 101*ms), {op: quorum.OpRelease, member: "k1", token: 2, calledAt: 102 * ms, returnedAt: 103 * ms, result: "unknown"}, acquire("k0", 3, 104*ms, 105*ms)},
		false: {acquire("k0", 1, 0, 5*ms), acquire("k1", 2, 50*ms, 99*ms)},
	} {
		if ok, decided := linearizable(operations, time.Minute); ok != want || !decided {
			t.Errorf("linearizable(%v) = %v, decided %v, want %v, decided true", operations, ok, decided, want)
		}
	}
	if ok, _ := linearizable([]operation{acquire("k0", 2, 0, 5*ms), acquire("k1", 1, 150*ms, 160*ms)}, time.Minute); ok {
		t.Error("linearizable accepted a grant with a lower token than an earlier grant")
	}
}

// TestMembershipAfterPartitionRestartAndNameConflict covers a witness, a partition, a restart, a join during a partition, a member of
// another fleet with the same seeds, and a process that claims the name of another member.
func TestMembershipAfterPartitionRestartAndNameConflict(t *testing.T) {
	testbed.Leaks(t)
	testCluster := startCluster(t, Options{Nodes: 5, Witness: true})
	allSee := func(want membership.State, names ...string) func() bool {
		return func() bool {
			for _, n := range testCluster.Nodes {
				if !n.Up() {
					continue
				}
				for _, name := range names {
					if n.member(name).State != want {
						return false
					}
				}
			}
			return true
		}
	}
	waitFor(t, "four gateways to be serving", allSee(membership.Serving, "n0", "n1", "n3", "n4"))
	waitFor(t, "n2 to be a witness", allSee(membership.Witness, "n2"))
	firstIncarnation := testCluster.Nodes[0].member("n4").Incarnation
	testCluster.Isolate(testCluster.Nodes[4], LinkState{Partitioned: true})
	waitFor(t, "n0 to see n4 as dead", func() bool { return testCluster.Nodes[0].member("n4").State == membership.Dead })
	testCluster.Heal()
	waitFor(t, "n4 to be serving again", allSee(membership.Serving, "n4"))
	if incarnation := testCluster.Nodes[0].member("n4").Incarnation; incarnation != firstIncarnation {
		t.Errorf("incarnation of n4 after a partition without a restart: got %d, want %d", incarnation, firstIncarnation)
	}
	if err := testCluster.Nodes[4].Restart(false); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "n4 to be serving with a newer incarnation", func() bool {
		m := testCluster.Nodes[0].member("n4")
		return m.Incarnation > firstIncarnation && m.State == membership.Serving
	})

	// n3 joins while n0 is partitioned.
	testCluster.Nodes[3].Kill()
	waitFor(t, "n0 to see n3 as dead", func() bool { return testCluster.Nodes[0].member("n3").State == membership.Dead })
	testCluster.Isolate(testCluster.Nodes[0], LinkState{Partitioned: true})
	if err := testCluster.Nodes[3].Start(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "n1 to see n3 as serving", func() bool { return testCluster.Nodes[1].member("n3").State == membership.Serving })
	testCluster.Heal()
	waitFor(t, "all gateways to be serving again", allSee(membership.Serving, "n0", "n1", "n3", "n4"))

	// A member of another fleet contacts the same seeds, and another process claims the name n3.
	dir := t.TempDir()
	startOutsider := func(name, member, host string) *Node {
		node := &Node{Number: 4, Name: member, cluster: testCluster, Dir: filepath.Join(dir, name), Address: host + ":7600", Admin: host + ":7601", Web: host + ":7602"}
		if err := os.MkdirAll(node.Dir, 0o700); err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(node.configuration(), "name: rig", "name: "+name, 1)
		text = text[:strings.Index(text, "  via:")] + text[strings.Index(text, "  quorum:"):]
		path := filepath.Join(node.Dir, "x.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.CommandContext(t.Context(), binary(t), "serve", "-c", path)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		waitFor(t, name+" to be up", func() bool { status, err := node.Fleet(); return err == nil && status.Self.Name == member })
		return node
	}
	other := startOutsider("other", "n7", testCluster.host+".77")
	startOutsider("rig", "n3", testCluster.host+".78")
	waitFor(t, "n0 to report a name conflict", func() bool { status, _ := testCluster.Nodes[0].Fleet(); return status.Conflicts > 0 })
	if m := testCluster.Nodes[0].member("n3"); m.Address != testCluster.Nodes[3].Address {
		t.Errorf("address of n3 after a conflicting claim: got %s, want %s", m.Address, testCluster.Nodes[3].Address)
	}
	if m := testCluster.Nodes[0].member("n7"); m.Name != "" {
		t.Errorf("n0 lists a member of another fleet: got %+v, want none", m)
	}
	if status, err := other.Fleet(); err != nil || len(status.Members) != 1 {
		t.Errorf("members of the other fleet: got %+v, error %v, want only itself", status.Members, err)
	}
}

// TestConcurrentAcquireGrantsOneLease has twenty members acquire a lease at once: one of them is granted it. An acquire of the holder
// returns the same token, a later incarnation of the holder waits, after which the holder cannot renew, a second release has no effect,
// and the grant of a member that never uses it expires.
func TestConcurrentAcquireGrantsOneLease(t *testing.T) {
	testbed.Leaks(t)
	testCluster := startCluster(t, Options{Nodes: 3})
	waitFor(t, "a leader of the quorum", func() bool { return testCluster.Leader() != nil })
	client, err := testCluster.newClient(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer client.node.Close()
	quorumClient := quorum.NewClient(client.node, testCluster.Voters(), time.Second, fleet.Clock)
	do := func(op quorum.Op, name string, incarnation, token uint64) (quorum.Result, error) {
		result, _, err := quorumClient.Do(t.Context(), quorum.Command{Op: op, Lease: "one", Rules: lease.Rules{Length: testLease}, Member: lease.Member{Name: name, Incarnation: incarnation}, Token: token})
		if err != nil {
			t.Fatal(err)
		}
		return result, result.Err()
	}
	var acquires sync.WaitGroup
	var mu sync.Mutex
	granted := map[string]uint64{}
	for i := range 20 {
		acquires.Go(func() {
			name := fmt.Sprint("a", i)
			if result, err := do(quorum.OpAcquire, name, 1, 0); err == nil {
				mu.Lock()
				granted[name] = result.Grant.Token
				mu.Unlock()
			}
		})
	}
	acquires.Wait()
	if len(granted) != 1 {
		t.Fatalf("concurrent acquires granted the lease to %v, want one member", granted)
	}
	for name, token := range granted {
		if result, err := do(quorum.OpAcquire, name, 1, 0); err != nil || result.Grant.Token != token {
			t.Errorf("second acquire of the holder: got %+v, error %v, want token %d", result, err, token)
		}
		if _, err := do(quorum.OpAcquire, name, 2, 0); err == nil {
			t.Error("acquire of a later incarnation was granted while the lease is held")
		}
		if _, err := do(quorum.OpRenew, name, 1, token); err == nil {
			t.Error("renew succeeded although a later incarnation waits")
		}
		for range 2 {
			if _, err := do(quorum.OpRelease, name, 1, token); err != nil {
				t.Error(err)
			}
		}
	}
	// The waiting incarnation that is next in line never uses its grant, so the lease has to expire.
	next := uint64(0)
	waitFor(t, "the unused lease to expire", func() bool {
		result, err := do(quorum.OpAcquire, "z", 1, 0)
		next = result.Grant.Token
		return err == nil
	})
	for _, token := range granted {
		if next <= token {
			t.Errorf("token of a later grant: got %d, want more than %d", next, token)
		}
	}
}

// TestOneSubscriptionForASite freezes the leader of a shared subscription, restarts the control plane, and partitions all gateways
// from each other for many leases, under load. Every version reaches every gateway, no gateway returns to an earlier version, and no
// request fails.
func TestOneSubscriptionForASite(t *testing.T) {
	testbed.Leaks(t)
	site, err := NewSite(t.Context(), SiteOptions{Binary: binary(t), Dir: t.TempDir(), Gateways: 4, SharedSubscription: true, Lease: testLease, DirectAfter: 2 * time.Second, Heartbeat: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(20)
	defer load.Stop()
	openStreams := func() int { n, _ := site.ControlPlane.Streams(); return n }
	oneStream := func() bool { return openStreams() == 1 && site.SubscriptionLeader() != nil }
	waitFor(t, "one stream and a subscription leader", oneStream)
	push := func(within time.Duration, origins ...int) {
		t.Helper()
		pushedAt, err := site.Push(origins...)
		if err == nil {
			err = site.AwaitVersion(t.Context(), within)
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, removed := range site.Origins[len(origins):] {
			if n := removed.RequestsAfter(pushedAt.Add(time.Second)); n != 0 {
				t.Errorf("%d requests to a removed origin more than a second after the push, want 0", n)
			}
		}
	}
	for range 5 {
		push(recoveryTimeout, 0, 1)
		push(recoveryTimeout, 0, 1, 2)
	}
	waitFor(t, "one stream and a subscription leader", oneStream)

	frozen := site.SubscriptionLeader()
	frozen.Freeze()
	waitFor(t, "another subscription leader", func() bool { leader := site.SubscriptionLeader(); return leader != nil && leader != frozen })
	push(recoveryTimeout, 0, 1)
	frozen.Thaw()
	if err := site.AwaitVersion(t.Context(), recoveryTimeout); err != nil { // the thawed gateway included
		t.Error(err)
	}
	waitFor(t, "one stream and a subscription leader", oneStream)

	site.ControlPlane.Stop()
	waitFor(t, "all streams to be closed", func() bool { return openStreams() == 0 })
	_, before := site.ControlPlane.Streams()
	if _, err := site.Push(0, 1, 2); err != nil {
		t.Fatal(err)
	}
	if err := site.ControlPlane.Restart(); err != nil {
		t.Fatal(err)
	}
	if err := site.AwaitVersion(t.Context(), recoveryTimeout); err != nil {
		t.Error(err)
	}
	if _, opened := site.ControlPlane.Streams(); opened-before >= len(site.Nodes) {
		t.Errorf("streams opened after the restart of the control plane: got %d, want fewer than %d", opened-before, len(site.Nodes))
	}

	// Without a quorum and other members, each gateway keeps its endpoints, and opens a direct stream after DirectAfter.
	for _, n := range site.Nodes {
		site.Isolate(n, LinkState{Partitioned: true})
	}
	waitFor(t, "a direct stream of each gateway", func() bool { return openStreams() == len(site.Nodes) })
	push(recoveryTimeout, 0, 1)
	waitFor(t, "n0 to report the loss of the quorum", func() bool {
		status, err := site.Nodes[0].Fleet()
		return err == nil && status.Stale != "" && status.Contact.Error != ""
	})
	site.Heal()
	waitFor(t, "one stream and a subscription leader", oneStream)
	push(recoveryTimeout, 0, 1, 2)
	if failure := load.Stop(); failure != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d requests failed, first: %s; want 0 of at least 200", load.Failed.Load(), load.Requests.Load(), failure)
	}
}
