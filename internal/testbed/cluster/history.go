package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"robindrum/internal/fleet"
	"robindrum/internal/lease"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
)

// outcome is the result of an operation as its client saw it.
type outcome string

const (
	granted    outcome = "granted"
	waiting    outcome = "waiting" // another member waits for or holds the lease
	lost       outcome = "lost"    // rejected, but not because another member waits for or holds the lease
	done       outcome = "done"    // released
	unknown    outcome = "unknown" // the quorum may or may not have applied the operation
	notApplied outcome = "none"    // no leader was found, so that the operation was not applied
)

// operation is a command that a client sent once, with its outcome.
type operation struct {
	op         quorum.Op
	member     string
	token      uint64        // for renew and release the command's token, for acquire the granted one
	length     time.Duration // duration of the lease
	calledAt   time.Duration // reading of fleet.Clock
	returnedAt time.Duration // reading of fleet.Clock
	result     outcome
}

const (
	historyLease       = "history"
	historyIncarnation = 1
	// maxHistory limits the operations of a client, because the check of a history takes more than linear time.
	maxHistory        = 150
	maxRedirects      = 3
	commandTimeout    = 300 * time.Millisecond
	minHistoryPause   = 20 // ms
	historyPauseRange = 60 // ms, range of the random part of a pause
)

// historyClient acquires, renews and releases a lease over its own relays, and records its operations.
type historyClient struct {
	name   string
	node   *peer.Node
	voters []quorum.Voter
	rules  lease.Rules
	random *rand.Rand

	mu         sync.Mutex
	operations []operation
}

// newClient starts a client of the quorum with a number from 0 to 9. Its method run closes it.
func (c *Cluster) newClient(number int, seed uint64) (*historyClient, error) {
	name := fmt.Sprintf("k%d", number)
	relays := map[string]string{}
	for i, voter := range c.Voters() {
		if err := c.addRelay(firstClientNumber+number, name, voter.Name, voter.Address, i); err != nil {
			return nil, err
		}
		relays[voter.Address] = c.relayAddress(firstClientNumber+number, i)
	}
	node, err := peer.Listen(peer.Options{Fleet: c.options.Name, Address: "127.0.0.1:0", Via: relays, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	node.Serve()
	return &historyClient{
		name:   name,
		node:   node,
		voters: c.Voters(),
		rules:  lease.Rules{Length: c.options.Lease / 2},
		random: rand.New(rand.NewPCG(seed, uint64(number))),
	}, nil
}

// execute sends a command to a random voter and follows redirects to the leader. It returns the operation with its outcome.
func (h *historyClient) execute(ctx context.Context, op quorum.Op, token uint64) operation {
	address := h.voters[h.random.IntN(len(h.voters))].Address
	command := quorum.Command{Op: op, Lease: historyLease, Rules: h.rules, Token: token,
		Member: lease.Member{Name: h.name, Incarnation: historyIncarnation}}
	for range maxRedirects {
		operation := operation{op: op, member: h.name, token: token, length: h.rules.Length, calledAt: fleet.Clock()}
		reply, err := quorum.DoOnce(ctx, h.node, address, commandTimeout, command)
		operation.returnedAt = fleet.Clock()
		if err == nil {
			operation.complete(reply.Err(), reply.Grant.Token)
			return operation
		}
		if reply.Leader == "" || !errors.Is(err, quorum.ErrNotLeader) {
			operation.result = unknown
			return operation
		}
		address = reply.Leader
	}
	return operation{result: notApplied}
}

// complete sets the outcome of an operation from the quorum's reply.
func (o *operation) complete(err error, grantedToken uint64) {
	switch {
	case err == nil && o.op == quorum.OpRelease:
		o.result = done
	case err == nil:
		o.result = granted
		o.token = grantedToken
	case errors.Is(err, lease.ErrWaiting):
		o.result = waiting
	default:
		o.result = lost
	}
}

// record adds an operation to the history, unless no leader was found for it.
func (h *historyClient) record(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.result != notApplied {
		h.operations = append(h.operations, o)
	}
}

func (h *historyClient) historyFull() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations) >= maxHistory
}

// run acquires, renews, releases and abandons the lease at random until ctx ends or the history is full, and then closes the client.
func (h *historyClient) run(ctx context.Context) {
	defer h.node.Close()
	for ctx.Err() == nil && !h.historyFull() {
		acquired := h.execute(ctx, quorum.OpAcquire, 0)
		h.record(acquired)
		h.pause(ctx)
		if acquired.result == granted {
			h.hold(ctx, acquired.token)
		}
	}
}

// hold renews a lease up to three times, and then releases it or lets it expire.
func (h *historyClient) hold(ctx context.Context, token uint64) {
	for range h.random.IntN(4) {
		h.record(h.execute(ctx, quorum.OpRenew, token))
		h.pause(ctx)
	}
	if h.random.IntN(3) > 0 {
		h.record(h.execute(ctx, quorum.OpRelease, token))
	}
	h.pause(ctx)
}

func (h *historyClient) pause(ctx context.Context) {
	_ = sleep(ctx, time.Duration(minHistoryPause+h.random.IntN(historyPauseRange))*time.Millisecond)
}
