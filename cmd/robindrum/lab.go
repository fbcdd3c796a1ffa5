package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"robindrum/internal/experiment"
	experiments "robindrum/lab"
)

// labCommand returns the command lab with its subcommands.
func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Run experiments", Args: noArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
		Long: "Run experiments: a fleet, gateways, a load and what happens, from a file, with checks that decide the exit code.\n" +
			"--engine sim runs them on simulated time, with the same figures on every machine by seed; --engine loopback runs this\n" +
			"program as child processes before stand-in servers, in real time."}
	c.AddCommand(labRun(), labCompare(), labCalibrate(), labRelease(), labList())
	return c
}

// labRelease returns the command that simulates a rollout.
func labRelease() *cobra.Command {
	var r experiment.Rollout
	var seeds int
	var plain bool
	c := &cobra.Command{Use: "release", Short: "Simulate a release of a version over a fleet, good or bad", Args: noArgs,
		Long: "Simulate a release of a version of the program: the quorum's own books decide, gateways drain and start anew, some die by themselves.\n" +
			"--mode loop restarts one after the other until somebody sees the share of failures, --mode at-once all together.",
		RunE: func(c *cobra.Command, _ []string) error {
			if seeds < 1 || seeds > maxCommandSeeds {
				return fmt.Errorf("--seeds wants 1 to 1000, not %d: %w", seeds, errUsage)
			}
			violations, err := runRollouts(c.OutOrStdout(), r, seeds, plain)
			if err != nil {
				return err
			}
			if violations > 0 && r.Mode == "release" {
				return errors.New("more were out than may be")
			}
			return nil
		}}
	r.SetDefaults()
	f := c.Flags()
	f.IntVar(&r.Gateways, "gateways", r.Gateways, "how many")
	f.IntVar(&r.Sites, "sites", r.Sites, "how many")
	f.IntVar(&r.Zones, "zones", r.Zones, "of each site")
	f.Float64Var(&r.Rate, "rate", r.Rate, "requests a second, over all")
	f.Float64Var(&r.FailureRate, "fails", 0, "part of the requests that the new version fails")
	f.Float64Var(&r.Slowdown, "slow", 0, "what the new version takes longer, as a part")
	f.DurationVar(&r.CrashAfter, "crash", 0, "the new version ends by itself after so long; 0: it does not")
	f.Float64Var(&r.UnplannedFailures, "deaths", 0, "part of the gateways that die by themselves in an hour")
	f.DurationVar(&r.FailureDowntime, "down", r.FailureDowntime, "how long such a one is away")
	f.DurationVar(&r.RestartTime, "restart", r.RestartTime, "from a gateway's end to its being in service")
	f.DurationVar(&r.DrainTime, "drain", r.DrainTime, "until a gateway has nothing in hand")
	f.Float64Var(&r.MaxUnavailable, "part", r.MaxUnavailable, "of each site's gateways that may be out")
	f.DurationVar(&r.SoakTime, "soak", r.SoakTime, "of each wave")
	f.StringVar(&r.Mode, "mode", r.Mode, "release, loop or at-once")
	f.Float64Var(&r.AlarmFailureRate, "alarm", r.AlarmFailureRate, "share of failures in a minute that stops a loop")
	f.IntVar(&seeds, "seeds", 1, "how many")
	f.BoolVar(&plain, "json", false, "print JSON, a line each")
	return c
}

// runRollouts simulates a rollout with seeds from 1 on and prints the results, as a table or as JSON. It returns the number of budget
// violations.
func runRollouts(out io.Writer, r experiment.Rollout, seeds int, asJSON bool) (violations int, err error) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if !asJSON {
		fmt.Fprintln(t, "SEED\tEND\tTOOK\tSTOPPED AFTER\tREQUESTS\tHARMED\tHAD IT\tOUT BY PLAN\tMAY BE\tMISSING\tOVER\tDIED\tWHY")
	}
	for i := range seeds {
		r.Seed = uint64(i + 1)
		result, err := r.Run()
		if err != nil {
			return violations, err
		}
		violations += result.BudgetViolations
		if !asJSON {
			printRollout(t, &result)
			continue
		}
		if err := json.NewEncoder(out).Encode(result); err != nil {
			return violations, err
		}
	}
	return violations, t.Flush()
}

