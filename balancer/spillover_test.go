package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Requests stay in the proxy's zone while its latency is low, and move to the other zone as the latency approaches the objective.
func TestSpilloverFollowsLoss(t *testing.T) {
	b, h := newTestBalancer(t, settings(), twoZones(8))
	crossedShare := func(from int, localLatency time.Duration) float64 {
		crossed := 0
		for i := range 600 {
			now := time.Duration(from+i) * 20 * ms
			id := fmt.Sprint("r", from+i)
			s := sendRequest(t, b, h, now, id, "safe")
			if s == "" {
				continue
			}
			took := localLatency
			if b.endpoints.byID[s].Zone != "za" {
				crossed, took = crossed+1, 20*ms
			}
			endAttempt(b, now+took, id, Served, took)
		}
		return float64(crossed) / 600
	}
	if lowLatencyShare := crossedShare(0, 10*ms); lowLatencyShare > 0.1 {
		t.Errorf("low latency in the local zone: %.2f of the requests crossed zones, want at most 0.1", lowLatencyShare)
	}
	if highLatencyShare := crossedShare(600, 90*ms); highLatencyShare < 0.3 {
		t.Errorf("latency near the objective in the local zone: %.2f of the requests crossed zones, want at least 0.3", highLatencyShare)
	}
}
