package gateway

import (
	"context"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/fleet"
	"robindrum/internal/leaderelection"
	"robindrum/internal/membership"
	"robindrum/internal/subscription"
)

const (
	// fleetLeaveTimeout bounds how long a process that ends tries to tell its fleet.
	fleetLeaveTimeout = 500 * time.Millisecond
	announceInterval  = 100 * time.Millisecond
)

// joinFleet opens the fleet's address, if the configuration has one, and registers what the gateway does for the fleet.
// Nothing is sent or received before the fleet's Start.
func (g *Gateway) joinFleet(f *config.File) error {
	if f.Fleet == nil {
		return nil
	}
	joined, err := fleet.New(f.Fleet, f.Zone, configVersion(f), membership.Joining, g.log)
	if err != nil {
		return err
	}
	g.fleet = joined
	joined.SetAgent(g)
	if f.Fleet.Subscription == nil {
		return nil
	}
	joined.Node().Handle(pushPath, maxPushBytes, g.handlePush)
	joined.AddTask(leaderelection.Task{
		Name:  "xds/" + f.Fleet.Site,
		Rules: joined.Rules(f.Fleet.Site),
		Run:   g.leadSubscription,
	})
	return nil
}

// handlePush receives a push of the leader of the site's subscription.
func (g *Gateway) handlePush(_ context.Context, body []byte) (any, error) {
	source := g.sharedSource.Load()
	if source == nil {
		return pushResponse{Verdict: subscription.Unchanged}, nil
	}
	return source.receive(body)
}

// leadSubscription leads the site's subscription until ctx ends or a reload replaces the source.
func (g *Gateway) leadSubscription(ctx context.Context, leadership *leaderelection.Leadership) {
	source := g.sharedSource.Load()
	if source == nil {
		<-ctx.Done()
		return
	}
	isCurrent := func() bool { return ctx.Err() == nil && g.sharedSource.Load() == source }
	source.lead(ctx, leadership, isCurrent)
}

// configVersion returns the version of what the gateways of a fleet have in common in their configurations; empty if it
// cannot be determined.
func configVersion(f *config.File) string {
	common := *f
	common.Fleet = nil
	common.Gateway = config.Gateway{}
	common.Zone = ""
	text, err := common.Print()
	if err != nil {
		return ""
	}
	return fleet.ConfigVersion(text)
}

// announceState tells the fleet, until the gateway stops, whether it serves, and lets its own drain request proceed.
func (g *Gateway) announceState() {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		g.mu.Lock()
		settings := g.config
		stopping := g.stopping
		draining := g.drainRequest != nil
		g.mu.Unlock()
		if stopping {
			return
		}
		g.advanceOwnDrain()
		if settings != g.announced {
			g.announced = settings
			g.announcedVersion = configVersion(settings)
		}
		g.fleet.Announce(g.memberState(draining), g.announcedVersion)
	}
}

func (g *Gateway) memberState(draining bool) membership.State {
	switch {
	case draining:
		return membership.Draining
	case g.Ready():
		return membership.Serving
	}
	return membership.Joining
}
