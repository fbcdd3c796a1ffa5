package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// LinkState is the behavior of one direction between two processes. The zero value delivers everything without delay.
type LinkState struct {
	// Partitioned blocks streams until the link is healed, because TCP retransmits, and drops packets.
	Partitioned bool
	// Delay is added to each packet and each chunk of a stream.
	Delay time.Duration
	// Jitter is the upper bound of a random delay in addition to Delay, so that packets are reordered.
	Jitter time.Duration
	// Loss is the fraction of packets that are lost, and the fraction of stream chunks that are delayed by a retransmission.
	Loss float64
	// Duplication is the fraction of packets that are delivered twice.
	Duplication float64
}

const (
	// retransmitDelay is the additional delay of a lost chunk of a stream.
	retransmitDelay = 200 * time.Millisecond
	// duplicateDelay is the additional delay of a packet's duplicate.
	duplicateDelay = 10 * time.Millisecond
	// linkStream is the second seed word of the links' random numbers. It makes them independent of other draws with the same seed.
	linkStream = 0x70617468
)

// linkKey identifies one direction between two processes by their names.
type linkKey struct {
	from string
	to   string
}

// link is one direction between two processes. Its methods are safe for concurrent use.
type link struct {
	mu      sync.Mutex
	state   LinkState
	random  *rand.Rand
	changed chan struct{} // closed and replaced with each change of state
}

func newLink(seed uint64) *link {
	return &link{random: rand.New(rand.NewPCG(seed, linkStream)), changed: make(chan struct{})}
}

func (l *link) set(state LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
}

// waitToForward blocks until a chunk of a stream may be forwarded. It returns ctx's error if ctx ends first.
func (l *link) waitToForward(ctx context.Context) error {
	for {
		partitioned, delay, changed := l.drawStreamDelay()
		if !partitioned {
			return sleep(ctx, delay)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// drawStreamDelay draws the delay of a chunk of a stream. It also returns whether the link is partitioned, and the channel that is
// closed with the next change of state.
func (l *link) drawStreamDelay() (partitioned bool, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay = l.drawDelay()
	if l.state.Loss > 0 && l.random.Float64() < l.state.Loss {
		delay += retransmitDelay
	}
	return l.state.Partitioned, delay, l.changed
}

// packetDelays draws the delay of each delivered copy of a packet. It returns nil if the packet is lost.
func (l *link) packetDelays() []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Partitioned {
		return nil
	}
	if l.state.Loss > 0 && l.random.Float64() < l.state.Loss {
		return nil
	}
	delays := []time.Duration{l.drawDelay()}
	if l.state.Duplication > 0 && l.random.Float64() < l.state.Duplication {
		delays = append(delays, l.drawDelay()+duplicateDelay)
	}
	return delays
}

// drawDelay draws the delay of the present state without losses. It must be called with mu held.
func (l *link) drawDelay() time.Duration {
	delay := l.state.Delay
	if l.state.Jitter > 0 {
		delay += time.Duration(l.random.Int64N(int64(l.state.Jitter)))
	}
	return delay
}

// link returns the link from one process to another. It creates the link with the next seed if there is none.
func (c *Cluster) link(from, to string) *link {
	key := linkKey{from: from, to: to}
	if c.links[key] == nil {
		c.links[key] = newLink(c.options.Seed + uint64(len(c.links)))
	}
	return c.links[key]
}

// SetLink sets the state of the direction between two processes or external services, by name. It does nothing if there is no such link.
func (c *Cluster) SetLink(from, to string, state LinkState) {
	if l := c.links[linkKey{from: from, to: to}]; l != nil {
		l.set(state)
	}
}

// SetLinkBothWays sets the state of both directions between two processes or external services, by name.
func (c *Cluster) SetLinkBothWays(a, b string, state LinkState) {
	c.SetLink(a, b, state)
	c.SetLink(b, a, state)
}

// Isolate sets the state of both directions between a node and all other nodes. External services stay reachable.
func (c *Cluster) Isolate(n *Node, state LinkState) {
	for _, other := range c.Nodes {
		c.SetLinkBothWays(n.Name, other.Name, state)
	}
}

// Heal makes all links deliver everything without delay.
func (c *Cluster) Heal() {
	for _, l := range c.links {
		l.set(LinkState{})
	}
}
