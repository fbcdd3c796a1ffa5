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

// idleClients keep a number of silent connections open until they are ended, and reconnect when one is closed.
func idleClients(t *testing.T, addr string, many int) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for range many {
		all.Go(func() {
			for range 500 { // bounded, whatever happens
				var d net.Dialer
				c, err := d.DialContext(ctx, "tcp", addr)
				if err != nil {
					select {
					case <-ctx.Done():
						return
					case <-time.After(100 * time.Millisecond):
						continue
					}
				}
				stop := context.AfterFunc(ctx, func() { c.Close() })
				_, _ = io.Copy(io.Discard, c)
				stop()
				c.Close()
				select {
				case <-ctx.Done():
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	end = sync.OnceFunc(func() { cancel(); all.Wait() })
	t.Cleanup(end)
	return end
}

// Idle clients fill every descriptor that the process is allowed while discovery is down. The health check is answered and
// other clients are served, by dials to backends, all the while; discovery returns, and its list is received within 6 s.
func TestIdleClientsFillDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 128
	answer := func(name string) func(testbed.ReceivedRequest, int) string {
		return func(testbed.ReceivedRequest, int) string { // each attempt needs a connection of its own
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(name), name)
		}
	}
	old, fresh := testbed.NewBackend(t, answer("old")), testbed.NewBackend(t, answer("fresh"))
	var up atomic.Bool
	over := make(chan struct{})
	d := testbed.NewPeer(t, func(c net.Conn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if !up.Load() {
			testbed.Reset(c)
			return
		}
		text := fmt.Sprintf(`{"rev":9,"all":true,"targets":[{"uid":"f","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"SERVING","capacity_hint":1,"boot_ms":0}]}`+"\n", fresh.Addr)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		<-over
	})
	t.Cleanup(func() { close(over) })
	p := launchWith(t, func(listen string) string {
		text := strings.Replace(configText(listen, old.Addr, settings), `"127.0.0.1:1"`, fmt.Sprintf("%q", d.Addr), 1)
		return strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	}, func(program string) *exec.Cmd {
		return exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, program))
	})
	p.connect(t).Close()
	end := idleClients(t, p.listen, 3*sockets)
	time.Sleep(500 * time.Millisecond) // they keep the descriptors full for as long as this test lasts

	// ask returns the answer to a request or health check on a connection of its own. If that is closed before the request is read,
	// it is sent once more, as clients do.
	ask := func(text string) (body string, took time.Duration) {
		began := time.Now()
		for range 2 {
			c, err := net.DialTimeout("tcp", p.listen, 3*time.Second)
			if err != nil {
				continue
			}
			c.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.WriteString(c, text)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				c.Close()
				continue
			}
			b, _ := io.ReadAll(resp.Body)
			c.Close()
			return fmt.Sprint(resp.StatusCode, " ", string(b)), time.Since(began)
		}
		return "", time.Since(began)
	}
	n, bad := 0, 0
	round := func() string {
		n++
		body, took := ask(request(fmt.Sprint("r", n)))
		if !strings.HasPrefix(body, "200") {
			bad++
			t.Logf("request %d: %q after %v", n, body, took)
		}
		health, _ := ask("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if !strings.HasPrefix(health, "200") {
			t.Errorf("health check %d: %q", n, health)
		}
		time.Sleep(20 * time.Millisecond)
		return body
	}
	for began := time.Now(); time.Since(began) < 4*time.Second; {
		if body := round(); strings.HasSuffix(body, "fresh") {
			t.Fatalf("served with %q while discovery is down", body)
		}
	}
	up.Store(true)
	began := time.Now()
	for round() != "200 fresh" {
		if time.Since(began) > 6*time.Second {
			t.Fatal("6 s behind its return the list is not followed")
		}
	}
	t.Logf("the list was followed %v behind the return; %d of %d requests were not served", time.Since(began), bad, n)
	if bad > n/50 {
		t.Errorf("%d of %d requests were not served", bad, n)
	}
	end()
	_ = p.Process.Signal(syscall.SIGTERM)
	p.ends(t)
}
