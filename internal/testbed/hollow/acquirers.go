package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/fleet"
	"robindrum/internal/leaderelection"
	"robindrum/internal/lease"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
)

// AcquirersOptions configure Acquirers.
type AcquirersOptions struct {
	Fleet          string // name
	Acquirers      int
	Voters         []quorum.Voter
	Tasks          []string // that each runs for
	LeaseLength    time.Duration
	AttemptTimeout time.Duration // at one voter; 0: 600 ms
}

// Acquirers are clients of the quorum, each with an address and connections of its own, that run for leader-only tasks like
// gateways. The tasks do nothing. Its methods may be called by several goroutines at once.
type Acquirers struct {
	host       *addressRange
	nodes      []*peer.Node
	cancels    []context.CancelFunc
	goroutines sync.WaitGroup

	commands     atomic.Int64
	failed       atomic.Int64
	lastAnswer   atomic.Int64 // by fleet.Clock
	acquisitions chan Acquisition
}

// Acquisition is the begin of a task.
type Acquisition struct {
	Acquirer int
	Task     string
	At       time.Duration // by fleet.Clock
}

// countingClient counts the commands of a client.
type countingClient struct {
	*quorum.Client
	acquirers *Acquirers
}

func (g *countingClient) Do(ctx context.Context, c quorum.Command) (quorum.Result, time.Duration, error) {
	g.acquirers.commands.Add(1)
	r, sent, err := g.Client.Do(ctx, c)
	switch {
	case err == nil:
		g.acquirers.lastAnswer.Store(int64(fleet.Clock()))
	case ctx.Err() == nil:
		g.acquirers.failed.Add(1)
	}
	return r, sent, err
}

// StartAcquirers starts acquirers, which run until Close or until ctx ends.
func StartAcquirers(ctx context.Context, o AcquirersOptions) (*Acquirers, error) {
	if o.AttemptTimeout == 0 {
		o.AttemptTimeout = 600 * time.Millisecond
	}
	h, err := newAddressRange()
	if err != nil {
		return nil, err
	}
	a := &Acquirers{host: h, acquisitions: make(chan Acquisition, 64)}
	quiet := slog.New(slog.DiscardHandler)
	for i := range o.Acquirers {
		n, err := peer.Listen(peer.Options{Fleet: o.Fleet, Address: h.address(i), Log: quiet})
		if err != nil {
			a.Close()
			return nil, fmt.Errorf("acquirer %d: %w", i, err)
		}
		n.Serve()
		life, end := context.WithCancel(ctx)
		a.nodes, a.cancels = append(a.nodes, n), append(a.cancels, end)
		r := leaderelection.NewElector(&countingClient{quorum.NewClient(n, o.Voters, o.AttemptTimeout, fleet.Clock), a},
			leaderelection.Options{Member: lease.Member{Name: fmt.Sprint("a", i), Incarnation: 1}, Now: fleet.Clock, Log: quiet})
		for _, name := range o.Tasks {
			a.goroutines.Go(func() {
				r.Run(life, leaderelection.Task{Name: name, Rules: lease.Rules{Length: o.LeaseLength, MaxWait: min(3*o.LeaseLength, lease.MaxLength)}, Run: func(ctx context.Context, _ *leaderelection.Leadership) {
					select {
					case a.acquisitions <- Acquisition{i, name, fleet.Clock()}:
					default: // nobody receives
					}
					<-ctx.Done()
				}})
			})
		}
	}
	return a, nil
}

// Acquisitions returns a channel of tasks that begin. Those that nobody receives in time are dropped.
func (a *Acquirers) Acquisitions() <-chan Acquisition { return a.acquisitions }

// Commands returns how many commands were sent, and how many of them failed.
func (a *Acquirers) Commands() (asked, failed int64) { return a.commands.Load(), a.failed.Load() }

// LastAnswer returns when a command succeeded last, by fleet.Clock.
func (a *Acquirers) LastAnswer() time.Duration { return time.Duration(a.lastAnswer.Load()) }

// Traffic returns what all acquirers have sent and received.
func (a *Acquirers) Traffic() (t peer.Traffic) {
	for _, n := range a.nodes {
		t = t.Plus(n.Traffic())
	}
	return t
}

// Close stops all acquirers and waits for them. It closes their addresses first, so that none waits for a quorum that has ended.
func (a *Acquirers) Close() {
	var work sync.WaitGroup
	for i, n := range a.nodes {
		a.cancels[i]()
		work.Go(n.Close)
	}
	work.Wait()
	a.goroutines.Wait()
	a.host.close()
}
