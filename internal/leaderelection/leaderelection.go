// Package leaderelection runs leader-only tasks: tasks that at most one process of a fleet runs at a time. A task runs while its process
// holds the task's lease. The task's context is canceled before the lease expires, but safety does not depend on that: each action
// carries the lease's fencing token, and its receiver rejects a token that is lower than the highest one it has seen (see lease.Fence).
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

// maxReleaseTime is the longest time to wait for the quorum's reply when a lease is released.
const maxReleaseTime = 2 * time.Second

// Quorum applies lease commands; *quorum.Client implements it. sentAt is the reading of the Elector's clock when the successful
// attempt to send the command began.
type Quorum interface {
	Do(ctx context.Context, c quorum.Command) (r quorum.Result, sentAt time.Duration, err error)
}

// Task is a leader-only task.
type Task struct {
	// Name is the name of the task's lease.
	Name string
	// Rules are the rules of the task's lease.
	Rules lease.Rules
	// Run performs the task until ctx is done, and then must return immediately. It calls leadership.Token immediately before it sends
	// each action.
	Run func(ctx context.Context, leadership *Leadership)
}

// Options configure an Elector.
type Options struct {
	// Member identifies this process to the quorum. The Elector sets its Load.
	Member lease.Member
	// Now reads a monotonic clock.
	Now func() time.Duration
	// Log receives a message for each state change of a task.
	Log *slog.Logger
}

// Elector acquires leases and runs their tasks. Its methods may be called concurrently.
type Elector struct {
	opt    Options
	quorum Quorum

	mu       sync.Mutex
	statuses map[string]*Status // by task name
	leading  int                // number of tasks in state Leading
	wake     chan struct{}      // closed and replaced by Wake
}

// NewElector returns an Elector that sends its commands to q.
func NewElector(q Quorum, opt Options) *Elector {
	return &Elector{opt: opt, quorum: q, statuses: map[string]*Status{}, wake: make(chan struct{})}
}

// Run tries to acquire the task's lease, and runs the task whenever the lease is granted. When ctx is done, it waits for the task to
// return, releases the lease and returns. To run several tasks, call Run concurrently.
func (e *Elector) Run(ctx context.Context, task Task) {
	e.setState(&task, Candidate, 0, nil)
	for ctx.Err() == nil {
		result, sentAt, err := e.acquire(ctx, &task)
		if err == nil {
			leadership := &Leadership{elector: e}
			leadership.granted(sentAt, result.Grant)
			e.lead(ctx, &task, leadership, result.Grant.Token)
			if ctx.Err() == nil {
				e.setState(&task, Candidate, 0, nil)
			}
			continue
		}
		switch {
		case errors.Is(err, lease.ErrWaiting):
			e.setState(&task, Waiting, 0, nil)
		case errors.Is(err, quorum.ErrNoQuorum):
			e.setState(&task, NoQuorum, 0, err)
		default:
			e.setState(&task, Waiting, 0, err)
		}
		var wake <-chan struct{}
		if result.NextInLine {
			wake = e.wakeChannel()
		}
		sleep(ctx, retryDelay(task.Rules.Length, result, err), wake)
	}
}

// Wake makes the Elector immediately retry to acquire the leases for which this process is next in line. Call it when a leader may have
// released its lease.
func (e *Elector) Wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.wake)
	e.wake = make(chan struct{})
}

func (e *Elector) wakeChannel() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wake
}

// acquire sends the quorum one request for the task's lease. The result is also valid if the error is lease.ErrWaiting.
func (e *Elector) acquire(ctx context.Context, task *Task) (result quorum.Result, sentAt time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, task.Rules.Length)
	defer cancel()
	result, sentAt, err = e.quorum.Do(ctx, e.command(quorum.OpAcquire, task, 0))
	if err == nil {
		err = result.Err()
	}
	return result, sentAt, err
}

func (e *Elector) command(op quorum.Op, task *Task, token uint64) quorum.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	member := e.opt.Member
	member.Load = e.leading
	return quorum.Command{Op: op, Lease: task.Name, Rules: task.Rules, Member: member, Token: token}
}

// retryDelay returns the delay before the next request for a lease that was not granted. Delays are randomized so that candidates do
// not send their requests at the same time.
func retryDelay(length time.Duration, result quorum.Result, err error) time.Duration {
	switch {
	case !errors.Is(err, lease.ErrWaiting):
		return length/8 + rand.N(length/8)
	case result.NextInLine:
		// Retry shortly after the lease may become available.
		return min(max(result.AvailableIn+length/50, length/20), length*9/10)
	default:
		// Retry often enough to stay queued, and to detect that the candidate that was next in line has disappeared.
		return length/2 + rand.N(length*2/5)
	}
}

// sleep waits until ctx is done, the delay has passed or wake is closed. A nil wake is ignored.
func sleep(ctx context.Context, delay time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
