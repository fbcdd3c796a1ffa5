package xds

import (
	"context"
	"errors"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// A client makes one connection attempt a stream, so grpc's own backoff is kept short.
const (
	grpcBackoff           = time.Second
	grpcBackoffMultiplier = 1.6
)

var (
	// errPaused is why a stream ended that is no longer wanted.
	errPaused         = errors.New("paused")
	errConnectTimeout = errors.New("no connection in time")
)

// adsStream is an aggregated stream of either variant.
type adsStream interface {
	send(Request) error
	recv() (response, error)
}

// response is a response of either variant, or the error that ended the stream.
type response struct {
	sotw  *discoveryv3.DiscoveryResponse
	delta *discoveryv3.DeltaDiscoveryResponse
	err   error
}

type sotwStream struct {
	discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
}

func (s sotwStream) send(r Request) error { return s.Send(r.SotW) }

func (s sotwStream) recv() (response, error) {
	r, err := s.Recv()
	return response{sotw: r}, err
}

type deltaStream struct {
	discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (s deltaStream) send(r Request) error { return s.Send(r.Delta) }

func (s deltaStream) recv() (response, error) {
	r, err := s.Recv()
	return response{delta: r}, err
}

// follow opens a stream to a control plane and serves it until it ends. It reports whether there was any response.
func (c *Client) follow(parent context.Context, server string) (responded bool, err error) {
	connection, err := c.dial(server)
	if err != nil {
		return false, err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	stream, err := c.openInTime(ctx, cancel, connection)
	if err != nil {
		return false, err
	}
	var reader sync.WaitGroup
	defer reader.Wait()
	defer cancel()
	c.setConnected(server)
	defer c.update(func(m *Machine, _ time.Duration) ([]Request, []Change) {
		m.EndStream()
		return nil, nil
	})
	// Unbuffered: one response is read ahead of the one that is applied, and further ones wait with the sender.
	responses := make(chan response)
	reader.Go(func() { readResponses(ctx, stream, responses) })
	return c.serve(ctx, stream, responses)
}

func (c *Client) dial(server string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+server,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(c.options.MaxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: c.options.Keepalive, Timeout: c.options.Keepalive}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: grpcBackoff, Multiplier: grpcBackoffMultiplier, MaxDelay: grpcBackoff},
			MinConnectTimeout: c.options.ConnectTimeout,
		}))
}

// openInTime opens a stream within ConnectTimeout. It calls cancel, which ends ctx, when the time is over.
func (c *Client) openInTime(ctx context.Context, cancel context.CancelFunc, connection *grpc.ClientConn) (adsStream, error) {
	timeout := time.AfterFunc(c.options.ConnectTimeout, cancel)
	stream, err := c.openStream(ctx, connection)
	if !timeout.Stop() && err == nil {
		err = errConnectTimeout
	}
	return stream, err
}

func (c *Client) openStream(ctx context.Context, connection *grpc.ClientConn) (adsStream, error) {
	service := discoveryv3.NewAggregatedDiscoveryServiceClient(connection)
	if c.options.Delta {
		stream, err := service.DeltaAggregatedResources(ctx, grpc.WaitForReady(false))
		return deltaStream{stream}, err
	}
	stream, err := service.StreamAggregatedResources(ctx, grpc.WaitForReady(false))
	return sotwStream{stream}, err
}

func (c *Client) setConnected(server string) {
	c.mu.Lock()
	c.connection.Server = server
	c.connection.ConnectedAt = c.options.Now()
	c.connection.Streams++
	c.mu.Unlock()
	c.options.Log.Info("connected to the control plane", "server", server)
}

// readResponses passes the responses of a stream on until it or ctx ends. The last one contains the error of the stream.
func readResponses(ctx context.Context, stream adsStream, responses chan<- response) {
	for {
		r, err := stream.recv()
		r.err = err
		select {
		case responses <- r:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// serve runs the protocol on an open stream until it ends. It reports whether there was any response.
func (c *Client) serve(ctx context.Context, stream adsStream, responses <-chan response) (responded bool, err error) {
	requests := c.update((*Machine).StartStream)
	for {
		if err := sendAll(ctx, stream, requests, responses); err != nil {
			return responded, err
		}
		event, err := c.waitOnStream(ctx, responses)
		if err != nil {
			return responded, err
		}
		responded = responded || event.isResponse
		requests = event.requests
	}
}

// streamEvent is the outcome of an event on a stream.
type streamEvent struct {
	requests   []Request
	isResponse bool
}

// waitOnStream waits for the next event on a stream and handles it. The error is why the stream ends.
func (c *Client) waitOnStream(ctx context.Context, responses <-chan response) (streamEvent, error) {
	deadline := c.newTimer()
	defer deadline.Stop()
	select {
	case <-ctx.Done():
		return streamEvent{}, ctx.Err()
	case <-c.pauseChanged:
		if c.paused.Load() {
			return streamEvent{}, errPaused
		}
		return streamEvent{}, nil
	case s := <-c.subscriptions:
		return streamEvent{requests: c.subscribe(s)}, nil
	case <-deadline.C:
		return streamEvent{requests: c.update((*Machine).Tick)}, nil
	case r := <-responses:
		if r.err != nil {
			return streamEvent{}, r.err
		}
		return streamEvent{requests: c.handleResponse(r), isResponse: true}, nil
	}
}

// sendAll sends requests. If that fails, the error is the one that reading gives, which says why the stream ended.
func sendAll(ctx context.Context, stream adsStream, requests []Request, responses <-chan response) error {
	for _, request := range requests {
		err := stream.send(request)
		if err == nil {
			continue
		}
		select {
		case r := <-responses:
			if r.err != nil {
				return r.err
			}
		case <-ctx.Done():
		}
		return err
	}
	return nil
}

func (c *Client) handleResponse(r response) []Request {
	requests := c.update(func(m *Machine, now time.Duration) ([]Request, []Change) {
		c.connection.LastResponseAt = now
		if r.delta != nil {
			return m.HandleDelta(now, r.delta)
		}
		return m.HandleSotW(now, r.sotw)
	})
	c.logRejected(requests)
	return requests
}

// logRejected logs the NACKs among requests.
func (c *Client) logRejected(requests []Request) {
	for _, request := range requests {
		c.logDetail(request.SotW.GetTypeUrl(), request.SotW.GetErrorDetail())
		c.logDetail(request.Delta.GetTypeUrl(), request.Delta.GetErrorDetail())
	}
}

func (c *Client) logDetail(typeURL string, detail *statuspb.Status) {
	if detail != nil {
		c.options.Log.Warn("resources rejected", "type", Type(typeURL).Short(), "error", detail.GetMessage())
	}
}
