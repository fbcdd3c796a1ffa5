package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"robindrum/internal/fleet"
	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/hollow"
)

// capacityQuorum has members ask real voters for one lease, and has the voters lose their leader.
func capacityQuorum(ctx context.Context, sizes []int, full bool) error {
	voters := []int{3}
	lease, window := 2*time.Second, 4*time.Second
	if full {
		voters, lease, window = []int{3, 5}, 10*time.Second, 20*time.Second
	}
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		return err
	}
	defer remove()
	for _, v := range voters {
		fmt.Printf("%d voters (processes), each asker a client with an address of its own, one lease of %v; rates are told for 10 s\n", v, lease)
		if err := quorumSizes(ctx, dir, binary, v, lease, window, sizes); err != nil {
			return err
		}
	}
	return nil
}

func quorumSizes(ctx context.Context, dir, binary string, voters int, lease, window time.Duration, sizes []int) error {
	s := newSeries(fmt.Sprintf("askers, %d voters", voters))
	defer func() { s.print(targetGateways) }()
	folder, err := os.MkdirTemp(dir, "capacity-")
	if err != nil {
		return err
	}
	c, err := cluster.New(cluster.Options{Binary: binary, Dir: folder, Nodes: voters, Voters: voters, Lease: lease, Heartbeat: 300 * time.Millisecond, Probe: time.Second})
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Start(); err != nil {
		return err
	}
	for i, n := range sizes {
		if err := (hollow.Requirement{Processes: voters, Memory: int64(n) * 400 << 10, Files: int64(6*n) + 200}).Check(); err != nil {
			return fmt.Errorf("%d askers: %w", n, err)
		}
		if err := cluster.Await(ctx, "a leader", 30*time.Second, func() bool { return c.Leader() != nil }); err != nil {
			return err
		}
		a, err := hollow.StartAcquirers(ctx, hollow.AcquirersOptions{Fleet: "rig", Acquirers: n, Voters: c.Voters(), Tasks: []string{fmt.Sprint("capacity", i)}, LeaseLength: lease})
		if err != nil {
			return err
		}
		if err := quorumSize(ctx, s, c, a, n, lease, window); err != nil {
			a.Close()
			return fmt.Errorf("%d askers: %w", n, err)
		}
		a.Close()
	}
	return nil
}

func quorumSize(ctx context.Context, s *series, c *cluster.Cluster, a *hollow.Acquirers, n int, lease, window time.Duration) error {
	select {
	case <-a.Acquisitions():
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(30 * time.Second):
		return fmt.Errorf("nobody holds the lease within 30 s")
	}
	if err := idleFor(ctx, lease); err != nil {
		return err
	}
	cpu0, _, _ := resourceUsage(c.Nodes)
	asked0, failed0 := a.Commands()
	e0, t0, v0, began := appliedEntries(c), a.Traffic(), sentBytes(c.Nodes), time.Now()
	if err := idleFor(ctx, window); err != nil {
		return err
	}
	v1 := sentBytes(c.Nodes)
	cpu1, resident, files := resourceUsage(c.Nodes)
	asked1, failed1 := a.Commands()
	e1, t, d := appliedEntries(c), a.Traffic().Minus(t0), time.Since(began).Seconds()*10/lease.Seconds() // as with a lease of 10 s
	s.size(n)
	s.put("asks a second, of all", float64(asked1-asked0)/d, 0)
	s.put("entries agreed a second", float64(e1-e0)/d, 0)
	s.put("bytes a second at the voters, both ways", float64(t.Out+t.In)/d, 0)
	s.put("bytes a second of an asker, both ways", float64(t.Out+t.In)/d/float64(n), boundBytes)
	// What they send is the answers, which the askers got, and what they tell each other: the log, and membership of so few.
	s.put("bytes a second between the voters", float64(v1-v0-t.In)/d, 0)
	s.put("CPU of all voters, % of a core", 100*(cpu1-cpu0).Seconds()/d, 0)
	s.put("resident, the largest voter, MB", float64(resident)/1e6, 0)
	s.put("descriptors, the most at a voter", float64(files), 0)
	leader := c.Leader()
	if leader == nil {
		return fmt.Errorf("no leader")
	}
	leader.Kill()
	killed := fleet.Clock()
	if err := cluster.Await(ctx, "an answer behind the leader's death", 60*time.Second, func() bool { return a.LastAnswer() > killed+20*time.Millisecond }); err != nil {
		return err
	}
	fmt.Printf("%5d askers: %d of %d asks failed; a leader is lost: the next answer %v later\n", n, failed1-failed0, asked1-asked0, (a.LastAnswer() - killed).Round(time.Millisecond))
	return leader.Restart(false)
}
