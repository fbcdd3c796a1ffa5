package unknownfields_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"robindrum/internal/drain"
	"robindrum/internal/lease"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/unknownfields"
)

// TestUnknownFieldsSurviveARoundTrip decodes and encodes each type that keeps unknown fields, with two fields of a newer version added.
func TestUnknownFieldsSurviveARoundTrip(t *testing.T) {
	for name, value := range map[string]any{
		"drain request":  &drain.Request{ID: "a"},
		"drain ledger":   drain.NewLedger(),
		"release ledger": release.NewLedger(),
		"lease table":    lease.NewTable(),
		"command":        &quorum.Command{Op: quorum.OpDrain, Drain: &drain.Request{ID: "a"}},
		"release":        &release.Release{Plan: release.Plan{ID: "r"}},
	} {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		newer := strings.TrimSuffix(string(text), "}") + `,"aged":{"x":[1,2]},"zeal":"y"}`
		if err := json.Unmarshal([]byte(newer), value); err != nil {
			t.Fatalf("%s: decode: %v", name, err)
		}
		if text, err = json.Marshal(value); err != nil || string(text) != newer {
			t.Errorf("%s: round trip: got %s and error %v, want %s", name, text, err, newer)
		}
	}
}

// TestUnknownFieldsOfADrainRequestReachTheView submits a drain request of a newer version. The view that gateways receive must contain
// the request's unknown fields.
func TestUnknownFieldsOfADrainRequestReachTheView(t *testing.T) {
	var request drain.Request
	if err := json.Unmarshal([]byte(`{"id":"a","target":{"gateway":"g"},"grace":1000000000,"paint":"blue"}`), &request); err != nil {
		t.Fatal(err)
	}
	ledger := drain.NewLedger()
	_ = ledger.SetBudgets(0, []drain.Budget{{Name: "g", Scope: drain.Scope{Gateways: true}, Max: 1}})
	_ = ledger.Observe(0, 0, []drain.Gateway{{Name: "g", Serving: true}, {Name: "h", Serving: true}}, nil)
	if _, err := ledger.Submit(0, request); err != nil {
		t.Fatal(err)
	}
	if text, _ := json.Marshal(ledger.View(1)); !strings.Contains(string(text), `"paint":"blue"`) {
		t.Errorf("got view %s, want one that contains the unknown field paint", text)
	}
}

// FuzzUnknownFieldsRoundTrip decodes arbitrary text, encodes the result and decodes it again. Both decoded values must be equal.
func FuzzUnknownFieldsRoundTrip(f *testing.F) {
	f.Add(`{"id":"a","ID":"b","x":1,"target":null}`)
	f.Add(`{"id":1}`)
	f.Add(`{"More":{"a":1},"":2}`)
	f.Fuzz(func(t *testing.T, text string) {
		type plain struct {
			ID     string         `json:"id"`
			Target map[string]any `json:"target,omitempty"`
		}
		var first, second plain
		var firstUnknown, secondUnknown unknownfields.Fields
		if unknownfields.Unmarshal([]byte(text), &first, &firstUnknown) != nil {
			return
		}
		encoded, err := unknownfields.Marshal(first, firstUnknown)
		if err != nil {
			t.Fatalf("Marshal after Unmarshal of %q: %v", text, err)
		}
		err = unknownfields.Unmarshal(encoded, &second, &secondUnknown)
		if err != nil || len(firstUnknown) != len(secondUnknown) || first.ID != second.ID || len(first.Target) != len(second.Target) {
			t.Fatalf("round trip of %q through %s: got error %v and equal unknown fields: %v", text, encoded, err, reflect.DeepEqual(firstUnknown, secondUnknown))
		}
	})
}
