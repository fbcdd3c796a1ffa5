package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/hollow"
)

// capacityOrders measures reconciliation by the leader with hollow gateways: without drain requests, with one gateway drained and during
// a release.
func capacityOrders(ctx context.Context, sizes []int, full bool) error {
	figures := newSeries("gateways")
	defer func() { figures.print(targetGateways) }()
	heartbeat := 300 * time.Millisecond
	if full {
		heartbeat = time.Second
	}
	window := 8 * heartbeat // a whole number of rounds, also without drain requests
	if full {
		window *= 2
	}
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		return err
	}
	defer remove()
	fmt.Printf("3 voters and a non-voting gateway (processes), a heartbeat of %v; all other gateways are hollow, in this process\n", heartbeat)
	for _, count := range sizes {
		if err := hollow.MembersRequirement(count, 3).Check(); err != nil {
			return fmt.Errorf("%d gateways: %w", count, err)
		}
		if err := measureOrdersSize(ctx, figures, dir, binary, count, heartbeat, window); err != nil {
			return fmt.Errorf("%d gateways: %w", count, err)
		}
	}
	return nil
}

// measureOrdersSize measures the leader with a number of hollow gateways.
func measureOrdersSize(ctx context.Context, figures *series, dir, binary string, count int, heartbeat, window time.Duration) error {
	folder, err := os.MkdirTemp(dir, "capacity-")
	if err != nil {
		return err
	}
	const text = "clusters: [{name: c, endpoints: [{address: \"127.0.0.1:9\"}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n"
	processes, err := cluster.New(cluster.Options{Binary: binary, Dir: folder, Nodes: 4, Voters: 3, Sites: []string{"s"}, Lease: 10 * time.Second, Heartbeat: heartbeat, Probe: heartbeat,
		ExtraConfig: func(int) string { return text + "zone: z0\n" }}) // the zone of the hollow gateways: waves do not mix zones, and the processes serve nothing
	if err != nil {
		return err
	}
	defer processes.Close()
	if err := processes.Start(); err != nil {
		return err
	}
	if err := cluster.Await(ctx, "a leader", 30*time.Second, func() bool { return processes.Leader() != nil }); err != nil {
		return err
	}
	members, gateways, err := joinHollowGateways(ctx, processes, count, heartbeat, heartbeat, 10*time.Second, "s")
	if err != nil {
		return err
	}
	defer members.Close()
	if err := sleep(ctx, 8*heartbeat); err != nil {
		return err
	}
	idle, err := measureLeader(ctx, processes, gateways, window)
	if err != nil {
		return err
	}
	figures.size(count)
	idle.put(figures, "no drain requests", heartbeat)
	reached, done, err := measureGatewayDrain(ctx, processes, gateways, fmt.Sprint("h", count/2))
	if err != nil {
		return err
	}
	drained, err := measureLeader(ctx, processes, gateways, window)
	if err != nil {
		return err
	}
	_, _, descriptors := nodeUsage(processes.Nodes[3:])
	figures.put("descriptors of a non-voting gateway", float64(descriptors), 0)
	drained.put(figures, "one drained", heartbeat)
	if err := putObservationBytes(figures, count); err != nil {
		return err
	}
	if _, err := processes.Nodes[0].SendDrain("undrain", drain.Request{ID: ordersDrainID}); err != nil {
		return fmt.Errorf("undrain: %w", err)
	}
	if err := measureRelease(ctx, figures, processes, gateways, count, heartbeat); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	fmt.Printf("%5d gateways: interval between rounds p50 %v, p99 %v; a drain request reaches its gateway after %v, the gateway is drained after %v; then the interval is p50 %v, p99 %v\n", count,
		idle.p50.Round(time.Millisecond), idle.p99.Round(time.Millisecond), reached.Round(time.Millisecond), done.Round(time.Millisecond),
		drained.p50.Round(time.Millisecond), drained.p99.Round(time.Millisecond))
	return nil
}

// ordersDrainID is the id of the drain that capacityOrders requests.
const ordersDrainID = "capacity"

