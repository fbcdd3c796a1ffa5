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

// Backoff of the reconnection in gRPC. It is short, as a Client makes one connection attempt per stream with its own backoff.
const (
	grpcBackoff           = time.Second
	grpcBackoffMultiplier = 1.6
)

var (
	// errPaused is the error of a stream that ended because the client was paused.
	errPaused         = errors.New("paused")
	errConnectTimeout = errors.New("connect timeout exceeded")
)

// adsStream is an aggregated stream of either variant of the protocol.
type adsStream interface {
	send(Request) error
	recv() (response, error)
}

// response is a response of either variant of the protocol, or the error that ended the stream.
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

// runStream opens a stream to a control plane and runs the protocol until the stream ends. It reports whether any response was
// received.
func (c *Client) runStream(parent context.Context, server string) (responded bool, err error) {
	connection, err := c.dial(server)
	if err != nil {
		return false, err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	stream, err := c.openStreamWithTimeout(ctx, cancel, connection)
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
	// The channel is unbuffered: one response is read ahead while another one is applied. Further responses are held back by
	// the flow control of the stream.
	responses := make(chan response)
	reader.Go(func() { readResponses(ctx, stream, responses) })
	return c.handleEvents(ctx, stream, responses)
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

// openStreamWithTimeout opens a stream. If that takes longer than ConnectTimeout, it calls cancel, which must cancel ctx, and
// returns an error.
func (c *Client) openStreamWithTimeout(ctx context.Context, cancel context.CancelFunc, connection *grpc.ClientConn) (adsStream, error) {
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

// readResponses sends the responses of a stream to a channel until the stream or ctx ends. The last response contains the
// error that ended the stream.
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

// handleEvents runs the protocol on an open stream until the stream ends. It reports whether any response was received.
func (c *Client) handleEvents(ctx context.Context, stream adsStream, responses <-chan response) (responded bool, err error) {
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

// waitOnStream waits for the next event on an open stream and handles it. It returns an error if the stream must end.
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

// sendAll sends requests. If sending fails, it returns the error of reading from the stream if there is one, as only that error
// contains the reason why the stream ended.
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
	c.logNACKs(requests)
	return requests
}

// logNACKs logs the NACKs among requests.
func (c *Client) logNACKs(requests []Request) {
	for _, request := range requests {
		c.logNACK(request.SotW.GetTypeUrl(), request.SotW.GetErrorDetail())
		c.logNACK(request.Delta.GetTypeUrl(), request.Delta.GetErrorDetail())
	}
}

// logNACK logs a NACK. A request without an error detail is not a NACK.
func (c *Client) logNACK(typeURL string, detail *statuspb.Status) {
	if detail != nil {
		c.options.Log.Warn("resources rejected", "type", Type(typeURL).Short(), "error", detail.GetMessage())
	}
}
