package release

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robindrum/internal/drain"
)

// supervisedFleet simulates a fleet of supervised gateways that drain, and restart as the version they are assigned. It holds the release
// ledger and the drain ledger.
type supervisedFleet struct {
	*fleet
	drains         *drain.Ledger
	maxUnavailable int
	away           map[string]int    // rounds until a stopped gateway responds again
	nextVersion    map[string]string // version as which a stopped gateway returns
}

func newSupervisedFleet(gateways, maxUnavailable int) *supervisedFleet {
	f := &supervisedFleet{
		fleet:          newFleet(gateways),
		drains:         drain.NewLedger(),
		maxUnavailable: maxUnavailable,
		away:           map[string]int{},
		nextVersion:    map[string]string{},
	}
	for _, g := range f.gateways {
		g.Version = "v1"
		g.Serving = true
	}
	_ = f.drains.SetBudgets(0, []drain.Budget{{Name: "g", Scope: drain.Scope{Gateways: true}, Max: maxUnavailable}})
	f.step()
	return f
}

// drained returns the gateways that drain requests keep out of service.
func (f *supervisedFleet) drained() map[string]bool {
	drained := map[string]bool{}
	for _, r := range f.drains.Requests {
		if r.State.Unavailable() {
			drained[r.Target.Gateway] = true
		}
	}
	return drained
}

// stop makes a gateway stop responding for some rounds and then return as the given version.
func (f *supervisedFleet) stop(g *Gateway, rounds int, version string) {
	g.Responding = false
	g.Serving = false
	f.away[g.Name] = rounds
	f.nextVersion[g.Name] = version
}

// step simulates one round of a second: stopped gateways return, drains progress, and each gateway serves and reports.
func (f *supervisedFleet) step() {
	f.returnGateways()
	f.progressDrains()
	f.now += time.Second
	f.report()
}

func (f *supervisedFleet) returnGateways() {
	drained := f.drained()
	for _, name := range f.names() {
		g := f.gateways[name]
		if rounds, away := f.away[name]; away {
			f.away[name] = rounds - 1
			if rounds > 1 {
				continue
			}
			delete(f.away, name)
			g.Responding = true
			g.Version = f.nextVersion[name]
			g.Figures = Figures{}
			g.Incarnation++
		}
		g.Serving = g.Responding && !drained[name]
	}
}

func (f *supervisedFleet) progressDrains() {
	for _, r := range f.drains.List() {
		g := f.gateways[r.Target.Gateway]
		switch {
		case r.State == drain.Granted:
			begun, err := f.drains.Begin(f.now, r.ID, r.Token)
			if err == nil && begun.State == drain.Draining && g.Responding {
				g.Serving = false
			}
		case r.State.Unavailable() && g.Responding && r.Restart != "" && g.Version != r.Restart:
			_, _ = f.drains.Progress(f.now, r.ID, r.Token, 0)
			f.stop(g, 2, r.Restart)
		}
	}
}

func (f *supervisedFleet) report() {
	var reports []Gateway
	var observed []drain.Gateway
	for _, name := range f.names() {
		g := f.gateways[name]
		if g.Responding {
			g.AssignedVersion = f.ledger.DesiredVersion(name)
		}
		if g.Serving {
			f.serve(g)
		}
		report := *g
		if !g.Responding {
			report.Version = ""
			report.Figures = Figures{}
		}
		reports = append(reports, report)
		observed = append(observed, drain.Gateway{Name: name, Site: g.Site, Zone: g.Zone, Incarnation: g.Incarnation, Serving: g.Serving})
	}
	f.ledger.Observe(f.now, reports)
	_ = f.drains.Observe(f.now, f.drains.Version, observed, nil)
	f.ledger.RequestDrains(f.now, f.drains)
}

