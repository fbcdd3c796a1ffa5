package balancer

import (
	"fmt"
	"testing"
)

// Of two servers, the one with fewer attempts in flight is always picked.
func TestFewerInFlightWins(t *testing.T) {
	b, h := newTestBalancer(t, settings(), oneZone(2))
	busy := sendRequest(t, b, h, 0, "first", "once")
	for i := range 50 {
		id := fmt.Sprint("r", i)
		got := sendRequest(t, b, h, ms, id, "once")
		if got == busy {
			t.Fatalf("request %d was sent to %s, which has more attempts in flight", i, got)
		}
		endAttempt(b, ms, id, Served, 10*ms) // no longer in flight
	}
}

// Servers are drawn in proportion to their weights.
func TestDrawsFollowWeights(t *testing.T) {
	servers := oneZone(4)
	servers[0].Weight = 3
	b, _ := newTestBalancer(t, settings(), servers)
	b.refreshSubset(0)
	draws := map[string]int{}
	for range 6000 {
		draws[b.draw(func(*server) bool { return true }, nil).ID]++
	}
	for id, want := range map[string]int{"s0": 3000, "s1": 1000, "s2": 1000, "s3": 1000} {
		if difference := draws[id] - want; difference < -200 || difference > 200 {
			t.Errorf("server %s was drawn %d times, want about %d", id, draws[id], want)
		}
	}
}

// BenchmarkPick measures the choice of a server, for several lengths of the endpoint list.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lb, _ := New(settings(), 1, &recorder{})
			lb.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateCached, Servers: twoZones(n)})
			any := func(*server) bool { return true }
			b.ReportAllocs()
			for b.Loop() {
				lb.pick(0, any)
			}
		})
	}
}

// Every outcome decrements the count of attempts in flight exactly once.
func TestEveryOutcomeLowersInFlight(t *testing.T) {
	for _, res := range []Result{Served, ServerError, Rejected, TimedOut, NotConnected, ConnectionLost, Cancelled, NotSent} {
		b, h := newTestBalancer(t, settings(), oneZone(1))
		sendRequest(t, b, h, 0, "r", "once")
		if b.endpoints.ordered[0].inFlight != 1 {
			t.Fatalf("result %d: server has %d attempts in flight after a send, want 1", res, b.endpoints.ordered[0].inFlight)
		}
		endAttempt(b, ms, "r", res, ms)
		endAttempt(b, ms, "r", res, ms) // a second outcome of the same attempt is ignored
		b.ClientGone(ms, "no such request")
		if b.endpoints.ordered[0].inFlight != 0 {
			t.Errorf("result %d: server has %d attempts in flight after the outcome, want 0", res, b.endpoints.ordered[0].inFlight)
		}
	}
}
