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
	acceptRetryDelay = 5 * time.Millisecond  // delay after a failed Accept
	minIdle          = 50 * time.Millisecond // a connection idle for less is not closed to free a descriptor
	minSilence       = 10 * time.Millisecond // the same for a connection that has sent nothing yet, if a dial needs a descriptor
)

// clientSet is the set of a Front's client connections. It closes idle and silent ones to stay within the descriptor budget.
type clientSet struct {
	budget     *backend.Budget
	maxClients int       // more would leave too few descriptors for endpoints
	startTime  time.Time // start of the clock for idleSince and headPendingSince
	shedSilent bool      // clients whose request heads do not arrive are shed if there are too many of them

	mu      sync.Mutex
	clients map[*client]struct{}
	empty   *sync.Cond // signaled when no client is left
}

func newClientSet(budget *backend.Budget, shedSilentClients bool) *clientSet {
	s := &clientSet{budget: budget, shedSilent: shedSilentClients, maxClients: budget.Limit() * 3 / 4, startTime: time.Now(), clients: map[*client]struct{}{}}
	s.empty = sync.NewCond(&s.mu)
	budget.RegisterEvictor(func() bool { return s.closeOldestIdle(minSilence) })
	return s
}

func (s *clientSet) markIdle(c *client) { c.idleSince.Store(int64(time.Since(s.startTime)) + 1) }

// idleTime returns how long a client has been idle; 0 while its request is read or answered.
func (s *clientSet) idleTime(c *client) time.Duration {
	since := c.idleSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(s.startTime) - time.Duration(since)
}

// add adds a client that has just connected, and returns false if it was closed instead. If there are more than maxClients, add
// closes the client that has been idle longest. Once clients hold half of the descriptors reserved for endpoints, this may be a
// client that connected just before and has sent nothing yet. If no other client can be closed, add closes the new one, unless
// its request has arrived. With shedSilent, shedPendingHeads closes clients instead.
//
// This keeps a connection flood from taking the descriptors of discovery, endpoints and health checks. The oldest client is
// closed rather than the new one, since a well-behaved client's request arrives a moment after its connection.
func (s *clientSet) add(c *client) bool {
	s.markIdle(c)
	s.headPending(c)
	s.mu.Lock()
	s.clients[c] = struct{}{}
	n := len(s.clients)
	s.mu.Unlock()
	hasRoom := s.shedSilent || n <= s.maxClients || s.closeOldestIdle(minIdle) || n <= (s.maxClients+s.budget.Limit())/2 || s.closeOldestIdle(0)
	s.budget.AcquireForced()
	if c.closed.Load() { // the new client was the oldest idle one
		return false
	}
	if !hasRoom {
		if unread, _ := c.peek(); !unread {
			_ = c.Close()
			return false
		}
	}
	return true
}

func (s *clientSet) remove(c *client) {
	s.budget.Release()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	if len(s.clients) == 0 {
		s.empty.Broadcast()
	}
}

// crowded reports whether all descriptors are in use.
func (s *clientSet) crowded() bool { return s.budget.Used() >= s.budget.Limit() }

// full reports whether there are too many clients to accept another request. Clients whose request has not arrived are not
// counted: they hold a descriptor, but need no second one for an endpoint. To make room, full may close a client.
func (s *clientSet) full() bool {
	s.mu.Lock()
	count := len(s.clients)
	if count > s.maxClients && !s.shedSilent {
		count = 0
		for c := range s.clients {
			if c.served.Load() || c.idleSince.Load() == 0 {
				count++
			}
		}
	}
	s.mu.Unlock()
	if count <= s.maxClients {
		return false
	}
	if s.shedSilent {
		s.shedPendingHeads()
		if pending, _ := s.pendingHeads(); count-pending <= s.maxClients {
			return false
		}
	}
	return !s.closeOldestIdle(minIdle)
}

const (
	minHeadAge          = 250 * time.Millisecond // clients whose head is pending for less are not shed: they may belong to a burst
	pendingHeadsDivisor = 4                      // at most maxClients/pendingHeadsDivisor clients may have a pending head
	prefixDivisor       = 8                      // at most maxClients/prefixDivisor clients of one address prefix may have one
	maxShedAtOnce       = 16                     // clients shed in one call
	maxBusySkipped      = 4                      // connections with unread bytes that one call of closeOldestIdle skips
)

// headPending records that a client's next request head is awaited from now on.
func (s *clientSet) headPending(c *client) {
	if s.shedSilent {
		c.headPendingSince.Store(int64(time.Since(s.startTime)) + 1)
	}
}

// headArrived records that a client's request head has arrived. It returns false if the client has already been shed.
func (s *clientSet) headArrived(c *client) bool { return c.headPendingSince.Swap(0) >= 0 }

// pendingHeads returns the number of clients with a pending request head, and by address prefix those whose head has been
// pending for at least minHeadAge.
func (s *clientSet) pendingHeads() (count int, old map[netip.Prefix][]*client) {
	now := int64(time.Since(s.startTime)) + 1
	old = map[netip.Prefix][]*client{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if since := c.headPendingSince.Load(); since > 0 {
			if count++; now-since >= int64(minHeadAge) {
				old[c.prefix] = append(old[c.prefix], c)
			}
		}
	}
	return count, old
}

