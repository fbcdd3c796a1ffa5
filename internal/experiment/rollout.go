package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/release"
)

// Rollout is a release of a version of the program over a simulated fleet: the quorum's own books of orders and releases, gateways
// that do as they are told, and a load. Times are simulated; the same seed gives the same figures on every machine.
type Rollout struct {
	Gateways, Sites, Zones int // zones of each site
	Rate                   float64
	// FailureRate is the part of the requests that the new version fails, Slow what it takes longer, as a part; both 0: it is good.
	FailureRate, Slowdown float64
	// UnplannedFailures is the part of the gateways that die by themselves in an hour, each for Down; Crash has the new version end after so long.
	UnplannedFailures float64
	FailureDowntime   time.Duration
	CrashAfter        time.Duration
	// RestartTime is how long a gateway takes from its end to serving, Drain until it has nothing in hand.
	RestartTime, DrainTime time.Duration
	MaxUnavailable         float64 // of each site's gateways that may be out
	SoakTime               time.Duration
	Mode                   string // release, loop or at-once
	// AlarmFailureRate is the share of failed requests over a minute at which whoever looks at a loop stops it and goes back.
	AlarmFailureRate float64
	Interval         time.Duration
	MaxDuration      time.Duration // then it is given up
	Seed             uint64
}

// SetDefaults sets what was left out.
func (r *Rollout) SetDefaults() {
	r.Gateways, r.Sites, r.Zones = cmp.Or(r.Gateways, 200), cmp.Or(r.Sites, 2), cmp.Or(r.Zones, 3)
	r.Rate, r.FailureDowntime, r.RestartTime, r.DrainTime = cmp.Or(r.Rate, 2300), cmp.Or(r.FailureDowntime, time.Minute), cmp.Or(r.RestartTime, 2*time.Second), cmp.Or(r.DrainTime, 2*time.Second)
	r.MaxUnavailable, r.SoakTime, r.Mode, r.AlarmFailureRate = cmp.Or(r.MaxUnavailable, 0.1), cmp.Or(r.SoakTime, 30*time.Second), cmp.Or(r.Mode, "release"), cmp.Or(r.AlarmFailureRate, 0.01)
	r.Interval, r.MaxDuration = cmp.Or(r.Interval, 500*time.Millisecond), cmp.Or(r.MaxDuration, 6*time.Hour)
}

// RolloutResult is what came of one.
type RolloutResult struct {
	Seed                  uint64        `json:"seed"`
	State                 string        `json:"state"` // done, back, halted, or that it never ended
	Reason                string        `json:"why,omitempty"`
	Duration              time.Duration `json:"took"`
	TimeToHalt            time.Duration `json:"halt"` // from the first gateway with it until it went no further; 0: it did not stop
	Requests              int           `json:"requests"`
	HarmedRequests        int           `json:"harmed"`   // failed by the new version, or lost with a gateway that crashed by it
	MaxUpdated            int           `json:"had"`      // the most gateways that had it at once
	MaxPlannedUnavailable int           `json:"planned"`  // the most of a site that were out by plan at once
	MaxUnavailable        int           `json:"missing"`  // with those that died by themselves
	BudgetViolations      int           `json:"over"`     // moments at which a slot was granted beyond the budget
	UnplannedFailures     int           `json:"deaths"`   // by themselves
	UnavailableLimit      int           `json:"bound"`    // of a site's gateways that may be out
	PlannedRestarts       int           `json:"restarts"` // by plan
}

type rolloutGateway struct {
	release.Gateway
	nextVersion   string        // it starts as
	recoversAt    time.Duration // when it serves again; 0: it does
	startedAt     time.Duration
	planned       bool // out by plan
	drainingSince time.Duration
}

