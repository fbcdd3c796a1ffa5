// Package cluster starts processes of the built program as a fleet, each with its own folder and address and a relay for TCP and
// UDP between each pair, breaks what is between them by a seeded schedule, and audits what the fleet does to the outside.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// LinkState is what is on the way in one direction. The zero value carries all.
type LinkState struct {
	// Partitioned holds what comes: streams until it is healed, as TCP sends again; packets are lost.
	Partitioned bool
	// Delay holds each piece for so long, and up to Jitter more, so that packets overtake each other.
	Delay, Jitter time.Duration
	// Loss is the part of packets that is lost; of streams, the part of pieces that comes 200 ms later.
	Loss float64
	// Duplication is the part of packets that comes twice.
	Duplication float64
}

// retransmitDelay is what a lost piece of a stream costs.
const retransmitDelay = 200 * time.Millisecond

// link is one direction between two ends.
type link struct {
	mu      sync.Mutex
	state   LinkState
	rng     *rand.Rand
	changed chan struct{} // closed and made anew with each change
}

func newLink(seed uint64) *link {
	return &link{rng: rand.New(rand.NewPCG(seed, 0x70617468)), changed: make(chan struct{})}
}

func (p *link) set(w LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = w
	close(p.changed)
	p.changed = make(chan struct{})
}

// waitToForward waits until a piece of a stream may go on.
func (p *link) waitToForward(ctx context.Context) error {
	for {
		p.mu.Lock()
		w, changed := p.state, p.changed
		wait := w.Delay
		if w.Jitter > 0 {
			wait += time.Duration(p.rng.Int64N(int64(w.Jitter)))
		}
		if w.Loss > 0 && p.rng.Float64() < w.Loss {
			wait += retransmitDelay
		}
		p.mu.Unlock()
		if !w.Partitioned {
			return sleep(ctx, wait)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// packetDelays gives when copies of a packet come; none: it is lost.
func (p *link) packetDelays() (after []time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.state
	if w.Partitioned || w.Loss > 0 && p.rng.Float64() < w.Loss {
		return nil
	}
	one := func() time.Duration {
		d := w.Delay
		if w.Jitter > 0 {
			d += time.Duration(p.rng.Int64N(int64(w.Jitter)))
		}
		return d
	}
	after = append(after, one())
	if w.Duplication > 0 && p.rng.Float64() < w.Duplication {
		after = append(after, one()+10*time.Millisecond)
	}
	return after
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// relay carries what one end sends to another, and the answers to it.
type relay struct {
	addr       string
	target     string
	forward    *link // from who connects
	backward   *link
	tcp        net.Listener
	udp        *net.UDPConn
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func newRelay(addr, to string, there, back *link) (*relay, error) {
	r := &relay{addr: addr, target: to, forward: there, backward: back, conns: map[net.Conn]struct{}{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	var err error
	if r.tcp, err = net.Listen("tcp", addr); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	at := r.tcp.Addr().(*net.TCPAddr)
	if r.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err != nil {
		r.tcp.Close()
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.goroutines.Go(r.accept)
	r.goroutines.Go(r.packets)
	return r, nil
}

func (r *relay) close() {
	r.cancel()
	r.tcp.Close()
	r.udp.Close()
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *relay) untrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *relay) accept() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if r.track(c) {
			r.goroutines.Go(func() { r.carry(c) })
		}
	}
}

// carry takes a connection over. It comes up at the other end only when the way there is open.
func (r *relay) carry(c net.Conn) {
	defer r.untrack(c)
	if r.forward.waitToForward(r.ctx) != nil {
		return
	}
	s, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(s) {
		return
	}
	defer r.untrack(s)
	var both sync.WaitGroup
	both.Go(func() { r.pump(s, c, r.forward) })
	both.Go(func() { r.pump(c, s, r.backward) })
	both.Wait()
}

// pump carries one direction. What was sent before its sender has gone comes all the same, however late.
func (r *relay) pump(to, from net.Conn, p *link) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if p.waitToForward(r.ctx) != nil {
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = t.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// maxPacketsInFlight bounds packets that are on their way.
const maxPacketsInFlight = 4096

func (r *relay) packets() {
	to, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return
	}
	held := make(chan struct{}, maxPacketsInFlight)
	b := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for _, after := range r.forward.packetDelays() {
			if after == 0 {
				_, _ = r.udp.WriteToUDP(b[:n], to)
				continue
			}
			text := append([]byte(nil), b[:n]...)
			select {
			case held <- struct{}{}:
			default:
				continue
			}
			r.goroutines.Go(func() {
				defer func() { <-held }()
				if sleep(r.ctx, after) == nil {
					_, _ = r.udp.WriteToUDP(text, to)
				}
			})
		}
	}
}
