package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"arrowhitch/internal/try"
)

func tryCommand() *cobra.Command {
	var length time.Duration
	var rate int
	var verbose bool
	c := &cobra.Command{Use: "try", Short: "Play the main job on embedded stand-ins", Args: noArgs,
		Long: "Start servers in two zones, a control plane and a gateway on loopback, send a bounded load and show what happens while a\n" +
			"server is slow, one drains, one dies and the control plane goes away. Exits with 1 if a rule broke.",
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			if length <= 0 || rate <= 0 {
				return fmt.Errorf("--length and --rate want more than 0: %w", errUsage)
			}
			s, err := try.Run(c.Context(), try.Options{Length: length, Rate: rate, Out: out, Redraw: out == os.Stdout && terminal(os.Stdout), Verbose: verbose})
			if err != nil {
				return err
			}
			s.Print(out)
			if err := s.Broken(); err != nil {
				fmt.Fprintln(c.ErrOrStderr(), "\na rule broke:", err)
				return errors.Join(errReported, err)
			}
			fmt.Fprintln(out, "\nall rules kept")
			return nil
		}}
	c.Flags().DurationVar(&length, "length", 20*time.Second, "how long the load lasts")
	c.Flags().IntVar(&rate, "rate", 250, "requests a second")
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "the gateway's own log lines as well")
	return c
}

// terminal tells whether somebody looks at f.
func terminal(f *os.File) bool {
	i, err := f.Stat()
	return err == nil && i.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
}
