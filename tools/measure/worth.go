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
	rolloutGateways   = 20
	rolloutRate       = 10   // requests per second at each gateway
	alarmThreshold    = 0.01 // fraction of failed requests above which the script stops
	alarmWindow       = 5 * time.Second
	rolloutPause      = 3 * time.Second // under load before a rollout, and after each gateway of a loop
	alarmPollInterval = 50 * time.Millisecond
)

// The versions of the gateways.
const (
	oldVersion  = "old"
	goodVersion = "good"
	badVersion  = "bad"
)

// The strategies that update all gateways, as the table shows them.
const (
	strategyRelease = "release"
	strategyLoop    = "loop"
	strategyAtOnce  = "at once"
)

// rolloutResult is the outcome of updating all gateways with one strategy.
type rolloutResult struct {
	took            time.Duration // until all gateways run the version, or all are rolled back
	stopped         time.Duration // from the start until the rollout stopped; 0 if it did not stop
	requests        int64
	failed          int64
	failedUntilStop int64 // until the rollout stopped; 0 if it did not stop
	maxUpdated      int   // gateways that ran the version at the same time
	p99             int64 // microseconds
	end             string
}

// measureRollouts updates twenty processes under load to a good version and to a bad one, which fails a tenth of its requests: by a
// release, by a loop with pauses, and all at once. The loop and the update at once are rolled back when more than 1% of the requests of
// the last five seconds failed.
func measureRollouts() error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	bad, err := cluster.WriteAlteredProgram(b.dir, badVersion, b.binary, cluster.MisrouteTenth)
	if err != nil {
		return err
	}
	printMachine()
	fmt.Printf("%d processes, %d requests per second at each; without a release, the rollback threshold is more than %.0f%% of requests failed in %v\n", rolloutGateways, rolloutRate, 100*alarmThreshold, alarmWindow)
	fmt.Println("version  strategy   end            took  stopped after  requests  failed  until stopped  most at once  p99 us")
	for _, version := range []string{goodVersion, badVersion} {
		for _, strategy := range []string{strategyRelease, strategyLoop, strategyAtOnce} {
			r, err := measureRollout(ctx, b, bad, version, strategy)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", version, strategy, err)
			}
			fmt.Printf("%-8s %-10s %-10s %8v %14v %9d %7d %14d %13d %7d\n", version, strategy, r.end, r.took.Round(100*time.Millisecond), r.stopped.Round(100*time.Millisecond), r.requests, r.failed,
				r.failedUntilStop, r.maxUpdated, r.p99)
		}
	}
	return ctx.Err()
}

// measureRollout starts a site and updates its gateways to a version under load.
func measureRollout(ctx context.Context, b *build, bad, version, strategy string) (rolloutResult, error) {
	site, err := startRolloutSite(ctx, b, bad)
	if err != nil {
		return rolloutResult{}, err
	}
	defer site.Close()
	requests := newRequestWindow()
	load := site.StartObservedLoad(rolloutRate, requests.record)
	_ = sleep(ctx, rolloutPause)
	r := &rollout{site: site, load: load, requests: requests, version: version, strategy: strategy, began: time.Now()}
	if strategy == strategyRelease {
		err = r.byRelease(ctx)
	} else {
		err = r.byScript()
	}
	r.result.took = time.Since(r.began)
	load.Stop()
	r.result.requests = load.Requests.Load()
	r.result.failed = load.Failed.Load()
	r.result.p99 = requests.took.ValueAtQuantile(99)
	return r.result, err
}

