package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A server that is warming up is drawn by the capacity that it has at least. With less, what it could have taken would queue at the
// warm servers, just when many of them are replaced at once.
func TestDrawsFollowWarmth(t *testing.T) {
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
			t.Errorf("at %v: a server that is warming up is drawn %.0f times of 6000, want about %.0f", at, n, want)
		}
	}
}

// A live weight is highest just after a start; a server that is warming up must still get little.
func TestWarmingServerGetsLittle(t *testing.T) {
	for _, source := range []WeightSource{WeightNominal, WeightLive} {
		set := settings()
		set.Weights = source
		l := oneZone(5)
		l[0].Since, l[0].Weight = 10*time.Second, 9
		for i := 1; i < 5; i++ {
			l[i].Weight = 1
		}
		b, h := start(t, set, l)
		warming := 0
		for i := range 1000 {
			id, now := fmt.Sprint("r", i), 10*time.Second+time.Duration(i)*ms/10
			if sendRequest(t, b, h, now, id, "once") == "s0" {
				warming++
			}
			endAttempt(b, now, id, Served, 10*ms)
		}
		// A fifth of the fleet with 0.3 of its capacity: its even part is 60 of 1000.
		if warming > 90 {
			t.Errorf("weights %d: the server that is warming up got %d of 1000", source, warming)
		}
	}
}

// The limit of a server that is warming up also counts attempts that end at once, which the attempts in flight do not show.
func TestWarmUpLimitCountsSends(t *testing.T) {
	l := oneZone(4)
	l[0].Since = 10 * time.Second
	b, _ := start(t, settings(), l)
	now := 10*time.Second + ms
	for range 20 {
		for _, s := range b.endpoints.ordered[1:] {
			s.sends.decay(now, b.settings.OverloadWindow+1).count++
		}
	}
	warming := b.endpoints.byID["s0"]
	b.refreshSubset(now)
	n := 0
	for ; !b.warmUpLimitReached(warming, now) && n < 100; n++ {
		warming.sends.decay(now, b.settings.OverloadWindow+1).count++
	}
	// Warm servers had 20 each; 0.3 of that times half of 2.5 is 7.5, a little less as it dilutes the baseline.
	if n < 5 || n > 9 {
		t.Errorf("limit of %d sends", n)
	}
	if b.warmUpLimitReached(b.endpoints.ordered[1], now) {
		t.Error("a warm server has a limit")
	}
}

// Where all servers warm up at once, what the warm ones got before them is the baseline: they get a part of it, and no more.
func TestAllServersWarmingUp(t *testing.T) {
	set := settings()
	set.WarmUpTime, set.WarmUpShare, set.OverloadMultiple, set.OverloadWindow = 10*time.Second, 0.1, 2.5, time.Second
	b, h := start(t, set, oneZone(2))
	now, served := time.Duration(0), 0
	step := func(id string) { // a client that asks 400 times a second
		now += 2500 * time.Microsecond
		if sendRequest(t, b, h, now, id, "once") != "" {
			served++
			endAttempt(b, now+ms, id, Served, ms)
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
		t.Errorf("%d of 800 go to servers that are all warming up, %d of 2000 went to the warm", served, warm)
	}
}
