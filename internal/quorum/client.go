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

// ErrNoQuorum means that no leader answered in time. Whether the command was committed is not known.
var ErrNoQuorum = errors.New("no quorum")

const (
	// maxCommandTime bounds Client.Do. Operators' calls time out after 10 s, and must learn before that there is no quorum.
	maxCommandTime = 8 * time.Second
	// attemptsPerVoter is how often each voter could be asked in Client.Do's time if none answered.
	attemptsPerVoter = 3
)

// Client asks the voters. Its methods may be called by several goroutines at once.
type Client struct {
	node           *peer.Node
	voters         []Voter
	attemptTimeout time.Duration // of one voter
	now            func() time.Duration

	mu         sync.Mutex
	leader     string        // address of the leader that answered last; empty after a failure
	answeredAt time.Duration // when a leader answered last; 0: never
	lastErr    error         // nil after an answer
}

// NewClient returns a client of the voters. attemptTimeout bounds one attempt at one voter; now is the caller's monotonic clock.
func NewClient(node *peer.Node, voters []Voter, attemptTimeout time.Duration, now func() time.Duration) *Client {
	return &Client{node: node, voters: voters, attemptTimeout: attemptTimeout, now: now}
}

// commandTimeout returns the time limit of Do.
func (c *Client) commandTimeout() time.Duration {
	attempts := attemptsPerVoter * len(c.voters)
	return min(time.Duration(attempts)*c.attemptTimeout, maxCommandTime)
}

// Do has a command committed, within ctx and the client's time limit. sentAt is when the attempt that was answered was sent, by the
// client's clock: a lease that is granted counts from then. The error wraps ErrNoQuorum.
//
// The limit is a time and not a number of attempts, since voters without a leader answer at once and an election takes longer. The
// backoff between attempts grows, so that clients do not slow the election down.
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
		if lastErr == nil || ctx.Err() == nil { // an attempt that the time limit cut short says less than earlier ones
			lastErr = err
		}
		if reply.Leader == voter {
			reply.Leader = ""
		}
		voter = reply.Leader
		// One redirect is followed at once. Voters that name each other as the leader know as little as those that name nobody.
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

// DoOnce asks one voter once, within ctx and timeout. A nil error means that the command was committed. ErrNotLeader means that it was
// not; after any other error it may still be. Either way the reply may name the leader to ask instead.
func DoOnce(ctx context.Context, node *peer.Node, voter string, timeout time.Duration, command Command) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	if err := node.Call(ctx, voter, commandPath, command, &reply); err != nil {
		return Reply{}, err
	}
	if !reply.Committed {
		return reply, fmt.Errorf("%s: %w", voter, errorOfReason(reply.Reason))
	}
	return reply, nil
}

// errorOfReason returns the error that a reply's reason stands for. Reasons are the text of errors, as voters of earlier versions send
// them: package raft's own for a voter that has just lost its leadership also means that the command was not committed.
func errorOfReason(reason string) error {
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

// Contact is the state of a client's contact with the voters.
type Contact struct {
	Leader string        `json:"leader,omitempty"`
	Age    time.Duration `json:"age"` // of the leader's last answer; negative: there was none
	Error  string        `json:"error,omitempty"`
}

// Contact returns the state of the contact with the voters.
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

// Leases returns all leases: from the leader, or the latest that any voter knows where there is no leader. The error wraps ErrNoQuorum.
func (c *Client) Leases(ctx context.Context) (LeaseList, error) {
	return fetchList(ctx, c, leasesPath,
		func(list *LeaseList) bool { return list.Fresh },
		func(list, other *LeaseList) bool { return list.Term > other.Term })
}

// Drains returns all drain requests, like Leases.
func (c *Client) Drains(ctx context.Context) (DrainList, error) {
	return fetchList(ctx, c, drainsPath,
		func(list *DrainList) bool { return list.Fresh },
		func(list, other *DrainList) bool { return list.View.NewerThan(&other.View) })
}

// Releases returns the releases, like Leases.
func (c *Client) Releases(ctx context.Context) (ReleaseList, error) {
	return fetchList(ctx, c, releasesPath,
		func(list *ReleaseList) bool { return list.Fresh },
		func(list, other *ReleaseList) bool { return list.Revision > other.Revision })
}

// Config returns a stored configuration by its digest, from the first voter that has it.
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

// call asks one voter, within ctx and the time of one attempt.
func (c *Client) call(ctx context.Context, voter Voter, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	return c.node.Call(ctx, voter.Address, path, in, out)
}

// fetchList asks each voter until one answers with a fresh list. Without one it returns the newest.
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
		var none T
		return none, fmt.Errorf("%w: %w", ErrNoQuorum, errs)
	}
	return *newest, nil
}
