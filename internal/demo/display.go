package demo

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"robindrum/internal/gateway"
)

// display is the state of the table on a terminal.
type display struct {
	events []string
	lines  int // of the table that was drawn last
}

// printEvent prints what happened, with the time.
func (r *run) printEvent(text string) {
	line := fmt.Sprintf("%5.1f s  %s", time.Since(r.began).Seconds(), text)
	if r.options.Redraw {
		r.display.events = append(r.display.events, line)
		r.show()
		return
	}
	fmt.Fprintln(r.options.Out, line)
}

// show prints the progress: a table on a terminal, a line elsewhere.
func (r *run) show() {
	status := r.gateway.Status(0)
	if r.options.Redraw {
		r.redraw(status)
		return
	}
	r.printLine(status)
}

func (r *run) printLine(status gateway.Status) {
	var b strings.Builder
	c := &r.counts
	fmt.Fprintf(&b, "%5.1f s  sent %d, served %d, refused %d, failed %d, lost %d | a second by server:", time.Since(r.began).Seconds(),
		c.sent.Load(), c.served.Load(), c.rejected.Load(), c.failed.Load(), c.lost.Load())
	for _, s := range r.servers {
		requests := s.Requests()
		fmt.Fprintf(&b, " %d", requests-s.reported)
		s.reported = requests
	}
	b.WriteString(describeZones(status))
	b.WriteString(r.describeAdmission(status))
	fmt.Fprintln(r.options.Out, b.String())
}

// redraw draws the table over the one before.
func (r *run) redraw(status gateway.Status) {
	erase := ""
	if r.display.lines > 0 {
		erase = fmt.Sprintf("\x1b[%dA\x1b[J", r.display.lines)
	}
	table := r.table(status)
	r.display.lines = strings.Count(table, "\n")
	fmt.Fprint(r.options.Out, erase, table)
}

func (r *run) table(status gateway.Status) string {
	states := endpointStates(status)
	var b strings.Builder
	c := &r.counts
	fmt.Fprintf(&b, "sent %d  served %d  refused %d  failed %d  lost %d\n\n", c.sent.Load(), c.served.Load(), c.rejected.Load(),
		c.failed.Load(), c.lost.Load())
	fmt.Fprintf(&b, "%-12s %-22s %9s %9s  %s\n", "SERVER", "ADDRESS", "REQUESTS", "IN FLIGHT", "ON THE LIST")
	for _, s := range r.servers {
		inFlight, _ := s.InFlight()
		fmt.Fprintf(&b, "%-12s %-22s %9d %9d  %s\n", s.name, s.Addr, s.Requests(), inFlight, cmp.Or(states[s.Addr], "not listed"))
	}
	fmt.Fprintf(&b, "%s\n", strings.TrimPrefix(describeZones(status)+r.describeAdmission(status), " |"))
	for _, event := range r.display.events {
		fmt.Fprintln(&b, event)
	}
	return b.String()
}

// endpointStates returns why endpoints are not in use, by address.
func endpointStates(status gateway.Status) map[string]string {
	states := map[string]string{}
	for _, c := range status.Clusters {
		for _, e := range c.Endpoints {
			states[e.Address] = cmp.Or(e.ExcludedReason, "in use")
		}
	}
	return states
}

// describeZones describes the states of the zones; empty if there are none.
func describeZones(status gateway.Status) string {
	var b strings.Builder
	for _, c := range status.Clusters {
		for _, z := range c.Zones {
			fmt.Fprintf(&b, " | %s %s, share %.2f, %d in flight", z.Zone, z.State, z.Share, z.InFlight)
		}
	}
	return b.String()
}

// describeAdmission describes the admission control in the scene of an overload; empty in the others.
func (r *run) describeAdmission(status gateway.Status) string {
	if r.options.Scene != overloadScene {
		return ""
	}
	var b strings.Builder
	for _, c := range status.Clusters {
		a := c.Admission
		fmt.Fprintf(&b, " | limit %d, %d in flight, %d waiting", a.Limit, a.InFlight, a.Waiting)
	}
	return b.String()
}
