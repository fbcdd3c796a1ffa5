package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/testbed/cluster"
)

const (
	worthGateways  = 20
	worthRate      = 10   // requests a second at each gateway
	worthAlarm     = 0.01 // part of failed requests above which an operator stops
	worthWindow    = 5 * time.Second
	worthPause     = 3 * time.Second // of load before a rollout, and behind each gateway of a loop
	worthAlarmPoll = 50 * time.Millisecond
)

// The versions of the gateways.
const (
	worthOld  = "old"
	worthGood = "good"
	worthBad  = "bad"
)

// The ways to bring a version to all gateways, as the table names them.
const (
	wayRelease = "release"
	wayLoop    = "loop"
	wayAtOnce  = "at once"
)

// rolloutResult is what one way to bring a version to all gateways came to.
type rolloutResult struct {
	took            time.Duration // until all gateways have the version, or all are back
	stopped         time.Duration // from the beginning until it went no further; 0 if it did not stop
	requests        int64
	failed          int64
	failedUntilStop int64 // until it went no further; 0 if it did not stop
	maxUpdated      int   // gateways that ran the version at the same time
	p99             int64 // microseconds
	end             string
}

// worth brings a good version and a bad one, of whose requests a tenth fail, to twenty processes under load: as a release, by a
// loop with pauses, and all at once. The operator of a loop stops it when more than a hundredth of five seconds' requests failed.
func worth() error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	bad, err := cluster.WriteAlteredProgram(b.dir, worthBad, b.binary, cluster.MisrouteTenth)
	if err != nil {
		return err
	}
	printMachine()
	fmt.Printf("%d processes, %d requests a second at each; a loop's alarm: more than %.0f%% of %v failed\n", worthGateways, worthRate, 100*worthAlarm, worthWindow)
	fmt.Println("version  way        end            took  stopped after  requests  failed  until stopped  most had it  p99 us")
	for _, version := range []string{worthGood, worthBad} {
		for _, way := range []string{wayRelease, wayLoop, wayAtOnce} {
			r, err := measureRollout(ctx, b, bad, version, way)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", version, way, err)
			}
			fmt.Printf("%-8s %-10s %-10s %8v %14v %9d %7d %14d %12d %7d\n", version, way, r.end, r.took.Round(100*time.Millisecond), r.stopped.Round(100*time.Millisecond), r.requests, r.failed,
				r.failedUntilStop, r.maxUpdated, r.p99)
		}
	}
	return ctx.Err()
}

// measureRollout brings a version to the gateways of a new site under load.
func measureRollout(ctx context.Context, b *build, bad, version, way string) (rolloutResult, error) {
	site, err := startRolloutSite(ctx, b, bad)
	if err != nil {
		return rolloutResult{}, err
	}
	defer site.Close()
	requests := newRequestWindow()
	load := site.StartObservedLoad(worthRate, requests.record)
	_ = idleFor(ctx, worthPause)
	r := &rollout{site: site, load: load, requests: requests, version: version, way: way, began: time.Now()}
	if way == wayRelease {
		err = r.byRelease(ctx)
	} else {
		err = r.byHand()
	}
	r.result.took = time.Since(r.began)
	load.Stop()
	r.result.requests = load.Requests.Load()
	r.result.failed = load.Failed.Load()
	r.result.p99 = requests.took.ValueAtQuantile(99)
	return r.result, err
}

// startRolloutSite starts gateways of the old version that know each other. The caller closes the site.
func startRolloutSite(ctx context.Context, b *build, bad string) (*cluster.Site, error) {
	folder, err := os.MkdirTemp(b.dir, "worth-")
	if err != nil {
		return nil, err
	}
	site, err := cluster.NewSite(ctx, cluster.SiteOptions{
		Binary:   b.binary,
		Dir:      folder,
		Gateways: worthGateways,
		Lease:    3 * time.Second,
		Version:  worthOld,
		Sites:    []string{"sapporo", "ishikari"},
		Versions: map[string]string{worthOld: b.binary, worthGood: b.binary, worthBad: bad},
		Budgets:  "[{name: g, each: site, most: 2}]",
	})
	if err != nil {
		return nil, err
	}
	known := func() bool {
		releases, err := site.Nodes[0].Releases()
		return err == nil && len(releases.Gateways) == worthGateways
	}
	if err := cluster.Await(ctx, "the gateways to be known", time.Minute, known); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

// requestWindow holds the latencies of all requests and the outcomes of the last seconds' requests.
type requestWindow struct {
	mu       sync.Mutex
	took     *hdrhistogram.Histogram // microseconds
	outcomes []requestOutcome        // in order of time
}

type requestOutcome struct {
	at time.Time
	ok bool
}

func newRequestWindow() *requestWindow {
	return &requestWindow{took: hdrhistogram.New(1, 60_000_000, 3)}
}

// record adds one request. It may be called concurrently.
func (w *requestWindow) record(took time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.took.RecordValue(took.Microseconds())
	now := time.Now()
	w.outcomes = append(w.outcomes, requestOutcome{at: now, ok: ok})
	for now.Sub(w.outcomes[0].at) > worthWindow {
		w.outcomes = w.outcomes[1:]
	}
}

// alarmed reports whether more of the window's requests failed than an operator accepts.
func (w *requestWindow) alarmed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := 0
	for _, outcome := range w.outcomes {
		if !outcome.ok {
			failed++
		}
	}
	return float64(failed) > worthAlarm*float64(max(len(w.outcomes), 1))
}

