package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/internal/peer"
	"robindrum/internal/testbed"
)

// scriptedAnswer returns the reply of the voter with the given index to the given attempt. Attempts are counted from 1 across all
// voters.
type scriptedAnswer func(voter, attempt int, voters []Voter) (Reply, error)

// startScriptedVoters starts three fake voters that reply with answer. It returns a client and a counter of the attempts received.
func startScriptedVoters(t *testing.T, attemptTimeout time.Duration, answer scriptedAnswer) (client *Client, attempts *atomic.Int64) {
	t.Helper()
	attempts = new(atomic.Int64)
	var nodes [3]*peer.Node
	var voters []Voter
	for i := range nodes {
		nodes[i] = listen(t)
		voters = append(voters, Voter{Name: fmt.Sprint("v", i), Address: nodes[i].Addr()})
	}
	for i, node := range nodes {
		node.Handle(commandPath, 1<<10, func(_ context.Context, body []byte) (any, error) {
			var command Command
			if err := json.Unmarshal(body, &command); err != nil {
				return nil, badRequest(err)
			}
			reply, err := answer(i, int(attempts.Add(1)), voters)
			if err != nil {
				return nil, &peer.StatusError{Status: http.StatusServiceUnavailable, Err: err}
			}
			return reply, nil
		})
		node.Serve()
	}
	start := time.Now()
	return NewClient(nodes[0], voters, attemptTimeout, func() time.Duration { return time.Since(start) }), attempts
}

func notLeader(int, int, []Voter) (Reply, error) { return Reply{Reason: ErrNotLeader.Error()}, nil }

// TestDoOutlastsAnElection tests that Do succeeds although the first 12 attempts are rejected immediately because no voter leads. With a
// limit on the number of attempts, Do would give up before an election completes.
func TestDoOutlastsAnElection(t *testing.T) {
	testbed.Leaks(t)
	client, attempts := startScriptedVoters(t, 200*time.Millisecond, func(voter, attempt int, voters []Voter) (Reply, error) {
		if attempt < 13 {
			return notLeader(voter, attempt, voters)
		}
		return Reply{Committed: true, Result: Result{Code: "held"}}, nil
	})
	if result, _, err := client.Do(t.Context(), Command{Op: OpDrain}); err != nil || result.Code != "held" {
		t.Errorf("Do returned %+v, %v after %d attempts, want code held", result, err, attempts.Load())
	}
}

// TestDoBacksOffWithoutALeader tests that without a leader Do gives up after the time of three attempts per voter, and that the interval
// between its attempts grows.
func TestDoBacksOffWithoutALeader(t *testing.T) {
	const attemptTimeout = 100 * time.Millisecond
	for name, answer := range map[string]scriptedAnswer{
		"no voter leads": notLeader,
		"voters name each other": func(voter, _ int, voters []Voter) (Reply, error) {
			return Reply{Reason: ErrNotLeader.Error(), Leader: voters[(voter+1)%3].Address}, nil
		},
		"voters are overloaded": func(int, int, []Voter) (Reply, error) { return Reply{}, errors.New("busy") },
	} {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			client, attempts := startScriptedVoters(t, attemptTimeout, answer)
			start := time.Now()
			_, _, err := client.Do(t.Context(), Command{Op: OpDrain})
			if elapsed := time.Since(start); !errors.Is(err, ErrNoQuorum) || elapsed < 8*attemptTimeout {
				t.Errorf("Do returned %v after %v, want %v after at least %v", err, elapsed, ErrNoQuorum, 8*attemptTimeout)
			}
			// The backoff doubles from 1/20 to 1/2 of attemptTimeout, with up to two attempts per backoff. At most seven backoffs fit
			// into the first 1.3 attempt timeouts, and 16 fill the rest.
			if n := attempts.Load(); n > 46 || n < 9 {
				t.Errorf("Do made %d attempts, want 9 to 46", n)
			}
		})
	}
}

func TestDoEndsWithItsContext(t *testing.T) {
	testbed.Leaks(t)
	client, _ := startScriptedVoters(t, time.Second, notLeader)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	start := time.Now()
	if _, _, err := client.Do(ctx, Command{Op: OpDrain}); !errors.Is(err, ErrNoQuorum) || time.Since(start) > 2*time.Second {
		t.Errorf("Do returned %v after %v, want %v within 2s", err, time.Since(start), ErrNoQuorum)
	}
}

// TestCommandTimeoutIsShorterThanAnOperatorsCall tests that Do returns its error before an operator's call times out after 10 s, even
// with five voters.
func TestCommandTimeoutIsShorterThanAnOperatorsCall(t *testing.T) {
	for _, test := range []struct {
		voters         int
		attemptTimeout time.Duration
		want           time.Duration
	}{
		{3, 150 * time.Millisecond, 1350 * time.Millisecond},
		{3, time.Second, 8 * time.Second},
		{5, time.Second, 8 * time.Second},
	} {
		client := NewClient(nil, make([]Voter, test.voters), test.attemptTimeout, nil)
		if got := client.commandTimeout(); got != test.want {
			t.Errorf("commandTimeout with %d voters and an attempt timeout of %v: got %v, want %v", test.voters, test.attemptTimeout, got, test.want)
		}
	}
}

// TestReasonsOfRedirectsBecomeErrors tests that the texts sent by voters, including those of earlier versions, map to errors.
func TestReasonsOfRedirectsBecomeErrors(t *testing.T) {
	for reason, want := range map[string]bool{
		"not the leader":                         true,
		"node is not the leader":                 true,
		"leadership lost while committing log":   false,
		"timed out enqueuing operation":          false,
		"this voter was once not the leader, so": false,
	} {
		err := errorFromReason(reason)
		if got := errors.Is(err, ErrNotLeader); got != want || err == nil {
			t.Errorf("errorFromReason(%q) = %v; is ErrNotLeader: got %v, want %v", reason, err, got, want)
		}
	}
}
