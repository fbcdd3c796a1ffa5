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

// TestRestartFromSnapshotKeepsLeasesAndTokens starts a voter again from its snapshot.
func TestRestartFromSnapshotKeepsLeasesAndTokens(t *testing.T) {
	testbed.Leaks(t)
	voters, client := startVoters(t)
	firstToken := acquire(t, client, "a").Grant.Token
	for _, voter := range voters {
		if err := voter.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
	former := leaderOf(voters)
	former.Close()
	testbed.Eventually(t, "another leader", func() bool { return anotherLeader(voters, former) })
	restarted, err := Open(listen(t), Options{
		Dir:       former.dir,
		Name:      former.options.Name,
		Voters:    former.options.Voters,
		Heartbeat: 100 * time.Millisecond,
		Log:       quietLog,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	leases, fleet := restarted.fsm.leaseViews(0), restarted.Status().Fleet
	if len(leases) != 1 || leases[0].Token != firstToken || fleet == "" {
		t.Errorf("%+v of fleet %q", leases, fleet)
	}
	if token := acquire(t, client, "b").Grant.Token; token <= firstToken {
		t.Errorf("token %d after %d", token, firstToken)
	}
}

// TestCommandsThatAnOutdatedVoterSkipsAreRejected tests that while a voter of an earlier version is known, commands that it would
// skip are rejected and leases are granted.
func TestCommandsThatAnOutdatedVoterSkipsAreRejected(t *testing.T) {
	testbed.Leaks(t)
	voters, client := startVoters(t)
	storeConfig := Command{Op: OpStoreConfig, Digest: "d", Text: "t"}
	for _, voter := range voters {
		voter.outdated.Store("v9", 1)
	}
	if result, _, err := client.Do(t.Context(), storeConfig); err != nil || !strings.Contains(result.Text, "upgrade it first") {
		t.Errorf("%+v, %v", result, err)
	}
	acquire(t, client, "a")
	for _, voter := range voters {
		voter.outdated.Delete("v9")
	}
	if result, _, err := client.Do(t.Context(), storeConfig); err != nil || result.Err() != nil {
		t.Errorf("%+v, %v", result, err)
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

// TestBeginTermIsRetried has a leader's first entry time out behind a slow write: the leader retries, as Raft would otherwise have a
// leader that answers nobody.
func TestBeginTermIsRetried(t *testing.T) {
	testbed.Leaks(t)
	voters, client := startVoters(t)
	acquire(t, client, "a")
	leader := leaderOf(voters)
	leader.disk.delay.Store(int64(time.Second))
	proposed := make(chan struct{})
	go func() {
		defer close(proposed)
		_, _ = leader.propose(Command{Op: OpForget}) // delays the entries behind it
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

// TestUnusedNamesMakeRoomInAFullTable fills the table with names that are in no lease: a new member makes room once, and is rejected
// within the pause between two clean-ups.
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
		t.Errorf("with unused names: %v", err)
	}
	fillTables()
	if err := acquireAs("another"); !errors.Is(err, lease.ErrFull) {
		t.Errorf("within a minute of the first clean-up: %v", err)
	}
}
