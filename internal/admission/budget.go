package admission

import "time"

// budget bounds retries over all zones, hedges and attempts of a cluster: each request earns a part of one, and some are
// earned by time. What was earned longer than ttl ago is gone. It is Finagle's retry budget.
type budget struct {
	ratio, rate float64
	ttl         time.Duration

	slots [10]float64 // earned less spent, by tenths of ttl
	slot  int64       // the newest
}

func (b *budget) turn(now time.Duration) {
	at := int64(now / (b.ttl / time.Duration(len(b.slots))))
	n := int64(len(b.slots))
	if at-b.slot > n {
		b.slot = at - n
	}
	for ; b.slot < at; b.slot++ {
		b.slots[(b.slot+1)%n] = 0
	}
}

func (b *budget) earn(now time.Duration) {
	b.turn(now)
	b.slots[b.slot%int64(len(b.slots))] += b.ratio
}

func (b *budget) left() float64 {
	n := b.rate * b.ttl.Seconds()
	for _, s := range b.slots {
		n += s
	}
	return n
}

func (b *budget) may(now time.Duration) bool {
	b.turn(now)
	return b.left() >= 1-1e-9
}

func (b *budget) spend(now time.Duration) {
	b.turn(now)
	b.slots[b.slot%int64(len(b.slots))]--
}

// have is what is left.
func (b *budget) have(now time.Duration) int {
	b.turn(now)
	return max(int(b.left()), 0)
}
