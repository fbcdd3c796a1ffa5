package node

import (
	"errors"
	"net"
	"sync"
	"time"

	"arrowhitch/internal/backend"
)

const (
	acceptRetry = 5 * time.Millisecond
	settled     = 50 * time.Millisecond
)

type conns struct {
	budget *backend.Budget
	slots  int // above this many, clients leave too little for backends
	boot   time.Time

	mu    sync.Mutex
	all   map[*client]struct{}
	empty *sync.Cond
}

func newConns(budget *backend.Budget) *conns {
	c := &conns{budget: budget, slots: budget.Limit() * 3 / 4, boot: time.Now(), all: map[*client]struct{}{}}
	c.empty = sync.NewCond(&c.mu)
	budget.OnShort(func() bool { return c.shutOldest() })
	return c
}

func (c *conns) rest(k *client) { k.quiet.Store(int64(time.Since(c.boot)) + 1) }

func (c *conns) idle(k *client) time.Duration {
	q := k.quiet.Load()
	if q == 0 || k.writing.Load() {
		return 0
	}
	return time.Since(c.boot) - time.Duration(q)
}

func (c *conns) add(k *client) {
	c.rest(k)
	c.mu.Lock()
	c.all[k] = struct{}{}
	c.mu.Unlock()
	c.budget.Force()
}

func (c *conns) remove(k *client) {
	c.budget.Give()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, k)
	if len(c.all) == 0 {
		c.empty.Broadcast()
	}
}

func (c *conns) crowded() bool { return c.budget.Used() >= c.budget.Limit() }

func (c *conns) full() bool {
	c.mu.Lock()
	over := len(c.all) > c.slots
	c.mu.Unlock()
	return over && !c.shutOldest()
}

func (c *conns) shutOldest() bool {
	var oldest *client
	most := settled
	c.mu.Lock()
	for k := range c.all {
		if d := c.idle(k); d >= most && (k.served.Load() || d >= sendTime) {
			oldest, most = k, d
		}
	}
	c.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return oldest != nil
}

func (c *conns) shut(idle time.Duration) {
	for _, k := range c.list() {
		if d := c.idle(k); d >= 5*idle || d >= idle && k.served.Load() {
			k.Close()
		}
	}
}

func (c *conns) interrupt() {
	for _, k := range c.list() {
		if !k.busy.Load() {
			k.SetReadDeadline(longAgo)
		}
	}
}

func (c *conns) list() []*client {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := make([]*client, 0, len(c.all))
	for k := range c.all {
		l = append(l, k)
	}
	return l
}

// drained waits until no connection is left.
func (c *conns) drained() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.all) > 0 {
		c.empty.Wait()
	}
}

// Serve accepts clients on l and serves them until l is closed. Nothing else ends it: where accepting fails,
// for want of a descriptor mostly, room is made, as what waits in the backlog counts as taken.
func (n *Front) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.conns.budget.Room()
			time.Sleep(acceptRetry)
			continue
		}
		k := &client{TCPConn: nc.(*net.TCPConn), front: n}
		n.conns.add(k)
		go k.serve()
	}
}
