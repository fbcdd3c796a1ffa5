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

// AcquirersOptions configures Acquirers.
type AcquirersOptions struct {
	Fleet          string // name of the fleet
	Acquirers      int
	Voters         []quorum.Voter
	Tasks          []string // leader-only tasks that every acquirer tries to lead
	LeaseLength    time.Duration
	AttemptTimeout time.Duration // of a command at one voter; default: 600 ms
}

// Acquirers are clients of the quorum that acquire the leases of leader-only tasks like gateways. Each has its own address and
// connections. The tasks do nothing. The methods of Acquirers are safe for concurrent use.
type Acquirers struct {
	addresses  *addressRange
	nodes      []*peer.Node
	cancels    []context.CancelFunc
	goroutines sync.WaitGroup

	commands     atomic.Int64
	failed       atomic.Int64
	lastAnswer   atomic.Int64 // by fleet.Clock
	acquisitions chan Acquisition
}

// Acquisition is the start of a leader-only task at the acquirer that acquired its lease.
type Acquisition struct {
	Acquirer int
	Task     string
	At       time.Duration // by fleet.Clock
}

// countingClient counts the commands of a quorum.Client.
type countingClient struct {
	*quorum.Client
	acquirers *Acquirers
}

func (client *countingClient) Do(ctx context.Context, command quorum.Command) (quorum.Result, time.Duration, error) {
	client.acquirers.commands.Add(1)
	result, sent, err := client.Client.Do(ctx, command)
	switch {
	case err == nil:
		client.acquirers.lastAnswer.Store(int64(fleet.Clock()))
	case ctx.Err() == nil:
		client.acquirers.failed.Add(1)
	}
	return result, sent, err
}

// StartAcquirers starts o.Acquirers acquirers, which run until ctx ends or Close is called. Close must be called.
func StartAcquirers(ctx context.Context, o AcquirersOptions) (*Acquirers, error) {
	if o.AttemptTimeout == 0 {
		o.AttemptTimeout = 600 * time.Millisecond
	}
	addrs, err := newAddressRange()
	if err != nil {
		return nil, err
	}
	a := &Acquirers{addresses: addrs, acquisitions: make(chan Acquisition, 64)}
	quiet := slog.New(slog.DiscardHandler)
	for number := range o.Acquirers {
		node, err := peer.Listen(peer.Options{Fleet: o.Fleet, Address: addrs.address(number), Log: quiet})
		if err != nil {
			a.Close()
			return nil, fmt.Errorf("acquirer %d: %w", number, err)
		}
		node.Serve()
		acquirerCtx, cancel := context.WithCancel(ctx)
		a.nodes, a.cancels = append(a.nodes, node), append(a.cancels, cancel)
		elector := leaderelection.NewElector(&countingClient{quorum.NewClient(node, o.Voters, o.AttemptTimeout, fleet.Clock), a},
			leaderelection.Options{Member: lease.Member{Name: fmt.Sprint("a", number), Incarnation: 1}, Now: fleet.Clock, Log: quiet})
		for _, name := range o.Tasks {
			a.goroutines.Go(func() {
				elector.Run(acquirerCtx, leaderelection.Task{Name: name, Rules: lease.Rules{Length: o.LeaseLength, MaxWait: min(3*o.LeaseLength, lease.MaxLength)}, Run: func(ctx context.Context, _ *leaderelection.Leadership) {
					select {
					case a.acquisitions <- Acquisition{number, name, fleet.Clock()}:
					default: // dropped: the channel is full
					}
					<-ctx.Done()
				}})
			})
		}
	}
	return a, nil
}

// Acquisitions returns the channel on which the starts of tasks are sent. A start is dropped if the channel's buffer of 64 is full.
func (a *Acquirers) Acquisitions() <-chan Acquisition { return a.acquisitions }

// Commands returns how many commands were sent, and how many of them failed.
func (a *Acquirers) Commands() (sent, failed int64) { return a.commands.Load(), a.failed.Load() }

// LastAnswer returns when the last successful command ended, by fleet.Clock; 0 if none has succeeded.
func (a *Acquirers) LastAnswer() time.Duration { return time.Duration(a.lastAnswer.Load()) }

// Traffic returns the traffic of all acquirers.
func (a *Acquirers) Traffic() (t peer.Traffic) {
	for _, node := range a.nodes {
		t = t.Plus(node.Traffic())
	}
	return t
}

// Close stops all acquirers and waits until they have stopped. It closes their nodes first, so that none waits for an answer of a quorum
// that no longer runs.
func (a *Acquirers) Close() {
	var closing sync.WaitGroup
	for i, node := range a.nodes {
		a.cancels[i]()
		closing.Go(node.Close)
	}
	closing.Wait()
	a.goroutines.Wait()
	a.addresses.close()
}
