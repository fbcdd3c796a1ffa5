package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
)

// ReleaseResult is the outcome of a schedule of releases.
type ReleaseResult struct {
	DrainResult
	Releases   int // releases that began
	Done       int
	RolledBack int
	// Starts is the number of times that supervisors started a version. RepeatedStarts counts the starts of the same
	// version again after a requested restart, which means that a step of a release was run twice.
	Starts         int
	RepeatedStarts int
}

// Violated reports whether a guarantee was violated.
func (r *ReleaseResult) Violated() bool { return r.DrainResult.Violated() || r.RepeatedStarts > 0 }

// String describes the result for a report.
func (r *ReleaseResult) String() string {
	return fmt.Sprintf("%s\n  %d releases, %d done, %d rolled back; %d starts, %d of them with the same version",
		&r.DrainResult, r.Releases, r.Done, r.RolledBack, r.Starts, r.RepeatedStarts)
}

// startLog counts the starts that supervisors log. Its methods are safe for concurrent use.
type startLog struct {
	mu             sync.Mutex
	requestedFrom  map[int]string // version that ended because a restart was requested, by node
	count          int
	repeated       int
	firstViolation string
}

// handleLine evaluates a line that a node has logged.
func (l *startLog) handleLine(node int, text string) {
	_, fields, started := strings.Cut(text, "msg=started version=")
	requested := strings.Contains(text, `msg="restarting on request"`)
	if !started && !requested {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if requested {
		_, l.requestedFrom[node], _ = strings.Cut(text, "from=")
		return
	}
	version, _, _ := strings.Cut(fields, " ")
	l.started(node, version)
}

// started counts a start of a version. It must be called with mu held.
func (l *startLog) started(node int, version string) {
	l.count++
	if l.requestedFrom[node] == version {
		l.repeated++
		if l.firstViolation == "" {
			l.firstViolation = fmt.Sprintf("n%d was restarted with version %s, which it already ran", node, version)
		}
	}
	delete(l.requestedFrom, node)
}

// addTo adds the counts to a result.
func (l *startLog) addTo(result *ReleaseResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result.Starts = l.count
	result.RepeatedStarts = l.repeated
	if result.FirstViolation == "" {
		result.FirstViolation = l.firstViolation
	}
}

// Sections of a configuration that gateways accept and of one that they reject.
const (
	validConfig   = "routes: [{match: {prefix: /}, cluster: c}, {match: {prefix: /more}, cluster: c}]\n"
	invalidConfig = "routes: [{match: {prefix: /}, cluster: nobody}]\nlisteners: []\n"
)

// Versions of the program in a schedule of releases.
const (
	firstVersion    = "v1"
	secondVersion   = "v2"
	crashingVersion = "crash"
	crashingProgram = "#!/bin/sh\nexit 3\n"
)

const (
	releaseSteps    = drainSteps + 4
	releaseSoak     = 200 * time.Millisecond
	maxReleasePause = 1500 // ms
	// quorumLossLeases is the duration of a quorum loss in leases. It is longer than a new version waits for a confirmation.
	quorumLossLeases = 5
)

// releaseRun is a run of a schedule of releases.
type releaseRun struct {
	site    *Site
	options DrainOptions
	random  *rand.Rand
	result  *ReleaseResult

	openDrains []string // IDs of drain requests that have not been cancelled
	version    string   // target of the last program release whose version does not crash
}

// RunReleaseSchedule runs the schedule of a seed with five supervised gateways under load. Releases of versions, one of which crashes,
// and of configurations are started, halted, resumed and rolled back at random gateways. Meanwhile gateways are drained manually, and
// processes are killed, frozen and isolated. An observer counts unavailable gateways. RunReleaseSchedule returns when all processes have
// ended.
func RunReleaseSchedule(ctx context.Context, seed uint64, options DrainOptions) (result ReleaseResult) {
	result.Seed = seed
	dir, err := os.MkdirTemp(options.Dir, fmt.Sprintf("releases-%d-", seed))
	if err != nil {
		result.Err = err
		return result
	}
	defer func() { _ = os.RemoveAll(dir) }()
	starts := &startLog{requestedFrom: map[int]string{}}
	site, err := newReleaseSite(ctx, dir, seed, options, starts)
	if err != nil {
		result.Err = err
		return result
	}
	defer site.Close()
	load := site.StartLoad(scheduleLoad)
	defer load.Stop()
	// The observer writes to the result until it is stopped.
	stopObserver := site.ObserveUnavailable(&result.DrainResult, drainBudget)
	defer stopObserver()
	run := &releaseRun{
		site:    site,
		options: options,
		random:  rand.New(rand.NewPCG(seed, releaseStream)),
		result:  &result,
		version: firstVersion,
	}
	if err := run.runSteps(ctx); err != nil {
		result.Err = err
		return result
	}
	list, err := run.recover(ctx)
	if err != nil {
		result.Err = err
		return result
	}
	result.addEnded(list.Ended)
	result.addGranted(site.Nodes[1])
	stopObserver()
	result.addLoad(load)
	starts.addTo(&result)
	return result
}

func newReleaseSite(ctx context.Context, dir string, seed uint64, options DrainOptions, starts *startLog) (*Site, error) {
	crashing := filepath.Join(dir, crashingVersion)
	if err := os.WriteFile(crashing, []byte(crashingProgram), 0o700); err != nil {
		return nil, err
	}
	budget := drainBudget
	if options.IgnoreBudget {
		budget = unlimitedBudget
	}
	return NewSite(ctx, SiteOptions{
		Binary:    options.Binary,
		Dir:       dir,
		Gateways:  drainGateways,
		Lease:     options.Lease,
		Budgets:   fmt.Sprintf("[{name: g, most: %d}]", budget),
		Seed:      seed,
		OnLogLine: starts.handleLine,
		Version:   firstVersion,
		Versions:  map[string]string{firstVersion: options.Binary, secondVersion: options.Binary, crashingVersion: crashing},
	})
}

// runSteps runs the steps of the schedule. It returns an error if a process cannot be restarted.
func (r *releaseRun) runSteps(ctx context.Context) error {
	for step := range cmp.Or(r.options.Steps, releaseSteps) {
		n := r.site.Nodes[r.random.IntN(drainGateways)]
		victim := r.drawVictim(n)
		if err := r.step(ctx, n, victim, fmt.Sprint(r.result.Seed, "-", step)); err != nil {
			return err
		}
		_ = sleep(ctx, time.Duration(r.random.IntN(maxReleasePause))*time.Millisecond)
	}
	return nil
}

// drawVictim returns the node that a fault hits: in half of the draws the leader, which runs the release, otherwise n.
func (r *releaseRun) drawVictim(n *Node) *Node {
	if r.random.IntN(2) != 0 {
		return n
	}
	if leader := r.site.Leader(); leader != nil {
		return leader
	}
	return n
}

// step runs a random action at the gateway n or a random fault of the victim. id is the ID of a release or drain request that the
// action starts.
func (r *releaseRun) step(ctx context.Context, n, victim *Node, id string) error {
	plan := r.newPlan(id)
	switch draw := r.random.IntN(15); {
	case draw < 4:
		r.releaseProgram(n, plan)
	case draw == 4:
		r.releaseConfig(n, plan)
	case draw < 7 && r.random.IntN(2) == 0:
		op := quorum.OpHaltRelease
		if draw == 6 {
			op = quorum.OpRollbackRelease
		}
		sendRelease(n, quorum.Command{Op: op, Text: "by hand"})
	case draw == 7:
		sendRelease(n, quorum.Command{Op: quorum.OpResumeRelease})
	case draw == 8 && n.Up():
		r.drain(n, id)
	case draw == 9 && len(r.openDrains) > 0 && n.Up():
		r.undrain(n)
	case draw == 10:
		return restartAfter(ctx, victim, r.options.Lease/2)
	case draw == 11 && victim.Up():
		freezeFor(ctx, victim, r.options.Lease)
	case draw == 12:
		isolateFor(ctx, r.site.Cluster, victim, r.options.Lease)
	case draw == 13:
		return r.loseQuorum(ctx)
	}
	return nil
}

// newPlan returns a plan without a target. It draws whether the release is rolled back when it fails.
func (r *releaseRun) newPlan(id string) *release.Plan {
	return &release.Plan{
		ID:                id,
		Soak:              releaseSoak,
		RollBackOnFailure: r.random.IntN(2) == 0,
		Grace:             drainGrace,
		Notice:            drainNotice,
		Gate:              release.Gate{MinRequests: 5, MaxMeanRatio: 50, MaxTailRatio: 50, MaxMemoryRatio: 10, MaxInTimeLoss: 0.9},
	}
}

// sendRelease sends a command to a gateway if it is up, and reports whether the command was accepted.
func sendRelease(n *Node, command quorum.Command) bool {
	return n.Up() && n.SendRelease(command) == nil
}

// releaseProgram starts the release of the other version, or of the one that crashes.
func (r *releaseRun) releaseProgram(n *Node, plan *release.Plan) {
	plan.IsVersionRelease = true
	plan.Target = firstVersion
	if r.version == firstVersion {
		plan.Target = secondVersion
	}
	if r.random.IntN(4) == 0 {
		plan.Target = crashingVersion
	}
	if !sendRelease(n, quorum.Command{Op: quorum.OpStartRelease, Plan: plan}) {
		return
	}
	r.result.Releases++
	if plan.Target != crashingVersion {
		r.version = plan.Target
	}
}

// releaseConfig starts the release of a configuration, which may be invalid.
func (r *releaseRun) releaseConfig(n *Node, plan *release.Plan) {
	text := []string{validConfig, invalidConfig}[r.random.IntN(2)]
	plan.Target = fleet.ConfigDigest([]byte(text))
	if !sendRelease(n, quorum.Command{Op: quorum.OpStoreConfig, Digest: plan.Target, Text: text}) {
		return
	}
	if sendRelease(n, quorum.Command{Op: quorum.OpStartRelease, Plan: plan}) {
		r.result.Releases++
	}
}

func (r *releaseRun) drain(n *Node, id string) {
	target := drain.Target{Gateway: r.site.Nodes[r.random.IntN(drainGateways)].Name}
	request, err := n.SendDrain("drain", drain.Request{ID: id, Target: target, Grace: drainGrace, Notice: drainNotice})
	r.result.Requested++
	if err == nil && request.State != drain.Rejected {
		r.openDrains = append(r.openDrains, id)
	}
}

// undrain cancels the oldest open drain request.
func (r *releaseRun) undrain(n *Node) {
	if _, err := n.SendDrain("undrain", drain.Request{ID: r.openDrains[0]}); err == nil {
		r.openDrains = r.openDrains[1:]
	}
}

// loseQuorum kills two of three voters, and restarts them after quorumLossLeases.
func (r *releaseRun) loseQuorum(ctx context.Context) error {
	majority := r.site.Nodes[:2]
	for _, voter := range majority {
		voter.Kill()
	}
	_ = sleep(ctx, quorumLossLeases*r.options.Lease)
	for _, voter := range majority {
		if err := voter.Start(); err != nil {
			return err
		}
	}
	return nil
}

// recover cancels all drain requests, rolls back a current release, and waits until every gateway runs its desired version and
// configuration and is ready.
func (r *releaseRun) recover(ctx context.Context) (quorum.ReleaseList, error) {
	if err := Await(ctx, "the drain requests to be cancelled", recoveryTimeout, r.cancelDrains); err != nil {
		return quorum.ReleaseList{}, err
	}
	var list quorum.ReleaseList
	obstacle := ""
	err := Await(ctx, "the releases to end", 2*recoveryTimeout, func() bool {
		list, obstacle = r.releasesEnded()
		return obstacle == ""
	})
	if err != nil {
		return list, fmt.Errorf("%w: %s", err, obstacle)
	}
	return list, r.site.awaitReady(ctx)
}

// cancelDrains cancels all drain requests of the schedule, including those whose requester got no response, and reports whether it
// succeeded.
func (r *releaseRun) cancelDrains() bool {
	n := r.site.Nodes[0]
	requests, err := n.DrainRequests()
	prefix := fmt.Sprint(r.result.Seed, "-")
	for id, request := range requests {
		if !strings.HasPrefix(id, prefix) || drainOver(request.State) {
			continue
		}
		_, cancelErr := n.SendDrain("undrain", drain.Request{ID: id})
		err = errors.Join(err, cancelErr)
	}
	return err == nil
}

func drainOver(state drain.State) bool {
	return state == drain.Ended || state == drain.Rejected || state == drain.Cancelled
}

// releasesEnded returns the releases, and the reason why they have not ended. The reason is empty if there is no current release and
// every gateway runs its desired version and configuration. releasesEnded rolls back a current release.
func (r *releaseRun) releasesEnded() (list quorum.ReleaseList, obstacle string) {
	n := r.site.Nodes[1]
	list, err := n.Releases()
	if err != nil || !list.Fresh {
		return list, fmt.Sprint("no fresh list of releases: ", err)
	}
	if list.Current != nil {
		if list.Current.State != release.RollingBack {
			_ = n.SendRelease(quorum.Command{Op: quorum.OpRollbackRelease, Text: "the end"})
		}
		return list, list.Current.String()
	}
	for _, gateway := range list.Gateways {
		config, version := list.DesiredConfigs[gateway.Name], list.DesiredVersions[gateway.Name]
		rightVersion := version == "" || gateway.Version == version
		if !gateway.Responding || gateway.Config != config || !rightVersion {
			return list, fmt.Sprintf("%s: responding %v, configuration %q, want %q, version %q, want %q %s",
				gateway.Name, gateway.Responding, gateway.Config, config, gateway.Version, version, gateway.VersionRejected)
		}
	}
	if len(list.Gateways) != drainGateways {
		return list, fmt.Sprintf("%d gateways are listed", len(list.Gateways))
	}
	return list, ""
}

// addEnded counts the ended releases that are done and those that were rolled back.
func (r *ReleaseResult) addEnded(ended []release.Release) {
	for _, e := range ended {
		switch e.State {
		case release.Done:
			r.Done++
		case release.RolledBack:
			r.RolledBack++
		}
	}
}

// RunReleaseSchedules runs the schedules of releases of seeds, at most parallel at once. It calls report like RunSchedules.
func RunReleaseSchedules(ctx context.Context, seeds []uint64, parallel int, options DrainOptions, report func(ReleaseResult)) {
	runSeeds(ctx, seeds, parallel, func(seed uint64) ReleaseResult { return RunReleaseSchedule(ctx, seed, options) }, report)
}
