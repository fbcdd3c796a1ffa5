package demo

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"robindrum/internal/gateway"
)

// display is the state of the table that is drawn on a terminal.
type display struct {
	events []string
	lines  int // of the table that was drawn last
}

// printEvent prints an event with the time since the start.
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
	fmt.Fprintf(&b, "%5.1f s  sent %d, served %d, rejected %d, failed %d, lost %d | new requests by server:", time.Since(r.began).Seconds(),
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

// redraw draws the table in place of the previous one.
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
	fmt.Fprintf(&b, "sent %d  served %d  rejected %d  failed %d  lost %d\n\n", c.sent.Load(), c.served.Load(), c.rejected.Load(),
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

// endpointStates returns for each endpoint address why the endpoint is not in use, or "in use".
func endpointStates(status gateway.Status) map[string]string {
	states := map[string]string{}
	for _, cluster := range status.Clusters {
		for _, endpoint := range cluster.Endpoints {
			states[endpoint.Address] = cmp.Or(endpoint.ExcludedReason, "in use")
		}
	}
	return states
}

// describeZones returns a description of the states of the zones, or "" if there are none.
func describeZones(status gateway.Status) string {
	var text strings.Builder
	for _, cluster := range status.Clusters {
		for _, zone := range cluster.Zones {
			fmt.Fprintf(&text, " | %s %s, share %.2f, %d in flight", zone.Zone, zone.State, zone.Share, zone.InFlight)
		}
	}
	return text.String()
}

// describeAdmission returns a description of the admission control in the overload scene, or "" in other scenes.
func (r *run) describeAdmission(status gateway.Status) string {
	if r.options.Scene != overloadScene {
		return ""
	}
	var text strings.Builder
	for _, cluster := range status.Clusters {
		admission := cluster.Admission
		fmt.Fprintf(&text, " | limit %d, %d in flight, %d waiting", admission.Limit, admission.InFlight, admission.Waiting)
	}
	return text.String()
}
