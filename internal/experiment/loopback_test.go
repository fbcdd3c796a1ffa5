package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robindrum/internal/config"
	"robindrum/internal/testbed"
)

// binary builds the program once.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "robindrum-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "robindrum")
	out, err := exec.Command("go", "build", "-o", path, "robindrum/cmd/robindrum").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

func parsed(t testing.TB, text string) *Experiment {
	t.Helper()
	e, err := Parse("x.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func live(t *testing.T, ctx context.Context, text string, opt LoopbackOptions) *Report {
	t.Helper()
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
	testbed.Leaks(t)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	opt.Binary = path
	r, err := RunLoopback(ctx, parsed(t, text), 1, opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Both engines get the same requests, and each request ends once in both, also while half of the servers die, drain and
// return and the control plane is away.
func TestBothEnginesRunTheSameRequests(t *testing.T) {
	text := `name: both
length: 4s
fleet: {zones: [a, b], servers: 2, warm_up: 500ms, link: {delay: 1ms, jitter: 1ms, loss: 0.02, bandwidth: 1MiB}}
gateways: {number: 2, zones: tiers, source: {places: 1, takes: 50ms, patience: 2s}}
classes:
  - {name: map, part: 0.7, wanted: 500ms, deadline: 2s, distribution: lognormal, answer: 2KiB}
  - {name: hold, part: 0.2, wanted: 500ms, deadline: 2s, effect: keyed, group: zone, window: 4s}
  - {name: pay, part: 0.1, wanted: 500ms, deadline: 2s, effect: unsafe}
load: {rate: 150, bursts: [{at: 500ms, size: 20}], clients: 3, think: 50ms, keys: {number: 10}, again: heeds}
events:
  - {at: 1s, do: kill, zone: a, how: refuses, part: 0.5}
  - {at: 1500ms, do: away}
  - {at: 1700ms, do: back}
  - {at: 2s, do: revive, zone: a, renamed: 1, late: 100ms}
  - {at: 2500ms, do: drain, zone: b, part: 0.5}
  - {at: 3s, do: undrain, zone: b}
  - {at: 2800ms, do: restart, part: 0.5, down: 200ms}
  - {at: 3200ms, do: slow, zone: b, by: 2}
phases: [1s, 2s]
`
	e := parsed(t, text)
	want := 0
	for a := e.arrivals(1); ; want++ {
		if _, ok := a.take(); !ok {
			break
		}
	}
	sim, err := Simulate(e, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Report{sim, live(t, t.Context(), text, LoopbackOptions{})} {
		if r.RestartTime <= 0 || r.RestartTime > 3*time.Second {
			t.Errorf("%s: the gateway that was killed was back after %v", r.Engine, r.RestartTime)
		}
		o := r.all()
		if o.Requests < want+20 || o.Requests > want+400 || o.Requests != o.InTime+o.Late+o.Rejected+o.Failed+o.Lost {
			t.Errorf("%s: %+v, want each of %d and those of three clients to end once", r.Engine, o, want)
		}
		if len(r.FailedChecks) > 0 || o.fraction(o.InTime) < 0.9 {
			t.Errorf("%s: %q, %.3f in time", r.Engine, r.FailedChecks, o.fraction(o.InTime))
		}
		sends := 0
		for i := range r.Series {
			for _, n := range r.Series[i].Attempts {
				sends += n
			}
		}
		if sends < o.InTime+o.Late || len(r.Servers()) != 4 {
			t.Errorf("%s: %d attempts for %d answers, at %v", r.Engine, sends, o.InTime+o.Late, r.Servers())
		}
	}
}

// A gateway that dies, and an interrupt in the middle: what was measured is in the report, which says why it ended early,
// and nothing of the run is left behind.
func TestRunThatEndsEarlyReportsWhatItMeasured(t *testing.T) {
	const text = "name: early\nlength: 60s\ngateways: {number: 2}\nload: {rate: 100}\n"
	for want, how := range map[string]func(*loopbackRun, context.CancelFunc){
		"gateway 1 ended by itself": func(p *loopbackRun, _ context.CancelFunc) { p.gateways[1].Signal(syscall.SIGKILL) },
		"context canceled":          func(_ *loopbackRun, cancel context.CancelFunc) { cancel() },
	} {
		t.Run(want, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			began := time.Now()
			var play *loopbackRun
			r := live(t, ctx, text, LoopbackOptions{started: func(p *loopbackRun) { play = p }, Progress: func(Progress) { how(play, cancel) }})
			if !strings.Contains(r.EndedEarly, want) || len(r.FailedChecks) == 0 || time.Since(began) > 30*time.Second {
				t.Errorf("after %v: %q, %q", time.Since(began), r.EndedEarly, r.FailedChecks)
			}
			if o := r.all(); o.InTime < 50 || o.InTime > 200 {
				t.Errorf("%+v, after a second of 100 requests", o)
			}
			for _, c := range play.gateways {
				select {
				case <-c.Exited:
				default:
					t.Errorf("gateway %d still runs", c.number)
				}
			}
		})
	}
}

// A generator with too much in flight says that the figures are its own.
func TestGeneratorReportsThatItIsTheBottleneck(t *testing.T) {
	text := "name: slow\nlength: 1500ms\nfleet: {service: 1s, distribution: constant, workers: 100}\nload: {rate: 100}\nclasses: [{name: a, wanted: 1s, deadline: 3s}]\n"
	r := live(t, t.Context(), text, LoopbackOptions{maxInFlight: 10})
	if !r.Generator.Bottleneck || r.Generator.Dropped < 50 || !strings.Contains(strings.Join(r.FailedChecks, "\n"), "generator was too slow") {
		t.Errorf("%v, %q", r.Generator, r.FailedChecks)
	}
	if o := r.all(); o.Requests+r.Generator.Dropped != r.Generator.Requests {
		t.Errorf("%d asked of the gateway, %v", o.Requests, r.Generator)
	}
}

// The gateway's own process cannot start: the report says what it said.
func TestGatewayThatCannotStart(t *testing.T) {
	e := parsed(t, small)
	r, err := RunLoopback(t.Context(), e, 1, LoopbackOptions{Binary: "/bin/false"})
	if err != nil || !strings.Contains(r.EndedEarly, "gateway 0 ended by itself: exit status 1") {
		t.Errorf("%v, %+v", err, r)
	}
	if r, err = RunLoopback(t.Context(), e, 1, LoopbackOptions{Binary: "/nowhere/robindrum"}); err != nil || !strings.Contains(r.EndedEarly, "no such file") {
		t.Errorf("%v, %+v", err, r)
	}
}

func TestExperimentsTooLargeForLoopback(t *testing.T) {
	for text, want := range map[string]string{
		"name: a\nlength: 20m\nload: {rate: 1}\n":            "length in seconds: 1200, 600 at most",
		"name: a\nlength: 9m\nload: {rate: 5000}\n":          "requests: 2700000, 1000000 at most",
		"name: a\nlength: 2s\nload: {rate: 30000}\n":         "requests a second: 30000, 20000 at most",
		small + "gateways: {number: 20}\n":                   "gateways: 20, 8 at most",
		small + "fleet: {servers: 65}\n":                     "servers: 65, 64 at most",
		small + "gateways: {admission: estimate}\n":          "a gateway has no estimate",
		"name: a\nload: {rate: 1, clients: 6000, think: 1m}": "clients: 6000, 5000 at most",
	} {
		if _, err := RunLoopback(t.Context(), parsed(t, text), 1, LoopbackOptions{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// A server of the loopback engine: each way to be down, its queue, a late send, and a port that somebody else has taken.
func TestLoopbackServer(t *testing.T) {
	e := parsed(t, "name: a\nlength: 60s\nfleet: {workers: 1, queue: 1, service: 200ms, distribution: constant, cross: 1ms}\nload: {rate: 1}\nclasses: [{name: a, effect: unsafe}]\n")
	p := &loopbackRun{experiment: e, collector: newCollector(e), effects: map[string]map[string]int{}, bodies: map[string][]byte{"a": nil}, startedAt: time.Now()}
	h, err := newLoopbackServer(p, "a-0", &e.Fleet.Groups[0], 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.fail("") })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(id string) string {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address+"/0", nil)
		r.Header.Set("X-Request-Id", id)
		resp, err := client.Do(r)
		if err != nil {
			return map[bool]string{true: "silence", false: "broken"}[ctx.Err() != nil]
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return fmt.Sprint(resp.StatusCode)
	}
	if got := ask("lives"); got != "200" {
		t.Errorf("it lives: %s", got)
	}
	got := make(chan string, 3)
	for range 3 {
		go func() { got <- ask("queue") }()
	}
	if a := []string{<-got, <-got, <-got}; a[0] != "503" || a[1] != "200" || a[2] != "200" {
		t.Errorf("three at once, with one worker and room for one: %v", a)
	}
	for how, want := range map[string]string{"silent": "silence", "says_503": "503", "resets": "broken", "refuses": "broken"} {
		h.fail(how)
		if got := ask(how); got != want {
			t.Errorf("%s: %s", how, got)
		}
		p.mu.Lock()
		if how == "resets" && p.effects["resets"]["a"] != 1 {
			t.Errorf("what is reset after its last byte has run: %v", p.effects)
		}
		p.mu.Unlock()
		if old, err := h.revive(false, p.elapsed()); err != nil || old != h.address {
			t.Errorf("%s: it returns at %s, was at %s: %v", how, h.address, old, err)
		}
	}
	h.mu.Lock()
	h.startedAt, h.drainPublishedAt = 0, 1 // the list said long ago that it drains
	h.mu.Unlock()
	time.Sleep(max(0, time.Until(p.timeAt(1001*time.Millisecond)))) // the grace
	got200 := ask("late")
	p.mu.Lock()
	if got200 != "200" || p.collector.sentAfterDrain != 1 {
		t.Errorf("%s, %d counted as sent after a drain", got200, p.collector.sentAfterDrain)
	}
	p.mu.Unlock()
	h.fail("refuses")
	e.Fleet.WarmUp = 0
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if old, err := h.revive(false, p.elapsed()); err != nil || old == h.address || old != l.Addr().String() {
		t.Errorf("somebody has its port: it returns at %s, was at %s: %v", h.address, old, err)
	}
	if got := ask("elsewhere"); got != "200" {
		t.Errorf("at another port: %s", got)
	}
}

// Three requests come before any of them has gone on: the idle worker is the first one's, the second waits, and only the
// third finds no room. Who leaves while it waits makes room, and a worker that came to it meanwhile is the next one's.
func TestLoopbackServerCountsRequestsInOrder(t *testing.T) {
	e := parsed(t, "name: a\nlength: 60s\nfleet: {workers: 1, queue: 1, service: 200ms}\nload: {rate: 1}\n")
	p := &loopbackRun{experiment: e, collector: newCollector(e), startedAt: time.Now()}
	h, err := newLoopbackServer(p, "a-0", &e.Fleet.Groups[0], 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.fail("") })
	h.mu.Lock()
	defer h.mu.Unlock()
	come := func(want int) chan time.Duration {
		t.Helper()
		status := h.admit(time.Second)
		if status != want {
			t.Errorf("it is answered %d at once, want %d", status, want)
		}
		if status != 0 {
			return nil
		}
		return h.workers.acquire()
	}
	first, second := come(0), come(0)
	come(http.StatusServiceUnavailable)
	if len(first) != 1 || len(second) != 0 {
		t.Errorf("the one worker has come to %d of the first and %d of the second", len(first), len(second))
	}
	h.workers.abandon(second)
	third := come(0)
	come(http.StatusServiceUnavailable)
	<-first
	h.workers.release(7 * time.Second)
	fourth := come(0)
	h.workers.abandon(third) // its worker was there already
	if len(fourth) != 1 || <-fourth != 7*time.Second {
		t.Error("the worker of one that left did not come to the next")
	}
	if p.collector.phases[0].MaxServerRequests != 3 {
		t.Errorf("%d at the server at most, want 3: one at work, one that waits, one turned away", p.collector.phases[0].MaxServerRequests)
	}
}

// Arrivals come in order, within the length, alike for the same seed, as many as the rate gives.
func TestArrivalsFollowTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(50, 2000).Draw(t, "rate")
		until := rapid.Float64Range(0, 4).Draw(t, "until")
		l := Load{Rate: rate, Arrivals: rapid.SampledFrom([]string{"poisson", "constant"}).Draw(t, "arrivals"), RetryMode: "gives_up",
			RateSpans: []RateSpan{{Start: config.Duration(time.Second), End: config.Duration(3 * time.Second), Multiplier: rapid.Float64Range(0, 4).Draw(t, "by"), FinalMultiplier: &until}},
			Bursts:    []Burst{{At: config.Duration(500 * time.Millisecond), Size: rapid.IntRange(1, 50).Draw(t, "size")}}}
		if rapid.Bool().Draw(t, "on off") {
			l.OnOff = &OnOff{config.Duration(200 * time.Millisecond), config.Duration(300 * time.Millisecond)}
		}
		e := &Experiment{Name: "a", Length: config.Duration(6 * time.Second), Load: l}
		e.setDefaults()
		want := float64(l.Bursts[0].Size)
		for at := time.Duration(0); at < e.Length.D(); at += time.Millisecond {
			want += e.rateAt(at) / 1000
		}
		seed := rapid.Uint64().Draw(t, "seed")
		a, b := e.arrivals(seed), e.arrivals(seed)
		n, last := 0, time.Duration(0)
		for {
			x, ok := a.take()
			if y, _ := b.take(); x != y {
				t.Fatalf("%v and %v of the same seed", x, y)
			}
			if !ok {
				break
			}
			if n++; x.at < last || x.at >= e.Length.D() {
				t.Fatalf("at %v behind %v", x.at, last)
			}
			last = x.at
		}
		if off := math.Abs(float64(n) - want); off > 6*math.Sqrt(want)+5 {
			t.Fatalf("%d arrivals, want %.0f", n, want)
		}
	})
}

// Service times have the mean and the variation that they are told.
func TestServiceTimeDistributions(t *testing.T) {
	for kind, want := range map[string]float64{"constant": 0, "exponential": 1, "lognormal": 0.5} {
		d := ServiceTime{MeanServiceTime: config.Duration(20 * time.Millisecond), Distribution: kind, Variation: 0.5}
		rng := rand.New(rand.NewPCG(1, 2))
		const n = 200_000
		sum, squares := 0.0, 0.0
		for range n {
			v := d.draw(rng).Seconds()
			sum, squares = sum+v, squares+v*v
		}
		mean := sum / n
		variation := math.Sqrt(max(squares/n-mean*mean, 0)) / mean
		if math.Abs(mean-0.02) > 0.0002 || math.Abs(variation-want) > 0.02 {
			t.Errorf("%s: mean %v, variation %v, want 0.02 and %v", kind, mean, variation, want)
		}
	}
	g := Group{Speed: 2, Neighbour: &NoisyNeighbour{Start: config.Duration(10 * time.Second), Period: config.Duration(8 * time.Second), Duration: config.Duration(3 * time.Second), SpeedShare: 0.5}}
	for at, want := range map[time.Duration]float64{0: 2, 10 * time.Second: 1, 13 * time.Second: 2, 18 * time.Second: 1, 20999 * time.Millisecond: 1, 21 * time.Second: 2} {
		if v := g.speedAt(at); v != want {
			t.Errorf("a neighbour for 3 of 8 s from 10 s on: speed %v at %v, want %v", v, at, want)
		}
	}
}

// A comparison finds a difference that there is, and none where there is none.
func TestCompareFindsOnlyRealDifferences(t *testing.T) {
	text := small + "fleet: {servers: 2, workers: 2}\nload: {rate: 150}\n"
	text = strings.Replace(text, "load: {rate: 100}\n", "", 1)
	a := play(t, text, 8)
	other := play(t, text+"seed: 100\n", 8)
	slower := play(t, strings.Replace(text, "workers: 2", "workers: 2, service: 24ms", 1), 8)
	for name, c := range map[string]struct {
		b       *Report
		differs bool
	}{"itself": {a, false}, "other seeds": {other, false}, "slower servers": {slower, true}} {
		d, err := Compare(a, c.b)
		if err != nil {
			t.Fatal(err)
		}
		p50 := d.Metrics[3]
		if p50.Differs != c.differs || c.differs && p50.Low < 1 {
			t.Errorf("%s: %+v", name, p50)
		}
		var out bytes.Buffer
		if err := d.Print(&out); err != nil || strings.Contains(out.String(), "p50, ms") == false || c.differs != strings.Contains(out.String(), "B is higher") {
			t.Errorf("%s: %v\n%s", name, err, out.String())
		}
	}
	if _, err := Compare(a, play(t, text, 2)); err == nil || !strings.Contains(err.Error(), "8 and 2 runs") {
		t.Errorf("two runs are too few: %v", err)
	}
}

// A report comes back from its JSON; its page needs nothing from elsewhere, and what names hold is not markup in it.
func TestReportFiles(t *testing.T) {
	dir := t.TempDir()
	text := small + "about: a <script>alert(1)</script>\nevents: [{at: 1s, do: kill, zone: a, how: refuses, part: 0.5}]\n"
	a, b := play(t, text, 5), play(t, text+"seed: 50\n", 5)
	var out bytes.Buffer
	if err := a.JSON(&out); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "a.json")
	if err := os.WriteFile(path, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	back, err := ReadReport(path)
	if err != nil || len(back.Series) != len(a.Series) || back.Runs[3] != a.Runs[3] {
		t.Errorf("%v, %+v", err, back)
	}
	for text, want := range map[string]string{"": "not a report", "{}": "holds no run", `{"surprise": 1}`: "unknown field"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadReport(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	for _, l := range [][]*Report{{a}, {a, b}} {
		b, err := page(l)
		s := string(b)
		if err != nil || strings.Count(s, "<svg") != 3 || strings.Contains(s, "<script") || strings.Contains(s, "src=") || strings.Contains(s, "<link") ||
			!strings.Contains(s, "1 | kill a") && !strings.Contains(s, "kill a") || (len(l) == 2) != strings.Contains(s, "no difference") {
			t.Errorf("%d reports: %v, a page of %d bytes", len(l), err, len(b))
		}
	}
	if err := WritePlots(dir, a, b); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"goodput", "latency", "servers"} {
		png, _ := os.ReadFile(filepath.Join(dir, name+".png"))
		svg, _ := os.ReadFile(filepath.Join(dir, name+".svg"))
		if http.DetectContentType(png) != "image/png" || !bytes.Contains(svg, []byte("</svg>")) {
			t.Errorf("%s: %d and %d bytes", name, len(png), len(svg))
		}
	}
	out.Reset()
	if err := a.CSV(&out); err != nil || strings.Count(out.String(), "\n") != len(a.Series)+1 || !strings.HasPrefix(out.String(), "from_s,in_time,") {
		t.Errorf("%v\n%s", err, out.String())
	}
}
