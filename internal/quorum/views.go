package quorum

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/lease"
	"robindrum/internal/release"
)

// LeaseView is the state of one lease as reported by a voter.
type LeaseView struct {
	Name      string        `json:"name"`
	Holder    lease.Member  `json:"holder,omitzero"`
	Token     uint64        `json:"token"`
	Remaining time.Duration `json:"left"` // time until the lease may be granted to another member
	Length    time.Duration `json:"length"`
	Waiters   []string      `json:"line,omitempty"` // names of waiting members, in order of arrival
	Successor string        `json:"heir,omitempty"`
	Revoked   bool          `json:"revoked,omitempty"`
}

// LeaseList is the state of all leases on one voter.
type LeaseList struct {
	Voter  string      `json:"voter"`
	Term   uint64      `json:"term"`
	Fresh  bool        `json:"fresh"` // from the leader, confirmed by a majority
	Leases []LeaseView `json:"leases"`
}

// DrainList is the state of all drain requests on one voter.
type DrainList struct {
	Voter    string               `json:"voter"`
	Fresh    bool                 `json:"fresh"` // from the leader, confirmed by a majority
	Halted   bool                 `json:"halted"`
	View     drain.View           `json:"view"`
	Requests []drain.Request      `json:"orders"`
	Budgets  []drain.BudgetStatus `json:"budgets"`
	Now      time.Duration        `json:"now"` // clock reading that the requests' times are relative to
	// DesiredConfigs maps gateways to the digest of the configuration that they should run. Gateways that should run their own
	// configuration file are omitted.
	DesiredConfigs map[string]string `json:"want,omitempty"`
	Revision       uint64            `json:"want_version"`
	Release        string            `json:"release,omitempty"` // one-line summary of the release in progress
}

// ReleaseList is the state of the release in progress and of ended releases on one voter.
type ReleaseList struct {
	Voter           string            `json:"voter"`
	Fresh           bool              `json:"fresh"` // from the leader, confirmed by a majority
	Term            uint64            `json:"term"`
	Revision        uint64            `json:"version"`
	CurrentConfig   string            `json:"base"` // digest of the configuration that every gateway should run while no release is in progress
	Current         *release.Release  `json:"current,omitempty"`
	Ended           []release.Release `json:"ended"`
	Gateways        []release.Gateway `json:"gateways"`
	DesiredConfigs  map[string]string `json:"want"`
	CurrentVersion  string            `json:"program,omitempty"`  // program version that every gateway should run; empty if none was released
	DesiredVersions map[string]string `json:"programs,omitempty"` // by gateway
	Now             time.Duration     `json:"now"`
}

// Summary summarizes the state of drains and releases.
type Summary struct {
	Halted  bool                 `json:"halted"`
	Drains  map[drain.State]int  `json:"orders"` // number of drain requests in each state
	Budgets []drain.BudgetStatus `json:"budgets"`
	Release release.State        `json:"release,omitempty"` // state of the release in progress
}

// Desired is what gateways should run. It is not encoded.
type Desired struct {
	Configs    map[string]string // digests, by gateway
	Versions   map[string]string // program versions, by gateway
	Revision   uint64            // increases with each change
	InProgress bool              // a release is in progress
	Soak       time.Duration     // soak time of the release in progress
}

// leaseList returns the state of all leases on this voter. The remaining times are relative to the current time if this voter is the
// leader, otherwise to the time of the last applied command.
func (s *Server) leaseList() LeaseList {
	list := LeaseList{Voter: s.options.Name, Term: s.raft.CurrentTerm()}
	now := time.Duration(0)
	if s.confirmedLeader() {
		list.Fresh, now = true, s.Now()
	}
	list.Leases = s.fsm.leaseViews(now)
	return list
}

