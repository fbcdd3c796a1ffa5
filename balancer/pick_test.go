package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// ask sends one request and gives the server it went to.
func ask(t *testing.T, b *Balancer, h *recorder, now time.Duration, id, class string) string {
	t.Helper()
	h.now = now
	b.Request(now, Request{ID: id, Class: class, TimeLeft: time.Second})
	for _, a := range h.take() {
		if a.what == "send" {
			return a.server
		}
	}
	return ""
}

func end(b *Balancer, now time.Duration, id string, res Result, took time.Duration) {
	b.Outcome(now, Outcome{ID: id, Result: res, Latency: took, Final: res == Served})
}

func oneZone(n int) []Server {
	l := fleet(n)
	for i := range l {
		l[i].Zone = "za"
	}
	return l
}

// The lower counter wins: from outside, the server with more in flight is never taken while it meets a lighter one.
func TestFewerInFlightWins(t *testing.T) {
	b, h := start(t, settings(), oneZone(2))
	busy := ask(t, b, h, 0, "first", "once")
	for i := range 50 {
		id := fmt.Sprint("r", i)
		got := ask(t, b, h, ms, id, "once")
		if got == busy {
			t.Fatalf("request %d went to the busier of two", i)
		}
		end(b, ms, id, Served, 10*ms) // lowers it again
	}
}

// Every end of an attempt lowers the counter.
func TestEveryEndLowersTheCounter(t *testing.T) {
	for _, res := range []Result{Served, ServerError, Rejected, TimedOut, NotConnected, ConnectionLost, Cancelled, NotSent} {
		b, h := start(t, settings(), oneZone(1))
		ask(t, b, h, 0, "r", "once")
		if b.endpoints.ordered[0].inFlight != 1 {
			t.Fatalf("result %d: a send does not raise the counter", res)
		}
		end(b, ms, "r", res, ms)
		end(b, ms, "r", res, ms) // a second report of the same attempt is passed over
		b.ClientGone(ms, "no such request")
		if b.endpoints.ordered[0].inFlight != 0 {
			t.Errorf("result %d leaves %d in flight", res, b.endpoints.ordered[0].inFlight)
		}
	}
}

// Draws follow the weights: with one request at a time, a server of weight 3 among ones of 1 is taken more often
// than they are, and no server is left out.
func TestDrawsFollowWeights(t *testing.T) {
	l := oneZone(4)
	l[0].Weight = 3
	b, _ := start(t, settings(), l)
	b.refreshSubset(0)
	n := map[string]int{}
	for range 6000 {
		n[b.draw(func(*server) bool { return true }, nil).ID]++
	}
	for id, want := range map[string]int{"s0": 3000, "s1": 1000, "s2": 1000, "s3": 1000} {
		if d := n[id] - want; d < -200 || d > 200 {
			t.Errorf("%s drawn %d times, want about %d", id, n[id], want)
		}
	}
}

// A cold server is drawn by the capacity that it has at the least. Danger: by less, and what it could have taken queues at
// the warm ones, just as many of them are replaced at once.
func TestColdDrawsFollowWarmth(t *testing.T) {
	set := settings()
	set.WarmUpTime, set.WarmUpShare = 10*time.Second, 0.25
	l := oneZone(4)
	l[0].Since = 10 * time.Second
	b, _ := start(t, set, l)
	for at, share := range map[time.Duration]float64{10 * time.Second: 0.25, 15 * time.Second: 0.625, 20 * time.Second: 1} {
		b.subset.stale = true
		b.refreshSubset(at)
		n := 0.0
		for range 6000 {
			if b.draw(func(*server) bool { return true }, nil).ID == "s0" {
				n++
			}
		}
		if want := 6000 * share / (3 + share); math.Abs(n-want) > 150 {
			t.Errorf("at %v: a cold server is drawn %.0f times of 6000, want about %.0f", at, n, want)
		}
	}
}

