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

// What a newer program says in messages and in what it stores goes through this one whole.
func TestUnknownFieldsAreHandedOn(t *testing.T) {
	for what, v := range map[string]any{"order": &drain.Request{ID: "a"}, "orders": drain.NewLedger(), "releases": release.NewLedger(), "leases": lease.NewTable(),
		"command": &quorum.Command{Op: quorum.OpDrain, Drain: &drain.Request{ID: "a"}}, "release": &release.Release{Plan: release.Plan{ID: "r"}}} {
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		newer := strings.TrimSuffix(string(text), "}") + `,"aged":{"x":[1,2]},"zeal":"y"}`
		if err := json.Unmarshal([]byte(newer), v); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		if text, err = json.Marshal(v); err != nil || string(text) != newer {
			t.Errorf("%s: %s\ncame back as %s, %v", what, newer, text, err)
		}
	}
	// An order's own are kept from the asking to the view that gateways are told.
	b := drain.NewLedger()
	var o drain.Request
	if err := json.Unmarshal([]byte(`{"id":"a","target":{"gateway":"g"},"grace":1000000000,"paint":"blue"}`), &o); err != nil {
		t.Fatal(err)
	}
	_ = b.SetBudgets(0, []drain.Budget{{Name: "g", Scope: drain.Scope{Gateways: true}, Max: 1}})
	_ = b.Observe(0, 0, []drain.Gateway{{Name: "g", Serving: true}, {Name: "h", Serving: true}}, nil)
	if _, err := b.Submit(0, o); err != nil {
		t.Fatal(err)
	}
	if text, _ := json.Marshal(b.View(1)); !strings.Contains(string(text), `"paint":"blue"`) {
		t.Errorf("%s", text)
	}
}

// Whatever object comes is read as encoding/json reads it, and written so that it reads the same.
func FuzzKeep(f *testing.F) {
	f.Add(`{"id":"a","ID":"b","x":1,"target":null}`)
	f.Add(`{"id":1}`)
	f.Add(`{"More":{"a":1},"":2}`)
	f.Fuzz(func(t *testing.T, text string) {
		type plain struct {
			ID     string         `json:"id"`
			Target map[string]any `json:"target,omitempty"`
		}
		var v, w plain
		var more, again unknownfields.Fields
		if unknownfields.Unmarshal([]byte(text), &v, &more) != nil {
			return
		}
		if len(more) == 0 {
			more = nil
		}
		out, err := unknownfields.Marshal(v, more)
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if err := unknownfields.Unmarshal(out, &w, &again); err != nil || len(more) != len(again) || v.ID != w.ID || len(v.Target) != len(w.Target) {
			t.Fatalf("%q became %s: %v, %v", text, out, err, reflect.DeepEqual(more, again))
		}
	})
}
