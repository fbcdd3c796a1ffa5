package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"robindrum/internal/drain"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
)

// adminServer starts an admin server that returns the given responses, encoded as JSON, by path. It returns the address of the server.
func adminServer(t *testing.T, responses map[string]any) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewEncoder(w).Encode(responses[r.URL.Path]); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestDrainPrintsTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		state    drain.State
		want     string
		exitCode int
	}{
		"rejected": {drain.Rejected, "order a: gateway g1, refused: budget b allows none\n", 1},
		"pending":  {drain.Pending, "order a: gateway g1, asked: budget b allows none\n", 0},
		"draining": {drain.Draining, "order a: gateway g1, under way, 0 in hand: budget b allows none\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			submitted := drain.Request{ID: "a", Target: drain.Target{Gateway: "g1"}, State: c.state, StateReason: "budget b allows none"}
			addr := adminServer(t, map[string]any{"/fleet/drain": submitted})
			var out, stderr bytes.Buffer
			code := run(t.Context(), []string{"drain", "gateway", "g1", "--id", "a", "-a", addr}, &out, &stderr)
			if code != c.exitCode || out.String() != c.want {
				t.Errorf("got exit code %d and output %q, want %d and %q; stderr: %s", code, out.String(), c.exitCode, c.want, stderr.String())
			}
		})
	}
}

func TestDrainOutcome(t *testing.T) {
	toDrain, toUndrain := []drain.State{drain.Drained, drain.Overdue}, []drain.State{drain.Ended}
	for _, c := range []struct {
		state   drain.State
		wanted  []drain.State
		reached bool
		err     error
	}{
		{drain.Pending, toDrain, false, nil},
		{drain.Draining, toDrain, false, nil},
		{drain.Drained, toDrain, true, nil},
		{drain.Overdue, toDrain, true, exitCode(exitOverdue)},
		{drain.Cancelled, toDrain, true, exitCode(exitCancelled)},
		{drain.Ended, toDrain, true, exitCode(exitCancelled)},
		{drain.Overdue, toUndrain, false, nil},
		{drain.Cancelled, toUndrain, false, nil},
		{drain.Ended, toUndrain, true, nil},
	} {
		reached, err := outcome(c.state, c.wanted)
		if reached != c.reached || !errors.Is(err, c.err) {
			t.Errorf("outcome(%s, %v): got %v, %v, want %v, %v", c.state, c.wanted, reached, err, c.reached, c.err)
		}
	}
}

func TestReleasePlanPrintsWavesBudgetsAndRejection(t *testing.T) {
	releases := quorum.ReleaseList{CurrentVersion: "v1"}
	for i := range 3 {
		releases.Gateways = append(releases.Gateways, release.Gateway{Name: fmt.Sprint("g", i), Site: "s", Responding: true, Version: "v1"})
	}
	drains := quorum.DrainList{Budgets: []drain.BudgetStatus{
		{Name: "gateways", Scope: "all", Total: 3, Allowed: 0, Unavailable: []string{"g1"}},
		{Name: "endpoints", Scope: "cluster c", Total: 3, Allowed: 1},
	}}
	addr := adminServer(t, map[string]any{"/fleet/releases": releases, "/fleet/orders": drains})
	var out, stderr bytes.Buffer
	code := run(t.Context(), []string{"release", "plan", "--program", "v2", "-a", addr}, &out, &stderr)
	want := "wave 1, 1 of 3: g0\nwave 2, 2 of 3: g1 g2\n" +
		"budget gateways, all: 0 of 3 may be out at once, 1 are\n" +
		"it would be refused: budget gateways allows none to be out\n"
	if code != 1 || out.String() != want {
		t.Errorf("got exit code %d and output %q, want 1 and %q; stderr: %s", code, out.String(), want, stderr.String())
	}
}
