package balancer

import (
	"fmt"
	"testing"
)

// The server with fewer requests in flight wins: the one with more is never taken while it meets one with fewer.
func TestFewerInFlightWins(t *testing.T) {
	b, h := start(t, settings(), oneZone(2))
	busy := sendRequest(t, b, h, 0, "first", "once")
	for i := range 50 {
		id := fmt.Sprint("r", i)
		got := sendRequest(t, b, h, ms, id, "once")
		if got == busy {
			t.Fatalf("request %d went to the busier of two", i)
		}
		endAttempt(b, ms, id, Served, 10*ms) // lowers it again
	}
}

// Draws follow the weights: a server of weight 3 among ones of 1 is taken more often than they are, and none is left out.
func TestDrawsFollowWeights(t *testing.T) {
	l := oneZone(4)
	l[0].Weight = 3
	b, _ := start(t, settings(), l)
	b.refreshSubset(0)
	n := map[string]int{}
	for range 6000 {
		n[b.draw(func(*server) bool { return true }, nil).ID]++
	}
	for id, want := range map[string]int{"s0": 3000, "s1": 1000, "s2": 1000, "s3": 1000} {
		if d := n[id] - want; d < -200 || d > 200 {
			t.Errorf("%s drawn %d times, want about %d", id, n[id], want)
		}
	}
}

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

// Every outcome lowers the count of attempts in flight.
func TestEveryOutcomeLowersInFlight(t *testing.T) {
	for _, res := range []Result{Served, ServerError, Rejected, TimedOut, NotConnected, ConnectionLost, Cancelled, NotSent} {
		b, h := start(t, settings(), oneZone(1))
		sendRequest(t, b, h, 0, "r", "once")
		if b.endpoints.ordered[0].inFlight != 1 {
			t.Fatalf("result %d: a send does not raise the counter", res)
		}
		endAttempt(b, ms, "r", res, ms)
		endAttempt(b, ms, "r", res, ms) // a second report of the same attempt is passed over
		b.ClientGone(ms, "no such request")
		if b.endpoints.ordered[0].inFlight != 0 {
			t.Errorf("result %d leaves %d in flight", res, b.endpoints.ordered[0].inFlight)
		}
	}
}
