package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// dice gives any locality, also ones that nobody is in, and keeps the books.
type dice struct {
	t    *testing.T
	rng  *rand.Rand
	out  map[Locality]int
	sent int
	told int
}

func (d *dice) UpdateHealth(_ time.Duration, l []LocalityHealth) {
	seen := map[Locality]bool{}
	for _, h := range l {
		if seen[h.Locality] || h.Ready > h.Running || h.Running > h.Listed || h.Listed <= 0 {
			d.t.Errorf("%+v", h)
		}
		seen[h.Locality] = true
	}
	d.told += len(l)
}

func (d *dice) Pick(_ time.Duration, a LocalityRequest) (Locality, bool, time.Duration) {
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

func (d *dice) AttemptSent(_ time.Duration, at Locality, a LocalityRequest) {
	d.out[at]++
	d.sent++
	for _, not := range a.Excluded {
		if not == at {
			d.t.Errorf("%v though it had nobody: %+v", at, a)
		}
	}
}

func (d *dice) AttemptEnded(_ time.Duration, at Locality, _ LocalityRequest, _ Result, _ time.Duration) {
	if d.out[at]--; d.out[at] < 0 {
		d.t.Errorf("%v: more ends than sends", at)
	}
}

// Whatever the tiers say, the rules hold, and each attempt is told them once at its begin and once at its end.
func TestRulesWhateverTheTiersSay(t *testing.T) {
	for seed := range uint64(20) {
		d := &dice{t: t, rng: rand.New(rand.NewPCG(seed, 2)), out: map[Locality]int{}}
		if broken := referee(t, seed, 1500, func(b *Balancer) { b.settings.Localities = d }); broken != "" {
			t.Errorf("seed %d: %s", seed, broken)
		}
		for at, n := range d.out {
			if n != 0 {
				t.Errorf("seed %d: %d attempts at %v have no end", seed, n, at)
			}
		}
		if d.sent == 0 || d.told == 0 {
			t.Errorf("seed %d: %d sends, %d localities told", seed, d.sent, d.told)
		}
	}
}

// fixed gives one locality, or none.
type fixed struct {
	at   Locality
	no   bool
	asks []LocalityRequest
}

func (f *fixed) UpdateHealth(time.Duration, []LocalityHealth) {}
func (f *fixed) Pick(_ time.Duration, a LocalityRequest) (Locality, bool, time.Duration) {
	f.asks = append(f.asks, a)
	return f.at, !f.no && len(a.Excluded) == 0, 700 * ms
}
func (f *fixed) AttemptSent(time.Duration, Locality, LocalityRequest)                         {}
func (f *fixed) AttemptEnded(time.Duration, Locality, LocalityRequest, Result, time.Duration) {}

// What the tiers have no room for is refused at once, with their word of when to come back, and is no overload.
func TestNoRoomIsRefusedAtOnce(t *testing.T) {
	set := settings()
	f := &fixed{at: Locality{Zone: "zb"}, no: true}
	set.Localities, set.RetryAfter, set.MaxRetryAfter = f, true, 5*time.Second
	b, h := start(t, set, nil)
	b.UpdateEndpoints(0, EndpointUpdate{Kind: UpdateSnapshot, Servers: fleet(8)})
	for i := range 300 {
		h.now = time.Duration(i) * ms
		b.Request(h.now, Request{ID: fmt.Sprint("n", i), Class: "safe", TimeLeft: time.Second})
		l := h.take()
		if len(l) != 1 || l[0].what != "refuse" || l[0].at != 700*ms {
			t.Fatalf("request %d: %+v", i, l)
		}
	}
	f.no = false
	for i := range 100 {
		now := time.Second + time.Duration(i)*5*ms
		if got := ask(t, b, h, now, fmt.Sprint("y", i), "safe"); got == "" || b.endpoints.byID[got].Zone != "zb" {
			t.Fatalf("request %d after 300 refusals goes to %q", i, got)
		}
		end(b, now+ms, fmt.Sprint("y", i), Served, ms)
		h.take()
	}
	if len(b.requests.byID) != 0 {
		t.Errorf("%d requests are held", len(b.requests.byID))
	}
}

// A list that is not known yet is waited for, tiers or none.
func TestListIsWaitedForWithTiers(t *testing.T) {
	set := settings()
	set.Localities = &fixed{at: Locality{Zone: "za"}}
	h := &recorder{}
	b, err := New(set, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Request(0, Request{ID: "r", Class: "safe", TimeLeft: time.Second})
	if l := h.take(); len(l) != 0 {
		t.Fatalf("%+v before the list", l)
	}
	b.UpdateEndpoints(ms, EndpointUpdate{Kind: UpdateSnapshot, Servers: fleet(4)})
	for token, at := range h.timers {
		b.Timer(at, token)
	}
	if l := h.take(); len(l) == 0 || l[0].what != "send" {
		t.Errorf("%+v once the list is there", l)
	}
}

// A keyed request that may have run is bound to its zone, one that has not is not; a priority is a tier of its own.
func TestWhatTheTiersAreAsked(t *testing.T) {
	set := settings()
	set.Classes[1].Group = GroupZone
	f := &fixed{at: Locality{Zone: "za"}}
	set.Localities = f
	l := fleet(8)
	for i := range l {
		l[i].Priority = i / 4
	}
	for _, c := range []struct {
		res   Result
		bound string
	}{{ConnectionLost, "za"}, {Rejected, ""}} {
		b, h := start(t, set, l)
		f.asks = nil
		got := ask(t, b, h, ms, "r", "keyed")
		if s := b.endpoints.byID[got]; s == nil || s.Zone != "za" || s.Priority != 0 {
			t.Fatalf("goes to %q", got)
		}
		end(b, 2*ms, "r", c.res, ms)
		if len(f.asks) != 2 || f.asks[1].Purpose != Retry || f.asks[1].OnlyZone != c.bound || f.asks[1].Previous != f.at {
			t.Errorf("result %d: %+v", c.res, f.asks)
		}
	}
}
