package experiment

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"robindrum/internal/capture"
	"robindrum/internal/config"
)

// Goal is the fraction of a class's requests that is to be served in time.
type Goal struct {
	Class  string  `json:"class"` // empty: all classes together
	InTime float64 `json:"in_time"`
}

// ParseGoal parses "seat-hold=0.99", or "0.99" for all classes together.
func ParseGoal(text string) (g Goal, err error) {
	name, number, ok := strings.Cut(text, "=")
	if !ok {
		name, number = "", text
	}
	g.Class = name
	if _, err = fmt.Sscanf(number, "%g", &g.InTime); err != nil || !(g.InTime > 0 && g.InTime < 1) {
		return g, fmt.Errorf("goal %q: want CLASS=PART, the part above 0 and below 1, as seat-hold=0.99", text)
	}
	return g, nil
}

// String describes the goal.
func (g Goal) String() string {
	return fmt.Sprintf("%s %.4g in time", cmp.Or(g.Class, "all classes"), g.InTime)
}

// PlanOptions configures a capacity plan.
type PlanOptions struct {
	Goals []Goal
	Rate  float64 // requests a second; 0: those of the capture
	Seeds int     // of each simulation; 0: 3
}

// Plan is a capacity plan. Rates are in requests a second.
type Plan struct {
	Fleet            string         `json:"fleet"`
	Goals            []Goal         `json:"goals"`
	Rate             float64        `json:"rate"`
	Servers          int            `json:"servers"`
	Capacity         float64        `json:"capacity"`        // of the workers, by their service times
	MinServersByWork int            `json:"servers_by_work"` // lower bound for the rate, from the service times
	BreakingRate     Estimate       `json:"breaks_at"`       // above which a goal is missed
	BreakingGoal     string         `json:"breaks_first"`    // the goal that is missed first, with the results
	ServersNeeded    Estimate       `json:"servers_needed"`  // to meet the goals at the rate
	ZoneLosses       []ZoneLoss     `json:"losses"`
	Assumptions      []string       `json:"assumptions"`
	Confirmations    []Confirmation `json:"confirmed,omitempty"`

	experiment *Experiment
	capture    *capture.Capture
}

// Estimate is a value over several seeds.
type Estimate struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	// ExceedsRange means that the value is above the range that was searched.
	ExceedsRange bool `json:"beyond,omitempty"`
}

