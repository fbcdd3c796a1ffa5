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

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// ClientOptions are what a Client is told beside the Machine's.
type ClientOptions struct {
	Options
	Servers         []string // host:port, asked in this order
	ConnectTimeout  time.Duration
	BackoffBase     time.Duration // before the second try; doubled for each further one, half of it at random
	MaxBackoff      time.Duration
	Keepalive       time.Duration // a control plane that answers no ping for so long is gone
	MaxMessageBytes int           // bytes, the longest that is read
	Now             func() time.Duration
	Log             *slog.Logger
}

// Sink takes what a Client learns. Changed is called by one goroutine, in the order in which things were told.
type Sink interface {
	Changed(changes []Change)
}

// Client follows control planes over one aggregated stream (ADS). While none is reached, what was learnt stays.
type Client struct {
	options       ClientOptions
	sink          Sink
	subscriptions chan subscription

	paused       atomic.Bool
	pauseChanged chan struct{} // paused has changed

	mu         sync.Mutex
	machine    *Machine
	connection Connection
}

type subscription struct {
	services []string
	classes  map[string]bool
}

// Connection is how the client stands with its control planes.
type Connection struct {
	Server         string        // connected to; empty: none
	ConnectedAt    time.Duration // of that
	LastResponseAt time.Duration // when the last response came; 0: none yet
	Streams        int           // opened so far
	LastError      string        // why the last one ended or did not come up
}

// NewClient makes one that Run starts.
func NewClient(opt ClientOptions, sink Sink) *Client {
	return &Client{options: opt, sink: sink, subscriptions: make(chan subscription, 1), pauseChanged: make(chan struct{}, 1), machine: NewMachine(opt.Options)}
}

// Subscribe changes which ClusterLoadAssignments are asked for beside those that clusters name, and which classes routes may
// name. It does not block; the last call counts.
func (c *Client) Subscribe(names []string, classes map[string]bool) {
	w := subscription{names, classes}
	for {
		select {
		case c.subscriptions <- w:
			return
		default:
		}
		select {
		case <-c.subscriptions:
		default:
		}
	}
}

// Pause has it hold no stream, or follow the control planes again. What was learnt stays.
func (c *Client) Pause(on bool) {
	if c.paused.Swap(on) == on {
		return
	}
	select {
	case c.pauseChanged <- struct{}{}:
	default:
	}
}

// Import takes what another process accepted, as from a control plane; not while a stream is open.
func (c *Client) Import(b *Bundle) (err error) {
	c.mu.Lock()
	on := c.machine.streamOpen
	c.mu.Unlock()
	if on {
		return errors.New("a stream of its own is open")
	}
	c.update(func(m *Machine, now time.Duration) ([]Request, []Change) {
		var changes []Change
		changes, err = m.Import(now, b)
		return nil, changes
	})
	return err
}

// Inspect runs fn on the machine, which must only read it.
func (c *Client) Inspect(fn func(m *Machine, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.machine, c.options.Now())
}

// Connection tells how the client stands with its control planes.
func (c *Client) Connection() Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connection
}

// Summaries tells what is known of each type.
func (c *Client) Summaries() []Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Summaries()
}

// Resources tells what is known of the resources of a type.
func (c *Client) Resources(t Type) []Resource {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Resources(t)
}

// update runs one event of the machine and hands on what it changes.
func (c *Client) update(event func(m *Machine, now time.Duration) ([]Request, []Change)) []Request {
	c.mu.Lock()
	out, changes := event(c.machine, c.options.Now())
	c.mu.Unlock()
	if len(changes) > 0 {
		c.sink.Changed(changes)
	}
	return out
}

func (c *Client) subscribe(w subscription) []Request {
	return c.update(func(m *Machine, now time.Duration) ([]Request, []Change) {
		m.SetClasses(w.classes)
		return m.Subscribe(now, w.services)
	})
}

// Run follows the control planes until ctx ends. It goes through them in their order; after all have failed, and after a
// stream that told nothing, it waits, longer each time.
func (c *Client) Run(ctx context.Context) {
	wait := c.options.BackoffBase
	for ctx.Err() == nil {
		for c.paused.Load() && ctx.Err() == nil {
			c.idle(ctx, time.Minute)
			wait = c.options.BackoffBase
		}
		for _, server := range c.options.Servers {
			heard, err := c.stream(ctx, server)
			if ctx.Err() != nil {
				return
			}
			if errors.Is(err, errPaused) {
				c.mu.Lock()
				c.connection.Server, c.connection.LastError = "", ""
				c.mu.Unlock()
				break
			}
			c.mu.Lock()
			c.connection.Server, c.connection.LastError = "", truncate(fmt.Sprintf("%s: %v", server, err))
			c.mu.Unlock()
			c.options.Log.Warn("the control plane is gone; what it told stays", "server", server, "err", err)
			if heard {
				wait = c.options.BackoffBase
				break // begin with the first again
			}
		}
		if c.paused.Load() {
			continue
		}
		c.idle(ctx, wait/2+rand.N(wait/2+1))
		wait = min(2*wait, c.options.MaxBackoff)
	}
}

