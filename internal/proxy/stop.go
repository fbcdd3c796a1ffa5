package proxy

import (
	"context"
	"net"
	"time"
)

const (
	acceptAfterStop   = 550 * time.Millisecond // new connections arrive for up to 0.4 s after SIGTERM
	idleCloseInterval = 10 * time.Millisecond  // between two checks for idle connections
	expireMargin      = 100 * time.Millisecond // open requests are answered this long before Stop's deadline

	backlogWait    = 10 * time.Millisecond // a backlog counts as empty after Accept has timed out twice, the second time after this wait
	maxBacklogTime = time.Second           // limit for draining all backlogs
)

// deadliner is a net.Listener whose Accept can time out.
type deadliner interface{ SetDeadline(t time.Time) error }

// Stop shuts the front down gracefully. It keeps accepting connections for acceptAfterStop, since clients and load balancers
// learn of the shutdown late. It closes each connection after its answer, closes idle connections and waits for the others.
// Shortly before ctx's deadline, open requests get their final answer and new ones are rejected; streamed responses continue
// until ctx ends.
func (f *Front) Stop(ctx context.Context, listeners ...net.Listener) {
	f.stopping.Store(true)
	pause(ctx, acceptAfterStop)
	f.drainBacklogs(ctx, listeners)
	if end, ok := ctx.Deadline(); ok {
		expireTimer := time.AfterFunc(time.Until(end)-expireMargin, func() {
			close(f.expired)
			f.conns.interruptReads()
		})
		defer expireTimer.Stop()
	}
	done := make(chan struct{})
	go func() {
		f.conns.awaitEmpty()
		close(done)
	}()
	for ctx.Err() == nil {
		f.conns.closeIdle(minIdle)
		select {
		case <-done:
			return
		case <-ctx.Done():
		case <-time.After(idleCloseInterval):
		}
	}
}

// drainBacklogs waits until the connections in the listeners' backlogs are accepted and then closes the listeners. Closing a
// listener resets connections in its backlog, which may already carry a request.
func (f *Front) drainBacklogs(ctx context.Context, listeners []net.Listener) {
	for _, l := range listeners {
		if d, ok := l.(deadliner); ok {
			_ = d.SetDeadline(longAgo)
		}
	}
	for end := time.Now().Add(maxBacklogTime); f.accepting.Load() > 0 && ctx.Err() == nil && time.Now().Before(end); {
		pause(ctx, time.Millisecond)
	}
	for _, l := range listeners {
		l.Close()
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
