package hollow

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"robindrum/internal/membership"
)

// MembersRow is what membership comes to at one size. A probe's time is the unit of rates, as all of membership's timers follow from it.
type MembersRow struct {
	Members int
	// From the first start until each knows each: time, and processor time of the whole.
	Join    Spread
	JoinCPU time.Duration
	Dropped int64 // messages that the members' lists had no room for until then
	// With nothing to tell, of a member in a probe's time.
	Packets, PacketBytes float64
	Exchanges            float64 // full ones begun, and probes over TCP
	ExchangeBytes        float64 // of a full one, both ways
	CPU                  time.Duration
	Windows              int     // looked at until one passed in which nobody was suspected; 0: none did
	Heap                 float64 // bytes, of a member
	// One member's: until all know.
	News, Come, Leave, Death Spread
	LeftAsDead               int // of those who know that one has left, who take it for dead
	// Each says that it has another configuration, at once.
	Rollout      Spread
	RolloutBytes float64       // of a member for each update, beyond what it sends idle
	RolloutCPU   time.Duration // of the whole
	Rollouts     int           // until one in which nobody was suspected; 0: none was
	// A fifth is killed and started again at once. Zero where it was not asked for.
	Restart      Spread
	RestartBytes float64 // of a member for each restarted one, beyond what it sends idle
}

// ExchangeEvery is after how many probes a member begins a full exchange, as the library has it: each 30, and less often the more
// members there are (PushPullInterval here, pushPullScale of hashicorp/memberlist).
func ExchangeEvery(members float64) float64 {
	if members <= 32 {
		return 30
	}
	return 30 * (math.Ceil(math.Log2(members)-5) + 1)
}

// MembersOptions are what is measured.
type MembersOptions struct {
	Options
	Window  int  // probes of the idle window; 0: 20
	Restart bool // have a fifth restart at once, too
}

// MeasureMembers takes the figures at one size.
func MeasureMembers(ctx context.Context, opt MembersOptions) (r MembersRow, err error) {
	n := opt.Members
	r.Members = n
	before, cpu0 := heap(), cpu()
	f, err := New(opt.Options)
	if err != nil {
		return r, err
	}
	defer f.Close()
	probe := f.opt.Probe
	limit := 300 * probe // who was missed by all that was told waits for full exchanges, each 30 probes or less often
	began := time.Now()
	if err := f.Start(ctx); err != nil {
		return r, err
	}
	if r.Join, err = f.Settle(ctx, limit, 0); err != nil {
		return r, err
	}
	r.Join.Took, r.JoinCPU = time.Since(began), cpu()-cpu0
	r.Dropped = f.Dropped()
	if r.Join.Lacking > n*n/100 {
		t := f.Traffic()
		return r, fmt.Errorf("%d members do not come together: %v of %d pairs; they dropped %d messages, suspected %d times, sent %d packets, began %d streams and used %v of processor time", n, r.Join, n*n, r.Dropped,
			f.Suspicions(), t.Packets, t.Streams, r.JoinCPU.Round(time.Second))
	}
	if err := f.idle(ctx, &r, opt.Window); err != nil {
		return r, err
	}
	r.Heap = float64(heap()-before) / float64(n)
	rate := idleRate(&r, probe)
	one := f.members[n/2]
	f.work.Go(func() { one.Announce(membership.Draining, "c0") }) // it returns once it has been told on
	if r.News, err = f.know(ctx, limit, one.Name, func(m membership.Member, _ bool) bool { return m.State == membership.Draining }); err != nil {
		return r, err
	}
	more, err := f.More()
	if err != nil {
		return r, err
	}
	if r.Come, err = f.know(ctx, limit, more.Name, func(_ membership.Member, known bool) bool { return known }); err != nil {
		return r, err
	}
	f.work.Go(func() { f.leave(more) })
	if r.Leave, err = f.know(ctx, limit, more.Name, func(m membership.Member, known bool) bool { return !known || m.State == membership.Dead }); err != nil {
		return r, err
	}
	// Whoever heard of its end and not of its leaving takes it for dead: news of one name take the place of those before them.
	for _, m := range f.up() {
		if _, known := m.Members().Lookup(more.Name); known {
			r.LeftAsDead++
		}
	}
	f.kill(one)
	if r.Death, err = f.know(ctx, limit, one.Name, func(m membership.Member, known bool) bool { return !known || m.State == membership.Dead }); err != nil {
		return r, err
	}
	if err := f.rollout(ctx, &r, rate); err != nil {
		return r, err
	}
	if opt.Restart {
		err = f.restart(ctx, &r, rate)
	}
	return r, err
}

