package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"robindrum/internal/drain"
)

// ErrNotLeader means that the voter is not the leader and that the command was not committed. Its text is sent over the wire.
var ErrNotLeader = errors.New("not the leader")

// Leading reports whether this voter is the leader and has committed the first entry of its term.
func (s *Server) Leading() bool { return s.leading.Load() }

// confirmedLeader reports whether this voter is the leader and a majority has just confirmed it. It blocks for a round trip.
func (s *Server) confirmedLeader() bool {
	return s.Leading() && s.raft.VerifyLeader().Error() == nil
}

// watchLeadership calls beginTerm whenever this voter becomes the leader, until ctx ends.
func (s *Server) watchLeadership(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case elected := <-s.leadership:
			s.leading.Store(false)
			if elected {
				s.beginTerm(ctx)
			}
		}
	}
}

// beginTerm commits the first entry of this leader's term. It retries for as long as Raft considers this voter the leader, because no
// other voter can lead meanwhile.
func (s *Server) beginTerm(ctx context.Context) {
	for ctx.Err() == nil && s.raft.State() == raft.Leader {
		// The time keeps tokens rising if all folders are lost: tokens of the new fleet are higher than those of the lost one.
		tokenBase := uint64(time.Now().UnixMilli())
		_, err := s.propose(Command{Op: opBeginTerm, Fleet: s.fleetID(), TokenBase: tokenBase})
		if err == nil {
			s.leading.Store(true)
			s.options.Log.Info("quorum leadership acquired", "voter", s.options.Name, "term", s.raft.CurrentTerm())
			return
		}
		s.options.Log.Warn("failed to begin term", "error", err)
		pause(ctx, s.options.Heartbeat/4)
	}
}

// proposalTimeout limits how long a proposal waits to be enqueued by Raft.
func (s *Server) proposalTimeout() time.Duration { return 2 * s.options.Heartbeat }

// propose commits a command and returns its result. After an error the command may still be committed later.
func (s *Server) propose(command Command) (Result, error) {
	command.Now = s.Now()
	entry, err := json.Marshal(command)
	if err != nil {
		return Result{}, err
	}
	future := s.raft.Apply(entry, s.proposalTimeout())
	if err := future.Error(); err != nil {
		return Result{}, err
	}
	result, ok := future.Response().(Result)
	if !ok {
		return Result{}, fmt.Errorf("unexpected result %T", future.Response())
	}
	return result, nil
}

// proposeInternal proposes a command that does not come from a client, and returns the command's error, if any.
func (s *Server) proposeInternal(command Command) error {
	result, err := s.propose(command)
	return errors.Join(err, result.Err())
}

// SetBudgets commits the disruption budgets, unless the replicated state already has them. Only the leader may call it. It blocks
// until they are committed.
func (s *Server) SetBudgets(budgets []drain.Budget) error {
	s.fsm.mu.Lock()
	unchanged := slices.Equal(budgets, s.fsm.drains.Budgets)
	s.fsm.mu.Unlock()
	if unchanged {
		return nil
	}
	return s.proposeInternal(Command{Op: opSetBudgets, Budgets: budgets})
}

// Observe commits an observation of the fleet, unless it would change nothing. Only the leader may call it. It blocks until the
// observation is committed.
func (s *Server) Observe(observation *Observation) error {
	if s.alreadyObserved(observation) {
		return nil
	}
	return s.proposeInternal(Command{Op: opObserve, Observation: observation})
}

// alreadyObserved reports whether committing the observation would change nothing: the replicated state already matches it, and no
// draining request has passed its deadline.
func (s *Server) alreadyObserved(observation *Observation) bool {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	drains := s.fsm.drains
	if observation.Releases != nil || drains.ObservedVersion < observation.Version {
		return false
	}
	if len(drains.Gateways) != len(observation.Gateways) || len(drains.Endpoints) != len(observation.Endpoints) {
		return false
	}
	for _, gateway := range observation.Gateways {
		if drains.Gateways[gateway.Name] != gateway {
			return false
		}
	}
	for _, endpoint := range observation.Endpoints {
		if drains.Endpoints[endpoint.Cluster+"/"+endpoint.Address] != endpoint {
			return false
		}
	}
	for _, request := range drains.Requests {
		if request.State == drain.Draining && request.Deadline > 0 && s.Now() >= request.Deadline {
			return false
		}
	}
	return true
}

// BeginDrain commits that the drain of a granted request begins. Only the leader may call it. It blocks until the command is
// committed.
func (s *Server) BeginDrain(request drain.Request) error {
	return s.proposeInternal(Command{Op: opBeginDrain, Drain: &drain.Request{ID: request.ID, Token: request.Token}})
}

// ReportDrainProgress commits how many requests the target of a drain has in flight, unless the number is unchanged and not 0. Only
// the leader may call it. It blocks until the command is committed.
func (s *Server) ReportDrainProgress(request drain.Request, inFlight int) error {
	if request.InFlight == inFlight && inFlight > 0 {
		return nil
	}
	return s.proposeInternal(Command{Op: opDrainProgress, Drain: &drain.Request{ID: request.ID, Token: request.Token, InFlight: inFlight}})
}
