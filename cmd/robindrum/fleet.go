package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/config"
	"robindrum/internal/fleet"
	"robindrum/internal/gateway"
	"robindrum/internal/membership"
	"robindrum/internal/quorum"
)

func fleetCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{Use: "fleet", Short: "Ask a running gateway or witness about its fleet", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.PersistentFlags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "the process's admin `address`")
	c.AddCommand(
		&cobra.Command{Use: "status", Short: "How this process stands in its fleet", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
			var s fleet.Status
			if err := ask(c, http.MethodGet, addr, "/fleet", &s); err != nil {
				return err
			}
			return showFleet(c.OutOrStdout(), &s)
		}},
		&cobra.Command{Use: "members", Short: "Who is in the fleet, as this process sees it", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
			var s fleet.Status
			if err := ask(c, http.MethodGet, addr, "/fleet", &s); err != nil {
				return err
			}
			return showMembers(c.OutOrStdout(), &s)
		}},
		&cobra.Command{Use: "leases", Short: "Which duties are held, by whom, with which token", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error {
			var l quorum.LeaseList
			if err := ask(c, http.MethodGet, addr, "/fleet/leases", &l); err != nil {
				return err
			}
			return showLeases(c.OutOrStdout(), &l)
		}},
		&cobra.Command{Use: "revoke LEASE", Short: "Have a lease end with the length that its holder was granted last", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				if err := ask(c, http.MethodPost, addr, "/fleet/revoke?lease="+url.QueryEscape(args[0]), io.Discard); err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s is not renewed any more\n", args[0])
				return nil
			}})
	return c
}

func showFleet(out io.Writer, s *fleet.Status) error {
	states := map[membership.State]int{}
	for _, m := range s.Members {
		states[m.State]++
	}
	fmt.Fprintf(out, "fleet %s, member %s (site %s, %s), birth %d\n", s.Name, s.Self.Name, orNone(s.Self.Site), s.Self.State, s.Self.Incarnation)
	fmt.Fprintf(out, "members: %d known", len(s.Members))
	for _, state := range []membership.State{membership.Serving, membership.Joining, membership.Draining, membership.Leaving, membership.Witness, membership.Suspect, membership.Dead} {
		if n := states[state]; n > 0 {
			fmt.Fprintf(out, ", %d %s", n, state)
		}
	}
	fmt.Fprintln(out)
	if s.Conflicts > 0 {
		fmt.Fprintf(out, "NAMES CLAIMED BY ANOTHER ADDRESS: %d times, see the log\n", s.Conflicts)
	}
	switch k := s.Contact; {
	case k.Error != "":
		fmt.Fprintf(out, "quorum: NO LEADER ANSWERS: %s\n", k.Error)
	case k.Age < 0:
		fmt.Fprintln(out, "quorum: not asked yet")
	default:
		fmt.Fprintf(out, "quorum: leader at %s answered %s ago\n", k.Leader, seconds(k.Age.Seconds()))
	}
	if v := s.Vote; v != nil {
		fmt.Fprintf(out, "vote: %s, term %d, %d entries, %d KiB of log", v.State, v.Term, v.Applied, v.Bytes>>10)
		if v.Leader != "" {
			fmt.Fprintf(out, ", leader %s", v.Leader)
		}
		fmt.Fprintln(out)
		if v.Reason != "" {
			fmt.Fprintf(out, "  %s\n", v.Reason)
		}
	}
	if s.NoVote != "" {
		fmt.Fprintf(out, "THIS VOTER DOES NOT VOTE: %s\n", s.NoVote)
	}
	if s.Stale != "" {
		fmt.Fprintf(out, "STALE: %s\n", s.Stale)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, d := range s.Tasks {
		if i == 0 {
			fmt.Fprintln(t, "DUTY\tSTATE\tTOKEN\tFOR\tGRANTS\tOVERDUE\tLAST ERROR")
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%d\t%s\n", d.Name, d.State, d.Token, seconds((s.Now - d.Since).Seconds()), d.TimesLed, d.TimesOverdue, d.Error)
	}
	return t.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func showMembers(out io.Writer, s *fleet.Status) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tSITE\tZONE\tSTATE\tFOR\tADDRESS\tPROGRAM\tCONFIGURATION\tBIRTH")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", m.Name, m.Site, m.Zone, m.State, seconds((s.Now - m.Since).Seconds()), m.Address, m.Program, m.Config, m.Incarnation)
	}
	return t.Flush()
}

