package controlplane

import (
	"net"
	"strconv"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// connectTimeout is the connect timeout of the clusters that Cluster returns.
const connectTimeout = 250 * time.Millisecond

// metadataNamespace is the filter metadata namespace from which robindrum reads the metadata of endpoints.
const metadataNamespace = "robindrum"

// Cluster returns an EDS cluster. service is the name of its ClusterLoadAssignment; if it is empty, that has the cluster's name.
func Cluster(name, service string) *clusterv3.Cluster {
	return &clusterv3.Cluster{
		Name:                 name,
		ConnectTimeout:       durationpb.New(connectTimeout),
		LbPolicy:             clusterv3.Cluster_LEAST_REQUEST,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{ServiceName: service, EdsConfig: adsConfigSource()},
	}
}

// adsConfigSource returns a config source that refers to the same ADS stream.
func adsConfigSource() *corev3.ConfigSource {
	return &corev3.ConfigSource{
		ResourceApiVersion:    corev3.ApiVersion_V3,
		ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}},
	}
}

// Endpoint is an endpoint of a cluster.
type Endpoint struct {
	Addr     string // host:port; an invalid port is served as 0, which clients have to reject
	Zone     string
	Health   corev3.HealthStatus
	Weight   uint32 // 0: unset
	Priority uint32
	Kind     string // sent as metadata
	Cell     int    // sent as metadata
}

// Assignment returns the ClusterLoadAssignment of a cluster, with the endpoints grouped by zone and priority.
func Assignment(name string, endpoints ...Endpoint) *endpointv3.ClusterLoadAssignment {
	type localityKey struct {
		zone     string
		priority uint32
	}
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	localities := map[localityKey]*endpointv3.LocalityLbEndpoints{}
	for _, endpoint := range endpoints {
		key := localityKey{zone: endpoint.Zone, priority: endpoint.Priority}
		locality := localities[key]
		if locality == nil {
			locality = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: endpoint.Zone}, Priority: endpoint.Priority}
			localities[key] = locality
			assignment.Endpoints = append(assignment.Endpoints, locality)
		}
		locality.LbEndpoints = append(locality.LbEndpoints, endpoint.message())
	}
	return assignment
}

func (e Endpoint) message() *endpointv3.LbEndpoint {
	message := &endpointv3.LbEndpoint{
		HealthStatus:   e.Health,
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: e.address()}},
	}
	if e.Weight > 0 {
		message.LoadBalancingWeight = wrapperspb.UInt32(e.Weight)
	}
	if e.Kind != "" || e.Cell != 0 {
		message.Metadata = e.metadata()
	}
	return message
}

func (e Endpoint) address() *corev3.Address {
	host, portText, _ := net.SplitHostPort(e.Addr)
	port, _ := strconv.Atoi(portText)
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address:       host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(port)},
	}}}
}

func (e Endpoint) metadata() *corev3.Metadata {
	fields := map[string]*structpb.Value{
		"kind": structpb.NewStringValue(e.Kind),
		"cell": structpb.NewNumberValue(float64(e.Cell)),
	}
	return &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{metadataNamespace: {Fields: fields}}}
}

// Routes returns a RouteConfiguration for all hosts. Each pair is a path prefix and the cluster for it, in order of precedence.
func Routes(name string, prefixes ...[2]string) *routev3.RouteConfiguration {
	host := &routev3.VirtualHost{Name: "all", Domains: []string{"*"}}
	for _, pair := range prefixes {
		prefix, cluster := pair[0], pair[1]
		action := &routev3.RouteAction{ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: cluster}}
		host.Routes = append(host.Routes, &routev3.Route{
			Match:  &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: prefix}},
			Action: &routev3.Route_Route{Route: action},
		})
	}
	return &routev3.RouteConfiguration{Name: name, VirtualHosts: []*routev3.VirtualHost{host}}
}

// Listener returns a listener that uses the RouteConfiguration named routes.
func Listener(name, routes string) *listenerv3.Listener {
	manager, err := anypb.New(&hcmv3.HttpConnectionManager{
		StatPrefix:     name,
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{RouteConfigName: routes, ConfigSource: adsConfigSource()}},
	})
	if err != nil { // cannot happen: the message is valid
		panic(err)
	}
	filter := &listenerv3.Filter{Name: "http", ConfigType: &listenerv3.Filter_TypedConfig{TypedConfig: manager}}
	return &listenerv3.Listener{Name: name, FilterChains: []*listenerv3.FilterChain{{Filters: []*listenerv3.Filter{filter}}}}
}
