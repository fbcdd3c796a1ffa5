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

// Cluster is an EDS cluster whose endpoints stand under service, or under its own name where that is empty.
func Cluster(name, service string) *clusterv3.Cluster {
	return &clusterv3.Cluster{Name: name, ConnectTimeout: durationpb.New(250 * time.Millisecond), LbPolicy: clusterv3.Cluster_LEAST_REQUEST,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{ServiceName: service,
			EdsConfig: &corev3.ConfigSource{ResourceApiVersion: corev3.ApiVersion_V3,
				ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}}
}

// Endpoint is one of a cluster's.
type Endpoint struct {
	Addr     string // host:port
	Zone     string
	Health   corev3.HealthStatus
	Weight   uint32 // 0: not said
	Priority uint32
	Kind     string
	Cell     int
}

// Assignment is a cluster's endpoints, by zone and priority.
func Assignment(name string, endpoints ...Endpoint) *endpointv3.ClusterLoadAssignment {
	type place struct {
		zone     string
		priority uint32
	}
	m := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	at := map[place]*endpointv3.LocalityLbEndpoints{}
	for _, e := range endpoints {
		p := place{e.Zone, e.Priority}
		l := at[p]
		if l == nil {
			l = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: e.Zone}, Priority: e.Priority}
			at[p] = l
			m.Endpoints = append(m.Endpoints, l)
		}
		host, port, _ := net.SplitHostPort(e.Addr)
		n, _ := strconv.Atoi(port) // a bad one is port 0, which clients have to refuse
		lb := &endpointv3.LbEndpoint{HealthStatus: e.Health, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
			Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
				PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}}}}
		if e.Weight > 0 {
			lb.LoadBalancingWeight = wrapperspb.UInt32(e.Weight)
		}
		if e.Kind != "" || e.Cell != 0 {
			lb.Metadata = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"robindrum": {Fields: map[string]*structpb.Value{
				"kind": structpb.NewStringValue(e.Kind), "cell": structpb.NewNumberValue(float64(e.Cell))}}}}
		}
		l.LbEndpoints = append(l.LbEndpoints, lb)
	}
	return m
}

// Routes is a RouteConfiguration that sends each path prefix of any host to a cluster, in the order given.
func Routes(name string, prefixes ...[2]string) *routev3.RouteConfiguration {
	h := &routev3.VirtualHost{Name: "all", Domains: []string{"*"}}
	for _, p := range prefixes {
		h.Routes = append(h.Routes, &routev3.Route{Match: &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: p[0]}},
			Action: &routev3.Route_Route{Route: &routev3.RouteAction{ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: p[1]}}}})
	}
	return &routev3.RouteConfiguration{Name: name, VirtualHosts: []*routev3.VirtualHost{h}}
}

// Listener is one whose routes stand in a RouteConfiguration.
func Listener(name, routes string) *listenerv3.Listener {
	conf, err := anypb.New(&hcmv3.HttpConnectionManager{StatPrefix: name, RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{
		RouteConfigName: routes, ConfigSource: &corev3.ConfigSource{ResourceApiVersion: corev3.ApiVersion_V3,
			ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}}})
	if err != nil { // a message made here always marshals
		panic(err)
	}
	return &listenerv3.Listener{Name: name, FilterChains: []*listenerv3.FilterChain{{Filters: []*listenerv3.Filter{{Name: "http",
		ConfigType: &listenerv3.Filter_TypedConfig{TypedConfig: conf}}}}}}
}
