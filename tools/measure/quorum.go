package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robindrum/internal/fleet"
	"robindrum/internal/leaderelection"
	"robindrum/internal/lease"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
	"robindrum/internal/testbed/cluster"
)

const (
	idleLease       = 10 * time.Second
	idleWindow      = 30 * time.Second
	takeoverLease   = 2 * time.Second
	takeovers       = 10
	takeoverTimeout = 30 * time.Second
)

// mortalClient is a client of the quorum that can be stopped: then it sends no more commands.
type mortalClient struct {
	*quorum.Client
	dead     atomic.Bool
	requests *atomic.Int64 // of all members
}

// Do sends a command; a stopped client blocks until the context ends and returns quorum.ErrNoQuorum.
func (c *mortalClient) Do(ctx context.Context, command quorum.Command) (quorum.Result, time.Duration, error) {
	if c.dead.Load() {
		<-ctx.Done()
		return quorum.Result{}, 0, quorum.ErrNoQuorum
	}
	c.requests.Add(1)
	return c.Client.Do(ctx, command)
}

// quorumTraffic has 10, 50 and 200 members compete for one lease: three voters are processes, the members are clients in this
// process.
func quorumTraffic() error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	printMachine()
	fmt.Println("three voters (processes), members as clients in one process, one lease of 10 s held for 30 s; then its holder dies, 10 times with a lease of 2 s")
	fmt.Println("members  asks a second  entries a second  bytes a second  voters' CPU  hand-over: p50    max")
	for _, members := range []int{10, 50, 200} {
		if err := quorumTrafficOf(ctx, b, members); err != nil {
			return err
		}
	}
	return nil
}

// quorumTrafficOf starts voters, measures them under a number of members and prints a line.
func quorumTrafficOf(ctx context.Context, b *build, members int) error {
	folder, err := os.MkdirTemp(b.dir, "quorum-")
	if err != nil {
		return err
	}
	voters, err := cluster.New(cluster.Options{
		Binary:    b.binary,
		Dir:       folder,
		Nodes:     3,
		Lease:     idleLease,
		Heartbeat: 300 * time.Millisecond,
		Probe:     time.Second,
	})
	if err != nil {
		return err
	}
	defer voters.Close()
	if err := voters.Start(); err != nil {
		return err
	}
	if err := cluster.Await(ctx, "a leader", 30*time.Second, func() bool { return voters.Leader() != nil }); err != nil {
		return err
	}
	line, err := measureIdleLease(ctx, voters, members)
	if err != nil {
		return err
	}
	times, err := measureTakeovers(ctx, voters, members)
	if err != nil {
		return err
	}
	fmt.Printf("%s %13d ms %4d ms\n", line, times.ValueAtQuantile(50), times.Max())
	return nil
}

// leadershipStart says which member began to lead and when.
type leadershipStart struct {
	member int
	at     time.Duration // by fleet.Clock
}

// candidates are members that compete for one lease, in this process.
type candidates struct {
	cancel   context.CancelFunc
	node     *peer.Node
	electors sync.WaitGroup
	clients  []*mortalClient
	requests atomic.Int64
	starts   chan leadershipStart
}

// startCandidates has members compete for a lease until stop.
func startCandidates(ctx context.Context, voters *cluster.Cluster, name string, length time.Duration, members int) (*candidates, error) {
	node, err := peer.Listen(peer.Options{Fleet: "rig", Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &candidates{cancel: cancel, node: node, starts: make(chan leadershipStart, 64)}
	for i := range members {
		client := &mortalClient{Client: quorum.NewClient(node, voters.Voters(), 600*time.Millisecond, fleet.Clock), requests: &c.requests}
		c.clients = append(c.clients, client)
		elector := leaderelection.NewElector(client, leaderelection.Options{
			Member: lease.Member{Name: fmt.Sprint("m", i), Incarnation: 1},
			Now:    fleet.Clock,
			Log:    slog.New(slog.DiscardHandler),
		})
		task := leaderelection.Task{Name: name, Rules: lease.Rules{Length: length}, Run: func(ctx context.Context, _ *leaderelection.Leadership) {
			select {
			case c.starts <- leadershipStart{member: i, at: fleet.Clock()}:
			case <-ctx.Done():
			}
			<-ctx.Done()
		}}
		c.electors.Go(func() { elector.Run(ctx, task) })
	}
	return c, nil
}

// stop ends the members and waits for them.
func (c *candidates) stop() {
	c.cancel()
	c.electors.Wait()
	c.node.Close()
}

// measureIdleLease has one lease held for a window and returns what that costs, as the beginning of a line.
func measureIdleLease(ctx context.Context, voters *cluster.Cluster, members int) (string, error) {
	c, err := startCandidates(ctx, voters, "long", idleLease, members)
	if err != nil {
		return "", err
	}
	defer c.stop()
	select {
	case <-c.starts:
	case <-ctx.Done():
	}
	entriesBefore := appliedEntries(voters)
	cpuBefore, _, _ := resourceUsage(voters.Nodes)
	requestsBefore, sentBefore, began := c.requests.Load(), c.node.Sent(), time.Now()
	select {
	case <-time.After(idleWindow):
	case <-ctx.Done():
	}
	entries := appliedEntries(voters) - entriesBefore
	cpu, _, _ := resourceUsage(voters.Nodes)
	cpu -= cpuBefore
	seconds := time.Since(began).Seconds()
	requests := c.requests.Load() - requestsBefore
	sent := c.node.Sent() - sentBefore
	return fmt.Sprintf("%7d %14.1f %17.1f %15.0f %11.1f%%", members, float64(requests)/seconds, float64(entries)/seconds,
		float64(sent)/seconds, 100*cpu.Seconds()/seconds), nil
}

// measureTakeovers stops the holder of a short lease again and again and returns how long the next one took, in milliseconds.
func measureTakeovers(ctx context.Context, voters *cluster.Cluster, members int) (*hdrhistogram.Histogram, error) {
	c, err := startCandidates(ctx, voters, "short", takeoverLease, members)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	times := hdrhistogram.New(1, 60_000, 3)
	holder := <-c.starts
	for range min(takeovers, members-1) {
		if err := idleFor(ctx, time.Second); err != nil {
			return nil, err
		}
		stopped := fleet.Clock()
		c.clients[holder.member].dead.Store(true)
		select {
		case holder = <-c.starts:
		case <-time.After(takeoverTimeout):
			return nil, errors.New("nobody took over within 30 s")
		}
		_ = times.RecordValue((holder.at - stopped).Milliseconds())
	}
	return times, nil
}
