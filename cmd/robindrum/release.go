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
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/supervisor"
)

// exitRolledBack is the exit code of waiting for a release that halts, was stopped or was rolled back.
const exitRolledBack = 5

const releaseWaitUsage = "wait until the release has ended or halts; exit codes: 0 done, 5 halted, stopped or rolled back"

func releaseCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "release",
		Short: "Release a configuration or a program version to the fleet in waves",
		Long: "Release a configuration or, with --program, a program version to every gateway of the fleet.\n\nA configuration replaces the sections classes, clusters, routes, rate_limits, zones and xds of each gateway's own file.\n" +
			"A program version must be available to each gateway's supervisor. Gateways are drained within the disruption budgets and\nrestarted as the new version.\n\n" +
			"The gateways change in waves: one at each site, a tenth, half, and all. No wave has two zones of a site.\nEach wave must pass a gate that compares it with the other gateways and with the time before the release;\notherwise the release is rolled back or halted.",
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	client := &releaseClient{}
	c.PersistentFlags().StringVarP(&client.addr, "admin", "a", defaultAdmin, adminUsage)
	c.AddCommand(releasePlanCommand(client), releaseStartCommand(client), releaseStatusCommand(client))
	for _, operation := range []releaseOperation{
		{"halt", "Halt the release; every gateway keeps its current configuration and version", quorum.OpHaltRelease},
		{"resume", "Continue a halted release with the wave at which it was halted", quorum.OpResumeRelease},
		{"back", "Roll the release back on every gateway", quorum.OpRollbackRelease},
		{"stop", "End a halted release; every gateway keeps its current configuration and version", quorum.OpStopRelease},
	} {
		c.AddCommand(releaseOperationCommand(client, operation))
	}
	return c
}

// releaseClient sends requests about releases to the admin address of a process of the fleet.
type releaseClient struct {
	addr string
}

func (r *releaseClient) list(c *cobra.Command) (quorum.ReleaseList, error) {
	var list quorum.ReleaseList
	err := callAdmin(c, http.MethodGet, r.addr, "/fleet/releases", &list)
	return list, err
}

func (r *releaseClient) propose(c *cobra.Command, command quorum.Command) error {
	text, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return callAdminWithBody(c, http.MethodPost, r.addr, "/fleet/release", bytes.NewReader(text), io.Discard)
}

// setReleaseTarget sets the plan's target to the program version or, if that is empty, to the digest of the file that args name. It
// returns the text of the file.
func setReleaseTarget(plan *release.Plan, args []string, version string) ([]byte, error) {
	if (len(args) == 0) == (version == "") {
		return nil, fmt.Errorf("want either a file or --program: %w", errUsage)
	}
	if version != "" {
		plan.IsVersionRelease = true
		plan.Target = version
		return nil, supervisor.CheckLabel(version)
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return nil, err
	}
	plan.Target = fleet.ConfigDigest(text)
	return text, nil
}

func releasePlanCommand(client *releaseClient) *cobra.Command {
	var version string
	var asJSON bool
	c := &cobra.Command{
		Use:   "plan [FILE]",
		Short: "Print the waves of a release, and why it would be rejected, without starting it",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			preview, err := client.preview(c, args, version)
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(preview)
			} else {
				preview.print(c.OutOrStdout())
			}
			if err == nil && preview.rejection != "" {
				return exitCode(1)
			}
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the preview as JSON")
	c.Flags().StringVar(&version, "program", "", "program `version`")
	return c
}

// releasePreview describes what a release would do.
type releasePreview struct {
	waves     [][]string
	gateways  int                  // in all waves
	budgets   []drain.BudgetStatus // those of gateways; empty for a configuration release
	rejection string               // why the release could not start; empty: it could
}

// MarshalJSON returns the output of --json.
func (p *releasePreview) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"waves": p.waves, "budgets": p.budgets, "refused": p.rejection})
}

// preview returns the waves of a release to the fleet's gateways. If args or version name a target, it also returns why a release to that
// target could not start.
func (r *releaseClient) preview(c *cobra.Command, args []string, version string) (*releasePreview, error) {
	list, err := r.list(c)
	if err != nil {
		return nil, err
	}
	preview := &releasePreview{budgets: []drain.BudgetStatus{}, waves: release.Waves(list.Gateways), gateways: len(list.Gateways)}
	plan := release.Plan{}
	if len(args) > 0 || version != "" {
		if _, err := setReleaseTarget(&plan, args, version); err != nil {
			return nil, err
		}
		if err := checkReleaseStart(&list, plan); err != nil {
			preview.rejection = err.Error()
		}
	}
	if list.Current != nil {
		preview.rejection = list.Current.String() + " is under way"
	}
	if !plan.IsVersionRelease {
		return preview, nil
	}
	if preview.budgets, err = r.gatewayBudgets(c); err != nil {
		return nil, err
	}
	for _, budget := range preview.budgets {
		if budget.Allowed == 0 {
			preview.rejection = cmp.Or(preview.rejection, "budget "+budget.Name+" allows none to be out")
		}
	}
	return preview, nil
}

// checkReleaseStart returns an error if the fleet in the listed state could not start a release. A configuration counts as stored,
// because it is stored when the release starts.
func checkReleaseStart(list *quorum.ReleaseList, plan release.Plan) error {
	ledger := release.NewLedger()
	ledger.Configs[plan.Target] = ""
	ledger.CurrentConfig = list.CurrentConfig
	ledger.CurrentVersion = list.CurrentVersion
	for _, gateway := range list.Gateways {
		ledger.Gateways[gateway.Name] = gateway
	}
	return ledger.CheckStart(plan)
}

