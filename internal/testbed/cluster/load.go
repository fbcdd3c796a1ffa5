package cluster

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	loadTimeout     = 10 * time.Second
	loadConnections = 4 // idle ones per gateway
	// maxLoadConnections bounds the idle connections to all gateways.
	maxLoadConnections = 1024
	// readinessInterval is the time between two readiness checks of a gateway.
	readinessInterval = 50 * time.Millisecond
)

// Load sends requests to all gateways of a site at a constant rate. Like a load balancer before them, it leaves out those that are
// not ready.
type Load struct {
	// Requests counts all requests, Failed those that failed though the gateway ran all the time.
	Requests atomic.Int64
	Failed   atomic.Int64
	// OnResponse is called after each request, by many goroutines; nil: nothing is.
	OnResponse func(took time.Duration, ok bool)

	client     *http.Client
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex
	firstFailure string
}

// StartLoad sends each gateway rate requests per second until Stop.
func (s *Site) StartLoad(rate int) *Load { return s.StartObservedLoad(rate, nil) }

// StartObservedLoad is StartLoad with a function that is called after each request, by many goroutines.
func (s *Site) StartObservedLoad(rate int, onResponse func(took time.Duration, ok bool)) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{MaxIdleConnsPerHost: loadConnections, MaxIdleConns: maxLoadConnections}
	l := &Load{
		OnResponse: onResponse,
		client:     &http.Client{Timeout: loadTimeout, Transport: transport},
		cancel:     cancel,
	}
	for _, n := range s.Nodes {
		target := &loadTarget{node: n}
		target.readyEpoch.Store(int64(n.Epoch()))
		l.goroutines.Go(func() { every(ctx, readinessInterval, target.checkReadiness) })
		l.goroutines.Go(func() {
			every(ctx, time.Second/time.Duration(rate), func() {
				if target.ready() {
					l.request(n)
				}
			})
		})
	}
	return l
}

// every calls work once per interval until ctx ends.
func every(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		work()
	}
}

// loadTarget is a gateway and whether it was ready when it was last checked.
type loadTarget struct {
	node       *Node
	readyEpoch atomic.Int64 // in which it was ready; 0: it was not
}

func (t *loadTarget) checkReadiness() {
	epoch := t.node.Epoch()
	if !t.node.Ready() {
		epoch = 0
	}
	t.readyEpoch.Store(int64(epoch))
}

// ready reports whether the gateway is up and was ready since it was last started, frozen or thawed: a client cannot distinguish
// a frozen gateway from a slow one.
func (t *loadTarget) ready() bool {
	return t.node.Up() && t.readyEpoch.Load() == int64(t.node.Epoch())
}

// request sends one request to a gateway.
func (l *Load) request(n *Node) {
	l.Requests.Add(1)
	starts := n.Starts()
	began := time.Now()
	failure := l.get(n)
	if l.OnResponse != nil {
		l.OnResponse(time.Since(began), failure == "")
	}
	if failure != "" && n.Up() && n.Starts() == starts {
		l.recordFailure(n.Name + ": " + strings.TrimSpace(failure))
	}
}

// get sends a request and returns why it failed; empty: it did not.
func (l *Load) get(n *Node) (failure string) {
	epoch := n.Epoch()
	response, err := l.client.Get("http://" + n.Web + "/")
	if err != nil {
		return err.Error()
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if err != nil {
		return err.Error()
	}
	if response.StatusCode == http.StatusOK {
		return ""
	}
	// A freeze may outlast the notice of a drain: the gateway then rejects, after it was thawed, what was sent before it.
	if response.StatusCode == http.StatusServiceUnavailable && n.Epoch() != epoch {
		return ""
	}
	return response.Status
}

func (l *Load) recordFailure(failure string) {
	l.Failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstFailure == "" {
		l.firstFailure = failure
	}
}

// Stop ends the load, waits for its last requests and returns the first failure; empty: there is none. It may be called more than
// once.
func (l *Load) Stop() string {
	l.cancel()
	l.goroutines.Wait()
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstFailure
}
