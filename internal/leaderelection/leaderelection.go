// Package leaderelection runs leader-only tasks: work that at most one process of a fleet does at a time. A task runs while its
// process holds the task's lease. It begins with a fencing token, and its context ends before the lease expires. Safety does not
// depend on that: the receiver of an action rejects a token that is older than the highest it has seen (lease.Fence).
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

// maxReleaseTime bounds the wait for the quorum's answer when a lease is given back.
const maxReleaseTime = 2 * time.Second

// Quorum applies lease commands; *quorum.Client implements it. The result's sent is the reading of the Elector's clock at which the
// answered command was sent.
type Quorum interface {
	Do(ctx context.Context, c quorum.Command) (r quorum.Result, sent time.Duration, err error)
}

// Task is a leader-only task.
type Task struct {
	// Name is the name of the task's lease.
	Name string
	// Rules are the rules of the task's lease.
	Rules lease.Rules
	// Run does the work until ctx ends, and then returns at once. It calls leadership.Token just before it sends each action.
	Run func(ctx context.Context, leadership *Leadership)
}

// Options configure an Elector.
type Options struct {
	// Member is this process as the quorum knows it. The Elector sets its Load.
	Member lease.Member
	// Now reads a monotonic clock.
	Now func() time.Duration
	// Log receives each change of a task's state.
	Log *slog.Logger
}

// Elector acquires leases and runs their tasks. Its methods may be called concurrently.
type Elector struct {
	opt    Options
	quorum Quorum

	mu       sync.Mutex
	statuses map[string]*Status // by the task's name
	leading  int                // tasks in state Leading
	wake     chan struct{}      // closed and replaced by Wake
}

// NewElector returns an Elector that sends its commands to a quorum.
func NewElector(q Quorum, opt Options) *Elector {
	return &Elector{opt: opt, quorum: q, statuses: map[string]*Status{}, wake: make(chan struct{})}
}

// Run asks for a task's lease, runs the task whenever the lease is granted, and blocks until ctx ends. Then it waits for the task
// and gives the lease back. Several tasks are run by concurrent calls.
func (e *Elector) Run(ctx context.Context, task Task) {
	e.setState(&task, Candidate, 0, nil)
	for ctx.Err() == nil {
		result, sent, err := e.acquire(ctx, &task)
		if err == nil {
			leadership := &Leadership{elector: e}
			leadership.granted(sent, result.Grant)
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

// Wake makes the tasks for which this process is next in line ask again at once, as a leader may have given its lease back.
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

// acquire asks the quorum once for a task's lease. The result is meaningful also beside lease.ErrWaiting.
func (e *Elector) acquire(ctx context.Context, task *Task) (result quorum.Result, sent time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, task.Rules.Length)
	defer cancel()
	result, sent, err = e.quorum.Do(ctx, e.command(quorum.OpAcquire, task, 0))
	if err == nil {
		err = result.Err()
	}
	return result, sent, err
}

func (e *Elector) command(op quorum.Op, task *Task, token uint64) quorum.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	member := e.opt.Member
	member.Load = e.leading
	return quorum.Command{Op: op, Lease: task.Name, Rules: task.Rules, Member: member, Token: token}
}

// retryDelay returns how long to wait after a lease was not granted. Delays are random so that candidates do not ask in step.
func retryDelay(length time.Duration, result quorum.Result, err error) time.Duration {
	switch {
	case !errors.Is(err, lease.ErrWaiting):
		return length/8 + rand.N(length/8)
	case result.NextInLine:
		// Just after the lease may become available.
		return min(max(result.AvailableIn+length/50, length/20), length*9/10)
	default:
		// Often enough to keep the place in the queue, and to notice when the candidate that is next in line has disappeared.
		return length/2 + rand.N(length*2/5)
	}
}

// sleep waits until ctx ends, a delay has passed or wake is closed. A nil wake is never closed.
func sleep(ctx context.Context, delay time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
