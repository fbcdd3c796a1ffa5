package subscription

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var opt = Options{DirectAfter: 5 * time.Second, Spread: 4 * time.Second, SpreadFraction: 0.5}

// TestReceiveInEachMode takes a gateway through all modes: it waits, follows a leader, opens a direct stream when the leader is silent,
// follows again, leads, and releases the leadership.
func TestReceiveInEachMode(t *testing.T) {
	s := New(0, opt)
	at := time.Duration(0)
	expect := func(what string, got, want any) {
		t.Helper()
		if got != want {
			t.Fatalf("%s: got %v, want %v", what, got, want)
		}
	}
	expect("a heartbeat", s.Receive(at, Update{Token: 7}, 0), Unchanged)
	expect("a delta on an unknown base", s.Receive(at, Update{Token: 7, Seq: 3, Base: 2}, 0), NeedSnapshot)
	expect("a full snapshot", s.Receive(at, Update{Token: 7, Seq: 3, Full: true}, 0), Accept)
	expect("a delta on the accepted version", s.Receive(at, Update{Token: 7, Seq: 5, Base: 3}, 0), Accept)
	expect("late", s.Receive(at, Update{Token: 7, Seq: 4, Base: 3}, 0), Unchanged)
	expect("a delta after a gap", s.Receive(at, Update{Token: 7, Seq: 9, Base: 8}, 0), NeedSnapshot)
	expect("an older token", s.Receive(at, Update{Token: 6, Seq: 99, Full: true}, 0), Reject)
	expect("a newer token without a snapshot", s.Receive(at, Update{Token: 8, Seq: 1, Base: 0}, 0), NeedSnapshot)
	expect("a snapshot under the previous token", s.Receive(at, Update{Token: 7, Seq: 9, Full: true}, 0), Reject)
	expect("the snapshot of the newer token", s.Receive(at, Update{Token: 8, Seq: 1, Full: true}, 0), Accept)
	expect("Tick shortly before the silence is too long", s.Tick(7*time.Second-1), 7*time.Second)
	expect("Tick after a silence that is too long", s.Tick(7*time.Second), time.Duration(0))
	expect("a direct stream is wanted", s.WantsStream(), true)
	at = 10 * time.Second
	expect("an update with a different digest", s.Receive(at, Update{Token: 9, Seq: 1, Digest: 1}, 2), NeedSnapshot)
	expect("the snapshot with a different digest", s.Receive(at, Update{Token: 9, Seq: 1, Digest: 1, Full: true}, 2), CompareSnapshot)
	expect("the compared version again", s.Receive(at, Update{Token: 9, Seq: 1, Digest: 1}, 2), Diverged)
	expect("adopted", s.Adopt(at, Update{Token: 9, Seq: 1}), true)
	s.SetMissing(at, true)
	s.Receive(at+6*time.Second, Update{Token: 9, Seq: 1}, 2)
	expect("Tick after a resource was missing for too long", s.Tick(at+7*time.Second), time.Duration(0))
	expect("an update with the same digest", s.Receive(at, Update{Token: 9, Seq: 2, Digest: 2}, 2), Unchanged)
	expect("a direct stream is wanted after following again", s.WantsStream(), false)
	s.Lead(at, 10)
	expect("a snapshot of another leader while leading", s.Receive(at, Update{Token: 11, Seq: 1, Full: true}, 2), Diverged)
	s.Release(at)
	expect("a direct stream is wanted after the release", s.WantsStream(), true)
	expect("a snapshot under the token of its own leadership", s.Receive(at, Update{Token: 10, Seq: 1, Full: true}, 2), Reject)
}

// TestNothingOlderIsAccepted delivers updates out of order, repeatedly or not at all. The accepted version must never go back, and no
// update may be accepted while a direct stream is open.
func TestNothingOlderIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		s := New(now, Options{DirectAfter: 5 * time.Second, Spread: time.Second, SpreadFraction: rapid.Float64Range(0, 1).Draw(t, "chance")})
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
				tokenBefore, _, silence, _ := s.LastUpdate(now)
				next := s.Tick(now)
				if after, _ := s.Mode(); after != mode && (after != Direct || silence < 5*time.Second && mode != Following) {
					t.Fatalf("Tick changed mode %s to %s after %v of silence (token %d)", mode, after, silence, tokenBefore)
				}
				if next != 0 && next <= now {
					t.Fatalf("Tick returned %v, want 0 or a time after %v", next, now)
				}
			default:
				update := drawUpdate(t)
				mode, _ := s.Mode()
				verdict := s.Receive(now, update, 1)
				if (verdict == Reject) != (update.Token < highest) {
					t.Fatalf("Receive returned %v for token %d, the highest token seen is %d", verdict, update.Token, highest)
				}
				highest = max(highest, update.Token)
				if verdict == CompareSnapshot && rapid.Bool().Draw(t, "covered") && !s.Adopt(now, update) {
					t.Fatal("Adopt returned false for a snapshot that got the verdict CompareSnapshot")
				}
				if verdict != Accept {
					break
				}
				if mode != Waiting && mode != Following {
					t.Fatalf("Receive accepted an update in mode %s", mode)
				}
				if update.Token < token || update.Token == token && update.Seq < seq {
					t.Fatalf("Receive accepted token %d, sequence number %d after token %d, sequence number %d", update.Token, update.Seq, token, seq)
				}
				if !update.Full && (update.Token != token || update.Base > accepted[update.Token]) {
					t.Fatalf("Receive accepted a delta with base %d under token %d after sequence number %d under token %d", update.Base, update.Token, accepted[token], token)
				}
			}
			if lastToken, lastSeq, _, _ := s.LastUpdate(now); lastToken != token || lastSeq != seq {
				if lastToken < token || lastToken == token && lastSeq < seq {
					t.Fatalf("last update went back from token %d, sequence number %d to token %d, sequence number %d", token, seq, lastToken, lastSeq)
				}
				token, seq = lastToken, lastSeq
				accepted[lastToken] = lastSeq
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
