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

// buildProgram builds the robindrum program once and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
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
	if path, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// mustParse parses an experiment and fails the test if it is invalid.
func mustParse(t testing.TB, text string) *Experiment {
	t.Helper()
	e, err := Parse("x.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// runLoopbackText parses an experiment and runs it on the loopback engine. The test fails if goroutines are left over.
func runLoopbackText(t *testing.T, ctx context.Context, text string, options LoopbackOptions) *Report {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
	testbed.Leaks(t)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	options.Binary = path
	report, err := RunLoopback(ctx, mustParse(t, text), 1, options)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Both engines run the same requests. Each request has exactly one outcome in both, even while servers fail, drain and restart, a gateway
// restarts and the control plane is unavailable.
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
	e := mustParse(t, text)
	want := 0
	for openLoop := e.arrivals(1); ; want++ {
		if _, ok := openLoop.take(); !ok {
			break
		}
	}
	simulated, err := Simulate(e, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, report := range []*Report{simulated, runLoopbackText(t, t.Context(), text, LoopbackOptions{})} {
		if report.RestartTime <= 0 || report.RestartTime > 3*time.Second {
			t.Errorf("%s engine: RestartTime = %v, want above 0 and at most 3s", report.Engine, report.RestartTime)
		}
		outcomes := report.totals()
		if outcomes.Requests < want+20 || outcomes.Requests > want+400 || outcomes.Requests != outcomes.InTime+outcomes.Late+outcomes.Rejected+outcomes.Failed+outcomes.Lost {
			t.Errorf("%s engine: outcomes %+v, want one for each of %d open-loop requests and each request of three clients", report.Engine, outcomes, want)
		}
		if len(report.FailedChecks) > 0 || outcomes.fraction(outcomes.InTime) < 0.9 {
			t.Errorf("%s engine: failed checks %q, want none; fraction in time %.3f, want at least 0.9", report.Engine, report.FailedChecks, outcomes.fraction(outcomes.InTime))
		}
		attempts := 0
		for i := range report.Series {
			for _, n := range report.Series[i].Attempts {
				attempts += n
			}
		}
		if attempts < outcomes.InTime+outcomes.Late || len(report.Servers()) != 4 {
			t.Errorf("%s engine: %d attempts for %d responses at servers %v, want at least as many attempts, at 4 servers", report.Engine, attempts, outcomes.InTime+outcomes.Late, report.Servers())
		}
	}
}

// If a gateway exits or the context is cancelled during a run, the report contains the results up to then and the reason, and no gateway
// keeps running.
func TestRunThatEndsEarlyReportsWhatItMeasured(t *testing.T) {
	const text = "name: early\nlength: 60s\ngateways: {number: 2}\nload: {rate: 100}\n"
	for want, interrupt := range map[string]func(*loopbackRun, context.CancelFunc){
		"gateway 1 ended by itself": func(run *loopbackRun, _ context.CancelFunc) { run.gateways[1].Signal(syscall.SIGKILL) },
		"context canceled":          func(_ *loopbackRun, cancel context.CancelFunc) { cancel() },
	} {
		t.Run(want, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			began := time.Now()
			var current *loopbackRun
			report := runLoopbackText(t, ctx, text, LoopbackOptions{started: func(run *loopbackRun) { current = run }, Progress: func(Progress) { interrupt(current, cancel) }})
			if !strings.Contains(report.EndedEarly, want) || len(report.FailedChecks) == 0 || time.Since(began) > 30*time.Second {
				t.Errorf("run of %v: EndedEarly = %q, FailedChecks = %q; want the reason and a failed check within 30s", time.Since(began), report.EndedEarly, report.FailedChecks)
			}
			if outcomes := report.totals(); outcomes.InTime < 50 || outcomes.InTime > 200 {
				t.Errorf("outcomes %+v, want 50 to 200 in time after a second at 100 requests per second", outcomes)
			}
			for _, gateway := range current.gateways {
				select {
				case <-gateway.Exited:
				default:
					t.Errorf("gateway %d is still running after the end of the run, want it stopped", gateway.number)
				}
			}
		})
	}
}

// A generator that drops requests because too many are in flight reports that it is the bottleneck.
func TestGeneratorReportsThatItIsTheBottleneck(t *testing.T) {
	text := "name: slow\nlength: 1500ms\nfleet: {service: 1s, distribution: constant, workers: 100}\nload: {rate: 100}\nclasses: [{name: a, wanted: 1s, deadline: 3s}]\n"
	report := runLoopbackText(t, t.Context(), text, LoopbackOptions{maxInFlight: 10})
	if !report.Generator.Bottleneck || report.Generator.Dropped < 50 || !strings.Contains(strings.Join(report.FailedChecks, "\n"), "generator was too slow") {
		t.Errorf("generator %v, failed checks %q; want a bottleneck with at least 50 dropped requests, and a check that names it", report.Generator, report.FailedChecks)
	}
	if outcomes := report.totals(); outcomes.Requests+report.Generator.Dropped != report.Generator.Requests {
		t.Errorf("%d requests have an outcome, want all that were not dropped by the %v", outcomes.Requests, report.Generator)
	}
}

// If the process of a gateway cannot start or exits at once, the report ends early with the reason.
func TestGatewayThatCannotStart(t *testing.T) {
	e := mustParse(t, smallExperiment)
	report, err := RunLoopback(t.Context(), e, 1, LoopbackOptions{Binary: "/bin/false"})
	if err != nil || !strings.Contains(report.EndedEarly, "gateway 0 ended by itself: exit status 1") {
		t.Errorf("RunLoopback with /bin/false: error %v, report %+v; want no error and the exit status in EndedEarly", err, report)
	}
	if report, err = RunLoopback(t.Context(), e, 1, LoopbackOptions{Binary: "/nowhere/robindrum"}); err != nil || !strings.Contains(report.EndedEarly, "no such file") {
		t.Errorf("RunLoopback with a missing program: error %v, report %+v; want no error and the reason in EndedEarly", err, report)
	}
}

func TestExperimentsTooLargeForLoopback(t *testing.T) {
	for text, want := range map[string]string{
		"name: a\nlength: 20m\nload: {rate: 1}\n":             "length in seconds: 1200, 600 at most",
		"name: a\nlength: 9m\nload: {rate: 5000}\n":           "requests: 2700000, 1000000 at most",
		"name: a\nlength: 2s\nload: {rate: 30000}\n":          "requests a second: 30000, 20000 at most",
		smallExperiment + "gateways: {number: 20}\n":          "gateways: 20, 8 at most",
		smallExperiment + "fleet: {servers: 65}\n":            "servers: 65, 64 at most",
		smallExperiment + "gateways: {admission: estimate}\n": "a gateway has no estimate",
		"name: a\nload: {rate: 1, clients: 6000, think: 1m}":  "clients: 6000, 5000 at most",
	} {
		if _, err := RunLoopback(t.Context(), mustParse(t, text), 1, LoopbackOptions{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("RunLoopback(%q) = %v, want an error that contains %q", text, err, want)
		}
	}
}

// TestLoopbackServer covers each failure mode of a loopback server, its full queue, an attempt after a drain, and a restart when its port
// is already in use.
func TestLoopbackServer(t *testing.T) {
	e := mustParse(t, "name: a\nlength: 60s\nfleet: {workers: 1, queue: 1, service: 200ms, distribution: constant, cross: 1ms}\nload: {rate: 1}\nclasses: [{name: a, effect: unsafe}]\n")
	run := &loopbackRun{experiment: e, collector: newCollector(e), effects: map[string]map[string]int{}, bodies: map[string][]byte{"a": nil}, startedAt: time.Now()}
	server, err := newLoopbackServer(run, "a-0", &e.Fleet.Groups[0], 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.fail("") })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request := func(id string) string {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		attempt, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.address+"/0", nil)
		attempt.Header.Set("X-Request-Id", id)
		response, err := client.Do(attempt)
		if err != nil {
			return map[bool]string{true: "silence", false: "broken"}[ctx.Err() != nil]
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return fmt.Sprint(response.StatusCode)
	}
	if got := request("lives"); got != "200" {
		t.Errorf("response before any failure = %s, want 200", got)
	}
	got := make(chan string, 3)
	for range 3 {
		go func() { got <- request("queue") }()
	}
	if statuses := []string{<-got, <-got, <-got}; statuses[0] != "503" || statuses[1] != "200" || statuses[2] != "200" {
		t.Errorf("three concurrent requests to one worker with a queue of one: %v, want 503, 200, 200", statuses)
	}
	for mode, want := range map[string]string{"silent": "silence", "says_503": "503", "resets": "broken", "refuses": "broken"} {
		server.fail(mode)
		if got := request(mode); got != want {
			t.Errorf("failure mode %s: response = %s, want %s", mode, got, want)
		}
		run.mu.Lock()
		if mode == "resets" && run.effects["resets"]["a"] != 1 {
			t.Errorf("effects = %v, want one of the request whose connection was reset", run.effects)
		}
		run.mu.Unlock()
		if previous, err := server.revive(false, run.elapsed()); err != nil || previous != server.address {
			t.Errorf("revive after %s: address %s, previous address %s, error %v; want the same address and no error", mode, server.address, previous, err)
		}
	}
	server.mu.Lock()
	server.startedAt, server.drainPublishedAt = 0, 1 // the endpoint list has shown the drain since 1 ns after the start
	server.mu.Unlock()
	time.Sleep(max(0, time.Until(run.timeAt(1001*time.Millisecond)))) // until drainNoticeTime has passed
	status := request("late")
	run.mu.Lock()
	if status != "200" || run.collector.sentAfterDrain != 1 {
		t.Errorf("response = %s, want 200; sentAfterDrain = %d, want 1", status, run.collector.sentAfterDrain)
	}
	run.mu.Unlock()
	server.fail("refuses")
	e.Fleet.WarmUp = 0
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if previous, err := server.revive(false, run.elapsed()); err != nil || previous == server.address || previous != listener.Addr().String() {
		t.Errorf("revive while the port is in use: address %s, previous address %s, error %v; want another address and no error", server.address, previous, err)
	}
	if got := request("elsewhere"); got != "200" {
		t.Errorf("response at the new address = %s, want 200", got)
	}
}

// Three requests arrive before any of them proceeds: the first gets the idle worker, the second is queued, and the third finds the queue
// full. A request that leaves the queue makes room in it. If it has already received a worker, the next request gets that worker.
func TestLoopbackServerCountsRequestsInOrder(t *testing.T) {
	e := mustParse(t, "name: a\nlength: 60s\nfleet: {workers: 1, queue: 1, service: 200ms}\nload: {rate: 1}\n")
	run := &loopbackRun{experiment: e, collector: newCollector(e), startedAt: time.Now()}
	server, err := newLoopbackServer(run, "a-0", &e.Fleet.Groups[0], 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.fail("") })
	server.mu.Lock()
	defer server.mu.Unlock()
	arrive := func(want int) chan time.Duration {
		t.Helper()
		status := server.admit(time.Second)
		if status != want {
			t.Errorf("admit = %d, want %d", status, want)
		}
		if status != 0 {
			return nil
		}
		return server.workers.acquire()
	}
	first, second := arrive(0), arrive(0)
	arrive(http.StatusServiceUnavailable)
	if len(first) != 1 || len(second) != 0 {
		t.Errorf("workers received by the first request: %d, want 1; by the second: %d, want 0", len(first), len(second))
	}
	server.workers.abandon(second)
	third := arrive(0)
	arrive(http.StatusServiceUnavailable)
	<-first
	server.workers.release(7 * time.Second)
	fourth := arrive(0)
	server.workers.abandon(third) // which has already received a worker
	if len(fourth) != 1 || <-fourth != 7*time.Second {
		t.Error("the worker of an abandoned request was not passed to the next request")
	}
	if run.collector.phases[0].MaxServerRequests != 3 {
		t.Errorf("MaxServerRequests = %d, want 3: one running, one queued, one rejected", run.collector.phases[0].MaxServerRequests)
	}
}

// Arrivals are in order of time, before the end of the experiment, equal for equal seeds, and as many as the rate requires.
func TestArrivalsFollowTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(50, 2000).Draw(t, "rate")
		until := rapid.Float64Range(0, 4).Draw(t, "until")
		load := Load{Rate: rate, Arrivals: rapid.SampledFrom([]string{"poisson", "constant"}).Draw(t, "arrivals"), RetryMode: "gives_up",
			RateSpans: []RateSpan{{Start: config.Duration(time.Second), End: config.Duration(3 * time.Second), Multiplier: rapid.Float64Range(0, 4).Draw(t, "by"), FinalMultiplier: &until}},
			Bursts:    []Burst{{At: config.Duration(500 * time.Millisecond), Size: rapid.IntRange(1, 50).Draw(t, "size")}}}
		if rapid.Bool().Draw(t, "on off") {
			load.OnOff = &OnOff{config.Duration(200 * time.Millisecond), config.Duration(300 * time.Millisecond)}
		}
		e := &Experiment{Name: "a", Length: config.Duration(6 * time.Second), Load: load}
		e.setDefaults()
		want := float64(load.Bursts[0].Size)
		for at := time.Duration(0); at < e.Length.D(); at += time.Millisecond {
			want += e.rateAt(at) / 1000
		}
		seed := rapid.Uint64().Draw(t, "seed")
		first, second := e.arrivals(seed), e.arrivals(seed)
		count, last := 0, time.Duration(0)
		for {
			arrival, ok := first.take()
			if other, _ := second.take(); arrival != other {
				t.Fatalf("same seed: got arrivals %v and %v, want equal ones", arrival, other)
			}
			if !ok {
				break
			}
			if count++; arrival.at < last || arrival.at >= e.Length.D() {
				t.Fatalf("arrival at %v after one at %v, want increasing times before the end", arrival.at, last)
			}
			last = arrival.at
		}
		if deviation := math.Abs(float64(count) - want); deviation > 6*math.Sqrt(want)+5 {
			t.Fatalf("%d arrivals, want about %.0f", count, want)
		}
	})
}

