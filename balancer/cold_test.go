package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldFleet is many proxies before servers of which some have just started: what each of these gets is counted over all.
type coldFleet struct {
	simulation
	rng     *rand.Rand
	set     Settings
	list    []Server
	since   time.Duration              // when the cold ones started
	sent    map[string][]time.Duration // to each cold server
	proxies []*coldProxy
	ids     int
	sends   int
}

type coldProxy struct {
	*recorder
	f    *coldFleet
	bal  *Balancer
	life int
	me   int
	told bool // of the cold servers
	out  map[string][]*coldTry
}

type coldTry struct{ over bool }

func (p *coldProxy) SetTimer(token uint64, d time.Duration) {
	life := p.life
	p.f.at(p.f.now+max(d, 0), func() {
		if p.life == life {
			p.bal.Timer(p.f.now, token)
		}
	})
}

// Send takes some time, mostly. One in fifty is turned away, one in fifty fails, and one in a hundred hangs, so that there are
// retries and hedges.
func (p *coldProxy) Send(id, server string, _ time.Duration) {
	f := p.f
	if f.sends++; f.sent[server] != nil {
		f.sent[server] = append(f.sent[server], f.now)
	}
	n, life, try := len(p.out[id]), p.life, &coldTry{}
	p.out[id] = append(p.out[id], try)
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
		if p.life == life && !try.over {
			try.over = true
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: result, Latency: took, Final: result == Served})
		}
	})
}

func (p *coldProxy) Cancel(id string, n int) {
	f, life, try := p.f, p.life, p.out[id][n]
	f.at(f.now, func() {
		if p.life == life && !try.over {
			try.over = true
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: Cancelled, Final: true})
		}
	})
}

// start gives a proxy a new process, which is told the list at once.
func (p *coldProxy) start(t *testing.T, seed uint64) {
	p.life++
	p.out = map[string][]*coldTry{}
	set := p.f.set
	set.Index = p.me
	var err error
	if p.bal, err = New(set, seed, p); err != nil {
		t.Fatal(err)
	}
	p.tell()
}

func (p *coldProxy) tell() {
	l := p.f.list
	if !p.told {
		l = nil
		for _, s := range p.f.list {
			if s.Since == 0 {
				l = append(l, s)
			}
		}
	}
	p.bal.UpdateEndpoints(p.f.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: l})
}

// load has requests come to a proxy, so many a second.
func (p *coldProxy) load(rate float64) {
	var next func()
	next = func() {
		p.f.ids++
		p.bal.Request(p.f.now, Request{ID: fmt.Sprint(p.f.ids), Class: "safe", TimeLeft: time.Second})
		p.f.at(p.f.now+time.Duration(p.f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.f.at(p.f.now+time.Duration(p.f.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

// over gives by how much, in roots of N, the worst window of the times goes beyond N + 2, N being multiple times what capacity
// allows in it.
func over(times []time.Duration, window time.Duration, multiple float64, capacity func(time.Duration) float64) (worst float64, n int) {
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

// Danger: each of many proxies may send little to a server that has just started, and all of them together push it over. Over all
// of them, with retries and hedges, it gets no more than N and what chance puts on it: 2 roots of N and 2. One proxy carries ten
// times the mean, a fifth of them start anew during the warm-up, several servers are cold at once, and the news of them reaches
// the proxies up to 6 s apart.
func TestColdServersUnderTheSumOfAll(t *testing.T) {
	const (
		capacity = 40.0 // requests a second of a warm server
		load     = 0.7
		warmup   = 5 * time.Second
	)
	for _, c := range []struct{ proxies, servers, cold int }{{5, 12, 3}, {20, 24, 6}, {30, 24, 8}, {300, 60, 20}, {2400, 120, 40}} {
		for seed := range uint64(2) {
			if c.proxies >= 300 && seed > 0 {
				break
			}
			f := &coldFleet{rng: rand.New(rand.NewPCG(seed, uint64(c.proxies))), set: settings(), sent: map[string][]time.Duration{}}
			f.now = time.Hour
			f.set.Proxies, f.set.WarmUpTime, f.set.WarmUpShare, f.set.OverloadMultiple, f.set.OverloadWindow = c.proxies, 8*time.Second, 0.3, 3, 2*time.Second
			f.since = f.now + warmup
			for i := range c.servers {
				s := Server{ID: fmt.Sprint("s", i), Zone: []string{"za", "zb"}[i%2], Cell: i % 4, Weight: 1}
				if i >= c.servers-c.cold {
					s.Since = f.since
					f.sent[s.ID] = []time.Duration{}
				}
				f.list = append(f.list, s)
			}
			total := load * capacity * float64(c.servers-c.cold)
			mean := total / float64(c.proxies+9)
			for i := range c.proxies {
				p := &coldProxy{recorder: &recorder{}, f: f, me: i}
				f.proxies = append(f.proxies, p)
				p.start(t, seed<<32+uint64(i))
				rate := mean
				if i == 0 {
					rate *= 10
				}
				p.load(rate)
				f.at(f.since+time.Duration(f.rng.Int64N(int64(6*time.Second))), func() { p.told = true; p.tell() })
				if f.rng.IntN(5) == 0 {
					f.at(f.since+time.Duration(f.rng.Int64N(int64(8*time.Second))), func() { p.told = true; p.start(t, seed<<40+uint64(i)) })
				}
			}
			f.run(f.since + 10*time.Second)
			warmth := func(at time.Duration) float64 {
				age := min(max(at-f.since, 0), f.set.WarmUpTime)
				return capacity * (f.set.WarmUpShare + (1-f.set.WarmUpShare)*float64(age)/float64(f.set.WarmUpTime))
			}
			worst, at, got := math.Inf(-1), "", 0
			for id, times := range f.sent {
				if x, n := over(times, f.set.OverloadWindow, f.set.OverloadMultiple, warmth); x > worst {
					worst, at, got = x, id, n
				}
			}
			t.Logf("%d proxies, %d servers, %d of them cold, seed %d: %d sends, the worst window holds %d, N + 2 and %.2f roots of N", c.proxies, c.servers, c.cold, seed, f.sends, got, worst)
			if worst > 2 {
				t.Errorf("%d proxies, seed %d: %s got %d in 2 s, which is %.1f roots of N beyond N + 2", c.proxies, seed, at, got, worst)
			}
		}
	}
}

// The count sees what goes beyond: 30 requests a second over a window of 2 s are within N of 60, twice as many are not.
func TestColdCountFindsTooMany(t *testing.T) {
	even := func(rate float64) (l []time.Duration) {
		for i := range int(rate * 10) {
			l = append(l, time.Duration(float64(i)/rate*float64(time.Second)))
		}
		return l
	}
	ten := func(time.Duration) float64 { return 10 }
	if x, n := over(even(30), 2*time.Second, 3, ten); x > 0 || n > 62 {
		t.Errorf("%v roots beyond, %d", x, n)
	}
	if x, _ := over(even(60), 2*time.Second, 3, ten); x < 2 {
		t.Errorf("only %v roots beyond", x)
	}
}
