package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	drainGrace  = time.Second
	socketSlack = 50 * time.Millisecond   // that each time limit is longer on sockets
	toldAfter   = 6 * time.Second         // a change counts as told so long after discovery had it and could be reached
	formerTime  = 1500 * time.Millisecond // for which the service keeps its open connections at a former address
	toldAfterUp = 4 * time.Second         // what discovery has to tell counts as told so long after SIGHUP
)

// fleet is several nodes, their backends and the discovery service.
type fleet struct {
	run      *run
	roster   *roster
	nodes    []*node
	stop     chan struct{}
	wait     []func()
	mu       sync.Mutex
	deadline map[string]time.Time // sends to a draining server are a break from then on, or earlier if a node was told earlier
}

// startFleet starts nodes and backends. cost is the work of the discovery service for a call.
func (r *run) startFleet(nodes, backends int, cost time.Duration) *fleet {
	f := &fleet{run: r, stop: make(chan struct{}), deadline: map[string]time.Time{}}
	var targets []target
	for i := range backends {
		b := r.newBackend(fmt.Sprintf("s%d", i), func(b *backend, q *received) bool {
			f.check(b.uid, q)
			time.Sleep(between(3*time.Millisecond, 12*time.Millisecond))
			return q.served()
		})
		targets = append(targets, b.target("sapporo", 0))
	}
	f.roster = r.newRoster(targets)
	f.roster.cost = cost
	for i := range nodes {
		f.nodes = append(f.nodes, r.newNode(nodeConfig{index: i, nodes: nodes, discovery: f.roster.listenFor(fmt.Sprintf("n%d", i)).addr(),
			known: f.roster.whole(), profiles: []profile{seatMap, seatHold}}))
	}
	f.each(f.nodes, (*node).begin)
	for _, n := range f.nodes {
		f.wait = append(f.wait, r.load(n, 2, 60*time.Millisecond, f.stop, siteRequest, r.rightAnswer))
	}
	return f
}

// each calls do for all nodes at once.
func (f *fleet) each(nodes []*node, do func(*node)) {
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Go(func() { do(n) })
	}
	running.Wait()
}

// drain lets a server drain and sets when all nodes count as told.
func (f *fleet) drain(uid string, told time.Time) {
	f.roster.drain(uid)
	f.mu.Lock()
	defer f.mu.Unlock()
	end := told.Add(drainGrace + socketSlack)
	f.deadline[uid] = end
	f.run.printf("all nodes count as told of %s at %.3f, the grace ends at %.3f", uid, told.Sub(f.run.start).Seconds(), end.Sub(f.run.start).Seconds())
}

// check breaks the rule if a node sends a request to a draining server behind its grace. The request's first byte has come at q.began.
func (f *fleet) check(uid string, q *received) {
	f.mu.Lock()
	deadline := f.deadline[uid]
	f.mu.Unlock()
	if deadline.IsZero() {
		return
	}
	name, _, _ := strings.Cut(q.id, "-")
	why := "counts as told"
	if told, ok := f.roster.told(name, uid); ok && told.Add(drainGrace+socketSlack).Before(deadline) {
		deadline, why = told.Add(drainGrace+socketSlack), "was told"
	}
	if late := q.began.Sub(deadline); late > 0 {
		f.run.breach("%s sent %s to %s, which drains, %v behind the grace; it %s", name, q.id, uid, late.Round(time.Millisecond), why)
		f.run.count("sends behind the grace by " + name)
	}
}

func (f *fleet) end(after time.Duration) {
	time.Sleep(after)
	close(f.stop)
	for _, wait := range f.wait {
		wait()
	}
}

// refusedCall kills seven of ten nodes and starts them again with their last list. A server begins to drain then, and the discovery
// service turns away the first call of each of the new processes, after it has waited for as long as a call may.
func refusedCall(r *run) {
	f := r.startFleet(10, 6, 100*time.Millisecond)
	time.Sleep(8 * time.Second) // all watches are open
	killed := f.nodes[:7]
	for _, n := range killed {
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	time.Sleep(3 * time.Second)
	for _, n := range killed {
		n.config.known = f.roster.whole()
		if r.trouble {
			f.roster.refuse[n.name()] = 1
		}
	}
	f.each(killed, (*node).begin)
	time.Sleep(200 * time.Millisecond)
	f.drain("s0", time.Now().Add(toldAfter))
	f.end(15 * time.Second)
}

// newConfiguration moves discovery by SIGHUP, three times. The service works through its calls in turn and could take one of every node in
// 4 s. Each time a server begins to drain once the service has closed its former addresses.
func newConfiguration(r *run) {
	const nodes, allCalls = 24, 4 * time.Second
	f := r.startFleet(nodes, 8, 50*time.Millisecond)
	time.Sleep(8 * time.Second)
	f.roster.setCost(allCalls / nodes)
	for i := range 3 {
		began := time.Now()
		if r.trouble {
			former := f.roster.takeAddresses()
			for _, n := range f.nodes {
				old := n.config.discovery
				n.config.discovery = f.roster.listenFor(n.name()).addr()
				n.configure()
				r.printf("%s: discovery moves from %s to %s", n.name(), old, n.config.discovery)
			}
			began = time.Now()
			for _, n := range f.nodes {
				n.signal(syscall.SIGHUP)
			}
			f.roster.retire(former, began.Add(formerTime))
		} else {
			time.Sleep(formerTime)
		}
		time.Sleep(50 * time.Millisecond)
		f.drain(fmt.Sprintf("s%d", i), began.Add(toldAfterUp))
		time.Sleep(9 * time.Second)
	}
	f.end(0)
}
