package subscription

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var opt = Options{DirectAfter: 5 * time.Second, Spread: 4 * time.Second, Chance: 0.5}

// A gateway goes through its modes: it waits, follows, is told nothing, goes to the control plane, and comes back.
func TestModes(t *testing.T) {
	s := New(0, opt)
	at := time.Duration(0)
	step := func(what string, got, want any) {
		t.Helper()
		if got != want {
			t.Fatalf("%s: %v, want %v", what, got, want)
		}
	}
	step("a sign of life", s.Receive(at, Update{Token: 7}, 0), Unchanged)
	step("news on a base that is not there", s.Receive(at, Update{Token: 7, Seq: 3, Base: 2}, 0), NeedSnapshot)
	step("the whole", s.Receive(at, Update{Token: 7, Seq: 3, Full: true}, 0), Accept)
	step("what comes next", s.Receive(at, Update{Token: 7, Seq: 5, Base: 3}, 0), Accept)
	step("late", s.Receive(at, Update{Token: 7, Seq: 4, Base: 3}, 0), Unchanged)
	step("a gap", s.Receive(at, Update{Token: 7, Seq: 9, Base: 8}, 0), NeedSnapshot)
	step("an older token", s.Receive(at, Update{Token: 6, Seq: 99, Full: true}, 0), Reject)
	step("a newer token without a whole", s.Receive(at, Update{Token: 8, Seq: 1, Base: 0}, 0), NeedSnapshot)
	step("and the one before it", s.Receive(at, Update{Token: 7, Seq: 9, Full: true}, 0), Reject)
	step("the newer one's whole", s.Receive(at, Update{Token: 8, Seq: 1, Full: true}, 0), Accept)
	step("not yet", s.Tick(7*time.Second-1), 7*time.Second)
	step("silence", s.Tick(7*time.Second), time.Duration(0))
	step("its own stream", s.WantsStream(), true)
	at = 10 * time.Second
	step("another word", s.Receive(at, Update{Token: 9, Seq: 1, Digest: 1}, 2), NeedSnapshot)
	step("its whole", s.Receive(at, Update{Token: 9, Seq: 1, Digest: 1, Full: true}, 2), Compare)
	step("the same once more", s.Receive(at, Update{Token: 9, Seq: 1, Digest: 1}, 2), Diverged)
	step("agreed", s.Adopt(at, Update{Token: 9, Seq: 1}), true)
	s.SetMissing(at, true)
	s.Receive(at+6*time.Second, Update{Token: 9, Seq: 1}, 2)
	step("missing", s.Tick(at+7*time.Second), time.Duration(0))
	step("the same word", s.Receive(at, Update{Token: 9, Seq: 2, Digest: 2}, 2), Unchanged)
	step("follows", s.WantsStream(), false)
	s.Lead(at, 10)
	step("another holder while it holds", s.Receive(at, Update{Token: 11, Seq: 1, Full: true}, 2), Diverged)
	s.Release(at)
	step("no holder any more, on its stream", s.WantsStream(), true)
	step("a push under its own former token", s.Receive(at, Update{Token: 10, Seq: 1, Full: true}, 2), Reject)
}

// Whatever order pushes come in, late, twice or not at all: what is taken is newer each time, and no holder's word is taken
// while a stream of its own says something else.
func TestNothingOlderIsTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		s := New(now, Options{DirectAfter: 5 * time.Second, Spread: time.Second, Chance: rapid.Float64Range(0, 1).Draw(t, "chance")})
		var token, seq, highest uint64
		have := map[uint64]uint64{} // what was taken under a token
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				highest = max(highest, rapid.Uint64Range(1, 6).Draw(t, "token"))
				s.Lead(now, highest)
			case 1:
				s.Release(now)
			case 2:
				s.SetMissing(now, rapid.Bool().Draw(t, "missing"))
			case 3:
				mode, _ := s.Mode()
				before, _, heard, _ := s.LastUpdate(now)
				next := s.Tick(now)
				if after, _ := s.Mode(); after != mode && (after != Direct || heard < 5*time.Second && mode != Following) {
					t.Fatalf("%s -> %s after %v of silence (token %d)", mode, after, heard, before)
				}
				if next != 0 && next <= now {
					t.Fatalf("asks to be called at %v, now is %v", next, now)
				}
			default:
				p := Update{Token: rapid.Uint64Range(1, 6).Draw(t, "token"), Seq: rapid.Uint64Range(0, 5).Draw(t, "seq"), Full: rapid.Bool().Draw(t, "whole"),
					Digest: rapid.Uint64Range(0, 1).Draw(t, "digest"), Connected: true}
				p.Base = rapid.Uint64Range(0, p.Seq).Draw(t, "base")
				mode, _ := s.Mode()
				v := s.Receive(now, p, 1)
				if (v == Reject) != (p.Token < highest) {
					t.Fatalf("%v of token %d, the highest seen is %d", v, p.Token, highest)
				}
				highest = max(highest, p.Token)
				if v == Compare && rapid.Bool().Draw(t, "covered") && !s.Adopt(now, p) {
					t.Fatal("what was to be compared is not followed")
				}
				if v != Accept {
					break
				}
				if mode != Waiting && mode != Following {
					t.Fatalf("taken while %s", mode)
				}
				if p.Token < token || p.Token == token && p.Seq < seq {
					t.Fatalf("%d/%d taken behind %d/%d", p.Token, p.Seq, token, seq)
				}
				if !p.Full && (p.Token != token || p.Base > have[p.Token]) {
					t.Fatalf("a change on base %d of token %d is taken, there is %d of %d", p.Base, p.Token, have[token], token)
				}
			}
			if n, q, _, _ := s.LastUpdate(now); n != token || q != seq {
				if n < token || n == token && q < seq {
					t.Fatalf("back from %d/%d to %d/%d", token, seq, n, q)
				}
				token, seq = n, q
				have[n] = q
			}
		}
	})
}
