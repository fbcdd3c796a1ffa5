package lease

// Fence checks the fencing tokens of requests for one lease, at the receiver of the requests. It records the highest token seen. The
// zero value has seen no token. A Fence is not safe for concurrent use.
type Fence struct {
	Highest uint64 `json:"highest"`
}

// Admit reports whether a request with this token may be carried out, and if so records the token. It rejects token 0 and tokens lower
// than the highest one seen.
func (f *Fence) Admit(token uint64) bool {
	if token == 0 || token < f.Highest {
		return false
	}
	f.Highest = token
	return true
}