func printRollout(out io.Writer, r *experiment.RolloutResult) {
	fmt.Fprintf(out, "%d\t%s\t%v\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Seed, r.State, r.Duration, r.TimeToHalt, r.Requests, r.HarmedRequests,
		r.MaxUpdated, r.MaxPlannedUnavailable, r.UnavailableLimit, r.MaxUnavailable, r.BudgetViolations, r.UnplannedFailures, r.Reason)
}

// maxCommandSeeds is the number of seeds that a command runs at most.
const maxCommandSeeds = 1000

// engine selects how experiments are run.
type engine struct {
	name  string
	seeds int
}

// flags adds the flags of the engine to a command.
func (g *engine) flags(c *cobra.Command, seeds int) {
	c.Flags().StringVar(&g.name, "engine", "sim", "sim or loopback")
	c.Flags().IntVar(&g.seeds, "seeds", seeds, "how many seeds, from the experiment's own on")
}

// check returns errUsage for invalid flags.
func (g *engine) check() error {
	if g.seeds < 1 || g.seeds > maxCommandSeeds {
		return fmt.Errorf("--seeds wants 1 to 1000, not %d: %w", g.seeds, errUsage)
	}
	if g.name != "sim" && g.name != "loopback" {
		return fmt.Errorf("--engine wants sim or loopback, not %q: %w", g.name, errUsage)
	}
	return nil
}

// run runs an experiment, and prints the progress of a loopback run.
func (g *engine) run(c *cobra.Command, e *experiment.Experiment) (*experiment.Report, error) {
	if g.name == "sim" {
		return experiment.Simulate(e, g.seeds)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("this program's own file: %w", err)
	}
	errs := c.ErrOrStderr()
	redraw := errs == os.Stderr && terminal(os.Stderr)
	r, err := experiment.RunLoopback(c.Context(), e, g.seeds, experiment.LoopbackOptions{Binary: self, Progress: func(p experiment.Progress) {
		line := fmt.Sprintf("%s, seed %d: %v of %v, asked %d, in time %d, late %d, refused %d, failed %d", e.Name, p.Seed, p.Elapsed, p.Length, p.Requests, p.InTime, p.Late,
			p.Rejected, p.Failed)
		if redraw {
			fmt.Fprintf(errs, "\r\x1b[K%s", line)
		} else {
			fmt.Fprintln(errs, line)
		}
	}})
	if redraw {
		fmt.Fprint(errs, "\r\x1b[K")
	}
	return r, err
}

// exactly requires n arguments, and returns errUsage otherwise.
func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return fmt.Errorf("%w: %w", err, errUsage)
		}
		return nil
	}
}

// labRun returns the command that runs an experiment.
func labRun() *cobra.Command {
	var g engine
	var sets []string
	var asJSON, asCSV bool
	var page, plots string
	c := &cobra.Command{Use: "run FILE|NAME", Short: "Run an experiment, from a file or by the name of one that comes with the program", Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := openExperiment(args[0], sets...)
			if err != nil {
				return err
			}
			if err := g.check(); err != nil {
				return err
			}
			if asJSON && asCSV {
				return fmt.Errorf("only one of --json and --csv can be set: %w", errUsage)
			}
			r, err := g.run(c, e)
			if err != nil {
				return err
			}
			show := r.Print
			if asJSON {
				show = r.JSON
			} else if asCSV {
				show = r.CSV
			}
			if err := errors.Join(show(c.OutOrStdout()), pictures(page, plots, r)); err != nil {
				return err
			}
			if len(r.FailedChecks) > 0 {
				return errors.Join(errReported, fmt.Errorf("%d checks do not hold", len(r.FailedChecks)))
			}
			return nil
		}}
	g.flags(c, 1)
	c.Flags().StringArrayVar(&sets, "set", nil, "change a field, as gateways.admission=off; may stand several times")
	c.Flags().BoolVar(&asJSON, "json", false, "the whole report, for machines")
	c.Flags().BoolVar(&asCSV, "csv", false, "the curves over time, for machines")
	c.Flags().StringVar(&page, "report", "", "write a page of HTML with pictures to this `file`")
	c.Flags().StringVar(&plots, "plots", "", "write the pictures as PNG and SVG into this `folder`")
	return c
}

