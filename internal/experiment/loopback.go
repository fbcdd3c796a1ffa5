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
	maxLoopbackLength   = 10 * time.Minute
	maxLoopbackRequests = 1_000_000
	maxLoopbackRate     = 20_000
	maxLoopbackGateways = 8
	maxLoopbackServers  = 64
	maxInFlight         = 20_000 // of the generator
)

// The headers by which servers know where a request came from.
const zoneHeader = "X-Lab-Zone"

// LoopbackOptions are of the loopback engine.
type LoopbackOptions struct {
	Binary string // robindrum
	// Progress is told how it goes, every second; nil: nobody is.
	Progress func(Progress)

	started     func(*loopbackRun) // for tests
	maxInFlight int                // requests in flight of the generator; 0: mostInFlight
}

// Progress is how a run goes.
type Progress struct {
	Seed                                     uint64
	Elapsed, Length                          time.Duration
	Requests, InTime, Late, Rejected, Failed int
}

// Generator is how the load generator kept up.
type Generator struct {
	Requests int           `json:"asked"` // by the open loop
	Rate     float64       `json:"per_second"`
	DelayP99 time.Duration `json:"late_p99_ns"` // from when a request was due to when it was sent
	DelayMax time.Duration `json:"late_max_ns"`
	Dropped  int           `json:"dropped"` // not sent, as too many were in flight
	// Bottleneck is that the figures are of the generator, and not of what it asked.
	Bottleneck bool `json:"bottleneck"`

	delays *hdrhistogram.Histogram
}

func (g *Generator) String() string {
	s := fmt.Sprintf("generator: %d requests, %.0f a second; sent late by %v at the 99th percentile, %v at most", g.Requests, g.Rate, g.DelayP99, g.DelayMax)
	if g.Bottleneck {
		s += fmt.Sprintf("; IT WAS THE BOTTLENECK (%d not sent)", g.Dropped)
	}
	return s
}

// maxGeneratorDelay is how late the generator may be at the 99th percentile. Times count from when a request was due, so a late
// generator hides no wait; but later than this it says more of itself than of the gateways.
const maxGeneratorDelay = 20 * time.Millisecond

