// Package origin provides scripted backend servers on loopback, called origins. An origin serves HTTP/1.1 with a configurable delay and
// capacity, can be killed and restarted, and counts the effects of requests.
package origin

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxBodySize   = 1 << 30 // bytes
	headerTimeout = 10 * time.Second
)

// Origin is a backend server. Its methods are safe for concurrent use.
type Origin struct {
	// Addr is the origin's address as host:port. It stays the same across restarts.
	Addr string

	ledger    *Ledger
	delay     atomic.Int64 // ns
	handler   atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
	onRequest atomic.Pointer[func(r *http.Request)]
	capacity  atomic.Pointer[Capacity]
	workers   atomic.Pointer[chan struct{}] // holds one element per busy worker

	mu          sync.Mutex
	server      *http.Server  // nil while the origin is killed
	done        chan struct{} // closed when the server has stopped
	restarted   time.Time     // when the origin was last restarted; zero if it never was
	maxColdLoad float64
	times       []time.Time // when the header of each request was received, in order
	drainedAt   time.Time   // zero if the origin is not drained
	inFlight    int
	maxInFlight int
}

// Start starts an origin at a loopback address, or at any free loopback address if address is empty. ledger counts the effects of its
// requests; if it is nil, they are not counted. The origin runs until Kill.
func Start(address string, ledger *Ledger) (*Origin, error) {
	o := &Origin{Addr: cmp.Or(address, "127.0.0.1:0"), ledger: ledger}
	return o, o.Restart()
}

// Restart makes a killed origin listen at its address again. It returns an error if the address is in use.
func (o *Origin) Restart() error {
	listener, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return fmt.Errorf("origin: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Addr = listener.Addr().String()
	if first := o.done == nil; !first {
		o.restarted = time.Now()
	}
	server := &http.Server{Handler: o, ReadHeaderTimeout: headerTimeout}
	done := make(chan struct{})
	o.server = server
	o.done = done
	go func() {
		defer close(done)
		_ = server.Serve(listener) // returns after Kill
	}()
	return nil
}

// Kill closes the listener and all connections, and waits until the server has stopped. It does nothing if the origin is killed already.
func (o *Origin) Kill() {
	o.mu.Lock()
	server, done := o.server, o.done
	o.server = nil
	o.mu.Unlock()
	if server != nil {
		_ = server.Close()
		<-done
	}
}

// SetDelay sets the service time of each request from now on.
func (o *Origin) SetDelay(d time.Duration) { o.delay.Store(int64(d)) }

// SetHandler sets a function that responds to requests after the delay. If it returns false, the origin sends its default response. nil
// removes the function. It must be safe for concurrent use.
func (o *Origin) SetHandler(handler func(w http.ResponseWriter, r *http.Request) bool) {
	if handler == nil {
		o.handler.Store(nil)
		return
	}
	o.handler.Store(&handler)
}

// OnRequest sets a function that is called with each request when its header has been read, before the origin does anything else with
// the request. It must be safe for concurrent use.
func (o *Origin) OnRequest(observe func(r *http.Request)) { o.onRequest.Store(&observe) }

// SetDrainedAt sets the time from which the origin should receive no new requests. The zero time means that it is not drained.
func (o *Origin) SetDrainedAt(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainedAt = at
}

// Requests returns how many requests were received.
func (o *Origin) Requests() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.times)
}

// RequestsAfter returns how many requests were received later than at.
func (o *Origin) RequestsAfter(at time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	requests := 0
	for i := len(o.times) - 1; i >= 0 && o.times[i].After(at); i-- {
		requests++
	}
	return requests
}

// RequestsBetween returns how many requests were received later than from and not later than to.
func (o *Origin) RequestsBetween(from, to time.Time) int {
	return o.RequestsAfter(from) - o.RequestsAfter(to)
}

// LastRequest returns when the last request was received, or the zero time if none was.
func (o *Origin) LastRequest() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.times) == 0 {
		return time.Time{}
	}
	return o.times[len(o.times)-1]
}

// RequestsAfterDrain returns how many requests were received more than grace after the origin was drained, or 0 if it is not drained.
func (o *Origin) RequestsAfterDrain(grace time.Duration) int {
	o.mu.Lock()
	at := o.drainedAt
	o.mu.Unlock()
	if at.IsZero() {
		return 0
	}
	return o.RequestsAfter(at.Add(grace))
}

// InFlight returns how many requests are in flight, and the maximum since the start.
func (o *Origin) InFlight() (now, most int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inFlight, o.maxInFlight
}

// ServeHTTP reads the request, waits for a worker and for the delay, and responds with the function of SetHandler or with status 200 and
// the path. It does not respond if the client disconnects before.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if observe := o.onRequest.Load(); observe != nil {
		(*observe)(r)
	}
	capacity := o.capacity.Load()
	speed := o.begin(capacity)
	defer o.end()
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodySize)); err != nil {
		return // an incomplete request has no effect
	}
	o.recordEffect(r)
	if capacity != nil {
		workers := *o.workers.Load()
		select {
		case workers <- struct{}{}:
			defer func() { <-workers }()
		case <-r.Context().Done():
			return
		}
	}
	if !wait(r.Context(), time.Duration(float64(o.delay.Load())/speed)) {
		return
	}
	if handler := o.handler.Load(); handler != nil && (*handler)(w, r) {
		return
	}
	w.Header().Set("X-Origin", o.Addr)
	fmt.Fprintln(w, r.URL.Path)
}

// begin counts a request and returns the speed at which it is served, as a fraction of the full speed.
func (o *Origin) begin(capacity *Capacity) (speed float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.times = append(o.times, time.Now())
	o.inFlight++
	o.maxInFlight = max(o.maxInFlight, o.inFlight)
	if capacity == nil {
		return 1
	}
	now := time.Now()
	speed = o.speed(capacity, now)
	o.measureLoad(capacity, speed, now)
	return speed
}

func (o *Origin) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
}

// recordEffect counts the effect of a POST request. Requests with the same Idempotency-Key header have one effect; without this header,
// each run of the same X-Request-Id counts as an effect.
func (o *Origin) recordEffect(r *http.Request) {
	if r.Method != http.MethodPost || o.ledger == nil {
		return
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		o.ledger.record("k "+key, true)
		return
	}
	if id := r.Header.Get("X-Request-Id"); id != "" {
		o.ledger.record("r "+id, false)
	}
}

// wait blocks for d, or until ctx ends, and reports whether d has passed. It does not check ctx if d is not positive.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
