package membership

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"robindrum/internal/peer"
)

// streamKind is how memberlist's TCP connections call themselves.
const streamKind = "members"

// Options are what a List is told.
type Options struct {
	Fleet string
	Self  Member // Address: how others reach it
	Seeds []string
	// Probe is between two probes of this process, each of one member; others follow from it. 0: a second.
	Probe time.Duration
	// Forget is how long a dead member is remembered. 0: an hour.
	Forget time.Duration
	Now    func() time.Duration
	Log    *slog.Logger
}

// View is all that the rest of the program sees.
type View interface {
	Members() []Member
	Self() Member
	Lookup(name string) (Member, bool)
	Len() int
}

// List follows the fleet. Its methods may be called by several goroutines at once.
type List struct {
	opt  Options
	ml   *memberlist.Memberlist
	t    *transport
	end  context.CancelFunc
	work sync.WaitGroup

	mu        sync.Mutex
	roster    *roster
	self      Member
	watch     []chan Event
	conflicts int
	missed    int // events that a watcher was too slow for
}

// Start joins the fleet: it has the node take its packets and streams, and asks the seeds until one answers.
func Start(n *peer.Node, opt Options) (*List, error) {
	if opt.Probe == 0 {
		opt.Probe = time.Second
	}
	if opt.Forget == 0 {
		opt.Forget = time.Hour
	}
	if _, err := opt.Self.meta(); err != nil {
		return nil, err
	}
	l := &List{opt: opt, roster: newRoster(opt.Forget), self: opt.Self}
	l.t = newTransport(n)
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport = opt.Self.Name, opt.Fleet, l.t
	host, _, err := net.SplitHostPort(opt.Self.Address)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	c.AdvertiseAddr, c.AdvertisePort = host, peer.Port(opt.Self.Address)
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = opt.Probe, opt.Probe/2, opt.Probe/5
	c.PushPullInterval, c.TCPTimeout, c.GossipToTheDeadTime = 30*opt.Probe, 10*opt.Probe, 30*opt.Probe
	c.DeadNodeReclaimTime = 10 * opt.Probe // a process that starts again may have another address
	c.Delegate, c.Events, c.Conflict, c.Ping, c.Alive = (*delegate)(l), (*delegate)(l), (*delegate)(l), (*delegate)(l), (*delegate)(l)
	c.Logger = log.New(&logReader{l: l}, "", 0)
	if l.ml, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.end = cancel
	l.work.Go(func() { l.join(ctx) })
	return l, nil
}

// join asks the seeds whenever this process is alone or a seed is not among the members: after a split both sides go on by
// themselves, and memberlist asks nobody whom it has given up for long.
func (l *List) join(ctx context.Context) {
	tick := time.NewTicker(2 * l.opt.Probe)
	defer tick.Stop()
	for {
		l.ask(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.told(func(now time.Duration) []Event { return l.roster.tick(now) })
		}
	}
}

// ask makes a full exchange with each seed that was not among the members before, also where the first one that answers names the others.
func (l *List) ask(ctx context.Context) {
	for _, s := range l.absent() {
		if ctx.Err() != nil {
			return
		}
		if err := l.Exchange(s); err != nil {
			l.opt.Log.Debug("a seed does not answer", "seed", s, "err", err)
		}
	}
}

// absent are the seeds that are not known, or are given up.
func (l *List) absent() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.opt.Seeds), func(s string) bool { return s == l.opt.Self.Address || l.roster.lives(s) })
}

// Exchange tells the member at an address all that is known here, and takes all that it knows.
func (l *List) Exchange(address string) error {
	_, err := l.ml.Join([]string{address})
	return err
}

// told runs one event of the roster and hands on what comes of it.
func (l *List) told(event func(now time.Duration) []Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range event(l.opt.Now()) {
		l.opt.Log.Info("member", "name", e.Member.Name, "from", string(e.From), "to", string(e.Member.State), "birth", e.Member.Incarnation, "restarted", e.Restarted)
		for _, ch := range l.watch {
			select {
			case ch <- e:
			default:
				l.missed++
			}
		}
	}
}

// Watch gives a stream of events from now on. Whoever is too slow for it misses some, and has Members.
func (l *List) Watch() <-chan Event {
	ch := make(chan Event, maxEvents)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = append(l.watch, ch)
	return ch
}

// Members lists all that are known, with this process and those that are dead, by name.
func (l *List) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.list()
}