// checkLoopbackLimits says whether an experiment can run on the loopback engine.
func (e *Experiment) checkLoopbackLimits() error {
	servers := 0
	for _, g := range e.Fleet.Groups {
		servers += g.Servers
	}
	requests := e.openLoopRequests()
	peak := e.peakRate()
	if e.trace != nil {
		requests, peak = float64(len(e.trace.records))*e.trace.copies, e.trace.peakRate
	}
	bounds := []struct {
		what     string
		is, most float64
	}{{"length in seconds", e.Length.D().Seconds(), maxLoopbackLength.Seconds()}, {"requests", requests, maxLoopbackRequests}, {"requests a second", peak, maxLoopbackRate},
		{"gateways", float64(e.Gateways.Count), maxLoopbackGateways}, {"servers", float64(servers), maxLoopbackServers}, {"clients", float64(e.Load.Clients), 5000}}
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

// loopbackRun is one run on loopback.
type loopbackRun struct {
	experiment       *Experiment
	seed             uint64
	options          LoopbackOptions
	controlPlane     *controlplane.Server
	endpointsVersion int
	servers          []*loopbackServer
	clients          []*http.Client
	configDir        string // of the gateways' files
	bodies           map[string][]byte
	startedAt        time.Time
	requestIDs       atomic.Uint64
	background       sync.WaitGroup

	mu          sync.Mutex
	gateways    []*gatewayProcess // nil: it is down
	collector   *collector
	effects     map[string]map[string]int // runs by key and group
	generator   Generator
	inFlight    int
	eventErrors []string
}

// RunLoopback runs an experiment over loopback, with its seed and those after it, so many in all. What was measured until ctx
// ends or something breaks is in the report, which says so.
func RunLoopback(ctx context.Context, e *Experiment, seeds int, opt LoopbackOptions) (*Report, error) {
	if seeds < 1 || seeds > maxSeeds {
		return nil, fmt.Errorf("%d seeds, want 1 to %d", seeds, maxSeeds)
	}
	if err := e.checkLoopbackLimits(); err != nil {
		return nil, err
	}
	r := newReport(e, "loopback")
	r.Generator = &Generator{delays: histogram(3)}
	for i := range seeds {
		p := &loopbackRun{experiment: e, seed: uint64(e.Seed + i), options: opt, collector: newCollector(e), effects: map[string]map[string]int{}, bodies: map[string][]byte{}, generator: Generator{delays: histogram(3)}}
		err := p.run(ctx)
		r.add(p.collector, p.seed)
		r.Generator.add(&p.generator, e.Length.D()*time.Duration(r.Seeds))
		r.FailedChecks = append(r.FailedChecks, p.eventErrors...)
		if err != nil {
			r.EndedEarly = fmt.Sprintf("seed %d: %v", p.seed, err)
			break
		}
	}
	r.finish(e)
	if r.Generator.Bottleneck {
		r.FailedChecks = append(r.FailedChecks, "the generator was too slow for the load: the figures are its own")
	}
	if r.EndedEarly != "" {
		r.FailedChecks = append(r.FailedChecks, "the run ended early: "+r.EndedEarly)
	}
	return r, nil
}

func (g *Generator) add(o *Generator, length time.Duration) {
	g.Requests, g.Dropped = g.Requests+o.Requests, g.Dropped+o.Dropped
	g.delays.Merge(o.delays)
	g.Rate = float64(g.Requests) / length.Seconds()
	g.DelayP99, g.DelayMax = quantile(g.delays, 0.99), time.Duration(g.delays.Max())*time.Microsecond
	g.Bottleneck = g.Dropped > 0 || g.DelayP99 > maxGeneratorDelay
}

func (p *loopbackRun) elapsed() time.Duration           { return time.Since(p.startedAt) }
func (p *loopbackRun) timeAt(d time.Duration) time.Time { return p.startedAt.Add(d) }
func (p *loopbackRun) classOf(r *http.Request) *Class {
	i, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
	if err != nil || i < 0 || i >= len(p.experiment.Classes) {
		return nil
	}
	return &p.experiment.Classes[i]
}

func (p *loopbackRun) run(ctx context.Context) (err error) {
	defer func() {
		p.stop()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, groups := range p.effects {
			n := 0
			for _, k := range groups {
				n += k
			}
			if n > 1 {
				p.collector.duplicateEffects++
			}
		}
	}()
	for _, c := range p.experiment.Classes {
		p.bodies[c.Name] = make([]byte, c.ResponseSize)
	}
	p.startedAt = time.Now()
	if p.controlPlane, err = controlplane.Start(""); err != nil {
		return err
	}
	n := map[string]int{}
	for i := range p.experiment.Fleet.Groups {
		g := &p.experiment.Fleet.Groups[i]
		for range g.Servers {
			h, err := newLoopbackServer(p, fmt.Sprintf("%s-%d", g.Zone, n[g.Zone]), g, p.seed*1000+uint64(len(p.servers)))
			if err != nil {
				return err
			}
			n[g.Zone]++
			p.servers = append(p.servers, h)
		}
	}
	if err := p.publishEndpoints(nil); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "robindrum-lab-")
	if err != nil {
		return fmt.Errorf("a folder for the gateways: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p.configDir = dir
	for i := range p.experiment.Gateways.Count {
		c, err := p.experiment.startGateway(ctx, p.options.Binary, dir, i, p.controlPlane.Addr)
		if err != nil {
			return err
		}
		p.gateways = append(p.gateways, c)
		p.clients = append(p.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext}})
	}
	source := p.experiment.Gateways.Source
	p.controlPlane.SetCapacity(source.Concurrency, source.ResponseTime.D(), source.QueueTimeout.D())
	if p.options.started != nil {
		p.options.started(p)
	}
	return p.drive(ctx)
}

