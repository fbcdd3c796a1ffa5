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
	overdue   bool          // a failure was delivered because no line arrived in time
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
	if on && c.currentWatch != nil && c.currentWatch.overdue && !c.currentWatch.lastLine.IsZero() { // the overdue watch has received a line since
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
	watch.overdue = watch.lastLine.IsZero()
	report := watch.overdue
	c.mu.Unlock()
	if report {
		slog.Info("watch is overdue", "call", watch.id, "after", c.firstLineTimeout)
		c.deliverFailure(ctx, 0, nil)
	}
}

// lineReceived records a line of a watch and reports whether it is the first one. The first line of a watch cancels the other watch if
// there are two.
func (c *Client) lineReceived(watch *watchCall) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = watch.lastLine.IsZero()
	if first {
		close(watch.firstLine)
		switch {
		case c.overdueWatch == watch && c.currentWatch != nil:
			c.currentWatch.cancel()
			fallthrough
		case c.overdueWatch == watch:
			c.currentWatch, c.overdueWatch = watch, nil
		case c.overdueWatch != nil:
			c.overdueWatch.cancel()
			c.overdueWatch = nil
		}
	}
	watch.lastLine = time.Now()
	return first
}

// watchEnded delivers a failure for a watch that has ended, unless it was already reported as overdue without a line since, or
// ctx was cancelled by this client. reason is why it ended.
func (c *Client) watchEnded(ctx context.Context, watch *watchCall, reason error) {
	c.mu.Lock()
	if c.currentWatch == watch {
		c.currentWatch = nil
	}
	if c.overdueWatch == watch {
		c.overdueWatch = nil
	}
	report, silence := !watch.overdue || !watch.lastLine.IsZero(), time.Duration(0)
	if !watch.lastLine.IsZero() {
		silence = time.Since(watch.lastLine)
	}
	c.mu.Unlock()
	slog.Info("watch ended", "call", watch.id, "reason", reason, "silent_for", silence, "replaced", ctx.Err() != nil, "reported", report)
	if report {
		c.deliverFailure(ctx, silence, reason)
	}
}

// Reasons for the end of a watch, besides errors of the connection.
var (
	errSilent         = errors.New("no complete line within the timeout")
	errIncompleteLine = errors.New("ended within a line")
	errLineTooLong    = fmt.Errorf("a line is longer than %d bytes", maxLineBytes)
)

// readWatch reads the watch with the given ID to its end. It reports whether the watch delivered a list, and why it ended.
// watch is nil if lists are pushed.
func (c *Client) readWatch(parent context.Context, id uint64, watch *watchCall) (delivered bool, reason error) {
	ctx, cancel := context.WithCancel(parent)
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
	r := bufio.NewReaderSize(resp.Body, 4<<10)
	var line []byte
	var scanner objectScanner
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if scanner.scan(part); errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxLineBytes {
			continue
		}
		if err != nil || len(line) > maxLineBytes { // discard an incomplete line
			return delivered, endReason(ctx, line, err)
		}
		if scanner.unfinished() { // a list may span several indented lines
			continue
		}
		text := bytes.TrimSpace(line)
		if watch != nil && len(text) == 0 && !known.known { // no sign of life before the first list
			line = line[:0]
			continue
		}
		if !extend(c.silenceTimeout) {
			return delivered, errSilent
		}
		first := watch != nil && c.lineReceived(watch)
		switch {
		case len(text) > 0:
			if known, err = c.deliverLine(parent, id, text, known); err != nil {
				return delivered, err
			}
			delivered = true
		case first:
			c.deliverUnchanged(parent, id, known)
		}
		scanner = objectScanner{}
		if line = line[:0]; cap(line) > 64<<10 {
			line = nil
		}
	}
}

// endReason returns why a watch ended. line is its incomplete last line, err the error of reading further.
func endReason(ctx context.Context, line []byte, err error) error {
	switch {
	case len(line) > maxLineBytes:
		return errLineTooLong
	case ctx.Err() != nil:
		err = errSilent
	}
	if len(line) > 0 {
		return fmt.Errorf("%w of %d bytes so far: %w", errIncompleteLine, len(line), err)
	}
	return err
}
