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

const smallExperiment = "name: small\nlength: 3s\nload: {rate: 100}\n"

// Errors name the file and the field. An experiment that would need too much time or memory is rejected as well.
func TestInvalidExperimentsAreRejectedWithTheirField(t *testing.T) {
	for text, want := range map[string]string{
		"":                              "the file is empty",
		"length: 3s\nload: {rate: 1}\n": "x.yaml:1:1: name: is missing",
		"name: a\nlength: 9000h\nload: {rate: 1}\n":                           "x.yaml:2:9: length: want 1s to 1h0m0s",
		smallExperiment + "fleet: {servers: 3000}\n":                          "fleet.servers: want 1 to 2000",
		smallExperiment + "fleet: {servers: 1000}\ngateways: {number: 300}\n": "fleet: 1000 servers before 300 gateways",
		smallExperiment + "fleet: {zones: [a, a]}\n":                          `fleet.zones[1]: "a" is empty or stands twice`,
		"name: a\nlength: 1h\nload: {rate: 1000000}\n":                        "load.times: a peak of 1000000 requests a second over 1h0m0s, 100000000 requests at most",
		"name: a\nload: {bursts: [{every: 1ms, size: 1000000}]}\n":            "requests, 5000000 at most",
		"name: a\nload: {bursts: [{every: 1us, size: 1}]}\n":                  "load.bursts[0].every: want 1ms at least",
		"name: a\n":                                "load: asks for nothing",
		"name: a\nload: {rate: -1}\n":              "load.rate: want 0 to",
		"name: a\nload: {rate: 1, again: never}\n": `load.again: want one of`,
		"name: a\nload: {rate: 1, times: [{from: 2s, to: 1s, by: 2}]}\n":          "load.times[0]: from 2s to 1s",
		smallExperiment + "gateways: {zones: far}\n":                              "gateways.zones: want one of",
		smallExperiment + "gateways: {admission: some}\n":                         "gateways.admission: want one of",
		smallExperiment + "classes: [{name: a, part: 0.5}]\n":                     "classes: their parts add up to 0.5",
		smallExperiment + "classes: [{name: a, effect: keyed}]\n":                 "classes[0].window: a keyed class needs it",
		smallExperiment + "classes: [{name: a, wanted: 2s, deadline: 1s}]\n":      "classes[0].wanted: 2s is longer",
		smallExperiment + "phases: [2s, 1s]\n":                                    "phases[1]: 1s: they rise",
		smallExperiment + "events: [{at: 1s, do: kill, zone: b, how: refuses}]\n": "events[0].zone: want one of [a]",
		smallExperiment + "events: [{at: 1s, do: kill, zone: a}]\n":               "events[0].how: want refuses",
		smallExperiment + "events: [{at: 1s, do: dance, zone: a}]\n":              "events[0].do: want one of",
		smallExperiment + "events: [{at: 1s, do: restart, count: 2}]\n":           "events[0]: every and count are for flap",
		smallExperiment + "gateways: {source: {places: -1}}\n":                    "gateways.source.places: want 0 to",
		smallExperiment + "events: [{at: 9s, do: revive, zone: a}]\n":             "events[0].at: 9s is not before the end",
		smallExperiment + "events: [{at: 1s, do: slow, zone: a}]\n":               "events[0].by: want 0.001",
		smallExperiment + "checks: [{phase: 1, in_time: 1}]\n":                    "checks[0].phase: there is no phase 1",
		smallExperiment + "checks: [{class: x, in_time: 1}]\n":                    `checks[0].class: there is no class "x"`,
		smallExperiment + "checks: [{phase: 0}]\n":                                "checks[0]: checks nothing",
		smallExperiment + "checks: [{in_time: 2}]\n":                              "checks[0].in_time: want 0 to 1",
		smallExperiment + "speed: 3\n":                                            "x.yaml:4:1: speed: there is no such field",
	} {
		_, err := Parse("x.yaml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "x.yaml") {
			t.Errorf("Parse(%q) = %v, want an error in x.yaml that contains %q", text, err, want)
		}
	}
}

