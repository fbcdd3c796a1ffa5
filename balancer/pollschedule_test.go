package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// registry is the service of the endpoint list for all proxies. It works on calls in turn; one that would wait for longer than
// patience fails by then and is worked on all the same, and where the queue is more than twice as long a call fails at once. While
// the service is down each call hangs for its patience and fails.
type registry struct {
	cost, patience time.Duration
	up             time.Duration // it is down before
	done           time.Duration // when all calls that it has taken will be
	failed         int
}

// call returns when a call that comes now ends, and whether it returns the list.
func (r *registry) call(now time.Duration) (end time.Duration, ok bool) {
	wait := max(r.done-now, 0)
	switch {
	case now < r.up:
	case wait > 2*r.patience:
		r.failed++
		return now, false
	default:
		if r.done = now + wait + r.cost; r.done <= now+r.patience {
			return r.done, true
		}
	}
	r.failed++
	return now + r.patience, false
}

// pollingProxy is the Host of one proxy.
type pollingProxy struct {
	recorder
	bal    *Balancer
	s      *pollingProxies
	life   int           // a process that was killed has none of its timers and calls any more
	had    time.Duration // its last list
	failed bool          // the last call that ended, in whichever life
}

func (a *pollingProxy) SetTimer(token uint64, d time.Duration) {
	life := a.life
	a.s.at(a.s.now+max(d, 0), func() {
		if a.life == life {
			a.bal.Timer(a.s.now, token)
		}
	})
}

func (a *pollingProxy) Watch(bool) {
	life := a.life
	end, ok := a.s.call(a.s.now)
	a.s.at(end, func() {
		if a.life != life {
			return
		}
		u := EndpointUpdate{Kind: UpdateFailed}
		if a.failed = !ok; ok {
			a.had, u.Kind = a.s.now, UpdateSnapshot
		}
		a.bal.UpdateEndpoints(a.s.now, u)
	})
}

// pollingProxies are many proxies before one registry.
type pollingProxies struct {
	simulation
	registry
	all []*pollingProxy
}

// start gives a proxy a new process, which knows an old list.
func (s *pollingProxies) start(t *testing.T, i int, seed uint64) {
	set := settings()
	set.Polled, set.MaxPollInterval, set.Index, set.Proxies = true, 10*time.Second, i, len(s.all)
	a := s.all[i]
	a.life++
	a.had = 0
	var err error
	if a.bal, err = New(set, seed, a); err != nil {
		t.Fatal(err)
	}
	a.bal.UpdateEndpoints(s.now, EndpointUpdate{Kind: UpdateCached, Servers: twoZones(4)})
}

// breakWatches ends the watches of all proxies, each after its time, before which it was silent for the time given.
func (s *pollingProxies) breakWatches(after func(i int) time.Duration, silent time.Duration) {
	for i, a := range s.all {
		s.at(s.now+after(i), func() { a.bal.UpdateEndpoints(s.now, EndpointUpdate{Kind: UpdateFailed, SilentFor: silent}) })
	}
}

// lastNotified is when the last of the proxies had the list, counted from a time.
func (s *pollingProxies) lastNotified(from time.Duration) time.Duration {
	last := time.Duration(0)
	for _, a := range s.all {
		if a.had == 0 {
			return time.Hour
		}
		last = max(last, a.had-from)
	}
	return last
}

func immediately(int) time.Duration { return 0 }

func newPollingProxies(t *testing.T, n int, seed uint64, one time.Duration) *pollingProxies {
	s := &pollingProxies{registry: registry{cost: one / time.Duration(n), patience: 2 * time.Second}}
	for i := range n {
		s.all = append(s.all, &pollingProxy{s: s})
		s.start(t, i, seed<<16+uint64(i))
	}
	s.run(time.Minute)
	for i, a := range s.all {
		if a.had == 0 {
			t.Fatalf("proxy %d never had the list", i)
		}
		a.had = 0
	}
	return s
}

// notifiedWithin is how long after the list can be reached a change of it counts as known, whatever failed, and sends to draining
// servers are still allowed: 6 s and a drain grace of 1 s.
const notifiedWithin = 6*time.Second + time.Second

