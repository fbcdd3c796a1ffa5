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

const (
	anyLoopbackPort   = "127.0.0.1:0"
	maxRequestBody    = 1 << 20 // bytes that a loopback server reads
	readHeaderTimeout = 10 * time.Second
	collapseTime      = 2 * time.Second // that a collapsed server resets all connections
	drainNoticeTime   = time.Second     // in which gateways may still send to a draining server
)

// loopbackServer is a server of the loopback engine. It behaves as a server of the simulated engine: it has workers, a queue, a
// speed that a noisy neighbour reduces, a warm-up, and it collapses when it is overloaded during the warm-up.
type loopbackServer struct {
	id    string
	zone  string
	group *Group
	run   *loopbackRun

	mu               sync.Mutex // guards what follows, and id
	rng              *rand.Rand
	address          string
	httpServer       *http.Server
	served           chan struct{}   // closed when httpServer has ended
	failureMode      string          // empty: the server works
	lifetime         context.Context // ends with a failure that breaks the requests in flight
	endLifetime      context.CancelFunc
	workers          *workerPool
	startedAt        time.Duration // 0: before the run
	collapsedUntil   time.Duration
	slowdown         float64
	draining         bool
	drainPublishedAt time.Duration   // when the endpoint list first showed the drain; 0: it has not
	recentArrivals   []time.Duration // of the last second
}

// newLoopbackServer starts a server. The caller ends it with fail("").
func newLoopbackServer(run *loopbackRun, id string, g *Group, seed uint64) (*loopbackServer, error) {
	h := &loopbackServer{
		id:       id,
		zone:     g.Zone,
		group:    g,
		run:      run,
		rng:      rand.New(rand.NewPCG(seed, 0x686f7374)),
		slowdown: 1,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h, h.listen(anyLoopbackPort)
}

// listen starts the server at an address. The caller holds the lock.
func (h *loopbackServer) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("server %s: %w", h.id, err)
	}
	h.address = listener.Addr().String()
	h.lifetime, h.endLifetime = context.WithCancel(context.Background())
	h.workers = &workerPool{idleSince: make([]time.Duration, h.group.Workers)}
	h.failureMode = ""
	h.collapsedUntil = 0
	h.recentArrivals = nil
	h.draining = false
	h.drainPublishedAt = 0
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionUsedKey{}, &atomic.Bool{})
		},
	}
	served := make(chan struct{})
	h.httpServer, h.served = server, served
	go func() {
		defer close(served)
		_ = server.Serve(listener) // ends when fail closes the server
	}()
	return nil
}

// connectionUsedKey is the context key of whether a request has used the connection, an *atomic.Bool.
type connectionUsedKey struct{}

// fail injects a failure mode. The empty mode ends the server for good.
func (h *loopbackServer) fail(mode string) {
	h.mu.Lock()
	h.failureMode = mode
	var closing *http.Server
	if mode == "" || mode == "refuses" {
		closing, h.httpServer = h.httpServer, nil
	}
	if mode != "silent" && mode != "loses" {
		h.endLifetime()
	}
	served := h.served
	h.mu.Unlock()
	if closing != nil {
		_ = closing.Close()
		<-served
	}
}

// revive restarts a failed server, which then warms up. It listens at another address where it is renamed or its own address is
// taken. The previous address is empty if the server had not failed.
func (h *loopbackServer) revive(renamed bool, now time.Duration) (previous string, err error) {
	h.mu.Lock()
	mode := h.failureMode
	h.mu.Unlock()
	if mode == "" {
		return "", nil
	}
	h.fail("refuses")
	h.mu.Lock()
	defer h.mu.Unlock()
	previous = h.address
	h.startedAt = max(now, 1)
	if renamed {
		h.id += "'"
		return previous, h.listen(anyLoopbackPort)
	}
	if h.listen(h.address) == nil {
		return previous, nil
	}
	return previous, h.listen(anyLoopbackPort)
}

