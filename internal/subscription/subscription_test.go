package subscription

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var opt = Options{DirectAfter: 5 * time.Second, Spread: 4 * time.Second, Chance: 0.5}

// A gateway goes through all modes: it waits, follows, opens a direct stream after silence, and follows again.
func TestReceiveInEachMode(t *testing.T) {
	s := New(0, opt)
	at := time.Duration(0)
	step := func(what string, got, want any) {
		t.Helper()
		if got != want {
			t.Fatalf("%s: %v, want %v", what, got, want)
		}
	}
	step("a heartbeat", s.Receive(at, Update{Token: 7}, 0), Unchanged)
	step("a delta on an unknown base", s.Receive(at, Update{Token: 7, Seq: 3, Base: 2}, 0), NeedSnapshot)
	step("a full snapshot", s.Receive(at, Update{Token: 7, Seq: 3, Full: true}, 0), Accept)
	step("the next delta", s.Receive(at, Update{Token: 7, Seq: 5, Base: 3}, 0), Accept)
	step("late", s.Receive(at, Update{Token: 7, Seq: 4, Base: 3}, 0), Unchanged)
	step("a gap", s.Receive(at, Update{Token: 7, Seq: 9, Base: 8}, 0), NeedSnapshot)
	step("an older token", s.Receive(at, Update{Token: 6, Seq: 99, Full: true}, 0), Reject)
	step("a newer token without a snapshot", s.Receive(at, Update{Token: 8, Seq: 1, Base: 0}, 0), NeedSnapshot)
	step("the token before it", s.Receive(at, Update{Token: 7, Seq: 9, Full: true}, 0), Reject)
	step("the snapshot of the newer token", s.Receive(at, Update{Token: 8, Seq: 1, Full: true}, 0), Accept)
	step("not yet", s.Tick(7*time.Second-1), 7*time.Second)
	step("after silence", s.Tick(7*time.Second), time.Duration(0))
	step("a direct stream", s.WantsStream(), true)
	at = 10 * time.Second
	step("a different state", s.Receive(at, Update{Token: 9, Seq: 1, Digest: 1}, 2), NeedSnapshot)
	step("its snapshot", s.Receive(at, Update{Token: 9, Seq: 1, Digest: 1, Full: true}, 2), Compare)
	step("the compared version again", s.Receive(at, Update{Token: 9, Seq: 1, Digest: 1}, 2), Diverged)
	step("adopted", s.Adopt(at, Update{Token: 9, Seq: 1}), true)
	s.SetMissing(at, true)
	s.Receive(at+6*time.Second, Update{Token: 9, Seq: 1}, 2)
	step("a missing resource", s.Tick(at+7*time.Second), time.Duration(0))
	step("the same state", s.Receive(at, Update{Token: 9, Seq: 2, Digest: 2}, 2), Unchanged)
	step("following again", s.WantsStream(), false)
	s.Lead(at, 10)
	step("another leader while leading", s.Receive(at, Update{Token: 11, Seq: 1, Full: true}, 2), Diverged)
	s.Release(at)
	step("direct stream after the release", s.WantsStream(), true)
	step("an update under its own former token", s.Receive(at, Update{Token: 10, Seq: 1, Full: true}, 2), Reject)
}

// In whatever order updates arrive, late, twice or not at all: what is accepted is newer each time, and nothing is accepted from a
// leader while a direct stream says something else.
func TestNothingOlderIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		s := New(now, Options{DirectAfter: 5 * time.Second, Spread: time.Second, Chance: rapid.Float64Range(0, 1).Draw(t, "chance")})
		var token, seq, highest uint64
		accepted := map[uint64]uint64{} // the last sequence number under each token
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
					t.Fatalf("next tick at %v, now is %v", next, now)
				}
			default:
				update := drawUpdate(t)
				mode, _ := s.Mode()
				verdict := s.Receive(now, update, 1)
				if (verdict == Reject) != (update.Token < highest) {
					t.Fatalf("%v of token %d, the highest seen is %d", verdict, update.Token, highest)
				}
				highest = max(highest, update.Token)
				if verdict == Compare && rapid.Bool().Draw(t, "covered") && !s.Adopt(now, update) {
					t.Fatal("a compared snapshot is not adopted")
				}
				if verdict != Accept {
					break
				}
				if mode != Waiting && mode != Following {
					t.Fatalf("accepted while %s", mode)
				}
				if update.Token < token || update.Token == token && update.Seq < seq {
					t.Fatalf("%d/%d accepted after %d/%d", update.Token, update.Seq, token, seq)
				}
				if !update.Full && (update.Token != token || update.Base > accepted[update.Token]) {
					t.Fatalf("a delta on base %d of token %d is accepted after %d of %d", update.Base, update.Token, accepted[token], token)
				}
			}
			if n, q, _, _ := s.LastUpdate(now); n != token || q != seq {
				if n < token || n == token && q < seq {
					t.Fatalf("back from %d/%d to %d/%d", token, seq, n, q)
				}
				token, seq = n, q
				accepted[n] = q
			}
		}
	})
}

func drawUpdate(t *rapid.T) Update {
	t.Helper()
	update := Update{
		Token:     rapid.Uint64Range(1, 6).Draw(t, "token"),
		Seq:       rapid.Uint64Range(0, 5).Draw(t, "seq"),
		Full:      rapid.Bool().Draw(t, "whole"),
		Digest:    rapid.Uint64Range(0, 1).Draw(t, "digest"),
		Connected: true,
	}
	update.Base = rapid.Uint64Range(0, update.Seq).Draw(t, "base")
	return update
}
