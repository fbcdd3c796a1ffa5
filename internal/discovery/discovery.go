// Package discovery follows the platform's endpoint list: it fetches snapshots, reads watches and delivers updates. A list
// that is pushed is always watched; otherwise the balancer decides when to poll.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"robindrum/balancer"
)

const (
	maxLineBytes = 8 << 20
	dialTimeout  = time.Second

	// A watch sends at least an empty line every 2 s. What a silent one misses counts as notified 6 s after its last line,
	// which leaves time to call again.
	defaultSilenceTimeout = 3500 * time.Millisecond
	// The agent that pushes lists is on the same machine and answers at once. What it has counts as notified, so a failed
	// call must be repeated well within the drain grace of a second.
	agentTimeout         = 400 * time.Millisecond
	defaultMinRetryPause = 100 * time.Millisecond
	maxRetryPause        = 300 * time.Millisecond
)

// Client follows discovery. Its methods do not block, except for Stop, and may be called by several goroutines at once.
type Client struct {
	pushed  bool
	deliver func(Update)
	http    *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup

	fetchTimeout     time.Duration // of a snapshot
	firstLineTimeout time.Duration // until a watch sends its first line or, of a pushed list, its response's head
	silenceTimeout   time.Duration // between two lines of a watch
	minRetryPause    time.Duration // before a pushed list is watched again; doubled each time

	deliverMu   sync.Mutex // updates are delivered one after the other, also those of concurrent calls
	revision    uint64
	hasRevision bool

	mu             sync.Mutex // acquired after deliverMu
	url            string
	addressCtx     context.Context // ends when Move changes the address
	cancelAddress  context.CancelFunc
	currentWatch   *watchCall    // the latest watch; nil once it has ended
	overdueWatch   *watchCall    // the one before it, if that is overdue and may still be answered
	addressChanged chan struct{} // a pushed list is to be watched at another address
}

// watchCall is one call of a watch. Its fields are guarded by Client.mu.
type watchCall struct {
	cancel    context.CancelFunc
	overdue   bool          // it was delivered as a failure
	firstLine chan struct{} // closed with the first line
	lastLine  time.Time     // when the last line came; zero if none has
}

// New returns a client of the discovery at addr; deliver is called with one update after the other. Start begins.
func New(addr string, pushed bool, deliver func(Update)) *Client {
	c := &Client{url: instancesURL(addr), addressChanged: make(chan struct{}, 1), pushed: pushed, deliver: deliver,
		fetchTimeout: 5 * time.Second, firstLineTimeout: defaultSilenceTimeout, silenceTimeout: defaultSilenceTimeout, minRetryPause: defaultMinRetryPause}
	if pushed {
		c.firstLineTimeout = agentTimeout
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.addressCtx, c.cancelAddress = context.WithCancel(c.ctx)
	// No connection is reused: net/http would repeat a call on a connection that has just died.
	c.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxResponseHeaderBytes: 64 << 10}}
	return c
}

func instancesURL(addr string) string { return "http://" + addr + "/registry/instances" }

// Move changes the address. The present list stays, and a full snapshot is fetched from the new address, whose revisions
// have nothing to do with the former one's: address and revision change in one step, and calls at the former address end.
func (c *Client) Move(addr string) {
	c.deliverMu.Lock()
	c.mu.Lock()
	c.url, c.hasRevision = instancesURL(addr), false
	c.cancelAddress()
	c.addressCtx, c.cancelAddress = context.WithCancel(c.ctx)
	c.currentWatch, c.overdueWatch = nil, nil
	c.mu.Unlock()
	c.deliverMu.Unlock()
	if c.pushed {
		select {
		case c.addressChanged <- struct{}{}:
		default:
		}
		return
	}
	c.Watch(true)
}