// pictures writes the HTML page and the plots that are wanted.
func pictures(page, plots string, l ...*experiment.Report) error {
	if page != "" {
		if err := experiment.WritePage(page, l...); err != nil {
			return err
		}
	}
	if plots != "" {
		return experiment.WritePlots(plots, l...)
	}
	return nil
}

// labCompare returns the command that compares two experiments or reports.
func labCompare() *cobra.Command {
	var g engine
	var sets [2][]string
	var asJSON bool
	var page, plots string
	c := &cobra.Command{Use: "compare A B", Short: "Run two experiments several times and tell their differences from chance", Args: exactly(2),
		Long: "Run two experiments, or take two reports of lab run --json, and print medians of both with the difference and its 95%\n" +
			"confidence interval, by a paired bootstrap over seeds. Where the interval holds 0 there is no difference.",
		RunE: func(c *cobra.Command, args []string) error {
			if err := g.check(); err != nil {
				return err
			}
			var l []*experiment.Report
			for i, name := range args {
				r, err := report(c, &g, name, sets[i])
				if err != nil {
					return err
				}
				l = append(l, r)
			}
			d, err := experiment.Compare(l[0], l[1])
			if err != nil {
				return err
			}
			show := d.Print
			if asJSON {
				show = d.JSON
			}
			return errors.Join(show(c.OutOrStdout()), pictures(page, plots, l...))
		}}
	g.flags(c, 10)
	c.Flags().StringArrayVar(&sets[0], "a", nil, "change a field of A, as gateways.admission=off; may stand several times")
	c.Flags().StringArrayVar(&sets[1], "b", nil, "the same of B")
	c.Flags().BoolVar(&asJSON, "json", false, "for machines")
	c.Flags().StringVar(&page, "report", "", "write a page of HTML with both laid over each other to this `file`")
	c.Flags().StringVar(&plots, "plots", "", "write the pictures as PNG and SVG into this `folder`")
	return c
}

// labCalibrate returns the command that compares the engines.
func labCalibrate() *cobra.Command {
	var seeds int
	c := &cobra.Command{Use: "calibrate [FILE|NAME ...]", Short: "Hold the simulated engine against the loopback one; none named: all that come with the program",
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				args = experiments.Names()
			}
			var l []experiment.Calibration
			for _, name := range args {
				e, err := openExperiment(name)
				if err != nil {
					return err
				}
				k := experiment.Calibration{Name: e.Name}
				for _, g := range []engine{{"sim", seeds}, {"loopback", seeds}} {
					if err := g.check(); err != nil {
						return err
					}
					r, err := g.run(c, e)
					if err != nil {
						return err
					}
					if g.name == "sim" {
						k.Simulated = r
					} else {
						k.Loopback = r
					}
				}
				l = append(l, k)
			}
			return experiment.PrintCalibrations(c.OutOrStdout(), l)
		}}
	c.Flags().IntVar(&seeds, "seeds", 1, "how many seeds, from the experiment's own on")
	return c
}

// report reads a report file, or runs the experiment of that name.
func report(c *cobra.Command, g *engine, name string, sets []string) (*experiment.Report, error) {
	if strings.HasSuffix(name, ".json") {
		return experiment.ReadReport(name)
	}
	e, err := openExperiment(name, sets...)
	if err != nil {
		return nil, err
	}
	return g.run(c, e)
}

// openExperiment reads an experiment file or, if there is none of that name, an experiment of the program, with some fields changed.
func openExperiment(name string, sets ...string) (*experiment.Experiment, error) {
	text, shipped := experiments.Read(name)
	path := name + ".yaml"
	if _, err := os.Stat(name); !shipped || err == nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("reading the experiment: %w", err)
		}
		path = name
	}
	text, err := experiment.Override(text, sets...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", err, errUsage)
	}
	return experiment.Parse(path, text)
}

// labList returns the command that lists the experiments in the program.
func labList() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the experiments that come with the program", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, n := range experiments.Names() {
				e, err := openExperiment(n)
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%s\t%s\n", n, e.Description)
			}
			return t.Flush()
		}}
}