// serve counts the requests of one round. With version v2, errorRate of them fail.
func (f *supervisedFleet) serve(g *Gateway) {
	errors := uint64(0)
	if g.Version == "v2" {
		errors = uint64(f.errorRate * float64(f.load))
	}
	g.Accepted += f.load
	g.Failed += errors
	g.Served += f.load - errors
	g.LatencySeconds += float64(f.load-errors) / 100
}

// storeAndRestore replaces both ledgers with copies restored from their stored form.
func (f *supervisedFleet) storeAndRestore() error {
	releases, err := json.Marshal(f.ledger)
	if err != nil {
		return err
	}
	drains, err := json.Marshal(f.drains)
	if err != nil {
		return err
	}
	if f.ledger, err = Restore(releases); err != nil {
		return err
	}
	f.drains, err = drain.Restore(drains)
	return err
}

func versionPlan(rollBack bool) Plan {
	return Plan{ID: "r", Target: "v2", IsVersionRelease: true, Soak: 2 * time.Second, RollBackOnFailure: rollBack, Gate: Gate{MinRequests: 50}}
}

// TestVersionReleaseStaysWithinBudget runs a release with operator commands, manual drains, crashes, leader changes and restores of the
// ledgers in any order. No more gateways may be drained than the budget allows, and each must run the previous or the new version. After a
// final rollback without faults, each must run its previous version, and no drain may be left.
func TestVersionReleaseStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSupervisedFleet(rapid.IntRange(2, 9).Draw(t, "gateways"), rapid.IntRange(1, 3).Draw(t, "max unavailable"))
		names := f.names()
		check := func(event any) {
			if n := len(f.drained()); n > f.maxUnavailable {
				t.Fatalf("%d gateways are drained, want at most %d (event %v)", n, f.maxUnavailable, event)
			}
			for _, g := range f.gateways {
				if g.Version != "v1" && g.Version != "v2" {
					t.Fatalf("%s runs version %q, want v1 or v2", g.Name, g.Version)
				}
			}
		}
		cancelManualDrains := func() {
			for _, name := range names {
				_, _ = f.drains.Cancel(f.now, manualDrainID(name))
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			gateway := f.gateways[rapid.SampledFrom(names).Draw(t, "gateway")]
			event := rapid.IntRange(0, 13).Draw(t, "event")
			switch event {
			case 9:
				cancelManualDrains()
			default:
				f.apply(t, event, gateway)
			}
			check(event)
		}
		f.errorRate = 0
		cancelManualDrains()
		previous := map[string]string{}
		if r := f.ledger.Current; r != nil {
			previous = r.PreviousVersions
			_ = f.ledger.Rollback(f.now, "")
		}
		for range 300 {
			f.step()
			check("during the rollback")
		}
		for name, g := range f.gateways {
			if previous[name] != "" && g.Version != previous[name] || !g.Serving {
				t.Fatalf("after the rollback %s runs version %q, want %q; serving is %v, want true; release %v; drain requests %+v", name, g.Version, previous[name], g.Serving,
					f.ledger.Current, f.drains.List())
			}
		}
		if n := len(f.drained()); n > 0 || f.ledger.Current != nil {
			t.Fatalf("after the rollback %d gateways are drained, want 0; release in progress: %v, want none", n, f.ledger.Current)
		}
	})
}

func manualDrainID(gateway string) string { return "hand" + gateway }

// apply performs the event with a number, which may affect the given gateway.
func (f *supervisedFleet) apply(t *rapid.T, event int, gateway *Gateway) {
	l := f.ledger
	switch event {
	case 0, 1:
		_ = l.Start(f.now, versionPlan(rapid.Bool().Draw(t, "roll back")))
	case 2:
		_ = l.Halt(f.now, "")
	case 3:
		_ = l.Resume(f.now)
	case 4:
		_ = l.Rollback(f.now, "")
	case 5:
		if gateway.Responding { // it crashes and returns as the same version
			f.stop(gateway, rapid.IntRange(1, 9).Draw(t, "rounds away"), gateway.Version)
		}
	case 6:
		f.errorRate = 0.2 - f.errorRate
	case 7:
		f.now = 0
		l.BeginTerm(0)
		f.drains.BeginTerm(0)
	case 8:
		request := drain.Request{ID: manualDrainID(gateway.Name), Target: drain.Target{Gateway: gateway.Name}, Grace: time.Minute}
		_, _ = f.drains.Submit(f.now, request)
		l.RequestDrains(f.now, f.drains)
	case 10:
		if err := f.storeAndRestore(); err != nil {
			t.Fatal(err)
		}
	default:
		f.step()
	}
}

