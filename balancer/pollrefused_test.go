package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// notifiedWithinOfMove is notifiedWithin after the service got another address: a change counts as known 4 s later.
const notifiedWithinOfMove = 4*time.Second + time.Second

// refusedPolls is a play in which the service turns away the first polls of each proxy behind an event.
type refusedPolls struct {
	event       string // a key of pollEvents
	proxies     int
	roundTime   time.Duration // which the service needs for one call of each proxy
	callTimeout time.Duration
	turnsAway   bool // a call that would wait for longer than callTimeout is turned away at once; otherwise it is after callTimeout
	answers     bool // during an outage, calls are turned away with an answer
	refusals    int
	refusalTime time.Duration // until such a call is turned away
}

// pollEvents are the events of refusedPolls. Each returns the proxies whose polls are turned away, and since when a change of the list
// can be polled.
var pollEvents = map[string]func(*testing.T, *pollingProxies, *rand.Rand) (affected []*pollingProxy, from time.Duration){
	"processes start": func(t *testing.T, s *pollingProxies, rng *rand.Rand) ([]*pollingProxy, time.Duration) {
		return s.restart(t, rng), s.now
	},
	"watches break": func(_ *testing.T, s *pollingProxies, _ *rand.Rand) ([]*pollingProxy, time.Duration) {
		s.breakWatches(immediately, 0)
		return s.proxies, s.now
	},
	"service moves": func(_ *testing.T, s *pollingProxies, _ *rand.Rand) ([]*pollingProxy, time.Duration) {
		s.move()
		return s.proxies, s.now
	},
	"long outage": func(_ *testing.T, s *pollingProxies, rng *rand.Rand) ([]*pollingProxy, time.Duration) {
		s.goDown(rng)
		return s.proxies, s.availableAt
	},
	"processes start in a long outage": func(t *testing.T, s *pollingProxies, rng *rand.Rand) ([]*pollingProxy, time.Duration) {
		s.goDown(rng)
		s.run(s.now + time.Duration(rng.Int64N(int64(s.availableAt-s.now))))
		s.restart(t, rng)
		return s.proxies, s.availableAt
	},
	"service moves in a long outage": func(_ *testing.T, s *pollingProxies, rng *rand.Rand) ([]*pollingProxy, time.Duration) {
		s.goDown(rng)
		s.run(s.now + time.Duration(rng.Int64N(int64(s.availableAt-s.now))))
		s.move()
		return s.proxies, s.availableAt
	},
	"service moves twice": func(_ *testing.T, s *pollingProxies, rng *rand.Rand) ([]*pollingProxy, time.Duration) {
		s.move()
		s.run(s.now + time.Duration(rng.Int64N(int64(3*time.Second))))
		s.move()
		return s.proxies, s.now
	},
	"processes start and the service moves": func(t *testing.T, s *pollingProxies, rng *rand.Rand) ([]*pollingProxy, time.Duration) {
		affected := s.restart(t, rng)
		s.run(s.now + time.Duration(rng.Int64N(int64(4*time.Second))))
		s.move()
		return affected, s.now
	},
}

// restart starts new processes of seven in ten proxies.
func (s *pollingProxies) restart(t *testing.T, rng *rand.Rand) (restarted []*pollingProxy) {
	for _, i := range rng.Perm(len(s.proxies))[:len(s.proxies)*7/10] {
		s.start(t, i, rng.Uint64())
		restarted = append(restarted, s.proxies[i])
	}
	return restarted
}

// move gives the service another address, at which all proxies begin a poll.
func (s *pollingProxies) move() {
	for _, p := range s.proxies {
		p.address++
		p.bal.EndpointServiceMoved(s.now)
		p.Watch(true)
	}
}

// goDown makes the service unavailable for 10 to 25 s.
func (s *pollingProxies) goDown(rng *rand.Rand) {
	s.availableAt = s.now + 10*time.Second + time.Duration(rng.Int64N(int64(15*time.Second)))
	s.breakWatches(immediately, 0)
}

// play returns how long after the change can be polled the last proxy has received it, or an hour, and how many calls a proxy made at the
// most within a minute from then on.
func (c refusedPolls) play(t *testing.T, seed uint64) (last time.Duration, calls int) {
	t.Helper()
	s := newPollingProxies(t, c.proxies, seed, c.roundTime)
	s.callTimeout, s.turnsAway, s.refuses, s.answersFailures = c.callTimeout, c.turnsAway, true, c.answers
	for _, p := range s.proxies {
		p.refusals, p.refusalTime = c.refusals, c.refusalTime
	}
	affected, from := pollEvents[c.event](t, s, rand.New(rand.NewPCG(seed, 7)))
	s.run(from)
	for _, p := range affected {
		p.calls = 0
		p.listReceivedAt = 0
	}
	s.run(from + time.Minute)
	for _, p := range affected {
		if p.listReceivedAt == 0 {
			return time.Hour, 0
		}
		last = max(last, p.listReceivedAt-from)
		calls = max(calls, p.calls)
	}
	return last, calls
}

