package balancer

import (
	"cmp"
	"container/heap"
	"time"
)

// simulation runs functions in the order of their scheduled times, and functions with equal times in the order of scheduling.
type simulation struct {
	now     time.Duration
	pending eventHeap
	seq     int
}

// event is a scheduled function.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// eventHeap orders events by time, then by sequence number. It implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// at schedules a function to run at time t.
func (s *simulation) at(t time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.pending, event{t, s.seq, fn})
}

// run runs all functions that are scheduled up to the given time and sets now to that time.
func (s *simulation) run(until time.Duration) {
	for len(s.pending) > 0 && s.pending[0].at <= until {
		next := heap.Pop(&s.pending).(event)
		s.now = next.at
		next.fn()
	}
	s.now = until
}
