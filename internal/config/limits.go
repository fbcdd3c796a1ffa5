package config

import (
	"fmt"
	"time"
)

const (
	minDescriptors     = 16
	defaultBody        = 1 << 20
	defaultMemory      = 64 << 20
	defaultRequests    = 4096
	defaultDescriptors = 4096
)

// Limits holds the resource limits of the process, and the quota of clusters that do not set one.
type Limits struct {
	Descriptors int      `yaml:"descriptors"` // connections from clients and to endpoints
	Memory      Size     `yaml:"memory"`      // total size of request bodies
	Requests    int      `yaml:"requests"`    // in flight
	Body        Size     `yaml:"body"`        // maximum size of one request body
	Drain       Duration `yaml:"drain"`       // how long a graceful shutdown waits for requests in flight
	PerCluster  Quota    `yaml:"per_cluster"`
}

// Quota is the share of the process's limits that a cluster may use.
type Quota struct {
	Guaranteed Amount `yaml:"guaranteed"` // reserved, whatever the other clusters use
	Max        Amount `yaml:"most"`       // a value of 0: the limit of the process
}

// Amount is an amount of each resource in Limits.
type Amount struct {
	Descriptors int  `yaml:"descriptors"`
	Memory      Size `yaml:"memory"`
	Requests    int  `yaml:"requests"`
}

// setDefaults sets the defaults of fields that are not set. The default guarantees leave capacity for connections from clients
// and for clusters from a control plane.
func (l *Limits) setDefaults(clusters int) {
	setDefault(&l.Descriptors, defaultDescriptors)
	setDefault(&l.Memory, defaultMemory)
	setDefault(&l.Requests, defaultRequests)
	setDefault(&l.Body, min(defaultBody, l.Memory))
	setDefault(&l.Drain, Duration(30*time.Second))
	n := max(clusters, 1)
	if l.PerCluster.Guaranteed == (Amount{}) {
		l.PerCluster.Guaranteed = Amount{
			Descriptors: l.Descriptors / 4 / n,
			Memory:      l.Memory / 2 / Size(n),
			Requests:    l.Requests / 2 / n,
		}
	}
}

// QuotaOf returns the quota of a cluster from the file or from a control plane.
func (f *File) QuotaOf(c *Cluster) Quota {
	if c.Quota != nil {
		return *c.Quota
	}
	return f.Limits.PerCluster
}

func (f *File) checkLimits(d *decoder) {
	l := &f.Limits
	if l.Descriptors < minDescriptors {
		d.errorAt("limits.descriptors", "must be at least %d, got %d", minDescriptors, l.Descriptors)
	}
	if l.Requests < 1 {
		d.errorAt("limits.requests", "must be at least 1, got %d", l.Requests)
	}
	if l.Body < 1 || l.Body > l.Memory {
		d.errorAt("limits.body", "must be at least 1B and at most limits.memory")
	}
	if l.Drain == 0 {
		d.errorAt("limits.drain", "must be greater than 0")
	}
	f.checkGuaranteed(d)
}

// checkGuaranteed checks that the sum of the guaranteed amounts is within the limits. At most half of the descriptors may be
// guaranteed, so that the other half remains for connections from clients.
func (f *File) checkGuaranteed(d *decoder) {
	l := &f.Limits
	var sum Amount
	for i := range f.Clusters {
		guaranteed := f.QuotaOf(&f.Clusters[i]).Guaranteed
		if guaranteed.Descriptors < 0 || guaranteed.Requests < 0 {
			d.errorAt(fmt.Sprintf("clusters[%d].limits.guaranteed", i), "must not be negative")
		}
		sum.Descriptors += guaranteed.Descriptors
		sum.Memory += guaranteed.Memory
		sum.Requests += guaranteed.Requests
	}
	const field = "limits.per_cluster.guaranteed"
	if sum.Descriptors > l.Descriptors/2 {
		d.errorAt(field, "%d descriptors are guaranteed to clusters, must be at most half of limits.descriptors (%d)", sum.Descriptors, l.Descriptors)
	}
	if sum.Memory > l.Memory {
		d.errorAt(field, "%d bytes are guaranteed to clusters, must be at most limits.memory (%d)", int64(sum.Memory), int64(l.Memory))
	}
	if sum.Requests > max(l.Requests, 0) {
		d.errorAt(field, "%d requests are guaranteed to clusters, must be at most limits.requests (%d)", sum.Requests, l.Requests)
	}
}
