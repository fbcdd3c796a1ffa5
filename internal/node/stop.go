package node

import (
	"context"
	"net"
	"time"
)

const (
	acceptOn = 550 * time.Millisecond // connections still come for up to 0.4 s after the signal
	shutGap  = 10 * time.Millisecond
	lastCall = 100 * time.Millisecond
)

// Stop ends the front without losing a request: it goes on accepting while the front still sends, has every
// client close behind its answer, closes what is idle and waits for the rest, until ctx ends.
func (n *Front) Stop(ctx context.Context, listeners ...net.Listener) {
	n.stopping.Store(true)
	pause(ctx, acceptOn)
	for _, l := range listeners {
		l.Close()
	}
	end, _ := ctx.Deadline()
	call := time.AfterFunc(time.Until(end)-lastCall, func() {
		n.ending.Store(true)
		n.conns.interrupt()
	})
	defer call.Stop()
	done := make(chan struct{})
	go func() {
		n.conns.drained()
		close(done)
	}()
	for ctx.Err() == nil {
		n.conns.shut(settled)
		select {
		case <-done:
			return
		case <-ctx.Done():
		case <-time.After(shutGap):
		}
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
