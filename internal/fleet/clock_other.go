//go:build !linux

package fleet

import "time"

var clockOrigin = time.Now()

// Clock reads a monotonic clock. On some systems it stands still while the machine is suspended, so that a leader that was suspended
// may act under an expired lease; then the fencing tokens alone protect.
func Clock() time.Duration { return time.Since(clockOrigin) }