// Service times have the configured mean and variation, and a noisy neighbour reduces the speed only while it is active.
func TestServiceTimeDistributions(t *testing.T) {
	for distribution, want := range map[string]float64{"constant": 0, "exponential": 1, "lognormal": 0.5} {
		serviceTime := ServiceTime{MeanServiceTime: config.Duration(20 * time.Millisecond), Distribution: distribution, Variation: 0.5}
		rng := rand.New(rand.NewPCG(1, 2))
		const samples = 200_000
		sum, squares := 0.0, 0.0
		for range samples {
			value := serviceTime.draw(rng).Seconds()
			sum, squares = sum+value, squares+value*value
		}
		mean := sum / samples
		variation := math.Sqrt(max(squares/samples-mean*mean, 0)) / mean
		if math.Abs(mean-0.02) > 0.0002 || math.Abs(variation-want) > 0.02 {
			t.Errorf("%s distribution: mean %v, variation %v, want 0.02 and %v", distribution, mean, variation, want)
		}
	}
	group := Group{Speed: 2, Neighbour: &NoisyNeighbour{Start: config.Duration(10 * time.Second), Period: config.Duration(8 * time.Second), Duration: config.Duration(3 * time.Second), SpeedShare: 0.5}}
	for at, want := range map[time.Duration]float64{0: 2, 10 * time.Second: 1, 13 * time.Second: 2, 18 * time.Second: 1, 20999 * time.Millisecond: 1, 21 * time.Second: 2} {
		if value := group.speedAt(at); value != want {
			t.Errorf("neighbour active for 3 of every 8 s from 10 s on: speed %v at %v, want %v", value, at, want)
		}
	}
}