// awaitAlarm waits until the window is alarmed, for so long at most.
func (w *requestWindow) awaitAlarm(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end) && !w.alarmed(); {
		time.Sleep(worthAlarmPoll)
	}
}

// rollout is one version on its way to all gateways of a site.
type rollout struct {
	site     *cluster.Site
	load     *cluster.Load
	requests *requestWindow
	version  string
	way      string
	began    time.Time
	result   rolloutResult
}

// markStopped notes when the rollout went no further; only the first call counts.
func (r *rollout) markStopped() {
	if r.result.stopped == 0 {
		r.result.stopped = time.Since(r.began)
		r.result.failedUntilStop = r.load.Failed.Load()
	}
}

// byRelease has the gateways' own release bring the version to them, and waits for its end.
func (r *rollout) byRelease(ctx context.Context) error {
	plan := &release.Plan{
		ID:                r.version,
		Target:            r.version,
		OfProgram:         true,
		Soak:              3 * time.Second,
		RollBackOnFailure: true,
		Grace:             5 * time.Second,
		Notice:            300 * time.Millisecond,
		Gate:              release.Gate{MinRequests: 25, MaxMeanRatio: 20, MaxTailRatio: 20, MaxMemoryRatio: 5},
	}
	if err := r.site.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}); err != nil {
		return err
	}
	return cluster.Await(ctx, "the release to end", 5*time.Minute, r.releaseEnded)
}

// releaseEnded reads the state of the release into the result and reports whether the release has ended.
func (r *rollout) releaseEnded() bool {
	releases, err := r.site.Nodes[1].Releases()
	if err != nil {
		return false
	}
	updated := 0
	for _, gateway := range releases.Gateways {
		if gateway.Version == r.version {
			updated++
		}
	}
	r.result.maxUpdated = max(r.result.maxUpdated, updated)
	if releases.Current != nil && releases.Current.State != release.Running {
		r.markStopped()
	}
	for _, ended := range releases.Ended {
		r.result.end = string(ended.State)
		if ended.ID == r.version {
			return true
		}
	}
	return false
}

// byHand is what a script does whose operator watches the failures: an alarm stops it and brings the old version back.
func (r *rollout) byHand() error {
	r.result.end = "done"
	updated, err := r.updateByHand()
	if err != nil {
		return err
	}
	r.result.maxUpdated = len(updated)
	if !r.requests.alarmed() {
		return nil
	}
	r.markStopped()
	r.result.end = "back"
	if r.way == wayAtOnce {
		return setVersion(updated, worthOld)
	}
	for _, node := range updated {
		if err := setVersion([]*cluster.Node{node}, worthOld); err != nil {
			return err
		}
	}
	return nil
}

// updateByHand brings the version to the gateways, until there is an alarm, and returns those that have it.
func (r *rollout) updateByHand() ([]*cluster.Node, error) {
	if r.way == wayAtOnce {
		if err := setVersion(r.site.Nodes, r.version); err != nil {
			return nil, err
		}
		r.requests.awaitAlarm(worthWindow)
		return r.site.Nodes, nil
	}
	var updated []*cluster.Node
	for _, node := range r.site.Nodes {
		if err := setVersion([]*cluster.Node{node}, r.version); err != nil {
			return nil, err
		}
		updated = append(updated, node)
		r.requests.awaitAlarm(worthPause)
		if r.requests.alarmed() {
			break
		}
	}
	return updated, nil
}

// setVersion restarts nodes as a version, all at once, and returns the first node's error.
func setVersion(nodes []*cluster.Node, version string) error {
	errs := make([]error, len(nodes))
	var restarts sync.WaitGroup
	for i, node := range nodes {
		restarts.Go(func() { errs[i] = node.RestartAs(version) })
	}
	restarts.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
