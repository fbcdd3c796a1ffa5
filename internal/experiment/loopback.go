package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"robindrum/balancer"
	"robindrum/internal/testbed/controlplane"
)

// Bounds of the loopback engine: all of it runs on one machine, in real time.
const (
	maxLiveLength   = 10 * time.Minute
	maxLiveRequests = 1_000_000
	maxLiveRate     = 20_000
	maxLiveGateways = 8
	maxLiveServers  = 64
	maxInFlight     = 20_000 // of the generator
)

// The headers by which servers know where a request came from.
const zoneHeader = "X-Lab-Zone"

// LiveOptions are of the loopback engine.
type LiveOptions struct {
	Binary string // robindrum
	// Progress is told how it goes, every second; nil: nobody is.
	Progress func(Progress)

	started     func(*playing) // for tests
	maxInFlight int            // requests in flight of the generator; 0: mostInFlight
}

// Progress is how a run goes.
type Progress struct {
	Seed                                 uint64
	At, Length                           time.Duration
	Asked, InTime, Late, Refused, Failed int
}

// Generator is how the load generator kept up.
type Generator struct {
	Asked   int           `json:"asked"` // by the open loop
	Rate    float64       `json:"per_second"`
	LateP99 time.Duration `json:"late_p99_ns"` // from when a request was due to when it was sent
	LateMax time.Duration `json:"late_max_ns"`
	Dropped int           `json:"dropped"` // not sent, as too many were in flight
	// Bottleneck is that the figures are of the generator, and not of what it asked.
	Bottleneck bool `json:"bottleneck"`

	late *hdrhistogram.Histogram
}

func (g *Generator) String() string {
	s := fmt.Sprintf("generator: %d requests, %.0f a second; sent late by %v at the 99th percentile, %v at most", g.Asked, g.Rate, g.LateP99, g.LateMax)
	if g.Bottleneck {
		s += fmt.Sprintf("; IT WAS THE BOTTLENECK (%d not sent)", g.Dropped)
	}
	return s
}

// tooLate is how late the generator may be at the 99th percentile. Times count from when a request was due, so a late
// generator hides no wait; but later than this it says more of itself than of the gateways.
const tooLate = 20 * time.Millisecond

// live says whether an experiment can run on the loopback engine.
func (e *Experiment) live() error {
	servers := 0
	for _, g := range e.Fleet.Groups {
		servers += g.Servers
	}
	requests := 0.0
	for at := time.Duration(0); at < e.Length.D(); at += 100 * time.Millisecond {
		requests += e.rate(at) / 10
	}
	peak := e.peak()
	if e.trace != nil {
		requests, peak = float64(len(e.trace.records))*e.trace.copies, e.trace.peak
	}
	bounds := []struct {
		what     string
		is, most float64
	}{{"length in seconds", e.Length.D().Seconds(), maxLiveLength.Seconds()}, {"requests", requests, maxLiveRequests}, {"requests a second", peak, maxLiveRate},
		{"gateways", float64(e.Gateways.Number), maxLiveGateways}, {"servers", float64(servers), maxLiveServers}, {"clients", float64(e.Load.Clients), 5000}}
	for _, b := range bounds {
		if b.is > b.most {
			return fmt.Errorf("%s: %s: %.0f, %.0f at most on the loopback engine", e.Name, b.what, b.is, b.most)
		}
	}
	if e.Gateways.Admission == "estimate" {
		return fmt.Errorf("%s: gateways.admission: a gateway has no estimate, only the simulated engine", e.Name)
	}
	return nil
}

// playing is one run on loopback.
type playing struct {
	e       *Experiment
	seed    uint64
	opt     LiveOptions
	plane   *controlplane.Server
	version int
	hosts   []*host
	clients []*http.Client
	dir     string // of the gateways' files
	bodies  map[string][]byte
	began   time.Time
	ids     atomic.Uint64
	work    sync.WaitGroup

	mu       sync.Mutex
	gates    []*child // nil: it is down
	c        *collector
	effects  map[string]map[string]int // runs by key and group
	gen      Generator
	inFlight int
	troubles []string
}

