package release

import "reflect"

// Gateway is a gateway as it last reported itself.
type Gateway struct {
	Name        string `json:"name"`
	Site        string `json:"site,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Incarnation uint64 `json:"birth"`
	// Responding reports whether it answered in the last poll cycle.
	Responding bool `json:"here"`
	// Config is the digest of the released configuration that it uses; empty: only its own file.
	Config string `json:"has,omitempty"`
	// ConfigRejected is why it does not use the configuration that it was assigned; empty: it does, or has not tried yet.
	ConfigRejected string `json:"refused,omitempty"`
	Serving        bool   `json:"serving"`
	// Version is the program version that it runs; empty: it has no supervisor and cannot be restarted as another one.
	Version string `json:"program,omitempty"`
	// AssignedVersion is the program version that it was assigned, and VersionRejected why it does not start as that.
	AssignedVersion string `json:"told,omitempty"`
	VersionRejected string `json:"not_this,omitempty"`
	Figures
}

// SameState reports whether two reports are equal apart from their figures.
func (g Gateway) SameState(other Gateway) bool {
	g.Figures, other.Figures = Figures{}, Figures{}
	return reflect.DeepEqual(g, other)
}