// TestLostZoneHaltsAndCancelsDrains loses a zone during a release. The release must halt, and the drains must be cancelled, so that
// drained gateways that have not stopped return to service.
func TestLostZoneHaltsAndCancelsDrains(t *testing.T) {
	f := newSupervisedFleet(8, 2)
	if err := f.ledger.Start(f.now, versionPlan(true)); err != nil {
		t.Fatal(err)
	}
	for len(f.drained()) == 0 {
		f.step()
	}
	for _, g := range f.gateways {
		if g.Site == "t" && g.Zone == "b" {
			f.stop(g, 50, g.Version)
		}
	}
	for range 10 {
		f.step()
	}
	if r := f.ledger.Current; r == nil || r.State != Halted || r.StateReason == "" || len(f.drained()) > 0 {
		t.Fatalf("after the loss of a zone: got %v, want a halted release with a reason; drained gateways are %v, want none", r, f.drained())
	}
}

func TestInvalidVersionReleaseDoesNotStart(t *testing.T) {
	f := newSupervisedFleet(3, 1)
	for name, plan := range map[string]Plan{
		"target is not a name":    {ID: "a", Target: "a/b", IsVersionRelease: true},
		"version already running": {ID: "a", Target: "v1", IsVersionRelease: true},
		"grace":                   {ID: "a", Target: "v2", IsVersionRelease: true, Grace: -1},
	} {
		if err := f.ledger.Start(f.now, plan); err == nil {
			t.Errorf("%s: Start returned no error", name)
		}
	}
	f.gateways["g01"].Version = ""
	f.step()
	if err := f.ledger.Start(f.now, Plan{ID: "a", Target: "v2", IsVersionRelease: true}); err == nil {
		t.Error("g01 without a supervisor: Start returned no error")
	}
}

// storedFleet is the stored state of a supervisedFleet between two events.
type storedFleet struct {
	Releases    json.RawMessage
	Drains      json.RawMessage
	Gateways    map[string]Gateway
	Away        map[string]int
	NextVersion map[string]string
	Now         time.Duration
}

