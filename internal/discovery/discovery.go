// Package discovery keeps up with the list of backends: it reads whole lists and watches, and delivers each
// as one update. When to ask is not decided here, but where lists are pushed it always watches.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

	// Between two lines of a watch there is an empty one every 2 s, and what a silent one misses counts as told 6 s after
	// its last, as does what a call misses that is not answered. Half as much again as a line's time, and there is room to
	// ask anew, and for that call to wait for 2 s.
	defaultSilenceTimeout = 3500 * time.Millisecond
	// An agent on the node's own machine answers at once, and what it has counts as told whether or not it was asked:
	// nothing between two calls may take as long as sends to a draining server may go on, a second.
	agentTimeout         = 400 * time.Millisecond
	defaultMinRetryPause = 100 * time.Millisecond
	maxRetryPause        = 300 * time.Millisecond
)

// Update is one piece of news.
type Update struct {
	balancer.EndpointUpdate
	Endpoints map[string]string
}

type listMessage struct {
	Rev     *uint64          `json:"rev"`
	All     bool             `json:"all"`
	Targets *[]targetMessage `json:"targets"`
}

type targetMessage struct {
	UID      string   `json:"uid"`
	Endpoint string   `json:"endpoint"`
	AZ       string   `json:"az"`
	Model    string   `json:"model"`
	PodGroup int      `json:"pod_group"`
	State    string   `json:"state"`
	Capacity *float64 `json:"capacity_hint"`
	BootMS   int64    `json:"boot_ms"`
}

var statesByWireName = map[string]balancer.State{"SERVING": balancer.Running, "DRAINING": balancer.Draining, "DELETED": balancer.Removed}

// Parse reads one line. Anything odd makes all of it useless: half a change is not the list.
func Parse(line []byte) (rev uint64, u Update, err error) {
	var l listMessage
	if err := json.Unmarshal(line, &l); err != nil {
		return 0, u, fmt.Errorf("list: %w", err)
	}
	if l.Rev == nil || l.Targets == nil {
		return 0, u, errors.New("list: rev or targets is missing")
	}
	u.Kind = balancer.UpdateDelta
	if l.All {
		u.Kind = balancer.UpdateSnapshot
	}
	u.Endpoints = make(map[string]string, len(*l.Targets))
	for _, t := range *l.Targets {
		state, ok := statesByWireName[t.State]
		if !ok || t.UID == "" {
			return 0, u, fmt.Errorf("list: uid %q, state %q", t.UID, t.State)
		}
		s := balancer.Server{ID: t.UID, Zone: t.AZ, Kind: t.Model, Cell: t.PodGroup, State: state, Weight: 1}
		if t.Capacity != nil {
			s.Weight = *t.Capacity
		}
		if t.BootMS > 0 && t.BootMS < 1<<43 {
			s.Since = time.Duration(t.BootMS) * time.Millisecond
		}
		if state != balancer.Removed {
			if _, port, err := net.SplitHostPort(t.Endpoint); err != nil || port == "" {
				return 0, u, fmt.Errorf("list: uid %q, endpoint %q", t.UID, t.Endpoint)
			}
			u.Endpoints[t.UID] = t.Endpoint
		}
		u.Servers = append(u.Servers, s)
	}
	return *l.Rev, u, nil
}

// Client talks to discovery. Its methods do not block.
type Client struct {
	pushed  bool
	deliver func(Update)
	http    *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup

	fetchTimeout     time.Duration // for all of a list
	firstLineTimeout time.Duration // until a pushed list's watch is answered, or a watch that was asked for has told its first line
	silenceTimeout   time.Duration // longer than this between two lines, and a watch is dead
	minRetryPause    time.Duration // before a pushed list is watched again; longer each time

	deliverMu   sync.Mutex // updates leave one after the other, also those of calls side by side
	revision    uint64
	hasRevision bool

	mu             sync.Mutex // taken behind order
	url            string
	addressCtx     context.Context // ends with the address
	cancelAddress  context.CancelFunc
	currentWatch   *watchCall    // the watch that was asked for last, nil once it has ended
	overdueWatch   *watchCall    // the one before it, if that is overdue and may yet be answered
	addressChanged chan struct{} // a pushed list is to be watched elsewhere
}

// watchCall is one call for a watch. Its fields are the Client's, under mu.
type watchCall struct {
	cancel    context.CancelFunc
	overdue   bool          // it was told as refused
	firstLine chan struct{} // closed with its first line
	lastLine  time.Time     // its last line; zero: none
}

