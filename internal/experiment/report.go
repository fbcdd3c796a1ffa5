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
	// EndedEarly is the reason why a run ended early; the report has what was measured until then. Empty: none did.
	EndedEarly string `json:"ended_early,omitempty"`
	// FailedChecks describes each failed check in a line.
	FailedChecks []string `json:"broken"`
}

// Run is the result of a seed.
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

// Phase has the results of the requests that began in a phase.
type Phase struct {
	From              time.Duration `json:"from_ns"`
	To                time.Duration `json:"to_ns"`
	Classes           []Outcome     `json:"classes"`
	All               Outcome       `json:"all"`
	CrossZoneAttempts int           `json:"attempts_crossed"`
	Attempts          int           `json:"attempts"`
	NewConnections    int           `json:"new_connections"` // attempts on a new connection; 0 if there is no ConnectCost
	CollapsedServers  int           `json:"cold_servers_fallen"`
	MaxWarmingLoad    float64       `json:"worst_cold_server"` // load over capacity, the maximum of all seeds
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

func newReport(e *Experiment, engine string) *Report {
	c := newCollector(e)
	r := &Report{Experiment: e.Name, Description: e.Description, Engine: engine, Length: e.Length.D(), Phases: c.phases, Series: c.series, SeriesInterval: c.interval, FailedChecks: []string{}}
	for _, v := range e.timeline() {
		r.Events = append(r.Events, EventMark{v.At.D(), strings.TrimSpace(v.Action + " " + v.Zone)})
	}
	return r
}

// add adds the results of a run.
func (r *Report) add(c *collector, seed uint64) {
	r.Seeds++
	r.DuplicateEffects += c.duplicateEffects
	r.Lost += c.lost
	r.SentAfterDrain += c.sentAfterDrain
	r.SimulationSteps += c.steps
	r.RestartTime = max(r.RestartTime, c.restartTime)
	var all Outcome
	for i := range c.phases {
		p, n := &c.phases[i], &r.Phases[i]
		for j := range p.Classes {
			n.Classes[j].merge(&p.Classes[j])
		}
		n.All.merge(&p.All)
		all.merge(&p.All)
		n.addServerCounts(p)
	}
	for i := range c.series {
		r.Series[i].merge(&c.series[i])
	}
	all.computePercentiles()
	r.Runs = append(r.Runs, Run{Seed: seed, Requests: all.Requests, Goodput: float64(all.InTime) / r.Length.Seconds(), InTime: all.fraction(all.InTime),
		Rejected: all.fraction(all.Rejected + all.Failed + all.Lost), P50: all.P50, P99: all.P99})
}

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
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d effects were taken twice", r.DuplicateEffects))
	}
	if r.Lost > 0 {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("%d requests have no answer, or two", r.Lost))
	}
	for i, c := range e.Checks {
		if c.MaxRestartTime > 0 && r.RestartTime > c.MaxRestartTime.D() {
			r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("checks[%d]: a gateway was ready %v after its start, want %v at most", i, r.RestartTime, c.MaxRestartTime.D()))
		}
		for j := range r.Phases {
			if c.Phase == nil || *c.Phase == j {
				r.check(i, j, &c)
			}
		}
	}
}

func (r *Report) check(n, phase int, c *Check) {
	p := &r.Phases[phase]
	o, of := &p.All, "all classes"
	if c.Class != "" {
		o = &p.Classes[slices.IndexFunc(p.Classes, func(o Outcome) bool { return o.Class == c.Class })]
		of = c.Class
	}
	bad := func(text string, args ...any) {
		r.FailedChecks = append(r.FailedChecks, fmt.Sprintf("checks[%d], phase %d, %s: %s", n, phase, of, fmt.Sprintf(text, args...)))
	}
	if o.Requests == 0 {
		bad("nothing was asked")
		return
	}
	if v := o.fraction(o.InTime); c.MinInTime != nil && v < *c.MinInTime {
		bad("%.4f in time, want %v at least", v, *c.MinInTime)
	}
	if v := o.fraction(o.Rejected + o.Failed + o.Lost); c.MaxRejected != nil && v > *c.MaxRejected {
		bad("%.4f refused or failed, want %v at most", v, *c.MaxRejected)
	}
	if v := o.fraction(o.Late); c.MaxLate != nil && v > *c.MaxLate {
		bad("%.4f late, want %v at most", v, *c.MaxLate)
	}
	if c.MaxP99 > 0 && o.P99 > c.MaxP99.D() {
		bad("p99 %v, want %v at most", o.P99, c.MaxP99.D())
	}
	if v := float64(p.NewConnections) / float64(max(p.Attempts, 1)); c.MaxConnectRatio > 0 && v > c.MaxConnectRatio {
		bad("%.3f new connections an attempt, want %v at most", v, c.MaxConnectRatio)
	}
	if c.MaxWarmingLoad > 0 && p.MaxWarmingLoad > c.MaxWarmingLoad {
		bad("a cold server got %.2f times what it can do, want %v at most", p.MaxWarmingLoad, c.MaxWarmingLoad)
	}
}