// refusals is how often the polls of each proxy are turned away, and how long each of them takes.
type refusals struct {
	times int
	after time.Duration
}

// endsWithMove reports whether an event ends with a move of an available service.
func endsWithMove(event string) bool {
	return strings.Contains(event, "service moves") && !strings.Contains(event, "outage")
}

// requireRepeatedInTime plays the refusals that refused returns for every event, at services that need up to 2 s for one call of each
// proxy.
func requireRepeatedInTime(t *testing.T, refused func(event string) []refusals) {
	t.Helper()
	for event := range pollEvents {
		within := notifiedWithin
		if endsWithMove(event) {
			within = notifiedWithinOfMove
		}
		for _, r := range refused(event) {
			t.Run(fmt.Sprintf("%s, refused %d times after %v", event, r.times, r.after), func(t *testing.T) {
				for _, n := range []int{10, 30, 100} {
					for _, roundTime := range []time.Duration{300 * ms, 2 * time.Second} {
						for seed := range uint64(8) {
							c := refusedPolls{event: event, proxies: n, roundTime: roundTime, callTimeout: time.Second + time.Duration(seed%2)*time.Second,
								turnsAway: true, answers: seed%4 < 2, refusals: r.times, refusalTime: r.after}
							last, calls := c.play(t, seed)
							if last > within {
								t.Errorf("%+v, seed %d: the last proxy received the list after %v, want at most %v", c, seed, last, within)
							}
							if most := r.times + 8; calls > most {
								t.Errorf("%+v, seed %d: a proxy made %d calls, want at most %d", c, seed, calls, most)
							}
						}
					}
				}
			})
		}
	}
}

// Guards against the fault that a proxy whose poll was turned away behind its start, a move or a long outage polled again only 5 s later
// and sent to draining servers meanwhile.
func TestRefusedPollsAreRepeatedInTime(t *testing.T) {
	requireRepeatedInTime(t, func(event string) []refusals {
		played := []refusals{{0, 0}, {1, 0}, {2, 0}, {3, 0}, {1, time.Second}}
		if endsWithMove(event) {
			played = append(played, refusals{2, time.Second})
		}
		return played
	})
}

// Guards against the same fault where polls are turned away more often, or late several times.
func TestManyRefusedPollsAreRepeatedInTime(t *testing.T) {
	requireRepeatedInTime(t, func(string) []refusals {
		return []refusals{{4, 0}, {6, 0}, {2, time.Second}, {3, time.Second}}
	})
}

// Guards against repeats that keep the queue of the service longer than the timeout of a call, so that no proxy receives the list any
// more. The service needs four fifths of the interval between two polls for one call of each proxy, and processes what has timed out.
func TestRefusedPollsDoNotOverloadTheService(t *testing.T) {
	for event := range pollEvents {
		t.Run(event, func(t *testing.T) {
			for _, n := range []int{30, 100} {
				for _, refusals := range []int{0, 1, 3, 6} {
					for seed := range uint64(8) {
						c := refusedPolls{event: event, proxies: n, roundTime: MaxPollInterval * 4 / 5, callTimeout: time.Second + time.Duration(seed%2)*time.Second,
							answers: true, refusals: refusals, refusalTime: time.Duration(seed%4/2) * time.Second}
						within := time.Minute
						if event == "processes start" && refusals == 0 {
							within = notifiedWithin
						}
						if last, _ := c.play(t, seed); last > within {
							t.Errorf("%+v, seed %d: the last proxy received the list after %v, want at most %v", c, seed, last, within)
						}
					}
				}
			}
		})
	}
}

// Guards against a poll at the timer of an earlier one that was replaced, and against a proxy that polls no more because its only timer
// expired a little too early.
func TestTimerOfAReplacedPollDoesNotPoll(t *testing.T) {
	cfg := settings()
	cfg.Polled, cfg.MaxPollInterval = true, 10*time.Second
	b, h := newTestBalancer(t, cfg, nil)
	expire := func(at time.Duration, wantPoll bool) {
		t.Helper()
		h.now = at
		b.Timer(h.now, pollTimer)
		if polled := len(h.takeActions()) == 1; polled != wantPoll {
			t.Errorf("a timer that expires at %v polls: %t, want %t", at, polled, wantPoll)
		}
	}
	b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateCached, Servers: twoZones(2)})
	b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(2)}) // cancels the poll, but not its timer
	h.takeActions()
	h.now += time.Minute
	b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateFailed})
	due := h.timers[pollTimer]
	expire(due-2*ms, false)
	expire(due-ms, true)
}