// leaderLoad is the cost of reconciliation for the leader. All figures are per second, except the intervals.
type leaderLoad struct {
	calls   float64       // to gateways
	entries float64       // of the log
	bytes   float64       // sent
	cpu     float64       // percent of a core
	p50     time.Duration // interval between calls to a gateway
	p99     time.Duration
}

// measureLeader measures the leader during a window.
func measureLeader(ctx context.Context, processes *cluster.Cluster, gateways *hollow.Gateways, window time.Duration) (leaderLoad, error) {
	since, entriesBefore, began := fleet.Clock(), appliedEntries(processes), time.Now()
	leader := processes.Leader()
	if leader == nil {
		return leaderLoad{}, fmt.Errorf("the voters have no leader")
	}
	var sentBefore int64
	cpuBefore, _, _ := nodeUsage([]*cluster.Node{leader})
	if status, err := leader.Fleet(); err == nil {
		sentBefore = status.SentBytes
	}
	if err := sleep(ctx, window); err != nil {
		return leaderLoad{}, err
	}
	intervals, calls := gateways.ReconcileIntervals(since)
	seconds := time.Since(began).Seconds()
	cpu, _, _ := nodeUsage([]*cluster.Node{leader})
	load := leaderLoad{calls: float64(calls) / seconds, cpu: 100 * (cpu - cpuBefore).Seconds() / seconds}
	if status, err := leader.Fleet(); err == nil {
		load.bytes = float64(status.SentBytes-sentBefore) / seconds
	}
	if len(intervals) > 0 {
		load.p50, load.p99 = intervals[len(intervals)/2], intervals[len(intervals)*99/100]
	}
	load.entries = float64(appliedEntries(processes)-entriesBefore) / seconds
	return load, nil
}

// put adds the figures, scaled to a heartbeat of one second.
func (l leaderLoad) put(s *series, state string, heartbeat time.Duration) {
	rate := 1 / heartbeat.Seconds()
	s.put(state+": calls of the leader per second", l.calls/rate, 0)
	s.put(state+": bytes the leader sends per second", l.bytes/rate, maxBytesPerSecond)
	s.put(state+": CPU of the leader, %", l.cpu/rate, maxCPUPercent)
	s.put(state+": log entries per second", l.entries/rate, 0)
}

// measureGatewayDrain requests the drain of a gateway. It returns the times from the first attempt until the request reached the
// gateway and until the gateway was drained.
func measureGatewayDrain(ctx context.Context, processes *cluster.Cluster, gateways *hollow.Gateways, gateway string) (reached, done time.Duration, err error) {
	began := fleet.Clock()
	if err := cluster.Await(ctx, "a drain request to be accepted", 60*time.Second, func() bool {
		request, err := processes.Nodes[0].SendDrain("drain", drain.Request{ID: ordersDrainID, Target: drain.Target{Gateway: gateway}, Owner: "measure", Grace: time.Minute})
		return err == nil && request.State != drain.Rejected
	}); err != nil {
		return 0, 0, err
	}
	if err := cluster.Await(ctx, "the drain request to reach the gateway", 60*time.Second, func() bool { return gateways.DrainedAt(gateway, ordersDrainID) > 0 }); err != nil {
		return 0, 0, err
	}
	reached = gateways.DrainedAt(gateway, ordersDrainID) - began
	if err := cluster.Await(ctx, "the gateway to be drained", 60*time.Second, func() bool {
		requests, err := processes.Nodes[0].DrainRequests()
		return err == nil && requests[ordersDrainID].State == drain.Drained
	}); err != nil {
		return 0, 0, err
	}
	done = fleet.Clock() - began
	return reached, done, nil
}

// putObservationBytes adds the encoded size of an observation of all gateways, as the log stores it.
func putObservationBytes(s *series, gateways int) error {
	observed, err := json.Marshal(observationOf(gateways, 0))
	if err != nil {
		return err
	}
	s.put("bytes of an observation of all gateways", float64(len(observed)), 0)
	if observed, err = json.Marshal(observationOf(gateways, 20_000)); err != nil {
		return err
	}
	s.put("the same with 20,000 endpoints", float64(len(observed)), 0)
	return nil
}

