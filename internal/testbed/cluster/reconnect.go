package cluster

import (
	"context"
	"time"
)

// ReconnectResult is what a control plane sees when it returns after an outage.
type ReconnectResult struct {
	Shared   bool // subscription
	Gateways int
	// Streams were opened within three seconds of the return, FirstSecond of them within the first one.
	Streams     int
	FirstSecond int
	// Requests are the discovery requests within three seconds of the return.
	Requests int
	// Recovery is the time from the return until every gateway used the new version.
	Recovery     time.Duration
	LoadRequests int64
	LoadFailures int64
	// FirstFailure of the load; empty: none failed.
	FirstFailure string
}

const (
	reconnectLoad   = 20 // requests per second and gateway
	reconnectWindow = 3 * time.Second
)

// MeasureReconnect stops the control plane for an outage and starts it again with a new version, under load.
func (s *Site) MeasureReconnect(ctx context.Context, shared bool, outage time.Duration) (ReconnectResult, error) {
	result := ReconnectResult{Shared: shared, Gateways: len(s.Nodes)}
	load := s.StartLoad(reconnectLoad)
	defer load.Stop()
	s.ControlPlane.Stop()
	if err := sleep(ctx, outage); err != nil {
		return result, err
	}
	_, streams := s.ControlPlane.Streams()
	requests := len(s.ControlPlane.Requests())
	if _, err := s.Push(0, 1); err != nil {
		return result, err
	}
	if err := s.ControlPlane.Restart(); err != nil {
		return result, err
	}
	returned := time.Now()
	err := s.AwaitVersion(ctx, 2*recoveryTimeout)
	result.Recovery = time.Since(returned)
	_ = sleep(ctx, time.Second-result.Recovery)
	_, opened := s.ControlPlane.Streams()
	result.FirstSecond = opened - streams
	_ = sleep(ctx, reconnectWindow-time.Since(returned))
	_, opened = s.ControlPlane.Streams()
	result.Streams = opened - streams
	result.Requests = len(s.ControlPlane.Requests()) - requests
	result.FirstFailure = load.Stop()
	result.LoadRequests = load.Requests.Load()
	result.LoadFailures = load.Failed.Load()
	return result, err
}
