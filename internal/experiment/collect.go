package experiment

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a client's request ended.
type outcome uint8

const (
	inTime  outcome = iota
	late            // served, but later than its class wants
	refused         // asking again is harmless
	failed          // answered otherwise
	lost            // no answer at all
	outcomes
)

// points is how many parts of a run's length its curves have.
const points = 100

// collector takes what one run shows, from either engine. It is not safe for several goroutines at once.
type collector struct {
	e                  *Experiment
	class              map[string]int
	phases             []Phase
	series             []Point
	width              time.Duration
	asked, lost, steps int
	twice, afterDrain  int
	back               time.Duration
}

// Point is a part of a run's length. Counts are of requests that were asked in it, over all seeds.
type Point struct {
	From    time.Duration  `json:"from_ns"`
	InTime  int            `json:"in_time"`
	Late    int            `json:"late"`
	Refused int            `json:"refused"`
	Failed  int            `json:"failed"` // and lost
	P50     time.Duration  `json:"p50_ns"` // of those answered
	P99     time.Duration  `json:"p99_ns"`
	Sends   map[string]int `json:"attempts"` // by server

	took *hdrhistogram.Histogram
}

func newCollector(e *Experiment) *collector {
	c := &collector{e: e, class: map[string]int{}, width: max(e.Length.D()/points, 100*time.Millisecond)}
	from := time.Duration(0)
	for i := range len(e.Phases) + 1 {
		p := Phase{From: from, To: e.Length.D()}
		if i < len(e.Phases) {
			p.To = e.Phases[i].D()
		}
		for j, k := range e.Classes {
			p.Classes = append(p.Classes, Outcome{Class: k.Name})
			c.class[k.Name] = j
		}
		c.phases = append(c.phases, p)
		from = p.To
	}
	for at := time.Duration(0); at < e.Length.D(); at += c.width {
		c.series = append(c.series, Point{From: at, Sends: map[string]int{}})
	}
	return c
}

func (c *collector) phase(at time.Duration) *Phase {
	for i := range c.phases {
		if at < c.phases[i].To {
			return &c.phases[i]
		}
	}
	return &c.phases[len(c.phases)-1]
}

func (c *collector) point(at time.Duration) *Point {
	return &c.series[min(max(int(at/c.width), 0), len(c.series)-1)]
}

// answered takes a request that was asked at a time since the start.
func (c *collector) answered(at, took time.Duration, class string, out outcome) {
	c.asked++
	p, s := c.phase(at), c.point(at)
	p.Classes[c.class[class]].count(took, out)
	p.All.count(took, out)
	switch out {
	case inTime:
		s.InTime++
	case late:
		s.Late++
	case refused:
		s.Refused++
	default:
		s.Failed++
	}
	if out == inTime || out == late {
		if s.took == nil {
			s.took = histogram(2)
		}
		record(s.took, took)
	}
	if out == lost {
		c.lost++
	}
}

// sent takes an attempt to a server; one that came back under a new id counts as the one that it was.
func (c *collector) sent(at time.Duration, server string) {
	c.point(at).Sends[strings.TrimRight(server, "'")]++
}

// servers adds what servers saw in o.
func (p *Phase) servers(o *Phase) {
	p.Crossed, p.Sends, p.Connects, p.Fallen = p.Crossed+o.Crossed, p.Sends+o.Sends, p.Connects+o.Connects, p.Fallen+o.Fallen
	p.WorstCold, p.Queue = max(p.WorstCold, o.WorstCold), max(p.Queue, o.Queue)
}

// histogram holds times of up to an hour in microseconds, with so many digits.
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
	o.Asked++
	switch out {
	case inTime:
		o.InTime++
	case late:
		o.Late++
	case refused:
		o.Refused++
	case failed:
		o.Failed++
	case lost:
		o.Lost++
	}
	if out == inTime || out == late {
		if o.took == nil {
			o.took = histogram(3)
		}
		record(o.took, took)
	}
}

func (o *Outcome) merge(x *Outcome) {
	o.Asked, o.InTime, o.Late, o.Refused = o.Asked+x.Asked, o.InTime+x.InTime, o.Late+x.Late, o.Refused+x.Refused
	o.Failed, o.Lost = o.Failed+x.Failed, o.Lost+x.Lost
	if x.took != nil {
		if o.took == nil {
			o.took = histogram(3)
		}
		o.took.Merge(x.took)
	}
}

func (p *Point) merge(x *Point) {
	p.InTime, p.Late, p.Refused, p.Failed = p.InTime+x.InTime, p.Late+x.Late, p.Refused+x.Refused, p.Failed+x.Failed
	for id, n := range x.Sends {
		p.Sends[id] += n
	}
	if x.took != nil {
		if p.took == nil {
			p.took = histogram(2)
		}
		p.took.Merge(x.took)
	}
}

// Servers are those that got attempts, sorted.
func (r *Report) Servers() (l []string) {
	for i := range r.Series {
		for id := range r.Series[i].Sends {
			if at, ok := slices.BinarySearch(l, id); !ok {
				l = slices.Insert(l, at, id)
			}
		}
	}
	return l
}

// busiest is the part of all attempts that the busiest server got.
func (r *Report) busiest() float64 {
	sum, all := map[string]int{}, 0
	for i := range r.Series {
		for id, n := range r.Series[i].Sends {
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
