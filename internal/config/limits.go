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

// Limits are the limits of the process, with the quota of each cluster that sets none.
type Limits struct {
	Descriptors int      `yaml:"descriptors"` // connections of clients and to endpoints
	Memory      Size     `yaml:"memory"`      // of request bodies
	Requests    int      `yaml:"requests"`    // in flight
	Body        Size     `yaml:"body"`        // of one request
	Drain       Duration `yaml:"drain"`       // how long a graceful shutdown waits for answers
	PerCluster  Quota    `yaml:"per_cluster"`
}

// Quota is a cluster's part of the limits.
type Quota struct {
	Guaranteed Amount `yaml:"guaranteed"` // reserved, whatever the other clusters use
	Max        Amount `yaml:"most"`       // 0: the limit of the process
}

// Amount is a part of each limit.
type Amount struct {
	Descriptors int  `yaml:"descriptors"`
	Memory      Size `yaml:"memory"`
	Requests    int  `yaml:"requests"`
}

// setDefaults sets what was left out. The guaranteed quotas leave room for clients and for clusters of a control plane.
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

// QuotaOf returns the quota of a cluster, which may be one of a control plane.
func (f *File) QuotaOf(c *Cluster) Quota {
	if c.Quota != nil {
		return *c.Quota
	}
	return f.Limits.PerCluster
}

func (f *File) checkLimits(d *decoder) {
	l := &f.Limits
	if l.Descriptors < minDescriptors {
		d.errorAt("limits.descriptors", "want %d at least, not %d", minDescriptors, l.Descriptors)
	}
	if l.Requests < 1 {
		d.errorAt("limits.requests", "want 1 at least, not %d", l.Requests)
	}
	if l.Body < 1 || l.Body > l.Memory {
		d.errorAt("limits.body", "want 1B at least and no more than limits.memory")
	}
	if l.Drain == 0 {
		d.errorAt("limits.drain", "want more than 0")
	}
	f.checkGuaranteed(d)
}

// checkGuaranteed checks that the guaranteed quotas are within the limits. Half of the descriptors is left for the
// connections of clients.
func (f *File) checkGuaranteed(d *decoder) {
	l := &f.Limits
	var sum Amount
	for i := range f.Clusters {
		guaranteed := f.QuotaOf(&f.Clusters[i]).Guaranteed
		if guaranteed.Descriptors < 0 || guaranteed.Requests < 0 {
			d.errorAt(fmt.Sprintf("clusters[%d].limits.guaranteed", i), "is negative")
		}
		sum.Descriptors += guaranteed.Descriptors
		sum.Memory += guaranteed.Memory
		sum.Requests += guaranteed.Requests
	}
	const field = "limits.per_cluster.guaranteed"
	if sum.Descriptors > l.Descriptors/2 {
		d.errorAt(field, "%d descriptors are guaranteed to clusters, half of limits.descriptors (%d) at most", sum.Descriptors, l.Descriptors)
	}
	if sum.Memory > l.Memory {
		d.errorAt(field, "%d bytes are guaranteed of %d", int64(sum.Memory), int64(l.Memory))
	}
	if sum.Requests > max(l.Requests, 0) {
		d.errorAt(field, "%d requests are guaranteed of %d", sum.Requests, l.Requests)
	}
}
