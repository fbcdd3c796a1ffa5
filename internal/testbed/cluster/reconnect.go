package cluster

import (
	"context"
	"time"
)

// ReconnectResult counts the streams and requests that a control plane receives after an outage, with the time to recovery.
type ReconnectResult struct {
	Shared   bool // the gateways share one subscription
	Gateways int
	// Streams is the number of streams opened within three seconds after the restart, FirstSecond within one second.
	Streams     int
	FirstSecond int
	// Requests is the number of discovery requests within three seconds after the restart.
	Requests int
	// Recovery is the time from the restart until every gateway used the new version.
	Recovery     time.Duration
	LoadRequests int64
	LoadFailures int64
	// FirstFailure describes the first failed request of the load; empty: none failed.
	FirstFailure string
}

const (
	reconnectLoad   = 20 // requests per second and gateway
	reconnectWindow = 3 * time.Second
)

// MeasureReconnect stops the control plane for the duration of an outage and restarts it with a new version, under load.
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
	restarted := time.Now()
	err := s.AwaitVersion(ctx, 2*recoveryTimeout)
	result.Recovery = time.Since(restarted)
	_ = sleep(ctx, time.Second-result.Recovery)
	_, opened := s.ControlPlane.Streams()
	result.FirstSecond = opened - streams
	_ = sleep(ctx, reconnectWindow-time.Since(restarted))
	_, opened = s.ControlPlane.Streams()
	result.Streams = opened - streams
	result.Requests = len(s.ControlPlane.Requests()) - requests
	result.FirstFailure = load.Stop()
	result.LoadRequests = load.Requests.Load()
	result.LoadFailures = load.Failed.Load()
	return result, err
}
