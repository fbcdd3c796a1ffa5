package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// randomRun feeds random events to one Balancer and checks its invariants.
type randomRun struct {
	rng      *rand.Rand
	settings Settings
	list     []Server
	balancer *Balancer
	host     *recorder
	now      time.Duration

	requests  map[string]*sentRequest
	ids       []string // IDs of the requests in the order of their arrival
	drainedAt map[string]time.Duration
	warming   map[string]bool // servers that have restarted during the run

	sends        int
	warmingSends int
	violation    string // the first violation; empty: none
}

// sentRequest is the state of a request as the invariants require it.
type sentRequest struct {
	class      Class
	deadline   time.Duration
	attempts   []sentAttempt
	final      bool
	clientGone bool
}

type sentAttempt struct {
	server      Server
	sent        time.Duration
	inFlight    bool
	notExecuted bool
	expire      time.Duration
}

// runRandomEvents feeds random events to a Balancer, which change may modify first, and returns the first violation of the invariants,
// or an empty string.
func runRandomEvents(t *testing.T, seed uint64, steps int, change func(*Balancer)) (violation string) {
	t.Helper()
	cfg := settings()
	cfg.ParallelAttempts, cfg.Polled, cfg.MaxPollInterval = seed%2 == 0, seed%3 == 0, 10*time.Second
	p := &randomRun{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		settings:  cfg,
		list:      twoZones(12),
		requests:  map[string]*sentRequest{},
		drainedAt: map[string]time.Duration{},
		warming:   map[string]bool{},
	}
	p.balancer, p.host = newTestBalancer(t, cfg, p.list)
	if change != nil {
		change(p.balancer)
	}
	for n := range steps {
		p.now += time.Duration(p.rng.IntN(10)) * ms
		p.host.now = p.now
		p.fireTimers(uint64(n) + 1)
		p.expireAttempts()
		p.randomEvent(n)
		p.checkActions()
	}
	if p.violation == "" && p.sends > 0 && float64(p.warmingSends) > 0.6*float64(p.sends) {
		p.violated("%d of %d sends went to servers that are warming up, want at most 0.6 of them", p.warmingSends, p.sends)
	}
	p.endAll()
	return p.violation
}

// violated records a violation, unless one is already recorded.
func (p *randomRun) violated(format string, args ...any) {
	if p.violation == "" {
		p.violation = fmt.Sprintf(format, args...)
	}
}

// fireTimers fires the timers that are due, in the order of their tokens, because the iteration order of a map is not reproducible.
func (p *randomRun) fireTimers(lastToken uint64) {
	for token := uint64(0); token <= lastToken; token++ {
		if at, ok := p.host.timers[token]; ok && at <= p.now {
			delete(p.host.timers, token)
			p.balancer.Timer(p.now, token)
			p.checkActions()
		}
	}
}

// expireAttempts ends the attempts that have timed out and reports requests without a final answer after their deadline.
func (p *randomRun) expireAttempts() {
	for _, id := range p.ids {
		r := p.requests[id]
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.inFlight && (p.now >= r.deadline || a.expire > 0 && p.now >= a.expire) {
				a.inFlight = false
				p.balancer.Outcome(p.now, Outcome{ID: id, Attempt: i, Result: TimedOut, Latency: p.now - a.sent, Final: r.final || r.clientGone})
				p.checkActions()
			}
		}
		if !r.final && !r.clientGone && p.now > r.deadline+300*ms {
			p.violated("request %s got no final answer by 300 ms after its deadline", id)
		}
	}
}

// randomEvent feeds one random event to the Balancer.
func (p *randomRun) randomEvent(n int) {
	switch k := p.rng.IntN(20); {
	case k < 8:
		p.arrive(fmt.Sprint("r", n))
	case k < 16 && len(p.ids) > 0:
		p.endAttempt(p.recentID())
	case k == 16 && len(p.ids) > 0:
		id := p.recentID()
		if r := p.requests[id]; !r.final && !r.clientGone {
			r.clientGone, r.final = true, true
		}
		p.balancer.ClientGone(p.now, id)
	case k == 17:
		p.updateServer(p.list[p.rng.IntN(len(p.list))])
	case k == 18 && p.rng.IntN(5) == 0:
		p.balancer.UpdateEndpoints(p.now, EndpointUpdate{Kind: UpdateFailed})
	}
}

// recentID returns the ID of one of the last 40 requests.
func (p *randomRun) recentID() string {
	return p.ids[len(p.ids)-1-p.rng.IntN(min(len(p.ids), 40))]
}

func (p *randomRun) arrive(id string) {
	c := p.settings.Classes[p.rng.IntN(3)]
	left := c.Deadline * time.Duration(3+p.rng.IntN(8)) / 10
	p.requests[id] = &sentRequest{class: c, deadline: p.now + left}
	p.ids = append(p.ids, id)
	p.balancer.Request(p.now, Request{ID: id, Class: c.Name, TimeLeft: left})
}

