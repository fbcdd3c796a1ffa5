package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// floorsFleet is some proxies before servers that have so many places each and one queue, on simulated time. It counts what is
// served in time, by class, by tenant and by third of the day.
type floorsFleet struct {
	simulation
	rng     *rand.Rand
	set     Settings
	work    map[string]time.Duration // mean of each class
	servers map[string]*floorsServer
	proxies []*floorsProxy
	open    map[string]*floorsRequest
	ids     int
	third   time.Duration
	asked   map[string][3]float64 // worth that came, by class, by tenant, and "" for all
	served  map[string][3]float64 // and was served, less what being late takes off
}

type floorsServer struct {
	free  int
	queue []func()
}

type floorsProxy struct {
	*recorder
	f   *floorsFleet
	bal *Balancer
}

type floorsRequest struct {
	class    Class
	tenant   string
	at       time.Duration
	attempts []*bool // over
}

func (p *floorsProxy) SetTimer(token uint64, d time.Duration) {
	p.f.at(p.f.now+max(d, 0), func() { p.bal.Timer(p.f.now, token) })
}

func (f *floorsFleet) next(s *floorsServer) {
	for s.free > 0 && len(s.queue) > 0 {
		run := s.queue[0]
		s.queue = s.queue[1:]
		run()
	}
}

func (p *floorsProxy) Send(id, server string, expire time.Duration) {
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
				f.counts(f.served, r, part)
				delete(f.open, id)
			}
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: res, Latency: f.now - began, Final: done})
		}
	}
	f.at(max(r.at+r.class.Deadline, f.now), func() { ends(TimedOut) })
	took := time.Duration(f.rng.ExpFloat64() * float64(f.work[r.class.Name]))
	s.queue = append(s.queue, func() { // also where nobody waits for it any more: servers don't know
		s.free--
		f.at(f.now+took, func() {
			s.free++
			ends(Served)
			f.next(s)
		})
	})
	f.at(f.now, func() { f.next(s) }) // not within Send
}