func TestListNews(t *testing.T) {
	set := settings()
	set.Proxies = 1                                          // so that nothing is refused at one server
	b, h := start(t, set, append(oneZone(3), oneZone(1)...)) // s0 twice
	if len(b.endpoints.ordered) != 3 {
		t.Fatalf("%d servers, want 3: the same one listed twice counts once", len(b.endpoints.ordered))
	}
	b.UpdateEndpoints(ms, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{{ID: "s0", Zone: "za", State: Draining, Weight: 1}, {ID: "s1", State: Removed}}})
	for i := range 8 {
		if got := ask(t, b, h, ms, fmt.Sprint("r", i), "once"); got != "s2" {
			t.Fatalf("request %d sent to %q, only s2 is ready", i, got)
		}
	}
	b.UpdateEndpoints(2*ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: []Server{{ID: "s9", Zone: "za", Weight: 1}}})
	if got := ask(t, b, h, 2*ms, "x", "once"); got != "s9" || b.endpoints.byID["s9"].inFlight != 1 {
		t.Errorf("sent to %q after a whole list that names s9 only", got)
	}
}

func TestBadWeightsKeepServersDrawable(t *testing.T) {
	l := oneZone(3)
	l[0].Weight, l[1].Weight = 0, -4
	b, h := start(t, settings(), l)
	seen := map[string]bool{}
	for i := range 200 {
		id := fmt.Sprint("r", i)
		seen[ask(t, b, h, ms, id, "safe")] = true
		end(b, ms, id, Served, 10*ms)
	}
	if len(seen) != 3 {
		t.Errorf("only %v were used", seen)
	}
}

// An empty list holds a request, then refuses it while the client can still use the answer.
func TestEmptyListHoldsThenRefuses(t *testing.T) {
	b, h := start(t, settings(), nil)
	if got := ask(t, b, h, 0, "r", "once"); got != "" {
		t.Fatal("sent to", got)
	}
	for range 20 {
		at, ok := h.timers[1]
		if !ok {
			t.Fatal("held without a timer")
		}
		h.now = at
		delete(h.timers, 1)
		b.Timer(at, 1)
		if a := h.take(); len(a) > 0 {
			if a[0].what != "refuse" || at >= time.Second {
				t.Errorf("%v at %v", a, at)
			}
			return
		}
	}
	t.Error("never ended")
}

func TestUnknownClassIsRefused(t *testing.T) {
	b, h := start(t, settings(), oneZone(2))
	b.Request(0, Request{ID: "r", Class: "nobody", TimeLeft: time.Second})
	if a := h.take(); len(a) != 1 || a[0].what != "refuse" {
		t.Errorf("%v", a)
	}
}

// A server that fails at once empties its counter and would win its pairs.
func TestFailingServerIsEjected(t *testing.T) {
	b, h := start(t, settings(), oneZone(6))
	bad := 0
	for i := range 400 {
		id, now := fmt.Sprint("r", i), time.Duration(i)*5*ms
		if ask(t, b, h, now, id, "once") == "s3" {
			bad++
			end(b, now+ms, id, ConnectionLost, ms)
		} else {
			end(b, now+ms, id, Served, 10*ms)
		}
	}
	if bad > 20 {
		t.Errorf("the failing server got %d of 400", bad)
	}
}

// What was not sent says nothing of the server, neither that it is out of order nor that it is alive.
func TestNotSentSaysNothing(t *testing.T) {
	b, h := start(t, settings(), oneZone(1))
	s := b.endpoints.ordered[0]
	for i := range 2 {
		id := fmt.Sprint("r", i)
		ask(t, b, h, ms, id, "safe")
		end(b, 9*ms, id, NotSent, 0)
		if b.ejected(s, 9*ms) || s.outlier.consecutiveFailures != 0 || s.recentLatency.count != 0 {
			t.Fatalf("out after %d that were not sent", i+1)
		}
	}
	b.overload.timely = decayingMean{} // the throttle is not what is tested
	if ask(t, b, h, 10*ms, "silent", "safe") == "" || ask(t, b, h, 20*ms, "unsent", "safe") == "" {
		t.Fatal("refused")
	}
	if end(b, 30*ms, "unsent", NotSent, 0); s.silentSince != 10*ms {
		t.Errorf("silent since %v", s.silentSince)
	}
}

