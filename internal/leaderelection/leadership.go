package leaderelection

import (
	"context"
	"sync"
	"time"

	"robindrum/internal/lease"
	"robindrum/internal/quorum"
)

// Leadership is the lease under which a task runs. Its methods may be called concurrently.
type Leadership struct {
	elector *Elector

	mu   sync.Mutex
	held lease.HeldLease
}

// Token returns the fencing token for an action that begins now, and the reading of the clock at which the lease was checked. ok is
// false when the lease has expired or was lost; that is noticed also by a process that was suspended in the meantime.
func (l *Leadership) Token() (token uint64, at time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at = l.elector.opt.Now()
	token, ok = l.held.Token(at)
	if ignoreExpiry && token > 0 {
		ok = true
	}
	return token, at, ok
}

func (l *Leadership) granted(sent time.Duration, grant lease.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.Granted(sent, grant)
}

func (l *Leadership) expiresAt() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.ExpiresAt()
}

func (l *Leadership) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.Lost()
}

// lead runs a task under a granted lease and renews the lease meanwhile. It returns when the task has returned and the lease is
// given back or over.
func (e *Elector) lead(ctx context.Context, task *Task, leadership *Leadership, token uint64) {
	if e.timeToLead(task, leadership) <= 0 && !ignoreExpiry {
		return // the answer took as long as the lease lasts
	}
	taskCtx, stop := context.WithCancel(ctx)
	defer stop()
	e.setState(task, Leading, token, nil)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		task.Run(taskCtx, leadership)
	}()
	lost := make(chan struct{})
	renewing := make(chan struct{})
	go func() {
		defer close(renewing)
		e.renew(taskCtx, task, leadership, token, lost)
	}()
	e.awaitEnd(ctx, task, leadership, returned, lost)
	stop()
	e.awaitReturn(task, leadership, token, returned)
	<-renewing
	e.giveBack(ctx, task, leadership, token)
}

// timeToLead returns how long a task may go on if its lease is not renewed. The task is stopped some time before the lease expires.
func (e *Elector) timeToLead(task *Task, leadership *Leadership) time.Duration {
	margin := task.Rules.Length / 10
	return leadership.expiresAt() - margin - e.opt.Now()
}

// awaitEnd waits until a task has to stop or has returned: its lease is about to expire or is lost, or ctx has ended.
func (e *Elector) awaitEnd(ctx context.Context, task *Task, leadership *Leadership, returned, lost <-chan struct{}) {
	for {
		left := e.timeToLead(task, leadership)
		if left <= 0 && !ignoreExpiry {
			return
		}
		timer := time.NewTimer(max(left, time.Millisecond))
		select {
		case <-timer.C: // the lease may have been renewed
			continue
		case <-lost:
		case <-returned:
		case <-ctx.Done():
		}
		timer.Stop()
		return
	}
}

// awaitReturn waits for a task that was asked to stop, and reports it as overdue when its lease expires first.
func (e *Elector) awaitReturn(task *Task, leadership *Leadership, token uint64, returned <-chan struct{}) {
	select {
	case <-returned:
		return
	default:
	}
	timer := time.NewTimer(max(leadership.expiresAt()-e.opt.Now(), 0))
	defer timer.Stop()
	select {
	case <-returned:
	case <-timer.C:
		e.setState(task, Overdue, token, nil)
		e.opt.Log.Error("task still running after lease expired", "task", task.Name, "token", token)
		<-returned
	}
}

// giveBack releases a lease that has not expired, so that another process may acquire it at once.
func (e *Elector) giveBack(ctx context.Context, task *Task, leadership *Leadership, token uint64) {
	_, _, valid := leadership.Token()
	leadership.lost()
	if !valid {
		return
	}
	// ctx may have ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(task.Rules.Length/2, maxReleaseTime))
	defer cancel()
	_, _, _ = e.quorum.Do(ctx, e.command(quorum.OpRelease, task, token)) // otherwise the lease expires
	e.setState(task, Waiting, 0, nil)
}

// renew renews a lease until ctx ends, or until the quorum rejects a renewal: then it closes lost.
func (e *Elector) renew(ctx context.Context, task *Task, leadership *Leadership, token uint64, lost chan<- struct{}) {
	for {
		sleep(ctx, task.Rules.Length/4, nil)
		if ctx.Err() != nil {
			return
		}
		requestCtx, cancel := context.WithTimeout(ctx, task.Rules.Length)
		result, sent, err := e.quorum.Do(requestCtx, e.command(quorum.OpRenew, task, token))
		cancel()
		if err != nil {
			continue // the lease is valid until it expires
		}
		if result.Err() != nil {
			leadership.lost()
			close(lost)
			return
		}
		leadership.granted(sent, result.Grant)
	}
}