func showLeases(out io.Writer, l *quorum.LeaseList) error {
	if !l.Fresh {
		fmt.Fprintf(out, "NO LEADER: as voter %s knew them last\n", l.Voter)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "LEASE\tHOLDER\tTOKEN\tLEFT\tLENGTH\tIN LINE")
	for _, v := range l.Leases {
		name := orNone(v.Holder.Name)
		if v.Revoked {
			name += " (revoked)"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\n", v.Name, name, v.Token, seconds(v.Remaining.Seconds()), v.Length, strings.Join(v.Waiters, " "))
	}
	return t.Flush()
}

// showSubscription prints how the gateway lives on its site's subscription, where there is one.
func showSubscription(out io.Writer, s *gateway.Status) error {
	sub := s.Subscription
	if sub == nil {
		return nil
	}
	fmt.Fprintf(out, "subscription: %s for %s", sub.Mode, seconds(sub.Since))
	if sub.Holder != "" {
		fmt.Fprintf(out, ", last word of %s (token %d, number %d) %s ago", sub.Holder, sub.Token, sub.Number, seconds(sub.Heard))
	}
	fmt.Fprintln(out)
	if sub.Stale != "" {
		fmt.Fprintf(out, "STALE: %s\n", sub.Stale)
	}
	return nil
}

func witnessCommand() *cobra.Command {
	var path string
	var parent, only bool
	c := &cobra.Command{Use: "witness -c FILE", Short: "Vote in a fleet and serve no traffic", Args: noArgs,
		Long: "Vote in a fleet and serve no traffic, until SIGTERM: a third place beside two sites, so that a majority outlasts either.\nThe file has the sections fleet, admin and log. Ends with exit code 1 where it cannot vote any more.",
		RunE: func(c *cobra.Command, _ []string) error {
			ctx := c.Context()
			if parent {
				var cancel context.CancelFunc
				ctx, cancel = untilParent(ctx, c.InOrStdin())
				defer cancel()
			}
			if only {
				w, err := config.LoadWitness(path)
				if err != nil {
					fmt.Fprintln(c.ErrOrStderr(), err)
					return errReported
				}
				for _, text := range w.Warnings() {
					fmt.Fprintf(c.ErrOrStderr(), "%s: warning: %s\n", path, text)
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: voter %s, one of %d: good\n", path, w.Fleet.Member, len(w.Fleet.Quorum.Voters))
				return nil
			}
			return witness(ctx, path, c.ErrOrStderr())
		}}
	c.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	c.Flags().BoolVar(&only, "check", false, "only say whether the file can be used")
	c.Flags().BoolVar(&parent, "with-parent", false, "end, as with SIGTERM, when standard input ends")
	must(c.Flags().MarkHidden("with-parent"))
	must(c.MarkFlagRequired("config"))
	return c
}

func witness(ctx context.Context, path string, errs io.Writer) error {
	w, err := config.LoadWitness(path)
	if err != nil {
		return err
	}
	log := logger(w.Log, errs)
	for _, text := range w.Warnings() {
		log.Warn(text)
	}
	f, err := fleet.New(&w.Fleet, "", "", membership.Witness, log)
	if err != nil {
		return err
	}
	defer f.Stop(time.Second)
	if why := f.NoVote(); why != "" {
		return fmt.Errorf("a witness that cannot vote is of no use: %s", why)
	}
	if w.Admin.Address != "none" {
		l, err := net.Listen("tcp", w.Admin.Address)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		mux := http.NewServeMux()
		mux.Handle("/fleet", f.Handler())
		mux.Handle("/fleet/", f.Handler())
		s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
		defer s.Close()
		go func() { _ = s.Serve(l) }() // ends with Close
		log.Info("listening for operators", "address", l.Addr().String())
	}
	f.Start()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if why := f.NoVote(); why != "" {
			return fmt.Errorf("this witness has stopped voting: %s", why)
		}
	}
}
