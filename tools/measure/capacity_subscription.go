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
	// heartbeatPushBytes is the approximate size of a push without a change.
	heartbeatPushBytes = 180
	// settleInterval is the time without a further update after which a change counts as complete. A change may take several pushes.
	settleInterval = 300 * time.Millisecond

	changeTimeout     = 60 * time.Second
	nextLeaderTimeout = 90 * time.Second
)

// subscriptionLoad describes the resources that the control plane of the measured site serves, and the lease length.
type subscriptionLoad struct {
	clusters  int
	endpoints int // of each cluster
	lease     time.Duration
}

// capacitySubscription measures how the subscription leader of a site updates hollow gateways and two other processes.
func capacitySubscription(ctx context.Context, sizes []int, full bool) error {
	figures := newSeries("gateways")
	defer func() { figures.print(targetGateways) }()
	load := subscriptionLoad{clusters: 72, endpoints: targetEndpointsPerCluster, lease: time.Second}
	if full {
		load.clusters, load.lease = targetClusters, 2*time.Second
	}
	dir, binary, remove, err := buildProgram(ctx)
	if err != nil {
		return err
	}
	defer remove()
	fmt.Printf("3 gateways (processes) with a shared subscription, all others hollow, in this process; %d clusters of %d endpoints; a heartbeat every second\n",
		load.clusters, load.endpoints)
	for _, count := range sizes {
		if err := hollow.MembersRequirement(count, 3).Check(); err != nil {
			return fmt.Errorf("%d gateways: %w", count, err)
		}
		figures.size(count)
		for _, variant := range []string{"delta", "sotw"} {
			if err := measureSubscription(ctx, figures, cluster.SiteOptions{Binary: binary, Dir: dir, Variant: variant}, count, load); err != nil {
				return fmt.Errorf("%d gateways, %s: %w", count, variant, err)
			}
		}
	}
	return nil
}

// assignment returns the endpoint list of a cluster. The first endpoint has the given weight, the others have weight 1.
func assignment(index, endpoints, weight int) controlplane.Resource {
	endpointList := make([]controlplane.Endpoint, endpoints)
	for i := range endpointList {
		address := fmt.Sprintf("127.%d.%d.%d:80", 1+index/250, index%250, 1+i)
		endpointList[i] = controlplane.Endpoint{Addr: address, Zone: fmt.Sprint("z", i%4), Weight: 1}
	}
	endpointList[0].Weight = uint32(weight)
	name := fmt.Sprint("k", index)
	return controlplane.Resource{Name: name, Body: controlplane.Assignment(name, endpointList...)}
}

// allResources returns all clusters of the load with their endpoint lists.
func (l subscriptionLoad) allResources() []controlplane.Resource {
	var resources []controlplane.Resource
	for i := range l.clusters {
		name := fmt.Sprint("k", i)
		resources = append(resources, controlplane.Resource{Name: name, Body: controlplane.Cluster(name, "")}, assignment(i, l.endpoints, 1))
	}
	return resources
}

// subscriptionSite is a site whose gateways share a subscription.
type subscriptionSite struct {
	site     *cluster.Site
	fleet    *hollow.Fleet
	gateways *hollow.Gateways
	count    int // of hollow gateways
	version  int // of the last change
}

// changeCost is the cost of a change, without the heartbeats that were pushed meanwhile.
type changeCost struct {
	delays []time.Duration // until it reached the gateways, sorted
	bytes  float64         // to each gateway
	cpu    time.Duration   // of the site's processes
}

// leaderCost is the cost of the updates by the next subscription leader.
type leaderCost struct {
	delays    []time.Duration // until they reached the gateways, sorted
	snapshots int
	bytes     int64
}

// startCost is the delay and the size of the updates of a gateway that has just started.
type startCost struct {
	delay time.Duration
	bytes int64
}

