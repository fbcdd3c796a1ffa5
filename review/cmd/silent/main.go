// Silent runs a case of watches that fall silent: all open ones at once, while the discovery service works through its calls in turn.
package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/review/rig"
)

const (
	nodes    = 30
	backends = 12
	draining = 3
	interval = 100 * time.Millisecond // between two requests to a node
	quiet    = 8 * time.Second        // until a backend joins
	after    = 200 * time.Millisecond // from the line that tells it to the silence
	length   = 16 * time.Second       // after the silence has begun

	allCalls    = 3 * time.Second // in which the discovery service can take one call from every node
	callTimeout = time.Second     // a call that would wait longer is turned away

	told  = 6 * time.Second // after the watches fell silent, whether or not it arrived
	grace = time.Second
	slack = 50 * time.Millisecond
)

func main() { rig.Main(run) }

func run(r *rig.Run) error {
	var mu sync.Mutex
	var silence time.Time
	var late, atDraining atomic.Int64
	answer := func(i int) func(c net.Conn, a rig.Arrival) bool {
		return func(c net.Conn, a rig.Arrival) bool {
			mu.Lock()
			since := a.At.Sub(silence)
			begun := !silence.IsZero()
			mu.Unlock()
			if i < draining && begun {
				atDraining.Add(1)
				if since > told+grace+slack {
					late.Add(1)
					r.Broken("request %s comes to s-%d, which drains, %v after the watches fell silent", a.ID, i, since.Round(time.Millisecond))
				}
			}
			time.Sleep(15 * time.Millisecond)
			_, err := c.Write([]byte(rig.Whole(rig.Answer(a.ID))))
			return err == nil
		}
	}
	var serving []rig.Target
	for i := range backends {
		b, err := rig.StartBackend(fmt.Sprintf("s-%d", i), answer(i))
		if err != nil {
			return err
		}
		defer b.Close()
		serving = append(serving, rig.Sapporo(b.Name, b.Addr))
	}
	known := serving[:backends-1] // the last one joins later
	d, err := rig.StartDiscovery(1, known)
	if err != nil {
		return err
	}
	defer d.Close()
	var answered, away atomic.Int64
	d.OnCall(func(now time.Time, wait time.Duration, turnedAway bool) {
		mu.Lock()
		since := now.Sub(silence)
		begun := !silence.IsZero()
		mu.Unlock()
		switch {
		case !begun:
			r.Printf("discovery takes a call before the silence and answers it after %v", wait.Round(time.Millisecond))
		case turnedAway:
			away.Add(1)
			r.Printf("discovery turns a call away, %v after the silence began", since.Round(time.Millisecond))
		default:
			answered.Add(1)
			r.Printf("discovery takes a call %v after the silence began and answers it at %v", since.Round(time.Millisecond), (since + wait).Round(time.Millisecond))
		}
	})
	d.Limit(allCalls/nodes, callTimeout)
	stop := make(chan struct{})
	var load sync.WaitGroup
	var sent, served atomic.Int64
	for i := range nodes {
		n, err := r.Node(&rig.Config{Name: fmt.Sprintf("n%d", i), Discovery: d.Addr, Me: i, Nodes: nodes, Known: known, Classes: rig.SeatClasses(), Parallel: true})
		if err != nil {
			return err
		}
		load.Go(func() {
			rig.Load(n.Listen, interval, stop, func(q *rig.Request, _ time.Time, result rig.Result) {
				sent.Add(1)
				if result.Status == 200 && result.Err == nil && result.Body == rig.Answer(q.ID) {
					served.Add(1)
				}
			})
		})
	}
	time.Sleep(quiet)
	d.Set(serving)
	r.Printf("a backend joins; all open watches are told")
	time.Sleep(after)
	mu.Lock()
	silence = time.Now()
	mu.Unlock()
	if r.Trouble {
		d.Silence()
		r.Printf("all open watches fall silent")
	}
	drained := append([]rig.Target(nil), serving...)
	for i := range draining {
		drained[i].State = "DRAINING"
	}
	d.Set(drained)
	r.Printf("%d of %d backends begin to drain", draining, backends)
	time.Sleep(length)
	close(stop)
	load.Wait()
	r.Printf("%d requests, %d served; after the silence discovery took %d calls and turned %d away", sent.Load(), served.Load(), answered.Load(), away.Load())
	r.Printf("%d requests came to draining backends after it, %d of them more than %v after it", atDraining.Load(), late.Load(), told+grace+slack)
	if served.Load() < sent.Load()/2 {
		return fmt.Errorf("%d of %d requests were served", served.Load(), sent.Load())
	}
	return nil
}
