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

// run executes the experiment and stops everything that it has started.
func (r *loopbackRun) run(ctx context.Context) error {
	defer r.countDuplicateEffects()
	defer r.stop()
	for _, class := range r.experiment.Classes {
		r.bodies[class.Name] = make([]byte, class.ResponseSize)
	}
	r.startedAt = time.Now()
	if err := r.startServers(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "robindrum-lab-")
	if err != nil {
		return fmt.Errorf("creating a directory for the gateways: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r.configDir = dir
	if err := r.startGateways(ctx); err != nil {
		return err
	}
	source := r.experiment.Gateways.Source
	r.controlPlane.SetCapacity(source.Concurrency, source.ResponseTime.D(), source.QueueTimeout.D())
	if r.options.started != nil {
		r.options.started(r)
	}
	return r.drive(ctx)
}

// startServers starts the control plane and the servers, and publishes their endpoints.
func (r *loopbackRun) startServers() error {
	controlPlaneServer, err := controlplane.Start("")
	if err != nil {
		return err
	}
	r.controlPlane = controlPlaneServer
	serversInZone := map[string]int{}
	for i := range r.experiment.Fleet.Groups {
		group := &r.experiment.Fleet.Groups[i]
		for range group.Servers {
			id := fmt.Sprintf("%s-%d", group.Zone, serversInZone[group.Zone])
			server, err := newLoopbackServer(r, id, group, r.seed*1000+uint64(len(r.servers)))
			if err != nil {
				return err
			}
			serversInZone[group.Zone]++
			r.servers = append(r.servers, server)
		}
	}
	return r.publishEndpoints(nil)
}

// startGateways starts the gateways one after the other, each when the previous one is ready.
func (r *loopbackRun) startGateways(ctx context.Context) error {
	for i := range r.experiment.Gateways.Count {
		gateway, err := r.experiment.startGateway(ctx, r.options.Binary, r.configDir, i, r.controlPlane.Addr)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, gateway)
		r.clients = append(r.clients, &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4096,
			DisableCompression:  true,
			DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		}})
	}
	return nil
}

// countDuplicateEffects counts the requests with more than one effect.
func (r *loopbackRun) countDuplicateEffects() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, byZone := range r.effects {
		effects := 0
		for _, n := range byZone {
			effects += n
		}
		if effects > 1 {
			r.collector.duplicateEffects++
		}
	}
}

// stop waits for the goroutines of the run and stops the gateways, the servers and the control plane.
func (r *loopbackRun) stop() {
	r.background.Wait()
	for _, client := range r.clients {
		client.CloseIdleConnections()
	}
	var stopping sync.WaitGroup
	for _, gateway := range r.gateways {
		if gateway != nil {
			stopping.Go(gateway.stop)
		}
	}
	stopping.Wait()
	for _, server := range r.servers {
		if server.served != nil {
			server.fail("")
		}
	}
	if r.controlPlane != nil {
		r.controlPlane.Stop()
	}
}

// abortGrace is how long requests in flight may take after the run is cancelled. Requests without a response by then are not counted.
const abortGrace = time.Second

// drive sends the load, injects the events and watches the gateways until all requests have ended or ctx is cancelled.
func (r *loopbackRun) drive(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.startedAt = time.Now()
	watch := func(gateway *gatewayProcess) {
		r.background.Go(func() { watchGateway(ctx, gateway, cancel) })
	}
	for _, gateway := range r.gateways {
		watch(gateway)
	}
	r.background.Go(func() { r.runEvents(ctx, watch) })
	if r.options.Progress != nil {
		r.background.Go(func() { r.reportProgress(ctx) })
	}
	requestCtx, stopRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRequests()
	var inFlight sync.WaitGroup
	for i := range r.experiment.Load.Clients {
		inFlight.Go(func() { r.runClient(ctx, requestCtx, i) })
	}
	r.runOpenLoop(ctx, requestCtx, &inFlight)
	waitForRequests(ctx, &inFlight, stopRequests)
	return context.Cause(ctx)
}

// watchGateway cancels the run if a gateway exits without having been killed by an event.
func watchGateway(ctx context.Context, gateway *gatewayProcess, cancel context.CancelCauseFunc) {
	select {
	case <-gateway.Exited:
		if !gateway.Killed() {
			cancel(gateway.ExitError())
		}
	case <-ctx.Done():
	}
}

// waitForRequests blocks until all requests have ended. It cancels them abortGrace after ctx is cancelled.
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
