package xds

import corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

const (
	userAgentName = "robindrum"
	// wrappedResources is the client feature that announces support for resources wrapped with a name and a time to live.
	wrappedResources = "xds.config.resource-in-sotw"
)

// Node returns the message that identifies the gateway to control planes.
func Node(id, cluster, zone string) *corev3.Node {
	return &corev3.Node{
		Id:             id,
		Cluster:        cluster,
		Locality:       &corev3.Locality{Zone: zone},
		UserAgentName:  userAgentName,
		ClientFeatures: []string{wrappedResources},
	}
}
