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
	var fleet, from string
	var goals []string
	var o experiment.PlanOptions
	var confirm, asJSON bool
	c := &cobra.Command{Use: "plan -f FLEET -t CAPTURE --goal CLASS=PART", Short: "Say what breaks first, how many servers a goal needs, and what the loss of a zone does", Args: noArgs,
		Long: "Plan capacity from a captured load and a fleet, which is an experiment's file without load. An analytic bound first, then the\n" +
			"simulated engine; --confirm replays the load over loopback and prints prediction against measurement.",
		RunE: func(c *cobra.Command, _ []string) error {
			for _, text := range goals {
				g, err := experiment.ParseGoal(text)
				if err != nil {
					return fmt.Errorf("%w: %w", err, errUsage)
				}
				o.Goals = append(o.Goals, g)
			}
			if !(o.Rate >= 0 && o.Rate <= 1e6) || o.Seeds < 1 || o.Seeds > 100 {
				return fmt.Errorf("--rate wants 0 to 1000000 and --seeds 1 to 100: %w", errUsage)
			}
			e, err := experiment.OpenFleet(fleet)
			if err != nil {
				return err
			}
			k, err := capture.Open(from)
			if err != nil {
				return err
			}
			p, err := experiment.MakePlan(e, k, o)
			if err != nil {
				return err
			}
			var confirmed error
			if confirm {
				self, err := os.Executable()
				if err != nil {
					return fmt.Errorf("this program's own file: %w", err)
				}
				confirmed = p.Confirm(c.Context(), experiment.LoopbackOptions{Binary: self})
			}
			show := p.Print
			if asJSON {
				show = p.JSON
			}
			return errors.Join(show(c.OutOrStdout()), confirmed)
		}}
	c.Flags().StringVarP(&fleet, "fleet", "f", "", "the fleet's `file`")
	c.Flags().StringVarP(&from, "trace", "t", "", "the capture's `file`")
	c.Flags().StringArrayVar(&goals, "goal", nil, "the part of a class that is to be in time, as seat-hold=0.99; 0.99 for all classes; may stand several times")
	c.Flags().Float64Var(&o.Rate, "rate", 0, "requests a second to plan for; 0: the capture's")
	c.Flags().IntVar(&o.Seeds, "seeds", 3, "how many seeds")
	c.Flags().BoolVar(&confirm, "confirm", false, "replay the load over loopback as well")
	c.Flags().BoolVar(&asJSON, "json", false, "for machines")
	must(c.MarkFlagRequired("fleet"))
	must(c.MarkFlagRequired("trace"))
	return c
}
