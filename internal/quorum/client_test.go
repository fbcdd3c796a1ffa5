package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/internal/peer"
	"robindrum/internal/testbed"
)

// standIns are three voters that answer as they are told: at is which of them, n how many asks there were.
func standIns(t *testing.T, attempt time.Duration, answer func(at, n int, voters []Voter) (reply, error)) (c *Client, asked *atomic.Int64) {
	t.Helper()
	asked = new(atomic.Int64)
	var nodes [3]*peer.Node
	var voters []Voter
	for i := range nodes {
		n, err := peer.Listen(peer.Options{Fleet: "test", Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { n.Close() })
		nodes[i] = n
		voters = append(voters, Voter{fmt.Sprint("v", i), n.Addr()})
	}
	for i, n := range nodes {
		n.Handle("/fleet/v1/quorum", 1<<10, func(_ context.Context, body []byte) (any, error) {
			var c Command
			if err := json.Unmarshal(body, &c); err != nil {
				return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
			}
			r, err := answer(i, int(asked.Add(1)), voters)
			if err != nil {
				return nil, &peer.StatusError{Status: http.StatusServiceUnavailable, Err: err}
			}
			return r, nil
		})
		n.Serve()
	}
	start := time.Now()
	return NewClient(nodes[0], voters, attempt, func() time.Duration { return time.Since(start) }), asked
}

// While voters elect a leader each says at once that it is none. Danger: rounds that are counted end before an election can.
func TestElectionLongerThanThreeRoundsOfAsks(t *testing.T) {
	testbed.Leaks(t)
	c, asked := standIns(t, 200*time.Millisecond, func(_, n int, _ []Voter) (reply, error) {
		if n < 13 {
			return reply{Why: NotLeader}, nil
		}
		return reply{Done: true, Result: Result{Code: "held"}}, nil
	})
	if r, _, err := c.Do(t.Context(), Command{Op: OpDrain}); err != nil || r.Code != "held" {
		t.Errorf("%+v, %v, behind %d asks", r, err, asked.Load())
	}
}

// Where there is no leader for good a client gives up in the time that three rounds over silent voters take, and asks ever more
// rarely: an election is not held up by those who wait for it. Voters that name each other are no exception.
func TestNoLeaderForGood(t *testing.T) {
	const attempt = 100 * time.Millisecond
	for name, answer := range map[string]func(at, n int, voters []Voter) (reply, error){
		"none is": func(int, int, []Voter) (reply, error) { return reply{Why: NotLeader}, nil },
		"another one": func(at, _ int, l []Voter) (reply, error) {
			return reply{Why: NotLeader, Leader: l[(at+1)%3].Address}, nil
		},
		"they are full": func(int, int, []Voter) (reply, error) { return reply{}, errors.New("busy") },
	} {
		t.Run(name, func(t *testing.T) {
			testbed.Leaks(t)
			c, asked := standIns(t, attempt, answer)
			began := time.Now()
			_, _, err := c.Do(t.Context(), Command{Op: OpDrain})
			if took := time.Since(began); !errors.Is(err, ErrNoQuorum) || took < 8*attempt {
				t.Errorf("%v after %v", err, took)
			}
			// Pauses double from a twentieth of an attempt's time to half of it: seven of them and two asks each, at the most, are
			// gone by the first 1.3 attempts' time, and 16 pauses fill the rest.
			if n := asked.Load(); n > 46 || n < 9 {
				t.Errorf("%d asks", n)
			}
		})
	}
}

// A caller that has less time than that is kept to it.
func TestNoLeaderInACallersTime(t *testing.T) {
	testbed.Leaks(t)
	c, _ := standIns(t, time.Second, func(int, int, []Voter) (reply, error) { return reply{Why: NotLeader}, nil })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	if _, _, err := c.Do(ctx, Command{Op: OpDrain}); !errors.Is(err, ErrNoQuorum) || time.Since(began) > 2*time.Second {
		t.Errorf("%v after %v", err, time.Since(began))
	}
}

// Danger: five voters that are silent, or none of which leads, would be asked for longer than an operator's call has (10 s), which
// then ends without a word of why.
func TestAskedForLessThanAnOperatorWaits(t *testing.T) {
	for _, c := range []struct {
		voters  int
		attempt time.Duration
		want    time.Duration
	}{{3, 150 * time.Millisecond, 1350 * time.Millisecond}, {3, time.Second, 8 * time.Second}, {5, time.Second, 8 * time.Second}} {
		if got := NewClient(nil, make([]Voter, c.voters), c.attempt, nil).limit(); got != c.want {
			t.Errorf("%d voters, %v an attempt: %v, want %v", c.voters, c.attempt, got, c.want)
		}
	}
}