// speedFactor returns the fraction of its speed that the server has reached in its warm-up.
func (h *loopbackServer) speedFactor(now time.Duration) float64 {
	f := &h.run.experiment.Fleet
	age := now - h.startedAt
	if h.startedAt == 0 || age >= f.WarmUp.D() {
		return 1
	}
	return f.InitialSpeed + (1-f.InitialSpeed)*float64(age)/float64(f.WarmUp)
}

// errConnectionReset makes ServeHTTP break the connection without a response.
var errConnectionReset = errors.New("connection reset")

// ServeHTTP serves a request of the class that its path names.
func (h *loopbackServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	class := h.run.classOf(r)
	if class == nil {
		http.Error(w, "no such class", http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBody)); err != nil {
		return // an incomplete request has no effect
	}
	status, err := h.handle(r, class)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		w.WriteHeader(status)
	default:
		w.Header().Set("X-Server", h.id)
		_, _ = w.Write(h.run.bodies[class.Name])
	}
}

// serverRequest is a request at a loopback server, with what was drawn for it.
type serverRequest struct {
	*http.Request
	class       *Class
	oneWay      time.Duration // network delay
	arrivedAt   time.Duration // after the network delay
	serviceTime time.Duration // at full speed
	lost        bool          // the link loses the response
	swallowed   bool          // failure mode loses: there is no response
}

// handle runs a request and returns the status, or an error if the connection breaks. It returns when the response is due.
func (h *loopbackServer) handle(r *http.Request, class *Class) (status int, err error) {
	request := h.receive(r, class)
	if err := sleep(r.Context(), h.run.timeAt(request.arrivedAt)); err != nil {
		return 0, err
	}
	h.mu.Lock()
	status = h.admit(request.arrivedAt)
	lifetime, workers, mode := h.lifetime, h.workers, h.failureMode
	var worker chan time.Duration
	if status == 0 && mode != "silent" && mode != "resets" {
		worker = workers.acquire()
	}
	h.mu.Unlock()
	switch {
	case status == statusReset:
		return 0, errConnectionReset
	case status != 0:
		return status, sleep(r.Context(), h.run.timeAt(request.arrivedAt+request.oneWay))
	case mode == "silent":
		return 0, waitForDisconnect(r.Context(), lifetime)
	case mode == "resets":
		h.run.recordEffect(r, class, h.zone)
		return 0, errConnectionReset
	}
	finishedAt, err := h.work(request, lifetime, workers, worker)
	if err != nil {
		return 0, err
	}
	h.run.recordEffect(r, class, h.zone)
	return h.respond(request, lifetime, finishedAt)
}

// receive draws what is random about a request and records the attempt.
func (h *loopbackServer) receive(r *http.Request, class *Class) serverRequest {
	fleet := &h.run.experiment.Fleet
	sentAt := h.run.elapsed()
	crossZone := r.Header.Get(zoneHeader) != h.zone
	oneWay := fleet.CrossZoneRTT.D() / 16
	if crossZone {
		oneWay = fleet.CrossZoneRTT.D() / 2
	}
	oneWay += fleet.Link.Delay.D()
	h.mu.Lock()
	if fleet.Link.Jitter > 0 {
		oneWay += time.Duration(h.rng.ExpFloat64() * float64(fleet.Link.Jitter))
	}
	request := serverRequest{Request: r, class: class, oneWay: oneWay, arrivedAt: sentAt + oneWay}
	request.serviceTime = class.draw(h.rng)
	request.lost = h.rng.Float64() < fleet.Link.Loss
	request.swallowed = h.rng.IntN(5) != 0
	afterDrain := h.drainPublishedAt > 0 && sentAt > h.drainPublishedAt+drainNoticeTime
	id := h.id
	h.mu.Unlock()
	connected := fleet.ConnectCost > 0 && isFirstOnConnection(r.Context())
	if connected {
		request.serviceTime += fleet.ConnectCost.D()
	}
	h.run.recordAttempt(sentAt, id, crossZone, afterDrain, connected)
	return request
}

