//go:build !linux

package fleet

import "time"

var began = time.Now()

// Clock is a clock that never goes back. Danger: on some systems it stands still while the machine is suspended.
func Clock() time.Duration { return time.Since(began) }
