package ratelimit

import (
	"hash/maphash"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTable(t testing.TB, rate float64, burst, keys int) *Table {
	t.Helper()
	table, err := New(rate, burst, keys)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestBurstAndRate(t *testing.T) {
	table := newTable(t, 10, 5, 100)
	for i := range 5 {
		if d := table.Allow(0, 7); !d.OK || d.Remaining != 4-i || d.Reset != time.Duration(i+1)*100*time.Millisecond {
			t.Errorf("request %d of the burst: got %+v, want OK, %d remaining and reset after %v", i, d, 4-i, time.Duration(i+1)*100*time.Millisecond)
		}
	}
	if d := table.Allow(0, 7); d.OK || d.RetryAfter != 100*time.Millisecond || d.Reset != 500*time.Millisecond {
		t.Errorf("request beyond the burst: got %+v, want rejected, retry after 100ms and reset after 500ms", d)
	}
	if d := table.Allow(0, 8); !d.OK {
		t.Errorf("request of another key: got %+v, want OK", d)
	}
	if d := table.Allow(99*time.Millisecond, 7); d.OK {
		t.Errorf("request 1 ms before the end of RetryAfter: got %+v, want rejected", d)
	}
	if d := table.Allow(100*time.Millisecond, 7); !d.OK || d.Remaining != 0 {
		t.Errorf("request at the end of RetryAfter: got %+v, want OK and 0 remaining", d)
	}
	if d := table.Allow(time.Hour, 7); !d.OK || d.Remaining != 4 {
		t.Errorf("request after an hour without requests: got %+v, want OK and 4 remaining", d)
	}
}

// In any window, a key gets at most its burst plus its rate times the window, with a tolerance of one request, and a request after
// its RetryAfter is accepted.
func TestRateHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.1, 1000).Draw(t, "rate"), rapid.IntRange(1, 50).Draw(t, "burst")
		table, err := New(rate, burst, 10)
		if err != nil {
			t.Fatal(err)
		}
		var now time.Duration
		var taken []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)/int64(rate+1)).Draw(t, "gap"))
			d := table.Allow(now, 3)
			if !d.OK {
				if d.RetryAfter <= 0 {
					t.Fatalf("rejected request: got %+v, want a RetryAfter above 0", d)
				}
				if now += d.RetryAfter; !table.Allow(now, 3).OK {
					t.Fatalf("request rejected at the end of its RetryAfter, want OK")
				}
			}
			taken = append(taken, now)
			for i := range taken {
				if n := float64(len(taken) - i); n > float64(burst)+1+(now-taken[i]).Seconds()/table.interval.Seconds()*(1+1e-6) {
					t.Fatalf("%v requests allowed in %v, want at most one more than the burst of %d plus the rate of %v per second", n, now-taken[i], burst, rate)
				}
			}
		}
	})
}

// A flood of new keys, 100,000 per second, does not affect a million known keys, some of which are at their limit, and does not use
// more memory.
func TestNewKeysDoNotAffectKnownKeys(t *testing.T) {
	const keys = 1_000_000
	table := newTable(t, 0.1, 2, keys)
	seed := maphash.MakeSeed()
	hash := func(kind byte, i int) uint64 {
		return maphash.Bytes(seed, []byte{kind, byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)})
	}
	for i := range keys {
		table.Allow(0, hash('k', i))
	}
	if n := table.SharedCount(); n > keys/200 {
		t.Errorf("%d of %d keys found no free slot, want at most %d", n, keys, keys/200)
	}
	interval := time.Second / 100_000
	for i := range 500_000 {
		table.Allow(time.Duration(i)*interval, hash('n', i))
	}
	wrong := 0
	for range 20_000 {
		i := rand.IntN(keys)
		// One request of the burst of two was used at 0, and half of it is back after 5 s: one more is allowed, but not two.
		if first, second := table.Allow(5*time.Second, hash('k', i)), table.Allow(5*time.Second, hash('k', i)); !first.OK || second.OK {
			wrong++
		}
	}
	if wrong > 20_000/100+20_000/50 { // keys without a slot share a limit, and some keys are drawn twice
		t.Errorf("%d of 20000 known keys counted wrongly during a flood of new keys, want at most %d", wrong, 20_000/100+20_000/50)
	}
	if n := len(table.shards[0].slots) * shards; n > 2*keys+shards*ways {
		t.Errorf("%d slots allocated, want at most %d", n, 2*keys+shards*ways)
	}
}

func TestInvalidLimitsAreRejected(t *testing.T) {
	for _, c := range []struct {
		rate        float64
		burst, keys int
	}{{0, 1, 1}, {-1, 1, 1}, {math.NaN(), 1, 1}, {1, 0, 1}, {1, 1, 0}, {1, 1, 1 << 30}, {1e-9, 1e9, 1}} {
		if _, err := New(c.rate, c.burst, c.keys); err == nil {
			t.Errorf("New with invalid limits %+v: got no error", c)
		}
	}
}

func BenchmarkAllow(b *testing.B) {
	table := newTable(b, 1000, 10, 1_000_000)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			table.Allow(time.Duration(rand.Int64()>>20), rand.Uint64()|1)
		}
	})
}

// Each gateway enforces an equal part of the rate without sharing counts. Together they allow the whole rate if the load is spread
// evenly, and less the more uneven it is: if one gateway gets all requests, only its own part.
func TestRateSplitOverGateways(t *testing.T) {
	const gateways, rate, seconds = 4, 100.0, 20
	for _, c := range []struct {
		name                     string
		load                     [gateways]float64 // fractions of 400 requests per second
		minFraction, maxFraction float64           // allowed requests, as a fraction of the whole rate
	}{
		{"even", [gateways]float64{0.25, 0.25, 0.25, 0.25}, 0.98, 1.06},
		{"one has half of it", [gateways]float64{0.5, 0.2, 0.2, 0.1}, 0.98, 1.06},
		{"below its part at two", [gateways]float64{0.8, 0.15, 0.025, 0.025}, 0.66, 0.74},
		{"all at one", [gateways]float64{1, 0, 0, 0}, 0.24, 0.28},
	} {
		allowed := 0
		for _, fraction := range c.load {
			table := newTable(t, rate/gateways, 5, 10)
			if n := fraction * 400; n > 0 {
				interval := time.Duration(float64(time.Second) / n)
				for now := time.Duration(0); now < seconds*time.Second; now += interval {
					if table.Allow(now, 1).OK {
						allowed++
					}
				}
			}
		}
		if got := float64(allowed) / (rate * seconds); got < c.minFraction || got > c.maxFraction {
			t.Errorf("%s: fraction of the rate that is allowed: got %.2f, want %.2f to %.2f", c.name, got, c.minFraction, c.maxFraction)
		} else {
			t.Logf("%s: %.2f of the rate is allowed", c.name, got)
		}
	}
}