// String describes the estimate.
func (e Estimate) String() string {
	if e.ExceedsRange {
		return fmt.Sprintf("above %.4g", e.High)
	}
	if e.Low == e.High {
		return fmt.Sprintf("%.4g", e.Median)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", e.Median, e.Low, e.High)
}

// ZoneLoss is the effect of the loss of a zone, from zoneLossSettleTime after it on.
type ZoneLoss struct {
	Zone       string   `json:"zone"`
	InTime     Estimate `json:"in_time"` // fraction of all requests
	GoalsMet   bool     `json:"holds"`   // with every seed
	MissedGoal string   `json:"missed,omitempty"`
}

// Confirmation compares a prediction with a run of the loopback engine.
type Confirmation struct {
	Rate            float64 `json:"rate"`
	Predicted       float64 `json:"predicted"` // requests served in time a second
	Measured        float64 `json:"measured"`
	PredictedInTime float64 `json:"predicted_in_time"` // fraction of the requests
	MeasuredInTime  float64 `json:"measured_in_time"`
	RelativeError   float64 `json:"error"` // of the prediction
	Note            string  `json:"note,omitempty"`
}

// Requirements on a capture, and the length of simulations.
const (
	minPlanRequests    = 500
	minPlanCapture     = 10 * time.Second
	planRunLength      = 40 * time.Second // maximum length of a simulation
	planLearningTime   = 5 * time.Second  // excluded from the results, as gateways still adapt
	zoneLossSettleTime = 3 * time.Second
)

// MakePlan simulates the captured load on a fleet. It finds the rate at which a goal is missed, the number of servers that the goals
// need, and the effect of the loss of each zone. The load of the fleet's experiment is ignored. It returns an error if the capture is
// too short or no number of servers meets the goals.
func MakePlan(fleet *Experiment, c *capture.Capture, o PlanOptions) (*Plan, error) {
	o.Seeds = cmp.Or(o.Seeds, 3)
	e := *fleet
	e.Load = Load{Arrivals: "poisson", RetryMode: fleet.Load.RetryMode}
	e.Events, e.Checks, e.trace = nil, nil, nil
	if len(o.Goals) == 0 {
		o.Goals = []Goal{{InTime: 0.99}}
	}
	for _, g := range o.Goals {
		if g.Class != "" && !slices.ContainsFunc(e.Classes, func(k Class) bool { return k.Name == g.Class }) {
			return nil, fmt.Errorf("goal %v: there is no class %q in %s", g, g.Class, e.Name)
		}
	}
	if c.Length < minPlanCapture || len(c.Records) < minPlanRequests {
		return nil, fmt.Errorf("the capture is too short to tell: %d requests over %v; want %d over %v at least", len(c.Records), c.Length.Round(time.Millisecond),
			minPlanRequests, minPlanCapture)
	}
	p := &Plan{Fleet: e.Name, Goals: o.Goals, experiment: &e, capture: busiestWindow(c, planRunLength)}
	window := Fit(p.capture)
	if p.Rate = o.Rate; p.Rate == 0 {
		p.Rate = window.Rate
	}
	if err := p.setClassMix(); err != nil {
		return nil, err
	}
	if err := p.checkAttainable(); err != nil {
		return nil, err
	}
	for _, g := range e.Fleet.Groups {
		p.Servers += g.Servers
	}
	p.Capacity = e.capacity()
	p.MinServersByWork = max(int(math.Ceil(p.Rate/(p.Capacity/float64(p.Servers)))), 1)
	p.Assumptions = []string{
		fmt.Sprintf("the load comes as in the busiest %v of the capture (burstiness %.2f, 1 is a Poisson load), its rate multiplied; the mix of classes stays",
			p.capture.Length.Round(time.Second), window.Burstiness),
		"service times, speeds and workers are those of the fleet's file; nothing else is the bottleneck (network, gateways' processors)",
		"more servers are more of the same kinds, in the same proportions",
		fmt.Sprintf("the first %v of each run do not count: gateways have learnt", planLearningTime),
	}
	if c.Missed > 0 {
		p.Assumptions = append(p.Assumptions, fmt.Sprintf("the capture missed %d requests: the real load is higher", c.Missed))
	}
	if err := p.findBreakingRate(o.Seeds, window.Rate); err != nil {
		return nil, err
	}
	if err := p.findServersNeeded(o.Seeds, window.Rate); err != nil {
		return nil, err
	}
	return p, p.simulateZoneLosses(o.Seeds, window.Rate)
}

// busiestWindow returns the part of a capture, of a length, that has the most requests.
func busiestWindow(c *capture.Capture, length time.Duration) *capture.Capture {
	if c.Length <= length {
		return c
	}
	best, n, from := 0, 0, 0
	for to := range c.Records {
		for c.Records[to].Arrival()-c.Records[from].Arrival() >= length {
			from++
		}
		if to-from+1 > n {
			best, n = from, to-from+1
		}
	}
	w := *c
	w.Records, w.Length = slices.Clone(c.Records[best:best+n]), length
	first := w.Records[0].ArrivalMicros
	for i := range w.Records {
		w.Records[i].ArrivalMicros -= first
	}
	return &w
}

// setClassMix sets the load shares of the classes to those of the capture.
func (p *Plan) setClassMix() error {
	n, all := map[string]float64{}, 0.0
	for _, r := range p.capture.Records {
		n[r.Class]++
		all++
	}
	p.experiment.Classes = slices.Clone(p.experiment.Classes)
	for i := range p.experiment.Classes {
		k := &p.experiment.Classes[i]
		k.LoadShare = n[k.Name] / all
		delete(n, k.Name)
	}
	for name, k := range n {
		return fmt.Errorf("the capture has %.0f requests of class %q, which %s has not: add it, with its service time", k, name, p.experiment.Name)
	}
	return nil
}

// checkAttainable returns an error if no number of servers can meet the goals, as requests alone at a server are in time too rarely.
func (p *Plan) checkAttainable() error {
	rng := rand.New(rand.NewPCG(1, 0x706c616e))
	fastest := 0.0
	for _, g := range p.experiment.Fleet.Groups {
		fastest = max(fastest, g.Speed)
	}
	const n = 20_000
	for _, g := range p.Goals {
		in, of := 0, 0
		for i := range p.experiment.Classes {
			c := &p.experiment.Classes[i]
			if g.Class != "" && g.Class != c.Name {
				continue
			}
			l := &p.experiment.Fleet.Link
			for range int(n * max(c.LoadShare, 0.01)) {
				of++
				if time.Duration(float64(c.draw(rng))/fastest)+2*l.Delay.D()+l.transferTime(c.ResponseSize) <= c.LatencyObjective.D() {
					in++
				}
			}
		}
		if part := float64(in) / float64(max(of, 1)); part < g.InTime-0.0005 {
			return fmt.Errorf("goal %v cannot be had with any number of servers: alone at the fastest one %.4g of the requests are in time, by their service times", g, part)
		}
	}
	return nil
}

// simulate runs a multiple of the window's load on a number of servers, optionally with a zone killed. It returns the missed goal (empty
// if all are met), the fraction of requests in time and their number a second.
func (p *Plan) simulate(by float64, servers int, seed uint64, kill string) (missed string, inTime float64, goodput float64, err error) {
	e := p.fleetOf(servers)
	if err := e.setTrace(p.capture, &Trace{File: "the capture", Speed: 1, Multiplier: by, UnknownClasses: "refuse"}); err != nil {
		return "", 0, 0, err
	}
	e.Seed = int(seed)
	e.Phases = []config.Duration{config.Duration(planLearningTime)}
	if kill != "" {
		at := e.Length.D() / 3
		e.Events = []Event{{At: config.Duration(at), Action: "kill", FailureMode: "refuses", Zone: kill, Fraction: 1}}
		e.Phases = []config.Duration{config.Duration(at + zoneLossSettleTime)}
	}
	r, err := Simulate(e, 1)
	if err != nil {
		return "", 0, 0, err
	}
	missed, inTime = p.missedGoal(r)
	last := &r.Phases[len(r.Phases)-1]
	return missed, inTime, float64(last.All.InTime) / (last.To - last.From).Seconds(), nil
}

// missedGoal returns the goal that the last phase of a report misses most, with its results, and the fraction of requests in time.
func (p *Plan) missedGoal(r *Report) (missed string, inTime float64) {
	last := &r.Phases[len(r.Phases)-1]
	worst := 0.0
	for _, g := range p.Goals {
		o := &last.All
		if g.Class != "" {
			for i := range last.Classes {
				if last.Classes[i].Class == g.Class {
					o = &last.Classes[i]
				}
			}
		}
		v := o.fraction(o.InTime)
		if short := g.InTime - v; o.Requests > 0 && short > worst {
			worst = short
			missed = fmt.Sprintf("%v: %.4g in time, %.4g late, %.4g refused, p99 %v", g, v, o.fraction(o.Late), o.fraction(o.Rejected+o.Failed), o.P99.Round(time.Millisecond))
		}
	}
	return missed, last.All.fraction(last.All.InTime)
}

// fleetOf returns the fleet scaled to a number of servers, with its groups in proportion; 0: unchanged.
func (p *Plan) fleetOf(servers int) *Experiment {
	e := *p.experiment
	e.Length = config.Duration(min(p.capture.Length, planRunLength))
	e.Events = nil
	if servers == 0 || servers == p.Servers {
		return &e
	}
	e.Fleet.Groups = slices.Clone(e.Fleet.Groups)
	left, all := servers, p.Servers
	for i := range e.Fleet.Groups {
		g := &e.Fleet.Groups[i]
		was := g.Servers
		g.Servers = int(math.Round(float64(left) * float64(was) / float64(all)))
		left, all = left-g.Servers, all-was
	}
	e.Fleet.Groups = slices.DeleteFunc(e.Fleet.Groups, func(g Group) bool { return g.Servers == 0 })
	return &e
}

// findBreakingRate finds the highest rate that meets the goals, by bisection for each seed.
func (p *Plan) findBreakingRate(seeds int, rate float64) error {
	bound := p.Capacity / rate
	var l []float64
	for seed := range uint64(seeds) {
		low, high := 0.0, 1.6*bound
		missed, _, _, err := p.simulate(high, 0, seed+1, "")
		if err != nil {
			return err
		}
		if missed == "" {
			p.BreakingRate.ExceedsRange, low = true, high
		}
		why := missed
		for !p.BreakingRate.ExceedsRange && high-low > 0.01*bound {
			middle := (low + high) / 2
			missed, _, _, err := p.simulate(middle, 0, seed+1, "")
			if err != nil {
				return err
			}
			if missed == "" {
				low = middle
			} else {
				high, why = middle, missed
			}
		}
		if l = append(l, low*rate); seed == 0 {
			p.BreakingGoal = why
		}
	}
	p.BreakingRate = estimate(l, p.BreakingRate.ExceedsRange)
	return nil
}

// estimate summarizes the values of several seeds.
func estimate(l []float64, beyond bool) Estimate {
	return Estimate{Median: median(l), Low: slices.Min(l), High: slices.Max(l), ExceedsRange: beyond}
}

// findServersNeeded finds the fewest servers that meet the goals at the rate, for each seed, from the lower bound on.
func (p *Plan) findServersNeeded(seeds int, rate float64) error {
	var l []float64
	for seed := range uint64(seeds) {
		holds := func(n int) (bool, error) {
			missed, _, _, err := p.simulate(p.Rate/rate, n, seed+1, "")
			return missed == "", err
		}
		low, high := max(p.MinServersByWork, len(p.experiment.Fleet.Groups))-1, max(p.MinServersByWork, len(p.experiment.Fleet.Groups))
		for {
			ok, err := holds(high)
			if err != nil {
				return err
			}
			if ok {
				break
			}
			if low = high; high > 4*p.MinServersByWork+8 || high >= maxServers {
				p.ServersNeeded = Estimate{Median: float64(high), Low: float64(high), High: float64(high), ExceedsRange: true}
				return nil
			}
			high = high + max(high/5, 1)
		}
		for high-low > 1 {
			middle := (low + high) / 2
			ok, err := holds(middle)
			if err != nil {
				return err
			}
			if ok {
				high = middle
			} else {
				low = middle
			}
		}
		l = append(l, float64(high))
	}
	p.ServersNeeded = estimate(l, false)
	return nil
}

// simulateZoneLosses simulates the loss of each zone at the rate.
func (p *Plan) simulateZoneLosses(seeds int, rate float64) error {
	if len(p.experiment.Fleet.Zones) < 2 {
		return nil
	}
	for _, z := range p.experiment.Fleet.Zones {
		l, x := []float64(nil), ZoneLoss{Zone: z, GoalsMet: true}
		for seed := range uint64(seeds) {
			missed, in, _, err := p.simulate(p.Rate/rate, 0, seed+1, z)
			if err != nil {
				return err
			}
			if l = append(l, in); missed != "" {
				x.GoalsMet, x.MissedGoal = false, missed
			}
		}
		x.InTime = estimate(l, false)
		p.ZoneLosses = append(p.ZoneLosses, x)
	}
	return nil
}

// Confirm runs the load on the loopback engine, at the planned rate and at nine tenths of the breaking rate, and adds a Confirmation of
// each. It blocks for the length of the runs.
func (p *Plan) Confirm(ctx context.Context, opt LoopbackOptions) error {
	window := Fit(p.capture).Rate
	rates := []float64{p.Rate}
	if !p.BreakingRate.ExceedsRange && p.BreakingRate.Median > 0 {
		rates = append(rates, 0.9*p.BreakingRate.Median)
	}
	for _, rate := range rates {
		k := Confirmation{Rate: rate}
		var err error
		if _, k.PredictedInTime, k.Predicted, err = p.simulate(rate/window, 0, 1, ""); err != nil {
			return err
		}
		e := p.fleetOf(0)
		if err := e.setTrace(p.capture, &Trace{File: "the capture", Speed: 1, Multiplier: rate / window, UnknownClasses: "refuse"}); err != nil {
			return err
		}
		e.Seed, e.Phases = 1, []config.Duration{config.Duration(planLearningTime)}
		r, err := RunLoopback(ctx, e, 1, opt)
		if err != nil {
			return err
		}
		last := &r.Phases[len(r.Phases)-1]
		k.Measured, k.MeasuredInTime = float64(last.All.InTime)/(last.To-last.From).Seconds(), last.All.fraction(last.All.InTime)
		k.RelativeError = k.Predicted/max(k.Measured, 1e-9) - 1
		switch {
		case r.EndedEarly != "":
			k.Note = r.EndedEarly
		case r.Generator.Bottleneck:
			k.Note = "the generator was the bottleneck"
		}
		if p.Confirmations = append(p.Confirmations, k); r.EndedEarly != "" {
			return fmt.Errorf("the replay ended early: %s", r.EndedEarly)
		}
	}
	return nil
}

// Print writes the plan as text.
func (p *Plan) Print(out io.Writer) error {
	var goals []string
	for _, g := range p.Goals {
		goals = append(goals, g.String())
	}
	fmt.Fprintf(out, "%s, %d servers; goal: %s\n\n", p.Fleet, p.Servers, strings.Join(goals, ", "))
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "breaks at\t%v requests a second\t(its workers can do %.4g)\n", p.BreakingRate, p.Capacity)
	if p.BreakingGoal != "" {
		fmt.Fprintf(t, "breaks first\t%s\t\n", p.BreakingGoal)
	}
	fmt.Fprintf(t, "needs at %.4g a second\t%v servers\t(the work alone needs %d)\n", p.Rate, p.ServersNeeded, p.MinServersByWork)
	for _, l := range p.ZoneLosses {
		says := "the goal holds"
		if !l.GoalsMet {
			says = "DOES NOT HOLD: " + l.MissedGoal
		}
		fmt.Fprintf(t, "without zone %s\t%v in time\t%s\n", l.Zone, l.InTime, says)
	}
	for _, k := range p.Confirmations {
		fmt.Fprintf(t, "replayed at %.4g a second\t%.4g in time a second predicted, %.4g measured\terror %+.1f%%; part in time %.4g and %.4g %s\n", k.Rate, k.Predicted,
			k.Measured, 100*k.RelativeError, k.PredictedInTime, k.MeasuredInTime, k.Note)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("writing the plan: %w", err)
	}
	fmt.Fprintln(out, "\nIt rests on this:")
	for _, a := range p.Assumptions {
		fmt.Fprintln(out, "-", a)
	}
	return nil
}

// JSON writes the plan as JSON.
func (p *Plan) JSON(out io.Writer) error { return writeJSON(out, p) }
