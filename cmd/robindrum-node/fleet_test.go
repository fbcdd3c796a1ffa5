package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"robindrum/internal/testbed/platform"
)

const longDeadline = 2 * time.Second

// fleet is several nodes as processes of their own, with their clients, backends and discovery service.
type fleet struct {
	record    *platform.Record
	discovery *platform.Discovery
	backends  []*platform.Backend
	nodes     []*platform.Node
	clients   []*platform.Clients
	running   sync.WaitGroup
}

// startFleet starts a fleet in which each node has one client for each of the given intervals between requests.
func startFleet(t *testing.T, nodes, backends int, seed uint64, options platform.DiscoveryOptions, intervals ...time.Duration) *fleet {
	t.Helper()
	f := &fleet{record: platform.NewRecord()}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { f.close(cancel) })
	var targets []platform.Target
	for i := range backends {
		backend, err := platform.StartBackend(fmt.Sprintf("s%d", i), 5*time.Millisecond, f.record)
		if err != nil {
			t.Fatal(err)
		}
		f.backends = append(f.backends, backend)
		targets = append(targets, backend.Target(string(rune('a'+i%2))))
	}
	var err error
	if f.discovery, err = platform.NewDiscovery(nodes, targets, options, f.record); err != nil {
		t.Fatal(err)
	}
	for _, backend := range f.backends {
		backend.SetDiscovery(f.discovery)
	}
	for i := range nodes {
		node, err := platform.NewNode(filepath.Join(programDir, "robindrum-node"), t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, node)
		f.start(t, i, seed)
	}
	for i, node := range f.nodes {
		if err := node.AwaitReady(30 * time.Second); err != nil {
			t.Fatal(err)
		}
		clients := platform.NewClients(i, node.Listen, f.record)
		f.clients = append(f.clients, clients)
		for k, interval := range intervals {
			f.running.Go(func() {
				clients.Run(ctx, seed<<8+uint64(k), interval, []time.Duration{300 * time.Millisecond, time.Second, longDeadline})
			})
		}
	}
	return f
}

// start starts the process of a node with the list that the node last had.
func (f *fleet) start(t *testing.T, i int, seed uint64) {
	t.Helper()
	f.discovery.Restarted(i)
	config := &platform.NodeConfig{Index: i, Nodes: f.discovery.Nodes(), Discovery: f.discovery.Address(i), Known: f.discovery.Known(i), Sockets: 512,
		Seed: seed<<16 + uint64(i), LongDeadline: longDeadline}
	if err := f.nodes[i].Configure(config); err != nil {
		t.Fatal(err)
	}
	if err := f.nodes[i].Start(); err != nil {
		t.Fatal(err)
	}
}

// restart kills nodes without warning and starts them again a second later.
func (f *fleet) restart(t *testing.T, nodes []int, seed uint64) {
	t.Helper()
	for _, i := range nodes {
		f.clients[i].SetExcused(true)
		f.nodes[i].Kill()
		f.record.Printf("n%d: SIGKILL", i)
	}
	time.Sleep(time.Second)
	for _, i := range nodes {
		f.start(t, i, seed)
		f.record.Printf("n%d: started", i)
	}
	for _, i := range nodes {
		if err := f.nodes[i].AwaitReady(10 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(longDeadline + time.Second) // what the former processes had is over
	for _, i := range nodes {
		f.clients[i].SetExcused(false)
	}
}

func (f *fleet) close(stopClients context.CancelFunc) {
	stopClients()
	f.running.Wait()
	for _, node := range f.nodes {
		node.Kill()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	for _, backend := range f.backends {
		backend.Close()
	}
}

// check reports the breaches of the rules, with what happened at the nodes that they name.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	breaches := f.record.Breaches()
	for i, breach := range breaches {
		if i == 10 {
			t.Errorf("and %d more breaches", len(breaches)-i)
			break
		}
		t.Error(breach)
	}
	t.Logf("requests: %d served, %d refused, %d failed, %d of killed nodes, %d not taken", f.record.Requests(platform.Served), f.record.Requests(platform.Refused),
		f.record.Requests(platform.Failed), f.record.Requests(platform.NodeKilled), f.record.Requests(platform.NotTaken))
	if testing.Verbose() {
		for _, line := range f.record.Lines() {
			t.Log(line)
		}
	}
	if f.record.Requests(platform.Served) == 0 {
		t.Error("no request was served")
	}
}

// drainCase is a run in which most nodes are killed and started again, and all watches break as a server begins to drain.
type drainCase struct {
	options platform.DiscoveryOptions
	silent  bool          // the watches fall silent instead of ending
	away    time.Duration // how long the service is away from then on
}

func (c drainCase) run(t *testing.T) {
	t.Parallel()
	const backends = 4
	f := startFleet(t, drainCaseNodes, backends, 1, c.options, 50*time.Millisecond)
	time.Sleep(6 * time.Second)
	f.restart(t, killedNodes(rand.New(rand.NewPCG(1, 1)), drainCaseNodes, 0.7), 2)
	time.Sleep(4 * time.Second)
	f.discovery.SetDown(c.away > 0)
	f.discovery.BreakWatches(c.silent)
	f.discovery.SetState("s3", platform.Draining)
	time.Sleep(c.away)
	f.discovery.SetDown(false)
	time.Sleep(12 * time.Second)
	f.check(t)
}

const drainCaseNodes = 24

// Guards against calls of all nodes at once, and then 5 s later, behind watches whose last call was answered with an empty line.
func TestNoSendsToDrainingServersAfterAnswersWithoutChanges(t *testing.T) {
	for name, c := range map[string]drainCase{
		"silent":          {platform.DiscoveryOptions{CostPerCall: 3 * time.Second / drainCaseNodes, Patience: time.Second}, true, 0},
		"ended":           {platform.DiscoveryOptions{CostPerCall: 3 * time.Second / drainCaseNodes, Patience: time.Second}, false, 0},
		"away for 5.5 s":  {platform.DiscoveryOptions{CostPerCall: 3500 * time.Millisecond / drainCaseNodes, Patience: 2 * time.Second}, false, 5500 * time.Millisecond},
		"away for 10.5 s": {platform.DiscoveryOptions{CostPerCall: 3500 * time.Millisecond / drainCaseNodes, Patience: 2 * time.Second}, false, 10500 * time.Millisecond},
	} {
		c.options.EmptyWhenUnchanged = true
		t.Run(name, c.run)
	}
}

// Guards against calls that come too late behind an answer that broke off or stopped short.
func TestNoSendsToDrainingServersAfterInterruptedAnswers(t *testing.T) {
	for name, faults := range map[string][]platform.AnswerFault{"broken off": {platform.BreaksOff, platform.ResetWithin}, "stopped short": {platform.StopsShort}} {
		options := platform.DiscoveryOptions{CostPerCall: time.Second / drainCaseNodes, Patience: 2 * time.Second, Fault: platform.AlternatingFaults(1, 0.5, faults...)}
		t.Run(name+", silent", drainCase{options, true, 0}.run)
		t.Run(name+", ended", drainCase{options, false, 0}.run)
	}
}

// killedNodes returns a random part of the nodes in ascending order.
func killedNodes(rng *rand.Rand, nodes int, share float64) []int {
	return slices.Sorted(slices.Values(rng.Perm(nodes)[:int(float64(nodes)*share)]))
}
