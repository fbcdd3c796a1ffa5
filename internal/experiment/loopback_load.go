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
func (p *loopbackRun) runOpenLoop(ctx, requests context.Context, all *sync.WaitGroup) {
	arrivals := p.experiment.arrivals(p.seed)
	for {
		next, ok := arrivals.take()
		if !ok || sleep(ctx, p.timeAt(next.at)) != nil {
			return
		}
		if !p.beginOpenLoopRequest(next.at) {
			continue
		}
		all.Go(func() {
			p.send(requests, next)
			p.mu.Lock()
			p.inFlight--
			p.mu.Unlock()
		})
	}
}

// beginOpenLoopRequest counts a request that was due at a time. It reports false if the request is dropped because too many are in
// flight.
func (p *loopbackRun) beginOpenLoopRequest(due time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generator.Requests++
	record(p.generator.delays, p.elapsed()-due)
	if p.inFlight >= cmp.Or(p.options.maxInFlight, maxInFlight) {
		p.generator.Dropped++
		return false
	}
	p.inFlight++
	return true
}

// runClient is a closed-loop client: it sends a request, waits for its end and thinks, until the end of the experiment.
func (p *loopbackRun) runClient(ctx, requests context.Context, i int) {
	rng := rand.New(rand.NewPCG(p.seed, uint64(i)))
	for {
		think := time.Duration(rng.ExpFloat64() * float64(p.experiment.Load.ThinkTime))
		if sleep(ctx, time.Now().Add(think)) != nil || p.elapsed() >= p.experiment.Length.D() {
			return
		}
		p.send(requests, arrival{
			at:      p.elapsed(),
			class:   p.experiment.classAt(rng.Float64()),
			gateway: i % p.experiment.Gateways.Count,
			key:     strconv.Itoa(i),
		})
	}
}

// send sends a request, retries it as the experiment's clients do, and records its outcome. The latency counts from when the last
// attempt was due.
func (p *loopbackRun) send(ctx context.Context, x arrival) {
	c, due := &p.experiment.Classes[x.class], x.at
	for {
		out, after := p.attempt(ctx, x, c, due)
		if ctx.Err() != nil && out == lost {
			return // the run has ended
		}
		if p.experiment.Load.RetryMode == "at_once" || after <= 0 {
			after = p.experiment.Fleet.CrossZoneRTT.D()
		}
		now := p.elapsed()
		if out != rejected || p.experiment.Load.RetryMode == "gives_up" || now+after >= x.at+c.LatencyObjective.D() {
			took := now - due
			if out == inTime && took > c.LatencyObjective.D() {
				out = servedLate
			}
			p.mu.Lock()
			p.collector.recordOutcome(x.at, took, c.Name, out)
			p.mu.Unlock()
			return
		}
		due = now + after
		if sleep(ctx, p.timeAt(due)) != nil {
			return
		}
	}
}

// attempt sends a request once. For a rejected one it returns the Retry-After.
func (p *loopbackRun) attempt(ctx context.Context, x arrival, c *Class, due time.Duration) (out outcome, retryAfter time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, p.timeAt(due+c.Deadline.D()+responseGrace))
	defer cancel()
	id := strconv.FormatUint(p.requestIDs.Add(1), 10)
	i, gateway := p.gatewayFor(x.gateway)
	if gateway == nil {
		return failed, 0 // the connection would be refused
	}
	request, err := newRequest(ctx, gateway, x, c, id)
	if err != nil {
		return lost, 0
	}
	response, err := p.clients[i].Do(request)
	if err == nil {
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
	}
	switch {
	case err != nil && gateway.Killed(): // with the requests in flight
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

// newRequest returns the request of an arrival to a gateway.
func newRequest(ctx context.Context, gateway *gatewayProcess, x arrival, c *Class, id string) (*http.Request, error) {
	method := http.MethodGet
	if balancer.Effect(c.Effect) != balancer.Idempotent {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.address+"/"+strconv.Itoa(x.class), nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Request-Id", id)
	r.Header.Set(zoneHeader, gateway.zone)
	if x.key != "" {
		r.Header.Set("X-Tenant", x.key)
	}
	if balancer.Effect(c.Effect) == balancer.IdempotentWithKey {
		r.Header.Set("Idempotency-Key", id)
	}
	return r, nil
}

// gatewayFor returns the index and the gateway that a client of gateway i reaches: i or, while that is down, any other one. It returns
// nil if all are down.
func (p *loopbackRun) gatewayFor(i int) (int, *gatewayProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.gateways[i]; c != nil {
		return i, c
	}
	var up []int
	for j, c := range p.gateways {
		if c != nil {
			up = append(up, j)
		}
	}
	if len(up) == 0 {
		return 0, nil
	}
	i = up[rand.IntN(len(up))]
	return i, p.gateways[i]
}
