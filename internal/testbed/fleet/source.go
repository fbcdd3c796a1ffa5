package fleet

import (
	"slices"
	"time"

	"robindrum/balancer"
)

// Source describes the control plane. A gateway that starts calls it for the endpoint list and is not ready before it has the response.
// Ready gateways are sent each change. The zero value responds immediately to any number of calls.
type Source struct {
	Slots    int           // maximum number of calls served at once; 0: unlimited
	CallTime time.Duration // service time of a call
	MaxWait  time.Duration // maximum time that a call waits for a slot before it fails; 0: unlimited
}

// sourceCall is a gateway's call to the control plane.
type sourceCall struct {
	gateway  *gateway
	failures int // number of failed calls before this one
}

// Backoff after a failed call, as in internal/xds: it doubles with each failure, and half of it is random.
const (
	backoffBase     = 500 * time.Millisecond
	maxBackoff      = 30 * time.Second
	maxBackoffShift = 10
)

// callSource makes a gateway call the control plane for the endpoint list.
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

// timeOutCall fails a call that is still queued, and schedules the gateway's next call after a backoff.
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

// serveCall makes the control plane serve a call, and then the call that has been queued for the longest time.
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

// answerCall gives a gateway the endpoint list and makes it ready.
func (f *Fleet) answerCall(g *gateway) {
	g.update(f.endpoints())
	if !g.ready {
		g.ready = true
		f.result.MaxTimeToReady = max(f.result.MaxTimeToReady, f.now-g.startedAt)
	}
}

// PublishEndpoints sends the current endpoint list to all gateways that are ready when it arrives, after a delay. It does nothing while the
// control plane is down.
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

// SetControlPlaneDown stops the control plane, or starts it again and publishes the current endpoint list.
func (f *Fleet) SetControlPlaneDown(down bool) {
	f.controlPlaneDown = down
	if !down {
		f.PublishEndpoints(0)
	}
}

// endpoints returns the current endpoint list.
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
