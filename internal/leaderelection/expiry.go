//go:build !faultinjection

package leaderelection

// ignoreExpiry makes a leader continue after its lease has expired. Only builds with the tag faultinjection set it, to show that the
// audit of fencing tokens detects such a leader.
const ignoreExpiry = false
