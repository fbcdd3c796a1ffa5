// Package leaderelection runs what only one process of a fleet does at a time. A duty runs while its lease is held: it begins with a
// fencing token, and its context ends before the lease does. Safety does not rest on that: whoever receives an act of a
// duty refuses a token older than the highest it has seen (lease.Fence).
package leaderelection

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"robindrum/internal/lease"
	"robindrum/internal/quorum"
)

// Quorum is what a Runner asks; *quorum.Client is one. sent is when what was answered was sent, by the Runner's clock.
type Quorum interface {
	Do(ctx context.Context, c quorum.Command) (r quorum.Result, sent time.Duration, err error)
}

// Task is one.
type Task struct {
	Name  string // of its lease
	Rules lease.Rules
	// Run does it until ctx ends, and then returns at once. Each act asks hold for the token just before it is sent.
	Run func(ctx context.Context, hold *Leadership)
}

// Leadership is the lease that a running duty has. Its methods may be called by several goroutines at once.
type Leadership struct {
	r *Elector

	mu sync.Mutex
	h  lease.HeldLease
}

// Token is what an act that begins now carries, with the reading of the clock that it was judged by; false where the lease
// is over, also for a process that was stopped in between and goes on.
func (h *Leadership) Token() (token uint64, at time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at = h.r.opt.Now()
	token, ok = h.h.Token(at)
	return token, at, ok || ignoreExpiry && token > 0
}

func (h *Leadership) granted(sent time.Duration, g lease.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.h.Granted(sent, g)
}

func (h *Leadership) until() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.ExpiresAt()
}

func (h *Leadership) lost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.h.Lost()
}

// Options are what a Runner is told.
type Options struct {
	Member lease.Member // its Load is filled in
	Now    func() time.Duration
	Log    *slog.Logger
}

// Elector runs duties. Its methods may be called by several goroutines at once.
type Elector struct {
	opt Options
	q   Quorum

	mu     sync.Mutex
	duties map[string]*Status
	held   int
	wake   chan struct{} // closed and made anew by Wake
}

// State is where a duty stands in this process.
type State string

const (
	Candidate State = "asking"  // no word of the quorum yet
	Waiting   State = "waiting" // another process has it
	Leading   State = "holding"
	Overdue   State = "overdue" // its lease is over and it has not returned: its acts are refused by whoever receives them
	NoQuorum  State = "no quorum"
)

// Status is how a duty stands in this process.
type Status struct {
	Name         string        `json:"name"`
	State        State         `json:"state"`
	Token        uint64        `json:"token,omitempty"`
	Since        time.Duration `json:"since"`
	TimesLed     int           `json:"held"`    // how often this process had it
	TimesOverdue int           `json:"overdue"` // how often it did not end in time
	Error        string        `json:"error,omitempty"`
}

// NewElector makes one.
func NewElector(q Quorum, opt Options) *Elector {
	return &Elector{opt: opt, q: q, duties: map[string]*Status{}, wake: make(chan struct{})}
}

// Status tells of all duties, in no order.
func (r *Elector) Status() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]Status, 0, len(r.duties))
	for _, s := range r.duties {
		l = append(l, *s)
	}
	return l
}

func (r *Elector) set(d *Task, s State, token uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.duties[d.Name]
	if x == nil {
		x = &Status{Name: d.Name}
		r.duties[d.Name] = x
	}
	if x.State != s || x.Token != token {
		x.Since = r.opt.Now()
		switch s {
		case Leading:
			x.TimesLed++
		case Overdue:
			x.TimesOverdue++
		}
		r.opt.Log.Info("duty", "name", d.Name, "state", string(s), "token", token)
	}
	if x.State == Leading && s != Leading {
		r.held--
	}
	if x.State != Leading && s == Leading {
		r.held++
	}
	x.State, x.Token, x.Error = s, token, ""
	if err != nil {
		x.Error = err.Error()
	}
}

func (r *Elector) command(op quorum.Op, d *Task, token uint64) quorum.Command {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.opt.Member
	m.Load = r.held
	return quorum.Command{Op: op, Lease: d.Name, Rules: d.Rules, Member: m, Token: token}
}