// All proxies poll one service that works on their calls in turn. It takes 2 to 8 s for one call of each; a call that waits for too
// long fails and takes its time all the same. However many proxies there are, all have a change of the list within the time in
// which it counts as known: when the service returns, when all watches are reset or fall silent, and when most processes are
// killed at once just after its return.
func TestPollsReachAllProxiesInTime(t *testing.T) {
	for _, n := range []int{5, 30, 60, 300, 2400} {
		for _, one := range []time.Duration{2 * time.Second, 3500 * ms, 5 * time.Second} {
			if n == 5 && one > 3*time.Second { // a call is half of what one may wait for: two that meet are too many
				continue
			}
			for seed := range uint64(5) {
				what := fmt.Sprintf("%d proxies, %v for one call of each, seed %d: ", n, one, seed)
				rng := rand.New(rand.NewPCG(seed, 1))

				s := newPollingProxies(t, n, seed, one)
				s.up = s.now + 3*time.Second + time.Duration(rng.Int64N(int64(9*time.Second)))
				s.breakWatches(immediately, 0)
				if s.run(s.up + time.Minute); s.lastNotified(s.up) > notifiedWithin {
					t.Errorf("%sit returned, and the last one had the list after %v", what, s.lastNotified(s.up))
				}

				s = newPollingProxies(t, n, seed, one)
				from := s.now
				s.breakWatches(immediately, 0)
				if s.run(s.now + time.Minute); one <= 3*time.Second && (s.lastNotified(from) > notifiedWithin || s.failed > 0) {
					t.Errorf("%sall watches were reset, and the last one had the list after %v, with %d calls failed", what, s.lastNotified(from), s.failed)
				}

				s = newPollingProxies(t, n, seed, one)
				from = s.now
				// Lines come every 2 s, and a watch is dead 3.5 s behind one.
				s.breakWatches(func(int) time.Duration { return 3500*ms - time.Duration(rng.Int64N(int64(2*time.Second))) }, 3500*ms)
				// The silence is seen late: 3.5 s are left to call in.
				if s.run(s.now + time.Minute); one <= 3*time.Second && s.lastNotified(from) > notifiedWithin {
					t.Errorf("%sall watches fell silent, and the last one had the list after %v", what, s.lastNotified(from))
				}

				s = newPollingProxies(t, n, seed, one)
				s.up = s.now + 8*time.Second
				s.breakWatches(immediately, 0)
				s.run(s.up + 500*ms + time.Duration(rng.Int64N(int64(1500*ms))))
				killed, before := rng.Perm(n)[:n*7/10], s.failed
				for _, i := range killed {
					s.all[i].life++
				}
				from = s.now // what changes from here on counts as known 6 s later to those whose last call failed
				s.run(from + 1550*ms)
				failed := map[int]bool{}
				for _, i := range killed {
					failed[i] = s.all[i].failed
					s.start(t, i, seed<<32+uint64(i))
				}
				s.run(s.now + time.Minute)
				for _, i := range killed {
					if a := s.all[i]; a.had == 0 || a.had-from > 10*time.Second || failed[i] && a.had-from > notifiedWithin {
						t.Errorf("%sproxy %d was killed after a call that failed (%v) and had the list %v later", what, i, failed[i], a.had-from)
						break
					}
				}
				if again := s.failed - before; again > n/2 {
					t.Errorf("%s%d calls failed behind the kill", what, again)
				}
			}
		}
	}
}

// Where the service has more to do than it can, calls that come again too soon would keep its queue longer than any of them may
// wait, for ever. A fifth of what it can do is for another caller here.
func TestPollsSucceedAtBusyService(t *testing.T) {
	for seed := range uint64(10) {
		s := newPollingProxies(t, 60, seed, 5*time.Second)
		rng := rand.New(rand.NewPCG(seed, 2))
		from := s.now
		var other func()
		other = func() {
			s.call(s.now)
			s.at(s.now+time.Duration(rng.ExpFloat64()*float64(s.cost)/0.2), other)
		}
		other()
		s.breakWatches(immediately, 0)
		s.run(from + 40*time.Second)
		if s.lastNotified(from) > 30*time.Second {
			without := 0
			for _, a := range s.all {
				if a.had == 0 {
					without++
				}
			}
			t.Errorf("seed %d: after 40 s %d have no list (the last one had it after %v), and %d calls failed", seed, without, s.lastNotified(from), s.failed)
		}
	}
}

