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
	c := &cobra.Command{Use: "sites", Short: "Show the effect of losing whole sites", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	var path string
	var loads, lost []string
	var asJSON bool
	plan := &cobra.Command{Use: "plan -c FILE", Short: "Print what would be served, cross sites and be refused if one or two sites were lost", Args: noArgs,
		Long: "Print the effect of a file's section sites: without a loss, for the loss of each site, and for the loss of each pair of sites if\nthere are at least three. The output has, by class, what each remaining site would serve of its own load and of the load that\n" +
			"crosses, and what would be refused. The load is that of the file, with the changes of --load.",
		RunE: func(c *cobra.Command, _ []string) error {
			conf, err := config.Load(path)
			if err != nil {
				fmt.Fprintln(c.ErrOrStderr(), err)
				return errReported
			}
			sitePlan := conf.SitePlan()
			if sitePlan == nil {
				return fmt.Errorf("%s has no section sites", path)
			}
			load, err := ratesOf(sitePlan, loads)
			if err != nil {
				return fmt.Errorf("%w: %w", err, errUsage)
			}
			cases := append(append([][]string{nil}, sitePlan.SingleLosses()...), sitePlan.PairLosses()...)
			if len(lost) > 0 {
				for _, name := range lost {
					if !hasSite(sitePlan, name) {
						return fmt.Errorf("there is no site %q: %w", name, errUsage)
					}
				}
				cases = [][]string{lost}
			}
			for i, lostSites := range cases {
				outcome := sitePlan.Lose(lostSites, load)
				if asJSON {
					if err := json.NewEncoder(c.OutOrStdout()).Encode(outcome); err != nil {
						return err
					}
					continue
				}
				if i > 0 {
					fmt.Fprintln(c.OutOrStdout())
				}
				if err := showOutcome(c.OutOrStdout(), &outcome); err != nil {
					return err
				}
			}
			return nil
		}}
	plan.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	plan.Flags().StringArrayVar(&loads, "load", nil, "replace a load of the file, as `SITE/CLASS=RATE` in requests per second; can be repeated")
	plan.Flags().StringArrayVar(&lost, "lost", nil, "print only the loss of this `site`; can be repeated for the loss of several sites together")
	plan.Flags().BoolVar(&asJSON, "json", false, "print JSON, one object per loss")
	must(plan.MarkFlagRequired("config"))
	c.AddCommand(plan)
	return c
}

// hasSite reports whether a plan has a site.
func hasSite(p *failoverplan.Plan, name string) bool {
	for _, s := range p.Sites {
		if s.Name == name {
			return true
		}
	}
	return false
}

// ratesOf returns the load by site of a plan, with some rates replaced by those given as SITE/CLASS=RATE.
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
		where, number, hasRate := strings.Cut(text, "=")
		site, class, hasClass := strings.Cut(where, "/")
		rate, err := strconv.ParseFloat(number, 64)
		switch {
		case !hasRate || !hasClass || err != nil || !(rate >= 0 && rate <= 1e9):
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
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  AT\tFROM\tCLASS\tASKED\tSERVED\tREFUSED\tPART")
	for _, allocation := range o.Allocations {
		at, part := allocation.At, "-"
		if at == "" {
			at = "nowhere"
		}
		if allocation.Requested > 0 {
			part = fmt.Sprintf("%.0f%%", 100*allocation.Served/allocation.Requested)
		}
		fmt.Fprintf(table, "  %s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%s\n", at, allocation.From, allocation.Class, allocation.Requested, allocation.Served, allocation.Rejected(), part)
	}
	return table.Flush()
}
