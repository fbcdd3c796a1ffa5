package controlplane

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// capacity limits how many streams are opened at once.
type capacity struct {
	slots   chan struct{}
	takes   time.Duration
	maxWait time.Duration // 0: unlimited
}

// SetCapacity has each stream that is opened from now on wait for one of some slots and occupy it for a time before it is read. One
// that waits longer than maxWait, if that is not 0, ends with status Unavailable. Without slots there is no limit.
func (s *Server) SetCapacity(slots int, takes, maxWait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = nil
	if slots > 0 {
		s.capacity = &capacity{slots: make(chan struct{}, slots), takes: takes, maxWait: maxWait}
	}
}

// admit blocks until a stream may be read. It returns ctx's error if ctx ends.
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
	occupied, cancel := context.WithTimeout(ctx, c.takes)
	defer cancel()
	<-occupied.Done()
	return ctx.Err()
}

// acquire blocks until there is a slot.
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