// gatewayBudgets returns the disruption budgets that limit how many gateways are drained at a time.
func (r *releaseClient) gatewayBudgets(c *cobra.Command) ([]drain.BudgetStatus, error) {
	var drains quorum.DrainList
	if err := callAdmin(c, http.MethodGet, r.addr, "/fleet/orders", &drains); err != nil {
		return nil, err
	}
	budgets := []drain.BudgetStatus{}
	for _, budget := range drains.Budgets {
		if !strings.HasPrefix(budget.Scope, "cluster") {
			budgets = append(budgets, budget)
		}
	}
	return budgets, nil
}

func (p *releasePreview) print(out io.Writer) {
	for i, wave := range p.waves {
		fmt.Fprintf(out, "wave %d, %d of %d: %s\n", i+1, len(wave), p.gateways, strings.Join(wave, " "))
	}
	for _, b := range p.budgets {
		fmt.Fprintf(out, "budget %s, %s: %d of %d may be out at once, %d are\n", b.Name, b.Scope, b.Allowed, b.Total, len(b.Unavailable))
	}
	if p.rejection != "" {
		fmt.Fprintf(out, "it would be refused: %s\n", p.rejection)
	}
}

func releaseStartCommand(client *releaseClient) *cobra.Command {
	var version string
	var wait, asJSON bool
	plan := release.Plan{}
	c := &cobra.Command{
		Use:   "start [FILE]",
		Short: "Start the release of a configuration file or of a program version",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := setReleaseTarget(&plan, args, version)
			if err != nil {
				return err
			}
			if err := client.start(c, &plan, text); err != nil {
				return err
			}
			if wait {
				return client.watch(c, plan.ID, asJSON)
			}
			fmt.Fprintf(c.OutOrStdout(), "release %s of %s started\n", plan.ID, plan.Target)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&version, "program", "", "program `version` to release instead of a file")
	f.BoolVar(&wait, "wait", false, releaseWaitUsage)
	f.BoolVar(&asJSON, "json", false, "with --wait, print JSON, one object per change")
	addPlanFlags(c, &plan)
	return c
}

func addPlanFlags(c *cobra.Command, plan *release.Plan) {
	f := c.Flags()
	f.StringVar(&plan.ID, "id", "", "name of the release; if empty, the first 8 characters of the file's digest or of the version")
	f.StringVar(&plan.Reason, "reason", "", "why")
	f.DurationVar(&plan.Grace, "grace", 30*time.Second, "with --program, how long requests in flight at a gateway may take to finish")
	f.DurationVar(&plan.Notice, "notice", 2*time.Second, "with --program, how long a draining gateway still accepts requests but reports that it is not ready")
	f.DurationVar(&plan.Soak, "soak", 30*time.Second, "how long each wave is observed before the next one")
	f.IntVar(&plan.RollbackSpeedup, "faster", 4, "factor by which a rollback is faster than the release")
	f.BoolVar(&plan.RollBackOnFailure, "back", true, "roll back when a wave fails its gate; otherwise halt")
	f.IntVar(&plan.Gate.MinRequests, "requests", 200, "number of requests that a wave must have had to pass its gate")
	f.Float64Var(&plan.Gate.MaxErrorIncrease, "errors", 0.01, "by how much the fraction of failed or rejected requests may rise")
	f.Float64Var(&plan.Gate.MaxMeanRatio, "slower", 1.5, "multiple that the mean latency may reach")
	f.Float64Var(&plan.Gate.MaxTailRatio, "tail", 2, "multiple of the other gateways' p99 latency that at most 3% of the answers may exceed")
	f.Float64Var(&plan.Gate.MaxInTimeLoss, "in-time", 0.05, "by how much the fraction of a class's requests that are answered in time may fall")
	f.Float64Var(&plan.Gate.MaxMemoryRatio, "memory", 1.5, "multiple that the memory of a gateway may reach")
}

// start starts a release, and first stores the text if the release is of a configuration. A plan without an ID gets the beginning of its
// target as its ID.
func (r *releaseClient) start(c *cobra.Command, plan *release.Plan, text []byte) error {
	if plan.ID == "" {
		plan.ID = plan.Target[:min(8, len(plan.Target))]
	}
	plan.Owner = os.Getenv("USER")
	if !plan.IsVersionRelease {
		store := quorum.Command{Op: quorum.OpStoreConfig, Digest: plan.Target, Text: string(text)}
		if err := r.propose(c, store); err != nil {
			return err
		}
	}
	return r.propose(c, quorum.Command{Op: quorum.OpStartRelease, Plan: plan})
}

func releaseStatusCommand(client *releaseClient) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Print the state of the releases and of each gateway",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if asJSON {
				return callAdmin(c, http.MethodGet, client.addr, "/fleet/releases", c.OutOrStdout())
			}
			list, err := client.list(c)
			if err != nil {
				return err
			}
			return printReleases(c.OutOrStdout(), &list)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the quorum's JSON response unchanged")
	return c
}

// releaseOperation is a command that changes the release in progress.
type releaseOperation struct {
	name  string
	short string
	op    quorum.Op
}

func releaseOperationCommand(client *releaseClient, operation releaseOperation) *cobra.Command {
	var wait, asJSON bool
	c := &cobra.Command{
		Use:   operation.name,
		Short: operation.short,
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := client.list(c)
			if err != nil {
				return err
			}
			reason := strings.TrimSpace("by hand, " + os.Getenv("USER"))
			if err := client.propose(c, quorum.Command{Op: operation.op, Text: reason}); err != nil {
				return err
			}
			if !wait || list.Current == nil {
				return nil
			}
			return client.watch(c, list.Current.ID, asJSON)
		},
	}
	c.Flags().BoolVar(&wait, "wait", false, releaseWaitUsage)
	c.Flags().BoolVar(&asJSON, "json", false, "with --wait, print JSON, one object per change")
	return c
}
