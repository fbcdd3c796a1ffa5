package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"
)

// watchCall is one call that watches the list. Its fields are guarded by Client.mu.
type watchCall struct {
	id        uint64
	cancel    context.CancelFunc
	overdue   bool          // a failure was delivered since the last line, because none arrived in time or one stalled
	recovered bool          // a line arrived while it was overdue
	firstLine chan struct{} // closed when the first line arrives
	lastLine  time.Time     // when the last line arrived; zero if none has
}

// Watch starts a new watch that replaces the current one, or, if on is false, ends the current one. An overdue watch continues
// in parallel with the new one until either receives a line, because an overloaded service may still respond to it. Watch has
// no effect if lists are pushed.
func (c *Client) Watch(on bool) {
	if c.pushed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if on && c.currentWatch != nil && c.currentWatch.recovered && !c.currentWatch.overdue {
		return
	}
	previous := c.currentWatch
	if c.currentWatch = nil; previous != nil && (!on || !previous.overdue) {
		previous.cancel()
		previous = nil
	}
	if previous != nil || !on {
		if c.overdueWatch != nil {
			c.overdueWatch.cancel()
		}
		c.overdueWatch = previous
	}
	if !on || c.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.addressCtx)
	watch := &watchCall{id: c.lastID.Add(1), cancel: cancel, firstLine: make(chan struct{})}
	c.currentWatch = watch
	c.calls.Go(func() { c.reportOverdue(ctx, watch) })
	c.calls.Go(func() {
		defer cancel()
		_, reason := c.readWatch(ctx, watch.id, watch)
		c.watchEnded(ctx, watch, reason)
	})
}

// reportOverdue delivers a failure if a watch receives no line in time. The watch continues.
func (c *Client) reportOverdue(ctx context.Context, watch *watchCall) {
	timer := time.NewTimer(c.firstLineTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-watch.firstLine:
		return
	case <-timer.C:
	}
	c.mu.Lock()
	report := watch.lastLine.IsZero() && !watch.overdue
	watch.overdue = watch.overdue || report
	c.mu.Unlock()
	if report {
		slog.Info("watch is overdue", "call", watch.id, "after", c.firstLineTimeout)
		c.deliverFailure(ctx, 0, nil)
	}
}

// reportStalled delivers a failure for a watch within whose line nothing more comes, unless it is overdue already. The watch continues.
func (c *Client) reportStalled(ctx context.Context, watch *watchCall) {
	c.mu.Lock()
	report, silence := !watch.overdue, watch.silence()
	watch.overdue = true
	c.mu.Unlock()
	slog.Info("watch stalled within a line", "call", watch.id, "silent_for", silence, "reported", report)
	if report {
		c.deliverFailure(ctx, silence, errIncomplete)
	}
}

// silence returns the time since the last line, 0 if none has arrived.
func (w *watchCall) silence() time.Duration {
	if w.lastLine.IsZero() {
		return 0
	}
	return time.Since(w.lastLine)
}

// lineReceived records a line of a watch. It reports whether the line is the watch's first one, or the first one since it was overdue;
// such a line cancels the other watch if there are two.
func (c *Client) lineReceived(watch *watchCall) (answers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if watch.lastLine.IsZero() {
		close(watch.firstLine)
	}
	answers = watch.lastLine.IsZero() || watch.overdue
	watch.recovered = watch.recovered || watch.overdue
	watch.overdue = false
	if answers {
		c.cancelOther(watch)
	}
	watch.lastLine = time.Now()
	return answers
}

// cancelOther makes a watch the only one if it is the current or the overdue one. c.mu must be held.
func (c *Client) cancelOther(watch *watchCall) {
	var other *watchCall
	switch watch {
	case c.overdueWatch:
		other = c.currentWatch
	case c.currentWatch:
		other = c.overdueWatch
	default: // cancelled, or of the previous address
		return
	}
	c.currentWatch, c.overdueWatch = watch, nil
	if other != nil {
		other.cancel()
	}
}

