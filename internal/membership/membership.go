// Package membership knows the processes of the fleet: their names, places, versions and states, found by SWIM
// (hashicorp/memberlist). It offers a list and a stream of events. Requests never wait for it.
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
	// maxBufferedEvents is how many events a watcher may be behind before it misses some.
	maxBufferedEvents = 4096
)

// Times of memberlist, in probe intervals.
const (
	seedCheckProbes       = 2
	pushPullProbes        = 30
	tcpTimeoutProbes      = 10
	gossipToTheDeadProbes = 30
	deadNodeReclaimProbes = 10 // a process that starts again may have another address
	probeTimeoutsPerProbe = 2
	gossipRoundsPerProbe  = 5
)

// Options configure a List.
type Options struct {
	// Fleet is the fleet's name; packets of other fleets are ignored.
	Fleet string
	// Self is this process. Its Address is the one by which the others reach it.
	Self Member
	// Seeds are the addresses of some members.
	Seeds []string
	// Probe is the interval at which this process probes one other member; other intervals are multiples of it. 0: a second.
	Probe time.Duration
	// Forget is how long a dead member is listed. 0: an hour.
	Forget time.Duration
	// Now reads a monotonic clock.
	Now func() time.Duration
	Log *slog.Logger
}

// View is the part of a List that other packages read. Its methods may be called concurrently and do not block on the network.
type View interface {
	// Members returns all known members by name, with this process and the dead ones.
	Members() []Member
	// Self returns this process as it announces itself.
	Self() Member
	// Lookup returns the member of a name; false: there is none.
	Lookup(name string) (Member, bool)
	// Len returns the number of Members.
	Len() int
}

// List follows the fleet's membership. Its methods may be called concurrently.
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

// Start joins the fleet over a node: it takes the node's packets and one kind of its streams, and asks the seeds until all are members. It
// does not wait for them. The owner calls Stop, and closes the node after that.
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
		return nil, fmt.Errorf("fleet: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.worker.Go(func() { l.joinSeeds(ctx) })
	return l, nil
}

func (l *List) memberlistConfig(t *transport) (*memberlist.Config, error) {
	host, _, err := net.SplitHostPort(l.opt.Self.Address)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
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

// joinSeeds asks the seeds that are not alive members, until ctx ends: after a network partition each side goes on alone, and memberlist
// does not ask members that have been dead for long.
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

// exchangeWithSeeds exchanges with each seed that was no member at first, even where the first one's answer names the others.
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

// absentSeeds returns the other seeds that are unknown or dead.
func (l *List) absentSeeds() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.opt.Seeds), func(seed string) bool {
		return seed == l.opt.Self.Address || l.roster.aliveAt(seed)
	})
}

// Exchange exchanges the complete membership with the member at an address. It blocks until that is done or has failed.
func (l *List) Exchange(address string) error {
	_, err := l.swim.Join([]string{address})
	return err
}

// observe applies an observation to the roster and sends the events to the watchers.
func (l *List) observe(observation func(now time.Duration) []Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, event := range observation(l.opt.Now()) {
		member := event.Member
		l.opt.Log.Info("member state changed", "name", member.Name, "from", string(event.From), "to", string(member.State), "incarnation", member.Incarnation, "restarted", event.Restarted)
		for _, watcher := range l.watchers {
			select {
			case watcher <- event:
			default: // it misses the event
			}
		}
	}
}

// Watch returns a stream of events from now on. A watcher that is too slow misses events; Members is always complete. The channel is
// never closed.
func (l *List) Watch() <-chan Event {
	events := make(chan Event, maxBufferedEvents)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers = append(l.watchers, events)
	return events
}

// Members returns all known members by name, with this process and the dead ones.
func (l *List) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.list()
}

// Lookup returns the member of a name, in whatever state; false: there is none.
func (l *List) Lookup(name string) (Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.roster.members[name]
	if entry == nil {
		return Member{}, false
	}
	return entry.Member, true
}

// Len returns the number of known members, with this process and the dead ones.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.roster.members)
}

// Self returns this process as it announces itself.
func (l *List) Self() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// Conflicts counts the claims of a member's name by another address.
func (l *List) Conflicts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conflicts
}

// Announce changes this process's state and the version of its configuration, and blocks until some members have it, for at most the
// probe interval; the others learn it by gossip and the next complete exchange.
func (l *List) Announce(state State, config string) {
	l.mu.Lock()
	unchanged := l.self.State == state && l.self.Config == config
	l.self.State = state
	l.self.Config = config
	l.mu.Unlock()
	if unchanged {
		return
	}
	_ = l.swim.UpdateNode(l.opt.Probe) // a timeout; see above
}

// Stop announces within a time that this process leaves, and ends the membership. It blocks until that is done. Members that do not hear
// of it find this process dead.
func (l *List) Stop(timeout time.Duration) {
	l.stop()
	l.worker.Wait()
	_ = l.swim.Leave(timeout)
	_ = l.swim.Shutdown()
}
