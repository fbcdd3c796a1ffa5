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

// captured makes a capture: a Poisson load of two classes, with keys of a Zipf spread.
func captured(rate float64, length time.Duration, sample float64) *capture.Capture {
	rng := rand.New(rand.NewPCG(3, 4))
	zipf := rand.NewZipf(rng, 1.5, 1, 999)
	c := &capture.Capture{Header: capture.Header{Version: 1, SampleRate: sample}, Length: length, Complete: true}
	for at := time.Duration(0); ; {
		if at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)); at >= length {
			return c
		}
		r := capture.Record{ArrivalMicros: at.Microseconds(), Class: "map", Key: fmt.Sprint("k", zipf.Uint64()), LatencyMicros: 20_000, Outcome: capture.Served}
		if rng.IntN(4) == 0 {
			r.Class, r.LatencyMicros = "hold", 40_000
		}
		if rng.Float64() < sample {
			c.Records = append(c.Records, r)
		}
	}
}

func save(t *testing.T, c *capture.Capture, with func(string) string) string {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "{\"robindrum_capture\":1,\"began\":\"2026-12-01T09:00:00Z\",\"sample\":%v}\n", c.SampleRate)
	for _, r := range c.Records {
		fmt.Fprintf(&b, "{\"t\":%d,\"c\":%q,\"k\":%q,\"d\":%d,\"o\":%q}\n", r.ArrivalMicros, r.Class, r.Key, r.LatencyMicros, r.Outcome)
	}
	path := filepath.Join(t.TempDir(), "c.capture")
	if err := os.WriteFile(path, []byte(with(b.String())), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const twoClasses = "classes: [{name: map, part: 0.5, wanted: 200ms}, {name: hold, part: 0.5, wanted: 200ms, effect: keyed, window: 4s}]\n"

// A capture replays as it was, at another speed and as a multiple; sampling is made up for.
func TestTraceReplay(t *testing.T) {
	c := captured(200, 20*time.Second, 1)
	for _, k := range []struct {
		sample, speed, by float64
	}{{1, 1, 1}, {1, 2, 1}, {1, 1, 2.5}, {0.2, 1, 1}, {0.2, 4, 0.5}} {
		from := c
		if k.sample < 1 {
			from = captured(200, 20*time.Second, k.sample)
		}
		e := parsed(t, "name: a\nlength: 20s\nload: {rate: 1}\n"+twoClasses)
		if err := e.setTrace(from, &Trace{Speed: k.speed, Multiplier: k.by, UnknownClasses: "refuse"}); err != nil {
			t.Fatal(err)
		}
		n, last, hold := 0, time.Duration(0), 0
		for a := e.arrivals(1); ; n++ {
			x, ok := a.take()
			if !ok {
				break
			}
			if x.at < last || x.key == "" {
				t.Fatalf("%+v behind %v", x, last)
			}
			if last = x.at; x.class == 1 {
				hold++
			}
		}
		want := 200 * 20 * k.by
		if math.Abs(float64(n)/want-1) > 0.08 || math.Abs(float64(hold)/float64(n)-0.25) > 0.03 || last > time.Duration(20/k.speed*1.1*float64(time.Second))+copySpread {
			t.Errorf("%+v: %d requests, want %.0f; %d of the second class; the last at %v", k, n, want, hold, last)
		}
		if k.sample == 1 && k.by == 1 && n != len(c.Records) {
			t.Errorf("%+v: %d of %d records", k, n, len(c.Records))
		}
	}
}

// Traces that cannot be used, and ones that can though something is odd about them.
func TestTraceFiles(t *testing.T) {
	c := captured(100, 12*time.Second, 1)
	for name, k := range map[string]struct {
		load, want string
		with       func(string) string
	}{
		"as it is":                {"", "", func(s string) string { return s }},
		"a cut last line":         {"", "", func(s string) string { return s[:len(s)-5] }},
		"an unknown version":      {"", "load.trace.file: ", func(s string) string { return strings.Replace(s, "capture\":1", "capture\":9", 1) }},
		"time that goes back":     {"", "time goes back", func(s string) string { return s + strings.Split(s, "\n")[1] + "\n" }},
		"a class that is no more": {"", "load.trace: classes that the experiment has not: [old (1 records)]", func(s string) string { return strings.Replace(s, `"map"`, `"old"`, 1) }},
		"the same, left out":      {", unknown: drop", "", func(s string) string { return strings.Replace(s, `"map"`, `"old"`, 1) }},
		"too much":                {", by: 1000, speed: 0.5", "requests, 5000000 at most", func(s string) string { return s + strings.Repeat(strings.Split(s, "\n")[1100]+"\n", 4000) }},
		"a rate beside it":        {"}, rate: 5, on_off: {on: 1s, off: 1s", "takes the place of rate", func(s string) string { return s }},
	} {
		path := save(t, c, k.with)
		e, err := Parse("x.yaml", []byte(fmt.Sprintf("name: a\nload: {trace: {file: %q%s}}\n", path, k.load)+twoClasses))
		if k.want == "" {
			if err != nil || e.Length.D() < 11*time.Second || e.Length.D() > 13*time.Second {
				t.Errorf("%s: %v", name, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), k.want) {
			t.Errorf("%s: %v, want %q", name, err, k.want)
		}
	}
}

// What was put into a load is read out of its capture, sampled or not; a gap is named.
func TestFitRecoversTheLoadModel(t *testing.T) {
	for _, sample := range []float64{1, 0.3} {
		c := captured(300, time.Minute, sample)
		for i := range c.Records {
			if c.Records[i].ArrivalMicros > 30_000_000 {
				c.Records[i].ArrivalMicros += 5_000_000
			}
		}
		c.Length += 5 * time.Second
		f := Fit(c)
		if math.Abs(f.Rate/(300*60.0/65)-1) > 0.05 || len(f.Classes) != 2 || f.Classes[0].Name != "map" || math.Abs(f.Classes[0].LoadShare-0.75) > 0.02 ||
			f.Classes[0].MeanLatency != 20*time.Millisecond || f.Keys < 300 || f.ZipfExponent < 0.8 || f.ZipfExponent > 2 {
			t.Errorf("sample %v: %+v", sample, f)
		}
		if len(f.Gaps) != 1 || f.Gaps[0].Duration < 4900*time.Millisecond || f.Gaps[0].Duration > 5200*time.Millisecond {
			t.Errorf("sample %v: gaps %v", sample, f.Gaps)
		}
	}
	poisson := Fit(captured(300, 2*time.Minute, 1))
	if poisson.Burstiness < 0.7 || poisson.Burstiness > 1.4 || len(poisson.Gaps) != 0 {
		t.Errorf("a Poisson load: %+v", poisson)
	}
}

const planned = `name: hall
fleet: {zones: [a, b], servers: 3, workers: 1}
gateways: {number: 2, zones: tiers}
classes:
  - {name: map, part: 0.5, wanted: 250ms, deadline: 2s, service: 20ms}
  - {name: hold, part: 0.5, wanted: 250ms, deadline: 2s, service: 40ms, effect: keyed, window: 4s}
`

func fleetFile(t *testing.T, text string) *Experiment {
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

// A plan holds together: the rate at which it breaks is below what the work allows, more is needed for more, and a zone's
// loss is told apart from none.
func TestPlanIsConsistent(t *testing.T) {
	e, c := fleetFile(t, planned), captured(100, 12*time.Second, 1)
	p, err := MakePlan(e, c, PlanOptions{Goals: []Goal{{Class: "map", InTime: 0.99}}, Seeds: 1})
	if err != nil {
		t.Fatal(err)
	}
	// 6 workers, 25 ms on average: 240 a second.
	if math.Abs(p.Capacity-240) > 10 || p.BreakingRate.Median < 0.4*p.Capacity || p.BreakingRate.Median > p.Capacity || p.BreakingRate.ExceedsRange || p.BreakingGoal == "" {
		t.Errorf("capacity %v, breaks at %+v, %q", p.Capacity, p.BreakingRate, p.BreakingGoal)
	}
	if p.MinServersByWork != 3 || p.ServersNeeded.Median < 3 || p.ServersNeeded.Median > 6 || len(p.ZoneLosses) != 2 {
		t.Errorf("%d by work, needed %+v, losses %+v", p.MinServersByWork, p.ServersNeeded, p.ZoneLosses)
	}
	more, err := MakePlan(e, c, PlanOptions{Goals: []Goal{{Class: "map", InTime: 0.99}}, Seeds: 1, Rate: 200})
	if err != nil || more.ServersNeeded.Low <= p.ServersNeeded.High || more.ZoneLosses[0].GoalsMet || more.ZoneLosses[0].InTime.High > 0.9 {
		t.Errorf("%v: at twice the rate %+v servers, losses %+v", err, more.ServersNeeded, more.ZoneLosses)
	}
	var out bytes.Buffer
	if err := p.Print(&out); err != nil || !strings.Contains(out.String(), "breaks at") || !strings.Contains(out.String(), "without zone b") || !strings.Contains(out.String(), "It rests on this") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// What cannot be had, or told, is said in place of a number.
func TestImpossiblePlansAreRejected(t *testing.T) {
	long := captured(400, 20*time.Second, 1)
	for want, k := range map[string]struct {
		fleet string
		c     *capture.Capture
		o     PlanOptions
	}{
		"cannot be had with any number of servers: alone at the fastest one": {strings.Replace(planned, "wanted: 250ms", "wanted: 30ms", 1), long, PlanOptions{Goals: []Goal{{"map", 0.99}}}},
		"too short to tell: 100 requests over 20s":                           {planned, &capture.Capture{Header: long.Header, Length: long.Length, Records: long.Records[:100]}, PlanOptions{}},
		"too short to tell: 800 requests over 2s":                            {planned, &capture.Capture{Header: long.Header, Length: 2 * time.Second, Records: long.Records[:800]}, PlanOptions{}},
		`there is no class "pay"`:                                            {planned, long, PlanOptions{Goals: []Goal{{"pay", 0.9}}}},
		`requests of class "hold", which hall has not`:                       {strings.Replace(strings.Replace(planned, "name: hold", "name: held", 1), "x", "x", 1), long, PlanOptions{}},
	} {
		if _, err := MakePlan(fleetFile(t, k.fleet), k.c, k.o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	for _, text := range []string{"", "a=", "a=1", "a=0", "2", "a=NaN", "=x"} {
		if g, err := ParseGoal(text); err == nil {
			t.Errorf("%q: %+v", text, g)
		}
	}
	if g, err := ParseGoal("seat-hold=0.95"); err != nil || g != (Goal{"seat-hold", 0.95}) {
		t.Errorf("%+v, %v", g, err)
	}
}
