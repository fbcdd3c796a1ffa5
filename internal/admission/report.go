package admission

import (
	"math"
	"time"
)

// Report is the state of a cluster's admission.
type Report struct {
	Mode          Mode
	Limit         int // requests in flight of the priority DEFAULT; 0: unlimited
	Active        int // requests in flight
	Waiting       int // queued requests
	Bytes         int64
	Throughput    float64 // requests a second that the endpoints can answer; 0: unknown
	Overloaded    bool
	Evidence      string // of the last time that the limit fell
	Started       uint64
	Queued        uint64            // of the started requests, those that had been queued
	Rejected      map[string]uint64 // by reason
	RetriesLeft   int               // in the retry budget; -1: the maximum of retries is in flight
	RetriesDenied uint64
	Classes       []ClassReport
}

// ClassReport is the state of a class.
type ClassReport struct {
	Name     string
	High     bool          // of the priority HIGH
	Baseline time.Duration // latency of its quicker answers without queueing; 0: unknown
	Mean     time.Duration
	Target   time.Duration // latency of its quicker answers above which they were queued
	Waiting  int           // queued requests
	Refused  uint64        // rejected requests
}

// Report returns the state at a time.
func (c *Controller) Report(now time.Duration) Report {
	now = c.advance(now)
	r := Report{
		Mode:          c.options.Mode,
		Active:        c.inFlight,
		Waiting:       c.queue.count,
		Bytes:         c.queue.bytes,
		Throughput:    c.currentThroughput(now),
		Overloaded:    c.overloaded && now-c.lastRejection <= recoveryTime,
		Evidence:      c.limitEvidence,
		Started:       c.started,
		Queued:        c.startedQueued,
		Rejected:      map[string]uint64{},
		RetriesLeft:   c.retriesLeft(now),
		RetriesDenied: c.retriesDenied,
	}
	if limit := c.maxInFlightOf(false); limit < math.MaxInt {
		r.Limit = limit
	}
	for reason, n := range c.rejected {
		r.Rejected[Reason(reason).String()] = n
	}
	for _, k := range c.classes {
		r.Classes = append(r.Classes, k.report())
	}
	return r
}

func (k *class) report() ClassReport {
	return ClassReport{
		Name:     k.Name,
		High:     k.highPriority,
		Baseline: time.Duration(k.baseline),
		Mean:     time.Duration(k.mean),
		Target:   time.Duration(k.target()),
		Waiting:  k.queued,
		Refused:  k.rejected,
	}
}

// retriesLeft is how many retries the budget has left; -1 if the maximum is in flight.
func (c *Controller) retriesLeft(now time.Duration) int {
	if !c.priorities[0].mayRetry() {
		return -1
	}
	return c.retryBudget.left(now)
}
