package xds

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"
)

// Bundle holds resources of several types that another process accepted.
type Bundle struct {
	Resources     map[Type][]*discoveryv3.Resource
	Removed       map[Type][]string
	Full          bool            // the bundle is complete: resources in use that it does not contain are withdrawn
	Authoritative bool            // with Full: subscribed resources that the bundle does not contain do not exist
	Versions      map[Type]string // versions of the types, for the state-of-the-world variant
}

// Import applies a bundle. It must not be called while a stream is open. Each invalid resource is rejected individually, as
// in a response of a control plane, and the error contains the reasons.
func (m *Machine) Import(now time.Duration, bundle *Bundle) ([]Change, error) {
	var errs []error
	_, changes := m.updateSubscriptions(now)
	for _, t := range makeBeforeBreak {
		state := m.stateOf(t)
		if state == nil {
			continue
		}
		response := m.bundleResponse(t, bundle)
		if len(response.Resources)+len(response.RemovedResources) > 0 {
			requests, changed := m.HandleDelta(now, response)
			changes = append(changes, changed...)
			if detail := requests[0].Delta.GetErrorDetail(); detail != nil {
				errs = append(errs, errors.New(detail.GetMessage()))
			}
		}
		if version, ok := bundle.Versions[t]; ok {
			state.version = version
		}
	}
	return changes, errors.Join(errs...)
}

// bundleResponse returns the resources of one type in a bundle as a response of the incremental variant.
func (m *Machine) bundleResponse(t Type, bundle *Bundle) *discoveryv3.DeltaDiscoveryResponse {
	response := &discoveryv3.DeltaDiscoveryResponse{
		TypeUrl:          string(t),
		Resources:        bundle.Resources[t],
		RemovedResources: slices.Clone(bundle.Removed[t]),
	}
	if !bundle.Full {
		return response
	}
	contained := map[string]bool{}
	for _, r := range bundle.Resources[t] {
		contained[r.GetName()] = true
	}
	for _, r := range m.Resources(t) {
		removable := r.State == Received || bundle.Authoritative && r.State != Absent
		if removable && !contained[r.Name] {
			response.RemovedResources = append(response.RemovedResources, r.Name)
		}
	}
	return response
}

// Export returns all resources in use, and the names of those known to be absent. It requires Options.RetainBodies.
func (m *Machine) Export(now time.Duration) *Bundle {
	bundle := &Bundle{
		Resources: map[Type][]*discoveryv3.Resource{},
		Removed:   map[Type][]string{},
		Full:      true,
		Versions:  map[Type]string{},
	}
	for _, state := range m.types {
		t := state.resourceType
		bundle.Versions[t] = state.version
		for _, name := range slices.Sorted(maps.Keys(state.resources)) {
			r := state.resources[name]
			switch {
			case r.State == Received && r.body != nil:
				bundle.Resources[t] = append(bundle.Resources[t], r.Proto(now))
			case r.State == Absent:
				bundle.Removed[t] = append(bundle.Removed[t], name)
			}
		}
	}
	return bundle
}

// Digest returns a digest of all resources in use. It does not depend on the order in which they were received or on their
// versions. It requires Options.RetainBodies.
func (m *Machine) Digest() uint64 {
	var sum uint64
	for _, state := range m.types {
		for _, r := range state.resources {
			if r.State == Received && r.body != nil {
				sum += digest(state.resourceType, r.Name, r.body)
			}
		}
	}
	return sum
}

func digest(t Type, name string, body *anypb.Any) uint64 {
	hash := xxhash.New()
	for _, text := range []string{string(t), name, body.GetTypeUrl()} {
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body.GetValue())
	return hash.Sum64()
}

// CoveredBy reports whether a full bundle contains all resources in use with the same contents. For a wildcard subscription,
// the bundle must not contain any other resources.
func (m *Machine) CoveredBy(bundle *Bundle) bool {
	for _, state := range m.types {
		digests := map[string]uint64{}
		for _, r := range bundle.Resources[state.resourceType] {
			digests[r.GetName()] = digest(state.resourceType, r.GetName(), r.GetResource())
		}
		for _, r := range state.resources {
			if r.State != Received {
				continue
			}
			if r.body == nil || digests[r.Name] != digest(state.resourceType, r.Name, r.body) {
				return false
			}
		}
		if state.wildcard && len(digests) != len(state.resources) {
			return false
		}
	}
	return true
}
