package main

import (
	"math"
	"strings"
	"testing"
)

// What cannot be meant is refused before anything starts, with what is wanted.
func TestCapacityRefusesArguments(t *testing.T) {
	for text, want := range map[string]string{
		"nothing":                  "want one of members",
		"members more":             "want one of members",
		"members -sizes 10":        "two or more",
		"members -sizes 10,x":      "rising numbers",
		"members -sizes 20,10":     "rising numbers",
		"members -sizes 0,10":      "rising numbers",
		"-sizes 10,20":             "of one part",
		"members -sizes 5000,6000": "members",
	} {
		if err := capacity(strings.Fields(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// Every part that is named is there, with four sizes of its own or more, and the other way around.
func TestCapacityParts(t *testing.T) {
	all := parts()
	for _, name := range partNames {
		p, ok := all[name]
		if !ok {
			t.Errorf("no part %s", name)
		}
		if name != "limits" && (len(p.short) < 4 || len(p.full) < 4) {
			t.Errorf("%s: %v, %v: a slope is of four sizes at the least", name, p.short, p.full)
		}
		delete(all, name)
	}
	if len(all) > 0 {
		t.Errorf("not named: %v", all)
	}
}

// A derived figure follows the fits, and tells where it crosses its bound; what was not measured at every size has none.
func TestDerivedFigures(t *testing.T) {
	s := newSeries("members")
	s.derive("square", 100, func(n float64, fit func(string) float64) float64 { return n * fit("a") })
	s.derive("missing", 1, func(_ float64, fit func(string) float64) float64 { return fit("b") })
	for _, n := range []int{10, 20, 40} {
		s.size(n)
		s.put("a", 2*float64(n), 0)
	}
	s.put("b", 1, 0)
	if v := s.more[0].value(s, 100); math.Abs(v-20000) > 1e-6 {
		t.Errorf("%v", v)
	}
	if at := s.more[0].crosses(s); at < 7 || at > 7.2 {
		t.Errorf("crossed at %v, want 7.07", at)
	}
	if v := s.more[1].value(s, 100); !math.IsNaN(v) {
		t.Errorf("%v of what was not measured", v)
	}
}
