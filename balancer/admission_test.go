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
	g.t.Fatalf("%d leaves and does not wait", seq)
}

func (g *randomAdmission) Done(time.Duration, bool) {
	if g.started--; g.started < 0 {
		g.t.Fatal("more are done than started")
	}
}

func (g *randomAdmission) AttemptEnded(time.Duration, Sample) { g.samples++ }

func (g *randomAdmission) MayRetry(time.Duration, bool) bool { return rapid.Bool().Draw(g.t, "retry") }

func (g *randomAdmission) RetryStarted(time.Duration, bool) {}

// Whatever an Admission decides: each request has one final answer, none is sent before it is admitted, and each queued, admitted
// and ended request is reported once.
func TestInvariantsWithAnyAdmission(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := &randomAdmission{t: rt}
		set := settings()
		set.Admission, set.RetryAfter, set.MaxRetryAfter = g, true, 5*time.Second
		h := &recorder{}
		b, err := New(set, 7, h)
		if err != nil {
			rt.Fatal(err)
		}
		b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(4)})
		h.take()
		final, out := map[string]int{}, map[string]int{}
		waiting := func(id string) bool { r := b.requests.byID[id]; return r != nil && r.queued }
		now, n, sends, ends := time.Duration(0), 0, 0, 0
		checkActions := func() {
			for _, a := range h.take() {
				switch a.what {
				case "send":
					if final[a.id] > 0 || waiting(a.id) {
						rt.Fatalf("%s is sent, %d final answers", a.id, final[a.id])
					}
					out[a.id]++
					sends++
				case "reject", "fail":
					if final[a.id]++; final[a.id] > 1 {
						rt.Fatalf("%s has %d final answers", a.id, final[a.id])
					}
				}
			}
		}
		for range rapid.IntRange(1, 150).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(rt, "gap")) * ms
			h.now = now
			switch id := fmt.Sprint(rapid.IntRange(0, n).Draw(rt, "id")); rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0, 1:
				id = fmt.Sprint(n)
				n++
				b.Request(now, Request{ID: id, Class: rapid.SampledFrom([]string{"safe", "keyed", "once"}).Draw(rt, "class"), TimeLeft: time.Second})
			case 2:
				if b.requests.byID[id] != nil && final[id] == 0 {
					final[id]++
					b.ClientGone(now, id)
				}
			case 3:
				for token, at := range h.timers {
					if at <= now {
						delete(h.timers, token)
						b.Timer(now, token)
						break
					}
				}
			case 4:
				b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(rapid.IntRange(0, 4).Draw(rt, "servers"))})
			default:
				if r := b.requests.byID[id]; r != nil {
					for i := range r.attempts {
						if r.attempts[i].inFlight {
							res := Result(rapid.IntRange(0, int(NotSent)).Draw(rt, "result"))
							done := res == Served && final[id] == 0
							if done {
								final[id]++
							}
							out[id]--
							ends++
							b.Outcome(now, Outcome{ID: id, Attempt: i, Result: res, Latency: ms, Final: done || r.finished, RetryAfter: time.Duration(rapid.IntRange(0, 3).Draw(rt, "rest")) * time.Second})
							break
						}
					}
				}
			}
			checkActions()
			started, waits := 0, 0
			for _, r := range b.requests.byID {
				if r.admitted {
					started++
				}
				if r.queued {
					waits++
				}
			}
			if started != g.started || waits != len(g.waits) || g.samples != ends {
				rt.Fatalf("%d of %d started, %d of %d wait, %d samples of %d ends", g.started, started, len(g.waits), waits, g.samples, ends)
			}
		}
	})
}
