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

// NodeMeta returns what this process announces.
func (d *delegate) NodeMeta(int) []byte {
	l := d.list
	l.mu.Lock()
	defer l.mu.Unlock()
	encoded, _ := l.self.encodeMeta() // checked by Start; a configuration's version cannot become longer
	return encoded
}

// NotifyMsg does nothing: members exchange no messages beside their metadata.
func (d *delegate) NotifyMsg([]byte) {}

// GetBroadcasts returns nothing, see NotifyMsg.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nothing, see NotifyMsg.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing, see NotifyMsg.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyAlive rejects members whose metadata cannot be used.
func (d *delegate) NotifyAlive(node *memberlist.Node) error {
	_, err := decodeMeta(node.Name, node.Address(), node.Meta)
	return err
}

// NotifyJoin records a member's announcement.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.announced(node) }

// NotifyUpdate records a member's announcement.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.announced(node) }

func (d *delegate) announced(node *memberlist.Node) {
	member, err := decodeMeta(node.Name, node.Address(), node.Meta)
	if err != nil {
		return
	}
	d.list.observe(func(now time.Duration) []Event { return d.list.roster.alive(now, member) })
}

// NotifyLeave records that a member has ended: it has left where it had announced so, otherwise it is dead.
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

// NotifyConflict records that another address claims a member's name. The first one keeps it until it is dead.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	l := d.list
	l.mu.Lock()
	l.conflicts++
	l.mu.Unlock()
	l.opt.Log.Warn("member name conflict", "name", existing.Name, "address", existing.Address(), "claimed_by", other.Address())
}

// AckPayload adds nothing to the answers to probes.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete records that a member has answered a probe.
func (d *delegate) NotifyPingComplete(node *memberlist.Node, _ time.Duration, _ []byte) {
	d.list.observe(func(now time.Duration) []Event { return d.list.roster.answered(now, node.Name) })
}

// logReader reads memberlist's log, the only place where it says that this process suspects a member.
type logReader struct {
	list *List
}

// Write takes one line of the log. It must not call memberlist, which may hold its lock.
func (r *logReader) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if _, rest, ok := strings.Cut(line, "memberlist: Suspect "); ok {
		name, _, _ := strings.Cut(rest, " has failed")
		r.list.observe(func(now time.Duration) []Event { return r.list.roster.suspect(now, name) })
	}
	r.list.opt.Log.Debug("memberlist", "line", line)
	return len(b), nil
}
