package drain

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// gateways returns the gateways g0, g1, ... of one site, alternately in zones a and b: one gateway per value of serving.
func gateways(serving ...bool) []Gateway {
	var list []Gateway
	for i, s := range serving {
		list = append(list, Gateway{Name: fmt.Sprint("g", i), Site: "s", Zone: string(rune('a' + i%2)), Incarnation: 1, Serving: s})
	}
	return list
}

// slotHolders returns the keys of all targets whose requests count against the budgets. It reads only the states of the requests and is
// thus independent of budgetUsage.
func slotHolders(l *Ledger) map[memberKey]bool {
	holders := map[memberKey]bool{}
	for _, r := range l.Requests {
		if r.State.holdsSlot() {
			holders[r.Target.key()] = true
		}
	}
	return holders
}

// scenario drives a ledger step by step and checks the states of its requests.
type scenario struct {
	t *testing.T
	*Ledger
}

func newScenario(t *testing.T, budgets ...Budget) *scenario {
	t.Helper()
	s := &scenario{t, NewLedger()}
	if err := s.SetBudgets(0, budgets); err != nil {
		t.Fatal(err)
	}
	return s
}

// observe reports the gateways at the ledger's current version.
func (s *scenario) observe(serving ...bool) {
	s.t.Helper()
	if err := s.Observe(s.Now, s.Version, gateways(serving...), nil); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scenario) submit(id string, gateway int) {
	s.t.Helper()
	if _, err := s.Submit(s.Now, Request{ID: id, Target: Target{Gateway: fmt.Sprint("g", gateway)}, Grace: time.Second}); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scenario) begin(id string, token uint64) {
	s.t.Helper()
	if _, err := s.Begin(s.Now, id, token); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scenario) progress(now time.Duration, id string, token uint64, inFlight int) {
	s.t.Helper()
	if _, err := s.Progress(now, id, token, inFlight); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scenario) cancel(id string) {
	s.t.Helper()
	if _, err := s.Cancel(s.Now, id); err != nil {
		s.t.Fatal(err)
	}
}

// wantState returns the request and fails the test if the request is not in the state.
func (s *scenario) wantState(id string, want State) *Request {
	s.t.Helper()
	r := s.Requests[id]
	if r == nil || r.State != want {
		s.t.Fatalf("request %s: got %+v, want state %q", id, r, want)
	}
	return r
}

// TestRequestLifecycle takes one request through all its states while a second request waits for the budget. The first request counts
// against the budget until its target has been observed in service again.
func TestRequestLifecycle(t *testing.T) {
	s := newScenario(t, Budget{Name: "one", Scope: Scope{Gateways: true}, Max: 1})
	s.observe(true, true, true)
	s.submit("x", 0)
	s.submit("y", 1)
	s.submit("z", 9)
	firstToken := s.wantState("x", Granted).Token
	if y := s.wantState("y", Pending); !strings.Contains(y.StateReason, "1 of 3 are out, 1 may be") {
		t.Errorf("request y: got state reason %q, want it to contain \"1 of 3 are out, 1 may be\"", y.StateReason)
	}
	s.wantState("z", Rejected)

	// An unplanned outage revokes a grant whose drain has not begun.
	s.observe(true, true, false)
	s.wantState("x", Pending)
	if _, err := s.Begin(s.Now, "x", firstToken); err == nil {
		t.Error("Begin with a revoked token: got nil, want an error")
	}
	s.observe(true, true, true)
	token := s.wantState("x", Granted).Token
	if token <= firstToken {
		t.Errorf("token of the second grant: got %d, want more than %d", token, firstToken)
	}

	s.begin("x", token)
	s.observe(false, true, true)
	s.progress(s.Now+500*time.Millisecond, "x", token, 3)
	if n := s.wantState("x", Draining).InFlight; n != 3 {
		t.Fatalf("requests in flight: got %d, want 3", n)
	}
	s.progress(s.Now+2*time.Second, "x", token, 1)
	s.wantState("x", Overdue)
	s.progress(s.Now, "x", token, 0)
	s.wantState("x", Drained)

	// A target that was killed while drained and serves after its restart is still drained.
	s.observe(true, true, true)
	s.wantState("y", Pending)

	// An observation from before the cancellation does not end the request.
	before := s.Version
	s.cancel("x")
	if err := s.Observe(s.Now, before, gateways(true, true, true), nil); err != nil {
		t.Fatal(err)
	}
	s.wantState("x", Cancelled)
	s.wantState("y", Pending)
	s.observe(true, true, true)
	s.wantState("x", Ended)
	s.wantState("y", Granted)

	s.SetHalted(s.Now, true)
	s.cancel("y")
	s.submit("w", 2)
	s.wantState("w", Pending)
	s.SetHalted(s.Now, false)
	s.wantState("w", Granted)
}

