package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome string

// The outcomes of requests.
const (
	Served     Outcome = "served"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	NotTaken   Outcome = "not taken"   // the node did not accept the connection, or closed one on which it had read nothing
	NodeKilled Outcome = "node killed" // the node was killed before its time
	Lost       Outcome = "lost"
)

const (
	answerSlack = 500 * time.Millisecond // that a final answer may come behind the client's time
	// A connection that ends so long after a request was written did not cross the request: the node has read it.
	maxCrossing = 100 * time.Millisecond
)

var (
	errNotAnswered = errors.New("the connection ended without an answer")
	errWrongAnswer = errors.New("served with what no backend made for the request")
)

// Clients send requests to one node on connections that they keep.
type Clients struct {
	node    int
	address string
	record  *Record
	number  *atomic.Uint64

	mu         sync.Mutex
	mayConnect bool
	excused    bool // the process was killed without warning, so what it had is not lost
	crowded    bool // idle clients fill the node's descriptors, so new connections may be closed unread
}

// NewClients returns clients of the node that listens at address.
func NewClients(node int, address string, record *Record) *Clients {
	return &Clients{node: node, address: address, record: record, number: &atomic.Uint64{}, mayConnect: true}
}

// SetConnecting sets whether clients open new connections.
func (c *Clients) SetConnecting(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayConnect = on
}

// SetExcused sets whether requests that end without an answer are excused, as those of a process that is killed without warning are.
func (c *Clients) SetExcused(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excused = on
}

// SetCrowded sets whether new connections may be closed unread.
func (c *Clients) SetCrowded(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crowded = on
}

func (c *Clients) mayOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayConnect
}

// judge returns the outcome of a request that ended with err, so long after it was written to a new or a kept connection.
func (c *Clients) judge(err error, took time.Duration) Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.excused:
		return NodeKilled
	case c.crowded && errors.Is(err, errNotAnswered) && took < maxCrossing:
		return NotTaken
	}
	return Lost
}

// Run sends requests one after the other, about every interval, until ctx ends.
func (c *Clients) Run(ctx context.Context, seed uint64, interval time.Duration, deadlines []time.Duration) {
	rng := rand.New(rand.NewPCG(seed, uint64(c.node)))
	var conn *clientConn
	defer func() { conn.close() }()
	for ctx.Err() == nil {
		pause := time.Duration(float64(interval) * (0.5 + rng.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		deadline := deadlines[rng.IntN(len(deadlines))]
		conn = c.sendOne(conn, deadline)
	}
}

// sendOne sends a request, again on a new connection if the first one was kept and ended before it was read, and returns the
// connection if it is kept.
func (c *Clients) sendOne(conn *clientConn, deadline time.Duration) *clientConn {
	id := requestID(c.node, c.number.Add(1))
	kept := conn != nil
	if conn == nil {
		if conn = c.connect(); conn == nil {
			return nil
		}
	}
	began := time.Now()
	outcome, err := conn.exchange(id, deadline)
	if kept && errors.Is(err, errNotAnswered) && time.Since(began) < maxCrossing {
		conn.close()
		if conn = c.connect(); conn == nil {
			return nil
		}
		began = time.Now()
		outcome, err = conn.exchange(id, deadline)
	}
	if err != nil {
		outcome = c.judge(err, time.Since(began))
	}
	if outcome == Lost {
		c.record.Breach("lost: %s, %v after %v of %v", id, err, time.Since(began).Round(time.Millisecond), deadline)
	}
	c.record.count(outcome)
	if err != nil || conn.closing {
		conn.close()
		return nil
	}
	return conn
}

func (c *Clients) connect() *clientConn {
	if !c.mayOpen() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		c.record.count(NotTaken)
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	closing bool // the node has said that it closes it
}

func (c *clientConn) close() {
	if c != nil {
		c.Close()
	}
}

// exchange sends a request and reads its answer.
func (c *clientConn) exchange(id string, deadline time.Duration) (Outcome, error) {
	c.SetDeadline(time.Now().Add(deadline + answerSlack))
	_, err := fmt.Fprintf(c, "GET /get?obj=%s HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: get\r\nX-Expires-In-Ms: %d\r\n\r\n", id, id, deadline.Milliseconds())
	if err != nil {
		return Lost, fmt.Errorf("%w: %w", errNotAnswered, err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return Lost, fmt.Errorf("no answer in its time: %w", err)
	case err != nil:
		return Lost, fmt.Errorf("%w: %w", errNotAnswered, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.closing = response.Close
	switch {
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		return Refused, nil
	case response.StatusCode != http.StatusOK:
		return Failed, nil
	case err != nil:
		return Failed, nil // the client can tell that the answer is not whole
	case string(body) != id:
		return Lost, errWrongAnswer
	}
	return Served, nil
}
