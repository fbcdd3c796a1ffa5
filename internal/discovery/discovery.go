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
	maxLine  = 8 << 20
	dialTime = time.Second

	// Between two lines of a watch there is an empty one every 2 s, and what a silent one misses counts as told 6 s after
	// its last, as does what a call misses that is not answered. Half as much again as a line's time, and there is room to
	// ask anew, and for that call to wait for 2 s.
	silence = 3500 * time.Millisecond
	// An agent on the node's own machine answers at once, and what it has counts as told whether or not it was asked:
	// nothing between two calls may take as long as sends to a draining server may go on, a second.
	agentTime  = 400 * time.Millisecond
	retryFirst = 100 * time.Millisecond
	retryMost  = 300 * time.Millisecond
)

// Update is one piece of news.
type Update struct {
	balancer.EndpointUpdate
	Endpoints map[string]string
}

type list struct {
	Rev     *uint64   `json:"rev"`
	All     bool      `json:"all"`
	Targets *[]target `json:"targets"`
}

type target struct {
	UID      string   `json:"uid"`
	Endpoint string   `json:"endpoint"`
	AZ       string   `json:"az"`
	Model    string   `json:"model"`
	PodGroup int      `json:"pod_group"`
	State    string   `json:"state"`
	Capacity *float64 `json:"capacity_hint"`
	BootMS   int64    `json:"boot_ms"`
}

var states = map[string]balancer.State{"SERVING": balancer.Running, "DRAINING": balancer.Draining, "DELETED": balancer.Removed}

// Parse reads one line. Anything odd makes all of it useless: half a change is not the list.
func Parse(line []byte) (rev uint64, u Update, err error) {
	var l list
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
		state, ok := states[t.State]
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
	life    context.Context
	end     context.CancelFunc
	all     sync.WaitGroup

	callTime   time.Duration // for all of a list
	firstTime  time.Duration // until a pushed list's watch is answered, or a watch that was asked for has told its first line
	silence    time.Duration // longer than this between two lines, and a watch is dead
	retryFirst time.Duration // before a pushed list is watched again; longer each time

	order sync.Mutex // updates leave one after the other, also those of calls side by side
	rev   uint64
	has   bool

	mu    sync.Mutex // taken behind order
	base  string
	here  context.Context // ends with the address
	leave context.CancelFunc
	on    *attempt      // the watch that was asked for last, nil once it has ended
	late  *attempt      // the one before it, if that is overdue and may yet be answered
	moved chan struct{} // a pushed list is to be watched elsewhere
}

// attempt is one call for a watch. Its fields are the Client's, under mu.
type attempt struct {
	cancel  context.CancelFunc
	overdue bool          // it was told as refused
	spoke   chan struct{} // closed with its first line
	heard   time.Time     // its last line; zero: none
}

// New makes a client; known is the list that the node had, delivered as remembered when Start is called.
func New(addr string, pushed bool, deliver func(Update)) *Client {
	c := &Client{base: base(addr), moved: make(chan struct{}, 1), pushed: pushed, deliver: deliver,
		callTime: 5 * time.Second, firstTime: silence, silence: silence, retryFirst: retryFirst}
	if pushed {
		c.firstTime = agentTime
	}
	c.life, c.end = context.WithCancel(context.Background())
	c.here, c.leave = context.WithCancel(c.life)
	// No connection is used twice: a call on one that has just died would be sent again unasked.
	c.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext:            (&net.Dialer{Timeout: dialTime, KeepAlive: -1}).DialContext,
		MaxResponseHeaderBytes: 64 << 10}}
	return c
}

func base(addr string) string { return "http://" + addr + "/registry/instances" }

// Move asks at another address from now on. The list that was told stays; the whole of it is asked for anew, as
// nothing says that the versions go on there.
//
// Danger: address and version change in one step, and calls at the old one end with it. Else a watch would ask the new
// one for what changed since a version of the old one's, or a late list of the old one's would pass for the new one's.
func (c *Client) Move(addr string) {
	c.order.Lock()
	c.mu.Lock()
	c.base, c.has = base(addr), false
	c.leave()
	c.here, c.leave = context.WithCancel(c.life)
	c.on, c.late = nil, nil
	c.mu.Unlock()
	c.order.Unlock()
	if c.pushed {
		select {
		case c.moved <- struct{}{}:
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
		if c.rev, u, err = Parse(known); err == nil {
			c.has = true
		} else {
			u = Update{}
		}
	}
	u.Kind = balancer.UpdateCached
	c.deliver(u)
	if c.pushed {
		c.all.Go(func() { c.follow() })
	}
	return err
}

// Stop ends all calls; nothing is delivered after it has returned.
func (c *Client) Stop() {
	c.end()
	c.all.Wait()
}

func (c *Client) follow() {
	wait := c.retryFirst
	for c.life.Err() == nil {
		c.mu.Lock()
		here := c.here
		c.mu.Unlock()
		if c.watch(here, nil) {
			wait = c.retryFirst
		}
		select {
		case <-c.life.Done():
		case <-c.moved:
			wait = c.retryFirst
			continue
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, retryMost)
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
	if on && c.on != nil && c.on.overdue && !c.on.heard.IsZero() { // answered after all
		return
	}
	old := c.on
	if c.on = nil; old != nil && (!on || !old.overdue) {
		old.cancel()
		old = nil
	}
	if old != nil || !on {
		if c.late != nil {
			c.late.cancel()
		}
		c.late = old
	}
	if !on || c.life.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.here)
	a := &attempt{cancel: cancel, spoke: make(chan struct{})}
	c.on = a
	c.all.Go(func() { c.overdue(ctx, a) })
	c.all.Go(func() {
		defer cancel()
		c.watch(ctx, a)
		c.over(ctx, a)
	})
}

// overdue tells that a watch has said nothing for too long, and leaves it on.
func (c *Client) overdue(ctx context.Context, a *attempt) {
	t := time.NewTimer(c.firstTime)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-a.spoke:
		return
	case <-t.C:
	}
	c.mu.Lock()
	a.overdue = a.heard.IsZero()
	tell := a.overdue
	c.mu.Unlock()
	if tell {
		c.refused(ctx, 0)
	}
}

