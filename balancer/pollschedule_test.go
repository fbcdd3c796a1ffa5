package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// listService simulates the endpoint list service of all proxies. It processes calls one after another. A call that is not done within
// callTimeout fails but is still processed. If the queue is longer than twice the callTimeout, a call fails immediately. While the
// service is down, every call fails after callTimeout.
type listService struct {
	costPerCall, callTimeout time.Duration
	availableAt              time.Duration // the service is down before this time
	busyUntil                time.Duration // when all accepted calls will have been processed
	failed                   int
	turnsAway                bool // a call that would not be done within callTimeout fails immediately and is not processed
	refuses                  bool // while the service is down, calls fail immediately
	answersFailures          bool // each call that fails is turned away with an answer
}

// call returns when a call that arrives now ends, and whether it returns the list.
func (s *listService) call(now time.Duration) (end time.Duration, ok bool) {
	wait := max(s.busyUntil-now, 0)
	switch {
	case now < s.availableAt && s.refuses:
		s.failed++
		return now, false
	case now < s.availableAt:
	case s.turnsAway && wait+s.costPerCall > s.callTimeout:
		s.failed++
		return now, false
	case wait > 2*s.callTimeout:
		s.failed++
		return now, false
	default:
		if s.busyUntil = now + wait + s.costPerCall; s.busyUntil <= now+s.callTimeout {
			return s.busyUntil, true
		}
	}
	s.failed++
	return now + s.callTimeout, false
}

// pollingProxy is the Host of one proxy.
type pollingProxy struct {
	recorder
	bal            *Balancer
	s              *pollingProxies
	incarnation    int           // incremented when the process is killed, which invalidates its timers and calls
	address        int           // incremented when the service moves, which invalidates the calls
	listReceivedAt time.Duration // when the last list was received; 0: never
	failed         bool          // whether the last call that ended failed, in any incarnation
	calls          int           // since the start of the simulation
	refusals       int           // calls that the service turns away once it is available, without processing them
	refusalTime    time.Duration // until such a call is turned away
}

func (p *pollingProxy) SetTimer(token uint64, d time.Duration) {
	incarnation := p.incarnation
	p.s.at(p.s.now+max(d, 0), func() {
		if p.incarnation == incarnation {
			p.bal.Timer(p.s.now, token)
		}
	})
}

func (p *pollingProxy) Watch(bool) {
	incarnation, address, calledAt := p.incarnation, p.address, p.s.now
	end, ok, refused := p.call()
	answered := refused || p.s.answersFailures || end == calledAt && calledAt >= p.s.availableAt
	p.s.at(end, func() {
		if p.incarnation != incarnation || p.address != address {
			return
		}
		u := EndpointUpdate{Kind: UpdateFailed}
		u.Busy = !ok && answered
		if p.failed = !ok; ok {
			p.listReceivedAt, u.Kind = p.s.now, UpdateSnapshot
		}
		p.bal.UpdateEndpoints(p.s.now, u)
	})
}

// call makes a call and returns when it ends, whether it returns the list, and whether it is one of p.refusals.
func (p *pollingProxy) call() (end time.Duration, ok, refused bool) {
	p.calls++
	if p.refusals > 0 && p.s.now >= p.s.availableAt {
		p.refusals--
		return p.s.now + p.refusalTime, false, true
	}
	end, ok = p.s.call(p.s.now)
	return end, ok, false
}

// pollingProxies simulates many proxies that poll one listService.
type pollingProxies struct {
	simulation
	listService
	proxies []*pollingProxy
}

// start starts a new process of proxy i, which has a cached list.
func (s *pollingProxies) start(t *testing.T, i int, seed uint64) {
	cfg := settings()
	cfg.Polled, cfg.MaxPollInterval, cfg.Index, cfg.Proxies = true, 10*time.Second, i, len(s.proxies)
	p := s.proxies[i]
	p.incarnation++
	p.listReceivedAt = 0
	var err error
	if p.bal, err = New(cfg, seed, p); err != nil {
		t.Fatal(err)
	}
	p.bal.UpdateEndpoints(s.now, EndpointUpdate{Kind: UpdateCached, Servers: twoZones(4)})
}

