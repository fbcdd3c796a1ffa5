package lease

import "time"

// Drift bounds how much faster one process's monotonic clock may run than another's, as a part: the quorum may count a
// lease as over so much earlier than its holder. Crystals are within 0.0002; what slews a clock changes it by 0.0005 at
// the most (adjtimex). 0.01 leaves room for a leader on a machine whose clock is badly off.
const Drift = 0.01

// Holder is how one process counts a lease that it holds, on its own monotonic clock. The zero value holds nothing.
type Holder struct {
	token uint64
	until time.Duration
}

// Granted takes a grant whose request was sent at a time. Danger: counted from when the answer came, a lease lasts for
// longer here than at the quorum, by as long as the answer took.
func (h *Holder) Granted(sent time.Duration, g Grant) {
	until := sent + g.Length - time.Duration(float64(g.Length)*Drift)
	if g.Token > h.token {
		h.token, h.until = g.Token, until
	} else if g.Token == h.token { // answers may come in another order than they were asked for
		h.until = max(h.until, until)
	}
}

// Lost ends it.
func (h *Holder) Lost() { h.until = 0 }

// Token is what acts carry; false where the lease is over.
func (h *Holder) Token(now time.Duration) (uint64, bool) {
	return h.token, h.token > 0 && now < h.until
}

// Until is when it is over if it is not renewed.
func (h *Holder) Until() time.Duration { return h.until }

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
