package hollow

import (
	"context"
	"fmt"
	"time"

	"robindrum/internal/membership"
)

// Outage is that many members are lost at once, and are back later.
type Outage struct {
	Name string
	// Part of all members: of those that are killed, or of one side of two that are kept from each other.
	Part  float64
	Apart bool
}

// Outages of the users' year: a rack or a switch, one zone of eight, and two regions that lose each other.
var Outages = []Outage{{Name: "rack", Part: 1.0 / 60}, {Name: "zone", Part: 1.0 / 8}, {Name: "regions", Part: 1.0 / 2, Apart: true}}

// OutageRow is what one comes to.
type OutageRow struct {
	Members, Lost int
	// Until each that runs takes those that it cannot reach for dead, and until each knows all again behind their return. Those that were
	// killed return as new processes.
	Dead, Back Spread
	// Until then, of a member that runs, beyond what it sends idle, for each that was lost or came back.
	DeadBytes, BackBytes float64
	// Until then, of the whole.
	DeadCPU, BackCPU time.Duration
}

// MeasureOutages has the members come together and lose some, for each outage in turn.
func MeasureOutages(ctx context.Context, opt Options, outages []Outage) (rows []OutageRow, err error) {
	f, err := New(opt)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	n := opt.Members
	limit := 300 * f.opt.Probe
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	s, err := f.Settle(ctx, limit, 0)
	if err == nil && s.Lacking > 0 {
		err = fmt.Errorf("%d members do not come together: %v of %d pairs", n, s, n*n)
	}
	if err != nil {
		return nil, err
	}
	var idle MembersRow
	idle.Members = n
	for _, o := range outages {
		if err := f.idle(ctx, &idle, 10); err != nil {
			return rows, err
		}
		r, err := f.outage(ctx, o, idleRate(&idle, f.opt.Probe), limit)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", o.Name, err)
		}
		if rows = append(rows, r); r.Back.Lacking > 0 {
			return rows, fmt.Errorf("%s: not all are back: %v", o.Name, r.Back)
		}
	}
	return rows, nil
}

func (f *Fleet) outage(ctx context.Context, o Outage, rate float64, limit time.Duration) (r OutageRow, err error) {
	all := f.up()
	r.Members, r.Lost = len(all), max(int(float64(len(all))*o.Part), 1)
	if o.Apart {
		side := f.part(r.Lost)
		names := make([]string, len(all))
		for i, m := range all {
			names[i] = m.Name
		}
		apart := func(one *Member, m membership.Member, known bool) bool {
			return known && (m.State == membership.Dead) == (side[one.Address] != side[m.Address])
		}
		if r.Dead, r.DeadBytes, r.DeadCPU, err = f.until(ctx, rate, limit, func() int { return f.lacking(names, apart) }); err != nil {
			return r, err
		}
		for _, m := range all {
			m.Node().SetPartition(nil)
		}
		r.Back, r.BackBytes, r.BackCPU, err = f.until(ctx, rate, limit, func() int { return f.Lacking(func(m membership.Member) bool { return m.State != membership.Dead }) })
	} else {
		// Not the first three, as others join by them.
		lost := all[min(3, len(all)-1):min(3+r.Lost, len(all))]
		r.Lost = len(lost)
		names := make([]string, len(lost))
		for i, m := range lost {
			names[i] = m.Name
			f.kill(m)
		}
		f.work.Wait()
		if r.Dead, r.DeadBytes, r.DeadCPU, err = f.until(ctx, rate, limit, func() int {
			return f.lacking(names, func(_ *Member, m membership.Member, known bool) bool { return !known || m.State == membership.Dead })
		}); err != nil {
			return r, err
		}
		births := map[string]uint64{}
		for _, m := range lost {
			if err := f.start(m, "c0"); err != nil {
				return r, err
			}
			births[m.Name] = m.Members().Self().Incarnation
		}
		r.Back, r.BackBytes, r.BackCPU, err = f.until(ctx, rate, limit, func() int {
			return f.Lacking(func(m membership.Member) bool { return m.State != membership.Dead && m.Incarnation >= births[m.Name] })
		})
	}
	r.DeadBytes, r.BackBytes = r.DeadBytes/float64(r.Lost), r.BackBytes/float64(r.Lost)
	return r, err
}

// part keeps so many members, and all others, from each other, and gives who is on that side by address. They are every other one as far
// as that goes, so that both sides have seeds.
func (f *Fleet) part(some int) map[string]bool {
	all := f.up()
	side := map[string]bool{}
	for _, from := range []int{1, 0} {
		for i := from; i < len(all) && len(side) < some; i += 2 {
			side[all[i].Address] = true
		}
	}
	for _, m := range all {
		here := side[m.Address]
		m.Node().SetPartition(func(addr string) bool { return side[addr] != here })
	}
	return side
}

// until waits until nothing lacks, and gives what a member sent beyond its idle rate and what the whole spent until then.
func (f *Fleet) until(ctx context.Context, rate float64, limit time.Duration, lacking func() int) (s Spread, bytes float64, used time.Duration, err error) {
	before, cpu0, began := f.Traffic(), cpu(), time.Now()
	s, err = f.all(ctx, limit, lacking)
	n := float64(len(f.up()))
	return s, float64(f.Traffic().Minus(before).Sent())/n - rate*time.Since(began).Seconds(), cpu() - cpu0, err
}