// measureSubscription measures one xDS variant of the subscription with a number of hollow gateways.
func measureSubscription(ctx context.Context, figures *series, options cluster.SiteOptions, count int, load subscriptionLoad) error {
	options.Gateways = 3
	options.SharedSubscription = true
	options.Lease = load.lease
	options.DirectAfter = 20 * time.Second
	options.Heartbeat = time.Second
	site, err := cluster.NewSite(ctx, options)
	if err != nil {
		return err
	}
	defer site.Close()
	members, gateways, err := joinHollowGateways(ctx, site.Cluster, count, load.lease/4, load.lease/6, load.lease, "s")
	if err != nil {
		return err
	}
	defer members.Close()
	measured := &subscriptionSite{site: site, fleet: members, gateways: gateways, count: count, version: 100}
	all, err := measured.push(ctx, load.allResources()...)
	if err != nil {
		return fmt.Errorf("all clusters: %w", err)
	}
	one, err := measured.push(ctx, assignment(1, load.endpoints, 7))
	if err != nil {
		return fmt.Errorf("one endpoint: %w", err)
	}
	next, err := measured.replaceLeader(ctx)
	if err != nil {
		return err
	}
	start, err := measured.startGateway(ctx)
	if err != nil {
		return err
	}
	figures.put(options.Variant+", a gateway's start: bytes to it, MB", float64(start.bytes)/1e6, 0)
	figures.put(options.Variant+", one endpoint: bytes to a gateway", one.bytes, 0)
	figures.put(options.Variant+", one endpoint: CPU of the site's processes, ms", float64(one.cpu.Milliseconds()), 0)
	figures.put(options.Variant+", all clusters: bytes to a gateway", all.bytes, 0)
	figures.put(options.Variant+", all clusters: CPU of the processes, ms", float64(all.cpu.Milliseconds()), 0)
	figures.put(options.Variant+", a new leader: bytes it sends, MB", float64(next.bytes)/1e6, 0)
	fmt.Printf("%5d gateways, %s: delay of one endpoint change %s; of all clusters %s; of the snapshots (%d) of a new leader %s; of the first update of a starting gateway %v\n",
		count, options.Variant, describeDelays(one.delays), describeDelays(all.delays), next.snapshots, describeDelays(next.delays), start.delay.Round(time.Millisecond))
	return nil
}

// push has the control plane push a change and waits until all gateways have accepted it completely.
func (r *subscriptionSite) push(ctx context.Context, resources ...controlplane.Resource) (cost changeCost, err error) {
	r.version++
	before := r.gateways.Updates(0)
	cpuBefore, _, _ := nodeUsage(r.site.Nodes)
	pushedAt := fleet.Clock()
	if _, err := r.site.ControlPlane.Push(strconv.Itoa(r.version), false, resources...); err != nil {
		return cost, err
	}
	if err := r.awaitUpdates(ctx, "the change at every gateway", pushedAt, changeTimeout); err != nil {
		return cost, err
	}
	if cost.delays, err = r.awaitSettled(ctx, pushedAt); err != nil {
		return cost, err
	}
	cpuAfter, _, _ := nodeUsage(r.site.Nodes)
	cost.cpu = cpuAfter - cpuBefore
	after := r.gateways.Updates(0)
	heartbeats := after.Pushes - before.Pushes - r.count
	cost.bytes = float64(after.Bytes-before.Bytes-int64(heartbeatPushBytes*heartbeats)) / float64(r.count)
	return cost, nil
}

// awaitUpdates waits until every gateway has accepted an update since a time of fleet.Clock.
func (r *subscriptionSite) awaitUpdates(ctx context.Context, what string, since, timeout time.Duration) error {
	return cluster.Await(ctx, what, timeout, func() bool { return r.gateways.Updates(since).NeverUpdated == 0 })
}

// awaitSettled waits until no further update arrives and returns the delays of the gateways.
func (r *subscriptionSite) awaitSettled(ctx context.Context, since time.Duration) ([]time.Duration, error) {
	for before := -1; ; {
		if err := sleep(ctx, settleInterval); err != nil {
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
func (r *subscriptionSite) replaceLeader(ctx context.Context) (cost leaderCost, err error) {
	before := r.gateways.Updates(0)
	leader := r.site.SubscriptionLeader()
	if leader == nil {
		return cost, errors.New("the subscription has no leader")
	}
	killedAt := fleet.Clock()
	leader.Kill()
	if err := r.awaitUpdates(ctx, "a snapshot from the next leader at every gateway", killedAt, nextLeaderTimeout); err != nil {
		return cost, err
	}
	after := r.gateways.Updates(killedAt)
	return leaderCost{delays: after.Delays, snapshots: after.Snapshots - before.Snapshots, bytes: after.Bytes - before.Bytes}, nil
}

// startGateway starts another hollow gateway and waits until it has accepted its first update.
func (r *subscriptionSite) startGateway(ctx context.Context) (cost startCost, err error) {
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
	if err := cluster.Await(ctx, "a snapshot at the gateway that was started", changeTimeout, updated); err != nil {
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
