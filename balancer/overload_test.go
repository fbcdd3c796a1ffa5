package balancer

import (
	"fmt"
	"testing"
	"time"
)

// While all answers are late, most requests are rejected but never all. Once answers meet the objective again, hardly any are.
func TestOverloadRejectsAndRecovers(t *testing.T) {
	b, h := newTestBalancer(t, settings(), oneZone(4))
	now := time.Duration(0)
	sendRequests := func(n int, took time.Duration) (sent int) {
		for i := range n {
			now += 5 * ms
			id := fmt.Sprint(now)
			if sendRequest(t, b, h, now, id, "safe") != "" {
				sent++
				r := b.requests.byID[id]
				r.deadline -= took // as if the request had arrived that much earlier
				b.Outcome(now, Outcome{ID: id, Result: Served, Latency: took, Final: true})
			}
			_ = i
		}
		return sent
	}
	sendRequests(400, 20*ms)
	sendRequests(400, 500*ms)
	if sent := sendRequests(400, 500*ms); sent < 10 || sent > 200 {
		t.Errorf("all answers late: %d of 400 requests sent, want 10 to 200", sent)
	}
	sendRequests(2000, 20*ms)
	if sent := sendRequests(400, 20*ms); sent < 390 {
		t.Errorf("answers within the objective again: %d of 400 requests sent, want at least 390", sent)
	}
}

// The Retry-After of a rejection is the expected time until the attempts in flight have ended, up to the limit. A rejection has no
// Retry-After if the settings disable it or while no latency is known.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	for _, c := range []struct {
		retryAfter        bool
		limit             time.Duration
		shortest, longest time.Duration
	}{{true, time.Second, 10 * ms, 500 * ms}, {true, 2 * ms, 2 * ms, 2 * ms}, {false, time.Second, 0, 0}} {
		cfg := settings()
		cfg.RetryAfter, cfg.MaxRetryAfter = c.retryAfter, c.limit
		b, h := startWithLatencies(t, cfg)
		rejected := 0
		for i := range 200 { // all at the same time, more than are admitted
			b.Request(605*ms, Request{ID: fmt.Sprint("r", i), Class: "safe", TimeLeft: time.Second})
			for _, a := range h.takeActions() {
				if a.kind != "reject" {
					continue
				}
				if rejected++; a.at < c.shortest || a.at > c.longest {
					t.Fatalf("%+v: got Retry-After %v, want %v to %v", c, a.at, c.shortest, c.longest)
				}
			}
		}
		if rejected == 0 {
			t.Errorf("%+v: no request was rejected", c)
		}
	}
	cfg := settings()
	cfg.RetryAfter, cfg.MaxRetryAfter = true, time.Second
	b, _ := newTestBalancer(t, cfg, oneZone(1))
	if d := b.retryAfter(ms, &request{class: b.classes["safe"]}); d != 0 {
		t.Errorf("got Retry-After %v before any latency is known, want 0", d)
	}
}

func TestUnknownClassIsRejected(t *testing.T) {
	b, h := newTestBalancer(t, settings(), oneZone(2))
	b.Request(0, Request{ID: "r", Class: "unknown", TimeLeft: time.Second})
	if a := h.takeActions(); len(a) != 1 || a[0].kind != "reject" {
		t.Errorf("got actions %v, want a rejection", a)
	}
}

// With many proxies, each proxy admits fewer requests beyond the baseline. Otherwise, their requests would add up to long queues at few
// servers.
func TestManyProxiesAdmitLessEach(t *testing.T) {
	sent := map[int]int{}
	for _, proxies := range []int{1, 100} {
		cfg := settings()
		cfg.Proxies = proxies
		b, h := newTestBalancer(t, cfg, oneZone(20))
		for i := range 40 {
			b.Request(time.Second+time.Duration(i), Request{ID: fmt.Sprint(i), Class: cfg.Classes[0].Name, TimeLeft: time.Second})
		}
		for _, a := range h.takeActions() {
			if a.kind == "send" {
				sent[proxies]++
			}
		}
	}
	if sent[100] == 0 || 4*sent[100] > 3*sent[1] {
		t.Errorf("of the first 40 requests, a single proxy sent %d and each of 100 proxies %d, want at most 3/4 as many but not 0", sent[1], sent[100])
	}
}

