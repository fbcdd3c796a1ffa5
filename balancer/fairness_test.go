package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fairnessDay describes a day with an overload in its middle third.
type fairnessDay struct {
	name            string
	peak            map[string]float64 // load in the middle third by class, as a fraction of the capacity
	overQuotaTenant string             // the tenant that causes the peak; empty: all tenants in proportion to their quotas
}

const (
	fairnessServers = 6
	fairnessWorkers = 3 // per server
	// fairnessCapacity is the capacity of all servers in seconds of work per second.
	fairnessCapacity = float64(fairnessServers * fairnessWorkers)
)

// fairnessBaseLoad is the load in the first and the last third of the day by class, as a fraction of the capacity.
var fairnessBaseLoad = map[string]float64{"map": 0.35, "hold": 0.25, "pay": 0.1}

// Under overload, no class, tenant or third of the day is starved. The reference is a policy that spends the servers' time on the
// most valuable work. Compared with it, the Balancer must serve at least half of the total value, half of the value of each class of
// which the reference serves at least 0.3, a fifth in each third of the day and of each such class in it, and a third for each tenant
// within its quota.
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
	f := &fairnessFleet{rng: rand.New(rand.NewPCG(5, 7)), cfg: settings(), third: 12 * time.Second, servers: map[string]*fairnessServer{},
		open: map[string]*fairnessRequest{}, arrived: map[string][3]float64{}, served: map[string][3]float64{},
		work: map[string]time.Duration{"map": 20 * ms, "hold": 30 * ms, "pay": 40 * ms}}
	f.cfg.Classes = []Class{
		{Name: "map", LatencyObjective: 200 * ms, Deadline: 800 * ms, Effect: Idempotent, PriorityWeight: 1, LatePriorityWeight: 0.5},
		{Name: "hold", LatencyObjective: 200 * ms, Deadline: time.Second, Effect: IdempotentWithKey, Group: GroupCell, Window: 400 * ms, PriorityWeight: 4, LatePriorityWeight: 0.5},
		{Name: "pay", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Effect: NonIdempotent, PriorityWeight: 8, LatePriorityWeight: 0.5}}
	value := 0.0 // per second at the base load
	for _, class := range f.cfg.Classes {
		value += fairnessBaseLoad[class.Name] * fairnessCapacity / f.work[class.Name].Seconds()
	}
	for name, share := range map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2} {
		f.cfg.Tenants = append(f.cfg.Tenants, Tenant{Name: name, Quota: share, Rate: share * value * 1.2})
	}
	slices.SortFunc(f.cfg.Tenants, func(x, y Tenant) int { return int(x.Name[0]) - int(y.Name[0]) })
	f.cfg.OverQuotaWeight, f.cfg.Proxies = 0.2, 4
	return f
}

// start creates the servers and the proxies.
func (f *fairnessFleet) start(t *testing.T) {
	t.Helper()
	var list []Server
	for i := range fairnessServers {
		s := Server{ID: fmt.Sprint("s", i), Zone: []string{"za", "zb"}[i%2], Cell: i % 4, Weight: 1}
		list = append(list, s)
		f.servers[s.ID] = &fairnessServer{freeWorkers: fairnessWorkers}
	}
	for i := range f.cfg.Proxies {
		p := &fairnessProxy{recorder: &recorder{}, f: f}
		cfg := f.cfg
		cfg.Index = i
		var err error
		if p.bal, err = New(cfg, uint64(i), p); err != nil {
			t.Fatal(err)
		}
		p.bal.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: list})
		f.proxies = append(f.proxies, p)
	}
}

// generateDay schedules the requests of a day.
func (f *fairnessFleet) generateDay(day fairnessDay) {
	for _, class := range f.cfg.Classes {
		full := fairnessCapacity / f.work[class.Name].Seconds() // requests per second if only this class arrived
		for _, tenant := range f.cfg.Tenants {
			f.generate(class, tenant.Name, func(third int) float64 {
				load := tenant.Quota * fairnessBaseLoad[class.Name]
				switch {
				case third != 1:
				case day.overQuotaTenant == "":
					load = tenant.Quota * day.peak[class.Name]
				case day.overQuotaTenant == tenant.Name:
					load += day.peak[class.Name] - fairnessBaseLoad[class.Name]
				}
				return load * full
			})
		}
	}
}

// servable returns the value that could be served, by class, and under "" for all classes: in each third of the day, the servers' time
// is spent on the requests with the highest value per work.
func (f *fairnessFleet) servable() map[string][3]float64 {
	servable := map[string][3]float64{}
	byValue := slices.Clone(f.cfg.Classes)
	slices.SortFunc(byValue, func(x, y Class) int {
		return int(y.PriorityWeight/f.work[y.Name].Seconds() - x.PriorityWeight/f.work[x.Name].Seconds())
	})
	for third := range 3 {
		left := fairnessCapacity * f.third.Seconds()
		for _, class := range byValue {
			offered := f.arrived[class.Name][third]
			part := min(offered, left*class.PriorityWeight/f.work[class.Name].Seconds())
			left -= part / class.PriorityWeight * f.work[class.Name].Seconds()
			for _, name := range []string{"", class.Name} {
				byThird := servable[name]
				byThird[third] += part
				servable[name] = byThird
			}
		}
	}
	return servable
}

