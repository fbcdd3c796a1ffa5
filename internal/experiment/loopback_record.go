package experiment

import (
	"context"
	"net/http"
	"time"

	"robindrum/balancer"
)

// recordAttempt counts an attempt that a server has received.
func (r *loopbackRun) recordAttempt(at time.Duration, id string, crossZone, afterDrain, newConnection bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.recordAttempt(at, id)
	phase := r.collector.phaseAt(at)
	if newConnection {
		phase.NewConnections++
	}
	phase.Attempts++
	if crossZone {
		phase.CrossZoneAttempts++
	}
	if afterDrain {
		r.collector.sentAfterDrain++
	}
}

// recordWarmingLoad records the load of a warming server over its capacity, and whether it collapsed.
func (r *loopbackRun) recordWarmingLoad(at time.Duration, load float64, collapsed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	phase := r.collector.phaseAt(at)
	phase.MaxWarmingLoad = max(phase.MaxWarmingLoad, load)
	if collapsed {
		phase.CollapsedServers++
	}
}

// recordServerRequests records how many requests a server has, running or waiting.
func (r *loopbackRun) recordServerRequests(at time.Duration, requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maximum := &r.collector.phaseAt(at).MaxServerRequests
	*maximum = max(*maximum, requests)
}

// recordEffect counts the effect of a request. A repeated request with an idempotency key has no further effect within the
// group of its class (Class.Group).
func (r *loopbackRun) recordEffect(request *http.Request, class *Class, zone string) {
	if balancer.Effect(class.Effect) == balancer.Idempotent {
		return
	}
	keyed := balancer.Effect(class.Effect) == balancer.IdempotentWithKey
	if keyed && balancer.Group(class.Group) == balancer.GroupAll {
		zone = ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := request.Header.Get("X-Request-Id")
	byZone := r.effects[id]
	if byZone == nil {
		byZone = map[string]int{}
		r.effects[id] = byZone
	}
	if !keyed || byZone[zone] == 0 {
		byZone[zone]++
	}
}

// reportProgress calls the Progress option every second.
func (r *loopbackRun) reportProgress(ctx context.Context) {
	for at := time.Second; at < r.experiment.Length.D(); at += time.Second {
		if sleep(ctx, r.timeAt(at)) != nil {
			return
		}
		progress := Progress{Seed: r.seed, Elapsed: at, Length: r.experiment.Length.D()}
		r.mu.Lock()
		for i := range r.collector.phases {
			outcomes := &r.collector.phases[i].All
			progress.Requests += outcomes.Requests
			progress.InTime += outcomes.InTime
			progress.Late += outcomes.Late
			progress.Rejected += outcomes.Rejected
			progress.Failed += outcomes.Failed + outcomes.Lost
		}
		r.mu.Unlock()
		r.options.Progress(progress)
	}
}
