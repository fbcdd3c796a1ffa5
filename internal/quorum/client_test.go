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

// scriptedAnswer returns the answer of the voter with this index to the attempt with this number, from 1.
type scriptedAnswer func(voter, attempt int, voters []Voter) (Reply, error)

// startScriptedVoters starts three voters that answer as scripted, and returns a client and the number of its attempts.
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

// TestDoOutlastsAnElection has the voters answer at once for a while that none of them leads: a limit on attempts would end too soon.
func TestDoOutlastsAnElection(t *testing.T) {
	testbed.Leaks(t)
	client, attempts := startScriptedVoters(t, 200*time.Millisecond, func(voter, attempt int, voters []Voter) (Reply, error) {
		if attempt < 13 {
			return notLeader(voter, attempt, voters)
		}
		return Reply{Committed: true, Result: Result{Code: "held"}}, nil
	})
	if result, _, err := client.Do(t.Context(), Command{Op: OpDrain}); err != nil || result.Code != "held" {
		t.Errorf("%+v, %v, after %d attempts", result, err, attempts.Load())
	}
}

// TestDoBacksOffWithoutALeader tests that without a leader a client gives up in the time that three attempts at each silent voter take,
// and asks less and less often.
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
				t.Errorf("%v after %v", err, elapsed)
			}
			// Pauses double from a twentieth of the attempt's time to half of it: at most seven of them, with two attempts each, fit into
			// the first 1.3 attempts' time, and 16 pauses fill the rest.
			if n := attempts.Load(); n > 46 || n < 9 {
				t.Errorf("%d attempts", n)
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
		t.Errorf("%v after %v", err, time.Since(start))
	}
}

// TestCommandTimeoutIsShorterThanAnOperatorsCall tests that also with five voters an operator's call of 10 s learns the reason.
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
			t.Errorf("%d voters, %v an attempt: %v, want %v", test.voters, test.attemptTimeout, got, test.want)
		}
	}
}

// TestReasonsOfRedirectsBecomeErrors tests the texts that voters, also of earlier versions, send.
func TestReasonsOfRedirectsBecomeErrors(t *testing.T) {
	for reason, want := range map[string]bool{
		"not the leader":                         true,
		"node is not the leader":                 true,
		"leadership lost while committing log":   false,
		"timed out enqueuing operation":          false,
		"this voter was once not the leader, so": false,
	} {
		err := errorOfReason(reason)
		if got := errors.Is(err, ErrNotLeader); got != want || err == nil {
			t.Errorf("%q: %v", reason, err)
		}
	}
}
