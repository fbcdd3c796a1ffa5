package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/testbed/cluster"
)

// Of the measurement of releases over processes.
const (
	worthGateways = 20
	worthRate     = 10 // requests a second at each
	worthAlarm    = 0.01
	worthWindow   = 5 * time.Second
)

// rolled is what one way of bringing a version to all gateways came to.
type rolled struct {
	took           time.Duration // until all have it, or all are back
	stopped        time.Duration // from its begin until it went no further; 0: it did not stop
	asked, failed  int64
	untilStop      int64
	maxUnavailable int // gateways that ran as it at once
	p99            int64
	end            string
}

// worth brings a good and a bad version (a tenth of its requests fail) to twenty processes under load: as a release, by a loop with
// sleeps, and all at once. Whoever looks at the loop stops it when more than a hundredth of five seconds' requests failed.
func worth() error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	dir, binary := b.dir, b.binary
	bad, err := cluster.WriteAlteredProgram(dir, "bad", binary, cluster.MisrouteTenth)
	if err != nil {
		return err
	}
	machine()
	fmt.Printf("%d processes, %d requests a second at each; a loop's alarm: more than %.0f%% of %v failed\n", worthGateways, worthRate, 100*worthAlarm, worthWindow)
	fmt.Println("version  way        end            took  stopped after  requests  failed  until stopped  most had it  p99 us")
	for _, version := range []string{"good", "bad"} {
		for _, way := range []string{"release", "loop", "at once"} {
			r, err := roll(ctx, dir, binary, bad, version, way)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", version, way, err)
			}
			fmt.Printf("%-8s %-10s %-10s %8v %14v %9d %7d %14d %12d %7d\n", version, way, r.end, r.took.Round(100*time.Millisecond), r.stopped.Round(100*time.Millisecond), r.asked, r.failed,
				r.untilStop, r.maxUnavailable, r.p99)
		}
	}
	return ctx.Err()
}

func roll(ctx context.Context, dir, binary, bad, version, way string) (r rolled, err error) {
	folder, err := os.MkdirTemp(dir, "worth-")
	if err != nil {
		return r, err
	}
	s, err := cluster.NewSite(ctx, cluster.SiteOptions{Binary: binary, Dir: folder, Gateways: worthGateways, Lease: 3 * time.Second, Version: "old", Sites: []string{"sapporo", "ishikari"},
		Versions: map[string]string{"old": binary, "good": binary, "bad": bad}, Budgets: "[{name: g, each: site, most: 2}]"})
	if err != nil {
		return r, err
	}
	defer s.Close()
	if err := cluster.Await(ctx, "the gateways to be known", time.Minute, func() bool {
		l, err := s.Nodes[0].Releases()
		return err == nil && len(l.Gateways) == worthGateways
	}); err != nil {
		return r, err
	}
	h, mu := hdrhistogram.New(1, 60_000_000, 3), sync.Mutex{}
	type answer struct {
		at time.Time
		ok bool
	}
	var window []answer
	load := s.StartObservedLoad(worthRate, func(took time.Duration, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		_ = h.RecordValue(took.Microseconds())
		now := time.Now()
		window = append(window, answer{now, ok})
		for now.Sub(window[0].at) > worthWindow {
			window = window[1:]
		}
	})
	alarmed := func() bool {
		mu.Lock()
		defer mu.Unlock()
		failed := 0
		for _, a := range window {
			if !a.ok {
				failed++
			}
		}
		return float64(failed) > worthAlarm*float64(max(len(window), 1))
	}
	select {
	case <-ctx.Done():
	case <-time.After(3 * time.Second):
	}
	began := time.Now()
	stop := func() {
		if r.stopped == 0 {
			r.stopped, r.untilStop = time.Since(began), load.Failed.Load()
		}
	}
	if way == "release" {
		p := &release.Plan{ID: version, Target: version, OfProgram: true, Soak: 3 * time.Second, RollBackOnFailure: true, Grace: 5 * time.Second, Notice: 300 * time.Millisecond,
			Gate: release.Gate{MinRequests: 25, MaxMeanRatio: 20, MaxTailRatio: 20, MaxMemoryRatio: 5}}
		if err := s.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: p}); err != nil {
			return r, err
		}
		err = cluster.Await(ctx, "the release to end", 5*time.Minute, func() bool {
			l, err := s.Nodes[1].Releases()
			if err != nil {
				return false
			}
			has := 0
			for _, g := range l.Gateways {
				if g.Version == version {
					has++
				}
			}
			r.maxUnavailable = max(r.maxUnavailable, has)
			if l.Current != nil && l.Current.State != release.Running {
				stop()
			}
			for _, x := range l.Ended {
				if r.end = string(x.State); x.ID == version {
					return true
				}
			}
			return false
		})
	} else {
		err = byHand(s, version, way, alarmed, stop, &r)
	}
	r.took = time.Since(began)
	load.Stop()
	r.asked, r.failed, r.p99 = load.Requests.Load(), load.Failed.Load(), h.ValueAtQuantile(99)
	return r, err
}

// byHand is what a script does, and whoever looks at it.
func byHand(s *cluster.Site, version, way string, alarmed func() bool, stop func(), r *rolled) error {
	var had atomic.Int64
	all := func(nodes []*cluster.Node, to string, step int64) error {
		errs := make([]error, len(nodes))
		var work sync.WaitGroup
		for i, n := range nodes {
			work.Go(func() {
				errs[i] = n.RestartAs(to)
				had.Add(step)
			})
		}
		work.Wait()
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	}
	var has []*cluster.Node
	r.end = "done"
	if way == "at once" {
		if err := all(s.Nodes, version, 1); err != nil {
			return err
		}
		has = s.Nodes
		for end := time.Now().Add(worthWindow); time.Now().Before(end) && !alarmed(); {
			time.Sleep(50 * time.Millisecond)
		}
	} else {
		for _, n := range s.Nodes {
			if err := all([]*cluster.Node{n}, version, 1); err != nil {
				return err
			}
			has = append(has, n)
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && !alarmed(); { // the sleep of the loop
				time.Sleep(50 * time.Millisecond)
			}
			if alarmed() {
				break
			}
		}
	}
	r.maxUnavailable = int(had.Load())
	if !alarmed() {
		return nil
	}
	stop()
	r.end = "back"
	if way == "at once" {
		return all(has, "old", -1)
	}
	for _, n := range has {
		if err := all([]*cluster.Node{n}, "old", -1); err != nil {
			return err
		}
	}
	return nil
}
