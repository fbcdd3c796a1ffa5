package demo

import (
	"errors"
	"fmt"
	"io"
	"time"

	"robindrum/internal/testbed/origin"
)

const (
	// overloadMultiple is the load of a cold server, as a multiple of its capacity, at which it crashes: the configuration's default.
	overloadMultiple = 2.5
	// drainGrace is after which time a drained server must get no request.
	drainGrace = time.Second
)

// Summary is the outcome of a demonstration.
type Summary struct {
	Sent     int64
	Served   int64
	Rejected int64
	Failed   int64
	Lost     int64 // without a response
	// DuplicateEffects counts requests that took effect more than once.
	DuplicateEffects int
	// AfterDrain counts requests to servers more than a second after they were drained or removed.
	AfterDrain int
	// Unready reports that the gateway did not become ready in time.
	Unready bool

	// ZoneLoss reports that CrossZone is set, the attempts at servers of the other zone.
	ZoneLoss  bool
	CrossZone uint64
	// MaxColdLoad is the highest load of a cold server in a second, as a multiple of its capacity then.
	MaxColdLoad float64

	// Classes are the requests during an overload, RejectedAfter those rejected from 2 s after its end on.
	Classes       []ClassSummary
	RejectedAfter int64
}

// ClassSummary counts the requests of a class during an overload.
type ClassSummary struct {
	Name     string
	Requests int64
	Served   int64
	InTime   int64
}

// Violations returns an error that names the guarantees that were violated, or nil.
func (s Summary) Violations() error {
	var errs []error
	if s.Unready {
		errs = append(errs, errors.New("the gateway did not become ready"))
	}
	if s.Lost > 0 {
		errs = append(errs, fmt.Errorf("%d requests were lost", s.Lost))
	}
	if s.DuplicateEffects > 0 {
		errs = append(errs, fmt.Errorf("%d effects were taken twice", s.DuplicateEffects))
	}
	if s.AfterDrain > 0 {
		errs = append(errs, fmt.Errorf("%d requests were sent after a drain", s.AfterDrain))
	}
	if s.MaxColdLoad > overloadMultiple {
		errs = append(errs, fmt.Errorf("a cold server got %.2f times what it can do while it warms up", s.MaxColdLoad))
	}
	if s.Served == 0 {
		errs = append(errs, errors.New("nothing was served"))
	}
	return errors.Join(errs...)
}

// summary returns the outcome. The load must have ended.
func (r *run) summary() Summary {
	c := &r.counts
	s := Summary{
		Sent:             c.sent.Load(),
		Served:           c.served.Load(),
		Rejected:         c.rejected.Load(),
		Failed:           c.failed.Load(),
		Lost:             c.lost.Load(),
		DuplicateEffects: origin.DuplicateEffects(r.ledgers...),
		ZoneLoss:         r.options.Scene == zoneLossScene,
	}
	for _, server := range r.servers {
		s.AfterDrain += server.RequestsAfterDrain(drainGrace)
		s.MaxColdLoad = max(s.MaxColdLoad, server.MaxColdLoad())
	}
	if r.options.Scene == overloadScene {
		s.Classes = r.overload.summaries()
		s.RejectedAfter = r.overload.rejectedAfter.Load()
	}
	if s.ZoneLoss {
		s.CrossZone = r.crossZoneAttempts()
	}
	return s
}

func (r *run) crossZoneAttempts() uint64 {
	attempts := uint64(0)
	for _, cluster := range r.gateway.Status(1).Clusters {
		for _, zone := range cluster.Zones {
			attempts += zone.Crossed
		}
	}
	return attempts
}

// Print writes the summary as text.
func (s Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "\nsent                 %6d\nserved               %6d\nrefused              %6d  (503: asking again is harmless)\n"+
		"failed               %6d  (what may have run and must not run twice)\nlost                 %6d  (must be 0)\n"+
		"effects taken twice  %6d  (must be 0)\nsends after a drain  %6d  (must be 0)\n",
		s.Sent, s.Served, s.Rejected, s.Failed, s.Lost, s.DuplicateEffects, s.AfterDrain)
	for _, c := range s.Classes {
		percent := float64(max(c.Requests, 1)) / 100
		fmt.Fprintf(out, "%-20s %5.1f%% served, %5.1f%% in time, of %d while the load was three times what the servers do\n",
			c.Name, float64(c.Served)/percent, float64(c.InTime)/percent, c.Requests)
	}
	if len(s.Classes) > 0 {
		fmt.Fprintf(out, "refused afterwards   %6d  (from 2 s after the overload on)\n", s.RejectedAfter)
	}
	if s.ZoneLoss {
		fmt.Fprintf(out, "crossed              %6d  (attempts that went to ishikari)\nworst cold server    %6.2f  (load over what it can do while it warms up; must be at most %.1f)\n",
			s.CrossZone, s.MaxColdLoad, overloadMultiple)
	}
}
