package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a clock that never goes back and goes on while the machine is suspended, which Go's own does not: a holder that
// was suspended with its machine finds its lease over. Its readings compare between processes of one machine.
func Clock() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil { // kernels before 2.6.39
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return time.Duration(t.Nano())
}