// A server that turns one class away is left out for that one alone, and is tried again.
func TestClassTurnedAwayIsLeftOut(t *testing.T) {
	set := settings()
	set.Proxies = 1
	b, h := start(t, set, oneZone(4))
	n, tries := map[string]int{}, map[string]int{}
	play := func(from, to int, away bool) {
		clear(n)
		for i := from; i < to; i++ {
			now, class := time.Duration(i)*5*ms, []string{"safe", "once"}[i%2]
			id, old := fmt.Sprint("r", i), fmt.Sprint("r", i-8) // eight are out at any time
			h.now = now
			if k, ok := tries[old]; ok {
				b.Outcome(now, Outcome{ID: old, Attempt: k, Result: Served, Latency: 40 * ms, Final: true})
			}
			b.Request(now, Request{ID: id, Class: class, TimeLeft: time.Second})
			for k := 0; ; k++ {
				a := h.take()
				if len(a) != 1 || a[0].what != "send" {
					break
				}
				tries[id] = k
				if n[class+a[0].server]++; away && class == "once" && a[0].server == "s3" {
					delete(tries, id)
					b.Outcome(now, Outcome{ID: id, Attempt: k, Result: Rejected, Latency: ms})
				}
			}
		}
	}
	play(0, 2000, true)
	if once, safe := n["onces3"], n["safes3"]; once > 60 || safe < 100 {
		t.Errorf("of 1000 each it got %d that it turns away and %d that it serves", once, safe)
	}
	if play(2000, 6000, false); n["onces3"] < 300 {
		t.Errorf("it serves them again and gets %d of 2000", n["onces3"])
	}
}

// When all fail, nobody is ejected.
func TestPanicThreshold(t *testing.T) {
	b, h := start(t, settings(), oneZone(4))
	for i := range 40 {
		now := time.Duration(i) * ms
		if ask(t, b, h, now, fmt.Sprint("r", i), "safe") == "" {
			continue // refused by the throttle
		}
		end(b, now, fmt.Sprint("r", i), ConnectionLost, ms)
		h.take()
	}
	b.subset.stale = true
	if b.refreshSubset(40 * ms); len(b.subset.servers) != 4 {
		t.Errorf("%d of 4 are ready", len(b.subset.servers))
	}
}

// A live weight is highest just after a start; a cold server must still get little.
func TestColdServerGetsLittle(t *testing.T) {
	for _, source := range []WeightSource{WeightNominal, WeightLive} {
		set := settings()
		set.Weights = source
		l := oneZone(5)
		l[0].Since, l[0].Weight = 10*time.Second, 9
		for i := 1; i < 5; i++ {
			l[i].Weight = 1
		}
		b, h := start(t, set, l)
		cold := 0
		for i := range 1000 {
			id, now := fmt.Sprint("r", i), 10*time.Second+time.Duration(i)*ms/10
			if ask(t, b, h, now, id, "once") == "s0" {
				cold++
			}
			end(b, now, id, Served, 10*ms)
		}
		// A fifth of the fleet with 0.3 of its capacity: its even part is 60 of 1000.
		if cold > 90 {
			t.Errorf("weights %d: the cold server got %d of 1000", source, cold)
		}
	}
}

