package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A locality whose servers are all ejected gets attempts though they are no more than half of all servers.
func TestEjectedLocalityGetsAttempts(t *testing.T) {
	set := settings()
	set.Localities = &fixedPicker{at: Locality{Zone: "zb"}}
	b, h := start(t, set, twoZones(4))
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
		t.Fatalf("the attempt goes to %q", to)
	}
}

// randomPicker is a LocalityPicker that returns any locality, also empty ones, and counts the attempts in each.
type randomPicker struct {
	t        *testing.T
	rng      *rand.Rand
	out      map[Locality]int
	sent     int
	reported int
}

func (d *randomPicker) UpdateHealth(_ time.Duration, l []LocalityHealth) {
	seen := map[Locality]bool{}
	for _, h := range l {
		if seen[h.Locality] || h.Ready > h.Running || h.Running > h.Listed || h.Listed <= 0 {
			d.t.Errorf("%+v", h)
		}
		seen[h.Locality] = true
	}
	d.reported += len(l)
}

func (f *fixedPicker) UpdateHealth(time.Duration, []LocalityHealth) {}

func (d *randomPicker) Pick(_ time.Duration, a LocalityRequest) (Locality, bool, time.Duration) {
	if a.Draw < 0 || a.Draw >= 1 || a.TimeLeft <= 0 {
		d.t.Errorf("%+v", a)
	}
	if a.Purpose == FirstAttempt && (a.OnlyZone != "" || a.Previous != Locality{}) || a.Purpose > Hedge {
		d.t.Errorf("%+v", a)
	}
	if d.rng.IntN(8) == 0 {
		return Locality{}, false, time.Second
	}
	return Locality{Zone: []string{"za", "zb", "zc"}[d.rng.IntN(3)], Priority: d.rng.IntN(2)}, true, 0
}

func (f *fixedPicker) Pick(_ time.Duration, a LocalityRequest) (Locality, bool, time.Duration) {
	f.requests = append(f.requests, a)
	return f.at, !f.none && len(a.Excluded) == 0, 700 * ms
}

func (d *randomPicker) AttemptSent(_ time.Duration, at Locality, a LocalityRequest) {
	d.out[at]++
	d.sent++
	for _, not := range a.Excluded {
		if not == at {
			d.t.Errorf("%v though it was excluded: %+v", at, a)
		}
	}
}

func (f *fixedPicker) AttemptSent(time.Duration, Locality, LocalityRequest) {}

func (d *randomPicker) AttemptEnded(_ time.Duration, at Locality, _ LocalityRequest, _ Result, _ time.Duration) {
	if d.out[at]--; d.out[at] < 0 {
		d.t.Errorf("%v: more attempts ended than sent", at)
	}
}

func (f *fixedPicker) AttemptEnded(time.Duration, Locality, LocalityRequest, Result, time.Duration) {}

// Whatever a LocalityPicker decides, the invariants hold, and each attempt is reported to it once when sent and once when ended.
func TestInvariantsWithAnyLocalityPicker(t *testing.T) {
	for seed := range uint64(20) {
		d := &randomPicker{t: t, rng: rand.New(rand.NewPCG(seed, 2)), out: map[Locality]int{}}
		if broken := playRandomEvents(t, seed, 1500, func(b *Balancer) { b.settings.Localities = d }); broken != "" {
			t.Errorf("seed %d: %s", seed, broken)
		}
		for at, n := range d.out {
			if n != 0 {
				t.Errorf("seed %d: %d attempts at %v have not ended", seed, n, at)
			}
		}
		if d.sent == 0 || d.reported == 0 {
			t.Errorf("seed %d: %d sends, %d localities reported", seed, d.sent, d.reported)
		}
	}
}

// fixedPicker is a LocalityPicker that returns one locality, or none.
type fixedPicker struct {
	at       Locality
	none     bool
	requests []LocalityRequest
}

// A request without a locality is rejected at once, with the picker's Retry-After, and does not count as an overload.
func TestNoLocalityRejectsAtOnce(t *testing.T) {
	set := settings()
	f := &fixedPicker{at: Locality{Zone: "zb"}, none: true}
	set.Localities, set.RetryAfter, set.MaxRetryAfter = f, true, 5*time.Second
	b, h := start(t, set, nil)
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(8)})
	for i := range 300 {
		h.now = time.Duration(i) * ms
		b.Request(h.now, Request{ID: fmt.Sprint("n", i), Class: "safe", TimeLeft: time.Second})
		l := h.take()
		if len(l) != 1 || l[0].what != "reject" || l[0].at != 700*ms {
			t.Fatalf("request %d: %+v", i, l)
		}
	}
	f.none = false
	for i := range 100 {
		now := time.Second + time.Duration(i)*5*ms
		if got := sendRequest(t, b, h, now, fmt.Sprint("y", i), "safe"); got == "" || b.endpoints.byID[got].Zone != "zb" {
			t.Fatalf("request %d after 300 rejections goes to %q", i, got)
		}
		endAttempt(b, now+ms, fmt.Sprint("y", i), Served, ms)
		h.take()
	}
	if len(b.requests.byID) != 0 {
		t.Errorf("%d requests are retained", len(b.requests.byID))
	}
}

// A list that is not known yet is waited for, with a LocalityPicker as without.
func TestUnknownListIsWaitedForWithLocalities(t *testing.T) {
	set := settings()
	set.Localities = &fixedPicker{at: Locality{Zone: "za"}}
	h := &recorder{}
	b, err := New(set, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Request(0, Request{ID: "r", Class: "safe", TimeLeft: time.Second})
	if l := h.take(); len(l) != 0 {
		t.Fatalf("%+v before the list is known", l)
	}
	b.UpdateEndpoints(ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: twoZones(4)})
	for token, at := range h.timers {
		b.Timer(at, token)
	}
	if l := h.take(); len(l) == 0 || l[0].what != "send" {
		t.Errorf("%+v once the list is there", l)
	}
}

// A request with an idempotency key that may have been executed is bound to its zone, one that was not executed is not. A priority
// is a locality of its own.
func TestLocalityRequestFields(t *testing.T) {
	set := settings()
	set.Classes[1].Group = GroupZone
	f := &fixedPicker{at: Locality{Zone: "za"}}
	set.Localities = f
	l := twoZones(8)
	for i := range l {
		l[i].Priority = i / 4
	}
	for _, c := range []struct {
		res      Result
		onlyZone string
	}{{ConnectionLost, "za"}, {Rejected, ""}} {
		b, h := start(t, set, l)
		f.requests = nil
		got := sendRequest(t, b, h, ms, "r", "keyed")
		if s := b.endpoints.byID[got]; s == nil || s.Zone != "za" || s.Priority != 0 {
			t.Fatalf("goes to %q", got)
		}
		endAttempt(b, 2*ms, "r", c.res, ms)
		if len(f.requests) != 2 || f.requests[1].Purpose != Retry || f.requests[1].OnlyZone != c.onlyZone || f.requests[1].Previous != f.at {
			t.Errorf("result %d: %+v", c.res, f.requests)
		}
	}
}
