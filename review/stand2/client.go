package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const answerSlack = 550 * time.Millisecond // that a final answer may come behind the client's time, with the slack of sockets

// request is a client's request.
type request struct {
	id      string
	class   string
	key     string // makes it a POST
	post    bool   // a POST without a key
	body    string
	expires time.Duration
	length  int // what its Content-Length says; 0 means the length of the body
}

func (q *request) text() string {
	var b strings.Builder
	method := "GET"
	if q.key != "" || q.post {
		method = "POST"
	}
	fmt.Fprintf(&b, "%s /%s?obj=%s HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n", method, q.class, q.id, q.id,
		q.class, q.expires.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.key)
	}
	if method == "POST" {
		length := q.length
		if length == 0 {
			length = len(q.body)
		}
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	b.WriteString(q.body)
	return b.String()
}

// reply is the final answer of a request.
type reply struct {
	status int
	body   string
	closes bool
}

var errNoAnswer = errors.New("the connection ended without a whole answer")

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func connect(addr string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// exchange writes a request in one piece and reads its answer.
func (c *clientConn) exchange(q *request) (a reply, err error) {
	c.SetDeadline(time.Now().Add(q.expires + answerSlack))
	if _, err := io.WriteString(c, q.text()); err != nil {
		return a, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return a, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a = reply{response.StatusCode, string(text), response.Close}
	if err != nil {
		return a, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	return a, nil
}

// usual is a usual client: it sends one request after the other on a connection that it keeps.
type usual struct {
	run  *run
	node *node
	conn *clientConn
}

func (u *usual) close() {
	if u.conn != nil {
		u.conn.Close()
		u.conn = nil
	}
}

// send sends a request, once more on a new connection if a kept one ended before the request was read, and counts how it ended. It
// returns the answer, and false if there was none.
func (u *usual) send(q *request) (a reply, ok bool) {
	for range 2 {
		kept := u.conn != nil
		if u.conn == nil {
			conn, err := connect(u.node.listen)
			if err != nil {
				u.run.count("requests not taken")
				return a, false
			}
			u.conn = conn
		}
		began := time.Now()
		a, err := u.conn.exchange(q)
		if err != nil {
			u.close()
			if kept && !errors.Is(err, os.ErrDeadlineExceeded) && time.Since(began) < 100*time.Millisecond {
				continue
			}
			u.run.count("requests without an answer")
			u.run.printf("client: %s %v after %v", q.id, err, time.Since(began).Round(time.Millisecond))
			return a, false
		}
		if a.closes {
			u.close()
		}
		switch a.status {
		case http.StatusOK:
			u.run.count("requests served")
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			u.run.count("requests refused")
		default:
			u.run.count("requests failed")
		}
		return a, true
	}
	u.run.count("requests not taken")
	return a, false
}
