package quorum

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// A voter's ID is NAME.RANDOM; the random part is chosen for each new folder. A Raft address is ID@ADDRESS, so that a connection that
// is intended for one folder is never accepted by a voter with another folder at the same address.

func newVoterID(name string) string { return name + "." + randomHex() }

// voterName returns the name part of a voter's ID.
func voterName(id raft.ServerID) string {
	if i := strings.LastIndex(string(id), "."); i >= 0 {
		return string(id[:i])
	}
	return string(id)
}

func raftAddress(id, address string) raft.ServerAddress {
	return raft.ServerAddress(id + "@" + address)
}

// splitRaftAddress returns the parts of a Raft address; ok is false if it is not of the form ID@ADDRESS.
func splitRaftAddress(raftAddress raft.ServerAddress) (id, address string, ok bool) {
	return strings.Cut(string(raftAddress), "@")
}

// dialAddress returns the network address in a Raft address, or "" if the Raft address is not of the form ID@ADDRESS.
func dialAddress(raftAddress raft.ServerAddress) string {
	_, address, _ := splitRaftAddress(raftAddress)
	return address
}

// raftServers returns the servers in Raft's latest configuration, or nil on an error.
func (s *Server) raftServers() []raft.Server {
	future := s.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	return future.Configuration().Servers
}

// queryStatus returns the status of a voter, which may be this one.
func (s *Server) queryStatus(ctx context.Context, voter Voter) (Status, error) {
	if voter.Name == s.options.Name {
		return s.Status(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*s.options.Heartbeat)
	defer cancel()
	var status Status
	err := s.node.Call(ctx, voter.Address, voterPath, struct{}{}, &status)
	return status, err
}

// bootstrap creates a fleet if none of the voters has ever been a member of one. Only the first voter by name does so, after all voters
// have reported that they are unassigned: a single voter cannot know whether the others already form a fleet. On that voter, bootstrap
// returns when the voter is a member of a fleet, has stopped, or ctx ends; on others it returns immediately.
func (s *Server) bootstrap(ctx context.Context) {
	first := slices.MinFunc(s.options.Voters, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	if first.Name != s.options.Name {
		return
	}
	for ctx.Err() == nil && s.canBootstrap() {
		if servers := s.unassignedVoters(ctx); len(servers) == len(s.options.Voters) {
			if err := s.bootstrapWith(servers); err != nil {
				s.stop(err.Error())
			}
			return
		}
		pause(ctx, s.options.Heartbeat)
	}
}

// canBootstrap reports whether this voter may still bootstrap a fleet.
func (s *Server) canBootstrap() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.Fleet == "" && s.stopReason == ""
}

// unassignedVoters queries the voters in order and returns those that have never been in a fleet. It stops at the first voter that has
// been in one or does not answer.
func (s *Server) unassignedVoters(ctx context.Context) []raft.Server {
	var servers []raft.Server
	for _, voter := range s.options.Voters {
		status, err := s.queryStatus(ctx, voter)
		if err != nil || !status.Unassigned || status.Voter != voter.Name {
			break
		}
		servers = append(servers, raft.Server{
			Suffrage: raft.Voter,
			ID:       raft.ServerID(status.ID),
			Address:  raftAddress(status.ID, voter.Address),
		})
	}
	return servers
}

// bootstrapWith creates a fleet of the given voters. It writes the fleet's ID to disk before it bootstraps Raft.
func (s *Server) bootstrapWith(servers []raft.Server) error {
	fleet := randomHex() + randomHex()
	if err := s.joinFleet(fleet); err != nil {
		return err
	}
	if err := s.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err != nil {
		return fmt.Errorf("bootstrapping a fleet: %w", err)
	}
	s.options.Log.Info("fleet bootstrapped", "fleet", fleet, "voters", len(servers))
	return nil
}

// joinFleet sets the ID of this voter's fleet, also on disk.
func (s *Server) joinFleet(fleet string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updateIdentity(func(id *identity) { id.Fleet = fleet })
}

// updateIdentity changes this voter's identity, first on disk and then in memory. The caller must hold s.mu.
func (s *Server) updateIdentity(change func(id *identity)) error {
	updated := s.identity.clone()
	change(&updated)
	if err := updated.write(s.options.Dir); err != nil {
		return err
	}
	s.identity = updated
	return nil
}

// fleetID returns the ID of this voter's fleet, or "" if it is not in a fleet.
func (s *Server) fleetID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.Fleet
}

// maintainVoters runs until ctx ends. While this voter is the leader, it periodically admits voters whose folder was empty and records
// which voters run an earlier version. It queries each voter at its configured address, so that no other process can claim a voter's
// name.
func (s *Server) maintainVoters(ctx context.Context) {
	for ; ctx.Err() == nil; pause(ctx, 2*s.options.Heartbeat) {
		if !s.Leading() {
			continue
		}
		for _, voter := range s.options.Voters {
			if voter.Name != s.options.Name {
				s.maintainVoter(ctx, voter)
			}
		}
	}
}

// maintainVoter queries one voter, records whether it is outdated, and admits it if its folder was empty.
func (s *Server) maintainVoter(ctx context.Context, voter Voter) {
	status, err := s.queryStatus(ctx, voter)
	if err != nil || status.Voter != voter.Name || !s.Leading() {
		return
	}
	if status.CommandLevel < commandLevel {
		s.outdated.Store(voter.Name, status.CommandLevel)
	} else {
		s.outdated.Delete(voter.Name)
	}
	if err := s.admit(voter, status); err != nil {
		s.options.Log.Warn("voter not admitted", "voter", voter.Name, "error", err)
	}
}

// outdatedVoter returns the name of a voter that is known to have a lower command level, or "" if there is none.
func (s *Server) outdatedVoter() string {
	outdated := ""
	s.outdated.Range(func(name, _ any) bool {
		outdated = name.(string)
		return false
	})
	return outdated
}

// admit adds a voter to the fleet if its folder was empty, replacing any member with the same name. A voter that has been in a fleet is
// not added: it may have voted or acknowledged entries, possibly in another fleet.
func (s *Server) admit(voter Voter, status Status) error {
	var replaced raft.ServerID
	for _, member := range s.raftServers() {
		if string(member.ID) == status.ID {
			return nil
		}
		if voterName(member.ID) == voter.Name {
			replaced = member.ID
		}
	}
	if !status.Unassigned {
		return nil
	}
	if replaced != "" {
		if err := s.raft.RemoveServer(replaced, 0, s.proposalTimeout()).Error(); err != nil {
			return err
		}
	}
	s.options.Log.Info("voter admitted", "voter", voter.Name, "id", status.ID, "replaces", string(replaced))
	address := raftAddress(status.ID, voter.Address)
	return s.raft.AddVoter(raft.ServerID(status.ID), address, 0, s.proposalTimeout()).Error()
}

// pause waits until the duration has passed or ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