// stop stops all that was started.
func (p *loopbackRun) stop() {
	p.background.Wait()
	for _, c := range p.clients {
		c.CloseIdleConnections()
	}
	var all sync.WaitGroup
	for _, c := range p.gateways {
		if c != nil {
			all.Go(c.stop)
		}
	}
	all.Wait()
	for _, h := range p.servers {
		if h.served != nil {
			h.fail("")
		}
	}
	if p.controlPlane != nil {
		p.controlPlane.Stop()
	}
}

// drive has the load come, the events happen and the gateways watched.
func (p *loopbackRun) drive(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.startedAt = time.Now()
	watch := func(c *gatewayProcess) {
		p.background.Go(func() {
			select {
			case <-c.Exited:
				if !c.Killed() {
					cancel(c.ExitError())
				}
			case <-ctx.Done():
			}
		})
	}
	for _, c := range p.gateways {
		watch(c)
	}
	p.background.Go(func() { p.runEvents(ctx, watch) })
	if p.options.Progress != nil {
		p.background.Go(func() { p.reportProgress(ctx) })
	}
	// Requests in flight outlive an interrupt by a moment; what has no answer then is not counted.
	requests, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var all sync.WaitGroup
	for i := range p.experiment.Load.Clients {
		all.Go(func() { p.runClient(ctx, requests, i) })
	}
	p.runOpenLoop(ctx, requests, &all)
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

// runOpenLoop sends the open loop. It waits for no answer.
func (p *loopbackRun) runOpenLoop(ctx, requests context.Context, all *sync.WaitGroup) {
	for a := p.experiment.arrivals(p.seed); ; {
		x, ok := a.take()
		if !ok || sleep(ctx, p.timeAt(x.at)) != nil {
			return
		}
		p.mu.Lock()
		p.generator.Requests++
		record(p.generator.delays, p.elapsed()-x.at)
		full := p.inFlight >= cmp.Or(p.options.maxInFlight, maxInFlight)
		if full {
			p.generator.Dropped++
		} else {
			p.inFlight++
		}
		p.mu.Unlock()
		if full {
			continue
		}
		all.Go(func() {
			p.send(requests, x)
			p.mu.Lock()
			p.inFlight--
			p.mu.Unlock()
		})
	}
}

// runClient asks one request after the other.
func (p *loopbackRun) runClient(ctx, requests context.Context, i int) {
	rng := rand.New(rand.NewPCG(p.seed, uint64(i)))
	for {
		think := time.Duration(rng.ExpFloat64() * float64(p.experiment.Load.ThinkTime))
		if sleep(ctx, time.Now().Add(think)) != nil || p.elapsed() >= p.experiment.Length.D() {
			return
		}
		x := arrival{at: p.elapsed(), gateway: i % p.experiment.Gateways.Count, key: strconv.Itoa(i)}
		for u := rng.Float64(); x.class < len(p.experiment.Classes)-1 && u >= p.experiment.Classes[x.class].LoadShare; x.class++ {
			u -= p.experiment.Classes[x.class].LoadShare
		}
		p.send(requests, x)
	}
}

// send sends a request, again where the experiment's clients do, and counts how it ended, from when it was due last.
func (p *loopbackRun) send(ctx context.Context, x arrival) {
	c, due := &p.experiment.Classes[x.class], x.at
	for {
		out, after := p.attempt(ctx, x, c, due)
		if ctx.Err() != nil && out == lost {
			return // the run has ended
		}
		if p.experiment.Load.RetryMode == "at_once" || after <= 0 {
			after = p.experiment.Fleet.CrossZoneRTT.D()
		}
		now := p.elapsed()
		if out != rejected || p.experiment.Load.RetryMode == "gives_up" || now+after >= x.at+c.LatencyObjective.D() {
			took := now - due
			if out == inTime && took > c.LatencyObjective.D() {
				out = servedLate
			}
			p.mu.Lock()
			p.collector.recordOutcome(x.at, took, c.Name, out)
			p.mu.Unlock()
			return
		}
		if due = now + after; sleep(ctx, p.timeAt(due)) != nil {
			return
		}
	}
}

// attempt sends it one time.
func (p *loopbackRun) attempt(ctx context.Context, x arrival, c *Class, due time.Duration) (out outcome, after time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, p.timeAt(due+c.Deadline.D()+2*time.Second))
	defer cancel()
	method, id := http.MethodGet, strconv.FormatUint(p.requestIDs.Add(1), 10)
	if balancer.Effect(c.Effect) != balancer.Idempotent {
		method = http.MethodPost
	}
	i, gate := p.gatewayFor(x.gateway)
	if gate == nil {
		return failed, 0 // nobody takes its connection
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+gate.address+"/"+strconv.Itoa(x.class), nil)
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
		return rejected, time.Duration(s) * time.Second
	}
	return failed, 0
}

