package main

import (
	"context"
	"fmt"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/controlplane"
)

// capacityLimits requests a drain at a site whose gateways have a number of clusters of 29 endpoints each: sizes are clusters. The ledger
// of the quorum has its own limit on endpoints.
func capacityLimits(ctx context.Context, sizes []int, _ bool) error {
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		return err
	}
	defer remove()
	for _, n := range sizes {
		if err := measureDrainWithClusters(ctx, dir, binary, n); err != nil {
			return fmt.Errorf("%d clusters: %w", n, err)
		}
	}
	return nil
}

func measureDrainWithClusters(ctx context.Context, dir, binary string, clusters int) error {
	site, err := cluster.NewSite(ctx, cluster.SiteOptions{Binary: binary, Dir: dir, Gateways: 4, SharedSubscription: true, Variant: "delta", Lease: 2 * time.Second, DirectAfter: 20 * time.Second, Heartbeat: time.Second})
	if err != nil {
		return err
	}
	defer site.Close()
	var resources []controlplane.Resource
	for i := range clusters {
		resources = append(resources, controlplane.Resource{Name: fmt.Sprint("k", i), Body: controlplane.Cluster(fmt.Sprint("k", i), "")}, assignment(i, targetEndpointsPerCluster, 1))
	}
	if _, err := site.ControlPlane.Push("100", false, resources...); err != nil {
		return err
	}
	if err := cluster.Await(ctx, "all clusters at every gateway", 60*time.Second, func() bool {
		for _, gateway := range site.Nodes {
			if status, err := gateway.Status(); err != nil || len(status.Clusters) < clusters {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	const timeout = 15 * time.Second
	var request drain.Request
	began := time.Now()
	for time.Since(began) < timeout && request.State != drain.Drained && request.State != drain.Rejected {
		if request, err = site.Nodes[0].SendDrain("drain", drain.Request{ID: "limits", Target: drain.Target{Gateway: site.Nodes[3].Name}, Owner: "measure", Grace: 5 * time.Second}); err != nil {
			return err
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	fmt.Printf("%5d clusters, %d endpoints: %v after the request to drain one of four gateways its state is %s; %s\n", clusters, clusters*targetEndpointsPerCluster+3, time.Since(began).Round(10*time.Millisecond), request.State, request.StateReason)
	return nil
}
