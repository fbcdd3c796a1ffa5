// Package release controls the rollout of a configuration or a program version to a fleet of gateways. A release proceeds in waves. A
// gate compares each wave with the gateways that are not released yet and with the wave's own baseline. A release can be halted and
// rolled back.
//
// The package is a state machine that the quorum replicates: it has no clock, I/O or goroutines. Times are readings of the leader's
// clock. The replicated state includes what each gateway is to run (DesiredConfig, DesiredVersion): the leader assigns it to the
// gateways and passes their reports to Observe. A new leader continues from this state without repeating or skipping a step.
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

// Limits of the contents of a ledger. Its texts come from outside the fleet, and each snapshot of the quorum contains the whole ledger.
const (
	maxConfigs       = 8
	maxEndedReleases = 16
	maxTextBytes     = 256
)

// Errors that callers can test for with errors.Is. The messages are sent to other processes.
var (
	ErrInProgress    = errors.New("another release is under way")
	ErrNoRelease     = errors.New("no release is under way")
	ErrUnknownConfig = errors.New("nobody has this configuration")
)

// Ledger holds the release in progress, the figures by which it is judged, and what every gateway is to run. It is not safe for concurrent
// use.
type Ledger struct {
	Revision       uint64            `json:"version"` // increases when what a gateway is to run may have changed
	Now            time.Duration     `json:"now"`
	Configs        map[string]string `json:"texts"`             // configurations by digest
	ConfigOrder    []string          `json:"order"`             // digests, oldest first
	CurrentConfig  string            `json:"base"`              // digest that every gateway is to use while no release is in progress
	CurrentVersion string            `json:"program,omitempty"` // program version that every gateway is to run; empty if none was released
	// RolledBackVersions are the versions that gateways ran before a program release that was rolled back. They remain the desired
	// versions, so that gateways that respond again only after the rollback are rolled back, too.
	RolledBackVersions map[string]string    `json:"versions,omitempty"`
	DrainsRequested    uint64               `json:"restarts,omitempty"` // number of drain requests made by RequestDrains
	Current            *Release             `json:"current,omitempty"`  // nil if no release is in progress
	Ended              []Release            `json:"ended,omitempty"`    // oldest first
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

// Restore decodes a ledger from its JSON form and validates it.
func Restore(text []byte) (*Ledger, error) {
	return unknownfields.Restore("releases", text, NewLedger())
}

// Validate returns an error if the ledger's contents are inconsistent, so that no sequence of calls can have produced it.
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

// BeginTerm starts the term of a new leader whose clock reads now. The clocks of two leaders are unrelated, so BeginTerm shifts all times
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

// positive returns t, or 1 ns if t is not positive, because a zero time means that the event has not happened.
func positive(t time.Duration) time.Duration { return max(t, 1) }

// advance moves the ledger's time forward to now. The time never goes back within a term.
func (l *Ledger) advance(now time.Duration) { l.Now = max(l.Now, now) }

// StoreConfig stores a configuration under its digest. If the ledger is full, it replaces the oldest configuration that is not in use.
// Storing a configuration again has no effect.
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

// configInUse reports whether the configuration is the current one, or the target or the previous one of the release in progress.
func (l *Ledger) configInUse(digest string) bool {
	if digest == l.CurrentConfig {
		return true
	}
	return l.Current != nil && (digest == l.Current.Target || digest == l.Current.Previous)
}

// DesiredConfig returns the digest of the configuration that a gateway is to use; empty if it is to use only its own file.
func (l *Ledger) DesiredConfig(name string) string {
	r := l.Current
	switch {
	case r == nil || r.IsVersionRelease:
		return l.settledConfig(name)
	case r.released(name):
		return r.Target
	}
	return r.Previous
}

// settledConfig returns the configuration that a gateway is to use while no configuration is being released. A stopped release leaves the
// gateways of its released waves with its target, until a later configuration release ends in another state.
func (l *Ledger) settledConfig(name string) string {
	for _, r := range slices.Backward(l.Ended) {
		if r.IsVersionRelease {
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

// DesiredVersion returns the program version that a gateway is to run; empty if it is to keep its version.
func (l *Ledger) DesiredVersion(name string) string {
	r := l.Current
	switch {
	case r == nil || !r.IsVersionRelease:
		return cmp.Or(l.RolledBackVersions[name], l.CurrentVersion)
	case r.released(name):
		return r.Target
	}
	return cmp.Or(r.PreviousVersions[name], r.Previous)
}
