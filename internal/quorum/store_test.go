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

// TestVoterStopsPermanentlyAfterAFailedFsync makes one fsync of the leader fail. It tests that the voter stops and reports the reason, that
// its folder cannot be opened again, and that the other two voters keep working.
func TestVoterStopsPermanentlyAfterAFailedFsync(t *testing.T) {
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
	testbed.Eventually(t, "the failing voter to report the fault", func() bool {
		return strings.Contains(failing.StopReason(), "input/output") && failing.Status().State == stateStopped
	})
	if token := acquire(t, client, "c").Grant.Token; token <= firstToken {
		t.Errorf("got token %d, want more than %d", token, firstToken)
	}
	failing.Close()
	_, err := Open(listen(t), Options{Dir: failing.dir, Name: failing.options.Name, Voters: failing.options.Voters, Log: quietLog})
	if !errors.Is(err, ErrUnusableFolder) {
		t.Errorf("opening the folder again: got %v, want %v", err, ErrUnusableFolder)
	}
}

// TestTermThatCannotBeWrittenEndsTheGoroutine makes the write of a term fail. It tests that the calling goroutine ends, so that the term
// is not used, and that the process continues.
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
		t.Error("the goroutine continues after the failed write")
	}()
	testbed.Receive(t, "the end of the goroutine", ended)
	testbed.Eventually(t, "the follower to report the fault", func() bool { return strings.Contains(follower.StopReason(), "no space") })
	if _, err := os.Stat(filepath.Join(follower.dir, failedFile)); err == nil {
		t.Error("the folder is marked as failed, want unmarked: nothing was written, so no data is lost")
	}
	acquire(t, client, "b")
}

func TestSlowDiskOfAFollowerDoesNotDelayCommits(t *testing.T) {
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
		t.Errorf("acquiring 20 leases took %v, want at most 10s", elapsed)
	}
}
