package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"robindrum/internal/capture"
	"robindrum/internal/config"
)

// Trace is a captured load as an open loop, in place of a rate.
type Trace struct {
	File           string  `yaml:"file"`    // of a capture; from the experiment's folder on where it is relative
	Speed          float64 `yaml:"speed"`   // 2: in half the time
	Multiplier     float64 `yaml:"by"`      // so many times the load; what was left out by sampling is made up for in any case
	UnknownClasses string  `yaml:"unknown"` // records of classes that the experiment has not: refuse (the file) or drop
}

// trace is a capture that is ready to be replayed.
type trace struct {
	*Trace
	peakRate float64          // requests a second in the busiest one
	records  []capture.Record // of known classes, in the order in which they came
	classes  []int            // of each record
	copies   float64          // of each record, on average
}

// openTrace reads the capture of an experiment, whose length it is where that is not said; nil: it cannot be used.
func (e *Experiment) openTrace(s *config.StrictDecoder, path string) *capture.Capture {
	t := e.Load.Trace
	if t.File == "" {
		s.AddError("load.trace.file", "is missing")
		return nil
	}
	if !filepath.IsAbs(t.File) {
		t.File = filepath.Join(filepath.Dir(path), t.File)
	}
	c, err := capture.Open(t.File)
	if err != nil {
		s.AddError("load.trace.file", "%v", err)
		return nil
	}
	if e.Length == 0 {
		e.Length = config.Duration(min(max(float64(c.Length)/max(cmp.Or(t.Speed, 1), 0.01), float64(time.Second)), float64(maxLength)))
	}
	return c
}

// setTrace takes a capture as the load.
func (e *Experiment) setTrace(c *capture.Capture, t *Trace) error {
	index, unknown := map[string]int{}, map[string]int{}
	for i, k := range e.Classes {
		index[k.Name] = i
	}
	r := &trace{Trace: t, copies: t.Multiplier / c.Sample}
	for _, x := range c.Records {
		i, ok := index[x.Class]
		if !ok {
			unknown[x.Class]++
			continue
		}
		r.records, r.classes = append(r.records, x), append(r.classes, i)
	}
	if len(unknown) > 0 && t.UnknownClasses != "drop" {
		names := []string{}
		for n, k := range unknown {
			names = append(names, fmt.Sprintf("%s (%d records)", n, k))
		}
		slices.Sort(names)
		return fmt.Errorf("classes that the experiment has not: %v; add them, or say unknown: drop", names)
	}
	if len(r.records) == 0 {
		return fmt.Errorf("%s holds no request of the experiment's classes", t.File)
	}
	n, least := 0, time.Duration(float64(e.Length)*t.Speed)
	for _, x := range r.records {
		if x.Came() < least {
			n++
		}
	}
	if float64(n)*r.copies > maxRequests {
		return fmt.Errorf("%.0f requests, %d at most", float64(n)*r.copies, maxRequests)
	}
	seconds := map[time.Duration]float64{}
	for _, x := range r.records {
		s := time.Duration(float64(x.Came())/t.Speed) / time.Second
		seconds[s] += r.copies
		r.peakRate = max(r.peakRate, seconds[s])
	}
	e.trace = r
	return nil
}

// traceReplay gives a trace's requests, in the order of time.
type traceReplay struct {
	*trace
	next    int
	pending []arrival // copies that are moved to a little later
}

// copySpread is the time within which the copies of a record come: at its own moment they would be a burst that nobody sent.
const copySpread = time.Second

// take gives the next one.
func (r *traceReplay) take(e *Experiment, rng *rand.Rand) (arrival, bool) {
	end := e.Length.D()
	for {
		var at time.Duration
		if more := r.next < len(r.records); more {
			at = time.Duration(float64(r.records[r.next].Came()) / r.Speed)
		} else {
			at = math.MaxInt64
		}
		if len(r.pending) > 0 && r.pending[0].at <= at {
			x := r.pending[0]
			if r.pending = r.pending[1:]; x.at >= end {
				return arrival{}, false
			}
			return x, true
		}
		if at >= end {
			if len(r.pending) == 0 {
				return arrival{}, false
			}
			r.next = len(r.records)
			continue
		}
		rec, class := &r.records[r.next], r.classes[r.next]
		r.next++
		n := int(r.copies)
		if rng.Float64() < r.copies-float64(n) {
			n++
		}
		for i := range n {
			x := arrival{at: at, class: class, gateway: rng.IntN(e.Gateways.Count), key: rec.Key}
			if i > 0 {
				x.at += time.Duration(rng.Float64() * float64(copySpread))
			}
			i, _ := slices.BinarySearchFunc(r.pending, x.at, func(a arrival, at time.Duration) int {
				if a.at <= at {
					return -1
				}
				return 1
			})
			r.pending = slices.Insert(r.pending, i, x)
		}
	}
}

