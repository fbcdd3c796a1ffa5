package experiment

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"robindrum/balancer"
)

// responseGrace is how long after the deadline of its class a client waits for a response.
const responseGrace = 2 * time.Second

// runOpenLoop sends the requests of the open loop when they are due, without waiting for responses.
func (r *loopbackRun) runOpenLoop(ctx, requestCtx context.Context, pending *sync.WaitGroup) {
	arrivals := r.experiment.arrivals(r.seed)
	for {
		next, ok := arrivals.take()
		if !ok || sleep(ctx, r.timeAt(next.at)) != nil {
			return
		}
		if !r.beginOpenLoopRequest(next.at) {
			continue
		}
		pending.Go(func() {
			r.send(requestCtx, next)
			r.mu.Lock()
			r.inFlight--
			r.mu.Unlock()
		})
	}
}

// beginOpenLoopRequest counts a request that was due at the given time. It returns false if the request is dropped because too many are
// in flight.
func (r *loopbackRun) beginOpenLoopRequest(due time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generator.Requests++
	recordDuration(r.generator.delays, r.elapsed()-due)
	if r.inFlight >= cmp.Or(r.options.maxInFlight, maxInFlight) {
		r.generator.Dropped++
		return false
	}
	r.inFlight++
	return true
}

// runClient runs a closed-loop client: it pauses for the think time, sends a request and waits for the response, until the experiment
// ends.
func (r *loopbackRun) runClient(ctx, requestCtx context.Context, i int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(i)))
	for {
		think := time.Duration(rng.ExpFloat64() * float64(r.experiment.Load.ThinkTime))
		if sleep(ctx, time.Now().Add(think)) != nil || r.elapsed() >= r.experiment.Length.D() {
			return
		}
		r.send(requestCtx, arrival{
			at:      r.elapsed(),
			class:   r.experiment.classAt(rng.Float64()),
			gateway: i % r.experiment.Gateways.Count,
			key:     strconv.Itoa(i),
		})
	}
}

// send sends a request, retries it according to the experiment's RetryMode, and records its outcome. The latency is measured from when
// the last attempt was due.
func (r *loopbackRun) send(ctx context.Context, scheduled arrival) {
	c, due := &r.experiment.Classes[scheduled.class], scheduled.at
	for {
		out, retryAfter := r.attempt(ctx, scheduled, c, due)
		if ctx.Err() != nil && out == lost {
			return // the run has ended
		}
		if r.experiment.Load.RetryMode == "at_once" || retryAfter <= 0 {
			retryAfter = r.experiment.Fleet.CrossZoneRTT.D()
		}
		now := r.elapsed()
		if out != rejected || r.experiment.Load.RetryMode == "gives_up" || now+retryAfter >= scheduled.at+c.LatencyObjective.D() {
			took := now - due
			if out == inTime && took > c.LatencyObjective.D() {
				out = servedLate
			}
			r.mu.Lock()
			r.collector.recordOutcome(scheduled.at, took, c.Name, out)
			r.mu.Unlock()
			return
		}
		due = now + retryAfter
		if sleep(ctx, r.timeAt(due)) != nil {
			return
		}
	}
}

// attempt sends a request once. If the request is rejected, it also returns the Retry-After.
func (r *loopbackRun) attempt(ctx context.Context, scheduled arrival, c *Class, due time.Duration) (out outcome, retryAfter time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, r.timeAt(due+c.Deadline.D()+responseGrace))
	defer cancel()
	id := strconv.FormatUint(r.requestIDs.Add(1), 10)
	i, gateway := r.gatewayFor(scheduled.gateway)
	if gateway == nil {
		return failed, 0 // the connection would be refused
	}
	request, err := newRequest(ctx, gateway, scheduled, c, id)
	if err != nil {
		return lost, 0
	}
	response, err := r.clients[i].Do(request)
	if err == nil {
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
	}
	switch {
	case err != nil && gateway.Killed(): // together with its requests in flight
		return failed, 0
	case err != nil:
		return lost, 0
	}
	switch response.StatusCode {
	case http.StatusOK:
		return inTime, 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // 0 where there is none
		return rejected, time.Duration(seconds) * time.Second
	}
	return failed, 0
}

// newRequest returns the HTTP request to a gateway for an arrival.
func newRequest(ctx context.Context, gateway *gatewayProcess, scheduled arrival, c *Class, id string) (*http.Request, error) {
	method := http.MethodGet
	if balancer.Effect(c.Effect) != balancer.Idempotent {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.address+"/"+strconv.Itoa(scheduled.class), nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set(zoneHeader, gateway.zone)
	if scheduled.key != "" {
		request.Header.Set("X-Tenant", scheduled.key)
	}
	if balancer.Effect(c.Effect) == balancer.IdempotentWithKey {
		request.Header.Set("Idempotency-Key", id)
	}
	return request, nil
}

// gatewayFor returns the gateway that a client of gateway i reaches and its index: gateway i or, while that is down, a random other one.
// The gateway is nil if all are down.
func (r *loopbackRun) gatewayFor(i int) (int, *gatewayProcess) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if gateway := r.gateways[i]; gateway != nil {
		return i, gateway
	}
	var running []int
	for j, gateway := range r.gateways {
		if gateway != nil {
			running = append(running, j)
		}
	}
	if len(running) == 0 {
		return 0, nil
	}
	i = running[rand.IntN(len(running))]
	return i, r.gateways[i]
}
