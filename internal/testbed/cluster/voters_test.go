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

// copied replaces a directory by a copy of another one.
func copied(t *testing.T, from, to string) {
	t.Helper()
	if err := os.RemoveAll(to); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

// voterIdentity is what a voter's folder says of its voter, and of the starts of others that it has met.
type voterIdentity struct {
	ID   string `json:"id"`
	Boot uint64 `json:"boot"`
	Seen map[string]struct {
		Boot uint64 `json:"boot"`
	} `json:"seen"`
}

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

// recordedStart reports whether the voters that may lead once n is killed have met n since its latest start: the leader, or all others if
// n leads. Only then can they tell an earlier copy of n's folder: a voter says that it follows before the leader has reached it.
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

// TestVoterWithUnusableDirectoryDoesNotVote restarts a voter with an old copy of its directory, with that of another fleet, with a
// truncated log, and with none. The first three do not vote, report why, and serve; the last one is added again.
func TestVoterWithUnusableDirectoryDoesNotVote(t *testing.T) {
	testbed.Leaks(t)
	c := up(t, Options{Nodes: 3})
	comes(t, "a leader", func() bool { return c.Leader() != nil })
	one, two := c.Nodes[1], c.Nodes[2]
	comes(t, "three voters", func() bool { return one.vote().State == "follower" || one.vote().State == "leader" })
	// With the other voter it is a majority, so its vote would count.
	old := filepath.Join(t.TempDir(), "old")
	one.Kill()
	copied(t, one.VoterDir(), old)
	for range 2 { // starts that the copy knows nothing of
		if err := one.Restart(false); err != nil {
			t.Fatal(err)
		}
		comes(t, "it votes again", func() bool { s := one.vote(); return s.State == "follower" || s.State == "leader" })
	}
	comes(t, "the leader to have recorded its latest start", func() bool { return recordedStart(t, c, one) })
	refused := func(why string) {
		t.Helper()
		comes(t, "a refusal: "+why, func() bool {
			s, err := one.Fleet()
			return err == nil && strings.Contains(s.NoVote, why)
		})
		comes(t, "it serves all the same", one.Ready)
		one.Kill()
	}
	one.Kill()
	copied(t, old, one.VoterDir())
	if err := one.Start(); err != nil {
		t.Fatal(err)
	}
	refused("older than what the fleet knows")
	if err := one.Start(); err != nil { // also the next time
		t.Fatal(err)
	}
	refused("a write failed in it")

	// Of the same voter's name, but of another fleet.
	other := up(t, Options{Nodes: 3})
	comes(t, "another fleet", func() bool { return other.Leader() != nil && other.Nodes[1].vote().Fleet != "" })
	comes(t, "its agreement", func() bool { return other.Nodes[1].vote().Applied > 1 })
	other.Nodes[1].Kill()
	copied(t, other.Nodes[1].VoterDir(), one.VoterDir())
	if err := one.Start(); err != nil {
		t.Fatal(err)
	}
	comes(t, "it is up", func() bool { return one.vote().ID != "" })
	for range 20 { // it may not even be asked; what counts is that it never gets in
		if s := one.vote(); s.State == "leader" || s.Fleet == two.vote().Fleet {
			t.Fatalf("a voter with another fleet's folder: %+v", s)
		}
		_ = sleep(t.Context(), 20*time.Millisecond)
	}
	for _, v := range two.vote().Voters {
		if v.Name == one.Name && one.vote().Unassigned {
			t.Errorf("%+v was taken in", v)
		}
	}
	one.Kill()

	// Cut anywhere within what it holds.
	copied(t, old, one.VoterDir())
	log := filepath.Join(one.VoterDir(), "raft.db")
	if err := os.Truncate(log, 9000); err != nil {
		t.Fatal(err)
	}
	if err := one.Start(); err != nil {
		t.Fatal(err)
	}
	refused("cannot be used")

	if err := one.Restart(true); err != nil {
		t.Fatal(err)
	}
	comes(t, "the voter is taken in", func() bool { s := one.vote(); return s.State == "follower" && s.Fleet == two.vote().Fleet })
	two.Kill() // the two that are left are a majority only with the new one
	comes(t, "a leader", func() bool { return c.Leader() != nil })
}

// TestVoterWithFullLogStopsVoting fills a voter's log: it stops voting, reports it, and serves, and the others have a majority.
func TestVoterWithFullLogStopsVoting(t *testing.T) {
	testbed.Leaks(t)
	a, err := NewAuditor("receiver")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	c := up(t, Options{Nodes: 4, MaxLogSize: "1MiB", Posts: map[string]*ExternalService{"audit": &a.ExternalService}})
	comes(t, "acts", func() bool { x, _ := a.Last(); return x.Token > 0 })
	full := c.Nodes[2]
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
	comes(t, "it stops voting", func() bool {
		s, err := full.Fleet()
		return err == nil && strings.Contains(s.NoVote, "reached its size")
	})
	comes(t, "it serves", func() bool { s, err := full.Status(); return err == nil && s.Ready })
	comes(t, "a leader", func() bool { return c.Leader() != nil })
	x, _ := a.Last()
	n := len(a.Acts())
	comes(t, "acts", func() bool { return len(a.Acts()) > n+20 })
	if f := Audit(a.Acts()); f.Violated() || x.Token == 0 {
		t.Errorf("%+v", f)
	}
}
