package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"robindrum/internal/drain"
)

// DrainOptions configure the runs of schedules of drains and of releases.
type DrainOptions struct {
	Binary string
	// Dir is where temporary directories are created.
	Dir   string
	Lease time.Duration
	// IgnoreBudget configures budgets that allow everything, so that each requester applies the budget to its own requests only. It is
	// for tests that the observer detects violations.
	IgnoreBudget bool
	// Steps is the number of steps of a schedule of releases; 0: 16.
	Steps int
}

// DrainResult is the outcome of a schedule of drains.
type DrainResult struct {
	Seed      uint64
	Requested int // drain requests
	Granted   int // drain requests that were granted
	// Observations is the number of times that the observer counted unavailable gateways, OverBudget the number of observations with
	// more of them than the budget allows, and MaxUnavailable the highest count.
	Observations   int
	OverBudget     int
	MaxUnavailable int
	// Requests and Failed count the load's requests, LateRequests the requests to an endpoint that had been drained for over a second.
	Requests     int64
	Failed       int64
	LateRequests int
	// FirstViolation describes the first violation; empty: there is none.
	FirstViolation string
	// Err is the reason why the fleet did not recover in time, or why the schedule could not be run.
	Err error
}

// Violated reports whether a guarantee was violated.
func (r *DrainResult) Violated() bool {
	return r.OverBudget+r.LateRequests > 0 || r.Failed > 0 || r.Err != nil
}

// String describes the result for a report.
func (r *DrainResult) String() string {
	s := fmt.Sprintf("seed %d: %d drain requests, %d granted; at most %d gateways unavailable by plan (budget 2), over budget in %d of %d observations; %d requests, %d failed, %d late to a drained endpoint",
		r.Seed, r.Requested, r.Granted, r.MaxUnavailable, r.OverBudget, r.Observations, r.Requests, r.Failed, r.LateRequests)
	return s + describeFailure(r.FirstViolation, r.Err)
}

// Add adds the counts of another result.
func (r *DrainResult) Add(other *DrainResult) {
	r.Requested += other.Requested
	r.Granted += other.Granted
	r.OverBudget += other.OverBudget
	r.LateRequests += other.LateRequests
	r.Observations += other.Observations
	r.Requests += other.Requests
	r.Failed += other.Failed
	r.MaxUnavailable = max(r.MaxUnavailable, other.MaxUnavailable)
}

// Summary describes the counts of added results for a report.
func (r *DrainResult) Summary() string {
	return fmt.Sprintf("drain requests %d, granted %d; at most %d gateways unavailable by plan (budget %d), over budget in %d of %d observations; requests %d, failed %d, late to a drained endpoint %d",
		r.Requested, r.Granted, r.MaxUnavailable, drainBudget, r.OverBudget, r.Observations, r.Requests, r.Failed, r.LateRequests)
}

// violation records the description of a violation if it is the first.
func (r *DrainResult) violation(format string, arguments ...any) {
	if r.FirstViolation == "" {
		r.FirstViolation = fmt.Sprintf(format, arguments...)
	}
}

// addGranted counts the drain requests that were granted, as the node n lists them.
func (r *DrainResult) addGranted(n *Node) {
	requests, err := n.DrainRequests()
	if err != nil {
		return
	}
	for _, request := range requests {
		if request.Token > 0 {
			r.Granted++
		}
	}
}

// addLoad stops a load and adds its counts.
func (r *DrainResult) addLoad(load *Load) {
	if failure := load.Stop(); failure != "" {
		r.violation("%s", failure)
	}
	r.Requests = load.Requests.Load()
	r.Failed = load.Failed.Load()
}

const (
	drainGateways = 5
	drainBudget   = 2 // gateways
	drainSteps    = 12
	// unlimitedBudget is a budget that allows everything to be unavailable.
	unlimitedBudget = 99
	// scheduleLoad is the load of a schedule, in requests per second and gateway.
	scheduleLoad = 20
	// endpointDrainTime is the time after which a drained endpoint must not receive requests.
	endpointDrainTime    = time.Second
	endpointDrainTimeout = 5 * time.Second
	drainGrace           = time.Second
	drainNotice          = 250 * time.Millisecond
	maxDrainPause        = 300 // ms
)

