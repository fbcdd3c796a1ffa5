package quorum

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// A voter's ID is its name and a random part of its folder, joined by a dot. Its Raft address is its ID and where it is reached,
// joined by "@", so that a connection for one folder is never accepted by another one at the same place.

func newVoterID(name string) string { return name + "." + randomHex() }

// voterName returns the name in a voter's ID.
func voterName(id raft.ServerID) string {
	if i := strings.LastIndex(string(id), "."); i >= 0 {
		return string(id[:i])
	}
	return string(id)
}

func raftAddress(id, address string) raft.ServerAddress {
	return raft.ServerAddress(id + "@" + address)
}

// splitRaftAddress returns the parts of a Raft address; ok is false where it is none.
func splitRaftAddress(raftAddress raft.ServerAddress) (id, address string, ok bool) {
	return strings.Cut(string(raftAddress), "@")
}

// reachedAt returns where the voter with this Raft address is reached; empty where it is no Raft address.
func reachedAt(raftAddress raft.ServerAddress) string {
	_, address, _ := splitRaftAddress(raftAddress)
	return address
}

// committedVoters returns the voters of the Raft configuration.
func (s *Server) committedVoters() []raft.Server {
	future := s.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	return future.Configuration().Servers
}

// queryStatus asks a voter, or this server, for its status.
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

// bootstrap creates a fleet where there is none: the first voter by name does, once every voter has answered that it has never been
// in one. A voter alone cannot know whether the others have one. It returns once this voter is in a fleet.
func (s *Server) bootstrap(ctx context.Context) {
	first := slices.MinFunc(s.options.Voters, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	if first.Name != s.options.Name {
		return
	}
	for ctx.Err() == nil && s.waitsForFleet() {
		if servers := s.unassignedVoters(ctx); len(servers) == len(s.options.Voters) {
			if err := s.bootstrapWith(servers); err != nil {
				s.stop(err.Error())
			}
			return
		}
		pause(ctx, s.options.Heartbeat)
	}
}

// waitsForFleet reports whether this voter may still bootstrap one.
func (s *Server) waitsForFleet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.Fleet == "" && s.stopReason == ""
}

// unassignedVoters asks the voters in order and returns those that have never been in a fleet, up to the first other one.
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

// bootstrapWith creates a fleet of these voters. Its ID is on disk before anything else.
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

// joinFleet records the ID of this voter's fleet on disk.
func (s *Server) joinFleet(fleet string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updateIdentity(func(id *identity) { id.Fleet = fleet })
}

// updateIdentity changes this voter's identity, on disk first. The caller holds s.mu.
func (s *Server) updateIdentity(change func(id *identity)) error {
	updated := s.identity.clone()
	change(&updated)
	if err := updated.write(s.options.Dir); err != nil {
		return err
	}
	s.identity = updated
	return nil
}

// fleetID returns the ID of this voter's fleet; empty where it is in none.
func (s *Server) fleetID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.Fleet
}

// maintainVoters runs while this process votes. As the leader it admits voters whose folder was empty, and records which voters are
// of an earlier version. It asks each at its configured address, so that nobody else can claim a voter's name.
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

// outdatedVoter returns the name of a voter that is known to have a lower command level; empty where there is none.
func (s *Server) outdatedVoter() string {
	outdated := ""
	s.outdated.Range(func(name, _ any) bool {
		outdated = name.(string)
		return false
	})
	return outdated
}

// admit adds a voter whose folder was empty to the fleet, in place of a former voter of its name. Any other voter has made promises,
// possibly to another fleet, and is left as it is.
func (s *Server) admit(voter Voter, status Status) error {
	var former raft.ServerID
	for _, member := range s.committedVoters() {
		if string(member.ID) == status.ID {
			return nil
		}
		if voterName(member.ID) == voter.Name {
			former = member.ID
		}
	}
	if !status.Unassigned {
		return nil
	}
	if former != "" {
		if err := s.raft.RemoveServer(former, 0, s.proposalTimeout()).Error(); err != nil {
			return err
		}
	}
	s.options.Log.Info("voter admitted", "voter", voter.Name, "id", status.ID, "replaces", string(former))
	address := raftAddress(status.ID, voter.Address)
	return s.raft.AddVoter(raft.ServerID(status.ID), address, 0, s.proposalTimeout()).Error()
}

// pause waits for a duration, or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
