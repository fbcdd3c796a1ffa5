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
	// Fails is the part of the requests that the new version fails, Slow what it takes longer, as a part; both 0: it is good.
	Fails, Slow float64
	// Deaths is the part of the gateways that die by themselves in an hour, each for Down; Crash has the new version end after so long.
	Deaths float64
	Down   time.Duration
	Crash  time.Duration
	// Restart is how long a gateway takes from its end to serving, Drain until it has nothing in hand.
	Restart, Drain time.Duration
	Part           float64 // of each site's gateways that may be out
	Soak           time.Duration
	Mode           string // release, loop or at-once
	// Alarm is the share of failed requests over a minute at which whoever looks at a loop stops it and goes back.
	Alarm       float64
	Beat        time.Duration
	MaxDuration time.Duration // then it is given up
	Seed        uint64
}

// Fill sets what was left out.
func (r *Rollout) Fill() {
	r.Gateways, r.Sites, r.Zones = cmp.Or(r.Gateways, 200), cmp.Or(r.Sites, 2), cmp.Or(r.Zones, 3)
	r.Rate, r.Down, r.Restart, r.Drain = cmp.Or(r.Rate, 2300), cmp.Or(r.Down, time.Minute), cmp.Or(r.Restart, 2*time.Second), cmp.Or(r.Drain, 2*time.Second)
	r.Part, r.Soak, r.Mode, r.Alarm = cmp.Or(r.Part, 0.1), cmp.Or(r.Soak, 30*time.Second), cmp.Or(r.Mode, "release"), cmp.Or(r.Alarm, 0.01)
	r.Beat, r.MaxDuration = cmp.Or(r.Beat, 500*time.Millisecond), cmp.Or(r.MaxDuration, 6*time.Hour)
}

// RolloutResult is what came of one.
type RolloutResult struct {
	Seed     uint64        `json:"seed"`
	State    string        `json:"state"` // done, back, halted, or that it never ended
	Why      string        `json:"why,omitempty"`
	Took     time.Duration `json:"took"`
	Halt     time.Duration `json:"halt"` // from the first gateway with it until it went no further; 0: it did not stop
	Requests int           `json:"requests"`
	Harmed   int           `json:"harmed"`   // failed by the new version, or lost with a gateway that crashed by it
	Had      int           `json:"had"`      // the most gateways that had it at once
	Planned  int           `json:"planned"`  // the most of a site that were out by plan at once
	Missing  int           `json:"missing"`  // with those that died by themselves
	Over     int           `json:"over"`     // moments at which a slot was granted beyond the budget
	Deaths   int           `json:"deaths"`   // by themselves
	Bound    int           `json:"bound"`    // of a site's gateways that may be out
	Restarts int           `json:"restarts"` // by plan
}

type rolloutGateway struct {
	release.Gateway
	next  string        // it starts as
	back  time.Duration // when it serves again; 0: it does
	born  time.Duration
	plan  bool // out by plan
	since time.Duration
}