// noOrigin is used as an index if there is no origin.
const noOrigin = -1

// openDrain is a drain request that has not been cancelled.
type openDrain struct {
	id        string
	requester int
	target    drain.Target
}

// drainRun is a run of a schedule of drains.
type drainRun struct {
	site    *Site
	options DrainOptions
	random  *rand.Rand
	result  *DrainResult

	open          []openDrain
	ownGateways   map[int]int // number of gateways drained by each requester, used with IgnoreBudget
	drainedOrigin int         // index of the origin that is drained, or noOrigin
	drainedAt     time.Time
}

// RunDrainSchedule runs the schedule of a seed with five gateways under load: random gateways request and cancel drains of gateways and
// endpoints, while processes are killed, frozen and isolated. An observer counts unavailable gateways. RunDrainSchedule returns when all
// processes have ended.
func RunDrainSchedule(ctx context.Context, seed uint64, options DrainOptions) (result DrainResult) {
	result.Seed = seed
	site, err := NewSite(ctx, SiteOptions{
		Binary:   options.Binary,
		Dir:      options.Dir,
		Gateways: drainGateways,
		Lease:    options.Lease,
		Budgets:  drainBudgets(options.IgnoreBudget),
		Seed:     seed,
	})
	if err != nil {
		result.Err = err
		return result
	}
	defer site.Close()
	load := site.StartLoad(scheduleLoad)
	defer load.Stop()
	// The observer writes to the result until it is stopped.
	stopObserver := site.ObserveUnavailable(&result, drainBudget)
	defer stopObserver()
	run := &drainRun{
		site:          site,
		options:       options,
		random:        rand.New(rand.NewPCG(seed, drainStream)),
		result:        &result,
		ownGateways:   map[int]int{},
		drainedOrigin: noOrigin,
	}
	if err := run.runSteps(ctx); err != nil {
		result.Err = err
		return result
	}
	if err := run.cancelAll(ctx); err != nil {
		result.Err = err
		return result
	}
	result.Err = site.awaitReady(ctx)
	result.addGranted(site.Nodes[0])
	stopObserver()
	result.addLoad(load)
	return result
}

// drainBudgets returns the value of `budgets` in the fleet's configuration.
func drainBudgets(ignore bool) string {
	gateways, endpoints := drainBudget, 1
	if ignore {
		gateways, endpoints = unlimitedBudget, unlimitedBudget
	}
	return fmt.Sprintf("[{name: g, most: %d}, {name: e, cluster: \"*\", most: %d}]", gateways, endpoints)
}

// runSteps runs the steps of the schedule. It returns an error if a process cannot be restarted.
func (r *drainRun) runSteps(ctx context.Context) error {
	for step := range drainSteps {
		number := r.random.IntN(drainGateways)
		if err := r.step(ctx, step, number); err != nil {
			return err
		}
		_ = sleep(ctx, time.Duration(r.random.IntN(maxDrainPause))*time.Millisecond)
	}
	r.countLateRequests(time.Now())
	return nil
}

// step runs a random action on the gateway with the given number: a drain, an undrain or a fault.
func (r *drainRun) step(ctx context.Context, step, number int) error {
	n := r.site.Nodes[number]
	switch draw := r.random.IntN(10); {
	case draw < 5 && n.Up():
		r.drain(ctx, step, number)
	case draw < 7 && len(r.open) > 0:
		r.undrain(n)
	case draw == 7:
		return restartAfter(ctx, n, r.options.Lease/2)
	case draw == 8 && n.Up():
		freezeFor(ctx, n, r.options.Lease)
	default:
		isolateFor(ctx, r.site.Cluster, n, r.options.Lease)
	}
	return nil
}

