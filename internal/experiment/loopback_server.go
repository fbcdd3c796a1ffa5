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
	collapseTime      = 2 * time.Second // during which a collapsed server resets all connections
	drainNoticeTime   = time.Second     // during which gateways may still send to a draining server
)

// loopbackServer is a server of the loopback engine. It models the same behaviour as a server of the simulated engine: workers, a
// queue, a speed that a noisy neighbour reduces, a warm-up, and a collapse under overload during the warm-up.
type loopbackServer struct {
	id    string
	zone  string
	group *Group
	run   *loopbackRun

	mu               sync.Mutex // guards id and the fields below
	rng              *rand.Rand
	address          string
	httpServer       *http.Server
	served           chan struct{}   // closed when httpServer has stopped serving
	failureMode      string          // empty: the server works
	lifetime         context.Context // cancelled by a failure that breaks the requests in flight
	endLifetime      context.CancelFunc
	workers          *workerPool
	startedAt        time.Duration // 0: before the run
	collapsedUntil   time.Duration
	slowdown         float64
	draining         bool
	drainPublishedAt time.Duration   // when the endpoint list first showed the drain; 0: it has not
	recentArrivals   []time.Duration // of the last second
}

// newLoopbackServer starts a server. The caller has to stop it with fail("").
func newLoopbackServer(run *loopbackRun, id string, g *Group, seed uint64) (*loopbackServer, error) {
	s := &loopbackServer{
		id:       id,
		zone:     g.Zone,
		group:    g,
		run:      run,
		rng:      rand.New(rand.NewPCG(seed, 0x686f7374)),
		slowdown: 1,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.listen(anyLoopbackPort)
}

// listen starts the server at an address. The caller holds the lock.
func (s *loopbackServer) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.id, err)
	}
	s.address = listener.Addr().String()
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	s.workers = &workerPool{idleSince: make([]time.Duration, s.group.Workers)}
	s.failureMode = ""
	s.collapsedUntil = 0
	s.recentArrivals = nil
	s.draining = false
	s.drainPublishedAt = 0
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionUsedKey{}, &atomic.Bool{})
		},
	}
	served := make(chan struct{})
	s.httpServer, s.served = server, served
	go func() {
		defer close(served)
		_ = server.Serve(listener) // ends when fail closes the server
	}()
	return nil
}

// connectionUsedKey is the context key of whether a request has used the connection, an *atomic.Bool.
type connectionUsedKey struct{}

// fail injects a failure mode. The empty mode stops the server permanently.
func (s *loopbackServer) fail(mode string) {
	s.mu.Lock()
	s.failureMode = mode
	var closing *http.Server
	if mode == "" || mode == "refuses" {
		closing, s.httpServer = s.httpServer, nil
	}
	if mode != "silent" && mode != "loses" {
		s.endLifetime()
	}
	served := s.served
	s.mu.Unlock()
	if closing != nil {
		_ = closing.Close()
		<-served
	}
}

// revive restarts a failed server, which then warms up. It listens on a new address if it is renamed or its address is
// already in use. The returned previous address is empty if the server had not failed.
func (s *loopbackServer) revive(renamed bool, now time.Duration) (previous string, err error) {
	s.mu.Lock()
	mode := s.failureMode
	s.mu.Unlock()
	if mode == "" {
		return "", nil
	}
	s.fail("refuses")
	s.mu.Lock()
	defer s.mu.Unlock()
	previous = s.address
	s.startedAt = max(now, 1)
	if renamed {
		s.id += "'"
		return previous, s.listen(anyLoopbackPort)
	}
	if s.listen(s.address) == nil {
		return previous, nil
	}
	return previous, s.listen(anyLoopbackPort)
}

// speedFactor returns the fraction of its speed that the server has reached in its warm-up.
func (s *loopbackServer) speedFactor(now time.Duration) float64 {
	fleet := &s.run.experiment.Fleet
	age := now - s.startedAt
	if s.startedAt == 0 || age >= fleet.WarmUp.D() {
		return 1
	}
	return fleet.InitialSpeed + (1-fleet.InitialSpeed)*float64(age)/float64(fleet.WarmUp)
}

