package hollow

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/membership"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
	"robindrum/internal/subscription"
	"robindrum/internal/testbed"
	"robindrum/internal/testbed/memnet"
)

// Bounds of traffic. Each is below twice the usual value, so that a doubled cost fails.
const (
	maxPackets       = 2.8 // of a member in a probe interval, at any size: its own probe and one that it answers
	maxPacketBytes   = 140 // of a member in a probe interval, at any size
	maxExchangeSlope = 95  // bytes of a full exchange for each member, in both directions, compressed
	maxUpdateBytes   = 800 // of a member for each update of another one, which it gossips some times, to three at a time
)

// plain is the program of this package's tests without the race detector; see runWithoutRaceDetector.
var plain struct {
	once      sync.Once
	dir, path string
	err       error
}

func buildPlain() {
	if plain.dir, plain.err = os.MkdirTemp("", "hollow-"); plain.err != nil {
		return
	}
	plain.path = filepath.Join(plain.dir, "hollow.test")
	if out, err := exec.Command("go", "test", "-c", "-o", plain.path, ".").CombinedOutput(); err != nil {
		plain.err = fmt.Errorf("%w: %s", err, out)
	}
}

// runWithoutRaceDetector runs a simulated test in a process without the race detector if this one has it, and reports whether it did.
// With testing/synctest and as many timers as members have, the detector itself crashes at times ("CHECK failed: tsan_rtl.cpp:346",
// go1.26.8). It covers the members' code in the tests on loopback.
func runWithoutRaceDetector(t *testing.T) bool {
	if !underRace {
		return false
	}
	if plain.once.Do(buildPlain); plain.err != nil {
		t.Fatal(plain.err)
	}
	out, err := exec.CommandContext(t.Context(), plain.path, "-test.v", "-test.run", "^"+t.Name()+"$").CombinedOutput()
	t.Logf("%s", out)
	if err != nil || !bytes.Contains(out, []byte("--- PASS: "+t.Name()+" ")) {
		t.Errorf("without the race detector: %v", err)
	}
	return true
}

// TestMain removes what runWithoutRaceDetector has built.
func TestMain(m *testing.M) {
	code := m.Run()
	if plain.dir != "" {
		_ = os.RemoveAll(plain.dir)
	}
	os.Exit(code)
}

// simulate runs a test with a network in memory and simulated time, so that traffic does not depend on the machine's load.
func simulate(t *testing.T, test func(t *testing.T, opt Options)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, Options{Network: memnet.New()})
		// Simulated time stops when this returns, and probes in flight still wait for their answers.
		time.Sleep(5 * time.Minute)
	})
}

// TestMembershipTrafficSlopes measures at four sizes that what membership sends does not grow with the members, except where
// docs/CAPACITY.md says so.
func TestMembershipTrafficSlopes(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	var sizes, exchange []float64
	for _, n := range []int{6, 12, 24, 48} {
		simulate(t, func(t *testing.T, opt Options) {
			opt.Members = n
			r, err := MeasureMembers(t.Context(), MembersOptions{Options: opt})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", r)
			if r.Join.Unknown+r.StateChange.Unknown+r.JoinOne.Unknown+r.Leave.Unknown+r.Death.Unknown+r.Rollout.Unknown > 0 {
				t.Errorf("%d members: join %v, news %v, come %v, leave %v, death %v, rollout %v", n, r.Join, r.StateChange, r.JoinOne, r.Leave, r.Death, r.Rollout)
			}
			if r.Packets > maxPackets || r.PacketBytes > maxPacketBytes {
				t.Errorf("%d members: %.2f packets and %.0f bytes of a member in a probe's time", n, r.Packets, r.PacketBytes)
			}
			if r.RolloutBytes > maxUpdateBytes {
				t.Errorf("%d members: %.0f bytes of a member for each other's update", n, r.RolloutBytes)
			}
			sizes, exchange = append(sizes, float64(n)), append(exchange, r.ExchangeBytes)
		})
	}
	f, err := NewFit(sizes, exchange)
	if err != nil {
		t.Fatal(err)
	}
	if t.Logf("a full exchange: %v", &f); f.Slope > maxExchangeSlope {
		t.Errorf("a full exchange grows by %.0f bytes with each member", f.Slope)
	}
}

