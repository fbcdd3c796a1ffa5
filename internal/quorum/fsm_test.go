package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"robindrum/internal/lease"
)

// TestSameEntriesGiveTheSameState applies the same random commands to two state machines, one of which is occasionally replaced by a copy
// restored from its snapshot, and tests that the results are equal.
func TestSameEntriesGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newFSM(), newFSM()
		term, now := uint64(1), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "entries") {
			if rapid.IntRange(0, 9).Draw(t, "new term") == 0 {
				term, now = term+1, 0
			}
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			command := Command{
				Op:        rapid.SampledFrom([]Op{OpAcquire, OpRenew, OpRelease, OpRevoke, OpForget, opBeginTerm}).Draw(t, "op"),
				Lease:     rapid.SampledFrom([]string{"x", "y"}).Draw(t, "lease"),
				Rules:     lease.Rules{Length: time.Second},
				Member:    lease.Member{Name: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "member"), Incarnation: 1},
				Token:     rapid.Uint64Range(0, 20).Draw(t, "token"),
				Now:       now,
				Fleet:     "f",
				TokenBase: 3,
			}
			firstResult, secondResult := first.apply(term, &command), second.apply(term, &command)
			if fmt.Sprint(firstResult) != fmt.Sprint(secondResult) {
				t.Fatalf("results of %+v differ: first %+v, second %+v", command, firstResult, secondResult)
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				text, err := second.encode()
				if err != nil {
					t.Fatal(err)
				}
				second = newFSM()
				if err := second.decode(text); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// FuzzSnapshotAndEntry restores an arbitrary snapshot and applies an arbitrary entry. It tests that neither panics and that the state
// can be encoded afterwards.
func FuzzSnapshotAndEntry(f *testing.F) {
	state := newFSM()
	command := acquireCommand("x", "m")
	state.apply(1, &command)
	text, err := state.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text, []byte(`{"op":"renew","lease":"x","member":{"name":"m","birth":1},"token":1}`))
	f.Add([]byte("{}"), []byte(""))
	f.Fuzz(func(t *testing.T, snapshot, entry []byte) {
		state := newFSM()
		_ = state.decode(snapshot)
		if result, ok := state.Apply(&raft.Log{Term: 5, Data: entry}).(Result); !ok {
			t.Errorf("Apply returned %+v, want a Result", result)
		}
		if _, err := state.encode(); err != nil {
			t.Error(err)
		}
	})
}
