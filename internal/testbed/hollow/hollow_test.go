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

// Bounds of traffic. Each is less than twice the usual value, so that a doubled cost fails the test.
const (
	maxPackets       = 2.8 // per member and probe interval, at any fleet size: its own probe and its answer to another member's
	maxPacketBytes   = 140 // per member and probe interval, at any fleet size
	maxExchangeSlope = 95  // compressed bytes of a full exchange per member of the fleet, in both directions
	maxUpdateBytes   = 800 // sent by a member per update of another member; it gossips each update several times, to three members at a time
)

// nonRaceBinary is the test binary of this package, built without the race detector; see runWithoutRaceDetector.
var nonRaceBinary struct {
	once      sync.Once
	dir, path string
	err       error
}

func buildNonRaceBinary() {
	if nonRaceBinary.dir, nonRaceBinary.err = os.MkdirTemp("", "hollow-"); nonRaceBinary.err != nil {
		return
	}
	nonRaceBinary.path = filepath.Join(nonRaceBinary.dir, "hollow.test")
	if out, err := exec.Command("go", "test", "-c", "-o", nonRaceBinary.path, ".").CombinedOutput(); err != nil {
		nonRaceBinary.err = fmt.Errorf("%w: %s", err, out)
	}
}

// runWithoutRaceDetector, if this process runs with the race detector, runs the test in a process without it and returns true. Otherwise
// it returns false. With testing/synctest and the many timers of the members, the race detector itself crashes at times ("CHECK failed:
// tsan_rtl.cpp:346", go1.26.8). The tests on loopback run the members' code under the race detector.
func runWithoutRaceDetector(t *testing.T) bool {
	if !raceEnabled {
		return false
	}
	if nonRaceBinary.once.Do(buildNonRaceBinary); nonRaceBinary.err != nil {
		t.Fatal(nonRaceBinary.err)
	}
	out, err := exec.CommandContext(t.Context(), nonRaceBinary.path, "-test.v", "-test.run", "^"+t.Name()+"$").CombinedOutput()
	t.Logf("%s", out)
	if err != nil || !bytes.Contains(out, []byte("--- PASS: "+t.Name()+" ")) {
		t.Errorf("run without the race detector: %v, want a pass", err)
	}
	return true
}

// TestMain removes the binary that runWithoutRaceDetector built.
func TestMain(m *testing.M) {
	code := m.Run()
	if nonRaceBinary.dir != "" {
		_ = os.RemoveAll(nonRaceBinary.dir)
	}
	os.Exit(code)
}

// simulate runs a test with an in-memory network and simulated time, so that traffic does not depend on the machine's load.
func simulate(t *testing.T, test func(t *testing.T, opt Options)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, Options{Network: memnet.New()})
		// Simulated time stops when this function returns. Let probes in flight end before that.
		time.Sleep(5 * time.Minute)
	})
}

// TestMembershipTrafficSlopes measures membership at four fleet sizes. A member's traffic must not grow with the fleet, except for the
// full exchange and the updates, as described in docs/CAPACITY.md.
func TestMembershipTrafficSlopes(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	var sizes, exchangeBytes []float64
	for _, n := range []int{6, 12, 24, 48} {
		simulate(t, func(t *testing.T, opt Options) {
			opt.Members = n
			r, err := MeasureMembers(t.Context(), MembersOptions{Options: opt})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", r)
			if r.Join.Unknown+r.StateChange.Unknown+r.JoinOne.Unknown+r.Leave.Unknown+r.Death.Unknown+r.Rollout.Unknown > 0 {
				t.Errorf("%d members: join %v, state change %v, single join %v, leave %v, death %v, rollout %v; want all known", n, r.Join, r.StateChange, r.JoinOne, r.Leave, r.Death, r.Rollout)
			}
			if r.Packets > maxPackets || r.PacketBytes > maxPacketBytes {
				t.Errorf("%d members: %.2f packets and %.0f bytes per member and probe interval, want at most %v and %v", n, r.Packets, r.PacketBytes, maxPackets, maxPacketBytes)
			}
			if r.RolloutBytes > maxUpdateBytes {
				t.Errorf("%d members: %.0f bytes per member and update, want at most %d", n, r.RolloutBytes, maxUpdateBytes)
			}
			sizes, exchangeBytes = append(sizes, float64(n)), append(exchangeBytes, r.ExchangeBytes)
		})
	}
	f, err := NewFit(sizes, exchangeBytes)
	if err != nil {
		t.Fatal(err)
	}
	if t.Logf("full exchange: %v", &f); f.Slope > maxExchangeSlope {
		t.Errorf("full exchange grows by %.0f bytes per member, want at most %d", f.Slope, maxExchangeSlope)
	}
}

// TestFifthOfMembersRestartsAtOnce kills and restarts a fifth of the members: all members must learn of the new incarnations.
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