// drain makes a gateway request the drain of a random gateway or, if no endpoint is drained, of a random endpoint.
func (r *drainRun) drain(ctx context.Context, step, requester int) {
	n := r.site.Nodes[requester]
	target := drain.Target{Gateway: r.site.Nodes[r.random.IntN(drainGateways)].Name}
	drawnOrigin := noOrigin
	if r.random.IntN(4) == 0 && r.drainedOrigin == noOrigin {
		drawnOrigin = r.random.IntN(len(r.site.Origins))
		target = drain.Target{Cluster: "c", Endpoint: r.site.Origins[drawnOrigin].Addr}
	}
	if r.options.IgnoreBudget && target.Gateway != "" {
		if r.ownGateways[requester] >= drainBudget {
			return
		}
		r.ownGateways[requester]++
	}
	id := fmt.Sprint(r.result.Seed, "-", step)
	request, err := n.SendDrain("drain", drain.Request{ID: id, Target: target, Owner: n.Name, Grace: drainGrace, Notice: drainNotice})
	r.result.Requested++
	if err != nil || request.State == drain.Rejected {
		return
	}
	r.open = append(r.open, openDrain{id: request.ID, requester: requester, target: target})
	if drawnOrigin != noOrigin && awaitDrained(ctx, n, request.ID) {
		r.drainedOrigin = drawnOrigin
		r.drainedAt = time.Now()
	}
}

// awaitDrained waits until an endpoint is drained. It reports whether that happened in time.
func awaitDrained(ctx context.Context, n *Node, id string) bool {
	err := Await(ctx, "an endpoint to be drained", endpointDrainTimeout, func() bool {
		requests, _ := n.DrainRequests()
		return requests[id].State == drain.Drained
	})
	return err == nil
}

// undrain makes a gateway cancel a random open drain request.
func (r *drainRun) undrain(n *Node) {
	i := r.random.IntN(len(r.open))
	open := r.open[i]
	if !n.Up() {
		return
	}
	// Other gateways may apply the cancellation before this gateway has received the response.
	before := time.Now()
	if _, err := n.SendDrain("undrain", drain.Request{ID: open.id}); err != nil {
		return
	}
	r.open = slices.Delete(r.open, i, i+1)
	if open.target.Gateway != "" {
		r.ownGateways[open.requester]--
		return
	}
	r.countLateRequests(before)
	r.drainedOrigin = noOrigin
}

// countLateRequests counts the requests to the drained endpoint, if there is one, from endpointDrainTime after its drain up to a time.
func (r *drainRun) countLateRequests(until time.Time) {
	if r.drainedOrigin != noOrigin {
		r.result.LateRequests += r.site.Origins[r.drainedOrigin].RequestsBetween(r.drainedAt.Add(endpointDrainTime), until)
	}
}

// cancelAll cancels all open drain requests at the first gateway. Any gateway can cancel them.
func (r *drainRun) cancelAll(ctx context.Context) error {
	n := r.site.Nodes[0]
	for _, open := range r.open {
		err := Await(ctx, "a drain request to be cancelled", recoveryTimeout, func() bool {
			_, err := n.SendDrain("undrain", drain.Request{ID: open.id})
			return err == nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// restartAfter kills a node and starts it again after a pause.
func restartAfter(ctx context.Context, n *Node, pause time.Duration) error {
	n.Kill()
	_ = sleep(ctx, pause)
	return n.Start()
}

func freezeFor(ctx context.Context, n *Node, d time.Duration) {
	n.Freeze()
	_ = sleep(ctx, d)
	n.Thaw()
}

func isolateFor(ctx context.Context, c *Cluster, n *Node, d time.Duration) {
	c.Isolate(n, partitioned)
	_ = sleep(ctx, d)
	c.Heal()
}

// RunDrainSchedules runs the schedules of drains of seeds, at most parallel at once. It calls report like RunSchedules.
func RunDrainSchedules(ctx context.Context, seeds []uint64, parallel int, options DrainOptions, report func(DrainResult)) {
	runSeeds(ctx, seeds, parallel, func(seed uint64) DrainResult { return RunDrainSchedule(ctx, seed, options) }, report)
}
