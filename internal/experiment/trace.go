package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"robindrum/internal/capture"
	"robindrum/internal/config"
)

// Trace replays a captured load as the open loop, in place of a rate.
type Trace struct {
	File           string  `yaml:"file"`    // of the capture; relative to the directory of the experiment
	Speed          float64 `yaml:"speed"`   // 2 replays in half the time
	Multiplier     float64 `yaml:"by"`      // of the load, in addition to the compensation for sampling
	UnknownClasses string  `yaml:"unknown"` // handling of records whose class the experiment lacks: refuse (an error) or drop
}

// trace is a capture that is ready to be replayed.
type trace struct {
	*Trace
	peakRate float64          // requests in the busiest second
	records  []capture.Record // of known classes, in order of arrival
	classes  []int            // class index of each record
	copies   float64          // mean number of requests for a record
}

// openTrace opens the capture of an experiment and sets the length that the file leaves out. It returns nil after adding an error to
// decoder.
func (e *Experiment) openTrace(decoder *config.StrictDecoder, path string) *capture.Capture {
	options := e.Load.Trace
	if options.File == "" {
		decoder.AddError("load.trace.file", "is missing")
		return nil
	}
	if !filepath.IsAbs(options.File) {
		options.File = filepath.Join(filepath.Dir(path), options.File)
	}
	opened, err := capture.Open(options.File)
	if err != nil {
		decoder.AddError("load.trace.file", "%v", err)
		return nil
	}
	if e.Length == 0 {
		speed := max(cmp.Or(options.Speed, 1), 0.01)
		length := max(float64(opened.Length)/speed, float64(time.Second))
		e.Length = config.Duration(min(length, float64(maxLength)))
	}
	return opened
}

// setTrace makes a capture the load of the experiment.
func (e *Experiment) setTrace(captured *capture.Capture, options *Trace) error {
	replayed := &trace{Trace: options, copies: options.Multiplier / captured.SampleRate}
	unknown := replayed.addRecords(e.Classes, captured.Records)
	if len(unknown) > 0 && options.UnknownClasses != "drop" {
		names := []string{}
		for name, records := range unknown {
			names = append(names, fmt.Sprintf("%s (%d records)", name, records))
		}
		slices.Sort(names)
		return fmt.Errorf("classes that the experiment has not: %v; add them, or set unknown: drop", names)
	}
	if len(replayed.records) == 0 {
		return fmt.Errorf("%s has no request of the experiment's classes", options.File)
	}
	if requests := replayed.requestsBefore(e.Length.D()); requests > maxRequests {
		return fmt.Errorf("%.0f requests, %d at most", requests, maxRequests)
	}
	replayed.setPeakRate()
	e.trace = replayed
	return nil
}

// addRecords adds the records of the given classes and returns the number of other records by class.
func (r *trace) addRecords(classes []Class, records []capture.Record) (unknown map[string]int) {
	index := map[string]int{}
	for i, class := range classes {
		index[class.Name] = i
	}
	unknown = map[string]int{}
	for _, record := range records {
		class, known := index[record.Class]
		if !known {
			unknown[record.Class]++
			continue
		}
		r.records = append(r.records, record)
		r.classes = append(r.classes, class)
	}
	return unknown
}

// requestsBefore returns the expected number of requests that are replayed before a time.
func (r *trace) requestsBefore(end time.Duration) float64 {
	capturedEnd := time.Duration(float64(end) * r.Speed)
	records := 0
	for i := range r.records {
		if r.records[i].Arrival() < capturedEnd {
			records++
		}
	}
	return float64(records) * r.copies
}

// setPeakRate sets peakRate to the requests in the busiest second of the replay.
func (r *trace) setPeakRate() {
	perSecond := map[time.Duration]float64{}
	for i := range r.records {
		second := r.replayTime(i) / time.Second
		perSecond[second] += r.copies
		r.peakRate = max(r.peakRate, perSecond[second])
	}
}

// replayTime returns when a record is replayed.
func (r *trace) replayTime(record int) time.Duration {
	return time.Duration(float64(r.records[record].Arrival()) / r.Speed)
}

// traceReplay yields the requests of a trace in order of time.
type traceReplay struct {
	*trace
	next    int       // index of the next record
	pending []arrival // requests of earlier records, in order of time
}

// copySpread is the time over which the copies of a record are spread, so that they do not form a burst.
const copySpread = time.Second

// take returns the next request, or false if there is none before the end of the experiment.
func (r *traceReplay) take(e *Experiment, rng *rand.Rand) (arrival, bool) {
	end := e.Length.D()
	for {
		at := time.Duration(math.MaxInt64)
		if r.next < len(r.records) {
			at = r.replayTime(r.next)
		}
		if len(r.pending) > 0 && r.pending[0].at <= at {
			first := r.pending[0]
			r.pending = r.pending[1:]
			if first.at >= end {
				return arrival{}, false
			}
			return first, true
		}
		if at < end {
			r.addCopies(at, e.Gateways.Count, rng)
			continue
		}
		if len(r.pending) == 0 {
			return arrival{}, false
		}
		r.next = len(r.records)
	}
}

// addCopies adds the requests of the next record to the pending ones.
func (r *traceReplay) addCopies(at time.Duration, gateways int, rng *rand.Rand) {
	record, class := &r.records[r.next], r.classes[r.next]
	r.next++
	copies := int(r.copies)
	if rng.Float64() < r.copies-float64(copies) {
		copies++
	}
	for i := range copies {
		request := arrival{at: at, class: class, gateway: rng.IntN(gateways), key: record.Key}
		if i > 0 {
			request.at += time.Duration(rng.Float64() * float64(copySpread))
		}
		position, _ := slices.BinarySearchFunc(r.pending, request.at, compareAfterEqual)
		r.pending = slices.Insert(r.pending, position, request)
	}
}

// compareAfterEqual orders a request before a time that equals its own, so that the search finds the position after all equal times.
func compareAfterEqual(request arrival, at time.Duration) int {
	if request.at <= at {
		return -1
	}
	return 1
}
