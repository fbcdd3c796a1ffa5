package fleet

import (
	"slices"
	"strings"
	"time"

	"robindrum/internal/leaderelection"
	"robindrum/internal/membership"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
)

// Status is the fleet as this process sees it, and this process's part in it.
type Status struct {
	Name      string              `json:"name"`
	Self      membership.Member   `json:"self"`
	Members   []membership.Member `json:"members"`
	Conflicts int                 `json:"conflicts"`
	Contact   quorum.Contact      `json:"quorum"`
	// Vote is the state of this process's voter, or nil if it has none.
	Vote *quorum.Status `json:"vote,omitempty"`
	// NoVote is why a configured voter does not vote. It is empty if the voter votes or none is configured.
	NoVote string `json:"no_vote,omitempty"`
	// Tasks are the leader-only tasks, by name.
	Tasks     []leaderelection.Status `json:"duties"`
	SentBytes int64                   `json:"sent_bytes"`
	Traffic   peer.Traffic            `json:"traffic"`
	// Stale describes the effects of lost contact with the quorum. It is set if this process has leader-only tasks and the quorum has
	// not answered for longer than a lease.
	Stale string `json:"stale,omitempty"`
	// Now is the reading of Clock at which this status was taken. The times at which members and
	// tasks changed their state are readings of the same clock.
	Now time.Duration `json:"now"`
	// Ledger summarizes the voter's drain requests and releases. It is nil if this process does not vote.
	Ledger *quorum.Summary `json:"book,omitempty"`
}

// Status returns the current status. It does not ask other processes.
func (f *Fleet) Status() Status {
	status := Status{
		Name:      f.conf.Name,
		Self:      f.members.Self(),
		Members:   f.members.Members(),
		Conflicts: f.members.Conflicts(),
		Contact:   f.client.Contact(),
		NoVote:    f.NoVote(),
		Tasks:     f.elector.Status(),
		SentBytes: f.node.Sent(),
		Traffic:   f.node.Traffic(),
		Now:       f.now(),
	}
	slices.SortFunc(status.Tasks, func(a, b leaderelection.Status) int { return strings.Compare(a.Name, b.Name) })
	if f.server != nil {
		vote := f.server.Status()
		status.Vote = &vote
		summary := f.server.Summary()
		status.Ledger = &summary
	}
	contact := status.Contact
	outOfContact := contact.Error != "" && (contact.Age < 0 || contact.Age > f.conf.LeaseLength.D())
	if len(f.tasks) > 0 && outOfContact {
		status.Stale = "no word of the quorum: nobody takes a duty over, what is served stays as it is"
	}
	return status
}