// errConnectionReset makes ServeHTTP break the connection without a response.
var errConnectionReset = errors.New("connection reset")

// ServeHTTP serves a request. Its path is the index of its class.
func (s *loopbackServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	class := s.run.classOf(r)
	if class == nil {
		http.Error(w, "no such class", http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBody)); err != nil {
		return // an incomplete request has no effect
	}
	status, err := s.handle(r, class)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		w.WriteHeader(status)
	default:
		w.Header().Set("X-Server", s.id)
		_, _ = w.Write(s.run.bodies[class.Name])
	}
}

// serverRequest is a request at a loopback server with the random values that were drawn for it.
type serverRequest struct {
	*http.Request
	class       *Class
	oneWay      time.Duration // network delay
	arrivedAt   time.Duration // after the network delay
	serviceTime time.Duration // at full speed
	lost        bool          // the link loses the response
	swallowed   bool          // no response is sent in failure mode loses
}

// handle runs a request and returns the status, or an error if the connection breaks. It returns when the response is due.
func (s *loopbackServer) handle(r *http.Request, class *Class) (status int, err error) {
	request := s.receive(r, class)
	if err := sleep(r.Context(), s.run.timeAt(request.arrivedAt)); err != nil {
		return 0, err
	}
	s.mu.Lock()
	status = s.admit(request.arrivedAt)
	lifetime, workers, mode := s.lifetime, s.workers, s.failureMode
	var worker chan time.Duration
	if status == 0 && mode != "silent" && mode != "resets" {
		worker = workers.acquire()
	}
	s.mu.Unlock()
	switch {
	case status == statusReset:
		return 0, errConnectionReset
	case status != 0:
		return status, sleep(r.Context(), s.run.timeAt(request.arrivedAt+request.oneWay))
	case mode == "silent":
		return 0, waitForDisconnect(r.Context(), lifetime)
	case mode == "resets":
		s.run.recordEffect(r, class, s.zone)
		return 0, errConnectionReset
	}
	finishedAt, err := s.work(request, lifetime, workers, worker)
	if err != nil {
		return 0, err
	}
	s.run.recordEffect(r, class, s.zone)
	return s.respond(request, lifetime, finishedAt)
}

// receive draws the random properties of a request and records the attempt.
func (s *loopbackServer) receive(r *http.Request, class *Class) serverRequest {
	fleet := &s.run.experiment.Fleet
	sentAt := s.run.elapsed()
	crossZone := r.Header.Get(zoneHeader) != s.zone
	oneWay := fleet.CrossZoneRTT.D() / 16
	if crossZone {
		oneWay = fleet.CrossZoneRTT.D() / 2
	}
	oneWay += fleet.Link.Delay.D()
	s.mu.Lock()
	if fleet.Link.Jitter > 0 {
		oneWay += time.Duration(s.rng.ExpFloat64() * float64(fleet.Link.Jitter))
	}
	request := serverRequest{Request: r, class: class, oneWay: oneWay, arrivedAt: sentAt + oneWay}
	request.serviceTime = class.draw(s.rng)
	request.lost = s.rng.Float64() < fleet.Link.Loss
	request.swallowed = s.rng.IntN(5) != 0
	afterDrain := s.drainPublishedAt > 0 && sentAt > s.drainPublishedAt+drainNoticeTime
	id := s.id
	s.mu.Unlock()
	newConnection := fleet.ConnectCost > 0 && isFirstOnConnection(r.Context())
	if newConnection {
		request.serviceTime += fleet.ConnectCost.D()
	}
	s.run.recordAttempt(sentAt, id, crossZone, afterDrain, newConnection)
	return request
}

