package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

func TestLongAnswerIsStreamed(t *testing.T) {
	testbed.Leaks(t)
	long := strings.Repeat("0123456789abcdef", 1<<17) // 2 MiB
	for name, reply := range map[string]string{
		"sized":        fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"chunked":      fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long),
		"sized, cut":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long)+1, long),
		"chunked, cut": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long),
	} {
		n := 0
		b := testbed.NewPeer(t, func(c net.Conn, k int) {
			n++
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, reply)
		})
		node := startNode(t, nil, b.Addr)
		c := node.dial(t)
		c.send(requestHead("GET", "get"))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: reading the head of the answer: error %v, want status 200", name, err)
		}
		body, err := io.ReadAll(resp.Body)
		if cut := strings.Contains(name, "cut"); cut != (err != nil) || !cut && string(body) != long {
			t.Errorf("%s: got %d bytes, error %v, want %d bytes or, if cut, an error", name, len(body), err, len(long))
		}
		testbed.Eventually(t, "the end of all requests", func() bool { return node.pending() == 0 })
		if b.Connections() != 1 {
			t.Errorf("%s: got %d connections to the backend, want 1", name, b.Connections())
		}
	}
}

// Regression test for incident r69d8ed, in which answers that took long to stream caused the rejection of requests that idle backends
// could have served.
func TestStreamedAnswersDoNotCauseRejections(t *testing.T) {
	testbed.Leaks(t)
	done := make(chan struct{})
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Query().Get("obj") != "7" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\nbegun")
				for { // one byte at a time, so that the answer stays open
					select {
					case <-done:
						return
					case <-time.After(100 * time.Millisecond):
						if _, err := c.Write([]byte("x")); err != nil {
							return
						}
					}
				}
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	defer close(done)
	node := startNode(t, nil, b.Addr)
	for range 15 {
		c := node.dial(t)
		c.send(strings.Replace(requestHead("GET", "get"), "obj=7", "obj=long", 1))
		if line, err := c.r.ReadString('\n'); err != nil || !strings.Contains(line, "200") {
			t.Fatalf("streamed answer: got status line %q, error %v, want status 200", line, err)
		}
	}
	c := node.dial(t)
	for range 20 {
		c.send(requestHead("GET", "get"))
		if code, _, _ := c.readAnswer(t); code != 200 {
			t.Fatalf("during 15 streamed answers: got status %d, want 200", code)
		}
	}
}

// Regression test for incident r69d8ed: the end of the losing attempt must not cut off the long answer that is streamed from the other
// one.
func TestLosingHedgeDoesNotCutOffTheStreamedAnswer(t *testing.T) {
	testbed.Leaks(t)
	long := strings.Repeat("x", 100<<10)
	var attempts atomic.Int64
	losingEnded := make(chan struct{}, 2)
	script := func(c net.Conn, _ int) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			switch {
			case err != nil:
				return
			case req.URL.Query().Get("obj") == "7":
				_, _ = io.WriteString(c, okResponse)
			case attempts.Add(1) == 1: // sends nothing until the attempt is cancelled
				_, _ = r.ReadByte()
				losingEnded <- struct{}{}
				return
			default:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long[1:])
				<-losingEnded
				time.Sleep(50 * time.Millisecond) // gives the node time to detect the end of the losing attempt
				_, _ = io.WriteString(c, "x")
				return
			}
		}
	}
	node := startNode(t, func(o *Options) {
		o.Settings.ParallelAttempts = true
		o.Settings.Classes[0].LatencyObjective = 20 * time.Millisecond
	}, testbed.NewPeer(t, script).Addr, testbed.NewPeer(t, script).Addr)
	c := node.dial(t)
	for range 30 { // lets the balancer measure the latency, which it needs to start a hedge
		c.send(requestHead("GET", "get"))
		c.readAnswer(t)
	}
	c.send(strings.Replace(requestHead("GET", "get"), "obj=7", "obj=long", 1))
	if code, body, _ := c.readAnswer(t); code != 200 || body != long {
		t.Errorf("got status %d and %d bytes, want 200 and the complete body of %d bytes", code, len(body), len(long))
	}
	if n := attempts.Load(); n != 2 {
		t.Errorf("got %d attempts, want 2", n)
	}
}

// A response whose body is cut off or malformed is not passed to the client, whatever its head.
func TestBrokenAnswerIsNotServed(t *testing.T) {
	testbed.Leaks(t)
	for name, text := range map[string]string{
		"short":                 "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"no body":               "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
		"broken chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"malformed chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
		"no length or encoding": "HTTP/1.1 200 OK\r\n\r\nhalf",
	} {
		b := testbed.NewPeer(t, func(c net.Conn, n int) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
		})
		node := startNode(t, nil, b.Addr)
		for _, class := range []string{"get", "post"} {
			c := node.dial(t)
			c.send(requestHead("GET", class))
			if code, body, _ := c.readAnswer(t); code != 502 && code != 503 || body != "" {
				t.Errorf("%s, class %s: got status %d, body %q, want 502 or 503 and an empty body", name, class, code, body)
			}
		}
	}
}