// Run plays it.
func (r Rollout) Run() (RolloutResult, error) {
	r.Fill()
	if r.Gateways < 1 || r.Gateways > 4096 || r.Sites < 1 || r.Zones < 1 || r.Beat <= 0 {
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
	if err := books.SetBudgets(0, []drain.Budget{{Name: "site", Scope: drain.Scope{Gateways: true, EachSite: true}, Fraction: r.Part}}); err != nil {
		return res, err
	}
	bounds := map[string]int{}
	for _, g := range all {
		bounds[g.Site]++
	}
	for site, n := range bounds {
		bounds[site] = max(int(r.Part*float64(n)), min(n-1, 1))
		res.Bound = max(res.Bound, bounds[site])
	}
	var first, stopped time.Duration
	var window []([2]float64) // requests and failures of the last minute, by beat
	loop, turn, backwards := 0, time.Duration(0), false
	begun := false
	for now := r.Beat; now < r.MaxDuration; now += r.Beat {
		// What happens by itself.
		serving := 0
		for _, g := range all {
			if g.back > 0 && now >= g.back {
				g.back = 0
				if g.Responding, g.born = true, now; r.Mode != "release" { // else the order has it serve
					g.plan = false
				}
				g.Serving = !g.plan
				g.Version, g.next = cmp.Or(g.next, g.Version), ""
				g.Incarnation++
				g.Figures = release.Figures{Memory: 64 << 20}
			}
			if !g.Responding {
				continue
			}
			switch {
			case rng.Float64() < r.Deaths*r.Beat.Hours():
				res.Deaths++
				g.die(now + r.Down)
			case r.Crash > 0 && g.Version == "new" && now-g.born >= r.Crash:
				res.Harmed++ // what it had in hand
				g.die(now + r.Restart)
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
			n := poisson(rng, r.Rate/float64(serving)*r.Beat.Seconds())
			bad, took := 0, 10*time.Millisecond
			if g.Version == "new" {
				bad, took = poisson(rng, r.Fails*float64(n)), time.Duration(float64(took)*(1+r.Slow))
				bad = min(bad, n)
				res.Harmed += bad
			}
			g.serve(n, bad, took)
			asked, failed = asked+float64(n), failed+float64(bad)
		}
		res.Requests += int(asked)
		if window = append(window, [2]float64{asked, failed}); len(window) > int(time.Minute/r.Beat) {
			window = window[1:]
		}
		had, planned, missing := 0, map[string]int{}, map[string]int{}
		for _, g := range all {
			if g.Version == "new" && g.Responding {
				had++
			}
			if g.plan {
				planned[g.Site]++
			}
			if !g.Serving {
				missing[g.Site]++
			}
		}
		if res.Had = max(res.Had, had); had > 0 && first == 0 {
			first = now
		}
		for site, n := range planned {
			res.Planned = max(res.Planned, n)
			if n > bounds[site] {
				res.Over++
			}
		}
		for _, n := range missing {
			res.Missing = max(res.Missing, n)
		}
		if now < 10*time.Second { // what was before
			r.round(now, all, books, rel, &res)
			continue
		}
		if r.Mode == "release" {
			if !begun {
				begun = true
				if err := rel.Start(now, release.Plan{ID: "r", Target: "new", OfProgram: true, Soak: r.Soak, RollBackOnFailure: true, Grace: time.Minute, Notice: r.Drain}); err != nil {
					return res, err
				}
			}
			r.round(now, all, books, rel, &res)
			if c := rel.Current; c != nil && c.State != release.Running && stopped == 0 {
				stopped = now
			}
			if c := rel.Current; c == nil || c.State == release.Halted {
				res.Took = now - 10*time.Second
				if c == nil {
					c = &rel.Ended[len(rel.Ended)-1]
				}
				res.State, res.Why = string(c.State), c.StateReason
				break
			}
			continue
		}
		// A loop with sleeps, or all at once, and someone who looks at the share of failures.
		var a, f float64
		for _, w := range window {
			a, f = a+w[0], f+w[1]
		}
		if !backwards && a > 0 && f/a > r.Alarm {
			backwards, loop, stopped = true, 0, now
			res.Why = fmt.Sprintf("%.1f%% of all requests failed in a minute", 100*f/a)
		}
		to := "new"
		if backwards {
			to = "old"
		}
		for loop < len(all) && (r.Mode == "at-once" || now >= turn) {
			g := all[loop]
			loop++
			if g.Version != to && g.Responding {
				g.leave(now, to, r.Drain, r.Restart)
				res.Restarts++
				turn = now + r.Drain + r.Restart + 2*time.Second
			}
		}
		if loop == len(all) && !slices.ContainsFunc(all, func(g *rolloutGateway) bool { return g.plan }) && (backwards || had == len(all) || now > 2*time.Hour) &&
			(backwards || now > turn+2*time.Minute) {
			res.Took = now - 10*time.Second
			res.State = map[bool]string{false: "done", true: "back"}[backwards]
			break
		}
	}
	if stopped > 0 && first > 0 {
		res.Halt = max(stopped-first, 0)
	}
	return res, nil
}

// round is the leader's: what is seen is agreed, what is granted begins, who has nothing in hand starts anew.
func (r *Rollout) round(now time.Duration, all []*rolloutGateway, books *drain.Ledger, rel *release.Ledger, res *RolloutResult) {
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
				g.Serving, g.plan, g.since = false, true, now
			}
		case o.State.Unavailable() && g.Responding && g.plan && now-g.since >= r.Drain:
			_, _ = books.Progress(now, o.ID, o.Token, 0)
			if g.Version != o.Restart {
				g.leave(now, o.Restart, 0, r.Restart)
				res.Restarts++
			}
		case o.State == drain.Cancelled && g.Responding && g.back == 0 && !g.Serving: // taken back before it left
			g.Serving, g.plan = true, false
		}
	}
}

func (g *rolloutGateway) die(back time.Duration) {
	g.Responding, g.Serving, g.back = false, false, back
}

func (g *rolloutGateway) leave(now time.Duration, to string, drain, restart time.Duration) {
	g.Responding, g.Serving, g.plan, g.next, g.back = false, false, true, to, now+drain+restart
}

func (g *rolloutGateway) serve(n, bad int, took time.Duration) {
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
