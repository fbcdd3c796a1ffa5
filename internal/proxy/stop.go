package proxy

import (
	"context"
	"net"
	"time"
)

const (
	acceptAfterStop   = 550 * time.Millisecond // new connections arrive for up to 0.4 s after SIGTERM
	idleCloseInterval = 10 * time.Millisecond
	expireMargin      = 100 * time.Millisecond

	backlogWait    = 10 * time.Millisecond // a backlog that yields no connection for so long, twice, is empty
	maxBacklogTime = time.Second
)

type deadliner interface{ SetDeadline(t time.Time) error }

// Stop shuts the front down gracefully. It goes on accepting connections for a while, since clients and load balancers
// learn of the shutdown late, closes each connection after its answer, closes idle ones and waits for the others. Shortly
// before ctx's deadline open requests get their final answer and no new ones are accepted; streamed responses go on until
// ctx ends.
func (f *Front) Stop(ctx context.Context, listeners ...net.Listener) {
	f.stopping.Store(true)
	pause(ctx, acceptAfterStop)
	f.drainBacklogs(ctx, listeners)
	if end, ok := ctx.Deadline(); ok {
		call := time.AfterFunc(time.Until(end)-expireMargin, func() {
			close(f.expired)
			f.conns.interruptReads()
		})
		defer call.Stop()
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

// drainBacklogs has the connections in the listeners' backlogs accepted before it closes the listeners, since closing a
// listener resets connections that the kernel has established and that may carry a request.
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

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
