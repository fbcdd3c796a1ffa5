package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"robindrum/internal/fleet"
	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/hollow"
)

const (
	// heartbeatPushBytes is about the size of a push that carries no change.
	heartbeatPushBytes = 180
	// settleInterval is how long no further update may arrive before a change counts as complete: it may take several pushes.
	settleInterval = 300 * time.Millisecond

	changeTimeout     = 60 * time.Second
	nextLeaderTimeout = 90 * time.Second
)

// subscriptionLoad is what the control plane of the measured site serves.
type subscriptionLoad struct {
	clusters  int
	endpoints int // of each cluster
	lease     time.Duration
}

// capacitySubscription measures how a site's subscription leader updates hollow gateways beside two processes.
func capacitySubscription(ctx context.Context, sizes []int, full bool) error {
	s := newSeries("gateways")
	defer func() { s.print(targetGateways) }()
	load := subscriptionLoad{clusters: 72, endpoints: targetEndpointsPerCluster, lease: time.Second}
	if full {
		load.clusters, load.lease = targetClusters, 2*time.Second
	}
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		return err
	}
	defer remove()
	fmt.Printf("3 gateways (processes) with one subscription, the others hollow, in this process; %d clusters of %d endpoints; a sign of life each second\n",
		load.clusters, load.endpoints)
	for _, n := range sizes {
		if err := hollow.MembersRequirement(n, 3).Check(); err != nil {
			return fmt.Errorf("%d gateways: %w", n, err)
		}
		s.size(n)
		for _, variant := range []string{"delta", "sotw"} {
			if err := measureSubscription(ctx, s, cluster.SiteOptions{Binary: binary, Dir: dir, Variant: variant}, n, load); err != nil {
				return fmt.Errorf("%d gateways, %s: %w", n, variant, err)
			}
		}
	}
	return nil
}

// assignment returns the endpoints of a cluster, the first of them with a weight.
func assignment(index, endpoints, weight int) controlplane.Resource {
	list := make([]controlplane.Endpoint, endpoints)
	for j := range list {
		address := fmt.Sprintf("127.%d.%d.%d:80", 1+index/250, index%250, 1+j)
		list[j] = controlplane.Endpoint{Addr: address, Zone: fmt.Sprint("z", j%4), Weight: 1}
	}
	list[0].Weight = uint32(weight)
	name := fmt.Sprint("k", index)
	return controlplane.Resource{Name: name, Body: controlplane.Assignment(name, list...)}
}

// allResources returns every cluster of the load with its endpoints.
func (l subscriptionLoad) allResources() []controlplane.Resource {
	var resources []controlplane.Resource
	for i := range l.clusters {
		name := fmt.Sprint("k", i)
		resources = append(resources, controlplane.Resource{Name: name, Body: controlplane.Cluster(name, "")}, assignment(i, l.endpoints, 1))
	}
	return resources
}

// subscriptionRig is a site whose gateways share one subscription.
type subscriptionRig struct {
	site     *cluster.Site
	fleet    *hollow.Fleet
	gateways *hollow.Gateways
	count    int // hollow gateways
	version  int // of the last change
}

// changeCost is when a change reached the gateways and what it cost, without the heartbeats meanwhile.
type changeCost struct {
	delays []time.Duration // sorted
	bytes  float64         // to each gateway
	cpu    time.Duration   // of the site's processes
}

// leaderCost is when and with how much the next subscription leader updated the gateways.
type leaderCost struct {
	delays    []time.Duration // sorted
	snapshots int
	bytes     int64
}

// startCost is when and with how much a gateway that has just started was updated.
type startCost struct {
	delay time.Duration
	bytes int64
}

// measureSubscription measures one variant of the subscription with a number of hollow gateways.
func measureSubscription(ctx context.Context, s *series, opt cluster.SiteOptions, count int, load subscriptionLoad) error {
	opt.Gateways = 3
	opt.SharedSubscription = true
	opt.Lease = load.lease
	opt.DirectAfter = 20 * time.Second
	opt.Heartbeat = time.Second
	site, err := cluster.NewSite(ctx, opt)
	if err != nil {
		return err
	}
	defer site.Close()
	members, gateways, err := joinHollowGateways(ctx, site.Cluster, count, load.lease/4, load.lease/6, load.lease, "s")
	if err != nil {
		return err
	}
	defer members.Close()
	rig := &subscriptionRig{site: site, fleet: members, gateways: gateways, count: count, version: 100}
	all, err := rig.push(ctx, load.allResources()...)
	if err != nil {
		return fmt.Errorf("all clusters: %w", err)
	}
	one, err := rig.push(ctx, assignment(1, load.endpoints, 7))
	if err != nil {
		return fmt.Errorf("one endpoint: %w", err)
	}
	next, err := rig.replaceLeader(ctx)
	if err != nil {
		return err
	}
	start, err := rig.startGateway(ctx)
	if err != nil {
		return err
	}
	s.put(opt.Variant+", a gateway's start: bytes to it, MB", float64(start.bytes)/1e6, 0)
	s.put(opt.Variant+", one endpoint: bytes to a gateway", one.bytes, 0)
	s.put(opt.Variant+", one endpoint: CPU of the site's processes, ms", float64(one.cpu.Milliseconds()), 0)
	s.put(opt.Variant+", all clusters: bytes to a gateway", all.bytes, 0)
	s.put(opt.Variant+", all clusters: CPU of the processes, ms", float64(all.cpu.Milliseconds()), 0)
	s.put(opt.Variant+", a new holder: bytes it sends, MB", float64(next.bytes)/1e6, 0)
	fmt.Printf("%5d gateways, %s: one endpoint at them after %s; all clusters after %s; a new holder's whole (%d of them) after %s; at one that starts after %v\n",
		count, opt.Variant, describeDelays(one.delays), describeDelays(all.delays), next.snapshots, describeDelays(next.delays), start.delay.Round(time.Millisecond))
	return nil
}

