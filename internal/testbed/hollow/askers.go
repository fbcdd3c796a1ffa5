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

// AskersOptions are what Askers are made of.
type AskersOptions struct {
	Fleet   string // its name
	Askers  int
	Voters  []quorum.Voter
	Duties  []string // that each asks for
	Length  time.Duration
	Attempt time.Duration // at one voter; 0: 600 ms
}

// Askers are clients of the quorum, each with an address and connections of its own, that ask for duties as gateways do. What they
// hold they only hold. Its methods may be called by several goroutines at once.
type Askers struct {
	host  *host
	nodes []*peer.Node
	ends  []context.CancelFunc
	work  sync.WaitGroup

	asked, failed atomic.Int64
	answered      atomic.Int64 // when the last answer came, on fleet.Clock
	holds         chan Hold
}

// Hold is that an asker has begun a duty.
type Hold struct {
	Asker int
	Duty  string
	At    time.Duration // on fleet.Clock
}

// gate counts what is asked.
type gate struct {
	*quorum.Client
	a *Askers
}

func (g *gate) Do(ctx context.Context, c quorum.Command) (quorum.Result, time.Duration, error) {
	g.a.asked.Add(1)
	r, sent, err := g.Client.Do(ctx, c)
	switch {
	case err == nil:
		g.a.answered.Store(int64(fleet.Clock()))
	case ctx.Err() == nil:
		g.a.failed.Add(1)
	}
	return r, sent, err
}

// StartAskers has them ask until Close.
func StartAskers(ctx context.Context, o AskersOptions) (*Askers, error) {
	if o.Attempt == 0 {
		o.Attempt = 600 * time.Millisecond
	}
	h, err := newHost()
	if err != nil {
		return nil, err
	}
	a := &Askers{host: h, holds: make(chan Hold, 64)}
	quiet := slog.New(slog.DiscardHandler)
	for i := range o.Askers {
		n, err := peer.Listen(peer.Options{Fleet: o.Fleet, Address: h.address(i), Log: quiet})
		if err != nil {
			a.Close()
			return nil, fmt.Errorf("asker %d: %w", i, err)
		}
		n.Serve()
		life, end := context.WithCancel(ctx)
		a.nodes, a.ends = append(a.nodes, n), append(a.ends, end)
		r := leaderelection.NewElector(&gate{quorum.NewClient(n, o.Voters, o.Attempt, fleet.Clock), a},
			leaderelection.Options{Member: lease.Member{Name: fmt.Sprint("a", i), Incarnation: 1}, Now: fleet.Clock, Log: quiet})
		for _, name := range o.Duties {
			a.work.Go(func() {
				r.Run(life, leaderelection.Task{Name: name, Rules: lease.Rules{Length: o.Length, MaxWait: min(3*o.Length, lease.MaxLength)}, Run: func(ctx context.Context, _ *leaderelection.Leadership) {
					select {
					case a.holds <- Hold{i, name, fleet.Clock()}:
					default: // nobody looks
					}
					<-ctx.Done()
				}})
			})
		}
	}
	return a, nil
}

// Holds gives duties that begin, as far as somebody takes them.
func (a *Askers) Holds() <-chan Hold { return a.holds }

// Asked is how many commands they asked for, failed how many of them nobody agreed on in time.
func (a *Askers) Asked() (asked, failed int64) { return a.asked.Load(), a.failed.Load() }

// Answered is when one was answered last, on fleet.Clock.
func (a *Askers) Answered() time.Duration { return time.Duration(a.answered.Load()) }

// Traffic is what all of them sent and got.
func (a *Askers) Traffic() (t peer.Traffic) {
	for _, n := range a.nodes {
		t = t.Plus(n.Traffic())
	}
	return t
}

// Close ends them: their addresses first, so that none waits for a quorum that is gone.
func (a *Askers) Close() {
	var work sync.WaitGroup
	for i, n := range a.nodes {
		a.ends[i]()
		work.Go(n.Close)
	}
	work.Wait()
	a.work.Wait()
	a.host.close()
}
