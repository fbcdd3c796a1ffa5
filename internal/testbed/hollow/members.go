package hollow

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"robindrum/internal/membership"
)

// MembersResult is the cost of membership at one size. Rates are per probe interval, from which all of membership's timers follow.
type MembersResult struct {
	Members int
	// Join is the time from the first start until all members know each other, JoinCPU the processor time of all.
	Join    Spread
	JoinCPU time.Duration
	// Dropped counts messages for which members' queues had no room during the join.
	Dropped int64
	// Idle traffic of a member in a probe interval: packets, their bytes, full exchanges and probes over TCP that it begins, and
	// processor time.
	Packets     float64
	PacketBytes float64
	Exchanges   float64
	CPU         time.Duration
	// ExchangeBytes of a full exchange, in both directions.
	ExchangeBytes float64
	// Windows is how many idle windows were measured until one without a suspicion; 0: there was none.
	Windows int
	// Heap is the memory of a member in bytes.
	Heap float64
	// The spreads of one member's change of state, join, leave and death.
	StateChange Spread
	JoinOne     Spread
	Leave       Spread
	Death       Spread
	// LeftAsDead counts members that take one that left for dead.
	LeftAsDead int
	// Rollout is the spread of a new configuration of all members at once; RolloutBytes are sent by a member for each of these
	// updates beyond its idle traffic, RolloutCPU is the processor time of all.
	Rollout      Spread
	RolloutBytes float64
	RolloutCPU   time.Duration
	// Rollouts is how many were measured until one without a suspicion; 0: there was none.
	Rollouts int
	// Restart is the spread when a fifth of the members is killed and started again at once; RestartBytes are sent by a member
	// for each of these beyond its idle traffic. Zero without MembersOptions.Restart.
	Restart      Spread
	RestartBytes float64
}

// exchangeProbes is how many probes pass between two full exchanges of a small fleet.
const exchangeProbes = 30

// ExchangeEvery returns after how many probes a member begins a full exchange: 30 up to 32 members, and more with each doubling (as
// pushPullScale of hashicorp/memberlist does).
func ExchangeEvery(members float64) float64 {
	if members <= 32 {
		return exchangeProbes
	}
	return exchangeProbes * (math.Ceil(math.Log2(members)-5) + 1)
}

// MembersOptions configure a measurement.
type MembersOptions struct {
	Options
	Window  int  // probes of the idle window; 0: 20
	Restart bool // measure the restart of a fifth too
}

// MeasureMembers measures membership at one size.
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

// spreadTimeout bounds the wait for a spread: members that missed all gossip learn by full exchanges, which are rare.
func (f *Fleet) spreadTimeout() time.Duration { return 300 * f.opt.ProbeInterval }

// measureJoin starts all members and waits until they know each other. cpuBefore is the processor time before the fleet was created.
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
		t := f.Traffic()
		return fmt.Errorf("%d members do not come together: %v of %d pairs; they dropped %d messages, suspected %d times, sent %d packets, began %d streams and used %v of processor time",
			result.Members, result.Join, pairs, result.Dropped, f.Suspicions(), t.Packets, t.Streams, result.JoinCPU.Round(time.Second))
	}
	return nil
}

