// What the module is told where something else says which requests may start. It decides nothing here: it asks.

package balancer

import "time"

// Verdict is what becomes of a request that has come.
type Verdict uint8

const (
	Admit   Verdict = iota // now
	Enqueue                // until Next gives it
	Reject                 // at once
)

// Arrival is a request that has come.
type Arrival struct {
	Seq           uint64 // by which Next and Leave name it
	Class, Tenant string
	TimeLeft      time.Duration
	HighPriority  bool  // of Envoy's two routing priorities
	Size          int64 // bytes that are kept while it waits
}

// Sample is how an attempt went, told once for each: as its answer began, or as it ended without one.
type Sample struct {
	Class        string
	HighPriority bool
	Retry        bool // it was not its request's first
	SentAt       time.Duration
	Latency      time.Duration
	Result       Result
}

// Admission says which requests may start, and bounds further attempts. It is called as a Host is: from one goroutine at a
// time, and it must not call back. A Balancer that has none goes by its own estimate of an overload.
type Admission interface {
	// SetEndpoints tells how many servers are to be used.
	SetEndpoints(now time.Duration, running int)
	// Arrive decides about a request. after is, with Wait, how long it waits at the most, with Refuse, when its client may
	// come back.
	Arrive(now time.Duration, a Arrival) (v Verdict, after time.Duration)
	// Next gives a request that waited and is to start or to be refused; false where there is none now.
	Next(now time.Duration) (seq uint64, v Verdict, after time.Duration, ok bool)
	// Withdraw tells that a request that waits is given up.
	Withdraw(seq uint64)
	// Done tells that a request that started has its answer, or that its long answer has begun.
	Done(now time.Duration, high bool)
	// AttemptEnded tells how an attempt went.
	AttemptEnded(now time.Duration, s Sample)
	// MayRetry tells whether one more attempt may be made for a request that has had one; Retried that it was.
	MayRetry(now time.Duration, high bool) bool
	RetryStarted(now time.Duration, high bool)
}

// arrive asks whether a request may start.
func (b *Balancer) arrive(now time.Duration, r *request) {
	v, after := b.set.Admission.Arrive(now, Arrival{Seq: r.seq, Class: r.Class, Tenant: r.Tenant, TimeLeft: r.TimeLeft, HighPriority: r.HighPriority, Size: r.Size})
	if v == Enqueue {
		r.waits = true
		b.host.SetTimer(r.seq, after)
	} else {
		b.admit(now, r, v, after)
	}
	b.pull(now)
}

// pull starts or refuses what waited. Danger: a start that ends at once frees room for the next, without end.
func (b *Balancer) pull(now time.Duration) {
	if b.set.Admission == nil || b.pulling {
		return
	}
	b.pulling = true
	for {
		seq, v, after, ok := b.set.Admission.Next(now)
		if !ok {
			break
		}
		if r := b.bySeq[seq]; r != nil {
			r.waits = false
			b.admit(now, r, v, after)
		}
	}
	b.pulling = false
}

func (b *Balancer) admit(now time.Duration, r *request, v Verdict, after time.Duration) {
	if r.started = v == Admit; r.started {
		b.tend(now, r)
		return
	}
	r.wait = after
	b.finish(now, r)
}

// vacate tells that a request starts nothing more or has begun to stream: its room is another's.
func (b *Balancer) vacate(now time.Duration, r *request) {
	if r.waits {
		b.set.Admission.Withdraw(r.seq)
	} else if r.started {
		b.set.Admission.Done(now, r.HighPriority)
	}
	r.waits, r.started = false, false
}

// sample tells how an attempt went.
func (b *Balancer) sample(now time.Duration, r *request, n int, res Result, took time.Duration) {
	if b.set.Admission != nil {
		b.set.Admission.AttemptEnded(now, Sample{Class: r.Class, HighPriority: r.HighPriority, Retry: n > 0, SentAt: r.tries[n].sent, Latency: took, Result: res})
	}
}

// spent tells whether no further attempt may be made beside first ones.
func (b *Balancer) spent(now time.Duration, r *request) bool {
	if b.set.Admission != nil {
		return !b.set.Admission.MayRetry(now, r.HighPriority)
	}
	return b.budget < 1
}
