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
		Long: "Run experiments. The file of an experiment describes a fleet of servers, gateways, a load, events, and checks that decide the exit code.\n" +
			"--engine sim runs experiments on simulated time, with the same results on every machine for the same seed.\n" +
			"--engine loopback runs them in real time, with this program as child processes in front of test servers."}
	c.AddCommand(labRunCommand(), labCompareCommand(), labCalibrateCommand(), labReleaseCommand(), labListCommand())
	return c
}

// labReleaseCommand returns the command that simulates a rollout.
func labReleaseCommand() *cobra.Command {
	var rollout experiment.Rollout
	var seeds int
	var asJSON bool
	c := &cobra.Command{Use: "release", Short: "Simulate the release of a good or bad version to a fleet", Args: noArgs,
		Long: "Simulate the release of a version of the program with the release and drain logic of the quorum.\nGateways drain and restart, and some fail for other reasons.\n" +
			"--mode loop instead restarts the gateways one after the other, and --mode at-once all together;\nboth roll back when the fraction of failed requests exceeds --alarm.",
		RunE: func(c *cobra.Command, _ []string) error {
			if seeds < 1 || seeds > maxCommandSeeds {
				return fmt.Errorf("--seeds must be 1 to %d, got %d: %w", maxCommandSeeds, seeds, errUsage)
			}
			violations, err := runRollouts(c.OutOrStdout(), rollout, seeds, asJSON)
			if err != nil {
				return err
			}
			if violations > 0 && rollout.Mode == "release" {
				return errors.New("more gateways were unavailable than the budget allows")
			}
			return nil
		}}
	rollout.SetDefaults()
	flags := c.Flags()
	flags.IntVar(&rollout.Gateways, "gateways", rollout.Gateways, "number of gateways")
	flags.IntVar(&rollout.Sites, "sites", rollout.Sites, "number of sites")
	flags.IntVar(&rollout.Zones, "zones", rollout.Zones, "number of zones of each site")
	flags.Float64Var(&rollout.Rate, "rate", rollout.Rate, "requests per second over all gateways")
	flags.Float64Var(&rollout.FailureRate, "fails", 0, "fraction of its requests that the new version fails")
	flags.Float64Var(&rollout.Slowdown, "slow", 0, "latency that the new version adds, relative to the old version")
	flags.DurationVar(&rollout.CrashAfter, "crash", 0, "time after which a gateway of the new version crashes; 0: never")
	flags.Float64Var(&rollout.UnplannedFailures, "deaths", 0, "fraction of the gateways that fail in an hour, whatever their version")
	flags.DurationVar(&rollout.FailureDowntime, "down", rollout.FailureDowntime, "how long a gateway that failed is down")
	flags.DurationVar(&rollout.RestartTime, "restart", rollout.RestartTime, "time from the end of a gateway until it serves again")
	flags.DurationVar(&rollout.DrainTime, "drain", rollout.DrainTime, "time until a draining gateway has no requests in flight")
	flags.Float64Var(&rollout.MaxUnavailable, "part", rollout.MaxUnavailable, "fraction of each site's gateways that may be unavailable")
	flags.DurationVar(&rollout.SoakTime, "soak", rollout.SoakTime, "soak time of each wave")
	flags.StringVar(&rollout.Mode, "mode", rollout.Mode, "release, loop or at-once")
	flags.Float64Var(&rollout.AlarmFailureRate, "alarm", rollout.AlarmFailureRate, "fraction of failed requests in a minute above which the modes loop and at-once roll back")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds, starting with 1")
	flags.BoolVar(&asJSON, "json", false, "print JSON, one object per line")
	return c
}

// runRollouts simulates a rollout with each seed from 1 to seeds, and prints the results as a table or as JSON. It returns the number of
// budget violations.
func runRollouts(out io.Writer, rollout experiment.Rollout, seeds int, asJSON bool) (violations int, err error) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if !asJSON {
		fmt.Fprintln(table, "SEED\tEND\tTOOK\tSTOPPED AFTER\tREQUESTS\tHARMED\tHAD IT\tOUT BY PLAN\tMAY BE\tMISSING\tOVER\tDIED\tWHY")
	}
	for i := range seeds {
		rollout.Seed = uint64(i + 1)
		result, err := rollout.Run()
		if err != nil {
			return violations, err
		}
		violations += result.BudgetViolations
		if !asJSON {
			printRollout(table, &result)
			continue
		}
		if err := json.NewEncoder(out).Encode(result); err != nil {
			return violations, err
		}
	}
	return violations, table.Flush()
}

