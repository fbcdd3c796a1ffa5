package leaderelection

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"robindrum/internal/lease"
	"robindrum/internal/quorum"
)

// fakeQuorum is a quorum in this process, with a configurable latency. It can be made unavailable.
type fakeQuorum struct {
	now func() time.Duration

	mu          sync.Mutex
	table       *lease.Table
	latency     time.Duration
	unavailable bool
}

// with calls fn with q.mu locked.
func (q *fakeQuorum) with(fn func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	fn()
}

// expiresAt returns the time at which the lease expires in the table.
func (q *fakeQuorum) expiresAt() (at time.Duration) {
	q.with(func() { at = q.table.Leases["d"].ExpiresAt })
	return at
}

func (q *fakeQuorum) Do(ctx context.Context, c quorum.Command) (r quorum.Result, sentAt time.Duration, err error) {
	sentAt = q.now()
	var latency time.Duration
	unavailable := false
	q.with(func() { latency, unavailable = q.latency, q.unavailable })
	if unavailable {
		<-ctx.Done()
		return r, 0, quorum.ErrNoQuorum
	}
	time.Sleep(latency / 2)
	q.mu.Lock()
	switch c.Op {
	case quorum.OpAcquire:
		r.Grant, err = q.table.Acquire(1, q.now(), c.Lease, c.Rules, c.Member)
	case quorum.OpRenew:
		r.Grant, err = q.table.Renew(1, q.now(), c.Lease, c.Member, c.Token)
	case quorum.OpRelease:
		err = q.table.Release(1, q.now(), c.Lease, c.Member, c.Token, "")
	}
	q.mu.Unlock()
	time.Sleep(latency - latency/2)
	if err != nil {
		r.Code, r.Text, err = "lost", err.Error(), nil
	}
	return r, sentAt, nil
}

const length = 10 * time.Second

// run calls fn while an elector runs one task, with synctest's clock. The task sends its Leadership to started when it starts, and the
// time to stopped when its context is done.
func run(t *testing.T, fn func(q *fakeQuorum, elector *Elector, started chan *Leadership, stopped chan time.Duration, shutdown func())) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		q := &fakeQuorum{table: lease.NewTable(), now: now}
		if err := q.table.BeginTerm(1, 0); err != nil {
			t.Fatal(err)
		}
		elector := NewElector(q, Options{Member: lease.Member{Name: "a", Incarnation: 1}, Now: now, Log: slog.New(slog.DiscardHandler)})
		started, stopped := make(chan *Leadership, 16), make(chan time.Duration, 16)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			elector.Run(ctx, Task{Name: "d", Rules: lease.Rules{Length: length}, Run: func(ctx context.Context, leadership *Leadership) {
				started <- leadership
				<-ctx.Done()
				stopped <- now()
			}})
		}()
		fn(q, elector, started, stopped, cancel)
		cancel()
		<-done
	})
}

func (e *Elector) state() State { return e.Status()[0].State }

// TestTaskStopsBeforeLeaseExpires tests that a lease is renewed while the quorum is available, and that the task stops before the lease
// expires when the quorum becomes unavailable.
func TestTaskStopsBeforeLeaseExpires(t *testing.T) {
	run(t, func(q *fakeQuorum, elector *Elector, started chan *Leadership, stopped chan time.Duration, _ func()) {
		leadership := <-started
		time.Sleep(10 * length)
		if _, _, ok := leadership.Token(); !ok || elector.state() != Leading || len(stopped) > 0 {
			t.Fatalf("after ten lease lengths: got state %s and valid token %v, want %s and true, without a stop", elector.state(), ok, Leading)
		}
		q.with(func() { q.unavailable = true })
		expiresAt := q.expiresAt()
		if at := <-stopped; at >= expiresAt || at < expiresAt-length/4 {
			t.Errorf("task stopped at %v, want at most %v before the lease expires at %v", at, length/4, expiresAt)
		}
		time.Sleep(length)
		if _, _, ok := leadership.Token(); ok || elector.state() == Leading {
			t.Errorf("after the lease expired: got state %s and valid token %v, want another state than %s and false", elector.state(), ok, Leading)
		}
		q.with(func() { q.unavailable = false })
		if next := <-started; next == leadership {
			t.Error("the task restarted with the earlier Leadership, want a new one")
		}
	})
}