// breakWatches breaks the watch of each proxy after its delay. The watches have received nothing for the time silent by then.
func (s *pollingProxies) breakWatches(delay func(i int) time.Duration, silent time.Duration) {
	for i, p := range s.proxies {
		s.at(s.now+delay(i), func() { p.bal.UpdateEndpoints(s.now, EndpointUpdate{Kind: UpdateFailed, SilentFor: silent}) })
	}
}

// lastNotified returns how long after from the last proxy received the list, or an hour if a proxy has not received it.
func (s *pollingProxies) lastNotified(from time.Duration) time.Duration {
	last := time.Duration(0)
	for _, p := range s.proxies {
		if p.listReceivedAt == 0 {
			return time.Hour
		}
		last = max(last, p.listReceivedAt-from)
	}
	return last
}

func immediately(int) time.Duration { return 0 }

// newPollingProxies returns n proxies that have all received the list. The service needs roundTime to process one call of each proxy.
func newPollingProxies(t *testing.T, n int, seed uint64, roundTime time.Duration) *pollingProxies {
	s := &pollingProxies{listService: listService{costPerCall: roundTime / time.Duration(n), callTimeout: 2 * time.Second}}
	for i := range n {
		s.proxies = append(s.proxies, &pollingProxy{s: s})
		s.start(t, i, seed<<16+uint64(i))
	}
	s.run(time.Minute)
	for i, p := range s.proxies {
		if p.listReceivedAt == 0 {
			t.Fatalf("proxy %d did not receive the list within the first minute", i)
		}
		p.listReceivedAt = 0
	}
	return s
}

// notifiedWithin is the time after the list becomes reachable by which all proxies must have a change of it, whatever failed before. A
// change counts as known after 6 s, and sends to draining servers are allowed for a drain grace of 1 s more.
const notifiedWithin = 6*time.Second + time.Second

// Any number of proxies that poll one service receive a change of the list in time. The service processes calls one after another and
// needs 2 to 5 s for one call of each proxy; a call that times out still takes its processing time. The cases are a service that returns
// after an outage, watches that are all reset or all fall silent, and most processes killed just after the service has returned.
func TestPollsReachAllProxiesInTime(t *testing.T) {
	for _, n := range []int{5, 30, 60, 300, 2400} {
		for _, roundTime := range []time.Duration{2 * time.Second, 3500 * ms, 5 * time.Second} {
			if n == 5 && roundTime > 3*time.Second { // a call takes up to half of its timeout, so two calls at the same time are too many
				continue
			}
			for seed := range uint64(5) {
				scenario := fmt.Sprintf("%d proxies, %v for one call of each, seed %d: ", n, roundTime, seed)
				rng := rand.New(rand.NewPCG(seed, 1))

				s := newPollingProxies(t, n, seed, roundTime)
				s.availableAt = s.now + 3*time.Second + time.Duration(rng.Int64N(int64(9*time.Second)))
				s.breakWatches(immediately, 0)
				if s.run(s.availableAt + time.Minute); s.lastNotified(s.availableAt) > notifiedWithin {
					t.Errorf("%sservice returned: the last proxy received the list after %v, want at most %v", scenario, s.lastNotified(s.availableAt), notifiedWithin)
				}

				s = newPollingProxies(t, n, seed, roundTime)
				from := s.now
				s.breakWatches(immediately, 0)
				if s.run(s.now + time.Minute); roundTime <= 3*time.Second && (s.lastNotified(from) > notifiedWithin || s.failed > 0) {
					t.Errorf("%sall watches were reset: the last proxy received the list after %v with %d failed calls, want at most %v and 0", scenario, s.lastNotified(from), s.failed, notifiedWithin)
				}

				s = newPollingProxies(t, n, seed, roundTime)
				from = s.now
				// A watch receives a line every 2 s and counts as broken 3.5 s after the last line.
				s.breakWatches(func(int) time.Duration { return 3500*ms - time.Duration(rng.Int64N(int64(2*time.Second))) }, 3500*ms)
				// The silence is detected after up to 3.5 s, so 3.5 s remain for the poll.
				if s.run(s.now + time.Minute); roundTime <= 3*time.Second && s.lastNotified(from) > notifiedWithin {
					t.Errorf("%sall watches fell silent: the last proxy received the list after %v, want at most %v", scenario, s.lastNotified(from), notifiedWithin)
				}

				s = newPollingProxies(t, n, seed, roundTime)
				s.availableAt = s.now + 8*time.Second
				s.breakWatches(immediately, 0)
				s.run(s.availableAt + 500*ms + time.Duration(rng.Int64N(int64(1500*ms))))
				killed, before := rng.Perm(n)[:n*7/10], s.failed
				for _, i := range killed {
					s.proxies[i].incarnation++
				}
				from = s.now // changes after this time count as known after 6 s at proxies whose last call failed
				s.run(from + 1550*ms)
				failed := map[int]bool{}
				for _, i := range killed {
					failed[i] = s.proxies[i].failed
					s.start(t, i, seed<<32+uint64(i))
				}
				s.run(s.now + time.Minute)
				for _, i := range killed {
					if p := s.proxies[i]; p.listReceivedAt == 0 || p.listReceivedAt-from > 10*time.Second || failed[i] && p.listReceivedAt-from > notifiedWithin {
						t.Errorf("%sproxy %d was killed (last call failed: %v) and received the list after %v, want at most 10s, or %v after a failed call", scenario, i, failed[i], p.listReceivedAt-from, notifiedWithin)
						break
					}
				}
				if failedAfterKill := s.failed - before; failedAfterKill > n/2 {
					t.Errorf("%s%d calls failed after the kill, want at most %d", scenario, failedAfterKill, n/2)
				}
			}
		}
	}
}

