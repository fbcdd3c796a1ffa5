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

// ErrStreamOpen is returned by Client.Import while the client has an open stream.
var ErrStreamOpen = errors.New("the client has an open stream")

const (
	// pauseCheckInterval is how often a paused client checks whether the pause has ended, if no signal wakes it earlier.
	pauseCheckInterval = time.Minute
	// noDeadline is the duration of the timer if the machine has no deadline.
	noDeadline = time.Hour
)

// ClientOptions configure a Client.
type ClientOptions struct {
	Options
	Servers         []string // host:port, tried in this order
	ConnectTimeout  time.Duration
	BackoffBase     time.Duration // delay before the second attempt; doubles with each further attempt, and half of it is random
	MaxBackoff      time.Duration
	Keepalive       time.Duration // interval of keepalive pings, and timeout of each
	MaxMessageBytes int           // maximum size of a response
	Now             func() time.Duration
	Log             *slog.Logger
}

// Sink receives the changes of resources. Changed is called by one goroutine at a time, in the order of the changes.
type Sink interface {
	Changed(changes []Change)
}

// Client subscribes to control planes over one aggregated stream (ADS). The resources stay in use while no control plane is
// connected. The methods of Client are safe for concurrent use.
type Client struct {
	options       ClientOptions
	sink          Sink
	subscriptions chan subscription // holds the latest subscription that is not applied yet
	paused        atomic.Bool
	pauseChanged  chan struct{}

	mu         sync.Mutex
	machine    *Machine
	connection Connection
}

// subscription holds the arguments of Client.Subscribe.
type subscription struct {
	services []string
	classes  map[string]bool
}

// Connection is the state of the connection to a source of resources. Times are readings of the clock of the source.
type Connection struct {
	Server         string        // connected server; empty: none
	ConnectedAt    time.Duration // when the last stream was opened
	LastResponseAt time.Duration // 0: never
	Streams        int           // number of streams opened so far
	LastError      string        // why the last stream ended or could not be opened
}

// NewClient returns a Client. It does not connect until Run is called.
func NewClient(options ClientOptions, sink Sink) *Client {
	return &Client{
		options:       options,
		sink:          sink,
		subscriptions: make(chan subscription, 1),
		pauseChanged:  make(chan struct{}, 1),
		machine:       NewMachine(options.Options),
	}
}

// Subscribe replaces Options.Services and Options.Classes. It does not block, and a later call overrides an earlier one that is
// not applied yet.
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

// Pause pauses or resumes the client. A paused client closes its stream and opens none; its resources stay in use. Pause does
// not block.
func (c *Client) Pause(paused bool) {
	if c.paused.Swap(paused) == paused {
		return
	}
	select {
	case c.pauseChanged <- struct{}{}:
	default:
	}
}

// Import applies a bundle, see Machine.Import. It returns ErrStreamOpen while a stream is open.
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

// Inspect calls fn with the machine and the current time while it holds the client's lock. fn must not modify the machine.
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

// Summaries returns the Summary of each type.
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

// update applies one event to the machine, passes the changes to the sink, and returns the requests to send.
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

// Run keeps the client connected to a control plane until ctx ends. It tries the servers in order. When all servers have
// failed, or a stream that received a response has ended, it backs off and starts again with the first server. The backoff
// grows exponentially. It is reset after a response and after a stream that lasted for MaxBackoff, since a control plane sends nothing
// on an incremental stream while nothing has changed.
func (c *Client) Run(ctx context.Context) {
	backoff := c.options.BackoffBase
	for ctx.Err() == nil {
		for c.paused.Load() && ctx.Err() == nil {
			c.wait(ctx, pauseCheckInterval)
			backoff = c.options.BackoffBase
		}
		healthy := c.tryServers(ctx)
		if ctx.Err() != nil {
			return
		}
		if healthy {
			backoff = c.options.BackoffBase
		}
		if c.paused.Load() {
			continue
		}
		c.wait(ctx, backoff/2+rand.N(backoff/2+1))
		backoff = min(2*backoff, c.options.MaxBackoff)
	}
}

// tryServers runs a stream to one server after the other, until one has responded or all have failed. It reports whether a
// server has responded or a stream lasted for MaxBackoff.
func (c *Client) tryServers(ctx context.Context) (healthy bool) {
	for _, server := range c.options.Servers {
		startedAt := time.Now()
		responded, err := c.runStream(ctx, server)
		healthy = healthy || responded || time.Since(startedAt) >= c.options.MaxBackoff
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
	return healthy
}

func (c *Client) setDisconnected(lastError string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connection.Server = ""
	c.connection.LastError = lastError
}

// wait waits between two streams until d has passed, ctx ends, or a pause begins or ends. Meanwhile it applies deadlines of
// resources and changes of subscriptions.
func (c *Client) wait(ctx context.Context, d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	for c.waitForEvent(ctx, end.C) {
	}
}

// waitForEvent handles one event while no stream is open. It returns false when the wait is over.
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

// newTimer returns a timer that fires at the machine's next deadline.
func (c *Client) newTimer() *time.Timer {
	c.mu.Lock()
	deadline := c.machine.NextDeadline()
	c.mu.Unlock()
	if deadline == 0 {
		return time.NewTimer(noDeadline)
	}
	return time.NewTimer(max(deadline-c.options.Now(), 0))
}
