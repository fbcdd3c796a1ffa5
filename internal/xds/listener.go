package xds

import (
	"errors"
	"fmt"

	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/proto"
)

// Listener is what of a Listener carries over: where its routes stand. The gateway's own listeners are in its file.
type Listener struct {
	Name      string
	RouteName string  // of a RouteConfiguration to ask for
	Inline    *Routes // or the routes themselves
}

// hcmURL is the one network filter that is taken.
const hcmURL = "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager"

// routerURL is the one HTTP filter that counts. Naming its type here has files of resources know it.
var routerURL = "type.googleapis.com/" + string((*routerv3.Router)(nil).ProtoReflect().Descriptor().FullName())

var (
	listenerTable = fieldTable{supported: []string{"name", "filter_chains", "api_listener"},
		ignored: []string{"address", "stat_prefix", "metadata", "traffic_direction", "per_connection_buffer_limit_bytes", "access_log",
			"tcp_backlog_size", "enable_reuse_port", "listener_filters_timeout", "socket_options"}}
	filterChainTable = fieldTable{supported: []string{"filters"}, ignored: []string{"name", "metadata"}}
	hcmTable         = fieldTable{supported: []string{"route_config", "rds", "http_filters", "codec_type"},
		ignored: []string{"stat_prefix", "use_remote_address", "server_name", "access_log", "tracing", "request_timeout", "stream_idle_timeout",
			"request_headers_timeout", "generate_request_id", "preserve_external_request_id", "normalize_path", "merge_slashes",
			"common_http_protocol_options", "http_protocol_options", "http2_protocol_options", "xff_num_trusted_hops", "skip_xff_append",
			"drain_timeout", "delayed_close_timeout", "server_header_transformation", "path_with_escaped_slashes_action"}}
	rdsTable        = fieldTable{supported: []string{"config_source", "route_config_name"}}
	httpFilterTable = fieldTable{supported: []string{"name", "typed_config", "is_optional"}}
)

// ParseListener checks a Listener.
func ParseListener(m *listenerv3.Listener, classes map[string]bool) (*Listener, []string, error) {
	var warn []string
	l := &Listener{Name: m.GetName()}
	if l.Name == "" {
		return nil, nil, errors.New("name: is missing")
	}
	if err := listenerTable.audit(m, "", &warn); err != nil {
		return nil, nil, err
	}
	conf, at := m.GetApiListener().GetApiListener(), "api_listener.api_listener."
	if conf == nil {
		if n := len(m.GetFilterChains()); n != 1 {
			return nil, nil, fmt.Errorf("filter_chains: want one, not %d", n)
		}
		c := m.GetFilterChains()[0]
		if err := filterChainTable.audit(c, "filter_chains[0].", &warn); err != nil {
			return nil, nil, err
		}
		if n := len(c.GetFilters()); n != 1 {
			return nil, nil, fmt.Errorf("filter_chains[0].filters: want one, not %d", n)
		}
		conf, at = c.GetFilters()[0].GetTypedConfig(), "filter_chains[0].filters[0].typed_config."
	}
	if conf.GetTypeUrl() != hcmURL {
		return nil, nil, fmt.Errorf("%stype_url: %q is not supported", at, conf.GetTypeUrl())
	}
	var h hcmv3.HttpConnectionManager
	if err := proto.Unmarshal(conf.GetValue(), &h); err != nil {
		return nil, nil, fmt.Errorf("%svalue: %w", at, err)
	}
	if err := hcmTable.audit(&h, at, &warn); err != nil {
		return nil, nil, err
	}
	if c := h.GetCodecType(); c != hcmv3.HttpConnectionManager_AUTO && c != hcmv3.HttpConnectionManager_HTTP1 {
		return nil, nil, fmt.Errorf("%scodec_type: %v is not supported", at, c)
	}
	for i, f := range h.GetHttpFilters() {
		path := fmt.Sprintf("%shttp_filters[%d].", at, i)
		if err := httpFilterTable.audit(f, path, &warn); err != nil {
			return nil, nil, err
		}
		if f.GetTypedConfig().GetTypeUrl() == routerURL {
			continue
		}
		if !f.GetIsOptional() {
			return nil, nil, fmt.Errorf("%sname: %q is not supported", path, f.GetName())
		}
		warn = append(warn, path+"name: "+f.GetName()+" is optional and ignored")
	}
	switch r := h.GetRouteSpecifier().(type) {
	case *hcmv3.HttpConnectionManager_Rds:
		if err := rdsTable.audit(r.Rds, at+"rds.", &warn); err != nil {
			return nil, nil, err
		}
		if s := r.Rds.GetConfigSource(); s.GetAds() == nil && s.GetSelf() == nil {
			return nil, nil, fmt.Errorf("%srds.config_source: only ads and self are supported", at)
		}
		if l.RouteName = r.Rds.GetRouteConfigName(); l.RouteName == "" {
			return nil, nil, fmt.Errorf("%srds.route_config_name: is missing", at)
		}
	case *hcmv3.HttpConnectionManager_RouteConfig:
		routes, w, err := parseRoutes(r.RouteConfig, classes, true)
		if err != nil {
			return nil, nil, fmt.Errorf("%sroute_config.%w", at, err)
		}
		l.Inline = routes
		warn = append(warn, w...)
	default:
		return nil, nil, fmt.Errorf("%sroute_specifier: one of rds and route_config is needed", at)
	}
	return l, warn, nil
}
