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

// scripted is a quorum with one lease: it says what the table says, takes a time for it, and can be away.
type scripted struct {
	now func() time.Duration

	mu    sync.Mutex
	t     *lease.Table
	takes time.Duration
	away  bool
}

// with looks at the table, or changes something.
func (s *scripted) with(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func (s *scripted) until() (at time.Duration) {
	s.with(func() { at = s.t.Leases["d"].ExpiresAt })
	return at
}

func (s *scripted) Do(ctx context.Context, c quorum.Command) (r quorum.Result, sent time.Duration, err error) {
	sent = s.now()
	var takes time.Duration
	away := false
	s.with(func() { takes, away = s.takes, s.away })
	if away {
		<-ctx.Done()
		return r, 0, quorum.ErrNoQuorum
	}
	time.Sleep(takes / 2)
	s.mu.Lock()
	switch c.Op {
	case quorum.OpAcquire:
		r.Grant, err = s.t.Acquire(1, s.now(), c.Lease, c.Rules, c.Member)
	case quorum.OpRenew:
		r.Grant, err = s.t.Renew(1, s.now(), c.Lease, c.Member, c.Token)
	case quorum.OpRelease:
		err = s.t.Release(1, s.now(), c.Lease, c.Member, c.Token, "")
	}
	s.mu.Unlock()
	time.Sleep(takes - takes/2)
	if err != nil {
		r.Code, r.Text, err = "lost", err.Error(), nil
	}
	return r, sent, nil
}

const length = 10 * time.Second

// run plays fn beside a runner in a bubble of time that stands still while all wait.
func run(t *testing.T, fn func(q *scripted, r *Elector, began chan *Leadership, ended chan time.Duration, stop func())) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		q := &scripted{t: lease.NewTable(), now: now}
		if err := q.t.BeginTerm(1, 0); err != nil {
			t.Fatal(err)
		}
		r := NewElector(q, Options{Member: lease.Member{Name: "a", Incarnation: 1}, Now: now, Log: slog.New(slog.DiscardHandler)})
		began, ended := make(chan *Leadership, 16), make(chan time.Duration, 16)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx, Task{Name: "d", Rules: lease.Rules{Length: length}, Run: func(ctx context.Context, h *Leadership) {
				began <- h
				<-ctx.Done()
				ended <- now()
			}})
		}()
		fn(q, r, began, ended, cancel)
		cancel()
		<-done
	})
}

func (r *Elector) state() State { return r.Status()[0].State }

// A duty is renewed for as long as the quorum answers, and ends before the lease does when it goes away.
func TestEndsBeforeItsLease(t *testing.T) {
	run(t, func(q *scripted, r *Elector, began chan *Leadership, ended chan time.Duration, _ func()) {
		h := <-began
		time.Sleep(10 * length)
		if _, _, ok := h.Token(); !ok || r.state() != Leading || len(ended) > 0 {
			t.Fatalf("%s after ten lengths, held %v", r.state(), ok)
		}
		q.with(func() { q.away = true })
		last := q.until()
		if at := <-ended; at >= last || at < last-length/4 {
			t.Errorf("ended at %v, the quorum gives it away at %v", at, last)
		}
		time.Sleep(length)
		if _, _, ok := h.Token(); ok || r.state() == Leading {
			t.Errorf("held %v, %s", ok, r.state())
		}
		q.with(func() { q.away = false })
		if next := <-began; next == h {
			t.Error("the same hold once more")
		}
	})
}

// A renewal that is refused ends the duty at once; and so does the process's end, which gives the lease back.
func TestLostAndStopped(t *testing.T) {
	run(t, func(q *scripted, r *Elector, began chan *Leadership, ended chan time.Duration, stop func()) {
		<-began
		at := q.now()
		q.with(func() { _ = q.t.Revoke(1, at, "d") })
		if e := <-ended; e-at > length/2 {
			t.Errorf("%v after it was revoked", e-at)
		}
		<-began
		stop()
		<-ended
		synctest.Wait()
		q.with(func() {
			if h := q.t.Leases["d"].Holder.Name; h != "" {
				t.Errorf("%s still has it", h)
			}
		})
	})
}

// An answer that takes nearly as long as the lease gives no time to act in: nothing begins, or what began has ended by then.
func TestSlowQuorum(t *testing.T) {
	run(t, func(q *scripted, r *Elector, began chan *Leadership, ended chan time.Duration, _ func()) {
		<-began
		q.with(func() { q.takes = 9 * length / 10 })
		until := q.until()
		if at := <-ended; at >= until {
			t.Errorf("ended at %v, lease until %v", at, until)
		}
		time.Sleep(10 * length)
		for len(began) > 0 {
			h := <-began
			if _, at, ok := h.Token(); ok && at >= h.until() {
				t.Error("acts beyond its lease")
			}
		}
	})
}

// A duty that does not return is reported, and its token is no good any more.
func TestOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		q := &scripted{t: lease.NewTable(), now: now}
		_ = q.t.BeginTerm(1, 0)
		r := NewElector(q, Options{Member: lease.Member{Name: "a", Incarnation: 1}, Now: now, Log: slog.New(slog.DiscardHandler)})
		ctx, cancel := context.WithCancel(t.Context())
		stuck, hold, done := make(chan struct{}), make(chan *Leadership, 16), make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx, Task{Name: "d", Rules: lease.Rules{Length: length}, Run: func(_ context.Context, h *Leadership) { hold <- h; <-stuck }})
		}()
		h := <-hold
		q.with(func() { q.away = true })
		time.Sleep(2 * length)
		if _, _, ok := h.Token(); ok || r.state() != Overdue || r.Status()[0].TimesOverdue != 1 {
			t.Errorf("held %v, %+v", ok, r.Status())
		}
		cancel()
		close(stuck)
		<-done
	})
}
