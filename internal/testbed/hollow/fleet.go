// Package hollow runs many members of a fleet in one process. Each member has its own address and runs the real membership and quorum
// client code, but has no client sockets and no backends. Traffic is counted, so that the cost of different fleet sizes can be
// compared.
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
	Name    string // of the fleet; default: "hollow"
	Members int
	// Seeds are addresses of members in other processes; default: the first three members of this process.
	Seeds         []string
	Voters        []quorum.Voter // in other processes
	Sites         []string       // assigned to members round-robin; nil: all members have an empty site
	ProbeInterval time.Duration  // default: 1 s
	Heartbeat     time.Duration  // the voters' heartbeat; default: 1 s
	LeaseLength   time.Duration  // default: 10 s
	// JoinBatch is how many members join at once; default: 16.
	JoinBatch int
	// Network connects the members. If it is nil, they use loopback sockets.
	Network peer.Network
	// CheckInterval is the minimum time between two checks whether all members know something; default: a twentieth of ProbeInterval,
	// at least 20 ms.
	CheckInterval time.Duration
	// Prepare, if not nil, is called with each member before it starts.
	Prepare func(*Member) error
}

// Fleet runs the members of this process. Its methods are safe for concurrent use.
type Fleet struct {
	opt        Options
	addresses  *addressRange
	log        *slog.Logger
	goroutines sync.WaitGroup
	suspicions atomic.Int64
	dropped    atomic.Int64

	mu             sync.Mutex
	members        []*Member
	stoppedTraffic peer.Traffic // of stopped members
}

// Member is a member of the fleet.
type Member struct {
	Number       int
	Name         string
	Address      string
	Site         string
	*fleet.Fleet // nil while the member is not running
}

// New creates a fleet and assigns its members' addresses. The members do not run until Start. Close must be called.
func New(opt Options) (*Fleet, error) {
	if opt.Members < 1 || opt.Members > 4000 {
		return nil, fmt.Errorf("hollow members must be from 1 to 4000, got %d", opt.Members)
	}
	opt.Name = cmp.Or(opt.Name, "hollow")
	opt.ProbeInterval, opt.Heartbeat, opt.LeaseLength = cmp.Or(opt.ProbeInterval, time.Second), cmp.Or(opt.Heartbeat, time.Second), cmp.Or(opt.LeaseLength, 10*time.Second)
	opt.JoinBatch = cmp.Or(opt.JoinBatch, 16)
	opt.CheckInterval = cmp.Or(opt.CheckInterval, max(opt.ProbeInterval/20, 20*time.Millisecond))
	addrs := &addressRange{net: firstNet}
	if opt.Network == nil {
		var err error
		if addrs, err = newAddressRange(); err != nil {
			return nil, err
		}
	}
	hollowFleet := &Fleet{opt: opt, addresses: addrs}
	hollowFleet.log = slog.New(&suspicionCounter{hollowFleet: hollowFleet})
	for number := range opt.Members {
		hollowFleet.add(number)
	}
	return hollowFleet, nil
}

// add adds a member without starting it.
func (f *Fleet) add(number int) *Member {
	m := &Member{Number: number, Name: fmt.Sprintf("h%d", number), Address: f.addresses.address(number)}
	if len(f.opt.Sites) > 0 {
		m.Site = f.opt.Sites[number%len(f.opt.Sites)]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	return m
}

// suspicionCounter is a slog.Handler that counts the log records about suspected members and dropped messages, and discards all records.
type suspicionCounter struct {
	slog.Handler // nil; only the methods below are called
	hollowFleet  *Fleet
}

func (s *suspicionCounter) Enabled(_ context.Context, l slog.Level) bool { return l <= slog.LevelInfo }
func (s *suspicionCounter) WithAttrs([]slog.Attr) slog.Handler           { return s }
func (s *suspicionCounter) WithGroup(string) slog.Handler                { return s }
func (s *suspicionCounter) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		switch {
		case a.Key == "to" && a.Value.String() == string(membership.Suspect):
			s.hollowFleet.suspicions.Add(1)
		case a.Key == "line" && strings.Contains(a.Value.String(), "dropping message"):
			s.hollowFleet.dropped.Add(1)
		}
		return true
	})
	return nil
}

