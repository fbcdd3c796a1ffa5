package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// act is an action as a test sees it.
type act struct {
	what, id, server string
	n                int
	at               time.Duration
}

type recorder struct {
	now    time.Duration
	acts   []act
	timers map[uint64]time.Duration
}

func (r *recorder) add(a act)                           { r.acts = append(r.acts, a) }
func (r *recorder) Send(id, s string, at time.Duration) { r.add(act{"send", id, s, 0, at}) }
func (r *recorder) Reject(id string, d time.Duration)   { r.add(act{what: "refuse", id: id, at: d}) }
func (r *recorder) Fail(id string)                      { r.add(act{what: "fail", id: id}) }
func (r *recorder) Cancel(id string, n int)             { r.add(act{what: "cancel", id: id, n: n}) }
func (r *recorder) HealthCheck(s string)                { r.add(act{what: "probe", server: s}) }
func (r *recorder) CloseIdle(s string)                  { r.add(act{what: "close", server: s}) }
func (r *recorder) Watch(bool)                          { r.add(act{what: "watch"}) }
func (r *recorder) Fetch()                              { r.add(act{what: "fetch"}) }
func (r *recorder) Log(string)                          {}
func (r *recorder) SetTimer(token uint64, d time.Duration) {
	if r.timers == nil {
		r.timers = map[uint64]time.Duration{}
	}
	r.timers[token] = r.now + max(d, 1)
}

func (r *recorder) take() []act {
	a := r.acts
	r.acts = nil
	return a
}

func settings() Settings {
	return Settings{Zone: "za", Zones: []string{"za", "zb"}, Proxies: 2,
		Classes: []Class{
			{Name: "safe", LatencyObjective: 100 * ms, Deadline: 1000 * ms, Effect: Idempotent, PriorityWeight: 1},
			{Name: "keyed", LatencyObjective: 100 * ms, Deadline: 1000 * ms, Effect: IdempotentWithKey, Group: GroupCell, Window: 400 * ms, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 100 * ms, Deadline: 1000 * ms, Effect: NonIdempotent, PriorityWeight: 5}},
		MaxAttempts: 4, ParallelAttempts: true, MayCancel: true, WarmUpTime: 8 * time.Second, WarmUpShare: 0.3,
		OverloadMultiple: 2.5, OverloadWindow: time.Second, DrainGrace: 500 * ms, Price: Prices{CrossZone: 0.05}}
}

func fleet(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: fmt.Sprint("s", i), Zone: []string{"za", "zb"}[i%2], Kind: "k", Cell: i % 4, Weight: 1})
	}
	return l
}

func start(t *testing.T, set Settings, list []Server) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(set, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateCached, Servers: list})
	h.take()
	return b, h
}

func TestSettingsThatCannotBeUsed(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Classes:":                 func(s *Settings) { s.Classes = nil },
		`Classes["safe"].Deadline`: func(s *Settings) { s.Classes[0].Deadline = 0 },
		`Classes["safe"].Effect`:   func(s *Settings) { s.Classes[0].Effect = 9 },
		`Classes["keyed"].Group`:   func(s *Settings) { s.Classes[1].Group = 9 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: New gave %v", field, err)
		}
	}
}

// Every combination of effect, group, the earlier attempt's end, window and parallel tries.
func TestEffectRules(t *testing.T) {
	type end struct {
		name        string
		out, proved bool
	}
	first := &server{Server: Server{ID: "a", Zone: "za", Cell: 1}}
	for _, effect := range []Effect{Idempotent, IdempotentWithKey, NonIdempotent} {
		for _, group := range []Group{GroupAll, GroupZone, GroupCell} {
			for _, e := range []end{{"proved", false, true}, {"may have run", false, false}, {"still out", true, false}} {
				for _, late := range []bool{false, true} {
					for _, parallel := range []bool{false, true} {
						for _, to := range []Server{{Zone: "za", Cell: 1}, {Zone: "za", Cell: 2}, {Zone: "zb", Cell: 3}} {
							set := settings()
							set.ParallelAttempts = parallel
							b, _ := start(t, set, fleet(4))
							c := &class{Class: Class{Effect: effect, Group: group, Window: 400 * ms}}
							r := &request{class: c, attempts: []attempt{{to: first, inFlight: e.out, notExecuted: e.proved}}}
							now := 100 * ms
							if e.out {
								r.inFlight = 1
							}
							if late {
								now = 400 * ms
							}
							same := group == GroupAll || to.Zone == "za" && (group == GroupZone || to.Cell == 1)
							want := !e.out || parallel
							if !e.proved && effect == NonIdempotent || !e.proved && effect == IdempotentWithKey && (late || !same) {
								want = false
							}
							if got := b.mayAttempt(r, &server{Server: to}, now); got != want {
								t.Errorf("resend effect %d group %d %s late %v parallel %v to %v: %v", effect, group, e.name, late, parallel, to, got)
							}
							want = effect == Idempotent || e.proved || effect == IdempotentWithKey && group == GroupAll
							if got := b.mayReject(r); got != want {
								t.Errorf("refuse effect %d group %d %s: %v", effect, group, e.name, got)
							}
						}
					}
				}
			}
		}
	}
}