// New makes a client; known is the list that the node had, delivered as remembered when Start is called.
func New(addr string, pushed bool, deliver func(Update)) *Client {
	c := &Client{url: instancesURL(addr), addressChanged: make(chan struct{}, 1), pushed: pushed, deliver: deliver,
		fetchTimeout: 5 * time.Second, firstLineTimeout: defaultSilenceTimeout, silenceTimeout: defaultSilenceTimeout, minRetryPause: defaultMinRetryPause}
	if pushed {
		c.firstLineTimeout = agentTimeout
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.addressCtx, c.cancelAddress = context.WithCancel(c.ctx)
	// No connection is used twice: a call on one that has just died would be sent again unasked.
	c.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxResponseHeaderBytes: 64 << 10}}
	return c
}

func instancesURL(addr string) string { return "http://" + addr + "/registry/instances" }

// Move asks at another address from now on. The list that was told stays; the whole of it is asked for anew, as
// nothing says that the versions go on there.
//
// Danger: address and version change in one step, and calls at the old one end with it. Else a watch would ask the new
// one for what changed since a version of the old one's, or a late list of the old one's would pass for the new one's.
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

// Start delivers the list that the node remembers, nil if none, and where lists are pushed begins to watch.
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

// Stop ends all calls; nothing is delivered after it has returned.
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

// Watch begins a watch, in place of one that is on, or ends it. One that is overdue goes on beside the new one until
// either has told something: a service with a queue may yet answer it, and one that hung may not.
func (c *Client) Watch(on bool) {
	if c.pushed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if on && c.currentWatch != nil && c.currentWatch.overdue && !c.currentWatch.lastLine.IsZero() { // answered after all
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

// reportOverdue tells that a watch has said nothing for too long, and leaves it on.
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

// lineReceived notes a line of a watch. The first one ends the other watch, if there are two.
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

// watchEnded tells that a watch has ended, unless that was told already or it was ended from here.
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

// Fetch asks for the whole list once.
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

// deliverFailure tells that a call failed or a watch ended that was silent for so long, unless it was ended from here.
func (c *Client) deliverFailure(ctx context.Context, silent time.Duration) {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if ctx.Err() == nil {
		c.deliver(Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateFailed, SilentFor: silent}})
	}
}

// startCall begins a call, of a watch or of a whole list, and gives the version that was known as it began.
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

// knownRevision is that of the list that was delivered last, if any.
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

// deliverLine delivers a line of a call that began, or had its last line, as known was known, and gives what is known then.
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
	// Danger: old news would undo newer, a drain say. A whole list that is older than what was known as it was asked for
	// is none: the versions have begun anew. One that another call has overtaken since is.
	if c.hasRevision && rev < c.revision && (u.Kind == balancer.UpdateDelta || known != (knownRevision{c.revision, true})) {
		return known, fmt.Errorf("version %d after %d", rev, c.revision)
	}
	c.revision, c.hasRevision = rev, true
	c.deliver(u)
	return knownRevision{rev, true}, nil
}

// readWatch reads a watch to its end and tells whether a list came. a is nil where lists are pushed.
func (c *Client) readWatch(parent context.Context, a *watchCall) (got bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	// Danger: a machine that is cut off says nothing. Without the empty lines the watch is dead, and bytes that make no
	// line are no sign of life either.
	first := c.firstLineTimeout
	if a != nil { // overdue by then, and given as long again beside the next call
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
	if a == nil && !lasts(c.silenceTimeout) { // where it is asked for, the head alone is no life: half an answer is none
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
		if err != nil || len(line) > maxLineBytes { // a line that broke off is none
			return got
		}
		if open.unfinished() { // a list may come indented, over several lines
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

// objectScanner follows whether a JSON object that begins a line has ended with it.
type objectScanner struct {
	depth           int
	quoted, escaped bool
}

func (o *objectScanner) scan(part []byte) {
	for _, ch := range part {
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.escaped, o.quoted = ch == '\\', ch != '"'
		case ch == '"':
			o.quoted = true
		case ch == '{', ch == '[':
			o.depth++
		case ch == '}', ch == ']':
			o.depth--
		}
	}
}

// unfinished tells whether more is to come behind the end of the line; none does in the middle of a string.
func (o *objectScanner) unfinished() bool { return o.depth > 0 && !o.quoted }
