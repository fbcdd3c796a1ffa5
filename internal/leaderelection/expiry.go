//go:build !faultinjection

package leaderelection

// ignoreExpiry makes a leader go on after its lease has expired. Only builds with the tag faultinjection set it, to show that
// the audit of the fencing tokens detects such a leader.
const ignoreExpiry = false
