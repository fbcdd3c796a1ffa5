package experiment

import (
	"testing"
	"time"
)

// A release over 200 simulated gateways, with deaths that nobody planned at up to a third of the fleet in an hour: never more out by
// plan than may be, a bad version never beyond its canaries, a good one everywhere. All at once breaks the budget: it can be seen.
func TestRolloutStaysWithinTheBudget(t *testing.T) {
	for i, deaths := range []float64{0.05, 0.3} {
		seed := uint64(i)
		good, err := Rollout{UnplannedFailures: deaths, Seed: seed}.Run()
		if err != nil {
			t.Fatal(err)
		}
		// At 0.3 a wave of a hundred loses one now and then: going back is right as well.
		if good.BudgetViolations > 0 || good.MaxPlannedUnavailable > good.UnavailableLimit || good.HarmedRequests > 0 || good.State != "done" && (deaths < 0.3 || good.State != "back") {
			t.Errorf("deaths %v: %+v", deaths, good)
		}
		for what, r := range map[string]Rollout{"fails": {FailureRate: 0.05}, "slow": {Slowdown: 3}, "crash": {CrashAfter: 20 * time.Second}} {
			r.UnplannedFailures, r.Seed = deaths, seed
			bad, err := r.Run()
			if err != nil {
				t.Fatal(err)
			}
			if bad.BudgetViolations > 0 || bad.MaxUpdated > 2 || bad.State != "back" || bad.TimeToHalt == 0 {
				t.Errorf("%s, deaths %v: %+v", what, deaths, bad)
			}
		}
	}
	once, err := Rollout{Mode: "at-once", FailureRate: 0.05}.Run()
	if err != nil || once.BudgetViolations == 0 || once.MaxUpdated != 200 {
		t.Errorf("all at once: %+v, %v", once, err)
	}
	if _, err := (Rollout{Gateways: 5000}).Run(); err == nil {
		t.Error("5,000 gateways were taken")
	}
}
