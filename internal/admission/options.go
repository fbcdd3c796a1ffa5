package admission

import (
	"cmp"
	"fmt"
	"time"
)

// Mode is what limits the requests in flight.
type Mode uint8

// The modes of a Controller.
const (
	Adaptive Mode = iota // a limit that follows the evidence
	Fixed                // Options.Limit
	Off                  // nothing: every request starts at once. Retries still have their budget.
)

func (m Mode) String() string { return [...]string{"adaptive", "fixed", "off"}[m] }

// Class is a kind of request.
type Class struct {
	Name             string
	PriorityWeight   float64       // classes with a higher weight start first
	LatencyObjective time.Duration // an answer that takes longer is late
}

// Options configure a Controller. Zero values are replaced by the defaults named here, unless they have a meaning of their own;
// Floor, RetryRatio and RetryRate below 0 mean 0.
type Options struct {
	Mode    Mode
	Classes []Class

	Gateways    int // before the same endpoints, with this one; 1
	PerEndpoint int // requests in flight for each endpoint with which the adaptive limit begins; 256
	Limit       int // of the Fixed mode, for the cluster; 1024
	// Breakers are those of the priority DEFAULT, HighPriority those of HIGH: each counts its own requests.
	Breakers
	HighPriority Breakers
	PendingBytes int64         // of the queued requests of both priorities; 0: unlimited
	MaxWait      time.Duration // of a request in the queue; 0: what its latency objective leaves
	Floor        float64       // fraction of starts that a class has for certain while requests of it are queued; 0.05

	RetryRatio float64       // retries earned by a request; 0.2
	RetryRate  float64       // retries earned a second in any case; 10
	RetryTTL   time.Duration // for which an earned retry may be used; 10 s

	MaxRetryAfter time.Duration // the longest Retry-After; 5 s

	// Notify is called when the cluster becomes overloaded and when it has recovered; nil: not called. It must not call back.
	Notify func(Change)
}

// Breakers are Envoy's circuit breakers of one routing priority.
type Breakers struct {
	MaxRequests int // in flight; 0: unlimited
	MaxPending  int // queued requests; 1024
	MaxRetries  int // retries in flight; 0: unlimited
	// RetryPercent above 0 limits the retries in flight to this percentage of the requests in flight or queued, but no lower
	// than to MinRetries, in place of MaxRetries. It is Envoy's retry_budget.
	RetryPercent float64
	MinRetries   int
}

// Change is a cluster that becomes overloaded or has recovered.
type Change struct {
	At         time.Duration
	Overloaded bool
	Limit      int // on requests in flight of the priority DEFAULT
	Evidence   string
}

// Fill sets the defaults of what was left out.
func (o *Options) Fill() {
	o.Gateways = cmp.Or(o.Gateways, 1)
	o.PerEndpoint = cmp.Or(o.PerEndpoint, 256)
	o.Limit = cmp.Or(o.Limit, 1024)
	o.MaxPending = cmp.Or(o.MaxPending, 1024)
	o.HighPriority.MaxPending = cmp.Or(o.HighPriority.MaxPending, 1024)
	o.Floor = max(cmp.Or(o.Floor, 0.05), 0)
	o.RetryRatio = max(cmp.Or(o.RetryRatio, 0.2), 0)
	o.RetryRate = max(cmp.Or(o.RetryRate, 10), 0)
	o.RetryTTL = cmp.Or(o.RetryTTL, 10*time.Second)
	o.MaxRetryAfter = cmp.Or(o.MaxRetryAfter, 5*time.Second)
}

// Check returns an error that names the first option that cannot be used.
func (o *Options) Check() error {
	switch {
	case o.Mode > Off:
		return fmt.Errorf("mode: %d is not known", o.Mode)
	case o.Gateways < 1:
		return fmt.Errorf("gateways: want 1 at least, not %d", o.Gateways)
	case o.PerEndpoint < 1 || o.Limit < 1:
		return fmt.Errorf("limit: want 1 at least, not %d for each endpoint and %d in all", o.PerEndpoint, o.Limit)
	case o.negative() || o.HighPriority.negative() || o.PendingBytes < 0:
		return fmt.Errorf("circuit breakers: want 0 at least, not %+v, %+v, %d bytes", o.Breakers, o.HighPriority, o.PendingBytes)
	case !(o.Floor >= 0 && o.Floor <= 0.5):
		return fmt.Errorf("floor: want 0 to 0.5, not %v", o.Floor)
	case !(o.RetryRatio >= 0 && o.RetryRatio <= 10) || !(o.RetryRate >= 0) || o.RetryTTL <= 0:
		return fmt.Errorf("retry budget: want a ratio of 0 to 10 and a rate of 0 at least, not %v and %v", o.RetryRatio, o.RetryRate)
	case o.MaxWait < 0 || o.MaxRetryAfter <= 0:
		return fmt.Errorf("waits: %v and %v: want no less than 0", o.MaxWait, o.MaxRetryAfter)
	}
	return nil
}

func (b *Breakers) negative() bool {
	return b.MaxRequests < 0 || b.MaxPending < 0 || b.MaxRetries < 0
}
