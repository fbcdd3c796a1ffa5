// Package membership tracks the processes of the fleet by gossip (SWIM, hashicorp/memberlist): their names, sites, zones,
// versions and states. It provides a list of members and a stream of events. Requests never wait for it.
package membership

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"robindrum/internal/peer"
)

const (
	defaultProbe  = time.Second
	defaultForget = time.Hour
	// maxBufferedEvents is the number of events buffered for a watcher; further events are dropped.
	maxBufferedEvents = 4096
)

// Timing of memberlist relative to the probe interval. A name ending in Probes is a number of probe intervals; a name ending in
// PerProbe is a divisor of the probe interval.
const (
	seedCheckProbes       = 2
	pushPullProbes        = 30
	tcpTimeoutProbes      = 10
	gossipToTheDeadProbes = 30
	deadNodeReclaimProbes = 10 // a restarted process may have another address
	probeTimeoutsPerProbe = 2
	gossipRoundsPerProbe  = 5
)

// Options configure a List.
type Options struct {
	// Fleet is the name of the fleet. Packets of other fleets are ignored.
	Fleet string
	// Self describes this process. Its Address is the one at which other members reach it.
	Self Member
	// Seeds are the addresses of members to join through.
	Seeds []string
	// Probe is the interval at which this process probes one other member; all other intervals derive from it. 0 means 1 s.
	Probe time.Duration
	// Forget is how long a dead member stays listed. 0 means 1 h.
	Forget time.Duration
	// Now reads a monotonic clock.
	Now func() time.Duration
	Log *slog.Logger
}

// View is the read-only part of a List. Its methods may be called concurrently and do not block on the network.
type View interface {
	// Members returns all known members sorted by name, including this process and dead members.
	Members() []Member
	// Self returns this process as announced to the fleet.
	Self() Member
	// Lookup returns the member with a name, and false if it is unknown.
	Lookup(name string) (Member, bool)
	// Len returns the number of members that Members returns.
	Len() int
}

// List tracks the membership of the fleet. Its methods may be called concurrently.
type List struct {
	opt    Options
	swim   *memberlist.Memberlist
	stop   context.CancelFunc
	worker sync.WaitGroup

	mu        sync.Mutex
	roster    *roster
	self      Member
	watchers  []chan Event
	conflicts int
}

// Start joins the fleet over a node. It consumes the node's packets and one kind of its streams, and contacts the seeds in the background
// until all of them are members. The caller must call Stop before closing the node.
func Start(node *peer.Node, opt Options) (*List, error) {
	if opt.Probe == 0 {
		opt.Probe = defaultProbe
	}
	if opt.Forget == 0 {
		opt.Forget = defaultForget
	}
	if _, err := opt.Self.encodeMeta(); err != nil {
		return nil, err
	}
	l := &List{opt: opt, roster: newRoster(opt.Forget), self: opt.Self}
	conf, err := l.memberlistConfig(newTransport(node))
	if err != nil {
		return nil, err
	}
	l.swim, err = memberlist.Create(conf)
	if err != nil {
		return nil, fmt.Errorf("membership: create memberlist: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.worker.Go(func() { l.joinSeeds(ctx) })
	return l, nil
}

func (l *List) memberlistConfig(t *transport) (*memberlist.Config, error) {
	host, _, err := net.SplitHostPort(l.opt.Self.Address)
	if err != nil {
		return nil, fmt.Errorf("membership: own address %q: %w", l.opt.Self.Address, err)
	}
	probe := l.opt.Probe
	d := &delegate{list: l}
	conf := memberlist.DefaultLANConfig()
	conf.Name = l.opt.Self.Name
	conf.Label = l.opt.Fleet
	conf.Transport = t
	conf.AdvertiseAddr = host
	conf.AdvertisePort = peer.Port(l.opt.Self.Address)
	conf.ProbeInterval = probe
	conf.ProbeTimeout = probe / probeTimeoutsPerProbe
	conf.GossipInterval = probe / gossipRoundsPerProbe
	conf.PushPullInterval = pushPullProbes * probe
	conf.TCPTimeout = tcpTimeoutProbes * probe
	conf.GossipToTheDeadTime = gossipToTheDeadProbes * probe
	conf.DeadNodeReclaimTime = deadNodeReclaimProbes * probe
	conf.Delegate = d
	conf.Events = d
	conf.Conflict = d
	conf.Ping = d
	conf.Alive = d
	conf.Logger = log.New(&logReader{list: l}, "", 0)
	return conf, nil
}

// joinSeeds contacts the seeds that are not alive members, periodically until ctx is done, and removes members that have been dead for
// Options.Forget. Without this the two sides of a network partition would stay separate, because memberlist does not contact members that
// have been dead for long.
func (l *List) joinSeeds(ctx context.Context) {
	ticker := time.NewTicker(seedCheckProbes * l.opt.Probe)
	defer ticker.Stop()
	for {
		l.exchangeWithSeeds(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.observe(func(now time.Duration) []Event { return l.roster.tick(now) })
		}
	}
}

// exchangeWithSeeds exchanges the membership with each seed that was not an alive member when the call began, even if an earlier exchange
// of the same call has listed that seed.
func (l *List) exchangeWithSeeds(ctx context.Context) {
	for _, seed := range l.absentSeeds() {
		if ctx.Err() != nil {
			return
		}
		if err := l.Exchange(seed); err != nil {
			l.opt.Log.Debug("seed exchange failed", "seed", seed, "error", err)
		}
	}
}

// absentSeeds returns the seeds, except this process, that are unknown or dead.
func (l *List) absentSeeds() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.opt.Seeds), func(seed string) bool {
		return seed == l.opt.Self.Address || l.roster.aliveAt(seed)
	})
}

