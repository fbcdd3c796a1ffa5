package proxy

import (
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/discovery"
)

// Node is a proxy node of the platform. It has one Front and one Core and gets its endpoints from the platform's discovery
// service.
type Node struct {
	*Core
	*Front
	discovery *discovery.Client
}

// New returns a node that has no endpoints until Start is called.
func New(opt Options, pool *backend.Pool) (*Node, error) {
	n := &Node{}
	n.Front = NewFront(FrontOptions{Budget: opt.Budget, BodyBytes: opt.BodyBytes, Router: n})
	opt.BodyMemory, opt.Source = &n.bodies, n
	var err error
	n.Core, err = NewCore(opt, pool)
	n.Front.events = n.Core.events
	return n, err
}

// Start applies the cached endpoint list and starts the discovery client.
func (n *Node) Start(discoveryClient *discovery.Client, cachedList []byte) error {
	n.discovery = discoveryClient
	return discoveryClient.Start(cachedList)
}

// MoveDiscovery changes the address of the discovery service. It does nothing if addr is the current one.
func (n *Node) MoveDiscovery(addr string) {
	if n.discovery.IsAt(addr) {
		return
	}
	n.EndpointServiceMoved()
	n.discovery.Move(addr)
}

// LogStatus logs the counters of requests, attempts and calls to the discovery service, and how old the endpoint list is.
func (n *Node) LogStatus() {
	stats, list := n.Stats(), n.discovery.Stats()
	age := time.Duration(-1)
	if !list.ReceivedAt.IsZero() {
		age = time.Since(list.ReceivedAt)
	}
	slog.Info("status", "accepted", stats.Accepted, "served", stats.Served, "rejected", stats.Rejected, "failed", stats.Failed,
		"client_left", stats.ClientLeft, "attempts", stats.Sends, "retries", stats.Retries, "descriptors", n.conns.budget.Used(),
		"list_revision", list.Revision, "list_age", age, "list_calls", list.Calls, "list_updates", list.Lists, "list_failures", list.Failures)
}

// Watch starts or stops a watch of the endpoint list.
func (n *Node) Watch(on bool) { n.discovery.Watch(on) }

// Fetch fetches one full snapshot of the endpoint list.
func (n *Node) Fetch() { n.discovery.Fetch() }

// Route implements Router for the platform's protocol. All requests go to the same core; their class is in a header or in the
// path.
func (n *Node) Route(r *http.Request, _ Peer) Destination {
	id := r.Header.Get("X-Trace-Id")
	switch {
	case r.URL.Path == "/health/ready":
		if n.ready.Load() && !n.stopping.Load() {
			return Destination{Status: http.StatusOK}
		}
		return Destination{Status: http.StatusServiceUnavailable}
	case id == "":
		return Destination{Status: http.StatusBadRequest, Text: "X-Trace-Id is missing", Close: true}
	}
	return Destination{Core: n.Core, Attributes: n.attributes(r, id)}
}

// attributes returns the balancer's view of a request with the given trace ID.
func (n *Node) attributes(r *http.Request, id string) balancer.Request {
	h := r.Header
	attrs := balancer.Request{ID: id, Class: h.Get("X-Qos"), Tenant: h.Get("X-Customer"), Retry: h.Get("X-Second-Try") == "1"}
	if attrs.Class == "" {
		attrs.Class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	}
	if r.URL.RawQuery != "" {
		attrs.Key = r.URL.Query().Get("obj")
	}
	if us, err := strconv.ParseInt(h.Get("X-Size-Hint"), 10, 64); err == nil && us > 0 && us < 1<<40 {
		attrs.Work = time.Duration(us) * time.Microsecond
	}
	attrs.TimeLeft = n.Deadline(attrs.Class)
	if ms, err := strconv.ParseInt(h.Get("X-Expires-In-Ms"), 10, 64); err == nil && ms > 0 && ms < int64(attrs.TimeLeft/time.Millisecond) {
		attrs.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	return attrs
}

// Close stops discovery, cancels all attempts and closes the client connections.
func (n *Node) Close() {
	n.cancel()
	if n.discovery != nil {
		n.discovery.Stop()
	}
	n.Core.Close()
	n.CloseConnections()
}
