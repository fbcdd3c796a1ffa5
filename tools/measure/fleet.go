package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robindrum/internal/fleet"
	"robindrum/internal/leaderelection"
	"robindrum/internal/lease"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
	"robindrum/internal/testbed/cluster"
	"robindrum/internal/testbed/origin"
)

// built makes a folder with the program.
func built() (ctx context.Context, dir, binary string, done func(), err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	dir, binary, remove, err := program(ctx)
	if err != nil {
		stop()
		return ctx, "", "", func() {}, err
	}
	return ctx, dir, binary, func() { remove(); stop() }, nil
}

// herd has a control plane away for 10 s and back with a new version, before 20 gateways with a subscription each and with one
// for all.
func herd() error {
	ctx, dir, binary, done, err := built()
	defer done()
	if err != nil {
		return err
	}
	machine()
	fmt.Println("20 gateways, each asked 20 times a second; the control plane is away for 10 s and returns with a new version")
	fmt.Println("subscription      streams in 1 s  in 3 s  requests  all have it after  asked  failed")
	for _, shared := range []bool{false, true, false, true} {
		s, err := cluster.NewSite(ctx, cluster.SiteOptions{Binary: binary, Dir: dir, Gateways: 20, SharedSubscription: shared, Lease: 2 * time.Second, DirectAfter: 5 * time.Second, Heartbeat: 500 * time.Millisecond})
		if err != nil {
			return err
		}
		r, err := s.MeasureReconnect(ctx, shared, 10*time.Second)
		s.Close()
		if err != nil {
			return err
		}
		fmt.Printf("%-16s %15d %7d %9d %18v %6d %7d  %s\n", map[bool]string{false: "each its own", true: "one for all"}[shared], r.FirstSecond, r.Streams, r.Requests,
			r.Recovery.Round(time.Millisecond), r.LoadRequests, r.LoadFailures, r.FirstFailure)
	}
	return nil
}

// path holds requests with a fleet against requests without one, and then takes the quorum away for a minute.
func path(requests, rounds int) error {
	ctx, dir, binary, done, err := built()
	defer done()
	if err != nil {
		return err
	}
	o, err := origin.Start("", nil)
	if err != nil {
		return err
	}
	defer o.Kill()
	file := func(int) string {
		return fmt.Sprintf("clusters: [{name: c, endpoints: [{address: %q}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n", o.Addr)
	}
	a, err := cluster.NewAuditor("receiver")
	if err != nil {
		return err
	}
	defer a.Close()
	both := map[bool]*cluster.Cluster{}
	for _, on := range []bool{false, true} {
		folder, err := os.MkdirTemp(dir, "path-")
		if err != nil {
			return err
		}
		opt := cluster.Options{Binary: binary, Dir: folder, Nodes: 1, NoFleet: true, ExtraConfig: file}
		if on {
			opt = cluster.Options{Binary: binary, Dir: folder, Nodes: 3, ExtraConfig: file, Lease: 2 * time.Second, Heartbeat: 300 * time.Millisecond, Probe: time.Second,
				Posts: map[string]*cluster.ExternalService{"audit": &a.ExternalService}, PostInterval: 100 * time.Millisecond}
		}
		c, err := cluster.New(opt)
		if err != nil {
			return err
		}
		defer c.Close()
		if err := c.Start(); err != nil {
			return err
		}
		both[on] = c
	}
	if err := cluster.Await(ctx, "a duty that runs", 30*time.Second, func() bool { last, _ := a.Last(); return last.Token > 0 }); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}
	ask := func(n *cluster.Node, h *hdrhistogram.Histogram, mu *sync.Mutex) error {
		began := time.Now()
		resp, err := client.Get("http://" + n.Web + "/")
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("%s", resp.Status)
		}
		mu.Lock()
		_ = h.RecordValue(time.Since(began).Microseconds())
		mu.Unlock()
		return err
	}
	machine()
	fmt.Printf("%d rounds of %d requests by 16 clients, one process each\n", rounds, requests)
	fmt.Println("fleet   p50 us  p99 us  CPU us a request  memory MB  failed")
	for round := range rounds {
		for _, on := range []bool{round%2 == 0, round%2 != 0} {
			n := both[on].Nodes[0]
			h, mu, failed := hdrhistogram.New(1, 60_000_000, 3), sync.Mutex{}, 0
			before, _ := usage(n.Process().PID())
			var work sync.WaitGroup
			for range 16 {
				work.Go(func() {
					for range requests / 16 {
						if err := ask(n, h, &mu); err != nil {
							mu.Lock()
							failed++
							mu.Unlock()
						}
					}
				})
			}
			work.Wait()
			after, rss := usage(n.Process().PID())
			fmt.Printf("%-6v %7d %7d %17.1f %10.1f %7d\n", map[bool]string{true: "on", false: "off"}[on], h.ValueAtQuantile(50), h.ValueAtQuantile(99),
				float64((after-before).Microseconds())/float64(requests/16*16), float64(rss)/(1<<20), failed)
		}
	}
	// A minute without a quorum.
	c := both[true]
	for _, n := range c.Nodes[1:] {
		n.Kill()
	}
	h, mu, failed, asked := hdrhistogram.New(1, 60_000_000, 3), sync.Mutex{}, 0, 0
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(time.Minute); time.Now().Before(end) && ctx.Err() == nil; <-tick.C {
		asked++
		if err := ask(c.Nodes[0], h, &mu); err != nil {
			failed++
		}
	}
	s, err := c.Nodes[0].Fleet()
	if err != nil {
		return err
	}
	fmt.Printf("\na minute without a quorum: %d requests, %d failed, p50 %d us, p99 %d us\n  it says: %s\n", asked, failed, h.ValueAtQuantile(50), h.ValueAtQuantile(99), s.Stale)
	if failed > 0 {
		return fmt.Errorf("%d requests failed for want of a quorum", failed)
	}
	return ctx.Err()
}