// A comparison reports a real difference, and none between reports of the same experiment.
func TestCompareFindsOnlyRealDifferences(t *testing.T) {
	text := smallExperiment + "fleet: {servers: 2, workers: 2}\nload: {rate: 150}\n"
	text = strings.Replace(text, "load: {rate: 100}\n", "", 1)
	base := simulateText(t, text, 8)
	other := simulateText(t, text+"seed: 100\n", 8)
	slower := simulateText(t, strings.Replace(text, "workers: 2", "workers: 2, service: 24ms", 1), 8)
	for name, test := range map[string]struct {
		report  *Report
		differs bool
	}{"itself": {base, false}, "other seeds": {other, false}, "slower servers": {slower, true}} {
		comparison, err := Compare(base, test.report)
		if err != nil {
			t.Fatal(err)
		}
		p50 := comparison.Metrics[3]
		if p50.Differs != test.differs || test.differs && p50.Low < 1 {
			t.Errorf("compared with %s: p50 %+v, want Differs = %v", name, p50, test.differs)
		}
		var out bytes.Buffer
		if err := comparison.Print(&out); err != nil || strings.Contains(out.String(), "p50, ms") == false || test.differs != strings.Contains(out.String(), "B is higher") {
			t.Errorf("compared with %s: Print: error %v, output:\n%s\nwant p50, and B is higher only if it differs", name, err, out.String())
		}
	}
	if _, err := Compare(base, simulateText(t, text, 2)); err == nil || !strings.Contains(err.Error(), "8 and 2 runs") {
		t.Errorf("Compare with 2 runs = %v, want an error with both numbers of runs", err)
	}
}