// JSON writes the report as JSON, for ReadReport.
func (r *Report) JSON(out io.Writer) error { return writeJSON(out, r) }

// maxReport is the size of a report file in bytes, beyond which it is not read.
const maxReport = 64 << 20

// ReadReport reads a file that Report.JSON has written.
func ReadReport(path string) (*Report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading the report: %w", err)
	}
	defer func() { _ = f.Close() }()
	r := &Report{}
	d := json.NewDecoder(io.LimitReader(f, maxReport))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, fmt.Errorf("%s: not a report of lab run --json: %w", path, err)
	}
	if r.Length <= 0 || r.SeriesInterval <= 0 || len(r.Series) == 0 || len(r.Runs) == 0 {
		return nil, fmt.Errorf("%s: not a report of lab run --json: it holds no run", path)
	}
	return r, nil
}

// CSV writes the time series, with a line for each point.
func (r *Report) CSV(out io.Writer) error {
	w := csv.NewWriter(out)
	servers := r.Servers()
	head := []string{"from_s", "in_time", "late", "refused", "failed", "p50_ms", "p99_ms"}
	for _, id := range servers {
		head = append(head, "attempts_"+id)
	}
	_ = w.Write(head) // an error is returned by Error below
	for i := range r.Series {
		p := &r.Series[i]
		l := []string{fmt.Sprint(p.Start.Seconds())}
		for _, n := range []int{p.InTime, p.Late, p.Rejected, p.Failed} {
			l = append(l, strconv.Itoa(n))
		}
		l = append(l, fmt.Sprint(p.P50.Seconds()*1000), fmt.Sprint(p.P99.Seconds()*1000))
		for _, id := range servers {
			l = append(l, strconv.Itoa(p.Attempts[id]))
		}
		_ = w.Write(l)
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return fmt.Errorf("writing the curves: %w", err)
	}
	return nil
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "%s, %s, %d seeds\n", r.Experiment, r.Engine, r.Seeds)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PHASE\tCLASS\tASKED\tIN TIME\tLATE\tREFUSED\tFAILED\tP50\tP99\tP99.9\tCROSSED\tMOST AT A SERVER\tWORST COLD")
	for _, p := range r.Phases {
		row := func(o *Outcome, name, rest string) {
			pc := func(n int) string { return fmt.Sprintf("%.1f%%", 100*o.fraction(n)) }
			ms := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
			fmt.Fprintf(t, "%v to %v\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.From, p.To, name, o.Requests, pc(o.InTime), pc(o.Late), pc(o.Rejected), pc(o.Failed+o.Lost),
				ms(o.P50), ms(o.P99), ms(o.P999), rest)
		}
		for i := range p.Classes {
			row(&p.Classes[i], p.Classes[i].Class, "\t\t")
		}
		row(&p.All, "all", fmt.Sprintf("%.0f%%\t%d\t%.2f", 100*float64(p.CrossZoneAttempts)/float64(max(p.Attempts, 1)), p.MaxServerRequests, p.MaxWarmingLoad))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	fmt.Fprintf(out, "effects taken twice %d, requests lost %d, sent after a drain %d; the busiest server got %.1f%% of the attempts\n", r.DuplicateEffects, r.Lost, r.SentAfterDrain,
		100*r.busiest())
	if r.Generator != nil {
		fmt.Fprintln(out, r.Generator)
	}
	if r.EndedEarly != "" {
		fmt.Fprintln(out, "ended early:", r.EndedEarly)
	}
	for _, b := range r.FailedChecks {
		fmt.Fprintln(out, "does not hold:", b)
	}
	if len(r.FailedChecks) == 0 {
		fmt.Fprintln(out, "all checks hold")
	}
	return nil
}
