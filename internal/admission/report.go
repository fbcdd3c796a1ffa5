package admission

import (
	"math"
	"time"
)

// Report is the state of a Controller.
type Report struct {
	Mode          Mode
	Limit         int     // on requests in flight of the priority DEFAULT; 0: unlimited
	Active        int     // requests in flight
	Waiting       int     // queued requests
	Bytes         int64   // total size of the queued requests
	Throughput    float64 // estimated requests per second that the endpoints can serve; 0: unknown
	Overloaded    bool
	Evidence      string // for the last decrease of the limit
	Started       uint64
	Queued        uint64            // started requests that had been queued
	Rejected      map[string]uint64 // by reason
	RetriesLeft   int               // in the retry budget; -1: the maximum number of retries of the priority DEFAULT is in flight
	RetriesDenied uint64
	Classes       []ClassReport
}

// ClassReport is the state of a class of one priority.
type ClassReport struct {
	Name         string
	HighPriority bool          // priority HIGH rather than DEFAULT
	Baseline     time.Duration // lower-quartile latency without queueing; 0: unknown
	Mean         time.Duration // mean latency
	Target       time.Duration // lower-quartile latency above which responses are considered queued
	Waiting      int           // queued requests
	Refused      uint64        // rejected requests
}

// Report returns the state at the given time.
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
		Queued:        c.startedFromQueue,
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
		Name:         k.Name,
		HighPriority: k.highPriority,
		Baseline:     time.Duration(k.baseline),
		Mean:         time.Duration(k.mean),
		Target:       time.Duration(k.target()),
		Waiting:      k.queued,
		Refused:      k.rejected,
	}
}

// retriesLeft returns how many retries the budget has left, or -1 if the maximum number of retries of the priority DEFAULT is in
// flight.
func (c *Controller) retriesLeft(now time.Duration) int {
	if !c.priorities[0].mayRetry() {
		return -1
	}
	return c.retryBudget.left(now)
}