// checkShares compares the served value with the minimum shares of TestOverloadMinimumShares.
func (f *fairnessFleet) checkShares(t *testing.T, day fairnessDay) {
	t.Helper()
	servable := f.servable()
	sum := func(byThird [3]float64) float64 { return byThird[0] + byThird[1] + byThird[2] }
	requireShare(t, "all", sum(f.served[""]), sum(servable[""]), 0.5)
	for third := range 3 {
		requireShare(t, fmt.Sprint("third ", third+1), f.served[""][third], servable[""][third], 0.2)
	}
	for _, class := range f.cfg.Classes {
		if sum(servable[class.Name]) >= 0.3*sum(f.arrived[class.Name]) {
			requireShare(t, class.Name, sum(f.served[class.Name]), sum(servable[class.Name]), 0.5)
		}
		for third := range 3 {
			if servable[class.Name][third] >= 0.3*f.arrived[class.Name][third] {
				requireShare(t, fmt.Sprint(class.Name, ", third ", third+1), f.served[class.Name][third], servable[class.Name][third], 0.2)
			}
		}
	}
	for _, tenant := range f.cfg.Tenants {
		if tenant.Name != day.overQuotaTenant {
			requireShare(t, "tenant "+tenant.Name, sum(f.served[tenant.Name]), tenant.Quota*sum(servable[""]), 1.0/3)
		}
	}
}

// requireShare fails the test if less than minShare of the servable value was served.
func requireShare(t *testing.T, group string, got, servable, minShare float64) {
	t.Helper()
	t.Logf("%-16s served %7.0f of %7.0f, share %.2f", group, got, servable, got/servable)
	if got < minShare*servable {
		t.Errorf("%s: served value %.0f of %.0f, want a share of at least %.2f", group, got, servable, minShare)
	}
}

// fairnessFleet simulates proxies and servers. Each server has fairnessWorkers workers and one queue. The fleet sums the value of the
// requests by class, by tenant and by third of the day.
type fairnessFleet struct {
	simulation
	rng     *rand.Rand
	cfg     Settings
	work    map[string]time.Duration // mean work of each class
	servers map[string]*fairnessServer
	proxies []*fairnessProxy
	open    map[string]*fairnessRequest
	lastID  int
	third   time.Duration
	arrived map[string][3]float64 // value that arrived, by class, by tenant, and under "" for all
	served  map[string][3]float64 // value that was served, reduced for late answers
}

type fairnessServer struct {
	freeWorkers int
	queue       []func()
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
	attempts []*bool // whether each attempt has ended
}

func (p *fairnessProxy) SetTimer(token uint64, d time.Duration) {
	p.f.at(p.f.now+max(d, 0), func() { p.bal.Timer(p.f.now, token) })
}

func (p *fairnessProxy) Send(id, server string, expire time.Duration) {
	f, r, s, sentAt := p.f, p.f.open[id], p.f.servers[server], p.f.now
	n, ended := len(r.attempts), new(bool)
	r.attempts = append(r.attempts, ended)
	end := func(res Result) {
		if !*ended {
			*ended = true
			done := res == Served && f.open[id] != nil
			if done {
				fraction := 1.0
				if f.now-r.at > r.class.LatencyObjective {
					fraction = r.class.LatePriorityWeight
				}
				f.count(f.served, r, fraction)
				delete(f.open, id)
			}
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: res, Latency: f.now - sentAt, Final: done})
		}
	}
	f.at(max(r.at+r.class.Deadline, f.now), func() { end(TimedOut) })
	took := time.Duration(f.rng.ExpFloat64() * float64(f.work[r.class.Name]))
	s.queue = append(s.queue, func() { // runs even if the client has given up, because servers are not told
		s.freeWorkers--
		f.at(f.now+took, func() {
			s.freeWorkers++
			end(Served)
			f.startQueued(s)
		})
	})
	f.at(f.now, func() { f.startQueued(s) }) // Outcome must not be called within Send
}

func (p *fairnessProxy) Reject(id string, _ time.Duration) { delete(p.f.open, id) }

func (p *fairnessProxy) Fail(id string) { delete(p.f.open, id) }

func (p *fairnessProxy) Cancel(id string, n int) {
	f, r := p.f, p.f.open[id]
	if r == nil {
		return
	}
	ended := r.attempts[n]
	f.at(f.now, func() {
		if !*ended {
			*ended = true
			p.bal.Outcome(f.now, Outcome{ID: id, Attempt: n, Result: Cancelled})
		}
	})
}

// startQueued starts queued requests on the free workers of a server.
func (f *fairnessFleet) startQueued(s *fairnessServer) {
	for s.freeWorkers > 0 && len(s.queue) > 0 {
		run := s.queue[0]
		s.queue = s.queue[1:]
		run()
	}
}

// count adds a fraction of the value of a request to the totals.
func (f *fairnessFleet) count(totals map[string][3]float64, r *fairnessRequest, fraction float64) {
	for _, key := range []string{"", r.class.Name, r.tenant} {
		byThird := totals[key]
		byThird[min(int(r.at/f.third), 2)] += fraction * r.class.PriorityWeight
		totals[key] = byThird
	}
}

// generate schedules the requests of a class and tenant at random times and proxies. The rate is in requests per second and depends
// on the third of the day.
func (f *fairnessFleet) generate(class Class, tenant string, rate func(third int) float64) {
	var arrive func()
	arrive = func() {
		r := &fairnessRequest{class: class, tenant: tenant, at: f.now}
		f.lastID++
		id := fmt.Sprint(f.lastID)
		f.open[id] = r
		f.count(f.arrived, r, 1)
		p := f.proxies[f.rng.IntN(len(f.proxies))]
		p.bal.Request(f.now, Request{ID: id, Class: class.Name, Tenant: tenant, TimeLeft: class.Deadline})
		if third := int(f.now / f.third); third < 3 {
			f.at(f.now+time.Duration(f.rng.ExpFloat64()/rate(third)*float64(time.Second)), arrive)
		}
	}
	f.at(time.Duration(f.rng.ExpFloat64()/rate(0)*float64(time.Second)), arrive)
}
