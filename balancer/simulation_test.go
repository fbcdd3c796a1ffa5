package balancer

import (
	"cmp"
	"container/heap"
	"time"
)

// simulation runs functions in the order of their times.
type simulation struct {
	now  time.Duration
	todo eventHeap
	seq  int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (m eventHeap) Len() int { return len(m) }

func (m eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(m[i].at, m[j].at), cmp.Compare(m[i].seq, m[j].seq)) < 0
}

func (m eventHeap) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

func (m *eventHeap) Push(x any) { *m = append(*m, x.(event)) }

func (m *eventHeap) Pop() any {
	x := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return x
}

// at plans a function.
func (s *simulation) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.todo, event{t, s.seq, do})
}

// run runs all that is planned until a time.
func (s *simulation) run(until time.Duration) {
	for len(s.todo) > 0 && s.todo[0].at <= until {
		m := heap.Pop(&s.todo).(event)
		s.now = m.at
		m.do()
	}
	s.now = until
}
