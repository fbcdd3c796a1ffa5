package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/supervisor"
)

// exitBack is a release that went back, or halts.
const exitBack = 5

func releaseCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{Use: "release", Short: "Take a configuration or a version of the program over a fleet in waves, with a halt and a way back", Args: noArgs,
		Long: "A release brings the sections classes, clusters, routes, rate_limits, zones and xds of a file to every gateway of the fleet; all else stays each\n" +
			"process's own. With --program it names a version that each gateway's supervisor has: gateways are drained for it within the budgets of all drains.\n" +
			"It goes in waves: one gateway a site, a tenth, half, all, never two zones of a site in one; each is judged by what it shows.",
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.PersistentFlags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "any process's admin `address`")
	state := func(c *cobra.Command) (l quorum.ReleaseList, err error) {
		err = ask(c, http.MethodGet, addr, "/fleet/releases", &l)
		return l, err
	}
	do := func(c *cobra.Command, x quorum.Command) error {
		text, err := json.Marshal(x)
		if err != nil {
			return err
		}
		return send(c, http.MethodPost, addr, "/fleet/release", bytes.NewReader(text), io.Discard)
	}
	var wait, plain bool
	var version string
	p := release.Plan{}
	// what says what is to be released: a file's text, or a version.
	what := func(args []string) (text []byte, err error) {
		switch {
		case (len(args) == 0) == (version == ""):
			return nil, fmt.Errorf("want a file, or --program: %w", errUsage)
		case version != "":
			p.OfProgram, p.Target = true, version
			return nil, supervisor.CheckLabel(version)
		}
		if text, err = os.ReadFile(args[0]); err == nil {
			p.Target = fleet.ConfigDigest(text)
		}
		return text, err
	}
	planned := &cobra.Command{Use: "plan [FILE]", Short: "Print the waves in which a release would go, and what would be refused, without doing it", Args: cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
		l, err := state(c)
		if err != nil {
			return err
		}
		waves, budgets, why := release.Waves(l.Gateways), []drain.BudgetStatus{}, ""
		if len(args) > 0 || version != "" {
			if _, err := what(args); err != nil {
				return err
			}
			b := release.Ledger{Gateways: map[string]release.Gateway{}, Configs: map[string]string{p.Target: ""}, CurrentConfig: l.CurrentConfig, CurrentVersion: l.CurrentVersion}
			for _, g := range l.Gateways {
				b.Gateways[g.Name] = g
			}
			if err := b.CheckStart(p); err != nil {
				why = err.Error()
			}
		}
		if l.Current != nil {
			why = l.Current.String() + " is under way"
		}
		var o quorum.DrainList
		if p.OfProgram {
			if err := ask(c, http.MethodGet, addr, "/fleet/orders", &o); err != nil {
				return err
			}
			for _, b := range o.Budgets {
				if strings.HasPrefix(b.Scope, "cluster") {
					continue
				}
				if budgets = append(budgets, b); b.Allowed == 0 {
					why = cmp.Or(why, "budget "+b.Name+" allows none to be out")
				}
			}
		}
		if plain {
			err := json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"waves": waves, "budgets": budgets, "refused": why})
			if err == nil && why != "" {
				err = exitCode(1)
			}
			return err
		}
		for i, w := range waves {
			fmt.Fprintf(c.OutOrStdout(), "wave %d, %d of %d: %s\n", i+1, len(w), len(l.Gateways), strings.Join(w, " "))
		}
		for _, b := range budgets {
			fmt.Fprintf(c.OutOrStdout(), "budget %s, %s: %d of %d may be out at once, %d are\n", b.Name, b.Scope, b.Allowed, b.Total, len(b.Unavailable))
		}
		if why != "" {
			fmt.Fprintf(c.OutOrStdout(), "it would be refused: %s\n", why)
			return exitCode(1)
		}
		return nil
	}}
	planned.Flags().BoolVar(&plain, "json", false, "print JSON")
	planned.Flags().StringVar(&version, "program", "", "a `version` of the program")
	c.AddCommand(planned)
	start := &cobra.Command{Use: "start [FILE]", Short: "Start a release of a file's sections, or of a version of the program", Args: cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
		text, err := what(args)
		if err != nil {
			return err
		}
		if p.ID == "" {
			p.ID = p.Target[:min(8, len(p.Target))]
		}
		p.Owner = os.Getenv("USER")
		if !p.OfProgram {
			if err := do(c, quorum.Command{Op: quorum.OpStoreConfig, Digest: p.Target, Text: string(text)}); err != nil {
				return err
			}
		}
		if err := do(c, quorum.Command{Op: quorum.OpStartRelease, Plan: &p}); err != nil {
			return err
		}
		if !wait {
			fmt.Fprintf(c.OutOrStdout(), "release %s of %s begins\n", p.ID, p.Target)
			return nil
		}
		return watch(c, state, p.ID, plain)
	}}
	f := start.Flags()
	f.StringVar(&version, "program", "", "a `version` of the program, in place of a file")
	f.DurationVar(&p.Grace, "grace", 30*time.Second, "with --program, how long what a gateway has in hand is waited for")
	f.DurationVar(&p.Notice, "notice", 2*time.Second, "with --program, how long a gateway still takes what comes, with its readiness off")
	f.Float64Var(&p.Gate.MaxTailRatio, "tail", 2, "multiple of the others' p99 beyond which three of a hundred answers are too many")
	f.Float64Var(&p.Gate.MaxInTimeLoss, "in-time", 0.05, "part of a class's requests that may be less in time")
	f.StringVar(&p.ID, "id", "", "the release's name; left out: the file's digest")
	f.StringVar(&p.Reason, "reason", "", "why")
	f.DurationVar(&p.Soak, "soak", 30*time.Second, "how long each wave shows what it does")
	f.IntVar(&p.RollbackSpeedup, "faster", 4, "how many times faster it goes back")
	f.BoolVar(&p.RollBackOnFailure, "back", true, "a gate that fails has all go back; else it halts")
	f.IntVar(&p.Gate.MinRequests, "requests", 200, "that a wave must have had to be judged")
	f.Float64Var(&p.Gate.MaxErrorIncrease, "errors", 0.01, "failed or refused requests that may be more, as a part of all")
	f.Float64Var(&p.Gate.MaxMeanRatio, "slower", 1.5, "multiple of the mean time of an answer that is too much")
	f.Float64Var(&p.Gate.MaxMemoryRatio, "memory", 1.5, "multiple of a gateway's memory before that is too much")
	f.BoolVar(&wait, "wait", false, "wait until it has ended or halts; exit code 0 done, 5 halted or back")
	f.BoolVar(&plain, "json", false, "with --wait, print JSON, a line a change")
	c.AddCommand(start)
	var raw bool
	status := &cobra.Command{Use: "status", Short: "How the release stands, and who has what", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
		if raw {
			return ask(c, http.MethodGet, addr, "/fleet/releases", c.OutOrStdout())
		}
		l, err := state(c)
		if err != nil {
			return err
		}
		return showReleases(c.OutOrStdout(), &l)
	}}
	status.Flags().BoolVar(&raw, "json", false, "print what the quorum says as it is")
	c.AddCommand(status)
	for _, x := range []struct {
		name, what string
		op         quorum.Op
	}{{"halt", "Have it go no further; everyone keeps what it has", quorum.OpHaltRelease}, {"resume", "Go on with the wave that was halted", quorum.OpResumeRelease},
		{"back", "Have every gateway go back to what it had", quorum.OpRollbackRelease}, {"stop", "End a halted release where it stands", quorum.OpStopRelease}} {
		var wait, plain bool
		hand := &cobra.Command{Use: x.name, Short: x.what, Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
			l, err := state(c)
			if err == nil {
				err = do(c, quorum.Command{Op: x.op, Text: strings.TrimSpace("by hand, " + os.Getenv("USER"))})
			}
			if err != nil || !wait || l.Current == nil {
				return err
			}
			return watch(c, state, l.Current.ID, plain)
		}}
		hand.Flags().BoolVar(&wait, "wait", false, "wait until the release has ended or halts; exit code 0 done, 5 halted or back")
		hand.Flags().BoolVar(&plain, "json", false, "with --wait, print JSON, a line a change")
		c.AddCommand(hand)
	}
	return c
}

