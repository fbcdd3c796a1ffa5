package quorum

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"robindrum/internal/lease"
	"robindrum/internal/testbed"
)

// TestRestartFromSnapshotKeepsLeasesAndTokens reopens a voter's folder after a snapshot, and tests that the voter restores its leases
// and fleet ID and that tokens keep rising.
func TestRestartFromSnapshotKeepsLeasesAndTokens(t *testing.T) {
	testbed.Leaks(t)
	voters, client := startVoters(t)
	firstToken := acquire(t, client, "a").Grant.Token
	for _, voter := range voters {
		if err := voter.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
	previousLeader := leaderOf(voters)
	previousLeader.Close()
	testbed.Eventually(t, "another leader", func() bool { return anotherLeader(voters, previousLeader) })
	restarted, err := Open(listen(t), Options{
		Dir:       previousLeader.dir,
		Name:      previousLeader.options.Name,
		Voters:    previousLeader.options.Voters,
		Heartbeat: 100 * time.Millisecond,
		Log:       quietLog,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	leases, fleet := restarted.fsm.leaseViews(0), restarted.Status().Fleet
	if len(leases) != 1 || leases[0].Token != firstToken || fleet == "" {
		t.Errorf("after the restart: got leases %+v and fleet %q, want one lease with token %d and a fleet", leases, fleet, firstToken)
	}
	if token := acquire(t, client, "b").Grant.Token; token <= firstToken {
		t.Errorf("got token %d, want more than %d", token, firstToken)
	}
}

// TestCommandsThatAnOutdatedVoterSkipsAreRejected tests that while a voter of an earlier version is known, commands that the voter would
// skip are rejected and leases are still granted.
func TestCommandsThatAnOutdatedVoterSkipsAreRejected(t *testing.T) {
	testbed.Leaks(t)
	voters, client := startVoters(t)
	storeConfig := Command{Op: OpStoreConfig, Digest: "d", Text: "t"}
	for _, voter := range voters {
		voter.outdated.Store("v9", 1)
	}
	if result, _, err := client.Do(t.Context(), storeConfig); err != nil || !strings.Contains(result.Text, "upgrade it first") {
		t.Errorf("storing a configuration with an outdated voter: got %+v, %v, want a rejection that asks for an upgrade", result, err)
	}
	acquire(t, client, "a")
	for _, voter := range voters {
		voter.outdated.Delete("v9")
	}
	if result, _, err := client.Do(t.Context(), storeConfig); err != nil || result.Err() != nil {
		t.Errorf("storing a configuration without an outdated voter: got %+v, %v, want success", result, err)
	}
	testbed.Eventually(t, "the voters' command levels", func() bool {
		for _, voter := range voters {
			if _, outdated := voter.outdated.Load("v1"); outdated || voter.Status().CommandLevel != commandLevel {
				return false
			}
		}
		return true
	})
}

// TestBeginTermIsRetried tests that a leader retries the first entry of its term if the entry times out in the queue after a slow write.
// Without the retry the voter would stay Raft's leader but reject all commands.
func TestBeginTermIsRetried(t *testing.T) {
	testbed.Leaks(t)
	voters, client := startVoters(t)
	acquire(t, client, "a")
	leader := leaderOf(voters)
	leader.disk.delay.Store(int64(time.Second))
	proposed := make(chan struct{})
	go func() {
		defer close(proposed)
		_, _ = leader.propose(Command{Op: OpForget}) // its slow write delays the entries after it
	}()
	testbed.Eventually(t, "a write", func() bool { return leader.disk.writes.Load() > 0 })
	leader.leadership <- true
	testbed.Eventually(t, "a first attempt", func() bool { return !leader.Leading() })
	time.Sleep(400 * time.Millisecond) // longer than the proposal timeout
	leader.disk.delay.Store(0)
	<-proposed
	testbed.Eventually(t, "a leader", func() bool { return leaderOf(voters) != nil })
	acquire(t, client, "b")
}

// TestUnusedNamesMakeRoomInAFullTable fills the lease table with names of members that hold and wait for no lease. It tests that a new
// member's command drops the unused names, and that another one is rejected if the table is full again within minForgetInterval.
func TestUnusedNamesMakeRoomInAFullTable(t *testing.T) {
	voters, client := startVoters(t)
	acquireAs := func(member string) error {
		result, _, err := client.Do(t.Context(), acquireCommand("x", member))
		if err != nil {
			return err
		}
		return result.Err()
	}
	fillTables := func() {
		for _, voter := range voters {
			voter.fsm.mu.Lock()
			for i := range 4096 {
				voter.fsm.leases.Incarnations[fmt.Sprint("unused", i)] = 1
			}
			voter.fsm.mu.Unlock()
		}
	}
	for acquireAs("first") != nil && t.Context().Err() == nil { // until a voter leads
		time.Sleep(10 * time.Millisecond)
	}
	fillTables()
	if err := acquireAs("new"); !errors.Is(err, lease.ErrWaiting) {
		t.Errorf("acquire with a table full of unused names: got %v, want %v", err, lease.ErrWaiting)
	}
	fillTables()
	if err := acquireAs("another"); !errors.Is(err, lease.ErrFull) {
		t.Errorf("acquire within a minute of the first OpForget: got %v, want %v", err, lease.ErrFull)
	}
}
