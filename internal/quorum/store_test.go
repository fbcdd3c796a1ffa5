package quorum

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

// TestVoterStopsForGoodAfterAFailedFsync has one fsync of the leader fail: the voter says so and never votes again, also when it is
// started again; the other two go on.
func TestVoterStopsForGoodAfterAFailedFsync(t *testing.T) {
	testbed.Leaks(t)
	voters, client := startVoters(t)
	firstToken := acquire(t, client, "a").Grant.Token
	failing := leaderOf(voters)
	fault := errors.New("fsync: input/output error")
	failing.disk.after.Store(&fault)
	testbed.Eventually(t, "another leader", func() bool {
		acquire(t, client, "b")
		return anotherLeader(voters, failing)
	})
	testbed.Eventually(t, "the voter to report it", func() bool {
		return strings.Contains(failing.Stopped(), "input/output") && failing.Status().State == stateStopped
	})
	if token := acquire(t, client, "c").Grant.Token; token <= firstToken {
		t.Errorf("token %d after %d", token, firstToken)
	}
	failing.Close()
	_, err := Open(listen(t), Options{Dir: failing.dir, Name: failing.options.Name, Voters: failing.options.Voters, Log: quietLog})
	if !errors.Is(err, ErrUnusableFolder) {
		t.Errorf("opened once more: %v", err)
	}
}

// TestTermThatCannotBeWrittenEndsTheGoroutine has the write of a term fail: the goroutine that would have used the term ends, and the
// process does not.
func TestTermThatCannotBeWrittenEndsTheGoroutine(t *testing.T) {
	testbed.Leaks(t)
	voters, client := startVoters(t)
	acquire(t, client, "a")
	follower := voters[0]
	if follower == leaderOf(voters) {
		follower = voters[1]
	}
	fault := errors.New("no space left on device")
	follower.disk.before.Store(&fault)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = follower.store.SetUint64([]byte("CurrentTerm"), 99)
		t.Error("the goroutine goes on")
	}()
	testbed.Receive(t, "the end of the goroutine", ended)
	testbed.Eventually(t, "the voter to report it", func() bool { return strings.Contains(follower.Stopped(), "no space") })
	if _, err := os.Stat(filepath.Join(follower.dir, failedFile)); err == nil {
		t.Error("the folder is marked as failed, although nothing was written and nothing is lost")
	}
	acquire(t, client, "b")
}

func TestSlowDiskOfAFollowerDelaysNobody(t *testing.T) {
	testbed.Leaks(t)
	voters, client := startVoters(t)
	for _, voter := range voters {
		if voter != leaderOf(voters) {
			voter.disk.delay.Store(int64(time.Second))
			break
		}
	}
	start := time.Now()
	for i := range 20 {
		acquire(t, client, fmt.Sprint("x", i))
	}
	if elapsed := time.Since(start); elapsed > 10*time.Second {
		t.Errorf("20 leases took %v", elapsed)
	}
}
