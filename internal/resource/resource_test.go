package resource

import (
	"testing"

	"pgregory.net/rapid"
)

func TestUnavailableReservationIsRejected(t *testing.T) {
	p := NewPool(10)
	if _, err := p.Share(6, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Share(5, 0); err == nil {
		t.Error("Share reserved 11 of 10 in total, want an error")
	}
	if _, err := p.Share(-1, 0); err == nil {
		t.Error("Share accepted a reservation of -1, want an error")
	}
	if p.Used() != 6 || p.Limit() != 10 {
		t.Errorf("Used, Limit = %d, %d; want 6, 10", p.Used(), p.Limit())
	}
}

// After any sequence of Acquire, Release, Resize and Close: a share can always acquire its reservation and never more than its maximum,
// and Used of the pool is the amount reserved or in use.
func TestSharesUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool(100)
		type user struct {
			*Share
			reservation, maximum, acquired int64
			closed                         bool
		}
		var users []*user
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				reservation, maximum := rapid.Int64Range(0, 30).Draw(t, "own"), rapid.SampledFrom([]int64{0, 30, 50}).Draw(t, "most")
				if s, err := p.Share(reservation, maximum); err == nil {
					users = append(users, &user{Share: s, reservation: reservation, maximum: maximum})
				}
			},
			"take": func(t *rapid.T) {
				if len(users) == 0 {
					t.Skip()
				}
				u := rapid.SampledFrom(users).Draw(t, "user")
				n := rapid.Int64Range(0, 40).Draw(t, "n")
				ok := u.Acquire(n)
				if ok {
					u.acquired += n
				}
				if !u.closed && u.acquired+n <= u.reservation && !ok {
					t.Fatalf("Acquire(%d) = false with reservation %d and %d acquired, want true", n, u.reservation, u.acquired)
				}
				if u.maximum > 0 && u.acquired > u.maximum {
					t.Fatalf("share has acquired %d, want at most %d", u.acquired, u.maximum)
				}
			},
			"give": func(t *rapid.T) {
				if len(users) == 0 {
					t.Skip()
				}
				u := rapid.SampledFrom(users).Draw(t, "user")
				n := rapid.Int64Range(0, u.acquired).Draw(t, "n")
				u.Release(n)
				u.acquired -= n
			},
			"end": func(t *rapid.T) {
				if len(users) == 0 {
					t.Skip()
				}
				u := rapid.SampledFrom(users).Draw(t, "user")
				u.Close()
				u.closed = true
			},
			"resize": func(t *rapid.T) {
				if len(users) == 0 {
					t.Skip()
				}
				u := rapid.SampledFrom(users).Draw(t, "user")
				reservation := rapid.Int64Range(0, 40).Draw(t, "own")
				if u.maximum > 0 {
					reservation = min(reservation, u.maximum)
				}
				if !u.closed && u.Resize(reservation, u.maximum) == nil {
					u.reservation = reservation
				}
			},
			"": func(t *rapid.T) {
				var want int64
				for _, u := range users {
					if u.closed {
						want += u.acquired
					} else {
						want += max(u.acquired, u.reservation)
					}
					if u.Used() != u.acquired {
						t.Fatalf("Used of a share = %d, want %d", u.Used(), u.acquired)
					}
				}
				if p.Used() != want || want > 100 {
					t.Fatalf("Used of the pool = %d, want %d and at most 100", p.Used(), want)
				}
			},
		})
	})
}
