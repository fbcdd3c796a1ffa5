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
	// configCheckInterval is the time between two checks whether the desired configuration is in use.
	configCheckInterval = 5 * time.Millisecond
)

// assignment is what the quorum's leader sends to a gateway at each reconciliation. The gateway answers with a Report.
type assignment struct {
	View drain.View `json:"view"`
	// Full requests all endpoints in the report instead of only the unhealthy ones.
	Full bool `json:"full"`
	// Config is the digest of the desired configuration. If empty, the gateway uses only its own file.
	Config string `json:"want"`
	// Revision rises with each change of the desired configurations and versions.
	Revision uint64 `json:"version"`
	// Version is the desired version of the program. It is empty if the running one is to stay, and nil if the sender does not know.
	Version           *string `json:"program,omitempty"`
	ReleaseInProgress bool    `json:"under,omitempty"`
}

// Report is a gateway's state after it has applied an assignment.
type Report struct {
	// Version is the version of the drain view that was applied.
	Version     uint64 `json:"version"`
	Incarnation uint64 `json:"birth"`
	Serving     bool   `json:"serving"`
	// InFlight is the number of requests in flight, by the ID of the drain request: all requests of this gateway if it is the target,
	// otherwise those that it has sent to the target's endpoints.
	InFlight map[string]int `json:"in_hand,omitempty"`
	// Endpoints are the unhealthy endpoints, or all endpoints if a full report was requested.
	Endpoints []drain.Endpoint `json:"endpoints,omitempty"`

	// Config is the digest of the released configuration in use, or "pending" while Pending is set. It is empty if the gateway uses only
	// its own file.
	Config string `json:"has,omitempty"`
	// Pending is set if a new configuration was accepted but requests are still routed by the previous one.
	Pending bool `json:"pending,omitempty"`
	// ConfigRejected is why the desired configuration is not in use.
	ConfigRejected string          `json:"refused,omitempty"`
	Figures        release.Figures `json:"figures,omitzero"`
	// RunningVersion is the running version of the program. It is empty if the process is not supervised.
	RunningVersion string `json:"program,omitempty"`
	// AssignedVersion is the desired version of the program.
	AssignedVersion string `json:"told,omitempty"`
	// VersionRejected is why the process does not start with the assigned version.
	VersionRejected string `json:"not_this,omitempty"`
}

// VersionController controls, through this process's supervisor, which version of the program runs. Its methods are called by one goroutine
// at a time.
type VersionController interface {
	// RejectReason returns why this process would not start with a version, or "" if it would.
	RejectReason(version string) string
	// SwitchTo makes this process exit and start again with another version.
	SwitchTo(version string) error
	// Rollback makes this process exit and start again with the previous version.
	Rollback(why string) error
	// ConfirmTrial ends the trial of the running version and keeps that version.
	ConfirmTrial() error
	// ClearRejected allows a version that was rolled back to be tried again.
	ClearRejected() error
	// OnTrial reports whether the running version has not been confirmed yet.
	OnTrial() bool
}

// Agent carries out assignments in a gateway.
type Agent interface {
	// ApplyDrains takes gateways and endpoints out of service or returns them to service, and reports the resulting state. If full is
	// set, the report lists all endpoints. ApplyDrains is called by one goroutine at a time, and never with an older view than in the
	// previous call.
	ApplyDrains(v drain.View, full bool) Report
	// Configure makes the gateway use a configuration in addition to its own file. If digest and text are empty, the gateway uses only
	// its own file. After an error the previous configuration stays in use. Configure is called by one goroutine at a time.
	Configure(digest, text string) error
}

// assignee is the gateway's part of reconciliation: it applies the leader's assignments to this process.
type assignee struct {
	fleet *Fleet

	// Set before Start.
	agent             Agent
	versionController VersionController // nil if the process is not supervised
	runningVersion    string

	configChanged chan struct{} // holds a value after the assigned configuration may have changed

	mu   sync.Mutex
	view drain.View

	revision          uint64
	desiredConfig     string
	config            string // in use
	configRejected    string // why desiredConfig is not in use
	leaderHeardAt     time.Duration
	releaseInProgress bool

	assignedVersion string
	versionRejected string // why assignedVersion is not running
	rejectedCleared bool   // ClearRejected has succeeded since a version other than the running one was last assigned
}

func newAssignee(f *Fleet) *assignee {
	return &assignee{fleet: f, configChanged: make(chan struct{}, 1)}
}

// SetVersionController allows releases to restart this process with other versions; version is the running one. It must
// be called before Start.
func (f *Fleet) SetVersionController(version string, versionController VersionController) {
	f.assignee.versionController = versionController
	f.assignee.runningVersion = version
}

// SetAgent sets the agent that carries out the leader's assignments. It must be called before Start.
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

// apply applies an assignment, except for parts that are older than those already applied, and reports the gateway's state.
func (a *assignee) apply(received assignment) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.view.NewerThan(&received.View) {
		a.view = received.View
	}
	a.leaderHeardAt = a.fleet.now()
	a.assignConfig(received)
	// Assignments that FetchDrains builds from a voter's answer have no version, and those of a previous leader have an older revision.
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

// assignConfig records the desired configuration if its revision is newer. The caller must hold a.mu.
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

// assignVersion records the desired version of the program. The process is restarted later, by the drain request of the same release
// (see Fleet.Restart). The caller must hold a.mu.
func (a *assignee) assignVersion(version string) {
	if a.versionController == nil {
		return
	}
	if a.assignedVersion != version {
		a.assignedVersion = version
		a.versionRejected = ""
	}
	if version != "" && version != a.runningVersion {
		a.rejectedCleared = false
		a.versionRejected = a.versionController.RejectReason(version)
		return
	}
	// A later release may contain the rejected version again.
	a.versionRejected = ""
	if !a.rejectedCleared && a.versionController.ClearRejected() == nil {
		a.rejectedCleared = true
	}
}

// Restart restarts this process with another version. Only the agent may call it, from ApplyDrains.
func (f *Fleet) Restart(version string) {
	a := f.assignee // apply holds a.mu
	if a.versionController == nil || version == a.runningVersion {
		return
	}
	// The drain request that led to the switch outlasts a rollback, and must not cause the same switch again.
	a.versionRejected = a.versionController.RejectReason(version)
	if a.versionRejected != "" {
		return
	}
	if err := a.versionController.SwitchTo(version); err != nil {
		a.versionRejected = err.Error()
		f.log.Error("switch to version failed", "version", version, "error", err)
	}
}

// FetchDrains asks the voters for the drain requests and the desired configuration, and applies them. It blocks until the
// configuration is in use or rejected, but no longer than timeout, and returns false if no voter has answered within that time.
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
		sleep(ctx, configCheckInterval)
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
