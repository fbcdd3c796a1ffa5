package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// startFixedResponder starts a server on loopback that sends the same response to every request, at as little cost as possible.
// Requests must not have a body. Closing the listener stops the server.
func startFixedResponder() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	response := []byte("HTTP/1.1 200 OK\r\nContent-Length: 128\r\nContent-Type: text/plain\r\n\r\n" + strings.Repeat("x", 128))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(conn, response)
		}
	}()
	return listener, nil
}

// respond sends the response to each request of a connection until the client closes the connection.
func respond(conn net.Conn, response []byte) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if err := skipHeader(reader); err != nil {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// skipHeader reads a request up to the empty line at the end of its header.
func skipHeader(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}

// drive sends requests over conns connections, one at a time on each, until n have been served. A rejected request is counted and sent
// again. Any other failure ends its connection; drive returns the first of these errors.
func drive(addr string, n, conns int) (took time.Duration, rejected int64, err error) {
	d := driver{addr: addr, requests: int64(n)}
	d.left.Store(int64(n))
	var workers sync.WaitGroup
	errs := make(chan error, conns)
	began := time.Now()
	for i := range conns {
		workers.Go(func() {
			if err := d.connection(i); err != nil {
				errs <- err
			}
		})
	}
	workers.Wait()
	took = time.Since(began)
	select {
	case err = <-errs:
	default:
	}
	return took, d.rejected.Load(), err
}

// driver is the state that the connections of a call of drive share.
type driver struct {
	addr     string
	requests int64 // to be served; fewer than that may be rejected
	left     atomic.Int64
	rejected atomic.Int64
}

// connection sends requests over a connection until none are left.
func (d *driver) connection(number int) error {
	conn, err := net.Dial("tcp", d.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for d.left.Add(-1) >= 0 {
		_, err := fmt.Fprintf(conn, "GET /x/1 HTTP/1.1\r\nHost: x\r\nX-Qos: x\r\nX-Trace-Id: %d-%d\r\nAccept: */*\r\n\r\n", number, d.left.Load())
		if err != nil {
			return err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err == nil && resp.StatusCode == http.StatusServiceUnavailable && d.rejected.Add(1) < d.requests {
			d.left.Add(1) // sent again: only served requests are counted
			continue
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			return errors.Join(errors.New(resp.Status), err)
		}
	}
	return nil
}