func printRollout(out io.Writer, r *experiment.RolloutResult) {
	fmt.Fprintf(out, "%d\t%s\t%v\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Seed, r.State, r.Duration, r.TimeToHalt, r.Requests, r.HarmedRequests,
		r.MaxUpdated, r.MaxPlannedUnavailable, r.UnavailableLimit, r.MaxUnavailable, r.BudgetViolations, r.UnplannedFailures, r.Reason)
}

// maxCommandSeeds is the maximum number of seeds of a command.
const maxCommandSeeds = 1000

// engineOptions selects the engine that runs experiments and the number of seeds.
type engineOptions struct {
	name  string
	seeds int
}

// addFlags adds the flags of the engine to a command.
func (o *engineOptions) addFlags(c *cobra.Command, seeds int) {
	c.Flags().StringVar(&o.name, "engine", "sim", "sim or loopback")
	c.Flags().IntVar(&o.seeds, "seeds", seeds, "number of seeds, starting with the experiment's own")
}

// check returns an error that wraps errUsage if a flag is invalid.
func (o *engineOptions) check() error {
	if o.seeds < 1 || o.seeds > maxCommandSeeds {
		return fmt.Errorf("--seeds must be 1 to %d, got %d: %w", maxCommandSeeds, o.seeds, errUsage)
	}
	if o.name != "sim" && o.name != "loopback" {
		return fmt.Errorf("--engine must be sim or loopback, got %q: %w", o.name, errUsage)
	}
	return nil
}

// run runs an experiment, and prints the progress of a loopback run.
func (o *engineOptions) run(c *cobra.Command, spec *experiment.Experiment) (*experiment.Report, error) {
	if o.name == "sim" {
		return experiment.Simulate(spec, o.seeds)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("finding the executable of this program: %w", err)
	}
	stderr := c.ErrOrStderr()
	redraw := stderr == os.Stderr && terminal(os.Stderr)
	report, err := experiment.RunLoopback(c.Context(), spec, o.seeds, experiment.LoopbackOptions{Binary: self, Progress: func(p experiment.Progress) {
		line := fmt.Sprintf("%s, seed %d: %v of %v, asked %d, in time %d, late %d, refused %d, failed %d", spec.Name, p.Seed, p.Elapsed, p.Length, p.Requests, p.InTime, p.Late,
			p.Rejected, p.Failed)
		if redraw {
			fmt.Fprintf(stderr, "\r\x1b[K%s", line)
		} else {
			fmt.Fprintln(stderr, line)
		}
	}})
	if redraw {
		fmt.Fprint(stderr, "\r\x1b[K")
	}
	return report, err
}

// exactArgs is cobra.ExactArgs with errUsage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return fmt.Errorf("%w: %w", err, errUsage)
		}
		return nil
	}
}

// labRunCommand returns the command that runs an experiment.
func labRunCommand() *cobra.Command {
	var engine engineOptions
	var overrides []string
	var asJSON, asCSV bool
	var page, plots string
	c := &cobra.Command{Use: "run FILE|NAME", Short: "Run an experiment from a file, or an embedded experiment by its name", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			spec, err := openExperiment(args[0], overrides...)
			if err != nil {
				return err
			}
			if err := engine.check(); err != nil {
				return err
			}
			if asJSON && asCSV {
				return fmt.Errorf("only one of --json and --csv can be set: %w", errUsage)
			}
			report, err := engine.run(c, spec)
			if err != nil {
				return err
			}
			show := report.Print
			if asJSON {
				show = report.JSON
			} else if asCSV {
				show = report.CSV
			}
			if err := errors.Join(show(c.OutOrStdout()), writeCharts(page, plots, report)); err != nil {
				return err
			}
			if len(report.FailedChecks) > 0 {
				return errors.Join(errReported, fmt.Errorf("%d checks failed", len(report.FailedChecks)))
			}
			return nil
		}}
	engine.addFlags(c, 1)
	c.Flags().StringArrayVar(&overrides, "set", nil, "set a field of the experiment, such as gateways.admission=off; can be repeated")
	c.Flags().BoolVar(&asJSON, "json", false, "print the complete report as JSON")
	c.Flags().BoolVar(&asCSV, "csv", false, "print the time series as CSV")
	c.Flags().StringVar(&page, "report", "", "write an HTML page with charts to this `file`")
	c.Flags().StringVar(&plots, "plots", "", "write the charts as PNG and SVG files to this `folder`")
	return c
}

