// Package hollow runs many members of a fleet in one process, each with the real code of its role over sockets of its own on
// loopback: its address, the members' list, the clients of the quorum. What a role does not need is left out: clients' sockets and
// backends. What is sent is counted, so that a figure at a size can be held against the same at another one.
package hollow

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/fleet"
	"robindrum/internal/membership"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
)

// Options are what a Fleet is made of.
type Options struct {
	Name    string // of the fleet; empty: "hollow"
	Members int
	// Seeds are addresses of members elsewhere; empty: its own first three.
	Seeds  []string
	Voters []quorum.Voter // elsewhere
	Sites  []string       // of the members in turn; nil: one
	Probe  time.Duration  // 0: a second
	Beat   time.Duration  // the voters' heartbeat; 0: a second
	Lease  time.Duration  // 0: 10 s
	// Together is how many join at once; 0: 16.
	Together int
	// Network is what they are on; nil: loopback, with sockets.
	Network peer.Network
	// Look is between two looks at whether all know something; 0: a twentieth of Probe, 20 ms at the least.
	Look time.Duration
	// Prepare is called for each member before it speaks; nil: nothing is added to it.
	Prepare func(*Member) error
}

// Fleet is the members of this process. Its methods may be called by several goroutines at once.
type Fleet struct {
	opt  Options
	host *host
	log  *slog.Logger
	past peer.Traffic // of those that were ended
	work sync.WaitGroup

	suspicions, dropped atomic.Int64

	mu      sync.Mutex
	members []*Member
}

// Member is one.
type Member struct {
	Number              int
	Name, Address, Site string
	*fleet.Fleet        // nil while it is down
}

// New makes the places. Nothing runs before Start.
func New(opt Options) (*Fleet, error) {
	if opt.Members < 1 || opt.Members > 4000 {
		return nil, fmt.Errorf("%d hollow members: want 1 to 4000", opt.Members)
	}
	opt.Name = cmp.Or(opt.Name, "hollow")
	opt.Probe, opt.Beat, opt.Lease = cmp.Or(opt.Probe, time.Second), cmp.Or(opt.Beat, time.Second), cmp.Or(opt.Lease, 10*time.Second)
	opt.Together = cmp.Or(opt.Together, 16)
	opt.Look = cmp.Or(opt.Look, max(opt.Probe/20, 20*time.Millisecond))
	h := &host{net: firstNet}
	if opt.Network == nil {
		var err error
		if h, err = newHost(); err != nil {
			return nil, err
		}
	}
	f := &Fleet{opt: opt, host: h}
	f.log = slog.New(&suspects{f: f})
	for i := range opt.Members {
		f.add(i)
	}
	return f, nil
}

func (f *Fleet) add(i int) *Member {
	m := &Member{Number: i, Name: fmt.Sprintf("h%d", i), Address: f.host.address(i)}
	if len(f.opt.Sites) > 0 {
		m.Site = f.opt.Sites[i%len(f.opt.Sites)]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	return m
}

// suspects counts how often a member of this process took another one for gone, and what its list had no room for, as its log tells.
type suspects struct {
	slog.Handler // of nothing else
	f            *Fleet
}

func (s *suspects) Enabled(_ context.Context, l slog.Level) bool { return l <= slog.LevelInfo }
func (s *suspects) WithAttrs([]slog.Attr) slog.Handler           { return s }
func (s *suspects) WithGroup(string) slog.Handler                { return s }
func (s *suspects) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		switch {
		case a.Key == "to" && a.Value.String() == string(membership.Suspect):
			s.f.suspicions.Add(1)
		case a.Key == "line" && strings.Contains(a.Value.String(), "dropping message"):
			s.f.dropped.Add(1)
		}
		return true
	})
	return nil
}

// Dropped is how many messages their lists had no room for.
func (f *Fleet) Dropped() int64 { return f.dropped.Load() }

// Suspicions is how often one of them took another member for gone, also for a moment.
func (f *Fleet) Suspicions() int64 { return f.suspicions.Load() }

func (f *Fleet) seeds() []string {
	if len(f.opt.Seeds) > 0 {
		return f.opt.Seeds
	}
	var l []string
	for _, m := range f.members[:min(3, len(f.members))] {
		l = append(l, m.Address)
	}
	return l
}

// start has one speak.
func (f *Fleet) start(m *Member, version string) error {
	o := &f.opt
	c := &config.Fleet{Name: o.Name, Member: m.Name, Site: m.Site, Address: m.Address, Advertise: m.Address, AllowRemote: true, Seeds: f.seeds(),
		ProbeInterval: config.Duration(o.Probe), ForgetAfter: config.Duration(time.Hour), LeaseLength: config.Duration(o.Lease)}
	c.Quorum.ElectionTimeout = config.Duration(o.Beat)
	for _, v := range o.Voters {
		c.Quorum.Voters = append(c.Quorum.Voters, config.Voter(v))
	}
	x, err := fleet.NewOn(o.Network, c, "z0", version, membership.Serving, f.log)
	if err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	f.mu.Lock()
	m.Fleet = x
	f.mu.Unlock()
	if o.Prepare != nil {
		if err := o.Prepare(m); err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	x.Start()
	return nil
}

// More has one more start.
func (f *Fleet) More() (*Member, error) {
	f.mu.Lock()
	n := len(f.members)
	f.mu.Unlock()
	m := f.add(n)
	return m, f.start(m, "c0")
}

// up are those that run.
func (f *Fleet) up() (l []*Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Fleet != nil {
			l = append(l, m)
		}
	}
	return l
}