// Live runs an experiment over loopback, with its seed and those after it, so many in all. What was measured until ctx
// ends or something breaks is in the report, which says so.
func Live(ctx context.Context, e *Experiment, seeds int, opt LiveOptions) (*Report, error) {
	if seeds < 1 || seeds > maxSeeds {
		return nil, fmt.Errorf("%d seeds, want 1 to %d", seeds, maxSeeds)
	}
	if err := e.live(); err != nil {
		return nil, err
	}
	r := newReport(e, "loopback")
	r.Generator = &Generator{late: histogram(3)}
	for i := range seeds {
		p := &playing{e: e, seed: uint64(e.Seed + i), opt: opt, c: newCollector(e), effects: map[string]map[string]int{}, bodies: map[string][]byte{}, gen: Generator{late: histogram(3)}}
		err := p.play(ctx)
		r.add(p.c, p.seed)
		r.Generator.add(&p.gen, e.Length.D()*time.Duration(r.Seeds))
		r.Broken = append(r.Broken, p.troubles...)
		if err != nil {
			r.Ended = fmt.Sprintf("seed %d: %v", p.seed, err)
			break
		}
	}
	r.finish(e)
	if r.Generator.Bottleneck {
		r.Broken = append(r.Broken, "the generator was too slow for the load: the figures are its own")
	}
	if r.Ended != "" {
		r.Broken = append(r.Broken, "the run ended early: "+r.Ended)
	}
	return r, nil
}

func (g *Generator) add(o *Generator, length time.Duration) {
	g.Asked, g.Dropped = g.Asked+o.Asked, g.Dropped+o.Dropped
	g.late.Merge(o.late)
	g.Rate = float64(g.Asked) / length.Seconds()
	g.LateP99, g.LateMax = quantile(g.late, 0.99), time.Duration(g.late.Max())*time.Microsecond
	g.Bottleneck = g.Dropped > 0 || g.LateP99 > tooLate
}

func (p *playing) now() time.Duration           { return time.Since(p.began) }
func (p *playing) at(d time.Duration) time.Time { return p.began.Add(d) }
func (p *playing) class(r *http.Request) *Class {
	i, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
	if err != nil || i < 0 || i >= len(p.e.Classes) {
		return nil
	}
	return &p.e.Classes[i]
}

func (p *playing) play(ctx context.Context) (err error) {
	defer func() {
		p.end()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, groups := range p.effects {
			n := 0
			for _, k := range groups {
				n += k
			}
			if n > 1 {
				p.c.twice++
			}
		}
	}()
	for _, c := range p.e.Classes {
		p.bodies[c.Name] = make([]byte, c.Answer)
	}
	p.began = time.Now()
	if p.plane, err = controlplane.Start(""); err != nil {
		return err
	}
	n := map[string]int{}
	for i := range p.e.Fleet.Groups {
		g := &p.e.Fleet.Groups[i]
		for range g.Servers {
			h, err := newHost(p, fmt.Sprintf("%s-%d", g.Zone, n[g.Zone]), g, p.seed*1000+uint64(len(p.hosts)))
			if err != nil {
				return err
			}
			n[g.Zone]++
			p.hosts = append(p.hosts, h)
		}
	}
	if err := p.push(nil); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "robindrum-lab-")
	if err != nil {
		return fmt.Errorf("a folder for the gateways: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p.dir = dir
	for i := range p.e.Gateways.Number {
		c, err := p.e.begin(ctx, p.opt.Binary, dir, i, p.plane.Addr)
		if err != nil {
			return err
		}
		p.gates = append(p.gates, c)
		p.clients = append(p.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext}})
	}
	source := p.e.Gateways.Source
	p.plane.SetCapacity(source.Places, source.Takes.D(), source.Patience.D())
	if p.opt.started != nil {
		p.opt.started(p)
	}
	return p.direct(ctx)
}

