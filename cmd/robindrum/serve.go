package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"robindrum/internal/config"
	"robindrum/internal/gateway"
	"robindrum/internal/supervisor"
)

// logger returns a logger with the level and the format of the configuration.
func logger(c config.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.Level)) // the configuration was checked
	opt := &slog.HandlerOptions{Level: level}
	if c.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opt))
	}
	return slog.New(slog.NewTextHandler(w, opt))
}

// serveCommand returns the command that runs the gateway.
func serveCommand() *cobra.Command {
	var path string
	var parent bool
	c := &cobra.Command{Use: "serve -c FILE", Short: "Run the gateway", Args: noArgs,
		Long: "Run the gateway until SIGTERM or an interrupt, then answer what is in hand.\nSIGHUP takes over the file anew; one that cannot be used changes nothing and shows in /status.",
		RunE: func(c *cobra.Command, _ []string) error {
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			ctx := c.Context()
			if parent || supervisor.FromEnv() != nil {
				var cancel context.CancelFunc
				ctx, cancel = untilParent(ctx, c.InOrStdin())
				defer cancel()
			}
			return serve(ctx, path, hup, c.ErrOrStderr())
		}}
	c.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	c.Flags().BoolVar(&parent, "with-parent", false, "end, as with SIGTERM, when standard input ends")
	must(c.Flags().MarkHidden("with-parent"))
	must(c.MarkFlagRequired("config"))
	return c
}

// untilParent returns a context that ends with standard input, and so also when the parent process is killed.
func untilParent(ctx context.Context, in io.Reader) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		_, _ = io.Copy(io.Discard, in)
		cancel()
	}()
	return ctx, cancel
}

// must panics on an error that only a mistake in this program can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// serve runs the gateway until ctx ends or its supervisor wants a restart, and drains it. A signal on hup reloads the configuration.
func serve(ctx context.Context, path string, hup <-chan os.Signal, errs io.Writer) error {
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	log := logger(f.Log, errs)
	slog.SetDefault(log)
	child := supervisor.FromEnv()
	g, err := gateway.NewSupervised(f, log, child)
	if err != nil {
		return err
	}
	defer g.Close()
	for _, l := range f.Listeners {
		log.Info("listening", "listener", l.Name, "address", g.Addr(l.Name).String())
	}
	if a := g.AdminAddr(); a != nil {
		log.Info("listening for operators", "address", a.String())
	}
	restarting := false
	for ctx.Err() == nil && !restarting {
		select {
		case <-ctx.Done():
		case <-child.Restarting():
			restarting = true
		case <-hup:
			n, err := config.Load(path)
			if err != nil {
				g.RecordRejection(err)
				continue
			}
			if g.Reload(n) == nil { // which tells why not
				f = n
				log.Info("the configuration was taken over", "file", path)
			}
		}
	}
	log.Info("stopping", "at most", f.Limits.Drain.D())
	until, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.Limits.Drain.D())
	defer cancel()
	g.Stop(until)
	if restarting {
		return exitCode(supervisor.ExitRestart)
	}
	return nil
}
