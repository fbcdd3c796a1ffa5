package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

// idleClients keeps a number of connections open that send nothing, and reopens each that is closed, until end is called or the test
// ends.
func idleClients(t *testing.T, addr string, count int) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for range count {
		clients.Go(func() {
			for range 500 { // bounds the reconnects
				var dialer net.Dialer
				conn, err := dialer.DialContext(ctx, "tcp", addr)
				if err != nil {
					select {
					case <-ctx.Done():
						return
					case <-time.After(100 * time.Millisecond):
						continue
					}
				}
				stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
				_, _ = io.Copy(io.Discard, conn)
				stopClosing()
				conn.Close()
				select {
				case <-ctx.Done():
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	end = sync.OnceFunc(func() { cancel(); clients.Wait() })
	t.Cleanup(end)
	return end
}

// Idle clients occupy all file descriptors of the process while discovery is down. The node must still answer health checks and serve
// other clients over new connections to backends, and use the list from discovery within 6 s after discovery is up again.
func TestIdleClientsFillDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 128
	answer := func(name string) func(testbed.ReceivedRequest, int) string {
		return func(testbed.ReceivedRequest, int) string { // closes the connection, so each attempt needs a new one
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(name), name)
		}
	}
	cachedBackend, listedBackend := testbed.NewBackend(t, answer("old")), testbed.NewBackend(t, answer("fresh"))
	var discoveryUp atomic.Bool
	done := make(chan struct{})
	discovery := testbed.NewPeer(t, func(conn net.Conn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if !discoveryUp.Load() {
			testbed.Reset(conn)
			return
		}
		text := fmt.Sprintf(`{"rev":9,"all":true,"targets":[{"uid":"f","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"SERVING","capacity_hint":1,"boot_ms":0}]}`+"\n", listedBackend.Addr)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		<-done
	})
	t.Cleanup(func() { close(done) })
	node := launchWith(t, func(listen string) string {
		text := strings.Replace(configText(listen, cachedBackend.Addr, settings), `"127.0.0.1:1"`, fmt.Sprintf("%q", discovery.Addr), 1)
		return strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	}, func(program string) *exec.Cmd {
		return exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, program))
	})
	node.connect(t).Close()
	closeIdleClients := idleClients(t, node.listen, 3*sockets)
	time.Sleep(500 * time.Millisecond) // time for the idle clients to occupy the descriptors

	// exchange returns the response to a request or health check on a new connection. If there is no response, it tries once more, as
	// clients do.
	exchange := func(text string) (body string, elapsed time.Duration) {
		start := time.Now()
		for range 2 {
			conn, err := net.DialTimeout("tcp", node.listen, 3*time.Second)
			if err != nil {
				continue
			}
			conn.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.WriteString(conn, text)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				conn.Close()
				continue
			}
			data, _ := io.ReadAll(resp.Body)
			conn.Close()
			return fmt.Sprint(resp.StatusCode, " ", string(data)), time.Since(start)
		}
		return "", time.Since(start)
	}
	sent, notServed := 0, 0
	requestAndHealthCheck := func() string {
		sent++
		body, elapsed := exchange(requestText(fmt.Sprint("r", sent)))
		if !strings.HasPrefix(body, "200") {
			notServed++
			t.Logf("request %d: got %q after %v, want status 200", sent, body, elapsed)
		}
		health, _ := exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if !strings.HasPrefix(health, "200") {
			t.Errorf("health check %d: got %q, want status 200", sent, health)
		}
		time.Sleep(20 * time.Millisecond)
		return body
	}
	for start := time.Now(); time.Since(start) < 4*time.Second; {
		if body := requestAndHealthCheck(); strings.HasSuffix(body, "fresh") {
			t.Fatalf("response while discovery is down: got %q, want one of the cached backend", body)
		}
	}
	discoveryUp.Store(true)
	start := time.Now()
	for requestAndHealthCheck() != "200 fresh" {
		if time.Since(start) > 6*time.Second {
			t.Fatal("the list from discovery is not in use 6 s after discovery came up")
		}
	}
	t.Logf("the list was in use %v after discovery came up; %d of %d requests were not served", time.Since(start), notServed, sent)
	if notServed > sent/50 {
		t.Errorf("%d of %d requests were not served, want at most 2%%", notServed, sent)
	}
	closeIdleClients()
	_ = node.Process.Signal(syscall.SIGTERM)
	node.waitForExit(t)
}
