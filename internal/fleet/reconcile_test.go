package fleet

import (
	"reflect"
	"testing"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/drain"
	"robindrum/internal/membership"
	"robindrum/internal/quorum"
)

func TestReportsNeeded(t *testing.T) {
	members := []membership.Member{
		member("a", "s", membership.Serving),
		member("b", "s", membership.Suspect),
		member("c", "r", membership.Draining),
		member("d", "s", membership.Dead),
		member("e", "r", membership.Witness),
		member("f", "r", membership.Gone),
	}
	tests := []struct {
		name   string
		target drain.Target
		want   int
	}{
		{"a gateway", drain.Target{Gateway: "a"}, 1},
		{"a gateway that is dead", drain.Target{Gateway: "d"}, 1},
		{"a zone of gateways", drain.Target{Site: "s", Zone: "s1"}, 2},
		{"an endpoint", drain.Target{Cluster: "c", Endpoint: "1"}, 3},
		{"a zone of a cluster", drain.Target{Cluster: "c", Zone: "s1"}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := reportsNeeded(test.target, members); got != test.want {
				t.Errorf("reportsNeeded(%+v): got %d, want %d", test.target, got, test.want)
			}
		})
	}
}

func TestProgressDue(t *testing.T) {
	members := []membership.Member{member("a", "s", membership.Serving), member("b", "s", membership.Serving)}
	endpoint := drain.Target{Cluster: "c", Endpoint: "1"}
	tests := []struct {
		name     string
		state    drain.State
		progress drainProgress
		want     bool
	}{
		{"all reported", drain.Draining, drainProgress{inFlight: 4, reports: 2}, true},
		{"nothing in flight", drain.Draining, drainProgress{reports: 2}, true},
		{"too few reported", drain.Draining, drainProgress{inFlight: 4, reports: 1}, false},
		{"granted and not begun", drain.Granted, drainProgress{inFlight: 4, reports: 2}, false},
		{"drained", drain.Drained, drainProgress{reports: 2}, false},
		{"drained and in use again", drain.Drained, drainProgress{inFlight: 1, reports: 2}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := progressDue(drain.Request{State: test.state, Target: endpoint}, test.progress, members); got != test.want {
				t.Errorf("progressDue in state %v after %+v: got %v, want %v", test.state, test.progress, got, test.want)
			}
		})
	}
}

func TestFiguresDue(t *testing.T) {
	tests := []struct {
		name      string
		desired   quorum.Desired
		sinceLast time.Duration
		want      bool
	}{
		{"no release", quorum.Desired{}, time.Hour, false},
		{"short soak", quorum.Desired{InProgress: true, Soak: 2 * time.Second}, 100 * time.Millisecond, true},
		{"short soak, too early", quorum.Desired{InProgress: true, Soak: 2 * time.Second}, 99 * time.Millisecond, false},
		{"long soak", quorum.Desired{InProgress: true, Soak: time.Hour}, time.Second, true},
		{"long soak, too early", quorum.Desired{InProgress: true, Soak: time.Hour}, 999 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := figuresDue(test.desired, test.sinceLast); got != test.want {
				t.Errorf("figuresDue %v after the last commit: got %v, want %v", test.sinceLast, got, test.want)
			}
		})
	}
}

func TestDrainBudgets(t *testing.T) {
	got := drainBudgets([]config.DisruptionBudget{
		{Name: "gateways", Site: "s", Each: "zone", Max: 1},
		{Name: "endpoints", Cluster: "*", Each: "site", Fraction: 0.5},
	})
	want := []drain.Budget{
		{Name: "gateways", Scope: drain.Scope{Gateways: true, Site: "s", EachZone: true}, Max: 1},
		{Name: "endpoints", Scope: drain.Scope{Cluster: "*", EachSite: true}, Fraction: 0.5},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("drainBudgets: got %+v, want %+v", got, want)
	}
}
