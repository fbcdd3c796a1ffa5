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

// loopbackServer is one server of the loopback engine. It does what a server of the simulated one does: workers, a queue, a speed
// that a neighbour takes a part of, a warm-up, and falling over where it is pushed too far while it is cold.
type loopbackServer struct {
	id, zone    string
	group       *Group
	loopbackRun *loopbackRun

	mu               sync.Mutex
	rng              *rand.Rand
	address          string
	httpServer       *http.Server
	served           chan struct{} // closed when server has ended
	failureMode      string        // "": it lives
	lifetime         context.Context
	endLifetime      context.CancelFunc
	workers          *workerPool
	startedAt        time.Duration // it started; 0: long ago
	collapsedUntil   time.Duration // it has fallen over until then
	slowdown         float64
	draining         bool
	drainPublishedAt time.Duration   // since when the list says so
	recentArrivals   []time.Duration // of the last second
}

func newLoopbackServer(run *loopbackRun, id string, g *Group, seed uint64) (*loopbackServer, error) {
	h := &loopbackServer{id: id, zone: g.Zone, group: g, loopbackRun: run, rng: rand.New(rand.NewPCG(seed, 0x686f7374)), slowdown: 1}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h, h.listen("127.0.0.1:0")
}

// listen starts it. The lock is held.
func (h *loopbackServer) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", h.id, err)
	}
	h.address = l.Addr().String()
	h.lifetime, h.endLifetime = context.WithCancel(context.Background())
	h.workers = &workerPool{idleSince: make([]time.Duration, h.group.Workers)}
	h.failureMode, h.collapsedUntil, h.recentArrivals, h.draining, h.drainPublishedAt = "", 0, nil, false, 0
	server, done := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}, make(chan struct{})
	server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionUsedKey{}, &atomic.Bool{})
	}
	h.httpServer, h.served = server, done
	go func() {
		defer close(done)
		_ = server.Serve(l) // ends with kill
	}()
	return nil
}

// connectionUsedKey is the key of whether a request has come on a connection.
type connectionUsedKey struct{}

// fail takes it down in a way; "" ends it for good.
func (h *loopbackServer) fail(how string) {
	h.mu.Lock()
	h.failureMode = how
	var server *http.Server
	if how == "" || how == "refuses" {
		server, h.httpServer = h.httpServer, nil
	}
	if how != "silent" && how != "loses" {
		h.endLifetime()
	}
	done := h.served
	h.mu.Unlock()
	if server != nil {
		_ = server.Close()
		<-done
	}
}

// revive has it start again, cold; renamed at another address, as it does where its own is taken by now. addr is empty
// where it was not down.
func (h *loopbackServer) revive(renamed bool, now time.Duration) (old string, err error) {
	h.mu.Lock()
	how := h.failureMode
	h.mu.Unlock()
	if how == "" {
		return "", nil
	}
	h.fail("refuses")
	h.mu.Lock()
	defer h.mu.Unlock()
	old = h.address
	if h.startedAt = max(now, 1); renamed {
		h.id += "'"
		return old, h.listen("127.0.0.1:0")
	}
	if h.listen(h.address) == nil {
		return old, nil
	}
	return old, h.listen("127.0.0.1:0")
}

func (h *loopbackServer) speedFactor(now time.Duration) float64 {
	f := &h.loopbackRun.experiment.Fleet
	age := now - h.startedAt
	if h.startedAt == 0 || age >= f.WarmUp.D() {
		return 1
	}
	return f.InitialSpeed + (1-f.InitialSpeed)*float64(age)/float64(f.WarmUp)
}

// errConnectionReset has a connection break with no answer.
var errConnectionReset = errors.New("gone")

// ServeHTTP runs a request of the class that its path names.
func (h *loopbackServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	class := h.loopbackRun.classOf(r)
	if class == nil {
		http.Error(w, "no such class", http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20)); err != nil {
		return // half a request does not run
	}
	answer, err := h.handle(r, class)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case answer != http.StatusOK:
		w.WriteHeader(answer)
	default:
		w.Header().Set("X-Server", h.id)
		_, _ = w.Write(h.loopbackRun.bodies[class.Name])
	}
}

