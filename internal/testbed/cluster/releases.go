package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
)

// ReleaseResult is what came of one schedule of releases.
type ReleaseResult struct {
	DrainResult
	Releases, Done, RolledBack int
	Starts                     int // of versions, as the supervisors said
	RepeatedStarts             int // of them, those that were asked for and were of the version that ran: a step twice
}

// Violated tells whether a promise was broken.
func (v *ReleaseResult) Violated() bool { return v.DrainResult.Violated() || v.RepeatedStarts > 0 }

func (v *ReleaseResult) String() string {
	return fmt.Sprintf("%s\n  %d releases, %d done, %d back; %d starts, %d of them as the same version", &v.DrainResult, v.Releases, v.Done, v.RolledBack, v.Starts, v.RepeatedStarts)
}

// startLog follows what supervisors say.
type startLog struct {
	mu             sync.Mutex
	requestedFrom  map[int]string // the version that ended as it asked, by node
	count          int
	repeated       int
	firstViolation string
}

func (s *startLog) line(node int, text string) {
	_, version, ok := strings.Cut(text, "msg=started version=")
	asked := strings.Contains(text, `msg="restarting on request"`)
	if !ok && !asked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if asked {
		_, s.requestedFrom[node], _ = strings.Cut(text, "from=")
		return
	}
	version, _, _ = strings.Cut(version, " ")
	if s.count++; s.requestedFrom[node] == version {
		if s.repeated++; s.firstViolation == "" {
			s.firstViolation = fmt.Sprintf("n%d was asked to start anew as %s, which ran", node, version)
		}
	}
	delete(s.requestedFrom, node)
}

// Sections of a configuration that can be used, and of one that cannot.
const (
	validConfig   = "routes: [{match: {prefix: /}, cluster: c}, {match: {prefix: /more}, cluster: c}]\n"
	invalidConfig = "routes: [{match: {prefix: /}, cluster: nobody}]\nlisteners: []\n"
)