// end stops all that was started.
func (p *playing) end() {
	p.work.Wait()
	for _, c := range p.clients {
		c.CloseIdleConnections()
	}
	var all sync.WaitGroup
	for _, c := range p.gates {
		if c != nil {
			all.Go(c.stop)
		}
	}
	all.Wait()
	for _, h := range p.hosts {
		if h.done != nil {
			h.kill("")
		}
	}
	if p.plane != nil {
		p.plane.Stop()
	}
}

// direct has the load come, the events happen and the gateways watched.
func (p *playing) direct(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.began = time.Now()
	watch := func(c *child) {
		p.work.Go(func() {
			select {
			case <-c.Exited:
				if !c.Killed() {
					cancel(c.ExitError())
				}
			case <-ctx.Done():
			}
		})
	}
	for _, c := range p.gates {
		watch(c)
	}
	p.work.Go(func() { p.events(ctx, watch) })
	if p.opt.Progress != nil {
		p.work.Go(func() { p.progress(ctx) })
	}
	// Requests in flight outlive an interrupt by a moment; what has no answer then is not counted.
	requests, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var all sync.WaitGroup
	for i := range p.e.Load.Clients {
		all.Go(func() { p.client(ctx, requests, i) })
	}
	p.load(ctx, requests, &all)
	answered := make(chan struct{})
	go func() {
		all.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-ctx.Done():
		select {
		case <-answered:
		case <-time.After(time.Second):
		}
	}
	stop()
	<-answered
	return context.Cause(ctx)
}

// load sends the open loop. It waits for no answer.
func (p *playing) load(ctx, requests context.Context, all *sync.WaitGroup) {
	for a := p.e.arrivals(p.seed); ; {
		x, ok := a.take()
		if !ok || sleep(ctx, p.at(x.at)) != nil {
			return
		}
		p.mu.Lock()
		p.gen.Asked++
		record(p.gen.late, p.now()-x.at)
		full := p.inFlight >= cmp.Or(p.opt.maxInFlight, maxInFlight)
		if full {
			p.gen.Dropped++
		} else {
			p.inFlight++
		}
		p.mu.Unlock()
		if full {
			continue
		}
		all.Go(func() {
			p.ask(requests, x)
			p.mu.Lock()
			p.inFlight--
			p.mu.Unlock()
		})
	}
}

// client asks one request after the other.
func (p *playing) client(ctx, requests context.Context, i int) {
	rng := rand.New(rand.NewPCG(p.seed, uint64(i)))
	for {
		think := time.Duration(rng.ExpFloat64() * float64(p.e.Load.Think))
		if sleep(ctx, time.Now().Add(think)) != nil || p.now() >= p.e.Length.D() {
			return
		}
		x := arrival{at: p.now(), gateway: i % p.e.Gateways.Number, key: strconv.Itoa(i)}
		for u := rng.Float64(); x.class < len(p.e.Classes)-1 && u >= p.e.Classes[x.class].Part; x.class++ {
			u -= p.e.Classes[x.class].Part
		}
		p.ask(requests, x)
	}
}

// ask sends a request, again where the experiment's clients do, and counts how it ended, from when it was due last.
func (p *playing) ask(ctx context.Context, x arrival) {
	c, due := &p.e.Classes[x.class], x.at
	for {
		out, after := p.once(ctx, x, c, due)
		if ctx.Err() != nil && out == lost {
			return // the run has ended
		}
		if p.e.Load.Again == "at_once" || after <= 0 {
			after = p.e.Fleet.Cross.D()
		}
		now := p.now()
		if out != refused || p.e.Load.Again == "gives_up" || now+after >= x.at+c.Wanted.D() {
			took := now - due
			if out == inTime && took > c.Wanted.D() {
				out = late
			}
			p.mu.Lock()
			p.c.answered(x.at, took, c.Name, out)
			p.mu.Unlock()
			return
		}
		if due = now + after; sleep(ctx, p.at(due)) != nil {
			return
		}
	}
}

