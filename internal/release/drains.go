package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"robindrum/internal/drain"
)

// drainIDPrefix begins the IDs of the drain requests that RequestDrains submits. A number and the gateway's name follow it.
const drainIDPrefix = "program/"

// rejectionBackoff is how long a rejected drain request is not submitted again.
const rejectionBackoff = time.Minute

// RequestDrains submits and cancels drain requests so that each gateway restarts as its desired version, forward and on a rollback. A
// gateway is drained once it has been assigned the version and accepts it. The fleet's budgets apply, until the gateway has been
// observed in service again. While a program release is halted its drains are cancelled.
//
// It is called after each change of either ledger.
func (l *Ledger) RequestDrains(now time.Duration, drains *drain.Ledger) {
	open := openDrains(drains)
	rejections := l.recentRejections(now, drains)
	plan := l.versionPlan()
	halted := l.Current != nil && l.Current.OfProgram && l.Current.State == Halted
	for _, name := range slices.Sorted(maps.Keys(l.Gateways)) {
		gateway := l.Gateways[name]
		version := l.DesiredVersion(name)
		restarts := !halted && gateway.canRestartAs(version)
		request := open[name]
		switch {
		case request != nil:
			obsolete := gateway.Responding && (!restarts || request.Restart != version)
			if halted || obsolete {
				_, _ = drains.Cancel(now, request.ID) // it exists, so there is no error
			}
		case !restarts || !gateway.Responding:
		case rejections[name] != "":
			if l.Current != nil && l.Current.State == Running {
				l.failGate(name + " cannot be taken out: " + rejections[name])
				return
			}
		default:
			l.DrainsRequested++
			_, _ = drains.Submit(now, l.drainRequest(name, version, &plan)) // a failure is tried again at the next call
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

// canRestartAs reports whether a gateway runs another version under a supervisor, was assigned this one and does not reject it.
func (g *Gateway) canRestartAs(version string) bool {
	differs := version != "" && g.Version != "" && version != g.Version
	accepted := g.AssignedVersion == version && g.VersionRejected == ""
	return differs && accepted
}

// openDrains returns the drain requests for restarts that are in progress, by gateway.
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

// recentRejections returns why drain requests for restarts as the desired versions were rejected recently, by gateway.
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

// versionPlan returns the plan of the program release in progress, or else of the last one.
func (l *Ledger) versionPlan() Plan {
	var plan Plan
	for i := range l.Ended {
		if l.Ended[i].OfProgram {
			plan = l.Ended[i].Plan
		}
	}
	if l.Current != nil && l.Current.OfProgram {
		plan = l.Current.Plan
	}
	plan.setDefaults()
	return plan
}
