package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"robindrum/internal/config"
	"robindrum/internal/failoverplan"
)

// sitesCommand returns the command sites with its subcommand.
func sitesCommand() *cobra.Command {
	c := &cobra.Command{Use: "sites", Short: "What becomes of a site's load when it is lost whole", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	var path string
	var loads, lost []string
	var plain bool
	plan := &cobra.Command{Use: "plan -c FILE", Short: "Print, for each site lost and each pair, what would be served, cross and be refused", Args: noArgs,
		Long: "Print what a file's section sites comes to, before it happens: for each site lost, and each pair where there are three or more, what every\n" +
			"other site would serve of its own and of what crosses, and what would be refused, by class. The load is the file's, or --load.",
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := config.Load(path)
			if err != nil {
				fmt.Fprintln(c.ErrOrStderr(), err)
				return errReported
			}
			p := f.SitePlan()
			if p == nil {
				return fmt.Errorf("%s has no section sites", path)
			}
			load, err := ratesOf(p, loads)
			if err != nil {
				return fmt.Errorf("%w: %w", err, errUsage)
			}
			cases := append(append([][]string{nil}, p.SingleLosses()...), p.PairLosses()...)
			if len(lost) > 0 {
				for _, name := range lost {
					if !known(p, name) {
						return fmt.Errorf("there is no site %q: %w", name, errUsage)
					}
				}
				cases = [][]string{lost}
			}
			for i, x := range cases {
				o := p.Lose(x, load)
				if plain {
					if err := json.NewEncoder(c.OutOrStdout()).Encode(o); err != nil {
						return err
					}
					continue
				}
				if i > 0 {
					fmt.Fprintln(c.OutOrStdout())
				}
				if err := showOutcome(c.OutOrStdout(), &o); err != nil {
					return err
				}
			}
			return nil
		}}
	plan.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	plan.Flags().StringArrayVar(&loads, "load", nil, "a load in place of the file's, as `SITE/CLASS=RATE` in requests a second; again for more")
	plan.Flags().StringArrayVar(&lost, "lost", nil, "a `site` that is lost; again for more; left out: each, and each pair")
	plan.Flags().BoolVar(&plain, "json", false, "print JSON, a line a loss")
	must(plan.MarkFlagRequired("config"))
	c.AddCommand(plan)
	return c
}

// known reports whether a plan has a site.
func known(p *failoverplan.Plan, name string) bool {
	for _, s := range p.Sites {
		if s.Name == name {
			return true
		}
	}
	return false
}

// ratesOf returns the load by site of a plan, with the given SITE/CLASS=RATE in place of its own.
func ratesOf(p *failoverplan.Plan, given []string) (map[string]failoverplan.Rates, error) {
	load := map[string]failoverplan.Rates{}
	capacity := map[string]failoverplan.Rates{}
	for _, s := range p.Sites {
		load[s.Name], capacity[s.Name] = failoverplan.Rates{}, s.Capacity
		for c, r := range s.Load {
			load[s.Name][c] = r
		}
	}
	for _, text := range given {
		where, number, ok := strings.Cut(text, "=")
		site, class, ok2 := strings.Cut(where, "/")
		rate, err := strconv.ParseFloat(number, 64)
		switch {
		case !ok || !ok2 || err != nil || !(rate >= 0 && rate <= 1e9):
			return nil, fmt.Errorf("--load %q: want SITE/CLASS=RATE", text)
		case load[site] == nil:
			return nil, fmt.Errorf("--load %q: there is no site %q", text, site)
		case capacity[site][class] == 0:
			return nil, fmt.Errorf("--load %q: the site has no capacity of class %q", text, class)
		}
		load[site][class] = rate
	}
	return load, nil
}

// showOutcome prints an outcome with a table of its allocations.
func showOutcome(out io.Writer, o *failoverplan.Outcome) error {
	fmt.Fprintln(out, o)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  AT\tFROM\tCLASS\tASKED\tSERVED\tREFUSED\tPART")
	for _, s := range o.Allocations {
		at, part := s.At, "-"
		if at == "" {
			at = "nowhere"
		}
		if s.Requested > 0 {
			part = fmt.Sprintf("%.0f%%", 100*s.Served/s.Requested)
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%s\n", at, s.From, s.Class, s.Requested, s.Served, s.Rejected(), part)
	}
	return t.Flush()
}
