package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/hollow"
)

// buildProgram builds the program in a new folder. The caller calls remove.
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

// resourceUsage returns the CPU time of the nodes that run together, and the resident bytes and the open descriptors of the
// largest of them.
func resourceUsage(nodes []*cluster.Node) (cpu time.Duration, resident int64, files int) {
	for _, n := range nodes {
		if !n.Up() {
			continue
		}
		pid := n.Process().PID()
		used, r := usage(pid)
		cpu += used
		resident = max(resident, r)
		if l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			files = max(files, len(l))
		}
	}
	return cpu, resident, files
}

// sentBytes returns the bytes that the nodes have sent to all others in calls, streams and packets.
func sentBytes(nodes []*cluster.Node) (bytes int64) {
	for _, n := range nodes {
		if s, err := n.Fleet(); err == nil {
			bytes += s.Traffic.Sent()
		}
	}
	return bytes
}

// appliedEntries returns the index of the last log entry that a voter has applied.
func appliedEntries(c *cluster.Cluster) (n uint64) {
	for _, v := range c.Nodes {
		if s, err := v.Fleet(); err == nil && s.Vote != nil {
			n = max(n, s.Vote.Applied)
		}
	}
	return n
}

// idleFor waits, for as long as the context lasts, and returns its error where that ends first.
func idleFor(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// joinHollowGateways starts hollow gateways beside a cluster and waits until its nodes know them. The caller closes the fleet.
func joinHollowGateways(ctx context.Context, c *cluster.Cluster, n int, probe, beat, lease time.Duration, site string) (*hollow.Fleet, *hollow.Gateways, error) {
	g := hollow.NewGateways()
	var seeds []string
	for _, v := range c.Nodes[:min(3, len(c.Nodes))] {
		seeds = append(seeds, v.Address)
	}
	f, err := hollow.New(hollow.Options{Name: "rig", Members: n, Seeds: seeds, Voters: c.Voters(), Sites: []string{site}, ProbeInterval: probe, Heartbeat: beat, LeaseLength: lease, Prepare: g.Prepare})
	if err != nil {
		return nil, nil, err
	}
	if err := f.Start(ctx); err != nil {
		f.Close()
		return nil, nil, err
	}
	if err := cluster.Await(ctx, "all members at every process", 120*probe, func() bool {
		for _, v := range c.Nodes {
			if s, err := v.Fleet(); err != nil || len(s.Members) < n+len(c.Nodes) {
				return false
			}
		}
		return true
	}); err != nil {
		f.Close()
		return nil, nil, err
	}
	// Otherwise the figures would hold the gossip about the joins.
	allow := n * n / 1000
	settled, err := f.Settle(ctx, 120*probe, allow)
	if err == nil && settled.Unknown > allow {
		err = fmt.Errorf("%d gateways do not come together: %v", n, settled)
	}
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, g, idleFor(ctx, 4*probe)
}
