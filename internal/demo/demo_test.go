package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

// TestMainScene checks that all steps run and no guarantee is violated, with lines and with a redrawn table as output.
func TestMainScene(t *testing.T) {
	for name, redraw := range map[string]bool{"lines": false, "terminal": true} {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			var out bytes.Buffer
			s, err := Run(context.Background(), Options{Duration: 5 * time.Second, Rate: 150, Out: &out, Redraw: redraw})
			if err != nil || s.Violations() != nil {
				t.Errorf("Run() = error %v, violations %v, want nil and nil; output:\n%s", err, s.Violations(), out.String())
			}
			if s.Sent != 750 || s.Served+s.Rejected+s.Failed != s.Sent {
				t.Errorf("got summary %+v, want 750 sent, all of them served, rejected or failed", s)
			}
			s.Print(&out)
			for _, want := range []string{"sapporo-2 drains", "ishikari-2 dies", "port 0", "the control plane goes away", "older version", "lost                      0"} {
				if !strings.Contains(out.String(), want) {
					t.Errorf("output lacks %q:\n%s", want, out.String())
				}
			}
		})
	}
}

// TestZoneLossScene checks that no guarantee is violated while a zone fails and returns. The test ends before the recovery is complete.
func TestZoneLossScene(t *testing.T) {
	testbed.Leaks(t)
	var out bytes.Buffer
	s, err := Run(context.Background(), Options{Scene: "zone-loss", Duration: 9 * time.Second, Rate: 150, Out: &out})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Violations(); err != nil {
		t.Errorf("Violations() = %v, want nil; output:\n%s", err, out.String())
	}
	s.Print(&out)
	for _, want := range []string{"sapporo goes dark", "sapporo: up to failing", "to dark", "dark to returning", "crossed", "worst cold server"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
	if s.CrossZone == 0 || !s.ZoneLoss {
		t.Errorf("got summary %+v, want ZoneLoss and cross-zone attempts", s)
	}
	if _, err := Run(context.Background(), Options{Scene: "no such", Out: &out}); err == nil {
		t.Error("Run() with an unknown scene returned no error")
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
		t.Errorf("Run() = %+v, violations %v, want three classes, some rejected requests, none after the overload, and no violations; output:\n%s", s, err, out.String())
	}
	if seatMap, pay := s.Classes[0], s.Classes[2]; float64(pay.Served) < 0.8*float64(pay.Requests) || seatMap.Served*pay.Requests > pay.Served*seatMap.Requests {
		t.Errorf("got classes %+v, want at least 80%% of pay served, and no smaller fraction than of seat-map; output:\n%s", s.Classes, out.String())
	}
	for _, want := range []string{"three times", "cluster overloaded", "waiting", "in time"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
}

// TestViolationsAreReported checks that each violation is reported, and that Run returns an error for invalid options and a cancelled
// context.
func TestViolationsAreReported(t *testing.T) {
	for name, s := range map[string]Summary{"lost": {Served: 1, Lost: 1}, "twice": {Served: 1, DuplicateEffects: 1}, "drain": {Served: 1, AfterDrain: 1},
		"nothing": {}, "cold": {Served: 1, MaxColdLoad: 3}, "unready": {Unready: true}} {
		if s.Violations() == nil {
			t.Errorf("%s: Violations() = nil, want an error", name)
		}
	}
	if err := (Summary{Served: 1}).Violations(); err != nil {
		t.Error(err)
	}
	if _, err := Run(context.Background(), Options{Duration: time.Hour, Rate: 1000}); err == nil {
		t.Error("Run() with too many requests returned no error")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, Options{Out: &bytes.Buffer{}}); err == nil {
		t.Error("Run() with a cancelled context returned no error")
	}
}
