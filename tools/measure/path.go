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
	pathClients        = 16
	quorumLossDuration = time.Minute
	quorumLossInterval = 5 * time.Millisecond // between requests
)

// measurePath compares requests through a gateway of a fleet with requests through a gateway without a fleet. Then it sends requests
// for a minute while the fleet has no quorum, and returns an error if any of these fails.
func measurePath(requests, rounds int) error {
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
	standalone, err := startPathCluster(b.dir, cluster.Options{Binary: b.binary, Nodes: 1, NoFleet: true}, server.Addr)
	if err != nil {
		return err
	}
	defer standalone.Close()
	fleetCluster, err := startPathCluster(b.dir, cluster.Options{
		Binary:       b.binary,
		Nodes:        3,
		Lease:        2 * time.Second,
		Heartbeat:    300 * time.Millisecond,
		Probe:        time.Second,
		PostTasks:    map[string]*cluster.ExternalService{"audit": &auditor.ExternalService},
		PostInterval: 100 * time.Millisecond,
	}, server.Addr)
	if err != nil {
		return err
	}
	defer fleetCluster.Close()
	taskRuns := func() bool {
		last, _ := auditor.Last()
		return last.Token > 0
	}
	if err := cluster.Await(ctx, "a leader-only task to run", 30*time.Second, taskRuns); err != nil {
		return err
	}
	printMachine()
	fmt.Printf("%d rounds of %d requests by %d clients; fleet on or off, through one gateway process each\n", rounds, requests, pathClients)
	fmt.Println("fleet   p50 us  p99 us  CPU us / request  memory MB  failed")
	client := newPathClient()
	for round := range rounds {
		for _, withFleet := range []bool{round%2 == 0, round%2 != 0} {
			if withFleet {
				pathRound(client, "on", fleetCluster.Nodes[0], requests)
			} else {
				pathRound(client, "off", standalone.Nodes[0], requests)
			}
		}
	}
	return pathWithoutQuorum(ctx, client, fleetCluster)
}

// startPathCluster starts the processes of a fleet whose only route leads to an origin. The caller must close it.
func startPathCluster(dir string, options cluster.Options, origin string) (*cluster.Cluster, error) {
	folder, err := os.MkdirTemp(dir, "path-")
	if err != nil {
		return nil, err
	}
	options.Dir = folder
	options.ExtraConfig = func(int) string {
		return fmt.Sprintf("clusters: [{name: c, endpoints: [{address: %q}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n", origin)
	}
	members, err := cluster.New(options)
	if err != nil {
		return nil, err
	}
	if err := members.Start(); err != nil {
		members.Close()
		return nil, err
	}
	return members, nil
}

// pathClient sends requests to gateways. It is safe for concurrent use.
type pathClient struct {
	http http.Client
}

func newPathClient() *pathClient {
	return &pathClient{http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}}
}

// pathLatency records the latencies and failures of requests.
type pathLatency struct {
	mu     sync.Mutex
	took   *hdrhistogram.Histogram // microseconds
	failed int
}

func newPathLatency() *pathLatency {
	return &pathLatency{took: hdrhistogram.New(1, 60_000_000, 3)}
}

// request sends one request to a gateway. It records the latency of any response, whatever its status, and counts a failure if get
// returns an error.
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

// get reports whether there was a response, and returns an error unless it was a complete one with status 200.
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

// pathRound sends the requests of one round through a gateway and prints a line of the table.
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

// pathWithoutQuorum kills all processes of a fleet except the first and sends requests through the first one for a minute.
func pathWithoutQuorum(ctx context.Context, client *pathClient, fleet *cluster.Cluster) error {
	survivor := fleet.Nodes[0]
	for _, node := range fleet.Nodes[1:] {
		node.Kill()
	}
	latency := newPathLatency()
	requests := 0
	ticker := time.NewTicker(quorumLossInterval)
	defer ticker.Stop()
	for end := time.Now().Add(quorumLossDuration); time.Now().Before(end) && ctx.Err() == nil; <-ticker.C {
		requests++
		client.request(survivor, latency)
	}
	status, err := survivor.Fleet()
	if err != nil {
		return err
	}
	fmt.Printf("\na minute without a quorum: %d requests, %d failed, p50 %d us, p99 %d us\n  reported as stale because: %s\n", requests, latency.failed,
		latency.took.ValueAtQuantile(50), latency.took.ValueAtQuantile(99), status.Stale)
	if latency.failed > 0 {
		return fmt.Errorf("%d requests failed while the fleet had no quorum", latency.failed)
	}
	return ctx.Err()
}
