package backend

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/testbed"
)

// One that takes all it can get leaves the other what is its own, and everything comes back.
func TestSharesKeepTheirReservations(t *testing.T) {
	b := NewBudget(20)
	sick, well := b.Share(4, 0), b.Share(6, 0)
	if b.Used() != 10 {
		t.Fatalf("%d booked", b.Used())
	}
	held := 0
	for sick.Acquire() {
		held++
	}
	if held != 14 {
		t.Errorf("the greedy one got %d, want its 4 and the 10 that nobody owns", held)
	}
	for i := range 6 {
		if !well.Acquire() {
			t.Fatalf("its own descriptor %d is not to be had", i)
		}
	}
	if well.Acquire() {
		t.Error("more than there are")
	}
	for range held {
		sick.Release()
	}
	for range 6 {
		well.Release()
	}
	if b.Used() != 10 {
		t.Errorf("%d booked after all was given back", b.Used())
	}
	sick.Close()
	well.Close()
	if b.Used() != 0 {
		t.Errorf("%d booked in the end", b.Used())
	}
}

func TestShareHasALimit(t *testing.T) {
	b := NewBudget(20)
	s := b.Share(2, 5)
	idle := 2
	leave := s.OnShort(func() bool {
		if idle == 0 {
			return false
		}
		idle--
		s.Release()
		return true
	})
	for i := range 5 {
		if !s.Acquire() {
			t.Fatal("refused at ", i)
		}
	}
	for range 2 {
		if !s.Acquire() {
			t.Error("an idle one does not make room")
		}
	}
	if s.Acquire() || s.Used() != 5 || b.Used() != 5 {
		t.Errorf("%d held, %d booked", s.Used(), b.Used())
	}
	leave()
	if len(b.evictors) != 0 || len(s.evictors) != 0 {
		t.Error("who has left is still asked")
	}
}

// A shortage elsewhere does not cost a user the idle connections that are its own.
func TestReservedIdleConnectionsAreNotEvicted(t *testing.T) {
	b := NewBudget(8)
	s, other := b.Share(3, 0), b.Share(0, 0)
	closed := 0
	s.OnShort(func() bool { closed++; s.Release(); return true })
	for range 4 {
		s.Acquire()
	}
	for range 5 {
		if !other.Acquire() {
			t.Fatal("refused")
		}
	}
	if other.Acquire() {
		t.Error("took what is another's own")
	}
	if closed != 1 || s.Used() != 3 {
		t.Errorf("%d closed, %d left", closed, s.Used())
	}
}

// Whatever the order of takes and gives, what is booked is what is held or owned.
func TestSharesAddUp(t *testing.T) {
	b := NewBudget(30)
	shares := []*Share{b.Share(5, 0), b.Share(0, 10), b.Share(7, 9)}
	var all sync.WaitGroup
	for i := range 12 {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			s, held := shares[i%3], 0
			for k := range 20000 {
				if i == 0 && k%100 == 0 {
					s.Resize(rng.IntN(9), 0)
				}
				if held > 0 && rng.IntN(2) == 0 {
					s.Release()
					held--
				} else if s.Acquire() {
					held++
				}
			}
			for range held {
				s.Release()
			}
		})
	}
	all.Wait()
	shares[0].Resize(5, 0)
	if b.Used() != 12 {
		t.Errorf("%d booked, want the 12 that are owned", b.Used())
	}
	for _, s := range shares {
		if s.Used() != 0 {
			t.Errorf("%d held", s.Used())
		}
		s.Close()
	}
	if b.Used() != 0 {
		t.Errorf("%d booked in the end", b.Used())
	}
}

// A backend drains or leaves the list while a connection to it comes up: the attempt is not sent, and the descriptor
// comes back.
func TestLateConnectionIsNotUsed(t *testing.T) {
	testbed.Leaks(t)
	for name, out := range map[string]func(*Upstream){
		"drains": func(u *Upstream) { u.SetDraining(true) },
		"leaves": (*Upstream).Retire,
	} {
		b := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
		budget := NewBudget(8)
		p := NewPool(Options{ConnectTimeout: testbed.WaitTimeout}, budget)
		dialing, goOn := make(chan struct{}), make(chan struct{})
		p.dialer.Control = func(string, string, syscall.RawConn) error {
			close(dialing)
			<-goOn
			return nil
		}
		u := p.Upstream(b.Addr, 0)
		got := make(chan Reply, 1)
		r := &Request{Method: http.MethodGet, URI: "/", Host: "x", Header: http.Header{}}
		go func() { got <- NewAttempt(u, r, time.Now().Add(testbed.WaitTimeout)).Do(refuseStream) }()
		testbed.Receive(t, "the dial", dialing)
		out(u)
		close(goOn)
		if res := testbed.Receive(t, "the end", got).Result; res != balancer.NotSent {
			t.Errorf("%s: result %d", name, res)
		}
		if n := len(b.Requests()); n != 0 || budget.Used() != 0 {
			t.Errorf("%s: %d requests sent, %d descriptors held", name, n, budget.Used())
		}
		p.Close()
	}
}
