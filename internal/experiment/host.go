package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// host is one server of the loopback engine. It does what a server of the simulated one does: workers, a queue, a speed
// that a neighbour takes a part of, a warm-up, and falling over where it is pushed too far while it is cold.
type host struct {
	id, zone string
	group    *Group
	run      *playing

	mu       sync.Mutex
	rng      *rand.Rand
	addr     string
	server   *http.Server
	done     chan struct{} // closed when server has ended
	how      string        // "": it lives
	epoch    context.Context
	end      context.CancelFunc
	workers  *workers
	since    time.Duration // it started; 0: long ago
	until    time.Duration // it has fallen over until then
	slow     float64
	draining bool
	told     time.Duration   // since when the list says so
	arrivals []time.Duration // of the last second
}

func newHost(run *playing, id string, g *Group, seed uint64) (*host, error) {
	h := &host{id: id, zone: g.Zone, group: g, run: run, rng: rand.New(rand.NewPCG(seed, 0x686f7374)), slow: 1}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h, h.listen("127.0.0.1:0")
}

// listen starts it. The lock is held.
func (h *host) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", h.id, err)
	}
	h.addr = l.Addr().String()
	h.epoch, h.end = context.WithCancel(context.Background())
	h.workers = &workers{free: make([]time.Duration, h.group.Workers)}
	h.how, h.until, h.arrivals, h.draining, h.told = "", 0, nil, false, 0
	server, done := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}, make(chan struct{})
	server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connection{}, &atomic.Bool{})
	}
	h.server, h.done = server, done
	go func() {
		defer close(done)
		_ = server.Serve(l) // ends with kill
	}()
	return nil
}

// connection is the key of whether a request has come on a connection.
type connection struct{}

// kill takes it down in a way; "" ends it for good.
func (h *host) kill(how string) {
	h.mu.Lock()
	h.how = how
	var server *http.Server
	if how == "" || how == "refuses" {
		server, h.server = h.server, nil
	}
	if how != "silent" && how != "loses" {
		h.end()
	}
	done := h.done
	h.mu.Unlock()
	if server != nil {
		_ = server.Close()
		<-done
	}
}

// revive has it start again, cold; renamed at another address, as it does where its own is taken by now. addr is empty
// where it was not down.
func (h *host) revive(renamed bool, now time.Duration) (old string, err error) {
	h.mu.Lock()
	how := h.how
	h.mu.Unlock()
	if how == "" {
		return "", nil
	}
	h.kill("refuses")
	h.mu.Lock()
	defer h.mu.Unlock()
	old = h.addr
	if h.since = max(now, 1); renamed {
		h.id += "'"
		return old, h.listen("127.0.0.1:0")
	}
	if h.listen(h.addr) == nil {
		return old, nil
	}
	return old, h.listen("127.0.0.1:0")
}

func (h *host) warmth(now time.Duration) float64 {
	f := &h.run.e.Fleet
	age := now - h.since
	if h.since == 0 || age >= f.WarmUp.D() {
		return 1
	}
	return f.Share + (1-f.Share)*float64(age)/float64(f.WarmUp)
}

// errGone has a connection break with no answer.
var errGone = errors.New("gone")

// ServeHTTP runs a request of the class that its path names.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	class := h.run.class(r)
	if class == nil {
		http.Error(w, "no such class", http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20)); err != nil {
		return // half a request does not run
	}
	answer, err := h.take(r, class)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case answer != http.StatusOK:
		w.WriteHeader(answer)
	default:
		w.Header().Set("X-Server", h.id)
		_, _ = w.Write(h.run.bodies[class.Name])
	}
}

