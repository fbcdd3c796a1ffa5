package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// LinkState is how one direction between two processes behaves. The zero value delivers everything at once.
type LinkState struct {
	// Partitioned blocks streams until the link is healed, as TCP retransmits, and loses packets.
	Partitioned bool
	// Delay is added to each packet and each piece of a stream.
	Delay time.Duration
	// Jitter is the upper bound of a random delay on top of Delay, so that packets overtake each other.
	Jitter time.Duration
	// Loss is the fraction of packets that is lost, and the fraction of pieces of a stream that is retransmitted.
	Loss float64
	// Duplication is the fraction of packets that is delivered twice.
	Duplication float64
}

const (
	// retransmitDelay is what the loss of a piece of a stream costs.
	retransmitDelay = 200 * time.Millisecond
	// duplicateDelay is how long after a packet its duplicate is sent.
	duplicateDelay = 10 * time.Millisecond
	// linkStream distinguishes the random numbers of links from others of the same seed.
	linkStream = 0x70617468
)

// linkKey names one direction between two processes.
type linkKey struct {
	from string
	to   string
}

// link is one direction between two processes. Its methods may be called by several goroutines at once.
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

// waitToForward blocks until a piece of a stream may be forwarded, or ctx ends.
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

// drawStreamDelay returns the present state and draws the delay of a piece of a stream.
func (l *link) drawStreamDelay() (partitioned bool, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay = l.drawDelay()
	if l.state.Loss > 0 && l.random.Float64() < l.state.Loss {
		delay += retransmitDelay
	}
	return l.state.Partitioned, delay, l.changed
}

// packetDelays draws after which times copies of a packet are delivered. It returns none if the packet is lost.
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

// drawDelay must be called with mu held.
func (l *link) drawDelay() time.Duration {
	delay := l.state.Delay
	if l.state.Jitter > 0 {
		delay += time.Duration(l.random.Int64N(int64(l.state.Jitter)))
	}
	return delay
}

// link returns the link from one process to another, and creates it with the next seed if there is none.
func (c *Cluster) link(from, to string) *link {
	key := linkKey{from: from, to: to}
	if c.links[key] == nil {
		c.links[key] = newLink(c.options.Seed + uint64(len(c.links)))
	}
	return c.links[key]
}

// Set changes one direction between two processes or external services, by name. It does nothing if there is no such link.
func (c *Cluster) Set(from, to string, state LinkState) {
	if l := c.links[linkKey{from: from, to: to}]; l != nil {
		l.set(state)
	}
}

// SetBoth changes both directions between two processes or external services.
func (c *Cluster) SetBoth(a, b string, state LinkState) {
	c.Set(a, b, state)
	c.Set(b, a, state)
}

// Isolate changes both directions between a node and all other nodes. External services are still reached.
func (c *Cluster) Isolate(n *Node, state LinkState) {
	for _, other := range c.Nodes {
		c.SetBoth(n.Name, other.Name, state)
	}
}

// Heal has all links deliver everything at once.
func (c *Cluster) Heal() {
	for _, l := range c.links {
		l.set(LinkState{})
	}
}
