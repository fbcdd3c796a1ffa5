package fleet

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"
)

// Result is the outcome of a simulation.
type Result struct {
	Phases []Phase
	// DuplicateEffects counts idempotency keys whose requests took effect more than once.
	DuplicateEffects int
	// Lost counts requests with no response or with two.
	Lost int
	// AttemptsAfterDrain counts attempts that were sent to a server more than publishedDrainGrace after the endpoint list showed its drain.
	AttemptsAfterDrain int
	// Events is the number of simulated events.
	Events int
	// SourceFailures counts failed calls to the control plane.
	SourceFailures int
	// MaxTimeToReady is the longest time from a gateway's start until it was ready.
	MaxTimeToReady time.Duration
}

// Phase is the outcome of one phase of the simulation. Classes, Attempts and CrossZone count the requests that clients first sent during
// the phase. The other fields describe what happened during the phase.
type Phase struct {
	From           time.Duration
	To             time.Duration
	Classes        map[string]*ClassCount
	Attempts       int
	CrossZone      int // attempts at servers outside the gateway's zone
	NewConnections int // opened for attempts; 0 if connections are free
	Overloads      int // crashes of cold servers
	MaxQueue       int // maximum number of requests at a server at once
	// MaxColdLoad is the highest load of a cold server over a second, as a multiple of its capacity at that time. MaxLoad is that of any
	// server.
	MaxColdLoad float64
	MaxLoad     float64
}

// ClassCount counts the requests of a class. A request that a client retries counts once, by its last response.
type ClassCount struct {
	Requests         int
	InTime           int
	Late             int
	Rejected         int
	Failed           int
	FailedLate       int // failed or rejected later than the latency objective
	SlowestRejection time.Duration
	Local            int             // requests at gateways whose zone has running servers
	LocalInTime      int             // in-time responses to local requests
	Latencies        []time.Duration // of served requests, in time or late
}

func (c *ClassCount) countServed(r *request, took time.Duration) {
	c.Latencies = append(c.Latencies, took)
	if took > r.class.LatencyObjective {
		c.Late++
		return
	}
	c.InTime++
	if r.local {
		c.LocalInTime++
	}
}

func (c *ClassCount) countNotServed(r *request, took time.Duration, rejected bool) {
	if took > r.class.LatencyObjective {
		c.FailedLate++
	}
	if !rejected {
		c.Failed++
		return
	}
	c.Rejected++
	c.SlowestRejection = max(c.SlowestRejection, took)
}

// Quantile returns the q-quantile of the latencies of all classes, or 0 if there are none. q must be above 0 and at most 1.
func (p *Phase) Quantile(q float64) time.Duration {
	var all []time.Duration
	for _, c := range p.Classes {
		all = append(all, c.Latencies...)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(math.Ceil(q*float64(len(all))))-1]
}

// Print writes the result as a table.
func (r Result) Print(out io.Writer) {
	for _, p := range r.Phases {
		fmt.Fprintf(out, "  %v to %v: %d attempts, %d cross-zone; maximum load of a cold server %.2f of its warm-up capacity, %d crashed; maximum load of a server %.2f of its capacity\n",
			p.From, p.To, p.Attempts, p.CrossZone, p.MaxColdLoad, p.Overloads, p.MaxLoad)
		for _, name := range slices.Sorted(maps.Keys(p.Classes)) {
			p.Classes[name].print(out, name)
		}
	}
	fmt.Fprintf(out, "  duplicate effects %d, requests lost %d\n", r.DuplicateEffects, r.Lost)
}

func (c *ClassCount) print(out io.Writer, name string) {
	percent := float64(max(c.Requests, 1)) / 100
	fmt.Fprintf(out, "    %-10s %6d requests: %5.1f%% in time, %5.1f%% late, %5.1f%% rejected, %5.1f%% failed; %.1f%% rejected or failed late; local requests %.1f%% in time\n",
		name, c.Requests, float64(c.InTime)/percent, float64(c.Late)/percent, float64(c.Rejected)/percent, float64(c.Failed)/percent,
		float64(c.FailedLate)/percent, 100*float64(c.LocalInTime)/float64(max(c.Local, 1)))
}
