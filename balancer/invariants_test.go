package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// playRandomEvents plays random events against one Balancer and returns the first violation of its invariants, if any.
func playRandomEvents(t *testing.T, seed uint64, steps int, change func(*Balancer)) (broken string) {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := settings()
	set.ParallelAttempts, set.Polled, set.MaxPollInterval = seed%2 == 0, seed%3 == 0, 10*time.Second
	list := twoZones(12)
	b, h := start(t, set, list)
	if change != nil {
		change(b)
	}
	type sentAttempt struct {
		server      string
		sent        time.Duration
		out, proved bool
		expire      time.Duration
	}
	type sentRequest struct {
		class      Class
		deadline   time.Duration
		attempts   []sentAttempt
		final      bool
		clientGone bool
	}
	requests, ids, drainedAt := map[string]*sentRequest{}, []string{}, map[string]time.Duration{}
	zone, cell := map[string]string{}, map[string]int{}
	for _, s := range list {
		zone[s.ID], cell[s.ID] = s.Zone, s.Cell
	}
	warming, warmingSends, sends := map[string]bool{}, 0, 0
	violation := func(f string, a ...any) {
		if broken == "" {
			broken = fmt.Sprintf(f, a...)
		}
	}
	now := time.Duration(0)
	drain := func() {
		for _, a := range h.take() {
			q := requests[a.id]
			switch a.what {
			case "send":
				if q.final {
					violation("%s sent after its final answer", a.id)
				}
				if at, ok := drainedAt[a.server]; ok && now > at+set.DrainGrace {
					violation("%s sent to draining %s", a.id, a.server)
				}
				sends++
				if warming[a.server] {
					warmingSends++
				}
				var first *sentAttempt
				for i := range q.attempts {
					p := &q.attempts[i]
					if p.out && !set.ParallelAttempts {
						violation("%s has two attempts out", a.id)
					}
					if !p.proved && first == nil {
						first = p
					}
				}
				if first != nil && (q.class.Effect == NonIdempotent || q.class.Effect == IdempotentWithKey &&
					(now-first.sent >= q.class.Window || zone[first.server] != zone[a.server] || cell[first.server] != cell[a.server])) {
					violation("%s (%s) sent again", a.id, q.class.Name)
				}
				q.attempts = append(q.attempts, sentAttempt{server: a.server, sent: now, out: true, expire: a.at})
			case "reject":
				for _, p := range q.attempts {
					if !p.proved && q.class.Effect != Idempotent {
						violation("%s (%s) rejected though it may have been executed", a.id, q.class.Name)
					}
				}
				q.final = true
			case "fail":
				q.final = true
			case "cancel":
				if !q.attempts[a.n].out {
					violation("%s: attempt %d cancelled after its end", a.id, a.n)
				}
			}
		}
	}
	results := []Result{Served, Served, Served, Served, ServerError, Rejected, NotConnected, ConnectionLost, Cancelled}
	for n := range steps {
		now += time.Duration(rng.IntN(10)) * ms
		h.now = now
		for token := uint64(0); token <= uint64(n)+1; token++ { // in order: no map order in a test either
			if at, ok := h.timers[token]; ok && at <= now {
				delete(h.timers, token)
				b.Timer(now, token)
				drain()
			}
		}
		for _, id := range ids { // attempts that time out
			q := requests[id]
			for i := range q.attempts {
				p := &q.attempts[i]
				if p.out && (now >= q.deadline || p.expire > 0 && now >= p.expire) {
					p.out = false
					b.Outcome(now, Outcome{ID: id, Attempt: i, Result: TimedOut, Latency: now - p.sent, Final: q.final || q.clientGone})
					drain()
				}
			}
			if !q.final && !q.clientGone && now > q.deadline+300*ms {
				violation("%s got no final answer", id)
			}
		}
		switch k := rng.IntN(20); {
		case k < 8:
			id := fmt.Sprint("r", n)
			c := set.Classes[rng.IntN(3)]
			left := c.Deadline * time.Duration(3+rng.IntN(8)) / 10
			requests[id] = &sentRequest{class: c, deadline: now + left}
			ids = append(ids, id)
			b.Request(now, Request{ID: id, Class: c.Name, TimeLeft: left})
		case k < 16 && len(ids) > 0:
			id := ids[len(ids)-1-rng.IntN(min(len(ids), 40))]
			q := requests[id]
			for i := range q.attempts {
				if p := &q.attempts[i]; p.out {
					res := results[rng.IntN(len(results))]
					p.out, p.proved = false, res == Rejected || res == NotConnected
					q.final = q.final || res == Served
					b.Outcome(now, Outcome{ID: id, Attempt: i, Result: res, Latency: now - p.sent, Final: q.final || q.clientGone})
					break
				}
			}
		case k == 16 && len(ids) > 0:
			id := ids[len(ids)-1-rng.IntN(min(len(ids), 40))]
			if q := requests[id]; !q.final && !q.clientGone {
				q.clientGone, q.final = true, true
			}
			b.ClientGone(now, id)
		case k == 17:
			s := list[rng.IntN(len(list))]
			s.State = State(rng.IntN(2))
			if _, ok := drainedAt[s.ID]; !ok {
				drainedAt[s.ID] = now
			}
			if s.State == Running {
				delete(drainedAt, s.ID)
				if warming[s.ID] = rng.IntN(2) == 0; warming[s.ID] {
					s.Since = now
				}
			}
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{s}})
		case k == 18 && rng.IntN(5) == 0:
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFailed})
		}
		drain()
	}
	if broken == "" && sends > 0 && float64(warmingSends) > 0.6*float64(sends) {
		violation("%d of %d sends went to servers that are warming up", warmingSends, sends)
	}
	// Let everything end: each counter must come back to zero.
	now += time.Minute
	for _, id := range ids {
		q := requests[id]
		for i := range q.attempts {
			if q.attempts[i].out {
				q.attempts[i].out = false
				b.Outcome(now, Outcome{ID: id, Attempt: i, Result: TimedOut, Latency: time.Second, Final: q.final})
				drain()
			}
		}
	}
	for _, s := range b.endpoints.ordered {
		if s.inFlight != 0 {
			violation("%s is left with %d in flight", s.ID, s.inFlight)
		}
	}
	return broken
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		if broken := playRandomEvents(t, seed, 1500, nil); broken != "" {
			t.Errorf("seed %d: %s", seed, broken)
		}
	}
}

// The checker must detect a Balancer that takes a class that is not idempotent for one that is.
func TestCheckerDetectsUnsafeRetries(t *testing.T) {
	for seed := range uint64(10) {
		if playRandomEvents(t, seed, 1500, func(b *Balancer) { b.classes["once"].Effect = Idempotent }) != "" {
			return
		}
	}
	t.Error("an unsafe class that is treated as safe went unnoticed")
}
