package lease

import "time"

// MaxClockDrift bounds how much faster one process's monotonic clock may run than another's, as a part: the quorum may count a
// lease as over so much earlier than its holder. Crystals are within 0.0002; what slews a clock changes it by 0.0005 at
// the most (adjtimex). 0.01 leaves room for a leader on a machine whose clock is badly off.
const MaxClockDrift = 0.01

// HeldLease is how one process counts a lease that it holds, on its own monotonic clock. The zero value holds nothing.
type HeldLease struct {
	token     uint64
	expiresAt time.Duration
}

// Granted takes a grant whose request was sent at a time. Danger: counted from when the answer came, a lease lasts for
// longer here than at the quorum, by as long as the answer took.
func (h *HeldLease) Granted(sent time.Duration, g Grant) {
	until := sent + g.Length - time.Duration(float64(g.Length)*MaxClockDrift)
	if g.Token > h.token {
		h.token, h.expiresAt = g.Token, until
	} else if g.Token == h.token { // answers may come in another order than they were asked for
		h.expiresAt = max(h.expiresAt, until)
	}
}

// Lost ends it.
func (h *HeldLease) Lost() { h.expiresAt = 0 }

// Token is what acts carry; false where the lease is over.
func (h *HeldLease) Token(now time.Duration) (uint64, bool) {
	return h.token, h.token > 0 && now < h.expiresAt
}

// ExpiresAt is when it is over if it is not renewed.
func (h *HeldLease) ExpiresAt() time.Duration { return h.expiresAt }

// Fence is what a receiver of a duty's acts has of one lease: the highest token it has seen. The zero value has seen none.
type Fence struct {
	Highest uint64 `json:"highest"`
}

// Admit tells whether an act with a token may be done: none that is older than the highest seen.
func (f *Fence) Admit(token uint64) bool {
	if token == 0 || token < f.Highest {
		return false
	}
	f.Highest = token
	return true
}
