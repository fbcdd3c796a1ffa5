package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A locality whose servers are all ejected still gets attempts, even if they are at most half of all servers, so that the panic
// threshold does not apply.
func TestEjectedLocalityGetsAttempts(t *testing.T) {
	cfg := settings()
	cfg.Localities = &fixedPicker{at: Locality{Zone: "zb"}}
	b, h := newTestBalancer(t, cfg, twoZones(4))
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(4)})
	for _, s := range b.endpoints.byZone["zb"] {
		b.eject(0, s)
	}
	to := ""
	for i := range 50 {
		if to = sendRequest(t, b, h, ms, fmt.Sprint("r", i), "once"); to != "" {
			break
		}
	}
	if s := b.endpoints.byID[to]; s == nil || s.Zone != "zb" {
		t.Fatalf("request was sent to %q, want a server of zone zb", to)
	}
}

// randomPicker is a LocalityPicker that returns random localities, including empty ones, and counts the attempts in each.
type randomPicker struct {
	t        *testing.T
	rng      *rand.Rand
	inFlight map[Locality]int
	sent     int
	reported int
}

func (p *randomPicker) UpdateHealth(_ time.Duration, localities []LocalityHealth) {
	seen := map[Locality]bool{}
	for _, health := range localities {
		if seen[health.Locality] || health.Ready > health.Running || health.Running > health.Listed || health.Listed <= 0 {
			p.t.Errorf("UpdateHealth: got %+v, want each locality once, with Ready <= Running <= Listed and Listed > 0", health)
		}
		seen[health.Locality] = true
	}
	p.reported += len(localities)
}

func (p *fixedPicker) UpdateHealth(time.Duration, []LocalityHealth) {}

func (p *randomPicker) Pick(_ time.Duration, request LocalityRequest) (Locality, bool, time.Duration) {
	if request.Draw < 0 || request.Draw >= 1 || request.TimeLeft <= 0 {
		p.t.Errorf("Pick: got %+v, want 0 <= Draw < 1 and TimeLeft > 0", request)
	}
	if request.Purpose == FirstAttempt && (request.OnlyZone != "" || request.Previous != Locality{}) || request.Purpose > Hedge {
		p.t.Errorf("Pick: got %+v, want a known Purpose, and no OnlyZone or Previous for a first attempt", request)
	}
	if p.rng.IntN(8) == 0 {
		return Locality{}, false, time.Second
	}
	return Locality{Zone: []string{"za", "zb", "zc"}[p.rng.IntN(3)], Priority: p.rng.IntN(2)}, true, 0
}

func (p *fixedPicker) Pick(_ time.Duration, request LocalityRequest) (Locality, bool, time.Duration) {
	p.requests = append(p.requests, request)
	return p.at, !p.none && len(request.Excluded) == 0, 700 * ms
}

func (p *randomPicker) AttemptSent(_ time.Duration, loc Locality, request LocalityRequest) {
	p.inFlight[loc]++
	p.sent++
	for _, excluded := range request.Excluded {
		if excluded == loc {
			p.t.Errorf("AttemptSent: locality %v was excluded by the request %+v", loc, request)
		}
	}
}

func (p *fixedPicker) AttemptSent(time.Duration, Locality, LocalityRequest) {}

func (p *randomPicker) AttemptEnded(_ time.Duration, loc Locality, _ LocalityRequest, _ Result, _ time.Duration) {
	if p.inFlight[loc]--; p.inFlight[loc] < 0 {
		p.t.Errorf("AttemptEnded: more attempts ended than were sent to locality %v", loc)
	}
}

func (p *fixedPicker) AttemptEnded(time.Duration, Locality, LocalityRequest, Result, time.Duration) {}

// Whatever a LocalityPicker decides, the invariants hold, and each attempt is reported to it once when it is sent and once when it
// ends.
func TestInvariantsWithAnyLocalityPicker(t *testing.T) {
	for seed := range uint64(20) {
		picker := &randomPicker{t: t, rng: rand.New(rand.NewPCG(seed, 2)), inFlight: map[Locality]int{}}
		if violation := runRandomEvents(t, seed, 1500, func(b *Balancer) { b.settings.Localities = picker }); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		for loc, n := range picker.inFlight {
			if n != 0 {
				t.Errorf("seed %d: %d attempts at locality %v were not reported as ended", seed, n, loc)
			}
		}
		if picker.sent == 0 || picker.reported == 0 {
			t.Errorf("seed %d: got %d sends and %d reported localities, want both above 0", seed, picker.sent, picker.reported)
		}
	}
}

