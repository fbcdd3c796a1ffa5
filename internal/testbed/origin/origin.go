// Package origin is a scripted server behind a gateway, on loopback: it serves HTTP/1.1 with a delay, knows when it was
// told to drain, dies and comes back, and drops repeats of keyed requests together with the others of its group.
package origin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger is what a group of origins ran together: effects by key. Its methods may be called by several goroutines.
type Ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	again int
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// run notes one run of a request and tells whether its key has run before. A keyed repeat is dropped by the group and so
// no second effect.
func (l *Ledger) run(key string, keyed bool) (repeat bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[key] > 0 && keyed {
		return true
	}
	if l.runs[key]++; l.runs[key] > 1 {
		l.again++
	}
	return false
}

// Effects is how many effects there were, and how many of them were second ones.
func (l *Ledger) Effects() (all, twice int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.runs {
		all += n
	}
	return all, l.again
}

// Origin is one server.
type Origin struct {
	Addr   string
	ledger *Ledger
	delay  atomic.Int64 // ns
	reply  atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]

	arrived  atomic.Pointer[func(r *http.Request)]
	capacity atomic.Pointer[Capacity]
	slots    atomic.Pointer[chan struct{}] // one for each worker

	mu          sync.Mutex
	server      *http.Server
	started     time.Time // zero: long ago
	worst       float64
	done        chan struct{}
	times       []time.Time // of requests, as their head came
	drained     time.Time   // since when it wants nothing new; zero: it does
	inflight    int
	maxInFlight int
}

// Capacity is what an origin can do: so many requests at once, the others wait; for a while after a Revive it takes the
// longer for each, and begins with a part of its speed.
type Capacity struct {
	Workers int
	Warm    time.Duration
	Share   float64
}

// Limit gives it a capacity, from now on.
func (o *Origin) Limit(c Capacity) {
	slots := make(chan struct{}, c.Workers)
	o.slots.Store(&slots)
	o.capacity.Store(&c)
}

// warmth is the part of its speed that it has.
func (o *Origin) warmth(c *Capacity, now time.Time) float64 {
	age := now.Sub(o.started)
	if o.started.IsZero() || age >= c.Warm {
		return 1
	}
	return c.Share + (1-c.Share)*float64(age)/float64(c.Warm)
}

// Worst is the most that it got in any second while it was cold, over what it could do in that second.
func (o *Origin) Worst() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.worst
}

// measure notes a request's load on one that is cold, and gives its warmth. The lock is held.
func (o *Origin) measure(c *Capacity, now time.Time) float64 {
	w, delay := o.warmth(c, now), time.Duration(o.delay.Load()).Seconds()
	if w < 1 && delay > 0 {
		n := 0
		for i := len(o.times) - 1; i >= 0 && now.Sub(o.times[i]) < time.Second && o.times[i].After(o.started); i-- {
			n++
		}
		o.worst = max(o.worst, float64(n)/(float64(c.Workers)/delay*w))
	}
	return w
}

// Start has one listen on loopback, at addr or, where that is empty, at a port of its own.
func Start(addr string, ledger *Ledger) (*Origin, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	o := &Origin{Addr: addr, ledger: ledger}
	return o, o.Revive()
}

// Revive has one that died listen at its address again.
func (o *Origin) Revive() error {
	l, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return fmt.Errorf("origin: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Addr = l.Addr().String()
	if !o.started.IsZero() || o.server == nil && o.done != nil { // not the first start
		o.started = time.Now()
	}
	server, done := &http.Server{Handler: o, ReadHeaderTimeout: 10 * time.Second}, make(chan struct{})
	o.server, o.done = server, done
	go func() {
		defer close(done)
		_ = server.Serve(l) // ends with Kill
	}()
	return nil
}

// Kill ends it at once: its connections break, new ones are refused.
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

// Delay is how long each answer takes from now on.
func (o *Origin) Delay(d time.Duration) { o.delay.Store(int64(d)) }

// Script has fn answer in place of the usual 200, unless it says false; nil ends that.
func (o *Origin) Script(fn func(w http.ResponseWriter, r *http.Request) bool) {
	if fn == nil {
		o.reply.Store(nil)
		return
	}
	o.reply.Store(&fn)
}

// Arrived has fn look at each request as its head comes, before anything else; it must be safe for several goroutines.
func (o *Origin) Arrived(fn func(r *http.Request)) { o.arrived.Store(&fn) }

// Drained notes since when it wants nothing new.
func (o *Origin) Drained(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drained = at
}

// Requests is how many requests came, After how many of them later than at.
func (o *Origin) Requests() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.times)
}

// After is how many requests came later than at.
func (o *Origin) After(at time.Time) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := len(o.times) - 1; i >= 0 && o.times[i].After(at); i-- {
		n++
	}
	return n
}

// Between is how many requests came later than from and no later than to.
func (o *Origin) Between(from, to time.Time) int { return o.After(from) - o.After(to) }

// Last is when the last request came; zero: none did.
func (o *Origin) Last() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.times) == 0 {
		return time.Time{}
	}
	return o.times[len(o.times)-1]
}

// Late is how many requests came more than grace after it was told to drain.
func (o *Origin) Late(grace time.Duration) int {
	o.mu.Lock()
	at := o.drained
	o.mu.Unlock()
	if at.IsZero() {
		return 0
	}
	return o.After(at.Add(grace))
}

// InFlight is how many requests it works on, Most how many it ever did at once.
func (o *Origin) InFlight() (now, most int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inflight, o.maxInFlight
}

// ServeHTTP answers 200 with the path, after the delay. What has an effect is a POST: keyed by its Idempotency-Key, or,
// where it has none, told apart by its X-Request-Id.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if fn := o.arrived.Load(); fn != nil {
		(*fn)(r)
	}
	o.mu.Lock()
	o.times = append(o.times, time.Now())
	o.inflight++
	o.maxInFlight = max(o.maxInFlight, o.inflight)
	c, warmth := o.capacity.Load(), 1.0
	if c != nil {
		warmth = o.measure(c, time.Now())
	}
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.inflight--
		o.mu.Unlock()
	}()
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, 1<<30)); err != nil {
		return // half a request does not run
	}
	if r.Method == http.MethodPost && o.ledger != nil {
		if key := r.Header.Get("Idempotency-Key"); key != "" {
			o.ledger.run("k "+key, true)
		} else if id := r.Header.Get("X-Request-Id"); id != "" {
			o.ledger.run("r "+id, false)
		}
	}
	if c != nil {
		slots := *o.slots.Load()
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-r.Context().Done():
			return
		}
	}
	if d := time.Duration(float64(o.delay.Load()) / warmth); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
	if fn := o.reply.Load(); fn != nil && (*fn)(w, r) {
		return
	}
	w.Header().Set("X-Origin", o.Addr)
	fmt.Fprintln(w, r.URL.Path)
}

// Twice is how many keys took effect more than once in several groups together.
func Twice(groups ...*Ledger) (twice int) {
	sum := map[string]int{}
	for _, l := range groups {
		l.mu.Lock()
		for key, n := range l.runs {
			sum[key] += n
		}
		l.mu.Unlock()
	}
	for _, n := range sum {
		if n > 1 {
			twice++
		}
	}
	return twice
}