// handle runs a request and says what becomes of it. Once it is back the answer is due.
func (h *loopbackServer) handle(r *http.Request, class *Class) (status int, err error) {
	run, link := h.loopbackRun, &h.loopbackRun.experiment.Fleet.Link
	came := run.elapsed()
	crossed := r.Header.Get(zoneHeader) != h.zone
	way := run.experiment.Fleet.CrossZoneRTT.D() / 16
	if crossed {
		way = run.experiment.Fleet.CrossZoneRTT.D() / 2
	}
	h.mu.Lock()
	if way += link.Delay.D(); link.Jitter > 0 {
		way += time.Duration(h.rng.ExpFloat64() * float64(link.Jitter))
	}
	took, lose, quiet := class.draw(h.rng), h.rng.Float64() < link.Loss, h.rng.IntN(5) != 0
	late := h.drainPublishedAt > 0 && came > h.drainPublishedAt+time.Second
	id := h.id
	h.mu.Unlock()
	connected := false
	if cost := run.experiment.Fleet.ConnectCost.D(); cost > 0 {
		if used, ok := r.Context().Value(connectionUsedKey{}).(*atomic.Bool); ok && !used.Swap(true) {
			connected = true
			took += cost
		}
	}
	run.recordAttempt(came, id, crossed, late, connected)
	if err := sleep(r.Context(), run.timeAt(came+way)); err != nil {
		return 0, err
	}
	h.mu.Lock()
	status = h.admit(came + way)
	epoch, workers, how := h.lifetime, h.workers, h.failureMode
	var mine chan time.Duration
	if status == 0 && how != "silent" && how != "resets" {
		mine = workers.acquire()
	}
	h.mu.Unlock()
	switch {
	case status == statusReset:
		return 0, errConnectionReset
	case status != 0:
		return status, sleep(r.Context(), run.timeAt(came+2*way))
	case how == "silent":
		return 0, h.waitForDisconnect(r.Context(), epoch)
	case how == "resets":
		run.recordEffect(r, class, h.zone)
		return 0, errConnectionReset
	}
	var free time.Duration
	select {
	case free = <-mine:
	case <-r.Context().Done(): // called off while it waited: it takes nobody's time
		err = r.Context().Err()
	case <-epoch.Done():
		err = errConnectionReset
	}
	h.mu.Lock()
	if err != nil {
		workers.abandon(mine)
	}
	start := max(free, came+way)
	end := start + time.Duration(float64(took)*h.slowdown/h.speedFactor(start)/h.group.speedAt(start))
	h.mu.Unlock()
	if err != nil {
		return 0, err
	}
	// Danger: what has begun runs to its end, whoever still waits for it.
	err = sleep(epoch, run.timeAt(end))
	h.mu.Lock()
	workers.release(end)
	h.mu.Unlock()
	if err != nil {
		return 0, errConnectionReset
	}
	run.recordEffect(r, class, h.zone)
	h.mu.Lock()
	how = h.failureMode
	h.mu.Unlock()
	switch {
	case how == "silent", how == "loses" && quiet:
		return 0, h.waitForDisconnect(r.Context(), epoch)
	case how != "" && how != "loses", lose:
		return 0, errConnectionReset
	}
	return http.StatusOK, sleep(r.Context(), run.timeAt(end+way+link.transferTime(class.ResponseSize)))
}

// workerPool are those of one start of a server, and the requests that wait for one. Who is at work and who waits changes in
// one step, under the host's lock: a request that has come and not yet gone on holds no place in the queue if a worker is
// free for it.
type workerPool struct {
	idleSince []time.Duration      // when each idle one became free, so that late wake-ups cost no capacity
	waiters   []chan time.Duration // who waits, the longest first; each has room for its worker
}

// acquire gives where a worker comes to: at once if one is free, otherwise behind those that wait.
func (w *workerPool) acquire() chan time.Duration {
	mine := make(chan time.Duration, 1)
	if len(w.idleSince) == 0 {
		w.waiters = append(w.waiters, mine)
		return mine
	}
	mine <- w.idleSince[0]
	w.idleSince = w.idleSince[1:]
	return mine
}

// release hands on a worker that is free since then.
func (w *workerPool) release(since time.Duration) {
	if len(w.waiters) == 0 {
		w.idleSince = append(w.idleSince, since)
		return
	}
	w.waiters[0] <- since
	w.waiters = w.waiters[1:]
}

// abandon takes back what was asked for; a worker that came meanwhile goes to the next.
func (w *workerPool) abandon(mine chan time.Duration) {
	if i := slices.Index(w.waiters, mine); i >= 0 {
		w.waiters = slices.Delete(w.waiters, i, i+1)
		return
	}
	w.release(<-mine)
}

// statusReset is that the connection breaks.
const statusReset = -1

// admit counts a request and gives what it is answered at once, 0: nothing. The lock is held.
func (h *loopbackServer) admit(now time.Duration) int {
	f := &h.loopbackRun.experiment.Fleet
	first, _ := slices.BinarySearch(h.recentArrivals, now-time.Second)
	h.recentArrivals = append(h.recentArrivals[first:], now)
	w := h.speedFactor(now)
	load := float64(len(h.recentArrivals)) / (float64(h.group.Workers) / f.MeanServiceTime.D().Seconds() * w * h.group.speedAt(now))
	if w < 1 && h.failureMode == "" && now >= h.collapsedUntil {
		fell := load > f.CollapseLoad
		if fell {
			h.collapsedUntil = now + 2*time.Second
			h.endLifetime()
			h.lifetime, h.endLifetime = context.WithCancel(context.Background())
		}
		h.loopbackRun.recordWarmingLoad(now, load, fell)
	}
	h.loopbackRun.recordServerRequests(now, len(h.workers.waiters)+1+h.group.Workers-len(h.workers.idleSince))
	switch {
	case now < h.collapsedUntil:
		return statusReset
	case h.failureMode == "says_503", h.failureMode == "" && len(h.workers.idleSince) == 0 && len(h.workers.waiters) >= h.group.QueueLimit:
		return http.StatusServiceUnavailable
	}
	return 0
}

// waitForDisconnect says nothing until the client or the server is gone.
func (h *loopbackServer) waitForDisconnect(client, epoch context.Context) error {
	select {
	case <-client.Done():
	case <-epoch.Done():
	}
	return errConnectionReset
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
