// Package discovery tracks the platform's endpoint list: it fetches snapshots, reads watches and delivers updates. A pushed
// list is always watched; otherwise the list is polled, and the balancer decides when to watch or fetch it.
package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/balancer"
)

const (
	maxLineBytes     = 8 << 20  // of a line of a watch, or of a fetched list
	maxRetainedBytes = 64 << 10 // of a buffer for lines that is used again
	dialTimeout      = time.Second

	// A watch sends at least an empty line every 2 s. A change that a silent watch misses counts as notified 6 s after its last
	// line. A timeout of 3.5 s leaves time for another call before then.
	defaultSilenceTimeout = 3500 * time.Millisecond
	// What the service has written counts as notified, and sends to draining servers are allowed for a second more.
	defaultStallTimeout = 600 * time.Millisecond
	// The service at a previous address ends its watches 1.5 s after the move.
	previousAddressTimeout = 1500 * time.Millisecond
	// The agent that pushes lists runs on the same machine and responds at once. Changes that it knows count as notified, so a
	// failed call must be repeated well within the drain grace period of 1 s.
	agentTimeout         = 400 * time.Millisecond
	defaultMinRetryPause = 100 * time.Millisecond
	maxRetryPause        = 300 * time.Millisecond
)

// Client tracks the endpoint list of one discovery service. Its methods may be called concurrently and, except for Stop, do
// not block.
type Client struct {
	pushed  bool
	deliver func(Update)
	http    *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup
	lastID  atomic.Uint64 // of the calls, as their log messages name them

	fetchTimeout     time.Duration // of a snapshot
	firstLineTimeout time.Duration // until a watch sends its first line or, if lists are pushed, its response head
	silenceTimeout   time.Duration // maximum time between two lines of a watch
	stallTimeout     time.Duration // maximum time in which nothing comes within a line
	minRetryPause    time.Duration // before a pushed list is watched again; doubled after each failure

	deliverMu   sync.Mutex // serializes the delivery of updates from concurrent calls
	revision    uint64
	hasRevision bool // revision is set, by the cached list or by one from the current address
	stats       Stats

	mu             sync.Mutex // acquired after deliverMu
	url            string
	addressCtx     context.Context // ends with errMoved when Move changes the address
	cancelAddress  context.CancelCauseFunc
	currentWatch   *watchCall    // the watch started last; nil once it has ended
	overdueWatch   *watchCall    // the previous watch, if it is overdue but may still receive a response
	addressChanged chan struct{} // signals that a pushed list must be watched at a new address
}

// New returns a client of the discovery service at addr; Start starts it. deliver is called with each update, never
// concurrently. If pushed is true, the service pushes lists, and the client always watches.
func New(addr string, pushed bool, deliver func(Update)) *Client {
	c := &Client{url: instancesURL(addr), addressChanged: make(chan struct{}, 1), pushed: pushed, deliver: deliver,
		fetchTimeout: 5 * time.Second, firstLineTimeout: defaultSilenceTimeout, silenceTimeout: defaultSilenceTimeout,
		stallTimeout: defaultStallTimeout, minRetryPause: defaultMinRetryPause}
	if pushed {
		c.firstLineTimeout = agentTimeout
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.addressCtx, c.cancelAddress = context.WithCancelCause(c.ctx)
	// Do not reuse connections: net/http would retry a call on a connection that has just broken.
	c.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxResponseHeaderBytes: 64 << 10}}
	return c
}

func instancesURL(addr string) string { return "http://" + addr + "/registry/instances" }

// IsAt reports whether addr is the address of the service.
func (c *Client) IsAt(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.url == instancesURL(addr)
}

// Move changes the address of the service. The current list stays valid until a full snapshot arrives from the new address.
// Revisions of different addresses are unrelated, so address and revision change atomically, and calls to the previous address
// are cancelled. A move to the current address changes nothing. What a watch of the previous address names as draining or removed is still followed until a list arrives from the new one.
func (c *Client) Move(addr string) {
	if !c.setAddress(addr) {
		return
	}
	if c.pushed {
		select {
		case c.addressChanged <- struct{}{}:
		default:
		}
		return
	}
	c.Watch(true)
}

// setAddress changes the address and cancels the calls to the previous one. It returns false if the address is the current one.
func (c *Client) setAddress(addr string) bool {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	url := instancesURL(addr)
	if url == c.url {
		return false
	}
	c.url, c.hasRevision = url, false
	c.cancelAddress(errMoved)
	c.addressCtx, c.cancelAddress = context.WithCancelCause(c.ctx)
	c.currentWatch, c.overdueWatch = nil, nil
	return true
}

