package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"robindrum/balancer"
)

// eventPlayer plays random events against one Controller and checks its invariants.
type eventPlayer struct {
	t          *rapid.T
	options    Options
	controller *Controller
	now        time.Duration
	lastSeq    uint64
	queued     map[uint64]queuedRequest
	started    []bool // requests in flight, oldest first; true: priority HIGH
	limit      int    // limit after the last event
}

type queuedRequest struct {
	high bool
	size int64
}

// For any sequence of arrivals, ends, withdrawals, times and evidence, each queued request leaves the queue exactly once, counters
// return to 0, limits stay within their bounds, and the limit decreases only after an ended attempt or a change of endpoints.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newEventPlayer(t)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			p.now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * ms
			mayDecrease := p.randomEvent()
			p.takeNext()
			p.checkLimit(mayDecrease)
			p.checkPriorities()
			p.checkQueue()
		}
		p.endAll()
	})
}

func newEventPlayer(t *rapid.T) *eventPlayer {
	o := options()
	o.Mode = Mode(rapid.IntRange(0, 2).Draw(t, "mode"))
	o.PerEndpoint, o.Limit = rapid.IntRange(1, 20).Draw(t, "per endpoint"), rapid.IntRange(1, 20).Draw(t, "limit")
	o.MaxPending, o.MaxRequests = rapid.IntRange(1, 20).Draw(t, "pending"), rapid.IntRange(0, 30).Draw(t, "most")
	o.HighPriority.MaxPending, o.HighPriority.MaxRequests = rapid.IntRange(1, 20).Draw(t, "high pending"), rapid.IntRange(0, 30).Draw(t, "high most")
	o.PendingBytes = int64(rapid.IntRange(0, 100).Draw(t, "bytes"))
	c, err := New(o, rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	return &eventPlayer{t: t, options: o, controller: c, queued: map[uint64]queuedRequest{}, limit: c.maxInFlight()}
}

// randomEvent plays one random event and reports whether it may decrease the limit.
func (p *eventPlayer) randomEvent() (mayDecrease bool) {
	switch rapid.IntRange(0, 7).Draw(p.t, "event") {
	case 0, 1, 2:
		p.arriveRandom()
		return false
	case 3:
		for seq := range p.queued {
			p.controller.Withdraw(seq)
			delete(p.queued, seq)
			break
		}
		return false
	case 4:
		p.controller.SetEndpoints(p.now, rapid.IntRange(0, 5).Draw(p.t, "endpoints"))
		return true
	default:
		if len(p.started) == 0 {
			return false
		}
		p.endOldest()
		return true
	}
}

// arriveRandom passes a random request to Arrive.
func (p *eventPlayer) arriveRandom() {
	t := p.t
	p.lastSeq++
	r := queuedRequest{rapid.Bool().Draw(t, "high"), int64(rapid.IntRange(0, 60).Draw(t, "size"))}
	decision, after := p.controller.Arrive(p.now, balancer.Arrival{
		Seq:          p.lastSeq,
		HighPriority: r.high,
		Size:         r.size,
		Class:        rapid.SampledFrom([]string{"map", "hold", "pay", "?"}).Draw(t, "class"),
		Tenant:       rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant"),
		TimeLeft:     time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * ms,
	})
	switch {
	case decision == balancer.Admit:
		p.started = append(p.started, r.high)
	case decision == balancer.Enqueue && after > 0:
		p.queued[p.lastSeq] = r
	case after <= 0:
		t.Fatalf("Arrive: decision %d with duration %v, want a positive duration", decision, after)
	}
}

// endOldest ends the request that started first, with any result.
func (p *eventPlayer) endOldest() {
	high := p.started[0]
	p.started = p.started[1:]
	took := time.Duration(rapid.IntRange(0, 900).Draw(p.t, "took")) * ms
	p.controller.Release(p.now, high)
	result := balancer.Result(rapid.IntRange(0, int(balancer.NotSent)).Draw(p.t, "result"))
	p.controller.AttemptEnded(p.now, balancer.AttemptSample{HighPriority: high, Class: "map", SentAt: p.now - took, Latency: took, Result: result})
}

// takeNext calls Next until it returns no request.
func (p *eventPlayer) takeNext() {
	for {
		seq, decision, after, ok := p.controller.Next(p.now)
		if !ok {
			return
		}
		r, queued := p.queued[seq]
		if !queued {
			p.t.Fatalf("Next returned request %d, which is not queued", seq)
		}
		delete(p.queued, seq)
		if decision == balancer.Admit {
			p.started = append(p.started, r.high)
		} else if after <= 0 || after > p.controller.options.MaxRetryAfter {
			p.t.Fatalf("Next: got Retry-After %v, want above 0 and at most %v", after, p.controller.options.MaxRetryAfter)
		}
	}
}

func (p *eventPlayer) checkLimit(mayDecrease bool) {
	c := p.controller
	limit := c.maxInFlight()
	if limit < p.limit && !mayDecrease {
		p.t.Fatalf("limit decreased from %d to %d without evidence", p.limit, limit)
	}
	p.limit = limit
	if limit < 1 || c.inFlight != len(p.started) || c.queue.count != len(p.queued) {
		p.t.Fatalf("limit %d, want at least 1; in flight: got %d, want %d; queued: got %d, want %d",
			limit, c.inFlight, len(p.started), c.queue.count, len(p.queued))
	}
}

func (p *eventPlayer) checkPriorities() {
	c := p.controller
	bytes, queued := int64(0), [2]int{}
	for _, r := range p.queued {
		bytes += r.size
		if r.high {
			queued[1]++
		} else {
			queued[0]++
		}
	}
	if bytes != c.queue.bytes || p.options.PendingBytes > 0 && bytes > p.options.PendingBytes {
		p.t.Fatalf("queued bytes: got %d, want %d, limit %d", c.queue.bytes, bytes, p.options.PendingBytes)
	}
	for i, breakers := range []Breakers{p.options.Breakers, p.options.HighPriority} {
		got := c.priorities[i]
		if got.queued != queued[i] || got.queued > breakers.MaxPending || breakers.MaxRequests > 0 && got.inFlight > breakers.MaxRequests {
			p.t.Fatalf("priority %d: queued: got %d, want %d and at most %d; in flight: got %d, want at most %d (0: unlimited)",
				i, got.queued, queued[i], breakers.MaxPending, got.inFlight, breakers.MaxRequests)
		}
	}
}

// checkQueue checks that the counts of tenants, classes and the whole queue agree.
func (p *eventPlayer) checkQueue() {
	c := p.controller
	total := 0
	for _, k := range c.classes {
		classTotal := 0
		for _, tenant := range k.tenantOrder {
			classTotal += tenant.count
			if k.tenants[tenant.tenant] != tenant || tenant.count == 0 {
				p.t.Fatalf("tenant %q is in the round-robin order with %d queued requests but not by name, or has none queued", tenant.tenant, tenant.count)
			}
		}
		total += classTotal
		if classTotal != k.queued || len(k.tenantOrder) != len(k.tenants) {
			p.t.Fatalf("class %s: %d requests queued by tenant, %d counted; %d tenants in order, %d by name",
				k.Name, classTotal, k.queued, len(k.tenantOrder), len(k.tenants))
		}
	}
	if total != c.queue.count || len(c.queue.expiry) != total || len(c.queue.bySeq) != total {
		p.t.Fatalf("queued requests differ: %d by class, %d counted, %d in the expiry heap, %d by sequence number",
			total, c.queue.count, len(c.queue.expiry), len(c.queue.bySeq))
	}
}

// endAll ends all requests and checks that all counters are 0.
func (p *eventPlayer) endAll() {
	c := p.controller
	for _, high := range p.started {
		c.Release(p.now, high)
	}
	p.started = nil
	p.now += time.Minute
	p.takeNext()
	for len(p.started) > 0 {
		high := p.started[0]
		p.started = p.started[1:]
		c.Release(p.now, high)
		p.takeNext()
	}
	if c.inFlight != 0 || c.priorities[0].inFlight != 0 || c.priorities[1].inFlight != 0 || c.queue.count != 0 || len(p.queued) != 0 {
		p.t.Fatalf("after all requests ended: %d in flight (DEFAULT %d, HIGH %d), %d queued, %d never returned by Next; want 0",
			c.inFlight, c.priorities[0].inFlight, c.priorities[1].inFlight, c.queue.count, len(p.queued))
	}
}
