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

// capacityOrders has hollow gateways take the leader's rounds: with nothing ordered, and with one of them out.
func capacityOrders(ctx context.Context, sizes []int, full bool) error {
	s := newSeries("gateways")
	defer func() { s.print(targetGateways) }()
	beat := 300 * time.Millisecond
	if full {
		beat = time.Second
	}
	window := 8 * beat // a whole number of rounds, also with nothing ordered
	if full {
		window *= 2
	}
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		return err
	}
	defer remove()
	fmt.Printf("3 voters and a gateway that does not vote (processes), a heartbeat of %v; each other gateway a hollow one, all in this process\n", beat)
	for _, n := range sizes {
		if err := hollow.MembersRequirement(n, 3).Check(); err != nil {
			return fmt.Errorf("%d gateways: %w", n, err)
		}
		if err := ordersSize(ctx, s, dir, binary, n, beat, window); err != nil {
			return fmt.Errorf("%d gateways: %w", n, err)
		}
	}
	return nil
}

// ordersSize measures the leader beside n hollow gateways, with nothing drained, with one gateway drained and during a release.
func ordersSize(ctx context.Context, s *series, dir, binary string, n int, beat, window time.Duration) error {
	folder, err := os.MkdirTemp(dir, "capacity-")
	if err != nil {
		return err
	}
	const text = "clusters: [{name: c, endpoints: [{address: \"127.0.0.1:9\"}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n"
	c, err := cluster.New(cluster.Options{Binary: binary, Dir: folder, Nodes: 4, Voters: 3, Sites: []string{"s"}, Lease: 10 * time.Second, Heartbeat: beat, Probe: beat,
		ExtraConfig: func(int) string { return text + "zone: z0\n" }}) // as the hollow ones: a release's waves keep zones apart, and these serve nothing
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Start(); err != nil {
		return err
	}
	if err := cluster.Await(ctx, "a leader", 30*time.Second, func() bool { return c.Leader() != nil }); err != nil {
		return err
	}
	f, g, err := joinHollowGateways(ctx, c, n, beat, beat, 10*time.Second, "s")
	if err != nil {
		return err
	}
	defer f.Close()
	if err := idleFor(ctx, 8*beat); err != nil {
		return err
	}
	idle, err := measureLeader(ctx, c, g, window)
	if err != nil {
		return err
	}
	s.size(n)
	idle.put(s, "nothing ordered", beat)
	reached, done, err := drainOne(ctx, c, g, fmt.Sprint("h", n/2))
	if err != nil {
		return err
	}
	drained, err := measureLeader(ctx, c, g, window)
	if err != nil {
		return err
	}
	_, _, files := resourceUsage(c.Nodes[3:])
	s.put("descriptors of a gateway that does not vote", float64(files), 0)
	drained.put(s, "one out", beat)
	if err := putObservationBytes(s, n); err != nil {
		return err
	}
	if _, err := c.Nodes[0].SendDrain("undrain", drain.Request{ID: ordersDrain}); err != nil {
		return fmt.Errorf("undrain: %w", err)
	}
	if err := releaseWaves(ctx, s, c, g, n, beat); err != nil {
		return fmt.Errorf("a release: %w", err)
	}
	fmt.Printf("%5d gateways: rounds %v, p99 %v apart; an order reaches its gateway after %v, is done after %v; with it rounds %v, p99 %v apart\n", n,
		idle.p50.Round(time.Millisecond), idle.p99.Round(time.Millisecond), reached.Round(time.Millisecond), done.Round(time.Millisecond),
		drained.p50.Round(time.Millisecond), drained.p99.Round(time.Millisecond))
	return nil
}

// ordersDrain is the id of the drain that capacityOrders requests.
const ordersDrain = "capacity"

// leaderLoad is what the leader's reconciliation costs, each figure a second but for the intervals.
type leaderLoad struct {
	calls   float64       // to gateways
	entries float64       // of the log
	bytes   float64       // sent
	cpu     float64       // percent of a core
	p50     time.Duration // between two calls to a gateway
	p99     time.Duration
}

// measureLeader measures the leader during a window.
func measureLeader(ctx context.Context, c *cluster.Cluster, g *hollow.Gateways, window time.Duration) (leaderLoad, error) {
	since, entriesBefore, began := fleet.Clock(), appliedEntries(c), time.Now()
	leader := c.Leader()
	if leader == nil {
		return leaderLoad{}, fmt.Errorf("no leader")
	}
	var sentBefore int64
	cpuBefore, _, _ := resourceUsage([]*cluster.Node{leader})
	if status, err := leader.Fleet(); err == nil {
		sentBefore = status.SentBytes
	}
	if err := idleFor(ctx, window); err != nil {
		return leaderLoad{}, err
	}
	intervals, calls := g.ReconcileIntervals(since)
	seconds := time.Since(began).Seconds()
	cpu, _, _ := resourceUsage([]*cluster.Node{leader})
	load := leaderLoad{calls: float64(calls) / seconds, cpu: 100 * (cpu - cpuBefore).Seconds() / seconds}
	if status, err := leader.Fleet(); err == nil {
		load.bytes = float64(status.SentBytes-sentBefore) / seconds
	}
	if len(intervals) > 0 {
		load.p50, load.p99 = intervals[len(intervals)/2], intervals[len(intervals)*99/100]
	}
	load.entries = float64(appliedEntries(c)-entriesBefore) / seconds
	return load, nil
}

// put adds the figures as they would be with a heartbeat of a second.
func (l leaderLoad) put(s *series, state string, beat time.Duration) {
	rate := 1 / beat.Seconds()
	s.put(state+": calls of the leader a second", l.calls/rate, 0)
	s.put(state+": bytes it sends a second", l.bytes/rate, boundBytes)
	s.put(state+": CPU of the leader, %", l.cpu/rate, boundCPU)
	s.put(state+": entries a second", l.entries/rate, 0)
}

