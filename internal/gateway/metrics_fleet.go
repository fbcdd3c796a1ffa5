package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/leaderelection"
	"robindrum/internal/membership"
	"robindrum/internal/release"
)

// fleetMetrics are the metrics of the fleet as seen by this process.
type fleetMetrics struct {
	members          metric
	nameConflicts    metric
	quorumContactAge metric
	sentBytes        metric
	voter            metric
	leading          metric
	timesLed         metric
	timesOverdue     metric
	budget           metric
	drains           metric
	drainsHalted     metric
	release          metric
}

func newFleetMetrics(d *descriptions) fleetMetrics {
	return fleetMetrics{
		members:          d.gauge("fleet_members", "Members of the fleet by state, as this process sees them.", "state"),
		nameConflicts:    d.counter("fleet_name_conflicts_total", "Claims of a member's name by another address."),
		quorumContactAge: d.gauge("fleet_quorum_contact_age_seconds", "Since the leader last answered this process; negative: never."),
		sentBytes:        d.counter("fleet_sent_bytes_total", "Bytes of calls and packets to other members."),
		voter:            d.gauge("fleet_voter", "1 for the state that this voter is in.", "state"),
		leading:          d.gauge("fleet_duty_held", "1 where this process holds the duty.", "duty"),
		timesLed:         d.counter("fleet_duty_grants_total", "How often this process was granted the duty.", "duty"),
		timesOverdue:     d.counter("fleet_duty_overdue_total", "How often the duty did not end before its lease.", "duty"),
		budget:           d.gauge("fleet_budget", "How the budgets of drains stand, by this voter's book: what may be out, and what is.", "budget", "scope", "what"),
		drains:           d.gauge("fleet_orders", "Orders by state, by this voter's book.", "state"),
		drainsHalted:     d.gauge("fleet_orders_halted", "1 where nothing new is taken out, by this voter's book."),
		release:          d.gauge("fleet_release", "1 for the state of the release under way, by this voter's book.", "state"),
	}
}

func (m *fleetMetrics) collect(ch chan<- prometheus.Metric, status *fleet.Status) {
	m.collectMembers(ch, status)
	m.nameConflicts.send(ch, float64(status.Conflicts))
	m.quorumContactAge.send(ch, status.Contact.Age.Seconds())
	m.sentBytes.send(ch, float64(status.SentBytes))
	if status.Vote != nil {
		for _, state := range []string{"waiting", "follower", "candidate", "leader", "stopped"} {
			m.voter.sendBool(ch, status.Vote.State == state, state)
		}
	}
	m.collectLedger(ch, status)
	for i := range status.Tasks {
		task := &status.Tasks[i]
		m.leading.sendBool(ch, task.State == leaderelection.Leading, task.Name)
		m.timesLed.send(ch, float64(task.TimesLed), task.Name)
		m.timesOverdue.send(ch, float64(task.TimesOverdue), task.Name)
	}
}

// collectMembers sends the number of members by state. It sends 0 for the usual states that no member is in.
func (m *fleetMetrics) collectMembers(ch chan<- prometheus.Metric, status *fleet.Status) {
	counts := map[membership.State]int{
		membership.Joining:  0,
		membership.Serving:  0,
		membership.Draining: 0,
		membership.Leaving:  0,
		membership.Witness:  0,
		membership.Suspect:  0,
		membership.Dead:     0,
	}
	for _, member := range status.Members {
		counts[member.State]++
	}
	for state, count := range counts {
		m.members.send(ch, float64(count), string(state))
	}
}

// collectLedger sends the state of drain requests, releases and disruption budgets in a voter's ledger. A process that is
// not a voter has none.
func (m *fleetMetrics) collectLedger(ch chan<- prometheus.Metric, status *fleet.Status) {
	ledger := status.Ledger
	if ledger == nil {
		return
	}
	for _, state := range []drain.State{drain.Pending, drain.Granted, drain.Draining, drain.Drained, drain.Overdue, drain.Cancelled} {
		m.drains.send(ch, float64(ledger.Drains[state]), string(state))
	}
	m.drainsHalted.sendBool(ch, ledger.Halted)
	for _, state := range []release.State{release.Running, release.Halted, release.RollingBack} {
		m.release.sendBool(ch, ledger.Release == state, string(state))
	}
	for _, budget := range ledger.Budgets {
		m.budget.send(ch, float64(budget.Allowed), budget.Name, budget.Scope, "may be out")
		m.budget.send(ch, float64(len(budget.Unavailable)), budget.Name, budget.Scope, "out")
	}
}
