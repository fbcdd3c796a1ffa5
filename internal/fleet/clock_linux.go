package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the reading of a monotonic clock that advances while the machine is suspended, unlike Go's own: a leader finds its
// lease expired after a suspension. Readings of processes on one machine are comparable.
func Clock() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil { // kernels before 2.6.39
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	}
	return time.Duration(now.Nano())
}
