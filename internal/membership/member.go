package membership

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

// State is the state of a member.
type State string

// States of a member. It announces the first five itself; the others are what this process has observed.
const (
	Joining  State = "joining"  // started, not ready yet
	Serving  State = "serving"  // ready
	Draining State = "draining" // finishes the requests in flight
	Leaving  State = "leaving"  // about to end
	Witness  State = "witness"  // votes, and serves no traffic
	Suspect  State = "suspect"  // did not answer this process's probe
	Dead     State = "dead"     // the fleet has given it up
	Gone     State = "gone"     // it has left, or has been dead for long; it is not listed any more
)

const (
	maxMetaBytes = 512 // memberlist's own bound
	maxTextBytes = 64  // of a name, site, zone or version
)

// Member is one process of the fleet.
type Member struct {
	Name        string `json:"name"`
	Site        string `json:"site,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Program     string `json:"program,omitempty"` // version of the program
	Config      string `json:"config,omitempty"`  // version of the configuration
	Incarnation uint64 `json:"birth"`             // rises with each start of the process
	State       State  `json:"state"`
	Address     string `json:"address"`
	// Since is the reading of this process's clock at which State began.
	Since time.Duration `json:"since"`
}

// Event is a change of one member's state.
type Event struct {
	From   State // empty: the member was unknown
	Member Member
	// Restarted: the member is another process than before, as its incarnation is higher.
	Restarted bool
}

// String returns the event as a short text for messages.
func (e Event) String() string {
	text := fmt.Sprintf("%s %s -> %s", e.Member.Name, cmp.Or(string(e.From), "unknown"), e.Member.State)
	if e.Restarted {
		text += ", restarted"
	}
	return text
}

// meta is what a member announces in memberlist's metadata, with short names to stay within maxMetaBytes.
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
			return nil, fmt.Errorf("member %q: %q has %d bytes, %d at most", m.Name, text, len(text), maxTextBytes)
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
		return nil, fmt.Errorf("member %q: %w", m.Name, err)
	}
	if len(encoded) > maxMetaBytes {
		return encoded, fmt.Errorf("member %q: what it says of itself has %d bytes, %d at most", m.Name, len(encoded), maxMetaBytes)
	}
	return encoded, nil
}

// decodeMeta decodes and checks what another process announces.
func decodeMeta(name, address string, encoded []byte) (Member, error) {
	if name == "" || len(name) > maxTextBytes {
		return Member{}, fmt.Errorf("a name of %d bytes, want 1 to %d", len(name), maxTextBytes)
	}
	var announced meta
	if err := json.Unmarshal(encoded, &announced); err != nil {
		return Member{}, fmt.Errorf("member %q: %w", name, err)
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
			return Member{}, fmt.Errorf("member %q: a text of %d bytes, %d at most", name, len(text), maxTextBytes)
		}
	}
	switch m.State {
	case Joining, Serving, Draining, Leaving, Witness:
		return m, nil
	default:
		return Member{}, fmt.Errorf("member %q: state %q", name, m.State)
	}
}
