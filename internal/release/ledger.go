// Package release decides how a configuration or a program version goes over a fleet: in waves, each judged by a gate against the
// gateways that do not have it yet and against its own baseline, with a halt and a rollback.
//
// The package is a state machine that the quorum replicates: it has no clock, no I/O and no goroutine. Times are readings of the
// leader's clock. What each gateway is to have is part of the replicated state (DesiredConfig, DesiredVersion): the leader assigns it
// and reports what the gateways answer (Observe), and another leader goes on from there without repeating or skipping a step.
package release

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"robindrum/internal/unknownfields"
)

// MaxConfigBytes limits the size of a configuration.
const MaxConfigBytes = 256 << 10

// Limits of what one ledger holds: texts come from outside, and each snapshot contains the ledger.
const (
	maxConfigs       = 8
	maxEndedReleases = 16
	maxTextBytes     = 256
)

// Errors that callers can test for with errors.Is.
var (
	ErrInProgress    = errors.New("another release is under way")
	ErrNoRelease     = errors.New("no release is under way")
	ErrUnknownConfig = errors.New("nobody has this configuration")
)

// Ledger holds the release in progress, what it is judged by, and what every gateway is to have. It is not safe for concurrent use.
type Ledger struct {
	Revision       uint64            `json:"version"` // rises with each change that gateways have to know of
	Now            time.Duration     `json:"now"`
	Configs        map[string]string `json:"texts"`             // configurations by digest
	ConfigOrder    []string          `json:"order"`             // digests, the oldest first
	CurrentConfig  string            `json:"base"`              // digest that every gateway is to have while no release is in progress
	CurrentVersion string            `json:"program,omitempty"` // program version that every gateway is to run; empty: none was released
	// RolledBackVersions are what gateways ran before a program release that was rolled back, for those that return later.
	RolledBackVersions map[string]string    `json:"versions,omitempty"`
	DrainsRequested    uint64               `json:"restarts,omitempty"` // by RequestDrains
	Current            *Release             `json:"current,omitempty"`  // nil: none is in progress
	Ended              []Release            `json:"ended,omitempty"`    // the latest last
	Gateways           map[string]Gateway   `json:"gateways"`           // by name
	Unknown            unknownfields.Fields `json:"-"`                  // passed on unchanged
}

// MarshalJSON encodes the ledger with its unknown fields.
func (l Ledger) MarshalJSON() ([]byte, error) {
	type plain Ledger
	return unknownfields.Marshal(plain(l), l.Unknown)
}

// UnmarshalJSON decodes a ledger and keeps the fields that this program does not know.
func (l *Ledger) UnmarshalJSON(text []byte) error {
	type plain Ledger
	return unknownfields.Unmarshal(text, (*plain)(l), &l.Unknown)
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{Configs: map[string]string{}, Gateways: map[string]Gateway{}}
}

// Restore decodes a ledger from its JSON. It returns an error for a ledger that no sequence of calls can have led to.
func Restore(text []byte) (*Ledger, error) {
	return unknownfields.Restore("releases", text, NewLedger())
}

// Validate returns an error where no sequence of calls can have led to the ledger.
func (l *Ledger) Validate() error {
	hasMaps := l.Configs != nil && l.Gateways != nil
	configsAreOrdered := len(l.Configs) == len(l.ConfigOrder)
	withinLimits := len(l.Configs) <= maxConfigs && len(l.Ended) <= maxEndedReleases
	if !hasMaps || !configsAreOrdered || !withinLimits {
		return errors.New("not a ledger")
	}
	if l.Current == nil {
		return nil
	}
	return l.Current.validate()
}

func (r *Release) validate() error {
	hasMaps := r.Incarnations != nil && r.AtWaveReady != nil && r.BeforeWave != nil && r.AtStart != nil
	hasWave := r.Wave >= 0 && r.Wave < len(r.Waves)
	if !hasMaps || !hasWave {
		return errors.New("not a release")
	}
	return nil
}

// BeginTerm starts the term of another leader, whose clock reads now. The clocks of two leaders are unrelated, so all times are moved
// by their difference.
func (l *Ledger) BeginTerm(now time.Duration) {
	shift := now - l.Now
	l.Now = now
	r := l.Current
	if r == nil {
		return
	}
	r.StateSince += shift
	if r.waveIsReady() {
		r.WaveReadyAt = positive(r.WaveReadyAt + shift)
	}
}

// positive returns a time that is not zero, since zero stands for no time.
func positive(t time.Duration) time.Duration { return max(t, 1) }

// advance moves the ledger's time on. It never goes back within a term.
func (l *Ledger) advance(now time.Duration) { l.Now = max(l.Now, now) }

// StoreConfig stores a configuration under its digest, in place of the oldest one that is not in use. Storing one again has no effect.
func (l *Ledger) StoreConfig(digest, text string) error {
	if len(text) > MaxConfigBytes || len(digest) > maxTextBytes || digest == "" {
		return fmt.Errorf("a configuration of %d bytes, %d at most", len(text), MaxConfigBytes)
	}
	if _, stored := l.Configs[digest]; stored {
		return nil
	}
	for len(l.ConfigOrder) >= maxConfigs {
		if err := l.evictConfig(); err != nil {
			return err
		}
	}
	l.Configs[digest] = text
	l.ConfigOrder = append(l.ConfigOrder, digest)
	return nil
}

// evictConfig removes the oldest configuration that is not in use.
func (l *Ledger) evictConfig() error {
	i := slices.IndexFunc(l.ConfigOrder, func(digest string) bool { return !l.configInUse(digest) })
	if i < 0 {
		return errors.New("too many configurations are in use")
	}
	delete(l.Configs, l.ConfigOrder[i])
	l.ConfigOrder = slices.Delete(l.ConfigOrder, i, i+1)
	return nil
}

// configInUse reports whether gateways have the configuration, or may get it by the release in progress.
func (l *Ledger) configInUse(digest string) bool {
	if digest == l.CurrentConfig {
		return true
	}
	return l.Current != nil && (digest == l.Current.Target || digest == l.Current.Previous)
}

// DesiredConfig returns the digest of the configuration that a gateway is to have; empty: only its own file.
func (l *Ledger) DesiredConfig(name string) string {
	r := l.Current
	switch {
	case r == nil || r.OfProgram:
		return l.settledConfig(name)
	case r.released(name):
		return r.Target
	}
	return r.Previous
}

// settledConfig returns the configuration of a gateway while none is being released. A release that was stopped leaves the gateways of
// its waves with its target, until a later one of a configuration ends otherwise.
func (l *Ledger) settledConfig(name string) string {
	for _, r := range slices.Backward(l.Ended) {
		if r.OfProgram {
			continue
		}
		if r.State != Stopped {
			break
		}
		if r.released(name) {
			return r.Target
		}
	}
	return l.CurrentConfig
}

// DesiredVersion returns the program version that a gateway is to run; empty: the one that it does.
func (l *Ledger) DesiredVersion(name string) string {
	r := l.Current
	switch {
	case r == nil || !r.OfProgram:
		return cmp.Or(l.RolledBackVersions[name], l.CurrentVersion)
	case r.released(name):
		return r.Target
	}
	return cmp.Or(r.PreviousVersions[name], r.Previous)
}
