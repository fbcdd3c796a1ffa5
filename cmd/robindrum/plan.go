package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"robindrum/internal/capture"
	"robindrum/internal/experiment"
)

// planCommand returns the command that plans capacity from a capture.
func planCommand() *cobra.Command {
	var fleetPath, tracePath string
	var goals []string
	var options experiment.PlanOptions
	var confirm, asJSON bool
	c := &cobra.Command{Use: "plan -f FLEET -t CAPTURE --goal CLASS=PART", Short: "Plan capacity: what fails first, how many servers a goal needs, and the effect of losing a zone", Args: noArgs,
		Long: "Plan capacity from a captured load and a fleet, which is an experiment file. The load in that file, if any, is ignored.\nThe plan has an analytic bound and the results of the simulated engine.\n" +
			"--confirm also replays the load on the loopback engine, and prints the predictions beside the measurements.",
		RunE: func(c *cobra.Command, _ []string) error {
			for _, text := range goals {
				goal, err := experiment.ParseGoal(text)
				if err != nil {
					return fmt.Errorf("%w: %w", err, errUsage)
				}
				options.Goals = append(options.Goals, goal)
			}
			if !(options.Rate >= 0 && options.Rate <= 1e6) || options.Seeds < 1 || options.Seeds > 100 {
				return fmt.Errorf("--rate must be 0 to 1000000 and --seeds 1 to 100, got %v and %d: %w", options.Rate, options.Seeds, errUsage)
			}
			fleet, err := experiment.OpenFleet(fleetPath)
			if err != nil {
				return err
			}
			trace, err := capture.Open(tracePath)
			if err != nil {
				return err
			}
			plan, err := experiment.MakePlan(fleet, trace, options)
			if err != nil {
				return err
			}
			var confirmed error
			if confirm {
				self, err := os.Executable()
				if err != nil {
					return fmt.Errorf("finding the executable of this program: %w", err)
				}
				confirmed = plan.Confirm(c.Context(), experiment.LoopbackOptions{Binary: self})
			}
			show := plan.Print
			if asJSON {
				show = plan.JSON
			}
			return errors.Join(show(c.OutOrStdout()), confirmed)
		}}
	c.Flags().StringVarP(&fleetPath, "fleet", "f", "", "experiment `file` that describes the fleet")
	c.Flags().StringVarP(&tracePath, "trace", "t", "", "`file` that the command capture has written")
	c.Flags().StringArrayVar(&goals, "goal", nil, "fraction of a class's requests to answer in time, such as seat-hold=0.99, or 0.99 for all classes together; can be repeated")
	c.Flags().Float64Var(&options.Rate, "rate", 0, "requests per second to plan for; 0: the rate of the capture")
	c.Flags().IntVar(&options.Seeds, "seeds", 3, "number of seeds")
	c.Flags().BoolVar(&confirm, "confirm", false, "also replay the load on the loopback engine")
	c.Flags().BoolVar(&asJSON, "json", false, "print the plan as JSON")
	must(c.MarkFlagRequired("fleet"))
	must(c.MarkFlagRequired("trace"))
	return c
}