// All proxies receive the list even if the service is near its capacity: another caller uses a fifth of it. If proxies polled again too
// soon after a failure, the queue of the service would stay longer than the timeout of a call.
func TestPollsSucceedAtBusyService(t *testing.T) {
	for seed := range uint64(10) {
		s := newPollingProxies(t, 60, seed, 5*time.Second)
		rng := rand.New(rand.NewPCG(seed, 2))
		from := s.now
		var otherCaller func()
		otherCaller = func() {
			s.call(s.now)
			s.at(s.now+time.Duration(rng.ExpFloat64()*float64(s.costPerCall)/0.2), otherCaller)
		}
		otherCaller()
		s.breakWatches(immediately, 0)
		s.run(from + 40*time.Second)
		if s.lastNotified(from) > 30*time.Second {
			unnotified := 0
			for _, p := range s.proxies {
				if p.listReceivedAt == 0 {
					unnotified++
				}
			}
			t.Errorf("seed %d: after 40 s, %d proxies have no list, the last one received it after %v, and %d calls failed; want all to have it within 30 s", seed, unnotified, s.lastNotified(from), s.failed)
		}
	}
}

// Proxies that restart receive the list in time even if the service needs more than 6 s for one call of each proxy and is near its
// capacity, so that one burst of failed calls causes the next. 7 in 10 proxies are killed within 4 s after the return of the service,
// while its queue is full of the calls of all proxies, or they start while the service is down.
func TestPollsAfterRestartOfMostProxies(t *testing.T) {
	for _, n := range []int{60, 300} {
		for seed := range uint64(30) {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			restart := func(s *pollingProxies, after time.Duration) (killed []int) {
				s.run(s.now + after)
				killed = rng.Perm(n)[:n*7/10]
				for _, i := range killed {
					s.proxies[i].incarnation++
				}
				s.run(s.now + 500*ms)
				for _, i := range killed {
					s.start(t, i, seed<<32+uint64(i))
				}
				return killed
			}
			requireNotified := func(scenario string, s *pollingProxies, restarted []int, from time.Duration) {
				s.run(s.now + time.Minute)
				for _, i := range restarted {
					if d := s.proxies[i].listReceivedAt - from; s.proxies[i].listReceivedAt == 0 || d > notifiedWithin {
						t.Errorf("%d proxies, seed %d, %s: proxy %d received the list after %v, want at most %v", n, seed, scenario, i, d, notifiedWithin)
						return
					}
				}
			}
			breakDelay := func(int) time.Duration { return time.Duration(rng.Int64N(int64(time.Second))) }

			s := newPollingProxies(t, n, seed, 5*time.Second)
			s.costPerCall = 6400 * ms / time.Duration(n)
			s.availableAt = s.now + 4*time.Second + time.Duration(rng.Int64N(int64(8*time.Second)))
			s.breakWatches(breakDelay, 0)
			killed := restart(s, s.availableAt-s.now+time.Duration(rng.Int64N(int64(4*time.Second))))
			requireNotified("killed after the return", s, killed, s.now)

			s = newPollingProxies(t, n, seed, 5*time.Second)
			s.costPerCall = 6200 * ms / time.Duration(n)
			s.availableAt = s.now + time.Hour
			s.breakWatches(breakDelay, 0)
			killed = restart(s, 8*time.Second)
			s.availableAt = s.now + time.Duration(rng.Int64N(int64(12*time.Second)))
			requireNotified("started during the outage", s, killed, s.availableAt)
		}
	}
}

