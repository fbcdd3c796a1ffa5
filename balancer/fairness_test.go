package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fairnessDay is a day whose middle third brings more than the servers can do.
type fairnessDay struct {
	name string
	peak map[string]float64 // load of the middle third, by class, in parts of what the servers can do
	over string             // the tenant that the peak comes from; empty: all by their quotas
}

const (
	fairnessServers = 6
	fairnessWorkers = 3 // of each server
	// fairnessCapacity is in seconds of work a second.
	fairnessCapacity = float64(fairnessServers * fairnessWorkers)
)

// fairnessCalm is the load of the first and the last third, by class, in parts of what the servers can do.
var fairnessCalm = map[string]float64{"map": 0.35, "hold": 0.25, "pay": 0.1}

// The minimum shares on a day whose middle third brings more than the servers can do. Of all value at least half of what a policy
// serves that gives the servers' time to the most valuable work; half of that for each class of which this policy serves 0.3
// or more; a fifth for each third of the day and each class in it, and a third for each tenant within its quota.
func TestOverloadMinimumShares(t *testing.T) {
	for _, day := range []fairnessDay{
		{"a peak of all classes", map[string]float64{"map": 0.9, "hold": 0.5, "pay": 0.2}, ""},
		{"a peak of the least valuable class", map[string]float64{"map": 2.5, "hold": 0.25, "pay": 0.1}, ""},
		{"a peak of the most valuable class", map[string]float64{"map": 0.3, "hold": 0.3, "pay": 0.9}, ""},
		{"a tenant over its quota", map[string]float64{"map": 1.2, "hold": 0.5, "pay": 0.2}, "c"},
	} {
		t.Run(day.name, func(t *testing.T) {
			f := newFairnessFleet()
			f.start(t)
			f.generateDay(day)
			f.run(3*f.third + 3*time.Second)
			f.checkShares(t, day)
		})
	}
}

func newFairnessFleet() *fairnessFleet {
	f := &fairnessFleet{rng: rand.New(rand.NewPCG(5, 7)), set: settings(), third: 12 * time.Second, servers: map[string]*fairnessServer{},
		open: map[string]*fairnessRequest{}, arrived: map[string][3]float64{}, served: map[string][3]float64{},
		work: map[string]time.Duration{"map": 20 * ms, "hold": 30 * ms, "pay": 40 * ms}}
	f.set.Classes = []Class{
		{Name: "map", LatencyObjective: 200 * ms, Deadline: 800 * ms, Effect: Idempotent, PriorityWeight: 1, LatePriorityWeight: 0.5},
		{Name: "hold", LatencyObjective: 200 * ms, Deadline: time.Second, Effect: IdempotentWithKey, Group: GroupCell, Window: 400 * ms, PriorityWeight: 4, LatePriorityWeight: 0.5},
		{Name: "pay", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Effect: NonIdempotent, PriorityWeight: 8, LatePriorityWeight: 0.5}}
	value := 0.0 // a second, of a calm third
	for _, k := range f.set.Classes {
		value += fairnessCalm[k.Name] * fairnessCapacity / f.work[k.Name].Seconds()
	}
	for name, share := range map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2} {
		f.set.Tenants = append(f.set.Tenants, Tenant{Name: name, Quota: share, Rate: share * value * 1.2})
	}
	slices.SortFunc(f.set.Tenants, func(x, y Tenant) int { return int(x.Name[0]) - int(y.Name[0]) })
	f.set.OverQuotaWeight, f.set.Proxies = 0.2, 4
	return f
}

