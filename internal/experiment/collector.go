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
	rejected           // by load or rate limit; a retry is harmless
	failed             // any other response
	lost               // no response
)

// maxPoints is the number of points of a time series.
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
		p := Phase{From: from, To: e.Length.D()}
		if i < len(e.Phases) {
			p.To = e.Phases[i].D()
		}
		for j, k := range e.Classes {
			p.Classes = append(p.Classes, Outcome{Class: k.Name})
			c.classIndex[k.Name] = j
		}
		c.phases = append(c.phases, p)
		from = p.To
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

// recordOutcome counts a request that began at an offset from the start of the run.
func (c *collector) recordOutcome(at, took time.Duration, class string, out outcome) {
	c.requests++
	p, s := c.phaseAt(at), c.pointAt(at)
	p.Classes[c.classIndex[class]].count(took, out)
	p.All.count(took, out)
	switch out {
	case inTime:
		s.InTime++
	case servedLate:
		s.Late++
	case rejected:
		s.Rejected++
	default:
		s.Failed++
	}
	if out == inTime || out == servedLate {
		if s.latencies == nil {
			s.latencies = histogram(2)
		}
		record(s.latencies, took)
	}
	if out == lost {
		c.lost++
	}
}

// recordAttempt counts an attempt at a server. A restarted server with a new ID counts under its first one.
func (c *collector) recordAttempt(at time.Duration, server string) {
	c.pointAt(at).Attempts[strings.TrimRight(server, "'")]++
}

// addServerCounts adds the counts that servers have made in o.
func (p *Phase) addServerCounts(o *Phase) {
	p.CrossZoneAttempts += o.CrossZoneAttempts
	p.Attempts += o.Attempts
	p.NewConnections += o.NewConnections
	p.CollapsedServers += o.CollapsedServers
	p.MaxWarmingLoad = max(p.MaxWarmingLoad, o.MaxWarmingLoad)
	p.MaxServerRequests = max(p.MaxServerRequests, o.MaxServerRequests)
}

// histogram returns a histogram of durations up to an hour, in microseconds, with a number of significant digits.
func histogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), digits)
}

func record(h *hdrhistogram.Histogram, took time.Duration) {
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
			o.latencies = histogram(3)
		}
		record(o.latencies, took)
	}
}

func (o *Outcome) merge(x *Outcome) {
	o.Requests += x.Requests
	o.InTime += x.InTime
	o.Late += x.Late
	o.Rejected += x.Rejected
	o.Failed += x.Failed
	o.Lost += x.Lost
	if x.latencies != nil {
		if o.latencies == nil {
			o.latencies = histogram(3)
		}
		o.latencies.Merge(x.latencies)
	}
}

func (p *Point) merge(x *Point) {
	p.InTime += x.InTime
	p.Late += x.Late
	p.Rejected += x.Rejected
	p.Failed += x.Failed
	for id, n := range x.Attempts {
		p.Attempts[id] += n
	}
	if x.latencies != nil {
		if p.latencies == nil {
			p.latencies = histogram(2)
		}
		p.latencies.Merge(x.latencies)
	}
}

// Servers returns the sorted IDs of the servers that received attempts.
func (r *Report) Servers() (l []string) {
	for i := range r.Series {
		for id := range r.Series[i].Attempts {
			if at, ok := slices.BinarySearch(l, id); !ok {
				l = slices.Insert(l, at, id)
			}
		}
	}
	return l
}

// busiest returns the fraction of all attempts that the busiest server received.
func (r *Report) busiest() float64 {
	sum, all := map[string]int{}, 0
	for i := range r.Series {
		for id, n := range r.Series[i].Attempts {
			sum[id] += n
			all += n
		}
	}
	most := 0
	for _, n := range sum {
		most = max(most, n)
	}
	return float64(most) / float64(max(all, 1))
}
