package fleet

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Print writes a result as a table.
func (r Result) Print(out io.Writer) {
	for _, p := range r.Phases {
		fmt.Fprintf(out, "  %v to %v: %d sends, %d crossed; worst cold server %.2f of its warm-up capacity, %d fell over; worst server %.2f of its capacity\n",
			p.From, p.To, p.Attempts, p.CrossZone, p.MaxColdLoad, p.Overloads, p.MaxLoad)
		for _, name := range slices.Sorted(maps.Keys(p.Classes)) {
			c := p.Classes[name]
			n := float64(max(c.Requests, 1)) / 100
			fmt.Fprintf(out, "    %-10s %6d asked: %5.1f%% in time, %5.1f%% late, %5.1f%% refused, %5.1f%% failed; %.1f%% given up late; at home %.1f%% in time\n", name, c.Requests,
				float64(c.InTime)/n, float64(c.Late)/n, float64(c.Rejected)/n, float64(c.Failed)/n, float64(c.FailedLate)/n,
				100*float64(c.LocalInTime)/float64(max(c.Local, 1)))
		}
	}
	fmt.Fprintf(out, "  effects taken twice %d, requests lost %d\n", r.DuplicateEffects, r.Lost)
}
