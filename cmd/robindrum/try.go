package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/demo"
)

// tryCommand returns the command that runs a demonstration on loopback.
func tryCommand() *cobra.Command {
	var length time.Duration
	var rate int
	var verbose bool
	var scene string
	scenes := append(slices.Clone(demo.Scenes), "lease-loss", "release")
	c := &cobra.Command{Use: "try", Short: "Play the main job on embedded stand-ins", Args: noArgs,
		Long: "Start servers in two zones, a control plane and a gateway on loopback, send a bounded load and show what happens while a\n" +
			"server is slow, one drains, one dies and the control plane goes away. Exits with 1 if a rule broke.",
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			if length <= 0 || rate <= 0 {
				return fmt.Errorf("--length and --rate want more than 0: %w", errUsage)
			}
			if !slices.Contains(scenes, scene) {
				return fmt.Errorf("--scene wants %s, not %q: %w", strings.Join(scenes, " or "), scene, errUsage)
			}
			if scene == "zone-loss" && !c.Flags().Changed("length") {
				length = 30 * time.Second // the recovery ramp takes longer than the default
			}
			if play := map[string]func(context.Context, string, io.Writer) error{"lease-loss": demo.LeaseLoss, "release": demo.Release}[scene]; play != nil {
				self, err := os.Executable() // the scene starts several processes of it
				if err != nil {
					return err
				}
				if err := play(c.Context(), self, out); err != nil {
					return err
				}
				fmt.Fprintln(out, "\nall rules kept")
				return nil
			}
			s, err := demo.Run(c.Context(), demo.Options{Scene: scene, Duration: length, Rate: rate, Out: out, Redraw: out == os.Stdout && terminal(os.Stdout), Verbose: verbose})
			if err != nil {
				return err
			}
			s.Print(out)
			if err := s.Violations(); err != nil {
				fmt.Fprintln(c.ErrOrStderr(), "\na rule broke:", err)
				return errors.Join(errReported, err)
			}
			fmt.Fprintln(out, "\nall rules kept")
			return nil
		}}
	c.Flags().DurationVar(&length, "length", 20*time.Second, "how long the load lasts")
	c.Flags().StringVar(&scene, "scene", demo.Scenes[0], "what is played: "+strings.Join(scenes, " or "))
	c.Flags().IntVar(&rate, "rate", 250, "requests a second")
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "the gateway's own log lines as well")
	return c
}

// terminal reports whether f is a terminal that can redraw a line.
func terminal(f *os.File) bool {
	i, err := f.Stat()
	return err == nil && i.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
}