// isFirstOnConnection reports whether no earlier request has used the connection, and marks it as used.
func isFirstOnConnection(ctx context.Context) bool {
	used, ok := ctx.Value(connectionUsedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// work waits for a worker and has it run the request. A request that has begun runs to its end even if the client leaves.
func (h *loopbackServer) work(request serverRequest, lifetime context.Context, workers *workerPool, worker chan time.Duration) (finishedAt time.Duration, err error) {
	var idleSince time.Duration
	select {
	case idleSince = <-worker:
	case <-request.Context().Done():
		err = request.Context().Err()
	case <-lifetime.Done():
		err = errConnectionReset
	}
	h.mu.Lock()
	if err != nil {
		workers.abandon(worker)
		h.mu.Unlock()
		return 0, err
	}
	startedAt := max(idleSince, request.arrivedAt)
	finishedAt = startedAt + time.Duration(float64(request.serviceTime)*h.slowdown/h.speedFactor(startedAt)/h.group.speedAt(startedAt))
	h.mu.Unlock()
	err = sleep(lifetime, h.run.timeAt(finishedAt))
	h.mu.Lock()
	workers.release(finishedAt)
	h.mu.Unlock()
	if err != nil {
		return 0, errConnectionReset
	}
	return finishedAt, nil
}

// respond waits until the response is due, or breaks the connection as the failure mode and the link have it.
func (h *loopbackServer) respond(request serverRequest, lifetime context.Context, finishedAt time.Duration) (status int, err error) {
	h.mu.Lock()
	mode := h.failureMode
	h.mu.Unlock()
	switch {
	case mode == "silent", mode == "loses" && request.swallowed:
		return 0, waitForDisconnect(request.Context(), lifetime)
	case mode != "" && mode != "loses", request.lost:
		return 0, errConnectionReset
	}
	transfer := h.run.experiment.Fleet.Link.transferTime(request.class.ResponseSize)
	return http.StatusOK, sleep(request.Context(), h.run.timeAt(finishedAt+request.oneWay+transfer))
}

// statusReset is the result of admit for a connection that breaks.
const statusReset = -1

// admit counts a request and returns the status of an immediate response, statusReset, or 0 to run it. The caller holds the lock.
func (h *loopbackServer) admit(now time.Duration) int {
	h.countArrival(now)
	busy := h.group.Workers - len(h.workers.idleSince)
	h.run.recordServerRequests(now, len(h.workers.waiters)+1+busy)
	full := len(h.workers.idleSince) == 0 && len(h.workers.waiters) >= h.group.QueueLimit
	switch {
	case now < h.collapsedUntil:
		return statusReset
	case h.failureMode == "says_503", h.failureMode == "" && full:
		return http.StatusServiceUnavailable
	}
	return 0
}

// countArrival adds an arrival to the load of the last second, under which a warming server may collapse. The caller holds the lock.
func (h *loopbackServer) countArrival(now time.Duration) {
	fleet := &h.run.experiment.Fleet
	first, _ := slices.BinarySearch(h.recentArrivals, now-time.Second)
	h.recentArrivals = append(h.recentArrivals[first:], now)
	speed := h.speedFactor(now)
	if speed >= 1 || h.failureMode != "" || now < h.collapsedUntil {
		return
	}
	capacity := float64(h.group.Workers) / fleet.MeanServiceTime.D().Seconds() * speed * h.group.speedAt(now)
	load := float64(len(h.recentArrivals)) / capacity
	collapsed := load > fleet.CollapseLoad
	if collapsed {
		h.collapsedUntil = now + collapseTime
		h.endLifetime()
		h.lifetime, h.endLifetime = context.WithCancel(context.Background())
	}
	h.run.recordWarmingLoad(now, load, collapsed)
}

// waitForDisconnect blocks until the client leaves or the server's lifetime ends.
func waitForDisconnect(client, lifetime context.Context) error {
	select {
	case <-client.Done():
	case <-lifetime.Done():
	}
	return errConnectionReset
}

// sleep blocks until a time, or returns the error of a context that ends before.
func sleep(ctx context.Context, until time.Time) error {
	remaining := time.Until(until)
	if remaining <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
