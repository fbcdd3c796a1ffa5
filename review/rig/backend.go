package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a whole request that has come to a backend.
type Arrival struct {
	ID   string
	Key  string
	Body []byte
	At   time.Time // when its last byte was read
	// Expires is its X-Expires-In-Ms.
	Expires string
}

// Answer is the answer that a sound backend gives to the request with an id.
func Answer(id string) string { return "answer to " + id + " " + filler }

var filler = func() string {
	b := make([]byte, 280)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz"[i%26]
	}
	return string(b)
}()

// Whole returns the message of a sound 200 answer with the given body.
func Whole(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Backend is a backend. It serves each request by its Serve function, one at a time on a connection.
type Backend struct {
	Name, Addr string
	listener   net.Listener
	serve      func(c net.Conn, a Arrival) (keep bool)
	mu         sync.Mutex
	arrivals   []Arrival
}

// StartBackend starts a backend. serve answers a request on its connection and reports whether the connection is kept.
func StartBackend(name string, serve func(c net.Conn, a Arrival) (keep bool)) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, Addr: l.Addr().String(), listener: l, serve: serve}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.connection(c)
		}
	}()
	return b, nil
}

func (b *Backend) connection(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a := Arrival{ID: r.Header.Get("X-Trace-Id"), Key: r.Header.Get("Idempotency-Key"), Body: body, At: time.Now(), Expires: r.Header.Get("X-Expires-In-Ms")}
		b.mu.Lock()
		b.arrivals = append(b.arrivals, a)
		b.mu.Unlock()
		if !b.serve(c, a) {
			return
		}
	}
}

// Arrivals returns the requests that have come so far.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Close stops listening.
func (b *Backend) Close() { b.listener.Close() }
