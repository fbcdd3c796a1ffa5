package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartFleet is many proxies before servers of which some have just started: the attempts at each of these are counted over all
// proxies.
type slowStartFleet struct {
	simulation
	rng     *rand.Rand
	set     Settings
	list    []Server
	since   time.Duration              // when the new servers started
	sent    map[string][]time.Duration // to each new server
	proxies []*slowStartProxy
	ids     int
	sends   int
}

type slowStartProxy struct {
	*recorder
	f           *slowStartFleet
	bal         *Balancer
	incarnation int
	index       int
	notified    bool // of the new servers
	out         map[string][]*slowStartAttempt
}

type slowStartAttempt struct{ over bool }

func (p *slowStartProxy) SetTimer(token uint64, d time.Duration) {
	incarnation := p.incarnation
	p.f.at(p.f.now+max(d, 0), func() {
		if p.incarnation == incarnation {
			p.bal.Timer(p.f.now, token)
		}
	})
}

// Send has most attempts served after some time. One in fifty is rejected, one in fifty fails, and one in a hundred hangs, so that
// there are retries and hedges.
func (p *slowStartProxy) Send(id, server string, _ time.Duration) {
	f := p.f
	if f.sends++; f.sent[server] != nil {
		f.sent[server] = append(f.sent[server], f.now)
	}
	n, incarnation, attempt := len(p.out[id]), p.incarnation, &slowStartAttempt{}
	p.out[id] = append(p.out[id], attempt)
	took, result := time.Duration(f.rng.ExpFloat64()*float64(40*ms))+2*ms, Served
	switch x := f.rng.IntN(100); {
	case x < 2:
		took, result = 2*ms, Rejected
	case x < 4:
		took, result = 10*ms, ServerError
	case x < 5:
		took, result = 900*ms, ServerError
	}
	f.at(f.now+took, func() {
		if p.incarnation == incarnation && !attempt.over {
			attempt.over = true
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: result, Latency: took, Final: result == Served})
		}
	})
}

func (p *slowStartProxy) Cancel(id string, n int) {
	f, incarnation, attempt := p.f, p.incarnation, p.out[id][n]
	f.at(f.now, func() {
		if p.incarnation == incarnation && !attempt.over {
			attempt.over = true
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: Cancelled, Final: true})
		}
	})
}

// start gives a proxy a new process, which gets the list at once.
func (p *slowStartProxy) start(t *testing.T, seed uint64) {
	p.incarnation++
	p.out = map[string][]*slowStartAttempt{}
	set := p.f.set
	set.Index = p.index
	var err error
	if p.bal, err = New(set, seed, p); err != nil {
		t.Fatal(err)
	}
	p.updateList()
}

func (p *slowStartProxy) updateList() {
	l := p.f.list
	if !p.notified {
		l = nil
		for _, s := range p.f.list {
			if s.Since == 0 {
				l = append(l, s)
			}
		}
	}
	p.bal.UpdateEndpoints(p.f.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: l})
}