// fixedPicker is a LocalityPicker that returns one locality, or none.
type fixedPicker struct {
	at       Locality
	none     bool
	requests []LocalityRequest
}

// If the LocalityPicker returns no locality, the request is rejected immediately with the picker's Retry-After and does not count as
// an overload.
func TestNoLocalityRejectsAtOnce(t *testing.T) {
	cfg := settings()
	picker := &fixedPicker{at: Locality{Zone: "zb"}, none: true}
	cfg.Localities, cfg.RetryAfter, cfg.MaxRetryAfter = picker, true, 5*time.Second
	b, h := newTestBalancer(t, cfg, nil)
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(8)})
	for i := range 300 {
		h.now = time.Duration(i) * ms
		b.Request(h.now, Request{ID: fmt.Sprint("n", i), Class: "safe", TimeLeft: time.Second})
		actions := h.takeActions()
		if len(actions) != 1 || actions[0].kind != "reject" || actions[0].at != 700*ms {
			t.Fatalf("request %d: got actions %+v, want a rejection with a Retry-After of 700ms", i, actions)
		}
	}
	picker.none = false
	for i := range 100 {
		now := time.Second + time.Duration(i)*5*ms
		if got := sendRequest(t, b, h, now, fmt.Sprint("y", i), "safe"); got == "" || b.endpoints.byID[got].Zone != "zb" {
			t.Fatalf("request %d after 300 rejections was sent to %q, want a server of zone zb", i, got)
		}
		endAttempt(b, now+ms, fmt.Sprint("y", i), Served, ms)
		h.takeActions()
	}
	if len(b.requests.byID) != 0 {
		t.Errorf("%d requests are retained, want 0", len(b.requests.byID))
	}
}

// A request waits while the endpoint list is not known, with a LocalityPicker as well as without one.
func TestUnknownListIsWaitedForWithLocalities(t *testing.T) {
	cfg := settings()
	cfg.Localities = &fixedPicker{at: Locality{Zone: "za"}}
	h := &recorder{}
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Request(0, Request{ID: "r", Class: "safe", TimeLeft: time.Second})
	if actions := h.takeActions(); len(actions) != 0 {
		t.Fatalf("got actions %+v before the list is known, want none", actions)
	}
	b.UpdateEndpoints(ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(4)})
	for token, at := range h.timers {
		b.Timer(at, token)
	}
	if actions := h.takeActions(); len(actions) == 0 || actions[0].kind != "send" {
		t.Errorf("got actions %+v after the list was received, want a send", actions)
	}
}

// A retry of a request with an idempotency key must stay in its zone if the request may have been executed, and may leave it otherwise.
// Servers of one zone and different priorities are different localities.
func TestLocalityRequestFields(t *testing.T) {
	cfg := settings()
	cfg.Classes[1].Group = GroupZone
	picker := &fixedPicker{at: Locality{Zone: "za"}}
	cfg.Localities = picker
	servers := twoZones(8)
	for i := range servers {
		servers[i].Priority = i / 4
	}
	for _, c := range []struct {
		result   Result
		onlyZone string
	}{{ConnectionLost, "za"}, {Rejected, ""}} {
		b, h := newTestBalancer(t, cfg, servers)
		picker.requests = nil
		got := sendRequest(t, b, h, ms, "r", "keyed")
		if s := b.endpoints.byID[got]; s == nil || s.Zone != "za" || s.Priority != 0 {
			t.Fatalf("request was sent to %q, want a server of zone za with priority 0", got)
		}
		endAttempt(b, 2*ms, "r", c.result, ms)
		if len(picker.requests) != 2 || picker.requests[1].Purpose != Retry || picker.requests[1].OnlyZone != c.onlyZone || picker.requests[1].Previous != picker.at {
			t.Errorf("result %d: got locality requests %+v, want the second to be a Retry with OnlyZone %q", c.result, picker.requests, c.onlyZone)
		}
	}
}
