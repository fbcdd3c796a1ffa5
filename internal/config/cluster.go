package config

import (
	"fmt"
	"time"
)

const (
	maxAttempts       = 10
	maxConnectTimeout = 10 * time.Second
	maxWeight         = 1e9
	maxPriority       = 128
	maxCount          = 1e6 // upper bound of settings that count requests, connections or retries
	maxFloor          = 0.5 // upper bound of the floor of a class
	defaultMaxPending = 1024
)

// Cluster is a set of endpoints that serve the same requests. Exactly one of Endpoints, File and XDS must be set.
type Cluster struct {
	Name      string      `yaml:"name"`
	Endpoints []Endpoint  `yaml:"endpoints,omitempty"`
	File      *FileSource `yaml:"file,omitempty"`
	XDS       *XDSSource  `yaml:"xds,omitempty"`
	Quota     *Quota      `yaml:"limits,omitempty"` // nil: Limits.PerCluster applies

	ConnectTimeout Duration `yaml:"connect_timeout"`
	IdleTimeout    Duration `yaml:"idle_timeout"` // after which an idle connection to an endpoint is closed
	Attempts       int      `yaml:"attempts"`     // maximum per request, including the first
	Hedge          *bool    `yaml:"hedge"`        // send hedged requests for overdue requests
	WarmUp         WarmUp   `yaml:"warm_up"`
	CrossZone      *float64 `yaml:"cross_zone_price"` // cross-zone penalty, as a fraction of a request's priority weight
	DrainGrace     Duration `yaml:"drain_grace"`

	Overload Overload `yaml:"overload"`
	Breakers Breakers `yaml:"circuit_breakers"`
}

// Overload holds the admission settings of a cluster; see package admission.
type Overload struct {
	Mode           Mode           `yaml:"mode"`         // adaptive, fixed or off
	PerEndpoint    int            `yaml:"per_endpoint"` // initial adaptive limit on requests in flight per endpoint
	Limit          int            `yaml:"limit"`        // limit on requests in flight in fixed mode
	MaxWait        Duration       `yaml:"max_wait"`     // in the queue; 0: limited only by the latency objective and the client's remaining time
	MaxQueuedBytes Size           `yaml:"max_waiting"`  // total size of the bodies of queued requests; 0: limited only by the cluster's quota
	Floor          *float64       `yaml:"floor"`        // guaranteed fraction of the starts for each class that has queued requests, whatever its weight
	Retries        RetryAllowance `yaml:"retries"`
}

// RetryAllowance limits the retries of a cluster, including hedged requests.
type RetryAllowance struct {
	Ratio *float64 `yaml:"ratio"` // retries that each request adds to the allowance
	Rate  *float64 `yaml:"rate"`  // retries per second that are added to the allowance regardless of requests
	TTL   Duration `yaml:"ttl"`   // after which an unused retry expires
}

// Breakers holds Envoy's circuit breakers, with the same semantics. 0: unlimited.
type Breakers struct {
	MaxConnections int          `yaml:"max_connections"`
	MaxRequests    int          `yaml:"max_requests"`
	MaxPending     int          `yaml:"max_pending_requests"` // queued requests
	MaxRetries     int          `yaml:"max_retries"`          // in flight
	RetryBudget    *RetryBudget `yaml:"retry_budget,omitempty"`
	// High applies to requests on routes of high priority, which are counted separately. If it is nil, only the default of
	// MaxPending applies to them. High.MaxConnections is not used, because both priorities share connections.
	High *Breakers `yaml:"high,omitempty"`
}

// RetryBudget replaces MaxRetries: it limits the retries in flight to a percentage of the requests in flight or queued.
type RetryBudget struct {
	Percent        float64 `yaml:"budget_percent"`
	MinConcurrency int     `yaml:"min_retry_concurrency"`
}

// WarmUp configures the slow start of an endpoint.
type WarmUp struct {
	Time             Duration `yaml:"time"`
	InitialShare     float64  `yaml:"share"` // fraction of its capacity that the endpoint has when it starts
	OverloadMultiple float64  `yaml:"most"`  // multiple of its current capacity above which it is overloaded
}

