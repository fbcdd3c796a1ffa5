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

// A share that acquires as much as it can leaves other shares their reservations, and all descriptors are returned.
func TestSharesKeepTheirReservations(t *testing.T) {
	budget := NewBudget(20)
	greedy, other := budget.Share(4, 0), budget.Share(6, 0)
	if budget.Used() != 10 {
		t.Fatalf("two shares with reservations 4 and 6: Used = %d, want 10", budget.Used())
	}
	acquired := 0
	for greedy.Acquire() {
		acquired++
	}
	if acquired != 14 {
		t.Errorf("greedy share acquired %d, want 14: its reservation of 4 and the 10 unreserved ones", acquired)
	}
	for i := range 6 {
		if !other.Acquire() {
			t.Fatalf("Acquire of reserved descriptor %d = false, want true", i)
		}
	}
	if other.Acquire() {
		t.Error("Acquire beyond the limit of the budget = true, want false")
	}
	for range acquired {
		greedy.Release()
	}
	for range 6 {
		other.Release()
	}
	if budget.Used() != 10 {
		t.Errorf("after all Releases: Used = %d, want the 10 reserved", budget.Used())
	}
	greedy.Close()
	other.Close()
	if budget.Used() != 0 {
		t.Errorf("after Close of all shares: Used = %d, want 0", budget.Used())
	}
}

func TestShareLimit(t *testing.T) {
	budget := NewBudget(20)
	s := budget.Share(2, 5)
	idle := 2
	unregister := s.RegisterEvictor(func() bool {
		if idle == 0 {
			return false
		}
		idle--
		s.Release()
		return true
	})
	for i := range 5 {
		if !s.Acquire() {
			t.Fatal("Acquire = false below the limit, want true; call ", i)
		}
	}
	for range 2 {
		if !s.Acquire() {
			t.Error("Acquire at the limit with an idle connection = false, want true after an eviction")
		}
	}
	if s.Acquire() || s.Used() != 5 || budget.Used() != 5 {
		t.Errorf("at the limit: share uses %d, budget uses %d; want 5, 5, and Acquire = false", s.Used(), budget.Used())
	}
	unregister()
	if len(budget.evictors) != 0 || len(s.evictors) != 0 {
		t.Error("evictors are still registered after unregister")
	}
}

// A shortage caused by another share does not evict idle connections within the reservation of a share.
func TestReservedIdleConnectionsAreNotEvicted(t *testing.T) {
	budget := NewBudget(8)
	s, other := budget.Share(3, 0), budget.Share(0, 0)
	closed := 0
	s.RegisterEvictor(func() bool { closed++; s.Release(); return true })
	for range 4 {
		s.Acquire()
	}
	for range 5 {
		if !other.Acquire() {
			t.Fatal("Acquire by the other share = false, want true while descriptors are available or evictable")
		}
	}
	if other.Acquire() {
		t.Error("Acquire = true, want false: the remaining descriptors are reserved by another share")
	}
	if closed != 1 || s.Used() != 3 {
		t.Errorf("%d connections evicted, %d in use; want 1, 3", closed, s.Used())
	}
}

// After any order of concurrent Acquire, Release and Resize calls, the budget counts exactly what is in use or reserved.
func TestSharesUnderConcurrentUse(t *testing.T) {
	budget := NewBudget(30)
	shares := []*Share{budget.Share(5, 0), budget.Share(0, 10), budget.Share(7, 9)}
	var workers sync.WaitGroup
	for i := range 12 {
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			s, acquired := shares[i%3], 0
			for k := range 20000 {
				if i == 0 && k%100 == 0 {
					s.Resize(rng.IntN(9), 0)
				}
				if acquired > 0 && rng.IntN(2) == 0 {
					s.Release()
					acquired--
				} else if s.Acquire() {
					acquired++
				}
			}
			for range acquired {
				s.Release()
			}
		})
	}
	workers.Wait()
	shares[0].Resize(5, 0)
	if budget.Used() != 12 {
		t.Errorf("after all Releases: Used = %d, want the 12 reserved", budget.Used())
	}
	for _, s := range shares {
		if s.Used() != 0 {
			t.Errorf("after all Releases: share uses %d, want 0", s.Used())
		}
		s.Close()
	}
	if budget.Used() != 0 {
		t.Errorf("after Close of all shares: Used = %d, want 0", budget.Used())
	}
}

// An endpoint starts draining or is removed while a connection to it is being established: the attempt ends with NotSent, and the
// descriptor is released.
func TestConnectionToDrainingOrRemovedEndpointIsNotUsed(t *testing.T) {
	testbed.Leaks(t)
	for name, closeToNew := range map[string]func(*Upstream){
		"drains": func(u *Upstream) { u.SetDraining(true) },
		"leaves": (*Upstream).Retire,
	} {
		server := testbed.NewBackend(t, func(testbed.ReceivedRequest, int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
		budget := NewBudget(8)
		p := NewPool(Options{ConnectTimeout: testbed.WaitTimeout}, budget)
		dialing, proceed := make(chan struct{}), make(chan struct{})
		p.dialer.Control = func(string, string, syscall.RawConn) error {
			close(dialing)
			<-proceed
			return nil
		}
		u := p.Upstream(server.Addr, 0)
		got := make(chan Reply, 1)
		r := &Request{Method: http.MethodGet, URI: "/", Host: "x", Header: http.Header{}}
		go func() { got <- NewAttempt(u, r, time.Now().Add(testbed.WaitTimeout)).Do(failOnStream) }()
		testbed.Receive(t, "the dial", dialing)
		closeToNew(u)
		close(proceed)
		if res := testbed.Receive(t, "the reply", got).Result; res != balancer.NotSent {
			t.Errorf("%s: result %d, want %d", name, res, balancer.NotSent)
		}
		if n := len(server.Requests()); n != 0 || budget.Used() != 0 {
			t.Errorf("%s: backend received %d requests, %d descriptors in use; want 0, 0", name, n, budget.Used())
		}
		p.Close()
	}
}