// With everything late the throttle refuses most, never all, and lets go when answers are timely again.
func TestThrottleActsAndRecovers(t *testing.T) {
	b, h := start(t, settings(), oneZone(4))
	now := time.Duration(0)
	play := func(n int, took time.Duration) (sent int) {
		for i := range n {
			now += 5 * ms
			id := fmt.Sprint(now)
			if ask(t, b, h, now, id, "safe") != "" {
				sent++
				r := b.requests.byID[id]
				r.deadline -= took // as if it had come that long ago
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

// Whoever is refused is told when what is out will have ended, within the limit; where clients hear no such advice,
// and as long as nothing is known of how long answers take, nothing is told.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	for _, c := range []struct {
		advice   bool
		limit    time.Duration
		low, top time.Duration
	}{{true, time.Second, 10 * ms, 500 * ms}, {true, 2 * ms, 2 * ms, 2 * ms}, {false, time.Second, 0, 0}} {
		set := settings()
		set.RetryAfter, set.MaxRetryAfter = c.advice, c.limit
		b, h := known(t, set)
		refused := 0
		for i := range 200 { // at once: more than fits
			b.Request(605*ms, Request{ID: fmt.Sprint("r", i), Class: "safe", TimeLeft: time.Second})
			for _, a := range h.take() {
				if a.what != "refuse" {
					continue
				}
				if refused++; a.at < c.low || a.at > c.top {
					t.Fatalf("%+v: told to come back after %v", c, a.at)
				}
			}
		}
		if refused == 0 {
			t.Errorf("%+v: nothing was refused", c)
		}
	}
	set := settings()
	set.RetryAfter, set.MaxRetryAfter = true, time.Second
	b, _ := start(t, set, oneZone(1))
	if d := b.retryAfter(ms, &request{class: b.classes["safe"]}); d != 0 {
		t.Errorf("%v before anything is known", d)
	}
}

// The names of zones, kinds, classes, tenants and servers decide nothing.
func TestNamesDecideNothing(t *testing.T) {
	run := func(p string) (log []act) {
		set := settings()
		set.Zone = p + set.Zone
		set.Zones = []string{p + "za", p + "zb"}
		for i := range set.Classes {
			set.Classes[i].Name = p + set.Classes[i].Name
		}
		set.Tenants = []Tenant{{Name: p + "t", Rate: 40}, {Name: p + "u", Rate: 20}}
		l := fleet(8)
		for i := range l {
			l[i].ID, l[i].Zone, l[i].Kind = p+l[i].ID, p+l[i].Zone, p+[]string{"k", "l"}[i%3%2]
		}
		b, h := start(t, set, l)
		for i := range 800 {
			now := time.Duration(i) * 3 * ms
			h.now = now
			id := fmt.Sprint("r", i)
			b.Request(now, Request{ID: id, Class: set.Classes[i%3].Name, Tenant: set.Tenants[i%2].Name, TimeLeft: time.Second})
			if i >= 10 {
				res := Result(i * 7 % 11 % 8)
				b.Outcome(now, Outcome{ID: fmt.Sprint("r", i-10), Result: res, Latency: 30 * ms, Final: res == Served})
			}
			for _, a := range h.take() {
				if a.server != "" {
					a.server = a.server[len(p):]
				}
				log = append(log, a)
			}
		}
		return log
	}
	one, two := run(""), run("zz-")
	if fmt.Sprint(one) != fmt.Sprint(two) {
		t.Error("renaming changed the actions")
	}
	if len(one) < 800 {
		t.Errorf("only %d actions: the run shows nothing", len(one))
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lb, _ := New(settings(), 1, &recorder{})
			lb.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateCached, Servers: fleet(n)})
			any := func(*server) bool { return true }
			b.ReportAllocs()
			for b.Loop() {
				lb.pick(0, any)
			}
		})
	}
}

// A cold server's budget counts sends that end at once too, which no counter shows.
func TestColdServerHasASendBudget(t *testing.T) {
	l := oneZone(4)
	l[0].Since = 10 * time.Second
	b, _ := start(t, settings(), l)
	now := 10*time.Second + ms
	for range 20 {
		for _, s := range b.endpoints.ordered[1:] {
			s.sends.decay(now, b.settings.OverloadWindow+1).count++
		}
	}
	cold := b.endpoints.byID["s0"]
	b.refreshSubset(now)
	n := 0
	for ; !b.warmUpLimitReached(cold, now) && n < 100; n++ {
		cold.sends.decay(now, b.settings.OverloadWindow+1).count++
	}
	// Warm servers had 20 each; 0.3 of that times half of 2.5 is 7.5, a little less as it dilutes the usual.
	if n < 5 || n > 9 {
		t.Errorf("budget of %d sends", n)
	}
	if b.warmUpLimitReached(b.endpoints.ordered[1], now) {
		t.Error("a warm server has a budget")
	}
}

// Where every server is cold at once, what the warm ones got before them is the measure: a part of it is given, and no
// more.
func TestAllColdAtOnce(t *testing.T) {
	set := settings()
	set.WarmUpTime, set.WarmUpShare, set.OverloadMultiple, set.OverloadWindow = 10*time.Second, 0.1, 2.5, time.Second
	b, h := start(t, set, oneZone(2))
	now, served := time.Duration(0), 0
	step := func(id string) { // a client that asks 400 times a second
		now += 2500 * time.Microsecond
		if ask(t, b, h, now, id, "once") != "" {
			served++
			end(b, now+ms, id, Served, ms)
		} else {
			b.ClientGone(now, id)
			h.take()
		}
	}
	for i := range 2000 {
		step(fmt.Sprint("w", i))
	}
	warm := served
	l := oneZone(2)
	for i := range l {
		l[i].ID, l[i].Since = l[i].ID+"'", now
	}
	b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateSnapshot, Servers: l})
	served = 0
	for i := range 800 { // two seconds: warmth 0.1 to 0.28, of what was 400 a second
		step(fmt.Sprint("c", i))
	}
	// 1.25 times the warmth of 400 a second, over two seconds; the window that counts lets some more go at first.
	if served < 80 || served > 400 {
		t.Errorf("%d of 800 go to servers that are all cold, %d of 2000 went to the warm", served, warm)
	}
}