// leaseViews returns all leases sorted by name. Remaining times are relative to now, or to the time of the last applied command if that
// is later.
func (f *fsm) leaseViews(now time.Duration) []LeaseView {
	f.mu.Lock()
	defer f.mu.Unlock()
	now = max(now, f.leases.Now)
	var views []LeaseView
	for _, name := range slices.Sorted(maps.Keys(f.leases.Leases)) {
		state := f.leases.Leases[name]
		view := LeaseView{
			Name:      name,
			Holder:    state.Holder,
			Token:     state.Token,
			Remaining: max(state.ExpiresAt-now, 0),
			Length:    state.Rules.Length,
			Successor: state.Successor,
			Revoked:   state.Revoked,
		}
		for _, waiter := range state.Waiters {
			view.Waiters = append(view.Waiters, waiter.Member.Name)
		}
		views = append(views, view)
	}
	return views
}

// drainList returns the state of all drain requests on this voter.
func (s *Server) drainList() DrainList {
	list := DrainList{Voter: s.options.Name, Fresh: s.confirmedLeader(), View: s.DrainView(), DesiredConfigs: map[string]string{}}
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	drains, releases := s.fsm.drains, s.fsm.releases
	list.Halted = drains.Halted
	list.Requests = drains.List()
	list.Budgets = drains.BudgetStatuses()
	list.Now = drains.Now
	list.Revision = releases.Revision
	for name := range drains.Gateways {
		if digest := releases.DesiredConfig(name); digest != "" {
			list.DesiredConfigs[name] = digest
		}
	}
	if releases.Current != nil {
		list.Release = releases.Current.String()
	}
	return list
}

// releaseList returns a ReleaseList encoded as JSON. It is encoded under the lock because it refers to state that is modified in place.
func (s *Server) releaseList() (json.RawMessage, error) {
	list := ReleaseList{
		Voter:           s.options.Name,
		Fresh:           s.confirmedLeader(),
		DesiredConfigs:  map[string]string{},
		DesiredVersions: map[string]string{},
	}
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	releases := s.fsm.releases
	list.Term = s.fsm.leases.Term
	list.Revision = releases.Revision
	list.CurrentConfig = releases.CurrentConfig
	list.CurrentVersion = releases.CurrentVersion
	list.Now = releases.Now
	list.Current = releases.Current
	list.Ended = releases.Ended
	for name, gateway := range releases.Gateways {
		list.Gateways = append(list.Gateways, gateway)
		list.DesiredConfigs[name] = releases.DesiredConfig(name)
		list.DesiredVersions[name] = releases.DesiredVersion(name)
	}
	slices.SortFunc(list.Gateways, func(a, b release.Gateway) int { return strings.Compare(a.Name, b.Name) })
	return json.Marshal(list)
}

// Summary returns a summary of the state of drains and releases.
func (s *Server) Summary() Summary {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	summary := Summary{Halted: s.fsm.drains.Halted, Drains: map[drain.State]int{}, Budgets: s.fsm.drains.BudgetStatuses()}
	for _, request := range s.fsm.drains.Requests {
		summary.Drains[request.State]++
	}
	if current := s.fsm.releases.Current; current != nil {
		summary.Release = current.State
	}
	return summary
}

// DrainView returns the drain state that gateways apply.
func (s *Server) DrainView() drain.View {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	return s.fsm.drains.View(s.fsm.leases.Term)
}

// KnownGateways returns the gateways of the last observation in unspecified order.
func (s *Server) KnownGateways() []drain.Gateway {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	return slices.Collect(maps.Values(s.fsm.drains.Gateways))
}

// Desired returns what the named gateways should run.
func (s *Server) Desired(names []string) Desired {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	releases := s.fsm.releases
	desired := Desired{Configs: map[string]string{}, Versions: map[string]string{}, Revision: releases.Revision}
	for _, name := range names {
		desired.Configs[name] = releases.DesiredConfig(name)
		desired.Versions[name] = releases.DesiredVersion(name)
	}
	if releases.Current != nil {
		desired.InProgress = true
		desired.Soak = releases.Current.Soak
	}
	return desired
}

// ReleaseStatesMatch reports whether the replicated state of releases has exactly these gateways with the same state, ignoring their
// figures.
func (s *Server) ReleaseStatesMatch(gateways []release.Gateway) bool {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	known := s.fsm.releases.Gateways
	for _, gateway := range gateways {
		recorded, ok := known[gateway.Name]
		if !ok || !recorded.SameState(gateway) {
			return false
		}
	}
	return len(gateways) == len(known)
}
