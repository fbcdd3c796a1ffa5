package hollow

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"robindrum/internal/membership"
)

// MembersResult is the cost of membership at one fleet size. Rates are per probe interval, because all timers of membership are
// derived from the probe interval.
type MembersResult struct {
	Members int
	// Join is the time from the first start until all members know each other. JoinCPU is the processor time that this process used for
	// it.
	Join    Spread
	JoinCPU time.Duration
	// Dropped counts messages that were dropped during the join because a member's queue was full.
	Dropped int64
	// Idle cost of a member per probe interval: packets, bytes of packets, streams that the member opens (full exchanges and probes over
	// TCP), and processor time.
	Packets     float64
	PacketBytes float64
	Exchanges   float64
	CPU         time.Duration
	// ExchangeBytes is the bytes of one full exchange, in both directions.
	ExchangeBytes float64
	// Windows is the number of idle windows measured, the last of which was the first without a suspicion; 0 if none was.
	Windows int
	// Heap is the live heap per member, in bytes.
	Heap float64
	// Time until all members know that one member changed its state, joined, left and died.
	StateChange Spread
	JoinOne     Spread
	Leave       Spread
	Death       Spread
	// LeaveSeenAsDeath counts members that recorded the leaving member as dead.
	LeaveSeenAsDeath int
	// Rollout is the spread of a new configuration that all members announce at once. RolloutBytes is what a member sends for each
	// member's update, beyond its idle traffic. RolloutCPU is the processor time that this process used for it.
	Rollout      Spread
	RolloutBytes float64
	RolloutCPU   time.Duration
	// Rollouts is the number of rollouts measured, the last of which was the first without a suspicion; 0 if none was.
	Rollouts int
	// Restart is the spread when a fifth of the members is killed and restarted at once. RestartBytes is what a member sends for each
	// restarted member, beyond its idle traffic. Both are zero without MembersOptions.Restart.
	Restart      Spread
	RestartBytes float64
}

// exchangeProbes is the number of probe intervals between two full exchanges of a member in a fleet of up to 32 members.
const exchangeProbes = 30

// ExchangeEvery returns the number of probe intervals between two full exchanges that a member begins: 30 up to 32 members, and 30 more
// with each doubling, like pushPullScale of hashicorp/memberlist.
func ExchangeEvery(members float64) float64 {
	if members <= 32 {
		return exchangeProbes
	}
	return exchangeProbes * (math.Ceil(math.Log2(members)-5) + 1)
}

// MembersOptions configures MeasureMembers.
type MembersOptions struct {
	Options
	Window  int  // length of the idle window in probe intervals; default: 20
	Restart bool // also measure the restart of a fifth of the members
}

// MeasureMembers measures the cost of membership at the fleet size options.Members.
func MeasureMembers(ctx context.Context, options MembersOptions) (MembersResult, error) {
	result := MembersResult{Members: options.Members}
	heapBefore := heap()
	cpuBefore := cpu()
	f, err := New(options.Options)
	if err != nil {
		return result, err
	}
	defer f.Close()
	if err := f.measureJoin(ctx, &result, cpuBefore); err != nil {
		return result, err
	}
	if err := f.measureIdle(ctx, &result, options.Window); err != nil {
		return result, err
	}
	result.Heap = float64(heap()-heapBefore) / float64(options.Members)
	rate := idleRate(&result, f.opt.ProbeInterval)
	if err := f.measureSingleChanges(ctx, &result); err != nil {
		return result, err
	}
	if err := f.measureRollout(ctx, &result, rate); err != nil {
		return result, err
	}
	if options.Restart {
		err = f.measureRestart(ctx, &result, rate)
	}
	return result, err
}

// spreadTimeout bounds the wait for a spread. It is long because members that missed all gossip learn of a change only in a full
// exchange, and full exchanges are rare.
func (f *Fleet) spreadTimeout() time.Duration { return 300 * f.opt.ProbeInterval }