// Start delivers the cached list, which may be empty, and begins to watch if lists are pushed. It returns an error if cached is
// not a valid list; the client is started even then.
func (c *Client) Start(cached []byte) error {
	var update Update
	var err error
	if len(cached) > 0 && !bytes.Equal(cached, []byte("null")) {
		if c.revision, update, err = Parse(cached); err == nil {
			c.hasRevision = true
		} else {
			update = Update{}
		}
	}
	update.Kind = balancer.UpdateCached
	logList(0, c.revision, &update)
	c.deliver(update)
	if c.pushed {
		c.calls.Go(func() { c.followPushed() })
	}
	return err
}

// Stop cancels all calls and waits until they have ended. Nothing is delivered after it returns.
func (c *Client) Stop() {
	c.cancel()
	c.calls.Wait()
}

// followPushed watches a pushed list until Stop, with a randomized pause between two watches.
func (c *Client) followPushed() {
	pause := c.minRetryPause
	for c.ctx.Err() == nil {
		c.mu.Lock()
		watchCtx := c.addressCtx
		c.mu.Unlock()
		id := c.lastID.Add(1)
		delivered, reason := c.readWatch(watchCtx, id, nil)
		slog.Info("watch ended", "call", id, "reason", reason)
		if delivered {
			pause = c.minRetryPause
		}
		select {
		case <-c.ctx.Done():
		case <-c.addressChanged:
			pause = c.minRetryPause
			continue
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// Fetch fetches one snapshot in the background and delivers it or, on error, a failure.
func (c *Client) Fetch() {
	if c.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	parent := c.addressCtx
	c.mu.Unlock()
	id := c.lastID.Add(1)
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(parent, c.fetchTimeout)
		defer cancel()
		if err := c.fetch(ctx, id); err != nil {
			slog.Info("snapshot not received", "call", id, "reason", err)
			c.deliverFailure(parent, 0, err)
		}
	})
}

// deliverLine parses a line of the call with the given ID and delivers its update. It returns the revision known afterwards; known is the revision
// that was known when the call began or its previous line was delivered.
func (c *Client) deliverLine(ctx context.Context, id uint64, line []byte, known knownRevision) (knownRevision, error) {
	rev, u, err := Parse(line)
	if err != nil {
		return known, fmt.Errorf("%w: %w", errIncomplete, err)
	}
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if err := ctx.Err(); err != nil {
		if c.deliverFromPreviousAddress(ctx, id, line) {
			return known, nil
		}
		return known, err
	}
	// An older update must not undo a newer one. A snapshot with a lower revision than the one known when it was requested is
	// accepted: the service has reset its revisions. A snapshot is stale if another call has delivered a newer list meanwhile.
	if c.hasRevision && rev < c.revision && (u.Kind == balancer.UpdateDelta || known != (knownRevision{c.revision, true})) {
		return known, fmt.Errorf("stale revision %d, already at %d", rev, c.revision)
	}
	c.revision, c.hasRevision = rev, true
	c.stats.listReceived(time.Now(), rev)
	logList(id, rev, &u)
	c.deliver(u)
	return knownRevision{rev, true}, nil
}

// deliverUnchanged delivers a change of nothing for the call with the given ID, which has begun with an empty line: the list that is
// known is up to date, and the balancer must not take the call for one that is still pending.
func (c *Client) deliverUnchanged(ctx context.Context, id uint64, known knownRevision) {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	c.stats.listReceived(time.Now(), known.revision)
	slog.Info("list unchanged", "call", id, "revision", known.revision)
	c.deliver(Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateDelta}})
}

// deliverFromPreviousAddress delivers the servers that are draining or removed by a line of a watch of the previous address. It returns false
// if a list has arrived from the current one, or if the watch ended for another reason. c.deliverMu must be held.
func (c *Client) deliverFromPreviousAddress(ctx context.Context, id uint64, line []byte) bool {
	if !errors.Is(context.Cause(ctx), errMoved) || c.hasRevision || c.ctx.Err() != nil {
		return false
	}
	if rev, update := parsePartial(line); len(update.Servers) > 0 {
		logList(id, rev, &update)
		c.deliver(update)
	}
	return true
}

// deliverPartial delivers the servers that are draining or removed by the whole entries of a line that has not arrived whole. They
// count as notified since they were written.
func (c *Client) deliverPartial(ctx context.Context, id uint64, line []byte) {
	rev, update := parsePartial(line)
	if len(update.Servers) == 0 {
		return
	}
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if ctx.Err() != nil {
		c.deliverFromPreviousAddress(ctx, id, line)
		return
	}
	if c.hasRevision && rev < c.revision {
		return
	}
	logList(id, rev, &update)
	c.deliver(update)
}