// measureSingleChanges measures how the change of state, join, leave and death of one member spread.
func (f *Fleet) measureSingleChanges(ctx context.Context, result *MembersResult) error {
	limit := f.spreadTimeout()
	one := f.members[result.Members/2]
	f.goroutines.Go(func() { one.Announce(membership.Draining, "c0") }) // it blocks until the change was sent
	var err error
	if result.StateChange, err = f.awaitKnown(ctx, limit, one.Name, isDraining); err != nil {
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
	// A member that received the end and not the leave takes it for dead: later gossip about a name replaces earlier one.
	for _, m := range f.running() {
		if _, known := m.Members().Lookup(added.Name); known {
			result.LeftAsDead++
		}
	}
	f.kill(one)
	result.Death, err = f.awaitKnown(ctx, limit, one.Name, isUnknownOrDead)
	return err
}

func isDraining(m membership.Member, _ bool) bool { return m.State == membership.Draining }

func isKnown(_ membership.Member, known bool) bool { return known }

func isUnknownOrDead(m membership.Member, known bool) bool {
	return !known || m.State == membership.Dead
}

// idleRate returns the idle traffic of a member in bytes per second.
func idleRate(r *MembersResult, probe time.Duration) float64 {
	return IdleTraffic(r.PacketBytes, r.ExchangeBytes, float64(r.Members)) / probe.Seconds()
}

// measureIdle measures windows until one passes without a suspicion: suspicions, which a busy machine causes, are gossiped.
func (f *Fleet) measureIdle(ctx context.Context, r *MembersResult, window int) error {
	if window == 0 {
		window = 20
	}
	n := float64(len(f.running()))
	for try := range 10 {
		if err := sleep(ctx, 4*f.opt.ProbeInterval); err != nil { // for gossip about the joins, or from the window before, to end
			return err
		}
		before, suspected, cpu0 := f.Traffic(), f.Suspicions(), cpu()
		if err := sleep(ctx, time.Duration(window)*f.opt.ProbeInterval); err != nil {
			return err
		}
		t := f.Traffic().Minus(before)
		of := n * float64(window)
		r.Packets, r.PacketBytes, r.Exchanges = float64(t.Packets)/of, float64(t.PacketBytes)/of, float64(t.Streams)/of
		r.CPU = time.Duration(float64(cpu()-cpu0) / of)
		if f.Suspicions() == suspected {
			r.Windows = try + 1
			break
		}
	}
	return f.measureExchange(r)
}

// exchanger is a membership that can begin a full exchange on demand.
type exchanger interface {
	Exchange(address string) error
}

// measureExchange measures the bytes of full exchanges during which no other stream was begun.
func (f *Fleet) measureExchange(r *MembersResult) error {
	const some = 4
	all := f.running()
	for range 20 {
		before := f.Traffic()
		for i := range some {
			x, ok := all[i%len(all)].Members().(exchanger)
			if !ok {
				return errors.New("the members' list makes no exchange on demand")
			}
			if err := x.Exchange(all[(i+1)%len(all)].Address); err != nil {
				return fmt.Errorf("a full exchange: %w", err)
			}
		}
		if t := f.Traffic().Minus(before); t.Streams == some {
			r.ExchangeBytes = float64(t.Out) / some
			return nil
		}
	}
	return errors.New("no full exchange without another one beside it")
}

// disseminate has many members announce something, and waits until all know it and the traffic is nearly idle again.
func (f *Fleet) disseminate(ctx context.Context, rate float64, tell func(), lacking func() int) (s Spread, bytes float64, used time.Duration, err error) {
	before, cpu0, began := f.Traffic(), cpu(), time.Now()
	tell()
	limit := 300 * f.opt.ProbeInterval
	if s, err = f.awaitNone(ctx, limit, lacking); err != nil {
		return s, 0, 0, err
	}
	s.Took = time.Since(began)
	n := float64(len(f.running()))
	for last := f.Traffic(); time.Since(began) < 2*limit; {
		if err := sleep(ctx, 2*f.opt.ProbeInterval); err != nil {
			return s, 0, 0, err
		}
		t := f.Traffic()
		if float64(t.Minus(last).PacketBytes) < 1.3*rate*n*(2*f.opt.ProbeInterval).Seconds() {
			break
		}
		last = t
	}
	sent := float64(f.Traffic().Minus(before).Sent()) - rate*n*time.Since(began).Seconds()
	return s, sent / n, cpu() - cpu0, nil
}

// measureRollout measures again while there was a suspicion, as these are gossiped as well.
func (f *Fleet) measureRollout(ctx context.Context, r *MembersResult, rate float64) error {
	all := f.running()
	for try := range 6 {
		version, suspected := fmt.Sprint("c", 1+try), f.Suspicions()
		s, bytes, used, err := f.disseminate(ctx, rate, func() {
			for _, m := range all {
				f.goroutines.Go(func() { m.Announce(membership.Serving, version) })
			}
		}, func() int { return f.CountUnknown(func(m membership.Member) bool { return m.Config == version }) })
		if err != nil {
			return err
		}
		r.Rollout, r.RolloutBytes, r.RolloutCPU = s, bytes/float64(len(all)), used
		if f.Suspicions() == suspected {
			r.Rollouts = try + 1
			return nil
		}
	}
	return nil
}

func (f *Fleet) measureRestart(ctx context.Context, r *MembersResult, rate float64) error {
	births := map[string]uint64{}
	all := f.running()
	some := all[3 : 3+max(len(all)/5, 1)]
	var fault error
	s, bytes, _, err := f.disseminate(ctx, rate, func() {
		for _, m := range some {
			f.kill(m)
		}
		f.goroutines.Wait()
		for _, m := range some {
			if fault = f.start(m, "c1"); fault != nil {
				return
			}
			births[m.Name] = m.Members().Self().Incarnation
		}
	}, func() int {
		return f.CountUnknown(func(m membership.Member) bool { return m.State != membership.Dead && m.Incarnation >= births[m.Name] })
	})
	if fault != nil {
		return fault
	}
	r.Restart, r.RestartBytes = s, bytes/float64(len(some))
	return err
}

// IdleTraffic returns the idle traffic of a member at a size, in bytes per probe interval.
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
