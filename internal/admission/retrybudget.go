package admission

import "time"

// retryBudget limits the retries and hedges of a cluster, over all its zones: each request earns a fraction of one, and some are
// earned by time. What was earned longer than ttl ago has expired. It follows Finagle's retry budget.
type retryBudget struct {
	ratio float64 // retries that a request earns
	rate  float64 // retries earned a second
	ttl   time.Duration

	slots  [10]float64 // earned less spent, by tenths of ttl
	newest int64       // number of the newest slot since time 0
}

// advance clears the slots that have expired.
func (b *retryBudget) advance(now time.Duration) {
	current := int64(now / (b.ttl / time.Duration(len(b.slots))))
	slots := int64(len(b.slots))
	if current-b.newest > slots {
		b.newest = current - slots
	}
	for ; b.newest < current; b.newest++ {
		b.slots[(b.newest+1)%slots] = 0
	}
}

func (b *retryBudget) newestSlot() *float64 {
	return &b.slots[b.newest%int64(len(b.slots))]
}

// deposit takes a request.
func (b *retryBudget) deposit(now time.Duration) {
	b.advance(now)
	*b.newestSlot() += b.ratio
}

// withdraw takes a retry.
func (b *retryBudget) withdraw(now time.Duration) {
	b.advance(now)
	*b.newestSlot()--
}

// available reports whether there is a retry left.
func (b *retryBudget) available(now time.Duration) bool {
	b.advance(now)
	return b.balance() >= 1-1e-9
}

// left is how many retries are left.
func (b *retryBudget) left(now time.Duration) int {
	b.advance(now)
	return max(int(b.balance()), 0)
}

func (b *retryBudget) balance() float64 {
	sum := b.rate * b.ttl.Seconds()
	for _, slot := range b.slots {
		sum += slot
	}
	return sum
}
