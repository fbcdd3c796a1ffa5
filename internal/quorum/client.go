package quorum

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"robindrum/internal/peer"
)

// ErrNoQuorum is that no leader answered in time. Whether the command was agreed on is not known.
var ErrNoQuorum = errors.New("no quorum")

// Client asks the voters. Its methods may be called by several goroutines at once.
type Client struct {
	node    *peer.Node
	voters  []Voter
	attempt time.Duration // of one voter
	now     func() time.Duration

	mu     sync.Mutex
	leader string
	last   time.Duration // when a leader answered last; 0: never
	err    error
}

// NewClient makes one. An attempt at one voter has so long.
func NewClient(n *peer.Node, voters []Voter, attempt time.Duration, now func() time.Duration) *Client {
	return &Client{node: n, voters: voters, attempt: attempt, now: now}
}

// maxAsked bounds how long a command is asked for, however many voters there are. Operators' calls have 10 s: who made one is to
// be told that there is no quorum, and not that the time is up.
const maxAsked = 8 * time.Second

// limit is how long a command is asked for: as three rounds over silent voters take, mostAsked at the most.
func (c *Client) limit() time.Duration {
	return min(time.Duration(3*len(c.voters))*c.attempt, maxAsked)
}

// Do has a command agreed on, within ctx and the client's limit. sent is when the attempt that
// was answered was sent, by the caller's clock: a grant counts from there.
//
// Danger: rounds that are counted are over in no time where voters answer at once that none of them leads, and an election takes
// longer than its heartbeat. So time counts, and the pauses grow: a fleet that waits for an election is not to hold it up.
func (c *Client) Do(ctx context.Context, cmd Command) (r Result, sent time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.limit())
	defer cancel()
	c.mu.Lock()
	to := c.leader
	c.mu.Unlock()
	next := rand.IntN(len(c.voters))
	var last error
	redirected := false
	for wait := c.attempt / 20; ; wait = min(2*wait, c.attempt/2) {
		if to == "" {
			to = c.voters[next%len(c.voters)].Address
			next++
		}
		sent = c.now()
		r, leader, done, err := DoOnce(ctx, c.node, to, c.attempt, cmd)
		if done {
			c.heard(to, nil)
			return r, sent, nil
		}
		if last == nil || ctx.Err() == nil { // one that ended with the time says less than the ones before
			last = err
		}
		if leader == to {
			leader = ""
		}
		to = leader
		// One redirect is followed at once. Voters that name each other know as little as those that name nobody.
		if redirected = leader != "" && !redirected; redirected {
			wait /= 2
			continue
		}
		pause(ctx, wait+rand.N(wait+1))
		if ctx.Err() != nil {
			break
		}
	}
	err = fmt.Errorf("%w: %w", ErrNoQuorum, last)
	c.heard("", err)
	return Result{}, 0, err
}

// DoOnce asks one voter once. done: the command was agreed on. Where it was not, an error does not tell whether it still will be,
// and leader, if not empty, is whom to ask instead.
func DoOnce(ctx context.Context, n *peer.Node, to string, within time.Duration, cmd Command) (r Result, leader string, done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var rep reply
	if err := n.Call(ctx, to, "/fleet/v1/quorum", cmd, &rep); err != nil {
		return r, "", false, err
	}
	if rep.Done {
		return rep.Result, "", true, nil
	}
	return r, rep.Leader, false, fmt.Errorf("%s: %s", to, rep.Why)
}

func (c *Client) heard(leader string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.err = leader, err
	if err == nil {
		c.last = c.now()
	}
}

// Contact is how a client stands with the voters.
type Contact struct {
	Leader string        `json:"leader,omitempty"`
	Age    time.Duration `json:"age"` // of the leader's last answer; negative: there was none
	Error  string        `json:"error,omitempty"`
}

// Contact tells how it stands.
func (c *Client) Contact() Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := Contact{Leader: c.leader, Age: -1}
	if c.last > 0 {
		k.Age = c.now() - c.last
	}
	if c.err != nil {
		k.Error = c.err.Error()
	}
	return k
}

// Leases asks for all leases: from the leader, or from any voter where there is none.
func (c *Client) Leases(ctx context.Context) (LeaseList, error) {
	return all(ctx, c, "/fleet/v1/leases", func(l, than *LeaseList) (bool, bool) { return l.Fresh, than == nil || l.Term > than.Term })
}

// Drains asks for all orders, in the same way.
func (c *Client) Drains(ctx context.Context) (DrainList, error) {
	return all(ctx, c, "/fleet/v1/book", func(l, than *DrainList) (bool, bool) { return l.Fresh, than == nil || l.View.NewerThan(&than.View) })
}

// Releases asks for the releases, in the same way.
func (c *Client) Releases(ctx context.Context) (ReleaseList, error) {
	return all(ctx, c, "/fleet/v1/releases", func(l, than *ReleaseList) (bool, bool) { return l.Fresh, than == nil || l.Revision > than.Revision })
}

// Config asks the voters for a configuration by its digest.
func (c *Client) Config(ctx context.Context, digest string) (string, error) {
	var err error
	for _, v := range c.voters {
		var t string
		one, cancel := context.WithTimeout(ctx, c.attempt)
		e := c.node.Call(one, v.Address, "/fleet/v1/text", digest, &t)
		cancel()
		if e == nil {
			return t, nil
		}
		err = errors.Join(err, e)
	}
	return "", err
}

// all asks every voter until one has the leader's word; else it gives the latest.
func all[T any](ctx context.Context, c *Client, path string, judge func(l, than *T) (fresh, better bool)) (T, error) {
	var best *T
	var err error
	for _, v := range c.voters {
		var l T
		one, cancel := context.WithTimeout(ctx, c.attempt)
		e := c.node.Call(one, v.Address, path, struct{}{}, &l)
		cancel()
		if e != nil {
			err = errors.Join(err, e)
			continue
		}
		fresh, better := judge(&l, best)
		if fresh {
			return l, nil
		}
		if better {
			best = &l
		}
	}
	if best != nil {
		return *best, nil
	}
	var none T
	return none, fmt.Errorf("%w: %w", ErrNoQuorum, err)
}
