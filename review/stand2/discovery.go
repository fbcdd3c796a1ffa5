package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The states of a server, with the platform's names.
const (
	serving  = "SERVING"
	draining = "DRAINING"
)

const (
	lineInterval = 2 * time.Second // between two empty lines of a watch
	patience     = time.Second     // a call that waits longer fails: timeout_ms of the site
)

// target is an entry of the list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// list is a line of a watch.
type list struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// roster is the state that all addresses of the discovery service share. Its calls are worked through in turn, each for cost; a call
// that would wait longer than patience is turned away at once.
type roster struct {
	run  *run
	cost time.Duration

	mu        sync.Mutex
	rev       int
	targets   []target
	changes   map[string]int // version of the last change, by server
	changed   chan struct{}
	free      time.Time
	toldAt    map[string]time.Time // when a node was told that a server drains, by node and server
	addresses []*address           // in the order in which they were opened
	refuse    map[string]int       // calls of a node that wait for patience and then fail
}

func (r *run) newRoster(targets []target) *roster {
	return &roster{run: r, rev: 41, targets: targets, changes: map[string]int{}, changed: make(chan struct{}), toldAt: map[string]time.Time{},
		refuse: map[string]int{}}
}

// whole returns the whole list as it is now.
func (d *roster) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.rev, true, append([]target{}, d.targets...)}
}

// drain changes the state of a server.
func (d *roster) drain(uid string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for i := range d.targets {
		if d.targets[i].UID == uid {
			d.targets[i].State = draining
			d.changes[uid] = d.rev
		}
	}
	d.run.printf("discovery: version %d, %s drains", d.rev, uid)
	close(d.changed)
	d.changed = make(chan struct{})
}

// line returns what changed after a version, or the whole list if after is negative, and notes what it tells a node.
func (d *roster) line(node string, after int) (text []byte, rev int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{d.rev, after < 0, []target{}}
	for _, t := range d.targets {
		if after < 0 || d.changes[t.UID] > after {
			l.Targets = append(l.Targets, t)
			if key := node + " " + t.UID; t.State == draining && d.toldAt[key].IsZero() {
				d.toldAt[key] = time.Now()
				d.run.printf("discovery: %s is told that %s drains", node, t.UID)
			}
		}
	}
	text, _ = json.Marshal(l)
	return append(text, '\n'), d.rev
}

// told returns when a node was told that a server drains.
func (d *roster) told(node, uid string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at = d.toldAt[node+" "+uid]
	return at, !at.IsZero()
}

// queue takes a call and returns how long it waits, and whether it fails then.
func (d *roster) queue(node string) (wait time.Duration, fails bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuse[node] > 0 {
		d.refuse[node]--
		return patience, true
	}
	now := time.Now()
	if d.free.Before(now) {
		d.free = now
	}
	wait = d.free.Add(d.cost).Sub(now)
	if wait > patience {
		return 0, true
	}
	d.free = now.Add(wait)
	return wait, false
}

// address is where one node calls the discovery service.
type address struct {
	roster   *roster
	node     string
	listener net.Listener

	mu   sync.Mutex
	open map[net.Conn]bool
}

// listenFor opens an address for a node.
func (d *roster) listenFor(node string) *address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.run.fail(err)
	}
	a := &address{roster: d, node: node, listener: listener, open: map[net.Conn]bool{}}
	d.mu.Lock()
	d.addresses = append(d.addresses, a)
	d.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.open[conn] = true
			a.mu.Unlock()
			go a.serve(conn)
		}
	}()
	return a
}

func (a *address) addr() string { return a.listener.Addr().String() }

// setCost sets the work of a call.
func (d *roster) setCost(cost time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cost = cost
}

// takeAddresses returns the addresses that are open, which become the former ones.
func (d *roster) takeAddresses() []*address {
	d.mu.Lock()
	defer d.mu.Unlock()
	former := d.addresses
	d.addresses = nil
	return former
}

// retire takes no new connection at former addresses from now on, and closes the open ones at a time.
func (d *roster) retire(former []*address, at time.Time) {
	for _, a := range former {
		a.listener.Close()
	}
	time.Sleep(time.Until(at))
	for _, a := range former {
		a.mu.Lock()
		for conn := range a.open {
			conn.Close()
		}
		a.mu.Unlock()
	}
	d.run.printf("discovery: the former addresses are closed")
}

func (a *address) serve(conn net.Conn) {
	defer conn.Close()
	d := a.roster
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	left := make(chan struct{})
	go func() {
		_, _ = reader.Peek(1)
		close(left)
	}()
	wait, fails := d.queue(a.node)
	d.run.printf("discovery: %s calls %s, waits %v, fails %t", a.node, request.URL.RequestURI(), wait.Round(time.Millisecond), fails)
	select {
	case <-time.After(wait):
	case <-left:
		return
	}
	if fails {
		d.run.count("calls refused")
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	d.run.count("calls answered")
	after, err := strconv.Atoi(request.URL.Query().Get("after"))
	if err != nil {
		after = -1
	}
	if request.URL.Query().Get("watch") != "1" {
		text, _ := d.line(a.node, -1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for first := true; ; first = false {
		d.mu.Lock()
		changed, rev := d.changed, d.rev
		d.mu.Unlock()
		text := []byte("\n")
		if first || rev > after {
			text, after = d.line(a.node, after)
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		select {
		case <-left:
			return
		case <-changed:
		case <-time.After(lineInterval):
		}
	}
}