func TestSameIDWithAnotherTargetIsAnError(t *testing.T) {
	s := newScenario(t, Budget{Name: "one", Scope: Scope{Gateways: true}, Max: 1})
	s.observe(true, true, true)
	s.submit("w", 2)
	s.submit("w", 2)
	s.wantState("w", Granted)
	if _, err := s.Submit(s.Now, Request{ID: "w", Target: Target{Gateway: "g1"}, Grace: 1}); !errors.Is(err, ErrIDInUse) {
		t.Errorf("Submit of the same ID with another target: got error %v, want %v", err, ErrIDInUse)
	}
}

func TestInvalidRequestIsAnError(t *testing.T) {
	for name, r := range map[string]Request{
		"no grace period":       {ID: "1", Target: Target{Gateway: "g1"}},
		"wildcard in target":    {ID: "2", Target: Target{Gateway: "g*"}, Grace: 1},
		"no target":             {ID: "3", Grace: 1},
		"grace period too long": {ID: "4", Target: Target{Gateway: "g1"}, Grace: 2 * MaxGrace},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, Budget{Name: "one", Scope: Scope{Gateways: true}, Max: 1})
			s.observe(true, true, true)
			if _, err := s.Submit(s.Now, r); err == nil {
				t.Error("Submit: got nil, want an error")
			}
		})
	}
}

// eventKind is a kind of call that tests make on a ledger, at random or in every order.
type eventKind int

const (
	submitEvent eventKind = iota
	beginEvent
	progressEvent
	cancelEvent
	observeEvent
	haltEvent
	termEvent
	budgetsEvent
	eventKinds
)

// apply makes one call on the ledger. The gateway's number also determines the number of requests in flight and the budgets.
func apply(l *Ledger, now time.Duration, event eventKind, request, gateway int, serving []bool) {
	id := fmt.Sprint("o", request)
	token := uint64(0)
	if r := l.Requests[id]; r != nil {
		token = r.Token
	}
	switch event {
	case submitEvent:
		_, _ = l.Submit(now, Request{ID: id, Target: Target{Gateway: fmt.Sprint("g", gateway)}, Grace: time.Second})
	case beginEvent:
		_, _ = l.Begin(now, id, token)
	case progressEvent:
		_, _ = l.Progress(now, id, token, gateway%2)
	case cancelEvent:
		_, _ = l.Cancel(now, id)
	case observeEvent:
		_ = l.Observe(now, l.Version, gateways(serving...), nil)
	case haltEvent:
		l.SetHalted(now, !l.Halted)
	case termEvent:
		l.BeginTerm(0)
	case budgetsEvent:
		_ = l.SetBudgets(now, []Budget{
			{Name: "n", Scope: Scope{Gateways: true}, Max: 1 + gateway%2},
			{Name: "z", Scope: Scope{Gateways: true, EachZone: true}, Fraction: 0.5},
		})
	}
}

