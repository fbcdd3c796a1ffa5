package rig

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Sapporo returns a running target in the nodes' zone.
func Sapporo(uid, addr string) Target {
	return Target{UID: uid, Endpoint: addr, AZ: "sapporo", Model: "std-2c", PodGroup: 1, State: "SERVING", Capacity: 1}
}

// SeatClasses returns the classes of the site file.
func SeatClasses() []Class {
	return []Class{
		{Name: "seat-map", Effect: "free", Group: "all", Deadline: 2 * time.Second, SLO: time.Second, Window: 5 * time.Second},
		{Name: "seat-hold", Effect: "guarded", Group: "cell", Deadline: 750 * time.Millisecond, SLO: 150 * time.Millisecond, Window: 4 * time.Second},
	}
}

var lastID atomic.Int64

// SeatMap returns a new request for a seat map.
func SeatMap() *Request {
	return &Request{ID: fmt.Sprintf("%016x", lastID.Add(1)), Class: "seat-map", Expires: 2 * time.Second}
}

// SeatHold returns a new request that holds a seat.
func SeatHold() *Request {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	return &Request{ID: id, Class: "seat-hold", Key: "k" + id, Expires: 750 * time.Millisecond, Body: "seat=12"}
}

// Load sends requests to a node from usual clients until stop is closed: one every interval, in turn for a seat map and a hold, each by
// a client that keeps its connection. done gets each result and may be called concurrently.
func Load(addr string, interval time.Duration, stop <-chan struct{}, done func(r *Request, sent time.Time, result Result)) {
	var idle []*Conn
	var mu sync.Mutex
	var wg sync.WaitGroup
	defer func() {
		wg.Wait()
		for _, c := range idle {
			c.Close()
		}
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		request := SeatMap()
		if n%2 == 1 {
			request = SeatHold()
		}
		wg.Go(func() {
			sent := time.Now()
			mu.Lock()
			var c *Conn
			if k := len(idle); k > 0 {
				c, idle = idle[k-1], idle[:k-1]
			}
			mu.Unlock()
			reused := c != nil
			var result Result
			for {
				if c == nil {
					var err error
					if c, err = Dial(addr); err != nil {
						done(request, sent, Result{Err: err, Took: time.Since(sent)})
						return
					}
				}
				result = c.Do(request, request.Expires+time.Second)
				if result.Status == 0 && reused { // the node has closed a resting connection: once more on a new one
					c.Close()
					c, reused = nil, false
					continue
				}
				break
			}
			if result.Err != nil || result.Closes {
				c.Close()
			} else {
				mu.Lock()
				idle = append(idle, c)
				mu.Unlock()
			}
			done(request, sent, result)
		})
	}
}