// A proxy that starts polls the list soon, but the first polls of proxies are spread over time. After each failure, a proxy waits, but
// the time between two polls, and before the first one, always stays below MaxPollInterval of the settings.
func TestPollTimesAreSpreadAndBounded(t *testing.T) {
	cfg := settings()
	cfg.Polled, cfg.MaxPollInterval = true, 10*time.Second
	firstPolls := map[time.Duration]bool{}
	for seed := range uint64(50) {
		h := &recorder{}
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateCached, Servers: twoZones(4)})
		now, longest := time.Duration(0), time.Duration(0)
		for range 30 {
			at, ok := h.timers[pollTimer]
			if !ok {
				t.Fatal("no poll is scheduled")
			}
			if now == 0 {
				firstPolls[at] = true
			}
			longest = max(longest, at-now)
			now, h.now = at, at
			delete(h.timers, pollTimer)
			b.Timer(now, pollTimer)
			if a := h.takeActions(); len(a) != 1 || a[0].kind != "watch" {
				t.Fatalf("got actions %v, want one watch", a)
			}
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFailed})
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFailed}) // a second failure schedules no second poll
		}
		if longest >= cfg.MaxPollInterval {
			t.Errorf("seed %d: longest time between polls is %v, want below %v", seed, longest, cfg.MaxPollInterval)
		}
		delete(h.timers, pollTimer)
		b.Timer(now, pollTimer)
		b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateDelta})
		if b.polls.timerSet || b.polls.pending || len(h.timers) != 0 {
			t.Errorf("seed %d: after an update: timerSet = %v, pending = %v, %d timers; want false, false, 0", seed, b.polls.timerSet, b.polls.pending, len(h.timers))
		}
	}
	if len(firstPolls) < 45 {
		t.Errorf("first polls of 50 proxies are at %d different times, want at least 45", len(firstPolls))
	}
}

// However often polls fail, the next poll follows within MaxPollInterval.
func TestPollsContinueAfterFailures(t *testing.T) {
	s := settings()
	s.Polled, s.MaxPollInterval = true, 10*time.Second
	b, h := newTestBalancer(t, s, nil)
	for i := range 300 {
		at, ok := h.timers[pollTimer]
		if !ok || at-h.now > MaxPollInterval {
			t.Fatalf("poll %d: scheduled = %v, due in %v, want at most %v", i, ok, at-h.now, MaxPollInterval)
		}
		h.now = at
		delete(h.timers, pollTimer)
		b.Timer(h.now, pollTimer)
		if a := h.takeActions(); len(a) != 1 || a[0].kind != "watch" {
			t.Fatalf("poll %d: got actions %v, want one watch", i, a)
		}
		if i == 150 { // the poll succeeds once, and then the watch breaks
			b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(2)})
		}
		b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateFailed})
	}
}