// Lookup gives one that is known, in whatever state; false: none has that name.
func (l *List) Lookup(name string) (Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.roster.all[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Len is how many are known, with this process and those that are dead.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.roster.all)
}

// Self is this process.
func (l *List) Self() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// Conflicts counts claims of a name by another address than its holder's.
func (l *List) Conflicts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conflicts
}

// Announce changes what this process says of itself.
func (l *List) Announce(s State, config string) {
	l.mu.Lock()
	same := l.self.State == s && l.self.Config == config
	l.self.State, l.self.Config = s, config
	l.mu.Unlock()
	if !same {
		_ = l.ml.UpdateNode(l.opt.Probe) // what it did not tell in time goes with the next full exchange
	}
}

// Stop says that this process leaves, within so long, and ends.
func (l *List) Stop(within time.Duration) {
	l.end()
	l.work.Wait()
	_ = l.ml.Leave(within) // those who do not hear of it find out
	_ = l.ml.Shutdown()
}

// delegate is what memberlist calls.
type delegate List

func (d *delegate) list() *List { return (*List)(d) }

func (d *delegate) NodeMeta(int) []byte {
	l := d.list()
	l.mu.Lock()
	defer l.mu.Unlock()
	b, _ := l.self.meta() // checked at the start, and a longer configuration's version cannot be
	return b
}
func (d *delegate) NotifyMsg([]byte)                {}
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}

func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	_, err := readMeta(n.Name, n.Address(), n.Meta)
	return err
}

func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.heard(n) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.heard(n) }
func (d *delegate) heard(n *memberlist.Node) {
	if m, err := readMeta(n.Name, n.Address(), n.Meta); err == nil {
		d.list().told(func(now time.Duration) []Event { return d.roster.alive(now, m) })
	}
}

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	m, err := readMeta(n.Name, n.Address(), n.Meta)
	if err != nil {
		return
	}
	d.list().told(func(now time.Duration) []Event {
		// Who says that it is leaving, or that it was asked to end, has left; others are dead.
		return d.roster.ended(now, m.Name, m.Incarnation, m.State == Leaving)
	})
}

func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	l := d.list()
	l.mu.Lock()
	l.conflicts++
	l.mu.Unlock()
	l.opt.Log.Warn("two members claim one name; the one before keeps it until it is dead", "name", existing.Name, "has", existing.Address(), "claims", other.Address())
}

func (d *delegate) AckPayload() []byte { return nil }
func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	d.list().told(func(now time.Duration) []Event { return d.roster.cleared(now, n.Name) })
}

// logReader takes memberlist's log. That this process suspects a member is told nowhere else.
type logReader struct{ l *List }

func (r *logReader) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if _, rest, ok := strings.Cut(line, "memberlist: Suspect "); ok {
		name, _, _ := strings.Cut(rest, " has failed")
		// Not here: memberlist may hold its own lock.
		r.l.told(func(now time.Duration) []Event { return r.l.roster.suspect(now, name) })
	}
	r.l.opt.Log.Debug("members", "line", line)
	return len(b), nil
}

// transport has memberlist's packets and streams go over the node.
type transport struct {
	n       *peer.Node
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	work    sync.WaitGroup
}

func newTransport(n *peer.Node) *transport {
	t := &transport{n: n, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), done: make(chan struct{})}
	n.HandleStream(streamKind, func(http.Header) (http.Header, error) { return http.Header{}, nil }, func(c net.Conn) {
		select {
		case t.streams <- c:
		case <-t.done:
			c.Close()
		}
	})
	t.work.Go(func() {
		b := make([]byte, 64<<10)
		for {
			k, from, err := n.ReadPacket(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil || k == 0 {
				continue
			}
			select {
			case t.packets <- &memberlist.Packet{Buf: slices.Clone(b[:k]), From: from, Timestamp: time.Now()}:
			case <-t.done:
				return
			}
		}
	})
	return t
}

func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	a := net.ParseIP(ip)
	if a == nil {
		return nil, 0, fmt.Errorf("%q is not an IP address", ip)
	}
	if v4 := a.To4(); v4 != nil {
		a = v4
	}
	return a, port, nil
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return time.Now(), t.n.SendPacket(addr, b)
}
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	c, _, err := t.n.Stream(ctx, addr, streamKind, http.Header{})
	return c, err
}

// Shutdown ends what memberlist waits for. The node is its owner's to close.
func (t *transport) Shutdown() error {
	t.once.Do(func() { close(t.done) })
	return nil
}

var _ io.Writer = (*logReader)(nil)
