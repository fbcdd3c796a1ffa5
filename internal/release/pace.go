package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"robindrum/internal/drain"
)

// restarts begins the ids of the orders that Pace asks for.
const restarts = "program/"

// refusedFor is how long an order that was refused is not asked for again.
const refusedFor = time.Minute

// RequestDrains has orders follow what versions gateways are to run as: each that is to start anew is drained for it, within the budgets that
// all drains keep, once it has been told and does not refuse, on the way forward and on the way back, and its slot is held until it has been seen in service again. Halted, what
// has not left yet stays: it comes back first.
func (b *Ledger) RequestDrains(now time.Duration, orders *drain.Ledger) {
	open := map[string]*drain.Request{}
	for id, o := range orders.Requests {
		if name, ok := strings.CutPrefix(id, restarts); ok && o.State != drain.Ended && o.State != drain.Rejected && o.State != drain.Cancelled {
			open[name[strings.IndexByte(name, '/')+1:]] = o
		}
	}
	refused := map[string]string{} // by gateway, of late: why
	for id, o := range orders.Requests {
		if strings.HasPrefix(id, restarts) && o.State == drain.Rejected && o.Restart == b.DesiredVersion(o.Target.Gateway) && now-o.StateSince < refusedFor {
			refused[o.Target.Gateway] = o.StateReason
		}
	}
	r := b.Current
	halted := r != nil && r.Plan.OfProgram && r.State == Halted
	var plan Plan
	for i := range b.Ended {
		if b.Ended[i].Plan.OfProgram {
			plan = b.Ended[i].Plan
		}
	}
	if r != nil && r.Plan.OfProgram {
		plan = r.Plan
	}
	plan.fill()
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		g := b.Gateways[name]
		want := b.DesiredVersion(name)
		moves := want != "" && want != g.Version && g.Version != "" && g.AssignedVersion == want && g.VersionRejected == "" && !halted
		o := open[name]
		switch {
		case o != nil && (halted || g.Responding && (!moves || o.Restart != want)):
			_, _ = orders.Cancel(now, o.ID) // it is there: it was found there
		case o == nil && moves && g.Responding && refused[name] != "": // what no budget allows is not asked for with each round
			if r != nil && r.State == Running {
				b.fail(name + " cannot be taken out: " + refused[name])
				return
			}
		case o == nil && moves && g.Responding:
			b.DrainsRequested++
			_, _ = orders.Submit(now, drain.Request{ID: fmt.Sprintf("%s%d/%s", restarts, b.DrainsRequested, name), Target: drain.Target{Gateway: name}, Owner: "release " + plan.ID,
				Reason: "to start as " + want, Grace: plan.Grace, Notice: plan.Notice, Restart: want})
		}
	}
}
