package balancer

import (
	"maps"
	"slices"
	"time"
)

// maxServerWait limits how long a request waits for a usable server, even if its client would wait longer.
const maxServerWait = 2500 * time.Millisecond

// request is a request that this proxy has accepted. It is retained until its last attempt has ended, which may be after its
// final answer.
type request struct {
	Request
	seq      uint64 // sequence number; also the token of its timer
	class    *class
	deadline time.Duration
	attempts []attempt
	inFlight int // attempts in flight

	finished        bool            // the client has its final answer
	streaming       bool            // an answer has begun to stream to the client
	streamedAt      time.Duration   // when the answer began, for a class without Stream; otherwise 0
	queued          bool            // in the queue of the Admission
	admitted        bool            // by the Admission, which still counts the request as in flight
	retryAfter      time.Duration   // last Retry-After of the Admission or the LocalityPicker
	localityRequest LocalityRequest // with which the LocalityPicker picked the locality of the next attempt
}

// attempt is an attempt of a request at a server.
type attempt struct {
	to               *server
	sentAt           time.Duration
	inFlight         bool
	notExecuted      bool            // the outcome proves that the server did not execute the request
	inFlightReleased bool            // no longer counted as in flight, see releaseInFlight
	localityRequest  LocalityRequest // set only with a LocalityPicker
}

// requestTable holds the requests until their last attempt has ended.
type requestTable struct {
	byID       map[string]*request
	unanswered map[uint64]*request // requests without a final answer, by sequence number
	lastSeq    uint64
}

func (t *requestTable) add(q Request, c *class, now time.Duration) *request {
	t.lastSeq++
	r := &request{Request: q, seq: t.lastSeq, class: c, deadline: now + q.TimeLeft}
	t.byID[q.ID] = r
	t.unanswered[r.seq] = r
	return r
}

// waited returns how long the client has waited.
func (r *request) waited(now time.Duration) time.Duration {
	return now - r.deadline + r.TimeLeft
}

// attemptedAt reports whether an attempt of the request was sent to the server.
func (r *request) attemptedAt(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].to == s {
			return true
		}
	}
	return false
}

// attemptedIn reports whether an attempt of the request was sent to the locality.
func (r *request) attemptedIn(loc Locality) bool {
	for i := range r.attempts {
		if r.attempts[i].to.locality() == loc {
			return true
		}
	}
	return false
}

// requiredZone returns the only zone to which the request may be sent: it may have been executed there, and only servers of that
// zone recognize a repetition. The result is empty if any zone is allowed.
func (r *request) requiredZone() string {
	if r.class.Effect != IdempotentWithKey || r.class.Group == GroupAll {
		return ""
	}
	for i := range r.attempts {
		if !r.attempts[i].notExecuted {
			return r.attempts[i].to.Zone
		}
	}
	return ""
}

// Request handles a client's request. A request whose ID is in use is ignored, and a request of an unknown class is rejected.
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.requests.byID[q.ID] != nil {
		return
	}
	c := b.classes[q.Class]
	if c == nil {
		b.host.Reject(q.ID, 0)
		return
	}
	if b.firstRequestAt == 0 {
		b.firstRequestAt = now
	}
	r := b.requests.add(q, c, now)
	if b.settings.Admission != nil {
		b.requestAdmission(now, r)
		return
	}
	if b.shouldReject(now, r) {
		b.rejectOrFail(now, r)
		return
	}
	b.dispatch(now, r)
}

// dispatch sends the next attempt of a request, unless it is finished, has an attempt in flight or is queued by the Admission while
// servers may be available. If no server is usable, the request waits or is answered with an error.
func (b *Balancer) dispatch(now time.Duration, r *request) {
	if r.finished || r.inFlight > 0 {
		return
	}
	mayBeServed := b.endpoints.running > 0 || !b.endpoints.known
	if r.queued && mayBeServed {
		return
	}
	if now >= r.deadline {
		b.rejectOrFail(now, r)
		return
	}
	purpose := FirstAttempt
	if len(r.attempts) > 0 {
		purpose = Retry
	}
	if s := b.findServer(now, r, purpose); s != nil {
		b.send(now, r, s)
		return
	}
	b.waitForServer(now, r)
}

// dispatchAll calls dispatch for all requests without a final answer, in the order of their arrival.
func (b *Balancer) dispatchAll(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(b.requests.unanswered)) {
		b.dispatch(now, b.requests.unanswered[seq])
	}
}

// waitForServer sets a timer to dispatch the request again. Instead of waiting, it answers the request with an error if there is no
// server to wait for, if the request has already been attempted, or if it has waited for maxServerWait or three quarters of its time,
// after which the client would soon have no use for the answer.
func (b *Balancer) waitForServer(now time.Duration, r *request) {
	noServer := b.endpoints.known && (b.endpoints.running == 0 || b.settings.Localities != nil)
	attempted := len(r.attempts) > 0
	if noServer && !attempted {
		// Do not count the request as an overload: most requests would be rejected once servers are available again.
		b.overload.withinObjective.count--
	}
	if noServer || attempted || r.deadline-now < r.TimeLeft/4 || r.waited(now) > maxServerWait {
		b.rejectOrFail(now, r)
		return
	}
	b.host.SetTimer(r.seq, min(r.TimeLeft/8, maxServerWait/6)+1)
}

