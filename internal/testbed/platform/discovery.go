// Package platform has stand-ins for what surrounds a node of the platform: the discovery service where lists are asked for, backends,
// clients, and the node as a process of its own. They follow the platform's public protocol and record where a node breaks its rules.
package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The states of a server, with the protocol's names.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

const (
	lineInterval  = 2 * time.Second // between two empty lines of a watch
	notifiedAfter = 6 * time.Second // a change counts as notified so long after it was made, or after the service came up
)

// Target is an entry of the list, with the protocol's field names.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is a line of a watch.
type List struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// AnswerFault is how an answer to a call fails.
type AnswerFault int

// The faults of answers.
const (
	NoFault     AnswerFault = iota
	BreaksOff               // the connection is closed within the first line
	StopsShort              // nothing more comes within the first line, and the connection stays open
	HeadOnly                // nothing comes behind the head of the response
	ResetWithin             // the connection is reset within the first line
)

// DiscoveryOptions configure a Discovery.
type DiscoveryOptions struct {
	CostPerCall time.Duration // the service works through its calls in turn
	Patience    time.Duration // a call that waits longer fails with 503, and is worked on all the same
	// EmptyWhenUnchanged makes a watch begin with an empty line if nothing has changed since the version that the call names. Otherwise
	// it begins with a list without targets.
	EmptyWhenUnchanged bool
	// Fault returns how the answer to the call with the given number at a node fails; nil means that none does.
	Fault func(node, call int) (fault AnswerFault, cutPercent int)
}

// Discovery is the discovery service of all nodes. Each node calls it at an address of its own.
type Discovery struct {
	options DiscoveryOptions
	record  *Record
	serving sync.WaitGroup

	mu       sync.Mutex
	rev      int
	entries  []versionedTarget
	free     time.Time // when the calls taken so far are worked through
	down     bool
	upSince  time.Time
	changed  chan struct{} // closed by the next change
	breaking chan struct{} // closed when the open watches are to end or fall silent
	silence  bool          // they fall silent
	views    []*view
}

type versionedTarget struct {
	Target
	rev        int
	drainingAt time.Time // zero unless it is draining or deleted
}

// view is what one node knows of the list.
type view struct {
	node      int
	listener  net.Listener
	calls     int
	connected map[net.Conn]bool
	known     List                 // as written to the node in whole lines
	written   map[string]time.Time // when it was written that a server is draining or deleted
}

// NewDiscovery starts a service for so many nodes with a list of targets.
func NewDiscovery(nodes int, targets []Target, options DiscoveryOptions, record *Record) (*Discovery, error) {
	d := &Discovery{options: options, record: record, rev: 40, changed: make(chan struct{}), breaking: make(chan struct{})}
	for _, target := range targets {
		d.entries = append(d.entries, versionedTarget{Target: target, rev: d.rev})
	}
	for i := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.Close()
			return nil, err
		}
		v := &view{node: i, listener: listener, connected: map[net.Conn]bool{}, known: List{Rev: d.rev, All: true, Targets: targets}, written: map[string]time.Time{}}
		d.views = append(d.views, v)
		d.serving.Go(func() { d.accept(v) })
	}
	return d, nil
}

// Address returns where a node calls the service.
func (d *Discovery) Address(node int) string { return d.views[node].listener.Addr().String() }

// Known returns the list as a node last had it.
func (d *Discovery) Known(node int) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.views[node].known
	known.Targets = slices.Clone(known.Targets)
	return known
}

// Restarted tells that a node's process is a new one, which has the list that the node last had. What was written to the former process in
// a part of a line is not in it.
func (d *Discovery) Restarted(node int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.views[node]
	for _, target := range v.known.Targets {
		if target.State == Serving {
			delete(v.written, target.UID)
		}
	}
}

// SetState changes the state of a server and tells it to the open watches.
func (d *Discovery) SetState(uid, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for i := range d.entries {
		entry := &d.entries[i]
		if entry.UID != uid {
			continue
		}
		entry.rev = d.rev
		entry.State = state
		switch {
		case state == Serving:
			entry.drainingAt = time.Time{}
			for _, v := range d.views {
				delete(v.written, uid)
			}
		case entry.drainingAt.IsZero():
			entry.drainingAt = time.Now()
		}
	}
	d.record.Printf("list: version %d, %s %s", d.rev, uid, state)
	close(d.changed)
	d.changed = make(chan struct{})
}

// BreakWatches ends the open watches, or makes them fall silent.
func (d *Discovery) BreakWatches(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Printf("open watches break, silent %t", silent)
	d.silence = silent
	close(d.breaking)
	d.breaking = make(chan struct{})
}

// SetDown stops or resumes the service. While it is down, a call fails with 503 after the patience.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Printf("discovery down %t", down)
	d.down = down
	if !down {
		d.upSince = time.Now()
	}
}

// NotifiedAt returns when a node counts as notified that a server drains; false if the server does not, or not yet.
func (d *Discovery) NotifiedAt(node int, uid string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.views[node].written[uid]
	for i := range d.entries {
		entry := &d.entries[i]
		if entry.UID != uid || entry.drainingAt.IsZero() || d.down {
			continue
		}
		latest := entry.drainingAt
		if d.upSince.After(latest) {
			latest = d.upSince
		}
		if latest = latest.Add(notifiedAfter); !ok || latest.Before(at) {
			return latest, true
		}
	}
	return at, ok
}

// Close ends the service.
func (d *Discovery) Close() {
	for _, v := range d.views {
		v.listener.Close()
	}
	d.mu.Lock()
	for _, v := range d.views {
		for conn := range v.connected {
			conn.Close()
		}
	}
	d.mu.Unlock()
	d.serving.Wait()
}