// watch prints a release's changes until it has ended or halts.
func watch(c *cobra.Command, state func(*cobra.Command) (quorum.ReleaseList, error), id string, plain bool) error {
	last := ""
	for {
		l, err := state(c)
		var r *release.Release
		if err == nil {
			if r = l.Current; r == nil || r.ID != id {
				r = nil
				for i := range l.Ended {
					if l.Ended[i].ID == id {
						r = &l.Ended[i]
					}
				}
			}
		}
		if r != nil {
			if line := r.String(); line != last {
				last = line
				if plain {
					if err := json.NewEncoder(c.OutOrStdout()).Encode(r); err != nil {
						return err
					}
				} else {
					fmt.Fprintln(c.OutOrStdout(), line)
				}
			}
			switch r.State {
			case release.Done:
				return nil
			case release.Halted, release.RolledBack, release.Stopped:
				return exitCode(exitBack)
			}
		}
		select {
		case <-c.Context().Done():
			return c.Context().Err()
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func showReleases(out io.Writer, l *quorum.ReleaseList) error {
	if !l.Fresh {
		fmt.Fprintf(out, "NO LEADER: as voter %s knew them last. Nothing goes on\n", l.Voter)
	}
	if l.Current != nil {
		fmt.Fprintf(out, "%s\n", l.Current)
	} else {
		fmt.Fprintln(out, "no release is under way; requests, bad and mean are as of the end of the last one, or of the last change")
	}
	for i := len(l.Ended) - 1; i >= max(0, len(l.Ended)-5); i-- {
		fmt.Fprintf(out, "  ended %s ago: %s\n", seconds((l.Now - l.Ended[i].StateSince).Seconds()), &l.Ended[i])
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "GATEWAY\tSITE\tZONE\tHAS\tIS TO HAVE\tRUNS AS\tIS TO RUN AS\tREQUESTS\tBAD\tMEAN\tMEMORY\tREFUSED")
	name := func(digest string) string {
		if digest == "" {
			return "its own file"
		}
		return digest[:min(12, len(digest))]
	}
	for _, g := range l.Gateways {
		has := name(g.Config)
		if !g.Responding {
			has = "NO ANSWER"
		}
		mean := 0.0
		if g.Served > 0 {
			mean = 1000 * g.LatencySeconds / float64(g.Served)
		}
		runs, to := cmp.Or(g.Version, "not supervised"), cmp.Or(l.DesiredVersions[g.Name], "-")
		if !g.Responding {
			runs = "NO ANSWER"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%.1f ms\t%d MiB\t%s\n", g.Name, g.Site, g.Zone, has, name(l.DesiredConfigs[g.Name]), runs, to, g.Accepted, g.Failed, mean, g.Memory>>20,
			strings.TrimSpace(g.ConfigRejected+" "+g.VersionRejected))
	}
	return t.Flush()
}