// referee plays a fleet at random against one Balancer and holds it to the rules.
func referee(t *testing.T, seed uint64, steps int, spoil func(*Balancer)) (broken string) {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := settings()
	set.ParallelAttempts, set.Polled, set.MaxPollInterval = seed%2 == 0, seed%3 == 0, 10*time.Second
	list := fleet(12)
	b, h := start(t, set, list)
	if spoil != nil {
		spoil(b)
	}
	type try struct {
		server      string
		sent        time.Duration
		out, proved bool
		expire      time.Duration
	}
	type req struct {
		class    Class
		deadline time.Duration
		tries    []try
		final    bool
		gone     bool
	}
	reqs, ids, told := map[string]*req{}, []string{}, map[string]time.Duration{}
	zone, cell := map[string]string{}, map[string]int{}
	for _, s := range list {
		zone[s.ID], cell[s.ID] = s.Zone, s.Cell
	}
	cold, coldSends, sends := map[string]bool{}, 0, 0
	bad := func(f string, a ...any) {
		if broken == "" {
			broken = fmt.Sprintf(f, a...)
		}
	}
	now := time.Duration(0)
	drain := func() {
		for _, a := range h.take() {
			q := reqs[a.id]
			switch a.what {
			case "send":
				if q.final {
					bad("%s sent after its final answer", a.id)
				}
				if at, ok := told[a.server]; ok && now > at+set.DrainGrace {
					bad("%s sent to draining %s", a.id, a.server)
				}
				sends++
				if cold[a.server] {
					coldSends++
				}
				var first *try
				for i := range q.tries {
					p := &q.tries[i]
					if p.out && !set.ParallelAttempts {
						bad("%s has two attempts out", a.id)
					}
					if !p.proved && first == nil {
						first = p
					}
				}
				if first != nil && (q.class.Effect == NonIdempotent || q.class.Effect == IdempotentWithKey &&
					(now-first.sent >= q.class.Window || zone[first.server] != zone[a.server] || cell[first.server] != cell[a.server])) {
					bad("%s (%s) sent again", a.id, q.class.Name)
				}
				q.tries = append(q.tries, try{server: a.server, sent: now, out: true, expire: a.at})
			case "refuse":
				for _, p := range q.tries {
					if !p.proved && q.class.Effect != Idempotent {
						bad("%s (%s) refused though it may have run", a.id, q.class.Name)
					}
				}
				q.final = true
			case "fail":
				q.final = true
			case "cancel":
				if !q.tries[a.n].out {
					bad("%s: attempt %d cancelled after its end", a.id, a.n)
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
		for _, id := range ids { // the deadline's and the time-outs' outcomes
			q := reqs[id]
			for i := range q.tries {
				p := &q.tries[i]
				if p.out && (now >= q.deadline || p.expire > 0 && now >= p.expire) {
					p.out = false
					b.Outcome(now, Outcome{ID: id, Attempt: i, Result: TimedOut, Latency: now - p.sent, Final: q.final || q.gone})
					drain()
				}
			}
			if !q.final && !q.gone && now > q.deadline+300*ms {
				bad("%s got no final answer", id)
			}
		}
		switch k := rng.IntN(20); {
		case k < 8:
			id := fmt.Sprint("r", n)
			c := set.Classes[rng.IntN(3)]
			left := c.Deadline * time.Duration(3+rng.IntN(8)) / 10
			reqs[id] = &req{class: c, deadline: now + left}
			ids = append(ids, id)
			b.Request(now, Request{ID: id, Class: c.Name, TimeLeft: left})
		case k < 16 && len(ids) > 0:
			id := ids[len(ids)-1-rng.IntN(min(len(ids), 40))]
			q := reqs[id]
			for i := range q.tries {
				if p := &q.tries[i]; p.out {
					res := results[rng.IntN(len(results))]
					p.out, p.proved = false, res == Rejected || res == NotConnected
					q.final = q.final || res == Served
					b.Outcome(now, Outcome{ID: id, Attempt: i, Result: res, Latency: now - p.sent, Final: q.final || q.gone})
					break
				}
			}
		case k == 16 && len(ids) > 0:
			id := ids[len(ids)-1-rng.IntN(min(len(ids), 40))]
			if q := reqs[id]; !q.final && !q.gone {
				q.gone, q.final = true, true
			}
			b.ClientGone(now, id)
		case k == 17:
			s := list[rng.IntN(len(list))]
			s.State = State(rng.IntN(2))
			if _, ok := told[s.ID]; !ok {
				told[s.ID] = now
			}
			if s.State == Running {
				delete(told, s.ID)
				if cold[s.ID] = rng.IntN(2) == 0; cold[s.ID] {
					s.Since = now
				}
			}
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{s}})
		case k == 18 && rng.IntN(5) == 0:
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFailed})
		}
		drain()
	}
	if broken == "" && sends > 0 && float64(coldSends) > 0.6*float64(sends) {
		bad("%d of %d sends went to cold servers", coldSends, sends)
	}
	// Let everything end: each counter must come back to zero.
	now += time.Minute
	for _, id := range ids {
		q := reqs[id]
		for i := range q.tries {
			if q.tries[i].out {
				q.tries[i].out = false
				b.Outcome(now, Outcome{ID: id, Attempt: i, Result: TimedOut, Latency: time.Second, Final: q.final})
				drain()
			}
		}
	}
	for _, s := range b.endpoints.ordered {
		if s.inFlight != 0 {
			bad("%s is left with %d in flight", s.ID, s.inFlight)
		}
	}
	return broken
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		if broken := referee(t, seed, 1500, nil); broken != "" {
			t.Errorf("seed %d: %s", seed, broken)
		}
	}
}

// The referee must see a module that takes unsafe requests for safe ones.
func TestRefereeSeesABrokenModule(t *testing.T) {
	for seed := range uint64(10) {
		if referee(t, seed, 1500, func(b *Balancer) { b.classes["once"].Effect = Idempotent }) != "" {
			return
		}
	}
	t.Error("an unsafe class that is treated as safe went unnoticed")
}