// LoadModel is what a capture shows of its load.
type LoadModel struct {
	Requests float64       `json:"requests"` // made up for sampling
	Length   time.Duration `json:"length_ns"`
	Rate     float64       `json:"per_second"`
	Peak     float64       `json:"peak_per_second"` // of the busiest second
	// Burstiness is the variance of requests a second over their mean: 1 for a Poisson load.
	Burstiness   float64      `json:"burstiness"`
	Classes      []ClassModel `json:"classes"`
	Keys         int          `json:"keys"`
	ZipfExponent float64      `json:"keys_exponent"` // of a Zipf spread; 0: too few keys to tell
	Gaps         []Gap        `json:"gaps"`
	Notes        []string     `json:"notes"`
}

// ClassModel is one class of it.
type ClassModel struct {
	Name        string        `json:"name"`
	LoadShare   float64       `json:"part"`
	MeanLatency time.Duration `json:"mean_ns"` // of what was served, with the waits
	Variation   float64       `json:"variation"`
	Served      float64       `json:"served"`
	Rejected    float64       `json:"refused"`
}

// Gap is a time without requests that is too long to be chance.
type Gap struct {
	Start    time.Duration `json:"from_ns"`
	Duration time.Duration `json:"for_ns"`
}

// Fit reads a load model out of a capture.
func Fit(c *capture.Capture) LoadModel {
	f := LoadModel{Length: c.Length, Requests: float64(len(c.Records)) / c.Sample}
	if len(c.Records) == 0 || c.Length <= 0 {
		return f
	}
	f.Rate = f.Requests / c.Length.Seconds()
	seconds := make([]float64, int(c.Length/time.Second)+1)
	keys, times := map[string]float64{}, map[string][]float64{}
	counts := map[string]*[3]float64{} // all, served, refused
	last := time.Duration(0)
	// A pause that a Poisson load of this rate has once in a million requests.
	long := time.Duration(14 / (float64(len(c.Records)) / c.Length.Seconds()) * float64(time.Second))
	for i := range c.Records {
		r := &c.Records[i]
		if r.Came()-last > max(long, time.Second) {
			f.Gaps = append(f.Gaps, Gap{last, r.Came() - last})
		}
		last = r.Came()
		seconds[int(last/time.Second)] += 1 / c.Sample
		if keys[r.Key]++; r.Key == "" {
			delete(keys, "")
		}
		k := counts[r.Class]
		if k == nil {
			k = &[3]float64{}
			counts[r.Class] = k
		}
		k[0]++
		switch r.Outcome {
		case capture.Served:
			k[1]++
			times[r.Class] = append(times[r.Class], float64(r.Took)/1e6)
		case capture.Refused:
			k[2]++
		}
	}
	f.Peak = slices.Max(seconds)
	if whole := seconds[:len(seconds)-1]; len(whole) > 1 { // the last second is a part of one
		mean, variance := stat.MeanVariance(whole, nil)
		f.Burstiness = variance / mean
		if c.Sample < 1 { // sampling makes a load look like Poisson's
			f.Burstiness = max(0, (f.Burstiness-1/c.Sample)+1)
		}
	}
	for name, k := range counts {
		x := ClassModel{Name: name, LoadShare: k[0] / float64(len(c.Records)), Served: k[1] / k[0], Rejected: k[2] / k[0]}
		if t := times[name]; len(t) > 1 {
			mean, deviation := stat.MeanStdDev(t, nil)
			x.MeanLatency, x.Variation = time.Duration(mean*float64(time.Second)).Round(time.Microsecond), deviation/max(mean, 1e-9)
		}
		f.Classes = append(f.Classes, x)
	}
	slices.SortFunc(f.Classes, func(a, b ClassModel) int {
		return cmp.Or(cmp.Compare(b.LoadShare, a.LoadShare), cmp.Compare(a.Name, b.Name))
	})
	f.Keys, f.ZipfExponent = len(keys), zipfExponent(keys)
	if c.Cut {
		f.Notes = append(f.Notes, "the last line is not whole and was left out")
	}
	if !c.Whole {
		f.Notes = append(f.Notes, "the capture broke off: it has no end")
	}
	if c.Missed > 0 {
		f.Notes = append(f.Notes, fmt.Sprintf("%d requests were missed: the load was higher than what is shown", c.Missed))
	}
	for _, g := range f.Gaps {
		f.Notes = append(f.Notes, fmt.Sprintf("no request for %v from %v on", g.Duration.Round(time.Millisecond), g.Start.Round(time.Millisecond)))
	}
	return f
}

// zipfExponent is that of a Zipf spread: the slope of counts over ranks, both as logarithms, over the keys that were seen often.
func zipfExponent(keys map[string]float64) float64 {
	var n []float64
	for _, k := range keys {
		n = append(n, k)
	}
	slices.SortFunc(n, func(a, b float64) int { return cmp.Compare(b, a) })
	var x, y []float64
	for i, k := range n {
		if k < 5 {
			break
		}
		x, y = append(x, math.Log(float64(i+1))), append(y, math.Log(k))
	}
	if len(x) < 10 {
		return 0
	}
	_, slope := stat.LinearRegression(x, y, nil, false)
	return max(-slope, 0)
}