// startRolloutSite starts gateways of the old version and waits until all are known. The caller must close the site.
func startRolloutSite(ctx context.Context, b *build, bad string) (*cluster.Site, error) {
	folder, err := os.MkdirTemp(b.dir, "worth-")
	if err != nil {
		return nil, err
	}
	site, err := cluster.NewSite(ctx, cluster.SiteOptions{
		Binary:   b.binary,
		Dir:      folder,
		Gateways: rolloutGateways,
		Lease:    3 * time.Second,
		Version:  oldVersion,
		Sites:    []string{"sapporo", "ishikari"},
		Versions: map[string]string{oldVersion: b.binary, goodVersion: b.binary, badVersion: bad},
		Budgets:  "[{name: g, each: site, most: 2}]",
	})
	if err != nil {
		return nil, err
	}
	known := func() bool {
		releases, err := site.Nodes[0].Releases()
		return err == nil && len(releases.Gateways) == rolloutGateways
	}
	if err := cluster.Await(ctx, "the gateways to be known", time.Minute, known); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

// requestWindow records the latencies of all requests and the outcomes of the requests of the last alarmWindow.
type requestWindow struct {
	mu       sync.Mutex
	took     *hdrhistogram.Histogram // microseconds
	outcomes []requestOutcome        // oldest first
}

type requestOutcome struct {
	at time.Time
	ok bool
}

func newRequestWindow() *requestWindow {
	return &requestWindow{took: hdrhistogram.New(1, 60_000_000, 3)}
}

// record adds one request. It is safe for concurrent use.
func (w *requestWindow) record(took time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.took.RecordValue(took.Microseconds())
	now := time.Now()
	w.outcomes = append(w.outcomes, requestOutcome{at: now, ok: ok})
	for now.Sub(w.outcomes[0].at) > alarmWindow {
		w.outcomes = w.outcomes[1:]
	}
}

// thresholdExceeded reports whether the fraction of failed requests in the window is above alarmThreshold.
func (w *requestWindow) thresholdExceeded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := 0
	for _, outcome := range w.outcomes {
		if !outcome.ok {
			failed++
		}
	}
	return float64(failed) > alarmThreshold*float64(max(len(w.outcomes), 1))
}

// awaitThreshold waits until thresholdExceeded returns true or the timeout expires.
func (w *requestWindow) awaitThreshold(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end) && !w.thresholdExceeded(); {
		time.Sleep(alarmPollInterval)
	}
}

// rollout is the update of all gateways of a site to a version.
type rollout struct {
	site     *cluster.Site
	load     *cluster.Load
	requests *requestWindow
	version  string
	strategy string
	began    time.Time
	result   rolloutResult
}

// markStopped records when the rollout stopped. Only the first call has an effect.
func (r *rollout) markStopped() {
	if r.result.stopped == 0 {
		r.result.stopped = time.Since(r.began)
		r.result.failedUntilStop = r.load.Failed.Load()
	}
}

// byRelease updates the gateways with a release of the fleet and waits until it has ended.
func (r *rollout) byRelease(ctx context.Context) error {
	plan := &release.Plan{
		ID:                r.version,
		Target:            r.version,
		IsVersionRelease:  true,
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

// releaseEnded updates the result from the state of the release and reports whether the release has ended.
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

// byScript updates the gateways as a script would that watches the failed requests: it stops and restores the old version if the
// fraction of failed requests exceeds the threshold.
func (r *rollout) byScript() error {
	r.result.end = "done"
	updated, err := r.updateByScript()
	if err != nil {
		return err
	}
	r.result.maxUpdated = len(updated)
	if !r.requests.thresholdExceeded() {
		return nil
	}
	r.markStopped()
	r.result.end = "back"
	if r.strategy == strategyAtOnce {
		return setVersion(updated, oldVersion)
	}
	for _, node := range updated {
		if err := setVersion([]*cluster.Node{node}, oldVersion); err != nil {
			return err
		}
	}
	return nil
}

// updateByScript updates the gateways until the threshold is exceeded and returns the updated gateways.
func (r *rollout) updateByScript() ([]*cluster.Node, error) {
	if r.strategy == strategyAtOnce {
		if err := setVersion(r.site.Nodes, r.version); err != nil {
			return nil, err
		}
		r.requests.awaitThreshold(alarmWindow)
		return r.site.Nodes, nil
	}
	var updated []*cluster.Node
	for _, node := range r.site.Nodes {
		if err := setVersion([]*cluster.Node{node}, r.version); err != nil {
			return nil, err
		}
		updated = append(updated, node)
		r.requests.awaitThreshold(rolloutPause)
		if r.requests.thresholdExceeded() {
			break
		}
	}
	return updated, nil
}

// setVersion restarts all nodes concurrently with a version. It returns the error of the first node in the list that failed.
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
