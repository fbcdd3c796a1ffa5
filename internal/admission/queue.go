package admission

import (
	"container/heap"
	"slices"
	"time"

	"robindrum/balancer"
)

// entry is a queued request.
type entry struct {
	seq        uint64
	class      *class
	tenant     *tenantQueue
	expiresAt  time.Duration
	prev, next *entry // of the tenant; next also links spare entries
	heapIndex  int
	size       int64
}

// tenantQueue is the queued requests of one tenant in one class, the oldest first.
type tenantQueue struct {
	tenant      string
	first, last *entry
	count       int
}

// requestQueue is all queued requests of a cluster.
type requestQueue struct {
	count   int
	bytes   int64
	bySeq   map[uint64]*entry
	expiry  expiryHeap
	dropped []droppedRequest
	spare   *entry // list of entries for reuse
}

// droppedRequest is a request that left the queue and is yet to be rejected.
type droppedRequest struct {
	seq        uint64
	retryAfter time.Duration
}

// expiryHeap is a heap of entries by their expiry. It implements heap.Interface.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// add queues a request.
func (q *requestQueue) add(k *class, a balancer.Arrival, expiresAt time.Duration) {
	t := k.tenants[a.Tenant]
	if t == nil {
		t = &tenantQueue{tenant: a.Tenant}
		k.tenants[a.Tenant] = t
		k.turns = append(k.turns, t)
	}
	e := q.newEntry()
	*e = entry{seq: a.Seq, class: k, tenant: t, expiresAt: expiresAt, size: a.Size}
	t.push(e)
	k.queued++
	k.queuedBytes += a.Size
	q.count++
	q.bytes += a.Size
	if q.bySeq == nil {
		q.bySeq = map[uint64]*entry{}
	}
	q.bySeq[a.Seq] = e
	heap.Push(&q.expiry, e)
}

// remove takes a request out. The caller may still read the entry and then frees it.
func (q *requestQueue) remove(e *entry) {
	t, k := e.tenant, e.class
	t.unlink(e)
	if t.count == 0 {
		k.removeTenant(t)
	}
	k.queued--
	if k.queued == 0 {
		k.credit = 0
	}
	k.queuedBytes -= e.size
	q.count--
	q.bytes -= e.size
	delete(q.bySeq, e.seq)
	heap.Remove(&q.expiry, e.heapIndex)
}

func (q *requestQueue) newEntry() *entry {
	e := q.spare
	if e == nil {
		return &entry{}
	}
	q.spare = e.next
	return e
}

// free gives an entry back for reuse.
func (q *requestQueue) free(e *entry) {
	*e = entry{next: q.spare}
	q.spare = e
}

// expired returns a request whose wait is over, or nil.
func (q *requestQueue) expired(now time.Duration) *entry {
	if len(q.expiry) > 0 && q.expiry[0].expiresAt <= now {
		return q.expiry[0]
	}
	return nil
}

// nextDropped returns a dropped request that is yet to be rejected.
func (q *requestQueue) nextDropped() (d droppedRequest, ok bool) {
	n := len(q.dropped)
	if n == 0 {
		return droppedRequest{}, false
	}
	d = q.dropped[n-1]
	q.dropped = q.dropped[:n-1]
	return d, true
}

func (t *tenantQueue) push(e *entry) {
	e.prev = t.last
	if t.last != nil {
		t.last.next = e
	} else {
		t.first = e
	}
	t.last = e
	t.count++
}

func (t *tenantQueue) unlink(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		t.first = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		t.last = e.prev
	}
	t.count--
}

func (k *class) removeTenant(t *tenantQueue) {
	delete(k.tenants, t.tenant)
	if i := slices.Index(k.turns, t); i >= 0 {
		k.turns = slices.Delete(k.turns, i, i+1)
	}
}

// queuedOf is how many requests of a tenant are queued.
func (k *class) queuedOf(tenant string) int {
	if t := k.tenants[tenant]; t != nil {
		return t.count
	}
	return 0
}

// next returns the request of a class that starts next and moves its tenant to the end of the turns. It is the tenant's oldest,
// or its newest, which is right where requests wait for so long that the oldest are late.
func (k *class) next(newest bool) *entry {
	t := k.turns[0]
	k.turns = append(k.turns[1:], t)
	if newest {
		return t.last
	}
	return t.first
}

// longestQueue is the tenant with the most queued requests.
func (k *class) longestQueue() *tenantQueue {
	longest := k.turns[0]
	for _, t := range k.turns[1:] {
		if t.count > longest.count {
			longest = t
		}
	}
	return longest
}
