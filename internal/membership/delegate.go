package membership

import (
	"bytes"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate implements memberlist's callbacks.
type delegate struct {
	list *List
}

// NodeMeta returns the encoded metadata that this process announces.
func (d *delegate) NodeMeta(int) []byte {
	l := d.list
	l.mu.Lock()
	defer l.mu.Unlock()
	encoded, _ := l.self.encodeMeta() // Start has checked the sizes; a later configuration version is not longer
	return encoded
}

// NotifyMsg does nothing: members exchange only metadata, no user messages.
func (d *delegate) NotifyMsg([]byte) {}

// GetBroadcasts returns nothing; see NotifyMsg.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nothing; see NotifyMsg.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing; see NotifyMsg.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyAlive rejects members whose metadata is invalid.
func (d *delegate) NotifyAlive(node *memberlist.Node) error {
	_, err := decodeMeta(node.Name, node.Address(), node.Meta)
	return err
}

// NotifyJoin records the metadata of a new member.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.recordAnnouncement(node) }

// NotifyUpdate records the changed metadata of a member.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.recordAnnouncement(node) }

func (d *delegate) recordAnnouncement(node *memberlist.Node) {
	member, err := decodeMeta(node.Name, node.Address(), node.Meta)
	if err != nil {
		return
	}
	d.list.observe(func(now time.Duration) []Event { return d.list.roster.alive(now, member) })
}

// NotifyLeave records the end of a member: it left if it had announced Leaving, otherwise it is dead.
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	member, err := decodeMeta(node.Name, node.Address(), node.Meta)
	if err != nil {
		return
	}
	left := member.State == Leaving
	d.list.observe(func(now time.Duration) []Event {
		return d.list.roster.ended(now, member.Name, member.Incarnation, left)
	})
}

// NotifyConflict records that another address claims a member's name. The existing member keeps the name until it is dead.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	l := d.list
	l.mu.Lock()
	l.conflicts++
	l.mu.Unlock()
	l.opt.Log.Warn("member name conflict", "name", existing.Name, "address", existing.Address(), "claimed_by", other.Address())
}

// AckPayload adds no payload to probe responses.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete records that a member has responded to a probe.
func (d *delegate) NotifyPingComplete(node *memberlist.Node, _ time.Duration, _ []byte) {
	d.list.observe(func(now time.Duration) []Event { return d.list.roster.answered(now, node.Name) })
}

// logReader parses memberlist's log, the only output in which memberlist reports that this process suspects a member.
type logReader struct {
	list *List
}

// Write processes one log line. It must not call memberlist, which may hold its own lock while it logs.
func (r *logReader) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if _, rest, ok := strings.Cut(line, "memberlist: Suspect "); ok {
		name, _, _ := strings.Cut(rest, " has failed")
		r.list.observe(func(now time.Duration) []Event { return r.list.roster.suspect(now, name) })
	}
	r.list.opt.Log.Debug("memberlist", "line", line)
	return len(b), nil
}
