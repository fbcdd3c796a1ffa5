package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/hollow"
)

// buildProgram builds robindrum in a new temporary folder. The caller must call remove.
func buildProgram(ctx context.Context) (dir, binary string, remove func(), err error) {
	if dir, remove, err = cluster.TempDir(); err != nil {
		return "", "", nil, err
	}
	if binary, err = cluster.Build(ctx, dir); err != nil {
		remove()
		return "", "", nil, err
	}
	return dir, binary, remove, nil
}

// nodeUsage returns the total CPU time of the nodes that run, and the maximum over these nodes of the resident bytes and of the open file
// descriptors.
func nodeUsage(nodes []*cluster.Node) (cpu time.Duration, resident int64, files int) {
	for _, node := range nodes {
		if !node.Up() {
			continue
		}
		pid := node.Process().PID()
		nodeCPU, nodeResident := usage(pid)
		cpu += nodeCPU
		resident = max(resident, nodeResident)
		if descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			files = max(files, len(descriptors))
		}
	}
	return cpu, resident, files
}

// sentBytes returns the bytes that the nodes have sent to other members in calls, streams and packets.
func sentBytes(nodes []*cluster.Node) (bytes int64) {
	for _, node := range nodes {
		if status, err := node.Fleet(); err == nil {
			bytes += status.Traffic.Sent()
		}
	}
	return bytes
}

// appliedEntries returns the highest index of a log entry that any voter has applied.
func appliedEntries(c *cluster.Cluster) (index uint64) {
	for _, voter := range c.Nodes {
		if status, err := voter.Fleet(); err == nil && status.Vote != nil {
			index = max(index, status.Vote.Applied)
		}
	}
	return index
}

// sleep waits for a duration. If the context ends first, it returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// joinHollowGateways starts hollow gateways, which join the fleet of a cluster of processes, and waits until all members know each
// other. The caller must close the returned fleet.
func joinHollowGateways(ctx context.Context, processes *cluster.Cluster, count int, probe, heartbeat, lease time.Duration, site string) (*hollow.Fleet, *hollow.Gateways, error) {
	gateways := hollow.NewGateways()
	var seeds []string
	for _, node := range processes.Nodes[:min(3, len(processes.Nodes))] {
		seeds = append(seeds, node.Address)
	}
	members, err := hollow.New(hollow.Options{Name: "rig", Members: count, Seeds: seeds, Voters: processes.Voters(), Sites: []string{site}, ProbeInterval: probe, Heartbeat: heartbeat, LeaseLength: lease, Prepare: gateways.Prepare})
	if err != nil {
		return nil, nil, err
	}
	if err := members.Start(ctx); err != nil {
		members.Close()
		return nil, nil, err
	}
	if err := cluster.Await(ctx, "all members at every process", 120*probe, func() bool {
		for _, node := range processes.Nodes {
			if status, err := node.Fleet(); err != nil || len(status.Members) < count+len(processes.Nodes) {
				return false
			}
		}
		return true
	}); err != nil {
		members.Close()
		return nil, nil, err
	}
	// Otherwise the figures would include the gossip about the joins.
	maxUnknown := count * count / 1000
	settled, err := members.Settle(ctx, 120*probe, maxUnknown)
	if err == nil && settled.Unknown > maxUnknown {
		err = fmt.Errorf("%d gateways did not all learn of each other: %v", count, settled)
	}
	if err != nil {
		members.Close()
		return nil, nil, err
	}
	return members, gateways, sleep(ctx, 4*probe)
}
