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

// Node is the platform's balancer node: one front before one core, fed by the platform's discovery.
type Node struct {
	*Core
	*Front
	discovery *discovery.Client
}

// New makes a node. Start has it watch the list of backends.
func New(opt Options, pool *backend.Pool) (*Node, error) {
	n := &Node{}
	n.Front = NewFront(FrontOptions{Budget: opt.Budget, BodyBytes: opt.BodyBytes, Router: n})
	opt.Memory, opt.Source = &n.bodies, n
	var err error
	n.Core, err = NewCore(opt, pool)
	return n, err
}

// Start delivers the list that the node remembers and begins to follow news of it.
func (n *Node) Start(news *discovery.Client, known []byte) error {
	n.discovery = news
	return news.Start(known)
}

// Watch begins to follow the list, or ends that.
func (n *Node) Watch(on bool) { n.discovery.Watch(on) }

// Fetch asks for the whole list once.
func (n *Node) Fetch() { n.discovery.Fetch() }

// Route is the platform's protocol: one core, the class in a header or the path.
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

// Close ends what the node still runs.
func (n *Node) Close() {
	n.cancel()
	if n.discovery != nil {
		n.discovery.Stop()
	}
	n.Core.Close()
	n.CloseIdle()
}
