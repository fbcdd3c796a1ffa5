package lease

// Fence is the state of a receiver of a lease holder's requests: the highest fencing token seen for one lease. The zero value has
// seen none. It must be used by one goroutine at a time.
type Fence struct {
	Highest uint64 `json:"highest"`
}

// Admit reports whether a request with the token may be carried out, and records the token if so. Token 0, and tokens lower than the
// highest one seen, are rejected.
func (f *Fence) Admit(token uint64) bool {
	if token == 0 || token < f.Highest {
		return false
	}
	f.Highest = token
	return true
}
