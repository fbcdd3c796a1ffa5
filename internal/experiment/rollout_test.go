package experiment

import (
	"testing"
	"time"
)

// Releases over 200 simulated gateways, up to 30% of which fail unplanned per hour, never exceed the disruption budget. A good version
// reaches all gateways, and a bad one only the canaries. Restarting all gateways at once violates the budget, which shows that the
// simulation detects violations.
func TestRolloutStaysWithinTheBudget(t *testing.T) {
	for i, failures := range []float64{0.05, 0.3} {
		seed := uint64(i)
		good, err := Rollout{UnplannedFailures: failures, Seed: seed}.Run()
		if err != nil {
			t.Fatal(err)
		}
		// At 0.3, a wave of a hundred gateways occasionally loses one, so that a rollback is correct as well.
		if good.BudgetViolations > 0 || good.MaxPlannedUnavailable > good.UnavailableLimit || good.HarmedRequests > 0 || good.State != "done" && (failures < 0.3 || good.State != "back") {
			t.Errorf("good version, unplanned failures %v: %+v; want done within the budget, without harmed requests", failures, good)
		}
		for fault, rollout := range map[string]Rollout{"fails": {FailureRate: 0.05}, "slow": {Slowdown: 3}, "crash": {CrashAfter: 20 * time.Second}} {
			rollout.UnplannedFailures, rollout.Seed = failures, seed
			bad, err := rollout.Run()
			if err != nil {
				t.Fatal(err)
			}
			if bad.BudgetViolations > 0 || bad.MaxUpdated > 2 || bad.State != "back" || bad.TimeToHalt == 0 {
				t.Errorf("bad version (%s), unplanned failures %v: %+v; want a rollback from at most 2 gateways", fault, failures, bad)
			}
		}
	}
	atOnce, err := Rollout{Mode: "at-once", FailureRate: 0.05}.Run()
	if err != nil || atOnce.BudgetViolations == 0 || atOnce.MaxUpdated != 200 {
		t.Errorf("mode at-once: %+v, error %v; want budget violations and 200 updated gateways", atOnce, err)
	}
	if _, err := (Rollout{Gateways: 5000}).Run(); err == nil {
		t.Error("Run accepted 5000 gateways, want an error")
	}
}