// drainOne requests the drain of a gateway and returns when the request reached the gateway and when it was done, from the
// first attempt on.
func drainOne(ctx context.Context, c *cluster.Cluster, g *hollow.Gateways, gateway string) (reached, done time.Duration, err error) {
	began := fleet.Clock()
	if err := cluster.Await(ctx, "an order that is granted", 60*time.Second, func() bool {
		o, err := c.Nodes[0].SendDrain("drain", drain.Request{ID: ordersDrain, Target: drain.Target{Gateway: gateway}, Owner: "measure", Grace: time.Minute})
		return err == nil && o.State != drain.Rejected
	}); err != nil {
		return 0, 0, err
	}
	if err := cluster.Await(ctx, "the gateway to be told", 60*time.Second, func() bool { return g.DrainedAt(gateway, ordersDrain) > 0 }); err != nil {
		return 0, 0, err
	}
	reached = g.DrainedAt(gateway, ordersDrain) - began
	if err := cluster.Await(ctx, "the order to be done", 60*time.Second, func() bool {
		requests, err := c.Nodes[0].DrainRequests()
		return err == nil && requests[ordersDrain].State == drain.Drained
	}); err != nil {
		return 0, 0, err
	}
	done = fleet.Clock() - began
	return reached, done, nil
}

// putObservationBytes adds the size of one observation of all gateways, as the log holds it.
func putObservationBytes(s *series, gateways int) error {
	observed, err := json.Marshal(observationOf(gateways, 0))
	if err != nil {
		return err
	}
	s.put("bytes of one agreed look at all gateways", float64(len(observed)), 0)
	if observed, err = json.Marshal(observationOf(gateways, 20_000)); err != nil {
		return err
	}
	s.put("the same with 20,000 endpoints", float64(len(observed)), 0)
	return nil
}

// releaseWaves has a configuration go over all gateways, by its waves.
func releaseWaves(ctx context.Context, s *series, c *cluster.Cluster, g *hollow.Gateways, n int, beat time.Duration) error {
	const text = "routes: [{match: {prefix: /}, cluster: c}, {match: {prefix: /more}, cluster: c}]\n"
	plan := &release.Plan{ID: "capacity", Target: fleet.ConfigDigest([]byte(text)), Owner: "measure", Soak: 2 * beat, Gate: release.Gate{MinRequests: 50}}
	g.ReportRequests()
	if err := idleFor(ctx, 8*beat); err != nil { // a round in which nothing was ordered
		return err
	}
	if err := c.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStoreConfig, Digest: plan.Target, Text: text}); err != nil {
		return err
	}
	leader := c.Leader()
	if leader == nil {
		return fmt.Errorf("no leader")
	}
	cpu0, _, _ := resourceUsage([]*cluster.Node{leader})
	b0, e0, began := sentBytes([]*cluster.Node{leader}), appliedEntries(c), time.Now()
	if err := c.Nodes[0].SendRelease(quorum.Command{Op: quorum.OpStartRelease, Plan: plan}); err != nil {
		return err
	}
	waves, why := 0, ""
	if err := cluster.Await(ctx, "the release to be done", 100*beat, func() bool {
		l, err := c.Nodes[0].Releases()
		if err != nil {
			return false
		}
		if l.Current != nil {
			waves, why = max(waves, len(l.Current.Waves)), fmt.Sprint(l.Current.State, ": ", l.Current.StateReason)
			return l.Current.State == release.Done
		}
		for _, r := range l.Ended {
			if r.ID == plan.ID {
				waves, why = max(waves, len(r.Waves)), fmt.Sprint(r.State, ": ", r.StateReason)
				return r.State == release.Done
			}
		}
		return false
	}); err != nil {
		return fmt.Errorf("%w; it stands at %s", err, why)
	}
	took := time.Since(began)
	cpu1, _, _ := resourceUsage([]*cluster.Node{leader})
	d := took.Seconds() / beat.Seconds() // told for a heartbeat of a second
	s.put("a release: bytes the leader sends a second, with the log", float64(sentBytes([]*cluster.Node{leader})-b0)/d, 0)
	s.put("a release: CPU of the leader, %", 100*(cpu1-cpu0).Seconds()/d, boundCPU)
	s.put("a release: entries a second", float64(appliedEntries(c)-e0)/d, 0)
	fmt.Printf("%5d gateways: a release of a configuration in %d waves took %v, %v of them for soaks of %v\n", n, waves, took.Round(10*time.Millisecond), time.Duration(waves)*plan.Soak, plan.Soak)
	return nil
}

// observationOf is an observation of so many gateways and endpoints, as the leader commits it.
func observationOf(gateways, endpoints int) quorum.Observation {
	v := quorum.Observation{Version: 1}
	for i := range gateways {
		g := drain.Gateway{Name: fmt.Sprint("gateway-", i), Site: "s", Zone: "z0", Incarnation: uint64(time.Now().UnixNano()), Serving: true}
		v.Gateways = append(v.Gateways, g)
		v.Releases = append(v.Releases, release.Gateway{Name: g.Name, Site: g.Site, Zone: g.Zone, Incarnation: g.Incarnation, Responding: true, Serving: true})
	}
	for i := range endpoints {
		v.Endpoints = append(v.Endpoints, drain.Endpoint{Cluster: fmt.Sprint("c", i/29), Address: fmt.Sprintf("10.%d.%d.%d:8080", i/62500, i/250%250, i%250), Zone: "z0", Healthy: true})
	}
	return v
}
