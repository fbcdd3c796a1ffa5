package experiment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"robindrum/internal/testbed/controlplane"
)

// run runs the experiment and stops all that it started.
func (p *loopbackRun) run(ctx context.Context) error {
	defer p.countDuplicateEffects()
	defer p.stop()
	for _, c := range p.experiment.Classes {
		p.bodies[c.Name] = make([]byte, c.ResponseSize)
	}
	p.startedAt = time.Now()
	if err := p.startServers(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "robindrum-lab-")
	if err != nil {
		return fmt.Errorf("a folder for the gateways: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p.configDir = dir
	if err := p.startGateways(ctx); err != nil {
		return err
	}
	source := p.experiment.Gateways.Source
	p.controlPlane.SetCapacity(source.Concurrency, source.ResponseTime.D(), source.QueueTimeout.D())
	if p.options.started != nil {
		p.options.started(p)
	}
	return p.drive(ctx)
}

// startServers starts the control plane and the servers, and publishes their endpoints.
func (p *loopbackRun) startServers() error {
	plane, err := controlplane.Start("")
	if err != nil {
		return err
	}
	p.controlPlane = plane
	perZone := map[string]int{}
	for i := range p.experiment.Fleet.Groups {
		g := &p.experiment.Fleet.Groups[i]
		for range g.Servers {
			id := fmt.Sprintf("%s-%d", g.Zone, perZone[g.Zone])
			server, err := newLoopbackServer(p, id, g, p.seed*1000+uint64(len(p.servers)))
			if err != nil {
				return err
			}
			perZone[g.Zone]++
			p.servers = append(p.servers, server)
		}
	}
	return p.publishEndpoints(nil)
}

// startGateways starts the gateways one after the other and waits until each is ready.
func (p *loopbackRun) startGateways(ctx context.Context) error {
	for i := range p.experiment.Gateways.Count {
		gateway, err := p.experiment.startGateway(ctx, p.options.Binary, p.configDir, i, p.controlPlane.Addr)
		if err != nil {
			return err
		}
		p.gateways = append(p.gateways, gateway)
		p.clients = append(p.clients, &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4096,
			DisableCompression:  true,
			DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		}})
	}
	return nil
}

// countDuplicateEffects counts the requests with more than one effect.
func (p *loopbackRun) countDuplicateEffects() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, byZone := range p.effects {
		effects := 0
		for _, n := range byZone {
			effects += n
		}
		if effects > 1 {
			p.collector.duplicateEffects++
		}
	}
}

// stop waits for the goroutines of the run and stops the gateways, the servers and the control plane.
func (p *loopbackRun) stop() {
	p.background.Wait()
	for _, c := range p.clients {
		c.CloseIdleConnections()
	}
	var stopping sync.WaitGroup
	for _, gateway := range p.gateways {
		if gateway != nil {
			stopping.Go(gateway.stop)
		}
	}
	stopping.Wait()
	for _, server := range p.servers {
		if server.served != nil {
			server.fail("")
		}
	}
	if p.controlPlane != nil {
		p.controlPlane.Stop()
	}
}

// abortGrace is how long requests in flight may take after an interrupt. Those without a response then are not counted.
const abortGrace = time.Second

// drive sends the load, injects the events and watches the gateways until all requests have ended or ctx does.
func (p *loopbackRun) drive(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.startedAt = time.Now()
	watch := func(gateway *gatewayProcess) {
		p.background.Go(func() { watchGateway(ctx, gateway, cancel) })
	}
	for _, gateway := range p.gateways {
		watch(gateway)
	}
	p.background.Go(func() { p.runEvents(ctx, watch) })
	if p.options.Progress != nil {
		p.background.Go(func() { p.reportProgress(ctx) })
	}
	requests, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var inFlight sync.WaitGroup
	for i := range p.experiment.Load.Clients {
		inFlight.Go(func() { p.runClient(ctx, requests, i) })
	}
	p.runOpenLoop(ctx, requests, &inFlight)
	waitForRequests(ctx, &inFlight, stop)
	return context.Cause(ctx)
}

// watchGateway ends the run if a gateway exits without being killed by it.
func watchGateway(ctx context.Context, gateway *gatewayProcess, cancel context.CancelCauseFunc) {
	select {
	case <-gateway.Exited:
		if !gateway.Killed() {
			cancel(gateway.ExitError())
		}
	case <-ctx.Done():
	}
}

// waitForRequests blocks until all requests have ended. It stops them abortGrace after ctx has ended.
func waitForRequests(ctx context.Context, inFlight *sync.WaitGroup, stop context.CancelFunc) {
	ended := make(chan struct{})
	go func() {
		inFlight.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		select {
		case <-ended:
		case <-time.After(abortGrace):
		}
	}
	stop()
	<-ended
}
