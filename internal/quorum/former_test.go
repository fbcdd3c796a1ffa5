package quorum

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"robindrum/internal/drain"
	"robindrum/internal/testbed"
)

// formerFolder copies the folder of a voter that an earlier version wrote (tools/fixtures/write).
func formerFolder(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "voter")
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "former", "voter"))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestFormerSnapshotAndLogAreRead restores the snapshots of an earlier version and applies its log behind each: leases with waiters,
// drains in each state, a release half way and unknown fields come to the same bytes as they did there.
func TestFormerSnapshotAndLogAreRead(t *testing.T) {
	dir := formerFolder(t)
	want, err := os.ReadFile(filepath.Join("testdata", "former", "state.json"))
	if err != nil {
		t.Fatal(err)
	}
	store, err := raftboltdb.NewBoltStore(filepath.Join(dir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	snapshots, err := raft.NewFileSnapshotStore(dir, 2, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	list, err := snapshots.List()
	if err != nil || len(list) != 2 {
		t.Fatalf("%d snapshots, want 2: %v", len(list), err)
	}
	last, err := store.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for i, meta := range list {
		_, reader, err := snapshots.Open(meta.ID)
		if err != nil {
			t.Fatal(err)
		}
		state := newFSM()
		if err := state.Restore(reader); err != nil {
			t.Fatal(err)
		}
		for index := meta.Index + 1; index <= last; index++ {
			var entry raft.Log
			if err := store.GetLog(index, &entry); err != nil {
				t.Fatal(err)
			}
			if entry.Type != raft.LogCommand {
				continue
			}
			if result, ok := state.Apply(&entry).(Result); !ok || result.Code != "" {
				t.Fatalf("entry %d, %s: %+v", index, entry.Data, result)
			}
		}
		got, err := state.encode()
		if err != nil {
			t.Fatal(err)
		}
		expected := strings.TrimSpace(string(want))
		if i == 1 { // the older snapshot was taken before the unknown fields of these were set
			expected = strings.ReplaceAll(expected, `,"from_a_later_version":{"a":[1,2]}`, "")
		}
		if string(got) != expected {
			t.Errorf("snapshot %s and the log come to\n%s\nwant\n%s", meta.ID, got, expected)
		}
	}
}

// TestFormerFolderVotes opens a voter's folder of an earlier version and has it lead: tokens go on rising, and leases, drains and the
// release go on from where they stood.
func TestFormerFolderVotes(t *testing.T) {
	testbed.Leaks(t)
	node := listen(t)
	voters := []Voter{{"v0", "127.0.0.1:7946"}}
	s, err := Open(node, Options{Dir: formerFolder(t), Name: "v0", Voters: voters, Heartbeat: 100 * time.Millisecond, Log: quietLog})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	node.Serve()
	s.Start()
	testbed.Eventually(t, "a leader", s.Leading)
	s.fsm.mu.Lock()
	before := s.fsm.leases.LastToken
	s.fsm.mu.Unlock()
	result, err := s.propose(acquireCommand("new", "g9"))
	if err != nil || result.Err() != nil || result.Grant.Token <= before || before < 1_700_000_000_000 {
		t.Errorf("token %d after %d: %v, %v", result.Grant.Token, before, err, result.Err())
	}
	result, err = s.propose(Command{Op: OpCancelDrain, Drain: &drain.Request{ID: "under-way"}})
	if err != nil || result.Err() != nil || result.Drain.State != drain.Cancelled {
		t.Errorf("cancelled: %+v, %v", result, err)
	}
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	states := map[drain.State]int{}
	for _, request := range s.fsm.drains.List() {
		states[request.State]++
	}
	for _, state := range []drain.State{drain.Pending, drain.Granted, drain.Drained, drain.Overdue, drain.Ended, drain.Rejected} {
		if states[state] != 1 {
			t.Errorf("%d drains are %s, want 1", states[state], state)
		}
	}
	held := s.fsm.leases.Leases["subscription"]
	if held == nil || held.Holder.Name != "g1" || len(held.Waiters) != 1 || held.Waiters[0].Member.Name != "g2" {
		t.Errorf("subscription: %+v", held)
	}
	if s.fsm.releases.Current == nil || s.fsm.releases.Current.String() != "release r1 to d1: running, wave 1 of 3 (g2)" {
		t.Errorf("release: %v", s.fsm.releases.Current)
	}
}
