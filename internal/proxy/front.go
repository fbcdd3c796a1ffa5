package proxy

import (
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
)

// maxRoutings bounds how often one request is routed: its core may be retired while its body is read.
const maxRoutings = 4

// Router chooses the core of a request. Route may be called by several goroutines at once, and again for a request whose
// core was retired meanwhile. It must neither read the body nor retain or modify r.
type Router interface {
	Route(r *http.Request, from Peer) Destination
}

// Peer identifies a client connection.
type Peer struct {
	Listener string // as given to ServeAs
	Addr     netip.Addr
}

// Destination is where a request goes: to Core with Attributes or, if Core is nil, nowhere, and the other fields are the
// answer.
type Destination struct {
	Core       *Core
	Attributes balancer.Request // TimeLeft is positive
	Status     int
	Text       string
	Header     http.Header
	RetryAfter time.Duration // 0 means none
	Close      bool          // the connection is closed after the answer
}

// Front serves clients over HTTP/1.1. It reads complete requests and writes one final answer for each; its Router chooses
// the core. Its methods may be called by several goroutines at once.
type Front struct {
	router       Router
	maxBodyBytes int64
	wholeSeconds bool // of Retry-After
	conns        *clientSet
	bodies       bodyBudget

	stopping  atomic.Bool
	closing   atomic.Bool   // connections are closed after their next answer
	accepting atomic.Int32  // running calls of ServeAs
	expired   chan struct{} // closed when open requests are to be answered at once
}

// FrontOptions configure a Front.
type FrontOptions struct {
	Budget            *backend.Budget // of descriptors; client connections count against it
	BodyBytes         int64           // memory for bodies of cores without a memory quota
	MaxBodyBytes      int64           // of one body; 0 means DefaultMaxBodyBytes
	Router            Router
	ShedSilentClients bool // clients whose request heads do not arrive are closed when descriptors are short
	WholeSeconds      bool // Retry-After is written in whole seconds, rounded up, as RFC 9110 requires
}

// NewFront returns a front that serves nothing yet.
func NewFront(opt FrontOptions) *Front {
	f := &Front{router: opt.Router, maxBodyBytes: opt.MaxBodyBytes, wholeSeconds: opt.WholeSeconds, conns: newClientSet(opt.Budget, opt.ShedSilentClients),
		expired: make(chan struct{})}
	if f.maxBodyBytes <= 0 {
		f.maxBodyBytes = DefaultMaxBodyBytes
	}
	f.bodies.left.Store(opt.BodyBytes)
	return f
}

func (f *Front) closesAfterAnswer(wantsClose bool) bool {
	return wantsClose || f.stopping.Load() || f.closing.Load() || f.conns.crowded()
}

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

// Stopping reports whether Stop was called.
func (f *Front) Stopping() bool { return f.stopping.Load() }

// ConnectionCount returns the number of client connections.
func (f *Front) ConnectionCount() int { return len(f.conns.list()) }

// CloseIdle closes all connections.
func (f *Front) CloseIdle() {
	for _, k := range f.conns.list() {
		_ = k.Close()
	}
}
