package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/peer"
	"robindrum/internal/release"
)

const (
	assignmentPath     = "/fleet/v1/orders"
	maxAssignmentBytes = 4 << 20
	// awaitInterval is the time between two looks at whether the desired configuration is in use.
	awaitInterval = 5 * time.Millisecond
)

// assignment is what the quorum's leader sends to a gateway with each heartbeat. The gateway answers with a Report.
type assignment struct {
	View drain.View `json:"view"`
	// Full asks for all endpoints in the report, not for the unhealthy ones alone.
	Full bool `json:"full"`
	// Config is the digest of the desired configuration; empty: the gateway's own file alone.
	Config string `json:"want"`
	// Revision rises with each change of the desired configurations and versions.
	Revision uint64 `json:"version"`
	// Version is the desired version of the program; empty: the running one; nil: the sender does not know.
	Version           *string `json:"program,omitempty"`
	ReleaseInProgress bool    `json:"under,omitempty"`
}

// Report is a gateway's state after it has applied an assignment.
type Report struct {
	// Version is the version of the drain view that was applied.
	Version     uint64 `json:"version"`
	Incarnation uint64 `json:"birth"`
	Serving     bool   `json:"serving"`
	// InFlight counts requests by the ID of the drain request: all of this gateway where it is the target, else those that it has
	// sent to the target's endpoints.
	InFlight map[string]int `json:"in_hand,omitempty"`
	// Endpoints are the unhealthy endpoints; all where a full report was asked for.
	Endpoints []drain.Endpoint `json:"endpoints,omitempty"`

	// Config is the digest of the released configuration in use; empty: the gateway's own file alone; "pending": see Pending.
	Config string `json:"has,omitempty"`
	// Pending: a new configuration was accepted, and requests are still routed by the one before.
	Pending bool `json:"pending,omitempty"`
	// ConfigRejected is why the desired configuration is not in use.
	ConfigRejected string          `json:"refused,omitempty"`
	Figures        release.Figures `json:"figures,omitzero"`
	// RunningVersion is the version of the program that runs; empty: the process is not supervised.
	RunningVersion string `json:"program,omitempty"`
	// AssignedVersion is the desired version of the program.
	AssignedVersion string `json:"told,omitempty"`
	// VersionRejected is why the process does not start as the assigned version.
	VersionRejected string `json:"not_this,omitempty"`
}

// Supervised is this process as its supervisor starts it. Its methods are called by one goroutine at a time.
type Supervised interface {
	// RejectReason returns why this process would not start as a version; empty: it would.
	RejectReason(version string) string
	// SwitchTo makes this process end and start as another version.
	SwitchTo(version string) error
	// Rollback makes this process end and the version before start in its place.
	Rollback(why string) error
	// ConfirmTrial ends the trial of the running version: it works.
	ConfirmTrial() error
	// ClearRejected allows a version that was rolled back to be tried again.
	ClearRejected() error
	// OnTrial reports whether the running version has not been confirmed yet.
	OnTrial() bool
}

// Agent is the gateway that carries out assignments.
type Agent interface {
	// ApplyDrains takes gateways and endpoints out of service, or back, and reports the state after that. It is called by one
	// goroutine at a time, each time with a view that is no older than the one before. With full, the report lists all endpoints.
	ApplyDrains(v drain.View, full bool) Report
	// Configure makes the gateway use a configuration beside its own file; empty: its own file alone. After an error the
	// configuration before stays in use. It is called by one goroutine at a time.
	Configure(digest, text string) error
}

// assignee is the gateway's side: it applies what the leader assigns to this process.
type assignee struct {
	fleet *Fleet

	// Set before Start.
	agent          Agent
	supervised     Supervised // nil: the process is not supervised
	runningVersion string

	configChanged chan struct{} // holds a value when the assignment has changed

	mu   sync.Mutex
	view drain.View

	revision          uint64
	desiredConfig     string
	config            string // in use
	configRejected    string // why desiredConfig is not in use
	leaderHeardAt     time.Duration
	releaseInProgress bool

	assignedVersion string
	versionRejected string // why assignedVersion does not run
	rejectedCleared bool   // ClearRejected succeeded since a version was assigned
}

func newAssignee(f *Fleet) *assignee {
	return &assignee{fleet: f, configChanged: make(chan struct{}, 1)}
}