// writeCharts writes the HTML page and the plots, each only if its path is set.
func writeCharts(page, plots string, reports ...*experiment.Report) error {
	if page != "" {
		if err := experiment.WritePage(page, reports...); err != nil {
			return err
		}
	}
	if plots != "" {
		return experiment.WritePlots(plots, reports...)
	}
	return nil
}

// labCompareCommand returns the command that compares two experiments or reports.
func labCompareCommand() *cobra.Command {
	var engine engineOptions
	var overrides [2][]string
	var asJSON bool
	var page, plots string
	c := &cobra.Command{Use: "compare A B", Short: "Compare two experiments over several runs each", Args: exactArgs(2),
		Long: "Run two experiments, or read two reports of lab run --json, and print the medians of both with their difference and its\n" +
			"95% confidence interval, from a paired bootstrap over the seeds. If the interval contains 0, no difference was shown.",
		RunE: func(c *cobra.Command, args []string) error {
			if err := engine.check(); err != nil {
				return err
			}
			var reports []*experiment.Report
			for i, name := range args {
				report, err := loadReport(c, &engine, name, overrides[i])
				if err != nil {
					return err
				}
				reports = append(reports, report)
			}
			comparison, err := experiment.Compare(reports[0], reports[1])
			if err != nil {
				return err
			}
			show := comparison.Print
			if asJSON {
				show = comparison.JSON
			}
			return errors.Join(show(c.OutOrStdout()), writeCharts(page, plots, reports...))
		}}
	engine.addFlags(c, 10)
	c.Flags().StringArrayVar(&overrides[0], "a", nil, "set a field of A, such as gateways.admission=off; can be repeated")
	c.Flags().StringArrayVar(&overrides[1], "b", nil, "set a field of B; can be repeated")
	c.Flags().BoolVar(&asJSON, "json", false, "print the comparison as JSON")
	c.Flags().StringVar(&page, "report", "", "write an HTML page with charts that show both to this `file`")
	c.Flags().StringVar(&plots, "plots", "", "write the charts as PNG and SVG files to this `folder`")
	return c
}

// labCalibrateCommand returns the command that compares the engines.
func labCalibrateCommand() *cobra.Command {
	var seeds int
	c := &cobra.Command{Use: "calibrate [FILE|NAME ...]", Short: "Compare the results of both engines for the given experiments; default: all embedded ones",
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				args = experiments.Names()
			}
			var calibrations []experiment.Calibration
			for _, name := range args {
				spec, err := openExperiment(name)
				if err != nil {
					return err
				}
				calibration := experiment.Calibration{Name: spec.Name}
				for _, engine := range []engineOptions{{"sim", seeds}, {"loopback", seeds}} {
					if err := engine.check(); err != nil {
						return err
					}
					report, err := engine.run(c, spec)
					if err != nil {
						return err
					}
					if engine.name == "sim" {
						calibration.Simulated = report
					} else {
						calibration.Loopback = report
					}
				}
				calibrations = append(calibrations, calibration)
			}
			return experiment.PrintCalibrations(c.OutOrStdout(), calibrations)
		}}
	c.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, starting with the experiment's own")
	return c
}

// loadReport reads a report file, or runs the experiment of that name if the name does not end with .json.
func loadReport(c *cobra.Command, engine *engineOptions, name string, overrides []string) (*experiment.Report, error) {
	if strings.HasSuffix(name, ".json") {
		return experiment.ReadReport(name)
	}
	spec, err := openExperiment(name, overrides...)
	if err != nil {
		return nil, err
	}
	return engine.run(c, spec)
}

// openExperiment reads an experiment file or, if no such file exists, the embedded experiment of that name, and applies the overrides.
func openExperiment(name string, overrides ...string) (*experiment.Experiment, error) {
	text, embedded := experiments.Read(name)
	path := name + ".yaml"
	if _, err := os.Stat(name); !embedded || err == nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("reading the experiment: %w", err)
		}
		path = name
	}
	text, err := experiment.Override(text, overrides...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", err, errUsage)
	}
	return experiment.Parse(path, text)
}

// labListCommand returns the command that lists the embedded experiments.
func labListCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the embedded experiments", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, name := range experiments.Names() {
				spec, err := openExperiment(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(table, "%s\t%s\n", name, spec.Description)
			}
			return table.Flush()
		}}
}