// measureJoin starts all members and waits until they know each other. cpuBefore is the processor time used before the fleet was
// created.
func (f *Fleet) measureJoin(ctx context.Context, result *MembersResult, cpuBefore time.Duration) error {
	began := time.Now()
	if err := f.Start(ctx); err != nil {
		return err
	}
	var err error
	if result.Join, err = f.Settle(ctx, f.spreadTimeout(), 0); err != nil {
		return err
	}
	result.Join.Took = time.Since(began)
	result.JoinCPU = cpu() - cpuBefore
	result.Dropped = f.Dropped()
	pairs := result.Members * result.Members
	if result.Join.Unknown > pairs/100 {
		traffic := f.Traffic()
		return fmt.Errorf("%d members did not all join: %v of %d pairs; %d messages dropped, %d suspicions, %d packets sent, %d streams opened, %v processor time",
			result.Members, result.Join, pairs, result.Dropped, f.Suspicions(), traffic.Packets, traffic.Streams, result.JoinCPU.Round(time.Second))
	}
	return nil
}

// measureSingleChanges measures the spread of one member's change of state, join, leave and death.
func (f *Fleet) measureSingleChanges(ctx context.Context, result *MembersResult) error {
	limit := f.spreadTimeout()
	member := f.members[result.Members/2]
	f.goroutines.Go(func() { member.Announce(membership.Draining, "c0") }) // Announce blocks until the change was sent
	var err error
	if result.StateChange, err = f.awaitKnown(ctx, limit, member.Name, isDraining); err != nil {
		return err
	}
	added, err := f.AddMember()
	if err != nil {
		return err
	}
	if result.JoinOne, err = f.awaitKnown(ctx, limit, added.Name, isKnown); err != nil {
		return err
	}
	f.goroutines.Go(func() { f.leave(added) })
	if result.Leave, err = f.awaitKnown(ctx, limit, added.Name, isUnknownOrDead); err != nil {
		return err
	}
	// Newer gossip about a member replaces older gossip about it, so a member may receive the death without the leave. It then records
	// the member that left as dead.
	for _, m := range f.running() {
		if _, known := m.Members().Lookup(added.Name); known {
			result.LeaveSeenAsDeath++
		}
	}
	f.kill(member)
	result.Death, err = f.awaitKnown(ctx, limit, member.Name, isUnknownOrDead)
	return err
}

func isDraining(m membership.Member, _ bool) bool { return m.State == membership.Draining }

func isKnown(_ membership.Member, known bool) bool { return known }

func isUnknownOrDead(m membership.Member, known bool) bool {
	return !known || m.State == membership.Dead
}

// idleRate returns the idle traffic of a member in bytes per second.
func idleRate(result *MembersResult, probeInterval time.Duration) float64 {
	return IdleTraffic(result.PacketBytes, result.ExchangeBytes, float64(result.Members)) / probeInterval.Seconds()
}

// measureIdle measures the idle cost of a member, and repeats the measurement until a window passes without a suspicion: a busy machine
// causes suspicions, and the gossip about them is not idle traffic.
func (f *Fleet) measureIdle(ctx context.Context, result *MembersResult, window int) error {
	if window == 0 {
		window = 20
	}
	memberCount := float64(len(f.running()))
	for try := range 10 {
		if err := sleep(ctx, 4*f.opt.ProbeInterval); err != nil { // let gossip about joins or from the previous window end
			return err
		}
		before, suspected, cpuBefore := f.Traffic(), f.Suspicions(), cpu()
		if err := sleep(ctx, time.Duration(window)*f.opt.ProbeInterval); err != nil {
			return err
		}
		traffic := f.Traffic().Minus(before)
		memberIntervals := memberCount * float64(window)
		result.Packets, result.PacketBytes, result.Exchanges = float64(traffic.Packets)/memberIntervals, float64(traffic.PacketBytes)/memberIntervals, float64(traffic.Streams)/memberIntervals
		result.CPU = time.Duration(float64(cpu()-cpuBefore) / memberIntervals)
		if f.Suspicions() == suspected {
			result.Windows = try + 1
			break
		}
	}
	return f.measureExchange(result)
}

// exchanger is implemented by memberships that can begin a full exchange on demand.
type exchanger interface {
	Exchange(address string) error
}

