package lease

import "time"

// MaxClockDrift bounds how much faster one process's monotonic clock may run than another's, as a fraction. Crystals stay within
// 0.0002 and adjtimex slews by at most 0.0005; the rest is margin for a leader whose clock is badly off.
const MaxClockDrift = 0.01

// HeldLease is a holder's own view of one lease, counted on the holder's monotonic clock. The zero value holds nothing. It must be
// used by one goroutine at a time.
type HeldLease struct {
	token     uint64
	expiresAt time.Duration
}

// Granted records a grant. sentAt is the holder's clock when it sent the request that was granted: counted from the arrival of the
// reply, the lease would outlast the quorum's by the time that the reply took. Grants may be recorded in any order.
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

// Lost ends the lease at once.
func (h *HeldLease) Lost() { h.expiresAt = 0 }

// Token returns the fencing token of the last grant, and whether the lease is still held at now.
func (h *HeldLease) Token(now time.Duration) (token uint64, held bool) {
	return h.token, h.token > 0 && now < h.expiresAt
}

// ExpiresAt returns when the lease ends unless it is renewed, on the holder's clock; 0 after Lost.
func (h *HeldLease) ExpiresAt() time.Duration { return h.expiresAt }
