package quorum

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"robindrum/internal/peer"
)

// ErrNoQuorum means that no leader answered in time. The command may or may not have been committed.
var ErrNoQuorum = errors.New("no quorum")

const (
	// maxCommandTime limits the time of Client.Do. Operator calls time out after 10 s, and have to get Do's error before that.
	maxCommandTime = 8 * time.Second
	// attemptsPerVoter sets the time limit of Client.Do: enough for this many attempts at each voter if every attempt times out.
	attemptsPerVoter = 3
)

// Client sends commands and queries to the voters. Its methods are safe for concurrent use.
type Client struct {
	node           *peer.Node
	voters         []Voter
	attemptTimeout time.Duration // time limit of one call to one voter
	now            func() time.Duration

	mu         sync.Mutex
	leader     string        // address of the leader that answered last; empty after a failed Do
	answeredAt time.Duration // reading of now when a leader last answered; 0 means never
	lastErr    error         // error of the last Do; nil if it succeeded
}

// NewClient returns a client of the voters. attemptTimeout limits one call to one voter; now is the caller's monotonic clock.
func NewClient(node *peer.Node, voters []Voter, attemptTimeout time.Duration, now func() time.Duration) *Client {
	return &Client{node: node, voters: voters, attemptTimeout: attemptTimeout, now: now}
}

// commandTimeout returns the time limit of Do.
func (c *Client) commandTimeout() time.Duration {
	attempts := attemptsPerVoter * len(c.voters)
	return min(time.Duration(attempts)*c.attemptTimeout, maxCommandTime)
}

// Do sends a command to the leader until it is committed or ctx or the client's time limit ends. sentAt is the time, by the client's
// clock, when the successful attempt was sent; the duration of a granted lease counts from then. The error wraps ErrNoQuorum.
//
// Do limits the time rather than the number of attempts: while there is no leader, voters reject commands immediately, and a fixed
// number of attempts would be used up before an election completes. The backoff between attempts grows, so that clients do not slow
// the election down.
func (c *Client) Do(ctx context.Context, command Command) (result Result, sentAt time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.commandTimeout())
	defer cancel()
	voter := c.lastLeader()
	nextVoter := rand.IntN(len(c.voters))
	backoff := c.attemptTimeout / 20
	redirected := false
	var lastErr error
	for {
		if voter == "" {
			voter = c.voters[nextVoter%len(c.voters)].Address
			nextVoter++
		}
		sentAt = c.now()
		reply, err := DoOnce(ctx, c.node, voter, c.attemptTimeout, command)
		if err == nil {
			c.recordAnswer(voter)
			return reply.Result, sentAt, nil
		}
		if lastErr == nil || ctx.Err() == nil { // prefer an earlier error over one caused by the time limit
			lastErr = err
		}
		if reply.Leader == voter {
			reply.Leader = ""
		}
		voter = reply.Leader
		// Follow one redirect without backoff, but back off after two in a row: voters without a leader may redirect to each other.
		redirected = voter != "" && !redirected
		if redirected {
			continue
		}
		pause(ctx, backoff+rand.N(backoff+1))
		if ctx.Err() != nil {
			break
		}
		backoff = min(2*backoff, c.attemptTimeout/2)
	}
	err = fmt.Errorf("%w: %w", ErrNoQuorum, lastErr)
	c.recordFailure(err)
	return Result{}, 0, err
}

// DoOnce sends a command to one voter once, within ctx and timeout. A nil error means that the command was committed. ErrNotLeader
// means that it was not committed; after any other error it may have been or may still be. On an error, the reply may contain the
// address of the leader.
func DoOnce(ctx context.Context, node *peer.Node, voter string, timeout time.Duration, command Command) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	if err := node.Call(ctx, voter, commandPath, command, &reply); err != nil {
		return Reply{}, err
	}
	if !reply.Committed {
		return reply, fmt.Errorf("%s: %w", voter, errorFromReason(reply.Reason))
	}
	return reply, nil
}

// errorFromReason returns the error for the reason in a reply. Reasons are error texts, and voters of earlier versions send the same
// texts. The text of raft.ErrNotLeader comes from a voter that has just lost leadership; it also means that the command was not
// committed.
func errorFromReason(reason string) error {
	switch reason {
	case ErrNotLeader.Error():
		return ErrNotLeader
	case raft.ErrNotLeader.Error():
		return fmt.Errorf("%w (%s)", ErrNotLeader, reason)
	}
	return errors.New(reason)
}

func (c *Client) lastLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) recordAnswer(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
	c.answeredAt = c.now()
	c.lastErr = nil
}

func (c *Client) recordFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = ""
	c.lastErr = err
}

// Contact describes a client's last contact with the voters.
type Contact struct {
	Leader string        `json:"leader,omitempty"`
	Age    time.Duration `json:"age"` // time since the leader's last answer; negative if there was none
	Error  string        `json:"error,omitempty"`
}

// Contact describes the client's last contact with the voters.
func (c *Client) Contact() Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	contact := Contact{Leader: c.leader, Age: -1}
	if c.answeredAt > 0 {
		contact.Age = c.now() - c.answeredAt
	}
	if c.lastErr != nil {
		contact.Error = c.lastErr.Error()
	}
	return contact
}

// Leases returns all leases. Without a leader it returns the newest list that any voter has. The error wraps ErrNoQuorum.
func (c *Client) Leases(ctx context.Context) (LeaseList, error) {
	return fetchList(ctx, c, leasesPath,
		func(list *LeaseList) bool { return list.Fresh },
		func(list, other *LeaseList) bool { return list.Term > other.Term })
}

// Drains returns all drain requests. Without a leader it returns the newest list that any voter has. The error wraps ErrNoQuorum.
func (c *Client) Drains(ctx context.Context) (DrainList, error) {
	return fetchList(ctx, c, drainsPath,
		func(list *DrainList) bool { return list.Fresh },
		func(list, other *DrainList) bool { return list.View.NewerThan(&other.View) })
}

// Releases returns all releases. Without a leader it returns the newest list that any voter has. The error wraps ErrNoQuorum.
func (c *Client) Releases(ctx context.Context) (ReleaseList, error) {
	return fetchList(ctx, c, releasesPath,
		func(list *ReleaseList) bool { return list.Fresh },
		func(list, other *ReleaseList) bool { return list.Revision > other.Revision })
}

// Config returns the stored configuration with a digest, from the first voter that has it.
func (c *Client) Config(ctx context.Context, digest string) (string, error) {
	var errs error
	for _, voter := range c.voters {
		var text string
		err := c.call(ctx, voter, configPath, digest, &text)
		if err == nil {
			return text, nil
		}
		errs = errors.Join(errs, err)
	}
	return "", errs
}

// call sends a query to one voter, within ctx and attemptTimeout.
func (c *Client) call(ctx context.Context, voter Voter, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	return c.node.Call(ctx, voter.Address, path, in, out)
}

// fetchList queries the voters in order until one returns a fresh list. If none does, it returns the newest list. The error wraps
// ErrNoQuorum.
func fetchList[T any](ctx context.Context, c *Client, path string, fresh func(list *T) bool, newer func(list, other *T) bool) (T, error) {
	var newest *T
	var errs error
	for _, voter := range c.voters {
		var list T
		if err := c.call(ctx, voter, path, struct{}{}, &list); err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		if fresh(&list) {
			return list, nil
		}
		if newest == nil || newer(&list, newest) {
			newest = &list
		}
	}
	if newest == nil {
		var zero T
		return zero, fmt.Errorf("%w: %w", ErrNoQuorum, errs)
	}
	return *newest, nil
}