// measureExchange measures the bytes of a full exchange. It repeats the measurement until no member opened another stream during it.
func (f *Fleet) measureExchange(result *MembersResult) error {
	const exchanges = 4
	all := f.running()
	for range 20 {
		before := f.Traffic()
		for i := range exchanges {
			initiator, ok := all[i%len(all)].Members().(exchanger)
			if !ok {
				return errors.New("the membership does not support full exchanges on demand")
			}
			if err := initiator.Exchange(all[(i+1)%len(all)].Address); err != nil {
				return fmt.Errorf("full exchange: %w", err)
			}
		}
		if traffic := f.Traffic().Minus(before); traffic.Streams == exchanges {
			result.ExchangeBytes = float64(traffic.Out) / exchanges
			return nil
		}
	}
	return errors.New("other streams were opened during every measured full exchange")
}

// disseminate calls announce, and waits until unknown returns 0 and the packet traffic is below 1.3 times the idle rate. It returns what a
// member sent in that time beyond its idle traffic, and the processor time that this process used. rate is the idle traffic of a member
// in bytes per second.
func (f *Fleet) disseminate(ctx context.Context, rate float64, announce func(), unknown func() int) (spread Spread, bytes float64, cpuTime time.Duration, err error) {
	before, cpuBefore, began := f.Traffic(), cpu(), time.Now()
	announce()
	limit := 300 * f.opt.ProbeInterval
	if spread, err = f.awaitNone(ctx, limit, unknown); err != nil {
		return spread, 0, 0, err
	}
	spread.Took = time.Since(began)
	memberCount := float64(len(f.running()))
	for last := f.Traffic(); time.Since(began) < 2*limit; {
		if err := sleep(ctx, 2*f.opt.ProbeInterval); err != nil {
			return spread, 0, 0, err
		}
		traffic := f.Traffic()
		if float64(traffic.Minus(last).PacketBytes) < 1.3*rate*memberCount*(2*f.opt.ProbeInterval).Seconds() {
			break
		}
		last = traffic
	}
	sent := float64(f.Traffic().Minus(before).Sent()) - rate*memberCount*time.Since(began).Seconds()
	return spread, sent / memberCount, cpu() - cpuBefore, nil
}

// measureRollout measures a rollout, up to six times until there is no suspicion during it, because suspicions are gossiped too.
func (f *Fleet) measureRollout(ctx context.Context, result *MembersResult, rate float64) error {
	all := f.running()
	for try := range 6 {
		version, suspected := fmt.Sprint("c", 1+try), f.Suspicions()
		spread, bytes, cpuTime, err := f.disseminate(ctx, rate, func() {
			for _, m := range all {
				f.goroutines.Go(func() { m.Announce(membership.Serving, version) })
			}
		}, func() int { return f.CountUnknown(func(m membership.Member) bool { return m.Config == version }) })
		if err != nil {
			return err
		}
		result.Rollout, result.RolloutBytes, result.RolloutCPU = spread, bytes/float64(len(all)), cpuTime
		if f.Suspicions() == suspected {
			result.Rollouts = try + 1
			return nil
		}
	}
	return nil
}

func (f *Fleet) measureRestart(ctx context.Context, result *MembersResult, rate float64) error {
	incarnations := map[string]uint64{}
	all := f.running()
	restarted := all[3 : 3+max(len(all)/5, 1)]
	var startErr error
	spread, bytes, _, err := f.disseminate(ctx, rate, func() {
		for _, m := range restarted {
			f.kill(m)
		}
		f.goroutines.Wait()
		for _, m := range restarted {
			if startErr = f.start(m, "c1"); startErr != nil {
				return
			}
			incarnations[m.Name] = m.Members().Self().Incarnation
		}
	}, func() int {
		return f.CountUnknown(func(m membership.Member) bool {
			return m.State != membership.Dead && m.Incarnation >= incarnations[m.Name]
		})
	})
	if startErr != nil {
		return startErr
	}
	result.Restart, result.RestartBytes = spread, bytes/float64(len(restarted))
	return err
}

// IdleTraffic returns the idle traffic of a member in a fleet of the given size, in bytes per probe interval.
func IdleTraffic(packetBytes, exchangeBytes float64, members float64) float64 {
	return packetBytes + exchangeBytes/ExchangeEvery(members)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