// SetSupervised lets releases restart this process as other versions. It must be called before Start.
func (f *Fleet) SetSupervised(version string, supervised Supervised) {
	f.assignee.supervised = supervised
	f.assignee.runningVersion = version
}

// SetAgent lets a gateway carry out the leader's assignments. It must be called before Start.
func (f *Fleet) SetAgent(a Agent) {
	f.assignee.agent = a
	f.node.Handle(assignmentPath, maxAssignmentBytes, func(_ context.Context, body []byte) (any, error) {
		var received assignment
		if err := json.Unmarshal(body, &received); err != nil {
			return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
		}
		return f.assignee.apply(received), nil
	})
}

// apply applies an assignment, except where a newer one is known, and reports the gateway's state.
func (a *assignee) apply(received assignment) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.view.NewerThan(&received.View) {
		a.view = received.View
	}
	a.leaderHeardAt = a.fleet.now()
	a.assignConfig(received)
	// Voters that do not lead send no version, and a former leader's revision is older.
	if received.Version != nil && received.Revision >= a.revision {
		a.assignVersion(*received.Version)
		a.releaseInProgress = received.ReleaseInProgress
	}
	report := a.agent.ApplyDrains(a.view, received.Full)
	report.RunningVersion = a.runningVersion
	report.AssignedVersion = a.assignedVersion
	report.VersionRejected = a.versionRejected
	report.Incarnation = a.fleet.members.Self().Incarnation
	report.Config = a.config
	report.ConfigRejected = a.configRejected
	if report.Pending {
		report.Config = "pending"
	}
	return report
}

// assignConfig records the desired configuration of a newer revision. The caller holds a.mu.
func (a *assignee) assignConfig(received assignment) {
	if received.Revision <= a.revision {
		return
	}
	a.revision = received.Revision
	if a.desiredConfig != received.Config {
		a.desiredConfig = received.Config
		a.configRejected = ""
	}
	select {
	case a.configChanged <- struct{}{}:
	default:
	}
}

// assignVersion records the desired version of the program; the process is restarted by the drain that comes with it (see
// Fleet.Restart). The caller holds a.mu.
func (a *assignee) assignVersion(version string) {
	if a.supervised == nil {
		return
	}
	if a.assignedVersion != version {
		a.assignedVersion = version
		a.versionRejected = ""
	}
	if version != "" && version != a.runningVersion {
		a.rejectedCleared = false
		a.versionRejected = a.supervised.RejectReason(version)
		return
	}
	// A later release may bring the rejected version again.
	a.versionRejected = ""
	if !a.rejectedCleared && a.supervised.ClearRejected() == nil {
		a.rejectedCleared = true
	}
}

// Restart makes this process end and start as another version. Only the agent may call it, from ApplyDrains.
func (f *Fleet) Restart(version string) {
	a := f.assignee // its mu is held by apply
	if a.supervised == nil || version == a.runningVersion {
		return
	}
	// A process that has just been rolled back from this version is still drained by the same request.
	a.versionRejected = a.supervised.RejectReason(version)
	if a.versionRejected != "" {
		return
	}
	if err := a.supervised.SwitchTo(version); err != nil {
		a.versionRejected = err.Error()
		f.log.Error("switch to version failed", "version", version, "error", err)
	}
}

// FetchDrains asks the voters for the drain requests and the desired configuration, and applies them. It blocks until the
// configuration is in use or rejected, for at most a time, and returns false when no voter has answered by then.
func (f *Fleet) FetchDrains(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		list, err := f.client.Drains(ctx)
		if err == nil && (list.Fresh || list.View.Term > 0) {
			f.assignee.apply(assignment{View: list.View, Config: list.DesiredConfigs[f.conf.Member], Revision: list.Revision})
			f.assignee.awaitConfig(ctx)
			return true
		}
		sleep(ctx, f.conf.Quorum.ElectionTimeout.D()/2)
	}
	return false
}

// awaitConfig waits until the desired configuration is in use or rejected, or ctx ends.
func (a *assignee) awaitConfig(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		done := a.config == a.desiredConfig || a.configRejected != ""
		a.mu.Unlock()
		if done {
			return
		}
		sleep(ctx, awaitInterval)
	}
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
