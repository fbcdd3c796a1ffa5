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

var readyOfEach = flag.Int("ready", 5, "processes that TestReadyWithoutDiscovery starts before discovery of each kind, 100 at most")

// Processes start at once, each with a remembered list of 20,000 entries and a small part of a machine, while discovery refuses
// connections, takes calls and says nothing, or turns them away: nine in ten are ready within 10 s, as the platform wants it.
func TestReadyWithoutDiscovery(t *testing.T) {
	many := min(*readyOfEach, 100)
	over := make(chan struct{})
	hangs := testbed.NewPeer(t, func(net.Conn, int) { <-over })
	full := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" })
	t.Cleanup(func() { close(over) })
	var remembered strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&remembered, `{"uid":"u%d","endpoint":"127.0.0.1:1","az":"%c","model":"m","pod_group":%d,"state":"SERVING","capacity_hint":1,"boot_ms":0},`, i, 'a'+i%4, i%7)
	}
	took := make(chan time.Duration, 3*many)
	var all sync.WaitGroup
	for name, at := range map[string]string{"down": testbed.RefusingAddress(t), "hangs": hangs.Addr, "full": full.Addr} {
		for range many {
			p := launch(t, func(listen string) string {
				text := strings.Replace(configText(listen, "127.0.0.1:1", settings), `"127.0.0.1:1"`, fmt.Sprintf("%q", at), 1)
				text = strings.Replace(text, `"cores":1,"memory_mb":192`, `"cores":0.25,"memory_mb":48`, 1)
				return strings.Replace(text, `"targets":[`, `"targets":[`+remembered.String(), 1)
			})
			began := time.Now()
			all.Go(func() {
				c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				for time.Since(began) < 30*time.Second {
					if resp, err := c.Get("http://" + p.listen + "/health/ready"); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
						if resp.StatusCode == http.StatusOK {
							took <- time.Since(began)
							return
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				t.Errorf("discovery %s: not ready within 30 s", name)
			})
			t.Cleanup(func() {
				_ = p.Process.Signal(syscall.SIGTERM)
				p.ends(t)
			})
		}
	}
	all.Wait()
	close(took)
	late := 0
	for d := range took {
		if d > 10*time.Second {
			late++
		}
		t.Logf("ready after %v", d)
	}
	if late > 3*many/10 {
		t.Errorf("%d of %d took more than 10 s", late, 3*many)
	}
}
