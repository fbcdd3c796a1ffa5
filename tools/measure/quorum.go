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

// stoppableClient is a quorum client that can be stopped, after which it sends no more commands.
type stoppableClient struct {
	*quorum.Client
	stopped  atomic.Bool
	requests *atomic.Int64 // of all members
}

// Do sends a command; a stopped client blocks until the context ends and returns quorum.ErrNoQuorum.
func (c *stoppableClient) Do(ctx context.Context, command quorum.Command) (quorum.Result, time.Duration, error) {
	if c.stopped.Load() {
		<-ctx.Done()
		return quorum.Result{}, 0, quorum.ErrNoQuorum
	}
	c.requests.Add(1)
	return c.Client.Do(ctx, command)
}

// measureQuorumTraffic measures 10, 50 and 200 members that compete for one lease. The three voters are processes, the members are
// clients in this process.
func measureQuorumTraffic() error {
	ctx, b, err := newBuild()
	if err != nil {
		return err
	}
	defer b.close()
	printMachine()
	fmt.Println("three voters (processes), members as clients in one process; one lease of 10 s, held for 30 s; then a lease of 2 s, whose holder is stopped up to 10 times")
	fmt.Println("members   commands / s       entries / s       bytes / s    voter CPU  hand-over: p50    max")
	for _, members := range []int{10, 50, 200} {
		if err := measureQuorumTrafficOf(ctx, b, members); err != nil {
			return err
		}
	}
	return nil
}

// measureQuorumTrafficOf starts voters, measures them with a number of members and prints a line of the table.
func measureQuorumTrafficOf(ctx context.Context, b *build, members int) error {
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

// leadershipStart records which member became the leader, and when.
type leadershipStart struct {
	member int
	at     time.Duration // by fleet.Clock
}

// candidates are members in this process that compete for a lease.
type candidates struct {
	cancel   context.CancelFunc
	node     *peer.Node
	electors sync.WaitGroup
	clients  []*stoppableClient
	requests atomic.Int64
	starts   chan leadershipStart
}

// startCandidates starts members that compete for a lease until stop is called.
func startCandidates(ctx context.Context, voters *cluster.Cluster, name string, length time.Duration, members int) (*candidates, error) {
	node, err := peer.Listen(peer.Options{Fleet: "rig", Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &candidates{cancel: cancel, node: node, starts: make(chan leadershipStart, 64)}
	for i := range members {
		client := &stoppableClient{Client: quorum.NewClient(node, voters.Voters(), 600*time.Millisecond, fleet.Clock), requests: &c.requests}
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

// stop stops the members and waits for them.
func (c *candidates) stop() {
	c.cancel()
	c.electors.Wait()
	c.node.Close()
}

// measureIdleLease measures the traffic and CPU time while one member holds a lease, and returns them as the first columns of a line.
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
	cpuBefore, _, _ := nodeUsage(voters.Nodes)
	requestsBefore, sentBefore, began := c.requests.Load(), c.node.Sent(), time.Now()
	select {
	case <-time.After(idleWindow):
	case <-ctx.Done():
	}
	entries := appliedEntries(voters) - entriesBefore
	cpu, _, _ := nodeUsage(voters.Nodes)
	cpu -= cpuBefore
	seconds := time.Since(began).Seconds()
	requests := c.requests.Load() - requestsBefore
	sent := c.node.Sent() - sentBefore
	return fmt.Sprintf("%7d %14.1f %17.1f %15.0f %11.1f%%", members, float64(requests)/seconds, float64(entries)/seconds,
		float64(sent)/seconds, 100*cpu.Seconds()/seconds), nil
}

// measureTakeovers repeatedly stops the holder of a short lease and returns the times in milliseconds until the next member leads.
func measureTakeovers(ctx context.Context, voters *cluster.Cluster, members int) (*hdrhistogram.Histogram, error) {
	c, err := startCandidates(ctx, voters, "short", takeoverLease, members)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	times := hdrhistogram.New(1, 60_000, 3)
	holder := <-c.starts
	for range min(takeovers, members-1) {
		if err := sleep(ctx, time.Second); err != nil {
			return nil, err
		}
		stoppedAt := fleet.Clock()
		c.clients[holder.member].stopped.Store(true)
		select {
		case holder = <-c.starts:
		case <-time.After(takeoverTimeout):
			return nil, errors.New("no member took over the lease within 30 s")
		}
		_ = times.RecordValue((holder.at - stoppedAt).Milliseconds())
	}
	return times, nil
}
