package proxy

import (
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
)

// maxRoutings is how often a request may be routed: its core can be retired while its body comes.
const maxRoutings = 4

// Router says where requests go. Route may be called by several goroutines at once, and again for a request whose
// core was retired meanwhile; it neither reads the body nor keeps or changes r.
type Router interface {
	Route(r *http.Request, from Peer) Destination
}

// Peer is who asks, and where.
type Peer struct {
	Listener string // the name that ServeAs was given
	Addr     netip.Addr
}

// Destination is the core that takes a request and the words it gets, or, where Core is nil, the answer at once.
type Destination struct {
	Core       *Core
	Attributes balancer.Request // Left is positive
	Status     int
	Text       string
	Header     http.Header
	RetryAfter time.Duration // until the client may come back; 0: not said
	Close      bool          // the connection ends with that answer
}

// Front serves clients over HTTP/1.1: whole requests in, one final answer each. Which core takes a request is its
// Router's to say.
type Front struct {
	router       Router
	maxBodyBytes int64 // of a body
	wholeSeconds bool  // Retry-After
	conns        *clientSet
	bodies       bodyBudget

	stopping, closing atomic.Bool
	accepting         atomic.Int32  // how many accept
	expired           chan struct{} // closed when what is in hand is to have its answer at once
}

// FrontOptions bound a front.
type FrontOptions struct {
	Budget            *backend.Budget // of descriptors; clients' connections count against it
	BodyBytes         int64           // for bodies whose core has no Memory of its own
	MaxBodyBytes      int64           // bytes; 0: LongestBody
	Router            Router
	ShedSilentClients bool // clients whose heads are long in coming give way where descriptors are short
	WholeSeconds      bool // Retry-After is told in whole seconds, as RFC 9110 has it, rounded up
}

// NewFront makes a front.
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

// SetClosing has each connection end behind its next answer, or go on again.
func (f *Front) SetClosing(on bool) { f.closing.Store(on) }

// Stopping tells whether Stop was called.
func (f *Front) Stopping() bool { return f.stopping.Load() }

// ConnectionCount is how many clients are connected.
func (f *Front) ConnectionCount() int { return len(f.conns.list()) }

// CloseIdle closes all connections.
func (f *Front) CloseIdle() {
	for _, k := range f.conns.list() {
		_ = k.Close()
	}
}
