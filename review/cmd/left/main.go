// Left runs a case of clients that send much at once and go.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/review/rig"
)

const (
	backends   = 8
	interval   = 20 * time.Millisecond
	length     = 60 * time.Second
	leaveEvery = 50 * time.Millisecond
	meanHold   = 20 * time.Millisecond // work of a hold and of a seat map
	meanMap    = 69 * time.Millisecond
	maxWork    = 400 * time.Millisecond
	work       = 300 * time.Millisecond // of the failing backend, until its error
	stay       = 50 * time.Millisecond  // of a client that leaves
	much       = 150                    // requests that it sends at once before
	lateBy     = 100 * time.Millisecond // from its close on, an attempt is a break
)

func main() { rig.Main(run) }

func run(r *rig.Run) error {
	var mu sync.Mutex
	closed := map[string]time.Time{} // when the client of a request closed its connection
	var errors, after, late atomic.Int64
	answer := func(i int) func(c net.Conn, a rig.Arrival) bool {
		return func(c net.Conn, a rig.Arrival) bool {
			mu.Lock()
			at, left := closed[a.ID]
			mu.Unlock()
			if left {
				after.Add(1)
				r.Printf("%s: request %s arrives %v after its client's close", fmt.Sprintf("s-%d", i), a.ID, a.At.Sub(at).Round(time.Millisecond))
				if a.At.Sub(at) > lateBy {
					late.Add(1)
					r.Broken("an attempt of %s (key %s) comes to s-%d %v after its client closed its connection", a.ID, a.Key, i, a.At.Sub(at).Round(time.Millisecond))
				}
			}
			if i == 0 { // one of the backends is failing
				time.Sleep(work)
				errors.Add(1)
				_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			}
			// Work has a long tail, as in the site file.
			mean := meanHold
			if a.Key == "" {
				mean = meanMap
			}
			time.Sleep(min(time.Duration(rand.ExpFloat64()*float64(mean)), maxWork))
			_, err := io.WriteString(c, rig.Whole(rig.Answer(a.ID)))
			return err == nil
		}
	}
	var targets []rig.Target
	for i := range backends {
		b, err := rig.StartBackend(fmt.Sprintf("s-%d", i), answer(i))
		if err != nil {
			return err
		}
		defer b.Close()
		targets = append(targets, rig.Sapporo(b.Name, b.Addr))
	}
	d, err := rig.StartDiscovery(1, targets)
	if err != nil {
		return err
	}
	defer d.Close()
	n, err := r.Node(&rig.Config{Name: "n0", Discovery: d.Addr, Nodes: 1, Known: targets, Classes: rig.SeatClasses(), Parallel: true})
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	time.AfterFunc(length, func() { close(stop) })
	var leaving sync.WaitGroup
	leaving.Go(func() {
		ticker := time.NewTicker(leaveEvery)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			leaving.Go(func() { leave(r, n.Listen, &mu, closed) })
		}
	})
	var sent, served, refused, other atomic.Int64
	rig.Load(n.Listen, interval, stop, func(q *rig.Request, _ time.Time, result rig.Result) {
		sent.Add(1)
		switch {
		case result.Status == 200 && result.Err == nil && result.Body == rig.Answer(q.ID):
			served.Add(1)
		case result.Status == 429 || result.Status == 503:
			refused.Add(1)
		default:
			other.Add(1)
		}
	})
	leaving.Wait()
	time.Sleep(2 * time.Second)
	mu.Lock()
	left := len(closed)
	mu.Unlock()
	r.Printf("usual clients: %d requests, %d served, %d refused, %d failed; %d clients left; the failing backend answered %d errors", sent.Load(), served.Load(), refused.Load(), other.Load(), left, errors.Load())
	r.Printf("%d attempts for clients that had left, %d of them more than %v after the close", after.Load(), late.Load(), lateBy)
	if served.Load() < sent.Load()/2 {
		return fmt.Errorf("%d of %d requests were served", served.Load(), sent.Load())
	}
	return nil
}

// leave is a client that sends a hold, right behind it many more requests at once, and goes. Without the disruption it only sends
// the hold and goes.
func leave(r *rig.Run, addr string, mu *sync.Mutex, closed map[string]time.Time) {
	c, err := rig.Dial(addr)
	if err != nil {
		r.Printf("client that leaves: %v", err)
		return
	}
	q := rig.SeatHold()
	_, _ = io.WriteString(c, q.Text())
	time.Sleep(stay)
	if r.Trouble {
		var b strings.Builder
		for range much {
			b.WriteString(rig.SeatMap().Text())
		}
		_, _ = io.WriteString(c, b.String())
	}
	c.Close()
	mu.Lock()
	closed[q.ID] = time.Now()
	mu.Unlock()
}