// gatewayFor gives the gateway that a client of gateway i is led to, and its number: i, or, while it is down, any that is not.
func (p *loopbackRun) gatewayFor(i int) (int, *gatewayProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.gateways[i]; c != nil {
		return i, c
	}
	var up []int
	for j, c := range p.gateways {
		if c != nil {
			up = append(up, j)
		}
	}
	if len(up) == 0 {
		return 0, nil
	}
	i = up[rand.IntN(len(up))]
	return i, p.gateways[i]
}

// restartGateways kills part of the gateways at once, the first ones, and has them start again after a while. It is done when
// the last of them is ready, or one cannot be.
func (p *loopbackRun) restartGateways(ctx context.Context, part float64, down time.Duration, watch func(*gatewayProcess)) error {
	n := int(part*float64(len(p.gateways)) + 0.5)
	p.mu.Lock()
	old := slices.Clone(p.gateways[:n])
	clear(p.gateways[:n])
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
			c, err := p.experiment.startGateway(ctx, p.options.Binary, p.configDir, i, p.controlPlane.Addr)
			if errs[i] = err; err != nil {
				return
			}
			p.clients[i].CloseIdleConnections()
			watch(c)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.gateways[i] = c
			p.collector.restartTime = max(p.collector.restartTime, time.Since(began))
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// ---- what servers tell ----

func (p *loopbackRun) recordAttempt(at time.Duration, id string, crossed, late, connected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collector.recordAttempt(at, id)
	n := p.collector.phaseAt(at)
	if connected {
		n.NewConnections++
	}
	if n.Attempts++; crossed {
		n.CrossZoneAttempts++
	}
	if late {
		p.collector.sentAfterDrain++
	}
}

func (p *loopbackRun) recordWarmingLoad(at time.Duration, load float64, fell bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.collector.phaseAt(at)
	if n.MaxWarmingLoad = max(n.MaxWarmingLoad, load); fell {
		n.CollapsedServers++
	}
}

func (p *loopbackRun) recordServerRequests(at time.Duration, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := &p.collector.phaseAt(at).MaxServerRequests
	*q = max(*q, n)
}

// recordEffect takes an effect; a repeat of a key is dropped within its group.
func (p *loopbackRun) recordEffect(r *http.Request, c *Class, zone string) {
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

func (p *loopbackRun) runEvents(ctx context.Context, watch func(*gatewayProcess)) {
	for _, v := range p.experiment.timeline() {
		if sleep(ctx, p.timeAt(v.At.D())) != nil {
			return
		}
		if v.Action == "restart" { // what comes after it does not wait for the last one to be ready
			p.background.Go(func() { p.recordEventError(&v, p.restartGateways(ctx, v.Fraction, v.Downtime.D(), watch)) })
			continue
		}
		p.recordEventError(&v, p.inject(ctx, &v))
	}
}

// recordEventError notes that an event could not be.
func (p *loopbackRun) recordEventError(v *Event, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		p.mu.Lock()
		p.eventErrors = append(p.eventErrors, fmt.Sprintf("%s %s at %v: %v", v.Action, v.Zone, v.At.D(), err))
		p.mu.Unlock()
	}
}

// serversIn gives part of a zone's servers, the first ones.
func (p *loopbackRun) serversIn(zone string, part float64) (l []*loopbackServer) {
	for _, h := range p.servers {
		if h.zone == zone {
			l = append(l, h)
		}
	}
	return l[:int(part*float64(len(l))+0.5)]
}

func (p *loopbackRun) inject(ctx context.Context, v *Event) error {
	switch v.Action {
	case "kill":
		for _, h := range p.serversIn(v.Zone, v.Fraction) {
			h.fail(v.FailureMode)
		}
	case "revive":
		left := v.RenamedServers
		cold := map[string]bool{}
		for _, h := range p.serversIn(v.Zone, 1) {
			old, err := h.revive(left > 0, p.elapsed())
			if err != nil {
				return err
			}
			if old != "" {
				left--
				cold[old] = true
			}
		}
		if err := sleep(ctx, p.timeAt(v.At.D()+v.NotifyDelay.D())); err != nil {
			return err
		}
		// A list without them, and one with them: they have started anew.
		return errors.Join(p.publishEndpoints(cold), p.publishEndpoints(nil))
	case "slow":
		for _, h := range p.serversIn(v.Zone, 1) {
			h.mu.Lock()
			h.slowdown *= v.SlowdownFactor
			h.mu.Unlock()
		}
	case "drain", "undrain":
		for _, h := range p.serversIn(v.Zone, v.Fraction) {
			h.mu.Lock()
			h.draining, h.drainPublishedAt = v.Action == "drain", 0
			h.mu.Unlock()
		}
		if err := sleep(ctx, p.timeAt(v.At.D()+v.NotifyDelay.D())); err != nil {
			return err
		}
		return p.publishEndpoints(nil)
	case "push":
		return p.publishEndpoints(nil)
	case "away":
		p.controlPlane.Stop()
	case "back":
		return errors.Join(p.publishEndpoints(nil), p.controlPlane.Restart())
	}
	return nil
}

// publishEndpoints tells the list as it stands now, without some addresses.
func (p *loopbackRun) publishEndpoints(without map[string]bool) error {
	var l []controlplane.Endpoint
	now := p.elapsed()
	for _, h := range p.servers {
		h.mu.Lock()
		e := controlplane.Endpoint{Addr: h.address, Zone: h.zone, Health: corev3.HealthStatus_HEALTHY}
		if h.draining {
			if e.Health = corev3.HealthStatus_DRAINING; h.drainPublishedAt == 0 {
				h.drainPublishedAt = now
			}
		}
		h.mu.Unlock()
		if !without[e.Addr] {
			l = append(l, e)
		}
	}
	p.endpointsVersion++
	_, err := p.controlPlane.Push(strconv.Itoa(p.endpointsVersion), false, controlplane.Resource{Name: "fleet", Body: controlplane.Assignment("fleet", l...)})
	return err
}

// reportProgress tells how it goes, every second.
func (p *loopbackRun) reportProgress(ctx context.Context) {
	for at := time.Second; at < p.experiment.Length.D(); at += time.Second {
		if sleep(ctx, p.timeAt(at)) != nil {
			return
		}
		g := Progress{Seed: p.seed, Elapsed: at, Length: p.experiment.Length.D()}
		p.mu.Lock()
		for i := range p.collector.phases {
			o := &p.collector.phases[i].All
			g.Requests, g.InTime, g.Late, g.Rejected, g.Failed = g.Requests+o.Requests, g.InTime+o.InTime, g.Late+o.Late, g.Rejected+o.Rejected, g.Failed+o.Failed+o.Lost
		}
		p.mu.Unlock()
		p.options.Progress(g)
	}
}