// Endpoint is an endpoint of a static cluster.
type Endpoint struct {
	Address  string  `yaml:"address"`
	Zone     string  `yaml:"zone,omitempty"`
	Kind     string  `yaml:"kind,omitempty"`
	Cell     int     `yaml:"cell,omitempty"`
	Weight   float64 `yaml:"weight"`
	Priority int     `yaml:"priority,omitempty"`
}

// FileSource is a file of xDS resources, in JSON or YAML, that contains the endpoints of a cluster.
type FileSource struct {
	Path    string `yaml:"path"`
	Service string `yaml:"service,omitempty"` // cluster_name of the ClusterLoadAssignment; empty: the cluster's name
}

// XDSSource makes the control plane the source of a cluster's endpoints.
type XDSSource struct {
	Service string `yaml:"service,omitempty"` // cluster_name of the ClusterLoadAssignment; empty: the cluster's name
}

// SetDefaults sets the defaults of fields that are not set. The cluster may come from the file or from a control plane.
func (c *Cluster) SetDefaults() {
	setDefault(&c.ConnectTimeout, Duration(250*time.Millisecond))
	setDefault(&c.IdleTimeout, Duration(10*time.Second))
	setDefault(&c.Attempts, 3)
	setDefault(&c.WarmUp.Time, Duration(10*time.Second))
	setDefault(&c.WarmUp.InitialShare, 0.1)
	setDefault(&c.WarmUp.OverloadMultiple, 2.5)
	setDefault(&c.DrainGrace, Duration(time.Second))
	setDefaultPointer(&c.Hedge, true)
	setDefaultPointer(&c.CrossZone, 0.05)
	c.Overload.setDefaults()
	for b := &c.Breakers; b != nil; b = b.High {
		b.setDefaults()
	}
	for i := range c.Endpoints {
		setDefault(&c.Endpoints[i].Weight, 1)
	}
}

func (o *Overload) setDefaults() {
	setDefault(&o.PerEndpoint, 256)
	setDefault(&o.Limit, 1024)
	setDefault(&o.Retries.TTL, Duration(10*time.Second))
	setDefaultPointer(&o.Floor, 0.05)
	setDefaultPointer(&o.Retries.Ratio, 0.2)
	setDefaultPointer(&o.Retries.Rate, 10)
}

// setDefaults sets the defaults of fields that are not set. Those of a retry budget are Envoy's.
func (b *Breakers) setDefaults() {
	setDefault(&b.MaxPending, defaultMaxPending)
	if b.RetryBudget != nil {
		setDefault(&b.RetryBudget.Percent, 20)
		setDefault(&b.RetryBudget.MinConcurrency, 3)
	}
}

func (f *File) checkClusters(d *decoder, names *uniqueNames) {
	for i := range f.Clusters {
		c := &f.Clusters[i]
		field := fmt.Sprintf("clusters[%d]", i)
		names.add("cluster", field+".name", c.Name)
		f.checkSource(d, field, c)
		c.check(d, field)
		c.Overload.check(d, field+".overload.")
		c.checkBreakers(d, field)
	}
}

// checkSource checks that a cluster has exactly one source of endpoints, and that the source is valid.
func (f *File) checkSource(d *decoder, field string, c *Cluster) {
	sources := 0
	if c.Endpoints != nil {
		sources++
		checkEndpoints(d, field, c.Endpoints)
	}
	if c.File != nil {
		sources++
		if c.File.Path == "" {
			d.errorAt(field+".file.path", "is missing")
		}
	}
	if c.XDS != nil {
		sources++
		if f.XDS == nil {
			d.errorAt(field+".xds", "requires a control plane, but the xds section is missing")
		}
	}
	if sources != 1 {
		d.errorAt(field, "exactly one of endpoints, file and xds must be set, got %d", sources)
	}
}

