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

// build is a folder with the program's binary, for commands that run the program as processes.
type build struct {
	dir    string
	binary string
	remove func()
	stop   context.CancelFunc
}

// newBuild builds the program in a folder of its own. The context ends with SIGTERM or an interrupt. The caller closes the build.
func newBuild() (context.Context, *build, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return ctx, &build{dir: dir, binary: binary, remove: remove, stop: stop}, nil
}

// close removes the folder.
func (b *build) close() {
	b.remove()
	b.stop()
}

// herd has a control plane away for 10 s and back with a new version, before 20 gateways with a subscription each and with a
// shared one.
func herd() error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	printMachine()
	fmt.Println("20 gateways, each asked 20 times a second; the control plane is away for 10 s and returns with a new version")
	fmt.Println("subscription      streams in 1 s  in 3 s  requests  all have it after  asked  failed")
	for _, shared := range []bool{false, true, false, true} {
		if err := herdRun(ctx, b, shared); err != nil {
			return err
		}
	}
	return nil
}

// herdRun measures one return of the control plane and prints its line.
func herdRun(ctx context.Context, b *build, shared bool) error {
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
	subscription := "each its own"
	if shared {
		subscription = "one for all"
	}
	fmt.Printf("%-16s %15d %7d %9d %18v %6d %7d  %s\n", subscription, result.FirstSecond, result.Streams, result.Requests,
		result.Recovery.Round(time.Millisecond), result.LoadRequests, result.LoadFailures, result.FirstFailure)
	return nil
}
