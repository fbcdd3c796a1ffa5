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

// capacityQuorum measures members that request a lease from voter processes, and the time without answers when the leader is killed.
func capacityQuorum(ctx context.Context, sizes []int, full bool) error {
	voterCounts := []int{3}
	lease, window := 2*time.Second, 4*time.Second
	if full {
		voterCounts, lease, window = []int{3, 5}, 10*time.Second, 20*time.Second
	}
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		return err
	}
	defer remove()
	for _, voters := range voterCounts {
		fmt.Printf("%d voters (processes), each requester a client with its own address, one lease of %v; rates are scaled to a lease of 10 s\n", voters, lease)
		if err := measureQuorumSizes(ctx, dir, binary, voters, lease, window, sizes); err != nil {
			return err
		}
	}
	return nil
}

func measureQuorumSizes(ctx context.Context, dir, binary string, voters int, lease, window time.Duration, sizes []int) error {
	figures := newSeries(fmt.Sprintf("requesters, %d voters", voters))
	defer func() { figures.print(targetGateways) }()
	folder, err := os.MkdirTemp(dir, "capacity-")
	if err != nil {
		return err
	}
	fleetCluster, err := cluster.New(cluster.Options{Binary: binary, Dir: folder, Nodes: voters, Voters: voters, Lease: lease, Heartbeat: 300 * time.Millisecond, Probe: time.Second})
	if err != nil {
		return err
	}
	defer fleetCluster.Close()
	if err := fleetCluster.Start(); err != nil {
		return err
	}
	for i, count := range sizes {
		if err := (hollow.Requirement{Processes: voters, Memory: int64(count) * 400 << 10, Files: int64(6*count) + 200}).Check(); err != nil {
			return fmt.Errorf("%d requesters: %w", count, err)
		}
		if err := cluster.Await(ctx, "a leader", 30*time.Second, func() bool { return fleetCluster.Leader() != nil }); err != nil {
			return err
		}
		requesters, err := hollow.StartAcquirers(ctx, hollow.AcquirersOptions{Fleet: "rig", Acquirers: count, Voters: fleetCluster.Voters(), Tasks: []string{fmt.Sprint("capacity", i)}, LeaseLength: lease})
		if err != nil {
			return err
		}
		if err := measureQuorumSize(ctx, figures, fleetCluster, requesters, count, lease, window); err != nil {
			requesters.Close()
			return fmt.Errorf("%d requesters: %w", count, err)
		}
		requesters.Close()
	}
	return nil
}

func measureQuorumSize(ctx context.Context, figures *series, fleetCluster *cluster.Cluster, requesters *hollow.Acquirers, count int, lease, window time.Duration) error {
	select {
	case <-requesters.Acquisitions():
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(30 * time.Second):
		return fmt.Errorf("no requester acquired the lease within 30 s")
	}
	if err := sleep(ctx, lease); err != nil {
		return err
	}
	cpuBefore, _, _ := nodeUsage(fleetCluster.Nodes)
	requestsBefore, failedBefore := requesters.Commands()
	entriesBefore, trafficBefore, sentBefore, began := appliedEntries(fleetCluster), requesters.Traffic(), sentBytes(fleetCluster.Nodes), time.Now()
	if err := sleep(ctx, window); err != nil {
		return err
	}
	sentAfter := sentBytes(fleetCluster.Nodes)
	cpuAfter, resident, descriptors := nodeUsage(fleetCluster.Nodes)
	requestsAfter, failedAfter := requesters.Commands()
	entriesAfter, traffic, scaledSeconds := appliedEntries(fleetCluster), requesters.Traffic().Minus(trafficBefore), time.Since(began).Seconds()*10/lease.Seconds() // scaled to a lease of 10 s
	figures.size(count)
	figures.put("requests per second, of all requesters", float64(requestsAfter-requestsBefore)/scaledSeconds, 0)
	figures.put("log entries per second", float64(entriesAfter-entriesBefore)/scaledSeconds, 0)
	figures.put("bytes per second at the voters, both ways", float64(traffic.Out+traffic.In)/scaledSeconds, 0)
	figures.put("bytes per second of a requester, both ways", float64(traffic.Out+traffic.In)/scaledSeconds/float64(count), maxBytesPerSecond)
	// The voters send answers, which the requesters received, and to each other the log and a little membership traffic.
	figures.put("bytes per second between the voters", float64(sentAfter-sentBefore-traffic.In)/scaledSeconds, 0)
	figures.put("CPU of all voters, % of a core", 100*(cpuAfter-cpuBefore).Seconds()/scaledSeconds, 0)
	figures.put("resident, of the largest voter, MB", float64(resident)/1e6, 0)
	figures.put("descriptors, maximum of a voter", float64(descriptors), 0)
	leader := fleetCluster.Leader()
	if leader == nil {
		return fmt.Errorf("the voters have no leader")
	}
	leader.Kill()
	killed := fleet.Clock()
	if err := cluster.Await(ctx, "an answer after the death of the leader", 60*time.Second, func() bool { return requesters.LastAnswer() > killed+20*time.Millisecond }); err != nil {
		return err
	}
	fmt.Printf("%5d requesters: %d of %d requests failed; after the leader was killed, the next answer came %v later\n", count, failedAfter-failedBefore, requestsAfter-requestsBefore, (requesters.LastAnswer() - killed).Round(time.Millisecond))
	return leader.Restart(false)
}
