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

// Stop ends the node without losing a request: it goes on accepting while the front still sends, has every
// client close behind its answer, closes what is idle and waits for the rest, until ctx ends.
func (n *Node) Stop(ctx context.Context, l net.Listener) {
	n.stopping.Store(true)
	pause(ctx, acceptOn)
	l.Close()
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

// Close ends what the node still runs.
func (n *Node) Close() {
	n.end()
	if n.news != nil {
		n.news.Stop()
	}
	n.mu.Lock()
	for _, r := range n.requests {
		for _, a := range r.attempts {
			if a != nil {
				a.Cancel()
			}
		}
	}
	n.mu.Unlock()
	n.work.Wait()
	n.pool.Close()
	n.conns.shut(0)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
