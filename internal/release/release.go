package release

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"robindrum/internal/unknownfields"
)

// State is a release's state. Done, RolledBack and Stopped are final.
type State string

// The states of a release. Their values are stored and sent to other processes.
const (
	Running     State = "running"
	Halted      State = "halted" // by an operator, or by a gate
	RollingBack State = "going back"
	Done        State = "done"
	RolledBack  State = "back"    // every gateway has what it had before the release
	Stopped     State = "stopped" // by an operator; each gateway keeps what it has
)

// Release is a started plan and the progress of its waves.
type Release struct {
	Plan
	State       State         `json:"state"`
	StateReason string        `json:"why,omitempty"`
	StateSince  time.Duration `json:"since"`
	Waves       [][]string    `json:"waves"` // names of gateways
	Wave        int           `json:"wave"`  // index of the current wave
	// WaveReadyAt is when every gateway of the current wave had the target or, in a rollback, had what it had before the release; 0 if that
	// has not happened yet.
	WaveReadyAt time.Duration `json:"began"`
	Previous    string        `json:"before"` // what all gateways were to have before the release
	// PreviousVersions are the versions that the gateways ran before a program release.
	PreviousVersions map[string]string `json:"versions,omitempty"`
	// Incarnations are the incarnations of the released gateways when their waves were ready.
	Incarnations map[string]uint64 `json:"births"`
	// AtWaveReady are the figures of all gateways when the current wave was ready.
	AtWaveReady map[string]Figures `json:"start"`
	// BeforeWave are the figures that each gateway counted between the start of the release and its own wave.
	BeforeWave map[string]Figures `json:"past"`
	// AtStart are the figures of all gateways at the start of the release. RespondingAtStart reports which gateways responded
	// then.
	AtStart           map[string]Figures   `json:"from"`
	RespondingAtStart map[string]bool      `json:"here"`
	Unknown           unknownfields.Fields `json:"-"` // passed on unchanged
}

// MarshalJSON encodes the release with its unknown fields.
func (r Release) MarshalJSON() ([]byte, error) {
	type plain Release
	return unknownfields.Marshal(plain(r), r.Unknown)
}

// UnmarshalJSON decodes a release and keeps the fields that this program does not know.
func (r *Release) UnmarshalJSON(text []byte) error {
	type plain Release
	return unknownfields.Unmarshal(text, (*plain)(r), &r.Unknown)
}

// newRelease returns a release of a plan to the given gateways that begins now.
func newRelease(plan Plan, now time.Duration, gateways []Gateway, previous string) *Release {
	r := &Release{
		Plan:              plan,
		State:             Running,
		StateSince:        now,
		Waves:             Waves(gateways),
		Previous:          previous,
		Incarnations:      map[string]uint64{},
		AtWaveReady:       map[string]Figures{},
		BeforeWave:        map[string]Figures{},
		AtStart:           map[string]Figures{},
		RespondingAtStart: map[string]bool{},
	}
	if plan.IsVersionRelease {
		r.PreviousVersions = map[string]string{}
	}
	for _, g := range gateways {
		r.AtStart[g.Name] = g.Figures
		r.RespondingAtStart[g.Name] = g.Responding
		if plan.IsVersionRelease {
			r.PreviousVersions[g.Name] = g.Version
		}
	}
	return r
}

// wave returns the names of the gateways in the current wave.
func (r *Release) wave() []string { return r.Waves[r.Wave] }

// waveIsReady reports whether the current wave has become ready, see WaveReadyAt.
func (r *Release) waveIsReady() bool { return r.WaveReadyAt > 0 }

// released reports whether a gateway is to have the target: its wave has begun and is not rolled back.
func (r *Release) released(name string) bool {
	for i, wave := range r.Waves {
		if i > r.Wave || i == r.Wave && r.State == RollingBack {
			return false
		}
		if slices.Contains(wave, name) {
			return true
		}
	}
	return false
}

// current returns the version or configuration that a gateway has, whichever is released, and why the gateway rejects the target.
func (r *Release) current(g *Gateway) (current, rejection string) {
	if r.IsVersionRelease {
		return g.Version, g.VersionRejected
	}
	return g.Config, g.ConfigRejected
}

// hasRestarted reports whether a released gateway has restarted since its wave was ready.
func (r *Release) hasRestarted(g *Gateway) bool {
	incarnation := r.Incarnations[g.Name]
	return incarnation != 0 && g.Incarnation != incarnation
}

// String returns a one-line summary of the release for operators.
func (r *Release) String() string {
	text := fmt.Sprintf("release %s to %s: %s", r.ID, shortDigest(r.Target), r.State)
	if r.State == Running || r.State == Halted || r.State == RollingBack {
		text += fmt.Sprintf(", wave %d of %d (%s)", r.Wave+1, len(r.Waves), strings.Join(firstNames(r.wave()), " "))
	}
	if r.StateReason != "" {
		text += ": " + r.StateReason
	}
	return text
}

func shortDigest(digest string) string { return digest[:min(len(digest), 12)] }

// firstNames returns at most five names, and "..." where there are more.
func firstNames(names []string) []string {
	const maxNames = 5
	if len(names) <= maxNames {
		return names
	}
	return append(slices.Clone(names[:maxNames]), "...")
}