// send sends the next attempt of a request.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	if s.inFlight == 0 {
		s.silentSince = now
	}
	s.inFlight++
	b.decayedSends(s, now).count++
	b.load.inFlight++
	r.inFlight++
	a := attempt{to: s, sentAt: now, inFlight: true}
	if b.settings.Localities != nil {
		r.localityRequest.SentAt = now
		a.localityRequest = r.localityRequest
	}
	r.attempts = append(r.attempts, a)
	if b.settings.Localities != nil {
		b.settings.Localities.AttemptSent(now, s.locality(), a.localityRequest)
	}
	b.host.Send(r.ID, s.ID, 0)
	b.setHedgeTimer()
}

// rejectOrFail gives a request a final answer that does not come from a server: a rejection if the client may repeat the request
// safely, otherwise a failure.
func (b *Balancer) rejectOrFail(now time.Duration, r *request) {
	if b.mayReject(r) {
		b.host.Reject(r.ID, b.retryAfter(now, r))
	} else {
		b.host.Fail(r.ID)
	}
	b.finish(now, r)
}

// finish marks a request as answered and cancels its attempts in flight.
func (b *Balancer) finish(now time.Duration, r *request) {
	r.finished = true
	b.overload.withinObjective.count++
	b.releaseAdmission(now, r)
	delete(b.requests.unanswered, r.seq)
	if r.inFlight == 0 {
		delete(b.requests.byID, r.ID)
		return
	}
	const none = -1
	b.cancelAttempts(r, none)
}

// cancelAttempts cancels all attempts in flight except the one with the given index.
func (b *Balancer) cancelAttempts(r *request, except int) {
	if !b.settings.MayCancel {
		return
	}
	for i := range r.attempts {
		if i != except && r.attempts[i].inFlight {
			b.host.Cancel(r.ID, i)
		}
	}
}

// releaseInFlight removes an attempt from the counts of attempts in flight, at most once.
func (b *Balancer) releaseInFlight(a *attempt) {
	if a.inFlightReleased {
		return
	}
	a.inFlightReleased = true
	a.to.inFlight--
	b.load.inFlight--
}

// Started reports that the answer of attempt n has begun to stream to the client. The request's other attempts are cancelled, and
// its deadline no longer applies.
func (b *Balancer) Started(now time.Duration, id string, n int) {
	r := b.requests.byID[id]
	if r == nil || r.finished || n < 0 || n >= len(r.attempts) {
		return
	}
	a := &r.attempts[n]
	if !r.streaming {
		b.reportAttempt(now, r, n, Served, now-a.sentAt)
	}
	r.streaming = true
	b.releaseAdmission(now, r)
	a.to.silentSince = now
	if !r.class.Stream && a.inFlight {
		r.streamedAt = now // the rest of the transfer depends on the client
		b.releaseInFlight(a)
	}
	b.cancelAttempts(r, n)
	b.admitQueued(now)
}

// Outcome handles the end of an attempt. An Outcome of an attempt that has already ended is ignored.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests.byID[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[o.Attempt]
	if !a.inFlight {
		return
	}
	a.inFlight = false
	a.notExecuted = o.Result.provesNotExecuted()
	b.releaseInFlight(a)
	r.inFlight--
	if !r.streaming {
		b.reportAttempt(now, r, o.Attempt, o.Result, o.Latency)
	}
	if b.settings.Localities != nil {
		b.settings.Localities.AttemptEnded(now, a.to.locality(), a.localityRequest, o.Result, o.Latency)
	}
	b.observeOutcome(now, r, a, o)
	switch {
	case r.finished:
		if r.inFlight == 0 {
			delete(b.requests.byID, r.ID)
		}
	case o.Final:
		b.finalOutcome(now, r, o.Result)
	case !r.streaming:
		b.dispatch(now, r)
	}
	b.admitQueued(now)
}

// finalOutcome finishes a request whose final answer came from a server.
func (b *Balancer) finalOutcome(now time.Duration, r *request, result Result) {
	answeredAt := now
	if r.streamedAt > 0 {
		answeredAt = r.streamedAt
	}
	if result == Served && r.waited(answeredAt) <= r.class.LatencyObjective {
		b.overload.withinObjective.sum++
		b.retryBudget.deposit()
	}
	b.finish(now, r)
}

// ClientGone reports that the client has disconnected or no longer waits for an answer.
func (b *Balancer) ClientGone(now time.Duration, id string) {
	r := b.requests.byID[id]
	if r == nil || r.finished {
		return
	}
	b.finish(now, r)
	b.admitQueued(now)
}

// Expire rejects or fails a request now, unless its answer has begun to stream. Attempts in flight are cancelled.
func (b *Balancer) Expire(now time.Duration, id string) {
	r := b.requests.byID[id]
	if r == nil || r.finished || r.streaming {
		return
	}
	b.rejectOrFail(now, r)
	b.admitQueued(now)
}