func (d *Discovery) accept(v *view) {
	for {
		conn, err := v.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		v.connected[conn] = true
		d.mu.Unlock()
		d.serving.Go(func() {
			d.serve(v, conn)
			d.mu.Lock()
			delete(v.connected, conn)
			d.mu.Unlock()
			conn.Close()
		})
	}
}

// queue takes a call and returns how long it waits, and whether it fails then.
func (d *Discovery) queue() (wait time.Duration, fails bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return d.options.Patience, true
	}
	now := time.Now()
	if d.free.Before(now) {
		d.free = now
	}
	wait = d.free.Sub(now) + d.options.CostPerCall
	if wait > 2*d.options.Patience {
		return 0, true
	}
	d.free = now.Add(wait)
	if wait > d.options.Patience {
		return d.options.Patience, true
	}
	return wait, false
}

func (d *Discovery) serve(v *view, conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	left := make(chan struct{})
	d.serving.Go(func() {
		_, _ = io.Copy(io.Discard, conn)
		close(left)
	})
	d.mu.Lock()
	call := v.calls
	v.calls++
	d.mu.Unlock()
	wait, fails := d.queue()
	d.record.Printf("n%d: call %d %s waits %v, fails %t", v.node, call, request.URL.RawQuery, wait.Round(time.Millisecond), fails)
	select {
	case <-time.After(wait):
	case <-left:
		return
	}
	if fails {
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	after, err := strconv.Atoi(request.URL.Query().Get("after"))
	if err != nil {
		after = -1
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	if d.options.Fault != nil {
		if fault, percent := d.options.Fault(v.node, call); fault != NoFault {
			d.failAnswer(v, conn, fault, percent, after, left)
			return
		}
	}
	d.watch(v, conn, after, left)
}

// failAnswer writes a part of the first line.
func (d *Discovery) failAnswer(v *view, conn net.Conn, fault AnswerFault, percent, after int, left chan struct{}) {
	line, targets := d.line(after)
	cut := line[:len(line)*percent/100]
	if fault == HeadOnly {
		cut = nil
	}
	d.record.Printf("n%d: answer fails (%d) behind %d of %d bytes", v.node, fault, len(cut), len(line))
	if len(cut) > 0 {
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(cut), cut)
		d.notePart(v, cut, targets)
	}
	switch fault {
	case StopsShort, HeadOnly:
		<-left
	case ResetWithin:
		time.Sleep(5 * time.Millisecond) // what was written must not be lost with the reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	case NoFault, BreaksOff:
	}
}

// notePart notes what the entries that a part of a line holds in whole say of draining servers.
func (d *Discovery) notePart(v *view, part []byte, targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, target := range targets {
		text, _ := json.Marshal(target)
		if target.State != Serving && containsWhole(part, text) {
			v.note(target.UID)
		}
	}
}

func containsWhole(part, entry []byte) bool {
	for i := 0; i+len(entry) <= len(part); i++ {
		if string(part[i:i+len(entry)]) == string(entry) {
			return true
		}
	}
	return false
}

func (v *view) note(uid string) {
	if v.written[uid].IsZero() {
		v.written[uid] = time.Now()
	}
}

// line returns what changed after a version, or the whole list if after is negative.
func (d *Discovery) line(after int) (text []byte, targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Rev: d.rev, All: after < 0, Targets: []Target{}}
	for _, entry := range d.entries {
		if entry.rev > after {
			list.Targets = append(list.Targets, entry.Target)
		}
	}
	text, _ = json.Marshal(list)
	return append(text, '\n'), list.Targets
}

// watch tells changes until the watch ends.
func (d *Discovery) watch(v *view, conn net.Conn, after int, left chan struct{}) {
	d.mu.Lock()
	breaking := d.breaking
	d.mu.Unlock()
	for first := true; ; first = false {
		d.mu.Lock()
		rev, changed := d.rev, d.changed
		d.mu.Unlock()
		text := []byte("\n")
		if rev != after || first && !d.options.EmptyWhenUnchanged {
			var targets []Target
			text, targets = d.line(after)
			d.noteLine(v, rev, targets)
			after = rev
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		select {
		case <-left:
			return
		case <-breaking:
		case <-changed:
		case <-time.After(lineInterval):
		}
		select {
		case <-breaking:
			if d.isSilence() {
				<-left
			}
			return
		default:
		}
	}
}

func (d *Discovery) isSilence() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silence
}

// noteLine notes a whole line that is written to a node.
func (d *Discovery) noteLine(v *view, rev int, targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v.known.Rev = rev
	for _, target := range targets {
		i := slices.IndexFunc(v.known.Targets, func(known Target) bool { return known.UID == target.UID })
		if i >= 0 {
			v.known.Targets = slices.Replace(slices.Clone(v.known.Targets), i, i+1, target)
		}
		if target.State != Serving {
			v.note(target.UID)
		}
	}
}

// AlternatingFaults returns a Fault that lets about a share of the answers fail, never two in a row at a node.
func AlternatingFaults(seed uint64, share float64, faults ...AnswerFault) func(node, call int) (AnswerFault, int) {
	fails := func(node, call int) bool {
		rng := rand.New(rand.NewPCG(seed, uint64(node)<<32|uint64(call)))
		return rng.Float64() < share
	}
	return func(node, call int) (AnswerFault, int) {
		row := 0 // of calls that would fail up to this one
		for row <= call && fails(node, call-row) {
			row++
		}
		if row%2 == 0 {
			return NoFault, 0
		}
		rng := rand.New(rand.NewPCG(seed+1, uint64(node)<<32|uint64(call)))
		return faults[rng.IntN(len(faults))], 1 + rng.IntN(98)
	}
}

// Nodes returns the number of nodes.
func (d *Discovery) Nodes() int { return len(d.views) }
