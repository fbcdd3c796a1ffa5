package experiment

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"robindrum/internal/config"
	experiments "robindrum/lab"
)

const small = "name: small\nlength: 3s\nload: {rate: 100}\n"

// What is wrong with an experiment is told with its place, and one that would run for a year is not begun.
func TestInvalidExperimentsAreRejectedWithTheirField(t *testing.T) {
	for text, want := range map[string]string{
		"":                              "the file is empty",
		"length: 3s\nload: {rate: 1}\n": "x.yaml:1:1: name: is missing",
		"name: a\nlength: 9000h\nload: {rate: 1}\n":                 "x.yaml:2:9: length: want 1s to 1h0m0s",
		small + "fleet: {servers: 3000}\n":                          "fleet.servers: want 1 to 2000",
		small + "fleet: {servers: 1000}\ngateways: {number: 300}\n": "fleet: 1000 servers before 300 gateways",
		small + "fleet: {zones: [a, a]}\n":                          `fleet.zones[1]: "a" is empty or stands twice`,
		"name: a\nlength: 1h\nload: {rate: 1000000}\n":              "load.times: a peak of 1000000 requests a second over 1h0m0s, 100000000 requests at most",
		"name: a\nload: {bursts: [{every: 1ms, size: 1000000}]}\n":  "requests, 5000000 at most",
		"name: a\nload: {bursts: [{every: 1us, size: 1}]}\n":        "load.bursts[0].every: want 1ms at least",
		"name: a\n":                                "load: asks for nothing",
		"name: a\nload: {rate: -1}\n":              "load.rate: want 0 to",
		"name: a\nload: {rate: 1, again: never}\n": `load.again: want one of`,
		"name: a\nload: {rate: 1, times: [{from: 2s, to: 1s, by: 2}]}\n": "load.times[0]: from 2s to 1s",
		small + "gateways: {zones: far}\n":                               "gateways.zones: want one of",
		small + "gateways: {admission: some}\n":                          "gateways.admission: want one of",
		small + "classes: [{name: a, part: 0.5}]\n":                      "classes: their parts add up to 0.5",
		small + "classes: [{name: a, effect: keyed}]\n":                  "classes[0].window: a keyed class needs it",
		small + "classes: [{name: a, wanted: 2s, deadline: 1s}]\n":       "classes[0].wanted: 2s is longer",
		small + "phases: [2s, 1s]\n":                                     "phases[1]: 1s: they rise",
		small + "events: [{at: 1s, do: kill, zone: b, how: refuses}]\n":  "events[0].zone: want one of [a]",
		small + "events: [{at: 1s, do: kill, zone: a}]\n":                "events[0].how: want refuses",
		small + "events: [{at: 1s, do: dance, zone: a}]\n":               "events[0].do: want one of",
		small + "events: [{at: 1s, do: restart, count: 2}]\n":            "events[0]: every and count are for flap",
		small + "gateways: {source: {places: -1}}\n":                     "gateways.source.places: want 0 to",
		small + "events: [{at: 9s, do: revive, zone: a}]\n":              "events[0].at: 9s is not before the end",
		small + "events: [{at: 1s, do: slow, zone: a}]\n":                "events[0].by: want 0.001",
		small + "checks: [{phase: 1, in_time: 1}]\n":                     "checks[0].phase: there is no phase 1",
		small + "checks: [{class: x, in_time: 1}]\n":                     `checks[0].class: there is no class "x"`,
		small + "checks: [{phase: 0}]\n":                                 "checks[0]: checks nothing",
		small + "checks: [{in_time: 2}]\n":                               "checks[0].in_time: want 0 to 1",
		small + "speed: 3\n":                                             "x.yaml:4:1: speed: there is no such field",
	} {
		_, err := Parse("x.yaml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "x.yaml") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

func play(t *testing.T, text string, seeds int) *Report {
	t.Helper()
	e, err := Parse("x.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Simulate(e, seeds)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The same seed gives the same report, another one another; requests are conserved; several seeds are those runs together.
func TestSameSeedGivesSameReport(t *testing.T) {
	text := small + "gateways: {number: 3}\nphases: [1s]\nevents: [{at: 1s, do: kill, zone: a, how: silent, part: 0.5}]\n"
	one, again := play(t, text, 1), play(t, text, 1)
	var a, b bytes.Buffer
	if err := errors.Join(one.JSON(&a), again.JSON(&b)); err != nil || a.String() != b.String() {
		t.Errorf("%v: two runs differ", err)
	}
	other := play(t, text+"seed: 2\n", 1)
	if reflect.DeepEqual(one.Phases[1].All.Requests, other.Phases[1].All.Requests) && one.Phases[0].All.Requests == other.Phases[0].All.Requests {
		t.Error("another seed changes nothing")
	}
	both := play(t, text, 2)
	for i, p := range both.Phases {
		if o := p.All; o.Requests != o.InTime+o.Late+o.Rejected+o.Failed || o.Requests != one.Phases[i].All.Requests+other.Phases[i].All.Requests {
			t.Errorf("phase %d: %+v, of %d and %d asked", i, o, one.Phases[i].All.Requests, other.Phases[i].All.Requests)
		}
	}
}

// Gateways that are killed at once come back through a source with few places, each request ends once, and what a herd
// costs is measured: without the places' limit they are back at once.
func TestRestartedGatewaysWaitForEndpointSource(t *testing.T) {
	text := small + "length: 8s\nfleet: {connect: 5ms}\ngateways: {number: 20, source: {places: 1, takes: 100ms, patience: 300ms}}\n" +
		"classes: [{name: buy, effect: keyed, window: 4s}]\nevents: [{at: 1s, do: restart, part: 0.8, down: 200ms}]\nchecks: [{back: 1s}, {connects: 0.001}]\n"
	text = strings.Replace(text, "length: 3s\n", "", 1)
	r := play(t, text, 2)
	// 16 calls of 100ms each, one after the other.
	if r.RestartTime < 1600*time.Millisecond || len(r.FailedChecks) != 2 || !strings.Contains(r.FailedChecks[0], "a gateway was ready") {
		t.Errorf("back after %v, %q", r.RestartTime, r.FailedChecks)
	}
	if o := r.Phases[0].All; o.Requests != o.InTime+o.Late+o.Rejected+o.Failed || o.Failed == 0 || o.Failed > o.Requests/50 {
		t.Errorf("%+v: what the killed had in hand fails, and nothing else", o)
	}
}

// Checks that do not hold are named; those that do are not.
func TestFailedChecksAreReported(t *testing.T) {
	text := small + "fleet: {service: 40ms}\ngateways: {admission: off}\nload: {rate: 400}\nclasses: [{name: map, wanted: 100ms, deadline: 1s}]\nchecks: [{in_time: 0.01}, {in_time: 0.9}, {class: map, refused: 0}, {late: 0}, {p99: 10ms}]\n"
	text = strings.Replace(text, "load: {rate: 100}\n", "", 1)
	r := play(t, text, 1)
	if len(r.FailedChecks) != 4 {
		t.Errorf("%q", r.FailedChecks)
	}
	for i, want := range []string{"checks[1], phase 0, all classes: 0.", "checks[2], phase 0, map: 0.", "checks[3]", "checks[4], phase 0, all classes: p99"} {
		if i < len(r.FailedChecks) && !strings.Contains(r.FailedChecks[i], want) {
			t.Errorf("%q, want %q", r.FailedChecks[i], want)
		}
	}
	var out bytes.Buffer
	if err := r.Print(&out); err != nil || !strings.Contains(out.String(), "does not hold: checks[1]") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// The experiments that come with the program hold.
func TestShippedExperimentsPassTheirChecks(t *testing.T) {
	if n := len(experiments.Names()); n < 8 {
		t.Errorf("%d experiments", n)
	}
	for _, name := range experiments.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, _ := experiments.Read(name)
			e, err := Parse(name+".yaml", text)
			if err != nil {
				t.Fatal(err)
			}
			if e.Name != name || e.Description == "" || len(e.Checks) == 0 {
				t.Errorf("%+v", e)
			}
			r, err := Simulate(e, 1)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.FailedChecks) > 0 {
				var out bytes.Buffer
				_ = r.Print(&out)
				t.Error(out.String())
			}
		})
	}
}

// Whatever stands in a file, it is refused with errors or can be played.
func FuzzParse(f *testing.F) {
	f.Add(small)
	for _, n := range experiments.Names() {
		text, _ := experiments.Read(n)
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		e, err := Parse("f", []byte(text))
		if err != nil {
			var l config.Errors
			if !errors.As(err, &l) || len(l) == 0 {
				t.Fatalf("%T", err)
			}
			return
		}
		o := e.simulationOptions(1)
		if o.Duration != e.Length.D() || len(o.Classes) == 0 || o.Gateways < 1 {
			t.Fatalf("%+v", o)
		}
	})
}
