package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/release"
)

// rolloutRun is the state of a simulated rollout.
type rolloutRun struct {
	Rollout
	rng      *rand.Rand
	now      time.Duration
	gateways []*rolloutGateway
	limits   map[string]int // planned unavailable gateways that the budget allows, by site
	drains   *drain.Ledger
	releases *release.Ledger
	started  bool // whether the release has started
	loop     restartLoop
	window   []stepLoad // of the last alarmWindow
	result   RolloutResult

	firstUpdateAt time.Duration // 0: no gateway has had the new version yet
	stoppedAt     time.Duration // 0: the rollout was not stopped
}

// rolloutGateway is a simulated gateway.
type rolloutGateway struct {
	release.Gateway
	nextVersion   string        // version of the next start; empty: unchanged
	recoversAt    time.Duration // 0: not down
	startedAt     time.Duration
	planned       bool // its unavailability is planned
	drainingSince time.Duration
}

// restartLoop is the state of the modes loop and at-once.
type restartLoop struct {
	next        int           // index of the gateway that is restarted next
	nextAt      time.Duration // when the mode loop restarts it
	rollingBack bool
}

// stepLoad is the load of a simulation step.
type stepLoad struct {
	requests float64
	failed   float64
}

func newRolloutRun(r Rollout) *rolloutRun {
	run := &rolloutRun{
		Rollout:  r,
		rng:      rand.New(rand.NewPCG(r.Seed, 0x3011)),
		limits:   map[string]int{},
		drains:   drain.NewLedger(),
		releases: release.NewLedger(),
		result:   RolloutResult{Seed: r.Seed, State: "running"},
	}
	for i := range r.Gateways {
		gateway := release.Gateway{
			Name:        fmt.Sprintf("g%04d", i),
			Site:        fmt.Sprint("s", i%r.Sites),
			Zone:        fmt.Sprint("z", i/r.Sites%r.Zones),
			Incarnation: 1,
			Responding:  true,
			Serving:     true,
			Version:     oldVersion,
			Figures:     release.Figures{Memory: gatewayMemory},
		}
		run.gateways = append(run.gateways, &rolloutGateway{Gateway: gateway})
		run.limits[gateway.Site]++
	}
	for site, n := range run.limits {
		run.limits[site] = max(int(r.MaxUnavailable*float64(n)), min(n-1, 1))
		run.result.UnavailableLimit = max(run.result.UnavailableLimit, run.limits[site])
	}
	return run
}

// step simulates one interval and reports whether the rollout has ended.
func (s *rolloutRun) step() (done bool, err error) {
	serving := s.advanceGateways()
	s.sendLoad(serving)
	updated := s.recordAvailability()
	if s.now < baselineTime {
		s.reconcile()
		return false, nil
	}
	if s.Mode == modeRelease {
		return s.stepRelease()
	}
	return s.stepLoop(updated), nil
}

// advanceGateways starts the gateways whose downtime is over and lets gateways fail. It returns the number of serving gateways.
func (s *rolloutRun) advanceGateways() (serving int) {
	for _, g := range s.gateways {
		if g.recoversAt > 0 && s.now >= g.recoversAt {
			s.start(g)
		}
		if !g.Responding {
			continue
		}
		switch {
		case s.rng.Float64() < s.UnplannedFailures*s.Interval.Hours():
			s.result.UnplannedFailures++
			g.crash(s.now + s.FailureDowntime)
		case s.CrashAfter > 0 && g.Version == newVersion && s.now-g.startedAt >= s.CrashAfter:
			s.result.HarmedRequests++ // the request in flight
			g.crash(s.now + s.RestartTime)
		}
		if g.Serving {
			serving++
		}
	}
	return serving
}

// start restarts a gateway that was down. Without a release, that also ends its planned unavailability; in a release, the end of its
// drain request does.
func (s *rolloutRun) start(g *rolloutGateway) {
	g.recoversAt = 0
	g.Responding = true
	g.startedAt = s.now
	if s.Mode != modeRelease {
		g.planned = false
	}
	g.Serving = !g.planned
	g.Version = cmp.Or(g.nextVersion, g.Version)
	g.nextVersion = ""
	g.Incarnation++
	g.Figures = release.Figures{Memory: gatewayMemory}
}

