package experiment

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"robindrum/internal/capture"
)

// LoadModel describes the load of a capture.
type LoadModel struct {
	Requests float64       `json:"requests"` // compensated for sampling
	Length   time.Duration `json:"length_ns"`
	Rate     float64       `json:"per_second"`
	Peak     float64       `json:"peak_per_second"` // of the busiest second
	// Burstiness is the variance of the requests per second over their mean: 1 for a Poisson load.
	Burstiness   float64      `json:"burstiness"`
	Classes      []ClassModel `json:"classes"`
	Keys         int          `json:"keys"`
	ZipfExponent float64      `json:"keys_exponent"` // 0: too few keys to estimate it
	Gaps         []Gap        `json:"gaps"`
	Notes        []string     `json:"notes"`
}

// ClassModel describes the load of a class.
type ClassModel struct {
	Name        string        `json:"name"`
	LoadShare   float64       `json:"part"`
	MeanLatency time.Duration `json:"mean_ns"` // of served requests, with their waits
	Variation   float64       `json:"variation"`
	Served      float64       `json:"served"`  // fraction of its requests
	Rejected    float64       `json:"refused"` // fraction of its requests
}

// Gap is a period without requests that is too long to be random.
type Gap struct {
	Start    time.Duration `json:"from_ns"`
	Duration time.Duration `json:"for_ns"`
}

// gapFactor is the length of a gap as a multiple of the mean time between requests. A Poisson load has such a pause about once in a
// million requests.
const gapFactor = 14

// Fit estimates a load model from a capture.
func Fit(c *capture.Capture) LoadModel {
	model := LoadModel{Length: c.Length, Requests: float64(len(c.Records)) / c.SampleRate}
	if len(c.Records) == 0 || c.Length <= 0 {
		return model
	}
	model.Rate = model.Requests / c.Length.Seconds()
	perSecond := requestsPerSecond(c)
	model.Peak = slices.Max(perSecond)
	model.Burstiness = burstiness(perSecond[:len(perSecond)-1], c.SampleRate) // without the last second, which is incomplete
	model.Classes = fitClasses(c)
	keys := requestsByKey(c)
	model.Keys = len(keys)
	model.ZipfExponent = zipfExponent(keys)
	model.Gaps = findGaps(c)
	model.Notes = captureNotes(c, model.Gaps)
	return model
}

// requestsPerSecond returns the requests of each second, compensated for sampling.
func requestsPerSecond(c *capture.Capture) []float64 {
	perSecond := make([]float64, int(c.Length/time.Second)+1)
	for i := range c.Records {
		perSecond[int(c.Records[i].Arrival()/time.Second)] += 1 / c.SampleRate
	}
	return perSecond
}

// burstiness returns the variance over the mean, without the variance that sampling adds. It returns 0 for fewer than two seconds.
func burstiness(perSecond []float64, sampleRate float64) float64 {
	if len(perSecond) < 2 {
		return 0
	}
	mean, variance := stat.MeanVariance(perSecond, nil)
	if sampleRate < 1 {
		return max(0, (variance/mean-1/sampleRate)+1)
	}
	return variance / mean
}

// requestsByKey returns the recorded requests of each key.
func requestsByKey(c *capture.Capture) map[string]float64 {
	keys := map[string]float64{}
	for i := range c.Records {
		if key := c.Records[i].Key; key != "" {
			keys[key]++
		}
	}
	return keys
}

// findGaps returns the pauses of more than a second that a Poisson load of the same rate would rarely have.
func findGaps(c *capture.Capture) []Gap {
	recordRate := float64(len(c.Records)) / c.Length.Seconds()
	minGap := max(time.Duration(gapFactor/recordRate*float64(time.Second)), time.Second)
	var gaps []Gap
	last := time.Duration(0)
	for i := range c.Records {
		at := c.Records[i].Arrival()
		if at-last > minGap {
			gaps = append(gaps, Gap{last, at - last})
		}
		last = at
	}
	return gaps
}

// classRecords counts the records of a class.
type classRecords struct {
	all       float64
	served    float64
	rejected  float64
	latencies []float64 // of the served requests, in seconds
}

// fitClasses returns a model of each class, sorted by decreasing number of requests.
func fitClasses(c *capture.Capture) []ClassModel {
	byClass := map[string]*classRecords{}
	for i := range c.Records {
		record := &c.Records[i]
		class := byClass[record.Class]
		if class == nil {
			class = &classRecords{}
			byClass[record.Class] = class
		}
		class.all++
		switch record.Outcome {
		case capture.Served:
			class.served++
			class.latencies = append(class.latencies, float64(record.LatencyMicros)/1e6)
		case capture.Rejected:
			class.rejected++
		}
	}
	var models []ClassModel
	for name, class := range byClass {
		model := ClassModel{Name: name, LoadShare: class.all / float64(len(c.Records)), Served: class.served / class.all, Rejected: class.rejected / class.all}
		if len(class.latencies) > 1 {
			mean, deviation := stat.MeanStdDev(class.latencies, nil)
			model.MeanLatency = time.Duration(mean * float64(time.Second)).Round(time.Microsecond)
			model.Variation = deviation / max(mean, 1e-9)
		}
		models = append(models, model)
	}
	slices.SortFunc(models, func(a, b ClassModel) int {
		return cmp.Or(cmp.Compare(b.LoadShare, a.LoadShare), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// captureNotes returns remarks on the capture that affect how to read the model.
func captureNotes(c *capture.Capture, gaps []Gap) []string {
	var notes []string
	if c.Truncated {
		notes = append(notes, "the last line is incomplete and was skipped")
	}
	if !c.Complete {
		notes = append(notes, "the capture is incomplete: its trailer is missing")
	}
	if c.Missed > 0 {
		notes = append(notes, fmt.Sprintf("%d requests were not captured: the actual load was higher", c.Missed))
	}
	for _, gap := range gaps {
		notes = append(notes, fmt.Sprintf("no requests for %v, starting at %v", gap.Duration.Round(time.Millisecond), gap.Start.Round(time.Millisecond)))
	}
	return notes
}

const (
	minKeyRequests = 5  // of a key that counts for the Zipf exponent
	minZipfKeys    = 10 // for an estimate of the Zipf exponent
)

// zipfExponent estimates the exponent of a Zipf distribution: the slope of the logarithm of counts over that of ranks, among the keys
// with at least minKeyRequests. It returns 0 for too few keys.
func zipfExponent(keys map[string]float64) float64 {
	counts := slices.Sorted(maps.Values(keys))
	slices.Reverse(counts)
	var logRanks, logCounts []float64
	for i, count := range counts {
		if count < minKeyRequests {
			break
		}
		logRanks = append(logRanks, math.Log(float64(i+1)))
		logCounts = append(logCounts, math.Log(count))
	}
	if len(logRanks) < minZipfKeys {
		return 0
	}
	_, slope := stat.LinearRegression(logRanks, logCounts, nil, false)
	return max(-slope, 0)
}