// shedPendingHeads closes clients with pending heads if there are too many of them: first the oldest clients of the address
// prefix that has the most. Each would hold a descriptor for requestReadTimeout (a slowloris attack).
func (s *clientSet) shedPendingHeads() {
	s.mu.Lock()
	many := len(s.clients) > s.maxClients/prefixDivisor
	s.mu.Unlock()
	if !s.shedSilent || !many {
		return
	}
	count, old := s.pendingHeads()
	for range maxShedAtOnce {
		var largest netip.Prefix
		for prefix, candidates := range old {
			if len(candidates) > len(old[largest]) {
				largest = prefix
			}
		}
		candidates := old[largest]
		if len(candidates) == 0 || count <= s.maxClients/pendingHeadsDivisor && len(candidates) <= s.maxClients/prefixDivisor {
			return
		}
		oldest, since := 0, int64(math.MaxInt64)
		for i, c := range candidates {
			if pendingSince := c.headPendingSince.Load(); pendingSince > 0 && pendingSince < since {
				oldest, since = i, pendingSince
			}
		}
		if candidates[oldest].headPendingSince.CompareAndSwap(since, -1) { // unless its head has arrived in the meantime
			_ = candidates[oldest].Close()
		}
		old[largest] = slices.Delete(candidates, oldest, oldest+1)
		count--
	}
}

// PrefixOf returns the prefix of an address whose hosts are treated as one client. It has v4 bits for an IPv4 address and v6 bits
// for an IPv6 address.
func PrefixOf(addr netip.Addr, v4, v6 int) netip.Prefix {
	bits := v4
	if addr.Is6() {
		bits = v6
	}
	prefix, _ := addr.Prefix(bits) // returns the zero Prefix for the zero Addr
	return prefix
}

// closeOldestIdle closes the client that has been idle longest, if one has been idle for minIdle. For a client that has never
// sent a request the shorter time silent suffices, since clients send as soon as they have connected. It reports whether it
// closed a client.
func (s *clientSet) closeOldestIdle(silent time.Duration) bool {
	old := func(c *client) bool {
		idle := s.idleTime(c)
		if s.shedSilent { // clients with pending heads are closed by shedPendingHeads
			return idle >= minIdle && (c.served.Load() || idle >= requestReadTimeout)
		}
		return idle >= minIdle || idle >= silent && !c.served.Load()
	}
	var skipped []*client // clients that are no longer idle or whose next request has arrived
	for len(skipped) < maxBusySkipped {
		var oldest *client
		var longest time.Duration
		s.mu.Lock()
		for c := range s.clients {
			if idle := s.idleTime(c); idle > longest && old(c) && !slices.Contains(skipped, c) {
				oldest, longest = c, idle
			}
		}
		s.mu.Unlock()
		if oldest == nil {
			return false
		}
		if oldest.closeIdle(func() bool { return old(oldest) }) {
			return true
		}
		skipped = append(skipped, oldest)
	}
	return false
}

// closeIdle closes the connections that have been idle for at least idle. A connection that has not sent a complete
// request head is closed after five times idle.
func (s *clientSet) closeIdle(idle time.Duration) {
	for _, c := range s.list() {
		closable := func() bool {
			idleFor := s.idleTime(c)
			return idleFor >= 5*idle || idleFor >= idle && c.served.Load()
		}
		if closable() {
			c.closeIdle(closable)
		}
	}
}

// interruptReads wakes all blocked readers by setting a read deadline in the past.
func (s *clientSet) interruptReads() {
	for _, c := range s.list() {
		c.SetReadDeadline(longAgo)
	}
}

func (s *clientSet) list() []*client {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*client, 0, len(s.clients))
	for c := range s.clients {
		all = append(all, c)
	}
	return all
}

// awaitEmpty blocks until all connections are closed.
func (s *clientSet) awaitEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.clients) > 0 {
		s.empty.Wait()
	}
}

// Serve accepts connections on l and serves them until l is closed or Stop has emptied its backlog. If Accept fails, usually for
// lack of descriptors, Serve closes an idle connection and retries, since requests in the backlog count as accepted.
func (f *Front) Serve(l net.Listener) { f.ServeAs("", l) }

// ServeAs is Serve with a listener name, which the Router receives as Peer.Listener.
func (f *Front) ServeAs(name string, l net.Listener) {
	f.accepting.Add(1)
	defer f.accepting.Add(-1)
	for timedOut := false; ; {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // Stop has set a deadline
			// Accept fails without looking at the backlog if its deadline has already passed, so the first timeout does not
			// show that the backlog is empty.
			if timedOut || !f.stopping.Load() {
				l.Close()
				return
			}
			timedOut = true
			_ = l.(deadliner).SetDeadline(time.Now().Add(backlogWait))
			continue
		case err != nil:
			f.conns.budget.EvictOne()
			time.Sleep(acceptRetryDelay)
			continue
		}
		timedOut = false
		c := &client{TCPConn: conn.(*net.TCPConn), front: f, peer: Peer{Listener: name}}
		if c.raw, err = c.SyscallConn(); err != nil { // the connection is already closed
			conn.Close()
			continue
		}
		if addr, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
			c.peer.Addr = addr.AddrPort().Addr().Unmap()
		}
		if f.conns.shedSilent {
			c.prefix = PrefixOf(c.peer.Addr, 24, 56)
			f.conns.shedPendingHeads()
		}
		if f.conns.add(c) {
			go c.serve()
		}
	}
}