// heard notes a line of a watch. The first one ends the other watch, if there are two.
func (c *Client) heard(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.heard.IsZero() {
		close(a.spoke)
		switch {
		case c.late == a && c.on != nil:
			c.on.cancel()
			fallthrough
		case c.late == a:
			c.on, c.late = a, nil
		case c.late != nil:
			c.late.cancel()
			c.late = nil
		}
	}
	a.heard = time.Now()
}

// over tells that a watch has ended, unless that was told already or it was ended from here.
func (c *Client) over(ctx context.Context, a *attempt) {
	c.mu.Lock()
	if c.on == a {
		c.on = nil
	}
	if c.late == a {
		c.late = nil
	}
	tell, silent := !a.overdue || !a.heard.IsZero(), time.Duration(0)
	if !a.heard.IsZero() {
		silent = time.Since(a.heard)
	}
	c.mu.Unlock()
	if tell {
		c.refused(ctx, silent)
	}
}

// Fetch asks for the whole list once.
func (c *Client) Fetch() {
	if c.life.Err() != nil {
		return
	}
	c.mu.Lock()
	here := c.here
	c.mu.Unlock()
	c.all.Go(func() {
		ctx, cancel := context.WithTimeout(here, c.callTime)
		defer cancel()
		if c.fetch(ctx) != nil {
			c.refused(here, 0)
		}
	})
}

// refused tells that a call failed or a watch ended that was silent for so long, unless it was ended from here.
func (c *Client) refused(ctx context.Context, silent time.Duration) {
	c.order.Lock()
	defer c.order.Unlock()
	if ctx.Err() == nil {
		c.deliver(Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateFailed, SilentFor: silent}})
	}
}

// ask begins a call, of a watch or of a whole list, and gives the version that was known as it began.
func (c *Client) ask(ctx context.Context, watch bool) (resp *http.Response, known version, err error) {
	c.order.Lock()
	c.mu.Lock()
	known = version{c.rev, c.has}
	url := c.base
	c.mu.Unlock()
	c.order.Unlock()
	if watch {
		url += "?watch=1"
		if known.has {
			url += "&after=" + strconv.FormatUint(known.rev, 10)
		}
	}
	resp, err = c.get(ctx, url)
	return resp, known, err
}

// version is that of the list that was delivered last, if any.
type version struct {
	rev uint64
	has bool
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
	resp, known, err := c.ask(ctx, false)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLine+1))
	if err != nil {
		return err
	}
	if len(text) > maxLine {
		return errors.New("the list is too long")
	}
	_, err = c.take(ctx, text, known)
	return err
}

// take delivers a line of a call that began, or had its last line, as known was known, and gives what is known then.
func (c *Client) take(ctx context.Context, line []byte, known version) (version, error) {
	rev, u, err := Parse(line)
	if err != nil {
		return known, err
	}
	c.order.Lock()
	defer c.order.Unlock()
	if err := ctx.Err(); err != nil {
		return known, err
	}
	// Danger: old news would undo newer, a drain say. A whole list that is older than what was known as it was asked for
	// is none: the versions have begun anew. One that another call has overtaken since is.
	if c.has && rev < c.rev && (u.Kind == balancer.UpdateDelta || known != (version{c.rev, true})) {
		return known, fmt.Errorf("version %d after %d", rev, c.rev)
	}
	c.rev, c.has = rev, true
	c.deliver(u)
	return version{rev, true}, nil
}

// watch reads a watch to its end and tells whether a list came. a is nil where lists are pushed.
func (c *Client) watch(parent context.Context, a *attempt) (got bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	// Danger: a machine that is cut off says nothing. Without the empty lines the watch is dead, and bytes that make no
	// line are no sign of life either.
	first := c.firstTime
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
	resp, known, err := c.ask(ctx, true)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if a == nil && !lasts(c.silence) { // where it is asked for, the head alone is no life: half an answer is none
		return false
	}
	r := bufio.NewReaderSize(resp.Body, 4<<10)
	var line []byte
	var open object
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if open.read(part); errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxLine {
			continue
		}
		if err != nil || len(line) > maxLine { // a line that broke off is none
			return got
		}
		if open.unfinished() { // a list may come indented, over several lines
			continue
		}
		if !lasts(c.silence) {
			return got
		}
		if a != nil {
			c.heard(a)
		}
		if text := bytes.TrimSpace(line); len(text) > 0 {
			if known, err = c.take(parent, text, known); err != nil {
				return got
			}
			got = true
		}
		open = object{}
		if line = line[:0]; cap(line) > 64<<10 {
			line = nil
		}
	}
}

// object follows whether a JSON object that begins a line has ended with it.
type object struct {
	depth           int
	quoted, escaped bool
}

func (o *object) read(part []byte) {
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
func (o *object) unfinished() bool { return o.depth > 0 && !o.quoted }