// Run asks for a duty, and runs it whenever it is granted, until ctx ends; then it gives the lease back.
func (r *Elector) Run(ctx context.Context, d Task) {
	r.set(&d, Candidate, 0, nil)
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, d.Rules.Length)
		res, sent, err := r.q.Do(one, r.command(quorum.OpAcquire, &d, 0))
		cancel()
		if err == nil {
			err = res.Err()
		}
		length := d.Rules.Length
		again := length/8 + rand.N(length/8)
		switch {
		case err == nil:
			h := &Leadership{r: r}
			h.granted(sent, res.Grant)
			if r.hold(ctx, &d, h, res.Grant.Token); ctx.Err() == nil {
				r.set(&d, Candidate, 0, nil)
			}
			continue
		case errors.Is(err, lease.ErrWaiting):
			r.set(&d, Waiting, 0, nil)
			// Who is first asks just when it may be free. The others ask often enough to keep their places, at random, so that
			// they do not ask in step, and in case the first one is gone.
			if again = length/2 + rand.N(length*2/5); res.NextInLine {
				again = min(max(res.AvailableIn+length/50, length/20), length*9/10)
			}
		case errors.Is(err, quorum.ErrNoQuorum):
			r.set(&d, NoQuorum, 0, err)
		default:
			r.set(&d, Waiting, 0, err)
		}
		var wake <-chan struct{}
		if res.NextInLine {
			wake = r.woken()
		}
		wait(ctx, again, wake)
	}
}

// Wake has those duties asked for at once that this process is first in line for: a holder may have given one back.
func (r *Elector) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.wake)
	r.wake = make(chan struct{})
}

func (r *Elector) woken() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wake
}

func wait(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	}
}

// hold runs a duty until its lease is over, and renews it meanwhile.
func (r *Elector) hold(ctx context.Context, d *Task, h *Leadership, token uint64) {
	margin := d.Rules.Length / 10
	if h.until()-margin <= r.opt.Now() && !ignoreExpiry {
		return // the answer took as long as the lease lasts
	}
	run, stop := context.WithCancel(ctx)
	defer stop()
	r.set(d, Leading, token, nil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(run, h)
	}()
	lost := make(chan struct{})
	renewing := make(chan struct{})
	go func() {
		defer close(renewing)
		r.renew(run, d, h, token, lost)
	}()
	over := false
	for !over {
		left := h.until() - margin - r.opt.Now()
		if left <= 0 && !ignoreExpiry {
			break
		}
		t := time.NewTimer(max(left, time.Millisecond))
		select {
		case <-t.C:
		case <-lost:
			over = true
		case <-ended:
			over = true
		case <-ctx.Done():
			over = true
		}
		t.Stop()
	}
	stop()
	select {
	case <-ended:
	default:
		t := time.NewTimer(max(h.until()-r.opt.Now(), 0))
		select {
		case <-ended:
		case <-t.C:
			r.set(d, Overdue, token, nil)
			r.opt.Log.Error("a duty has not ended though its lease is over; whoever receives its acts refuses them", "name", d.Name, "token", token)
			<-ended
		}
		t.Stop()
	}
	<-renewing
	_, _, left := h.Token()
	h.lost()
	if !left {
		return
	}
	// What it held is free at once for the next one. Not by ctx, which may have ended.
	one, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(d.Rules.Length/2, 2*time.Second))
	defer cancel()
	_, _, _ = r.q.Do(one, r.command(quorum.OpRelease, d, token)) // or it ends by itself
	r.set(d, Waiting, 0, nil)
}

// renew renews a lease until ctx ends or it is lost.
func (r *Elector) renew(ctx context.Context, d *Task, h *Leadership, token uint64, lost chan<- struct{}) {
	for {
		wait(ctx, d.Rules.Length/4, nil)
		if ctx.Err() != nil {
			return
		}
		one, cancel := context.WithTimeout(ctx, d.Rules.Length)
		res, sent, err := r.q.Do(one, r.command(quorum.OpRenew, d, token))
		cancel()
		if err != nil {
			continue // its time goes on
		}
		if err := res.Err(); err != nil {
			h.lost()
			close(lost)
			return
		}
		h.granted(sent, res.Grant)
	}
}
