package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Of a long list a part is weighed, and servers that cannot be used are not counted in it.
func TestLongListFindsReadyServers(t *testing.T) {
	l := oneZone(5000)
	for i := range l {
		if l[i].State = Draining; i == 4321 || i == 17 {
			l[i].State = Running
		}
	}
	b, h := start(t, settings(), l)
	for i := range 20 {
		id := fmt.Sprint("r", i)
		if got := sendRequest(t, b, h, ms, id, "once"); got != l[4321].ID && got != l[17].ID {
			t.Fatalf("request %d went to %q, which is draining", i, got)
		}
		endAttempt(b, ms, id, Served, ms)
	}
	for i := range l {
		l[i].State = Running
	}
	b.UpdateEndpoints(2*ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: l})
	sendRequest(t, b, h, 3*ms, "all", "once")
	if len(b.subset.candidates) > 4*minCandidates {
		t.Errorf("%d of %d servers were weighed", len(b.subset.candidates), len(l))
	}
}

// Each proxy draws from a part of a zone. Over all proxies each server is in about as many parts, and the place of a lost server is
// taken by the next.
func TestSubsetIsEven(t *testing.T) {
	for _, c := range []struct{ proxies, first, step, servers int }{
		{40, 0, 1, 80}, {200, 0, 3, 60}, {120, 410, 1, 130}, {120, 0, 5, 40}, {5, 0, 1, 12}, {300, 0, 1, 150},
	} {
		in := map[string]int{}
		size := func(servers int) int {
			return min(max(min(minSubset*servers/(c.first+c.step*c.proxies), defaultSubset), minSubset), servers)
		}
		for i := range c.proxies {
			set := settings()
			set.Index, set.Proxies = c.first+c.step*i, c.first+c.step*c.proxies
			b, _ := start(t, set, oneZone(c.servers))
			b.refreshSubset(time.Second)
			if len(b.subset.servers) != size(c.servers) {
				t.Fatalf("%v: proxy %d draws from %d servers, want %d", c, i, len(b.subset.servers), size(c.servers))
			}
			for _, s := range b.subset.servers {
				in[s.ID]++
			}
			lost := b.subset.servers[0].ID
			b.UpdateEndpoints(2*time.Second, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{{ID: lost, State: Removed}}})
			b.refreshSubset(2 * time.Second)
			if want := size(c.servers - 1); len(b.subset.servers) != want || b.subset.servers[0].ID == lost {
				t.Fatalf("%v: %d servers after one is lost, want %d", c, len(b.subset.servers), want)
			}
		}
		mean := float64(c.proxies*size(c.servers)) / float64(c.servers)
		for i := range c.servers {
			id := oneZone(c.servers)[i].ID
			if n := float64(in[id]); n < 0.6*mean-1 || n > 1.4*mean+1 {
				t.Errorf("%v: server %s is drawn from by %v proxies, the mean is %.1f", c, id, n, mean)
			}
		}
	}
}

// Among 300 proxies each sees a dozen requests a second. If it drew from all zones alike and from many servers, it would meet none
// twice while what it knows of it counts, and every other request would pay for a connection.
func TestSubsetOfManyProxiesIsSmall(t *testing.T) {
	var list []Server
	for i := range 150 {
		list = append(list, Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%5), Weight: 1})
	}
	set := settings()
	set.Proxies, set.Index, set.Zone, set.Price.CrossZone = 300, 7, "z2", 0.02
	b, h := start(t, set, list)
	met, crossed := map[string]int{}, 0
	const requests = 400
	for i := range requests {
		now := time.Second + time.Duration(i)*75*ms
		id := sendRequest(t, b, h, now, fmt.Sprint(i), "safe")
		if id == "" {
			t.Fatalf("request %d went nowhere", i)
		}
		if met[id]++; b.endpoints.byID[id].Zone != set.Zone {
			crossed++
		}
		endAttempt(b, now+30*ms, fmt.Sprint(i), Served, time.Duration(40+b.rng.IntN(20))*ms) // all zones are alike
	}
	if len(met) > 5*minSubset || crossed > requests/4 {
		t.Errorf("%d requests met %d servers, %d of them in other zones, which are no better", requests, len(met), crossed)
	}
}

// A proxy that suddenly carries a large part of all traffic must not concentrate it on a few servers.
func TestSubsetGrowsWithInFlight(t *testing.T) {
	set := settings()
	set.Proxies = 100
	b, h := start(t, set, oneZone(90))
	used := map[string]bool{}
	for i := range 300 {
		b.Request(time.Duration(i+1)*time.Second/10, Request{ID: fmt.Sprint(i), Class: set.Classes[0].Name, TimeLeft: time.Hour})
	}
	for _, a := range h.take() {
		if a.what == "send" {
			used[a.server] = true
		}
	}
	if b.refreshSubset(time.Hour); len(used) <= 2*defaultSubset {
		t.Errorf("%d attempts out went to %d servers only", b.load.inFlight, len(used))
	}
}
