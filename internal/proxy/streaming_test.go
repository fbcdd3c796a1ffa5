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
		w := start(t, nil, b.Addr)
		c := w.dial(t)
		c.send(head("GET", "get"))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: %v", name, err)
		}
		body, err := io.ReadAll(resp.Body)
		if cut := strings.Contains(name, "cut"); cut != (err != nil) || !cut && string(body) != long {
			t.Errorf("%s: %d bytes, %v", name, len(body), err)
		}
		testbed.Eventually(t, "all to be over", func() bool { return w.held() == 0 })
		if b.Connections() != 1 {
			t.Errorf("%s: sent %d times", name, b.Connections())
		}
	}
}

// Regression test for incident r69d8ed: answers that take long to stream are no reason to reject requests that idle backends could
// serve.
func TestStreamedAnswersDoNotCauseRejections(t *testing.T) {
	testbed.Leaks(t)
	over := make(chan struct{})
	b := testbed.NewPeer(t, func(c net.Conn, _ int) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Query().Get("obj") != "7" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\nbegun")
				for { // a byte now and then, so that the answer stays open
					select {
					case <-over:
						return
					case <-time.After(100 * time.Millisecond):
						if _, err := c.Write([]byte("x")); err != nil {
							return
						}
					}
				}
			}
			_, _ = io.WriteString(c, ok)
		}
	})
	defer close(over)
	w := start(t, nil, b.Addr)
	for range 15 {
		c := w.dial(t)
		c.send(strings.Replace(head("GET", "get"), "obj=7", "obj=long", 1))
		if line, err := c.r.ReadString('\n'); err != nil || !strings.Contains(line, "200") {
			t.Fatalf("%q %v", line, err)
		}
	}
	c := w.dial(t)
	for range 20 {
		c.send(head("GET", "get"))
		if code, _, _ := c.answer(t); code != 200 {
			t.Fatalf("%d with 15 answers on their way", code)
		}
	}
}

// Regression test for incident r69d8ed: the losing hedge ends while the winner's long answer is streamed, which must not cut it off.
func TestLosingHedgeLeavesTheStreamedAnswer(t *testing.T) {
	testbed.Leaks(t)
	long := strings.Repeat("x", 100<<10)
	var copies atomic.Int64
	lost := make(chan struct{}, 2)
	script := func(c net.Conn, _ int) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			switch {
			case err != nil:
				return
			case req.URL.Query().Get("obj") == "7":
				_, _ = io.WriteString(c, ok)
			case copies.Add(1) == 1: // silent until it is cancelled
				_, _ = r.ReadByte()
				lost <- struct{}{}
				return
			default:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long[1:])
				<-lost
				time.Sleep(50 * time.Millisecond) // so that the node notices
				_, _ = io.WriteString(c, "x")
				return
			}
		}
	}
	w := start(t, func(o *Options) {
		o.Settings.ParallelAttempts = true
		o.Settings.Classes[0].LatencyObjective = 20 * time.Millisecond
	}, testbed.NewPeer(t, script).Addr, testbed.NewPeer(t, script).Addr)
	c := w.dial(t)
	for range 30 { // so that the balancer knows the latency
		c.send(head("GET", "get"))
		c.answer(t)
	}
	c.send(strings.Replace(head("GET", "get"), "obj=7", "obj=long", 1))
	if code, body, _ := c.answer(t); code != 200 || body != long {
		t.Errorf("%d, %d bytes", code, len(body))
	}
	if n := copies.Load(); n != 2 {
		t.Errorf("%d copies", n)
	}
}

// A response whose body is cut off does not count as an answer, whatever its head.
func TestBrokenAnswerIsNotServed(t *testing.T) {
	testbed.Leaks(t)
	for name, text := range map[string]string{
		"short":        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"no body":      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
		"broken chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"spoilt chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
		"without end":  "HTTP/1.1 200 OK\r\n\r\nhalf",
	} {
		b := testbed.NewPeer(t, func(c net.Conn, n int) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
		})
		w := start(t, nil, b.Addr)
		for _, class := range []string{"get", "post"} {
			c := w.dial(t)
			c.send(head("GET", class))
			if code, body, _ := c.answer(t); code != 502 && code != 503 || body != "" {
				t.Errorf("%s, %s: %d %q", name, class, code, body)
			}
		}
	}
}
