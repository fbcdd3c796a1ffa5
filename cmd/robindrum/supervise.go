package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/supervisor"
)

// exitGaveUp is the exit code of a supervisor that gave up after too many crashes.
const exitGaveUp = 6

func superviseCommand() *cobra.Command {
	opt := supervisor.Options{}
	var withParent bool
	c := &cobra.Command{
		Use:   "supervise --folder DIR -- serve -c FILE",
		Short: "Run the current version of the program, and restart it",
		Args:  cobra.MinimumNArgs(1),
		Long: "Run the executable that the link DIR/current points to, a file in DIR/versions, with the arguments after --.\n\nThe process is restarted immediately if it exits with code 10, and after a growing pause if it crashes.\n" +
			"A version that a release has brought is replaced by the previous one if it keeps crashing before the fleet has seen it serve.\n\n" +
			"SIGTERM stops the process and the supervisor. SIGHUP is forwarded to the process.\nExit code 6: the process crashed too often, and the supervisor gave up.",
		RunE: func(c *cobra.Command, args []string) error {
			ctx := c.Context()
			if withParent {
				var cancel context.CancelFunc
				ctx, cancel = cancelOnEOF(ctx, c.InOrStdin())
				defer cancel()
			}
			opt.Args = args
			return supervise(ctx, c, opt)
		},
	}
	flags := c.Flags()
	flags.StringVar(&opt.Folder.Path, "folder", "", "the `folder` that contains versions and current")
	flags.DurationVar(&opt.Rules.MinPause, "pause", 200*time.Millisecond, "pause before the restart after a crash; doubles with each crash in a row")
	flags.DurationVar(&opt.Rules.MaxPause, "longest-pause", 30*time.Second, "upper limit of the pause")
	flags.DurationVar(&opt.Rules.StableAfter, "steady", time.Minute, "run time after which a crash counts as the first one in a row")
	flags.IntVar(&opt.Rules.TrialCrashes, "trial", 3, "crashes in a row at which a new version is replaced by the previous one")
	flags.IntVar(&opt.Rules.GiveUp, "give-up", 10, "crashes in a row at which the supervisor gives up")
	flags.DurationVar(&opt.Stop, "stop", 90*time.Second, "how long the process may take to end after SIGTERM before it is killed")
	flags.BoolVar(&withParent, "with-parent", false, "stop, as on SIGTERM, when standard input is closed")
	must(flags.MarkHidden("with-parent"))
	must(c.MarkFlagRequired("folder"))
	return c
}

// supervise runs a supervisor until ctx ends or it gives up. The supervisor forwards SIGHUP and writes to the command's output.
func supervise(ctx context.Context, c *cobra.Command, opt supervisor.Options) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	opt.Signals = hangup
	opt.Stdout = c.OutOrStdout()
	opt.Stderr = c.ErrOrStderr()
	opt.Log = slog.New(slog.NewTextHandler(c.ErrOrStderr(), nil))
	err := supervisor.Run(ctx, opt)
	if errors.Is(err, supervisor.ErrGaveUp) {
		fmt.Fprintln(c.ErrOrStderr(), "robindrum:", err)
		return exitCode(exitGaveUp)
	}
	return err
}
