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

// gateways returns gateways g0, g1, ... of one site in zones a and b in turn.
func gateways(serving ...bool) []Gateway {
	var list []Gateway
	for i, s := range serving {
		list = append(list, Gateway{Name: fmt.Sprint("g", i), Site: "s", Zone: string(rune('a' + i%2)), Incarnation: 1, Serving: s})
	}
	return list
}

// slotHolders returns what an outside observer counts as planned to be out: the targets of the requests that keep them from serving,
// or may be about to.
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

// observe reports the gateways at the ledger's present version.
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

// wantState returns the request, which has to be in the state.
func (s *scenario) wantState(id string, want State) *Request {
	s.t.Helper()
	r := s.Requests[id]
	if r == nil || r.State != want {
		s.t.Fatalf("%s: %+v, want %s", id, r, want)
	}
	return r
}

// TestRequestLifecycle takes one request through all its states while a second one waits for the budget. The first one counts against
// it until its target has been observed in service again.
func TestRequestLifecycle(t *testing.T) {
	s := newScenario(t, Budget{Name: "one", Scope: Scope{Gateways: true}, Max: 1})
	s.observe(true, true, true)
	s.submit("x", 0)
	s.submit("y", 1)
	s.submit("z", 9)
	firstToken := s.wantState("x", Granted).Token
	if y := s.wantState("y", Pending); !strings.Contains(y.StateReason, "1 of 3 are out, 1 may be") {
		t.Errorf("%q", y.StateReason)
	}
	s.wantState("z", Rejected)

	// An unplanned loss revokes a grant that has not begun.
	s.observe(true, true, false)
	s.wantState("x", Pending)
	if _, err := s.Begin(s.Now, "x", firstToken); err == nil {
		t.Error("begun though the grant was revoked")
	}
	s.observe(true, true, true)
	token := s.wantState("x", Granted).Token
	if token <= firstToken {
		t.Errorf("token %d behind %d", token, firstToken)
	}

	s.begin("x", token)
	s.observe(false, true, true)
	s.progress(s.Now+500*time.Millisecond, "x", token, 3)
	if n := s.wantState("x", Draining).InFlight; n != 3 {
		t.Fatalf("%d requests in flight, want 3", n)
	}
	s.progress(s.Now+2*time.Second, "x", token, 1)
	s.wantState("x", Overdue)
	s.progress(s.Now, "x", token, 0)
	s.wantState("x", Drained)

	// A target that was killed and reports that it serves is still drained.
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
		t.Errorf("%v", err)
	}
}

func TestInvalidRequestIsAnError(t *testing.T) {
	for name, r := range map[string]Request{
		"a deadline in the past": {ID: "1", Target: Target{Gateway: "g1"}},
		"a pattern":              {ID: "2", Target: Target{Gateway: "g*"}, Grace: 1},
		"no target":              {ID: "3", Grace: 1},
		"too long":               {ID: "4", Target: Target{Gateway: "g1"}, Grace: 2 * MaxGrace},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, Budget{Name: "one", Scope: Scope{Gateways: true}, Max: 1})
			s.observe(true, true, true)
			if _, err := s.Submit(s.Now, r); err == nil {
				t.Error("it was accepted")
			}
		})
	}
}

// eventKind is a call of a ledger, as the tests draw or enumerate it.
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

// apply makes one call. The gateway's number also serves as the number of requests in flight and as the choice of budgets.
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

// checkNewGrants returns an error where a slot was granted since before that exceeds a budget, with all that is unavailable counted.
func checkNewGrants(before map[memberKey]bool, l *Ledger) error {
	now := slotHolders(l)
	if len(now) <= len(before) {
		return nil
	}
	for key := range now {
		if before[key] {
			continue
		}
		for _, usage := range l.usageOf(Target{Gateway: string(key)}, l.reserved()) {
			if len(usage.unavailable) > usage.allowed {
				return fmt.Errorf("%s was granted: budget %s has %v out of %d, %d may be", key, usage.name,
					slices.Sorted(maps.Keys(usage.unavailable)), usage.total, usage.allowed)
			}
		}
	}
	return nil
}

// throughJSON returns the ledger as it is after storing and restoring it, which must not change its stored form.
func throughJSON(t *rapid.T, l *Ledger) *Ledger {
	text, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(text)
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := json.Marshal(restored); string(again) != string(text) {
		t.Fatalf("%s came back as %s", text, again)
	}
	return restored
}

// TestGrantsStayWithinBudgets makes calls in any order, with losses, changes of leader and storing in between: no grant exceeds a
// budget, tokens and versions rise, and what is cancelled ends once it is observed in service.
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
				t.Fatalf("token %d behind %d, version %d behind %d", l.LastToken, token, l.Version, version)
			}
			if rapid.IntRange(0, 9).Draw(t, "store") == 0 {
				l = throughJSON(t, l)
			}
		}
		for id := range l.Requests {
			_, _ = l.Cancel(now, id)
		}
		_ = l.Observe(now, l.Version, gateways(true, true, true, true), nil)
		if n := len(slotHolders(l)); n > 0 {
			t.Fatalf("%d slots are held though every request is cancelled and every gateway serves", n)
		}
	})
}

// TestEveryEventSequenceStaysWithinBudget walks every sequence of eight events of two requests for two gateways of which one may be
// unavailable: never more than one slot is held.
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
				t.Fatalf("%d slots are held after %+v: %+v", n, e, l.List())
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
		t.Errorf("%d steps only", steps)
	}
}

// TestEndpointBudgets counts endpoints by zone and by cluster; an endpoint that is not healthy counts as unavailable, and a budget that
// allows none rejects.
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
	if a, b := submit("c", "0"), submit("c", "1"); a != Pending || b != Granted {
		t.Errorf("zone a, where one is not healthy: %s; zone b: %s", a, b)
	}
	if state := submit("db", "0"); state != Rejected {
		t.Errorf("a budget that allows none: %s", state)
	}
	if statuses := l.BudgetStatuses(); len(statuses) != 4 || statuses[0].Allowed != 1 {
		t.Errorf("%+v", statuses)
	}
}

// FuzzRestore restores any text: it is an error, or a ledger that can be used.
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

// TestFinalAnswer offers for retry only what cannot have had an effect.
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
			t.Errorf("%q, sent %v: %d, %v", c.effect, c.sent, status, retryable)
		}
	}
}