// checkNewGrants returns an error if a target that holds a slot now, but did not before, exceeds a budget that counts all unavailable
// members.
func checkNewGrants(before map[memberKey]bool, l *Ledger) error {
	current := slotHolders(l)
	if len(current) <= len(before) {
		return nil
	}
	for key := range current {
		if before[key] {
			continue
		}
		for _, usage := range l.computeUsage(Target{Gateway: string(key)}, l.reserved()) {
			if len(usage.unavailable) > usage.allowed {
				return fmt.Errorf("%s was granted, but budget %s has %v of %d members unavailable, want at most %d", key, usage.name,
					slices.Sorted(maps.Keys(usage.unavailable)), usage.total, usage.allowed)
			}
		}
	}
	return nil
}

// roundTrip encodes the ledger, restores it and returns the result. It fails the test if the restored ledger encodes differently.
func roundTrip(t *rapid.T, l *Ledger) *Ledger {
	text, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(text)
	if err != nil {
		t.Fatal(err)
	}
	if restoredText, _ := json.Marshal(restored); string(restoredText) != string(text) {
		t.Fatalf("JSON of the restored ledger: got %s, want %s", restoredText, text)
	}
	return restored
}

// TestGrantsStayWithinBudgets makes calls in random order, with lost gateways, leader changes and restores from JSON in between. No grant
// may exceed a budget, tokens and versions must not decrease, and cancelled requests must end once all gateways are observed serving.
func TestGrantsStayWithinBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		serving := []bool{true, true, true, true}
		apply(l, 0, budgetsEvent, 0, rapid.IntRange(0, 1).Draw(t, "max"), nil)
		_ = l.Observe(0, 0, gateways(serving...), nil)
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			before, token, version := slotHolders(l), l.LastToken, l.Version
			if rapid.IntRange(0, 4).Draw(t, "loss") == 0 {
				i := rapid.IntRange(0, 3).Draw(t, "lost gateway")
				serving[i] = !serving[i]
			}
			event := eventKind(rapid.IntRange(0, int(eventKinds)-1).Draw(t, "event"))
			request := rapid.IntRange(0, 4).Draw(t, "request")
			gateway := rapid.IntRange(0, 3).Draw(t, "gateway")
			apply(l, now, event, request, gateway, serving)
			if event == termEvent {
				now = 0
			}
			if err := checkNewGrants(before, l); err != nil {
				t.Fatal(err)
			}
			if l.LastToken < token || l.Version < version {
				t.Fatalf("got token %d and version %d, want at least %d and %d", l.LastToken, l.Version, token, version)
			}
			if rapid.IntRange(0, 9).Draw(t, "store") == 0 {
				l = roundTrip(t, l)
			}
		}
		for id := range l.Requests {
			_, _ = l.Cancel(now, id)
		}
		_ = l.Observe(now, l.Version, gateways(true, true, true, true), nil)
		if n := len(slotHolders(l)); n > 0 {
			t.Fatalf("got %d slots held after every request was cancelled and every gateway serves, want 0", n)
		}
	})
}

// TestEveryEventSequenceStaysWithinBudget tries every sequence of eight events on two requests for two gateways, one of which may be
// unavailable: at most one slot may be held at any time.
func TestEveryEventSequenceStaysWithinBudget(t *testing.T) {
	type event struct {
		kind    eventKind
		request int
		gateway int
	}
	var events []event
	for request := range 2 {
		events = append(events,
			event{submitEvent, request, request},
			event{beginEvent, request, 0},
			event{progressEvent, request, 0},
			event{cancelEvent, request, 0})
	}
	events = append(events, event{observeEvent, 0, 0}, event{termEvent, 0, 0})
	steps, visited := 0, map[string]bool{}
	var walk func(text []byte, depth int)
	walk = func(text []byte, depth int) {
		for _, e := range events {
			l, err := Restore(text)
			if err != nil {
				t.Fatal(err)
			}
			serving := []bool{true, true}
			for key := range slotHolders(l) {
				if r := l.Requests["o"+strings.TrimPrefix(string(key), "g")]; r != nil && r.State.Unavailable() {
					serving[key[1]-'0'] = false
				}
			}
			apply(l, l.Now, e.kind, e.request, e.gateway, serving)
			if n := len(slotHolders(l)); n > 1 {
				t.Fatalf("got %d slots held after %+v, want at most 1; requests: %+v", n, e, l.List())
			}
			next, err := json.Marshal(l)
			if err != nil {
				t.Fatal(err)
			}
			key := fmt.Sprint(depth, string(next))
			if !visited[key] && depth > 1 {
				visited[key] = true
				walk(next, depth-1)
			}
			steps++
		}
	}
	l := NewLedger()
	_ = l.SetBudgets(0, []Budget{{Name: "one", Scope: Scope{Gateways: true}, Max: 1}})
	_ = l.Observe(0, 0, gateways(true, true), nil)
	text, _ := json.Marshal(l)
	walk(text, 8)
	if steps < 5000 {
		t.Errorf("got %d steps, want at least 5000", steps)
	}
}

