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

// Token returns the fencing token for an action that starts now, and the reading of the clock at which the lease was checked. ok is
// false if the lease has expired or was lost. Because Token reads the clock, it also detects an expiry while the process was suspended.
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

func (l *Leadership) granted(sentAt time.Duration, grant lease.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.Granted(sentAt, grant)
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

// lead runs a task under a granted lease and renews the lease while the task runs. It returns after the task has returned and the lease
// was released, lost or has expired.
func (e *Elector) lead(ctx context.Context, task *Task, leadership *Leadership, token uint64) {
	if e.timeUntilStop(task, leadership) <= 0 && !ignoreExpiry {
		return // the reply arrived too late
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
	e.releaseLease(ctx, task, leadership, token)
}

// timeUntilStop returns how long a task may still run if its lease is not renewed. A task is stopped with a margin before its lease
// expires.
func (e *Elector) timeUntilStop(task *Task, leadership *Leadership) time.Duration {
	margin := task.Rules.Length / 10
	return leadership.expiresAt() - margin - e.opt.Now()
}

// awaitEnd waits until the task has returned or must stop: its lease is lost or about to expire, or ctx is done.
func (e *Elector) awaitEnd(ctx context.Context, task *Task, leadership *Leadership, returned, lost <-chan struct{}) {
	for {
		remaining := e.timeUntilStop(task, leadership)
		if remaining <= 0 && !ignoreExpiry {
			return
		}
		timer := time.NewTimer(max(remaining, time.Millisecond))
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

// awaitReturn waits until a task whose context was canceled has returned. It reports the task as overdue if the lease expires first.
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

// releaseLease releases a lease that has not expired, so that another process can acquire it immediately.
func (e *Elector) releaseLease(ctx context.Context, task *Task, leadership *Leadership, token uint64) {
	_, _, valid := leadership.Token()
	leadership.lost()
	if !valid {
		return
	}
	// The release must be sent even if ctx is done.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(task.Rules.Length/2, maxReleaseTime))
	defer cancel()
	_, _, _ = e.quorum.Do(ctx, e.command(quorum.OpRelease, task, token)) // if the release fails, the lease expires
	e.setState(task, Waiting, 0, nil)
}

// renew renews a lease until ctx is done. If the quorum rejects a renewal, renew closes lost and returns.
func (e *Elector) renew(ctx context.Context, task *Task, leadership *Leadership, token uint64, lost chan<- struct{}) {
	for {
		sleep(ctx, task.Rules.Length/4, nil)
		if ctx.Err() != nil {
			return
		}
		requestCtx, cancel := context.WithTimeout(ctx, task.Rules.Length)
		result, sentAt, err := e.quorum.Do(requestCtx, e.command(quorum.OpRenew, task, token))
		cancel()
		if err != nil {
			continue // retry: the lease remains valid until it expires
		}
		if result.Err() != nil {
			leadership.lost()
			close(lost)
			return
		}
		leadership.granted(sentAt, result.Grant)
	}
}