// TestRevocationAndShutdownStopTask tests that a rejected renewal and a shutdown stop the task, and that a shutdown releases the lease.
func TestRevocationAndShutdownStopTask(t *testing.T) {
	run(t, func(q *fakeQuorum, elector *Elector, started chan *Leadership, stopped chan time.Duration, shutdown func()) {
		<-started
		at := q.now()
		q.with(func() { _ = q.table.Revoke(1, at, "d") })
		if stoppedAt := <-stopped; stoppedAt-at > length/2 {
			t.Errorf("task stopped %v after the lease was revoked, want at most %v", stoppedAt-at, length/2)
		}
		<-started
		shutdown()
		<-stopped
		synctest.Wait()
		q.with(func() {
			if holder := q.table.Leases["d"].Holder.Name; holder != "" {
				t.Errorf("lease holder after shutdown: got %q, want none", holder)
			}
		})
	})
}

// TestSlowQuorumDoesNotExtendLease tests a quorum whose replies take nearly as long as the lease: a task either does not start or stops
// before the lease expires.
func TestSlowQuorumDoesNotExtendLease(t *testing.T) {
	run(t, func(q *fakeQuorum, elector *Elector, started chan *Leadership, stopped chan time.Duration, _ func()) {
		<-started
		q.with(func() { q.latency = 9 * length / 10 })
		expiresAt := q.expiresAt()
		if at := <-stopped; at >= expiresAt {
			t.Errorf("task stopped at %v, want before the lease expires at %v", at, expiresAt)
		}
		time.Sleep(10 * length)
		for len(started) > 0 {
			leadership := <-started
			if _, at, ok := leadership.Token(); ok && at >= leadership.expiresAt() {
				t.Error("Token returned a valid token after the lease expired")
			}
		}
	})
}

// TestTaskThatDoesNotReturnIsOverdue tests that a task that does not return is reported as overdue and its token is invalid.
func TestTaskThatDoesNotReturnIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		q := &fakeQuorum{table: lease.NewTable(), now: now}
		_ = q.table.BeginTerm(1, 0)
		elector := NewElector(q, Options{Member: lease.Member{Name: "a", Incarnation: 1}, Now: now, Log: slog.New(slog.DiscardHandler)})
		ctx, cancel := context.WithCancel(t.Context())
		stuck, started, done := make(chan struct{}), make(chan *Leadership, 16), make(chan struct{})
		go func() {
			defer close(done)
			elector.Run(ctx, Task{Name: "d", Rules: lease.Rules{Length: length}, Run: func(_ context.Context, leadership *Leadership) { started <- leadership; <-stuck }})
		}()
		leadership := <-started
		q.with(func() { q.unavailable = true })
		time.Sleep(2 * length)
		if _, _, ok := leadership.Token(); ok || elector.state() != Overdue || elector.Status()[0].TimesOverdue != 1 {
			t.Errorf("got valid token %v and status %+v, want false and %s once", ok, elector.Status(), Overdue)
		}
		cancel()
		close(stuck)
		<-done
	})
}

func TestRetryDelay(t *testing.T) {
	nextInLine := func(availableIn time.Duration) quorum.Result {
		return quorum.Result{NextInLine: true, AvailableIn: availableIn}
	}
	tests := []struct {
		name     string
		result   quorum.Result
		err      error
		min, max time.Duration
	}{
		{"no quorum", quorum.Result{}, quorum.ErrNoQuorum, length / 8, length / 4},
		{"waiting, not next", quorum.Result{}, lease.ErrWaiting, length / 2, length * 9 / 10},
		{"next in line", nextInLine(length / 2), lease.ErrWaiting, length/2 + length/50, length/2 + length/50},
		{"next in line, available now", nextInLine(0), lease.ErrWaiting, length / 20, length / 20},
		{"next in line, available late", nextInLine(2 * length), lease.ErrWaiting, length * 9 / 10, length * 9 / 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if delay := retryDelay(length, test.result, test.err); delay < test.min || delay > test.max {
				t.Errorf("retryDelay: got %v, want %v to %v", delay, test.min, test.max)
			}
		})
	}
}