// sendLoad spreads the requests of a step over the serving gateways.
func (s *rolloutRun) sendLoad(serving int) {
	var load stepLoad
	for _, g := range s.gateways {
		if !g.Serving || serving == 0 {
			continue
		}
		requests := poisson(s.rng, s.Rate/float64(serving)*s.Interval.Seconds())
		failed, latency := 0, normalLatency
		if g.Version == newVersion {
			failed = min(poisson(s.rng, s.FailureRate*float64(requests)), requests)
			latency = time.Duration(float64(latency) * (1 + s.Slowdown))
			s.result.HarmedRequests += failed
		}
		g.recordRequests(requests, failed, latency)
		load.requests += float64(requests)
		load.failed += float64(failed)
	}
	s.result.Requests += int(load.requests)
	s.window = append(s.window, load)
	if len(s.window) > int(alarmWindow/s.Interval) {
		s.window = s.window[1:]
	}
}

// recordAvailability updates the maxima of the result and returns how many gateways run the new version.
func (s *rolloutRun) recordAvailability() (updated int) {
	planned, unavailable := map[string]int{}, map[string]int{} // by site
	for _, g := range s.gateways {
		if g.Version == newVersion && g.Responding {
			updated++
		}
		if g.planned {
			planned[g.Site]++
		}
		if !g.Serving {
			unavailable[g.Site]++
		}
	}
	s.result.MaxUpdated = max(s.result.MaxUpdated, updated)
	if updated > 0 && s.firstUpdateAt == 0 {
		s.firstUpdateAt = s.now
	}
	for site, n := range planned {
		s.result.MaxPlannedUnavailable = max(s.result.MaxPlannedUnavailable, n)
		if n > s.limits[site] {
			s.result.BudgetViolations++
		}
	}
	for _, n := range unavailable {
		s.result.MaxUnavailable = max(s.result.MaxUnavailable, n)
	}
	return updated
}

// stepRelease advances the release by the decisions of the release ledger and reports whether the release has ended.
func (s *rolloutRun) stepRelease() (done bool, err error) {
	if !s.started {
		s.started = true
		plan := release.Plan{ID: "r", Target: newVersion, IsVersionRelease: true, Soak: s.SoakTime, RollBackOnFailure: true, Grace: releaseGrace, Notice: s.DrainTime}
		if err := s.releases.Start(s.now, plan); err != nil {
			return false, err
		}
	}
	s.reconcile()
	current := s.releases.Current
	if current != nil && current.State != release.Running && s.stoppedAt == 0 {
		s.stoppedAt = s.now
	}
	if current != nil && current.State != release.Halted {
		return false, nil
	}
	if current == nil {
		current = &s.releases.Ended[len(s.releases.Ended)-1]
	}
	s.result.Duration = s.now - baselineTime
	s.result.State = string(current.State)
	s.result.Reason = current.StateReason
	return true, nil
}

// stepLoop restarts gateways without a release, watches the failures, and reports whether the loop has ended.
func (s *rolloutRun) stepLoop(updated int) (done bool) {
	failureRate, measured := s.windowFailureRate()
	if !s.loop.rollingBack && measured && failureRate > s.AlarmFailureRate {
		s.loop.rollingBack = true
		s.loop.next = 0
		s.stoppedAt = s.now
		s.result.Reason = fmt.Sprintf("%.1f%% of all requests failed in a minute", 100*failureRate)
	}
	s.restartNext()
	if !s.loopEnded(updated) {
		return false
	}
	s.result.Duration = s.now - baselineTime
	s.result.State = "done"
	if s.loop.rollingBack {
		s.result.State = "back"
	}
	return true
}

// windowFailureRate returns the fraction of failed requests in the window; false: there were no requests.
func (s *rolloutRun) windowFailureRate() (rate float64, measured bool) {
	var sum stepLoad
	for _, load := range s.window {
		sum.requests += load.requests
		sum.failed += load.failed
	}
	if sum.requests == 0 {
		return 0, false
	}
	return sum.failed / sum.requests, true
}

// restartNext restarts the gateways that are due in the modes loop and at-once.
func (s *rolloutRun) restartNext() {
	version := newVersion
	if s.loop.rollingBack {
		version = oldVersion
	}
	for s.loop.next < len(s.gateways) && (s.Mode == modeAtOnce || s.now >= s.loop.nextAt) {
		g := s.gateways[s.loop.next]
		s.loop.next++
		if g.Version == version || !g.Responding {
			continue
		}
		g.restart(s.now, version, s.DrainTime, s.RestartTime)
		s.result.PlannedRestarts++
		s.loop.nextAt = s.now + s.DrainTime + s.RestartTime + loopPause
	}
}

