package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/discovery"
)

// Node is the platform's proxy node: one front and one core, with endpoints from the platform's discovery.
type Node struct {
	*Core
	*Front
	discovery *discovery.Client
}

// New returns a node. Start begins to follow the endpoint list.
func New(opt Options, pool *backend.Pool) (*Node, error) {
	n := &Node{}
	n.Front = NewFront(FrontOptions{Budget: opt.Budget, BodyBytes: opt.BodyBytes, Router: n})
	opt.Memory, opt.Source = &n.bodies, n
	var err error
	n.Core, err = NewCore(opt, pool)
	return n, err
}

// Start delivers the cached endpoint list and begins to follow discovery.
func (n *Node) Start(news *discovery.Client, known []byte) error {
	n.discovery = news
	return news.Start(known)
}

// Watch begins or ends a watch of the endpoint list.
func (n *Node) Watch(on bool) { n.discovery.Watch(on) }

// Fetch fetches one full snapshot of the endpoint list.
func (n *Node) Fetch() { n.discovery.Fetch() }

// Route implements Router for the platform's protocol: one core, with the class in a header or in the path.
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

func (n *Node) attributes(r *http.Request, id string) balancer.Request {
	h := r.Header
	q := balancer.Request{ID: id, Class: h.Get("X-Qos"), Tenant: h.Get("X-Customer"), Retry: h.Get("X-Second-Try") == "1"}
	if q.Class == "" {
		q.Class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	}
	if r.URL.RawQuery != "" {
		q.Key = r.URL.Query().Get("obj")
	}
	if us, err := strconv.ParseInt(h.Get("X-Size-Hint"), 10, 64); err == nil && us > 0 && us < 1<<40 {
		q.Work = time.Duration(us) * time.Microsecond
	}
	q.TimeLeft = n.classDeadlines[q.Class]
	if ms, err := strconv.ParseInt(h.Get("X-Expires-In-Ms"), 10, 64); err == nil && ms > 0 && ms < int64(q.TimeLeft/time.Millisecond) {
		q.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	return q
}

// Close ends the node: its discovery, attempts and client connections.
func (n *Node) Close() {
	n.cancel()
	if n.discovery != nil {
		n.discovery.Stop()
	}
	n.Core.Close()
	n.CloseIdle()
}
