package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/controlplane"
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

// capacityQuorum has members ask real voters for one lease, and has the voters lose their leader.
func capacityQuorum(ctx context.Context, sizes []int, full bool) error {
	voters := []int{3}
	lease, window := 2*time.Second, 4*time.Second
	if full {
		voters, lease, window = []int{3, 5}, 10*time.Second, 20*time.Second
	}
	dir, binary, remove, err := program(ctx)
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
	defer func() { s.print(target) }()
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
	cpu0, _, _ := spent(c.Nodes)
	asked0, failed0 := a.Commands()
	e0, t0, v0, began := applied(c), a.Traffic(), spoken(c.Nodes), time.Now()
	if err := idleFor(ctx, window); err != nil {
		return err
	}
	v1 := spoken(c.Nodes)
	cpu1, resident, files := spent(c.Nodes)
	asked1, failed1 := a.Commands()
	e1, t, d := applied(c), a.Traffic().Minus(t0), time.Since(began).Seconds()*10/lease.Seconds() // as with a lease of 10 s
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

// capacityOrders has hollow gateways take the leader's rounds: with nothing ordered, and with one of them out.
func capacityOrders(ctx context.Context, sizes []int, full bool) error {
	s := newSeries("gateways")
	defer func() { s.print(target) }()
	beat := 300 * time.Millisecond
	if full {
		beat = time.Second
	}
	window := 8 * beat // a whole number of rounds, also with nothing ordered
	if full {
		window *= 2
	}
	dir, binary, remove, err := program(ctx)
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
	// Danger: what is measured while the members still tell each other of the joins is the joins.
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
	f, g, err := joined(ctx, c, n, beat, beat, 10*time.Second, "s")
	if err != nil {
		return err
	}
	defer f.Close()
	look := func() (calls, entries, bytes, cpu float64, p50, p99 time.Duration, err error) {
		since, cpu0, e0, b0, began := fleet.Clock(), time.Duration(0), applied(c), int64(0), time.Now()
		leader := c.Leader()
		if leader == nil {
			return 0, 0, 0, 0, 0, 0, fmt.Errorf("no leader")
		}
		cpu0, _, _ = spent([]*cluster.Node{leader})
		if st, err := leader.Fleet(); err == nil {
			b0 = st.SentBytes
		}
		if err := idleFor(ctx, window); err != nil {
			return 0, 0, 0, 0, 0, 0, err
		}
		between, k := g.ReconcileIntervals(since)
		d := time.Since(began).Seconds()
		cpu1, _, _ := spent([]*cluster.Node{leader})
		if st, err := leader.Fleet(); err == nil {
			bytes = float64(st.SentBytes-b0) / d
		}
		if len(between) > 0 {
			p50, p99 = between[len(between)/2], between[len(between)*99/100]
		}
		return float64(k) / d, float64(applied(c)-e0) / d, bytes, 100 * (cpu1 - cpu0).Seconds() / d, p50, p99, nil
	}
	if err := idleFor(ctx, 8*beat); err != nil {
		return err
	}
	calls, entries, bytes, cpu, p50, p99, err := look()
	if err != nil {
		return err
	}
	k := 1 / beat.Seconds() // told for a heartbeat of a second
	s.size(n)
	s.put("nothing ordered: calls of the leader a second", calls/k, 0)
	s.put("nothing ordered: bytes it sends a second", bytes/k, boundBytes)
	s.put("nothing ordered: CPU of the leader, %", cpu/k, boundCPU)
	s.put("nothing ordered: entries a second", entries/k, 0)
	line := fmt.Sprintf("%5d gateways: rounds %v, p99 %v apart", n, p50.Round(time.Millisecond), p99.Round(time.Millisecond))
	who := fmt.Sprint("h", n/2)
	at := fleet.Clock()
	if err := cluster.Await(ctx, "an order that is granted", 60*time.Second, func() bool {
		o, err := c.Nodes[0].SendDrain("drain", drain.Request{ID: "capacity", Target: drain.Target{Gateway: who}, Owner: "measure", Grace: time.Minute})
		return err == nil && o.State != drain.Rejected
	}); err != nil {
		return err
	}
	if err := cluster.Await(ctx, "the gateway to be told", 60*time.Second, func() bool { return g.DrainedAt(who, "capacity") > 0 }); err != nil {
		return err
	}
	told := g.DrainedAt(who, "capacity") - at
	if err := cluster.Await(ctx, "the order to be done", 60*time.Second, func() bool {
		l, err := c.Nodes[0].DrainRequests()
		return err == nil && l["capacity"].State == drain.Drained
	}); err != nil {
		return err
	}
	done := fleet.Clock() - at
	if calls, entries, bytes, cpu, p50, p99, err = look(); err != nil {
		return err
	}
	_, _, files := spent(c.Nodes[3:])
	s.put("descriptors of a gateway that does not vote", float64(files), 0)
	s.put("one out: calls of the leader a second", calls/k, 0)
	s.put("one out: bytes it sends a second", bytes/k, boundBytes)
	s.put("one out: CPU of the leader, %", cpu/k, boundCPU)
	s.put("one out: entries a second", entries/k, 0)
	seen, err := json.Marshal(looks(n, 0))
	if err != nil {
		return err
	}
	s.put("bytes of one agreed look at all gateways", float64(len(seen)), 0)
	if seen, err = json.Marshal(looks(n, 20_000)); err != nil {
		return err
	}
	s.put("the same with 20,000 endpoints", float64(len(seen)), 0)
	if _, err := c.Nodes[0].SendDrain("undrain", drain.Request{ID: "capacity"}); err != nil {
		return fmt.Errorf("undrain: %w", err)
	}
	if err := releaseWaves(ctx, s, c, g, n, beat); err != nil {
		return fmt.Errorf("a release: %w", err)
	}
	fmt.Printf("%s; an order reaches its gateway after %v, is done after %v; with it rounds %v, p99 %v apart\n", line, told.Round(time.Millisecond), done.Round(time.Millisecond),
		p50.Round(time.Millisecond), p99.Round(time.Millisecond))
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
	cpu0, _, _ := spent([]*cluster.Node{leader})
	b0, e0, began := spoken([]*cluster.Node{leader}), applied(c), time.Now()
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
	cpu1, _, _ := spent([]*cluster.Node{leader})
	d := took.Seconds() / beat.Seconds() // told for a heartbeat of a second
	s.put("a release: bytes the leader sends a second, with the log", float64(spoken([]*cluster.Node{leader})-b0)/d, 0)
	s.put("a release: CPU of the leader, %", 100*(cpu1-cpu0).Seconds()/d, boundCPU)
	s.put("a release: entries a second", float64(applied(c)-e0)/d, 0)
	fmt.Printf("%5d gateways: a release of a configuration in %d waves took %v, %v of them for soaks of %v\n", n, waves, took.Round(10*time.Millisecond), time.Duration(waves)*plan.Soak, plan.Soak)
	return nil
}

// looks is what the leader has agreed on where anything about a gateway or an endpoint has changed.
func looks(gateways, endpoints int) quorum.Observation {
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

// capacitySubscription has a site's one subscription's holder tell hollow gateways beside two processes.
func capacitySubscription(ctx context.Context, sizes []int, full bool) error {
	s := newSeries("gateways")
	defer func() { s.print(target) }()
	clusters, each, lease := 72, targetEach, time.Second
	if full {
		clusters, lease = targetClusters, 2*time.Second
	}
	dir, binary, remove, err := program(ctx)
	if err != nil {
		return err
	}
	defer remove()
	fmt.Printf("3 gateways (processes) with one subscription, the others hollow, in this process; %d clusters of %d endpoints; a sign of life each second\n", clusters, each)
	for _, n := range sizes {
		if err := hollow.MembersRequirement(n, 3).Check(); err != nil {
			return fmt.Errorf("%d gateways: %w", n, err)
		}
		s.size(n)
		for _, variant := range []string{"delta", "sotw"} {
			if err := subscriptionSize(ctx, s, dir, binary, variant, n, clusters, each, lease); err != nil {
				return fmt.Errorf("%d gateways, %s: %w", n, variant, err)
			}
		}
	}
	return nil
}

func assignment(i, each, weight int) controlplane.Resource {
	l := make([]controlplane.Endpoint, each)
	for j := range l {
		l[j] = controlplane.Endpoint{Addr: fmt.Sprintf("127.%d.%d.%d:80", 1+i/250, i%250, 1+j), Zone: fmt.Sprint("z", j%4), Weight: 1}
	}
	l[0].Weight = uint32(weight)
	return controlplane.Resource{Name: fmt.Sprint("k", i), Body: controlplane.Assignment(fmt.Sprint("k", i), l...)}
}

func subscriptionSize(ctx context.Context, s *series, dir, binary, variant string, n, clusters, each int, lease time.Duration) error {
	site, err := cluster.NewSite(ctx, cluster.SiteOptions{Binary: binary, Dir: dir, Gateways: 3, SharedSubscription: true, Variant: variant, Lease: lease, DirectAfter: 20 * time.Second, Heartbeat: time.Second})
	if err != nil {
		return err
	}
	defer site.Close()
	f, g, err := joined(ctx, site.Cluster, n, lease/4, lease/6, lease, "s")
	if err != nil {
		return err
	}
	defer f.Close()
	version := 100
	// news has a change pushed and gives when the gateways have it and what it cost, less the signs of life meanwhile.
	news := func(set ...controlplane.Resource) (took []time.Duration, bytes float64, cpu time.Duration, err error) {
		version++
		_, _, _, p0, b0 := g.Updates(0)
		cpu0, _, _ := spent(site.Nodes)
		at := fleet.Clock()
		if _, err := site.ControlPlane.Push(strconv.Itoa(version), false, set...); err != nil {
			return nil, 0, 0, err
		}
		if err := cluster.Await(ctx, "the change at every gateway", 60*time.Second, func() bool { _, none, _, _, _ := g.Updates(at); return none == 0 }); err != nil {
			return nil, 0, 0, err
		}
		for before := -1; ; { // what comes in several messages
			if err := idleFor(ctx, 300*time.Millisecond); err != nil {
				return nil, 0, 0, err
			}
			l, _, _, _, _ := g.Updates(at)
			if last := int(l[len(l)-1]); last == before {
				took = l
				break
			} else {
				before = last
			}
		}
		cpu1, _, _ := spent(site.Nodes)
		_, _, _, p1, b1 := g.Updates(0)
		const life = 180 // bytes of a sign of life, about
		return took, float64(b1-b0-int64(life*(p1-p0-n))) / float64(n), cpu1 - cpu0, nil
	}
	var set []controlplane.Resource
	for i := range clusters {
		set = append(set, controlplane.Resource{Name: fmt.Sprint("k", i), Body: controlplane.Cluster(fmt.Sprint("k", i), "")}, assignment(i, each, 1))
	}
	all, allBytes, allCPU, err := news(set...)
	if err != nil {
		return fmt.Errorf("all clusters: %w", err)
	}
	one, oneBytes, oneCPU, err := news(assignment(1, each, 7))
	if err != nil {
		return fmt.Errorf("one endpoint: %w", err)
	}
	// The holder dies: whoever is next tells all gateways the whole.
	_, _, w0, _, b0 := g.Updates(0)
	holder := site.SubscriptionLeader()
	if holder == nil {
		return fmt.Errorf("nobody holds the subscription")
	}
	at := fleet.Clock()
	holder.Kill()
	if err := cluster.Await(ctx, "the whole from the next holder at every gateway", 90*time.Second, func() bool { _, none, _, _, _ := g.Updates(at); return none == 0 }); err != nil {
		return err
	}
	whole, _, w1, _, b1 := g.Updates(at)
	began := fleet.Clock()
	more, err := f.AddMember()
	if err != nil {
		return err
	}
	var first time.Duration
	var startBytes int64
	if err := cluster.Await(ctx, "the whole at a gateway that has started", 60*time.Second, func() bool { first, startBytes = g.FirstUpdate(more.Name); return first > 0 }); err != nil {
		return err
	}
	s.put(variant+", a gateway's start: bytes to it, MB", float64(startBytes)/1e6, 0)
	s.put(variant+", one endpoint: bytes to a gateway", oneBytes, 0)
	s.put(variant+", one endpoint: CPU of the site's processes, ms", float64(oneCPU.Milliseconds()), 0)
	s.put(variant+", all clusters: bytes to a gateway", allBytes, 0)
	s.put(variant+", all clusters: CPU of the processes, ms", float64(allCPU.Milliseconds()), 0)
	s.put(variant+", a new holder: bytes it sends, MB", float64(b1-b0)/1e6, 0)
	last := func(l []time.Duration) string {
		return fmt.Sprintf("%v, p99 %v, last %v", l[len(l)/2].Round(time.Millisecond), l[len(l)*99/100].Round(time.Millisecond), l[len(l)-1].Round(time.Millisecond))
	}
	fmt.Printf("%5d gateways, %s: one endpoint at them after %s; all clusters after %s; a new holder's whole (%d of them) after %s; at one that starts after %v\n", n, variant, last(one), last(all), w1-w0, last(whole),
		(first - began).Round(time.Millisecond))
	return nil
}
