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

	"arrowhitch/logic"
)

const (
	longestLine = 8 << 20
	dialTime    = time.Second
	retryMost   = 2 * time.Second
)

// Update is one piece of news.
type Update struct {
	logic.FleetUpdate
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

var states = map[string]logic.State{"SERVING": logic.Running, "DRAINING": logic.Draining, "DELETED": logic.Removed}

// Parse reads one line. Anything odd makes all of it useless: half a change is not the list.
func Parse(line []byte) (rev uint64, u Update, err error) {
	var l list
	if err := json.Unmarshal(line, &l); err != nil {
		return 0, u, fmt.Errorf("list: %w", err)
	}
	if l.Rev == nil || l.Targets == nil {
		return 0, u, errors.New("list: rev or targets is missing")
	}
	u.Kind = logic.FleetChanges
	if l.All {
		u.Kind = logic.FleetAll
	}
	u.Endpoints = make(map[string]string, len(*l.Targets))
	for _, t := range *l.Targets {
		state, ok := states[t.State]
		if !ok || t.UID == "" {
			return 0, u, fmt.Errorf("list: uid %q, state %q", t.UID, t.State)
		}
		s := logic.Server{ID: t.UID, Zone: t.AZ, Kind: t.Model, Cell: t.PodGroup, State: state, Weight: 1}
		if t.Capacity != nil {
			s.Weight = *t.Capacity
		}
		if t.BootMS > 0 && t.BootMS < 1<<43 {
			s.Since = time.Duration(t.BootMS) * time.Millisecond
		}
		if state != logic.Removed {
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

	callTime   time.Duration // until the first line of a watch, or all of a list
	silence    time.Duration // longer than this between two lines, and a watch is dead
	retryFirst time.Duration // before a pushed list is watched again; longer each time

	mu    sync.Mutex
	base  string
	close context.CancelFunc // ends the watch that is on
	moved chan struct{}      // a pushed list is to be watched elsewhere

	order sync.Mutex // updates leave one after the other, also those of calls side by side
	rev   uint64
	has   bool
}

// New makes a client; known is the list that the node had, delivered as remembered when Start is called.
func New(addr string, pushed bool, deliver func(Update)) *Client {
	c := &Client{base: base(addr), moved: make(chan struct{}, 1), pushed: pushed, deliver: deliver,
		callTime: 5 * time.Second, silence: 5 * time.Second, retryFirst: 100 * time.Millisecond}
	c.life, c.end = context.WithCancel(context.Background())
	// No connection is used twice: a call on one that has just died would be sent again unasked.
	c.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext:            (&net.Dialer{Timeout: dialTime, KeepAlive: -1}).DialContext,
		MaxResponseHeaderBytes: 64 << 10}}
	return c
}

func base(addr string) string { return "http://" + addr + "/registry/instances" }

// Move asks at another address from now on. The list that was told stays; the whole of it is asked for anew, as
// nothing says that the versions go on there.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	c.base = base(addr)
	if c.close != nil {
		c.close()
		c.close = nil
	}
	c.mu.Unlock()
	c.order.Lock()
	c.has = false
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
	u.Kind = logic.FleetRemembered
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
		ctx, cancel := context.WithCancel(c.life)
		c.mu.Lock()
		c.close = cancel
		c.mu.Unlock()
		if c.watch(ctx) {
			wait = c.retryFirst
		}
		cancel()
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

// Watch begins a watch, in place of one that is on, or ends it.
func (c *Client) Watch(on bool) {
	if c.pushed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.close != nil {
		c.close()
		c.close = nil
	}
	if !on || c.life.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.life)
	c.close = cancel
	c.all.Go(func() {
		defer cancel()
		c.watch(ctx)
		c.refused(ctx)
	})
}

// Fetch asks for the whole list once.
func (c *Client) Fetch() {
	if c.life.Err() != nil {
		return
	}
	c.all.Go(func() {
		ctx, cancel := context.WithTimeout(c.life, c.callTime)
		defer cancel()
		if c.fetch(ctx) != nil {
			c.refused(c.life)
		}
	})
}

// refused tells that a call failed or a watch ended, unless it was ended from here.
func (c *Client) refused(ctx context.Context) {
	c.order.Lock()
	defer c.order.Unlock()
	if ctx.Err() == nil {
		c.deliver(Update{FleetUpdate: logic.FleetUpdate{Kind: logic.FleetRefused}})
	}
}

func (c *Client) get(ctx context.Context, query string) (*http.Response, error) {
	c.mu.Lock()
	url := c.base + query
	c.mu.Unlock()
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
	resp, err := c.get(ctx, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, longestLine+1))
	if err != nil {
		return err
	}
	if len(text) > longestLine {
		return errors.New("the list is too long")
	}
	return c.take(ctx, text)
}

func (c *Client) take(ctx context.Context, line []byte) error {
	rev, u, err := Parse(line)
	if err != nil {
		return err
	}
	c.order.Lock()
	defer c.order.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	if c.has && rev < c.rev && u.Kind == logic.FleetChanges { // old news would undo newer
		return fmt.Errorf("change %d after %d", rev, c.rev)
	}
	c.rev, c.has = rev, true
	c.deliver(u)
	return nil
}

func (c *Client) watch(parent context.Context) (got bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	// Danger: a machine that is cut off says nothing. Without the empty lines the watch is dead.
	alive := time.AfterFunc(c.callTime, cancel)
	defer alive.Stop()
	query := "?watch=1"
	c.order.Lock()
	if c.has {
		query += "&after=" + strconv.FormatUint(c.rev, 10)
	}
	c.order.Unlock()
	resp, err := c.get(ctx, query)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	r := bufio.NewReaderSize(resp.Body, 4<<10)
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(part) > 0 {
			alive.Reset(c.silence)
		}
		line = append(line, part...)
		if errors.Is(err, bufio.ErrBufferFull) && len(line) <= longestLine {
			continue
		}
		if err != nil { // a line that broke off is none
			return got
		}
		if text := bytes.TrimSpace(line); len(text) > 0 {
			if c.take(parent, text) != nil {
				return got
			}
			got = true
		}
		if line = line[:0]; cap(line) > 64<<10 {
			line = nil
		}
	}
}
