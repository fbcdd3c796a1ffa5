package demo

import (
	"errors"
	"fmt"
	"io"
	"time"

	"robindrum/internal/testbed/origin"
)

const (
	// overloadMultiple is the load of a cold server, as a multiple of its capacity, at which it crashes. It is the default of the
	// configuration.
	overloadMultiple = 2.5
	// drainGrace is the time after a drain from which a server must not get requests.
	drainGrace = time.Second
)

// Summary is the result of a demonstration.
type Summary struct {
	Sent     int64
	Served   int64
	Rejected int64
	Failed   int64
	Lost     int64 // without a response
	// DuplicateEffects counts requests that took effect more than once.
	DuplicateEffects int
	// AfterDrain counts requests that servers got more than a second after they were drained or removed.
	AfterDrain int
	// Unready reports that the gateway did not become ready in time.
	Unready bool

	// ZoneLoss reports whether the scene is a zone loss. Then CrossZone is the number of attempts sent to servers of the other zone.
	ZoneLoss  bool
	CrossZone uint64
	// MaxColdLoad is the highest load of a cold server in any second, as a multiple of its capacity in that second.
	MaxColdLoad float64

	// Classes counts the requests during an overload. RejectedAfter counts the requests rejected more than 2 s after its end.
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

// Violations returns an error that lists the violated guarantees, or nil.
func (s Summary) Violations() error {
	var errs []error
	if s.Unready {
		errs = append(errs, errors.New("the gateway did not become ready"))
	}
	if s.Lost > 0 {
		errs = append(errs, fmt.Errorf("%d requests were lost", s.Lost))
	}
	if s.DuplicateEffects > 0 {
		errs = append(errs, fmt.Errorf("%d requests took effect more than once", s.DuplicateEffects))
	}
	if s.AfterDrain > 0 {
		errs = append(errs, fmt.Errorf("%d requests were sent after a drain", s.AfterDrain))
	}
	if s.MaxColdLoad > overloadMultiple {
		errs = append(errs, fmt.Errorf("a cold server got %.2f times its capacity while it was warming up", s.MaxColdLoad))
	}
	if s.Served == 0 {
		errs = append(errs, errors.New("no request was served"))
	}
	return errors.Join(errs...)
}

// summary returns the result. The load must have ended.
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
	fmt.Fprintf(out, "\nsent                 %6d\nserved               %6d\nrejected             %6d  (503: safe to retry)\n"+
		"failed               %6d  (may have taken effect, not safe to retry)\nlost                 %6d  (must be 0)\n"+
		"duplicate effects    %6d  (must be 0)\nsent after a drain   %6d  (must be 0)\n",
		s.Sent, s.Served, s.Rejected, s.Failed, s.Lost, s.DuplicateEffects, s.AfterDrain)
	for _, class := range s.Classes {
		percent := float64(max(class.Requests, 1)) / 100
		fmt.Fprintf(out, "%-20s %5.1f%% served, %5.1f%% in time, of %d while the load was three times the capacity\n",
			class.Name, float64(class.Served)/percent, float64(class.InTime)/percent, class.Requests)
	}
	if len(s.Classes) > 0 {
		fmt.Fprintf(out, "rejected afterwards  %6d  (more than 2 s after the overload)\n", s.RejectedAfter)
	}
	if s.ZoneLoss {
		fmt.Fprintf(out, "crossed              %6d  (attempts sent to ishikari)\nworst cold server    %6.2f  (load over capacity while warming up; must be at most %.1f)\n",
			s.CrossZone, s.MaxColdLoad, overloadMultiple)
	}
}