// Run plays it.
func (r Rollout) Run() (RolloutResult, error) {
	r.SetDefaults()
	if r.Gateways < 1 || r.Gateways > 4096 || r.Sites < 1 || r.Zones < 1 || r.Interval <= 0 {
		return RolloutResult{}, errors.New("want 1 to 4096 gateways, sites and zones")
	}
	rng := rand.New(rand.NewPCG(r.Seed, 0x3011))
	res := RolloutResult{Seed: r.Seed, State: "running"}
	var all []*rolloutGateway
	for i := range r.Gateways {
		all = append(all, &rolloutGateway{Gateway: release.Gateway{Name: fmt.Sprintf("g%04d", i), Site: fmt.Sprint("s", i%r.Sites), Zone: fmt.Sprint("z", i/r.Sites%r.Zones),
			Incarnation: 1, Responding: true, Serving: true, Version: "old", Figures: release.Figures{Memory: 64 << 20}}})
	}
	books, rel := drain.NewLedger(), release.NewLedger()
	if err := books.SetBudgets(0, []drain.Budget{{Name: "site", Scope: drain.Scope{Gateways: true, EachSite: true}, Fraction: r.MaxUnavailable}}); err != nil {
		return res, err
	}
	bounds := map[string]int{}
	for _, g := range all {
		bounds[g.Site]++
	}
	for site, n := range bounds {
		bounds[site] = max(int(r.MaxUnavailable*float64(n)), min(n-1, 1))
		res.UnavailableLimit = max(res.UnavailableLimit, bounds[site])
	}
	var first, stopped time.Duration
	var window []([2]float64) // requests and failures of the last minute, by beat
	loop, turn, backwards := 0, time.Duration(0), false
	begun := false
	for now := r.Interval; now < r.MaxDuration; now += r.Interval {
		// What happens by itself.
		serving := 0
		for _, g := range all {
			if g.recoversAt > 0 && now >= g.recoversAt {
				g.recoversAt = 0
				if g.Responding, g.startedAt = true, now; r.Mode != "release" { // else the order has it serve
					g.planned = false
				}
				g.Serving = !g.planned
				g.Version, g.nextVersion = cmp.Or(g.nextVersion, g.Version), ""
				g.Incarnation++
				g.Figures = release.Figures{Memory: 64 << 20}
			}
			if !g.Responding {
				continue
			}
			switch {
			case rng.Float64() < r.UnplannedFailures*r.Interval.Hours():
				res.UnplannedFailures++
				g.crash(now + r.FailureDowntime)
			case r.CrashAfter > 0 && g.Version == "new" && now-g.startedAt >= r.CrashAfter:
				res.HarmedRequests++ // what it had in hand
				g.crash(now + r.RestartTime)
			}
			if g.Serving {
				serving++
			}
		}
		// The load, over those that serve.
		var asked, failed float64
		for _, g := range all {
			if !g.Serving || serving == 0 {
				continue
			}
			n := poisson(rng, r.Rate/float64(serving)*r.Interval.Seconds())
			bad, took := 0, 10*time.Millisecond
			if g.Version == "new" {
				bad, took = poisson(rng, r.FailureRate*float64(n)), time.Duration(float64(took)*(1+r.Slowdown))
				bad = min(bad, n)
				res.HarmedRequests += bad
			}
			g.recordRequests(n, bad, took)
			asked, failed = asked+float64(n), failed+float64(bad)
		}
		res.Requests += int(asked)
		if window = append(window, [2]float64{asked, failed}); len(window) > int(time.Minute/r.Interval) {
			window = window[1:]
		}
		had, planned, missing := 0, map[string]int{}, map[string]int{}
		for _, g := range all {
			if g.Version == "new" && g.Responding {
				had++
			}
			if g.planned {
				planned[g.Site]++
			}
			if !g.Serving {
				missing[g.Site]++
			}
		}
		if res.MaxUpdated = max(res.MaxUpdated, had); had > 0 && first == 0 {
			first = now
		}
		for site, n := range planned {
			res.MaxPlannedUnavailable = max(res.MaxPlannedUnavailable, n)
			if n > bounds[site] {
				res.BudgetViolations++
			}
		}
		for _, n := range missing {
			res.MaxUnavailable = max(res.MaxUnavailable, n)
		}
		if now < 10*time.Second { // what was before
			r.reconcile(now, all, books, rel, &res)
			continue
		}
		if r.Mode == "release" {
			if !begun {
				begun = true
				if err := rel.Start(now, release.Plan{ID: "r", Target: "new", OfProgram: true, Soak: r.SoakTime, RollBackOnFailure: true, Grace: time.Minute, Notice: r.DrainTime}); err != nil {
					return res, err
				}
			}
			r.reconcile(now, all, books, rel, &res)
			if c := rel.Current; c != nil && c.State != release.Running && stopped == 0 {
				stopped = now
			}
			if c := rel.Current; c == nil || c.State == release.Halted {
				res.Duration = now - 10*time.Second
				if c == nil {
					c = &rel.Ended[len(rel.Ended)-1]
				}
				res.State, res.Reason = string(c.State), c.StateReason
				break
			}
			continue
		}
		// A loop with sleeps, or all at once, and someone who looks at the share of failures.
		var a, f float64
		for _, w := range window {
			a, f = a+w[0], f+w[1]
		}
		if !backwards && a > 0 && f/a > r.AlarmFailureRate {
			backwards, loop, stopped = true, 0, now
			res.Reason = fmt.Sprintf("%.1f%% of all requests failed in a minute", 100*f/a)
		}
		to := "new"
		if backwards {
			to = "old"
		}
		for loop < len(all) && (r.Mode == "at-once" || now >= turn) {
			g := all[loop]
			loop++
			if g.Version != to && g.Responding {
				g.restart(now, to, r.DrainTime, r.RestartTime)
				res.PlannedRestarts++
				turn = now + r.DrainTime + r.RestartTime + 2*time.Second
			}
		}
		if loop == len(all) && !slices.ContainsFunc(all, func(g *rolloutGateway) bool { return g.planned }) && (backwards || had == len(all) || now > 2*time.Hour) &&
			(backwards || now > turn+2*time.Minute) {
			res.Duration = now - 10*time.Second
			res.State = map[bool]string{false: "done", true: "back"}[backwards]
			break
		}
	}
	if stopped > 0 && first > 0 {
		res.TimeToHalt = max(stopped-first, 0)
	}
	return res, nil
}