// A service that takes 6 s and more for one call of each is nearly busy, and a bunch of failed calls makes the next one. 7 in 10
// proxies are killed within 4 s after its return, when the calls of the others and of the killed ones fill its queue; or they start
// while it is down. Their lists come within the time in which earlier changes count as known.
func TestPollsAfterRestartOfMostProxies(t *testing.T) {
	for _, n := range []int{60, 300} {
		for seed := range uint64(30) {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			restart := func(s *pollingProxies, after time.Duration) (killed []int) {
				s.run(s.now + after)
				killed = rng.Perm(n)[:n*7/10]
				for _, i := range killed {
					s.all[i].life++
				}
				s.run(s.now + 500*ms)
				for _, i := range killed {
					s.start(t, i, seed<<32+uint64(i))
				}
				return killed
			}
			within := func(what string, s *pollingProxies, who []int, from time.Duration) {
				s.run(s.now + time.Minute)
				for _, i := range who {
					if d := s.all[i].had - from; s.all[i].had == 0 || d > notifiedWithin {
						t.Errorf("%d proxies, seed %d, %s: proxy %d had the list after %v", n, seed, what, i, d)
						return
					}
				}
			}
			end := func(int) time.Duration { return time.Duration(rng.Int64N(int64(time.Second))) }

			s := newPollingProxies(t, n, seed, 5*time.Second)
			s.cost = 6400 * ms / time.Duration(n)
			s.up = s.now + 4*time.Second + time.Duration(rng.Int64N(int64(8*time.Second)))
			s.breakWatches(end, 0)
			killed := restart(s, s.up-s.now+time.Duration(rng.Int64N(int64(4*time.Second))))
			within("killed behind the return", s, killed, s.now)

			s = newPollingProxies(t, n, seed, 5*time.Second)
			s.cost = 6200 * ms / time.Duration(n)
			s.up = s.now + time.Hour
			s.breakWatches(end, 0)
			killed = restart(s, 8*time.Second)
			s.up = s.now + time.Duration(rng.Int64N(int64(12*time.Second)))
			within("started while it is down", s, killed, s.up)
		}
	}
}

// A proxy that must poll the list does so soon after its start but not with all others, waits after each failure, and never goes
// without a poll for as long as the settings allow.
func TestPollTimesAreSpreadAndBounded(t *testing.T) {
	set := settings()
	set.Polled, set.MaxPollInterval = true, 10*time.Second
	starts := map[time.Duration]bool{}
	for seed := range uint64(50) {
		h := &recorder{}
		b, err := New(set, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateCached, Servers: twoZones(4)})
		now, longest := time.Duration(0), time.Duration(0)
		for range 30 {
			at, ok := h.timers[pollTimer]
			if !ok {
				t.Fatal("no poll is planned")
			}
			if now == 0 {
				starts[at] = true
			}
			longest = max(longest, at-now)
			now, h.now = at, at
			delete(h.timers, pollTimer)
			b.Timer(now, pollTimer)
			if a := h.take(); len(a) != 1 || a[0].what != "watch" {
				t.Fatalf("%v, want one call", a)
			}
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFailed})
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFailed}) // a second failure plans no second poll
		}
		if longest >= set.MaxPollInterval {
			t.Errorf("seed %d: no poll for %v", seed, longest)
		}
		delete(h.timers, pollTimer)
		b.Timer(now, pollTimer)
		b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateDelta})
		if b.polls.timerSet || b.polls.pending || len(h.timers) != 0 {
			t.Errorf("seed %d: after an answer a call is due (%v, %v), %d timers", seed, b.polls.timerSet, b.polls.pending, len(h.timers))
		}
	}
	if len(starts) < 45 {
		t.Errorf("50 proxies began at only %d different times", len(starts))
	}
}

// However often a poll fails, the next one follows soon.
func TestPollsContinueAfterFailures(t *testing.T) {
	s := settings()
	s.Polled, s.MaxPollInterval = true, 10*time.Second
	b, h := start(t, s, nil)
	for i := range 300 {
		at, ok := h.timers[pollTimer]
		if !ok || at-h.now > MaxPollInterval {
			t.Fatalf("call %d: due in %v, %v", i, at-h.now, ok)
		}
		h.now = at
		delete(h.timers, pollTimer)
		b.Timer(h.now, pollTimer)
		if a := h.take(); len(a) != 1 || a[0].what != "watch" {
			t.Fatalf("call %d: %v", i, a)
		}
		if i == 150 { // it worked once, and its watch broke
			b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(2)})
		}
		b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateFailed})
	}
}
