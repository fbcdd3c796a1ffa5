package cluster

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"robindrum/internal/testbed"
)

// replaceDir replaces a directory with a copy of another one.
func replaceDir(t *testing.T, from, to string) {
	t.Helper()
	if err := os.RemoveAll(to); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

// voterIdentity is the content of voter.json: the voter's ID and its number of starts, and the latest starts of other voters that it knows.
type voterIdentity struct {
	ID   string `json:"id"`
	Boot uint64 `json:"boot"`
	Seen map[string]struct {
		Boot uint64 `json:"boot"`
	} `json:"seen"`
}

// readIdentity reads the identity file of the node's voter.
func readIdentity(t testing.TB, n *Node) (identity voterIdentity) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(n.VoterDir(), "voter.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &identity); err != nil {
		t.Fatal(err)
	}
	return identity
}

// recordedStart reports whether the voters that may lead after n is killed have recorded n's latest start: the leader, or all other
// voters if n leads. Only then can they detect an older copy of n's directory. A voter reports that it follows before the leader has
// contacted it, so its state does not show this.
func recordedStart(t testing.TB, c *Cluster, n *Node) bool {
	t.Helper()
	leader := c.Leader()
	if leader == nil {
		return false
	}
	own := readIdentity(t, n)
	for _, other := range c.Nodes {
		if other == n || leader != n && leader != other {
			continue
		}
		if readIdentity(t, other).Seen[own.ID].Boot != own.Boot {
			return false
		}
	}
	return true
}

// TestVoterWithUnusableDirectoryDoesNotVote restarts a voter with an old copy of its directory, with the directory of another fleet's
// voter, with a truncated log, and without a directory. With the old copy and the truncated log it reports why it does not vote, and
// serves. With the other fleet's directory it is not added to the fleet. Without a directory it is added again.
func TestVoterWithUnusableDirectoryDoesNotVote(t *testing.T) {
	testbed.Leaks(t)
	testCluster := startCluster(t, Options{Nodes: 3})
	waitFor(t, "a leader of the quorum", func() bool { return testCluster.Leader() != nil })
	voter, otherVoter := testCluster.Nodes[1], testCluster.Nodes[2]
	waitFor(t, "n1 to vote", func() bool { return voter.vote().State == "follower" || voter.vote().State == "leader" })
	// n1 and one other voter are a majority, so its vote would count.
	oldCopy := filepath.Join(t.TempDir(), "old")
	voter.Kill()
	replaceDir(t, voter.VoterDir(), oldCopy)
	for range 2 { // starts that the copy does not contain
		if err := voter.Restart(false); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "n1 to vote again", func() bool { status := voter.vote(); return status.State == "follower" || status.State == "leader" })
	}
	waitFor(t, "the leader to have recorded the latest start of n1", func() bool { return recordedStart(t, testCluster, voter) })
	awaitNotVoting := func(reason string) {
		t.Helper()
		waitFor(t, "n1 to report that it does not vote: "+reason, func() bool {
			status, err := voter.Fleet()
			return err == nil && strings.Contains(status.NoVote, reason)
		})
		waitFor(t, "n1 to be ready without voting", voter.Ready)
		voter.Kill()
	}
	voter.Kill()
	replaceDir(t, oldCopy, voter.VoterDir())
	if err := voter.Start(); err != nil {
		t.Fatal(err)
	}
	awaitNotVoting("older than what the fleet knows")
	if err := voter.Start(); err != nil { // the rejection also holds after another start
		t.Fatal(err)
	}
	awaitNotVoting("a write failed in it")

	// The directory of the voter of the same name in another fleet.
	otherCluster := startCluster(t, Options{Nodes: 3})
	waitFor(t, "a leader of the other fleet", func() bool { return otherCluster.Leader() != nil && otherCluster.Nodes[1].vote().Fleet != "" })
	waitFor(t, "the other fleet to have applied entries", func() bool { return otherCluster.Nodes[1].vote().Applied > 1 })
	otherCluster.Nodes[1].Kill()
	replaceDir(t, otherCluster.Nodes[1].VoterDir(), voter.VoterDir())
	if err := voter.Start(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "n1 to report a voter ID", func() bool { return voter.vote().ID != "" })
	for range 20 { // checked repeatedly, because the leader may never contact the voter, so no event shows that it was rejected
		if status := voter.vote(); status.State == "leader" || status.Fleet == otherVoter.vote().Fleet {
			t.Fatalf("voter with another fleet's directory: got %+v, want it not to join", status)
		}
		_ = sleep(t.Context(), 20*time.Millisecond)
	}
	for _, listed := range otherVoter.vote().Voters {
		if listed.Name == voter.Name && voter.vote().Unassigned {
			t.Errorf("voter with another fleet's directory: got it listed as %+v, want it not listed", listed)
		}
	}
	voter.Kill()

	// A log that is truncated within its content.
	replaceDir(t, oldCopy, voter.VoterDir())
	log := filepath.Join(voter.VoterDir(), "raft.db")
	if err := os.Truncate(log, 9000); err != nil {
		t.Fatal(err)
	}
	if err := voter.Start(); err != nil {
		t.Fatal(err)
	}
	awaitNotVoting("cannot be used")

	if err := voter.Restart(true); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "n1 to be added as a voter", func() bool {
		status := voter.vote()
		return status.State == "follower" && status.Fleet == otherVoter.vote().Fleet
	})
	otherVoter.Kill() // the other two are a majority only if the new voter votes
	waitFor(t, "a leader of the quorum", func() bool { return testCluster.Leader() != nil })
}

// TestVoterWithFullLogStopsVoting fills a voter's log. The voter stops voting, reports it, and serves, and the other voters are a majority.
func TestVoterWithFullLogStopsVoting(t *testing.T) {
	testbed.Leaks(t)
	auditor, err := NewAuditor("receiver")
	if err != nil {
		t.Fatal(err)
	}
	defer auditor.Close()
	testCluster := startCluster(t, Options{Nodes: 4, MaxLogSize: "1MiB", PostTasks: map[string]*ExternalService{"audit": &auditor.ExternalService}})
	waitFor(t, "acts", func() bool { last, _ := auditor.Last(); return last.Token > 0 })
	full := testCluster.Nodes[2]
	full.Kill()
	f, err := os.OpenFile(filepath.Join(full.VoterDir(), "raft.db"), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Truncate(1 << 20); err != nil {
		t.Fatal(err)
	}
	_ = f.Close()
	if err := full.Start(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "n2 to report that it does not vote", func() bool {
		status, err := full.Fleet()
		return err == nil && strings.Contains(status.NoVote, "reached its size")
	})
	waitFor(t, "n2 to be ready", func() bool { status, err := full.Status(); return err == nil && status.Ready })
	waitFor(t, "a leader of the quorum", func() bool { return testCluster.Leader() != nil })
	last, _ := auditor.Last()
	before := len(auditor.Posts())
	waitFor(t, "acts", func() bool { return len(auditor.Posts()) > before+20 })
	if f := Audit(auditor.Posts()); f.Violated() || last.Token == 0 {
		t.Errorf("Audit: got %+v, last post before with token %d, want no violation and a token above 0", f, last.Token)
	}
}
