package try

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"arrowhitch/internal/fleet"
	"arrowhitch/internal/quorum"
	"arrowhitch/internal/release"
	"arrowhitch/internal/standin/cluster"
)

// The sections that are released: one that changes nothing for clients, and one that sends a fifth of all requests nowhere.
const (
	goodSections = "routes: [{name: all, match: {prefix: /}, cluster: c}]\n"
	badSections  = "routes: [{match: {prefix: /}, clusters: [{name: c, weight: 4}, {name: gone, weight: 1}]}]\nclusters: [{name: gone, endpoints: []}]\n"
)

// Release plays two releases of a configuration over five processes of the program under load: a good one, and a bad one, which
// is found out at its first gateway and goes back. The error is what went wrong.
func Release(ctx context.Context, binary string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "robindrum-try-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	began := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(out, "%6.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	say("five gateways start, before three servers")
	s, err := cluster.NewSite(ctx, cluster.SiteOptions{Binary: binary, Dir: dir, Gateways: 5, Lease: leaseLength})
	if err != nil {
		return err
	}
	defer s.Close()
	load := s.Load(100)
	defer load.Stop()
	const within = time.Minute
	state := func() (l quorum.Releases, err error) {
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
	play := func(id, text string) (r release.Release, err error) {
		digest := fleet.ConfigDigest([]byte(text))
		for _, c := range []quorum.Command{{Op: quorum.Put, Digest: digest, Text: text},
			{Op: quorum.ReleaseBegin, Plan: &release.Plan{ID: id, To: digest, Soak: 2 * time.Second, Back: true, Gate: release.Gate{Requests: 100, Slower: 10}}}} {
			if err := s.Nodes[0].Release(c); err != nil {
				return r, err
			}
		}
		last := ""
		err = cluster.Await(ctx, id+" to end", within, func() bool {
			l, err := state()
			if err != nil {
				return false
			}
			has := 0
			for _, g := range l.Gateways {
				if g.Has == digest {
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
			}
			if now != nil && now.String() != last {
				last = now.String()
				say("%s; %d of 5 have it", last, has)
			}
			return r.ID == id
		})
		return r, err
	}
	r, err := play("good", goodSections)
	if err != nil {
		return err
	}
	if r.State != release.Done {
		return fmt.Errorf("the good one: %s", &r)
	}
	if n := load.Failed.Load(); n > 0 {
		return fmt.Errorf("%d requests failed for the good one", n)
	}
	say("%d requests until now, none failed; the bad one sends a fifth of them nowhere", load.Asked.Load())
	asked := load.Asked.Load()
	if r, err = play("bad", badSections); err != nil {
		return err
	}
	load.Stop()
	fmt.Fprintf(out, "\nof %d requests while the bad one was there %d failed (all at once it would be a fifth); %d of 5 gateways had it at the most\n",
		load.Asked.Load()-asked, load.Failed.Load(), most)
	if r.State != release.Gone || most > 1 {
		return errors.New("the bad one was not stopped at its first gateway")
	}
	return nil
}
