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
	// voteCheckInterval is the interval at which a witness checks that it still votes.
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
		Long: "Vote in a fleet until SIGTERM, and serve no traffic. A witness in a third location keeps a majority of voters available when\none of two sites fails.\n" +
			"The file has the sections fleet, admin and log. The exit code is 1 if the witness can no longer vote.",
		RunE: func(c *cobra.Command, _ []string) error {
			ctx := c.Context()
			if withParent {
				var cancel context.CancelFunc
				ctx, cancel = cancelOnEOF(ctx, c.InOrStdin())
				defer cancel()
			}
			if checkOnly {
				return checkWitness(path, c.OutOrStdout(), c.ErrOrStderr())
			}
			return runWitness(ctx, path, c.ErrOrStderr())
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	c.Flags().BoolVar(&checkOnly, "check", false, "only check the configuration file")
	c.Flags().BoolVar(&withParent, "with-parent", false, "stop, as on SIGTERM, when standard input is closed")
	must(c.Flags().MarkHidden("with-parent"))
	must(c.MarkFlagRequired("config"))
	return c
}

// checkWitness checks a witness's configuration file and prints the result.
func checkWitness(path string, out, stderr io.Writer) error {
	conf, err := config.LoadWitness(path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return errReported
	}
	for _, text := range conf.Warnings() {
		fmt.Fprintf(stderr, "%s: warning: %s\n", path, text)
	}
	fmt.Fprintf(out, "%s: voter %s, one of %d: good\n", path, conf.Fleet.Member, len(conf.Fleet.Quorum.Voters))
	return nil
}

// runWitness runs a witness until ctx ends. It returns an error if the witness cannot vote or stops voting.
func runWitness(ctx context.Context, path string, stderr io.Writer) error {
	conf, err := config.LoadWitness(path)
	if err != nil {
		return err
	}
	log := logger(conf.Log, stderr)
	for _, text := range conf.Warnings() {
		log.Warn(text)
	}
	f, err := fleet.New(&conf.Fleet, "", "", membership.Witness, log)
	if err != nil {
		return err
	}
	defer f.Stop(witnessStopTime)
	if reason := f.NoVote(); reason != "" {
		return fmt.Errorf("this witness cannot vote: %s", reason)
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

// awaitVoteLoss blocks until ctx ends, and returns an error if the witness stops voting before.
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
