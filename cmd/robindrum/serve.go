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

// logger returns a logger with the level and format of a configuration.
func logger(c config.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.Level)) // valid: checked when the configuration was loaded
	opt := &slog.HandlerOptions{Level: level}
	if c.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opt))
	}
	return slog.New(slog.NewTextHandler(w, opt))
}

// serveCommand returns the command that runs the gateway.
func serveCommand() *cobra.Command {
	var path string
	var withParent bool
	c := &cobra.Command{Use: "serve -c FILE", Short: "Run the gateway", Args: noArgs,
		Long: "Run the gateway until SIGTERM or an interrupt, then answer the requests in flight.\nSIGHUP reloads the configuration file. If the file is invalid, the gateway keeps its configuration and reports the error in /status.",
		RunE: func(c *cobra.Command, _ []string) error {
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			defer signal.Stop(hangup)
			ctx := c.Context()
			if withParent || supervisor.FromEnv() != nil {
				var cancel context.CancelFunc
				ctx, cancel = cancelOnEOF(ctx, c.InOrStdin())
				defer cancel()
			}
			return serve(ctx, path, hangup, c.ErrOrStderr())
		}}
	c.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	c.Flags().BoolVar(&withParent, "with-parent", false, "stop, as on SIGTERM, when standard input is closed")
	must(c.Flags().MarkHidden("with-parent"))
	must(c.MarkFlagRequired("config"))
	return c
}

// cancelOnEOF returns a context that is cancelled when in ends. For a standard input that is a pipe from the parent process, this also
// happens when the parent is killed.
func cancelOnEOF(ctx context.Context, in io.Reader) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		_, _ = io.Copy(io.Discard, in)
		cancel()
	}()
	return ctx, cancel
}

// must panics if err is not nil. It is for errors that only a bug in this program can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// serve runs the gateway until ctx ends or its supervisor requests a restart, and then drains it. A signal on hangup reloads the
// configuration file.
func serve(ctx context.Context, path string, hangup <-chan os.Signal, stderr io.Writer) error {
	conf, err := config.Load(path)
	if err != nil {
		return err
	}
	log := logger(conf.Log, stderr)
	slog.SetDefault(log)
	child := supervisor.FromEnv()
	gw, err := gateway.NewSupervised(conf, log, child)
	if err != nil {
		return err
	}
	defer gw.Close()
	for _, listener := range conf.Listeners {
		log.Info("listening", "listener", listener.Name, "address", gw.Addr(listener.Name).String())
	}
	if adminAddr := gw.AdminAddr(); adminAddr != nil {
		log.Info("listening for operators", "address", adminAddr.String())
	}
	restarting := false
	for ctx.Err() == nil && !restarting {
		select {
		case <-ctx.Done():
		case <-child.Restarting():
			restarting = true
		case <-hangup:
			newConf, err := config.Load(path)
			if err != nil {
				gw.RecordRejection(err)
				continue
			}
			if gw.Reload(newConf) == nil { // the gateway logs and reports a rejection
				conf = newConf
				log.Info("configuration reloaded", "file", path)
			}
		}
	}
	log.Info("stopping", "timeout", conf.Limits.Drain.D())
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), conf.Limits.Drain.D())
	defer cancel()
	gw.Stop(stopCtx)
	if restarting {
		return exitCode(supervisor.ExitRestart)
	}
	return nil
}