// TestFifthOfMembersRestartsAtOnce restarts members without an announcement: all know the new processes.
func TestFifthOfMembersRestartsAtOnce(t *testing.T) {
	testbed.Leaks(t)
	f, err := New(Options{Members: 15, ProbeInterval: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if s, err := f.Settle(t.Context(), 30*time.Second, 0); err != nil || s.Unknown > 0 {
		t.Fatal(s, err)
	}
	var r MembersResult
	if err := f.measureRestart(t.Context(), &r, 1000); err != nil || r.Restart.Unknown > 0 {
		t.Error(r.Restart, err)
	}
}

// TestCountUnknownCountsPairs checks that a dead member counts as unknown until all know that it is dead.
func TestCountUnknownCountsPairs(t *testing.T) {
	testbed.Leaks(t)
	f, err := New(Options{Members: 3, ProbeInterval: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	testbed.Eventually(t, "all to know all", func() bool { return f.CountUnknown(func(membership.Member) bool { return true }) == 0 })
	if n := f.CountUnknown(func(m membership.Member) bool { return m.Name != "h1" }); n != 3 {
		t.Errorf("%d pairs lack one member that nobody is to know, want 3", n)
	}
	before := f.Traffic()
	f.kill(f.members[1])
	if after := f.Traffic(); after.Packets < before.Packets {
		t.Errorf("the traffic of one that has ended is not counted any more: %+v, before %+v", after, before)
	}
	if len(f.running()) != 2 {
		t.Errorf("%d are up", len(f.running()))
	}
}

// TestAcquirersAcquireAndAreCounted has several acquirers use one voter and checks the counts of commands and traffic.
func TestAcquirersAcquireAndAreCounted(t *testing.T) {
	testbed.Leaks(t)
	quiet := slog.New(slog.DiscardHandler)
	n, err := peer.Listen(peer.Options{Fleet: "asked", Address: "127.0.0.1:0", Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	v := []quorum.Voter{{Name: "v", Address: n.Addr()}}
	s, err := quorum.Open(n, quorum.Options{Dir: t.TempDir(), Name: "v", Voters: v, Heartbeat: 50 * time.Millisecond, MaxLogBytes: 1 << 24, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	n.Serve()
	s.Start()
	t.Cleanup(func() { s.Close(); n.Close() })
	asks := func(askers int) float64 {
		a, err := StartAcquirers(t.Context(), AcquirersOptions{Fleet: "asked", Acquirers: askers, Voters: v, Tasks: []string{"d"}, LeaseLength: 400 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		testbed.Receive(t, "a holder", a.Acquisitions())
		before, _ := a.Commands()
		sent := a.Traffic()
		testbed.Eventually(t, "as many asks as ten of each", func() bool { n, _ := a.Commands(); return n-before >= int64(10*askers) })
		after, _ := a.Commands()
		d := a.Traffic().Minus(sent)
		if a.LastAnswer() == 0 {
			t.Error("nothing was answered")
		}
		return float64(d.Out+d.In) / float64(after-before)
	}
	few, many := asks(2), asks(8)
	t.Logf("%.0f and %.0f bytes an ask", few, many)
	// An ask carries one member and one lease, however many ask.
	if many > 1.4*few || many > 700 {
		t.Errorf("an ask comes to %.0f bytes with 8 askers, %.0f with 2", many, few)
	}
}

// TestGatewayAgentsAcceptDrainsAndUpdates checks that an agent follows the rules of a gateway.
func TestGatewayAgentsAcceptDrainsAndUpdates(t *testing.T) {
	testbed.Leaks(t)
	g := NewGateways()
	f, err := New(Options{Members: 2, ProbeInterval: 100 * time.Millisecond, Sites: []string{"s"}, Prepare: g.Prepare})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	to, from := f.members[0], f.members[1]
	x := drain.Request{ID: "x", Target: drain.Target{Gateway: to.Name}, State: drain.Draining}
	if r := g.agents[to.Name].ApplyDrains(drain.View{Version: 3, Requests: []drain.Request{x}}, false); r.Serving || r.Version != 3 || g.DrainedAt(to.Name, "x") == 0 {
		t.Errorf("%+v", r)
	}
	if r := g.agents[from.Name].ApplyDrains(drain.View{Version: 3, Requests: []drain.Request{x}}, false); !r.Serving || g.DrainedAt(from.Name, "x") != 0 {
		t.Errorf("%+v", r)
	}
	if r := g.agents[to.Name].ApplyDrains(drain.View{Version: 3}, false); r.Figures.Accepted != 0 {
		t.Errorf("it shows %+v before it is to", r.Figures)
	}
	g.ReportRequests()
	if a, b := g.agents[to.Name].ApplyDrains(drain.View{Version: 3}, false).Figures, g.agents[to.Name].ApplyDrains(drain.View{Version: 3}, false).Figures; a.Accepted == 0 || b.Accepted != 2*a.Accepted || b.Served != b.Accepted {
		t.Errorf("it shows %+v, then %+v", a, b)
	}
	push := func(p subscription.Update) (v subscription.Verdict) {
		t.Helper()
		var r struct {
			Verdict subscription.Verdict `json:"verdict"`
		}
		if err := from.Node().Call(t.Context(), to.Address, subscriptionPath, p, &r); err != nil {
			t.Fatal(err)
		}
		return r.Verdict
	}
	for _, c := range []struct {
		p    subscription.Update
		want subscription.Verdict
	}{
		{subscription.Update{Token: 2, Seq: 5, Base: 4}, subscription.NeedSnapshot}, // a difference from what it does not have
		{subscription.Update{Token: 2, Seq: 5, Full: true}, subscription.Accept},
		{subscription.Update{Token: 2, Seq: 6, Base: 5}, subscription.Accept},
		{subscription.Update{Token: 2, Seq: 6}, subscription.Unchanged},
		{subscription.Update{Token: 1, Seq: 9, Full: true}, subscription.Reject},
	} {
		if v := push(c.p); v != c.want {
			t.Errorf("%+v: %s, want %s", c.p, v, c.want)
		}
	}
	if counts := g.Updates(0); len(counts.Delays) != 1 || counts.Without != 1 || counts.Snapshots != 1 || counts.Pushes != 5 {
		t.Errorf("%+v", counts)
	}
	if at, bytes := g.FirstUpdate(to.Name); at == 0 || bytes == 0 {
		t.Errorf("its first at %v, %d bytes", at, bytes)
	}
	if at, _ := g.FirstUpdate(from.Name); at != 0 {
		t.Errorf("one that was told nothing took its first at %v", at)
	}
	if _, calls := g.ReconcileIntervals(0); calls != 5 {
		t.Errorf("%d rounds", calls)
	}
}
