package quorum

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"robindrum/internal/peer"
	"robindrum/internal/release"
)

// Paths of the HTTP handlers of a voter.
const (
	commandPath  = "/fleet/v1/quorum"
	leasesPath   = "/fleet/v1/leases"
	drainsPath   = "/fleet/v1/book"
	releasesPath = "/fleet/v1/releases"
	configPath   = "/fleet/v1/text"
	voterPath    = "/fleet/v1/voter"
)

const (
	maxCommandBytes   = 4 * release.MaxConfigBytes // leaves room for a configuration encoded as a JSON string
	maxQueryBytes     = 1 << 10
	minForgetInterval = time.Minute // minimum time between two OpForget commands that the leader proposes on its own
)

func (s *Server) registerHandlers() {
	s.node.Handle(commandPath, maxCommandBytes, s.handleCommand)
	s.node.Handle(leasesPath, maxQueryBytes, s.handleLeases)
	s.node.Handle(drainsPath, maxQueryBytes, s.handleDrains)
	s.node.Handle(releasesPath, maxQueryBytes, s.handleReleases)
	s.node.Handle(configPath, maxQueryBytes, s.handleConfig)
	s.node.Handle(voterPath, maxQueryBytes, s.handleStatus)
}

func badRequest(err error) error {
	return &peer.StatusError{Status: http.StatusBadRequest, Err: err}
}

// handleCommand proposes a client's command and returns its result. If this voter is not the leader, the reply names the leader.
func (s *Server) handleCommand(_ context.Context, body []byte) (any, error) {
	var command Command
	if err := json.Unmarshal(body, &command); err != nil {
		return nil, badRequest(err)
	}
	if !command.Op.allowedForClients() {
		return nil, badRequest(fmt.Errorf("no such command: %q", command.Op))
	}
	if !s.Leading() {
		return s.redirect(ErrNotLeader), nil
	}
	if command.Op.needsCurrentVoters() {
		if outdated := s.outdatedVoter(); outdated != "" {
			text := fmt.Sprintf("voter %s is of an earlier version, which does not know all drains and releases: upgrade it first", outdated)
			return Reply{Committed: true, Result: Result{Code: CodeRejected, Text: text}}, nil
		}
	}
	result, err := s.proposeForClient(command)
	if err != nil {
		return s.redirect(err), nil
	}
	return Reply{Committed: true, Result: result}, nil
}

// proposeForClient proposes a command. If the lease table is full it drops unused names with OpForget and retries once.
func (s *Server) proposeForClient(command Command) (Result, error) {
	result, err := s.propose(command)
	if err != nil || command.Op != OpAcquire || result.Code != CodeFull || !s.claimForget() {
		return result, err
	}
	if _, err := s.propose(Command{Op: OpForget}); err != nil {
		return result, err
	}
	return s.propose(command)
}

// claimForget reports whether the leader may propose OpForget now, and records the time if so. It returns true at most once per
// minForgetInterval, because OpForget frees nothing while every name in the table is in use.
func (s *Server) claimForget() bool {
	now := time.Now().UnixNano()
	last := s.lastForgetNano.Load()
	return now-last >= int64(minForgetInterval) && s.lastForgetNano.CompareAndSwap(last, now)
}

// redirect returns the reply to a command that this voter could not commit. It includes the leader's address if another voter leads.
func (s *Server) redirect(reason error) Reply {
	reply := Reply{Reason: reason.Error()}
	address, leader := s.raft.LeaderWithID()
	if leader != raft.ServerID(s.id) && s.StopReason() == "" {
		reply.Leader = dialAddress(address)
	}
	return reply
}

func (s *Server) handleLeases(context.Context, []byte) (any, error) { return s.leaseList(), nil }

func (s *Server) handleDrains(context.Context, []byte) (any, error) { return s.drainList(), nil }

func (s *Server) handleReleases(context.Context, []byte) (any, error) { return s.releaseList() }

func (s *Server) handleStatus(context.Context, []byte) (any, error) { return s.Status(), nil }

// handleConfig returns the stored configuration with the digest in the body.
func (s *Server) handleConfig(_ context.Context, body []byte) (any, error) {
	var digest string
	if err := json.Unmarshal(body, &digest); err != nil {
		return nil, badRequest(err)
	}
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	text, ok := s.fsm.releases.Configs[digest]
	if !ok {
		return nil, &peer.StatusError{Status: http.StatusNotFound, Err: release.ErrUnknownConfig}
	}
	return text, nil
}