// Latency close to the objective leads to many rejections. With rejections in proportion to the excess, a large overload would keep
// latency near the objective.
func TestLatencyAtObjectiveRejectsMost(t *testing.T) {
	for _, c := range []struct {
		latency                  time.Duration
		minFraction, maxFraction float64 // bounds of the fraction rejected
	}{{20 * ms, 0, 0.05}, {50 * ms, 0, 0.1}, {99 * ms, 0.3, 0.9}} {
		cfg := settings()
		b, h := newTestBalancer(t, cfg, oneZone(8))
		arrived, rejected := 0, 0
		type sent struct {
			id   string
			at   time.Duration
			took time.Duration
		}
		var inFlight []sent
		for now := time.Second; now < 6*time.Second; now += ms {
			took := 10 * ms // low latency at first
			if now > 3*time.Second {
				took = c.latency
			}
			for len(inFlight) > 0 && now-inFlight[0].at >= inFlight[0].took {
				endAttempt(b, now, inFlight[0].id, Served, inFlight[0].took)
				inFlight = inFlight[1:]
			}
			h.takeActions()
			id := fmt.Sprint(now)
			b.Request(now, Request{ID: id, Class: cfg.Classes[0].Name, TimeLeft: time.Second})
			for _, a := range h.takeActions() {
				if a.kind == "send" {
					inFlight = append(inFlight, sent{a.id, now, took})
				} else if a.kind == "reject" && now > 4*time.Second {
					rejected++
				}
			}
			if now > 4*time.Second {
				arrived++
			}
		}
		if fraction := float64(rejected) / float64(arrived); fraction < c.minFraction || fraction > c.maxFraction {
			t.Errorf("latency %v with an objective of 100ms: fraction rejected is %.2f, want %v to %v", c.latency, fraction, c.minFraction, c.maxFraction)
		}
	}
}

// Servers have one queue for all classes. A class with a long latency objective and a low weight per work is rejected before its
// requests make those of a more valuable class late. Without a more valuable class, its requests may queue.
func TestLowValueClassIsRejectedFirst(t *testing.T) {
	for _, c := range []struct {
		otherClass               bool
		minFraction, maxFraction float64 // bounds of the fraction of map requests rejected
	}{{true, 0.5, 0.95}, {false, 0, 0.05}} {
		cfg := settings()
		cfg.Classes = []Class{{Name: "map", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "hold", LatencyObjective: 150 * ms, Deadline: time.Second, PriorityWeight: 2}}
		b, _ := newTestBalancer(t, cfg, oneZone(8))
		now := time.Second
		for i := range 600 { // 100 per second, all served within the objective
			k := cfg.Classes[0]
			if now += 10 * ms; c.otherClass {
				k = cfg.Classes[i%2]
			}
			b.Request(now, Request{ID: fmt.Sprint(i), Class: k.Name, TimeLeft: time.Second})
			endAttempt(b, now, fmt.Sprint(i), Served, 90*ms)
		}
		b.load.inFlight = int(3 * b.baselineInFlight(now)) // answers now take 3 times their mean latency, 270 ms
		fraction := 0.0
		for range 1000 {
			if b.shouldReject(now, &request{class: b.classes["map"]}) {
				fraction += 0.001
			}
		}
		if fraction < c.minFraction || fraction > c.maxFraction {
			t.Errorf("other class = %v: fraction of map requests rejected is %.2f, want %v to %v", c.otherClass, fraction, c.minFraction, c.maxFraction)
		}
	}
}
