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
	minSilence  = 10 * time.Millisecond // a silent client that is older may be closed for a dial
)

// clientSet is the set of a front's client connections within the descriptor budget.
type clientSet struct {
	budget     *backend.Budget
	maxClients int // beyond it clients leave too few descriptors for endpoints
	boot       time.Time
	shedSilent bool // clients whose request heads do not arrive are shed when they are many

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

// add adds a client that has just connected, and returns false if it was closed instead. Beyond maxClients the client that
// has been idle longest is closed for it; once clients hold half of the descriptors reserved for endpoints, that may be one
// that connected just before and has sent nothing yet. If no other client can be closed the new one is, unless its request
// has arrived. With shedSilent, shedPendingHeads makes room instead.
//
// Otherwise a connection flood would take the descriptors of discovery, endpoints and health checks. The oldest client is
// closed and not the new one, since a well-behaved client's request arrives a moment after its connection.
func (c *clientSet) add(k *client) bool {
	c.markIdle(k)
	c.headPending(k)
	c.mu.Lock()
	c.clients[k] = struct{}{}
	n := len(c.clients)
	c.mu.Unlock()
	room := c.shedSilent || n <= c.maxClients || c.closeOldestIdle(minIdle) || n <= (c.maxClients+c.budget.Limit())/2 || c.closeOldestIdle(0)
	c.budget.Force()
	if k.closed.Load() { // it was the oldest itself
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

// full reports whether there are too many clients to accept a request of one more. Clients whose request has not arrived
// hold a descriptor but need none at an endpoint.
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
	minHeadAge          = 250 * time.Millisecond // younger heads are not shed: they may belong to a burst
	pendingHeadsDivisor = 4                      // of maxClients one in so many may have a pending head
	prefixDivisor       = 8                      // and one in so many of one address prefix
	maxShedAtOnce       = 16                     // in one call
	maxBusySkipped      = 4                      // connections with unread bytes skipped for one descriptor
)

// headPending notes that a client's next request head is awaited from now on.
func (c *clientSet) headPending(k *client) {
	if c.shedSilent {
		k.headPendingSince.Store(int64(time.Since(c.boot)) + 1)
	}
}

// headArrived notes that the head has arrived. It returns false if the client was shed before.
func (c *clientSet) headArrived(k *client) bool { return k.headPendingSince.Swap(0) >= 0 }

// halfOpen counts the clients with a pending head and returns those older than minHeadAge by address prefix.
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

// shedPendingHeads closes the oldest clients with pending heads if these are too many, those of the address prefix with the
// most of them first. Each would hold a descriptor for requestReadTimeout (slowloris).
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
		if l[at].headPendingSince.CompareAndSwap(since, -1) { // unless its head has arrived meanwhile
			_ = l[at].Close()
		}
		old[from] = slices.Delete(l, at, at+1)
		n--
	}
}

// PrefixOf returns the address prefix that stands for one client: v4 bits of an IPv4 and v6 bits of an IPv6 address.
func PrefixOf(a netip.Addr, v4, v6 int) netip.Prefix {
	bits := v4
	if a.Is6() {
		bits = v6
	}
	p, _ := a.Prefix(bits) // the zero Prefix for the zero Addr
	return p
}

// closeOldestIdle closes the client that has been idle longest, if one has been idle for minIdle. For a client that has never
// sent anything silent is enough, since clients send as soon as they have connected. It reports whether it closed one.
func (c *clientSet) closeOldestIdle(silent time.Duration) bool {
	old := func(k *client) bool {
		d := c.idleTime(k)
		if c.shedSilent { // pending heads are shed by other rules
			return d >= minIdle && (k.served.Load() || d >= requestReadTimeout)
		}
		return d >= minIdle || d >= silent && !k.served.Load()
	}
	var passed []*client // whose next request has arrived
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

// closeIdle closes the connections that have been idle for so long, and unused ones after five times that.
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

// interruptReads wakes all readers by a deadline in the past.
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

// awaitEmpty blocks until no connection is left.
func (c *clientSet) awaitEmpty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.clients) > 0 {
		c.empty.Wait()
	}
}

// Serve accepts connections on l and serves them until l is closed or Stop has emptied its backlog. If accepting fails,
// mostly for lack of descriptors, it closes an idle connection and goes on, since requests in the backlog count as accepted.
func (f *Front) Serve(l net.Listener) { f.ServeAs("", l) }

// ServeAs is Serve with a listener name that the Router gets as Peer.Listener.
func (f *Front) ServeAs(name string, l net.Listener) {
	f.accepting.Add(1)
	defer f.accepting.Add(-1)
	for empty := false; ; {
		nc, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // Stop was called
			// A deadline that was over before Accept began says nothing about the backlog.
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
		if k.raw, err = k.SyscallConn(); err != nil { // the connection is closed already
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
