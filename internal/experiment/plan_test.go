package experiment

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"robindrum/internal/capture"
)

// generateCapture returns a capture of a Poisson load with two classes and Zipf-distributed keys.
func generateCapture(rate float64, length time.Duration, sampleRate float64) *capture.Capture {
	rng := rand.New(rand.NewPCG(3, 4))
	zipf := rand.NewZipf(rng, 1.5, 1, 999)
	result := &capture.Capture{Header: capture.Header{Version: 1, SampleRate: sampleRate}, Length: length, Complete: true}
	for at := time.Duration(0); ; {
		if at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)); at >= length {
			return result
		}
		record := capture.Record{ArrivalMicros: at.Microseconds(), Class: "map", Key: fmt.Sprint("k", zipf.Uint64()), LatencyMicros: 20_000, Outcome: capture.Served}
		if rng.IntN(4) == 0 {
			record.Class, record.LatencyMicros = "hold", 40_000
		}
		if rng.Float64() < sampleRate {
			result.Records = append(result.Records, record)
		}
	}
}

// writeCapture writes a capture, with its text changed by edit, to a file and returns the path.
func writeCapture(t *testing.T, c *capture.Capture, edit func(string) string) string {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "{\"robindrum_capture\":1,\"began\":\"2026-12-01T09:00:00Z\",\"sample\":%v}\n", c.SampleRate)
	for _, record := range c.Records {
		fmt.Fprintf(&b, "{\"t\":%d,\"c\":%q,\"k\":%q,\"d\":%d,\"o\":%q}\n", record.ArrivalMicros, record.Class, record.Key, record.LatencyMicros, record.Outcome)
	}
	path := filepath.Join(t.TempDir(), "c.capture")
	if err := os.WriteFile(path, []byte(edit(b.String())), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const twoClasses = "classes: [{name: map, part: 0.5, wanted: 200ms}, {name: hold, part: 0.5, wanted: 200ms, effect: keyed, window: 4s}]\n"

// A trace replays a capture unchanged, at another speed or as a multiple of its load. The replay compensates for sampling.
func TestTraceReplay(t *testing.T) {
	c := generateCapture(200, 20*time.Second, 1)
	for _, test := range []struct {
		sampleRate, speed, multiplier float64
	}{{1, 1, 1}, {1, 2, 1}, {1, 1, 2.5}, {0.2, 1, 1}, {0.2, 4, 0.5}} {
		source := c
		if test.sampleRate < 1 {
			source = generateCapture(200, 20*time.Second, test.sampleRate)
		}
		e := mustParse(t, "name: a\nlength: 20s\nload: {rate: 1}\n"+twoClasses)
		if err := e.setTrace(source, &Trace{Speed: test.speed, Multiplier: test.multiplier, UnknownClasses: "refuse"}); err != nil {
			t.Fatal(err)
		}
		count, last, secondClass := 0, time.Duration(0), 0
		for load := e.arrivals(1); ; count++ {
			request, ok := load.take()
			if !ok {
				break
			}
			if request.at < last || request.key == "" {
				t.Fatalf("request %+v after one at %v, want increasing times and a key", request, last)
			}
			if last = request.at; request.class == 1 {
				secondClass++
			}
		}
		want := 200 * 20 * test.multiplier
		if math.Abs(float64(count)/want-1) > 0.08 || math.Abs(float64(secondClass)/float64(count)-0.25) > 0.03 || last > time.Duration(20/test.speed*1.1*float64(time.Second))+copySpread {
			t.Errorf("replay %+v: %d requests, want about %.0f; %d of the second class, want a quarter; the last at %v", test, count, want, secondClass, last)
		}
		if test.sampleRate == 1 && test.multiplier == 1 && count != len(c.Records) {
			t.Errorf("replay %+v: %d requests, want one for each of %d records", test, count, len(c.Records))
		}
	}
}

// Unusable traces are rejected. A trace whose last line is incomplete, or whose unknown classes are dropped, is accepted.
func TestTraceFiles(t *testing.T) {
	c := generateCapture(100, 12*time.Second, 1)
	for name, test := range map[string]struct {
		load, want string
		edit       func(string) string
	}{
		"an unchanged capture":    {"", "", func(s string) string { return s }},
		"an incomplete last line": {"", "", func(s string) string { return s[:len(s)-5] }},
		"an unknown version":      {"", "load.trace.file: ", func(s string) string { return strings.Replace(s, "capture\":1", "capture\":9", 1) }},
		"decreasing times":        {"", "time goes back", func(s string) string { return s + strings.Split(s, "\n")[1] + "\n" }},
		"an unknown class":        {"", "load.trace: classes that the experiment has not: [old (1 records)]", func(s string) string { return strings.Replace(s, `"map"`, `"old"`, 1) }},
		"a dropped unknown class": {", unknown: drop", "", func(s string) string { return strings.Replace(s, `"map"`, `"old"`, 1) }},
		"too many requests":       {", by: 1000, speed: 0.5", "requests, 5000000 at most", func(s string) string { return s + strings.Repeat(strings.Split(s, "\n")[1100]+"\n", 4000) }},
		"a rate in addition":      {"}, rate: 5, on_off: {on: 1s, off: 1s", "takes the place of rate", func(s string) string { return s }},
	} {
		path := writeCapture(t, c, test.edit)
		e, err := Parse("x.yaml", []byte(fmt.Sprintf("name: a\nload: {trace: {file: %q%s}}\n", path, test.load)+twoClasses))
		if test.want == "" {
			if err != nil || e.Length.D() < 11*time.Second || e.Length.D() > 13*time.Second {
				t.Errorf("trace %q: error %v or a wrong length, want no error and 11s to 13s", name, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("trace %q: error %v, want one that contains %q", name, err, test.want)
		}
	}
}

// The fitted model has the rate, classes, keys and gap of the generated load, with and without sampling.
func TestFitRecoversTheLoadModel(t *testing.T) {
	for _, sampleRate := range []float64{1, 0.3} {
		c := generateCapture(300, time.Minute, sampleRate)
		for i := range c.Records {
			if c.Records[i].ArrivalMicros > 30_000_000 {
				c.Records[i].ArrivalMicros += 5_000_000
			}
		}
		c.Length += 5 * time.Second
		model := Fit(c)
		if math.Abs(model.Rate/(300*60.0/65)-1) > 0.05 || len(model.Classes) != 2 || model.Classes[0].Name != "map" || math.Abs(model.Classes[0].LoadShare-0.75) > 0.02 ||
			model.Classes[0].MeanLatency != 20*time.Millisecond || model.Keys < 300 || model.ZipfExponent < 0.8 || model.ZipfExponent > 2 {
			t.Errorf("sample rate %v: Fit = %+v, want the parameters of the generated load", sampleRate, model)
		}
		if len(model.Gaps) != 1 || model.Gaps[0].Duration < 4900*time.Millisecond || model.Gaps[0].Duration > 5200*time.Millisecond {
			t.Errorf("sample rate %v: gaps %v, want one of about 5s", sampleRate, model.Gaps)
		}
	}
	poisson := Fit(generateCapture(300, 2*time.Minute, 1))
	if poisson.Burstiness < 0.7 || poisson.Burstiness > 1.4 || len(poisson.Gaps) != 0 {
		t.Errorf("Fit of a Poisson load = %+v, want a burstiness near 1 and no gaps", poisson)
	}
}

const hallFleet = `name: hall
fleet: {zones: [a, b], servers: 3, workers: 1}
gateways: {number: 2, zones: tiers}
classes:
  - {name: map, part: 0.5, wanted: 250ms, deadline: 2s, service: 20ms}
  - {name: hold, part: 0.5, wanted: 250ms, deadline: 2s, service: 40ms, effect: keyed, window: 4s}
`

// mustOpenFleet writes a fleet to a file and opens it.
func mustOpenFleet(t *testing.T, text string) *Experiment {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	e, err := OpenFleet(path)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// The figures of a plan are consistent: the breaking rate is below the capacity, a higher rate needs more servers, and the loss of a zone
// reduces the requests in time at a high rate.
func TestPlanIsConsistent(t *testing.T) {
	e, c := mustOpenFleet(t, hallFleet), generateCapture(100, 12*time.Second, 1)
	plan, err := MakePlan(e, c, PlanOptions{Goals: []Goal{{Class: "map", InTime: 0.99}}, Seeds: 1})
	if err != nil {
		t.Fatal(err)
	}
	// 6 workers at 25 ms per request on average serve 240 requests per second.
	if math.Abs(plan.Capacity-240) > 10 || plan.BreakingRate.Median < 0.4*plan.Capacity || plan.BreakingRate.Median > plan.Capacity || plan.BreakingRate.ExceedsRange || plan.BreakingGoal == "" {
		t.Errorf("capacity = %v, want about 240; breaking rate = %+v, want 0.4 to 1 times the capacity; breaking goal = %q", plan.Capacity, plan.BreakingRate, plan.BreakingGoal)
	}
	if plan.MinServersByWork != 3 || plan.ServersNeeded.Median < 3 || plan.ServersNeeded.Median > 6 || len(plan.ZoneLosses) != 2 {
		t.Errorf("MinServersByWork = %d, want 3; ServersNeeded = %+v, want 3 to 6; ZoneLosses = %+v, want 2", plan.MinServersByWork, plan.ServersNeeded, plan.ZoneLosses)
	}
	more, err := MakePlan(e, c, PlanOptions{Goals: []Goal{{Class: "map", InTime: 0.99}}, Seeds: 1, Rate: 200})
	if err != nil || more.ServersNeeded.Low <= plan.ServersNeeded.High || more.ZoneLosses[0].GoalsMet || more.ZoneLosses[0].InTime.High > 0.9 {
		t.Errorf("plan for twice the rate: error %v, ServersNeeded = %+v, ZoneLosses = %+v; want more servers and a missed goal", err, more.ServersNeeded, more.ZoneLosses)
	}
	var out bytes.Buffer
	if err := plan.Print(&out); err != nil || !strings.Contains(out.String(), "breaks at") || !strings.Contains(out.String(), "without zone b") || !strings.Contains(out.String(), "It rests on this") {
		t.Errorf("Print: error %v, output:\n%s\nwant the breaking rate, the zone losses and the assumptions", err, out.String())
	}
}

// A goal that no number of servers meets, an unsuitable capture and an invalid goal give an error instead of a plan.
func TestImpossiblePlansAreRejected(t *testing.T) {
	long := generateCapture(400, 20*time.Second, 1)
	for want, test := range map[string]struct {
		fleet    string
		recorded *capture.Capture
		options  PlanOptions
	}{
		"cannot be had with any number of servers: alone at the fastest one": {strings.Replace(hallFleet, "wanted: 250ms", "wanted: 30ms", 1), long, PlanOptions{Goals: []Goal{{"map", 0.99}}}},
		"too short to tell: 100 requests over 20s":                           {hallFleet, &capture.Capture{Header: long.Header, Length: long.Length, Records: long.Records[:100]}, PlanOptions{}},
		"too short to tell: 800 requests over 2s":                            {hallFleet, &capture.Capture{Header: long.Header, Length: 2 * time.Second, Records: long.Records[:800]}, PlanOptions{}},
		`there is no class "pay"`:                                            {hallFleet, long, PlanOptions{Goals: []Goal{{"pay", 0.9}}}},
		`requests of class "hold", which hall has not`:                       {strings.Replace(strings.Replace(hallFleet, "name: hold", "name: held", 1), "x", "x", 1), long, PlanOptions{}},
	} {
		if _, err := MakePlan(mustOpenFleet(t, test.fleet), test.recorded, test.options); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("MakePlan = %v, want an error that contains %q", err, want)
		}
	}
	for _, text := range []string{"", "a=", "a=1", "a=0", "2", "a=NaN", "=x"} {
		if goal, err := ParseGoal(text); err == nil {
			t.Errorf("ParseGoal(%q) = %+v, want an error", text, goal)
		}
	}
	if goal, err := ParseGoal("seat-hold=0.95"); err != nil || goal != (Goal{"seat-hold", 0.95}) {
		t.Errorf("ParseGoal(\"seat-hold=0.95\") = %+v, %v, want class seat-hold and 0.95", goal, err)
	}
}
