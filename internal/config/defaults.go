package config

import (
	"cmp"
	"time"
)

// fill sets what was left out. These are all the defaults there are; `robindrum check --print` shows them.
func (f *File) fill() {
	set(&f.Gateway.Of, 1)
	set(&f.Admin.Address, "127.0.0.1:9901")
	set(&f.Log.Format, "text")
	set(&f.Log.Level, "info")

	l := &f.Limits
	set(&l.Descriptors, 4096)
	set(&l.Memory, 64<<20)
	set(&l.Requests, 4096)
	set(&l.Body, min(1<<20, l.Memory))
	set(&l.Drain, Duration(30*time.Second))
	// A quarter of the descriptors and half of the rest is kept for the clusters, evenly. Clusters that a control plane
	// names have what is left.
	n := max(len(f.Clusters), 1)
	if g := &l.PerCluster.Guaranteed; *g == (Amount{}) {
		*g = Amount{Descriptors: l.Descriptors / 4 / n, Memory: l.Memory / 2 / Size(n), Requests: l.Requests / 2 / n}
	}

	for i := range f.Classes {
		f.Classes[i].fill()
	}
	for _, c := range []Class{{Name: DefaultSafe}, {Name: DefaultUnsafe, Effect: 2}} {
		if !f.hasClass(c.Name) {
			c.fill()
			f.Classes = append(f.Classes, c)
		}
	}
	for i := range f.Clusters {
		f.Clusters[i].Fill()
		for j := range f.Clusters[i].Endpoints {
			e := &f.Clusters[i].Endpoints[j]
			set(&e.Weight, 1)
		}
	}
	for i := range f.Routes {
		for j := range f.Routes[i].Clusters {
			set(&f.Routes[i].Clusters[j].Weight, 1)
		}
	}
	for i := range f.RateLimits {
		l := &f.RateLimits[i]
		set(&l.Burst, max(int(min(l.Rate, 1e9)), 1))
		set(&l.Keys, 100_000)
		if a := l.Key.Address; a != nil {
			set(&a.IPv4, 32)
			set(&a.IPv6, 64)
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
		f.Fleet.Quorum.Folder = f.Resolve(f.Fleet.Quorum.Folder)
	}
	if x := f.XDS; x != nil {
		set(&x.Node.Cluster, "robindrum")
		set(&x.InitialFetchTimeout, Duration(15*time.Second))
		set(&x.ConnectTimeout, Duration(5*time.Second))
		set(&x.BackoffBase, Duration(500*time.Millisecond))
		set(&x.BackoffMost, Duration(30*time.Second))
		set(&x.Keepalive, Duration(30*time.Second))
		set(&x.Message, 16<<20)
	}
}

func (z *Zones) fill() {
	set(&z.Overprovision, 1.4)
	set(&z.FailHold, Duration(200*time.Millisecond))
	set(&z.DarkHold, Duration(300*time.Millisecond))
	set(&z.UpHold, Duration(time.Second))
	set(&z.Hold, Duration(time.Second))
	set(&z.MaxHold, Duration(30*time.Second))
	set(&z.Probe, Duration(500*time.Millisecond))
	set(&z.Step, Duration(2*time.Second))
	set(&z.FirstShare, 1.0/16)
	set(&z.FirstRoom, 16)
	set(&z.Tolerance, 1.5)
	set(&z.OwnTolerance, 4)
	set(&z.RetryLeast, 3)
	for p, v := range map[**float64]float64{&z.Panic: 0.5, &z.Floor: 0.05, &z.RetryBudget: 0.2} {
		if *p == nil {
			*p = new(v)
		}
	}
}

func (c *Class) fill() {
	set(&c.Deadline, Duration(15*time.Second))
	set(&c.Wanted, min(Duration(time.Second), c.Deadline))
	set(&c.Worth, 1)
}

// Fill sets what was left out of a cluster; also of one that a control plane names.
func (c *Cluster) Fill() {
	set(&c.ConnectTimeout, Duration(250*time.Millisecond))
	set(&c.IdleTimeout, Duration(10*time.Second))
	set(&c.Attempts, 3)
	set(&c.WarmUp.Time, Duration(10*time.Second))
	set(&c.WarmUp.Share, 0.1)
	set(&c.WarmUp.Max, 2.5)
	set(&c.DrainGrace, Duration(time.Second))
	o, b := &c.Overload, &c.Breakers
	set(&o.PerEndpoint, 256)
	set(&o.Limit, 1024)
	set(&o.Retries.TTL, Duration(10*time.Second))
	for p, v := range map[**float64]float64{&o.Floor: 0.05, &o.Retries.Ratio: 0.2, &o.Retries.Rate: 10} {
		if *p == nil {
			*p = new(v)
		}
	}
	for b := b; b != nil; b = b.High {
		set(&b.MaxPending, 1024)
		if r := b.RetryBudget; r != nil { // Envoy's defaults
			set(&r.Percent, 20)
			set(&r.MinConcurrency, 3)
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

func set[T cmp.Ordered](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}
