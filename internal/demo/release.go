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

// validSections is a configuration that does not change anything for clients.
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

// narrator prints events of a scene with several processes, each with the time since the start.
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
	// maxBadGateways is the maximum number of gateways that ran the bad version at the same time.
	maxBadGateways int
}

// Release demonstrates three releases to five supervised processes under load: a good version; a bad version, which fails a tenth of its
// requests, halts at the first gateway and is rolled back manually; and a configuration. It blocks until all processes have ended. It
// returns an error if a process does not start, a release ends in an unexpected state or the good releases fail requests.
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
	s.say("five supervised gateways start in front of three servers; the disruption budget allows one to be unavailable at a time")
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
		return fmt.Errorf("release of the good version: got %s and %d failed requests, want it done and none failed", &ended, s.load.Failed.Load())
	}
	s.say("%d requests so far, none failed; version 1.2 routes a tenth of its requests to a cluster without endpoints", s.load.Requests.Load())
	return nil
}

// releaseBad releases the bad version and returns the number of failed requests.
func (s *releaseScene) releaseBad(ctx context.Context) (failed int64, err error) {
	before := s.load.Requests.Load()
	ended, err := s.release(ctx, programPlan(badRelease, badVersion, false))
	if err != nil {
		return 0, err
	}
	requests := s.load.Requests.Load() - before
	failed = s.load.Failed.Load()
	s.say("of %d requests during the release of the bad version, %d failed (a tenth would fail with it on all gateways); at most %d of 5 gateways ran it at once",
		requests, failed, s.maxBadGateways)
	if ended.State != release.RolledBack || s.maxBadGateways != 1 || failed == 0 {
		return failed, errors.New("the bad version was not detected, or the release did not stop at its first gateway")
	}
	return failed, nil
}

// releaseConfig releases a configuration. failedBefore is the number of requests that failed earlier.
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
		return fmt.Errorf("release of the configuration: got %s and %d failed requests, want it done and none failed", &ended, failed)
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
	plan.IsVersionRelease = true
	plan.Target = version
	return plan
}

// releases returns the releases of the fleet as reported by the first gateway with current information. If there is none, it returns the
// answer of the last gateway.
func (s *releaseScene) releases() (quorum.ReleaseList, error) {
	var list quorum.ReleaseList
	var err error
	for _, node := range s.site.Nodes {
		if list, err = node.Releases(); err == nil && list.Fresh {
			return list, nil
		}
	}
	return list, err
}

// release starts a release, prints its progress and returns the release after it has ended. It rolls back the bad release when that
// halts.
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
			s.say("%s; %d of 5 gateways run it", printed, updated)
		}
		return ended.ID == plan.ID
	})
	return ended, err
}

// rollBack requests the rollback of the current release. Errors are ignored, because the caller tries again at the next poll.
func (s *releaseScene) rollBack() {
	_ = s.site.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpRollbackRelease, Text: "by hand"})
}

// gatewaysWith returns the number of gateways that run a version or configuration.
func gatewaysWith(list quorum.ReleaseList, target string) int {
	count := 0
	for _, gateway := range list.Gateways {
		if gateway.Config == target || gateway.Version == target {
			count++
		}
	}
	return count
}

// endedRelease returns the ended release with the given id, or other if there is none.
func endedRelease(list quorum.ReleaseList, id string, other *release.Release) *release.Release {
	for i := range list.Ended {
		if list.Ended[i].ID == id {
			other = &list.Ended[i]
		}
	}
	return other
}
