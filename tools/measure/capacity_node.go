package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robindrum/internal/experiment"
	"robindrum/internal/testbed/controlplane"
)

// The users' size, of one gateway.
const (
	targetClusters            = 720
	targetEndpointsPerCluster = 29 // endpoints of a cluster: 20,880
	targetEndpoints           = targetClusters * targetEndpointsPerCluster
	targetRoutes              = 5700
	targetTenants             = 51000
	boundAddedLatency         = 5.9 // ms for 99 in 100
)

// measureLatency sends n requests over some connections, one at a time on each, and returns the latencies of the served ones in
// microseconds and the number of the others.
func measureLatency(addr string, n, conns int, head func(i int) string) (*hdrhistogram.Histogram, int64, error) {
	took := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var next, refused atomic.Int64
	var all sync.WaitGroup
	errs := make(chan error, conns)
	for range conns {
		all.Go(func() {
			c, err := net.DialTimeout("tcp", addr, 5*time.Second)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			for i := int(next.Add(1)); i <= n; i = int(next.Add(1)) {
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				began := time.Now()
				if _, err := io.WriteString(c, head(i)); err != nil {
					errs <- err
					return
				}
				resp, err := http.ReadResponse(r, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err != nil {
					errs <- err
					return
				}
				if resp.StatusCode != http.StatusOK {
					refused.Add(1)
					continue
				}
				mu.Lock()
				_ = took.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	all.Wait()
	select {
	case err := <-errs:
		return took, refused.Load(), err
	default:
		return took, refused.Load(), nil
	}
}

// loadedGateway is a gateway with many clusters, endpoints, routes and limits by tenant, as a process of its own.
type loadedGateway struct {
	*process
	plane *controlplane.Server
}

func (g *loadedGateway) close() {
	if g.process != nil {
		g.stop()
	}
	g.plane.Stop()
}

// awaitAcks waits until the gateway has acknowledged the endpoint lists that it was sent.
func (g *loadedGateway) awaitAcks(ctx context.Context, from int) error {
	return awaitAcks(ctx, g.plane, from)
}

// startLoadedGateway starts a gateway whose last route leads to an origin, and waits until it uses all clusters. The caller closes
// it.
func startLoadedGateway(ctx context.Context, dir, at string, clusters, each, routes, tenants int) (g *loadedGateway, err error) {
	plane, err := controlplane.Start("")
	if err != nil {
		return nil, err
	}
	g = &loadedGateway{plane: plane}
	var b strings.Builder
	fmt.Fprintf(&b, "listeners: [{name: web, address: '127.0.0.1:0'}]\nadmin: {address: '127.0.0.1:0'}\nxds: {servers: [%q], variant: delta, node: {id: m}, clusters: true, message: 64MiB}\n", plane.Addr)
	fmt.Fprintf(&b, "clusters: [{name: real, endpoints: [{address: %q}]}]\nrate_limits: [{name: tenants, key: {header: X-Tenant}, rate: 1000, burst: 1000, keys: %d}]\nroutes:\n", at, max(tenants, 1))
	for i := range routes {
		fmt.Fprintf(&b, "  - {name: r%d, match: {prefix: /p%d/}, cluster: k%d}\n", i, i, i%clusters)
	}
	b.WriteString("  - {name: last, match: {prefix: /}, cluster: real}\n")
	path := filepath.Join(dir, fmt.Sprintf("gateway-%d-%d.yaml", clusters, each))
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		g.close()
		return nil, err
	}
	var set []controlplane.Resource
	for i := range clusters {
		set = append(set, controlplane.Resource{Name: fmt.Sprint("k", i), Body: controlplane.Cluster(fmt.Sprint("k", i), "")}, assignment(i, each, 1))
	}
	if _, err := plane.Push("1", false, set...); err != nil {
		g.close()
		return nil, err
	}
	if g.process, err = startProcess("robindrum", "@"+path); err != nil {
		g.close()
		return nil, err
	}
	if err := g.awaitAcks(ctx, 0); err != nil {
		g.close()
		return nil, fmt.Errorf("the first list: %w", err)
	}
	if err := g.awaitEndpoints(clusters, each); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// capacityGateway holds a gateway at a part of the users' state against one with next to none: sizes are clusters, and routes and
// tenants come in proportion.
func capacityGateway(ctx context.Context, sizes []int, full bool) error {
	s := newSeries("clusters")
	defer func() { s.print(targetClusters) }()
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	origin, err := startFixedResponder()
	if err != nil {
		return err
	}
	defer origin.Close()
	requests, rounds, pushes := 4000, 3, 100
	if full {
		requests, rounds, pushes = 20000, 5, 500
	}
	small, err := startLoadedGateway(ctx, dir, origin.Addr().String(), 1, 10, 1, 1)
	if err != nil {
		return err
	}
	defer small.close()
	_, empty := small.usage()
	fmt.Printf("%d endpoints a cluster, routes and tenants in proportion (%d and %d at %d); beside it a gateway with 10 endpoints, %.1f MB resident\n", targetEndpointsPerCluster, targetRoutes, targetTenants, targetClusters,
		float64(empty)/1e6)
	for _, n := range sizes {
		if err := gatewaySize(ctx, s, dir, origin.Addr().String(), small, n, requests, rounds, pushes); err != nil {
			return fmt.Errorf("%d clusters: %w", n, err)
		}
	}
	return nil
}

// gatewayRun is the measurement of one size of capacityGateway.
type gatewayRun struct {
	clusters int
	routes   int
	tenants  int
	requests int // of a round
	rounds   int
	pushes   int
	small    *loadedGateway // the baseline
	large    *loadedGateway
}

// gatewayLatencies are the quantiles of each round's requests in microseconds, of the small gateway and of the large one.
type gatewayLatencies struct {
	p50 [2][]float64
	p99 [2][]float64
}

// gatewaySize measures a gateway with so many clusters beside the small one.
func gatewaySize(ctx context.Context, s *series, dir, origin string, small *loadedGateway, n, requests, rounds, pushes int) error {
	run := gatewayRun{
		clusters: n,
		routes:   targetRoutes * n / targetClusters,
		tenants:  targetTenants * n / targetClusters,
		requests: requests,
		rounds:   rounds,
		pushes:   pushes,
		small:    small,
	}
	g, err := startLoadedGateway(ctx, dir, origin, n, targetEndpointsPerCluster, run.routes, run.tenants)
	if err != nil {
		return err
	}
	defer g.close()
	run.large = g
	startCPU, residentLists := g.usage()
	rejected, err := run.requestAsTenants()
	if err != nil {
		return err
	}
	_, residentTenants := g.usage()
	latencies, err := run.measureLatencies()
	if err != nil {
		return err
	}
	changeCPU, err := run.pushChanges(ctx)
	if err != nil {
		return err
	}
	_, resident := g.usage()
	_, residentSmall := small.usage()
	heap, err := g.heap()
	if err != nil {
		return fmt.Errorf("its heap: %w", err)
	}
	heapSmall, err := small.heap()
	if err != nil {
		return fmt.Errorf("the small one's heap: %w", err)
	}
	changeMilliseconds := float64(changeCPU.Microseconds()) / 1000 / float64(pushes)
	s.size(n)
	s.put("resident with lists and routes, MB", float64(residentLists)/1e6, 0)
	s.put("resident with tenants seen, MB", float64(residentTenants)/1e6, 0)
	s.put("resident behind all of it, MB", float64(resident)/1e6, 0)
	s.put("the same, over a gateway with 10 endpoints", float64(resident-residentSmall)/1e6, boundMemory)
	s.put("live heap behind all of it, MB", float64(heap)/1e6, 0)
	s.put("live heap over a gateway with 10 endpoints", float64(heap-heapSmall)/1e6, boundMemory)
	s.put("CPU to take all at the start, ms", float64(startCPU.Milliseconds()), 0)
	s.put("CPU of a changed cluster, ms", changeMilliseconds, 0)
	s.put("CPU of one change a second, %", changeMilliseconds/10, boundCPU)
	s.put("p99 of a request over the small one's, ms", (median(latencies.p99[1])-median(latencies.p99[0]))/1000, boundAddedLatency)
	fmt.Printf("%5d clusters, %d endpoints, %d routes, %d tenants (%d refused): p50 %.0f and %.0f us, p99 %.0f and %.0f us with 10 endpoints and here, medians of %d rounds\n",
		n, n*targetEndpointsPerCluster, run.routes, run.tenants, rejected, median(latencies.p50[0]), median(latencies.p50[1]), median(latencies.p99[0]), median(latencies.p99[1]), rounds)
	return nil
}

// tenantRequest is the header of a request of a tenant.
func tenantRequest(tenant int) string {
	return fmt.Sprintf("GET /x HTTP/1.1\r\nHost: x\r\nX-Tenant: t%d\r\n\r\n", tenant)
}

// requestAsTenants sends one request of each tenant and returns how many the large gateway rejected. The small gateway gets the
// same requests: what they leave behind is no control state.
func (r *gatewayRun) requestAsTenants() (rejected int64, err error) {
	for _, g := range []*loadedGateway{r.small, r.large} {
		_, rejected, err = measureLatency(g.addr[0], r.tenants, 16, tenantRequest)
		if err != nil {
			return 0, fmt.Errorf("tenants: %w", err)
		}
	}
	return rejected, nil
}

// measureLatencies sends requests to both gateways, in turn.
func (r *gatewayRun) measureLatencies() (gatewayLatencies, error) {
	const stride = 7919 // a prime, so that the tenants come in no order
	header := func(i int) string { return tenantRequest(i * stride % max(r.tenants, 1)) }
	gateways := []*loadedGateway{r.small, r.large}
	var latencies gatewayLatencies
	for round := range r.rounds {
		for k := range gateways {
			which := (k + round) % len(gateways)
			took, _, err := measureLatency(gateways[which].addr[0], r.requests, 8, header)
			if err != nil {
				return latencies, fmt.Errorf("requests: %w", err)
			}
			latencies.p50[which] = append(latencies.p50[which], float64(took.ValueAtQuantile(50)))
			latencies.p99[which] = append(latencies.p99[which], float64(took.ValueAtQuantile(99)))
		}
	}
	return latencies, nil
}

// pushChanges changes one cluster after the other and returns the CPU time of the large gateway. The users' rate is one change a
// second; what a change costs does not depend on it.
func (r *gatewayRun) pushChanges(ctx context.Context) (time.Duration, error) {
	before, _ := r.large.usage()
	for i := range r.pushes {
		seen := len(r.large.plane.Requests())
		if _, err := r.large.plane.Push(fmt.Sprint("v", i), false, assignment(i%r.clusters, targetEndpointsPerCluster, 2+i)); err != nil {
			return 0, err
		}
		if err := r.large.awaitAcks(ctx, seen); err != nil {
			return 0, fmt.Errorf("change %d: %w", i, err)
		}
	}
	after, _ := r.large.usage()
	return after - before, nil
}

// capacityNode has the platform's node take a list, as a process of its own: the node's packages, without discovery's client.
func capacityNode(ctx context.Context, sizes []int, _ bool) error {
	s := newSeries("endpoints")
	defer func() { s.print(targetEndpoints) }()
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, n := range sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var l []string
		for i := range n {
			l = append(l, fmt.Sprintf("127.%d.%d.%d:80", 1+i/62500, i/250%250, 1+i%250))
		}
		path := filepath.Join(dir, fmt.Sprint(n))
		if err := os.WriteFile(path, []byte(strings.Join(l, "\n")), 0o600); err != nil {
			return err
		}
		p, err := startProcess("robindrum-node", "@"+path)
		if err != nil {
			return err
		}
		cpu, resident := p.usage()
		p.stop()
		s.size(n)
		s.put("resident, MB", float64(resident)/1e6, 0)
		s.put("CPU until it listens, ms", float64(cpu.Milliseconds()), 0)
	}
	return nil
}

// capacityModule plays one service's part of the fleet on simulated time: the same load over ever more nodes.
func capacityModule(ctx context.Context, sizes []int, full bool) error {
	s := newSeries("nodes")
	defer func() { s.print(targetGateways) }()
	const (
		rate    = 630000.0 / targetClusters // of one service
		service = 0.04
		idle    = 7.0 // s that a connection is kept, by the default of clusters
	)
	seeds := 1
	if full {
		seeds = 3
	}
	fmt.Printf("simulated: one service of %d servers with 2 workers of 40 ms, %.0f requests a second over all nodes, 10 ms of work for a new connection; five servers are gone from 20 to 24 s and come back cold; %d seed(s)\n",
		targetEndpointsPerCluster, rate, seeds)
	for _, n := range sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		e, err := experiment.Parse("capacity.yaml", fmt.Appendf(nil, `name: capacity
about: one service of many before ever more nodes
length: 40s
fleet: {zones: [a], servers: %d, workers: 2, service: 40ms, connect: 10ms, warm_up: 10s, warm_share: 0.3, fall: 3}
gateways: {number: %d}
classes: [{name: c, part: 1, wanted: 800ms, deadline: 2s, worth: 1}]
load: {rate: %.0f}
events: [{at: 20s, do: kill, zone: a, part: 0.17, how: refuses}, {at: 24s, do: revive, zone: a}]
phases: [10s, 20s, 24s]
`, targetEndpointsPerCluster, n, rate))
		if err != nil {
			return err
		}
		r, err := experiment.Simulate(e, seeds)
		if err != nil {
			return err
		}
		calm, back := r.Phases[1], r.Phases[3]
		s.size(n)
		s.put("own requests in flight, of a node", rate/float64(n)*service, 0)
		s.put("servers that a node draws from", targetEndpointsPerCluster, 0)
		s.put("new connections an attempt", float64(calm.NewConnections)/float64(max(calm.Attempts, 1)), 0)
		s.put("the same, by the rate at a pair alone", math.Exp(-rate/float64(n)/targetEndpointsPerCluster*idle), 0)
		s.put("most at one server, over the mean", float64(calm.MaxServerRequests)/(rate*service/targetEndpointsPerCluster), 0)
		s.put("p50 of a request, ms", float64(calm.All.P50.Microseconds())/1000, 0)
		s.put("p99 of a request, ms", float64(calm.All.P99.Microseconds())/1000, 0)
		s.put("served in time, part, all well", float64(calm.All.InTime)/float64(max(calm.All.Requests, 1)), 0)
		s.put("served in time, part, servers cold", float64(back.All.InTime)/float64(max(back.All.Requests, 1)), 0)
		s.put("worst cold server, over what it can do", back.MaxWarmingLoad, 0)
		s.put("cold servers pushed over", float64(back.CollapsedServers), 0)
	}
	return nil
}
