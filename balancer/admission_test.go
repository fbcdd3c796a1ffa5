package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomAdmission is an Admission that draws its verdicts and records what is queued.
type randomAdmission struct {
	t       *rapid.T
	waits   []uint64
	started int
	samples int
}

func (g *randomAdmission) SetEndpoints(time.Duration, int) {}

func (g *randomAdmission) Arrive(_ time.Duration, a Arrival) (Verdict, time.Duration) {
	v := Verdict(rapid.IntRange(0, 2).Draw(g.t, "verdict"))
	switch v {
	case Admit:
		g.started++
	case Enqueue:
		g.waits = append(g.waits, a.Seq)
	}
	return v, 50 * ms
}

func (g *randomAdmission) Next(time.Duration) (uint64, Verdict, time.Duration, bool) {
	if len(g.waits) == 0 || rapid.IntRange(0, 2).Draw(g.t, "next") > 0 {
		return 0, 0, 0, false
	}
	seq := g.waits[0]
	g.waits = g.waits[1:]
	if rapid.Bool().Draw(g.t, "starts") {
		g.started++
		return seq, Admit, 0, true
	}
	return seq, Reject, time.Second, true
}

func (g *randomAdmission) Withdraw(seq uint64) {
	for i, w := range g.waits {
		if w == seq {
			g.waits = append(g.waits[:i], g.waits[i+1:]...)
			return
		}
	}
	g.t.Fatalf("%d is withdrawn and is not queued", seq)
}

func (g *randomAdmission) Done(time.Duration, bool) {
	if g.started--; g.started < 0 {
		g.t.Fatal("more are done than started")
	}
}

func (g *randomAdmission) AttemptEnded(time.Duration, Sample) { g.samples++ }

func (g *randomAdmission) MayRetry(time.Duration, bool) bool { return rapid.Bool().Draw(g.t, "retry") }

func (g *randomAdmission) RetryStarted(time.Duration, bool) {}

// admissionPlay plays random events against a Balancer with a randomAdmission.
type admissionPlay struct {
	t         *rapid.T
	admission *randomAdmission
	balancer  *Balancer
	host      *recorder
	now       time.Duration
	arrived   int            // requests
	final     map[string]int // final answers by request
	ended     int            // attempts
}

// Whatever an Admission decides: each request has one final answer, none is sent before it is admitted, and each queued, admitted
// and ended request is reported once.
func TestInvariantsWithAnyAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &admissionPlay{t: t, admission: &randomAdmission{t: t}, host: &recorder{}, final: map[string]int{}}
		set := settings()
		set.Admission, set.RetryAfter, set.MaxRetryAfter = p.admission, true, 5*time.Second
		var err error
		if p.balancer, err = New(set, 7, p.host); err != nil {
			t.Fatal(err)
		}
		p.balancer.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(4)})
		p.host.take()
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			p.now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * ms
			p.host.now = p.now
			p.randomEvent()
			p.checkActions()
			p.checkCounts()
		}
	})
}

func (p *admissionPlay) randomEvent() {
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

// endAttempt ends the first attempt in flight of a request, with any result.
func (p *admissionPlay) endAttempt(r *request) {
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

// checkActions checks what the Balancer has done since the last call.
func (p *admissionPlay) checkActions() {
	for _, a := range p.host.take() {
		switch a.what {
		case "send":
			r := p.balancer.requests.byID[a.id]
			queued := r != nil && r.queued
			if p.final[a.id] > 0 || queued {
				p.t.Fatalf("%s is sent, %d final answers", a.id, p.final[a.id])
			}
		case "reject", "fail":
			p.final[a.id]++
			if p.final[a.id] > 1 {
				p.t.Fatalf("%s has %d final answers", a.id, p.final[a.id])
			}
		}
	}
}

// checkCounts checks that the Balancer and its Admission agree.
func (p *admissionPlay) checkCounts() {
	admitted, queued := 0, 0
	for _, r := range p.balancer.requests.byID {
		if r.admitted {
			admitted++
		}
		if r.queued {
			queued++
		}
	}
	g := p.admission
	if admitted != g.started || queued != len(g.waits) || g.samples != p.ended {
		p.t.Fatalf("%d of %d admitted, %d of %d queued, %d samples of %d ends", g.started, admitted, len(g.waits), queued, g.samples, p.ended)
	}
}