func (f *supervisedFleet) save(t *testing.T) []byte {
	t.Helper()
	s := storedFleet{Gateways: map[string]Gateway{}, Away: f.away, NextVersion: f.nextVersion, Now: f.now}
	s.Releases, _ = json.Marshal(f.ledger)
	s.Drains, _ = json.Marshal(f.drains)
	for name, g := range f.gateways {
		s.Gateways[name] = *g
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func loadFleet(t *testing.T, text []byte) *supervisedFleet {
	t.Helper()
	var s storedFleet
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	f := &supervisedFleet{
		fleet:          &fleet{gateways: map[string]*Gateway{}, now: s.Now, load: 100},
		maxUnavailable: 1,
		away:           s.Away,
		nextVersion:    s.NextVersion,
	}
	var err error
	if f.ledger, err = Restore(s.Releases); err != nil {
		t.Fatal(err)
	}
	if f.drains, err = drain.Restore(s.Drains); err != nil {
		t.Fatal(err)
	}
	for name, g := range s.Gateways {
		f.gateways[name] = &g
	}
	return f
}

// countForwardDrains returns how many gateways are drained in order to run the new version.
func (f *supervisedFleet) countForwardDrains() int {
	n := 0
	for _, r := range f.drains.Requests {
		if r.Restart == "v2" && r.State.Unavailable() {
			n++
		}
	}
	return n
}

// walkEventCount is the number of events that applyWalkEvent knows.
const walkEventCount = 8

// applyWalkEvent performs one event of TestEveryEventSequenceOfVersionRelease.
func (f *supervisedFleet) applyWalkEvent(event int) {
	l := f.ledger
	switch event {
	case 0:
		_ = l.Start(f.now, Plan{ID: "r", Target: "v2", IsVersionRelease: true, Soak: time.Millisecond, Gate: Gate{MinRequests: 1}})
	case 1:
		_ = l.Halt(f.now, "")
	case 2:
		_ = l.Resume(f.now)
	case 3:
		_ = l.Rollback(f.now, "")
	case 4:
		_ = l.Stop(f.now, "")
	case 5:
		g := f.gateways["g00"]
		if _, away := f.away["g00"]; !away && g.Responding {
			f.stop(g, 2, g.Version)
		}
	case 6:
		l.BeginTerm(0)
		f.drains.BeginTerm(0)
		f.now = 0
	default:
		f.step()
	}
	l.RequestDrains(f.now, f.drains)
}

// TestEveryEventSequenceOfVersionRelease tries every sequence of six events during a program release to two gateways, of which one may be
// unavailable. The two must never be drained at the same time, the desired version must be the previous or the new one, and while the
// release is halted or rolled back, no further gateway may be drained for the new version.
func TestEveryEventSequenceOfVersionRelease(t *testing.T) {
	steps, visited := 0, map[string]bool{}
	var walk func(text []byte, depth int)
	walk = func(text []byte, depth int) {
		for event := range walkEventCount {
			f := loadFleet(t, text)
			state, before := State(""), f.countForwardDrains()
			if f.ledger.Current != nil {
				state = f.ledger.Current.State
			}
			f.applyWalkEvent(event)
			if n := len(f.drained()); n > 1 {
				t.Fatalf("%d gateways are drained after event %d, want at most 1: %+v", n, event, f.drains.List())
			}
			for name := range f.gateways {
				if version := f.ledger.DesiredVersion(name); version != "" && version != "v1" && version != "v2" {
					t.Fatalf("DesiredVersion(%s) = %q, want v1, v2 or none", name, version)
				}
			}
			r := f.ledger.Current
			unchanged := r != nil && r.State == state
			if unchanged && (state == Halted || state == RollingBack) && f.countForwardDrains() > before {
				t.Fatalf("release is %q, but event %d drained another gateway for the new version: %+v", state, event, f.drains.List())
			}
			steps++
			next := f.save(t)
			key := fmt.Sprint(depth, string(next))
			if depth > 1 && !visited[key] {
				visited[key] = true
				walk(next, depth-1)
			}
		}
	}
	walk(newSupervisedFleet(2, 1).save(t), 6)
	if steps < 2000 {
		t.Errorf("walked %d steps, want at least 2000", steps)
	}
	t.Log(steps, "steps")
}

// TestBudgetThatAllowsNoneFailsRelease starts a release under a budget that allows no drain. The release must end with the budget's
// reason, and its drain request must be submitted only once.
func TestBudgetThatAllowsNoneFailsRelease(t *testing.T) {
	f := newSupervisedFleet(1, 1)
	if err := f.drains.SetBudgets(f.now, []drain.Budget{{Name: "g", Scope: drain.Scope{Gateways: true}, Fraction: 0.3}}); err != nil {
		t.Fatal(err)
	}
	if err := f.ledger.Start(f.now, Plan{ID: "r", Target: "v2", IsVersionRelease: true, Soak: time.Second, RollBackOnFailure: true}); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		f.step()
	}
	current, ended := f.ledger.Current, f.ledger.Ended
	if current != nil || ended[0].State != RolledBack || !strings.Contains(ended[0].StateReason, "allows none of 1") || len(f.drains.Requests) != 1 {
		t.Errorf("got release in progress %v, ended %+v and %d drain requests, want one rolled back because of the budget and 1 request", current, ended, len(f.drains.Requests))
	}
}
