package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// gate is a scripted admission: it draws verdicts and keeps what waits.
type gate struct {
	t       *rapid.T
	waits   []uint64
	started int
	samples int
}

func (g *gate) SetEndpoints(time.Duration, int) {}
func (g *gate) Arrive(_ time.Duration, a Arrival) (Verdict, time.Duration) {
	v := Verdict(rapid.IntRange(0, 2).Draw(g.t, "verdict"))
	switch v {
	case Admit:
		g.started++
	case Enqueue:
		g.waits = append(g.waits, a.Seq)
	}
	return v, 50 * ms
}

func (g *gate) Next(time.Duration) (uint64, Verdict, time.Duration, bool) {
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

func (g *gate) Withdraw(seq uint64) {
	for i, w := range g.waits {
		if w == seq {
			g.waits = append(g.waits[:i], g.waits[i+1:]...)
			return
		}
	}
	g.t.Fatalf("%d leaves and does not wait", seq)
}

func (g *gate) Done(time.Duration, bool) {
	if g.started--; g.started < 0 {
		g.t.Fatal("more are done than started")
	}
}
func (g *gate) AttemptEnded(time.Duration, Sample) { g.samples++ }
func (g *gate) MayRetry(time.Duration, bool) bool  { return rapid.Bool().Draw(g.t, "retry") }
func (g *gate) RetryStarted(time.Duration, bool)   {}

// Whatever an admission says: each request has one final answer, none is sent before it starts, and what starts, waits and
// ends is told once.
func TestRulesWhateverTheAdmissionSays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := &gate{t: rt}
		set := settings()
		set.Admission, set.RetryAfter, set.MaxRetryAfter = g, true, 5*time.Second
		h := &recorder{}
		b, err := New(set, 7, h)
		if err != nil {
			rt.Fatal(err)
		}
		b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: fleet(4)})
		h.take()
		final, out := map[string]int{}, map[string]int{}
		waiting := func(id string) bool { r := b.requests.byID[id]; return r != nil && r.queued }
		now, n, sends, ends := time.Duration(0), 0, 0, 0
		look := func() {
			for _, a := range h.take() {
				switch a.what {
				case "send":
					if final[a.id] > 0 || waiting(a.id) {
						rt.Fatalf("%s is sent, %d final answers", a.id, final[a.id])
					}
					out[a.id]++
					sends++
				case "refuse", "fail":
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
				b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateSnapshot, Servers: fleet(rapid.IntRange(0, 4).Draw(rt, "servers"))})
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
			look()
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

// A server that asks to be left alone is, for as long as others serve.
func TestServersOwnRest(t *testing.T) {
	set := settings()
	b, h := start(t, set, oneZone(2))
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: oneZone(2)})
	first := ask(t, b, h, 0, "a", "safe")
	b.Outcome(ms, Outcome{ID: "a", Result: Rejected, Latency: ms, RetryAfter: 5 * time.Second})
	h.take()
	b.Outcome(2*ms, Outcome{ID: "a", Attempt: 1, Result: Served, Latency: ms, Final: true})
	for i := range 40 {
		now := time.Duration(i+1) * 100 * ms
		id := fmt.Sprint("r", i)
		if to := ask(t, b, h, now, id, "once"); to == first {
			t.Fatalf("%s is asked %v after it asked for 5 s", to, now)
		}
		end(b, now+ms, id, Served, ms)
	}
	back := false
	for i := range 4 { // the other one holds what it got
		back = back || ask(t, b, h, 5100*ms+time.Duration(i)*ms, fmt.Sprint("s", i), "once") == first
	}
	if !back {
		t.Error("it is never asked again")
	}
}

// A server that is ejected for long and serves a request that it got for want of others is back at once; one that was sent
// before it was ejected says nothing.
func TestServesThoughEjected(t *testing.T) {
	set := settings()
	set.Localities = &fixed{at: Locality{Zone: "za"}}
	b, h := start(t, set, oneZone(1))
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: oneZone(1)})
	old := ask(t, b, h, 0, "old", "once")
	now := ms
	for i := range 4 {
		id := fmt.Sprint("f", i)
		ask(t, b, h, now, id, "once")
		end(b, now+ms, id, NotConnected, ms)
		now += 10 * ms
	}
	s := b.endpoints.byID[old]
	if s.outlier.ejectedUntil <= now {
		t.Fatalf("ejected until %v at %v", s.outlier.ejectedUntil, now)
	}
	end(b, now, "old", Served, now)
	if s.outlier.ejectedUntil <= now {
		t.Error("an answer from before brings it back")
	}
	probe := "probe" // some are refused for an overload
	for ask(t, b, h, now+ms, probe, "once") == "" {
		if probe += "!"; len(probe) > 100 {
			t.Fatal("no probe")
		}
	}
	if end(b, now+2*ms, probe, Served, ms); s.outlier.ejectedUntil > now {
		t.Errorf("it served and is ejected until %v", s.outlier.ejectedUntil)
	}
}

// A locality of which every server is ejected gets its probes though they are half of all servers, and no more.
func TestEjectedLocalityIsProbed(t *testing.T) {
	set := settings()
	set.Localities = &fixed{at: Locality{Zone: "zb"}}
	b, h := start(t, set, fleet(4))
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: fleet(4)})
	for _, s := range b.endpoints.byZone["zb"] {
		b.eject(0, s)
	}
	to := ""
	for i := range 50 {
		if to = ask(t, b, h, ms, fmt.Sprint("r", i), "once"); to != "" {
			break
		}
	}
	if s := b.endpoints.byID[to]; s == nil || s.Zone != "zb" {
		t.Fatalf("the probe goes to %q", to)
	}
}
