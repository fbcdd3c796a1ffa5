package balancer

import (
	"fmt"
	"testing"
	"time"
)

// With all answers late most requests are rejected, never all, and none once answers are timely again.
func TestOverloadRejectsAndRecovers(t *testing.T) {
	b, h := start(t, settings(), oneZone(4))
	now := time.Duration(0)
	play := func(n int, took time.Duration) (sent int) {
		for i := range n {
			now += 5 * ms
			id := fmt.Sprint(now)
			if sendRequest(t, b, h, now, id, "safe") != "" {
				sent++
				r := b.requests.byID[id]
				r.deadline -= took // as if it had arrived that long ago
				b.Outcome(now, Outcome{ID: id, Result: Served, Latency: took, Final: true})
			}
			_ = i
		}
		return sent
	}
	play(400, 20*ms)
	play(400, 500*ms)
	if sent := play(400, 500*ms); sent < 10 || sent > 200 {
		t.Errorf("all late: %d of 400 sent", sent)
	}
	play(2000, 20*ms)
	if sent := play(400, 20*ms); sent < 390 {
		t.Errorf("timely again: only %d of 400 sent", sent)
	}
}

// A rejection carries when what is in flight will have ended, within the limit. It carries nothing where the settings say so or
// while no latency is known.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	for _, c := range []struct {
		retryAfter        bool
		limit             time.Duration
		shortest, longest time.Duration
	}{{true, time.Second, 10 * ms, 500 * ms}, {true, 2 * ms, 2 * ms, 2 * ms}, {false, time.Second, 0, 0}} {
		set := settings()
		set.RetryAfter, set.MaxRetryAfter = c.retryAfter, c.limit
		b, h := startWithLatencies(t, set)
		rejected := 0
		for i := range 200 { // at once: more than fits
			b.Request(605*ms, Request{ID: fmt.Sprint("r", i), Class: "safe", TimeLeft: time.Second})
			for _, a := range h.take() {
				if a.what != "reject" {
					continue
				}
				if rejected++; a.at < c.shortest || a.at > c.longest {
					t.Fatalf("%+v: Retry-After is %v", c, a.at)
				}
			}
		}
		if rejected == 0 {
			t.Errorf("%+v: nothing was rejected", c)
		}
	}
	set := settings()
	set.RetryAfter, set.MaxRetryAfter = true, time.Second
	b, _ := start(t, set, oneZone(1))
	if d := b.retryAfter(ms, &request{class: b.classes["safe"]}); d != 0 {
		t.Errorf("%v before any latency is known", d)
	}
}

func TestUnknownClassIsRejected(t *testing.T) {
	b, h := start(t, settings(), oneZone(2))
	b.Request(0, Request{ID: "r", Class: "unknown", TimeLeft: time.Second})
	if a := h.take(); len(a) != 1 || a[0].what != "reject" {
		t.Errorf("%v", a)
	}
}

// What each of many proxies admits beyond the baseline would be a long queue at few servers.
func TestManyProxiesAdmitLessEach(t *testing.T) {
	sent := map[int]int{}
	for _, proxies := range []int{1, 100} {
		set := settings()
		set.Proxies = proxies
		b, h := start(t, set, oneZone(20))
		for i := range 40 {
			b.Request(time.Second+time.Duration(i), Request{ID: fmt.Sprint(i), Class: set.Classes[0].Name, TimeLeft: time.Second})
		}
		for _, a := range h.take() {
			if a.what == "send" {
				sent[proxies]++
			}
		}
	}
	if sent[100] == 0 || 4*sent[100] > 3*sent[1] {
		t.Errorf("a first burst: one proxy sends %d, each of 100 sends %d", sent[1], sent[100])
	}
}

// Rejections in proportion to the excess would need latency near the objective to reject a large one.
func TestLatencyAtObjectiveRejectsMost(t *testing.T) {
	for _, c := range []struct {
		latency                  time.Duration
		minFraction, maxFraction float64 // fraction rejected
	}{{20 * ms, 0, 0.05}, {50 * ms, 0, 0.1}, {99 * ms, 0.3, 0.9}} {
		set := settings()
		b, h := start(t, set, oneZone(8))
		arrived, rejected := 0, 0
		type sent struct {
			id   string
			at   time.Duration
			took time.Duration
		}
		var out []sent
		for now := time.Second; now < 6*time.Second; now += ms {
			took := 10 * ms // quick at first
			if now > 3*time.Second {
				took = c.latency
			}
			for len(out) > 0 && now-out[0].at >= out[0].took {
				endAttempt(b, now, out[0].id, Served, out[0].took)
				out = out[1:]
			}
			h.take()
			id := fmt.Sprint(now)
			b.Request(now, Request{ID: id, Class: set.Classes[0].Name, TimeLeft: time.Second})
			for _, a := range h.take() {
				if a.what == "send" {
					out = append(out, sent{a.id, now, took})
				} else if a.what == "reject" && now > 4*time.Second {
					rejected++
				}
			}
			if now > 4*time.Second {
				arrived++
			}
		}
		if part := float64(rejected) / float64(arrived); part < c.minFraction || part > c.maxFraction {
			t.Errorf("latency %v of an objective of 100ms: %.2f rejected, want %v to %v", c.latency, part, c.minFraction, c.maxFraction)
		}
	}
}

// Servers have one queue for all classes. A class of low value for its work that may wait for long is rejected before it makes more
// valuable ones late; without such classes it may wait.
func TestLowValueClassIsRejectedFirst(t *testing.T) {
	for _, c := range []struct {
		otherClass               bool
		minFraction, maxFraction float64 // fraction of the maps rejected
	}{{true, 0.5, 0.95}, {false, 0, 0.05}} {
		set := settings()
		set.Classes = []Class{{Name: "map", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "hold", LatencyObjective: 150 * ms, Deadline: time.Second, PriorityWeight: 2}}
		b, _ := start(t, set, oneZone(8))
		now := time.Second
		for i := range 600 { // 100 a second, in time all of them
			k := set.Classes[0]
			if now += 10 * ms; c.otherClass {
				k = set.Classes[i%2]
			}
			b.Request(now, Request{ID: fmt.Sprint(i), Class: k.Name, TimeLeft: time.Second})
			endAttempt(b, now, fmt.Sprint(i), Served, 90*ms)
		}
		b.load.inFlight = int(3 * b.baselineInFlight(now)) // each takes three times its time now, 270 ms
		part := 0.0
		for range 1000 {
			if b.overloaded(now, &request{class: b.classes["map"]}) {
				part += 0.001
			}
		}
		if part < c.minFraction || part > c.maxFraction {
			t.Errorf("other class %v: %.2f of the maps are rejected, want %v to %v", c.otherClass, part, c.minFraction, c.maxFraction)
		}
	}
}