// measureRelease measures a release of a configuration to all gateways in waves.
func measureRelease(ctx context.Context, figures *series, processes *cluster.Cluster, gateways *hollow.Gateways, count int, heartbeat time.Duration) error {
	const text = "routes: [{match: {prefix: /}, cluster: c}, {match: {prefix: /more}, cluster: c}]\n"
	plan := &release.Plan{ID: "capacity", Target: fleet.ConfigDigest([]byte(text)), Owner: "measure", Soak: 2 * heartbeat, Gate: release.Gate{MinRequests: 50}}
	gateways.ReportRequests()
	if err := sleep(ctx, 8*heartbeat); err != nil { // a round without drain requests
		return err
	}
	if err := processes.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStoreConfig, Digest: plan.Target, Text: text}); err != nil {
		return err
	}
	leader := processes.Leader()
	if leader == nil {
		return fmt.Errorf("the voters have no leader")
	}
	cpuBefore, _, _ := nodeUsage([]*cluster.Node{leader})
	sentBefore, entriesBefore, began := sentBytes([]*cluster.Node{leader}), appliedEntries(processes), time.Now()
	if err := processes.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}); err != nil {
		return err
	}
	waves, lastState := 0, ""
	if err := cluster.Await(ctx, "the release to be done", 100*heartbeat, func() bool {
		releases, err := processes.Nodes[0].Releases()
		if err != nil {
			return false
		}
		if releases.Current != nil {
			waves, lastState = max(waves, len(releases.Current.Waves)), fmt.Sprint(releases.Current.State, ": ", releases.Current.StateReason)
			return releases.Current.State == release.Done
		}
		for _, ended := range releases.Ended {
			if ended.ID == plan.ID {
				waves, lastState = max(waves, len(ended.Waves)), fmt.Sprint(ended.State, ": ", ended.StateReason)
				return ended.State == release.Done
			}
		}
		return false
	}); err != nil {
		return fmt.Errorf("%w; last state %s", err, lastState)
	}
	took := time.Since(began)
	cpuAfter, _, _ := nodeUsage([]*cluster.Node{leader})
	scaledSeconds := took.Seconds() / heartbeat.Seconds() // scaled to a heartbeat of one second
	figures.put("a release: bytes the leader sends per second, log included", float64(sentBytes([]*cluster.Node{leader})-sentBefore)/scaledSeconds, 0)
	figures.put("a release: CPU of the leader, %", 100*(cpuAfter-cpuBefore).Seconds()/scaledSeconds, maxCPUPercent)
	figures.put("a release: log entries per second", float64(appliedEntries(processes)-entriesBefore)/scaledSeconds, 0)
	fmt.Printf("%5d gateways: a release of a configuration in %d waves took %v, including %v for soaks of %v each\n", count, waves, took.Round(10*time.Millisecond), time.Duration(waves)*plan.Soak, plan.Soak)
	return nil
}

// observationOf returns an observation of a number of gateways and endpoints, as the leader commits it.
func observationOf(gateways, endpoints int) quorum.Observation {
	observation := quorum.Observation{Version: 1}
	for i := range gateways {
		gateway := drain.Gateway{Name: fmt.Sprint("gateway-", i), Site: "s", Zone: "z0", Incarnation: uint64(time.Now().UnixNano()), Serving: true}
		observation.Gateways = append(observation.Gateways, gateway)
		observation.Releases = append(observation.Releases, release.Gateway{Name: gateway.Name, Site: gateway.Site, Zone: gateway.Zone, Incarnation: gateway.Incarnation, Responding: true, Serving: true})
	}
	for i := range endpoints {
		observation.Endpoints = append(observation.Endpoints, drain.Endpoint{Cluster: fmt.Sprint("c", i/29), Address: fmt.Sprintf("10.%d.%d.%d:8080", i/62500, i/250%250, i%250), Zone: "z0", Healthy: true})
	}
	return observation
}
