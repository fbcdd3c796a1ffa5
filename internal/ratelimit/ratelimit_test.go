package ratelimit

import (
	"hash/maphash"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func table(t testing.TB, rate float64, burst, keys int) *Table {
	t.Helper()
	x, err := New(rate, burst, keys)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func TestBurstAndRate(t *testing.T) {
	x := table(t, 10, 5, 100)
	for i := range 5 {
		if d := x.Allow(0, 7); !d.OK || d.Remaining != 4-i || d.Reset != time.Duration(i+1)*100*time.Millisecond {
			t.Errorf("%d: %+v", i, d)
		}
	}
	if d := x.Allow(0, 7); d.OK || d.RetryAfter != 100*time.Millisecond || d.Reset != 500*time.Millisecond {
		t.Errorf("beyond the burst: %+v", d)
	}
	if d := x.Allow(0, 8); !d.OK {
		t.Errorf("another key: %+v", d)
	}
	if d := x.Allow(99*time.Millisecond, 7); d.OK {
		t.Errorf("a moment too soon: %+v", d)
	}
	if d := x.Allow(100*time.Millisecond, 7); !d.OK || d.Remaining != 0 {
		t.Errorf("when it was told to: %+v", d)
	}
	if d := x.Allow(time.Hour, 7); !d.OK || d.Remaining != 4 {
		t.Errorf("after a long rest: %+v", d)
	}
}

// In any window a key gets no more than its burst and its rate times the window, and a client that returns after its Retry-After is
// accepted.
func TestRateHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.1, 1000).Draw(t, "rate"), rapid.IntRange(1, 50).Draw(t, "burst")
		x, err := New(rate, burst, 10)
		if err != nil {
			t.Fatal(err)
		}
		var now time.Duration
		var taken []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)/int64(rate+1)).Draw(t, "gap"))
			d := x.Allow(now, 3)
			if !d.OK {
				if d.RetryAfter <= 0 {
					t.Fatalf("%+v", d)
				}
				if now += d.RetryAfter; !x.Allow(now, 3).OK {
					t.Fatalf("refused when it was told to come")
				}
			}
			taken = append(taken, now)
			for i := range taken {
				if n := float64(len(taken) - i); n > float64(burst)+1+(now-taken[i]).Seconds()/x.gap.Seconds()*(1+1e-6) {
					t.Fatalf("%v in %v, rate %v, burst %d", n, now-taken[i], rate, burst)
				}
			}
		}
	})
}

// Ever new keys, 100,000 a second, beside a million that are known, some at their limit: none of these gains or loses, and
// the memory stays.
func TestNewKeysDoNotAffectKnownKeys(t *testing.T) {
	const keys = 1_000_000
	x := table(t, 0.1, 2, keys)
	seed := maphash.MakeSeed()
	hash := func(kind byte, i int) uint64 {
		return maphash.Bytes(seed, []byte{kind, byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)})
	}
	for i := range keys {
		x.Allow(0, hash('k', i))
	}
	if n := x.SharedCount(); n > keys/200 {
		t.Errorf("%d of %d keys found no room", n, keys)
	}
	gap := time.Second / 100_000
	for i := range 500_000 {
		x.Allow(time.Duration(i)*gap, hash('n', i))
	}
	wrong := 0
	for range 20_000 {
		i := rand.IntN(keys)
		// One of two is spent at 0 and a half of it is back: one more is allowed, and not two.
		if a, b := x.Allow(5*time.Second, hash('k', i)), x.Allow(5*time.Second, hash('k', i)); !a.OK || b.OK {
			wrong++
		}
	}
	if wrong > 20_000/100+20_000/50 { // those that found no room share, and some are drawn twice
		t.Errorf("%d of 20000 known keys were counted wrongly in a flood of new ones", wrong)
	}
	if n := len(x.shards[0].slots) * shards; n > 2*keys+shards*ways {
		t.Errorf("%d slots", n)
	}
}

func TestInvalidLimitsAreRejected(t *testing.T) {
	for _, c := range []struct {
		rate        float64
		burst, keys int
	}{{0, 1, 1}, {-1, 1, 1}, {math.NaN(), 1, 1}, {1, 0, 1}, {1, 1, 0}, {1, 1, 1 << 30}, {1e-9, 1e9, 1}} {
		if _, err := New(c.rate, c.burst, c.keys); err == nil {
			t.Errorf("%+v: taken", c)
		}
	}
}

func BenchmarkTake(b *testing.B) {
	x := table(b, 1000, 10, 1_000_000)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			x.Allow(time.Duration(rand.Int64()>>20), rand.Uint64()|1)
		}
	})
}

// Gateways share nothing: each has its part of a rate. Together they allow the whole where the load is even, and the less the
// more uneven it is: at worst, where one gets it all, the part of one.
func TestRateSplitOverGateways(t *testing.T) {
	const gateways, rate, seconds = 4, 100.0, 20
	for _, c := range []struct {
		name                     string
		load                     [gateways]float64 // parts of 400 requests a second
		minFraction, maxFraction float64           // allowed, of the whole rate
	}{
		{"even", [gateways]float64{0.25, 0.25, 0.25, 0.25}, 0.98, 1.06},
		{"one has half of it", [gateways]float64{0.5, 0.2, 0.2, 0.1}, 0.98, 1.06},
		{"below its part at two", [gateways]float64{0.8, 0.15, 0.025, 0.025}, 0.66, 0.74},
		{"all at one", [gateways]float64{1, 0, 0, 0}, 0.24, 0.28},
	} {
		allowed := 0
		for _, part := range c.load {
			x := table(t, rate/gateways, 5, 10)
			if n := part * 400; n > 0 {
				gap := time.Duration(float64(time.Second) / n)
				for now := time.Duration(0); now < seconds*time.Second; now += gap {
					if x.Allow(now, 1).OK {
						allowed++
					}
				}
			}
		}
		if got := float64(allowed) / (rate * seconds); got < c.minFraction || got > c.maxFraction {
			t.Errorf("%s: %.2f of the rate is allowed, want %.2f to %.2f", c.name, got, c.minFraction, c.maxFraction)
		} else {
			t.Logf("%s: %.2f of the rate is allowed", c.name, got)
		}
	}
}