func (p *floorsProxy) Reject(id string, _ time.Duration) { delete(p.f.open, id) }
func (p *floorsProxy) Fail(id string)                    { delete(p.f.open, id) }
func (p *floorsProxy) Cancel(id string, n int) {
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

func (f *floorsFleet) counts(in map[string][3]float64, r *floorsRequest, part float64) {
	for _, k := range []string{"", r.class.Name, r.tenant} {
		v := in[k]
		v[min(int(r.at/f.third), 2)] += part * r.class.PriorityWeight
		in[k] = v
	}
}

// comes has requests of a class and tenant come, so many a second by the time, each to one of the proxies.
func (f *floorsFleet) comes(class Class, tenant string, rate func(third int) float64) {
	var again func()
	again = func() {
		r := &floorsRequest{class: class, tenant: tenant, at: f.now}
		f.ids++
		id := fmt.Sprint(f.ids)
		f.open[id] = r
		f.counts(f.asked, r, 1)
		p := f.proxies[f.rng.IntN(len(f.proxies))]
		p.bal.Request(f.now, Request{ID: id, Class: class.Name, Tenant: tenant, TimeLeft: class.Deadline})
		if third := int(f.now / f.third); third < 3 {
			f.at(f.now+time.Duration(f.rng.ExpFloat64()/rate(third)*float64(time.Second)), again)
		}
	}
	f.at(time.Duration(f.rng.ExpFloat64()/rate(0)*float64(time.Second)), again)
}

// The users' floors, on a day whose middle third brings more than the servers can do: of all worth at least half of what a policy
// serves that gives the servers' whole time to what is worth most for its work; half of that for each class of which this policy
// serves 0.3 or more; a fifth for each third of the day, each class in it, and a third for each tenant within its share.
func TestFloorsByClassTenantAndThird(t *testing.T) {
	const servers, places = 6, 3
	shares := map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2}
	for _, c := range []struct {
		name string
		peak map[string]float64 // load of the middle third, by class, in parts of what the servers can do
		over string             // the tenant that the peak comes from; empty: all by their shares
	}{
		{"a wave of all", map[string]float64{"map": 0.9, "hold": 0.5, "pay": 0.2}, ""},
		{"a wave of what is worth least", map[string]float64{"map": 2.5, "hold": 0.25, "pay": 0.1}, ""},
		{"a wave of what is worth most", map[string]float64{"map": 0.3, "hold": 0.3, "pay": 0.9}, ""},
		{"a tenant over its share", map[string]float64{"map": 1.2, "hold": 0.5, "pay": 0.2}, "c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &floorsFleet{rng: rand.New(rand.NewPCG(5, 7)), set: settings(), third: 12 * time.Second, servers: map[string]*floorsServer{},
				open: map[string]*floorsRequest{}, asked: map[string][3]float64{}, served: map[string][3]float64{},
				work: map[string]time.Duration{"map": 20 * ms, "hold": 30 * ms, "pay": 40 * ms}}
			f.set.Classes = []Class{
				{Name: "map", LatencyObjective: 200 * ms, Deadline: 800 * ms, Effect: Idempotent, PriorityWeight: 1, LatePriorityWeight: 0.5},
				{Name: "hold", LatencyObjective: 200 * ms, Deadline: time.Second, Effect: IdempotentWithKey, Group: GroupCell, Window: 400 * ms, PriorityWeight: 4, LatePriorityWeight: 0.5},
				{Name: "pay", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Effect: NonIdempotent, PriorityWeight: 8, LatePriorityWeight: 0.5}}
			calm := map[string]float64{"map": 0.35, "hold": 0.25, "pay": 0.1}
			capacity := float64(servers * places) // seconds of work a second
			worth := 0.0                          // a second, of a calm third
			for _, k := range f.set.Classes {
				worth += calm[k.Name] * capacity / f.work[k.Name].Seconds()
			}
			for name, share := range shares {
				f.set.Tenants = append(f.set.Tenants, Tenant{Name: name, Quota: share, Rate: share * worth * 1.2})
			}
			slices.SortFunc(f.set.Tenants, func(x, y Tenant) int { return int(x.Name[0]) - int(y.Name[0]) })
			f.set.OverQuotaWeight, f.set.Proxies = 0.2, 4
			var list []Server
			for i := range servers {
				s := Server{ID: fmt.Sprint("s", i), Zone: []string{"za", "zb"}[i%2], Cell: i % 4, Weight: 1}
				list, f.servers[s.ID] = append(list, s), &floorsServer{free: places}
			}
			for i := range f.set.Proxies {
				p := &floorsProxy{recorder: &recorder{}, f: f}
				set := f.set
				set.Index = i
				var err error
				if p.bal, err = New(set, uint64(i), p); err != nil {
					t.Fatal(err)
				}
				p.bal.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: list})
				f.proxies = append(f.proxies, p)
			}
			for _, k := range f.set.Classes {
				full := capacity / f.work[k.Name].Seconds() // of this class alone, a second
				for _, tenant := range f.set.Tenants {
					f.comes(k, tenant.Name, func(third int) float64 {
						own := tenant.Quota * calm[k.Name]
						switch {
						case third != 1:
						case c.over == "":
							own = tenant.Quota * c.peak[k.Name]
						case c.over == tenant.Name:
							own += c.peak[k.Name] - calm[k.Name]
						}
						return own * full
					})
				}
			}
			f.run(3*f.third + 3*time.Second)

			// What could be served: each third's work goes to what is worth most for it.
			could := map[string][3]float64{}
			byWorth := slices.Clone(f.set.Classes)
			slices.SortFunc(byWorth, func(x, y Class) int {
				return int(y.PriorityWeight/f.work[y.Name].Seconds() - x.PriorityWeight/f.work[x.Name].Seconds())
			})
			for third := range 3 {
				left := capacity * f.third.Seconds()
				for _, k := range byWorth {
					came := f.asked[k.Name][third]
					part := min(came, left*k.PriorityWeight/f.work[k.Name].Seconds())
					left -= part / k.PriorityWeight * f.work[k.Name].Seconds()
					for _, name := range []string{"", k.Name} {
						v := could[name]
						v[third] += part
						could[name] = v
					}
				}
			}
			sum := func(v [3]float64) float64 { return v[0] + v[1] + v[2] }
			holds := func(what string, got, most, floor float64) {
				t.Helper()
				if t.Logf("%-16s %7.0f of %7.0f, %.2f", what, got, most, got/most); got < floor*most {
					t.Errorf("%s: %.0f of %.0f is under %.2f", what, got, most, floor)
				}
			}
			holds("all", sum(f.served[""]), sum(could[""]), 0.5)
			for third := range 3 {
				holds(fmt.Sprint("third ", third+1), f.served[""][third], could[""][third], 0.2)
			}
			for _, k := range f.set.Classes {
				if sum(could[k.Name]) >= 0.3*sum(f.asked[k.Name]) {
					holds(k.Name, sum(f.served[k.Name]), sum(could[k.Name]), 0.5)
				}
				for third := range 3 {
					if could[k.Name][third] >= 0.3*f.asked[k.Name][third] {
						holds(fmt.Sprint(k.Name, ", third ", third+1), f.served[k.Name][third], could[k.Name][third], 0.2)
					}
				}
			}
			for _, tenant := range f.set.Tenants {
				if tenant.Name != c.over {
					holds("tenant "+tenant.Name, sum(f.served[tenant.Name]), tenant.Quota*sum(could[""]), 1.0/3)
				}
			}
		})
	}
}