// Start delivers the cached list, which may be nil, and begins to watch if lists are pushed. It returns an error if known
// is not a valid list; it has started all the same.
func (c *Client) Start(known []byte) error {
	var u Update
	var err error
	if len(known) > 0 && !bytes.Equal(known, []byte("null")) {
		if c.revision, u, err = Parse(known); err == nil {
			c.hasRevision = true
		} else {
			u = Update{}
		}
	}
	u.Kind = balancer.UpdateCached
	c.deliver(u)
	if c.pushed {
		c.calls.Go(func() { c.followPushed() })
	}
	return err
}

// Stop ends all calls and waits for them. Nothing is delivered after it has returned.
func (c *Client) Stop() {
	c.cancel()
	c.calls.Wait()
}

func (c *Client) followPushed() {
	wait := c.minRetryPause
	for c.ctx.Err() == nil {
		c.mu.Lock()
		here := c.addressCtx
		c.mu.Unlock()
		if c.readWatch(here, nil) {
			wait = c.minRetryPause
		}
		select {
		case <-c.ctx.Done():
		case <-c.addressChanged:
			wait = c.minRetryPause
			continue
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, maxRetryPause)
	}
}

// Watch begins a watch in place of the present one, or ends it. An overdue one goes on beside the new one until either
// sends a line, since an overloaded service may still answer it.
func (c *Client) Watch(on bool) {
	if c.pushed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if on && c.currentWatch != nil && c.currentWatch.overdue && !c.currentWatch.lastLine.IsZero() { // it was answered after all
		return
	}
	old := c.currentWatch
	if c.currentWatch = nil; old != nil && (!on || !old.overdue) {
		old.cancel()
		old = nil
	}
	if old != nil || !on {
		if c.overdueWatch != nil {
			c.overdueWatch.cancel()
		}
		c.overdueWatch = old
	}
	if !on || c.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.addressCtx)
	a := &watchCall{cancel: cancel, firstLine: make(chan struct{})}
	c.currentWatch = a
	c.calls.Go(func() { c.reportOverdue(ctx, a) })
	c.calls.Go(func() {
		defer cancel()
		c.readWatch(ctx, a)
		c.watchEnded(ctx, a)
	})
}

// reportOverdue delivers a failure if a watch sends no line in time, and leaves the watch on.
func (c *Client) reportOverdue(ctx context.Context, a *watchCall) {
	t := time.NewTimer(c.firstLineTimeout)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-a.firstLine:
		return
	case <-t.C:
	}
	c.mu.Lock()
	a.overdue = a.lastLine.IsZero()
	tell := a.overdue
	c.mu.Unlock()
	if tell {
		c.deliverFailure(ctx, 0)
	}
}

// lineReceived notes a line of a watch. A watch's first line ends the other watch if there are two.
func (c *Client) lineReceived(a *watchCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.lastLine.IsZero() {
		close(a.firstLine)
		switch {
		case c.overdueWatch == a && c.currentWatch != nil:
			c.currentWatch.cancel()
			fallthrough
		case c.overdueWatch == a:
			c.currentWatch, c.overdueWatch = a, nil
		case c.overdueWatch != nil:
			c.overdueWatch.cancel()
			c.overdueWatch = nil
		}
	}
	a.lastLine = time.Now()
}

// watchEnded delivers a failure for a watch that has ended, unless one was delivered or the watch was cancelled here.
func (c *Client) watchEnded(ctx context.Context, a *watchCall) {
	c.mu.Lock()
	if c.currentWatch == a {
		c.currentWatch = nil
	}
	if c.overdueWatch == a {
		c.overdueWatch = nil
	}
	tell, silent := !a.overdue || !a.lastLine.IsZero(), time.Duration(0)
	if !a.lastLine.IsZero() {
		silent = time.Since(a.lastLine)
	}
	c.mu.Unlock()
	if tell {
		c.deliverFailure(ctx, silent)
	}
}

// Fetch fetches one snapshot. A failure is delivered as such.
func (c *Client) Fetch() {
	if c.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	here := c.addressCtx
	c.mu.Unlock()
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(here, c.fetchTimeout)
		defer cancel()
		if c.fetch(ctx) != nil {
			c.deliverFailure(here, 0)
		}
	})
}

