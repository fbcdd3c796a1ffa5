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

// tryCommand returns the command that runs a demonstration over loopback.
func tryCommand() *cobra.Command {
	var length time.Duration
	var rate int
	var verbose bool
	var scene string
	scenes := append(slices.Clone(demo.Scenes), "lease-loss", "release")
	c := &cobra.Command{Use: "try", Short: "Demonstrate the gateway with test servers on loopback", Args: noArgs,
		Long: "Start servers in two zones, a control plane and a gateway on loopback, send a bounded load and show what happens while one\n" +
			"server is slow, one drains, one crashes and the control plane stops. The exit code is 1 if a rule was violated.",
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			if length <= 0 || rate <= 0 {
				return fmt.Errorf("--length and --rate must be more than 0, got %v and %d: %w", length, rate, errUsage)
			}
			if !slices.Contains(scenes, scene) {
				return fmt.Errorf("--scene must be %s, got %q: %w", strings.Join(scenes, " or "), scene, errUsage)
			}
			if scene == "zone-loss" && !c.Flags().Changed("length") {
				length = 30 * time.Second // the recovery ramp takes longer than the default
			}
			if runScene := map[string]func(context.Context, string, io.Writer) error{"lease-loss": demo.LeaseLoss, "release": demo.Release}[scene]; runScene != nil {
				self, err := os.Executable() // the scene runs several processes of this program
				if err != nil {
					return err
				}
				if err := runScene(c.Context(), self, out); err != nil {
					return err
				}
				fmt.Fprintln(out, "\nall rules kept")
				return nil
			}
			summary, err := demo.Run(c.Context(), demo.Options{Scene: scene, Duration: length, Rate: rate, Out: out, Redraw: out == os.Stdout && terminal(os.Stdout), Verbose: verbose})
			if err != nil {
				return err
			}
			summary.Print(out)
			if err := summary.Violations(); err != nil {
				fmt.Fprintln(c.ErrOrStderr(), "\na rule was violated:", err)
				return errors.Join(errReported, err)
			}
			fmt.Fprintln(out, "\nall rules kept")
			return nil
		}}
	c.Flags().DurationVar(&length, "length", 20*time.Second, "how long the load lasts")
	c.Flags().StringVar(&scene, "scene", demo.Scenes[0], "the scene to run: "+strings.Join(scenes, " or "))
	c.Flags().IntVar(&rate, "rate", 250, "requests per second")
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "also print the log of the gateway")
	return c
}

// terminal reports whether f is a terminal that can redraw a line.
func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
}
