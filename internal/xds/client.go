package xds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// ErrStreamOpen is returned by Client.Import while the client has a stream of its own.
var ErrStreamOpen = errors.New("a stream of its own is open")

const (
	// pauseCheck bounds how long a paused client waits for the end of the pause without looking.
	pauseCheck = time.Minute
	// noDeadline is the time of a timer that has nothing to wait for.
	noDeadline = time.Hour
)

// ClientOptions are the options of a Client.
type ClientOptions struct {
	Options
	Servers         []string // host:port, tried in this order
	ConnectTimeout  time.Duration
	BackoffBase     time.Duration // before the second attempt; doubled with each further one, and half of it random
	MaxBackoff      time.Duration
	Keepalive       time.Duration // interval of pings, and how long an answer to one may take
	MaxMessageBytes int           // of a response
	Now             func() time.Duration
	Log             *slog.Logger
}

// Sink receives the changes of resources. Changed is called by one goroutine at a time, in the order of the changes.
type Sink interface {
	Changed(changes []Change)
}

// Client follows control planes over one aggregated stream (ADS). While none is connected, the resources stay in use. Its
// methods may be called concurrently.
type Client struct {
	options       ClientOptions
	sink          Sink
	subscriptions chan subscription // the last one that has not been applied yet
	paused        atomic.Bool
	pauseChanged  chan struct{}

	mu         sync.Mutex
	machine    *Machine
	connection Connection
}

type subscription struct {
	services []string
	classes  map[string]bool
}

// Connection is the state of the connection to a source of resources.
type Connection struct {
	Server         string        // that is connected; empty: none
	ConnectedAt    time.Duration // when the connection was made
	LastResponseAt time.Duration // 0: never
	Streams        int           // opened so far
	LastError      string        // why the last stream ended or could not be opened
}

// NewClient returns a Client that does nothing before Run.
func NewClient(options ClientOptions, sink Sink) *Client {
	return &Client{
		options:       options,
		sink:          sink,
		subscriptions: make(chan subscription, 1),
		pauseChanged:  make(chan struct{}, 1),
		machine:       NewMachine(options.Options),
	}
}

// Subscribe replaces Options.Services and Options.Classes. It does not block; of several calls the last one counts.
func (c *Client) Subscribe(services []string, classes map[string]bool) {
	latest := subscription{services: services, classes: classes}
	for {
		select {
		case c.subscriptions <- latest:
			return
		default:
		}
		select {
		case <-c.subscriptions:
		default:
		}
	}
}

// Pause ends the stream and opens none, or follows the control planes again. The resources stay in use. It does not block.
func (c *Client) Pause(paused bool) {
	if c.paused.Swap(paused) == paused {
		return
	}
	select {
	case c.pauseChanged <- struct{}{}:
	default:
	}
}

// Import applies resources that another process accepted, as if a control plane had sent them. It returns ErrStreamOpen
// while a stream is open.
func (c *Client) Import(bundle *Bundle) error {
	c.mu.Lock()
	streamOpen := c.machine.streamOpen
	c.mu.Unlock()
	if streamOpen {
		return ErrStreamOpen
	}
	var err error
	c.update(func(m *Machine, now time.Duration) ([]Request, []Change) {
		var changes []Change
		changes, err = m.Import(now, bundle)
		return nil, changes
	})
	return err
}

// Inspect calls fn with the machine, which fn must not change, and the current time. It holds the client's lock.
func (c *Client) Inspect(fn func(m *Machine, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.machine, c.options.Now())
}

// Connection returns the state of the connection to the control planes.
func (c *Client) Connection() Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connection
}

// Summaries returns a Summary of each type.
func (c *Client) Summaries() []Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Summaries()
}

// Resources returns copies of the resources of a type, sorted by name.
func (c *Client) Resources(t Type) []Resource {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Resources(t)
}

// update passes one event to the machine, passes the changes on to the sink, and returns the requests to send.
func (c *Client) update(event func(m *Machine, now time.Duration) ([]Request, []Change)) []Request {
	c.mu.Lock()
	requests, changes := event(c.machine, c.options.Now())
	c.mu.Unlock()
	if len(changes) > 0 {
		c.sink.Changed(changes)
	}
	return requests
}

func (c *Client) subscribe(s subscription) []Request {
	return c.update(func(m *Machine, now time.Duration) ([]Request, []Change) {
		m.SetClasses(s.classes)
		return m.Subscribe(now, s.services)
	})
}

// Run follows the control planes until ctx ends. It tries them in order. When all have failed, or a stream has ended after
// a response, it waits before it starts again with the first: longer each time until there is a response.
func (c *Client) Run(ctx context.Context) {
	backoff := c.options.BackoffBase
	for ctx.Err() == nil {
		for c.paused.Load() && ctx.Err() == nil {
			c.wait(ctx, pauseCheck)
			backoff = c.options.BackoffBase
		}
		responded := c.tryServers(ctx)
		if ctx.Err() != nil {
			return
		}
		if responded {
			backoff = c.options.BackoffBase
		}
		if c.paused.Load() {
			continue
		}
		c.wait(ctx, backoff/2+rand.N(backoff/2+1))
		backoff = min(2*backoff, c.options.MaxBackoff)
	}
}

// tryServers follows one control plane after the other, until one has responded or all have failed. It reports whether one
// has.
func (c *Client) tryServers(ctx context.Context) (responded bool) {
	for _, server := range c.options.Servers {
		responded, err := c.follow(ctx, server)
		if ctx.Err() != nil {
			return false
		}
		if errors.Is(err, errPaused) {
			c.setDisconnected("")
			return false
		}
		c.setDisconnected(truncate(fmt.Sprintf("%s: %v", server, err)))
		c.options.Log.Warn("control plane disconnected, its resources stay in use", "server", server, "error", err)
		if responded {
			return true
		}
	}
	return false
}

func (c *Client) setDisconnected(lastError string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connection.Server = ""
	c.connection.LastError = lastError
}

// wait waits between two streams, until the time is over or a pause begins or ends. Meanwhile resources expire and
// subscriptions change.
func (c *Client) wait(ctx context.Context, d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	for c.waitForEvent(ctx, end.C) {
	}
}

// waitForEvent handles one event without a stream. It returns false where the wait is over.
func (c *Client) waitForEvent(ctx context.Context, end <-chan time.Time) bool {
	deadline := c.newTimer()
	defer deadline.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-end:
		return false
	case <-c.pauseChanged:
		return false
	case s := <-c.subscriptions:
		c.subscribe(s)
	case <-deadline.C:
		c.update((*Machine).Tick)
	}
	return true
}

// newTimer returns a timer until the machine's next deadline.
func (c *Client) newTimer() *time.Timer {
	c.mu.Lock()
	deadline := c.machine.NextDeadline()
	c.mu.Unlock()
	if deadline == 0 {
		return time.NewTimer(noDeadline)
	}
	return time.NewTimer(max(deadline-c.options.Now(), 0))
}
