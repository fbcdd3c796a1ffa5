package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Danger: proxies times servers. Each proxy draws from a part of a zone; over all proxies each server is in
// about as many parts, and a lost server's place is taken by the next.
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

// Danger: among 300 proxies each sees a dozen requests a second. Drawn from all zones alike and from many servers, none
// is met twice while what was seen of it counts, and every other request pays for a connection.
func TestOneOfHundredsKnowsItsServers(t *testing.T) {
	var list []Server
	for i := range 150 {
		list = append(list, Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%5), Weight: 1})
	}
	set := settings()
	set.Proxies, set.Index, set.Zone, set.Price.CrossZone = 300, 7, "z2", 0.02
	b, h := start(t, set, list)
	met, away := map[string]int{}, 0
	const requests = 400
	for i := range requests {
		now := time.Second + time.Duration(i)*75*ms
		id := ask(t, b, h, now, fmt.Sprint(i), "safe")
		if id == "" {
			t.Fatalf("request %d went nowhere", i)
		}
		if met[id]++; b.endpoints.byID[id].Zone != set.Zone {
			away++
		}
		end(b, now+30*ms, fmt.Sprint(i), Served, time.Duration(40+b.rng.IntN(20))*ms) // all zones are alike
	}
	if len(met) > 5*minSubset || away > requests/4 {
		t.Errorf("%d requests met %d servers, %d of them in other zones, which are no better", requests, len(met), away)
	}
}

// A proxy that suddenly carries a large part of all traffic must not push it onto a few servers.
func TestSubsetGrowsWithWork(t *testing.T) {
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

// Danger: what each of many proxies holds to spare is a queue at few servers.
func TestManyProxiesSpareLess(t *testing.T) {
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

// Danger: a throttle in proportion needs latency near the aim to refuse a large excess.
func TestLatencyAtTheAimRefusesMost(t *testing.T) {
	for _, c := range []struct {
		latency     time.Duration
		least, most float64 // part refused
	}{{20 * ms, 0, 0.05}, {50 * ms, 0, 0.1}, {99 * ms, 0.3, 0.9}} {
		set := settings()
		b, h := start(t, set, oneZone(8))
		asked, refused := 0, 0
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
				end(b, now, out[0].id, Served, out[0].took)
				out = out[1:]
			}
			h.take()
			id := fmt.Sprint(now)
			b.Request(now, Request{ID: id, Class: set.Classes[0].Name, TimeLeft: time.Second})
			for _, a := range h.take() {
				if a.what == "send" {
					out = append(out, sent{a.id, now, took})
				} else if a.what == "refuse" && now > 4*time.Second {
					refused++
				}
			}
			if now > 4*time.Second {
				asked++
			}
		}
		if part := float64(refused) / float64(asked); part < c.least || part > c.most {
			t.Errorf("latency %v of an aim of 100ms: %.2f refused, want %v to %v", c.latency, part, c.least, c.most)
		}
	}
}

// Servers have one queue for all classes. What is worth little for its work and may wait for long is refused before it
// makes what is worth more late; where there is nothing worth more it may wait.
func TestQueueIsKeptForWhatIsWorthMore(t *testing.T) {
	for _, c := range []struct {
		holds       bool
		least, most float64 // part of the maps refused
	}{{true, 0.5, 0.95}, {false, 0, 0.05}} {
		set := settings()
		set.Classes = []Class{{Name: "map", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "hold", LatencyObjective: 150 * ms, Deadline: time.Second, PriorityWeight: 2}}
		b, _ := start(t, set, oneZone(8))
		now := time.Second
		for i := range 600 { // 100 a second, in time all of them
			k := set.Classes[0]
			if now += 10 * ms; c.holds {
				k = set.Classes[i%2]
			}
			b.Request(now, Request{ID: fmt.Sprint(i), Class: k.Name, TimeLeft: time.Second})
			end(b, now, fmt.Sprint(i), Served, 90*ms)
		}
		b.load.inFlight = int(3 * b.baselineInFlight(now)) // each takes three times its time now, 270 ms
		part := 0.0
		for range 1000 {
			if b.overloaded(now, &request{class: b.classes["map"]}) {
				part += 0.001
			}
		}
		if part < c.least || part > c.most {
			t.Errorf("holds %v: %.2f of the maps are refused, want %v to %v", c.holds, part, c.least, c.most)
		}
	}
}