// Dropped returns how many messages were dropped because a member's queue was full.
func (f *Fleet) Dropped() int64 { return f.dropped.Load() }

// Suspicions returns how many times a member suspected another member of having failed.
func (f *Fleet) Suspicions() int64 { return f.suspicions.Load() }

func (f *Fleet) seeds() []string {
	if len(f.opt.Seeds) > 0 {
		return f.opt.Seeds
	}
	var addresses []string
	for _, m := range f.members[:min(3, len(f.members))] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// start starts a member that announces the given configuration version.
func (f *Fleet) start(m *Member, version string) error {
	options := &f.opt
	settings := &config.Fleet{Name: options.Name, Member: m.Name, Site: m.Site, Address: m.Address, Advertise: m.Address, AllowRemote: true, Seeds: f.seeds(),
		ProbeInterval: config.Duration(options.ProbeInterval), ForgetAfter: config.Duration(time.Hour), LeaseLength: config.Duration(options.LeaseLength)}
	settings.Quorum.ElectionTimeout = config.Duration(options.Heartbeat)
	for _, voter := range options.Voters {
		settings.Quorum.Voters = append(settings.Quorum.Voters, config.Voter(voter))
	}
	instance, err := fleet.NewOn(options.Network, settings, "z0", version, membership.Serving, f.log)
	if err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	f.mu.Lock()
	m.Fleet = instance
	f.mu.Unlock()
	if options.Prepare != nil {
		if err := options.Prepare(m); err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	instance.Start()
	return nil
}

// AddMember adds a member and starts it.
func (f *Fleet) AddMember() (*Member, error) {
	f.mu.Lock()
	number := len(f.members)
	f.mu.Unlock()
	m := f.add(number)
	return m, f.start(m, "c0")
}

// running returns the running members.
func (f *Fleet) running() (list []*Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Fleet != nil {
			list = append(list, m)
		}
	}
	return list
}

// Start starts all members in batches of JoinBatch. A batch starts when every member of the previous batch knows at least 90% of the
// members that started before its batch. It returns an error if a batch takes longer than 60 probe intervals, or if ctx ends.
func (f *Fleet) Start(ctx context.Context) error {
	for from := 0; from < len(f.members); from += f.opt.JoinBatch {
		batch := f.members[from:min(from+f.opt.JoinBatch, len(f.members))]
		for _, m := range batch {
			if err := f.start(m, "c0"); err != nil {
				return err
			}
		}
		if err := f.await(ctx, 60*f.opt.ProbeInterval, func() bool {
			for _, m := range batch {
				if m.Members().Len() < from*9/10 {
					return false
				}
			}
			return true
		}); err != nil {
			return fmt.Errorf("after %d members, the next batch did not join: %w", from, err)
		}
	}
	return nil
}

// errTimeout is returned by await when the condition did not become true before the timeout.
var errTimeout = errors.New("condition not met before the timeout")

// await polls ok until it returns true, within has passed or ctx ends. It returns an error in the last two cases.
func (f *Fleet) await(ctx context.Context, within time.Duration, ok func() bool) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(within); !ok(); {
		if time.Now().After(end) {
			return fmt.Errorf("%w: %v", errTimeout, within)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// CountUnknown counts the ordered pairs of running members in which the first member does not know the second, or knows returns false
// for what it has recorded about the second.
func (f *Fleet) CountUnknown(knows func(membership.Member) bool) (pairs int) {
	all := f.running()
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = m.Name
	}
	return f.countUnknown(names, func(_ *Member, m membership.Member, known bool) bool { return known && knows(m) })
}

// countUnknown counts the pairs of a running member and one of names for which knows returns false.
func (f *Fleet) countUnknown(names []string, knows func(observer *Member, m membership.Member, known bool) bool) (pairs int) {
	all := f.running()
	var total atomic.Int64
	var workers sync.WaitGroup
	for worker := range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := worker; i < len(all); i += runtime.GOMAXPROCS(0) {
				unknown := 0
				for _, name := range names {
					if m, known := all[i].Members().Lookup(name); !knows(all[i], m, known) {
						unknown++
					}
				}
				total.Add(int64(unknown))
			}
		})
	}
	workers.Wait()
	return int(total.Load())
}

