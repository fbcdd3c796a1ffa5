package balancer

import (
	"cmp"
	"container/heap"
	"time"
)

// simulation does things in the order of their times.
type simulation struct {
	now  time.Duration
	todo moments
	seq  int
}

type moment struct {
	at  time.Duration
	seq int
	do  func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(m[i].at, m[j].at), cmp.Compare(m[i].seq, m[j].seq)) < 0
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	x := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return x
}

func (s *simulation) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.todo, moment{t, s.seq, do})
}

func (s *simulation) run(until time.Duration) {
	for len(s.todo) > 0 && s.todo[0].at <= until {
		m := heap.Pop(&s.todo).(moment)
		s.now = m.at
		m.do()
	}
	s.now = until
}
