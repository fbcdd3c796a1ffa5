package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"robindrum/internal/drain"
)

// drainIDPrefix is the prefix of the IDs of the drain requests that RequestDrains submits. A sequence number, a slash and the gateway's
// name follow it.
const drainIDPrefix = "program/"

// rejectionBackoff is how long RequestDrains waits after the rejection of a drain request before it submits another one for the gateway.
const rejectionBackoff = time.Minute

// RequestDrains submits and cancels drain requests so that each gateway restarts as its desired version, both during a release and during
// its rollback. A gateway is drained once it was assigned the version and did not reject it. The fleet's disruption budgets apply, and
// count the gateway as unavailable until it has been observed in service again. While a program release is halted, its drain requests are
// cancelled.
//
// RequestDrains must be called after each change of either ledger.
func (l *Ledger) RequestDrains(now time.Duration, drains *drain.Ledger) {
	open := openDrains(drains)
	rejections := l.recentRejections(now, drains)
	plan := l.versionPlan()
	halted := l.Current != nil && l.Current.IsVersionRelease && l.Current.State == Halted
	for _, name := range slices.Sorted(maps.Keys(l.Gateways)) {
		gateway := l.Gateways[name]
		version := l.DesiredVersion(name)
		restarts := !halted && gateway.canRestartAs(version)
		request := open[name]
		switch {
		case request != nil:
			obsolete := gateway.Responding && (!restarts || request.Restart != version)
			if halted || obsolete {
				_, _ = drains.Cancel(now, request.ID) // the request exists, so Cancel cannot fail
			}
		case !restarts || !gateway.Responding:
		case rejections[name] != "":
			if l.Current != nil && l.Current.State == Running {
				l.failGate(name + " cannot be taken out: " + rejections[name])
				return
			}
		default:
			l.DrainsRequested++
			_, _ = drains.Submit(now, l.drainRequest(name, version, &plan)) // a failed request is retried at the next call
		}
	}
}

func (l *Ledger) drainRequest(name, version string, plan *Plan) drain.Request {
	return drain.Request{
		ID:      fmt.Sprintf("%s%d/%s", drainIDPrefix, l.DrainsRequested, name),
		Target:  drain.Target{Gateway: name},
		Owner:   "release " + plan.ID,
		Reason:  "to start as " + version,
		Grace:   plan.Grace,
		Notice:  plan.Notice,
		Restart: version,
	}
}

// canRestartAs reports whether the gateway runs a different version under a supervisor, was assigned the given version and does not
// reject it.
func (g *Gateway) canRestartAs(version string) bool {
	differs := version != "" && g.Version != "" && version != g.Version
	accepted := g.AssignedVersion == version && g.VersionRejected == ""
	return differs && accepted
}

// openDrains returns the drain requests submitted by RequestDrains that have not ended, by gateway.
func openDrains(drains *drain.Ledger) map[string]*drain.Request {
	open := map[string]*drain.Request{}
	for id, request := range drains.Requests {
		numberAndName, isRestart := strings.CutPrefix(id, drainIDPrefix)
		if !isRestart {
			continue
		}
		switch request.State {
		case drain.Ended, drain.Rejected, drain.Cancelled:
			continue
		}
		name := numberAndName[strings.IndexByte(numberAndName, '/')+1:]
		open[name] = request
	}
	return open
}

// recentRejections returns, by gateway, why drain requests for the desired versions were rejected within the last rejectionBackoff.
func (l *Ledger) recentRejections(now time.Duration, drains *drain.Ledger) map[string]string {
	rejections := map[string]string{}
	for id, request := range drains.Requests {
		if !strings.HasPrefix(id, drainIDPrefix) || request.State != drain.Rejected {
			continue
		}
		name := request.Target.Gateway
		isDesired := request.Restart == l.DesiredVersion(name)
		if isDesired && now-request.StateSince < rejectionBackoff {
			rejections[name] = request.StateReason
		}
	}
	return rejections
}

// versionPlan returns the plan of the program release in progress, or of the last one that has ended if none is in progress.
func (l *Ledger) versionPlan() Plan {
	var plan Plan
	for i := range l.Ended {
		if l.Ended[i].IsVersionRelease {
			plan = l.Ended[i].Plan
		}
	}
	if l.Current != nil && l.Current.IsVersionRelease {
		plan = l.Current.Plan
	}
	plan.setDefaults()
	return plan
}
