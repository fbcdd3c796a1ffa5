package admission

import (
	"container/heap"
	"time"

	"robindrum/balancer"
)

// entry is a request that waits.
type entry struct {
	seq        uint64
	class      *class
	line       *line
	until      time.Duration
	prev, next *entry
	at         int // in the heap
	size       int64
}

// line is the requests of one tenant that wait, the oldest first.
type line struct {
	tenant      string
	first, last *entry
	n           int
}

// waiting is all requests of a cluster that wait.
type waiting struct {
	n       int
	bytes   int64
	bySeq   map[uint64]*entry
	until   expiry
	dropped []dropped
	spare   *entry
}

type dropped struct {
	seq   uint64
	after time.Duration
}

// expiry is a heap by the end of the wait.
type expiry []*entry

func (h expiry) Len() int           { return len(h) }
func (h expiry) Less(i, j int) bool { return h[i].until < h[j].until }
func (h expiry) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}
func (h *expiry) Push(x any) {
	e := x.(*entry)
	e.at = len(*h)
	*h = append(*h, e)
}
func (h *expiry) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

func (w *waiting) add(k *class, a balancer.Arrival, until time.Duration) {
	l := k.tenants[a.Tenant]
	if l == nil {
		l = &line{tenant: a.Tenant}
		k.tenants[a.Tenant] = l
		k.ring = append(k.ring, l)
	}
	e := w.spare
	if e == nil {
		e = &entry{}
	}
	w.spare = e.next
	*e = entry{seq: a.Seq, class: k, line: l, until: until, prev: l.last, size: a.Size}
	if l.last != nil {
		l.last.next = e
	} else {
		l.first = e
	}
	l.last = e
	l.n++
	k.waiting++
	k.bytes += a.Size
	w.n++
	w.bytes += a.Size
	if w.bySeq == nil {
		w.bySeq = map[uint64]*entry{}
	}
	w.bySeq[a.Seq] = e
	heap.Push(&w.until, e)
}

// remove takes a request out; free ends it.
func (w *waiting) remove(e *entry) {
	l, k := e.line, e.class
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.first = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.last = e.prev
	}
	if l.n--; l.n == 0 {
		delete(k.tenants, l.tenant)
		for i, x := range k.ring {
			if x == l {
				k.ring = append(k.ring[:i], k.ring[i+1:]...)
				break
			}
		}
	}
	if k.waiting--; k.waiting == 0 {
		k.credit = 0
	}
	k.bytes -= e.size
	w.n--
	w.bytes -= e.size
	delete(w.bySeq, e.seq)
	heap.Remove(&w.until, e.at)
}

func (w *waiting) free(e *entry) {
	*e = entry{next: w.spare}
	w.spare = e
}

// overdue is a request whose wait is over.
func (w *waiting) overdue(now time.Duration) *entry {
	if len(w.until) > 0 && w.until[0].until <= now {
		return w.until[0]
	}
	return nil
}

// next is the request of a class that starts next: the tenants take turns, each with its oldest, or with its newest where
// requests wait for so long that the oldest come late.
func (k *class) next(newest bool) *entry {
	l := k.ring[0]
	k.ring = append(k.ring[1:], l)
	if newest {
		return l.last
	}
	return l.first
}

// longestQueue is the tenant with the most that wait.
func (k *class) longestQueue() *line {
	most := k.ring[0]
	for _, l := range k.ring[1:] {
		if l.n > most.n {
			most = l
		}
	}
	return most
}
