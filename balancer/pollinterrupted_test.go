package balancer

import (
	"testing"
	"time"
)

// Guards against a poll that is repeated only 2 s to 5 s after its answer broke off, and against repeats without end.
func TestInterruptedPollIsRepeatedSoonAFewTimes(t *testing.T) {
	s := settings()
	s.Polled, s.MaxPollInterval, s.Proxies, s.Index = true, 10*time.Second, 30, 28
	b, h := newTestBalancer(t, s, nil)
	poll := func() {
		h.now = h.timers[pollTimer]
		delete(h.timers, pollTimer)
		b.Timer(h.now, pollTimer)
	}
	for round := range 2 { // an update in between starts the count again
		b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(2)})
		delete(h.timers, pollTimer)
		h.now += time.Minute
		b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateFailed, SilentFor: 3500 * ms})
		poll()
		for i := range maxInterruptedRepeats {
			failedAt := h.now
			b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateFailed, Interrupted: true})
			poll()
			pause, least := h.now-failedAt, firstInterruptedPause<<i
			if pause < least || pause > 2*least {
				t.Errorf("round %d: repeat %d comes after %v, want %v to %v", round, i, pause, least, 2*least)
			}
		}
		failedAt := h.now
		b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateFailed, Interrupted: true})
		poll()
		if pause := h.now - failedAt; pause < MaxPollInterval*2/5 || pause > MaxPollInterval {
			t.Errorf("round %d: the poll behind %d repeats comes after %v, want a regular one", round, maxInterruptedRepeats, pause)
		}
	}
}

// Guards against entries of an incomplete list that count as the whole one: servers that it does not name stay, and the poll is not over.
func TestPartialUpdateChangesOnlyItsServers(t *testing.T) {
	s := settings()
	s.Polled, s.MaxPollInterval, s.Proxies = true, 10*time.Second, 30
	b, h := newTestBalancer(t, s, nil)
	servers := twoZones(2)
	b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: servers})
	b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdateFailed})
	draining := servers[0]
	draining.State = Draining
	b.UpdateEndpoints(h.now, EndpointUpdate{Kind: UpdatePartial, Servers: []Server{draining}})
	if !b.polls.timerSet {
		t.Error("the poll that is due was cancelled")
	}
	if got, want := b.endpoints.running, len(servers)-1; got != want {
		t.Errorf("%d servers are running, want %d", got, want)
	}
}
