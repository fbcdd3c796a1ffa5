package balancer

import (
	"fmt"
	"testing"
	"time"
)

// All requests stay in the own zone while it does well, and move as it gets late.
func TestSpilloverFollowsLoss(t *testing.T) {
	b, h := start(t, settings(), twoZones(8))
	crossedShare := func(from int, home time.Duration) float64 {
		crossed := 0
		for i := range 600 {
			now := time.Duration(from+i) * 20 * ms
			id := fmt.Sprint("r", from+i)
			s := sendRequest(t, b, h, now, id, "safe")
			if s == "" {
				continue
			}
			took := home
			if b.endpoints.byID[s].Zone != "za" {
				crossed, took = crossed+1, 20*ms
			}
			endAttempt(b, now+took, id, Served, took)
		}
		return float64(crossed) / 600
	}
	if calm := crossedShare(0, 10*ms); calm > 0.1 {
		t.Errorf("home is quick, yet %.2f go elsewhere", calm)
	}
	if late := crossedShare(600, 90*ms); late < 0.3 {
		t.Errorf("home is nearly late, yet only %.2f go elsewhere", late)
	}
}
