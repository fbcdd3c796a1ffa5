package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"robindrum/balancer"
)

// randomPlay plays random events against one Controller and checks its invariants.
type randomPlay struct {
	t          *rapid.T
	options    Options
	controller *Controller
	now        time.Duration
	lastSeq    uint64
	queued     map[uint64]queuedRequest
	started    []bool // requests in flight; true: of the priority HIGH
	limit      int    // after the last event
}

type queuedRequest struct {
	high bool
	size int64
}

// Under any order of arrivals, ends, withdrawals, times and evidence: each queued request ends once, counters return to 0, limits
// stay within their bounds, and the limit falls only with evidence.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newRandomPlay(t)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			p.now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * ms
			mayFall := p.randomEvent()
			p.takeNext()
			p.checkLimit(mayFall)
			p.checkPriorities()
			p.checkQueue()
		}
		p.endAll()
	})
}

func newRandomPlay(t *rapid.T) *randomPlay {
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
	return &randomPlay{t: t, options: o, controller: c, queued: map[uint64]queuedRequest{}, limit: c.maxInFlight()}
}

// randomEvent reports whether the limit may fall by the event.
func (p *randomPlay) randomEvent() (mayFall bool) {
	switch rapid.IntRange(0, 7).Draw(p.t, "event") {
	case 0, 1, 2:
		p.arriveAny()
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

func (p *randomPlay) arriveAny() {
	t := p.t
	p.lastSeq++
	r := queuedRequest{rapid.Bool().Draw(t, "high"), int64(rapid.IntRange(0, 60).Draw(t, "size"))}
	verdict, after := p.controller.Arrive(p.now, balancer.Arrival{
		Seq:          p.lastSeq,
		HighPriority: r.high,
		Size:         r.size,
		Class:        rapid.SampledFrom([]string{"map", "hold", "pay", "?"}).Draw(t, "class"),
		Tenant:       rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant"),
		TimeLeft:     time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * ms,
	})
	switch {
	case verdict == balancer.Admit:
		p.started = append(p.started, r.high)
	case verdict == balancer.Enqueue && after > 0:
		p.queued[p.lastSeq] = r
	case after <= 0:
		t.Fatalf("verdict %d after %v", verdict, after)
	}
}

// endOldest ends the request that started first, with any result.
func (p *randomPlay) endOldest() {
	high := p.started[0]
	p.started = p.started[1:]
	took := time.Duration(rapid.IntRange(0, 900).Draw(p.t, "took")) * ms
	p.controller.Done(p.now, high)
	result := balancer.Result(rapid.IntRange(0, int(balancer.NotSent)).Draw(p.t, "result"))
	p.controller.AttemptEnded(p.now, balancer.Sample{HighPriority: high, Class: "map", SentAt: p.now - took, Latency: took, Result: result})
}

// takeNext takes all requests that leave the queue now.
func (p *randomPlay) takeNext() {
	for {
		seq, verdict, after, ok := p.controller.Next(p.now)
		if !ok {
			return
		}
		r, queued := p.queued[seq]
		if !queued {
			p.t.Fatalf("%d is not queued", seq)
		}
		delete(p.queued, seq)
		if verdict == balancer.Admit {
			p.started = append(p.started, r.high)
		} else if after <= 0 || after > p.controller.options.MaxRetryAfter {
			p.t.Fatalf("Retry-After %v", after)
		}
	}
}

func (p *randomPlay) checkLimit(mayFall bool) {
	c := p.controller
	limit := c.maxInFlight()
	if limit < p.limit && !mayFall {
		p.t.Fatalf("the limit falls from %d to %d without evidence", p.limit, limit)
	}
	p.limit = limit
	if limit < 1 || c.inFlight != len(p.started) || c.queue.count != len(p.queued) {
		p.t.Fatalf("limit %d, %d of %d in flight, %d of %d queued", limit, c.inFlight, len(p.started), c.queue.count, len(p.queued))
	}
}

func (p *randomPlay) checkPriorities() {
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
		p.t.Fatalf("%d bytes queued, counted %d, limit %d", bytes, c.queue.bytes, p.options.PendingBytes)
	}
	for i, breakers := range []Breakers{p.options.Breakers, p.options.HighPriority} {
		got := c.priorities[i]
		if got.queued != queued[i] || got.queued > breakers.MaxPending || breakers.MaxRequests > 0 && got.inFlight > breakers.MaxRequests {
			p.t.Fatalf("priority %d: %d of %d queued, %d of %d in flight", i, got.queued, breakers.MaxPending, got.inFlight, breakers.MaxRequests)
		}
	}
}

// checkQueue checks that the counts of tenants, classes and the queue agree.
func (p *randomPlay) checkQueue() {
	c := p.controller
	total := 0
	for _, k := range c.classes {
		ofClass := 0
		for _, tenant := range k.turns {
			ofClass += tenant.count
			if k.tenants[tenant.tenant] != tenant || tenant.count == 0 {
				p.t.Fatalf("tenant %q: %d queued", tenant.tenant, tenant.count)
			}
		}
		total += ofClass
		if ofClass != k.queued || len(k.turns) != len(k.tenants) {
			p.t.Fatalf("%s: %d and %d queued", k.Name, ofClass, k.queued)
		}
	}
	if total != c.queue.count || len(c.queue.expiry) != total || len(c.queue.bySeq) != total {
		p.t.Fatalf("%d, %d, %d, %d queued", total, c.queue.count, len(c.queue.expiry), len(c.queue.bySeq))
	}
}

// endAll ends all requests, after which nothing may be left.
func (p *randomPlay) endAll() {
	c := p.controller
	for _, high := range p.started {
		c.Done(p.now, high)
	}
	p.started = nil
	p.now += time.Minute
	p.takeNext()
	for len(p.started) > 0 {
		high := p.started[0]
		p.started = p.started[1:]
		c.Done(p.now, high)
		p.takeNext()
	}
	if c.inFlight != 0 || c.priorities[0].inFlight != 0 || c.priorities[1].inFlight != 0 || c.queue.count != 0 || len(p.queued) != 0 {
		p.t.Fatalf("%d in flight, %d queued in the end", c.inFlight, c.queue.count)
	}
}
