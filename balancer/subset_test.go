package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Only a part of a long list is weighted. Servers that are not ready do not count toward this part, so ready servers are found anywhere
// in the list.
func TestLongListFindsReadyServers(t *testing.T) {
	servers := oneZone(5000)
	for i := range servers {
		if servers[i].State = Draining; i == 4321 || i == 17 {
			servers[i].State = Running
		}
	}
	b, h := newTestBalancer(t, settings(), servers)
	for i := range 20 {
		id := fmt.Sprint("r", i)
		if got := sendRequest(t, b, h, ms, id, "once"); got != servers[4321].ID && got != servers[17].ID {
			t.Fatalf("request %d was sent to %q, want one of the two running servers", i, got)
		}
		endAttempt(b, ms, id, Served, ms)
	}
	for i := range servers {
		servers[i].State = Running
	}
	b.UpdateEndpoints(2*ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: servers})
	sendRequest(t, b, h, 3*ms, "all", "once")
	if len(b.subset.candidates) > 4*minCandidates {
		t.Errorf("%d of %d servers were weighted, want at most %d", len(b.subset.candidates), len(servers), 4*minCandidates)
	}
}

// Each proxy draws from a subset of the servers of a zone. All servers are in about equally many subsets, and a removed server is
// replaced in the subset by another one.
func TestSubsetIsEven(t *testing.T) {
	for _, c := range []struct{ proxies, first, step, servers int }{
		{40, 0, 1, 80}, {200, 0, 3, 60}, {120, 410, 1, 130}, {120, 0, 5, 40}, {5, 0, 1, 12}, {300, 0, 1, 150},
	} {
		proxiesOf := map[string]int{}
		size := func(servers int) int {
			return min(max(min(minSubset*servers/(c.first+c.step*c.proxies), defaultSubset), minSubset), servers)
		}
		for i := range c.proxies {
			cfg := settings()
			cfg.Index, cfg.Proxies = c.first+c.step*i, c.first+c.step*c.proxies
			b, _ := newTestBalancer(t, cfg, oneZone(c.servers))
			b.refreshSubset(time.Second)
			if len(b.subset.servers) != size(c.servers) {
				t.Fatalf("%+v: proxy %d draws from %d servers, want %d", c, i, len(b.subset.servers), size(c.servers))
			}
			for _, s := range b.subset.servers {
				proxiesOf[s.ID]++
			}
			lost := b.subset.servers[0].ID
			b.UpdateEndpoints(2*time.Second, EndpointUpdate{Kind: UpdateDelta, Servers: []Server{{ID: lost, State: Removed}}})
			b.refreshSubset(2 * time.Second)
			if want := size(c.servers - 1); len(b.subset.servers) != want || b.subset.servers[0].ID == lost {
				t.Fatalf("%+v: subset has %d servers after the removal of %s, want %d others", c, len(b.subset.servers), lost, want)
			}
		}
		mean := float64(c.proxies*size(c.servers)) / float64(c.servers)
		for i := range c.servers {
			id := oneZone(c.servers)[i].ID
			if n := float64(proxiesOf[id]); n < 0.6*mean-1 || n > 1.4*mean+1 {
				t.Errorf("%+v: server %s is in the subsets of %v proxies, want about the mean of %.1f", c, id, n, mean)
			}
		}
	}
}

// Each of 300 proxies handles about 13 requests per second. If it drew from all zones equally and from many servers, it would use no
// server twice while its observations are valid, and every other request would need a new connection.
func TestSubsetOfManyProxiesIsSmall(t *testing.T) {
	var list []Server
	for i := range 150 {
		list = append(list, Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%5), Weight: 1})
	}
	cfg := settings()
	cfg.Proxies, cfg.Index, cfg.Zone, cfg.Price.CrossZone = 300, 7, "z2", 0.02
	b, h := newTestBalancer(t, cfg, list)
	requestsTo, crossed := map[string]int{}, 0
	const requests = 400
	for i := range requests {
		now := time.Second + time.Duration(i)*75*ms
		id := sendRequest(t, b, h, now, fmt.Sprint(i), "safe")
		if id == "" {
			t.Fatalf("request %d was not sent", i)
		}
		if requestsTo[id]++; b.endpoints.byID[id].Zone != cfg.Zone {
			crossed++
		}
		endAttempt(b, now+30*ms, fmt.Sprint(i), Served, time.Duration(40+b.rng.IntN(20))*ms) // latency does not depend on the zone
	}
	if len(requestsTo) > 5*minSubset || crossed > requests/4 {
		t.Errorf("%d requests used %d servers, and %d requests crossed zones; want at most %d and %d", requests, len(requestsTo), crossed, 5*minSubset, requests/4)
	}
}

// A proxy that suddenly gets a large part of all traffic does not concentrate it on few servers.
func TestSubsetGrowsWithInFlight(t *testing.T) {
	cfg := settings()
	cfg.Proxies = 100
	b, h := newTestBalancer(t, cfg, oneZone(90))
	used := map[string]bool{}
	for i := range 300 {
		b.Request(time.Duration(i+1)*time.Second/10, Request{ID: fmt.Sprint(i), Class: cfg.Classes[0].Name, TimeLeft: time.Hour})
	}
	for _, a := range h.takeActions() {
		if a.kind == "send" {
			used[a.server] = true
		}
	}
	if b.refreshSubset(time.Hour); len(used) <= 2*defaultSubset {
		t.Errorf("%d attempts in flight are at %d servers, want more than %d", b.load.inFlight, len(used), 2*defaultSubset)
	}
}
