package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"robindrum/internal/testbed/cluster"
)

// build is a temporary folder with the robindrum binary, for commands that run robindrum processes.
type build struct {
	dir    string
	binary string
	remove func()
	stop   context.CancelFunc
}

// newBuild builds robindrum in a temporary folder. The returned context is cancelled by SIGTERM or an interrupt. The caller must close
// the build.
func newBuild() (context.Context, *build, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return ctx, &build{dir: dir, binary: binary, remove: remove, stop: stop}, nil
}

// close removes the folder and cancels the context.
func (b *build) close() {
	b.remove()
	b.stop()
}

// measureReconnects stops a control plane for 10 s and restarts it with a new version, for 20 gateways with a subscription each and for
// 20 gateways that share one.
func measureReconnects() error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	printMachine()
	fmt.Println("20 gateways, 20 requests per second to each; the control plane is down for 10 s and restarts with a new version")
	fmt.Println("subscription      streams in 1 s  in 3 s  requests  all updated after   load  failed")
	for _, shared := range []bool{false, true, false, true} {
		if err := measureReconnect(ctx, b, shared); err != nil {
			return err
		}
	}
	return nil
}

// measureReconnect measures one restart of the control plane and prints a line of the table.
func measureReconnect(ctx context.Context, b *build, shared bool) error {
	site, err := cluster.NewSite(ctx, cluster.SiteOptions{
		Binary:             b.binary,
		Dir:                b.dir,
		Gateways:           20,
		SharedSubscription: shared,
		Lease:              2 * time.Second,
		DirectAfter:        5 * time.Second,
		Heartbeat:          500 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer site.Close()
	result, err := site.MeasureReconnect(ctx, shared, 10*time.Second)
	if err != nil {
		return err
	}
	subscription := "one per gateway"
	if shared {
		subscription = "one shared"
	}
	fmt.Printf("%-16s %15d %7d %9d %18v %6d %7d  %s\n", subscription, result.FirstSecond, result.Streams, result.Requests,
		result.Recovery.Round(time.Millisecond), result.LoadRequests, result.LoadFailures, result.FirstFailure)
	return nil
}
