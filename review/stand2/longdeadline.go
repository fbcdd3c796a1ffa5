package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	longestWait = 3 * time.Second        // SIGKILL comes no sooner than the longest deadline, 3 s at most,
	killDelay   = 700 * time.Millisecond // and so long after SIGTERM
)

// longDeadline ends a node by SIGTERM and, when the pages allow it, SIGKILL, while one of three backends hangs. The settings have a class
// with a deadline of 5 s.
func longDeadline(r *run) {
	orders := profile{"orders", "single_shot", "", 500 * time.Millisecond, 5 * time.Second, 0}
	var hangs atomic.Bool
	var sent sync.Map // IDs that have come to a backend
	var targets []target
	for i := range 3 {
		b := r.newBackend(fmt.Sprintf("s%d", i), func(b *backend, q *received) bool {
			sent.Store(q.id, b.uid)
			if b.uid == "s2" && hangs.Load() {
				r.printf("backend: %s hangs with %s", b.uid, q.id)
				_, _ = q.next.Peek(1) // until the node closes the connection
				return false
			}
			time.Sleep(between(3*time.Millisecond, 12*time.Millisecond))
			return q.served()
		})
		targets = append(targets, b.target("sapporo", 0))
	}
	roster := r.newRoster(targets)
	n := r.newNode(nodeConfig{index: 0, nodes: 1, discovery: roster.listenFor("n0").addr(), known: roster.whole(), profiles: []profile{seatMap, orders}})
	n.begin()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var number atomic.Uint64
	for range 12 {
		clients.Go(func() {
			u := &usual{run: r, node: n}
			defer u.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(between(10*time.Millisecond, 50*time.Millisecond)):
				}
				q := &request{id: fmt.Sprintf("n0-%d", number.Add(1)), class: orders.name, post: true, body: strings.Repeat("o", 200), expires: orders.deadline}
				began := time.Now()
				a, ok := u.send(q)
				if ok && a.status == http.StatusOK {
					r.rightAnswer(q, a)
				}
				if ok && a.status != http.StatusOK {
					r.printf("client: %s is answered %d after %v", q.id, a.status, time.Since(began).Round(time.Millisecond))
				}
				if uid, forwarded := sent.Load(q.id); !ok && forwarded {
					r.breach("%s, which the node had sent to %s, has got no answer in %v of %v", q.id, uid, time.Since(began).Round(time.Millisecond), q.expires)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	hangs.Store(true)
	time.Sleep(200 * time.Millisecond)
	if r.trouble {
		n.signal(syscall.SIGTERM)
		end := time.Now().Add(longestWait + killDelay + socketSlack)
		time.Sleep(300 * time.Millisecond) // new connections go on coming for 0.2 to 0.4 s
		close(stop)
		select {
		case <-n.exited:
			r.printf("n0: has ended")
		case <-time.After(time.Until(end)):
			n.signal(syscall.SIGKILL)
		}
	} else {
		time.Sleep(300 * time.Millisecond)
		close(stop)
	}
	clients.Wait()
}