// PlayReleases plays one schedule: releases of versions, good ones and one that crashes, and of configurations, begun, halted, resumed
// and taken back at any gateway, drains by hand in between, while processes are killed, frozen and cut off; the observer of drains looks on.
func PlayReleases(ctx context.Context, seed uint64, opt DrainOptions) (v ReleaseResult) {
	v.Seed = seed
	fail := func(err error) ReleaseResult { v.Err = err; return v }
	dir, err := os.MkdirTemp(opt.Dir, fmt.Sprintf("releases-%d-", seed))
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	crash := filepath.Join(dir, "crash")
	if err := os.WriteFile(crash, []byte("#!/bin/sh\nexit 3\n"), 0o700); err != nil {
		return fail(err)
	}
	budgets := fmt.Sprintf("[{name: g, most: %d}]", drainBudget)
	if opt.IgnoreBudget {
		budgets = "[{name: g, most: 99}]"
	}
	seen := &startLog{requestedFrom: map[int]string{}}
	s, err := NewSite(ctx, SiteOptions{Binary: opt.Binary, Dir: dir, Gateways: drainGateways, Lease: opt.Lease, Budgets: budgets, Seed: seed, OnLogLine: seen.line,
		Version: "v1", Versions: map[string]string{"v1": opt.Binary, "v2": opt.Binary, "crash": crash}})
	if err != nil {
		return fail(err)
	}
	defer s.Close()
	rng := rand.New(rand.NewPCG(seed, 0x4e1e))
	load := s.StartLoad(20)
	defer load.Stop()
	stop := s.Watch(&v.DrainResult, drainBudget)
	defer func() { stop() }()
	var open []string
	version := "v1"
	do := func(n *Node, c quorum.Command) bool { return n.Up() && n.SendRelease(c) == nil }
	for step := range cmp.Or(opt.Steps, drainSteps+4) {
		n := s.Nodes[rng.IntN(drainGateways)]
		victim := n // of a fault; half of all hit who runs the release
		if rng.IntN(2) == 0 {
			if l := s.Leader(); l != nil {
				victim = l
			}
		}
		id := fmt.Sprint(seed, "-", step)
		p := &release.Plan{ID: id, Soak: 200 * time.Millisecond, RollBackOnFailure: rng.IntN(2) == 0, Grace: time.Second, Notice: 250 * time.Millisecond,
			Gate: release.Gate{MinRequests: 5, MaxMeanRatio: 50, MaxTailRatio: 50, MaxMemoryRatio: 10, MaxInTimeLoss: 0.9}}
		switch k := rng.IntN(15); {
		case k < 4:
			p.OfProgram, p.Target = true, map[string]string{"v1": "v2", "v2": "v1"}[version]
			if rng.IntN(4) == 0 {
				p.Target = "crash"
			}
			if do(n, quorum.Command{Op: quorum.OpStartRelease, Plan: p}) {
				v.Releases++
				if p.Target != "crash" {
					version = p.Target
				}
			}
		case k == 4:
			text := []string{validConfig, invalidConfig}[rng.IntN(2)]
			p.Target = fleet.ConfigDigest([]byte(text))
			if do(n, quorum.Command{Op: quorum.OpStoreConfig, Digest: p.Target, Text: text}) && do(n, quorum.Command{Op: quorum.OpStartRelease, Plan: p}) {
				v.Releases++
			}
		case k < 7 && rng.IntN(2) == 0:
			do(n, quorum.Command{Op: []quorum.Op{quorum.OpHaltRelease, quorum.OpRollbackRelease}[k-5], Text: "by hand"})
		case k == 7:
			do(n, quorum.Command{Op: quorum.OpResumeRelease})
		case k == 8 && n.Up():
			o, err := n.SendDrain("drain", drain.Request{ID: id, Target: drain.Target{Gateway: s.Nodes[rng.IntN(drainGateways)].Name}, Grace: time.Second, Notice: 250 * time.Millisecond})
			if v.Requested++; err == nil && o.State != drain.Rejected {
				open = append(open, id)
			}
		case k == 9 && len(open) > 0 && n.Up():
			if _, err := n.SendDrain("undrain", drain.Request{ID: open[0]}); err == nil {
				open = open[1:]
			}
		case k == 10:
			victim.Kill()
			_ = sleep(ctx, opt.Lease/2)
			if err := victim.Start(); err != nil {
				return fail(err)
			}
		case k == 11 && victim.Up():
			victim.Freeze()
			_ = sleep(ctx, opt.Lease)
			victim.Thaw()
		case k == 12:
			s.Isolate(victim, LinkState{Partitioned: true})
			_ = sleep(ctx, opt.Lease)
			s.Heal()
		case k == 13: // no quorum for longer than a version on trial waits for a word
			for _, v := range s.Nodes[:2] {
				v.Kill()
			}
			_ = sleep(ctx, 5*opt.Lease)
			for _, v := range s.Nodes[:2] {
				if err := v.Start(); err != nil {
					return fail(err)
				}
			}
		}
		_ = sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
	}
	// All comes to an end: orders are taken back by hand, the release too, and every gateway runs as it is to.
	// Also those that were agreed on though the asker was told nothing.
	if err := Await(ctx, "orders to be cancelled", recoveryTimeout, func() bool {
		m, err := s.Nodes[0].DrainRequests()
		for id, o := range m {
			if strings.HasPrefix(id, fmt.Sprint(seed, "-")) && o.State != drain.Ended && o.State != drain.Rejected && o.State != drain.Cancelled {
				_, e := s.Nodes[0].SendDrain("undrain", drain.Request{ID: id})
				err = errors.Join(err, e)
			}
		}
		return err == nil
	}); err != nil {
		return fail(err)
	}
	var l quorum.ReleaseList
	what := ""
	err = Await(ctx, "the releases to end", 2*recoveryTimeout, func() bool {
		l = quorum.ReleaseList{}
		if err := s.Nodes[1].Get("/fleet/releases", &l); err != nil || !l.Fresh {
			what = fmt.Sprint("no word of them: ", err)
			return false
		}
		if l.Current != nil {
			what = l.Current.String()
			if l.Current.State != release.RollingBack {
				_ = s.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpRollbackRelease, Text: "the end"})
			}
			return false
		}
		for _, g := range l.Gateways {
			if to := l.DesiredVersions[g.Name]; !g.Responding || g.Config != l.DesiredConfigs[g.Name] || to != "" && g.Version != to {
				what = fmt.Sprintf("%s here %v has %q, is to have %q, runs as %q, is to run as %q %s", g.Name, g.Responding, g.Config, l.DesiredConfigs[g.Name], g.Version, to, g.VersionRejected)
				return false
			}
		}
		return len(l.Gateways) == drainGateways
	})
	if err == nil {
		err = Await(ctx, "every gateway to be back", recoveryTimeout, func() bool {
			for _, n := range s.Nodes {
				if !n.Ready() {
					what = n.Name + " is not ready"
					return false
				}
			}
			return true
		})
	}
	if err != nil {
		return fail(fmt.Errorf("%w: %s", err, what))
	}
	for _, r := range l.Ended {
		switch r.State {
		case release.Done:
			v.Done++
		case release.RolledBack:
			v.RolledBack++
		}
	}
	if m, err := s.Nodes[1].DrainRequests(); err == nil {
		for _, o := range m {
			if o.Token > 0 {
				v.Granted++
			}
		}
	}
	stop()
	if why := load.Stop(); why != "" && v.FirstViolation == "" {
		v.FirstViolation = why
	}
	v.Requests, v.Failed = load.Requests.Load(), load.Failed.Load()
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if v.Starts, v.RepeatedStarts = seen.count, seen.repeated; v.FirstViolation == "" {
		v.FirstViolation = seen.firstViolation
	}
	return v
}

// RunReleaseSchedules plays schedules, so many at once, and tells of each as it ends.
func RunReleaseSchedules(ctx context.Context, seeds []uint64, at int, opt DrainOptions, each func(ReleaseResult)) {
	runSeeds(ctx, seeds, at, func(seed uint64) ReleaseResult { return PlayReleases(ctx, seed, opt) }, each)
}