// gate is a client of the quorum that can die: then it asks no more.
type gate struct {
	*quorum.Client
	dead  atomic.Bool
	asked *atomic.Int64
}

func (g *gate) Do(ctx context.Context, c quorum.Command) (quorum.Result, time.Duration, error) {
	if g.dead.Load() {
		<-ctx.Done()
		return quorum.Result{}, 0, quorum.ErrNoQuorum
	}
	g.asked.Add(1)
	return g.Client.Do(ctx, c)
}

// quorumTraffic has 10, 50 and 200 members ask for one lease: three voters are processes, the members are clients in this one.
func quorumTraffic() error {
	ctx, dir, binary, done, err := built()
	defer done()
	if err != nil {
		return err
	}
	machine()
	fmt.Println("three voters (processes), members as clients in one process, one lease of 10 s held for 30 s; then its holder dies, 10 times with a lease of 2 s")
	fmt.Println("members  asks a second  entries a second  bytes a second  voters' CPU  hand-over: p50    max")
	for _, n := range []int{10, 50, 200} {
		folder, err := os.MkdirTemp(dir, "quorum-")
		if err != nil {
			return err
		}
		c, err := cluster.New(cluster.Options{Binary: binary, Dir: folder, Nodes: 3, Lease: 10 * time.Second, Heartbeat: 300 * time.Millisecond, Probe: time.Second})
		if err != nil {
			return err
		}
		if err := c.Start(); err != nil {
			c.Close()
			return err
		}
		err = traffic(ctx, c, n)
		c.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func traffic(ctx context.Context, c *cluster.Cluster, n int) error {
	if err := cluster.Await(ctx, "a leader", 30*time.Second, func() bool { return c.Leader() != nil }); err != nil {
		return err
	}
	var asked atomic.Int64
	type began struct {
		member int
		at     time.Duration
	}
	run := func(name string, length time.Duration, gates []*gate, each chan<- began) (stop func(), sent func() int64, err error) {
		life, end := context.WithCancel(ctx)
		node, err := peer.Listen(peer.Options{Fleet: "rig", Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			end()
			return nil, nil, err
		}
		var work sync.WaitGroup
		for i := range gates {
			gates[i] = &gate{Client: quorum.NewClient(node, c.Voters(), 600*time.Millisecond, fleet.Clock), asked: &asked}
			r := leaderelection.NewElector(gates[i], leaderelection.Options{Member: lease.Member{Name: fmt.Sprint("m", i), Incarnation: 1}, Now: fleet.Clock, Log: slog.New(slog.DiscardHandler)})
			work.Go(func() {
				r.Run(life, leaderelection.Task{Name: name, Rules: lease.Rules{Length: length}, Run: func(ctx context.Context, h *leaderelection.Leadership) {
					select {
					case each <- began{i, fleet.Clock()}:
					case <-ctx.Done():
					}
					<-ctx.Done()
				}})
			})
		}
		return func() { end(); work.Wait(); node.Close() }, node.Sent, nil
	}
	applied := func() (entries uint64, cpu time.Duration) {
		for _, v := range c.Nodes {
			if s, err := v.Fleet(); err == nil && s.Vote != nil {
				entries = max(entries, s.Vote.Applied)
			}
			used, _ := usage(v.Process().PID())
			cpu += used
		}
		return entries, cpu
	}
	each := make(chan began, 64)
	stop, sent, err := run("long", 10*time.Second, make([]*gate, n), each)
	if err != nil {
		return err
	}
	select {
	case <-each:
	case <-ctx.Done():
	}
	e0, cpu0 := applied()
	a0, s0, t0 := asked.Load(), sent(), time.Now()
	select {
	case <-time.After(30 * time.Second):
	case <-ctx.Done():
	}
	e1, cpu1 := applied()
	d := time.Since(t0).Seconds()
	line := fmt.Sprintf("%7d %14.1f %17.1f %15.0f %11.1f%%", n, float64(asked.Load()-a0)/d, float64(e1-e0)/d, float64(sent()-s0)/d, 100*(cpu1-cpu0).Seconds()/d)
	stop()
	gates := make([]*gate, n)
	if stop, _, err = run("short", 2*time.Second, gates, each); err != nil {
		return err
	}
	defer stop()
	times := hdrhistogram.New(1, 60_000, 3)
	holder := <-each
	for range min(10, n-1) {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return ctx.Err()
		}
		at := fleet.Clock()
		gates[holder.member].dead.Store(true)
		select {
		case holder = <-each:
		case <-time.After(30 * time.Second):
			return fmt.Errorf("nobody took over within 30 s")
		}
		_ = times.RecordValue((holder.at - at).Milliseconds())
	}
	fmt.Printf("%s %13d ms %4d ms\n", line, times.ValueAtQuantile(50), times.Max())
	return nil
}