// Start has all join, some at a time: the next ones as soon as these know most of those before them.
func (f *Fleet) Start(ctx context.Context) error {
	for from := 0; from < len(f.members); from += f.opt.Together {
		some := f.members[from:min(from+f.opt.Together, len(f.members))]
		for _, m := range some {
			if err := f.start(m, "c0"); err != nil {
				return err
			}
		}
		if err := f.wait(ctx, 60*f.opt.Probe, func() bool {
			for _, m := range some {
				if m.Members().Len() < from*9/10 {
					return false
				}
			}
			return true
		}); err != nil {
			return fmt.Errorf("%d members have joined, and the next ones do not: %w", from, err)
		}
	}
	return nil
}

// errNotYet is that something did not come in time.
var errNotYet = errors.New("not in time")

func (f *Fleet) wait(ctx context.Context, within time.Duration, ok func() bool) error {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(within); !ok(); {
		if time.Now().After(end) {
			return fmt.Errorf("%w: %v", errNotYet, within)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// Lacking counts the pairs of members that run of which the first one does not know of the second what it should.
func (f *Fleet) Lacking(knows func(membership.Member) bool) (pairs int) {
	all := f.up()
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = m.Name
	}
	return f.lacking(names, func(_ *Member, m membership.Member, known bool) bool { return known && knows(m) })
}

// lacking counts the pairs of a member that runs and a name of which it does not know what it should.
func (f *Fleet) lacking(names []string, knows func(one *Member, m membership.Member, known bool) bool) (pairs int) {
	all := f.up()
	var sum atomic.Int64
	var work sync.WaitGroup
	for part := range runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for i := part; i < len(all); i += runtime.GOMAXPROCS(0) {
				n := 0
				for _, name := range names {
					if m, known := all[i].Members().Lookup(name); !knows(all[i], m, known) {
						n++
					}
				}
				sum.Add(int64(n))
			}
		})
	}
	work.Wait()
	return int(sum.Load())
}

// Spread is how something came to be known: after how long by so many pairs, and how many lacked it when it was waited for no longer.
type Spread struct {
	Took    time.Duration
	Lacking int
}

func (s Spread) String() string {
	if s.Lacking > 0 {
		return fmt.Sprintf("%d lack it after %v", s.Lacking, s.Took.Round(10*time.Millisecond))
	}
	return s.Took.Round(10 * time.Millisecond).String()
}

// all waits until nothing lacks, and looks less often the longer a look takes.
func (f *Fleet) all(ctx context.Context, within time.Duration, lacking func() int) (Spread, error) {
	for began := time.Now(); ; {
		look := time.Now()
		s := Spread{Lacking: lacking()}
		s.Took = time.Since(began)
		if s.Lacking == 0 || s.Took >= within {
			return s, nil
		}
		t := time.NewTimer(max(f.opt.Look, 4*time.Since(look)))
		select {
		case <-ctx.Done():
			t.Stop()
			return s, ctx.Err()
		case <-t.C:
		}
	}
}

// Settle waits until each of them knows each, but for so many pairs, and tells how that came: what the joins told does not reach all,
// and a full exchange, which mends that, is rare.
func (f *Fleet) Settle(ctx context.Context, within time.Duration, allow int) (Spread, error) {
	left := 0
	s, err := f.all(ctx, within, func() int {
		if left = f.Lacking(func(m membership.Member) bool { return m.State != membership.Dead }); left <= allow {
			return 0
		}
		return left
	})
	s.Lacking = left
	return s, err
}

// know waits until all that run know of one name what they should. knows is told whether it is known at all.
func (f *Fleet) know(ctx context.Context, within time.Duration, name string, knows func(m membership.Member, known bool) bool) (Spread, error) {
	return f.all(ctx, within, func() (n int) {
		for _, m := range f.up() {
			if m.Name != name && !knows(m.Members().Lookup(name)) {
				n++
			}
		}
		return n
	})
}

// Traffic is what all of them have sent, those included that were ended.
func (f *Fleet) Traffic() peer.Traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.past
	for _, m := range f.members {
		if m.Fleet != nil {
			t = t.Plus(m.Node().Traffic())
		}
	}
	return t
}

func (f *Fleet) down(m *Member) *fleet.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := m.Fleet
	if x != nil {
		f.past = f.past.Plus(x.Node().Traffic())
		m.Fleet = nil
	}
	return x
}

// leave ends a member that says so.
func (f *Fleet) leave(m *Member) {
	if x := f.down(m); x != nil {
		x.Stop(max(f.opt.Probe, time.Second))
	}
}

// kill ends a member that says nothing any more: its address is shut first, and what is left of it ends behind that.
func (f *Fleet) kill(m *Member) {
	x := f.down(m)
	if x == nil {
		return
	}
	x.Node().Close()
	// Not 0: to memberlist that is no bound.
	f.work.Go(func() { x.Stop(10 * time.Millisecond) })
}

// Close ends all, without a word.
func (f *Fleet) Close() {
	var work sync.WaitGroup
	for _, m := range f.up() {
		work.Go(func() { f.kill(m) })
	}
	work.Wait()
	f.work.Wait()
	f.host.close()
}
