// Package testbed provides scripted peers on loopback sockets, and helpers that wait for results and find leaks. It is
// imported by test files alone.
package testbed

import (
	"os"
	"runtime"
	"testing"
	"time"
)

// WaitTimeout is how long Eventually and Receive wait before they fail the test.
const WaitTimeout = 10 * time.Second

const (
	pollInterval     = 2 * time.Millisecond
	leakPollInterval = 5 * time.Millisecond
	maxStackDump     = 1 << 20 // bytes
)

// Eventually polls ok until it returns true. It fails the test at once, naming what was awaited, when WaitTimeout has passed.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// Receive returns the next value of ch, or the zero value if ch is closed. It fails the test at once, naming what was awaited,
// when WaitTimeout has passed.
func Receive[T any](t testing.TB, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("never came: %s", what)
		panic("unreachable")
	}
}

// Leaks fails the test if, WaitTimeout after its end, it has more goroutines or file descriptors than now. Cleanup functions run
// in reverse order, so call it before anything that registers one. It skips the test where descriptors cannot be counted.
func Leaks(t testing.TB) {
	t.Helper()
	goroutines := runtime.NumGoroutine()
	files := countDescriptors(t)
	t.Cleanup(func() {
		end := time.Now().Add(WaitTimeout)
		for runtime.NumGoroutine() > goroutines || countDescriptors(t) > files {
			if time.Now().After(end) {
				stack := make([]byte, maxStackDump)
				stack = stack[:runtime.Stack(stack, true)]
				t.Fatalf("left behind: goroutines %d to %d, descriptors %d to %d\n%s", goroutines,
					runtime.NumGoroutine(), files, countDescriptors(t), stack)
			}
			time.Sleep(leakPollInterval)
		}
	})
}

func countDescriptors(t testing.TB) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("descriptors cannot be counted here: ", err)
	}
	return len(entries)
}
