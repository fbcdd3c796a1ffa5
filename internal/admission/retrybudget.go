package admission

import "time"

// retryBudget limits the retries and hedged requests of a cluster over all its zones. Each request adds a fraction of a retry to
// the budget, and a fixed number of retries per second is available in addition. Deposits and withdrawals expire after ttl. The
// design is that of Finagle's retry budget.
type retryBudget struct {
	ratio float64 // retries added by each request
	rate  float64 // retries per second that are available in addition
	ttl   time.Duration

	slots  [10]float64 // deposits minus withdrawals, in slots of a tenth of ttl
	newest int64       // number of the newest slot, counted from time 0
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

// deposit adds the share of one request to the budget.
func (b *retryBudget) deposit(now time.Duration) {
	b.advance(now)
	*b.newestSlot() += b.ratio
}

// withdraw takes one retry from the budget.
func (b *retryBudget) withdraw(now time.Duration) {
	b.advance(now)
	*b.newestSlot()--
}

// available reports whether at least one retry is left, with a tolerance for rounding errors.
func (b *retryBudget) available(now time.Duration) bool {
	b.advance(now)
	return b.balance() >= 1-1e-9
}

// left returns the number of retries left.
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
