package quorum

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/internal/lease"
	"robindrum/internal/peer"
	"robindrum/internal/testbed"
)

var quietLog = slog.New(slog.DiscardHandler)

// faultyDisk makes writes slow or fail.
type faultyDisk struct {
	before atomic.Pointer[error] // returned by each call of Before
	after  atomic.Pointer[error] // returned by the next call of After
	delay  atomic.Int64          // time that each call of Before takes, in ns
	writes atomic.Int64          // number of calls of Before in progress
}

func (d *faultyDisk) Before(int) error {
	d.writes.Add(1)
	defer d.writes.Add(-1)
	time.Sleep(time.Duration(d.delay.Load()))
	if err := d.before.Load(); err != nil {
		return *err
	}
	return nil
}

func (d *faultyDisk) After() error {
	if err := d.after.Swap(nil); err != nil {
		return *err
	}
	return nil
}

type testVoter struct {
	*Server
	node *peer.Node
	disk *faultyDisk
	dir  string
}

func listen(t *testing.T) *peer.Node {
	t.Helper()
	node, err := peer.Listen(peer.Options{Fleet: "test", Address: "127.0.0.1:0", Log: quietLog})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node
}

// startVoters starts a client and three voters, v0 to v2, in this process and waits for a leader.
func startVoters(t *testing.T) (voters [3]*testVoter, client *Client) {
	t.Helper()
	var voterList []Voter
	for i := range voters {
		node := listen(t)
		voters[i] = &testVoter{node: node, disk: &faultyDisk{}, dir: t.TempDir()}
		voterList = append(voterList, Voter{Name: fmt.Sprint("v", i), Address: node.Addr()})
	}
	for i, voter := range voters {
		var err error
		voter.Server, err = Open(voter.node, Options{
			Dir:       voter.dir,
			Name:      fmt.Sprint("v", i),
			Voters:    voterList,
			Heartbeat: 100 * time.Millisecond,
			Disk:      voter.disk,
			Log:       quietLog,
		})
		if err != nil {
			t.Fatal(err)
		}
		voter.node.Serve()
		t.Cleanup(voter.Close)
	}
	for _, voter := range voters {
		voter.Start()
	}
	start := time.Now()
	client = NewClient(voters[0].node, voterList, time.Second, func() time.Duration { return time.Since(start) })
	testbed.Eventually(t, "a leader", func() bool { return leaderOf(voters) != nil })
	return voters, client
}

// leaderOf returns the leader among the voters, or nil.
func leaderOf(voters [3]*testVoter) *testVoter {
	for _, voter := range voters {
		if voter.Leading() {
			return voter
		}
	}
	return nil
}

// anotherLeader reports whether a voter other than previous is the leader.
func anotherLeader(voters [3]*testVoter, previous *testVoter) bool {
	leader := leaderOf(voters)
	return leader != nil && leader != previous
}

func acquireCommand(name, member string) Command {
	return Command{Op: OpAcquire, Lease: name, Rules: lease.Rules{Length: time.Second}, Member: lease.Member{Name: member, Incarnation: 1}}
}

// acquire commits an OpAcquire command and returns its result, which may be an error.
func acquire(t *testing.T, client *Client, name string) Result {
	t.Helper()
	result, _, err := client.Do(t.Context(), acquireCommand(name, "m"))
	if err != nil {
		t.Fatal(err)
	}
	return result
}
