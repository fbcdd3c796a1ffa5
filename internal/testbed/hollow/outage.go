package hollow

import (
	"context"
	"fmt"
	"time"

	"robindrum/internal/membership"
)

// Outage is the loss of many members at once and their later return.
type Outage struct {
	Name string
	// Fraction of all members that are killed, or that are on one side of the partition.
	Fraction  float64
	Partition bool
}

// Outages are the outages of a rack or a switch, of one zone of eight, and of the link between two regions.
var Outages = []Outage{
	{Name: "rack", Fraction: 1.0 / 60},
	{Name: "zone", Fraction: 1.0 / 8},
	{Name: "regions", Fraction: 1.0 / 2, Partition: true},
}

// OutageResult is the cost of an Outage.
type OutageResult struct {
	Members int
	Lost    int
	// Detection is the time until each running member has recorded all members that it cannot reach as dead. Recovery is the time after the
	// return of the lost members until all members know each other again. Killed members return as new processes.
	Detection Spread
	Recovery  Spread
	// Bytes that a running member sends during detection and recovery for each lost member, beyond its idle traffic.
	DetectionBytes float64
	RecoveryBytes  float64
	// Processor time that this process used during detection and recovery.
	DetectionCPU time.Duration
	RecoveryCPU  time.Duration
}

// MeasureOutages starts the members and measures the outages one after the other. It returns an error, with the results so far, if the
// members do not recover from an outage.
func MeasureOutages(ctx context.Context, opt Options, outages []Outage) (results []OutageResult, err error) {
	f, err := New(opt)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	memberCount := opt.Members
	limit := 300 * f.opt.ProbeInterval
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	spread, err := f.Settle(ctx, limit, 0)
	if err == nil && spread.Unknown > 0 {
		err = fmt.Errorf("%d members did not all join: %v of %d pairs", memberCount, spread, memberCount*memberCount)
	}
	if err != nil {
		return nil, err
	}
	var idle MembersResult
	idle.Members = memberCount
	for _, outage := range outages {
		if err := f.measureIdle(ctx, &idle, 10); err != nil {
			return results, err
		}
		result, err := f.measureOutage(ctx, outage, idleRate(&idle, f.opt.ProbeInterval), limit)
		if err != nil {
			return results, fmt.Errorf("%s: %w", outage.Name, err)
		}
		if results = append(results, result); result.Recovery.Unknown > 0 {
			return results, fmt.Errorf("%s: members did not recover: %v", outage.Name, result.Recovery)
		}
	}
	return results, nil
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

// measurePartition measures a partition of result.Lost members from the others, and its end.
func (f *Fleet) measurePartition(ctx context.Context, result *OutageResult, rate float64, limit time.Duration) error {
	all := f.running()
	side := f.partition(result.Lost)
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = m.Name
	}
	otherSideDead := func(observer *Member, m membership.Member, known bool) bool {
		return known && (m.State == membership.Dead) == (side[observer.Address] != side[m.Address])
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

// measureKill measures the kill and the restart of result.Lost members. It does not kill the first three members, which are the seeds.
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

// partition partitions count members from all others, and returns the addresses of these members. It takes every second member if there
// are enough of them, so that both sides have seeds.
func (f *Fleet) partition(count int) map[string]bool {
	all := f.running()
	side := map[string]bool{}
	for _, from := range []int{1, 0} {
		for i := from; i < len(all) && len(side) < count; i += 2 {
			side[all[i].Address] = true
		}
	}
	for _, m := range all {
		onSide := side[m.Address]
		m.Node().SetPartition(func(addr string) bool { return side[addr] != onSide })
	}
	return side
}

// measureSpread waits until unknown returns 0 or limit has passed. It returns what a member sent in that time beyond its idle traffic, and
// the processor time that this process used.
func (f *Fleet) measureSpread(ctx context.Context, rate float64, limit time.Duration, unknown func() int) (spread Spread, bytes float64, cpuTime time.Duration, err error) {
	before, cpuBefore, began := f.Traffic(), cpu(), time.Now()
	spread, err = f.awaitNone(ctx, limit, unknown)
	memberCount := float64(len(f.running()))
	return spread, float64(f.Traffic().Minus(before).Sent())/memberCount - rate*time.Since(began).Seconds(), cpu() - cpuBefore, err
}
