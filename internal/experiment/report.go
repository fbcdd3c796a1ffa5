package experiment

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of an experiment over all its seeds.
type Report struct {
	Experiment       string        `json:"experiment"`
	Description      string        `json:"about"`
	Engine           string        `json:"engine"`
	Seeds            int           `json:"seeds"`
	Length           time.Duration `json:"length_ns"`
	Runs             []Run         `json:"runs"` // one for each seed
	Phases           []Phase       `json:"phases"`
	SeriesInterval   time.Duration `json:"series_width_ns"`
	Series           []Point       `json:"series"`
	Events           []EventMark   `json:"events"`
	DuplicateEffects int           `json:"effects_taken_twice"`
	Lost             int           `json:"lost"`
	SentAfterDrain   int           `json:"sent_after_drain"`
	// RestartTime is the longest time from a gateway's start until it was ready; 0: none was restarted.
	RestartTime     time.Duration `json:"back_ns"`
	SimulationSteps int           `json:"simulation_steps,omitempty"`
	// Generator is nil unless the engine is the loopback one.
	Generator *Generator `json:"generator,omitempty"`
	// EndedEarly is the reason why a run ended early; the report contains the results up to then. Empty: no run ended early.
	EndedEarly string `json:"ended_early,omitempty"`
	// FailedChecks describes each failed check in a line.
	FailedChecks []string `json:"broken"`
}

// Run is the result of one seed.
type Run struct {
	Seed     uint64        `json:"seed"`
	Requests int           `json:"asked"`
	Goodput  float64       `json:"in_time_per_second"`
	InTime   float64       `json:"in_time"` // fraction of the requests
	Rejected float64       `json:"refused"` // rejected, failed or lost; fraction of the requests
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
}

// EventMark is an event of the experiment.
type EventMark struct {
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
}

// Phase contains the results of the requests that began in a phase.
type Phase struct {
	From              time.Duration `json:"from_ns"`
	To                time.Duration `json:"to_ns"`
	Classes           []Outcome     `json:"classes"`
	All               Outcome       `json:"all"`
	CrossZoneAttempts int           `json:"attempts_crossed"`
	Attempts          int           `json:"attempts"`
	NewConnections    int           `json:"new_connections"` // attempts on a new connection; 0 if there is no ConnectCost
	CollapsedServers  int           `json:"cold_servers_fallen"`
	MaxWarmingLoad    float64       `json:"worst_cold_server"` // ratio of load to capacity, the maximum of all seeds
	MaxServerRequests int           `json:"most_at_a_server"`
}

// Outcome counts requests by outcome. Its latencies are those of served requests.
type Outcome struct {
	Class    string        `json:"class,omitempty"`
	Requests int           `json:"asked"`
	InTime   int           `json:"in_time"`
	Late     int           `json:"late"`
	Rejected int           `json:"refused"`
	Failed   int           `json:"failed"`
	Lost     int           `json:"lost"`
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
	P999     time.Duration `json:"p999_ns"`

	latencies *hdrhistogram.Histogram
}

func (o *Outcome) computePercentiles() {
	o.P50, o.P99, o.P999 = quantile(o.latencies, 0.5), quantile(o.latencies, 0.99), quantile(o.latencies, 0.999)
}

func (o *Outcome) fraction(n int) float64 { return float64(n) / float64(max(o.Requests, 1)) }

// newReport returns an empty report of an experiment.
func newReport(e *Experiment, engine string) *Report {
	collected := newCollector(e)
	report := &Report{Experiment: e.Name, Description: e.Description, Engine: engine, Length: e.Length.D(), Phases: collected.phases, Series: collected.series, SeriesInterval: collected.interval, FailedChecks: []string{}}
	for _, event := range e.timeline() {
		report.Events = append(report.Events, EventMark{event.At.D(), strings.TrimSpace(event.Action + " " + event.Zone)})
	}
	return report
}

