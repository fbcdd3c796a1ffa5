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
	Servers        []string // host:port, asked in this order
	ConnectTimeout time.Duration
	BackoffBase    time.Duration // before the second try; doubled for each further one, half of it at random
	BackoffMost    time.Duration
	Keepalive      time.Duration // a control plane that answers no ping for so long is gone
	Message        int           // bytes, the longest that is read
	Now            func() time.Duration
	Log            *slog.Logger
}

// Sink takes what a Client learns. Changed is called by one goroutine, in the order in which things were told.
type Sink interface {
	Changed(changes []Change)
}

// Client follows control planes over one aggregated stream (ADS). While none is reached, what was learnt stays.
type Client struct {
	opt  ClientOptions
	sink Sink
	want chan wish

	paused atomic.Bool
	turn   chan struct{} // paused has changed

	mu      sync.Mutex
	machine *Machine
	link    Link
}

type wish struct {
	names   []string
	classes map[string]bool
}

// Link is how the client stands with its control planes.
type Link struct {
	Server  string        // connected to; empty: none
	Since   time.Duration // of that
	Heard   time.Duration // when the last response came; 0: none yet
	Streams int           // opened so far
	Error   string        // why the last one ended or did not come up
}

// NewClient makes one that Run starts.
func NewClient(opt ClientOptions, sink Sink) *Client {
	return &Client{opt: opt, sink: sink, want: make(chan wish, 1), turn: make(chan struct{}, 1), machine: NewMachine(opt.Options)}
}

// Names changes which ClusterLoadAssignments are asked for beside those that clusters name, and which classes routes may
// name. It does not block; the last call counts.
func (c *Client) Names(names []string, classes map[string]bool) {
	w := wish{names, classes}
	for {
		select {
		case c.want <- w:
			return
		default:
		}
		select {
		case <-c.want:
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
	case c.turn <- struct{}{}:
	default:
	}
}

// Import takes what another process accepted, as from a control plane; not while a stream is open.
func (c *Client) Import(b *Bundle) (err error) {
	c.mu.Lock()
	on := c.machine.on
	c.mu.Unlock()
	if on {
		return errors.New("a stream of its own is open")
	}
	c.step(func(m *Machine, now time.Duration) ([]Message, []Change) {
		var changes []Change
		changes, err = m.Import(now, b)
		return nil, changes
	})
	return err
}

// Look runs fn on the machine, which must only read it.
func (c *Client) Look(fn func(m *Machine, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.machine, c.opt.Now())
}

// Link tells how the client stands with its control planes.
func (c *Client) Link() Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.link
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

// step runs one event of the machine and hands on what it changes.
func (c *Client) step(event func(m *Machine, now time.Duration) ([]Message, []Change)) []Message {
	c.mu.Lock()
	out, changes := event(c.machine, c.opt.Now())
	c.mu.Unlock()
	if len(changes) > 0 {
		c.sink.Changed(changes)
	}
	return out
}

func (c *Client) wished(w wish) []Message {
	return c.step(func(m *Machine, now time.Duration) ([]Message, []Change) {
		m.Classes(w.classes)
		return m.Names(now, w.names)
	})
}

// Run follows the control planes until ctx ends. It goes through them in their order; after all have failed, and after a
// stream that told nothing, it waits, longer each time.
func (c *Client) Run(ctx context.Context) {
	wait := c.opt.BackoffBase
	for ctx.Err() == nil {
		for c.paused.Load() && ctx.Err() == nil {
			c.idle(ctx, time.Minute)
			wait = c.opt.BackoffBase
		}
		for _, server := range c.opt.Servers {
			heard, err := c.stream(ctx, server)
			if ctx.Err() != nil {
				return
			}
			if errors.Is(err, errPaused) {
				c.mu.Lock()
				c.link.Server, c.link.Error = "", ""
				c.mu.Unlock()
				break
			}
			c.mu.Lock()
			c.link.Server, c.link.Error = "", cut(fmt.Sprintf("%s: %v", server, err))
			c.mu.Unlock()
			c.opt.Log.Warn("the control plane is gone; what it told stays", "server", server, "err", err)
			if heard {
				wait = c.opt.BackoffBase
				break // begin with the first again
			}
		}
		if c.paused.Load() {
			continue
		}
		c.idle(ctx, wait/2+rand.N(wait/2+1))
		wait = min(2*wait, c.opt.BackoffMost)
	}
}

// idle passes the time between two streams: what runs out does so meanwhile.
func (c *Client) idle(ctx context.Context, d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		tick := c.timer()
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-end.C:
			tick.Stop()
			return
		case <-c.turn:
			tick.Stop()
			return
		case w := <-c.want:
			c.wished(w)
		case <-tick.C:
			c.step((*Machine).Tick)
		}
		tick.Stop()
	}
}

