package balancer

import "time"

// AdmissionDecision is the decision of an Admission about a request.
type AdmissionDecision uint8

// The decisions of an Admission.
const (
	Admit   AdmissionDecision = iota // the request starts now
	Enqueue                          // the request is queued until Admission.Next returns it
	Reject                           // the request is rejected immediately
)

// Arrival describes a request that has arrived.
type Arrival struct {
	Seq          uint64 // identifies the request in Next and Withdraw
	Class        string
	Tenant       string
	TimeLeft     time.Duration // until the client gives up
	HighPriority bool          // Envoy's routing priority HIGH instead of DEFAULT
	Size         int64         // bytes that are retained while the request is queued
}

// AttemptSample is the observation of one attempt. Each attempt has exactly one AttemptSample: when its answer began, or
// when it ended without an answer.
type AttemptSample struct {
	Class        string
	HighPriority bool
	Retry        bool // not the first attempt of its request; includes hedges
	SentAt       time.Duration
	Latency      time.Duration
	Result       Result
}

// Admission decides which requests may start, and limits retries. It is called from one goroutine at a time and must not call
// back into the Balancer. A Balancer without an Admission uses its own overload estimate.
type Admission interface {
	// SetEndpoints reports the number of servers in state Running.
	SetEndpoints(now time.Duration, running int)
	// Arrive decides about a request. With Enqueue, after is the maximum time in the queue; with Reject, it is the Retry-After.
	Arrive(now time.Duration, arrival Arrival) (decision AdmissionDecision, after time.Duration)
	// Next returns a queued request that is to be admitted or rejected now; with Reject, after is the Retry-After. If there is no
	// such request, ok is false.
	Next(now time.Duration) (seq uint64, decision AdmissionDecision, after time.Duration, ok bool)
	// Withdraw removes a request from the queue, for example because its client has disconnected.
	Withdraw(seq uint64)
	// Release reports that an admitted request has its final answer or that its answer has begun to stream.
	Release(now time.Duration, highPriority bool)
	// AttemptEnded reports the observation of an attempt.
	AttemptEnded(now time.Duration, sample AttemptSample)
	// MayRetry reports whether the retry budget allows one more retry or hedge.
	MayRetry(now time.Duration, highPriority bool) bool
	// RetryStarted reports that a retry or hedge was sent.
	RetryStarted(now time.Duration, highPriority bool)
}

// requestAdmission asks the Admission whether a request may start, and starts, queues or rejects the request accordingly.
func (b *Balancer) requestAdmission(now time.Duration, r *request) {
	decision, after := b.settings.Admission.Arrive(now, Arrival{
		Seq:          r.seq,
		Class:        r.Class,
		Tenant:       r.Tenant,
		TimeLeft:     r.TimeLeft,
		HighPriority: r.HighPriority,
		Size:         r.Size,
	})
	if decision == Enqueue {
		r.queued = true
		b.host.SetTimer(r.seq, after)
	} else {
		b.admitOrReject(now, r, decision, after)
	}
	b.admitQueued(now)
}

// admitQueued admits or rejects the queued requests that the Admission returns. Nested calls return immediately: if an admitted
// request ends while this loop runs, the loop also admits the request that takes its place.
func (b *Balancer) admitQueued(now time.Duration) {
	if b.settings.Admission == nil || b.admittingQueued {
		return
	}
	b.admittingQueued = true
	for {
		seq, decision, after, ok := b.settings.Admission.Next(now)
		if !ok {
			break
		}
		if r := b.requests.unanswered[seq]; r != nil {
			r.queued = false
			b.admitOrReject(now, r, decision, after)
		}
	}
	b.admittingQueued = false
}

func (b *Balancer) admitOrReject(now time.Duration, r *request, decision AdmissionDecision, after time.Duration) {
	r.admitted = decision == Admit
	if r.admitted {
		b.dispatch(now, r)
		return
	}
	r.retryAfter = after
	b.rejectOrFail(now, r)
}

// releaseAdmission withdraws a queued request from the Admission or reports an admitted one as done. It is called when the request
// is finished or when its answer begins to stream.
func (b *Balancer) releaseAdmission(now time.Duration, r *request) {
	if r.queued {
		b.settings.Admission.Withdraw(r.seq)
	} else if r.admitted {
		b.settings.Admission.Release(now, r.HighPriority)
	}
	r.queued = false
	r.admitted = false
}

// reportAttempt passes the observation of an attempt to the Admission.
func (b *Balancer) reportAttempt(now time.Duration, r *request, attempt int, result Result, latency time.Duration) {
	if b.settings.Admission == nil {
		return
	}
	b.settings.Admission.AttemptEnded(now, AttemptSample{
		Class:        r.Class,
		HighPriority: r.HighPriority,
		Retry:        attempt > 0,
		SentAt:       r.attempts[attempt].sentAt,
		Latency:      latency,
		Result:       result,
	})
}