// Spread is the result of waiting until all members know something. Took is how long that took. Unknown is how many pairs or members
// still lacked it at the end; 0 if none did.
type Spread struct {
	Took    time.Duration
	Unknown int
}

// String returns the spread for a report.
func (s Spread) String() string {
	if s.Unknown > 0 {
		return fmt.Sprintf("%d still without it after %v", s.Unknown, s.Took.Round(10*time.Millisecond))
	}
	return s.Took.Round(10 * time.Millisecond).String()
}

// awaitNone waits until unknown returns 0 or within has passed; a timeout is not an error. The pause between two checks is at least four
// times the duration of a check, so that checks of large fleets do not use up the processor time.
func (f *Fleet) awaitNone(ctx context.Context, within time.Duration, unknown func() int) (Spread, error) {
	for began := time.Now(); ; {
		checkBegan := time.Now()
		spread := Spread{Unknown: unknown()}
		spread.Took = time.Since(began)
		if spread.Unknown == 0 || spread.Took >= within {
			return spread, nil
		}
		timer := time.NewTimer(max(f.opt.CheckInterval, 4*time.Since(checkBegan)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return spread, ctx.Err()
		case <-timer.C:
		}
	}
}

// Settle waits until all members know each other, except for at most allowed pairs. Gossip about joins does not reach every member; the
// others learn of a join in a full exchange, and full exchanges are rare.
func (f *Fleet) Settle(ctx context.Context, within time.Duration, allowed int) (Spread, error) {
	unknown := 0
	spread, err := f.awaitNone(ctx, within, func() int {
		if unknown = f.CountUnknown(func(m membership.Member) bool { return m.State != membership.Dead }); unknown <= allowed {
			return 0
		}
		return unknown
	})
	spread.Unknown = unknown
	return spread, err
}

// awaitKnown waits until knows returns true for what each other running member has recorded about name, or until within has passed.
func (f *Fleet) awaitKnown(ctx context.Context, within time.Duration, name string, knows func(m membership.Member, known bool) bool) (Spread, error) {
	return f.awaitNone(ctx, within, func() (unknown int) {
		for _, m := range f.running() {
			if m.Name != name && !knows(m.Members().Lookup(name)) {
				unknown++
			}
		}
		return unknown
	})
}

// Traffic returns the traffic of all members, including stopped ones.
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

// detach marks a member as not running and adds its traffic to stoppedTraffic. It returns the member's fleet.Fleet, or nil if the member
// was not running.
func (f *Fleet) detach(m *Member) *fleet.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	instance := m.Fleet
	if instance != nil {
		f.stoppedTraffic = f.stoppedTraffic.Plus(instance.Node().Traffic())
		m.Fleet = nil
	}
	return instance
}

// leave stops a member gracefully: it announces that it leaves.
func (f *Fleet) leave(m *Member) {
	if instance := f.detach(m); instance != nil {
		instance.Stop(max(f.opt.ProbeInterval, time.Second))
	}
}

// kill stops a member without an announcement: it closes the member's sockets and stops the rest in the background.
func (f *Fleet) kill(m *Member) {
	instance := f.detach(m)
	if instance == nil {
		return
	}
	instance.Node().Close()
	// memberlist treats a timeout of 0 as no timeout.
	f.goroutines.Go(func() { instance.Stop(10 * time.Millisecond) })
}

// Close kills all members and waits until they have stopped.
func (f *Fleet) Close() {
	var work sync.WaitGroup
	for _, m := range f.running() {
		work.Go(func() { f.kill(m) })
	}
	work.Wait()
	f.goroutines.Wait()
	f.addresses.close()
}
