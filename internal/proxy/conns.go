package proxy

import (
	"errors"
	"math"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"robindrum/internal/backend"
)

const (
	acceptRetry = 5 * time.Millisecond
	minIdle     = 50 * time.Millisecond
	minSilence  = 10 * time.Millisecond // a client that has said nothing for so long makes room for a dial
)

type clientSet struct {
	budget     *backend.Budget
	maxClients int // above this many, clients leave too little for backends
	boot       time.Time
	shedSilent bool // clients that owe a head are shed where they are many

	mu      sync.Mutex
	clients map[*client]struct{}
	empty   *sync.Cond
}

func newClientSet(budget *backend.Budget, heads bool) *clientSet {
	c := &clientSet{budget: budget, shedSilent: heads, maxClients: budget.Limit() * 3 / 4, boot: time.Now(), clients: map[*client]struct{}{}}
	c.empty = sync.NewCond(&c.mu)
	budget.OnShort(func() bool { return c.closeOldestIdle(minSilence) })
	return c
}

func (c *clientSet) markIdle(k *client) { k.idleSince.Store(int64(time.Since(c.boot)) + 1) }

func (c *clientSet) idleTime(k *client) time.Duration {
	q := k.idleSince.Load()
	if q == 0 {
		return 0
	}
	return time.Since(c.boot) - time.Duration(q)
}

// add takes in a client that has just connected. Where clients are many, who has been idle for longest makes room for it; where
// they hold half of what is to be left to backends, that may be one that has connected just before and said nothing yet. Where
// nobody is to be had for that, it is shut itself unless its request is here, and add tells that. Where clients that owe a head
// are shed (ShedHeads), that does it.
//
// Danger: idle clients that come faster than they are shut hold what discovery, backends and the health check need. And where it
// is the new one that is shut, instead of the oldest, a good client whose request is a moment behind its connection is too, on
// each connection that it tries.
func (c *clientSet) add(k *client) bool {
	c.markIdle(k)
	c.headPending(k)
	c.mu.Lock()
	c.clients[k] = struct{}{}
	n := len(c.clients)
	c.mu.Unlock()
	room := c.shedSilent || n <= c.maxClients || c.closeOldestIdle(minIdle) || n <= (c.maxClients+c.budget.Limit())/2 || c.closeOldestIdle(0)
	c.budget.Force()
	if k.closed.Load() { // nobody else was to be had
		return false
	}
	if !room {
		if waits, _ := k.peek(); !waits {
			_ = k.Close()
			return false
		}
	}
	return true
}

func (c *clientSet) remove(k *client) {
	c.budget.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.clients, k)
	if len(c.clients) == 0 {
		c.empty.Broadcast()
	}
}

func (c *clientSet) crowded() bool { return c.budget.Used() >= c.budget.Limit() }

// full tells whether there are too many clients to take a request of one more. Those that owe a head, or have said nothing
// yet, hold a descriptor, but ask nothing of backends.
func (c *clientSet) full() bool {
	c.mu.Lock()
	n := len(c.clients)
	if n > c.maxClients && !c.shedSilent {
		n = 0
		for k := range c.clients {
			if k.served.Load() || k.idleSince.Load() == 0 {
				n++
			}
		}
	}
	c.mu.Unlock()
	if n <= c.maxClients {
		return false
	}
	if c.shedSilent {
		c.shedPendingHeads()
		if open, _ := c.halfOpen(); n-open <= c.maxClients {
			return false
		}
	}
	return !c.closeOldestIdle(minIdle)
}

const (
	minHeadAge          = 250 * time.Millisecond // a head that is on its way for no longer is not shed: bursts come as fast
	pendingHeadsDivisor = 4                      // of the clients' descriptors, one in so many may owe a head
	prefixDivisor       = 8                      // and of one address prefix, one in so many
	maxShedAtOnce       = 16                     // at once
	maxBusySkipped      = 4                      // idle connections passed over for one descriptor
)

// headPending notes that a client's head is on its way from now on; paid that it has come, and tells whether it came before the
// client was shed.
func (c *clientSet) headPending(k *client) {
	if c.shedSilent {
		k.headPendingSince.Store(int64(time.Since(c.boot)) + 1)
	}
}

func (c *clientSet) headArrived(k *client) bool { return k.headPendingSince.Swap(0) >= 0 }

