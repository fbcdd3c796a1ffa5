package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

// TestMainScene checks that all steps are taken, on a terminal and elsewhere, and that no guarantee is violated.
func TestMainScene(t *testing.T) {
	for name, redraw := range map[string]bool{"lines": false, "terminal": true} {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			var out bytes.Buffer
			s, err := Run(context.Background(), Options{Duration: 5 * time.Second, Rate: 150, Out: &out, Redraw: redraw})
			if err != nil || s.Violations() != nil {
				t.Errorf("%v, %v\n%s", err, s.Violations(), out.String())
			}
			if s.Sent != 750 || s.Served+s.Rejected+s.Failed != s.Sent {
				t.Errorf("%+v", s)
			}
			s.Print(&out)
			for _, want := range []string{"sapporo-2 drains", "ishikari-2 dies", "port 0", "the control plane goes away", "older version", "lost                      0"} {
				if !strings.Contains(out.String(), want) {
					t.Errorf("%q is missing in\n%s", want, out.String())
				}
			}
		})
	}
}

// TestZoneLossScene has a zone fail and return. The complete recovery takes longer than the test.
func TestZoneLossScene(t *testing.T) {
	testbed.Leaks(t)
	var out bytes.Buffer
	s, err := Run(context.Background(), Options{Scene: "zone-loss", Duration: 9 * time.Second, Rate: 150, Out: &out})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Violations(); err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
	s.Print(&out)
	for _, want := range []string{"sapporo goes dark", "sapporo: up to failing", "to dark", "dark to returning", "crossed", "worst cold server"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	if s.CrossZone == 0 || !s.ZoneLoss {
		t.Errorf("%+v", s)
	}
	if _, err := Run(context.Background(), Options{Scene: "no such", Out: &out}); err == nil {
		t.Error("an unknown scene is played")
	}
}

// TestOverloadScene checks that the class of the highest priority weight is served during an overload, and that nothing is
// rejected after it.
func TestOverloadScene(t *testing.T) {
	testbed.Leaks(t)
	var out bytes.Buffer
	s, err := Run(context.Background(), Options{Scene: "overload", Duration: 10 * time.Second, Out: &out})
	if err != nil {
		t.Fatal(err)
	}
	s.Print(&out)
	if err := s.Violations(); err != nil || len(s.Classes) != 3 || s.Rejected == 0 || s.RejectedAfter != 0 {
		t.Errorf("%v, %+v\n%s", err, s, out.String())
	}
	if m, p := s.Classes[0], s.Classes[2]; float64(p.Served) < 0.8*float64(p.Requests) || m.Served*p.Requests > p.Served*m.Requests {
		t.Errorf("the priority weight does not count: %+v\n%s", s.Classes, out.String())
	}
	for _, want := range []string{"three times", "cluster overloaded", "waiting", "in time"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

// TestViolationsAreReported checks each violation, and that invalid options and a cancelled context are errors.
func TestViolationsAreReported(t *testing.T) {
	for name, s := range map[string]Summary{"lost": {Served: 1, Lost: 1}, "twice": {Served: 1, DuplicateEffects: 1}, "drain": {Served: 1, AfterDrain: 1},
		"nothing": {}, "cold": {Served: 1, MaxColdLoad: 3}, "unready": {Unready: true}} {
		if s.Violations() == nil {
			t.Errorf("%s: good", name)
		}
	}
	if err := (Summary{Served: 1}).Violations(); err != nil {
		t.Error(err)
	}
	if _, err := Run(context.Background(), Options{Duration: time.Hour, Rate: 1000}); err == nil {
		t.Error("a scene with too many requests is played")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, Options{Out: &bytes.Buffer{}}); err == nil {
		t.Error("a cancelled scene returns no error")
	}
}
