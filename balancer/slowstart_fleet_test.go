package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartFleet simulates many proxies and their servers, some of which start during the simulation. It records the attempts at each
// new server over all proxies.
type slowStartFleet struct {
	simulation
	rng     *rand.Rand
	cfg     Settings
	list    []Server
	since   time.Duration              // when the new servers start
	sent    map[string][]time.Duration // times of the sends to each new server
	proxies []*slowStartProxy
	lastID  int
	sends   int
}

// slowStartProxy is the Host of one proxy.
type slowStartProxy struct {
	*recorder
	f           *slowStartFleet
	bal         *Balancer
	incarnation int
	index       int
	notified    bool // has the list with the new servers
	attempts    map[string][]*slowStartAttempt
}

// slowStartAttempt is an attempt of a slowStartProxy.
type slowStartAttempt struct{ ended bool }

func (p *slowStartProxy) SetTimer(token uint64, d time.Duration) {
	incarnation := p.incarnation
	p.f.at(p.f.now+max(d, 0), func() {
		if p.incarnation == incarnation {
			p.bal.Timer(p.f.now, token)
		}
	})
}

// Send serves most attempts after a random time. To cause retries and hedges, one attempt in 50 is rejected, one in 50 fails, and one in
// 100 hangs and then fails.
func (p *slowStartProxy) Send(id, server string, _ time.Duration) {
	f := p.f
	if f.sends++; f.sent[server] != nil {
		f.sent[server] = append(f.sent[server], f.now)
	}
	n, incarnation, attempt := len(p.attempts[id]), p.incarnation, &slowStartAttempt{}
	p.attempts[id] = append(p.attempts[id], attempt)
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
		if p.incarnation == incarnation && !attempt.ended {
			attempt.ended = true
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: result, Latency: took, Final: result == Served})
		}
	})
}

func (p *slowStartProxy) Cancel(id string, n int) {
	f, incarnation, attempt := p.f, p.incarnation, p.attempts[id][n]
	f.at(f.now, func() {
		if p.incarnation == incarnation && !attempt.ended {
			attempt.ended = true
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: Cancelled, Final: true})
		}
	})
}

// start replaces the proxy's process by a new one, which gets the endpoint list immediately.
func (p *slowStartProxy) start(t *testing.T, seed uint64) {
	p.incarnation++
	p.attempts = map[string][]*slowStartAttempt{}
	cfg := p.f.cfg
	cfg.Index = p.index
	var err error
	if p.bal, err = New(cfg, seed, p); err != nil {
		t.Fatal(err)
	}
	p.updateList()
}

// updateList passes the endpoint list to the Balancer, without the new servers if the proxy has not been notified of them.
func (p *slowStartProxy) updateList() {
	servers := p.f.list
	if !p.notified {
		servers = nil
		for _, s := range p.f.list {
			if s.Since == 0 {
				servers = append(servers, s)
			}
		}
	}
	p.bal.UpdateEndpoints(p.f.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: servers})
}

// load schedules requests at random times, with a mean rate in requests per second.
func (p *slowStartProxy) load(rate float64) {
	var next func()
	next = func() {
		p.f.lastID++
		p.bal.Request(p.f.now, Request{ID: fmt.Sprint(p.f.lastID), Class: "safe", TimeLeft: time.Second})
		p.f.at(p.f.now+time.Duration(p.f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.f.at(p.f.now+time.Duration(p.f.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

// worstExcess returns the highest (count - N - 2) / sqrt(N) of all windows, and the count of that window. N is the number allowed in
// the window: multiple times the capacity.
func worstExcess(times []time.Duration, window time.Duration, multiple float64, capacity func(time.Duration) float64) (worst float64, n int) {
	worst = math.Inf(-1)
	for i, first := 0, 0; i < len(times); i++ {
		for times[i]-times[first] >= window {
			first++
		}
		sent := i - first + 1
		allowed := multiple * capacity(times[first]) * window.Seconds()
		if excess := (float64(sent) - allowed - 2) / math.Sqrt(allowed); excess > worst {
			worst, n = excess, sent
		}
	}
	return worst, n
}

// Many proxies together do not overload a server that has just started, although each of them sends little to it. Over all proxies and
// including retries and hedges, a server gets at most N + 2 + 2*sqrt(N) attempts per window, where N is the number allowed and the rest
// is random variation. One proxy has ten times the load of the others, a fifth of the proxies restart during the warm-up, several
// servers warm up at the same time, and the proxies are notified of them up to 6 s apart.
func TestSlowStartLimitOverAllProxies(t *testing.T) {
	const (
		capacity = 40.0 // requests per second of a warm server
		load     = 0.7
		leadTime = 5 * time.Second
	)
	for _, c := range []struct{ proxies, servers, warming int }{{5, 12, 3}, {20, 24, 6}, {30, 24, 8}, {300, 60, 20}, {2400, 120, 40}} {
		for seed := range uint64(2) {
			if c.proxies >= 300 && seed > 0 {
				break
			}
			f := &slowStartFleet{rng: rand.New(rand.NewPCG(seed, uint64(c.proxies))), cfg: settings(), sent: map[string][]time.Duration{}}
			f.now = time.Hour
			f.cfg.Proxies, f.cfg.WarmUpTime, f.cfg.WarmUpShare, f.cfg.OverloadMultiple, f.cfg.OverloadWindow = c.proxies, 8*time.Second, 0.3, 3, 2*time.Second
			f.since = f.now + leadTime
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
			capacityAt := func(at time.Duration) float64 {
				age := min(max(at-f.since, 0), f.cfg.WarmUpTime)
				return capacity * (f.cfg.WarmUpShare + (1-f.cfg.WarmUpShare)*float64(age)/float64(f.cfg.WarmUpTime))
			}
			worst, at, got := math.Inf(-1), "", 0
			for id, times := range f.sent {
				if x, n := worstExcess(times, f.cfg.OverloadWindow, f.cfg.OverloadMultiple, capacityAt); x > worst {
					worst, at, got = x, id, n
				}
			}
			t.Logf("%d proxies, %d servers, %d of them warming up, seed %d: %d sends, the worst window has %d sends, which is N + 2 + %.2f*sqrt(N)", c.proxies, c.servers, c.warming, seed, f.sends, got, worst)
			if worst > 2 {
				t.Errorf("%d proxies, seed %d: server %s got %d sends in 2 s, which is N + 2 + %.1f*sqrt(N), want at most N + 2 + 2*sqrt(N)", c.proxies, seed, at, got, worst)
			}
		}
	}
}

// worstExcess detects an excess: 30 sends per second are within N = 60 for a window of 2 s, and 60 sends per second are not.
func TestSlowStartCheckerDetectsExcess(t *testing.T) {
	evenlySpaced := func(rate float64) (times []time.Duration) {
		for i := range int(rate * 10) {
			times = append(times, time.Duration(float64(i)/rate*float64(time.Second)))
		}
		return times
	}
	constantCapacity := func(time.Duration) float64 { return 10 }
	if excess, n := worstExcess(evenlySpaced(30), 2*time.Second, 3, constantCapacity); excess > 0 || n > 62 {
		t.Errorf("30 sends per second: worstExcess = %v, %d; want at most 0, 62", excess, n)
	}
	if excess, _ := worstExcess(evenlySpaced(60), 2*time.Second, 3, constantCapacity); excess < 2 {
		t.Errorf("60 sends per second: worstExcess = %v, want at least 2", excess)
	}
}
