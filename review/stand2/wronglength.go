package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// load sends requests of usual clients to a node until stop is closed. check is called with each served answer.
func (r *run) load(n *node, clients int, pause time.Duration, stop chan struct{}, next func(id string) *request, check func(q *request, a reply)) (wait func()) {
	var running sync.WaitGroup
	var number atomic.Uint64
	for range clients {
		running.Go(func() {
			u := &usual{run: r, node: n}
			defer u.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(between(pause/2, pause*3/2)):
				}
				q := next(fmt.Sprintf("%s-%d", n.name(), number.Add(1)))
				if a, ok := u.send(q); ok && a.status == http.StatusOK {
					check(q, a)
				}
			}
		})
	}
	return running.Wait
}

// siteRequest returns a request of one of the classes of the site, with all or a part of the class's time.
func siteRequest(id string) *request {
	if rand.Float64() < 0.52 {
		return &request{id: id, class: seatMap.name, expires: between(seatMap.deadline/2, seatMap.deadline)}
	}
	return &request{id: id, class: seatHold.name, key: "key-" + id, body: strings.Repeat("h", 200), expires: between(seatHold.deadline/2, seatHold.deadline)}
}

// rightAnswer breaks the rule unless an answer is the one that a backend made for the request.
func (r *run) rightAnswer(q *request, a reply) {
	if a.body != answerTo(q.id) {
		r.breach("%s was served with %q", q.id, a.body)
	}
}

// wrongLength has a client that sends bodies that are longer than their Content-Length, in one write with the head.
func wrongLength(r *run) {
	var targets []target
	for i := range 3 {
		b := r.newBackend(fmt.Sprintf("s%d", i), func(b *backend, q *received) bool {
			if strings.HasPrefix(q.id, "bad-") {
				r.printf("backend: %s runs %s with a body of %d bytes", b.uid, q.id, len(q.body))
			}
			time.Sleep(between(3*time.Millisecond, 12*time.Millisecond))
			return q.served()
		})
		targets = append(targets, b.target("sapporo", 0))
	}
	roster := r.newRoster(targets)
	n := r.newNode(nodeConfig{index: 0, nodes: 1, discovery: roster.listenFor("n0").addr(), known: roster.whole(), profiles: []profile{seatMap, seatHold}})
	n.begin()
	stop := make(chan struct{})
	wait := r.load(n, 4, 40*time.Millisecond, stop, siteRequest, r.rightAnswer)
	for i := range 60 {
		q := &request{id: fmt.Sprintf("bad-%d", i), class: seatHold.name, key: fmt.Sprintf("bad-key-%d", i), expires: seatHold.deadline}
		length := 20 + rand.IntN(60000)
		q.body = strings.Repeat("b", length)
		if r.trouble {
			q.body += strings.Repeat("b", 1000+rand.IntN(4000))
			q.length = length
		}
		r.wrong(n, q)
		time.Sleep(250 * time.Millisecond)
	}
	close(stop)
	wait()
}

// wrong sends a request on a connection of its own. An answer 200 breaks the rule if the length of the request is wrong.
func (r *run) wrong(n *node, q *request) {
	conn, err := connect(n.listen)
	if err != nil {
		r.fail(err)
	}
	defer conn.Close()
	a, err := conn.exchange(q)
	r.printf("client: %s Content-Length %d, %d bytes sent: status %d %q, %v", q.id, max(q.length, 0), len(q.body), a.status, strings.TrimSpace(a.body), err)
	r.count(fmt.Sprintf("large bodies answered %d", a.status))
	if a.status == http.StatusOK && q.length != 0 {
		r.breach("%s was served although %d bytes came with Content-Length %d", q.id, len(q.body), q.length)
	}
}