// deliverFailure delivers that a call failed, or that a watch ended after a silence, unless ctx was cancelled here.
func (c *Client) deliverFailure(ctx context.Context, silent time.Duration) {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if ctx.Err() == nil {
		c.deliver(Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateFailed, SilentFor: silent}})
	}
}

// startCall begins a watch or a fetch and returns the revision that was known as it began.
func (c *Client) startCall(ctx context.Context, watch bool) (resp *http.Response, known knownRevision, err error) {
	c.deliverMu.Lock()
	c.mu.Lock()
	known = knownRevision{c.revision, c.hasRevision}
	url := c.url
	c.mu.Unlock()
	c.deliverMu.Unlock()
	if watch {
		url += "?watch=1"
		if known.known {
			url += "&after=" + strconv.FormatUint(known.revision, 10)
		}
	}
	resp, err = c.get(ctx, url)
	return resp, known, err
}

// knownRevision is the revision of the latest delivered list, if there is one.
type knownRevision struct {
	revision uint64
	known    bool
}

func (c *Client) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %d", resp.StatusCode)
	}
	return resp, nil
}

func (c *Client) fetch(ctx context.Context) error {
	resp, known, err := c.startCall(ctx, false)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxLineBytes {
		return errors.New("the list is too long")
	}
	_, err = c.deliverLine(ctx, text, known)
	return err
}

// deliverLine delivers a line of a call and returns the revision known afterwards; known is the one that was known when the
// call began or its previous line was delivered.
func (c *Client) deliverLine(ctx context.Context, line []byte, known knownRevision) (knownRevision, error) {
	rev, u, err := Parse(line)
	if err != nil {
		return known, err
	}
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if err := ctx.Err(); err != nil {
		return known, err
	}
	// An older update must not undo a newer one. A snapshot with a lower revision than was known when it was requested means
	// that revisions have started anew; one that another call has overtaken since is stale.
	if c.hasRevision && rev < c.revision && (u.Kind == balancer.UpdateDelta || known != (knownRevision{c.revision, true})) {
		return known, fmt.Errorf("version %d after %d", rev, c.revision)
	}
	c.revision, c.hasRevision = rev, true
	c.deliver(u)
	return knownRevision{rev, true}, nil
}

// readWatch reads a watch to its end and reports whether a list came. a is nil if lists are pushed.
func (c *Client) readWatch(parent context.Context, a *watchCall) (got bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	// A partitioned service closes nothing: a watch without complete lines is dead.
	first := c.firstLineTimeout
	if a != nil { // it is overdue by then, and goes on for as long beside the next call
		first *= 2
	}
	alive := time.AfterFunc(first, cancel)
	defer func() { alive.Stop() }()
	lasts := func(d time.Duration) bool {
		if !alive.Stop() {
			return false
		}
		alive = time.AfterFunc(d, cancel)
		return true
	}
	resp, known, err := c.startCall(ctx, true)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if a == nil && !lasts(c.silenceTimeout) { // of a polled list the head alone is no sign of life
		return false
	}
	r := bufio.NewReaderSize(resp.Body, 4<<10)
	var line []byte
	var open objectScanner
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if open.scan(part); errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxLineBytes {
			continue
		}
		if err != nil || len(line) > maxLineBytes { // an incomplete line is dropped
			return got
		}
		if open.unfinished() { // a list may be indented over several lines
			continue
		}
		if !lasts(c.silenceTimeout) {
			return got
		}
		if a != nil {
			c.lineReceived(a)
		}
		if text := bytes.TrimSpace(line); len(text) > 0 {
			if known, err = c.deliverLine(parent, text, known); err != nil {
				return got
			}
			got = true
		}
		open = objectScanner{}
		if line = line[:0]; cap(line) > 64<<10 {
			line = nil
		}
	}
}