// loopEnded reports whether the loop has processed all gateways. A loop that does not roll back also has to reach all gateways with the
// new version, or give up, and then wait for loopSettleTime.
func (s *rolloutRun) loopEnded(updated int) bool {
	restarting := slices.ContainsFunc(s.gateways, func(g *rolloutGateway) bool { return g.planned })
	if s.loop.next < len(s.gateways) || restarting {
		return false
	}
	if s.loop.rollingBack {
		return true
	}
	complete := updated == len(s.gateways) || s.now > loopGiveUpTime
	return complete && s.now > s.loop.nextAt+loopSettleTime
}

// reconcile does the work of the leader and of the gateways: it commits an observation of the fleet to the ledgers and carries out the
// drain requests.
func (s *rolloutRun) reconcile() {
	s.observe()
	s.releases.RequestDrains(s.now, s.drains)
	byName := map[string]*rolloutGateway{}
	for _, g := range s.gateways {
		byName[g.Name] = g
	}
	for _, request := range s.drains.List() {
		g := byName[request.Target.Gateway]
		switch {
		case request.State == drain.Granted:
			_, err := s.drains.Begin(s.now, request.ID, request.Token)
			if err == nil && g.Responding {
				g.Serving, g.planned, g.drainingSince = false, true, s.now
			}
		case request.State.Unavailable() && g.Responding && g.planned && s.now-g.drainingSince >= s.DrainTime:
			_, _ = s.drains.Progress(s.now, request.ID, request.Token, 0)
			if g.Version != request.Restart {
				g.restart(s.now, request.Restart, 0, s.RestartTime)
				s.result.PlannedRestarts++
			}
		case request.State == drain.Cancelled && g.Responding && g.recoversAt == 0 && !g.Serving: // cancelled before its restart
			g.Serving, g.planned = true, false
		}
	}
}

// observe commits the state of the fleet to both ledgers.
func (s *rolloutRun) observe() {
	var drainView []drain.Gateway
	var releaseView []release.Gateway
	for _, g := range s.gateways {
		drainView = append(drainView, drain.Gateway{Name: g.Name, Site: g.Site, Zone: g.Zone, Incarnation: g.Incarnation, Serving: g.Serving})
		if g.Responding {
			g.AssignedVersion = s.releases.DesiredVersion(g.Name)
		}
		seen := g.Gateway
		if !g.Responding {
			seen.Version, seen.Figures = "", release.Figures{}
		}
		releaseView = append(releaseView, seen)
	}
	s.releases.Observe(s.now, releaseView)
	_ = s.drains.Observe(s.now, s.drains.Version, drainView, nil) // fails only above the ledger's limits, which Run checks
}

// crash takes the gateway down without a drain until it recovers.
func (g *rolloutGateway) crash(recoversAt time.Duration) {
	g.Responding = false
	g.Serving = false
	g.recoversAt = recoversAt
}

// restart takes the gateway down as planned. It serves again after the drain and the restart.
func (g *rolloutGateway) restart(now time.Duration, version string, drainTime, restart time.Duration) {
	g.Responding = false
	g.Serving = false
	g.planned = true
	g.nextVersion = version
	g.recoversAt = now + drainTime + restart
}

// recordRequests adds requests to the figures that the gateway reports.
func (g *rolloutGateway) recordRequests(requests, failed int, latency time.Duration) {
	figures := g.Figures
	served := uint64(requests - failed)
	figures.Accepted += uint64(requests)
	figures.Failed += uint64(failed)
	figures.Served += served
	figures.LatencySeconds += latency.Seconds() * float64(served)
	bucket := release.LatencyBucket(latency)
	added := max(bucket+1-len(figures.LatencyCounts), 0)
	figures.LatencyCounts = append(slices.Clone(figures.LatencyCounts), make([]uint64, added)...)
	figures.LatencyCounts[bucket] += served
	total := figures.Classes["all"]
	figures.Classes = map[string]release.ClassFigures{"all": {Accepted: total.Accepted + uint64(requests), InTime: total.InTime + served}}
	g.Figures = figures
}
