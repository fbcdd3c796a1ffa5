package proxy

import (
	"context"
	"net"
	"time"
)

const (
	acceptAfterStop   = 550 * time.Millisecond // connections still come for up to 0.4 s after the signal
	idleCloseInterval = 10 * time.Millisecond
	expireMargin      = 100 * time.Millisecond

	backlogWait    = 10 * time.Millisecond // with none in the backlog for so long, twice, it is empty
	maxBacklogTime = time.Second
)

type deadliner interface{ SetDeadline(t time.Time) error }

// Stop ends the front without losing a request: it goes on accepting while the front still sends, has every
// client close behind its answer, closes what is idle and waits for the rest. Shortly before ctx's deadline what is still in
// hand gets its answer as it stands, and nothing new is taken; what is being passed on goes on until ctx ends.
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

// drainBacklogs accepts what the listeners' backlogs hold, and closes them. Danger: a connection that the kernel has taken may
// carry a request, and closing the listener resets it.
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
