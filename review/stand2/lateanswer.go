package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

const (
	secondAnswerShare = 0.08
	leastLate         = 8 * time.Millisecond
	mostLate          = 12 * time.Millisecond
	oneWay            = 2 * time.Millisecond // between the halls: 1.4 to 2.6 ms
)

// lateAnswer has backends in the other hall that send some answers twice, the second time some milliseconds later, when nothing else waits on the
// connection.
func lateAnswer(r *run) {
	var targets []target
	for i := range 2 {
		b := r.newBackend(fmt.Sprintf("s%d", i), func(b *backend, q *received) bool {
			time.Sleep(between(2*time.Millisecond, 8*time.Millisecond))
			if !q.served() {
				return false
			}
			if !r.trouble || rand.Float64() >= secondAnswerShare {
				return true
			}
			return r.secondAnswer(b, q)
		})
		t := b.target("ishikari", 0)
		t.Endpoint = r.relay(t.Endpoint, oneWay)
		targets = append(targets, t)
	}
	roster := r.newRoster(targets)
	stop := make(chan struct{})
	var waits []func()
	for i := range 3 {
		n := r.newNode(nodeConfig{index: i, nodes: 3, discovery: roster.listenFor(fmt.Sprintf("n%d", i)).addr(), known: roster.whole(), profiles: shortProfiles()})
		n.begin()
		waits = append(waits, r.load(n, 16, 42*time.Millisecond, stop, shortRequest, r.ownAnswer))
	}
	time.Sleep(90 * time.Second)
	close(stop)
	for _, wait := range waits {
		wait()
	}
}

// seconds tells of the answers that were sent a second time, by their bodies.
var seconds sync.Map

// ownAnswer breaks the rule unless an answer is the one that a backend made for the request, and records what is known of another one.
func (r *run) ownAnswer(q *request, a reply) {
	if a.body != answerTo(q.id) {
		time.Sleep(20 * time.Millisecond) // until the backend has noted what it sent
		note, ok := seconds.Load(a.body)
		if !ok {
			note = "no backend sent that answer a second time"
		}
		r.breach("%s was served with %q; %s", q.id, a.body, note)
	}
}

// secondAnswer repeats the answer unless bytes of the next request come before.
func (r *run) secondAnswer(b *backend, q *received) bool {
	answered := time.Now()
	late := between(leastLate, mostLate)
	_ = q.conn.SetReadDeadline(time.Now().Add(late))
	_, err := q.next.Peek(1)
	_ = q.conn.SetReadDeadline(time.Time{})
	switch {
	case err == nil: // the next request is here
		return true
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return false
	}
	// The machine may have been busy: an answer that would come later than that is not sent.
	if late = time.Since(answered); late > mostLate {
		return true
	}
	ok := q.served()
	r.count("second answers sent")
	seconds.Store(answerTo(q.id), fmt.Sprintf("%s sent that answer a second time %v to %v late", b.uid, late.Round(10*time.Microsecond),
		time.Since(answered).Round(10*time.Microsecond)))
	return ok
}

// relay forwards connections to an address and delays what goes through them, in each direction.
func (r *run) relay(to string, delay time.Duration) (addr string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail(err)
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near, far, delay)
			go carry(far, near, delay)
		}
	}()
	return listener.Addr().String()
}

type piece struct {
	data []byte
	due  time.Time
}

// carry copies from one connection to another, each piece so much later, and passes on the end.
func carry(from, to net.Conn, delay time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.data); err != nil {
				return
			}
		}
	}()
	defer close(pieces)
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{buffer[:n], time.Now().Add(delay)}
		}
		if err != nil {
			return
		}
	}
}

// shortProfiles returns the classes of the site with half of their times.
func shortProfiles() []profile {
	profiles := []profile{seatMap, seatHold}
	for i := range profiles {
		profiles[i].aim /= 2
		profiles[i].deadline /= 2
		profiles[i].window /= 2
	}
	return profiles
}

// shortRequest returns a request of the site with half of its time.
func shortRequest(id string) *request {
	q := siteRequest(id)
	q.expires /= 2
	return q
}