// idleRate is what a member sends with nothing to tell, in bytes a second.
func idleRate(r *MembersRow, probe time.Duration) float64 {
	return Sent(r.PacketBytes, r.ExchangeBytes, float64(r.Members)) / probe.Seconds()
}

// idle waits for a window without a suspicion: whoever is suspected, as the machine was busy, has others ask and tell about it.
func (f *Fleet) idle(ctx context.Context, r *MembersRow, window int) error {
	if window == 0 {
		window = 20
	}
	n := float64(len(f.up()))
	for try := range 10 {
		if err := pause(ctx, 4*f.opt.Probe); err != nil { // what was told of the joins, or of the window before
			return err
		}
		before, suspected, cpu0 := f.Traffic(), f.Suspicions(), cpu()
		if err := pause(ctx, time.Duration(window)*f.opt.Probe); err != nil {
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
	return f.exchange(r)
}

// exchanger is a member's list that makes a full exchange when it is asked to.
type exchanger interface {
	Exchange(address string) error
}

// exchange takes the bytes of a full exchange from some that nothing else came between.
func (f *Fleet) exchange(r *MembersRow) error {
	const some = 4
	all := f.up()
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

// told has something told by many and waits until all know and what is sent is near to idle again.
func (f *Fleet) told(ctx context.Context, rate float64, tell func(), lacking func() int) (s Spread, bytes float64, used time.Duration, err error) {
	before, cpu0, began := f.Traffic(), cpu(), time.Now()
	tell()
	limit := 300 * f.opt.Probe
	if s, err = f.all(ctx, limit, lacking); err != nil {
		return s, 0, 0, err
	}
	s.Took = time.Since(began)
	n := float64(len(f.up()))
	for last := f.Traffic(); time.Since(began) < 2*limit; {
		if err := pause(ctx, 2*f.opt.Probe); err != nil {
			return s, 0, 0, err
		}
		t := f.Traffic()
		if float64(t.Minus(last).PacketBytes) < 1.3*rate*n*(2*f.opt.Probe).Seconds() {
			break
		}
		last = t
	}
	sent := float64(f.Traffic().Minus(before).Sent()) - rate*n*time.Since(began).Seconds()
	return s, sent / n, cpu() - cpu0, nil
}

// rollout is tried again while somebody was suspected in it, as doubts are told on as well.
func (f *Fleet) rollout(ctx context.Context, r *MembersRow, rate float64) error {
	all := f.up()
	for try := range 6 {
		version, suspected := fmt.Sprint("c", 1+try), f.Suspicions()
		s, bytes, used, err := f.told(ctx, rate, func() {
			for _, m := range all {
				f.work.Go(func() { m.Announce(membership.Serving, version) })
			}
		}, func() int { return f.Lacking(func(m membership.Member) bool { return m.Config == version }) })
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

func (f *Fleet) restart(ctx context.Context, r *MembersRow, rate float64) error {
	births := map[string]uint64{}
	all := f.up()
	some := all[3 : 3+max(len(all)/5, 1)]
	var fault error
	s, bytes, _, err := f.told(ctx, rate, func() {
		for _, m := range some {
			f.kill(m)
		}
		f.work.Wait()
		for _, m := range some {
			if fault = f.start(m, "c1"); fault != nil {
				return
			}
			births[m.Name] = m.Members().Self().Incarnation
		}
	}, func() int {
		return f.Lacking(func(m membership.Member) bool { return m.State != membership.Dead && m.Incarnation >= births[m.Name] })
	})
	if fault != nil {
		return fault
	}
	r.Restart, r.RestartBytes = s, bytes/float64(len(some))
	return err
}

// Sent is what the idle traffic of membership comes to at a size, in bytes of a member in a probe's time.
func Sent(packetBytes, exchangeBytes float64, members float64) float64 {
	return packetBytes + exchangeBytes/ExchangeEvery(members)
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
