package experiment

import (
	"context"
	"net/http"
	"time"

	"robindrum/balancer"
)

// recordAttempt counts an attempt that a server has received.
func (p *loopbackRun) recordAttempt(at time.Duration, id string, crossZone, afterDrain, connected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collector.recordAttempt(at, id)
	n := p.collector.phaseAt(at)
	if connected {
		n.NewConnections++
	}
	n.Attempts++
	if crossZone {
		n.CrossZoneAttempts++
	}
	if afterDrain {
		p.collector.sentAfterDrain++
	}
}

// recordWarmingLoad records the load of a warming server over its capacity, and whether it collapsed.
func (p *loopbackRun) recordWarmingLoad(at time.Duration, load float64, collapsed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.collector.phaseAt(at)
	n.MaxWarmingLoad = max(n.MaxWarmingLoad, load)
	if collapsed {
		n.CollapsedServers++
	}
}

// recordServerRequests records how many requests a server has, running or waiting.
func (p *loopbackRun) recordServerRequests(at time.Duration, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := &p.collector.phaseAt(at).MaxServerRequests
	*q = max(*q, n)
}

// recordEffect counts the effect of a request. A repeated one with an idempotency key has none within its group.
func (p *loopbackRun) recordEffect(r *http.Request, c *Class, zone string) {
	if balancer.Effect(c.Effect) == balancer.Idempotent {
		return
	}
	keyed := balancer.Effect(c.Effect) == balancer.IdempotentWithKey
	if keyed && balancer.Group(c.Group) == balancer.GroupAll {
		zone = ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	g := p.effects[id]
	if g == nil {
		g = map[string]int{}
		p.effects[id] = g
	}
	if !keyed || g[zone] == 0 {
		g[zone]++
	}
}

// reportProgress calls the Progress option every second.
func (p *loopbackRun) reportProgress(ctx context.Context) {
	for at := time.Second; at < p.experiment.Length.D(); at += time.Second {
		if sleep(ctx, p.timeAt(at)) != nil {
			return
		}
		g := Progress{Seed: p.seed, Elapsed: at, Length: p.experiment.Length.D()}
		p.mu.Lock()
		for i := range p.collector.phases {
			o := &p.collector.phases[i].All
			g.Requests += o.Requests
			g.InTime += o.InTime
			g.Late += o.Late
			g.Rejected += o.Rejected
			g.Failed += o.Failed + o.Lost
		}
		p.mu.Unlock()
		p.options.Progress(g)
	}
}
