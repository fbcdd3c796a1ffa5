package release

import "reflect"

// Gateway is the state of a gateway at the last observation.
type Gateway struct {
	Name        string `json:"name"`
	Site        string `json:"site,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Incarnation uint64 `json:"birth"`
	// Responding reports whether the gateway answered when the leader last asked all gateways for their state.
	Responding bool `json:"here"`
	// Config is the digest of the released configuration in use; empty if the gateway uses only its own file.
	Config string `json:"has,omitempty"`
	// ConfigRejected is why the gateway rejects the configuration that it was assigned; empty if it uses it or has not tried to yet.
	ConfigRejected string `json:"refused,omitempty"`
	Serving        bool   `json:"serving"`
	// Version is the program version that the gateway runs; empty if it has no supervisor and thus cannot restart as another version.
	Version string `json:"program,omitempty"`
	// AssignedVersion is the program version that the gateway was assigned. VersionRejected is why it does not start as that version.
	AssignedVersion string `json:"told,omitempty"`
	VersionRejected string `json:"not_this,omitempty"`
	Figures
}

// SameState reports whether two reports are equal apart from their figures.
func (g Gateway) SameState(other Gateway) bool {
	g.Figures, other.Figures = Figures{}, Figures{}
	return reflect.DeepEqual(g, other)
}
