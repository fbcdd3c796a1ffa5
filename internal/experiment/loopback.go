package experiment

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/testbed/controlplane"
)

// Limits of the loopback engine, which runs on one machine in real time.
const (
	maxLoopbackLength   = 10 * time.Minute
	maxLoopbackRequests = 1_000_000
	maxLoopbackRate     = 20_000 // requests per second
	maxLoopbackGateways = 8
	maxLoopbackServers  = 64
	maxLoopbackClients  = 5000
)

// zoneHeader carries the zone of the gateway that a request was sent to.
const zoneHeader = "X-Lab-Zone"

// LoopbackOptions configures the loopback engine.
type LoopbackOptions struct {
	// Binary is the path of the robindrum program that is run as the gateways.
	Binary string
	// Progress is called every second from a goroutine of the run. It may be nil.
	Progress func(Progress)

	started     func(*loopbackRun) // test hook: called when all gateways are ready
	maxInFlight int                // requests in flight of the generator; 0: the constant maxInFlight
}

// Progress is the state of a run in progress. It counts the requests that have ended.
type Progress struct {
	Seed     uint64
	Elapsed  time.Duration
	Length   time.Duration
	Requests int
	InTime   int
	Late     int
	Rejected int
	Failed   int
}

// checkLoopbackLimits returns an error if the experiment is too large for the loopback engine or uses a feature that it lacks.
func (e *Experiment) checkLoopbackLimits() error {
	servers := 0
	for _, group := range e.Fleet.Groups {
		servers += group.Servers
	}
	requests, peak := e.openLoopRequests(), e.peakRate()
	if e.trace != nil {
		requests, peak = float64(len(e.trace.records))*e.trace.copies, e.trace.peakRate
	}
	limits := []struct {
		name    string
		value   float64
		maximum float64
	}{
		{"length in seconds", e.Length.D().Seconds(), maxLoopbackLength.Seconds()},
		{"requests", requests, maxLoopbackRequests},
		{"requests a second", peak, maxLoopbackRate},
		{"gateways", float64(e.Gateways.Count), maxLoopbackGateways},
		{"servers", float64(servers), maxLoopbackServers},
		{"clients", float64(e.Load.Clients), maxLoopbackClients},
	}
	for _, limit := range limits {
		if limit.value > limit.maximum {
			return fmt.Errorf("%s: %s: %.0f, %.0f at most on the loopback engine", e.Name, limit.name, limit.value, limit.maximum)
		}
	}
	if e.Gateways.Admission == "estimate" {
		return fmt.Errorf("%s: gateways.admission: a gateway has no estimate; only the simulated engine supports it", e.Name)
	}
	return nil
}

// loopbackRun is the run of one seed on the loopback engine.
type loopbackRun struct {
	experiment       *Experiment
	seed             uint64
	options          LoopbackOptions
	controlPlane     *controlplane.Server
	endpointsVersion int
	servers          []*loopbackServer
	clients          []*http.Client    // by gateway
	configDir        string            // directory of the gateways' configuration files
	bodies           map[string][]byte // response bodies by class
	startedAt        time.Time
	requestIDs       atomic.Uint64
	background       sync.WaitGroup

	mu          sync.Mutex        // guards the fields below
	gateways    []*gatewayProcess // a nil entry is a gateway that is down
	collector   *collector
	effects     map[string]map[string]int // number of effects by request ID and zone
	generator   Generator
	inFlight    int
	eventErrors []string
}

func newLoopbackRun(e *Experiment, seed uint64, options LoopbackOptions) *loopbackRun {
	return &loopbackRun{
		experiment: e,
		seed:       seed,
		options:    options,
		collector:  newCollector(e),
		effects:    map[string]map[string]int{},
		bodies:     map[string][]byte{},
		generator:  Generator{delays: newHistogram(3)},
	}
}

// RunLoopback runs an experiment over loopback with consecutive seeds, the first of which is the experiment's own. It blocks for the
// length of all runs. If ctx is cancelled or a run fails, the report contains the results up to then, and EndedEarly has the reason.
func RunLoopback(ctx context.Context, e *Experiment, seeds int, options LoopbackOptions) (*Report, error) {
	if err := checkSeeds(seeds); err != nil {
		return nil, err
	}
	if err := e.checkLoopbackLimits(); err != nil {
		return nil, err
	}
	report := newReport(e, "loopback")
	report.Generator = &Generator{delays: newHistogram(3)}
	for i := range seeds {
		run := newLoopbackRun(e, uint64(e.Seed+i), options)
		err := run.run(ctx)
		report.add(run.collector, run.seed)
		report.Generator.add(&run.generator, e.Length.D()*time.Duration(report.Seeds))
		report.FailedChecks = append(report.FailedChecks, run.eventErrors...)
		if err != nil {
			report.EndedEarly = fmt.Sprintf("seed %d: %v", run.seed, err)
			break
		}
	}
	report.finish(e)
	if report.Generator.Bottleneck {
		report.FailedChecks = append(report.FailedChecks, "the generator was too slow for the load: the results measure the generator")
	}
	if report.EndedEarly != "" {
		report.FailedChecks = append(report.FailedChecks, "the run ended early: "+report.EndedEarly)
	}
	return report, nil
}

// checkSeeds returns an error if the number of seeds of a report is out of range.
func checkSeeds(seeds int) error {
	if seeds < 1 || seeds > maxSeeds {
		return fmt.Errorf("seeds must be from 1 to %d, got %d", maxSeeds, seeds)
	}
	return nil
}

// elapsed returns the time since the start of the run.
func (r *loopbackRun) elapsed() time.Duration { return time.Since(r.startedAt) }

// timeAt returns the time of an offset from the start of the run.
func (r *loopbackRun) timeAt(offset time.Duration) time.Time { return r.startedAt.Add(offset) }

// classOf returns the class whose index is the path of the request, or nil if there is none.
func (r *loopbackRun) classOf(request *http.Request) *Class {
	i, err := strconv.Atoi(strings.TrimPrefix(request.URL.Path, "/"))
	if err != nil || i < 0 || i >= len(r.experiment.Classes) {
		return nil
	}
	return &r.experiment.Classes[i]
}
