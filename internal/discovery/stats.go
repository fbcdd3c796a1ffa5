package discovery

import (
	"log/slog"
	"time"

	"robindrum/balancer"
)

// maxLoggedIDs limits the server IDs in one log message.
const maxLoggedIDs = 16

// Stats describe a client's calls since its start and the list that it delivered last.
type Stats struct {
	Calls      uint64    // watches and fetches begun
	Lists      uint64    // complete lists and changes delivered
	Failures   uint64    // failed calls, ended and overdue watches reported to the balancer
	Revision   uint64    // of the list delivered last
	ReceivedAt time.Time // when the last list was delivered; zero if none was
}

func (s *Stats) listReceived(now time.Time, revision uint64) {
	s.Lists++
	s.Revision = revision
	s.ReceivedAt = now
}

// Stats returns the counters.
func (c *Client) Stats() Stats {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	return c.stats
}

var kindNames = map[balancer.UpdateKind]string{balancer.UpdateDelta: "delta", balancer.UpdateSnapshot: "snapshot", balancer.UpdateCached: "cached",
	balancer.UpdatePartial: "partial"}

// logList logs an update with the IDs of the servers that may not be sent to. id is the call that received it, 0 for the cached list.
func logList(id, revision uint64, u *Update) {
	var draining, removed []string
	for i := range u.Servers {
		switch server := &u.Servers[i]; server.State {
		case balancer.Draining:
			draining = append(draining, server.ID)
		case balancer.Removed:
			removed = append(removed, server.ID)
		case balancer.Running:
		}
	}
	slog.Info("list received", "call", id, "revision", revision, "kind", kindNames[u.Kind], "servers", len(u.Servers),
		"draining", len(draining), "draining_ids", firstIDs(draining), "removed", len(removed), "removed_ids", firstIDs(removed))
}

func firstIDs(ids []string) []string { return ids[:min(len(ids), maxLoggedIDs)] }
