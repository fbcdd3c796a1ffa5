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

// runEvents injects the events when they are due. Only a restart of gateways does not delay the events after it.
func (p *loopbackRun) runEvents(ctx context.Context, watch func(*gatewayProcess)) {
	for _, v := range p.experiment.timeline() {
		if sleep(ctx, p.timeAt(v.At.D())) != nil {
			return
		}
		if v.Action == "restart" {
			p.background.Go(func() { p.recordEventError(&v, p.restartGateways(ctx, v.Fraction, v.Downtime.D(), watch)) })
			continue
		}
		p.recordEventError(&v, p.inject(ctx, &v))
	}
}

// recordEventError records that an event could not be injected, unless the run was cancelled.
func (p *loopbackRun) recordEventError(v *Event, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		p.mu.Lock()
		p.eventErrors = append(p.eventErrors, fmt.Sprintf("%s %s at %v: %v", v.Action, v.Zone, v.At.D(), err))
		p.mu.Unlock()
	}
}

// inject injects an event. It blocks until the endpoint list shows it.
func (p *loopbackRun) inject(ctx context.Context, v *Event) error {
	switch v.Action {
	case "kill":
		for _, server := range p.serversIn(v.Zone, v.Fraction) {
			server.fail(v.FailureMode)
		}
	case "revive":
		return p.reviveZone(ctx, v)
	case "slow":
		for _, server := range p.serversIn(v.Zone, 1) {
			server.mu.Lock()
			server.slowdown *= v.SlowdownFactor
			server.mu.Unlock()
		}
	case "drain", "undrain":
		return p.setDraining(ctx, v)
	case "push":
		return p.publishEndpoints(nil)
	case "away":
		p.controlPlane.Stop()
	case "back":
		return errors.Join(p.publishEndpoints(nil), p.controlPlane.Restart())
	}
	return nil
}

// reviveZone restarts the failed servers of a zone. The endpoint list is published without them first, so that gateways see that they
// have restarted.
func (p *loopbackRun) reviveZone(ctx context.Context, v *Event) error {
	toRename := v.RenamedServers
	restarted := map[string]bool{} // by previous address
	for _, server := range p.serversIn(v.Zone, 1) {
		previous, err := server.revive(toRename > 0, p.elapsed())
		if err != nil {
			return err
		}
		if previous != "" {
			toRename--
			restarted[previous] = true
		}
	}
	if err := p.waitForNotify(ctx, v); err != nil {
		return err
	}
	return errors.Join(p.publishEndpoints(restarted), p.publishEndpoints(nil))
}

// setDraining starts or ends the drain of a fraction of a zone's servers.
func (p *loopbackRun) setDraining(ctx context.Context, v *Event) error {
	for _, server := range p.serversIn(v.Zone, v.Fraction) {
		server.mu.Lock()
		server.draining = v.Action == "drain"
		server.drainPublishedAt = 0
		server.mu.Unlock()
	}
	if err := p.waitForNotify(ctx, v); err != nil {
		return err
	}
	return p.publishEndpoints(nil)
}

// waitForNotify blocks until the endpoint list is to show an event.
func (p *loopbackRun) waitForNotify(ctx context.Context, v *Event) error {
	return sleep(ctx, p.timeAt(v.At.D()+v.NotifyDelay.D()))
}

// serversIn returns the first servers of a zone, a fraction of them.
func (p *loopbackRun) serversIn(zone string, part float64) (l []*loopbackServer) {
	for _, h := range p.servers {
		if h.zone == zone {
			l = append(l, h)
		}
	}
	return l[:int(part*float64(len(l))+0.5)]
}

// restartGateways kills the first gateways, a fraction of all, at once and starts them again after their downtime. It blocks until
// all of them are ready or have failed to start.
func (p *loopbackRun) restartGateways(ctx context.Context, part float64, down time.Duration, watch func(*gatewayProcess)) error {
	n := int(part*float64(len(p.gateways)) + 0.5)
	p.mu.Lock()
	old := slices.Clone(p.gateways[:n])
	clear(p.gateways[:n])
	p.mu.Unlock()
	var all sync.WaitGroup
	for _, c := range old {
		if c != nil {
			all.Go(c.Kill)
		}
	}
	all.Wait()
	if err := sleep(ctx, time.Now().Add(down)); err != nil {
		return err
	}
	began := time.Now()
	errs := make([]error, n)
	for i := range n {
		all.Go(func() {
			c, err := p.experiment.startGateway(ctx, p.options.Binary, p.configDir, i, p.controlPlane.Addr)
			if err != nil {
				errs[i] = err
				return
			}
			p.clients[i].CloseIdleConnections()
			watch(c)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.gateways[i] = c
			p.collector.restartTime = max(p.collector.restartTime, time.Since(began))
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// publishEndpoints publishes the current endpoint list, except for some addresses.
func (p *loopbackRun) publishEndpoints(without map[string]bool) error {
	var endpoints []controlplane.Endpoint
	now := p.elapsed()
	for _, server := range p.servers {
		endpoint := server.endpoint(now)
		if !without[endpoint.Addr] {
			endpoints = append(endpoints, endpoint)
		}
	}
	p.endpointsVersion++
	resource := controlplane.Resource{Name: "fleet", Body: controlplane.Assignment("fleet", endpoints...)}
	_, err := p.controlPlane.Push(strconv.Itoa(p.endpointsVersion), false, resource)
	return err
}

// endpoint returns the server's entry of the endpoint list, and notes when it first shows a drain.
func (h *loopbackServer) endpoint(now time.Duration) controlplane.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	endpoint := controlplane.Endpoint{Addr: h.address, Zone: h.zone, Health: corev3.HealthStatus_HEALTHY}
	if !h.draining {
		return endpoint
	}
	endpoint.Health = corev3.HealthStatus_DRAINING
	if h.drainPublishedAt == 0 {
		h.drainPublishedAt = now
	}
	return endpoint
}
