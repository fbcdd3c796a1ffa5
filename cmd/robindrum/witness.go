package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/config"
	"robindrum/internal/fleet"
	"robindrum/internal/membership"
)

const (
	// voteCheckInterval is the time between two looks at whether a witness still votes.
	voteCheckInterval = 100 * time.Millisecond
	witnessStopTime   = time.Second

	adminReadHeaderTimeout = 5 * time.Second
	adminWriteTimeout      = 30 * time.Second
	adminMaxHeaderBytes    = 16 << 10
)

func witnessCommand() *cobra.Command {
	var path string
	var withParent, checkOnly bool
	c := &cobra.Command{
		Use:   "witness -c FILE",
		Short: "Vote in a fleet and serve no traffic",
		Args:  noArgs,
		Long: "Vote in a fleet and serve no traffic, until SIGTERM: a third place beside two sites, so that a majority outlasts either.\n" +
			"The file has the sections fleet, admin and log. Ends with exit code 1 where it cannot vote any more.",
		RunE: func(c *cobra.Command, _ []string) error {
			ctx := c.Context()
			if withParent {
				var cancel context.CancelFunc
				ctx, cancel = untilParent(ctx, c.InOrStdin())
				defer cancel()
			}
			if checkOnly {
				return checkWitness(path, c.OutOrStdout(), c.ErrOrStderr())
			}
			return runWitness(ctx, path, c.ErrOrStderr())
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	c.Flags().BoolVar(&checkOnly, "check", false, "only say whether the file can be used")
	c.Flags().BoolVar(&withParent, "with-parent", false, "end, as with SIGTERM, when standard input ends")
	must(c.Flags().MarkHidden("with-parent"))
	must(c.MarkFlagRequired("config"))
	return c
}

// checkWitness prints whether a witness's configuration file can be used.
func checkWitness(path string, out, errs io.Writer) error {
	conf, err := config.LoadWitness(path)
	if err != nil {
		fmt.Fprintln(errs, err)
		return errReported
	}
	for _, text := range conf.Warnings() {
		fmt.Fprintf(errs, "%s: warning: %s\n", path, text)
	}
	fmt.Fprintf(out, "%s: voter %s, one of %d: good\n", path, conf.Fleet.Member, len(conf.Fleet.Quorum.Voters))
	return nil
}

// runWitness votes until ctx ends; it returns an error when it cannot vote any more.
func runWitness(ctx context.Context, path string, errs io.Writer) error {
	conf, err := config.LoadWitness(path)
	if err != nil {
		return err
	}
	log := logger(conf.Log, errs)
	for _, text := range conf.Warnings() {
		log.Warn(text)
	}
	f, err := fleet.New(&conf.Fleet, "", "", membership.Witness, log)
	if err != nil {
		return err
	}
	defer f.Stop(witnessStopTime)
	if reason := f.NoVote(); reason != "" {
		return fmt.Errorf("a witness that cannot vote is of no use: %s", reason)
	}
	if conf.Admin.Address != "none" {
		server, err := serveWitnessAdmin(f, conf.Admin.Address, log)
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
	}
	f.Start()
	return awaitVoteLoss(ctx, f)
}

// serveWitnessAdmin serves the fleet's admin handler on an address until the returned server is closed.
func serveWitnessAdmin(f *fleet.Fleet, address string, log *slog.Logger) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/fleet", f.Handler())
	mux.Handle("/fleet/", f.Handler())
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: adminReadHeaderTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    adminMaxHeaderBytes,
	}
	go func() { _ = server.Serve(listener) }() // ends with Close
	log.Info("listening for operators", "address", listener.Addr().String())
	return server, nil
}

// awaitVoteLoss returns nil when ctx ends, and an error when the voter stops before.
func awaitVoteLoss(ctx context.Context, f *fleet.Fleet) error {
	ticker := time.NewTicker(voteCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if reason := f.NoVote(); reason != "" {
			return fmt.Errorf("this witness has stopped voting: %s", reason)
		}
	}
}