// watchEnded delivers a failure for a watch that has ended, unless it is overdue, so that a failure was delivered already, or ctx was
// cancelled by this client. reason is why it ended.
func (c *Client) watchEnded(ctx context.Context, watch *watchCall, reason error) {
	c.mu.Lock()
	if c.currentWatch == watch {
		c.currentWatch = nil
	}
	if c.overdueWatch == watch {
		c.overdueWatch = nil
	}
	report, silence := !watch.overdue, watch.silence()
	c.mu.Unlock()
	slog.Info("watch ended", "call", watch.id, "reason", reason, "silent_for", silence, "replaced", ctx.Err() != nil, "reported", report)
	if report {
		c.deliverFailure(ctx, silence, reason)
	}
}

// Reasons for the end of a watch, besides errors of the connection.
var (
	errSilent      = errors.New("no complete line within the timeout")
	errIncomplete  = errors.New("not a whole list")
	errMoved       = errors.New("the service has another address")
	errLineTooLong = fmt.Errorf("a line is longer than %d bytes", maxLineBytes)
)

// readWatch reads the watch with the given ID to its end. It reports whether the watch delivered a list, and why it ended.
// watch is nil if lists are pushed.
func (c *Client) readWatch(parent context.Context, id uint64, watch *watchCall) (delivered bool, reason error) {
	ctx, cancel := c.readingContext(parent, watch)
	defer cancel()
	// A service behind a network partition does not close its connections, so a watch without complete lines is cancelled.
	firstTimeout := c.firstLineTimeout
	if watch != nil { // after firstLineTimeout it is overdue and continues for as long again, in parallel with the next call
		firstTimeout *= 2
	}
	expiry := time.AfterFunc(firstTimeout, cancel)
	defer func() { expiry.Stop() }()
	extend := func(d time.Duration) bool {
		if !expiry.Stop() {
			return false
		}
		expiry = time.AfterFunc(d, cancel)
		return true
	}
	resp, known, err := c.startCall(ctx, id, true)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if watch == nil && !extend(c.silenceTimeout) { // only for a pushed list does the response head count as a sign of life
		return false, errSilent
	}
	stalls := newStallDetector(resp.Body, c.stallTimeout, func(partial []byte) {
		c.deliverPartial(parent, id, partial)
		if watch == nil {
			cancel()
			return
		}
		c.reportStalled(parent, watch)
	})
	defer stalls.stop()
	r := bufio.NewReaderSize(stalls, 4<<10)
	var line []byte
	var scanner objectScanner
	answered := false // a complete line has arrived
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if scanner.scan(part); errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxLineBytes {
			continue
		}
		if err != nil || len(line) > maxLineBytes {
			c.deliverPartial(parent, id, line)
			return delivered, endReason(ctx, line, answered, err)
		}
		if scanner.unfinished() { // a list may span several indented lines
			continue
		}
		text := bytes.TrimSpace(line)
		if watch != nil && len(text) == 0 && !known.known { // no sign of life before the first list
			line = line[:0]
			stalls.lineComplete(r.Buffered())
			continue
		}
		if !extend(c.silenceTimeout) {
			return delivered, errSilent
		}
		stalls.lineComplete(r.Buffered())
		answered = true
		answers := watch != nil && c.lineReceived(watch)
		switch {
		case len(text) > 0:
			if known, err = c.deliverLine(parent, id, text, known); err != nil {
				return delivered, err
			}
			delivered = true
		case answers:
			c.deliverUnchanged(parent, id, known)
		}
		scanner = objectScanner{}
		if line = line[:0]; cap(line) > maxRetainedBytes {
			line = nil
		}
	}
}

// readingContext returns the context in which a watch is read: until parent ends or, if that is due to a move to another address, until
// the service at the previous address has had time to end the watch itself.
func (c *Client) readingContext(parent context.Context, watch *watchCall) (context.Context, context.CancelFunc) {
	if watch == nil {
		return context.WithCancel(parent)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	stop := context.AfterFunc(parent, func() {
		if !errors.Is(context.Cause(parent), errMoved) {
			cancel()
			return
		}
		timer := time.AfterFunc(previousAddressTimeout, cancel)
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// endReason returns why a watch ended. line is its incomplete last line, err the error of reading further; answered tells whether a
// complete line has arrived before.
func endReason(ctx context.Context, line []byte, answered bool, err error) error {
	switch {
	case len(line) > maxLineBytes:
		return errLineTooLong
	case ctx.Err() != nil:
		return errSilent
	case len(line) > 0 || !answered:
		return fmt.Errorf("%w, %d bytes of a line: %w", errIncomplete, len(line), err)
	}
	return err
}
