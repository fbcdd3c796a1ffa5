// Package hollow runs many members of a fleet in one process, each with the real code of its role: its address, the membership and
// the clients of the quorum, but neither clients' sockets nor backends. Traffic is counted, so that the cost at one size can be
// compared with that at another.
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

// Options configure a Fleet.
type Options struct {
	Name    string // of the fleet; empty: "hollow"
	Members int
	// Seeds are addresses of members in other processes; empty: the first three of this one.
	Seeds         []string
	Voters        []quorum.Voter // in other processes
	Sites         []string       // of the members in turn; nil: one
	ProbeInterval time.Duration  // 0: a second
	Heartbeat     time.Duration  // the voters' heartbeat; 0: a second
	LeaseLength   time.Duration  // 0: 10 s
	// JoinBatch is how many members join at once; 0: 16.
	JoinBatch int
	// Network connects the members; nil: sockets on loopback.
	Network peer.Network
	// CheckInterval is the minimal time between two checks whether all members know something; 0: a twentieth of ProbeInterval, at
	// least 20 ms.
	CheckInterval time.Duration
	// Prepare is called with each member before it starts; nil: nothing is.
	Prepare func(*Member) error
}

// Fleet is the members of this process. Its methods may be called by several goroutines at once.
type Fleet struct {
	opt        Options
	host       *addressRange
	log        *slog.Logger
	goroutines sync.WaitGroup
	suspicions atomic.Int64
	dropped    atomic.Int64

	mu             sync.Mutex
	members        []*Member
	stoppedTraffic peer.Traffic // of members that were stopped
}

// Member is a member of the fleet.
type Member struct {
	Number       int
	Name         string
	Address      string
	Site         string
	*fleet.Fleet // nil while it does not run
}

// New creates the members' addresses. No member runs before Start. Close must be called.
func New(opt Options) (*Fleet, error) {
	if opt.Members < 1 || opt.Members > 4000 {
		return nil, fmt.Errorf("%d hollow members: want 1 to 4000", opt.Members)
	}
	opt.Name = cmp.Or(opt.Name, "hollow")
	opt.ProbeInterval, opt.Heartbeat, opt.LeaseLength = cmp.Or(opt.ProbeInterval, time.Second), cmp.Or(opt.Heartbeat, time.Second), cmp.Or(opt.LeaseLength, 10*time.Second)
	opt.JoinBatch = cmp.Or(opt.JoinBatch, 16)
	opt.CheckInterval = cmp.Or(opt.CheckInterval, max(opt.ProbeInterval/20, 20*time.Millisecond))
	h := &addressRange{net: firstNet}
	if opt.Network == nil {
		var err error
		if h, err = newAddressRange(); err != nil {
			return nil, err
		}
	}
	f := &Fleet{opt: opt, host: h}
	f.log = slog.New(&suspicionCounter{f: f})
	for i := range opt.Members {
		f.add(i)
	}
	return f, nil
}

// add adds a member that does not run.
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

// suspicionCounter is a log handler that counts how often members suspect others and drop messages.
type suspicionCounter struct {
	slog.Handler // of nothing else
	f            *Fleet
}

