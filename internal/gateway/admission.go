package gateway

import (
	"fmt"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/config"
)

func (s *clusterSpec) admissionOptions() admission.Options {
	v, b := &s.config.Overload, &s.config.Breakers
	o := admission.Options{Mode: admission.Mode(v.Mode), Gateways: s.gateway.Of, PerEndpoint: v.PerEndpoint, Limit: v.Limit, MaxWait: v.MaxWait.D(), Floor: explicitZero(*v.Floor),
		Breakers: admissionBreakers(b), PendingBytes: int64(v.MaxWaiting),
		RetryRatio: explicitZero(*v.Retries.Ratio), RetryRate: explicitZero(*v.Retries.Rate), RetryTTL: v.Retries.TTL.D()}
	if b.High != nil {
		o.HighPriority = admissionBreakers(b.High)
	}
	return o
}

func admissionBreakers(b *config.Breakers) admission.Breakers {
	o := admission.Breakers{MaxRequests: b.MaxRequests, MaxPending: b.MaxPending, MaxRetries: b.MaxRetries}
	if r := b.RetryBudget; r != nil {
		o.RetryPercent, o.MinRetries = r.Percent, r.MinConcurrency
	}
	return o
}

// newAdmissionController makes what admits the requests of a cluster's core. What the core before had learnt goes on.
func (g *Gateway) newAdmissionController(c *cluster) *admission.Controller {
	o := c.spec.admissionOptions()
	for _, k := range c.spec.classes {
		o.Classes = append(o.Classes, admission.Class{Name: k.Name, PriorityWeight: k.Worth, LatencyObjective: k.Wanted.D()})
		if balancer.Effect(k.Effect) == balancer.IdempotentWithKey {
			o.Classes = append(o.Classes, admission.Class{Name: k.Name + withoutKey, PriorityWeight: k.Worth, LatencyObjective: k.Wanted.D()})
		}
	}
	log, name := g.log, c.name
	o.Notify = func(t admission.Change) {
		if !t.Overloaded {
			log.Info("the cluster is well again", "cluster", name, "limit", t.Limit)
			return
		}
		log.Warn("the cluster is short: requests are refused", "cluster", name, "limit", t.Limit, "evidence", t.Evidence)
		time.AfterFunc(time.Second, func() { g.watchOverload(c) })
	}
	a, err := admission.New(o, uint64(g.Now()))
	if err != nil { // the configuration was checked: this cannot be
		panic(fmt.Sprintf("cluster %s: %v", c.name, err))
	}
	if c.current != nil {
		c.current.core.Inspect(func(time.Duration) { a.Inherit(c.current.admission) })
	}
	return a
}

// watchOverload has a cluster that was short say when it is well, also where nothing is asked of it any more.
func (g *Gateway) watchOverload(c *cluster) {
	if g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	in := c.current
	g.mu.Unlock()
	short := false
	in.core.Inspect(func(now time.Duration) { short = in.admission.Overloaded(now) })
	if short {
		time.AfterFunc(time.Second, func() { g.watchOverload(c) })
	}
}

// AdmissionStatus is about what of a cluster's requests starts, waits and is refused.
type AdmissionStatus struct {
	Mode             string            `json:"mode"`
	Limit            int               `json:"limit,omitempty"` // requests in flight; none: no bound
	InFlight         int               `json:"in_flight"`
	Waiting          int               `json:"waiting"`
	WaitingBytes     int64             `json:"waiting_bytes"`
	Throughput       float64           `json:"endpoints_do_per_second,omitempty"` // as far as is known
	Overloaded       bool              `json:"short"`
	Evidence         string            `json:"evidence,omitempty"` // of the last time that the limit fell
	Started          uint64            `json:"started"`
	StartedAfterWait uint64            `json:"started_after_a_wait"`
	Rejected         map[string]uint64 `json:"refused"` // by reason
	RetriesLeft      int               `json:"retries_left"`
	RetriesDenied    uint64            `json:"retries_denied"`
	Classes          []ClassAdmission  `json:"classes"`
}

// ClassAdmission is about one class.
type ClassAdmission struct {
	Name     string  `json:"name"`                  // with @high: on routes of that priority
	Baseline float64 `json:"baseline_ms,omitempty"` // of its quicker answers where nothing stands before them
	Mean     float64 `json:"mean_ms,omitempty"`
	Target   float64 `json:"target_ms"` // above which its quicker answers show a queue
	Waiting  int     `json:"waiting"`
	Rejected uint64  `json:"refused"`
}

func (in *coreInstance) admissionStatus() AdmissionStatus {
	var r admission.Report
	in.core.Inspect(func(now time.Duration) { r = in.admission.Report(now) })
	s := AdmissionStatus{Mode: r.Mode.String(), Limit: r.Limit, InFlight: r.Active, Waiting: r.Waiting, WaitingBytes: r.Bytes, Throughput: r.Throughput, Overloaded: r.Overloaded,
		Evidence: r.Evidence, Started: r.Started, StartedAfterWait: r.Queued, Rejected: r.Rejected, RetriesLeft: r.RetriesLeft, RetriesDenied: r.RetriesDenied}
	ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	for _, k := range r.Classes {
		if k.High {
			k.Name += "@high"
		}
		s.Classes = append(s.Classes, ClassAdmission{k.Name, ms(k.Baseline), ms(k.Mean), ms(k.Target), k.Waiting, k.Refused})
	}
	return s
}
