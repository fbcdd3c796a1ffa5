package demo

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"robindrum/internal/testbed/origin"
)

const (
	overloadServers = 2
	overloadWorkers = 4 // per server
	overloadDelay   = 25 * time.Millisecond
	// overloadCapacity is the number of requests per second that all servers together can serve.
	overloadCapacity = overloadServers * overloadWorkers / 0.025
	// The load is three times the capacity between these fractions of the duration, and half of it otherwise.
	overloadFrom = 0.3
	overloadTo   = 0.7
	// overloadTail is the time after the overload during which requests may still be rejected.
	overloadTail = 2 * time.Second
)

// limitServers gives all servers a limited capacity and leaves only overloadServers of them on the endpoint list.
func (r *run) limitServers() {
	for i, s := range r.servers {
		s.SetDelay(overloadDelay)
		s.SetCapacity(origin.Capacity{Workers: overloadWorkers, InitialSpeed: 1})
		s.listed = i < overloadServers
	}
}

// rate returns the number of requests per second to send at a time since the start.
func (r *run) rate(at time.Duration) float64 {
	switch {
	case r.options.Scene != overloadScene:
		return float64(r.options.Rate)
	case r.overloadedAt(at):
		return 3 * overloadCapacity
	}
	return overloadCapacity / 2
}

// overloadedAt reports whether a time since the start is within the overload.
func (r *run) overloadedAt(at time.Duration) bool {
	fraction := float64(at) / float64(r.options.Duration)
	return fraction >= overloadFrom && fraction < overloadTo
}

func overloadSteps() []step {
	return []step{
		{0, fmt.Sprintf("the load begins: half of the %.0f requests per second that two servers can serve", overloadCapacity), nil},
		{overloadFrom, "three times the capacity", nil},
		{overloadTo, "half of the capacity again", nil},
	}
}

// overloadClasses lists the request classes, indexed by requestClass.
var overloadClasses = [...]struct {
	name             string
	latencyObjective time.Duration
}{
	readClass: {"seat-map", 100 * time.Millisecond},
	holdClass: {"seat-hold", 150 * time.Millisecond},
	payClass:  {"pay", 200 * time.Millisecond},
}

// overloadCounts counts the requests during the overload by class, and the requests that are rejected after it.
type overloadCounts struct {
	classes       [len(overloadClasses)]classCounts
	rejectedAfter atomic.Int64
}

type classCounts struct {
	requests atomic.Int64
	served   atomic.Int64
	inTime   atomic.Int64
}

// countOverload counts a response to a request that began during the overload, or that was rejected after it.
func (r *run) countOverload(class requestClass, began time.Time, status int) {
	at := began.Sub(r.began)
	if r.overloadedAt(at) {
		r.overload.classes[class].count(class, time.Since(began), status)
		return
	}
	end := time.Duration(overloadTo * float64(r.options.Duration))
	if at > end+overloadTail && status == http.StatusServiceUnavailable {
		r.overload.rejectedAfter.Add(1)
	}
}

func (c *classCounts) count(class requestClass, took time.Duration, status int) {
	c.requests.Add(1)
	if status != http.StatusOK {
		return
	}
	c.served.Add(1)
	if took <= overloadClasses[class].latencyObjective {
		c.inTime.Add(1)
	}
}

func (o *overloadCounts) summaries() []ClassSummary {
	var summaries []ClassSummary
	for i := range o.classes {
		c := &o.classes[i]
		summaries = append(summaries, ClassSummary{
			Name:     overloadClasses[i].name,
			Requests: c.requests.Load(),
			Served:   c.served.Load(),
			InTime:   c.inTime.Load(),
		})
	}
	return summaries
}