func checkEndpoints(d *decoder, cluster string, endpoints []Endpoint) {
	indexes := map[string]int{} // by address
	for i := range endpoints {
		e := &endpoints[i]
		field := fmt.Sprintf("%s.endpoints[%d]", cluster, i)
		checkAddress(d, field+".address", e.Address, false)
		if other, ok := indexes[e.Address]; ok && e.Address != "" {
			d.errorAt(field+".address", "%s is already the address of endpoints[%d]", e.Address, other)
		}
		indexes[e.Address] = i
		if e.Weight <= 0 || e.Weight > maxWeight {
			d.errorAt(field+".weight", "must be greater than 0 and at most 1000000000, got %v", e.Weight)
		}
		if e.Priority < 0 || e.Priority > maxPriority {
			d.errorAt(field+".priority", "must be from 0 to %d, got %d", maxPriority, e.Priority)
		}
	}
}

func (c *Cluster) check(d *decoder, field string) {
	if c.Attempts < 1 || c.Attempts > maxAttempts {
		d.errorAt(field+".attempts", "must be from 1 to %d, got %d", maxAttempts, c.Attempts)
	}
	if c.WarmUp.InitialShare <= 0 || c.WarmUp.InitialShare > 1 {
		d.errorAt(field+".warm_up.share", "must be greater than 0 and at most 1, got %v", c.WarmUp.InitialShare)
	}
	if c.WarmUp.OverloadMultiple < 1 || c.WarmUp.OverloadMultiple > 100 {
		d.errorAt(field+".warm_up.most", "must be from 1 to 100, got %v", c.WarmUp.OverloadMultiple)
	}
	if *c.CrossZone < 0 || *c.CrossZone > 1 {
		d.errorAt(field+".cross_zone_price", "must be from 0 to 1, got %v", *c.CrossZone)
	}
	if c.ConnectTimeout == 0 || c.ConnectTimeout.D() > maxConnectTimeout {
		d.errorAt(field+".connect_timeout", "must be greater than 0 and at most %v, got %v", maxConnectTimeout, c.ConnectTimeout.D())
	}
	if c.IdleTimeout == 0 {
		d.errorAt(field+".idle_timeout", "must be greater than 0")
	}
}

func (o *Overload) check(d *decoder, prefix string) {
	checkNumber(d, prefix+"per_endpoint", float64(o.PerEndpoint), 1, maxCount)
	checkNumber(d, prefix+"limit", float64(o.Limit), 1, maxCount)
	checkNumber(d, prefix+"floor", *o.Floor, 0, maxFloor)
	checkNumber(d, prefix+"retries.ratio", *o.Retries.Ratio, 0, 10)
	checkNumber(d, prefix+"retries.rate", *o.Retries.Rate, 0, maxCount)
	ttl := o.Retries.TTL.D()
	if ttl < 100*time.Millisecond || ttl > time.Hour {
		d.errorAt(prefix+"retries.ttl", "must be from 100ms to 1h, got %v", ttl)
	}
}

func (c *Cluster) checkBreakers(d *decoder, field string) {
	c.Breakers.check(d, field+".circuit_breakers.")
	high := c.Breakers.High
	if high == nil {
		return
	}
	prefix := field + ".circuit_breakers.high."
	high.check(d, prefix)
	if high.MaxConnections > 0 {
		d.errorAt(prefix+"max_connections", "cannot be set: both priorities share connections, set circuit_breakers.max_connections instead")
	}
	if high.High != nil {
		d.errorAt(prefix+"high", "cannot be nested: there are only two priorities")
	}
}

func (b *Breakers) check(d *decoder, prefix string) {
	checkNumber(d, prefix+"max_connections", float64(b.MaxConnections), 0, maxCount)
	checkNumber(d, prefix+"max_requests", float64(b.MaxRequests), 0, maxCount)
	checkNumber(d, prefix+"max_pending_requests", float64(b.MaxPending), 1, maxCount)
	checkNumber(d, prefix+"max_retries", float64(b.MaxRetries), 0, maxCount)
	if b.RetryBudget != nil {
		checkNumber(d, prefix+"retry_budget.budget_percent", b.RetryBudget.Percent, 0, 100)
		checkNumber(d, prefix+"retry_budget.min_retry_concurrency", float64(b.RetryBudget.MinConcurrency), 0, maxCount)
	}
}
