package cluster

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"robindrum/internal/fleet"
	"robindrum/internal/lease"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
)

// operation is one operation of a history: a command that one voter was asked for once.
type operation struct {
	op         quorum.Op
	member     string
	token      uint64        // renew and release: of the command; acquire: granted
	length     time.Duration // of the lease
	calledAt   time.Duration
	returnedAt time.Duration
	result     string // granted, waiting, lost, done, unknown
}

// historyClient asks for one lease, over relays of its own, and writes down what came of it.
type historyClient struct {
	name        string
	node        *peer.Node
	voters      []quorum.Voter
	rules       lease.Rules
	rng         *rand.Rand
	incarnation uint64

	mu         sync.Mutex
	operations []operation
}

// historyLease is what clients ask for.
const historyLease = "history"

// maxHistory bounds a client's operations: the check takes longer than linear time.
const maxHistory = 150

func (c *Cluster) newClient(k int, seed uint64) (*historyClient, error) {
	name := "k" + string(rune('0'+k))
	via := map[string]string{}
	for i, v := range c.Voters() {
		if err := c.addRelay(100+k, name, v.Name, v.Address, i); err != nil {
			return nil, err
		}
		via[v.Address] = c.relayAddress(100+k, i)
	}
	n, err := peer.Listen(peer.Options{Fleet: c.opt.Name, Address: "127.0.0.1:0", Via: via, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	n.Serve()
	return &historyClient{name: name, node: n, voters: c.Voters(), rules: lease.Rules{Length: c.opt.Lease / 2}, incarnation: 1,
		rng: rand.New(rand.NewPCG(seed, uint64(k)))}, nil
}

// execute asks one voter once, and follows it to the leader.
func (h *historyClient) execute(ctx context.Context, op quorum.Op, token uint64) operation {
	to := h.voters[h.rng.IntN(len(h.voters))].Address
	for range 3 {
		a := operation{op: op, member: h.name, token: token, length: h.rules.Length, calledAt: fleet.Clock()}
		reply, err := quorum.DoOnce(ctx, h.node, to, 300*time.Millisecond, quorum.Command{Op: op, Lease: historyLease, Rules: h.rules,
			Member: lease.Member{Name: h.name, Incarnation: h.incarnation}, Token: token})
		a.returnedAt = fleet.Clock()
		switch {
		case err == nil:
			switch e := reply.Err(); {
			case e == nil && op == quorum.OpRelease:
				a.result = "done"
			case e == nil:
				a.result, a.token = "granted", reply.Grant.Token
			case errors.Is(e, lease.ErrWaiting):
				a.result = "waiting"
			default:
				a.result = "lost"
			}
		case reply.Leader != "" && errors.Is(err, quorum.ErrNotLeader):
			to = reply.Leader
			continue
		default:
			a.result = "unknown"
		}
		return a
	}
	return operation{result: "none"}
}

func (h *historyClient) record(a operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.result != "none" {
		h.operations = append(h.operations, a)
	}
}

func (h *historyClient) full() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations) >= maxHistory
}

// run asks, renews, gives back and forgets, by chance, until ctx ends.
func (h *historyClient) run(ctx context.Context) {
	defer h.node.Close()
	pause := func() { _ = sleep(ctx, time.Duration(20+h.rng.IntN(60))*time.Millisecond) }
	for ctx.Err() == nil && !h.full() {
		a := h.execute(ctx, quorum.OpAcquire, 0)
		h.record(a)
		pause()
		if a.result != "granted" {
			continue
		}
		for range h.rng.IntN(4) {
			r := h.execute(ctx, quorum.OpRenew, a.token)
			h.record(r)
			pause()
		}
		if h.rng.IntN(3) > 0 { // or nobody hears of it any more
			h.record(h.execute(ctx, quorum.OpRelease, a.token))
		}
		pause()
	}
}

// leaseState is the model's state: who has the lease, and since when at the least its time counts.
type leaseState struct {
	member string
	token  uint64
	since  time.Duration
	last   uint64
}

// leaseModel is one lease. It knows no more of time than calls and answers: a lease that was granted or renewed in between lasts for
// its length from the call on at the least, and nobody else may have it until an answer that is later than that.
//
// Operations whose outcome is not known are left out unless they may have freed the lease: what is left out could only have
// kept others from it.
var leaseModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{leaseState{}} },
	Step: func(state, input, _ any) []any {
		s, a := state.(leaseState), input.(operation)
		mine := s.member == a.member
		switch {
		case a.op == quorum.OpAcquire && a.result == "granted":
			if mine && s.token == a.token {
				return []any{leaseState{a.member, a.token, a.calledAt, s.last}}
			}
			if (s.member == "" || a.returnedAt >= s.since+a.length) && a.token > s.last {
				return []any{leaseState{a.member, a.token, a.calledAt, a.token}}
			}
			return nil
		case a.op == quorum.OpRenew && a.result == "granted":
			if mine && s.token == a.token {
				return []any{leaseState{a.member, a.token, a.calledAt, s.last}}
			}
			return nil
		case a.op == quorum.OpRelease:
			freed := s
			if mine && s.token == a.token {
				freed.member = ""
			}
			if a.result == "unknown" {
				return []any{s, freed}
			}
			return []any{freed}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

// linearizable checks a history, within a time. What it cannot decide in time counts as kept, and is told.
func linearizable(ops []operation, within time.Duration) (ok, decided bool) {
	var l []porcupine.Operation
	last := time.Duration(0)
	for _, a := range ops {
		last = max(last, a.returnedAt)
	}
	for _, a := range ops {
		ret := a.returnedAt
		if a.result == "unknown" {
			if a.op != quorum.OpRelease {
				continue
			}
			ret = last + time.Hour
		}
		l = append(l, porcupine.Operation{ClientId: int(a.member[1] - '0'), Input: a, Call: int64(a.calledAt), Output: nil, Return: int64(ret)})
	}
	// Operations that are not known when they ended overlap with later ones of the same client: each is a client of its own.
	for i := range l {
		if strings.HasPrefix(l[i].Input.(operation).result, "unknown") {
			l[i].ClientId = 10 + i
		}
	}
	switch porcupine.CheckOperationsTimeout(leaseModel.ToModel(), l, within) {
	case porcupine.Ok:
		return true, true
	case porcupine.Illegal:
		return false, true
	}
	return true, false
}