func (s *suspicionCounter) Enabled(_ context.Context, l slog.Level) bool { return l <= slog.LevelInfo }
func (s *suspicionCounter) WithAttrs([]slog.Attr) slog.Handler           { return s }
func (s *suspicionCounter) WithGroup(string) slog.Handler                { return s }
func (s *suspicionCounter) Handle(_ context.Context, r slog.Record) error {
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

// Dropped returns how many messages were dropped as a member's queue was full.
func (f *Fleet) Dropped() int64 { return f.dropped.Load() }

// Suspicions returns how often a member suspected another one to be dead.
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

// start starts a member with a configuration version.
func (f *Fleet) start(m *Member, version string) error {
	o := &f.opt
	c := &config.Fleet{Name: o.Name, Member: m.Name, Site: m.Site, Address: m.Address, Advertise: m.Address, AllowRemote: true, Seeds: f.seeds(),
		ProbeInterval: config.Duration(o.ProbeInterval), ForgetAfter: config.Duration(time.Hour), LeaseLength: config.Duration(o.LeaseLength)}
	c.Quorum.ElectionTimeout = config.Duration(o.Heartbeat)
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

// AddMember starts a further member.
func (f *Fleet) AddMember() (*Member, error) {
	f.mu.Lock()
	n := len(f.members)
	f.mu.Unlock()
	m := f.add(n)
	return m, f.start(m, "c0")
}

// running returns the members that run.
func (f *Fleet) running() (l []*Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Fleet != nil {
			l = append(l, m)
		}
	}
	return l
}

// Start starts all members in batches, each as soon as the one before knows nine of ten of the members before it. It returns an
// error if that takes longer than 60 probe intervals, or ctx ends.
func (f *Fleet) Start(ctx context.Context) error {
	for from := 0; from < len(f.members); from += f.opt.JoinBatch {
		some := f.members[from:min(from+f.opt.JoinBatch, len(f.members))]
		for _, m := range some {
			if err := f.start(m, "c0"); err != nil {
				return err
			}
		}
		if err := f.await(ctx, 60*f.opt.ProbeInterval, func() bool {
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

// errNotYet is returned when a condition did not become true in time.
var errNotYet = errors.New("not in time")

// await polls ok until it returns true, the timeout has passed or ctx ends.
func (f *Fleet) await(ctx context.Context, within time.Duration, ok func() bool) error {
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

// CountUnknown counts the pairs of running members of which the first one does not know what it should about the second.
func (f *Fleet) CountUnknown(knows func(membership.Member) bool) (pairs int) {
	all := f.running()
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = m.Name
	}
	return f.countUnknown(names, func(_ *Member, m membership.Member, known bool) bool { return known && knows(m) })
}

// countUnknown counts the pairs of a running member and a name about which it does not know what it should.
func (f *Fleet) countUnknown(names []string, knows func(one *Member, m membership.Member, known bool) bool) (pairs int) {
	all := f.running()
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

// Spread is how long something took to become known, and to how many pairs or members it was unknown in the end.
type Spread struct {
	Took    time.Duration
	Unknown int
}

// String describes the spread for a report.
func (s Spread) String() string {
	if s.Unknown > 0 {
		return fmt.Sprintf("%d lack it after %v", s.Unknown, s.Took.Round(10*time.Millisecond))
	}
	return s.Took.Round(10 * time.Millisecond).String()
}

// awaitNone waits until unknown returns 0 or the timeout has passed. It checks less often the longer a check takes.
func (f *Fleet) awaitNone(ctx context.Context, within time.Duration, lacking func() int) (Spread, error) {
	for began := time.Now(); ; {
		look := time.Now()
		s := Spread{Unknown: lacking()}
		s.Took = time.Since(began)
		if s.Unknown == 0 || s.Took >= within {
			return s, nil
		}
		t := time.NewTimer(max(f.opt.CheckInterval, 4*time.Since(look)))
		select {
		case <-ctx.Done():
			t.Stop()
			return s, ctx.Err()
		case <-t.C:
		}
	}
}

// Settle waits until each member knows each other one, but for allow pairs. Gossip about joins does not reach all members; the
// rest learns by full exchanges, which are rare.
func (f *Fleet) Settle(ctx context.Context, within time.Duration, allow int) (Spread, error) {
	left := 0
	s, err := f.awaitNone(ctx, within, func() int {
		if left = f.CountUnknown(func(m membership.Member) bool { return m.State != membership.Dead }); left <= allow {
			return 0
		}
		return left
	})
	s.Unknown = left
	return s, err
}

// awaitKnown waits until all other running members know about a name what they should, or the timeout has passed.
func (f *Fleet) awaitKnown(ctx context.Context, within time.Duration, name string, knows func(m membership.Member, known bool) bool) (Spread, error) {
	return f.awaitNone(ctx, within, func() (n int) {
		for _, m := range f.running() {
			if m.Name != name && !knows(m.Members().Lookup(name)) {
				n++
			}
		}
		return n
	})
}

// Traffic returns what all members have sent, including those that were stopped.
func (f *Fleet) Traffic() peer.Traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.stoppedTraffic
	for _, m := range f.members {
		if m.Fleet != nil {
			t = t.Plus(m.Node().Traffic())
		}
	}
	return t
}

// detach takes a running member out and returns its fleet, or nil.
func (f *Fleet) detach(m *Member) *fleet.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := m.Fleet
	if x != nil {
		f.stoppedTraffic = f.stoppedTraffic.Plus(x.Node().Traffic())
		m.Fleet = nil
	}
	return x
}

// leave stops a member, which announces that it leaves.
func (f *Fleet) leave(m *Member) {
	if x := f.detach(m); x != nil {
		x.Stop(max(f.opt.ProbeInterval, time.Second))
	}
}

// kill stops a member without an announcement: it closes its sockets, and stops the rest in the background.
func (f *Fleet) kill(m *Member) {
	x := f.detach(m)
	if x == nil {
		return
	}
	x.Node().Close()
	// A timeout of 0 would be none for memberlist.
	f.goroutines.Go(func() { x.Stop(10 * time.Millisecond) })
}

// Close kills all members and waits for them.
func (f *Fleet) Close() {
	var work sync.WaitGroup
	for _, m := range f.running() {
		work.Go(func() { f.kill(m) })
	}
	work.Wait()
	f.goroutines.Wait()
	f.host.close()
}
