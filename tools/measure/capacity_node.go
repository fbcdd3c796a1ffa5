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

// The required size of one gateway, and the bound on the latency that it may add.
const (
	targetClusters            = 720
	targetEndpointsPerCluster = 29 // 20,880 endpoints in total
	targetEndpoints           = targetClusters * targetEndpointsPerCluster
	targetRoutes              = 5700
	targetTenants             = 51000
	maxAddedLatency           = 5.9 // ms at the 99th percentile
)

// measureLatency sends n requests over conns connections, one at a time on each. It returns the latencies of the served requests in
// microseconds and the number of responses with a status other than 200.
func measureLatency(addr string, n, conns int, header func(i int) string) (*hdrhistogram.Histogram, int64, error) {
	took := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var next, rejected atomic.Int64
	var workers sync.WaitGroup
	errs := make(chan error, conns)
	for range conns {
		workers.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
			if err != nil {
				errs <- err
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for i := int(next.Add(1)); i <= n; i = int(next.Add(1)) {
				_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
				began := time.Now()
				if _, err := io.WriteString(conn, header(i)); err != nil {
					errs <- err
					return
				}
				resp, err := http.ReadResponse(reader, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err != nil {
					errs <- err
					return
				}
				if resp.StatusCode != http.StatusOK {
					rejected.Add(1)
					continue
				}
				mu.Lock()
				_ = took.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	select {
	case err := <-errs:
		return took, rejected.Load(), err
	default:
		return took, rejected.Load(), nil
	}
}

// loadedGateway is a gateway process with many clusters, endpoints, routes and rate limits per tenant.
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

// awaitAcks waits until the gateway has acknowledged an endpoint list with a request at index from or later.
func (g *loadedGateway) awaitAcks(ctx context.Context, from int) error {
	return awaitAcks(ctx, g.plane, from)
}

// startLoadedGateway starts a gateway whose last route leads to an origin, and waits until it uses all clusters. The caller must close
// the gateway.
func startLoadedGateway(ctx context.Context, dir, origin string, clusters, endpointsEach, routes, tenants int) (gateway *loadedGateway, err error) {
	plane, err := controlplane.Start("")
	if err != nil {
		return nil, err
	}
	gateway = &loadedGateway{plane: plane}
	var text strings.Builder
	fmt.Fprintf(&text, "listeners: [{name: web, address: '127.0.0.1:0'}]\nadmin: {address: '127.0.0.1:0'}\nxds: {servers: [%q], variant: delta, node: {id: m}, clusters: true, message: 64MiB}\n", plane.Addr)
	fmt.Fprintf(&text, "clusters: [{name: real, endpoints: [{address: %q}]}]\nrate_limits: [{name: tenants, key: {header: X-Tenant}, rate: 1000, burst: 1000, keys: %d}]\nroutes:\n", origin, max(tenants, 1))
	for i := range routes {
		fmt.Fprintf(&text, "  - {name: r%d, match: {prefix: /p%d/}, cluster: k%d}\n", i, i, i%clusters)
	}
	text.WriteString("  - {name: last, match: {prefix: /}, cluster: real}\n")
	path := filepath.Join(dir, fmt.Sprintf("gateway-%d-%d.yaml", clusters, endpointsEach))
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		gateway.close()
		return nil, err
	}
	var resources []controlplane.Resource
	for i := range clusters {
		resources = append(resources, controlplane.Resource{Name: fmt.Sprint("k", i), Body: controlplane.Cluster(fmt.Sprint("k", i), "")}, assignment(i, endpointsEach, 1))
	}
	if _, err := plane.Push("1", false, resources...); err != nil {
		gateway.close()
		return nil, err
	}
	if gateway.process, err = startProcess("robindrum", "@"+path); err != nil {
		gateway.close()
		return nil, err
	}
	if err := gateway.awaitAcks(ctx, 0); err != nil {
		gateway.close()
		return nil, fmt.Errorf("first endpoint lists: %w", err)
	}
	if err := gateway.awaitEndpoints(clusters, endpointsEach); err != nil {
		gateway.close()
		return nil, err
	}
	return gateway, nil
}

// capacityGateway compares a gateway that has a fraction of the required state with a gateway that has almost none. Sizes are clusters;
// the numbers of routes and tenants are proportional to them.
func capacityGateway(ctx context.Context, sizes []int, full bool) error {
	figures := newSeries("clusters")
	defer func() { figures.print(targetClusters) }()
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
	_, residentEmpty := small.usage()
	fmt.Printf("%d endpoints per cluster, routes and tenants in proportion (%d and %d with %d clusters); the baseline is a gateway with 10 endpoints, %.1f MB resident\n", targetEndpointsPerCluster, targetRoutes, targetTenants, targetClusters,
		float64(residentEmpty)/1e6)
	for _, clusters := range sizes {
		if err := measureGatewaySize(ctx, figures, dir, origin.Addr().String(), small, clusters, requests, rounds, pushes); err != nil {
			return fmt.Errorf("%d clusters: %w", clusters, err)
		}
	}
	return nil
}

// gatewayRun is a measurement of capacityGateway at one size.
type gatewayRun struct {
	clusters int
	routes   int
	tenants  int
	requests int // per round
	rounds   int
	pushes   int
	small    *loadedGateway // the baseline
	large    *loadedGateway
}

// gatewayLatencies holds the latency quantiles of each round in microseconds: index 0 is the small gateway, index 1 the large one.
type gatewayLatencies struct {
	p50 [2][]float64
	p99 [2][]float64
}

// measureGatewaySize measures a gateway with a number of clusters and compares it with the small gateway.
func measureGatewaySize(ctx context.Context, figures *series, dir, origin string, small *loadedGateway, clusterCount, requests, rounds, pushes int) error {
	run := gatewayRun{
		clusters: clusterCount,
		routes:   targetRoutes * clusterCount / targetClusters,
		tenants:  targetTenants * clusterCount / targetClusters,
		requests: requests,
		rounds:   rounds,
		pushes:   pushes,
		small:    small,
	}
	gateway, err := startLoadedGateway(ctx, dir, origin, clusterCount, targetEndpointsPerCluster, run.routes, run.tenants)
	if err != nil {
		return err
	}
	defer gateway.close()
	run.large = gateway
	startCPU, residentLists := gateway.usage()
	rejected, err := run.requestAsTenants()
	if err != nil {
		return err
	}
	_, residentTenants := gateway.usage()
	latencies, err := run.measureLatencies()
	if err != nil {
		return err
	}
	changeCPU, err := run.pushChanges(ctx)
	if err != nil {
		return err
	}
	_, resident := gateway.usage()
	_, residentSmall := small.usage()
	heap, err := gateway.heap()
	if err != nil {
		return fmt.Errorf("heap of the gateway: %w", err)
	}
	heapSmall, err := small.heap()
	if err != nil {
		return fmt.Errorf("heap of the small gateway: %w", err)
	}
	changeMilliseconds := float64(changeCPU.Microseconds()) / 1000 / float64(pushes)
	figures.size(clusterCount)
	figures.put("resident with lists and routes, MB", float64(residentLists)/1e6, 0)
	figures.put("resident after requests of all tenants, MB", float64(residentTenants)/1e6, 0)
	figures.put("resident at the end, MB", float64(resident)/1e6, 0)
	figures.put("the same, above a gateway with 10 endpoints", float64(resident-residentSmall)/1e6, maxMemoryMB)
	figures.put("live heap at the end, MB", float64(heap)/1e6, 0)
	figures.put("live heap above a gateway with 10 endpoints", float64(heap-heapSmall)/1e6, maxMemoryMB)
	figures.put("CPU at startup, ms", float64(startCPU.Milliseconds()), 0)
	figures.put("CPU per changed cluster, ms", changeMilliseconds, 0)
	figures.put("CPU for one change per second, %", changeMilliseconds/10, maxCPUPercent)
	figures.put("p99 of a request above the small gateway's, ms", (median(latencies.p99[1])-median(latencies.p99[0]))/1000, maxAddedLatency)
	fmt.Printf("%5d clusters, %d endpoints, %d routes, %d tenants (%d rejected): p50 %.0f and %.0f us, p99 %.0f and %.0f us of the small gateway and of this one, medians of %d rounds\n",
		clusterCount, clusterCount*targetEndpointsPerCluster, run.routes, run.tenants, rejected, median(latencies.p50[0]), median(latencies.p50[1]), median(latencies.p99[0]), median(latencies.p99[1]), rounds)
	return nil
}

// tenantRequest returns a request of a tenant.
func tenantRequest(tenant int) string {
	return fmt.Sprintf("GET /x HTTP/1.1\r\nHost: x\r\nX-Tenant: t%d\r\n\r\n", tenant)
}

// requestAsTenants sends one request of each tenant and returns how many the large gateway rejected. The small gateway gets the same
// requests, so that the difference does not include the memory that requests leave in use, which is not control state.
func (r *gatewayRun) requestAsTenants() (rejected int64, err error) {
	for _, g := range []*loadedGateway{r.small, r.large} {
		_, rejected, err = measureLatency(g.addr[0], r.tenants, 16, tenantRequest)
		if err != nil {
			return 0, fmt.Errorf("tenants: %w", err)
		}
	}
	return rejected, nil
}

// measureLatencies sends requests to one gateway after the other and alternates their order between rounds.
func (r *gatewayRun) measureLatencies() (gatewayLatencies, error) {
	const stride = 7919 // a prime, so that the tenants do not follow in order
	header := func(i int) string { return tenantRequest(i * stride % max(r.tenants, 1)) }
	gateways := []*loadedGateway{r.small, r.large}
	var latencies gatewayLatencies
	for round := range r.rounds {
		for position := range gateways {
			index := (position + round) % len(gateways)
			took, _, err := measureLatency(gateways[index].addr[0], r.requests, 8, header)
			if err != nil {
				return latencies, fmt.Errorf("requests: %w", err)
			}
			latencies.p50[index] = append(latencies.p50[index], float64(took.ValueAtQuantile(50)))
			latencies.p99[index] = append(latencies.p99[index], float64(took.ValueAtQuantile(99)))
		}
	}
	return latencies, nil
}

// pushChanges changes one cluster after another and returns the CPU time that the large gateway used. The required rate is one change per
// second; the cost of a change does not depend on the rate.
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

// capacityNode starts the platform's node as a process with an endpoint list. It uses the packages of the node without the discovery
// client.
func capacityNode(ctx context.Context, sizes []int, _ bool) error {
	figures := newSeries("endpoints")
	defer func() { figures.print(targetEndpoints) }()
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, count := range sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var addresses []string
		for i := range count {
			addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d:80", 1+i/62500, i/250%250, 1+i%250))
		}
		path := filepath.Join(dir, fmt.Sprint(count))
		if err := os.WriteFile(path, []byte(strings.Join(addresses, "\n")), 0o600); err != nil {
			return err
		}
		node, err := startProcess("robindrum-node", "@"+path)
		if err != nil {
			return err
		}
		cpu, resident := node.usage()
		node.stop()
		figures.size(count)
		figures.put("resident, MB", float64(resident)/1e6, 0)
		figures.put("CPU until it listens, ms", float64(cpu.Milliseconds()), 0)
	}
	return nil
}

// capacityModule simulates one service of the fleet with a constant load over an increasing number of nodes.
func capacityModule(ctx context.Context, sizes []int, full bool) error {
	figures := newSeries("nodes")
	defer func() { figures.print(targetGateways) }()
	const (
		rate    = 630000.0 / targetClusters // requests per second of one service
		service = 0.04                      // seconds of work per request
		idle    = 7.0                       // seconds that an idle connection is kept, the default of clusters
	)
	seeds := 1
	if full {
		seeds = 3
	}
	fmt.Printf("simulated: one service of %d servers with 2 workers of 40 ms, %.0f requests per second over all nodes, 10 ms of work per new connection; five servers are down from 20 to 24 s and return cold; %d seed(s)\n",
		targetEndpointsPerCluster, rate, seeds)
	for _, nodes := range sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		scenario, err := experiment.Parse("capacity.yaml", fmt.Appendf(nil, `name: capacity
about: one of many services, behind an increasing number of nodes
length: 40s
fleet: {zones: [a], servers: %d, workers: 2, service: 40ms, connect: 10ms, warm_up: 10s, warm_share: 0.3, fall: 3}
gateways: {number: %d}
classes: [{name: c, part: 1, wanted: 800ms, deadline: 2s, worth: 1}]
load: {rate: %.0f}
events: [{at: 20s, do: kill, zone: a, part: 0.17, how: refuses}, {at: 24s, do: revive, zone: a}]
phases: [10s, 20s, 24s]
`, targetEndpointsPerCluster, nodes, rate))
		if err != nil {
			return err
		}
		result, err := experiment.Simulate(scenario, seeds)
		if err != nil {
			return err
		}
		calm, returned := result.Phases[1], result.Phases[3]
		figures.size(nodes)
		figures.put("requests in flight of a node", rate/float64(nodes)*service, 0)
		figures.put("servers that a node selects from", targetEndpointsPerCluster, 0)
		figures.put("new connections per attempt", float64(calm.NewConnections)/float64(max(calm.Attempts, 1)), 0)
		figures.put("the same, from the rate per node and server", math.Exp(-rate/float64(nodes)/targetEndpointsPerCluster*idle), 0)
		figures.put("maximum in flight at a server, over the mean", float64(calm.MaxServerRequests)/(rate*service/targetEndpointsPerCluster), 0)
		figures.put("p50 of a request, ms", float64(calm.All.P50.Microseconds())/1000, 0)
		figures.put("p99 of a request, ms", float64(calm.All.P99.Microseconds())/1000, 0)
		figures.put("served in time, fraction, all servers up", float64(calm.All.InTime)/float64(max(calm.All.Requests, 1)), 0)
		figures.put("served in time, fraction, servers cold", float64(returned.All.InTime)/float64(max(returned.All.Requests, 1)), 0)
		figures.put("worst cold server, load over capacity", returned.MaxWarmingLoad, 0)
		figures.put("cold servers that collapsed", float64(returned.CollapsedServers), 0)
	}
	return nil
}
