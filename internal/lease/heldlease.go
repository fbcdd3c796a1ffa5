package lease

import "time"

// MaxClockDrift is the largest assumed difference in rate between the monotonic clocks of two processes, as a fraction. Crystal
// oscillators are accurate to 0.0002 and adjtimex slews by at most 0.0005; the rest is a margin for a leader with a faulty clock.
const MaxClockDrift = 0.01

// HeldLease is the holder's own record of one lease. All times are readings of the holder's monotonic clock. The zero value is a lease
// that is not held. A HeldLease is not safe for concurrent use.
type HeldLease struct {
	token     uint64
	expiresAt time.Duration
}

// Granted records a grant. sentAt is the reading of the holder's clock when it sent the request that was granted. If the lease were
// counted from the arrival of the reply, it would expire later at the holder than at the quorum. Grants may be recorded in any order.
func (h *HeldLease) Granted(sentAt time.Duration, grant Grant) {
	drift := time.Duration(float64(grant.Length) * MaxClockDrift)
	expiresAt := sentAt + grant.Length - drift
	switch {
	case grant.Token > h.token:
		h.token, h.expiresAt = grant.Token, expiresAt
	case grant.Token == h.token:
		h.expiresAt = max(h.expiresAt, expiresAt)
	}
}

// Lost ends the lease immediately.
func (h *HeldLease) Lost() { h.expiresAt = 0 }

// Token returns the fencing token of the latest grant, and whether the lease is still held at time now.
func (h *HeldLease) Token(now time.Duration) (token uint64, held bool) {
	return h.token, h.token > 0 && now < h.expiresAt
}

// ExpiresAt returns the time on the holder's clock at which the lease ends unless it is renewed, or 0 after Lost.
func (h *HeldLease) ExpiresAt() time.Duration { return h.expiresAt }
