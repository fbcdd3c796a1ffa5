package controlplane

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// capacity limits how many new streams are admitted at once.
type capacity struct {
	slots    chan struct{}
	holdTime time.Duration // how long a stream occupies a slot
	maxWait  time.Duration // 0: unlimited
}

// SetCapacity limits the streams that are opened from now on. Before a stream is read, it waits for one of the slots and occupies it for
// holdTime. A stream that waits longer than maxWait ends with status Unavailable; a maxWait of 0 is unlimited. If slots is 0, there is no
// limit.
func (s *Server) SetCapacity(slots int, holdTime, maxWait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = nil
	if slots > 0 {
		s.capacity = &capacity{slots: make(chan struct{}, slots), holdTime: holdTime, maxWait: maxWait}
	}
}

// admit blocks until a new stream may be read. It returns ctx's error if ctx ends, and status Unavailable after maxWait.
func (s *Server) admit(ctx context.Context) error {
	s.mu.Lock()
	c := s.capacity
	s.mu.Unlock()
	if c == nil {
		return nil
	}
	if err := c.acquire(ctx); err != nil {
		return err
	}
	defer func() { <-c.slots }()
	occupied, cancel := context.WithTimeout(ctx, c.holdTime)
	defer cancel()
	<-occupied.Done()
	return ctx.Err()
}

// acquire blocks until a slot is free, and occupies it.
func (c *capacity) acquire(ctx context.Context) error {
	waiting := ctx
	if c.maxWait > 0 {
		var cancel context.CancelFunc
		waiting, cancel = context.WithTimeout(ctx, c.maxWait)
		defer cancel()
	}
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-waiting.Done():
		return cmp.Or(ctx.Err(), status.Error(codes.Unavailable, "too many callers"))
	}
}
