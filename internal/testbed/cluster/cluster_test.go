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

// folder has the built programs.
var folder = sync.OnceValues(func() (string, error) { return os.MkdirTemp("", "robindrum-test-") })

func binary(t testing.TB, tags ...string) string {
	t.Helper()
	dir, err := folder()
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
	if dir, err := folder(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

const testLease = 600 * time.Millisecond

// up starts a cluster and closes it with the test.
func up(t testing.TB, opt Options) *Cluster {
	t.Helper()
	opt.Binary, opt.Dir = binary(t), t.TempDir()
	if opt.Lease == 0 {
		opt.Lease = testLease
	}
	c, err := New(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	return c
}

// comes waits for a condition of a cluster and fails the test if it does not become true in time.
func comes(t testing.TB, what string, ok func() bool) {
	t.Helper()
	if err := Await(t.Context(), what, recoveryTimeout, ok); err != nil {
		t.Fatal(err)
	}
}

func (n *Node) member(name string) (m membership.Member) {
	s, _ := n.Fleet()
	for _, m := range s.Members {
		if m.Name == name {
			return m
		}
	}
	return m
}

func (n *Node) vote() quorum.Status {
	if s, err := n.Fleet(); err == nil && s.Vote != nil {
		return *s.Vote
	}
	return quorum.Status{}
}

// TestScheduledFaultsViolateNoGuarantee injects each fault once, and the schedules of two seeds. No act is accepted out of order,
// no member acts beyond its lease, the history of lease operations is linearizable, and the fleet recovers each time.
func TestScheduledFaultsViolateNoGuarantee(t *testing.T) {
	testbed.Leaks(t)
	var all []Schedule
	for i := 0; i < len(Faults); i += 3 {
		all = append(all, Schedule{Seed: uint64(100 + i), Nodes: 3 + i%3, Faults: Faults[i : i+3]})
	}
	all = append(all, DrawSchedule(1), DrawSchedule(2))
	opt := PlayOptions{Binary: binary(t), Dir: t.TempDir(), Lease: testLease, History: true}
	// Processes run beside the tests of other packages, some of which look at times.
	at := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	var work sync.WaitGroup
	for _, s := range all {
		work.Go(func() {
			at <- struct{}{}
			defer func() { <-at }()
			if v := Play(t.Context(), s, opt); v.Violated() || v.Acts < 10 || v.Operations == 0 {
				t.Errorf("%v: %v", s.Faults, &v)
			}
		})
	}
	work.Wait()
}

// TestAuditFindsInjectedFaults switches off the fence and the end of a lease in turn. The audit finds what each of them prevents,
// and the check of histories rejects those that are not linearizable.
func TestAuditFindsInjectedFaults(t *testing.T) {
	testbed.Leaks(t)
	play := func(f Fault, binary string, open bool) (sum AuditResult) {
		for seed := range uint64(3) {
			v := Play(t.Context(), Schedule{Seed: seed, Nodes: 3, Faults: []Fault{f}}, PlayOptions{Binary: binary, Dir: t.TempDir(), Lease: testLease, AcceptAll: open})
			if v.Err != nil {
				t.Fatal(v.Err)
			}
			if sum.Add(v.AuditResult); sum.Violated() {
				break
			}
		}
		return sum
	}
	if f := play(DelayAct, binary(t), true); f.StaleAccepted == 0 || f.AfterLease != 0 {
		t.Errorf("a receiver that takes every token: %+v", f)
	}
	if f := play(FreezeLong, binary(t, "faultinjection"), false); f.AfterLease == 0 || f.StaleAccepted != 0 {
		t.Errorf("a holder that goes on when its lease is over: %+v", f)
	}
	ms := time.Millisecond
	got := func(m string, token uint64, call, ret time.Duration) operation {
		return operation{op: quorum.OpAcquire, member: m, token: token, length: 100 * ms, calledAt: call, returnedAt: ret, result: "granted"}
	}
	for want, ops := range map[bool][]operation{
		true:  {got("k0", 1, 0, 5*ms), got("k1", 2, 99*ms, 101*ms), {op: quorum.OpRelease, member: "k1", token: 2, calledAt: 102 * ms, returnedAt: 103 * ms, result: "unknown"}, got("k0", 3, 104*ms, 105*ms)},
		false: {got("k0", 1, 0, 5*ms), got("k1", 2, 50*ms, 99*ms)},
	} {
		if ok, decided := linearizable(ops, time.Minute); ok != want || !decided {
			t.Errorf("%v: linearizable %v (decided %v)", ops, ok, decided)
		}
	}
	if ok, _ := linearizable([]operation{got("k0", 2, 0, 5*ms), got("k1", 1, 150*ms, 160*ms)}, time.Minute); ok {
		t.Error("a token that is lower than one before")
	}
}

// TestMembershipAfterPartitionRestartAndNameConflict covers another fleet with the same seeds, a member that claims the name of
// another one, a restart, a partition, a join during a partition, and a witness.
func TestMembershipAfterPartitionRestartAndNameConflict(t *testing.T) {
	testbed.Leaks(t)
	c := up(t, Options{Nodes: 5, Witness: true})
	all := func(want membership.State, names ...string) func() bool {
		return func() bool {
			for _, n := range c.Nodes {
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
	comes(t, "five members", all(membership.Serving, "n0", "n1", "n3", "n4"))
	comes(t, "a witness", all(membership.Witness, "n2"))
	born := c.Nodes[0].member("n4").Incarnation
	c.Isolate(c.Nodes[4], LinkState{Partitioned: true})
	comes(t, "it is dead to the others", func() bool { return c.Nodes[0].member("n4").State == membership.Dead })
	c.Heal()
	comes(t, "it is back", all(membership.Serving, "n4"))
	if b := c.Nodes[0].member("n4").Incarnation; b != born {
		t.Errorf("incarnation %d, was %d: it was not restarted", b, born)
	}
	if err := c.Nodes[4].Restart(false); err != nil {
		t.Fatal(err)
	}
	comes(t, "it was started again", func() bool {
		m := c.Nodes[0].member("n4")
		return m.Incarnation > born && m.State == membership.Serving
	})

	// A split, in which one joins.
	c.Nodes[3].Kill()
	comes(t, "it is dead", func() bool { return c.Nodes[0].member("n3").State == membership.Dead })
	c.Isolate(c.Nodes[0], LinkState{Partitioned: true})
	if err := c.Nodes[3].Start(); err != nil {
		t.Fatal(err)
	}
	comes(t, "it joined one side", func() bool { return c.Nodes[1].member("n3").State == membership.Serving })
	c.Heal()
	comes(t, "one fleet again", all(membership.Serving, "n0", "n1", "n3", "n4"))

	// Another fleet's member asks the same seeds; and one claims a name.
	dir := t.TempDir()
	stranger := func(name, member, host string) *Node {
		x := &Node{Number: 4, Name: member, cluster: c, Dir: filepath.Join(dir, name), Address: host + ":7600", Admin: host + ":7601", Web: host + ":7602"}
		if err := os.MkdirAll(x.Dir, 0o700); err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(x.configuration(), "name: rig", "name: "+name, 1)
		text = text[:strings.Index(text, "  via:")] + text[strings.Index(text, "  quorum:"):]
		path := filepath.Join(x.Dir, "x.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.CommandContext(t.Context(), binary(t), "serve", "-c", path)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		comes(t, name+" is up", func() bool { s, err := x.Fleet(); return err == nil && s.Self.Name == member })
		return x
	}
	other := stranger("other", "n7", c.host+".77")
	stranger("rig", "n3", c.host+".78")
	comes(t, "the claim is seen", func() bool { s, _ := c.Nodes[0].Fleet(); return s.Conflicts > 0 })
	if m := c.Nodes[0].member("n3"); m.Address != c.Nodes[3].Address {
		t.Errorf("n3 is %s now", m.Address)
	}
	if m := c.Nodes[0].member("n7"); m.Name != "" {
		t.Errorf("a member of another fleet: %+v", m)
	}
	if s, err := other.Fleet(); err != nil || len(s.Members) != 1 {
		t.Errorf("the other fleet knows %+v, %v", s.Members, err)
	}
}

// TestConcurrentAcquireGrantsOneLease has twenty members acquire a lease at once: one is granted it. A second release has no
// effect, a later incarnation of the holder waits and the holder cannot renew, and a grant that its member never received expires.
func TestConcurrentAcquireGrantsOneLease(t *testing.T) {
	testbed.Leaks(t)
	c := up(t, Options{Nodes: 3})
	comes(t, "a leader", func() bool { return c.Leader() != nil })
	h, err := c.newClient(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer h.node.Close()
	q := quorum.NewClient(h.node, c.Voters(), time.Second, fleet.Clock)
	do := func(op quorum.Op, name string, incarnation, token uint64) (quorum.Result, error) {
		r, _, err := q.Do(t.Context(), quorum.Command{Op: op, Lease: "one", Rules: lease.Rules{Length: testLease}, Member: lease.Member{Name: name, Incarnation: incarnation}, Token: token})
		if err != nil {
			t.Fatal(err)
		}
		return r, r.Err()
	}
	var work sync.WaitGroup
	var mu sync.Mutex
	granted := map[string]uint64{}
	for i := range 20 {
		work.Go(func() {
			name := fmt.Sprint("a", i)
			if r, err := do(quorum.OpAcquire, name, 1, 0); err == nil {
				mu.Lock()
				granted[name] = r.Grant.Token
				mu.Unlock()
			}
		})
	}
	work.Wait()
	if len(granted) != 1 {
		t.Fatalf("%v have it", granted)
	}
	for name, token := range granted {
		if r, err := do(quorum.OpAcquire, name, 1, 0); err != nil || r.Grant.Token != token {
			t.Errorf("asked once more, as an answer may have been lost: %+v, %v", r, err)
		}
		if _, err := do(quorum.OpAcquire, name, 2, 0); err == nil {
			t.Error("a process that was started again has it at once")
		}
		if _, err := do(quorum.OpRenew, name, 1, token); err == nil {
			t.Error("renewed although a later incarnation waits")
		}
		for range 2 {
			if _, err := do(quorum.OpRelease, name, 1, token); err != nil {
				t.Error(err)
			}
		}
	}
	// Whoever has it now never hears of it: it ends by itself.
	next := uint64(0)
	comes(t, "it ends by itself", func() bool { r, err := do(quorum.OpAcquire, "z", 1, 0); next = r.Grant.Token; return err == nil })
	for _, token := range granted {
		if next <= token {
			t.Errorf("token %d behind %d", next, token)
		}
	}
}

// TestOneSubscriptionForASite freezes the leader of a shared subscription, restarts the control plane, and partitions all gateways
// for many leases, under load. Every version reaches every gateway, no gateway goes back to an earlier one, and no request fails.
func TestOneSubscriptionForASite(t *testing.T) {
	testbed.Leaks(t)
	s, err := NewSite(t.Context(), SiteOptions{Binary: binary(t), Dir: t.TempDir(), Gateways: 4, SharedSubscription: true, Lease: testLease, DirectAfter: 2 * time.Second, Heartbeat: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load := s.StartLoad(20)
	defer load.Stop()
	open := func() int { n, _ := s.ControlPlane.Streams(); return n }
	one := func() bool { return open() == 1 && s.SubscriptionLeader() != nil }
	comes(t, "one stream", one)
	push := func(within time.Duration, origins ...int) {
		t.Helper()
		at, err := s.Push(origins...)
		if err == nil {
			err = s.AwaitVersion(t.Context(), within)
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range s.Origins[len(origins):] {
			if n := o.RequestsAfter(at.Add(time.Second)); n != 0 {
				t.Errorf("%d requests to one that was removed", n)
			}
		}
	}
	for range 5 {
		push(recoveryTimeout, 0, 1)
		push(recoveryTimeout, 0, 1, 2)
	}
	comes(t, "one stream", one)

	old := s.SubscriptionLeader()
	old.Freeze()
	comes(t, "another holder", func() bool { h := s.SubscriptionLeader(); return h != nil && h != old })
	push(recoveryTimeout, 0, 1)
	old.Thaw()
	if err := s.AwaitVersion(t.Context(), recoveryTimeout); err != nil { // also the one that was frozen
		t.Error(err)
	}
	comes(t, "one stream", one)

	s.ControlPlane.Stop()
	comes(t, "it is noticed", func() bool { return open() == 0 })
	_, before := s.ControlPlane.Streams()
	if _, err := s.Push(0, 1, 2); err != nil {
		t.Fatal(err)
	}
	if err := s.ControlPlane.Restart(); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitVersion(t.Context(), recoveryTimeout); err != nil {
		t.Error(err)
	}
	if _, ever := s.ControlPlane.Streams(); ever-before >= len(s.Nodes) {
		t.Errorf("%d streams at the return", ever-before)
	}

	// No quorum, and no member: each goes on, and after a while by itself.
	for _, n := range s.Nodes {
		s.Isolate(n, LinkState{Partitioned: true})
	}
	comes(t, "each on a stream of its own", func() bool { return open() == len(s.Nodes) })
	push(recoveryTimeout, 0, 1)
	comes(t, "the loss to be reported", func() bool {
		st, err := s.Nodes[0].Fleet()
		return err == nil && st.Stale != "" && st.Contact.Error != ""
	})
	s.Heal()
	comes(t, "one stream", one)
	push(recoveryTimeout, 0, 1, 2)
	if why := load.Stop(); why != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d failed, first %s", load.Failed.Load(), load.Requests.Load(), why)
	}
}
