package release

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Start begins a release. It has no effect if the same release is already in progress, and returns ErrInProgress if another one is.
func (l *Ledger) Start(now time.Duration, plan Plan) error {
	l.advance(now)
	plan.setDefaults()
	if r := l.Current; r != nil {
		if r.ID == plan.ID && r.Target == plan.Target {
			return nil
		}
		return fmt.Errorf("%w: %s, %s", ErrInProgress, r.ID, r.State)
	}
	if err := plan.validate(); err != nil {
		return err
	}
	if err := l.CheckStart(plan); err != nil {
		return err
	}
	previous := l.CurrentConfig
	if plan.IsVersionRelease {
		previous = l.CurrentVersion
	}
	l.Current = newRelease(plan, l.Now, slices.Collect(maps.Values(l.Gateways)), previous)
	l.Revision++
	l.beginWave(l.Current)
	return nil
}

// CheckStart returns an error if the known gateways or the stored configurations do not permit the release. It changes nothing.
func (l *Ledger) CheckStart(plan Plan) error {
	if len(l.Gateways) == 0 {
		return errors.New("no gateway is known yet")
	}
	if plan.IsVersionRelease {
		return l.checkVersion(plan.Target)
	}
	return l.checkConfig(plan.Target)
}

func (l *Ledger) checkConfig(digest string) error {
	if _, stored := l.Configs[digest]; !stored {
		return fmt.Errorf("%w: %s", ErrUnknownConfig, digest)
	}
	if digest == l.CurrentConfig {
		return fmt.Errorf("every gateway is to have %s already", digest)
	}
	return nil
}

func (l *Ledger) checkVersion(version string) error {
	var unsupervised []string
	different := 0
	for _, name := range slices.Sorted(maps.Keys(l.Gateways)) {
		gateway := l.Gateways[name]
		switch {
		case gateway.Responding && gateway.Version == "":
			unsupervised = append(unsupervised, name)
		case gateway.Version != version:
			different++
		}
	}
	switch {
	case len(unsupervised) > 0:
		return fmt.Errorf("nobody supervises %s: see robindrum supervise", strings.Join(firstNames(unsupervised), ", "))
	case different == 0:
		return fmt.Errorf("every gateway runs as %s already", version)
	}
	return nil
}

// Halt pauses a release or its rollback: no further wave is released or rolled back until Resume or Rollback is called. Halting again has
// no effect. Halt, Resume, Rollback and Stop return ErrNoRelease if no release is in progress.
func (l *Ledger) Halt(now time.Duration, reason string) error {
	l.advance(now)
	r := l.Current
	if r == nil {
		return ErrNoRelease
	}
	if r.State == Running || r.State == RollingBack {
		l.setState(Halted, reason)
	}
	return nil
}

// Resume continues a halted release forward from the current wave, even if it was halted during a rollback. The soak of the wave starts
// over.
func (l *Ledger) Resume(now time.Duration) error {
	l.advance(now)
	r := l.Current
	if r == nil {
		return ErrNoRelease
	}
	if r.State == Halted {
		l.setState(Running, "")
		r.WaveReadyAt = 0
	}
	return nil
}

// Rollback begins to return every gateway to what it had before the release. Repeating it has no effect.
func (l *Ledger) Rollback(now time.Duration, reason string) error {
	l.advance(now)
	r := l.Current
	if r == nil {
		return ErrNoRelease
	}
	if r.State != RollingBack {
		l.beginRollback(reason)
	}
	return nil
}

// Stop ends a halted release. Each gateway keeps what it has, and DesiredConfig continues to return it.
func (l *Ledger) Stop(now time.Duration, reason string) error {
	l.advance(now)
	r := l.Current
	if r == nil {
		return ErrNoRelease
	}
	if r.State == Running || r.State == RollingBack {
		return fmt.Errorf("it is %s: halt it first", r.State)
	}
	l.finish(Stopped, reason)
	return nil
}

// setState sets the state of the release in progress and its reason, and records the time if the state changes.
func (l *Ledger) setState(state State, reason string) {
	r := l.Current
	if r.State != state {
		r.StateSince = l.Now
		l.Revision++
	}
	r.State = state
	r.StateReason = reason
}

func (l *Ledger) beginRollback(reason string) {
	l.setState(RollingBack, reason)
	l.Current.WaveReadyAt = 0
}

// failGate rolls the release back or halts it, depending on its plan.
func (l *Ledger) failGate(reason string) {
	if l.Current.RollBackOnFailure {
		l.beginRollback(reason)
		return
	}
	l.setState(Halted, reason)
}

// finish ends the release in progress in a final state.
func (l *Ledger) finish(state State, reason string) {
	l.setState(state, reason)
	r := l.Current
	if r.IsVersionRelease {
		l.settleVersions(r)
	} else if state == Done {
		l.CurrentConfig = r.Target
	}
	l.Ended = append(l.Ended, *r)
	l.Ended = l.Ended[max(0, len(l.Ended)-maxEndedReleases):]
	l.Current = nil
}

// settleVersions sets the versions that gateways are to run after a program release. After a stopped release, each keeps its own version.
func (l *Ledger) settleVersions(r *Release) {
	l.RolledBackVersions = nil
	switch r.State {
	case Done:
		l.CurrentVersion = r.Target
	case RolledBack:
		l.RolledBackVersions = r.PreviousVersions
	case Stopped:
		l.CurrentVersion = ""
	}
}
