package balancer

import (
	"maps"
	"slices"
	"time"
)

// maxServerWait is how long a request may wait for a usable server, however long its client would.
const maxServerWait = 2500 * time.Millisecond

// request is a request that this proxy has accepted. It is retained until its last attempt has ended.
type request struct {
	Request
	seq      uint64 // its timer token
	class    *class
	deadline time.Duration
	attempts []attempt
	inFlight int // attempts

	finished        bool            // has its final answer
	streaming       bool            // an answer has begun
	streamedAt      time.Duration   // when that of a class that does not stream has begun
	queued          bool            // by the Admission
	admitted        bool            // by the Admission, which still counts it
	retryAfter      time.Duration   // the last advice of the Admission or the LocalityPicker
	localityRequest LocalityRequest // by which the LocalityPicker picked the next attempt's locality
}

// attempt is an attempt of a request at a server.
type attempt struct {
	to              *server
	sentAt          time.Duration
	inFlight        bool
	notExecuted     bool            // its outcome proves that
	uncounted       bool            // no longer in the counters of attempts in flight
	localityRequest LocalityRequest // where a LocalityPicker is set
}

// requestTable holds the requests.
type requestTable struct {
	byID       map[string]*request
	unanswered map[uint64]*request // those without their final answer, by sequence number
	lastSeq    uint64
}

func (t *requestTable) add(q Request, c *class, now time.Duration) *request {
	t.lastSeq++
	r := &request{Request: q, seq: t.lastSeq, class: c, deadline: now + q.TimeLeft}
	t.byID[q.ID] = r
	t.unanswered[r.seq] = r
	return r
}

// waited is how long the client has waited.
func (r *request) waited(now time.Duration) time.Duration {
	return now - r.deadline + r.TimeLeft
}

// attemptedAt reports whether an attempt went to a server.
func (r *request) attemptedAt(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].to == s {
			return true
		}
	}
	return false
}

// attemptedIn reports whether an attempt went to a locality.
func (r *request) attemptedIn(at Locality) bool {
	for i := range r.attempts {
		if r.attempts[i].to.locality() == at {
			return true
		}
	}
	return false
}

// boundZone is the zone that a request must not leave, as it may have been executed there and only servers there recognize its
// repetition. It is empty if there is none.
func (r *request) boundZone() string {
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

// Request takes a client's request. One whose ID is in use is ignored, and one of an unknown class is rejected.
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
		b.arrive(now, r)
		return
	}
	if b.overloaded(now, r) {
		b.refuse(now, r)
		return
	}
	b.dispatch(now, r)
}

// dispatch sends the next attempt of a request that has none in flight. Without a usable server the request waits or is refused.
func (b *Balancer) dispatch(now time.Duration, r *request) {
	if r.finished || r.inFlight > 0 {
		return
	}
	mayBeServed := b.endpoints.running > 0 || !b.endpoints.known
	if r.queued && mayBeServed {
		return
	}
	if now >= r.deadline {
		b.refuse(now, r)
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

// dispatchAll dispatches all requests without their final answer, in the order of their arrival.
func (b *Balancer) dispatchAll(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(b.requests.unanswered)) {
		b.dispatch(now, b.requests.unanswered[seq])
	}
}

// waitForServer has a request dispatched again after a while, or refuses it if waiting does not help or has taken so long that
// the client would soon have no use for the answer.
func (b *Balancer) waitForServer(now time.Duration, r *request) {
	noServer := b.endpoints.known && (b.endpoints.running == 0 || b.settings.Localities != nil)
	attempted := len(r.attempts) > 0
	if noServer && !attempted {
		// Not an overload, which would have most requests rejected once there are servers again.
		b.overload.timely.count--
	}
	if noServer || attempted || r.deadline-now < r.TimeLeft/4 || r.waited(now) > maxServerWait {
		b.refuse(now, r)
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

// refuse gives a request its final answer without one from a server.
func (b *Balancer) refuse(now time.Duration, r *request) {
	if b.mayReject(r) {
		b.host.Reject(r.ID, b.retryAfter(now, r))
	} else {
		b.host.Fail(r.ID)
	}
	b.finish(now, r)
}

// finish closes a request that has its final answer.
func (b *Balancer) finish(now time.Duration, r *request) {
	r.finished = true
	b.overload.timely.count++
	b.leaveAdmission(now, r)
	delete(b.requests.unanswered, r.seq)
	if r.inFlight == 0 {
		delete(b.requests.byID, r.ID)
		return
	}
	const none = -1
	b.cancelAttempts(r, none)
}

// cancelAttempts cancels the attempts in flight except one.
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

// uncount takes an attempt out of the counters of attempts in flight.
func (b *Balancer) uncount(a *attempt) {
	if a.uncounted {
		return
	}
	a.uncounted = true
	a.to.inFlight--
	b.load.inFlight--
}

// Started notes that the answer of an attempt has begun to stream to the client. The request's other attempts are cancelled, and
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
	b.leaveAdmission(now, r)
	a.to.silentSince = now
	if !r.class.Stream && a.inFlight {
		r.streamedAt = now // how long it takes from here on is up to the client
		b.uncount(a)
	}
	b.cancelAttempts(r, n)
	b.admitQueued(now)
}

// Outcome takes the end of an attempt. One that has ended already is ignored.
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
	b.uncount(a)
	r.inFlight--
	if !r.streaming {
		b.reportAttempt(now, r, o.Attempt, o.Result, o.Latency)
	}
	if b.settings.Localities != nil {
		b.settings.Localities.AttemptEnded(now, a.to.locality(), a.localityRequest, o.Result, o.Latency)
	}
	b.judge(now, r, a, o)
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

// finalOutcome closes a request whose final answer has come from a server.
func (b *Balancer) finalOutcome(now time.Duration, r *request, result Result) {
	answeredAt := now
	if r.streamedAt > 0 {
		answeredAt = r.streamedAt
	}
	if result == Served && r.waited(answeredAt) <= r.class.LatencyObjective {
		b.overload.timely.sum++
		b.retryBudget.deposit()
	}
	b.finish(now, r)
}

// ClientGone notes that the client has left, or that its time is over.
func (b *Balancer) ClientGone(now time.Duration, id string) {
	r := b.requests.byID[id]
	if r == nil || r.finished {
		return
	}
	b.finish(now, r)
	b.admitQueued(now)
}

// Expire gives a request its final answer now, unless one has begun. Attempts in flight are cancelled.
func (b *Balancer) Expire(now time.Duration, id string) {
	r := b.requests.byID[id]
	if r == nil || r.finished || r.streaming {
		return
	}
	b.refuse(now, r)
	b.admitQueued(now)
}
