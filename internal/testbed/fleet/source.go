package fleet

import (
	"slices"
	"time"

	"robindrum/balancer"
)

// Source is the control plane. A gateway that starts has to call it and is not ready before it is answered; the others are sent each
// change. The zero value answers any number of calls at once.
type Source struct {
	Slots    int           // calls that it works on at once; 0: unlimited
	CallTime time.Duration // of a call
	MaxWait  time.Duration // that a call waits for a slot before it fails; 0: unlimited
}

// sourceCall is a gateway's call of the source.
type sourceCall struct {
	gateway  *gateway
	failures int // of the calls before it
}

// Backoff between failed calls, as in internal/xds: doubled each time, half of it at random.
const (
	backoffBase     = 500 * time.Millisecond
	maxBackoff      = 30 * time.Second
	maxBackoffShift = 10
)

// callSource has a gateway call the source for the endpoint list.
func (f *Fleet) callSource(g *gateway, failures int) {
	if g.killed {
		return
	}
	source := &f.options.Source
	call := &sourceCall{gateway: g, failures: failures}
	if source.Slots == 0 || f.sourceBusy < source.Slots {
		f.serveCall(call)
		return
	}
	f.sourceQueue = append(f.sourceQueue, call)
	if source.MaxWait > 0 {
		f.after(source.MaxWait, func() { f.timeOutCall(call) })
	}
}

// timeOutCall fails a call that still waits, and has its gateway retry.
func (f *Fleet) timeOutCall(call *sourceCall) {
	i := slices.Index(f.sourceQueue, call)
	if i < 0 {
		return
	}
	f.sourceQueue = slices.Delete(f.sourceQueue, i, i+1)
	f.result.SourceFailures++
	backoff := min(backoffBase<<min(call.failures, maxBackoffShift), maxBackoff)
	jittered := backoff/2 + time.Duration(f.random.Float64()*float64(backoff/2))
	f.after(jittered, func() { f.callSource(call.gateway, call.failures+1) })
}

// serveCall has the source answer a call, and then the one that has waited longest.
func (f *Fleet) serveCall(call *sourceCall) {
	f.sourceBusy++
	f.after(f.options.Source.CallTime, func() {
		f.sourceBusy--
		if !call.gateway.killed && !f.controlPlaneDown {
			f.answerCall(call.gateway)
		}
		if len(f.sourceQueue) > 0 {
			next := f.sourceQueue[0]
			f.sourceQueue = f.sourceQueue[1:]
			f.serveCall(next)
		}
	})
}

func (f *Fleet) answerCall(g *gateway) {
	g.update(f.endpoints())
	if !g.ready {
		g.ready = true
		f.result.MaxTimeToReady = max(f.result.MaxTimeToReady, f.now-g.startedAt)
	}
}

// PublishEndpoints sends the present endpoint list to all gateways that are ready, which receive it after a delay. It does nothing
// while the control plane is down.
func (f *Fleet) PublishEndpoints(delay time.Duration) {
	if f.controlPlaneDown {
		return
	}
	endpoints := f.endpoints()
	f.after(delay, func() {
		for _, s := range f.serverOrder {
			if s.draining && s.drainPublishedAt == 0 {
				s.drainPublishedAt = f.now
			}
		}
		for _, g := range f.gateways {
			if g.ready {
				g.update(endpoints)
			}
		}
	})
}

// SetControlPlaneDown stops the control plane, or has it go on with the present endpoint list.
func (f *Fleet) SetControlPlaneDown(down bool) {
	f.controlPlaneDown = down
	if !down {
		f.PublishEndpoints(0)
	}
}

// endpoints returns the present endpoint list.
func (f *Fleet) endpoints() []balancer.Server {
	endpoints := make([]balancer.Server, 0, len(f.serverOrder))
	for _, s := range f.serverOrder {
		state := balancer.Running
		if s.draining {
			state = balancer.Draining
		}
		endpoints = append(endpoints, balancer.Server{ID: s.id, Zone: s.zone, Kind: "k", Weight: 1, Since: s.startedAt, State: state})
	}
	return endpoints
}

// update replaces the gateway's endpoint list.
func (g *gateway) update(endpoints []balancer.Server) {
	g.balancer.UpdateEndpoints(g.fleet.now, balancer.EndpointUpdate{Kind: balancer.UpdateSnapshot, Servers: endpoints})
}
