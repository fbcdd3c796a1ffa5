package fleet

import (
	"context"
	"sync"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/drain"
	"robindrum/internal/membership"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
)

const (
	// maxConcurrentReports is the maximum number of gateways that are asked for a report at the same time.
	maxConcurrentReports = 64
	// idleHeartbeats is the interval between reconciliations, in heartbeats, while there is no drain request and no release.
	idleHeartbeats = 4
	// maxFiguresInterval bounds the time between two commits of the gateways' figures during a release.
	maxFiguresInterval = time.Second
	// figuresPerSoak is the minimum number of commits of figures during the soak of a wave.
	figuresPerSoak = 20
)

// reconciler is the leader's part of reconciliation: it sends each gateway its assignment, and commits the gateways' reports to the
// quorum. It must be used by a single goroutine.
type reconciler struct {
	fleet             *Fleet
	absent            absentGateways
	figuresIncludedAt time.Duration // when an observation last included the gateways' figures
}

func newReconciler(f *Fleet) *reconciler {
	return &reconciler{fleet: f, absent: absentGateways{}}
}

// run reconciles while this voter is the quorum's leader, until ctx ends.
func (r *reconciler) run(ctx context.Context) {
	ticker := time.NewTicker(r.fleet.conf.Quorum.ElectionTimeout.D())
	defer ticker.Stop()
	server := r.fleet.server
	heartbeats := 0 // since the last reconciliation
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !server.Leading() {
			continue
		}
		heartbeats++
		active := len(server.DrainView().Requests) > 0 || server.Desired(nil).InProgress
		if !active && heartbeats < idleHeartbeats {
			continue
		}
		heartbeats = 0
		if err := r.reconcile(ctx); err != nil && ctx.Err() == nil {
			r.fleet.log.Debug("reconcile failed", "error", err)
		}
	}
}

// reconcile begins granted drains, collects a report from every gateway, and commits one observation of the fleet to the quorum.
func (r *reconciler) reconcile(ctx context.Context) error {
	server := r.fleet.server
	if err := server.SetBudgets(drainBudgets(r.fleet.conf.Budgets)); err != nil {
		return err
	}
	if err := r.beginGranted(); err != nil {
		return err
	}
	view := server.DrainView()
	members := r.fleet.members.Members()
	desired := server.Desired(memberNames(members))
	reports := r.collectReports(ctx, members, view, desired)
	merged := mergeReports(view.Version, reports)
	r.addAbsent(merged.observation)
	r.omitFigures(merged.observation, desired)
	if merged.answered == 0 {
		return nil
	}
	if err := server.Observe(merged.observation); err != nil {
		return err
	}
	return r.reportProgress(view, members, merged.progress)
}

// beginGranted begins each drain that the quorum has granted, under the fencing token of the grant.
func (r *reconciler) beginGranted() error {
	for _, request := range r.fleet.server.DrainView().Requests {
		if request.State != drain.Granted {
			continue
		}
		if err := r.fleet.server.BeginDrain(request); err != nil {
			return err
		}
	}
	return nil
}

// collectReports sends each gateway its assignment and waits for all reports. One gateway of each site is asked for a full report.
func (r *reconciler) collectReports(ctx context.Context, members []membership.Member, view drain.View, desired quorum.Desired) []gatewayReport {
	reports := reportTargets(members)
	slots := make(chan struct{}, maxConcurrentReports)
	var requests sync.WaitGroup
	for i := range reports {
		target := &reports[i]
		version := desired.Versions[target.member.Name]
		assigned := assignment{
			View:              view,
			Full:              target.full,
			Config:            desired.Configs[target.member.Name],
			Revision:          desired.Revision,
			Version:           &version,
			ReleaseInProgress: desired.InProgress,
		}
		slots <- struct{}{}
		requests.Go(func() {
			defer func() { <-slots }()
			target.report = r.requestReport(ctx, target.member.Address, assigned)
		})
	}
	requests.Wait()
	return reports
}

// requestReport sends an assignment to a gateway and returns its report. The report is nil if the gateway has not answered in time or
// has applied an older view than the assigned one.
func (r *reconciler) requestReport(ctx context.Context, address string, assigned assignment) *Report {
	ctx, cancel := context.WithTimeout(ctx, 2*r.fleet.conf.Quorum.ElectionTimeout.D())
	defer cancel()
	var report Report
	if err := r.fleet.node.Call(ctx, address, assignmentPath, assigned, &report); err != nil {
		return nil
	}
	if report.Version < assigned.View.Version {
		return nil
	}
	return &report
}