// start makes the servers and the proxies.
func (f *fairnessFleet) start(t *testing.T) {
	t.Helper()
	var list []Server
	for i := range fairnessServers {
		s := Server{ID: fmt.Sprint("s", i), Zone: []string{"za", "zb"}[i%2], Cell: i % 4, Weight: 1}
		list = append(list, s)
		f.servers[s.ID] = &fairnessServer{free: fairnessWorkers}
	}
	for i := range f.set.Proxies {
		p := &fairnessProxy{recorder: &recorder{}, f: f}
		set := f.set
		set.Index = i
		var err error
		if p.bal, err = New(set, uint64(i), p); err != nil {
			t.Fatal(err)
		}
		p.bal.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: list})
		f.proxies = append(f.proxies, p)
	}
}

// generateDay has the requests of a day arrive.
func (f *fairnessFleet) generateDay(day fairnessDay) {
	for _, k := range f.set.Classes {
		full := fairnessCapacity / f.work[k.Name].Seconds() // of this class alone, a second
		for _, tenant := range f.set.Tenants {
			f.generate(k, tenant.Name, func(third int) float64 {
				load := tenant.Quota * fairnessCalm[k.Name]
				switch {
				case third != 1:
				case day.over == "":
					load = tenant.Quota * day.peak[k.Name]
				case day.over == tenant.Name:
					load += day.peak[k.Name] - fairnessCalm[k.Name]
				}
				return load * full
			})
		}
	}
}

// servable is the value that could be served: the servers' time of each third goes to the most valuable requests for it.
func (f *fairnessFleet) servable() map[string][3]float64 {
	servable := map[string][3]float64{}
	byValue := slices.Clone(f.set.Classes)
	slices.SortFunc(byValue, func(x, y Class) int {
		return int(y.PriorityWeight/f.work[y.Name].Seconds() - x.PriorityWeight/f.work[x.Name].Seconds())
	})
	for third := range 3 {
		left := fairnessCapacity * f.third.Seconds()
		for _, k := range byValue {
			offered := f.arrived[k.Name][third]
			part := min(offered, left*k.PriorityWeight/f.work[k.Name].Seconds())
			left -= part / k.PriorityWeight * f.work[k.Name].Seconds()
			for _, name := range []string{"", k.Name} {
				v := servable[name]
				v[third] += part
				servable[name] = v
			}
		}
	}
	return servable
}

func (f *fairnessFleet) checkShares(t *testing.T, day fairnessDay) {
	t.Helper()
	servable := f.servable()
	sum := func(v [3]float64) float64 { return v[0] + v[1] + v[2] }
	requireShare(t, "all", sum(f.served[""]), sum(servable[""]), 0.5)
	for third := range 3 {
		requireShare(t, fmt.Sprint("third ", third+1), f.served[""][third], servable[""][third], 0.2)
	}
	for _, k := range f.set.Classes {
		if sum(servable[k.Name]) >= 0.3*sum(f.arrived[k.Name]) {
			requireShare(t, k.Name, sum(f.served[k.Name]), sum(servable[k.Name]), 0.5)
		}
		for third := range 3 {
			if servable[k.Name][third] >= 0.3*f.arrived[k.Name][third] {
				requireShare(t, fmt.Sprint(k.Name, ", third ", third+1), f.served[k.Name][third], servable[k.Name][third], 0.2)
			}
		}
	}
	for _, tenant := range f.set.Tenants {
		if tenant.Name != day.over {
			requireShare(t, "tenant "+tenant.Name, sum(f.served[tenant.Name]), tenant.Quota*sum(servable[""]), 1.0/3)
		}
	}
}

func requireShare(t *testing.T, what string, got, servable, minShare float64) {
	t.Helper()
	t.Logf("%-16s %7.0f of %7.0f, %.2f", what, got, servable, got/servable)
	if got < minShare*servable {
		t.Errorf("%s: %.0f of %.0f is under %.2f", what, got, servable, minShare)
	}
}

