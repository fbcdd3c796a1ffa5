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
		t.Error("11 of 10 were promised")
	}
	if _, err := p.Share(-1, 0); err == nil {
		t.Error("less than nothing was promised")
	}
	if p.Used() != 6 || p.Limit() != 10 {
		t.Errorf("%d of %d", p.Used(), p.Limit())
	}
}

// Whatever is taken, given and ended: a share always gets what it owns, never more than its most, and the pool's
// bookings are what is held or owned.
func TestSharesUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool(100)
		type user struct {
			*Share
			own, most, held int64
			ended           bool
		}
		var users []*user
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				own, most := rapid.Int64Range(0, 30).Draw(t, "own"), rapid.SampledFrom([]int64{0, 30, 50}).Draw(t, "most")
				if s, err := p.Share(own, most); err == nil {
					users = append(users, &user{Share: s, own: own, most: most})
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
					u.held += n
				}
				if !u.ended && u.held+n <= u.own && !ok {
					t.Fatalf("%d of its own %d refused with %d held", n, u.own, u.held)
				}
				if u.most > 0 && u.held > u.most {
					t.Fatalf("%d held of at most %d", u.held, u.most)
				}
			},
			"give": func(t *rapid.T) {
				if len(users) == 0 {
					t.Skip()
				}
				u := rapid.SampledFrom(users).Draw(t, "user")
				n := rapid.Int64Range(0, u.held).Draw(t, "n")
				u.Release(n)
				u.held -= n
			},
			"end": func(t *rapid.T) {
				if len(users) == 0 {
					t.Skip()
				}
				u := rapid.SampledFrom(users).Draw(t, "user")
				u.Close()
				u.ended = true
			},
			"resize": func(t *rapid.T) {
				if len(users) == 0 {
					t.Skip()
				}
				u := rapid.SampledFrom(users).Draw(t, "user")
				own := rapid.Int64Range(0, 40).Draw(t, "own")
				if u.most > 0 {
					own = min(own, u.most)
				}
				if !u.ended && u.Resize(own, u.most) == nil {
					u.own = own
				}
			},
			"": func(t *rapid.T) {
				var want int64
				for _, u := range users {
					if u.ended {
						want += u.held
					} else {
						want += max(u.held, u.own)
					}
					if u.Used() != u.held {
						t.Fatalf("%d held, want %d", u.Used(), u.held)
					}
				}
				if p.Used() != want || want > 100 {
					t.Fatalf("%d booked, want %d", p.Used(), want)
				}
			},
		})
	})
}
