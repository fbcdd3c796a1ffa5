package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"robindrum/internal/fleet"
	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/hollow"
)

// capacitySubscription has a site's one subscription's holder tell hollow gateways beside two processes.
func capacitySubscription(ctx context.Context, sizes []int, full bool) error {
	s := newSeries("gateways")
	defer func() { s.print(targetGateways) }()
	clusters, each, lease := 72, targetEndpointsPerCluster, time.Second
	if full {
		clusters, lease = targetClusters, 2*time.Second
	}
	dir, binary, remove, err := buildProgram(ctx)
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
	f, g, err := joinHollowGateways(ctx, site.Cluster, n, lease/4, lease/6, lease, "s")
	if err != nil {
		return err
	}
	defer f.Close()
	version := 100
	// news has a change pushed and gives when the gateways have it and what it cost, less the signs of life meanwhile.
	news := func(set ...controlplane.Resource) (took []time.Duration, bytes float64, cpu time.Duration, err error) {
		version++
		_, _, _, p0, b0 := g.Updates(0)
		cpu0, _, _ := resourceUsage(site.Nodes)
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
		cpu1, _, _ := resourceUsage(site.Nodes)
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
