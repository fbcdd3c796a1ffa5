package release

import (
	"cmp"
	"errors"
	"fmt"
	"strings"
	"time"

	"robindrum/internal/drain"
)

// Defaults of a plan and its gate.
const (
	defaultSoak             = 30 * time.Second
	defaultRollbackSpeedup  = 4
	defaultGrace            = 30 * time.Second
	defaultNotice           = 2 * time.Second
	defaultMinRequests      = 200
	defaultMaxErrorIncrease = 0.01
	defaultMaxMeanRatio     = 1.5
	defaultMaxTailRatio     = 2
	defaultMaxInTimeLoss    = 0.05
	defaultMaxMemoryRatio   = 1.5
)

// Limits of a plan.
const (
	minSoak            = time.Millisecond
	maxSoak            = 24 * time.Hour
	maxRollbackSpeedup = 100
)

// Gate holds the conditions under which a wave passes. It compares the canaries, which are the gateways of the wave, with the control
// group, which are the gateways not released yet, and with the baseline, which is what the canaries showed before the wave. Fields that
// are zero get default values.
type Gate struct {
	// MinRequests is the number of requests that a wave needs to pass.
	MinRequests int `json:"requests"`
	// MaxErrorIncrease is by how much the fraction of failed or rejected requests may rise.
	MaxErrorIncrease float64 `json:"errors"`
	// MaxMeanRatio is the multiple of the reference that the mean latency may reach, plus 5 ms.
	MaxMeanRatio float64 `json:"slower"`
	// MaxTailRatio is the multiple of the reference 99th percentile of latency that at most 3% of the answers may exceed.
	MaxTailRatio float64 `json:"tail"`
	// MaxInTimeLoss is by how much the fraction of a class's requests that are answered in time may fall.
	MaxInTimeLoss float64 `json:"in_time"`
	// MaxMemoryRatio is the multiple of its memory before the wave that a gateway's memory may reach, plus 32 MiB.
	MaxMemoryRatio float64 `json:"memory"`
}

func (g *Gate) setDefaults() {
	g.MinRequests = cmp.Or(g.MinRequests, defaultMinRequests)
	g.MaxErrorIncrease = cmp.Or(g.MaxErrorIncrease, defaultMaxErrorIncrease)
	g.MaxMeanRatio = cmp.Or(g.MaxMeanRatio, defaultMaxMeanRatio)
	g.MaxTailRatio = cmp.Or(g.MaxTailRatio, defaultMaxTailRatio)
	g.MaxInTimeLoss = cmp.Or(g.MaxInTimeLoss, defaultMaxInTimeLoss)
	g.MaxMemoryRatio = cmp.Or(g.MaxMemoryRatio, defaultMaxMemoryRatio)
}

func (g *Gate) validate() error {
	switch {
	case g.MinRequests < 1,
		g.MaxErrorIncrease <= 0 || g.MaxErrorIncrease > 1,
		g.MaxMeanRatio <= 1,
		g.MaxTailRatio <= 1,
		g.MaxInTimeLoss <= 0 || g.MaxInTimeLoss > 1,
		g.MaxMemoryRatio <= 1:
		return fmt.Errorf("gate: %+v", *g)
	}
	return nil
}

// Plan describes a release: what is released to the fleet, and how. Durations and numbers that are zero get default values.
type Plan struct {
	ID     string `json:"id"`
	Target string `json:"to"` // a configuration's digest, or a program version
	// IsVersionRelease reports whether Target is a program version. Gateways are drained and restarted for it, see Ledger.RequestDrains.
	IsVersionRelease bool `json:"program,omitempty"`
	// Grace and Notice are passed to the drain requests of a program release.
	Grace  time.Duration `json:"grace,omitempty"`
	Notice time.Duration `json:"notice,omitempty"`
	Owner  string        `json:"owner"`
	Reason string        `json:"reason,omitempty"`
	// Soak is the minimum time for which a wave is judged before the next one begins.
	Soak time.Duration `json:"soak"`
	// RollbackSpeedup divides Soak while the waves are rolled back.
	RollbackSpeedup int  `json:"faster"`
	Gate            Gate `json:"gate"`
	// RollBackOnFailure makes a failed gate roll the release back rather than halt it.
	RollBackOnFailure bool `json:"back"`
}

func (p *Plan) setDefaults() {
	p.Soak = cmp.Or(p.Soak, defaultSoak)
	p.RollbackSpeedup = cmp.Or(p.RollbackSpeedup, defaultRollbackSpeedup)
	p.Grace = cmp.Or(p.Grace, defaultGrace)
	p.Notice = cmp.Or(p.Notice, min(defaultNotice, p.Grace))
	p.Gate.setDefaults()
}

// validate returns an error for the first invalid value.
func (p *Plan) validate() error {
	for _, text := range []string{p.ID, p.Target, p.Owner, p.Reason} {
		if len(text) > maxTextBytes {
			return fmt.Errorf("a text of %d bytes, %d at most", len(text), maxTextBytes)
		}
	}
	switch {
	case p.ID == "" || p.Target == "":
		return errors.New("want an id and a configuration")
	case p.Soak < minSoak || p.Soak > maxSoak:
		return fmt.Errorf("soak: %v, want up to 24h", p.Soak)
	case p.RollbackSpeedup < 1 || p.RollbackSpeedup > maxRollbackSpeedup:
		return fmt.Errorf("faster: %d, want 1 to %d", p.RollbackSpeedup, maxRollbackSpeedup)
	case p.Grace < 0 || p.Grace > drain.MaxGrace || p.Notice < 0 || p.Notice > p.Grace:
		return fmt.Errorf("grace: %v with a notice of %v, want up to %v", p.Grace, p.Notice, drain.MaxGrace)
	case p.IsVersionRelease && strings.ContainsAny(p.Target, "/\\ \t\n"):
		return fmt.Errorf("version %q: want a name", p.Target)
	}
	return p.Gate.validate()
}