// TestCountUnknownCountsPairs checks that CountUnknown counts each member without the expected knowledge, and that the traffic of a killed
// member still counts.
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
	testbed.Eventually(t, "all members to know each other", func() bool { return f.CountUnknown(func(membership.Member) bool { return true }) == 0 })
	if n := f.CountUnknown(func(m membership.Member) bool { return m.Name != "h1" }); n != 3 {
		t.Errorf("CountUnknown() = %d when no record of h1 is accepted, want 3", n)
	}
	before := f.Traffic()
	f.kill(f.members[1])
	if after := f.Traffic(); after.Packets < before.Packets {
		t.Errorf("Traffic() after a kill = %+v, want at least %+v", after, before)
	}
	if len(f.running()) != 2 {
		t.Errorf("%d members are running, want 2", len(f.running()))
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
	voters := []quorum.Voter{{Name: "v", Address: n.Addr()}}
	server, err := quorum.Open(n, quorum.Options{Dir: t.TempDir(), Name: "v", Voters: voters, Heartbeat: 50 * time.Millisecond, MaxLogBytes: 1 << 24, Log: quiet})
	if err != nil {
		t.Fatal(err)
	}
	n.Serve()
	server.Start()
	t.Cleanup(func() { server.Close(); n.Close() })
	bytesPerCommand := func(count int) float64 {
		a, err := StartAcquirers(t.Context(), AcquirersOptions{Fleet: "asked", Acquirers: count, Voters: voters, Tasks: []string{"d"}, LeaseLength: 400 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		testbed.Receive(t, "a lease holder", a.Acquisitions())
		before, _ := a.Commands()
		sent := a.Traffic()
		testbed.Eventually(t, "ten commands per acquirer", func() bool { n, _ := a.Commands(); return n-before >= int64(10*count) })
		after, _ := a.Commands()
		traffic := a.Traffic().Minus(sent)
		if a.LastAnswer() == 0 {
			t.Error("LastAnswer() = 0 after successful commands")
		}
		return float64(traffic.Out+traffic.In) / float64(after-before)
	}
	few, many := bytesPerCommand(2), bytesPerCommand(8)
	t.Logf("%.0f bytes per command with 2 acquirers, %.0f with 8", few, many)
	// A command carries one member and one lease, whatever the number of acquirers.
	if many > 1.4*few || many > 700 {
		t.Errorf("%.0f bytes per command with 8 acquirers, %.0f with 2: want at most 1.4 times as many and at most 700", many, few)
	}
}

// TestGatewayAgentsAcceptDrainsAndUpdates checks that agents apply drain requests and accept updates by the rules of a gateway.
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
	gateway, other := f.members[0], f.members[1]
	request := drain.Request{ID: "x", Target: drain.Target{Gateway: gateway.Name}, State: drain.Draining}
	if r := g.agents[gateway.Name].ApplyDrains(drain.View{Version: 3, Requests: []drain.Request{request}}, false); r.Serving || r.Version != 3 || g.DrainedAt(gateway.Name, "x") == 0 {
		t.Errorf("ApplyDrains at the drained gateway = %+v, want version 3 and not serving", r)
	}
	if r := g.agents[other.Name].ApplyDrains(drain.View{Version: 3, Requests: []drain.Request{request}}, false); !r.Serving || g.DrainedAt(other.Name, "x") != 0 {
		t.Errorf("ApplyDrains at another gateway = %+v, want serving", r)
	}
	if r := g.agents[gateway.Name].ApplyDrains(drain.View{Version: 3}, false); r.Figures.Accepted != 0 {
		t.Errorf("figures before ReportRequests = %+v, want none accepted", r.Figures)
	}
	g.ReportRequests()
	if first, second := g.agents[gateway.Name].ApplyDrains(drain.View{Version: 3}, false).Figures, g.agents[gateway.Name].ApplyDrains(drain.View{Version: 3}, false).Figures; first.Accepted == 0 || second.Accepted != 2*first.Accepted || second.Served != second.Accepted {
		t.Errorf("figures of two calls = %+v, then %+v; want twice as many requests in the second, all served", first, second)
	}
	push := func(update subscription.Update) (verdict subscription.Verdict) {
		t.Helper()
		var r struct {
			Verdict subscription.Verdict `json:"verdict"`
		}
		if err := other.Node().Call(t.Context(), gateway.Address, subscriptionPath, update, &r); err != nil {
			t.Fatal(err)
		}
		return r.Verdict
	}
	for _, c := range []struct {
		update subscription.Update
		want   subscription.Verdict
	}{
		{subscription.Update{Token: 2, Seq: 5, Base: 4}, subscription.NeedSnapshot}, // a delta from a version that the agent does not have
		{subscription.Update{Token: 2, Seq: 5, Full: true}, subscription.Accept},
		{subscription.Update{Token: 2, Seq: 6, Base: 5}, subscription.Accept},
		{subscription.Update{Token: 2, Seq: 6}, subscription.Unchanged},
		{subscription.Update{Token: 1, Seq: 9, Full: true}, subscription.Reject},
	} {
		if verdict := push(c.update); verdict != c.want {
			t.Errorf("push of %+v: got verdict %s, want %s", c.update, verdict, c.want)
		}
	}
	if counts := g.Updates(0); len(counts.Delays) != 1 || counts.NeverUpdated != 1 || counts.Snapshots != 1 || counts.Pushes != 5 {
		t.Errorf("Updates(0) = %+v, want 1 gateway updated and 1 without, 1 snapshot and 5 pushes", counts)
	}
	if at, bytes := g.FirstUpdate(gateway.Name); at == 0 || bytes == 0 {
		t.Errorf("FirstUpdate(updated gateway) = %v, %d bytes; want both nonzero", at, bytes)
	}
	if at, _ := g.FirstUpdate(other.Name); at != 0 {
		t.Errorf("FirstUpdate(gateway without updates) = %v, want 0", at)
	}
	if _, calls := g.ReconcileIntervals(0); calls != 5 {
		t.Errorf("ReconcileIntervals(0) counts %d calls, want 5", calls)
	}
}
