package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// received is a request that has come whole to a backend.
type received struct {
	id    string
	key   string
	body  []byte
	began time.Time // when its first byte came
	conn  net.Conn
	next  *bufio.Reader // what comes behind it
}

// backend is a ticket server.
type backend struct {
	run      *run
	uid      string
	listener net.Listener
	// answer answers a request and reports whether the connection may be used further.
	answer func(b *backend, q *received) bool
}

// newBackend starts a backend at a free address.
func (r *run) newBackend(uid string, answer func(*backend, *received) bool) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail(err)
	}
	b := &backend{run: r, uid: uid, listener: listener, answer: answer}
	go b.accept()
	return b
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// target returns the backend's entry in the list.
func (b *backend) target(zone string, cell int) target {
	return target{UID: b.uid, Endpoint: b.listener.Addr().String(), AZ: zone, Model: "std-2c", PodGroup: cell, State: serving, Capacity: 1}
}

func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		q := &received{began: time.Now(), conn: conn, next: reader}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if q.body, err = io.ReadAll(request.Body); err != nil {
			return
		}
		q.id, q.key = request.Header.Get("X-Trace-Id"), request.Header.Get("Idempotency-Key")
		if !b.answer(b, q) {
			return
		}
	}
}

// answerTo is the body of the answer to a request.
func answerTo(id string) string { return "answer to " + id }

// served writes the whole answer to a request.
func (q *received) served() bool {
	body := answerTo(q.id)
	_, err := fmt.Fprintf(q.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// between returns a random time between two.
func between(least, most time.Duration) time.Duration {
	return least + time.Duration(rand.Int64N(int64(most-least)+1))
}