// simulateText parses an experiment and simulates it with a number of seeds.
func simulateText(t *testing.T, text string, seeds int) *Report {
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

// The same seed gives the same report, and another seed another report. Each request has one outcome, and a report over two seeds counts
// the requests of both.
func TestSameSeedGivesSameReport(t *testing.T) {
	text := smallExperiment + "gateways: {number: 3}\nphases: [1s]\nevents: [{at: 1s, do: kill, zone: a, how: silent, part: 0.5}]\n"
	first, repeated := simulateText(t, text, 1), simulateText(t, text, 1)
	var firstJSON, secondJSON bytes.Buffer
	if err := errors.Join(first.JSON(&firstJSON), repeated.JSON(&secondJSON)); err != nil || firstJSON.String() != secondJSON.String() {
		t.Errorf("two reports of the same seed differ, want equal JSON; error %v", err)
	}
	other := simulateText(t, text+"seed: 2\n", 1)
	if reflect.DeepEqual(first.Phases[1].All.Requests, other.Phases[1].All.Requests) && first.Phases[0].All.Requests == other.Phases[0].All.Requests {
		t.Error("seeds 1 and 2: got the same number of requests in each phase, want different ones")
	}
	both := simulateText(t, text, 2)
	for i, phase := range both.Phases {
		if outcome := phase.All; outcome.Requests != outcome.InTime+outcome.Late+outcome.Rejected+outcome.Failed || outcome.Requests != first.Phases[i].All.Requests+other.Phases[i].All.Requests {
			t.Errorf("phase %d over both seeds = %+v, want one outcome for each request, and %d and %d requests", i, outcome, first.Phases[i].All.Requests, other.Phases[i].All.Requests)
		}
	}
}

// Gateways that are restarted together wait for an endpoint source that serves one call at a time. The report measures the time until
// the last gateway is ready; without the limit of the source, all gateways would be ready immediately. Each request has one outcome.
func TestRestartedGatewaysWaitForEndpointSource(t *testing.T) {
	text := smallExperiment + "length: 8s\nfleet: {connect: 5ms}\ngateways: {number: 20, source: {places: 1, takes: 100ms, patience: 300ms}}\n" +
		"classes: [{name: buy, effect: keyed, window: 4s}]\nevents: [{at: 1s, do: restart, part: 0.8, down: 200ms}]\nchecks: [{back: 1s}, {connects: 0.001}]\n"
	text = strings.Replace(text, "length: 3s\n", "", 1)
	report := simulateText(t, text, 2)
	// The 16 restarted gateways each need a call of 100ms, one after the other.
	if report.RestartTime < 1600*time.Millisecond || len(report.FailedChecks) != 2 || !strings.Contains(report.FailedChecks[0], "a gateway was ready") {
		t.Errorf("RestartTime = %v, FailedChecks = %q; want at least 1.6s and two failed checks, the first about the readiness of a gateway", report.RestartTime, report.FailedChecks)
	}
	if outcome := report.Phases[0].All; outcome.Requests != outcome.InTime+outcome.Late+outcome.Rejected+outcome.Failed || outcome.Failed == 0 || outcome.Failed > outcome.Requests/50 {
		t.Errorf("outcome %+v, want one outcome for each request, and failures only of requests in flight at a killed gateway", outcome)
	}
}

// A report names the checks that failed, and only these.
func TestFailedChecksAreReported(t *testing.T) {
	text := smallExperiment + "fleet: {service: 40ms}\ngateways: {admission: off}\nload: {rate: 400}\nclasses: [{name: map, wanted: 100ms, deadline: 1s}]\nchecks: [{in_time: 0.01}, {in_time: 0.9}, {class: map, refused: 0}, {late: 0}, {p99: 10ms}]\n"
	text = strings.Replace(text, "load: {rate: 100}\n", "", 1)
	report := simulateText(t, text, 1)
	if len(report.FailedChecks) != 4 {
		t.Errorf("FailedChecks = %q, want 4 of the 5 checks", report.FailedChecks)
	}
	for i, want := range []string{"checks[1], phase 0, all classes: 0.", "checks[2], phase 0, map: 0.", "checks[3]", "checks[4], phase 0, all classes: p99"} {
		if i < len(report.FailedChecks) && !strings.Contains(report.FailedChecks[i], want) {
			t.Errorf("FailedChecks[%d] = %q, want it to contain %q", i, report.FailedChecks[i], want)
		}
	}
	var out bytes.Buffer
	if err := report.Print(&out); err != nil || !strings.Contains(out.String(), "does not hold: checks[1]") {
		t.Errorf("Print: error %v, want none and the failed checks in the output:\n%s", err, out.String())
	}
}

// The experiments that are embedded in the program pass their checks on the simulated engine.
func TestShippedExperimentsPassTheirChecks(t *testing.T) {
	if count := len(experiments.Names()); count < 8 {
		t.Errorf("%d embedded experiments, want at least 8", count)
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
				t.Errorf("experiment %s = %+v, want its file's name, a description and checks", name, e)
			}
			report, err := Simulate(e, 1)
			if err != nil {
				t.Fatal(err)
			}
			if len(report.FailedChecks) > 0 {
				var out bytes.Buffer
				_ = report.Print(&out)
				t.Error(out.String())
			}
		})
	}
}

// Any text is either rejected with config.Errors or gives an experiment that can be simulated.
func FuzzParse(f *testing.F) {
	f.Add(smallExperiment)
	for _, name := range experiments.Names() {
		text, _ := experiments.Read(name)
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		e, err := Parse("f", []byte(text))
		if err != nil {
			var errs config.Errors
			if !errors.As(err, &errs) || len(errs) == 0 {
				t.Fatalf("Parse returned an error of type %T, want config.Errors with at least one error", err)
			}
			return
		}
		options := e.simulationOptions(1)
		if options.Duration != e.Length.D() || len(options.Classes) == 0 || options.Gateways < 1 {
			t.Fatalf("simulation options %+v, want the length of the experiment, a class and a gateway", options)
		}
	})
}