// TestEndpointBudgets counts endpoints by zone and by cluster. An unhealthy endpoint counts as unavailable, and a request is rejected if
// a budget allows no unavailable endpoint.
func TestEndpointBudgets(t *testing.T) {
	l := NewLedger()
	_ = l.SetBudgets(0, []Budget{
		{Name: "third", Scope: Scope{Cluster: "*", EachZone: true}, Fraction: 0.34},
		{Name: "none", Scope: Scope{Cluster: "db"}, Fraction: 0.1, Max: 9},
	})
	var endpoints []Endpoint
	for i := range 6 {
		endpoints = append(endpoints,
			Endpoint{Cluster: "c", Address: fmt.Sprint(i), Zone: string(rune('a' + i%2)), Healthy: i != 2},
			Endpoint{Cluster: "db", Address: fmt.Sprint(i), Healthy: true})
	}
	if err := l.Observe(0, 0, nil, endpoints); err != nil {
		t.Fatal(err)
	}
	submit := func(cluster, address string) State {
		t.Helper()
		r, err := l.Submit(0, Request{ID: cluster + address, Target: Target{Cluster: cluster, Endpoint: address}, Grace: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		return r.State
	}
	if zoneA, zoneB := submit("c", "0"), submit("c", "1"); zoneA != Pending || zoneB != Granted {
		t.Errorf("Submit in zone a with an unhealthy endpoint, and in zone b: got %q and %q, want %q and %q", zoneA, zoneB, Pending, Granted)
	}
	if state := submit("db", "0"); state != Rejected {
		t.Errorf("Submit with a budget that allows no unavailable endpoint: got %q, want %q", state, Rejected)
	}
	if statuses := l.BudgetStatuses(); len(statuses) != 4 || statuses[0].Allowed != 1 {
		t.Errorf("BudgetStatuses: got %+v, want 4 statuses, of which the first allows 1", statuses)
	}
}

// FuzzRestore restores arbitrary text: Restore returns an error, or a ledger whose methods do not panic.
func FuzzRestore(f *testing.F) {
	l := NewLedger()
	apply(l, 0, budgetsEvent, 0, 0, nil)
	_ = l.Observe(0, 0, gateways(true, true), nil)
	apply(l, 0, submitEvent, 0, 0, nil)
	text, _ := json.Marshal(l)
	f.Add(text)
	f.Add([]byte(`{"orders":{"x":null}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Restore(text)
		if err != nil {
			return
		}
		for event := range eventKinds {
			apply(l, l.Now, event, 0, 0, []bool{true})
		}
		_ = l.View(1)
		_ = l.BudgetStatuses()
	})
}

// TestFinalAnswer checks that only requests that cannot have had an effect are retryable.
func TestFinalAnswer(t *testing.T) {
	for _, c := range []struct {
		effect string
		sent   bool
		want   int
	}{
		{"safe", true, 503},
		{"keyed", true, 504},
		{"unsafe", true, 504},
		{"", true, 504},
		{"keyed", false, 503},
		{"unsafe", false, 503},
	} {
		status, retryable := FinalAnswer(c.effect, c.sent)
		if status != c.want || retryable != (c.want == 503) {
			t.Errorf("FinalAnswer(%q, %v): got %d, %v, want %d, %v", c.effect, c.sent, status, retryable, c.want, c.want == 503)
		}
	}
}