// addAbsent adds the gateways that the quorum knows and that are no longer members. They count as unavailable until they return or are
// forgotten.
func (r *reconciler) addAbsent(observation *quorum.Observation) {
	now := r.fleet.now()
	for _, gateway := range r.absent.update(now, r.fleet.conf.ForgetAfter.D(), observation.Gateways, r.fleet.server.KnownGateways()) {
		observation.Gateways = append(observation.Gateways, gateway)
		observation.Releases = append(observation.Releases, releaseGateway(gateway, nil))
	}
}

// omitFigures removes the gateways' release state from an observation if it need not be committed: figures are not due, and the quorum
// has already agreed on the same states.
func (r *reconciler) omitFigures(observation *quorum.Observation, desired quorum.Desired) {
	due := figuresDue(desired, r.fleet.now()-r.figuresIncludedAt)
	if !due && r.fleet.server.ReleaseStatesMatch(observation.Releases) {
		observation.Releases = nil
		return
	}
	r.figuresIncludedAt = r.fleet.now()
}

// figuresDue reports whether figures are to be committed when the last commit of figures was sinceLast ago. Each commit is written to
// the log, so figures are committed only during a release, and only as often as its soak needs them.
func figuresDue(desired quorum.Desired, sinceLast time.Duration) bool {
	return desired.InProgress && sinceLast >= min(desired.Soak/figuresPerSoak, maxFiguresInterval)
}

// reportProgress commits the number of requests in flight of each drain whose progress is due.
func (r *reconciler) reportProgress(view drain.View, members []membership.Member, progress map[string]drainProgress) error {
	for _, request := range view.Requests {
		reported, ok := progress[request.ID]
		if !ok || !progressDue(request, reported, members) {
			continue
		}
		if err := r.fleet.server.ReportDrainProgress(request, reported.inFlight); err != nil {
			return err
		}
	}
	return nil
}

// progressDue reports whether a drain's progress is known and must be committed.
func progressDue(request drain.Request, progress drainProgress, members []membership.Member) bool {
	switch {
	case !request.State.Unavailable():
		return false
	case progress.reports < reportsNeeded(request.Target, members):
		return false
	case request.State == drain.Drained && progress.inFlight == 0:
		return false // already committed
	}
	return true
}

// reportsNeeded returns how many gateways must report before a drain's progress is known. If gateways are drained, these must report.
// If endpoints are drained, every gateway that may still send requests to them must report: each one that is not known to be dead.
func reportsNeeded(target drain.Target, members []membership.Member) int {
	if target.Gateway != "" {
		return 1
	}
	needed := 0
	for _, m := range members {
		if m.State == membership.Dead || m.State == membership.Gone || m.State == membership.Witness {
			continue
		}
		if !target.OfGateways() || target.MatchesGateway(m.Name, m.Site, m.Zone) {
			needed++
		}
	}
	return needed
}

func memberNames(members []membership.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	return names
}

// drainBudgets converts the configured disruption budgets.
func drainBudgets(configured []config.DisruptionBudget) []drain.Budget {
	var budgets []drain.Budget
	for _, b := range configured {
		scope := drain.Scope{
			Gateways: b.Cluster == "",
			Cluster:  b.Cluster,
			Site:     b.Site,
			Zone:     b.Zone,
			EachZone: b.Each == "zone",
			EachSite: b.Each == "site",
		}
		budgets = append(budgets, drain.Budget{Name: b.Name, Scope: scope, Max: b.Max, Fraction: b.Fraction})
	}
	return budgets
}

// releaseGateway returns a gateway's state for releases, as part of an observation. A nil report means that the gateway has not
// answered.
func releaseGateway(gateway drain.Gateway, report *Report) release.Gateway {
	state := release.Gateway{Name: gateway.Name, Site: gateway.Site, Zone: gateway.Zone, Incarnation: gateway.Incarnation}
	if report == nil {
		return state
	}
	state.Responding = true
	state.Serving = report.Serving
	state.Config = report.Config
	state.ConfigRejected = report.ConfigRejected
	state.Version = report.RunningVersion
	state.AssignedVersion = report.AssignedVersion
	state.VersionRejected = report.VersionRejected
	state.Figures = report.Figures
	return state
}
