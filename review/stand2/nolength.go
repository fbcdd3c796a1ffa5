package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// noLength has backends that end a third of their answers with the connection, without a length.
func noLength(r *run) {
	var targets []target
	for i := range 3 {
		var number atomic.Int64
		b := r.newBackend(fmt.Sprintf("s%d", i), func(_ *backend, q *received) bool {
			time.Sleep(between(3*time.Millisecond, 12*time.Millisecond))
			if number.Add(1)%3 != 0 || !r.trouble {
				return q.served()
			}
			return q.servedWithoutLength(r)
		})
		targets = append(targets, b.target("sapporo", 0))
	}
	roster := r.newRoster(targets)
	n := r.newNode(nodeConfig{index: 0, nodes: 1, discovery: roster.listenFor("n0").addr(), known: roster.whole(), profiles: []profile{seatMap, seatHold}})
	n.begin()
	stop := make(chan struct{})
	wait := r.load(n, 4, 40*time.Millisecond, stop, siteRequest, func(q *request, a reply) {
		if a.body == answerTo(q.id)+", no length" {
			r.count("answers with no length forwarded")
			return
		}
		r.rightAnswer(q, a)
	})
	time.Sleep(20 * time.Second)
	close(stop)
	wait()
	whole, forwarded := r.counted("answers with no length, whole"), r.counted("answers with no length forwarded")
	if r.trouble && whole < 20 {
		r.fail(fmt.Errorf("there were only %d answers with no length", whole))
	}
	if 2*forwarded < whole {
		r.breach("of %d answers with no length that came whole, %d were forwarded; half at least have to be", whole, forwarded)
	}
}

func (q *received) servedWithoutLength(r *run) bool {
	r.count("answers with no length, whole")
	fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s, no length", answerTo(q.id))
	return false
}