// once sends it one time.
func (p *playing) once(ctx context.Context, x arrival, c *Class, due time.Duration) (out outcome, after time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, p.at(due+c.Deadline.D()+2*time.Second))
	defer cancel()
	method, id := http.MethodGet, strconv.FormatUint(p.ids.Add(1), 10)
	if balancer.Effect(c.Effect) != balancer.Idempotent {
		method = http.MethodPost
	}
	i, gate := p.front(x.gateway)
	if gate == nil {
		return failed, 0 // nobody takes its connection
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+gate.web+"/"+strconv.Itoa(x.class), nil)
	if err != nil {
		return lost, 0
	}
	r.Header.Set("X-Request-Id", id)
	r.Header.Set(zoneHeader, gate.zone)
	if x.key != "" {
		r.Header.Set("X-Tenant", x.key)
	}
	if balancer.Effect(c.Effect) == balancer.IdempotentWithKey {
		r.Header.Set("Idempotency-Key", id)
	}
	broken := func() (outcome, time.Duration) {
		if gate.Killed() { // with what it had in hand
			return failed, 0
		}
		return lost, 0
	}
	resp, err := p.clients[i].Do(r)
	if err != nil {
		return broken()
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return broken()
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return inTime, 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return refused, time.Duration(s) * time.Second
	}
	return failed, 0
}

// front gives the gateway that a client of gateway i is led to, and its number: i, or, while it is down, any that is not.
func (p *playing) front(i int) (int, *child) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.gates[i]; c != nil {
		return i, c
	}
	var up []int
	for j, c := range p.gates {
		if c != nil {
			up = append(up, j)
		}
	}
	if len(up) == 0 {
		return 0, nil
	}
	i = up[rand.IntN(len(up))]
	return i, p.gates[i]
}

