package experiment

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"robindrum/internal/drain"
)

// Versions and modes of a rollout.
const (
	oldVersion = "old"
	newVersion = "new"

	modeRelease = "release" // the release ledger decides, wave by wave
	modeLoop    = "loop"    // a script restarts one gateway after the other
	modeAtOnce  = "at-once" // a script restarts all gateways together
)

const (
	baselineTime    = 10 * time.Second // with the old version, before the rollout begins
	alarmWindow     = time.Minute      // over which failures are watched in the modes without a release
	loopPause       = 2 * time.Second  // of the loop, after the drain and the restart of a gateway
	loopSettleTime  = 2 * time.Minute  // after the last restart of the loop
	loopGiveUpTime  = 2 * time.Hour    // after which the loop ends even if some gateways lack the new version
	normalLatency   = 10 * time.Millisecond
	gatewayMemory   = 64 << 20 // bytes
	releaseGrace    = time.Minute
	maxRolloutFleet = 4096
)

// Rollout simulates the rollout of a program version over a fleet of gateways under load, with the drain and release ledgers of the
// quorum. Times are simulated; the result depends only on the fields. Run sets the defaults of fields that are zero.
type Rollout struct {
	Gateways int
	Sites    int
	Zones    int     // in each site
	Rate     float64 // requests per second over all gateways

	FailureRate float64       // fraction of its requests that the new version fails
	Slowdown    float64       // latency that the new version adds, relative to the old version
	CrashAfter  time.Duration // uptime after which a gateway with the new version crashes; 0: never

	UnplannedFailures float64 // fraction of the gateways that fail per hour, with either version
	FailureDowntime   time.Duration

	RestartTime    time.Duration // from the end of a gateway until it serves again
	DrainTime      time.Duration // until a draining gateway has no request in flight
	MaxUnavailable float64       // fraction of a site's gateways, the disruption budget
	SoakTime       time.Duration
	Mode           string // release, loop or at-once

	// AlarmFailureRate is the fraction of failed requests in a minute at which the modes loop and at-once roll back.
	AlarmFailureRate float64
	Interval         time.Duration // between simulation steps
	MaxDuration      time.Duration // after which the simulation ends
	Seed             uint64
}

// SetDefaults sets the fields that are zero, except those that describe a fault and the seed.
func (r *Rollout) SetDefaults() {
	setDefault(&r.Gateways, 200)
	setDefault(&r.Sites, 2)
	setDefault(&r.Zones, 3)
	setDefault(&r.Rate, 2300)
	setDefault(&r.FailureDowntime, time.Minute)
	setDefault(&r.RestartTime, 2*time.Second)
	setDefault(&r.DrainTime, 2*time.Second)
	setDefault(&r.MaxUnavailable, 0.1)
	setDefault(&r.SoakTime, 30*time.Second)
	setDefault(&r.Mode, modeRelease)
	setDefault(&r.AlarmFailureRate, 0.01)
	setDefault(&r.Interval, 500*time.Millisecond)
	setDefault(&r.MaxDuration, 6*time.Hour)
}

// RolloutResult is the result of a simulated rollout. Durations are simulated.
type RolloutResult struct {
	Seed     uint64        `json:"seed"`
	State    string        `json:"state"` // done, back (rolled back), halted, or running at MaxDuration
	Reason   string        `json:"why,omitempty"`
	Duration time.Duration `json:"took"`
	// TimeToHalt is the time from the first gateway with the new version until the rollout stopped; 0: it did not stop.
	TimeToHalt            time.Duration `json:"halt"`
	Requests              int           `json:"requests"`
	HarmedRequests        int           `json:"harmed"`   // failed by the new version, or lost in its crashes
	MaxUpdated            int           `json:"had"`      // maximum number of gateways with the new version
	MaxPlannedUnavailable int           `json:"planned"`  // maximum number of gateways of a site with planned unavailability
	MaxUnavailable        int           `json:"missing"`  // the same, including unplanned failures
	BudgetViolations      int           `json:"over"`     // one for each step and site with more planned unavailability than the budget allows
	UnplannedFailures     int           `json:"deaths"`   // failures that no version caused
	UnavailableLimit      int           `json:"bound"`    // gateways of a site that the budget allows to be unavailable
	PlannedRestarts       int           `json:"restarts"` // by the rollout
}

// Run simulates the rollout.
func (r Rollout) Run() (RolloutResult, error) {
	r.SetDefaults()
	if r.Gateways < 1 || r.Gateways > maxRolloutFleet || r.Sites < 1 || r.Zones < 1 || r.Interval <= 0 {
		return RolloutResult{}, errors.New("want 1 to 4096 gateways, at least one site and zone, and a positive interval")
	}
	run := newRolloutRun(r)
	budget := drain.Budget{Name: "site", Scope: drain.Scope{Gateways: true, EachSite: true}, Fraction: r.MaxUnavailable}
	if err := run.drains.SetBudgets(0, []drain.Budget{budget}); err != nil {
		return run.result, err
	}
	for run.now = r.Interval; run.now < r.MaxDuration; run.now += r.Interval {
		done, err := run.step()
		if err != nil {
			return run.result, err
		}
		if done {
			break
		}
	}
	if run.stoppedAt > 0 && run.firstUpdateAt > 0 {
		run.result.TimeToHalt = max(run.stoppedAt-run.firstUpdateAt, 0)
	}
	return run.result, nil
}

// poisson draws from a Poisson distribution, or from its normal approximation if the mean is large.
func poisson(rng *rand.Rand, mean float64) int {
	const maxExactMean = 50
	if mean <= 0 {
		return 0
	}
	if mean > maxExactMean {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	limit, product, count := math.Exp(-mean), 1.0, 0
	for {
		product *= rng.Float64()
		if product <= limit {
			return count
		}
		count++
	}
}
