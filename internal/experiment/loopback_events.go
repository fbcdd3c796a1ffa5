package experiment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"robindrum/internal/testbed/controlplane"
)

// runEvents injects the events when they are due. A restart of gateways runs in the background; any other event delays the events
// after it until its injection is complete.
func (r *loopbackRun) runEvents(ctx context.Context, watch func(*gatewayProcess)) {
	for _, event := range r.experiment.timeline() {
		if sleep(ctx, r.timeAt(event.At.D())) != nil {
			return
		}
		if event.Action == "restart" {
			r.background.Go(func() { r.recordEventError(&event, r.restartGateways(ctx, event.Fraction, event.Downtime.D(), watch)) })
			continue
		}
		r.recordEventError(&event, r.inject(ctx, &event))
	}
}

// recordEventError records that an event could not be injected, unless the run was cancelled.
func (r *loopbackRun) recordEventError(event *Event, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		r.mu.Lock()
		r.eventErrors = append(r.eventErrors, fmt.Sprintf("%s %s at %v: %v", event.Action, event.Zone, event.At.D(), err))
		r.mu.Unlock()
	}
}

// inject injects an event. It blocks until the endpoint list shows the change.
func (r *loopbackRun) inject(ctx context.Context, event *Event) error {
	switch event.Action {
	case "kill":
		for _, server := range r.serversIn(event.Zone, event.Fraction) {
			server.fail(event.FailureMode)
		}
	case "revive":
		return r.reviveZone(ctx, event)
	case "slow":
		for _, server := range r.serversIn(event.Zone, 1) {
			server.mu.Lock()
			server.slowdown *= event.SlowdownFactor
			server.mu.Unlock()
		}
	case "drain", "undrain":
		return r.setDraining(ctx, event)
	case "push":
		return r.publishEndpoints(nil)
	case "away":
		r.controlPlane.Stop()
	case "back":
		return errors.Join(r.publishEndpoints(nil), r.controlPlane.Restart())
	}
	return nil
}

// reviveZone restarts the failed servers of a zone. It first publishes the endpoint list without them, so that the gateways treat them
// as restarted.
func (r *loopbackRun) reviveZone(ctx context.Context, event *Event) error {
	toRename := event.RenamedServers
	restarted := map[string]bool{} // by previous address
	for _, server := range r.serversIn(event.Zone, 1) {
		previous, err := server.revive(toRename > 0, r.elapsed())
		if err != nil {
			return err
		}
		if previous != "" {
			toRename--
			restarted[previous] = true
		}
	}
	if err := r.waitForNotifyTime(ctx, event); err != nil {
		return err
	}
	return errors.Join(r.publishEndpoints(restarted), r.publishEndpoints(nil))
}

// setDraining starts or ends the drain of a fraction of a zone's servers.
func (r *loopbackRun) setDraining(ctx context.Context, event *Event) error {
	for _, server := range r.serversIn(event.Zone, event.Fraction) {
		server.mu.Lock()
		server.draining = event.Action == "drain"
		server.drainPublishedAt = 0
		server.mu.Unlock()
	}
	if err := r.waitForNotifyTime(ctx, event); err != nil {
		return err
	}
	return r.publishEndpoints(nil)
}

// waitForNotifyTime blocks until the time at which the endpoint list has to show an event.
func (r *loopbackRun) waitForNotifyTime(ctx context.Context, event *Event) error {
	return sleep(ctx, r.timeAt(event.At.D()+event.NotifyDelay.D()))
}

// serversIn returns the given fraction of the servers of a zone, the first ones.
func (r *loopbackRun) serversIn(zone string, fraction float64) (selected []*loopbackServer) {
	for _, server := range r.servers {
		if server.zone == zone {
			selected = append(selected, server)
		}
	}
	return selected[:int(fraction*float64(len(selected))+0.5)]
}

// restartGateways kills the first gateways, the given fraction of all, at the same time and starts them again after their downtime. It
// blocks until all of them are ready or have failed to start.
func (r *loopbackRun) restartGateways(ctx context.Context, fraction float64, downtime time.Duration, watch func(*gatewayProcess)) error {
	count := int(fraction*float64(len(r.gateways)) + 0.5)
	r.mu.Lock()
	killed := slices.Clone(r.gateways[:count])
	clear(r.gateways[:count])
	r.mu.Unlock()
	var pending sync.WaitGroup
	for _, gateway := range killed {
		if gateway != nil {
			pending.Go(gateway.Kill)
		}
	}
	pending.Wait()
	if err := sleep(ctx, time.Now().Add(downtime)); err != nil {
		return err
	}
	restartedAt := time.Now()
	errs := make([]error, count)
	for i := range count {
		pending.Go(func() {
			gateway, err := r.experiment.startGateway(ctx, r.options.Binary, r.configDir, i, r.controlPlane.Addr)
			if err != nil {
				errs[i] = err
				return
			}
			r.clients[i].CloseIdleConnections()
			watch(gateway)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.gateways[i] = gateway
			r.collector.restartTime = max(r.collector.restartTime, time.Since(restartedAt))
		})
	}
	pending.Wait()
	return errors.Join(errs...)
}

// publishEndpoints publishes the current endpoint list, except for the excluded addresses.
func (r *loopbackRun) publishEndpoints(excluded map[string]bool) error {
	var endpoints []controlplane.Endpoint
	now := r.elapsed()
	for _, server := range r.servers {
		endpoint := server.endpoint(now)
		if !excluded[endpoint.Addr] {
			endpoints = append(endpoints, endpoint)
		}
	}
	r.endpointsVersion++
	resource := controlplane.Resource{Name: "fleet", Body: controlplane.Assignment("fleet", endpoints...)}
	_, err := r.controlPlane.Push(strconv.Itoa(r.endpointsVersion), false, resource)
	return err
}

// endpoint returns the server's entry of the endpoint list, and records when the entry first shows a drain.
func (s *loopbackServer) endpoint(now time.Duration) controlplane.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := controlplane.Endpoint{Addr: s.address, Zone: s.zone, Health: corev3.HealthStatus_HEALTHY}
	if !s.draining {
		return endpoint
	}
	endpoint.Health = corev3.HealthStatus_DRAINING
	if s.drainPublishedAt == 0 {
		s.drainPublishedAt = now
	}
	return endpoint
}
