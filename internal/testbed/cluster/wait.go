package cluster

import (
	"context"
	"fmt"
	"time"
)

// awaitInterval is the time between two calls of the condition in Await.
const awaitInterval = 10 * time.Millisecond

// Await polls ok until it returns true. After timeout it returns an error that contains what, which describes the condition. If ctx
// ends first, it returns ctx's error.
func Await(ctx context.Context, what string, timeout time.Duration, ok func() bool) error {
	for end := time.Now().Add(timeout); ; {
		if ok() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("timed out after %v waiting for %s", timeout, what)
		}
		if err := sleep(ctx, awaitInterval); err != nil {
			return err
		}
	}
}

// sleep blocks for d. It returns ctx's error if ctx ends first.
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
