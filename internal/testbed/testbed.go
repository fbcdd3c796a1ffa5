// Package testbed provides scripted peers on loopback sockets, and test helpers that wait for results and detect leaks. Only test files
// import it.
package testbed

import (
	"os"
	"runtime"
	"testing"
	"time"
)

// WaitTimeout is how long Eventually, Receive and Leaks wait before they fail the test.
const WaitTimeout = 10 * time.Second

const (
	pollInterval     = 2 * time.Millisecond
	leakPollInterval = 5 * time.Millisecond
	maxStackDump     = 1 << 20 // bytes
)

// Eventually polls ok until it returns true. After WaitTimeout it fails the test with t.Fatalf; what describes the condition in the
// message.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for %s", WaitTimeout, what)
		}
	}
}

// Receive returns the next value of ch, or the zero value if ch is closed. After WaitTimeout it fails the test with t.Fatalf; what
// describes the value in the message.
func Receive[T any](t testing.TB, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out after %v waiting for %s", WaitTimeout, what)
		panic("unreachable")
	}
}

// Leaks fails the test if, WaitTimeout after its end, the process still has more goroutines or file descriptors than at the call of Leaks.
// Cleanup functions run in reverse order, so Leaks must be called before anything that registers one. It skips the test if file
// descriptors cannot be counted.
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
				t.Fatalf("leak: goroutines grew from %d to %d, file descriptors from %d to %d\n%s", goroutines,
					runtime.NumGoroutine(), files, countDescriptors(t), stack)
			}
			time.Sleep(leakPollInterval)
		}
	})
}

// countDescriptors returns the number of open file descriptors of this process.
func countDescriptors(t testing.TB) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("file descriptors cannot be counted: ", err)
	}
	return len(entries)
}