// fairnessFleet is some proxies before servers that have so many workers each and one queue, on simulated time. It counts the value
// served in time, by class, by tenant and by third of the day.
type fairnessFleet struct {
	simulation
	rng     *rand.Rand
	set     Settings
	work    map[string]time.Duration // mean of each class
	servers map[string]*fairnessServer
	proxies []*fairnessProxy
	open    map[string]*fairnessRequest
	ids     int
	third   time.Duration
	arrived map[string][3]float64 // value that arrived, by class, by tenant, and "" for all
	served  map[string][3]float64 // and was served, less what lateness takes off
}

type fairnessServer struct {
	free  int
	queue []func()
}

type fairnessProxy struct {
	*recorder
	f   *fairnessFleet
	bal *Balancer
}

type fairnessRequest struct {
	class    Class
	tenant   string
	at       time.Duration
	attempts []*bool // over
}

func (p *fairnessProxy) SetTimer(token uint64, d time.Duration) {
	p.f.at(p.f.now+max(d, 0), func() { p.bal.Timer(p.f.now, token) })
}

func (p *fairnessProxy) Send(id, server string, expire time.Duration) {
	f, r, s, began := p.f, p.f.open[id], p.f.servers[server], p.f.now
	n, over := len(r.attempts), new(bool)
	r.attempts = append(r.attempts, over)
	ends := func(res Result) {
		if !*over {
			*over = true
			done := res == Served && f.open[id] != nil
			if done {
				part := 1.0
				if f.now-r.at > r.class.LatencyObjective {
					part = r.class.LatePriorityWeight
				}
				f.count(f.served, r, part)
				delete(f.open, id)
			}
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: res, Latency: f.now - began, Final: done})
		}
	}
	f.at(max(r.at+r.class.Deadline, f.now), func() { ends(TimedOut) })
	took := time.Duration(f.rng.ExpFloat64() * float64(f.work[r.class.Name]))
	s.queue = append(s.queue, func() { // even if no client waits for it any more, as servers do not know
		s.free--
		f.at(f.now+took, func() {
			s.free++
			ends(Served)
			f.startQueued(s)
		})
	})
	f.at(f.now, func() { f.startQueued(s) }) // not within Send
}

func (p *fairnessProxy) Reject(id string, _ time.Duration) { delete(p.f.open, id) }

func (p *fairnessProxy) Fail(id string) { delete(p.f.open, id) }

func (p *fairnessProxy) Cancel(id string, n int) {
	f, r := p.f, p.f.open[id]
	if r == nil {
		return
	}
	over := r.attempts[n]
	f.at(f.now, func() {
		if !*over {
			*over = true
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: Cancelled})
		}
	})
}

func (f *fairnessFleet) startQueued(s *fairnessServer) {
	for s.free > 0 && len(s.queue) > 0 {
		run := s.queue[0]
		s.queue = s.queue[1:]
		run()
	}
}

func (f *fairnessFleet) count(in map[string][3]float64, r *fairnessRequest, part float64) {
	for _, k := range []string{"", r.class.Name, r.tenant} {
		v := in[k]
		v[min(int(r.at/f.third), 2)] += part * r.class.PriorityWeight
		in[k] = v
	}
}

// generate has requests of a class and tenant arrive at a rate a second that depends on the third of the day, each at one of the
// proxies.
func (f *fairnessFleet) generate(class Class, tenant string, rate func(third int) float64) {
	var again func()
	again = func() {
		r := &fairnessRequest{class: class, tenant: tenant, at: f.now}
		f.ids++
		id := fmt.Sprint(f.ids)
		f.open[id] = r
		f.count(f.arrived, r, 1)
		p := f.proxies[f.rng.IntN(len(f.proxies))]
		p.bal.Request(f.now, Request{ID: id, Class: class.Name, Tenant: tenant, TimeLeft: class.Deadline})
		if third := int(f.now / f.third); third < 3 {
			f.at(f.now+time.Duration(f.rng.ExpFloat64()/rate(third)*float64(time.Second)), again)
		}
	}
	f.at(time.Duration(f.rng.ExpFloat64()/rate(0)*float64(time.Second)), again)
}
