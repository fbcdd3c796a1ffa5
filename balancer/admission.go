package balancer

import "time"

// Verdict is what an Admission decides about a request.
type Verdict uint8

// The verdicts about a request.
const (
	Admit   Verdict = iota // it starts now
	Enqueue                // it waits until Admission.Next returns it
	Reject                 // it is rejected at once
)

// Arrival is a request that has arrived.
type Arrival struct {
	Seq          uint64 // by which Next and Withdraw name it
	Class        string
	Tenant       string
	TimeLeft     time.Duration // until the client gives up
	HighPriority bool          // of Envoy's two routing priorities
	Size         int64         // bytes that are retained while it is queued
}

// Sample is how an attempt went. There is one for each attempt: when its answer began, or when it ended without one.
type Sample struct {
	Class        string
	HighPriority bool
	Retry        bool // it was not its request's first attempt
	SentAt       time.Duration
	Latency      time.Duration
	Result       Result
}

// Admission decides which requests may start and limits retries. It is called from one goroutine at a time and must not call
// back. A Balancer without one goes by its own overload estimate.
type Admission interface {
	// SetEndpoints takes the number of running servers.
	SetEndpoints(now time.Duration, running int)
	// Arrive decides about a request. With Enqueue, after is how long it waits at most; with Reject, it is the Retry-After.
	Arrive(now time.Duration, a Arrival) (v Verdict, after time.Duration)
	// Next returns a queued request that is to be admitted or rejected now; ok is false if there is none.
	Next(now time.Duration) (seq uint64, v Verdict, after time.Duration, ok bool)
	// Withdraw takes a request out of the queue whose client has given up.
	Withdraw(seq uint64)
	// Done notes that an admitted request has its answer, or that its streamed answer has begun.
	Done(now time.Duration, high bool)
	// AttemptEnded notes how an attempt went.
	AttemptEnded(now time.Duration, s Sample)
	// MayRetry reports whether one more attempt may be made for a request that has had one.
	MayRetry(now time.Duration, high bool) bool
	// RetryStarted notes that it was made.
	RetryStarted(now time.Duration, high bool)
}

// arrive asks the Admission whether a request may start.
func (b *Balancer) arrive(now time.Duration, r *request) {
	verdict, after := b.settings.Admission.Arrive(now, Arrival{
		Seq:          r.seq,
		Class:        r.Class,
		Tenant:       r.Tenant,
		TimeLeft:     r.TimeLeft,
		HighPriority: r.HighPriority,
		Size:         r.Size,
	})
	if verdict == Enqueue {
		r.queued = true
		b.host.SetTimer(r.seq, after)
	} else {
		b.admitOrReject(now, r, verdict, after)
	}
	b.admitQueued(now)
}

// admitQueued admits or rejects the queued requests that the Admission returns. A request that ends at once makes room for the
// next, which this loop takes; it does not call itself.
func (b *Balancer) admitQueued(now time.Duration) {
	if b.settings.Admission == nil || b.admittingQueued {
		return
	}
	b.admittingQueued = true
	for {
		seq, verdict, after, ok := b.settings.Admission.Next(now)
		if !ok {
			break
		}
		if r := b.requests.unanswered[seq]; r != nil {
			r.queued = false
			b.admitOrReject(now, r, verdict, after)
		}
	}
	b.admittingQueued = false
}

func (b *Balancer) admitOrReject(now time.Duration, r *request, verdict Verdict, after time.Duration) {
	r.admitted = verdict == Admit
	if r.admitted {
		b.dispatch(now, r)
		return
	}
	r.retryAfter = after
	b.refuse(now, r)
}

// leaveAdmission notes that a request needs no more capacity: it starts nothing more, or its answer is being streamed.
func (b *Balancer) leaveAdmission(now time.Duration, r *request) {
	if r.queued {
		b.settings.Admission.Withdraw(r.seq)
	} else if r.admitted {
		b.settings.Admission.Done(now, r.HighPriority)
	}
	r.queued = false
	r.admitted = false
}

// reportAttempt tells the Admission how an attempt went.
func (b *Balancer) reportAttempt(now time.Duration, r *request, attempt int, result Result, latency time.Duration) {
	if b.settings.Admission == nil {
		return
	}
	b.settings.Admission.AttemptEnded(now, Sample{
		Class:        r.Class,
		HighPriority: r.HighPriority,
		Retry:        attempt > 0,
		SentAt:       r.attempts[attempt].sentAt,
		Latency:      latency,
		Result:       result,
	})
}