// halfOpen counts the clients that owe a head, and gives those that do for long by their address prefix.
func (c *clientSet) halfOpen() (n int, old map[netip.Prefix][]*client) {
	now := int64(time.Since(c.boot)) + 1
	old = map[netip.Prefix][]*client{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.clients {
		if at := k.headPendingSince.Load(); at > 0 {
			if n++; now-at >= int64(minHeadAge) {
				old[k.prefix] = append(old[k.prefix], k)
			}
		}
	}
	return n, old
}

// shedPendingHeads closes the oldest of the clients that owe a head, where they are too many: of the address prefix that has the
// most of them. Danger: each holds a descriptor for as long as a request may take to come, and good clients have none.
func (c *clientSet) shedPendingHeads() {
	c.mu.Lock()
	many := len(c.clients) > c.maxClients/prefixDivisor
	c.mu.Unlock()
	if !c.shedSilent || !many {
		return
	}
	n, old := c.halfOpen()
	for range maxShedAtOnce {
		var from netip.Prefix
		for p, l := range old {
			if len(l) > len(old[from]) {
				from = p
			}
		}
		l := old[from]
		if len(l) == 0 || n <= c.maxClients/pendingHeadsDivisor && len(l) <= c.maxClients/prefixDivisor {
			return
		}
		at, since := 0, int64(math.MaxInt64)
		for i, k := range l {
			if v := k.headPendingSince.Load(); v > 0 && v < since {
				at, since = i, v
			}
		}
		if l[at].headPendingSince.CompareAndSwap(since, -1) { // else its head has come meanwhile
			_ = l[at].Close()
		}
		old[from] = slices.Delete(l, at, at+1)
		n--
	}
}

// PrefixOf is the part of an address that stands for one client: so many bits of IPv4 and of IPv6.
func PrefixOf(a netip.Addr, v4, v6 int) netip.Prefix {
	bits := v4
	if a.Is6() {
		bits = v6
	}
	p, _ := a.Prefix(bits) // no address, no prefix
	return p
}

// closeOldestIdle closes the client that has been idle for longest, if one has been for long enough; one that has never said anything
// has after so long already, as clients send as soon as they have connected.
func (c *clientSet) closeOldestIdle(silent time.Duration) bool {
	old := func(k *client) bool {
		d := c.idleTime(k)
		if c.shedSilent { // who owes a head is shed by other rules
			return d >= minIdle && (k.served.Load() || d >= requestReadTimeout)
		}
		return d >= minIdle || d >= silent && !k.served.Load()
	}
	var passed []*client // whose next request has come: they are as good as busy
	for len(passed) < maxBusySkipped {
		var oldest *client
		var most time.Duration
		c.mu.Lock()
		for k := range c.clients {
			if d := c.idleTime(k); d > most && old(k) && !slices.Contains(passed, k) {
				oldest, most = k, d
			}
		}
		c.mu.Unlock()
		if oldest == nil {
			return false
		}
		if oldest.closeIdle(func() bool { return old(oldest) }) {
			return true
		}
		passed = append(passed, oldest)
	}
	return false
}

// closeIdle closes the connections that have been idle for so long, and new ones on which nothing came for five times that.
func (c *clientSet) closeIdle(idle time.Duration) {
	for _, k := range c.list() {
		old := func() bool {
			d := c.idleTime(k)
			return d >= 5*idle || d >= idle && k.served.Load()
		}
		if old() {
			k.closeIdle(old)
		}
	}
}

// interruptReads wakes all who read.
func (c *clientSet) interruptReads() {
	for _, k := range c.list() {
		k.SetReadDeadline(longAgo)
	}
}

func (c *clientSet) list() []*client {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := make([]*client, 0, len(c.clients))
	for k := range c.clients {
		l = append(l, k)
	}
	return l
}

// awaitEmpty waits until no connection is left.
func (c *clientSet) awaitEmpty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.clients) > 0 {
		c.empty.Wait()
	}
}

// Serve accepts clients on l and serves them until l is closed, or Stop has had its backlog emptied. Nothing else ends it:
// where accepting fails, for want of a descriptor mostly, room is made, as what waits in the backlog counts as taken.
func (f *Front) Serve(l net.Listener) { f.ServeAs("", l) }

// ServeAs is Serve under a name, which the Router is told.
func (f *Front) ServeAs(name string, l net.Listener) {
	f.accepting.Add(1)
	defer f.accepting.Add(-1)
	for empty := false; ; {
		nc, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // Stop has come
			// Danger: a time that was over before Accept began says nothing of the backlog.
			if empty || !f.stopping.Load() {
				l.Close()
				return
			}
			empty = true
			_ = l.(deadliner).SetDeadline(time.Now().Add(backlogWait))
			continue
		case err != nil:
			f.conns.budget.EvictOne()
			time.Sleep(acceptRetry)
			continue
		}
		empty = false
		k := &client{TCPConn: nc.(*net.TCPConn), front: f, peer: Peer{Listener: name}}
		if k.raw, err = k.SyscallConn(); err != nil { // it is closed already
			nc.Close()
			continue
		}
		if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
			k.peer.Addr = a.AddrPort().Addr().Unmap()
		}
		if f.conns.shedSilent {
			k.prefix = PrefixOf(k.peer.Addr, 24, 56)
			f.conns.shedPendingHeads()
		}
		if f.conns.add(k) {
			go k.serve()
		}
	}
}
