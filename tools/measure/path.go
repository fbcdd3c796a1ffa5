package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/origin"
)

const (
	pathClients      = 16
	withoutQuorum    = time.Minute
	withoutQuorumGap = 5 * time.Millisecond // between two requests
)

// path compares requests through a gateway of a fleet with requests through one without a fleet, and then stops the quorum for a
// minute. A request that fails for want of a quorum is an error.
func path(requests, rounds int) error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	server, err := origin.Start("", nil)
	if err != nil {
		return err
	}
	defer server.Kill()
	auditor, err := cluster.NewAuditor("receiver")
	if err != nil {
		return err
	}
	defer auditor.Close()
	alone, err := startPathCluster(b.dir, cluster.Options{Binary: b.binary, Nodes: 1, NoFleet: true}, server.Addr)
	if err != nil {
		return err
	}
	defer alone.Close()
	fleet, err := startPathCluster(b.dir, cluster.Options{
		Binary:       b.binary,
		Nodes:        3,
		Lease:        2 * time.Second,
		Heartbeat:    300 * time.Millisecond,
		Probe:        time.Second,
		Posts:        map[string]*cluster.ExternalService{"audit": &auditor.ExternalService},
		PostInterval: 100 * time.Millisecond,
	}, server.Addr)
	if err != nil {
		return err
	}
	defer fleet.Close()
	leads := func() bool {
		last, _ := auditor.Last()
		return last.Token > 0
	}
	if err := cluster.Await(ctx, "a duty that runs", 30*time.Second, leads); err != nil {
		return err
	}
	printMachine()
	fmt.Printf("%d rounds of %d requests by %d clients, one process each\n", rounds, requests, pathClients)
	fmt.Println("fleet   p50 us  p99 us  CPU us a request  memory MB  failed")
	client := newPathClient()
	for round := range rounds {
		for _, withFleet := range []bool{round%2 == 0, round%2 != 0} {
			if withFleet {
				pathRound(client, "on", fleet.Nodes[0], requests)
			} else {
				pathRound(client, "off", alone.Nodes[0], requests)
			}
		}
	}
	return pathWithoutQuorum(ctx, client, fleet)
}

// startPathCluster starts the processes of a cluster whose one route leads to an origin. The caller closes it.
func startPathCluster(dir string, options cluster.Options, origin string) (*cluster.Cluster, error) {
	folder, err := os.MkdirTemp(dir, "path-")
	if err != nil {
		return nil, err
	}
	options.Dir = folder
	options.ExtraConfig = func(int) string {
		return fmt.Sprintf("clusters: [{name: c, endpoints: [{address: %q}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n", origin)
	}
	c, err := cluster.New(options)
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// pathClient sends requests to gateways. Its methods may be called concurrently.
type pathClient struct {
	http http.Client
}

func newPathClient() *pathClient {
	return &pathClient{http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}}
}

// pathLatency collects the outcomes of requests.
type pathLatency struct {
	mu     sync.Mutex
	took   *hdrhistogram.Histogram // microseconds
	failed int
}

func newPathLatency() *pathLatency {
	return &pathLatency{took: hdrhistogram.New(1, 60_000_000, 3)}
}

// request sends one request to a gateway and records its latency if there was a response, whatever its status.
func (c *pathClient) request(node *cluster.Node, latency *pathLatency) {
	began := time.Now()
	answered, err := c.get("http://" + node.Web + "/")
	latency.mu.Lock()
	defer latency.mu.Unlock()
	if err != nil {
		latency.failed++
	}
	if answered {
		_ = latency.took.RecordValue(time.Since(began).Microseconds())
	}
}

// get reports whether there was a response, and an error if it is not a complete 200.
func (c *pathClient) get(url string) (answered bool, err error) {
	resp, err := c.http.Get(url)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return true, err
	}
	if resp.StatusCode != http.StatusOK {
		return true, fmt.Errorf("%s", resp.Status)
	}
	return true, nil
}

// pathRound sends one round's requests through a gateway and prints its line.
func pathRound(client *pathClient, fleet string, node *cluster.Node, requests int) {
	latency := newPathLatency()
	before, _ := usage(node.Process().PID())
	var workers sync.WaitGroup
	for range pathClients {
		workers.Go(func() {
			for range requests / pathClients {
				client.request(node, latency)
			}
		})
	}
	workers.Wait()
	after, resident := usage(node.Process().PID())
	sent := requests / pathClients * pathClients
	fmt.Printf("%-6s %7d %7d %17.1f %10.1f %7d\n", fleet, latency.took.ValueAtQuantile(50), latency.took.ValueAtQuantile(99),
		float64((after-before).Microseconds())/float64(sent), float64(resident)/(1<<20), latency.failed)
}

// pathWithoutQuorum kills all processes of a fleet but the first and sends requests through that one for a minute.
func pathWithoutQuorum(ctx context.Context, client *pathClient, fleet *cluster.Cluster) error {
	survivor := fleet.Nodes[0]
	for _, node := range fleet.Nodes[1:] {
		node.Kill()
	}
	latency := newPathLatency()
	requests := 0
	ticker := time.NewTicker(withoutQuorumGap)
	defer ticker.Stop()
	for end := time.Now().Add(withoutQuorum); time.Now().Before(end) && ctx.Err() == nil; <-ticker.C {
		requests++
		client.request(survivor, latency)
	}
	status, err := survivor.Fleet()
	if err != nil {
		return err
	}
	fmt.Printf("\na minute without a quorum: %d requests, %d failed, p50 %d us, p99 %d us\n  it says: %s\n", requests, latency.failed,
		latency.took.ValueAtQuantile(50), latency.took.ValueAtQuantile(99), status.Stale)
	if latency.failed > 0 {
		return fmt.Errorf("%d requests failed for want of a quorum", latency.failed)
	}
	return ctx.Err()
}