// isFirstOnConnection reports whether no earlier request has used the connection, and marks the connection as used.
func isFirstOnConnection(ctx context.Context) bool {
	used, ok := ctx.Value(connectionUsedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// work waits for a worker and runs the request on it. A request that has begun runs to its end even if the client disconnects.
func (s *loopbackServer) work(request serverRequest, lifetime context.Context, workers *workerPool, worker chan time.Duration) (finishedAt time.Duration, err error) {
	var idleSince time.Duration
	select {
	case idleSince = <-worker:
	case <-request.Context().Done():
		err = request.Context().Err()
	case <-lifetime.Done():
		err = errConnectionReset
	}
	s.mu.Lock()
	if err != nil {
		workers.abandon(worker)
		s.mu.Unlock()
		return 0, err
	}
	startedAt := max(idleSince, request.arrivedAt)
	finishedAt = startedAt + time.Duration(float64(request.serviceTime)*s.slowdown/s.speedFactor(startedAt)/s.group.speedAt(startedAt))
	s.mu.Unlock()
	err = sleep(lifetime, s.run.timeAt(finishedAt))
	s.mu.Lock()
	workers.release(finishedAt)
	s.mu.Unlock()
	if err != nil {
		return 0, errConnectionReset
	}
	return finishedAt, nil
}

// respond waits until the response is due. It breaks the connection instead if the failure mode requires it or the link loses the
// response.
func (s *loopbackServer) respond(request serverRequest, lifetime context.Context, finishedAt time.Duration) (status int, err error) {
	s.mu.Lock()
	mode := s.failureMode
	s.mu.Unlock()
	switch {
	case mode == "silent", mode == "loses" && request.swallowed:
		return 0, waitForDisconnect(request.Context(), lifetime)
	case mode != "" && mode != "loses", request.lost:
		return 0, errConnectionReset
	}
	transfer := s.run.experiment.Fleet.Link.transferTime(request.class.ResponseSize)
	return http.StatusOK, sleep(request.Context(), s.run.timeAt(finishedAt+request.oneWay+transfer))
}

// statusReset is the result of admit for a connection that is broken without a response.
const statusReset = -1

// admit counts a request and returns the status of an immediate response, statusReset, or 0 to run it. The caller holds the lock.
func (s *loopbackServer) admit(now time.Duration) int {
	s.countArrival(now)
	busy := s.group.Workers - len(s.workers.idleSince)
	s.run.recordServerRequests(now, len(s.workers.waiters)+1+busy)
	full := len(s.workers.idleSince) == 0 && len(s.workers.waiters) >= s.group.QueueLimit
	switch {
	case now < s.collapsedUntil:
		return statusReset
	case s.failureMode == "says_503", s.failureMode == "" && full:
		return http.StatusServiceUnavailable
	}
	return 0
}

// countArrival adds an arrival to the load of the last second and makes a warming server collapse if the load is too high. The caller
// holds the lock.
func (s *loopbackServer) countArrival(now time.Duration) {
	fleet := &s.run.experiment.Fleet
	first, _ := slices.BinarySearch(s.recentArrivals, now-time.Second)
	s.recentArrivals = append(s.recentArrivals[first:], now)
	speed := s.speedFactor(now)
	if speed >= 1 || s.failureMode != "" || now < s.collapsedUntil {
		return
	}
	capacity := float64(s.group.Workers) / fleet.MeanServiceTime.D().Seconds() * speed * s.group.speedAt(now)
	load := float64(len(s.recentArrivals)) / capacity
	collapsed := load > fleet.CollapseLoad
	if collapsed {
		s.collapsedUntil = now + collapseTime
		s.endLifetime()
		s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	}
	s.run.recordWarmingLoad(now, load, collapsed)
}

// waitForDisconnect blocks until the client disconnects or the server's lifetime ends.
func waitForDisconnect(client, lifetime context.Context) error {
	select {
	case <-client.Done():
	case <-lifetime.Done():
	}
	return errConnectionReset
}

// sleep blocks until the given time. It returns the error of ctx if ctx ends first.
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