// idle passes the time between two streams: what runs out does so meanwhile.
func (c *Client) idle(ctx context.Context, d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		tick := c.newTimer()
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-end.C:
			tick.Stop()
			return
		case <-c.pauseChanged:
			tick.Stop()
			return
		case w := <-c.subscriptions:
			c.subscribe(w)
		case <-tick.C:
			c.update((*Machine).Tick)
		}
		tick.Stop()
	}
}

// newTimer runs out when the machine has something to do.
func (c *Client) newTimer() *time.Timer {
	c.mu.Lock()
	at := c.machine.NextDeadline()
	c.mu.Unlock()
	if at == 0 {
		return time.NewTimer(time.Hour)
	}
	return time.NewTimer(max(at-c.options.Now(), 0))
}

// adsStream is a stream of either variant.
type adsStream interface {
	send(Request) error
	recv() (response, error)
}

type response struct {
	sotw  *discoveryv3.DiscoveryResponse
	delta *discoveryv3.DeltaDiscoveryResponse
	err   error
}

type sotwStream struct {
	discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
}

func (s sotwStream) send(m Request) error { return s.Send(m.SotW) }
func (s sotwStream) recv() (response, error) {
	r, err := s.Recv()
	return response{sotw: r}, err
}

type deltaStream struct {
	discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (s deltaStream) send(m Request) error { return s.Send(m.Delta) }
func (s deltaStream) recv() (response, error) {
	r, err := s.Recv()
	return response{delta: r}, err
}

// errPaused is why a stream ended that nobody wanted any more.
var errPaused = errors.New("paused")

// stream opens a stream to one control plane and serves it until it ends; heard tells whether it told anything.
func (c *Client) stream(parent context.Context, server string) (heard bool, err error) {
	conn, err := grpc.NewClient("passthrough:///"+server, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.options.MaxMessageBytes)), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: c.options.Keepalive, Timeout: c.options.Keepalive}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: time.Second, Multiplier: 1.6, MaxDelay: time.Second},
			MinConnectTimeout: c.options.ConnectTimeout}))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(parent)
	up := time.AfterFunc(c.options.ConnectTimeout, cancel)
	s, err := c.openStream(ctx, conn)
	if !up.Stop() && err == nil {
		err = errors.New("no connection in time")
	}
	var reader sync.WaitGroup
	defer reader.Wait()
	defer cancel()
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	c.connection.Server, c.connection.ConnectedAt = server, c.options.Now()
	c.connection.Streams++
	c.mu.Unlock()
	c.options.Log.Info("connected to the control plane", "server", server)
	defer c.update(func(m *Machine, _ time.Duration) ([]Request, []Change) {
		m.EndStream()
		return nil, nil
	})
	// One response at a time is read ahead of the one that is worked on; what comes faster waits with the sender.
	in := make(chan response)
	reader.Go(func() {
		for {
			r, err := s.recv()
			r.err = err
			select {
			case in <- r:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	})
	out := c.update((*Machine).StartStream)
	for {
		for _, m := range out {
			if err := s.send(m); err != nil {
				// Why the stream broke is what reading it gives.
				select {
				case r := <-in:
					if r.err != nil {
						err = r.err
					}
				case <-ctx.Done(): // and the reader has gone
				}
				return heard, err
			}
		}
		tick := c.newTimer()
		select {
		case <-ctx.Done():
			tick.Stop()
			return heard, ctx.Err()
		case <-c.pauseChanged:
			if out = nil; c.paused.Load() {
				tick.Stop()
				return heard, errPaused
			}
		case w := <-c.subscriptions:
			out = c.subscribe(w)
		case <-tick.C:
			out = c.update((*Machine).Tick)
		case r := <-in:
			if r.err != nil {
				tick.Stop()
				return heard, r.err
			}
			heard = true
			out = c.update(func(m *Machine, now time.Duration) ([]Request, []Change) {
				c.connection.LastResponseAt = now
				if r.delta != nil {
					return m.HandleDelta(now, r.delta)
				}
				return m.HandleSotW(now, r.sotw)
			})
			c.logRejected(out)
		}
		tick.Stop()
	}
}

// logRejected logs what was refused.
func (c *Client) logRejected(out []Request) {
	for _, m := range out {
		if d := m.SotW.GetErrorDetail(); d != nil {
			c.options.Log.Warn("resources were refused", "type", Type(m.SotW.GetTypeUrl()).Short(), "why", d.GetMessage())
		}
		if d := m.Delta.GetErrorDetail(); d != nil {
			c.options.Log.Warn("resources were refused", "type", Type(m.Delta.GetTypeUrl()).Short(), "why", d.GetMessage())
		}
	}
}

func (c *Client) openStream(ctx context.Context, conn *grpc.ClientConn) (adsStream, error) {
	api := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	if c.options.Delta {
		s, err := api.DeltaAggregatedResources(ctx, grpc.WaitForReady(false))
		return deltaStream{s}, err
	}
	s, err := api.StreamAggregatedResources(ctx, grpc.WaitForReady(false))
	return sotwStream{s}, err
}
