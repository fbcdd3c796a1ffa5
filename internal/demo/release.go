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

// goodSections are released: they change nothing for clients.
const goodSections = "routes: [{name: all, match: {prefix: /}, cluster: c}]\n"

// Release plays three releases over five supervised processes of the program under load: of a good version of the program, of a bad one,
// which fails a tenth of its requests (it halts at its first gateway and goes back by hand), and of a configuration. The error is what
// went wrong.
func Release(ctx context.Context, binary string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "robindrum-try-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	began := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(out, "%6.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	bad, err := cluster.WriteAlteredProgram(dir, "bad", binary, cluster.MisrouteTenth)
	if err != nil {
		return err
	}
	say("five supervised gateways start, before three servers; one may be out at a time")
	s, err := cluster.NewSite(ctx, cluster.SiteOptions{Binary: binary, Dir: dir, Gateways: 5, Lease: leaseLength, Budgets: "[{name: gateways, most: 1}]",
		Version: "1.0", Versions: map[string]string{"1.0": binary, "1.1": binary, "1.2": bad}})
	if err != nil {
		return err
	}
	defer s.Close()
	load := s.StartLoad(100)
	defer load.Stop()
	const within = time.Minute
	state := func() (l quorum.ReleaseList, err error) {
		for _, n := range s.Nodes {
			if l, err = n.Releases(); err == nil && l.Fresh {
				return l, nil
			}
		}
		return l, err
	}
	if err := cluster.Await(ctx, "the gateways to be known", within, func() bool { l, err := state(); return err == nil && len(l.Gateways) == 5 }); err != nil {
		return err
	}
	most := 0
	play := func(id, text, version string, back bool) (r release.Release, err error) {
		p := &release.Plan{ID: id, Target: version, OfProgram: version != "", Soak: 2 * time.Second, RollBackOnFailure: back, Grace: 3 * time.Second, Notice: 300 * time.Millisecond,
			Gate: release.Gate{MinRequests: 100, MaxMeanRatio: 10, MaxTailRatio: 10}}
		if version == "" {
			p.Target = fleet.ConfigDigest([]byte(text))
			if err := s.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStoreConfig, Digest: p.Target, Text: text}); err != nil {
				return r, err
			}
		}
		if err := s.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: p}); err != nil {
			return r, err
		}
		last := ""
		err = cluster.Await(ctx, id+" to end", within, func() bool {
			l, err := state()
			if err != nil {
				return false
			}
			has := 0
			for _, g := range l.Gateways {
				if g.Config == p.Target || g.Version == p.Target {
					has++
				}
			}
			now := l.Current
			if now == nil || now.ID != id {
				for i := range l.Ended {
					if l.Ended[i].ID == id {
						now, r = &l.Ended[i], l.Ended[i]
					}
				}
			} else if id == "bad" {
				most = max(most, has)
				if now.State == release.Halted {
					if now.String() != last {
						say("%s", now)
						say("robindrum release back")
					}
					last = now.String()
					_ = s.Nodes[1].SendRelease(quorum.Command{Op: quorum.OpRollbackRelease, Text: "by hand"}) // asked again with the next look
					return false
				}
			}
			if now != nil && now.String() != last {
				last = now.String()
				say("%s; %d of 5 have it", last, has)
			}
			return r.ID == id
		})
		return r, err
	}
	r, err := play("good", "", "1.1", true)
	if err != nil {
		return err
	}
	if r.State != release.Done || load.Failed.Load() > 0 {
		return fmt.Errorf("a good one: %s; %d requests failed", &r, load.Failed.Load())
	}
	say("%d requests until now, none failed; version 1.2 sends a tenth of its own nowhere", load.Requests.Load())
	asked := load.Requests.Load()
	if r, err = play("bad", "", "1.2", false); err != nil {
		return err
	}
	asked, failed := load.Requests.Load()-asked, load.Failed.Load()
	say("of %d requests while the bad one was there %d failed (all at once it would be a tenth); %d of 5 gateways had it at the most", asked, failed, most)
	if r.State != release.RolledBack || most != 1 || failed == 0 {
		return errors.New("the bad one was not found out, or not stopped at its first gateway")
	}
	if r, err = play("routes", goodSections, "", true); err != nil {
		return err
	}
	load.Stop()
	if n := load.Failed.Load() - failed; r.State != release.Done || n > 0 {
		return fmt.Errorf("a configuration: %s; %d requests failed", &r, n)
	}
	return nil
}
