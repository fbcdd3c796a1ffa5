package membership

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

// State is the state of a member.
type State string

// States of a member. A member announces Joining to Witness itself; this process assigns Suspect, Dead and Gone by observation.
const (
	Joining  State = "joining"  // started, not yet ready
	Serving  State = "serving"  // ready
	Draining State = "draining" // completing the requests in flight
	Leaving  State = "leaving"  // about to exit
	Witness  State = "witness"  // votes in the quorum, serves no traffic
	Suspect  State = "suspect"  // did not respond to a probe by this process
	Dead     State = "dead"     // declared dead by the fleet
	Gone     State = "gone"     // left, or dead for Options.Forget; no longer listed
)

const (
	maxMetaBytes = 512 // limit of memberlist (memberlist.MetaMaxSize)
	maxTextBytes = 64  // limit of a name, site, zone or version
)

// Member is one process of the fleet.
type Member struct {
	Name        string `json:"name"`
	Site        string `json:"site,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Program     string `json:"program,omitempty"` // version of the binary
	Config      string `json:"config,omitempty"`  // version of the configuration
	Incarnation uint64 `json:"birth"`             // increases with each start of the process
	State       State  `json:"state"`
	Address     string `json:"address"`
	// Since is the time at which State began, on the monotonic clock of the observing process.
	Since time.Duration `json:"since"`
}

// Event is a change of one member's state.
type Event struct {
	From   State // empty if the member was unknown
	Member Member
	// Restarted reports whether the member has a higher incarnation than before, so it is a new process.
	Restarted bool
}

// String returns a short description of the event for messages.
func (e Event) String() string {
	text := fmt.Sprintf("%s %s -> %s", e.Member.Name, cmp.Or(string(e.From), "unknown"), e.Member.State)
	if e.Restarted {
		text += ", restarted"
	}
	return text
}

// meta is the metadata that a member announces through memberlist. Its JSON names are short to stay within maxMetaBytes.
type meta struct {
	Site        string `json:"s,omitempty"`
	Zone        string `json:"z,omitempty"`
	Program     string `json:"p,omitempty"`
	Config      string `json:"c,omitempty"`
	Incarnation uint64 `json:"b"`
	State       State  `json:"t"`
}

func (m Member) encodeMeta() ([]byte, error) {
	for _, text := range []string{m.Name, m.Site, m.Zone, m.Program, m.Config} {
		if len(text) > maxTextBytes {
			return nil, fmt.Errorf("member %q: %q must be at most %d bytes, got %d", m.Name, text, maxTextBytes, len(text))
		}
	}
	encoded, err := json.Marshal(meta{
		Site:        m.Site,
		Zone:        m.Zone,
		Program:     m.Program,
		Config:      m.Config,
		Incarnation: m.Incarnation,
		State:       m.State,
	})
	if err != nil {
		return nil, fmt.Errorf("member %q: encode metadata: %w", m.Name, err)
	}
	if len(encoded) > maxMetaBytes {
		return encoded, fmt.Errorf("member %q: metadata must be at most %d bytes, got %d", m.Name, maxMetaBytes, len(encoded))
	}
	return encoded, nil
}

// decodeMeta decodes and validates the metadata that another process announces.
func decodeMeta(name, address string, encoded []byte) (Member, error) {
	if name == "" || len(name) > maxTextBytes {
		return Member{}, fmt.Errorf("member name must be 1 to %d bytes, got %d", maxTextBytes, len(name))
	}
	var announced meta
	if err := json.Unmarshal(encoded, &announced); err != nil {
		return Member{}, fmt.Errorf("member %q: decode metadata: %w", name, err)
	}
	m := Member{
		Name:        name,
		Site:        announced.Site,
		Zone:        announced.Zone,
		Program:     announced.Program,
		Config:      announced.Config,
		Incarnation: announced.Incarnation,
		State:       announced.State,
		Address:     address,
	}
	for _, text := range []string{m.Site, m.Zone, m.Program, m.Config} {
		if len(text) > maxTextBytes {
			return Member{}, fmt.Errorf("member %q: %q must be at most %d bytes, got %d", name, text, maxTextBytes, len(text))
		}
	}
	switch m.State {
	case Joining, Serving, Draining, Leaving, Witness:
		return m, nil
	default:
		return Member{}, fmt.Errorf("member %q: invalid state %q", name, m.State)
	}
}
