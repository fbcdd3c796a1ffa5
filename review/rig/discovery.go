package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Discovery is the platform's discovery service where lists are asked for. It answers at once, tells changes to open watches, and
// sends an empty line every 2 s.
type Discovery struct {
	Addr     string
	listener net.Listener

	mu      sync.Mutex
	rev     int
	targets []Target
	calls   map[net.Conn]bool
	silent  chan struct{} // closed when the open watches fall silent
	changed chan struct{}
	perCall time.Duration // what it takes to work through a call
	timeout time.Duration // a call that has to wait longer is turned away
	free    time.Time     // when the calls taken so far are worked through
	onCall  func(now time.Time, wait time.Duration, turnedAway bool)
}

// StartDiscovery starts a discovery service with a list.
func StartDiscovery(rev int, targets []Target) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), listener: l, rev: rev, targets: targets, changed: make(chan struct{}), calls: map[net.Conn]bool{}, silent: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

// OnCall sets a function that is called with each call.
func (d *Discovery) OnCall(f func(now time.Time, wait time.Duration, turnedAway bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onCall = f
}

// Limit makes the service work through its calls in turn, perCall each, and turn away a call that would wait longer than timeout.
func (d *Discovery) Limit(perCall, timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perCall, d.timeout = perCall, timeout
}

// take queues a call and returns how long it waits for its answer, or false if it is turned away.
func (d *Discovery) take(now time.Time) (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.free.Before(now) {
		d.free = now
	}
	wait = d.free.Sub(now) + d.perCall
	ok = d.perCall == 0 || wait <= d.timeout
	if ok {
		d.free = now.Add(wait)
	}
	if d.onCall != nil {
		d.onCall(now, wait, !ok)
	}
	return wait, ok
}

// Set replaces the list.
func (d *Discovery) Set(targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	d.targets = targets
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) line() (text []byte, changed, silent chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ = json.Marshal(list{Rev: d.rev, All: true, Targets: d.targets})
	return text, d.changed, d.silent
}

func (d *Discovery) serve(c net.Conn) {
	d.mu.Lock()
	d.calls[c] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.calls, c)
		d.mu.Unlock()
		c.Close()
	}()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	wait, ok := d.take(time.Now())
	if !ok {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	time.Sleep(wait)
	text, changed, silent := d.line()
	if r.URL.Query().Get("watch") == "" {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
		return
	}
	for {
		select {
		case <-silent:
			_, _ = c.Read(make([]byte, 1)) // the connection stays open until the node closes it
			return
		default:
		}
		select {
		case <-silent:
		case <-changed:
			text, changed, _ = d.line()
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
				return
			}
		case <-time.After(2 * time.Second):
			if _, err := fmt.Fprintf(c, "1\r\n\n\r\n"); err != nil {
				return
			}
		}
	}
}

// Silence makes all open watches fall silent. Their connections stay open.
func (d *Discovery) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silent)
	d.silent = make(chan struct{})
}

// Close stops listening. Open watches stay open.
func (d *Discovery) Close() { d.listener.Close() }

// CloseWatches closes the open connections.
func (d *Discovery) CloseWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.calls {
		c.Close()
	}
}