// add adds the results of a run.
func (r *Report) add(collected *collector, seed uint64) {
	r.Seeds++
	r.DuplicateEffects += collected.duplicateEffects
	r.Lost += collected.lost
	r.SentAfterDrain += collected.sentAfterDrain
	r.SimulationSteps += collected.steps
	r.RestartTime = max(r.RestartTime, collected.restartTime)
	var totals Outcome
	for i := range collected.phases {
		phase, total := &collected.phases[i], &r.Phases[i]
		for j := range phase.Classes {
			total.Classes[j].merge(&phase.Classes[j])
		}
		total.All.merge(&phase.All)
		totals.merge(&phase.All)
		total.addServerCounts(phase)
	}
	for i := range collected.series {
		r.Series[i].merge(&collected.series[i])
	}
	totals.computePercentiles()
	r.Runs = append(r.Runs, Run{Seed: seed, Requests: totals.Requests, Goodput: float64(totals.InTime) / r.Length.Seconds(), InTime: totals.fraction(totals.InTime),
		Rejected: totals.fraction(totals.Rejected + totals.Failed + totals.Lost), P50: totals.P50, P99: totals.P99})
}

// finish computes the percentiles over all runs and evaluates the checks.
func (r *Report) finish(e *Experiment) {
	for i := range r.Phases {
		p := &r.Phases[i]
		p.All.computePercentiles()
		for j := range p.Classes {
			p.Classes[j].computePercentiles()
		}
	}
	for i := range r.Series {
		p := &r.Series[i]
		p.P50, p.P99 = quantile(p.latencies, 0.5), quantile(p.latencies, 0.99)
	}
	if r.SentAfterDrain > 0 {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d attempts were sent to servers more than a second after they began to drain", r.SentAfterDrain))
	}
	if r.DuplicateEffects > 0 {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d requests had more than one effect", r.DuplicateEffects))
	}
	if r.Lost > 0 {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d requests had no response, or more than one", r.Lost))
	}
	for i, c := range e.Checks {
		if c.MaxRestartTime > 0 && r.RestartTime > c.MaxRestartTime.D() {
			r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("checks[%d]: a gateway was ready %v after its start, want at most %v", i, r.RestartTime, c.MaxRestartTime.D()))
		}
		for j := range r.Phases {
			if c.Phase == nil || *c.Phase == j {
				r.check(i, j, &c)
			}
		}
	}
}

// check evaluates a check of the experiment, given with its index, in a phase.
func (r *Report) check(index, phase int, c *Check) {
	results := &r.Phases[phase]
	outcome, scope := &results.All, "all classes"
	if c.Class != "" {
		outcome = &results.Classes[slices.IndexFunc(results.Classes, func(outcome Outcome) bool { return outcome.Class == c.Class })]
		scope = c.Class
	}
	fail := func(text string, args ...any) {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("checks[%d], phase %d, %s: %s", index, phase, scope, fmt.Sprintf(text, args...)))
	}
	if outcome.Requests == 0 {
		fail("there were no requests")
		return
	}
	if v := outcome.fraction(outcome.InTime); c.MinInTime != nil && v < *c.MinInTime {
		fail("%.4f in time, want at least %v", v, *c.MinInTime)
	}
	if v := outcome.fraction(outcome.Rejected + outcome.Failed + outcome.Lost); c.MaxRejected != nil && v > *c.MaxRejected {
		fail("%.4f refused or failed, want at most %v", v, *c.MaxRejected)
	}
	if v := outcome.fraction(outcome.Late); c.MaxLate != nil && v > *c.MaxLate {
		fail("%.4f late, want at most %v", v, *c.MaxLate)
	}
	if c.MaxP99 > 0 && outcome.P99 > c.MaxP99.D() {
		fail("p99 %v, want at most %v", outcome.P99, c.MaxP99.D())
	}
	if v := float64(results.NewConnections) / float64(max(results.Attempts, 1)); c.MaxConnectRatio > 0 && v > c.MaxConnectRatio {
		fail("%.3f new connections per attempt, want at most %v", v, c.MaxConnectRatio)
	}
	if c.MaxWarmingLoad > 0 && results.MaxWarmingLoad > c.MaxWarmingLoad {
		fail("a warming server got %.2f times its capacity, want at most %v", results.MaxWarmingLoad, c.MaxWarmingLoad)
	}
}

