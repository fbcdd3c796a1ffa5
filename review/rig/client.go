package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a client's request.
type Request struct {
	ID      string
	Class   string
	Key     string // the idempotency key; empty for a GET
	Expires time.Duration
	Body    string
}

// Text returns the request as it is sent.
func (r *Request) Text() string {
	method := "GET"
	if r.Key != "" || r.Body != "" {
		method = "POST"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s?obj=%s HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n", method, r.Class, r.ID, r.ID, r.Class, r.Expires.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	return b.String()
}

// Result is what a client has got.
type Result struct {
	Status int // 0 if there is no head
	Body   string
	Err    error // why the answer is not whole
	Took   time.Duration
	Closes bool // the node has said that it closes the connection
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to a node.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Do sends a request and reads its answer until patience is over.
func (c *Conn) Do(r *Request, patience time.Duration) (result Result) {
	start := time.Now()
	defer func() { result.Took = time.Since(start) }()
	c.SetDeadline(start.Add(patience))
	if _, err := io.WriteString(c, r.Text()); err != nil {
		return Result{Err: err}
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Result{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Result{Status: resp.StatusCode, Body: string(body), Err: err, Closes: resp.Close}
}
