package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

var readyPerFailure = flag.Int("ready", 5, "number of processes that TestReadyWithoutDiscovery starts for each kind of discovery failure, at most 100")

// Processes with a cached list of 20,000 endpoints and a fraction of a core each start at the same time while discovery refuses
// connections, accepts requests without responding, or responds with 503. The platform requires that nine in ten are ready within 10 s.
func TestReadyWithoutDiscovery(t *testing.T) {
	perFailure := min(*readyPerFailure, 100)
	done := make(chan struct{})
	silent := testbed.NewPeer(t, func(net.Conn, int) { <-done })
	rejecting := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" })
	t.Cleanup(func() { close(done) })
	var targets strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&targets, `{"uid":"u%d","endpoint":"127.0.0.1:1","az":"%c","model":"m","pod_group":%d,"state":"SERVING","capacity_hint":1,"boot_ms":0},`, i, 'a'+i%4, i%7)
	}
	readyTimes := make(chan time.Duration, 3*perFailure)
	var pollers sync.WaitGroup
	for failure, addr := range map[string]string{"down": testbed.RefusingAddress(t), "hangs": silent.Addr, "full": rejecting.Addr} {
		for range perFailure {
			node := launch(t, func(listen string) string {
				text := strings.Replace(configText(listen, "127.0.0.1:1", settings), `"127.0.0.1:1"`, fmt.Sprintf("%q", addr), 1)
				text = strings.Replace(text, `"cores":1,"memory_mb":192`, `"cores":0.25,"memory_mb":48`, 1)
				return strings.Replace(text, `"targets":[`, `"targets":[`+targets.String(), 1)
			})
			start := time.Now()
			pollers.Go(func() {
				client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				for time.Since(start) < 30*time.Second {
					if resp, err := client.Get("http://" + node.listen + "/health/ready"); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
						if resp.StatusCode == http.StatusOK {
							readyTimes <- time.Since(start)
							return
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				t.Errorf("discovery failure %q: not ready within 30 s", failure)
			})
			t.Cleanup(func() {
				_ = node.Process.Signal(syscall.SIGTERM)
				node.waitForExit(t)
			})
		}
	}
	pollers.Wait()
	close(readyTimes)
	slow := 0
	for elapsed := range readyTimes {
		if elapsed > 10*time.Second {
			slow++
		}
		t.Logf("ready after %v", elapsed)
	}
	if slow > 3*perFailure/10 {
		t.Errorf("%d of %d processes took more than 10 s to become ready, want at most 10%%", slow, 3*perFailure)
	}
}
