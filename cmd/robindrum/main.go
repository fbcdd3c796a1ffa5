// Robindrum is a load-balancing gateway: it takes a YAML file, serves several clusters behind its listeners, and follows
// endpoints from the file, from files of resources, or from control planes that speak xDS.
//
// Exit codes: 0 all is well, 1 the command failed or its file cannot be used, 2 the command line cannot be used; of orders that
// were waited for 3 where they are overdue 4 where they were cancelled, and of releases 5 where they halt or went back; 6 a supervisor gave
// up, 10 a supervised gateway asks to be started again.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

// errUsage marks errors of the command line.
var errUsage = errors.New("see -h")

// root returns the program's command with all subcommands.
func root() *cobra.Command {
	c := &cobra.Command{Use: "robindrum", Short: "A load-balancing gateway", SilenceUsage: true, SilenceErrors: true,
		Args: noArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", err, errUsage) })
	c.AddCommand(serveCommand(), checkCommand(), statusCommand(), superviseCommand())
	c.AddCommand(fleetCommand(), witnessCommand(), drainCommand(), undrainCommand(), ordersCommand(), releaseCommand(), sitesCommand())
	c.AddCommand(tryCommand(), labCommand(), captureCommand(), planCommand(), versionCommand())
	return c
}

// noArgs is cobra.NoArgs with errUsage.
func noArgs(c *cobra.Command, args []string) error {
	if err := cobra.NoArgs(c, args); err != nil {
		return fmt.Errorf("%w: %w", err, errUsage)
	}
	return nil
}

// versionCommand returns the command that prints the build.
func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Say which build this is", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version := "unknown"
			if i, ok := debug.ReadBuildInfo(); ok {
				version = i.Main.Version + " " + i.GoVersion
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "robindrum", version)
			return err
		}}
}

// run runs the program with arguments and returns its exit code.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	c := root()
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(errs)
	err := c.ExecuteContext(ctx)
	switch {
	case err == nil:
		return 0
	case !errors.Is(err, errReported):
		fmt.Fprintln(errs, "robindrum:", err)
	}
	var code exitCode
	switch {
	case errors.Is(err, errUsage):
		return 2
	case errors.As(err, &code):
		return int(code)
	}
	return 1
}

// errReported marks errors that were printed already.
var errReported = errors.New("reported")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
