package experiment

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is the outcome of a client's request.
type outcome uint8

const (
	inTime     outcome = iota
	servedLate         // served, but later than the latency objective
	rejected           // by admission control or a rate limit; safe to retry
	failed             // any other response
	lost               // no response
)

// maxPoints is the maximum number of points of a time series.
const maxPoints = 100

// collector collects the results of a run of either engine. It is not safe for concurrent use.
type collector struct {
	experiment                       *Experiment
	classIndex                       map[string]int
	phases                           []Phase
	series                           []Point
	interval                         time.Duration
	requests, lost, steps            int
	duplicateEffects, sentAfterDrain int
	restartTime                      time.Duration
}

// Point is a point of the time series. It counts the requests that began in its interval, over all seeds.
type Point struct {
	Start    time.Duration  `json:"from_ns"`
	InTime   int            `json:"in_time"`
	Late     int            `json:"late"`
	Rejected int            `json:"refused"`
	Failed   int            `json:"failed"` // failed or lost
	P50      time.Duration  `json:"p50_ns"` // of served requests
	P99      time.Duration  `json:"p99_ns"`
	Attempts map[string]int `json:"attempts"` // by server

	latencies *hdrhistogram.Histogram
}

func newCollector(e *Experiment) *collector {
	c := &collector{experiment: e, classIndex: map[string]int{}, interval: max(e.Length.D()/maxPoints, 100*time.Millisecond)}
	from := time.Duration(0)
	for i := range len(e.Phases) + 1 {
		phase := Phase{From: from, To: e.Length.D()}
		if i < len(e.Phases) {
			phase.To = e.Phases[i].D()
		}
		for j, class := range e.Classes {
			phase.Classes = append(phase.Classes, Outcome{Class: class.Name})
			c.classIndex[class.Name] = j
		}
		c.phases = append(c.phases, phase)
		from = phase.To
	}
	for at := time.Duration(0); at < e.Length.D(); at += c.interval {
		c.series = append(c.series, Point{Start: at, Attempts: map[string]int{}})
	}
	return c
}

func (c *collector) phaseAt(at time.Duration) *Phase {
	for i := range c.phases {
		if at < c.phases[i].To {
			return &c.phases[i]
		}
	}
	return &c.phases[len(c.phases)-1]
}

func (c *collector) pointAt(at time.Duration) *Point {
	return &c.series[min(max(int(at/c.interval), 0), len(c.series)-1)]
}

// recordOutcome counts a request that began at the given offset from the start of the run.
func (c *collector) recordOutcome(at, took time.Duration, class string, out outcome) {
	c.requests++
	phase, point := c.phaseAt(at), c.pointAt(at)
	phase.Classes[c.classIndex[class]].count(took, out)
	phase.All.count(took, out)
	switch out {
	case inTime:
		point.InTime++
	case servedLate:
		point.Late++
	case rejected:
		point.Rejected++
	default:
		point.Failed++
	}
	if out == inTime || out == servedLate {
		if point.latencies == nil {
			point.latencies = newHistogram(2)
		}
		recordDuration(point.latencies, took)
	}
	if out == lost {
		c.lost++
	}
}

// recordAttempt counts an attempt at a server. A server that restarted under a new ID counts under its original one.
func (c *collector) recordAttempt(at time.Duration, server string) {
	c.pointAt(at).Attempts[strings.TrimRight(server, "'")]++
}

// addServerCounts adds the counts of attempts, connections and servers of another phase.
func (p *Phase) addServerCounts(other *Phase) {
	p.CrossZoneAttempts += other.CrossZoneAttempts
	p.Attempts += other.Attempts
	p.NewConnections += other.NewConnections
	p.CollapsedServers += other.CollapsedServers
	p.MaxWarmingLoad = max(p.MaxWarmingLoad, other.MaxWarmingLoad)
	p.MaxServerRequests = max(p.MaxServerRequests, other.MaxServerRequests)
}

// newHistogram returns a histogram of durations up to an hour, in microseconds, with the given number of significant digits.
func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), digits)
}

func recordDuration(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(max(int64(took/time.Microsecond), 1), int64(time.Hour/time.Microsecond)))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}

func (o *Outcome) count(took time.Duration, out outcome) {
	o.Requests++
	switch out {
	case inTime:
		o.InTime++
	case servedLate:
		o.Late++
	case rejected:
		o.Rejected++
	case failed:
		o.Failed++
	case lost:
		o.Lost++
	}
	if out == inTime || out == servedLate {
		if o.latencies == nil {
			o.latencies = newHistogram(3)
		}
		recordDuration(o.latencies, took)
	}
}

func (o *Outcome) merge(other *Outcome) {
	o.Requests += other.Requests
	o.InTime += other.InTime
	o.Late += other.Late
	o.Rejected += other.Rejected
	o.Failed += other.Failed
	o.Lost += other.Lost
	if other.latencies != nil {
		if o.latencies == nil {
			o.latencies = newHistogram(3)
		}
		o.latencies.Merge(other.latencies)
	}
}

func (p *Point) merge(other *Point) {
	p.InTime += other.InTime
	p.Late += other.Late
	p.Rejected += other.Rejected
	p.Failed += other.Failed
	for id, n := range other.Attempts {
		p.Attempts[id] += n
	}
	if other.latencies != nil {
		if p.latencies == nil {
			p.latencies = newHistogram(2)
		}
		p.latencies.Merge(other.latencies)
	}
}

// Servers returns the sorted IDs of the servers that received attempts.
func (r *Report) Servers() (ids []string) {
	for i := range r.Series {
		for id := range r.Series[i].Attempts {
			if at, ok := slices.BinarySearch(ids, id); !ok {
				ids = slices.Insert(ids, at, id)
			}
		}
	}
	return ids
}

// busiestShare returns the fraction of all attempts that the busiest server received.
func (r *Report) busiestShare() float64 {
	byServer, total := map[string]int{}, 0
	for i := range r.Series {
		for id, n := range r.Series[i].Attempts {
			byServer[id] += n
			total += n
		}
	}
	most := 0
	for _, n := range byServer {
		most = max(most, n)
	}
	return float64(most) / float64(max(total, 1))
}
