package cluster

import (
	"context"
	"fmt"
	"time"
)

// awaitInterval is the time between two calls of what Await waits for.
const awaitInterval = 10 * time.Millisecond

// Await polls ok until it returns true. It returns an error that names what was awaited after timeout, and ctx's error when ctx
// ends.
func Await(ctx context.Context, what string, timeout time.Duration, ok func() bool) error {
	for end := time.Now().Add(timeout); ; {
		if ok() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("within %v never came: %s", timeout, what)
		}
		if err := sleep(ctx, awaitInterval); err != nil {
			return err
		}
	}
}

// sleep blocks for d, or until ctx ends, and then returns ctx's error.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
