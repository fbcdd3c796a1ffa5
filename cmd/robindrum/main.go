// Robindrum is a load-balancing gateway. It reads a YAML configuration file, serves several clusters behind its listeners, and takes
// their endpoints from that file, from resource files, or from xDS control planes.
//
// Exit codes:
//
//	 0  success
//	 1  the command failed, or its input file is invalid
//	 2  the command line is invalid
//	 3  the drain request that the command waited for is overdue
//	 4  the drain request that the command waited for was cancelled
//	 5  the release that the command waited for halted, was stopped or was rolled back
//	 6  the supervisor gave up
//	10  a supervised gateway requests to be restarted
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

// errUsage marks errors in the command line, for which run returns exit code 2.
var errUsage = errors.New("see -h")

// rootCommand returns the command of the program with all subcommands.
func rootCommand() *cobra.Command {
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

// versionCommand returns the command that prints the version of the program.
func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the versions of the program and of Go", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "robindrum", version)
			return err
		}}
}

// run runs the program with arguments and returns its exit code.
func run(ctx context.Context, args []string, out, stderr io.Writer) int {
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(stderr)
	err := c.ExecuteContext(ctx)
	switch {
	case err == nil:
		return 0
	case !errors.Is(err, errReported):
		fmt.Fprintln(stderr, "robindrum:", err)
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

// errReported marks errors that have already been printed.
var errReported = errors.New("reported")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