// take runs a request and says what becomes of it. Once it is back the answer is due.
func (h *host) take(r *http.Request, class *Class) (status int, err error) {
	run, link := h.run, &h.run.e.Fleet.Link
	came := run.now()
	crossed := r.Header.Get(zoneHeader) != h.zone
	way := run.e.Fleet.Cross.D() / 16
	if crossed {
		way = run.e.Fleet.Cross.D() / 2
	}
	h.mu.Lock()
	if way += link.Delay.D(); link.Jitter > 0 {
		way += time.Duration(h.rng.ExpFloat64() * float64(link.Jitter))
	}
	took, lose, quiet := class.draw(h.rng), h.rng.Float64() < link.Loss, h.rng.IntN(5) != 0
	late := h.told > 0 && came > h.told+time.Second
	id := h.id
	h.mu.Unlock()
	connected := false
	if cost := run.e.Fleet.Connect.D(); cost > 0 {
		if used, ok := r.Context().Value(connection{}).(*atomic.Bool); ok && !used.Swap(true) {
			connected = true
			took += cost
		}
	}
	run.sent(came, id, crossed, late, connected)
	if err := sleep(r.Context(), run.at(came+way)); err != nil {
		return 0, err
	}
	h.mu.Lock()
	status = h.arrive(came + way)
	epoch, workers, how := h.epoch, h.workers, h.how
	var mine chan time.Duration
	if status == 0 && how != "silent" && how != "resets" {
		mine = workers.ask()
	}
	h.mu.Unlock()
	switch {
	case status == statusGone:
		return 0, errGone
	case status != 0:
		return status, sleep(r.Context(), run.at(came+2*way))
	case how == "silent":
		return 0, h.hang(r.Context(), epoch)
	case how == "resets":
		run.ran(r, class, h.zone)
		return 0, errGone
	}
	var free time.Duration
	select {
	case free = <-mine:
	case <-r.Context().Done(): // called off while it waited: it takes nobody's time
		err = r.Context().Err()
	case <-epoch.Done():
		err = errGone
	}
	h.mu.Lock()
	if err != nil {
		workers.leave(mine)
	}
	start := max(free, came+way)
	end := start + time.Duration(float64(took)*h.slow/h.warmth(start)/h.group.at(start))
	h.mu.Unlock()
	if err != nil {
		return 0, err
	}
	// Danger: what has begun runs to its end, whoever still waits for it.
	err = sleep(epoch, run.at(end))
	h.mu.Lock()
	workers.done(end)
	h.mu.Unlock()
	if err != nil {
		return 0, errGone
	}
	run.ran(r, class, h.zone)
	h.mu.Lock()
	how = h.how
	h.mu.Unlock()
	switch {
	case how == "silent", how == "loses" && quiet:
		return 0, h.hang(r.Context(), epoch)
	case how != "" && how != "loses", lose:
		return 0, errGone
	}
	return http.StatusOK, sleep(r.Context(), run.at(end+way+link.takes(class.Answer)))
}

// workers are those of one start of a server, and the requests that wait for one. Who is at work and who waits changes in
// one step, under the host's lock: a request that has come and not yet gone on holds no place in the queue if a worker is
// free for it.
type workers struct {
	free []time.Duration      // when each idle one became free, so that late wake-ups cost no capacity
	line []chan time.Duration // who waits, the longest first; each has room for its worker
}

// ask gives where a worker comes to: at once if one is free, otherwise behind those that wait.
func (w *workers) ask() chan time.Duration {
	mine := make(chan time.Duration, 1)
	if len(w.free) == 0 {
		w.line = append(w.line, mine)
		return mine
	}
	mine <- w.free[0]
	w.free = w.free[1:]
	return mine
}

// done hands on a worker that is free since then.
func (w *workers) done(since time.Duration) {
	if len(w.line) == 0 {
		w.free = append(w.free, since)
		return
	}
	w.line[0] <- since
	w.line = w.line[1:]
}

// leave takes back what was asked for; a worker that came meanwhile goes to the next.
func (w *workers) leave(mine chan time.Duration) {
	if i := slices.Index(w.line, mine); i >= 0 {
		w.line = slices.Delete(w.line, i, i+1)
		return
	}
	w.done(<-mine)
}

// statusGone is that the connection breaks.
const statusGone = -1

// arrive counts a request and gives what it is answered at once, 0: nothing. The lock is held.
func (h *host) arrive(now time.Duration) int {
	f := &h.run.e.Fleet
	first, _ := slices.BinarySearch(h.arrivals, now-time.Second)
	h.arrivals = append(h.arrivals[first:], now)
	w := h.warmth(now)
	load := float64(len(h.arrivals)) / (float64(h.group.Workers) / f.Service.D().Seconds() * w * h.group.at(now))
	if w < 1 && h.how == "" && now >= h.until {
		fell := load > f.Fall
		if fell {
			h.until = now + 2*time.Second
			h.end()
			h.epoch, h.end = context.WithCancel(context.Background())
		}
		h.run.cold(now, load, fell)
	}
	h.run.queue(now, len(h.workers.line)+1+h.group.Workers-len(h.workers.free))
	switch {
	case now < h.until:
		return statusGone
	case h.how == "says_503", h.how == "" && len(h.workers.free) == 0 && len(h.workers.line) >= h.group.Queue:
		return http.StatusServiceUnavailable
	}
	return 0
}

// hang says nothing until the client or the server is gone.
func (h *host) hang(client, epoch context.Context) error {
	select {
	case <-client.Done():
	case <-epoch.Done():
	}
	return errGone
}

// sleep waits until a time, or gives the context's error.
func sleep(ctx context.Context, until time.Time) error {
	d := time.Until(until)
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
