package platform

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	drainGrace  = time.Second           // sends to a draining server are allowed for so long after the notification
	socketSlack = 50 * time.Millisecond // that each time limit is longer by on sockets
)

// Backend answers requests with their IDs. It records requests that a node sends although the server drains.
type Backend struct {
	UID       string
	listener  net.Listener
	discovery *Discovery
	record    *Record
	work      time.Duration
	serving   sync.WaitGroup

	mu        sync.Mutex
	connected map[net.Conn]bool
	hangs     bool
}

// StartBackend starts a backend that takes so long for a request. SetDiscovery must be called before the first request.
func StartBackend(uid string, work time.Duration, record *Record) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{UID: uid, listener: listener, record: record, work: work, connected: map[net.Conn]bool{}}
	b.serving.Go(b.accept)
	return b, nil
}

// SetDiscovery sets the service that knows which servers drain.
func (b *Backend) SetDiscovery(d *Discovery) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discovery = d
}

// Target returns the backend's entry in the list.
func (b *Backend) Target(zone string) Target {
	return Target{UID: b.UID, Endpoint: b.listener.Addr().String(), AZ: zone, Model: "std-2c", State: Serving, Capacity: 1}
}

// Close ends the backend.
func (b *Backend) Close() {
	b.listener.Close()
	b.mu.Lock()
	for conn := range b.connected {
		conn.Close()
	}
	b.mu.Unlock()
	b.serving.Wait()
}

func (b *Backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.connected[conn] = true
		b.mu.Unlock()
		b.serving.Go(func() {
			b.serve(conn)
			b.mu.Lock()
			delete(b.connected, conn)
			b.mu.Unlock()
			conn.Close()
		})
	}
}

func (b *Backend) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		began := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Trace-Id")
		b.checkDrain(id, began)
		if b.isHanging() {
			_, _ = reader.Peek(1) // until the node closes the connection
			return
		}
		time.Sleep(b.work)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	}
}

// SetHanging sets whether the backend answers no request any more.
func (b *Backend) SetHanging(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hangs = on
}

func (b *Backend) isHanging() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hangs
}

// checkDrain records a breach if the node that sends a request has been notified for longer than the grace that the server drains. The
// server serves the request all the same, since a node would not send it further ones otherwise.
func (b *Backend) checkDrain(id string, began time.Time) {
	b.mu.Lock()
	discovery := b.discovery
	b.mu.Unlock()
	node, ok := nodeOfID(id)
	if !ok {
		return
	}
	notified, ok := discovery.NotifiedAt(node, b.UID)
	if !ok {
		return
	}
	if late := began.Sub(notified.Add(drainGrace + socketSlack)); late > 0 {
		b.record.Breach("drain: n%d sent %s to %s %v behind the grace", node, id, b.UID, late.Round(time.Millisecond))
	}
}

// requestID returns the ID of a request to a node.
func requestID(node int, number uint64) string { return fmt.Sprintf("n%d-%d", node, number) }

// nodeOfID returns the node that a request's ID names.
func nodeOfID(id string) (node int, ok bool) {
	name, _, _ := strings.Cut(id, "-")
	node, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	return node, err == nil
}