// JSON writes the report as JSON. ReadReport reads it.
func (r *Report) JSON(out io.Writer) error { return writeJSON(out, r) }

// maxReportSize is the maximum size of a report file in bytes.
const maxReportSize = 64 << 20

// ReadReport reads a file written by Report.JSON.
func ReadReport(path string) (*Report, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading the report: %w", err)
	}
	defer func() { _ = file.Close() }()
	report := &Report{}
	decoder := json.NewDecoder(io.LimitReader(file, maxReportSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(report); err != nil {
		return nil, fmt.Errorf("%s: not a report of lab run --json: %w", path, err)
	}
	if report.Length <= 0 || report.SeriesInterval <= 0 || len(report.Series) == 0 || len(report.Runs) == 0 {
		return nil, fmt.Errorf("%s: not a report of lab run --json: it holds no run", path)
	}
	return report, nil
}

// CSV writes the time series, with one line for each point.
func (r *Report) CSV(out io.Writer) error {
	writer := csv.NewWriter(out)
	servers := r.Servers()
	header := []string{"from_s", "in_time", "late", "refused", "failed", "p50_ms", "p99_ms"}
	for _, id := range servers {
		header = append(header, "attempts_"+id)
	}
	_ = writer.Write(header) // Error below returns the error
	for i := range r.Series {
		point := &r.Series[i]
		row := []string{fmt.Sprint(point.Start.Seconds())}
		for _, n := range []int{point.InTime, point.Late, point.Rejected, point.Failed} {
			row = append(row, strconv.Itoa(n))
		}
		row = append(row, fmt.Sprint(point.P50.Seconds()*1000), fmt.Sprint(point.P99.Seconds()*1000))
		for _, id := range servers {
			row = append(row, strconv.Itoa(point.Attempts[id]))
		}
		_ = writer.Write(row)
	}
	writer.Flush()
	if err := writer.Error(); err != nil {
		return fmt.Errorf("writing the time series: %w", err)
	}
	return nil
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "%s, %s, %d seeds\n", r.Experiment, r.Engine, r.Seeds)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PHASE\tCLASS\tASKED\tIN TIME\tLATE\tREFUSED\tFAILED\tP50\tP99\tP99.9\tCROSSED\tMOST AT A SERVER\tWORST COLD")
	for _, phase := range r.Phases {
		row := func(outcome *Outcome, name, rest string) {
			percent := func(n int) string { return fmt.Sprintf("%.1f%%", 100*outcome.fraction(n)) }
			rounded := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
			fmt.Fprintf(table, "%v to %v\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", phase.From, phase.To, name, outcome.Requests, percent(outcome.InTime), percent(outcome.Late), percent(outcome.Rejected), percent(outcome.Failed+outcome.Lost),
				rounded(outcome.P50), rounded(outcome.P99), rounded(outcome.P999), rest)
		}
		for i := range phase.Classes {
			row(&phase.Classes[i], phase.Classes[i].Class, "\t\t")
		}
		row(&phase.All, "all", fmt.Sprintf("%.0f%%\t%d\t%.2f", 100*float64(phase.CrossZoneAttempts)/float64(max(phase.Attempts, 1)), phase.MaxServerRequests, phase.MaxWarmingLoad))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	fmt.Fprintf(out, "effects taken twice %d, requests lost %d, sent after a drain %d; the busiest server got %.1f%% of the attempts\n", r.DuplicateEffects, r.Lost, r.SentAfterDrain,
		100*r.busiestShare())
	if r.Generator != nil {
		fmt.Fprintln(out, r.Generator)
	}
	if r.EndedEarly != "" {
		fmt.Fprintln(out, "ended early:", r.EndedEarly)
	}
	for _, failure := range r.FailedChecks {
		fmt.Fprintln(out, "does not hold:", failure)
	}
	if len(r.FailedChecks) == 0 {
		fmt.Fprintln(out, "all checks hold")
	}
	return nil
}
