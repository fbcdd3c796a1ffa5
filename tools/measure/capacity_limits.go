package main

import (
	"context"
	"fmt"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/controlplane"
)

// capacityLimits asks for a drain where a site has so many clusters of the users' 29 endpoints: sizes are clusters. The quorum's book has
// a bound on endpoints of its own.
func capacityLimits(ctx context.Context, sizes []int, _ bool) error {
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		return err
	}
	defer remove()
	for _, n := range sizes {
		if err := drainAmong(ctx, dir, binary, n); err != nil {
			return fmt.Errorf("%d clusters: %w", n, err)
		}
	}
	return nil
}

func drainAmong(ctx context.Context, dir, binary string, clusters int) error {
	s, err := cluster.NewSite(ctx, cluster.SiteOptions{Binary: binary, Dir: dir, Gateways: 4, SharedSubscription: true, Variant: "delta", Lease: 2 * time.Second, DirectAfter: 20 * time.Second, Heartbeat: time.Second})
	if err != nil {
		return err
	}
	defer s.Close()
	var set []controlplane.Resource
	for i := range clusters {
		set = append(set, controlplane.Resource{Name: fmt.Sprint("k", i), Body: controlplane.Cluster(fmt.Sprint("k", i), "")}, assignment(i, targetEndpointsPerCluster, 1))
	}
	if _, err := s.ControlPlane.Push("100", false, set...); err != nil {
		return err
	}
	if err := cluster.Await(ctx, "all clusters at every gateway", 60*time.Second, func() bool {
		for _, g := range s.Nodes {
			if st, err := g.Status(); err != nil || len(st.Clusters) < clusters {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	const within = 15 * time.Second
	var o drain.Request
	began := time.Now()
	for time.Since(began) < within && o.State != drain.Drained && o.State != drain.Rejected {
		if o, err = s.Nodes[0].SendDrain("drain", drain.Request{ID: "limits", Target: drain.Target{Gateway: s.Nodes[3].Name}, Owner: "measure", Grace: 5 * time.Second}); err != nil {
			return err
		}
		if err := idleFor(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	fmt.Printf("%5d clusters, %d endpoints: %v behind a drain of one of four gateways it is %s; %s\n", clusters, clusters*targetEndpointsPerCluster+3, time.Since(began).Round(10*time.Millisecond), o.State, o.StateReason)
	return nil
}
