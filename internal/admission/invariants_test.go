package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"robindrum/balancer"
)

// Under any order of arrivals, ends, withdrawals, times and evidence: each queued request ends once, counters return to 0, limits
// stay within their bounds, and the limit falls only with evidence.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options()
		o.Mode = Mode(rapid.IntRange(0, 2).Draw(t, "mode"))
		o.PerEndpoint, o.Limit = rapid.IntRange(1, 20).Draw(t, "per endpoint"), rapid.IntRange(1, 20).Draw(t, "limit")
		o.MaxPending, o.MaxRequests = rapid.IntRange(1, 20).Draw(t, "pending"), rapid.IntRange(0, 30).Draw(t, "most")
		o.HighPriority.MaxPending, o.HighPriority.MaxRequests = rapid.IntRange(1, 20).Draw(t, "high pending"), rapid.IntRange(0, 30).Draw(t, "high most")
		o.PendingBytes = int64(rapid.IntRange(0, 100).Draw(t, "bytes"))
		c, err := New(o, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		now, seq := time.Duration(0), uint64(0)
		waits, started, high, size := map[uint64]bool{}, []bool{}, map[uint64]bool{}, map[uint64]int64{}
		take := func() {
			for n := 0; ; n++ {
				id, v, after, ok := c.Next(now)
				if !ok {
					return
				}
				if !waits[id] {
					t.Fatalf("%d is not queued", id)
				}
				delete(waits, id)
				if v == balancer.Admit {
					started = append(started, high[id])
				} else if after <= 0 || after > c.options.MaxRetryAfter {
					t.Fatalf("Retry-After %v", after)
				}
			}
		}
		before := c.maxInFlight()
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * ms
			evidence := false
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1, 2:
				seq++
				high[seq], size[seq] = rapid.Bool().Draw(t, "high"), int64(rapid.IntRange(0, 60).Draw(t, "size"))
				v, after := c.Arrive(now, balancer.Arrival{Seq: seq, HighPriority: high[seq], Size: size[seq], Class: rapid.SampledFrom([]string{"map", "hold", "pay", "?"}).Draw(t, "class"),
					Tenant: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant"), TimeLeft: time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * ms})
				switch {
				case v == balancer.Admit:
					started = append(started, high[seq])
				case v == balancer.Enqueue && after > 0:
					waits[seq] = true
				case after <= 0:
					t.Fatalf("verdict %d after %v", v, after)
				}
			case 3:
				for id := range waits {
					c.Withdraw(id)
					delete(waits, id)
					break
				}
			case 4:
				c.SetEndpoints(now, rapid.IntRange(0, 5).Draw(t, "endpoints"))
				evidence = true
			default:
				if len(started) > 0 {
					h := started[0]
					started = started[1:]
					took := time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * ms
					c.Done(now, h)
					c.AttemptEnded(now, balancer.Sample{HighPriority: h, Class: "map", SentAt: now - took, Latency: took, Result: balancer.Result(rapid.IntRange(0, int(balancer.NotSent)).Draw(t, "result"))})
					evidence = true
				}
			}
			take()
			b := c.maxInFlight()
			if b < before && !evidence {
				t.Fatalf("the limit falls from %d to %d without evidence", before, b)
			}
			before = b
			if b < 1 || c.inFlight != len(started) || c.queue.count != len(waits) {
				t.Fatalf("limit %d, %d of %d in flight, %d of %d queued", b, c.inFlight, len(started), c.queue.count, len(waits))
			}
			bytes, count := int64(0), [2]int{}
			for id := range waits {
				bytes += size[id]
				count[map[bool]int{true: 1}[high[id]]]++
			}
			if bytes != c.queue.bytes || o.PendingBytes > 0 && bytes > o.PendingBytes {
				t.Fatalf("%d bytes wait, counted %d, %d may", bytes, c.queue.bytes, o.PendingBytes)
			}
			for i, p := range []Breakers{o.Breakers, o.HighPriority} {
				of := c.priorities[i]
				if of.queued != count[i] || of.queued > p.MaxPending || p.MaxRequests > 0 && of.inFlight > p.MaxRequests {
					t.Fatalf("priority %d: %d of %d wait, %d of %d in flight", i, of.queued, p.MaxPending, of.inFlight, p.MaxRequests)
				}
			}
			in := 0
			for _, k := range c.classes {
				n := 0
				for _, l := range k.turns {
					n += l.count
					if k.tenants[l.tenant] != l || l.count == 0 {
						t.Fatalf("tenant %q: %d queued", l.tenant, l.count)
					}
				}
				if in += n; n != k.queued || len(k.turns) != len(k.tenants) {
					t.Fatalf("%s: %d and %d queued", k.Name, n, k.queued)
				}
			}
			if in != c.queue.count || len(c.queue.expiry) != in || len(c.queue.bySeq) != in {
				t.Fatalf("%d, %d, %d, %d queued", in, c.queue.count, len(c.queue.expiry), len(c.queue.bySeq))
			}
		}
		for _, h := range started {
			c.Done(now, h)
		}
		started = nil
		now += time.Minute
		take()
		for len(started) > 0 {
			h := started[0]
			started = started[1:]
			c.Done(now, h)
			take()
		}
		if c.inFlight != 0 || c.priorities[0].inFlight != 0 || c.priorities[1].inFlight != 0 || c.queue.count != 0 || len(waits) != 0 {
			t.Fatalf("%d in flight, %d wait in the end", c.inFlight, c.queue.count)
		}
	})
}
