package gateway

import (
	"fmt"
	"time"

	"robindrum/internal/admission"
	"robindrum/internal/config"
)

// overloadCheckInterval is how often an overloaded cluster is checked for recovery.
const overloadCheckInterval = time.Second

// admissionOptions returns the options of the admission controller of a cluster's core.
func (s *clusterSpec) admissionOptions() admission.Options {
	overload := &s.config.Overload
	breakers := &s.config.Breakers
	options := admission.Options{
		Mode:         admission.Mode(overload.Mode),
		Gateways:     s.gateway.Count,
		PerEndpoint:  overload.PerEndpoint,
		Limit:        overload.Limit,
		MaxWait:      overload.MaxWait.D(),
		Floor:        explicitZero(*overload.Floor),
		Breakers:     admissionBreakers(breakers),
		PendingBytes: int64(overload.MaxQueuedBytes),
		RetryRatio:   explicitZero(*overload.Retries.Ratio),
		RetryRate:    explicitZero(*overload.Retries.Rate),
		RetryTTL:     overload.Retries.TTL.D(),
	}
	if breakers.High != nil {
		options.HighPriority = admissionBreakers(breakers.High)
	}
	for _, class := range s.balancerClasses() {
		options.Classes = append(options.Classes, admission.Class{
			Name:             class.Name,
			PriorityWeight:   class.PriorityWeight,
			LatencyObjective: class.LatencyObjective,
		})
	}
	return options
}

func admissionBreakers(b *config.Breakers) admission.Breakers {
	breakers := admission.Breakers{MaxRequests: b.MaxRequests, MaxPending: b.MaxPending, MaxRetries: b.MaxRetries}
	if b.RetryBudget != nil {
		breakers.RetryPercent = b.RetryBudget.Percent
		breakers.MinRetries = b.RetryBudget.MinConcurrency
	}
	return breakers
}

// newAdmissionController returns the admission controller of a cluster's new core. It inherits the learned state of the
// current core's controller.
func (g *Gateway) newAdmissionController(c *cluster) *admission.Controller {
	options := c.spec.admissionOptions()
	options.Notify = func(change admission.Change) { g.logOverload(c, change) }
	controller, err := admission.New(options, uint64(g.Now()))
	if err != nil { // cannot happen: the configuration was checked
		panic(fmt.Sprintf("cluster %s: %v", c.name, err))
	}
	if c.current != nil {
		c.current.core.Inspect(func(time.Duration) { controller.Inherit(c.current.admission) })
	}
	return controller
}

// logOverload logs that a cluster is overloaded or has recovered. It is called with the core's lock held.
func (g *Gateway) logOverload(c *cluster, change admission.Change) {
	if !change.Overloaded {
		g.log.Info("cluster no longer overloaded", "cluster", c.name, "limit", change.Limit)
		return
	}
	g.log.Warn("cluster overloaded, rejecting requests", "cluster", c.name, "limit", change.Limit, "evidence", change.Evidence)
	time.AfterFunc(overloadCheckInterval, func() { g.watchOverload(c) })
}

// watchOverload polls an overloaded cluster until it has recovered, because its controller detects and reports the recovery
// only when it is called.
func (g *Gateway) watchOverload(c *cluster) {
	if g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	instance := c.current
	g.mu.Unlock()
	overloaded := false
	instance.core.Inspect(func(now time.Duration) { overloaded = instance.admission.Overloaded(now) })
	if overloaded {
		time.AfterFunc(overloadCheckInterval, func() { g.watchOverload(c) })
	}
}

// AdmissionStatus describes the admission of a cluster's requests.
type AdmissionStatus struct {
	Mode             string            `json:"mode"`
	Limit            int               `json:"limit,omitempty"` // of requests in flight; 0: no limit
	InFlight         int               `json:"in_flight"`
	Waiting          int               `json:"waiting"`
	WaitingBytes     int64             `json:"waiting_bytes"`
	Throughput       float64           `json:"endpoints_do_per_second,omitempty"` // estimate; 0: not known
	Overloaded       bool              `json:"short"`
	Evidence         string            `json:"evidence,omitempty"` // for the last decrease of the limit
	Started          uint64            `json:"started"`
	StartedAfterWait uint64            `json:"started_after_a_wait"`
	Rejected         map[string]uint64 `json:"refused"` // by reason
	RetriesLeft      int               `json:"retries_left"`
	RetriesDenied    uint64            `json:"retries_denied"`
	Classes          []ClassAdmission  `json:"classes"`
}

// ClassAdmission describes the admission of the requests of one class.
type ClassAdmission struct {
	Name     string  `json:"name"`                  // with the suffix @high for routes of high priority
	Baseline float64 `json:"baseline_ms,omitempty"` // lower-quartile latency without queueing
	Mean     float64 `json:"mean_ms,omitempty"`
	Target   float64 `json:"target_ms"` // lower-quartile latency above which responses are considered queued
	Waiting  int     `json:"waiting"`
	Rejected uint64  `json:"refused"`
}

func (in *coreInstance) admissionStatus() AdmissionStatus {
	var report admission.Report
	in.core.Inspect(func(now time.Duration) { report = in.admission.Report(now) })
	status := AdmissionStatus{
		Mode:             report.Mode.String(),
		Limit:            report.Limit,
		InFlight:         report.Active,
		Waiting:          report.Waiting,
		WaitingBytes:     report.Bytes,
		Throughput:       report.Throughput,
		Overloaded:       report.Overloaded,
		Evidence:         report.Evidence,
		Started:          report.Started,
		StartedAfterWait: report.Queued,
		Rejected:         report.Rejected,
		RetriesLeft:      report.RetriesLeft,
		RetriesDenied:    report.RetriesDenied,
	}
	for _, class := range report.Classes {
		name := class.Name
		if class.HighPriority {
			name += "@high"
		}
		status.Classes = append(status.Classes, ClassAdmission{
			Name:     name,
			Baseline: milliseconds(class.Baseline),
			Mean:     milliseconds(class.Mean),
			Target:   milliseconds(class.Target),
			Waiting:  class.Waiting,
			Rejected: class.Refused,
		})
	}
	return status
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
