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
	// fleetLeaveTimeout is how long an exiting process tries to announce to the fleet that it leaves.
	fleetLeaveTimeout = 500 * time.Millisecond
	announceInterval  = 100 * time.Millisecond
)

// joinFleet creates g.fleet, if the configuration has a fleet, and registers the gateway's handlers and tasks with it. Nothing
// is sent or received before g.fleet.Start is called.
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

// handlePush handles a push from the leader of the site's subscription.
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

// configVersion returns the version of the settings that all gateways of a fleet have in common, or "" if it cannot be
// determined.
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

// announceState periodically announces the gateway's state and configuration version to the fleet and advances the gateway's
// own drain request, until the gateway stops.
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