// A report can be read back from its JSON. Its page loads nothing from elsewhere and escapes the text of the experiment.
func TestReportFiles(t *testing.T) {
	dir := t.TempDir()
	text := smallExperiment + "about: a <script>alert(1)</script>\nevents: [{at: 1s, do: kill, zone: a, how: refuses, part: 0.5}]\n"
	a, b := simulateText(t, text, 5), simulateText(t, text+"seed: 50\n", 5)
	var out bytes.Buffer
	if err := a.JSON(&out); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "a.json")
	if err := os.WriteFile(path, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	restored, err := ReadReport(path)
	if err != nil || len(restored.Series) != len(a.Series) || restored.Runs[3] != a.Runs[3] {
		t.Errorf("ReadReport: error %v, report %+v; want the written one", err, restored)
	}
	for text, want := range map[string]string{"": "not a report", "{}": "holds no run", `{"surprise": 1}`: "unknown field"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadReport(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("ReadReport of %q = %v, want an error that contains %q", text, err, want)
		}
	}
	for _, reports := range [][]*Report{{a}, {a, b}} {
		b, err := page(reports)
		html := string(b)
		if err != nil || strings.Count(html, "<svg") != 3 || strings.Contains(html, "<script") || strings.Contains(html, "src=") || strings.Contains(html, "<link") ||
			!strings.Contains(html, "1 | kill a") && !strings.Contains(html, "kill a") || (len(reports) == 2) != strings.Contains(html, "no difference") {
			t.Errorf("page of %d reports: error %v, %d bytes; want 3 pictures, no external content or script, the event, and a comparison of two", len(reports), err, len(b))
		}
	}
	if err := WritePlots(dir, a, b); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"goodput", "latency", "servers"} {
		png, _ := os.ReadFile(filepath.Join(dir, name+".png"))
		svg, _ := os.ReadFile(filepath.Join(dir, name+".svg"))
		if http.DetectContentType(png) != "image/png" || !bytes.Contains(svg, []byte("</svg>")) {
			t.Errorf("plot %s: PNG of %d bytes and SVG of %d bytes, want valid files", name, len(png), len(svg))
		}
	}
	out.Reset()
	if err := a.CSV(&out); err != nil || strings.Count(out.String(), "\n") != len(a.Series)+1 || !strings.HasPrefix(out.String(), "from_s,in_time,") {
		t.Errorf("CSV: error %v, output:\n%s\nwant a header and a line for each point", err, out.String())
	}
}
