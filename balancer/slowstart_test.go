package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A server that is warming up is drawn in proportion to its guaranteed capacity. With a lower weight, requests that it could serve
// would queue at the warm servers, most of all when many servers are replaced at once.
func TestDrawsFollowWarmth(t *testing.T) {
	cfg := settings()
	cfg.WarmUpTime, cfg.WarmUpShare = 10*time.Second, 0.25
	servers := oneZone(4)
	servers[0].Since = 10 * time.Second
	b, _ := newTestBalancer(t, cfg, servers)
	for at, share := range map[time.Duration]float64{10 * time.Second: 0.25, 15 * time.Second: 0.625, 20 * time.Second: 1} {
		b.subset.stale = true
		b.refreshSubset(at)
		draws := 0.0
		for range 6000 {
			if b.draw(func(*server) bool { return true }, nil).ID == "s0" {
				draws++
			}
		}
		if want := 6000 * share / (3 + share); math.Abs(draws-want) > 150 {
			t.Errorf("at %v: server that is warming up was drawn %.0f of 6000 times, want about %.0f", at, draws, want)
		}
	}
}

// A server that is warming up gets few requests, even though its live weight is highest just after its start.
func TestWarmingServerGetsLittle(t *testing.T) {
	for _, source := range []WeightSource{WeightNominal, WeightLive} {
		cfg := settings()
		cfg.Weights = source
		servers := oneZone(5)
		servers[0].Since, servers[0].Weight = 10*time.Second, 9
		for i := 1; i < 5; i++ {
			servers[i].Weight = 1
		}
		b, h := newTestBalancer(t, cfg, servers)
		warming := 0
		for i := range 1000 {
			id, now := fmt.Sprint("r", i), 10*time.Second+time.Duration(i)*ms/10
			if sendRequest(t, b, h, now, id, "once") == "s0" {
				warming++
			}
			endAttempt(b, now, id, Served, 10*ms)
		}
		// The server is one of five and has 0.3 of its capacity: its even share is 60 of 1000 requests.
		if warming > 90 {
			t.Errorf("weight source %d: server that is warming up got %d of 1000 requests, want at most 90", source, warming)
		}
	}
}

// The limit of a server that is warming up counts all sends of the window, including those of attempts that end immediately and are
// hardly ever in flight.
func TestWarmUpLimitCountsSends(t *testing.T) {
	servers := oneZone(4)
	servers[0].Since = 10 * time.Second
	b, _ := newTestBalancer(t, settings(), servers)
	now := 10*time.Second + ms
	for range 20 {
		for _, s := range b.endpoints.ordered[1:] {
			s.sends.decay(now, b.settings.OverloadWindow+1).count++
		}
	}
	warming := b.endpoints.byID["s0"]
	b.refreshSubset(now)
	sent := 0
	for ; !b.warmUpLimitReached(warming, now) && sent < 100; sent++ {
		warming.sends.decay(now, b.settings.OverloadWindow+1).count++
	}
	// Each warm server got 20 sends. 20 * 0.3 * 2.5/2 = 7.5; the server that is warming up lowers the baseline a little.
	if sent < 5 || sent > 9 {
		t.Errorf("limit of the server that is warming up is %d sends, want 5 to 9", sent)
	}
	if b.warmUpLimitReached(b.endpoints.ordered[1], now) {
		t.Error("warmUpLimitReached is true for a warm server, want false")
	}
}

// If all servers are warming up at the same time, the baseline is the rate of the previous warm servers, and the new servers get only
// a part of it.
func TestAllServersWarmingUp(t *testing.T) {
	cfg := settings()
	cfg.WarmUpTime, cfg.WarmUpShare, cfg.OverloadMultiple, cfg.OverloadWindow = 10*time.Second, 0.1, 2.5, time.Second
	b, h := newTestBalancer(t, cfg, oneZone(2))
	now, served := time.Duration(0), 0
	sendOne := func(id string) { // a client that sends 400 requests per second
		now += 2500 * time.Microsecond
		if sendRequest(t, b, h, now, id, "once") != "" {
			served++
			endAttempt(b, now+ms, id, Served, ms)
		} else {
			b.ClientGone(now, id)
			h.takeActions()
		}
	}
	for i := range 2000 {
		sendOne(fmt.Sprint("w", i))
	}
	servedWarm := served
	servers := oneZone(2)
	for i := range servers {
		servers[i].ID, servers[i].Since = servers[i].ID+"'", now
	}
	b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateSnapshot, Servers: servers})
	served = 0
	for i := range 800 { // two seconds, in which the capacity grows from 0.1 to 0.28
		sendOne(fmt.Sprint("c", i))
	}
	// The limit is 1.25 * capacityFraction * 400 per second over two seconds. The decaying window admits some more at first.
	if served < 80 || served > 400 {
		t.Errorf("%d of 800 requests were sent while all servers were warming up, want 80 to 400; %d of 2000 were sent to warm servers", served, servedWarm)
	}
}
