package xds

import (
	"fmt"

	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// Listener is a Listener resource converted to the gateway's type. It holds only the routes, as the listeners of the gateway
// are defined in its configuration.
type Listener struct {
	Name      string
	RouteName string  // name of the RouteConfiguration to subscribe to; empty with Inline
	Inline    *Routes // routes that are part of the listener; nil with RouteName
}

// hcmURL is the type URL of the only supported network filter.
const hcmURL = "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager"

// routerURL is the type URL of the only supported HTTP filter. The reference to routerv3 also registers the message type, which
// is required to parse resource files that contain it.
var routerURL = "type.googleapis.com/" + string((*routerv3.Router)(nil).ProtoReflect().Descriptor().FullName())

var (
	listenerTable = fieldTable{
		supported: []string{"name", "filter_chains", "api_listener"},
		ignored: []string{
			"address", "stat_prefix", "metadata", "traffic_direction", "per_connection_buffer_limit_bytes",
			"access_log", "tcp_backlog_size", "enable_reuse_port", "listener_filters_timeout", "socket_options",
		},
	}
	filterChainTable = fieldTable{
		supported: []string{"filters"},
		ignored:   []string{"name", "metadata"},
	}
	hcmTable = fieldTable{
		supported: []string{"route_config", "rds", "http_filters", "codec_type"},
		ignored: []string{
			"stat_prefix", "use_remote_address", "server_name", "access_log", "tracing", "request_timeout",
			"stream_idle_timeout", "request_headers_timeout", "generate_request_id",
			"preserve_external_request_id", "normalize_path", "merge_slashes", "common_http_protocol_options",
			"http_protocol_options", "http2_protocol_options", "xff_num_trusted_hops", "skip_xff_append",
			"drain_timeout", "delayed_close_timeout", "server_header_transformation",
			"path_with_escaped_slashes_action",
		},
	}
	rdsTable = fieldTable{
		supported: []string{"config_source", "route_config_name"},
	}
	httpFilterTable = fieldTable{
		supported: []string{"name", "typed_config", "is_optional"},
	}
)

// listenerParser converts one Listener. It stops at the first error.
type listenerParser struct {
	listener *Listener
	classes  map[string]bool
	warnings []string
}

// ParseListener checks and converts a Listener. It also returns a warning for each ignored field. See ParseRoutes for
// classes.
func ParseListener(message *listenerv3.Listener, classes map[string]bool) (*Listener, []string, error) {
	if message.GetName() == "" {
		return nil, nil, errNoName
	}
	p := &listenerParser{listener: &Listener{Name: message.GetName()}, classes: classes}
	err := p.parse(message)
	if err != nil {
		return nil, nil, err
	}
	return p.listener, p.warnings, nil
}

func (p *listenerParser) parse(message *listenerv3.Listener) error {
	if err := listenerTable.audit(message, "", &p.warnings); err != nil {
		return err
	}
	config, path, err := p.managerConfig(message)
	if err != nil {
		return err
	}
	if config.GetTypeUrl() != hcmURL {
		return fmt.Errorf("%stype_url: %q is not supported", path, config.GetTypeUrl())
	}
	var manager hcmv3.HttpConnectionManager
	if err := proto.Unmarshal(config.GetValue(), &manager); err != nil {
		return fmt.Errorf("%svalue: %w", path, err)
	}
	return p.parseManager(&manager, path)
}

// managerConfig returns the configuration of the HTTP connection manager and its field path. The configuration is that of the
// API listener, if there is one, or else that of the only filter of the only filter chain.
func (p *listenerParser) managerConfig(message *listenerv3.Listener) (config *anypb.Any, path string, err error) {
	if config := message.GetApiListener().GetApiListener(); config != nil {
		return config, "api_listener.api_listener.", nil
	}
	chains := message.GetFilterChains()
	if len(chains) != 1 {
		return nil, "", fmt.Errorf("filter_chains: must have exactly 1 element, got %d", len(chains))
	}
	if err := filterChainTable.audit(chains[0], "filter_chains[0].", &p.warnings); err != nil {
		return nil, "", err
	}
	filters := chains[0].GetFilters()
	if len(filters) != 1 {
		return nil, "", fmt.Errorf("filter_chains[0].filters: must have exactly 1 element, got %d", len(filters))
	}
	return filters[0].GetTypedConfig(), "filter_chains[0].filters[0].typed_config.", nil
}

func (p *listenerParser) parseManager(manager *hcmv3.HttpConnectionManager, path string) error {
	if err := hcmTable.audit(manager, path, &p.warnings); err != nil {
		return err
	}
	codec := manager.GetCodecType()
	if codec != hcmv3.HttpConnectionManager_AUTO && codec != hcmv3.HttpConnectionManager_HTTP1 {
		return fmt.Errorf("%scodec_type: %v is not supported", path, codec)
	}
	for i, filter := range manager.GetHttpFilters() {
		if err := p.parseFilter(filter, fmt.Sprintf("%shttp_filters[%d].", path, i)); err != nil {
			return err
		}
	}
	switch specifier := manager.GetRouteSpecifier().(type) {
	case *hcmv3.HttpConnectionManager_Rds:
		return p.parseRDS(specifier.Rds, path+"rds.")
	case *hcmv3.HttpConnectionManager_RouteConfig:
		routes, warnings, err := parseRoutes(specifier.RouteConfig, p.classes, true)
		if err != nil {
			return fmt.Errorf("%sroute_config.%w", path, err)
		}
		p.listener.Inline = routes
		p.warnings = append(p.warnings, warnings...)
		return nil
	}
	return fmt.Errorf("%sroute_specifier: one of rds and route_config is required", path)
}

// parseFilter checks an HTTP filter. Optional filters that are not supported are ignored with a warning.
func (p *listenerParser) parseFilter(filter *hcmv3.HttpFilter, path string) error {
	if err := httpFilterTable.audit(filter, path, &p.warnings); err != nil {
		return err
	}
	if filter.GetTypedConfig().GetTypeUrl() == routerURL {
		return nil
	}
	if !filter.GetIsOptional() {
		return fmt.Errorf("%sname: %q is not supported", path, filter.GetName())
	}
	p.warnings = append(p.warnings, path+"name: "+filter.GetName()+" is optional and ignored")
	return nil
}

func (p *listenerParser) parseRDS(rds *hcmv3.Rds, path string) error {
	if err := rdsTable.audit(rds, path, &p.warnings); err != nil {
		return err
	}
	source := rds.GetConfigSource()
	if source.GetAds() == nil && source.GetSelf() == nil {
		return fmt.Errorf("%sconfig_source: only ads and self are supported", path)
	}
	p.listener.RouteName = rds.GetRouteConfigName()
	if p.listener.RouteName == "" {
		return fmt.Errorf("%sroute_config_name: is missing", path)
	}
	return nil
}
