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

// exitGaveUp is a supervisor that starts nothing any more.
const exitGaveUp = 6

func superviseCommand() *cobra.Command {
	o := supervisor.Options{}
	var parent bool
	c := &cobra.Command{Use: "supervise --folder DIR -- serve -c FILE", Short: "Run the version that a link names, and start it again", Args: cobra.MinimumNArgs(1),
		Long: "Run the program that DIR/current links to (a file in DIR/versions) with the arguments behind --, and start it again: at once where it ends\n" +
			"with exit code 10, after a growing pause where it crashed. A version that a release brought and that crashes before the fleet has seen it\n" +
			"at work is replaced by the one before. SIGTERM ends both, SIGHUP is passed on. Exit code 6: nothing stays up, and nothing is tried any more.",
		RunE: func(c *cobra.Command, args []string) error {
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			o.Args, o.Hangup, o.Stdout, o.Stderr = args, hup, c.OutOrStdout(), c.ErrOrStderr()
			o.Log = slog.New(slog.NewTextHandler(c.ErrOrStderr(), nil))
			ctx := c.Context()
			if parent {
				var cancel context.CancelFunc
				ctx, cancel = untilParent(ctx, c.InOrStdin())
				defer cancel()
			}
			err := supervisor.Run(ctx, o)
			if errors.Is(err, supervisor.ErrGaveUp) {
				fmt.Fprintln(c.ErrOrStderr(), "robindrum:", err)
				return exitCode(exitGaveUp)
			}
			return err
		}}
	f := c.Flags()
	f.StringVar(&o.Folder.Path, "folder", "", "the `folder` with versions and current")
	f.DurationVar(&o.Rules.MinPause, "pause", 200*time.Millisecond, "before a process that crashed is started again; it doubles")
	f.DurationVar(&o.Rules.MaxPause, "longest-pause", 30*time.Second, "what it doubles to")
	f.DurationVar(&o.Rules.StableAfter, "steady", time.Minute, "a process that ran so long crashed by itself, not in a row")
	f.IntVar(&o.Rules.TrialCrashes, "trial", 3, "crashes in a row at which a new version is replaced by the one before")
	f.IntVar(&o.Rules.GiveUp, "give-up", 10, "crashes in a row at which nothing is tried any more")
	f.DurationVar(&o.Stop, "stop", 90*time.Second, "how long the process has to end when it is told to; then it is killed")
	f.BoolVar(&parent, "with-parent", false, "end, as with SIGTERM, when standard input ends")
	must(f.MarkHidden("with-parent"))
	must(c.MarkFlagRequired("folder"))
	return c
}
