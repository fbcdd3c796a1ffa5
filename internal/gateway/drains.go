package gateway

import (
	"net/http"
	"slices"
	"time"

	"robindrum/balancer"
	"robindrum/internal/config"
	"robindrum/internal/drain"
	"robindrum/internal/endpoints"
	"robindrum/internal/fleet"
	"robindrum/internal/proxy"
)

// drainFetchTimeout is how long a starting gateway waits for the drain requests. It then serves without them, so that a fleet
// can start while its quorum does not answer.
const drainFetchTimeout = 5 * time.Second

// awaitDrains fetches the drain requests before the gateway becomes ready, because a gateway that is restarted while it is
// drained must not serve.
func (g *Gateway) awaitDrains() {
	known := g.fleet.FetchDrains(g.ctx, drainFetchTimeout)
	if !known && g.ctx.Err() == nil {
		g.log.Warn("drain requests unavailable, serving without them", "timeout", drainFetchTimeout)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drainsKnown = true
}

// ApplyDrains applies the drain requests of the fleet and returns the resulting state of the gateway. If full is set, the
// report lists all endpoints, otherwise only those that are not healthy. It implements fleet.Agent.
func (g *Gateway) ApplyDrains(view drain.View, full bool) fleet.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDrains(view)
	return g.report(view, full)
}

func (g *Gateway) applyDrains(view drain.View) {
	own, targets := g.activeDrains(view)
	g.applyOwnDrain(own)
	previous := g.drainedTargets
	g.drainedTargets = targets
	if slices.Equal(previous, targets) {
		return
	}
	for name, c := range g.clusters {
		inCluster := func(target drain.Target) bool { return target.Cluster == name }
		if !slices.ContainsFunc(previous, inCluster) && !slices.ContainsFunc(targets, inCluster) {
			continue
		}
		if c.view.Known() {
			update, _ := c.view.LastUpdate()
			g.applyUpdate(c, withoutDrains(update))
		}
	}
}

// activeDrains returns the drain request that takes this gateway out of service, or nil if there is none, and the endpoints
// and zones of clusters that other drain requests take out of service.
func (g *Gateway) activeDrains(view drain.View) (own *drain.Request, targets []drain.Target) {
	for i := range view.Requests {
		request := &view.Requests[i]
		switch {
		case !request.State.Unavailable():
		case g.matchesSelf(request):
			if own == nil || own.Restart == "" {
				own = request
			}
		case !request.Target.OfGateways():
			targets = append(targets, request.Target)
		}
	}
	return own, targets
}

// applyOwnDrain takes the gateway out of service, or returns it to service if own is nil.
func (g *Gateway) applyOwnDrain(own *drain.Request) {
	if g.drainRequest == nil && own != nil {
		g.drainedAt = g.Now()
		g.graceExpired = false
		g.log.Info("draining", "id", own.ID, "owner", own.Owner, "reason", own.Reason, "token", own.Token)
	}
	if g.drainRequest != nil && own == nil {
		g.log.Info("back in service", "id", g.drainRequest.ID)
	}
	if own != nil && own.Restart != "" && (own.State == drain.Drained || own.State == drain.Overdue) {
		g.fleet.Restart(own.Restart)
	}
	g.drainRequest = own
	g.front.SetClosing(own != nil)
	g.updateRejectingRequests()
}

// updateRejectingRequests makes the gateway reject new requests once the notice period of its own drain request is over.
func (g *Gateway) updateRejectingRequests() {
	own := g.drainRequest
	g.rejectingRequests.Store(own != nil && g.Now()-g.drainedAt >= own.Notice)
}

// withoutDrains returns a copy of an endpoint list in which no endpoint is marked as drained.
func withoutDrains(update endpoints.Update) endpoints.Update {
	update.Endpoints = slices.Clone(update.Endpoints)
	for i := range update.Endpoints {
		update.Endpoints[i].DrainedByFleet = false
	}
	return update
}

// matchesSelf reports whether the target of a drain request includes this gateway.
func (g *Gateway) matchesSelf(request *drain.Request) bool {
	settings := g.fleet.Config()
	return request.Target.MatchesGateway(settings.Member, settings.Site, g.fleet.Zone())
}

// advanceOwnDrain checks whether the notice period or the grace period of the gateway's own drain request is over. At the
// end of the grace period it answers the requests in flight, unless the request waits for all of them.
func (g *Gateway) advanceOwnDrain() {
	g.mu.Lock()
	g.updateRejectingRequests()
	own := g.drainRequest
	expires := own != nil && !own.WaitForAll && !g.graceExpired && g.Now()-g.drainedAt >= own.Grace
	if !expires {
		g.mu.Unlock()
		return
	}
	g.graceExpired = true
	answers := finalAnswers(g.config)
	cores := g.cores()
	g.mu.Unlock()

	expired := 0
	for _, core := range cores {
		expired += core.ExpireAll(answers)
	}
	g.log.Info("grace period over, answered the requests in flight", "id", own.ID, "requests", expired)
}

// cores returns all cores that may have requests in flight.
func (g *Gateway) cores() []*proxy.Core {
	var cores []*proxy.Core
	for _, c := range g.clusters {
		cores = append(cores, c.current.core)
	}
	for instance := range g.retired {
		cores = append(cores, instance.core)
	}
	return cores
}

// finalAnswers returns a function that returns the answer to a request that is in flight at the end of the grace period.
// sent is set if the request was sent to an endpoint.
func finalAnswers(f *config.File) func(balancer.Request, bool) proxy.Answer {
	effects := map[string]string{}
	for _, class := range f.Classes {
		effects[class.Name] = effectName(class.Effect)
	}
	return func(request balancer.Request, sent bool) proxy.Answer {
		// effects has no entry for an unknown class or a class with withoutKeySuffix. The empty effect counts as not
		// idempotent.
		status, retryable := drain.FinalAnswer(effects[request.Class], sent)
		answer := proxy.Answer{Status: status, Header: http.Header{}, Body: []byte("this gateway is taken out of service\n")}
		if retryable {
			answer.RetryAfter = drainRetryAfter
		}
		return answer
	}
}

// effectName returns the name that an effect has in the configuration.
func effectName(effect config.Effect) string {
	switch balancer.Effect(effect) {
	case balancer.Idempotent:
		return "safe"
	case balancer.IdempotentWithKey:
		return "keyed"
	}
	return "unsafe"
}
