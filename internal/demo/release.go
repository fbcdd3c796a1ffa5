package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/testbed/cluster"
)

// validSections are a configuration that changes nothing for clients.
const validSections = "routes: [{name: all, match: {prefix: /}, cluster: c}]\n"

const (
	releaseGateways = 5
	releaseLoad     = 100 // requests per second and gateway
	releaseTimeout  = time.Minute
	releaseSoak     = 2 * time.Second
	releaseGrace    = 3 * time.Second
	releaseNotice   = 300 * time.Millisecond

	firstVersion = "1.0"
	goodVersion  = "1.1"
	badVersion   = "1.2"
	badRelease   = "bad" // id
)

// narrator prints what happens in a scene of several processes, with the time since its start.
type narrator struct {
	out   io.Writer
	began time.Time
}

func (n narrator) say(format string, arguments ...any) {
	fmt.Fprintf(n.out, "%6.1f s  %s\n", time.Since(n.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// releaseScene is the demonstration of releases.
type releaseScene struct {
	narrator
	site *cluster.Site
	load *cluster.Load
	// maxBadGateways is how many gateways ran the bad version at once.
	maxBadGateways int
}

// Release demonstrates three releases to five supervised processes of the program under load: of a good version, of a bad one, which
// fails a tenth of its requests, halts at its first gateway and is rolled back by hand, and of a configuration. It blocks until all
// processes have ended, and returns an error that says what went wrong.
func Release(ctx context.Context, binary string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "robindrum-try-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &releaseScene{narrator: narrator{out: out, began: time.Now()}}
	bad, err := cluster.WriteAlteredProgram(dir, "bad", binary, cluster.MisrouteTenth)
	if err != nil {
		return err
	}
	s.say("five supervised gateways start, before three servers; one may be out at a time")
	s.site, err = cluster.NewSite(ctx, cluster.SiteOptions{
		Binary:   binary,
		Dir:      dir,
		Gateways: releaseGateways,
		Lease:    leaseLength,
		Budgets:  "[{name: gateways, most: 1}]",
		Version:  firstVersion,
		Versions: map[string]string{firstVersion: binary, goodVersion: binary, badVersion: bad},
	})
	if err != nil {
		return err
	}
	defer s.site.Close()
	s.load = s.site.StartLoad(releaseLoad)
	defer s.load.Stop()
	return s.play(ctx)
}

func (s *releaseScene) play(ctx context.Context) error {
	err := cluster.Await(ctx, "the gateways to be known", releaseTimeout, func() bool {
		list, err := s.releases()
		return err == nil && len(list.Gateways) == releaseGateways
	})
	if err != nil {
		return err
	}
	if err := s.releaseGood(ctx); err != nil {
		return err
	}
	failed, err := s.releaseBad(ctx)
	if err != nil {
		return err
	}
	return s.releaseConfig(ctx, failed)
}

func (s *releaseScene) releaseGood(ctx context.Context) error {
	ended, err := s.release(ctx, programPlan("good", goodVersion, true))
	if err != nil {
		return err
	}
	if ended.State != release.Done || s.load.Failed.Load() > 0 {
		return fmt.Errorf("a good one: %s; %d requests failed", &ended, s.load.Failed.Load())
	}
	s.say("%d requests until now, none failed; version 1.2 sends a tenth of its own nowhere", s.load.Requests.Load())
	return nil
}

// releaseBad returns how many requests failed.
func (s *releaseScene) releaseBad(ctx context.Context) (failed int64, err error) {
	before := s.load.Requests.Load()
	ended, err := s.release(ctx, programPlan(badRelease, badVersion, false))
	if err != nil {
		return 0, err
	}
	requests := s.load.Requests.Load() - before
	failed = s.load.Failed.Load()
	s.say("of %d requests while the bad one was there %d failed (all at once it would be a tenth); %d of 5 gateways had it at the most",
		requests, failed, s.maxBadGateways)
	if ended.State != release.RolledBack || s.maxBadGateways != 1 || failed == 0 {
		return failed, errors.New("the bad one was not found out, or not stopped at its first gateway")
	}
	return failed, nil
}

// releaseConfig releases a configuration. failedBefore is how many requests failed before.
func (s *releaseScene) releaseConfig(ctx context.Context, failedBefore int64) error {
	plan := newPlan("routes", true)
	plan.Target = fleet.ConfigDigest([]byte(validSections))
	err := s.site.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStoreConfig, Digest: plan.Target, Text: validSections})
	if err != nil {
		return err
	}
	ended, err := s.release(ctx, plan)
	if err != nil {
		return err
	}
	s.load.Stop()
	if failed := s.load.Failed.Load() - failedBefore; ended.State != release.Done || failed > 0 {
		return fmt.Errorf("a configuration: %s; %d requests failed", &ended, failed)
	}
	return nil
}

func newPlan(id string, rollBackOnFailure bool) *release.Plan {
	return &release.Plan{
		ID:                id,
		Soak:              releaseSoak,
		RollBackOnFailure: rollBackOnFailure,
		Grace:             releaseGrace,
		Notice:            releaseNotice,
		Gate:              release.Gate{MinRequests: 100, MaxMeanRatio: 10, MaxTailRatio: 10},
	}
}

func programPlan(id, version string, rollBackOnFailure bool) *release.Plan {
	plan := newPlan(id, rollBackOnFailure)
	plan.OfProgram = true
	plan.Target = version
	return plan
}

// releases returns the fleet's releases from a gateway that knows the present ones.
func (s *releaseScene) releases() (quorum.ReleaseList, error) {
	var list quorum.ReleaseList
	var err error
	for _, n := range s.site.Nodes {
		if list, err = n.Releases(); err == nil && list.Fresh {
			return list, nil
		}
	}
	return list, err
}

// release begins a release, prints its progress and returns it once it has ended. It rolls the bad release back when that has halted.
func (s *releaseScene) release(ctx context.Context, plan *release.Plan) (ended release.Release, err error) {
	if err := s.site.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}); err != nil {
		return ended, err
	}
	printed := ""
	err = cluster.Await(ctx, plan.ID+" to end", releaseTimeout, func() bool {
		list, err := s.releases()
		if err != nil {
			return false
		}
		updated := gatewaysWith(list, plan.Target)
		current := list.Current
		if current == nil || current.ID != plan.ID {
			if current = endedRelease(list, plan.ID, current); current != nil && current.ID == plan.ID {
				ended = *current
			}
		} else if plan.ID == badRelease {
			s.maxBadGateways = max(s.maxBadGateways, updated)
			if current.State == release.Halted {
				if current.String() != printed {
					s.say("%s", current)
					s.say("robindrum release back")
				}
				printed = current.String()
				s.rollBack()
				return false
			}
		}
		if current != nil && current.String() != printed {
			printed = current.String()
			s.say("%s; %d of 5 have it", printed, updated)
		}
		return ended.ID == plan.ID
	})
	return ended, err
}

// rollBack may fail: it is tried again with the next observation.
func (s *releaseScene) rollBack() {
	_ = s.site.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpRollbackRelease, Text: "by hand"})
}

// gatewaysWith returns how many gateways run a version or configuration.
func gatewaysWith(list quorum.ReleaseList, target string) int {
	n := 0
	for _, g := range list.Gateways {
		if g.Config == target || g.Version == target {
			n++
		}
	}
	return n
}

// endedRelease returns the release with an id that has ended, or other if there is none.
func endedRelease(list quorum.ReleaseList, id string, other *release.Release) *release.Release {
	for i := range list.Ended {
		if list.Ended[i].ID == id {
			other = &list.Ended[i]
		}
	}
	return other
}
