// Package link is a scripted link between a gateway and a server, on loopback: it relays TCP with a delay, loses a part of
// the answers, and is cut. A stream cannot go on behind a part that was lost, so a connection that loses one says nothing
// more, as one whose segments are dropped until it times out.
package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link is one relay. Its methods may be called by several goroutines at once.
type Link struct {
	Addr string // where it listens
	to   string
	l    net.Listener
	work sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	delay time.Duration // each way
	loss  float64       // of answers
	conns map[net.Conn]struct{}
	lost  int
	ended bool
}

// Start has one listen on loopback at a port of its own and relay to the address to. The same seed and the same order of
// answers lose the same ones.
func Start(to string, seed uint64) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	k := &Link{Addr: l.Addr().String(), to: to, l: l, rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), conns: map[net.Conn]struct{}{}}
	k.work.Go(k.accept)
	return k, nil
}

// Delay holds back all that comes from now on for so long, each way.
func (k *Link) Delay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// Lose has it lose this part of the answers, from 0 to 1.
func (k *Link) Lose(part float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loss = part
}

// Lost is how many answers were lost.
func (k *Link) Lost() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lost
}

// Close ends it and all its connections.
func (k *Link) Close() {
	k.mu.Lock()
	k.ended = true
	k.l.Close()
	for c := range k.conns {
		c.Close()
	}
	k.mu.Unlock()
	k.work.Wait()
}

func (k *Link) accept() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		if !k.keep(c) {
			return
		}
		k.work.Go(func() {
			defer k.drop(c)
			s, err := net.Dial("tcp", k.to)
			if err != nil || !k.keep(s) {
				return
			}
			defer k.drop(s)
			left := make(chan struct{})
			k.work.Go(func() {
				defer close(left)
				k.relay(s, c, false)
				k.drop(s) // the client has ended: so does the server's side
			})
			if k.relay(c, s, true) {
				<-left // whatever the server does, the client hears nothing of it
			}
		})
	}
}

// keep notes a connection, or closes it where the link has ended.
func (k *Link) keep(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		c.Close()
		return false
	}
	k.conns[c] = struct{}{}
	return true
}

func (k *Link) drop(c net.Conn) {
	c.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
}

// relay passes on what comes until a side ends, or tells that an answer was lost.
func (k *Link) relay(to, from net.Conn, answers bool) (lost bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			delay, lost := k.next(answers)
			if lost {
				return true
			}
			time.Sleep(delay)
			if _, err := to.Write(b[:n]); err != nil {
				return false
			}
		}
		if err != nil {
			return false
		}
	}
}

func (k *Link) next(answer bool) (delay time.Duration, lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if lost = answer && k.loss > 0 && k.rng.Float64() < k.loss; lost {
		k.lost++
	}
	return k.delay, lost
}
