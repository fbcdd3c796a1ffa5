package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomAdmission is an Admission that decides at random. It counts the admitted requests and records the queued ones.
type randomAdmission struct {
	t       *rapid.T
	queue   []uint64
	started int
	samples int
}

func (a *randomAdmission) SetEndpoints(time.Duration, int) {}

func (a *randomAdmission) Arrive(_ time.Duration, arrival Arrival) (AdmissionDecision, time.Duration) {
	v := AdmissionDecision(rapid.IntRange(0, 2).Draw(a.t, "verdict"))
	switch v {
	case Admit:
		a.started++
	case Enqueue:
		a.queue = append(a.queue, arrival.Seq)
	}
	return v, 50 * ms
}

func (a *randomAdmission) Next(time.Duration) (uint64, AdmissionDecision, time.Duration, bool) {
	if len(a.queue) == 0 || rapid.IntRange(0, 2).Draw(a.t, "next") > 0 {
		return 0, 0, 0, false
	}
	seq := a.queue[0]
	a.queue = a.queue[1:]
	if rapid.Bool().Draw(a.t, "starts") {
		a.started++
		return seq, Admit, 0, true
	}
	return seq, Reject, time.Second, true
}

func (a *randomAdmission) Withdraw(seq uint64) {
	for i, w := range a.queue {
		if w == seq {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
	a.t.Fatalf("Withdraw(%d): request is not queued", seq)
}

func (a *randomAdmission) Release(time.Duration, bool) {
	if a.started--; a.started < 0 {
		a.t.Fatal("Release called more often than requests were admitted")
	}
}

func (a *randomAdmission) AttemptEnded(time.Duration, AttemptSample) { a.samples++ }

func (a *randomAdmission) MayRetry(time.Duration, bool) bool { return rapid.Bool().Draw(a.t, "retry") }

func (a *randomAdmission) RetryStarted(time.Duration, bool) {}

// admissionRun feeds random events to a Balancer with a randomAdmission and checks its actions.
type admissionRun struct {
	t         *rapid.T
	admission *randomAdmission
	balancer  *Balancer
	host      *recorder
	now       time.Duration
	arrived   int            // number of requests
	final     map[string]int // number of final answers by request
	ended     int            // number of ended attempts
}

// Whatever an Admission decides, each request gets exactly one final answer, no request is sent before it is admitted, and the
// Balancer and the Admission agree on the number of admitted requests, queued requests and ended attempts.
func TestInvariantsWithAnyAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &admissionRun{t: t, admission: &randomAdmission{t: t}, host: &recorder{}, final: map[string]int{}}
		cfg := settings()
		cfg.Admission, cfg.RetryAfter, cfg.MaxRetryAfter = p.admission, true, 5*time.Second
		var err error
		if p.balancer, err = New(cfg, 7, p.host); err != nil {
			t.Fatal(err)
		}
		p.balancer.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(4)})
		p.host.takeActions()
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			p.now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * ms
			p.host.now = p.now
			p.randomEvent()
			p.checkActions()
			p.checkCounts()
		}
	})
}

// randomEvent feeds one random event to the Balancer.
func (p *admissionRun) randomEvent() {
	t, b := p.t, p.balancer
	id := fmt.Sprint(rapid.IntRange(0, p.arrived).Draw(t, "id"))
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0, 1:
		id = fmt.Sprint(p.arrived)
		p.arrived++
		b.Request(p.now, Request{ID: id, Class: rapid.SampledFrom([]string{"safe", "keyed", "once"}).Draw(t, "class"), TimeLeft: time.Second})
	case 2:
		if b.requests.byID[id] != nil && p.final[id] == 0 {
			p.final[id]++
			b.ClientGone(p.now, id)
		}
	case 3:
		for token, at := range p.host.timers {
			if at <= p.now {
				delete(p.host.timers, token)
				b.Timer(p.now, token)
				break
			}
		}
	case 4:
		b.UpdateEndpoints(p.now, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(rapid.IntRange(0, 4).Draw(t, "servers"))})
	default:
		if r := b.requests.byID[id]; r != nil {
			p.endAttempt(r)
		}
	}
}

// endAttempt ends the first attempt in flight of a request with a random result.
func (p *admissionRun) endAttempt(r *request) {
	t, id := p.t, r.ID
	for i := range r.attempts {
		if !r.attempts[i].inFlight {
			continue
		}
		result := Result(rapid.IntRange(0, int(NotSent)).Draw(t, "result"))
		done := result == Served && p.final[id] == 0
		if done {
			p.final[id]++
		}
		p.ended++
		retryAfter := time.Duration(rapid.IntRange(0, 3).Draw(t, "rest")) * time.Second
		p.balancer.Outcome(p.now, Outcome{ID: id, Attempt: i, Result: result, Latency: ms, Final: done || r.finished, RetryAfter: retryAfter})
		return
	}
}

// checkActions checks the actions of the Balancer since the last call.
func (p *admissionRun) checkActions() {
	for _, a := range p.host.takeActions() {
		switch a.kind {
		case "send":
			r := p.balancer.requests.byID[a.id]
			queued := r != nil && r.queued
			if p.final[a.id] > 0 || queued {
				p.t.Fatalf("request %s was sent with %d final answers and queued = %v, want 0 and false", a.id, p.final[a.id], queued)
			}
		case "reject", "fail":
			p.final[a.id]++
			if p.final[a.id] > 1 {
				p.t.Fatalf("request %s got %d final answers, want 1", a.id, p.final[a.id])
			}
		}
	}
}

// checkCounts checks that the counts of the Balancer and its Admission agree.
func (p *admissionRun) checkCounts() {
	admitted, queued := 0, 0
	for _, r := range p.balancer.requests.byID {
		if r.admitted {
			admitted++
		}
		if r.queued {
			queued++
		}
	}
	a := p.admission
	if admitted != a.started || queued != len(a.queue) || a.samples != p.ended {
		p.t.Fatalf("Admission counts %d admitted, %d queued and %d samples, want %d, %d and %d",
			a.started, len(a.queue), a.samples, admitted, queued, p.ended)
	}
}
