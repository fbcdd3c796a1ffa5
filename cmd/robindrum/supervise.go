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

// exitGaveUp is the exit code of a supervisor after too many crashes.
const exitGaveUp = 6

func superviseCommand() *cobra.Command {
	opt := supervisor.Options{}
	var withParent bool
	c := &cobra.Command{
		Use:   "supervise --folder DIR -- serve -c FILE",
		Short: "Run the version that a link names, and start it again",
		Args:  cobra.MinimumNArgs(1),
		Long: "Run the program that DIR/current links to (a file in DIR/versions) with the arguments behind --, and start it again: at once where it ends\n" +
			"with exit code 10, after a growing pause where it crashed. A version that a release brought and that crashes before the fleet has seen it\n" +
			"at work is replaced by the one before. SIGTERM ends both, SIGHUP is passed on. Exit code 6: nothing stays up, and nothing is tried any more.",
		RunE: func(c *cobra.Command, args []string) error {
			ctx := c.Context()
			if withParent {
				var cancel context.CancelFunc
				ctx, cancel = untilParent(ctx, c.InOrStdin())
				defer cancel()
			}
			opt.Args = args
			return supervise(ctx, c, opt)
		},
	}
	flags := c.Flags()
	flags.StringVar(&opt.Folder.Path, "folder", "", "the `folder` with versions and current")
	flags.DurationVar(&opt.Rules.MinPause, "pause", 200*time.Millisecond, "before a process that crashed is started again; it doubles")
	flags.DurationVar(&opt.Rules.MaxPause, "longest-pause", 30*time.Second, "what it doubles to")
	flags.DurationVar(&opt.Rules.StableAfter, "steady", time.Minute, "a process that ran so long crashed by itself, not in a row")
	flags.IntVar(&opt.Rules.TrialCrashes, "trial", 3, "crashes in a row at which a new version is replaced by the one before")
	flags.IntVar(&opt.Rules.GiveUp, "give-up", 10, "crashes in a row at which nothing is tried any more")
	flags.DurationVar(&opt.Stop, "stop", 90*time.Second, "how long the process has to end when it is told to; then it is killed")
	flags.BoolVar(&withParent, "with-parent", false, "end, as with SIGTERM, when standard input ends")
	must(flags.MarkHidden("with-parent"))
	must(c.MarkFlagRequired("folder"))
	return c
}

// supervise runs a supervisor with the command's output and the signals of this process until ctx ends or it gives up.
func supervise(ctx context.Context, c *cobra.Command, opt supervisor.Options) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	opt.Hangup = hangup
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
