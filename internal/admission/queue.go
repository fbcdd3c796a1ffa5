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
	prev, next *entry // in the tenant's queue; next also links the free list
	heapIndex  int
	size       int64
}

// tenantQueue is the linked list of the queued requests of one tenant in one class, oldest first.
type tenantQueue struct {
	tenant      string
	first, last *entry
	count       int
}

// requestQueue holds all queued requests of a cluster.
type requestQueue struct {
	count    int
	bytes    int64
	bySeq    map[uint64]*entry
	expiry   expiryHeap
	dropped  []droppedRequest
	freeList *entry // entries for reuse, linked by next
}

// droppedRequest is a request that was removed from the queue and that Next has not yet returned as rejected.
type droppedRequest struct {
	seq        uint64
	retryAfter time.Duration
}

// expiryHeap is a min-heap of entries by expiresAt. It implements heap.Interface.
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
		k.tenantOrder = append(k.tenantOrder, t)
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

// remove takes a request out of the queue. The entry stays readable until the caller frees it with free.
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

// newEntry returns an entry of the free list, or a new one if the list is empty.
func (q *requestQueue) newEntry() *entry {
	e := q.freeList
	if e == nil {
		return &entry{}
	}
	q.freeList = e.next
	return e
}

// free returns an entry to the free list.
func (q *requestQueue) free(e *entry) {
	*e = entry{next: q.freeList}
	q.freeList = e
}

// expired returns the request that expired first, or nil if none has expired.
func (q *requestQueue) expired(now time.Duration) *entry {
	if len(q.expiry) > 0 && q.expiry[0].expiresAt <= now {
		return q.expiry[0]
	}
	return nil
}

// nextDropped removes and returns a dropped request that is still to be rejected. ok is false if there is none.
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

// removeTenant removes a tenant without queued requests.
func (k *class) removeTenant(t *tenantQueue) {
	delete(k.tenants, t.tenant)
	if i := slices.Index(k.tenantOrder, t); i >= 0 {
		k.tenantOrder = slices.Delete(k.tenantOrder, i, i+1)
	}
}

// queuedOf returns the number of queued requests of a tenant.
func (k *class) queuedOf(tenant string) int {
	if t := k.tenants[tenant]; t != nil {
		return t.count
	}
	return 0
}

// next returns the request of the class that starts next and moves its tenant to the end of the round-robin order. It returns the
// tenant's oldest request or, if newest is set, its newest. Newest first is better when requests wait so long that responses to the
// oldest would be late.
func (k *class) next(newest bool) *entry {
	t := k.tenantOrder[0]
	k.tenantOrder = append(k.tenantOrder[1:], t)
	if newest {
		return t.last
	}
	return t.first
}

// longestQueue returns the queue of the tenant with the most queued requests.
func (k *class) longestQueue() *tenantQueue {
	longest := k.tenantOrder[0]
	for _, t := range k.tenantOrder[1:] {
		if t.count > longest.count {
			longest = t
		}
	}
	return longest
}
