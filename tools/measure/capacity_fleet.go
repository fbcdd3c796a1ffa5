package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/hollow"
)

// program makes a folder with the program, for processes.
func program(ctx context.Context) (dir, binary string, remove func(), err error) {
	if dir, remove, err = cluster.TempDir(); err != nil {
		return "", "", nil, err
	}
	if binary, err = cluster.Build(ctx, dir); err != nil {
		remove()
		return "", "", nil, err
	}
	return dir, binary, remove, nil
}

// spent is processor time and open descriptors of some nodes, and the memory of the largest.
func spent(nodes []*cluster.Node) (cpu time.Duration, resident int64, files int) {
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

// spoken is what some nodes have sent, each to all others, calls, streams and packets.
func spoken(nodes []*cluster.Node) (bytes int64) {
	for _, n := range nodes {
		if s, err := n.Fleet(); err == nil {
			bytes += s.Traffic.Sent()
		}
	}
	return bytes
}

func applied(c *cluster.Cluster) (n uint64) {
	for _, v := range c.Nodes {
		if s, err := v.Fleet(); err == nil && s.Vote != nil {
			n = max(n, s.Vote.Applied)
		}
	}
	return n
}

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

// joined starts hollow gateways beside a cluster and waits until its nodes know them.
func joined(ctx context.Context, c *cluster.Cluster, n int, probe, beat, lease time.Duration, site string) (*hollow.Fleet, *hollow.Gateways, error) {
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
