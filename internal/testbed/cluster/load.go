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
	loadConnections = 4 // idle connections per gateway
	// maxLoadConnections limits the idle connections to all gateways together.
	maxLoadConnections = 1024
	// readinessInterval is the time between two readiness checks of a gateway.
	readinessInterval = 50 * time.Millisecond
)

// Load sends requests to all gateways of a site at a constant rate. Like a load balancer in front of them, it skips gateways that are
// not ready.
type Load struct {
	// Requests counts all requests, Failed the requests that failed although the gateway was up throughout.
	Requests atomic.Int64
	Failed   atomic.Int64
	// OnResponse, which may be nil, is called after each request, from many goroutines.
	OnResponse func(took time.Duration, ok bool)

	client     *http.Client
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex
	firstFailure string
}

// StartLoad sends each gateway rate requests per second until Stop is called.
func (s *Site) StartLoad(rate int) *Load { return s.StartObservedLoad(rate, nil) }

// StartObservedLoad is like StartLoad, and calls onResponse after each request, from many goroutines.
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
	readyEpoch atomic.Int64 // the node's epoch if it was ready at the last check; 0: it was not ready
}

func (t *loadTarget) checkReadiness() {
	epoch := t.node.Epoch()
	if !t.node.Ready() {
		epoch = 0
	}
	t.readyEpoch.Store(int64(epoch))
}

// ready reports whether the gateway is up and has passed a readiness check since it was last started, frozen or thawed. An older check
// does not count, because a client cannot distinguish a frozen gateway from a slow one.
func (t *loadTarget) ready() bool {
	return t.node.Up() && t.readyEpoch.Load() == int64(t.node.Epoch())
}

// request sends one request to a gateway and counts it. A failure is not counted if the gateway was stopped or restarted meanwhile.
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

// get sends a request and describes its failure. It returns an empty string if the request succeeded.
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
	// A freeze may last longer than the notice of a drain. After it is thawed, the gateway then rejects requests sent before the freeze.
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

// Stop ends the load, waits for the last requests and describes the first failure. It returns an empty string if no request failed.
// It may be called more than once.
func (l *Load) Stop() string {
	l.cancel()
	l.goroutines.Wait()
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstFailure
}