// load has requests arrive at a proxy, at a rate a second.
func (p *slowStartProxy) load(rate float64) {
	var next func()
	next = func() {
		p.f.ids++
		p.bal.Request(p.f.now, Request{ID: fmt.Sprint(p.f.ids), Class: "safe", TimeLeft: time.Second})
		p.f.at(p.f.now+time.Duration(p.f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.f.at(p.f.now+time.Duration(p.f.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

// worstExcess returns by how much, in square roots of N, the worst window exceeds N + 2, and the count in that window. N is multiple
// times the capacity in the window.
func worstExcess(times []time.Duration, window time.Duration, multiple float64, capacity func(time.Duration) float64) (worst float64, n int) {
	worst = math.Inf(-1)
	for i, first := 0, 0; i < len(times); i++ {
		for times[i]-times[first] >= window {
			first++
		}
		got := i - first + 1
		allowed := multiple * capacity(times[first]) * window.Seconds()
		if x := (float64(got) - allowed - 2) / math.Sqrt(allowed); x > worst {
			worst, n = x, got
		}
	}
	return worst, n
}

// Each of many proxies may send little to a server that has just started, and all of them together could overload it. Over all of
// them, with retries and hedges, it gets no more than N and what chance adds: 2 roots of N and 2. One proxy carries ten times the
// mean, a fifth of them restart during the warm-up, several servers warm up at once, and the proxies learn of them up to 6 s apart.
func TestSlowStartLimitOverAllProxies(t *testing.T) {
	const (
		capacity = 40.0 // requests a second of a warm server
		load     = 0.7
		warmup   = 5 * time.Second
	)
	for _, c := range []struct{ proxies, servers, warming int }{{5, 12, 3}, {20, 24, 6}, {30, 24, 8}, {300, 60, 20}, {2400, 120, 40}} {
		for seed := range uint64(2) {
			if c.proxies >= 300 && seed > 0 {
				break
			}
			f := &slowStartFleet{rng: rand.New(rand.NewPCG(seed, uint64(c.proxies))), set: settings(), sent: map[string][]time.Duration{}}
			f.now = time.Hour
			f.set.Proxies, f.set.WarmUpTime, f.set.WarmUpShare, f.set.OverloadMultiple, f.set.OverloadWindow = c.proxies, 8*time.Second, 0.3, 3, 2*time.Second
			f.since = f.now + warmup
			for i := range c.servers {
				s := Server{ID: fmt.Sprint("s", i), Zone: []string{"za", "zb"}[i%2], Cell: i % 4, Weight: 1}
				if i >= c.servers-c.warming {
					s.Since = f.since
					f.sent[s.ID] = []time.Duration{}
				}
				f.list = append(f.list, s)
			}
			total := load * capacity * float64(c.servers-c.warming)
			mean := total / float64(c.proxies+9)
			for i := range c.proxies {
				p := &slowStartProxy{recorder: &recorder{}, f: f, index: i}
				f.proxies = append(f.proxies, p)
				p.start(t, seed<<32+uint64(i))
				rate := mean
				if i == 0 {
					rate *= 10
				}
				p.load(rate)
				f.at(f.since+time.Duration(f.rng.Int64N(int64(6*time.Second))), func() { p.notified = true; p.updateList() })
				if f.rng.IntN(5) == 0 {
					f.at(f.since+time.Duration(f.rng.Int64N(int64(8*time.Second))), func() { p.notified = true; p.start(t, seed<<40+uint64(i)) })
				}
			}
			f.run(f.since + 10*time.Second)
			warmth := func(at time.Duration) float64 {
				age := min(max(at-f.since, 0), f.set.WarmUpTime)
				return capacity * (f.set.WarmUpShare + (1-f.set.WarmUpShare)*float64(age)/float64(f.set.WarmUpTime))
			}
			worst, at, got := math.Inf(-1), "", 0
			for id, times := range f.sent {
				if x, n := worstExcess(times, f.set.OverloadWindow, f.set.OverloadMultiple, warmth); x > worst {
					worst, at, got = x, id, n
				}
			}
			t.Logf("%d proxies, %d servers, %d of them warming up, seed %d: %d sends, the worst window holds %d, N + 2 and %.2f roots of N", c.proxies, c.servers, c.warming, seed, f.sends, got, worst)
			if worst > 2 {
				t.Errorf("%d proxies, seed %d: %s got %d in 2 s, which is %.1f roots of N beyond N + 2", c.proxies, seed, at, got, worst)
			}
		}
	}
}

// The check detects an excess: 30 requests a second over a window of 2 s are within N of 60, twice as many are not.
func TestSlowStartCheckerDetectsExcess(t *testing.T) {
	even := func(rate float64) (l []time.Duration) {
		for i := range int(rate * 10) {
			l = append(l, time.Duration(float64(i)/rate*float64(time.Second)))
		}
		return l
	}
	ten := func(time.Duration) float64 { return 10 }
	if x, n := worstExcess(even(30), 2*time.Second, 3, ten); x > 0 || n > 62 {
		t.Errorf("%v roots beyond, %d", x, n)
	}
	if x, _ := worstExcess(even(60), 2*time.Second, 3, ten); x < 2 {
		t.Errorf("only %v roots beyond", x)
	}
}
