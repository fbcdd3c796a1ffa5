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

// Goal is the fraction of a class's requests that must be served in time.
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
		return g, fmt.Errorf("goal %q: want CLASS=PART with a part above 0 and below 1, such as seat-hold=0.99", text)
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
	Rate  float64 // requests per second; 0: the rate of the capture
	Seeds int     // seeds per simulation; 0: 3
}

// Plan is a capacity plan. Rates are in requests per second.
type Plan struct {
	Fleet            string         `json:"fleet"`
	Goals            []Goal         `json:"goals"`
	Rate             float64        `json:"rate"`
	Servers          int            `json:"servers"`
	Capacity         float64        `json:"capacity"`        // of the workers, from the service times
	MinServersByWork int            `json:"servers_by_work"` // lower bound of the servers for the rate, from the service times
	BreakingRate     Estimate       `json:"breaks_at"`       // the highest rate at which all goals are met
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

// ZoneLoss is the effect of the loss of a zone, measured from zoneLossSettleTime after the loss.
type ZoneLoss struct {
	Zone       string   `json:"zone"`
	InTime     Estimate `json:"in_time"` // fraction of all requests
	GoalsMet   bool     `json:"holds"`   // with every seed
	MissedGoal string   `json:"missed,omitempty"`
}

// Confirmation compares a prediction with a run of the loopback engine.
type Confirmation struct {
	Rate            float64 `json:"rate"`
	Predicted       float64 `json:"predicted"` // requests served in time per second
	Measured        float64 `json:"measured"`
	PredictedInTime float64 `json:"predicted_in_time"` // fraction of the requests
	MeasuredInTime  float64 `json:"measured_in_time"`
	RelativeError   float64 `json:"error"` // of the prediction
	Note            string  `json:"note,omitempty"`
}

// Requirements on a capture and lengths of simulations.
const (
	minPlanRequests    = 500
	minPlanCapture     = 10 * time.Second
	planRunLength      = 40 * time.Second // maximum length of a simulation
	planLearningTime   = 5 * time.Second  // start of each run that is excluded from the results, while gateways adapt to the load
	zoneLossSettleTime = 3 * time.Second  // after the loss of a zone, excluded from the results
)

// MakePlan simulates the captured load on a fleet. It finds the rate at which a goal is missed, the number of servers needed to meet
// the goals, and the effect of the loss of each zone. The load of the fleet's experiment is ignored. It returns an error if the capture is
// too short or no number of servers meets the goals.
func MakePlan(fleet *Experiment, captured *capture.Capture, options PlanOptions) (*Plan, error) {
	options.Seeds = cmp.Or(options.Seeds, 3)
	e := *fleet
	e.Load = Load{Arrivals: "poisson", RetryMode: fleet.Load.RetryMode}
	e.Events, e.Checks, e.trace = nil, nil, nil
	if len(options.Goals) == 0 {
		options.Goals = []Goal{{InTime: 0.99}}
	}
	for _, g := range options.Goals {
		if g.Class != "" && !slices.ContainsFunc(e.Classes, func(class Class) bool { return class.Name == g.Class }) {
			return nil, fmt.Errorf("goal %v: there is no class %q in %s", g, g.Class, e.Name)
		}
	}
	if captured.Length < minPlanCapture || len(captured.Records) < minPlanRequests {
		return nil, fmt.Errorf("the capture is too short to tell: %d requests over %v; want at least %d over %v", len(captured.Records), captured.Length.Round(time.Millisecond),
			minPlanRequests, minPlanCapture)
	}
	plan := &Plan{Fleet: e.Name, Goals: options.Goals, experiment: &e, capture: busiestWindow(captured, planRunLength)}
	window := Fit(plan.capture)
	if plan.Rate = options.Rate; plan.Rate == 0 {
		plan.Rate = window.Rate
	}
	if err := plan.setClassMix(); err != nil {
		return nil, err
	}
	if err := plan.checkAttainable(); err != nil {
		return nil, err
	}
	for _, g := range e.Fleet.Groups {
		plan.Servers += g.Servers
	}
	plan.Capacity = e.capacity()
	plan.MinServersByWork = max(int(math.Ceil(plan.Rate/(plan.Capacity/float64(plan.Servers)))), 1)
	plan.Assumptions = []string{
		fmt.Sprintf("the load is that of the busiest %v of the capture (burstiness %.2f; 1 is a Poisson load), with its rate scaled and its mix of classes unchanged",
			plan.capture.Length.Round(time.Second), window.Burstiness),
		"service times, speeds and workers are those of the fleet file; nothing else is a bottleneck, such as the network or the gateways' CPUs",
		"additional servers are of the same kinds, in the same proportions",
		fmt.Sprintf("the first %v of each run are excluded, while gateways adapt to the load", planLearningTime),
	}
	if captured.Missed > 0 {
		plan.Assumptions = append(plan.Assumptions, fmt.Sprintf("the capture missed %d requests: the actual load was higher", captured.Missed))
	}
	if err := plan.findBreakingRate(options.Seeds, window.Rate); err != nil {
		return nil, err
	}
	if err := plan.findServersNeeded(options.Seeds, window.Rate); err != nil {
		return nil, err
	}
	return plan, plan.simulateZoneLosses(options.Seeds, window.Rate)
}

// busiestWindow returns the window of the given length that has the most requests of the capture.
func busiestWindow(captured *capture.Capture, length time.Duration) *capture.Capture {
	if captured.Length <= length {
		return captured
	}
	bestStart, bestCount, start := 0, 0, 0
	for end := range captured.Records {
		for captured.Records[end].Arrival()-captured.Records[start].Arrival() >= length {
			start++
		}
		if end-start+1 > bestCount {
			bestStart, bestCount = start, end-start+1
		}
	}
	window := *captured
	window.Records, window.Length = slices.Clone(captured.Records[bestStart:bestStart+bestCount]), length
	firstArrival := window.Records[0].ArrivalMicros
	for i := range window.Records {
		window.Records[i].ArrivalMicros -= firstArrival
	}
	return &window
}

// setClassMix sets the load shares of the classes to those of the capture.
func (p *Plan) setClassMix() error {
	counts, total := map[string]float64{}, 0.0
	for _, record := range p.capture.Records {
		counts[record.Class]++
		total++
	}
	p.experiment.Classes = slices.Clone(p.experiment.Classes)
	for i := range p.experiment.Classes {
		k := &p.experiment.Classes[i]
		k.LoadShare = counts[k.Name] / total
		delete(counts, k.Name)
	}
	for name, k := range counts {
		return fmt.Errorf("the capture has %.0f requests of class %q, which %s has not: add it, with its service time", k, name, p.experiment.Name)
	}
	return nil
}

// checkAttainable returns an error if no number of servers can meet the goals. It samples how often a request that is alone at the
// fastest server is in time.
func (p *Plan) checkAttainable() error {
	rng := rand.New(rand.NewPCG(1, 0x706c616e))
	fastest := 0.0
	for _, g := range p.experiment.Fleet.Groups {
		fastest = max(fastest, g.Speed)
	}
	const samples = 20_000
	for _, g := range p.Goals {
		inTime, drawn := 0, 0
		for i := range p.experiment.Classes {
			class := &p.experiment.Classes[i]
			if g.Class != "" && g.Class != class.Name {
				continue
			}
			link := &p.experiment.Fleet.Link
			for range int(samples * max(class.LoadShare, 0.01)) {
				drawn++
				if time.Duration(float64(class.draw(rng))/fastest)+2*link.Delay.D()+link.transferTime(class.ResponseSize) <= class.LatencyObjective.D() {
					inTime++
				}
			}
		}
		if fraction := float64(inTime) / float64(max(drawn, 1)); fraction < g.InTime-0.0005 {
			return fmt.Errorf("goal %v cannot be had with any number of servers: alone at the fastest one %.4g of the requests are in time, by their service times", g, fraction)
		}
	}
	return nil
}

// simulate runs a multiple of the window's load on a number of servers (0: unchanged) and kills a zone unless killedZone is empty. It
// returns the missed goal (empty if all are met), the fraction of requests in time, and the requests in time per second.
func (p *Plan) simulate(multiplier float64, servers int, seed uint64, killedZone string) (missed string, inTime float64, goodput float64, err error) {
	e := p.scaledFleet(servers)
	if err := e.setTrace(p.capture, &Trace{File: "the capture", Speed: 1, Multiplier: multiplier, UnknownClasses: "refuse"}); err != nil {
		return "", 0, 0, err
	}
	e.Seed = int(seed)
	e.Phases = []config.Duration{config.Duration(planLearningTime)}
	if killedZone != "" {
		killedAt := e.Length.D() / 3
		e.Events = []Event{{At: config.Duration(killedAt), Action: "kill", FailureMode: "refuses", Zone: killedZone, Fraction: 1}}
		e.Phases = []config.Duration{config.Duration(killedAt + zoneLossSettleTime)}
	}
	report, err := Simulate(e, 1)
	if err != nil {
		return "", 0, 0, err
	}
	missed, inTime = p.missedGoal(report)
	last := &report.Phases[len(report.Phases)-1]
	return missed, inTime, float64(last.All.InTime) / (last.To - last.From).Seconds(), nil
}

// missedGoal describes the goal that the last phase of a report misses by the most, with the results; it is empty if all goals are met.
// It also returns the fraction of requests in time.
func (p *Plan) missedGoal(report *Report) (missed string, inTime float64) {
	last := &report.Phases[len(report.Phases)-1]
	worst := 0.0
	for _, goal := range p.Goals {
		results := &last.All
		if goal.Class != "" {
			for i := range last.Classes {
				if last.Classes[i].Class == goal.Class {
					results = &last.Classes[i]
				}
			}
		}
		achieved := results.fraction(results.InTime)
		if shortfall := goal.InTime - achieved; results.Requests > 0 && shortfall > worst {
			worst = shortfall
			missed = fmt.Sprintf("%v: %.4g in time, %.4g late, %.4g refused, p99 %v", goal, achieved, results.fraction(results.Late), results.fraction(results.Rejected+results.Failed), results.P99.Round(time.Millisecond))
		}
	}
	return missed, last.All.fraction(last.All.InTime)
}

// scaledFleet returns the fleet scaled to a number of servers, with its groups in proportion; 0: unchanged.
func (p *Plan) scaledFleet(servers int) *Experiment {
	e := *p.experiment
	e.Length = config.Duration(min(p.capture.Length, planRunLength))
	e.Events = nil
	if servers == 0 || servers == p.Servers {
		return &e
	}
	e.Fleet.Groups = slices.Clone(e.Fleet.Groups)
	remaining, total := servers, p.Servers
	for i := range e.Fleet.Groups {
		group := &e.Fleet.Groups[i]
		previous := group.Servers
		group.Servers = int(math.Round(float64(remaining) * float64(previous) / float64(total)))
		remaining, total = remaining-group.Servers, total-previous
	}
	e.Fleet.Groups = slices.DeleteFunc(e.Fleet.Groups, func(group Group) bool { return group.Servers == 0 })
	return &e
}

// findBreakingRate finds the highest rate that meets the goals, by bisection for each seed. windowRate is the rate of the captured
// window.
func (p *Plan) findBreakingRate(seeds int, windowRate float64) error {
	capacityMultiple := p.Capacity / windowRate
	var rates []float64
	for seed := range uint64(seeds) {
		low, high := 0.0, 1.6*capacityMultiple
		missed, _, _, err := p.simulate(high, 0, seed+1, "")
		if err != nil {
			return err
		}
		if missed == "" {
			p.BreakingRate.ExceedsRange, low = true, high
		}
		breakingGoal := missed
		for !p.BreakingRate.ExceedsRange && high-low > 0.01*capacityMultiple {
			middle := (low + high) / 2
			missed, _, _, err := p.simulate(middle, 0, seed+1, "")
			if err != nil {
				return err
			}
			if missed == "" {
				low = middle
			} else {
				high, breakingGoal = middle, missed
			}
		}
		if rates = append(rates, low*windowRate); seed == 0 {
			p.BreakingGoal = breakingGoal
		}
	}
	p.BreakingRate = estimate(rates, p.BreakingRate.ExceedsRange)
	return nil
}

// estimate summarizes the values of several seeds.
func estimate(values []float64, exceedsRange bool) Estimate {
	return Estimate{Median: median(values), Low: slices.Min(values), High: slices.Max(values), ExceedsRange: exceedsRange}
}

// findServersNeeded finds the smallest number of servers that meets the goals at the planned rate, for each seed. The search starts at
// MinServersByWork.
func (p *Plan) findServersNeeded(seeds int, windowRate float64) error {
	var counts []float64
	for seed := range uint64(seeds) {
		meetsGoals := func(servers int) (bool, error) {
			missed, _, _, err := p.simulate(p.Rate/windowRate, servers, seed+1, "")
			return missed == "", err
		}
		low, high := max(p.MinServersByWork, len(p.experiment.Fleet.Groups))-1, max(p.MinServersByWork, len(p.experiment.Fleet.Groups))
		for {
			ok, err := meetsGoals(high)
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
			ok, err := meetsGoals(middle)
			if err != nil {
				return err
			}
			if ok {
				high = middle
			} else {
				low = middle
			}
		}
		counts = append(counts, float64(high))
	}
	p.ServersNeeded = estimate(counts, false)
	return nil
}

// simulateZoneLosses simulates the loss of each zone at the planned rate.
func (p *Plan) simulateZoneLosses(seeds int, windowRate float64) error {
	if len(p.experiment.Fleet.Zones) < 2 {
		return nil
	}
	for _, zone := range p.experiment.Fleet.Zones {
		fractions, loss := []float64(nil), ZoneLoss{Zone: zone, GoalsMet: true}
		for seed := range uint64(seeds) {
			missed, inTime, _, err := p.simulate(p.Rate/windowRate, 0, seed+1, zone)
			if err != nil {
				return err
			}
			if fractions = append(fractions, inTime); missed != "" {
				loss.GoalsMet, loss.MissedGoal = false, missed
			}
		}
		loss.InTime = estimate(fractions, false)
		p.ZoneLosses = append(p.ZoneLosses, loss)
	}
	return nil
}

// Confirm runs the load on the loopback engine, at the planned rate and at 90% of the breaking rate, and adds a Confirmation for
// each. It blocks for the length of the runs.
func (p *Plan) Confirm(ctx context.Context, options LoopbackOptions) error {
	windowRate := Fit(p.capture).Rate
	rates := []float64{p.Rate}
	if !p.BreakingRate.ExceedsRange && p.BreakingRate.Median > 0 {
		rates = append(rates, 0.9*p.BreakingRate.Median)
	}
	for _, rate := range rates {
		confirmation := Confirmation{Rate: rate}
		var err error
		if _, confirmation.PredictedInTime, confirmation.Predicted, err = p.simulate(rate/windowRate, 0, 1, ""); err != nil {
			return err
		}
		e := p.scaledFleet(0)
		if err := e.setTrace(p.capture, &Trace{File: "the capture", Speed: 1, Multiplier: rate / windowRate, UnknownClasses: "refuse"}); err != nil {
			return err
		}
		e.Seed, e.Phases = 1, []config.Duration{config.Duration(planLearningTime)}
		report, err := RunLoopback(ctx, e, 1, options)
		if err != nil {
			return err
		}
		last := &report.Phases[len(report.Phases)-1]
		confirmation.Measured, confirmation.MeasuredInTime = float64(last.All.InTime)/(last.To-last.From).Seconds(), last.All.fraction(last.All.InTime)
		confirmation.RelativeError = confirmation.Predicted/max(confirmation.Measured, 1e-9) - 1
		switch {
		case report.EndedEarly != "":
			confirmation.Note = report.EndedEarly
		case report.Generator.Bottleneck:
			confirmation.Note = "the generator was the bottleneck"
		}
		if p.Confirmations = append(p.Confirmations, confirmation); report.EndedEarly != "" {
			return fmt.Errorf("the replay ended early: %s", report.EndedEarly)
		}
	}
	return nil
}

// Print writes the plan as text.
func (p *Plan) Print(out io.Writer) error {
	var goals []string
	for _, goal := range p.Goals {
		goals = append(goals, goal.String())
	}
	fmt.Fprintf(out, "%s, %d servers; goal: %s\n\n", p.Fleet, p.Servers, strings.Join(goals, ", "))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "breaks at\t%v requests a second\t(its workers can do %.4g)\n", p.BreakingRate, p.Capacity)
	if p.BreakingGoal != "" {
		fmt.Fprintf(table, "breaks first\t%s\t\n", p.BreakingGoal)
	}
	fmt.Fprintf(table, "needs at %.4g a second\t%v servers\t(the work alone needs %d)\n", p.Rate, p.ServersNeeded, p.MinServersByWork)
	for _, loss := range p.ZoneLosses {
		verdict := "the goal holds"
		if !loss.GoalsMet {
			verdict = "DOES NOT HOLD: " + loss.MissedGoal
		}
		fmt.Fprintf(table, "without zone %s\t%v in time\t%s\n", loss.Zone, loss.InTime, verdict)
	}
	for _, confirmation := range p.Confirmations {
		fmt.Fprintf(table, "replayed at %.4g a second\t%.4g in time a second predicted, %.4g measured\terror %+.1f%%; fraction in time %.4g and %.4g %s\n", confirmation.Rate, confirmation.Predicted,
			confirmation.Measured, 100*confirmation.RelativeError, confirmation.PredictedInTime, confirmation.MeasuredInTime, confirmation.Note)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the plan: %w", err)
	}
	fmt.Fprintln(out, "\nIt rests on this:")
	for _, assumption := range p.Assumptions {
		fmt.Fprintln(out, "-", assumption)
	}
	return nil
}

// JSON writes the plan as JSON.
func (p *Plan) JSON(out io.Writer) error { return writeJSON(out, p) }