// push has the control plane push a change and waits until all gateways have accepted all of it.
func (r *subscriptionRig) push(ctx context.Context, resources ...controlplane.Resource) (cost changeCost, err error) {
	r.version++
	before := r.gateways.Updates(0)
	cpuBefore, _, _ := resourceUsage(r.site.Nodes)
	at := fleet.Clock()
	if _, err := r.site.ControlPlane.Push(strconv.Itoa(r.version), false, resources...); err != nil {
		return cost, err
	}
	if err := r.awaitUpdates(ctx, "the change at every gateway", at, changeTimeout); err != nil {
		return cost, err
	}
	if cost.delays, err = r.awaitSettled(ctx, at); err != nil {
		return cost, err
	}
	cpuAfter, _, _ := resourceUsage(r.site.Nodes)
	cost.cpu = cpuAfter - cpuBefore
	after := r.gateways.Updates(0)
	heartbeats := after.Pushes - before.Pushes - r.count
	cost.bytes = float64(after.Bytes-before.Bytes-int64(heartbeatPushBytes*heartbeats)) / float64(r.count)
	return cost, nil
}

// awaitUpdates waits until every gateway has accepted an update since a reading of fleet.Clock.
func (r *subscriptionRig) awaitUpdates(ctx context.Context, what string, since, timeout time.Duration) error {
	return cluster.Await(ctx, what, timeout, func() bool { return r.gateways.Updates(since).Without == 0 })
}

// awaitSettled waits until no further update arrives and returns the gateways' delays.
func (r *subscriptionRig) awaitSettled(ctx context.Context, since time.Duration) ([]time.Duration, error) {
	for before := -1; ; {
		if err := idleFor(ctx, settleInterval); err != nil {
			return nil, err
		}
		delays := r.gateways.Updates(since).Delays
		last := int(delays[len(delays)-1])
		if last == before {
			return delays, nil
		}
		before = last
	}
}

// replaceLeader kills the subscription leader and waits until the next one has updated every gateway.
func (r *subscriptionRig) replaceLeader(ctx context.Context) (cost leaderCost, err error) {
	before := r.gateways.Updates(0)
	leader := r.site.SubscriptionLeader()
	if leader == nil {
		return cost, errors.New("nobody holds the subscription")
	}
	at := fleet.Clock()
	leader.Kill()
	if err := r.awaitUpdates(ctx, "the whole from the next holder at every gateway", at, nextLeaderTimeout); err != nil {
		return cost, err
	}
	after := r.gateways.Updates(at)
	return leaderCost{delays: after.Delays, snapshots: after.Snapshots - before.Snapshots, bytes: after.Bytes - before.Bytes}, nil
}

// startGateway starts a further hollow gateway and waits until it has accepted its first update.
func (r *subscriptionRig) startGateway(ctx context.Context) (cost startCost, err error) {
	began := fleet.Clock()
	member, err := r.fleet.AddMember()
	if err != nil {
		return cost, err
	}
	var first time.Duration
	updated := func() bool {
		first, cost.bytes = r.gateways.FirstUpdate(member.Name)
		return first > 0
	}
	if err := cluster.Await(ctx, "the whole at a gateway that has started", changeTimeout, updated); err != nil {
		return cost, err
	}
	cost.delay = first - began
	return cost, nil
}

// describeDelays returns the median, the 99th percentile and the maximum of sorted delays.
func describeDelays(delays []time.Duration) string {
	n := len(delays)
	return fmt.Sprintf("%v, p99 %v, last %v", delays[n/2].Round(time.Millisecond), delays[n*99/100].Round(time.Millisecond), delays[n-1].Round(time.Millisecond))
}