// Exchange exchanges the complete membership with the member at an address. It blocks until the exchange succeeds or fails.
func (l *List) Exchange(address string) error {
	_, err := l.swim.Join([]string{address})
	return err
}

// observe applies an observation to the roster and sends the resulting events to the watchers.
func (l *List) observe(observation func(now time.Duration) []Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, event := range observation(l.opt.Now()) {
		member := event.Member
		l.opt.Log.Info("member state changed", "name", member.Name, "from", string(event.From), "to", string(member.State), "incarnation", member.Incarnation, "restarted", event.Restarted)
		for _, watcher := range l.watchers {
			select {
			case watcher <- event:
			default: // the buffer is full: drop the event
			}
		}
	}
}

// Watch returns a channel of future events. Events are dropped if the receiver is too slow; Members is always complete. The channel is
// never closed.
func (l *List) Watch() <-chan Event {
	events := make(chan Event, maxBufferedEvents)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers = append(l.watchers, events)
	return events
}

// Members returns all known members sorted by name, including this process and dead members.
func (l *List) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.list()
}

// Lookup returns the member with a name, in any state, and false if it is unknown.
func (l *List) Lookup(name string) (Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.roster.members[name]
	if entry == nil {
		return Member{}, false
	}
	return entry.Member, true
}

// Len returns the number of known members, including this process and dead members.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.roster.members)
}

// Self returns this process as announced to the fleet.
func (l *List) Self() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// Conflicts returns how often another address has claimed a member's name.
func (l *List) Conflicts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conflicts
}

// Announce changes this process's state and configuration version. It blocks until the change has been sent to some members, for at most
// one probe interval; the other members receive it by gossip or in the next complete exchange.
func (l *List) Announce(state State, config string) {
	l.mu.Lock()
	unchanged := l.self.State == state && l.self.Config == config
	l.self.State = state
	l.self.Config = config
	l.mu.Unlock()
	if unchanged {
		return
	}
	_ = l.swim.UpdateNode(l.opt.Probe) // a timeout is no failure: gossip still spreads the change
}

// Stop announces that this process leaves, waiting at most timeout for the announcement to be sent, and ends the membership. Members that
// do not receive the announcement detect this process as dead.
func (l *List) Stop(timeout time.Duration) {
	l.stop()
	l.worker.Wait()
	_ = l.swim.Leave(timeout)
	_ = l.swim.Shutdown()
}
