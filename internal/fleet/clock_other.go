//go:build !linux

package fleet

import "time"

var clockOrigin = time.Now()

// Clock returns the reading of a monotonic clock. On some systems it does not advance while the machine is suspended, so that a leader
// may act under an expired lease after a suspension. Only the fencing tokens protect against that.
func Clock() time.Duration { return time.Since(clockOrigin) }