// timer runs out when the machine has something to do.
func (c *Client) timer() *time.Timer {
	c.mu.Lock()
	at := c.machine.Next()
	c.mu.Unlock()
	if at == 0 {
		return time.NewTimer(time.Hour)
	}
	return time.NewTimer(max(at-c.opt.Now(), 0))
}

// adsStream is a stream of either variant.
type adsStream interface {
	send(Message) error
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

func (s sotwStream) send(m Message) error { return s.Send(m.SotW) }
func (s sotwStream) recv() (response, error) {
	r, err := s.Recv()
	return response{sotw: r}, err
}

type deltaStream struct {
	discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (s deltaStream) send(m Message) error { return s.Send(m.Delta) }
func (s deltaStream) recv() (response, error) {
	r, err := s.Recv()
	return response{delta: r}, err
}

// errPaused is why a stream ended that nobody wanted any more.
var errPaused = errors.New("paused")

// stream opens a stream to one control plane and serves it until it ends; heard tells whether it told anything.
func (c *Client) stream(parent context.Context, server string) (heard bool, err error) {
	conn, err := grpc.NewClient("passthrough:///"+server, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.opt.Message)), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: c.opt.Keepalive, Timeout: c.opt.Keepalive}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: time.Second, Multiplier: 1.6, MaxDelay: time.Second},
			MinConnectTimeout: c.opt.ConnectTimeout}))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(parent)
	up := time.AfterFunc(c.opt.ConnectTimeout, cancel)
	s, err := c.open(ctx, conn)
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
	c.link.Server, c.link.Since = server, c.opt.Now()
	c.link.Streams++
	c.mu.Unlock()
	c.opt.Log.Info("connected to the control plane", "server", server)
	defer c.step(func(m *Machine, _ time.Duration) ([]Message, []Change) {
		m.End()
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
	out := c.step((*Machine).Begin)
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
		tick := c.timer()
		select {
		case <-ctx.Done():
			tick.Stop()
			return heard, ctx.Err()
		case <-c.turn:
			if out = nil; c.paused.Load() {
				tick.Stop()
				return heard, errPaused
			}
		case w := <-c.want:
			out = c.wished(w)
		case <-tick.C:
			out = c.step((*Machine).Tick)
		case r := <-in:
			if r.err != nil {
				tick.Stop()
				return heard, r.err
			}
			heard = true
			out = c.step(func(m *Machine, now time.Duration) ([]Message, []Change) {
				c.link.Heard = now
				if r.delta != nil {
					return m.Delta(now, r.delta)
				}
				return m.SotW(now, r.sotw)
			})
			c.refused(out)
		}
		tick.Stop()
	}
}

// refused logs what was refused.
func (c *Client) refused(out []Message) {
	for _, m := range out {
		if d := m.SotW.GetErrorDetail(); d != nil {
			c.opt.Log.Warn("resources were refused", "type", Type(m.SotW.GetTypeUrl()).Short(), "why", d.GetMessage())
		}
		if d := m.Delta.GetErrorDetail(); d != nil {
			c.opt.Log.Warn("resources were refused", "type", Type(m.Delta.GetTypeUrl()).Short(), "why", d.GetMessage())
		}
	}
}

func (c *Client) open(ctx context.Context, conn *grpc.ClientConn) (adsStream, error) {
	api := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	if c.opt.Delta {
		s, err := api.DeltaAggregatedResources(ctx, grpc.WaitForReady(false))
		return deltaStream{s}, err
	}
	s, err := api.StreamAggregatedResources(ctx, grpc.WaitForReady(false))
	return sotwStream{s}, err
}
