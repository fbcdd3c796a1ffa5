package proxy

import (
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
)

// maxRoutings limits how often a request is routed. It is routed again if its core is retired while its body is read.
const maxRoutings = 4

// Router chooses the core for a request. Route must be safe for concurrent use, and is called again for a request whose core
// was retired in the meantime. It must not read the body, and must neither retain nor modify r.
type Router interface {
	Route(r *http.Request, from Peer) Destination
}

// Peer identifies a client connection.
type Peer struct {
	Listener string // the name passed to ServeAs
	Addr     netip.Addr
}

// Destination is a Router's decision about a request. The request goes to Core with Attributes; if Core is nil, it is answered
// with the other fields.
type Destination struct {
	Core       *Core
	Attributes balancer.Request // TimeLeft must be positive
	Status     int
	Text       string
	Header     http.Header
	RetryAfter time.Duration // 0 means none
	Close      bool          // the connection is closed after the answer
}

// Front serves clients over HTTP/1.1. It reads complete requests, hands each to the core that its Router chooses and writes one
// final answer. Its methods are safe for concurrent use.
type Front struct {
	router       Router
	maxBodyBytes int64
	wholeSeconds bool // Retry-After is written in whole seconds
	conns        *clientSet
	bodies       bodyBudget // for requests to cores without a memory quota
	events       *eventLog  // nil unless the node logs requests

	stopping  atomic.Bool
	closing   atomic.Bool   // connections are closed after their next answer
	accepting atomic.Int32  // number of running calls of ServeAs
	expired   chan struct{} // closed by Stop when open requests must be answered immediately
}

// FrontOptions configure a Front.
type FrontOptions struct {
	Budget                 *backend.Budget // descriptor budget; client connections count against it
	BodyBytes              int64           // memory limit for request bodies to cores without a memory quota
	MaxBodyBytes           int64           // maximum size of one body; 0 means DefaultMaxBodyBytes
	Router                 Router
	ShedSilentClients      bool // connections whose request heads do not arrive are closed when there are too many of them
	RetryAfterWholeSeconds bool // Retry-After is written in whole seconds, rounded up, as RFC 9110 requires
}

// NewFront returns a front. Serve and ServeAs accept connections for it.
func NewFront(opt FrontOptions) *Front {
	f := &Front{router: opt.Router, maxBodyBytes: opt.MaxBodyBytes, wholeSeconds: opt.RetryAfterWholeSeconds, conns: newClientSet(opt.Budget, opt.ShedSilentClients),
		expired: make(chan struct{})}
	if f.maxBodyBytes <= 0 {
		f.maxBodyBytes = DefaultMaxBodyBytes
	}
	f.bodies.left.Store(opt.BodyBytes)
	return f
}

// closesAfterAnswer reports whether a connection must be closed after the current answer; wantsClose is the client's wish.
func (f *Front) closesAfterAnswer(wantsClose bool) bool {
	return wantsClose || f.stopping.Load() || f.closing.Load() || f.conns.crowded()
}

// hasExpired reports whether open requests must be answered immediately, since Stop's deadline is near.
func (f *Front) hasExpired() bool {
	select {
	case <-f.expired:
		return true
	default:
		return false
	}
}

// SetClosing sets whether each connection is closed after its next answer.
func (f *Front) SetClosing(on bool) { f.closing.Store(on) }

// Stopping reports whether Stop has been called.
func (f *Front) Stopping() bool { return f.stopping.Load() }

// ConnectionCount returns the number of client connections.
func (f *Front) ConnectionCount() int { return len(f.conns.list()) }

// CloseConnections closes all client connections, including active ones.
func (f *Front) CloseConnections() {
	for _, c := range f.conns.list() {
		_ = c.Close()
	}
}
