package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/origin"
)

const (
	pushOrigins  = 3
	pushClients  = 12
	pushInterval = 15 * time.Millisecond // between removals
)

// measurePushes measures how long an endpoint still gets requests after the push that removes it, for both variants of xDS.
func measurePushes(updates int) error {
	printMachine()
	plane, err := controlplane.Start("")
	if err != nil {
		return err
	}
	defer plane.Stop()
	var origins []*origin.Origin
	for range pushOrigins {
		o, err := origin.Start("", nil)
		if err != nil {
			return err
		}
		defer o.Kill()
		o.SetDelay(time.Millisecond)
		origins = append(origins, o)
	}
	cluster := controlplane.Resource{Name: "c", Body: controlplane.Cluster("c", "")}
	if _, err := plane.Push("0", false, cluster, originsExcept(origins, -1)); err != nil {
		return err
	}
	for _, variant := range []string{"sotw", "delta"} {
		if err := measureVariantPushes(plane, origins, variant, updates); err != nil {
			return err
		}
	}
	return nil
}

// originsExcept returns the endpoint list of the cluster without the origin at index removed; -1 removes none.
func originsExcept(origins []*origin.Origin, removed int) controlplane.Resource {
	var endpoints []controlplane.Endpoint
	for i, o := range origins {
		if i != removed {
			endpoints = append(endpoints, controlplane.Endpoint{Addr: o.Addr, Zone: "a"})
		}
	}
	return controlplane.Resource{Name: "c", Body: controlplane.Assignment("c", endpoints...)}
}

// measureVariantPushes starts a gateway, puts it under load and removes one endpoint after another.
func measureVariantPushes(plane *controlplane.Server, origins []*origin.Origin, variant string, updates int) error {
	configuration := fmt.Sprintf("zone: a\nlisteners: [{name: web, address: '127.0.0.1:0'}]\nadmin: {address: '127.0.0.1:0'}\nxds: {servers: [%q], variant: %s, node: {id: m}}\nclusters: [{name: c, xds: {}, warm_up: {time: 1ms}}]\nroutes: [{match: {prefix: /}, cluster: c}]\n",
		plane.Addr, variant)
	gateway, err := startProcess(childRobindrum, configuration)
	if err != nil {
		return err
	}
	defer gateway.stop()
	if err := await("the gateway to be ready", gateway.ready); err != nil {
		return err
	}
	load := startPushLoad("http://" + gateway.addr[0] + "/x")
	delays, err := removeOneByOne(plane, origins, variant, updates)
	load.stop()
	if err != nil {
		return err
	}
	slices.Sort(delays)
	quantile := func(q float64) time.Duration {
		index := min(int(q*float64(updates)), updates-1)
		return delays[index].Round(time.Microsecond)
	}
	fmt.Printf("%s: %d removals under load: last request to the removed endpoint after p50 %v, p99 %v, max %v; %d served, %d not served\n",
		variant, updates, quantile(0.5), quantile(0.99), quantile(1), load.served.Load(), load.failed.Load())
	return nil
}

// ready reports whether the readiness check of the gateway succeeds.
func (p *process) ready() bool {
	resp, err := http.Get("http://" + p.addr[1] + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// removeOneByOne removes one endpoint at a time, each for one interval, and returns the delays from the push to the last request that
// the removed endpoint got.
func removeOneByOne(plane *controlplane.Server, origins []*origin.Origin, variant string, updates int) ([]time.Duration, error) {
	var delays []time.Duration
	for i := range updates {
		removed := i % len(origins)
		pushed, err := plane.Push(fmt.Sprintf("%s-%d", variant, i), false, originsExcept(origins, removed))
		if err != nil {
			return nil, err
		}
		time.Sleep(pushInterval)
		last := origins[removed].LastRequest().Sub(pushed)
		// A request came after the interval: read the time of the last request again.
		if origins[removed].RequestsAfter(pushed.Add(pushInterval)) > 0 {
			last = origins[removed].LastRequest().Sub(pushed)
		}
		delays = append(delays, max(last, 0))
	}
	return delays, nil
}

// pushLoad is a closed-loop load: each client sends its next request when the previous one has ended.
type pushLoad struct {
	client  *http.Client
	end     chan struct{}
	workers sync.WaitGroup
	served  atomic.Int64
	failed  atomic.Int64
}

// startPushLoad starts clients that request a URL, one request at a time each, until stop is called.
func startPushLoad(url string) *pushLoad {
	l := &pushLoad{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 10 * time.Second},
		end:    make(chan struct{}),
	}
	for range pushClients {
		l.workers.Go(func() {
			for {
				select {
				case <-l.end:
					return
				default:
					l.request(url)
				}
			}
		})
	}
	return l
}

// request sends one request and counts its outcome.
func (l *pushLoad) request(url string) {
	resp, err := l.client.Get(url)
	if err != nil {
		l.failed.Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		l.served.Add(1)
	} else {
		l.failed.Add(1)
	}
}

// stop stops the clients and waits for them.
func (l *pushLoad) stop() {
	close(l.end)
	l.workers.Wait()
	l.client.CloseIdleConnections()
}
