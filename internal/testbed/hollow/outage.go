package hollow

import (
	"context"
	"fmt"
	"time"

	"robindrum/internal/membership"
)

// Outage is the loss of many members at once, which return later.
type Outage struct {
	Name string
	// Fraction of all members that is killed, or that is on one side of a partition.
	Fraction  float64
	Partition bool
}

// Outages are those of a rack or a switch, of one of eight zones, and of the link between two regions.
var Outages = []Outage{
	{Name: "rack", Fraction: 1.0 / 60},
	{Name: "zone", Fraction: 1.0 / 8},
	{Name: "regions", Fraction: 1.0 / 2, Partition: true},
}

// OutageResult is the cost of an outage.
type OutageResult struct {
	Members int
	Lost    int
	// Detection is the spread until each running member takes those that it cannot reach for dead, Recovery until each knows all
	// again. Members that were killed return as new processes.
	Detection Spread
	Recovery  Spread
	// Bytes that a running member sends until then beyond its idle traffic, for each lost member.
	DetectionBytes float64
	RecoveryBytes  float64
	// Processor time of all until then.
	DetectionCPU time.Duration
	RecoveryCPU  time.Duration
}

// MeasureOutages starts the members and measures each outage in turn. It returns an error if the members do not recover from one.
func MeasureOutages(ctx context.Context, opt Options, outages []Outage) (rows []OutageResult, err error) {
	f, err := New(opt)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	n := opt.Members
	limit := 300 * f.opt.ProbeInterval
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	s, err := f.Settle(ctx, limit, 0)
	if err == nil && s.Unknown > 0 {
		err = fmt.Errorf("%d members do not come together: %v of %d pairs", n, s, n*n)
	}
	if err != nil {
		return nil, err
	}
	var idle MembersResult
	idle.Members = n
	for _, o := range outages {
		if err := f.measureIdle(ctx, &idle, 10); err != nil {
			return rows, err
		}
		r, err := f.measureOutage(ctx, o, idleRate(&idle, f.opt.ProbeInterval), limit)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", o.Name, err)
		}
		if rows = append(rows, r); r.Recovery.Unknown > 0 {
			return rows, fmt.Errorf("%s: not all are back: %v", o.Name, r.Recovery)
		}
	}
	return rows, nil
}

// measureOutage measures one outage. rate is the idle traffic of a member in bytes per second.
func (f *Fleet) measureOutage(ctx context.Context, outage Outage, rate float64, limit time.Duration) (OutageResult, error) {
	all := f.running()
	result := OutageResult{Members: len(all), Lost: max(int(float64(len(all))*outage.Fraction), 1)}
	measure := f.measureKill
	if outage.Partition {
		measure = f.measurePartition
	}
	err := measure(ctx, &result, rate, limit)
	result.DetectionBytes /= float64(result.Lost)
	result.RecoveryBytes /= float64(result.Lost)
	return result, err
}

// measurePartition partitions members from the others, and heals the partition.
func (f *Fleet) measurePartition(ctx context.Context, result *OutageResult, rate float64, limit time.Duration) error {
	all := f.running()
	side := f.partition(result.Lost)
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = m.Name
	}
	otherSideDead := func(one *Member, m membership.Member, known bool) bool {
		return known && (m.State == membership.Dead) == (side[one.Address] != side[m.Address])
	}
	var err error
	result.Detection, result.DetectionBytes, result.DetectionCPU, err = f.measureSpread(ctx, rate, limit, func() int {
		return f.countUnknown(names, otherSideDead)
	})
	if err != nil {
		return err
	}
	for _, m := range all {
		m.Node().SetPartition(nil)
	}
	result.Recovery, result.RecoveryBytes, result.RecoveryCPU, err = f.measureSpread(ctx, rate, limit, func() int {
		return f.CountUnknown(func(m membership.Member) bool { return m.State != membership.Dead })
	})
	return err
}

// measureKill kills members other than the first three, which are the seeds, and starts them again.
func (f *Fleet) measureKill(ctx context.Context, result *OutageResult, rate float64, limit time.Duration) error {
	all := f.running()
	lost := all[min(3, len(all)-1):min(3+result.Lost, len(all))]
	result.Lost = len(lost)
	names := make([]string, len(lost))
	for i, m := range lost {
		names[i] = m.Name
		f.kill(m)
	}
	f.goroutines.Wait()
	var err error
	result.Detection, result.DetectionBytes, result.DetectionCPU, err = f.measureSpread(ctx, rate, limit, func() int {
		return f.countUnknown(names, func(_ *Member, m membership.Member, known bool) bool { return isUnknownOrDead(m, known) })
	})
	if err != nil {
		return err
	}
	incarnations := map[string]uint64{}
	for _, m := range lost {
		if err := f.start(m, "c0"); err != nil {
			return err
		}
		incarnations[m.Name] = m.Members().Self().Incarnation
	}
	result.Recovery, result.RecoveryBytes, result.RecoveryCPU, err = f.measureSpread(ctx, rate, limit, func() int {
		return f.CountUnknown(func(m membership.Member) bool {
			return m.State != membership.Dead && m.Incarnation >= incarnations[m.Name]
		})
	})
	return err
}

// partition partitions some members from all others, and returns the addresses of that side. Where possible it takes every second
// member, so that both sides have seeds.
func (f *Fleet) partition(some int) map[string]bool {
	all := f.running()
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

// measureSpread waits until unknown returns 0, and returns what a member sent until then beyond its idle traffic and the processor
// time of all.
func (f *Fleet) measureSpread(ctx context.Context, rate float64, limit time.Duration, lacking func() int) (s Spread, bytes float64, used time.Duration, err error) {
	before, cpu0, began := f.Traffic(), cpu(), time.Now()
	s, err = f.awaitNone(ctx, limit, lacking)
	n := float64(len(f.running()))
	return s, float64(f.Traffic().Minus(before).Sent())/n - rate*time.Since(began).Seconds(), cpu() - cpu0, err
}