// restart kills part of the gateways at once, the first ones, and has them start again after a while. It is done when
// the last of them is ready, or one cannot be.
func (p *playing) restart(ctx context.Context, part float64, down time.Duration, watch func(*child)) error {
	n := int(part*float64(len(p.gates)) + 0.5)
	p.mu.Lock()
	old := slices.Clone(p.gates[:n])
	clear(p.gates[:n])
	p.mu.Unlock()
	var all sync.WaitGroup
	for _, c := range old {
		if c != nil {
			all.Go(c.Kill)
		}
	}
	all.Wait()
	if err := sleep(ctx, time.Now().Add(down)); err != nil {
		return err
	}
	began := time.Now()
	errs := make([]error, n)
	for i := range n {
		all.Go(func() {
			c, err := p.e.begin(ctx, p.opt.Binary, p.dir, i, p.plane.Addr)
			if errs[i] = err; err != nil {
				return
			}
			p.clients[i].CloseIdleConnections()
			watch(c)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.gates[i] = c
			p.c.back = max(p.c.back, time.Since(began))
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// ---- what servers tell ----

func (p *playing) sent(at time.Duration, id string, crossed, late, connected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.sent(at, id)
	n := p.c.phase(at)
	if connected {
		n.Connects++
	}
	if n.Sends++; crossed {
		n.Crossed++
	}
	if late {
		p.c.afterDrain++
	}
}

func (p *playing) cold(at time.Duration, load float64, fell bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.c.phase(at)
	if n.WorstCold = max(n.WorstCold, load); fell {
		n.Fallen++
	}
}

func (p *playing) queue(at time.Duration, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := &p.c.phase(at).Queue
	*q = max(*q, n)
}

// ran takes an effect; a repeat of a key is dropped within its group.
func (p *playing) ran(r *http.Request, c *Class, zone string) {
	if balancer.Effect(c.Effect) == balancer.Idempotent {
		return
	}
	keyed := balancer.Effect(c.Effect) == balancer.IdempotentWithKey
	if keyed && balancer.Group(c.Group) == balancer.GroupAll {
		zone = ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	g := p.effects[id]
	if g == nil {
		g = map[string]int{}
		p.effects[id] = g
	}
	if !keyed || g[zone] == 0 {
		g[zone]++
	}
}

// ---- events ----

func (p *playing) events(ctx context.Context, watch func(*child)) {
	for _, v := range p.e.timeline() {
		if sleep(ctx, p.at(v.At.D())) != nil {
			return
		}
		if v.Do == "restart" { // what comes after it does not wait for the last one to be ready
			p.work.Go(func() { p.trouble(&v, p.restart(ctx, v.Part, v.Down.D(), watch)) })
			continue
		}
		p.trouble(&v, p.event(ctx, &v))
	}
}

// trouble notes that an event could not be.
func (p *playing) trouble(v *Event, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		p.mu.Lock()
		p.troubles = append(p.troubles, fmt.Sprintf("%s %s at %v: %v", v.Do, v.Zone, v.At.D(), err))
		p.mu.Unlock()
	}
}

// of gives part of a zone's servers, the first ones.
func (p *playing) of(zone string, part float64) (l []*host) {
	for _, h := range p.hosts {
		if h.zone == zone {
			l = append(l, h)
		}
	}
	return l[:int(part*float64(len(l))+0.5)]
}

func (p *playing) event(ctx context.Context, v *Event) error {
	switch v.Do {
	case "kill":
		for _, h := range p.of(v.Zone, v.Part) {
			h.kill(v.How)
		}
	case "revive":
		left := v.Renamed
		cold := map[string]bool{}
		for _, h := range p.of(v.Zone, 1) {
			old, err := h.revive(left > 0, p.now())
			if err != nil {
				return err
			}
			if old != "" {
				left--
				cold[old] = true
			}
		}
		if err := sleep(ctx, p.at(v.At.D()+v.Late.D())); err != nil {
			return err
		}
		// A list without them, and one with them: they have started anew.
		return errors.Join(p.push(cold), p.push(nil))
	case "slow":
		for _, h := range p.of(v.Zone, 1) {
			h.mu.Lock()
			h.slow *= v.By
			h.mu.Unlock()
		}
	case "drain", "undrain":
		for _, h := range p.of(v.Zone, v.Part) {
			h.mu.Lock()
			h.draining, h.told = v.Do == "drain", 0
			h.mu.Unlock()
		}
		if err := sleep(ctx, p.at(v.At.D()+v.Late.D())); err != nil {
			return err
		}
		return p.push(nil)
	case "push":
		return p.push(nil)
	case "away":
		p.plane.Stop()
	case "back":
		return errors.Join(p.push(nil), p.plane.Restart())
	}
	return nil
}

// push tells the list as it stands now, without some addresses.
func (p *playing) push(without map[string]bool) error {
	var l []controlplane.Endpoint
	now := p.now()
	for _, h := range p.hosts {
		h.mu.Lock()
		e := controlplane.Endpoint{Addr: h.addr, Zone: h.zone, Health: corev3.HealthStatus_HEALTHY}
		if h.draining {
			if e.Health = corev3.HealthStatus_DRAINING; h.told == 0 {
				h.told = now
			}
		}
		h.mu.Unlock()
		if !without[e.Addr] {
			l = append(l, e)
		}
	}
	p.version++
	_, err := p.plane.Push(strconv.Itoa(p.version), false, controlplane.Resource{Name: "fleet", Body: controlplane.Assignment("fleet", l...)})
	return err
}

// progress tells how it goes, every second.
func (p *playing) progress(ctx context.Context) {
	for at := time.Second; at < p.e.Length.D(); at += time.Second {
		if sleep(ctx, p.at(at)) != nil {
			return
		}
		g := Progress{Seed: p.seed, At: at, Length: p.e.Length.D()}
		p.mu.Lock()
		for i := range p.c.phases {
			o := &p.c.phases[i].All
			g.Asked, g.InTime, g.Late, g.Refused, g.Failed = g.Asked+o.Asked, g.InTime+o.InTime, g.Late+o.Late, g.Refused+o.Refused, g.Failed+o.Failed+o.Lost
		}
		p.mu.Unlock()
		p.opt.Progress(g)
	}
}