// endAttempt ends the first attempt in flight of a request.
func (p *randomRun) endAttempt(id string) {
	results := []Result{Served, Served, Served, Served, ServerError, Rejected, NotConnected, ConnectionLost, Cancelled}
	r := p.requests[id]
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.inFlight {
			continue
		}
		result := results[p.rng.IntN(len(results))]
		a.inFlight = false
		a.notExecuted = result == Rejected || result == NotConnected
		r.final = r.final || result == Served
		p.balancer.Outcome(p.now, Outcome{ID: id, Attempt: i, Result: result, Latency: p.now - a.sent, Final: r.final || r.clientGone})
		return
	}
}

// updateServer drains or restarts a server.
func (p *randomRun) updateServer(s Server) {
	s.State = State(p.rng.IntN(2))
	if _, ok := p.drainedAt[s.ID]; !ok {
		p.drainedAt[s.ID] = p.now
	}
	if s.State == Running {
		delete(p.drainedAt, s.ID)
		if p.warming[s.ID] = p.rng.IntN(2) == 0; p.warming[s.ID] {
			s.Since = p.now
		}
	}
	p.balancer.UpdateEndpoints(p.now, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{s}})
}

// checkActions checks the actions of the Balancer since the last call.
func (p *randomRun) checkActions() {
	for _, a := range p.host.takeActions() {
		r := p.requests[a.id]
		switch a.kind {
		case "send":
			p.checkSend(r, a)
		case "reject":
			for _, sent := range r.attempts {
				if !sent.notExecuted && r.class.Effect != Idempotent {
					p.violated("request %s (class %s) was rejected although it may have been executed", a.id, r.class.Name)
				}
			}
			r.final = true
		case "fail":
			r.final = true
		case "cancel":
			if !r.attempts[a.attempt].inFlight {
				p.violated("request %s: attempt %d was cancelled after it had ended", a.id, a.attempt)
			}
		}
	}
}

func (p *randomRun) checkSend(r *sentRequest, a action) {
	if r.final {
		p.violated("request %s was sent after its final answer", a.id)
	}
	if at, ok := p.drainedAt[a.server]; ok && p.now > at+p.settings.DrainGrace {
		p.violated("request %s was sent to draining server %s", a.id, a.server)
	}
	p.sends++
	if p.warming[a.server] {
		p.warmingSends++
	}
	to := p.server(a.server)
	var first *sentAttempt // the first attempt that may have been executed
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if attempt.inFlight && !p.settings.ParallelAttempts {
			p.violated("request %s has two attempts in flight, want at most one", a.id)
		}
		if !attempt.notExecuted && first == nil {
			first = attempt
		}
	}
	if first != nil && !p.mayRepeat(r.class, first, to) {
		p.violated("request %s (class %s) was sent again although it must not be repeated", a.id, r.class.Name)
	}
	r.attempts = append(r.attempts, sentAttempt{server: to, sent: p.now, inFlight: true, expire: a.at})
}

// mayRepeat is the repetition rule for the classes of these settings: an idempotency key is recognized within a cell.
func (p *randomRun) mayRepeat(c Class, first *sentAttempt, to Server) bool {
	switch c.Effect {
	case NonIdempotent:
		return false
	case IdempotentWithKey:
		return p.now-first.sent < c.Window && first.server.Zone == to.Zone && first.server.Cell == to.Cell
	default:
		return true
	}
}

func (p *randomRun) server(id string) Server {
	for _, s := range p.list {
		if s.ID == id {
			return s
		}
	}
	return Server{}
}

// endAll ends all attempts and checks that no server has any left in flight.
func (p *randomRun) endAll() {
	p.now += time.Minute
	for _, id := range p.ids {
		r := p.requests[id]
		for i := range r.attempts {
			if r.attempts[i].inFlight {
				r.attempts[i].inFlight = false
				p.balancer.Outcome(p.now, Outcome{ID: id, Attempt: i, Result: TimedOut, Latency: time.Second, Final: r.final})
				p.checkActions()
			}
		}
	}
	for _, s := range p.balancer.endpoints.ordered {
		if s.inFlight != 0 {
			p.violated("server %s has %d attempts in flight at the end, want 0", s.ID, s.inFlight)
		}
	}
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		if violation := runRandomEvents(t, seed, 1500, nil); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// The invariants detect a Balancer that treats a class that is not idempotent as idempotent.
func TestCheckerDetectsUnsafeRetries(t *testing.T) {
	for seed := range uint64(10) {
		if runRandomEvents(t, seed, 1500, func(b *Balancer) { b.classes["once"].Effect = Idempotent }) != "" {
			return
		}
	}
	t.Error("no violation was found for a class that is wrongly treated as idempotent")
}