// reconcile is the leader's: what is seen is agreed, what is granted begins, who has nothing in hand starts anew.
func (r *Rollout) reconcile(now time.Duration, all []*rolloutGateway, books *drain.Ledger, rel *release.Ledger, res *RolloutResult) {
	var seen []drain.Gateway
	var stands []release.Gateway
	for _, g := range all {
		seen = append(seen, drain.Gateway{Name: g.Name, Site: g.Site, Zone: g.Zone, Incarnation: g.Incarnation, Serving: g.Serving})
		if g.Responding {
			g.AssignedVersion = rel.DesiredVersion(g.Name)
		}
		x := g.Gateway
		if !g.Responding {
			x.Version, x.Figures = "", release.Figures{}
		}
		stands = append(stands, x)
	}
	rel.Observe(now, stands)
	_ = books.Observe(now, books.Version, seen, nil) // within its bounds
	rel.RequestDrains(now, books)
	by := map[string]*rolloutGateway{}
	for _, g := range all {
		by[g.Name] = g
	}
	for _, o := range books.List() {
		g := by[o.Target.Gateway]
		switch {
		case o.State == drain.Granted:
			if _, err := books.Begin(now, o.ID, o.Token); err == nil && g.Responding {
				g.Serving, g.planned, g.drainingSince = false, true, now
			}
		case o.State.Unavailable() && g.Responding && g.planned && now-g.drainingSince >= r.DrainTime:
			_, _ = books.Progress(now, o.ID, o.Token, 0)
			if g.Version != o.Restart {
				g.restart(now, o.Restart, 0, r.RestartTime)
				res.PlannedRestarts++
			}
		case o.State == drain.Cancelled && g.Responding && g.recoversAt == 0 && !g.Serving: // taken back before it left
			g.Serving, g.planned = true, false
		}
	}
}

func (g *rolloutGateway) crash(back time.Duration) {
	g.Responding, g.Serving, g.recoversAt = false, false, back
}

func (g *rolloutGateway) restart(now time.Duration, to string, drain, restart time.Duration) {
	g.Responding, g.Serving, g.planned, g.nextVersion, g.recoversAt = false, false, true, to, now+drain+restart
}

func (g *rolloutGateway) recordRequests(n, bad int, took time.Duration) {
	f := g.Figures
	good := uint64(n - bad)
	f.Accepted, f.Failed, f.Served, f.LatencySeconds = f.Accepted+uint64(n), f.Failed+uint64(bad), f.Served+good, f.LatencySeconds+took.Seconds()*float64(good)
	b := release.LatencyBucket(took)
	f.LatencyCounts = append(slices.Clone(f.LatencyCounts), make([]uint64, max(b+1-len(f.LatencyCounts), 0))...)
	f.LatencyCounts[b] += good
	c := f.Classes["all"]
	f.Classes = map[string]release.ClassFigures{"all": {Accepted: c.Accepted + uint64(n), InTime: c.InTime + good}}
	g.Figures = f
}

// poisson draws from a distribution of a mean.
func poisson(rng *rand.Rand, mean float64) int {
	if mean <= 0 {
		return 0
	}
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	limit, p, n := math.Exp(-mean), 1.0, 0
	for {
		if p *= rng.Float64(); p <= limit {
			return n
		}
		n++
	}
}
