package admission

import (
	"cmp"
	"fmt"
	"time"
)

// Mode selects how the requests in flight are limited.
type Mode uint8

// The modes of a Controller.
const (
	Adaptive Mode = iota // a limit that adapts to the evidence of overload
	Fixed                // Options.Limit
	Off                  // no limit: every request is admitted. The retry budget still applies.
)

func (m Mode) String() string { return [...]string{"adaptive", "fixed", "off"}[m] }

// Class is a request class.
type Class struct {
	Name             string
	PriorityWeight   float64       // classes with a higher weight start first
	LatencyObjective time.Duration // a response that takes longer is late
}

// Options configures a Controller. New replaces zero values by the defaults stated in the field comments, unless the comment gives
// zero its own meaning. Negative values of Floor, RetryRatio and RetryRate mean 0.
type Options struct {
	Mode    Mode
	Classes []Class

	Gateways    int // gateways that use the same endpoints, including this one; default 1
	PerEndpoint int // initial adaptive limit on requests in flight per endpoint; default 256
	Limit       int // limit of the cluster in Fixed mode; default 1024
	// Breakers applies to requests of the priority DEFAULT, HighPriority to those of HIGH. Each priority counts its own requests.
	Breakers
	HighPriority Breakers
	PendingBytes int64         // limit on the total size of the queued requests of both priorities; 0: unlimited
	MaxWait      time.Duration // in the queue; 0: limited only by the latency objective and the client's remaining time
	Floor        float64       // guaranteed fraction of the starts for each class that has queued requests; default 0.05

	RetryRatio float64       // retries that each request adds to the retry budget; default 0.2
	RetryRate  float64       // retries per second that the budget allows in addition; default 10
	RetryTTL   time.Duration // after which an unused retry of the budget expires; default 10 s

	MaxRetryAfter time.Duration // upper bound of Retry-After; default 5 s

	// Notify, if not nil, is called when the cluster becomes overloaded and when it has recovered. It must not call the Controller.
	Notify func(Change)
}

// Breakers holds Envoy's circuit breakers of one routing priority.
type Breakers struct {
	MaxRequests int // requests in flight; 0: unlimited
	MaxPending  int // queued requests; default 1024
	MaxRetries  int // retries in flight; 0: unlimited
	// RetryPercent, if above 0, replaces MaxRetries: it limits the retries in flight to this percentage of the requests in flight
	// or queued, but to no fewer than MinRetries. It corresponds to Envoy's retry_budget.
	RetryPercent float64
	MinRetries   int
}

// Change reports that a cluster became overloaded or recovered.
type Change struct {
	At         time.Duration
	Overloaded bool
	Limit      int    // on requests in flight of the priority DEFAULT; math.MaxInt: unlimited
	Evidence   string // for the last decrease of the limit
}

// Fill replaces zero values by the defaults.
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

// Check returns an error for the first invalid option. It expects the defaults to be filled in.
func (o *Options) Check() error {
	switch {
	case o.Mode > Off:
		return fmt.Errorf("mode: unknown value %d", o.Mode)
	case o.Gateways < 1:
		return fmt.Errorf("gateways must be at least 1, got %d", o.Gateways)
	case o.PerEndpoint < 1 || o.Limit < 1:
		return fmt.Errorf("limits must be at least 1, got %d per endpoint and %d in total", o.PerEndpoint, o.Limit)
	case o.negative() || o.HighPriority.negative() || o.PendingBytes < 0:
		return fmt.Errorf("circuit breakers must not be negative, got %+v for DEFAULT, %+v for HIGH and %d pending bytes", o.Breakers, o.HighPriority, o.PendingBytes)
	case !(o.Floor >= 0 && o.Floor <= 0.5):
		return fmt.Errorf("floor must be from 0 to 0.5, got %v", o.Floor)
	case !(o.RetryRatio >= 0 && o.RetryRatio <= 10) || !(o.RetryRate >= 0) || o.RetryTTL <= 0:
		return fmt.Errorf("retry budget: ratio must be from 0 to 10, rate at least 0 and TTL positive, got %v, %v and %v",
			o.RetryRatio, o.RetryRate, o.RetryTTL)
	case o.MaxWait < 0 || o.MaxRetryAfter <= 0:
		return fmt.Errorf("maximum wait must not be negative and maximum Retry-After must be positive, got %v and %v", o.MaxWait, o.MaxRetryAfter)
	}
	return nil
}

// negative reports whether a limit is below 0.
func (b *Breakers) negative() bool {
	return b.MaxRequests < 0 || b.MaxPending < 0 || b.MaxRetries < 0
}
