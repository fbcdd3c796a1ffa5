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
	maxCount          = 1e6 // of requests, connections and retries
	maxFloor          = 0.5
	defaultPending    = 1024
)

// Cluster is a set of endpoints that serve the same requests. Exactly one of Endpoints, File and XDS is set.
type Cluster struct {
	Name      string      `yaml:"name"`
	Endpoints []Endpoint  `yaml:"endpoints,omitempty"`
	File      *FileSource `yaml:"file,omitempty"`
	XDS       *XDSSource  `yaml:"xds,omitempty"`
	Quota     *Quota      `yaml:"limits,omitempty"` // nil: Limits.PerCluster

	ConnectTimeout Duration `yaml:"connect_timeout"`
	IdleTimeout    Duration `yaml:"idle_timeout"` // of a connection to an endpoint
	Attempts       int      `yaml:"attempts"`     // of one request, the first one included
	Hedge          *bool    `yaml:"hedge"`        // hedge requests that are overdue
	WarmUp         WarmUp   `yaml:"warm_up"`
	CrossZone      *float64 `yaml:"cross_zone_price"` // of a request to another zone, as a part of its priority weight
	DrainGrace     Duration `yaml:"drain_grace"`

	Overload Overload `yaml:"overload"`
	Breakers Breakers `yaml:"circuit_breakers"`
}

// Overload are the settings of a cluster's admission; see package admission.
type Overload struct {
	Mode        Mode           `yaml:"mode"`         // adaptive, fixed or off
	PerEndpoint int            `yaml:"per_endpoint"` // requests in flight for each endpoint with which an adaptive limit begins
	Limit       int            `yaml:"limit"`        // requests in flight, of a fixed limit
	MaxWait     Duration       `yaml:"max_wait"`     // of a request before it starts; 0: what its latency objective leaves
	MaxWaiting  Size           `yaml:"max_waiting"`  // of the bodies of waiting requests; 0: the cluster's quota alone
	Floor       *float64       `yaml:"floor"`        // the part of starts for each class with waiting requests, whatever its weight
	Retries     RetryAllowance `yaml:"retries"`
}

// RetryAllowance is how many retries, hedges included, a cluster's requests allow.
type RetryAllowance struct {
	Ratio *float64 `yaml:"ratio"` // for each request
	Rate  *float64 `yaml:"rate"`  // a second, in any case
	TTL   Duration `yaml:"ttl"`   // of an allowed retry that is not made
}

// Breakers are Envoy's circuit breakers, with their meaning. 0: no limit.
type Breakers struct {
	MaxConnections int          `yaml:"max_connections"`
	MaxRequests    int          `yaml:"max_requests"`
	MaxPending     int          `yaml:"max_pending_requests"` // requests that wait to start
	MaxRetries     int          `yaml:"max_retries"`          // in flight
	RetryBudget    *RetryBudget `yaml:"retry_budget,omitempty"`
	// High is for requests on routes of high priority, which are counted separately; nil: only the default of MaxPending.
	// Its MaxConnections is not used, as both priorities share connections.
	High *Breakers `yaml:"high,omitempty"`
}

// RetryBudget limits the retries in flight to a part of the requests in flight or waiting, in place of MaxRetries.
type RetryBudget struct {
	Percent        float64 `yaml:"budget_percent"`
	MinConcurrency int     `yaml:"min_retry_concurrency"`
}

// WarmUp is the slow start of an endpoint.
type WarmUp struct {
	Time             Duration `yaml:"time"`
	InitialShare     float64  `yaml:"share"` // the part of its capacity with which it starts
	OverloadMultiple float64  `yaml:"most"`  // the multiple of its current share above which it is overloaded
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

// FileSource is a file of xDS resources, in JSON or YAML, with the endpoints of a cluster.
type FileSource struct {
	Path    string `yaml:"path"`
	Service string `yaml:"service,omitempty"` // cluster_name of the ClusterLoadAssignment; empty: the cluster's name
}

// XDSSource is the control plane as the source of a cluster's endpoints.
type XDSSource struct {
	Service string `yaml:"service,omitempty"` // cluster_name of the ClusterLoadAssignment; empty: the cluster's name
}

// SetDefaults sets what was left out of a cluster, which may be one of a control plane.
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

// setDefaults sets what was left out. The defaults of a retry budget are Envoy's.
func (b *Breakers) setDefaults() {
	setDefault(&b.MaxPending, defaultPending)
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

// checkSource checks the endpoints of a cluster, and that they have exactly one source.
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
			d.errorAt(field+".xds", "there is no control plane: xds is missing")
		}
	}
	if sources != 1 {
		d.errorAt(field, "want one of endpoints, file and xds, not %d", sources)
	}
}

func checkEndpoints(d *decoder, cluster string, endpoints []Endpoint) {
	first := map[string]int{} // index of each address
	for i := range endpoints {
		e := &endpoints[i]
		field := fmt.Sprintf("%s.endpoints[%d]", cluster, i)
		checkAddress(d, field+".address", e.Address, false)
		if j, ok := first[e.Address]; ok && e.Address != "" {
			d.errorAt(field+".address", "%s is endpoints[%d] already", e.Address, j)
		}
		first[e.Address] = i
		if e.Weight <= 0 || e.Weight > maxWeight {
			d.errorAt(field+".weight", "want more than 0 and at most 1000000000, not %v", e.Weight)
		}
		if e.Priority < 0 || e.Priority > maxPriority {
			d.errorAt(field+".priority", "want 0 to %d, not %d", maxPriority, e.Priority)
		}
	}
}

func (c *Cluster) check(d *decoder, field string) {
	if c.Attempts < 1 || c.Attempts > maxAttempts {
		d.errorAt(field+".attempts", "want 1 to %d, not %d", maxAttempts, c.Attempts)
	}
	if c.WarmUp.InitialShare <= 0 || c.WarmUp.InitialShare > 1 {
		d.errorAt(field+".warm_up.share", "want more than 0 and at most 1, not %v", c.WarmUp.InitialShare)
	}
	if c.WarmUp.OverloadMultiple < 1 || c.WarmUp.OverloadMultiple > 100 {
		d.errorAt(field+".warm_up.most", "want 1 to 100, not %v", c.WarmUp.OverloadMultiple)
	}
	if *c.CrossZone < 0 || *c.CrossZone > 1 {
		d.errorAt(field+".cross_zone_price", "want 0 to 1, not %v", *c.CrossZone)
	}
	if c.ConnectTimeout == 0 || c.ConnectTimeout.D() > maxConnectTimeout {
		d.errorAt(field+".connect_timeout", "want more than 0 and at most %v, not %v", maxConnectTimeout, c.ConnectTimeout.D())
	}
	if c.IdleTimeout == 0 {
		d.errorAt(field+".idle_timeout", "want more than 0")
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
		d.errorAt(prefix+"retries.ttl", "want 100ms to 1h, not %v", ttl)
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
		d.errorAt(prefix+"max_connections", "connections are shared by both priorities, set it for the cluster")
	}
	if high.High != nil {
		d.errorAt(prefix+"high", "there are two priorities")
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
