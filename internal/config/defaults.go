package config

import (
	"cmp"
	"time"
)

// fill sets what was left out. These are all the defaults there are; `robindrum check --print` shows them.
func (f *File) fill() {
	setDefault(&f.Gateway.Count, 1)
	setDefault(&f.Admin.Address, "127.0.0.1:9901")
	setDefault(&f.Log.Format, "text")
	setDefault(&f.Log.Level, "info")

	l := &f.Limits
	setDefault(&l.Descriptors, 4096)
	setDefault(&l.Memory, 64<<20)
	setDefault(&l.Requests, 4096)
	setDefault(&l.Body, min(1<<20, l.Memory))
	setDefault(&l.Drain, Duration(30*time.Second))
	// A quarter of the descriptors and half of the rest is kept for the clusters, evenly. Clusters that a control plane
	// names have what is left.
	n := max(len(f.Clusters), 1)
	if g := &l.PerCluster.Guaranteed; *g == (Amount{}) {
		*g = Amount{Descriptors: l.Descriptors / 4 / n, Memory: l.Memory / 2 / Size(n), Requests: l.Requests / 2 / n}
	}

	for i := range f.Classes {
		f.Classes[i].fill()
	}
	for _, c := range []Class{{Name: DefaultSafeClass}, {Name: DefaultUnsafeClass, Effect: 2}} {
		if !f.hasClass(c.Name) {
			c.fill()
			f.Classes = append(f.Classes, c)
		}
	}
	for i := range f.Clusters {
		f.Clusters[i].Fill()
		for j := range f.Clusters[i].Endpoints {
			e := &f.Clusters[i].Endpoints[j]
			setDefault(&e.Weight, 1)
		}
	}
	for i := range f.Routes {
		for j := range f.Routes[i].Clusters {
			setDefault(&f.Routes[i].Clusters[j].Weight, 1)
		}
	}
	for i := range f.RateLimits {
		l := &f.RateLimits[i]
		setDefault(&l.Burst, max(int(min(l.Rate, 1e9)), 1))
		setDefault(&l.Keys, 100_000)
		if a := l.Key.Address; a != nil {
			setDefault(&a.IPv4, 32)
			setDefault(&a.IPv6, 64)
		}
	}
	if z := f.Zones; z != nil {
		z.fill()
	}
	if f.Sites != nil {
		f.Sites.fill()
	}
	if f.Fleet != nil {
		f.Fleet.fill()
		f.Fleet.Quorum.Directory = f.Resolve(f.Fleet.Quorum.Directory)
	}
	if x := f.XDS; x != nil {
		setDefault(&x.Node.Cluster, "robindrum")
		setDefault(&x.InitialFetchTimeout, Duration(15*time.Second))
		setDefault(&x.ConnectTimeout, Duration(5*time.Second))
		setDefault(&x.BackoffBase, Duration(500*time.Millisecond))
		setDefault(&x.MaxBackoff, Duration(30*time.Second))
		setDefault(&x.Keepalive, Duration(30*time.Second))
		setDefault(&x.MaxMessageBytes, 16<<20)
	}
}

func (z *Zones) fill() {
	setDefault(&z.Overprovision, 1.4)
	setDefault(&z.FailHold, Duration(200*time.Millisecond))
	setDefault(&z.DarkHold, Duration(300*time.Millisecond))
	setDefault(&z.UpHold, Duration(time.Second))
	setDefault(&z.MinHold, Duration(time.Second))
	setDefault(&z.MaxHold, Duration(30*time.Second))
	setDefault(&z.ProbeInterval, Duration(500*time.Millisecond))
	setDefault(&z.Step, Duration(2*time.Second))
	setDefault(&z.InitialShare, 1.0/16)
	setDefault(&z.InitialCapacity, 16)
	setDefault(&z.Tolerance, 1.5)
	setDefault(&z.OwnTolerance, 4)
	setDefault(&z.MinRetries, 3)
	for p, v := range map[**float64]float64{&z.PanicThreshold: 0.5, &z.Floor: 0.05, &z.RetryBudget: 0.2} {
		if *p == nil {
			*p = new(v)
		}
	}
}

func (c *Class) fill() {
	setDefault(&c.Deadline, Duration(15*time.Second))
	setDefault(&c.LatencyObjective, min(Duration(time.Second), c.Deadline))
	setDefault(&c.PriorityWeight, 1)
}

// Fill sets what was left out of a cluster; also of one that a control plane names.
func (c *Cluster) Fill() {
	setDefault(&c.ConnectTimeout, Duration(250*time.Millisecond))
	setDefault(&c.IdleTimeout, Duration(10*time.Second))
	setDefault(&c.Attempts, 3)
	setDefault(&c.WarmUp.Time, Duration(10*time.Second))
	setDefault(&c.WarmUp.InitialShare, 0.1)
	setDefault(&c.WarmUp.OverloadMultiple, 2.5)
	setDefault(&c.DrainGrace, Duration(time.Second))
	o, b := &c.Overload, &c.Breakers
	setDefault(&o.PerEndpoint, 256)
	setDefault(&o.Limit, 1024)
	setDefault(&o.Retries.TTL, Duration(10*time.Second))
	for p, v := range map[**float64]float64{&o.Floor: 0.05, &o.Retries.Ratio: 0.2, &o.Retries.Rate: 10} {
		if *p == nil {
			*p = new(v)
		}
	}
	for b := b; b != nil; b = b.High {
		setDefault(&b.MaxPending, 1024)
		if r := b.RetryBudget; r != nil { // Envoy's defaults
			setDefault(&r.Percent, 20)
			setDefault(&r.MinConcurrency, 3)
		}
	}
	if c.Hedge == nil {
		c.Hedge = new(true)
	}
	if c.CrossZone == nil {
		c.CrossZone = new(0.05)
	}
}

func (f *File) hasClass(name string) bool {
	for _, c := range f.Classes {
		if c.Name == name {
			return true
		}
	}
	return false
}

func setDefault[T cmp.Ordered](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}
