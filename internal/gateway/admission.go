package gateway

import (
	"fmt"
	"time"

	"robindrum/balancer"
	"robindrum/internal/admission"
	"robindrum/internal/config"
)

func (s *spec) admitOptions() admission.Options {
	v, b := &s.conf.Overload, &s.conf.Breakers
	o := admission.Options{Mode: admission.Mode(v.Mode), Gateways: s.gateway.Of, PerEndpoint: v.PerEndpoint, Limit: v.Limit, MaxWait: v.MaxWait.D(), Floor: orNone(*v.Floor),
		Breakers: admitBreakers(b), PendingBytes: int64(v.MaxWaiting),
		RetryRatio: orNone(*v.Retries.Ratio), RetryRate: orNone(*v.Retries.Rate), RetryTTL: v.Retries.TTL.D()}
	if b.High != nil {
		o.HighPriority = admitBreakers(b.High)
	}
	return o
}

func admitBreakers(b *config.Breakers) admission.Breakers {
	o := admission.Breakers{MaxRequests: b.MaxRequests, MaxPending: b.MaxPending, MaxRetries: b.MaxRetries}
	if r := b.RetryBudget; r != nil {
		o.RetryPercent, o.MinRetries = r.Percent, r.MinConcurrency
	}
	return o
}

// admission makes what admits the requests of a cluster's core. What the core before had learnt goes on.
func (g *Gateway) admission(c *cluster) *admission.Controller {
	o := c.spec.admitOptions()
	for _, k := range c.spec.classes {
		o.Classes = append(o.Classes, admission.Class{Name: k.Name, PriorityWeight: k.Worth, LatencyObjective: k.Wanted.D()})
		if balancer.Effect(k.Effect) == balancer.IdempotentWithKey {
			o.Classes = append(o.Classes, admission.Class{Name: k.Name + unkeyed, PriorityWeight: k.Worth, LatencyObjective: k.Wanted.D()})
		}
	}
	log, name := g.log, c.name
	o.Notify = func(t admission.Change) {
		if !t.Overloaded {
			log.Info("the cluster is well again", "cluster", name, "limit", t.Limit)
			return
		}
		log.Warn("the cluster is short: requests are refused", "cluster", name, "limit", t.Limit, "evidence", t.Evidence)
		time.AfterFunc(time.Second, func() { g.watchShort(c) })
	}
	a, err := admission.New(o, uint64(g.Now()))
	if err != nil { // the configuration was checked: this cannot be
		panic(fmt.Sprintf("cluster %s: %v", c.name, err))
	}
	if c.in != nil {
		c.in.core.Inspect(func(time.Duration) { a.Inherit(c.in.admission) })
	}
	return a
}

// watchShort has a cluster that was short say when it is well, also where nothing is asked of it any more.
func (g *Gateway) watchShort(c *cluster) {
	if g.life.Err() != nil {
		return
	}
	g.mu.Lock()
	in := c.in
	g.mu.Unlock()
	short := false
	in.core.Inspect(func(now time.Duration) { short = in.admission.Overloaded(now) })
	if short {
		time.AfterFunc(time.Second, func() { g.watchShort(c) })
	}
}

// AdmissionStatus is about what of a cluster's requests starts, waits and is refused.
type AdmissionStatus struct {
	Mode       string            `json:"mode"`
	Limit      int               `json:"limit,omitempty"` // requests in flight; none: no bound
	Active     int               `json:"in_flight"`
	Waiting    int               `json:"waiting"`
	Bytes      int64             `json:"waiting_bytes"`
	Throughput float64           `json:"endpoints_do_per_second,omitempty"` // as far as is known
	Short      bool              `json:"short"`
	Evidence   string            `json:"evidence,omitempty"` // of the last time that the limit fell
	Started    uint64            `json:"started"`
	Waited     uint64            `json:"started_after_a_wait"`
	Refused    map[string]uint64 `json:"refused"` // by reason
	Retries    int               `json:"retries_left"`
	Denied     uint64            `json:"retries_denied"`
	Classes    []ClassAdmission  `json:"classes"`
}

// ClassAdmission is about one class.
type ClassAdmission struct {
	Name     string  `json:"name"`                  // with @high: on routes of that priority
	Baseline float64 `json:"baseline_ms,omitempty"` // of its quicker answers where nothing stands before them
	Mean     float64 `json:"mean_ms,omitempty"`
	Target   float64 `json:"target_ms"` // above which its quicker answers show a queue
	Waiting  int     `json:"waiting"`
	Refused  uint64  `json:"refused"`
}

func (in *instance) admissionStatus() AdmissionStatus {
	var r admission.Report
	in.core.Inspect(func(now time.Duration) { r = in.admission.Report(now) })
	s := AdmissionStatus{Mode: r.Mode.String(), Limit: r.Limit, Active: r.Active, Waiting: r.Waiting, Bytes: r.Bytes, Throughput: r.Throughput, Short: r.Overloaded,
		Evidence: r.Evidence, Started: r.Started, Waited: r.Queued, Refused: r.Rejected, Retries: r.RetriesLeft, Denied: r.RetriesDenied}
	ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	for _, k := range r.Classes {
		if k.High {
			k.Name += "@high"
		}
		s.Classes = append(s.Classes, ClassAdmission{k.Name, ms(k.Baseline), ms(k.Mean), ms(k.Target), k.Waiting, k.Refused})
	}
	return s
}
