package gateway

import (
	"cmp"
	"reflect"
	"time"

	"robindrum/balancer"
	"robindrum/internal/config"
	"robindrum/internal/xds"
)

// sourceStatic is the source of clusters whose endpoints the configuration lists.
const sourceStatic = "static"

// clusterSpec is the desired state of a cluster, from the configuration or a control plane.
type clusterSpec struct {
	config  config.Cluster
	quota   config.Quota
	classes []config.Class
	zone    string
	gateway config.Gateway
	zones   *config.Zones // nil if localities are not balanced

	source          string // sourceStatic, or the name of a watch
	service         string // name of the endpoint list at the source
	staticEndpoints []config.Endpoint
	inline          *xds.Assignment // endpoints that the control plane sends as part of the cluster; nil if none
	version         string
	localityWeights bool // the weights of localities are applied
	warnings        []string
}

// sameCore reports whether a core created for one spec can be used for the other. Endpoints and quotas may differ.
func (s *clusterSpec) sameCore(other *clusterSpec) bool {
	a, b := s.config, other.config
	for _, c := range []*config.Cluster{&a, &b} {
		c.Endpoints = nil
		c.File = nil
		c.XDS = nil
		c.Quota = nil
	}
	return reflect.DeepEqual(a, b) &&
		reflect.DeepEqual(s.classes, other.classes) &&
		s.zone == other.zone &&
		s.gateway == other.gateway &&
		reflect.DeepEqual(s.zones, other.zones)
}

// clusterSpecs returns the specs of all clusters by name. A cluster of the configuration takes precedence over a control
// plane's cluster of the same name.
func (g *Gateway) clusterSpecs() map[string]*clusterSpec {
	specs := map[string]*clusterSpec{}
	for i := range g.config.Clusters {
		spec := g.configuredSpec(&g.config.Clusters[i])
		specs[spec.config.Name] = spec
	}
	g.addDynamicSpecs(specs)
	for _, spec := range specs {
		spec.classes = g.config.Classes
		spec.zone = g.config.Zone
		spec.gateway = g.config.Gateway
		spec.zones = g.config.Zones
	}
	return specs
}

// configuredSpec returns the spec of a cluster in the configuration.
func (g *Gateway) configuredSpec(c *config.Cluster) *clusterSpec {
	spec := &clusterSpec{config: *c, quota: g.config.QuotaOf(c), source: sourceStatic, staticEndpoints: c.Endpoints}
	if c.Breakers.MaxConnections > 0 {
		spec.quota.Max.Descriptors = c.Breakers.MaxConnections
	}
	switch {
	case c.File != nil:
		spec.source = fileWatch(g.config.Resolve(c.File.Path))
		spec.service = cmp.Or(c.File.Service, c.Name)
	case c.XDS != nil:
		spec.source = xdsWatch
		spec.service = cmp.Or(c.XDS.Service, c.Name)
	}
	return spec
}

// addDynamicSpecs adds the control plane's clusters that are not in the configuration. They evenly divide the quota that
// the limits leave for such clusters.
func (g *Gateway) addDynamicSpecs(specs map[string]*clusterSpec) {
	w := g.watches[xdsWatch]
	if w == nil || !g.config.XDS.Clusters {
		return
	}
	var clusters []*xds.Cluster
	for _, r := range w.all(xds.ClusterType) {
		c, ok := r.Value.(*xds.Cluster)
		if !ok || specs[c.Name] != nil {
			continue
		}
		clusters = append(clusters, c)
		specs[c.Name] = dynamicSpec(c, &r)
	}
	if len(clusters) == 0 {
		return
	}
	quota := dynamicQuota(&g.config.Limits, len(clusters))
	for _, c := range clusters {
		spec := specs[c.Name]
		spec.quota = quota
		if c.MaxConnections > 0 {
			spec.quota.Max.Descriptors = c.MaxConnections
		}
	}
}

func dynamicSpec(c *xds.Cluster, r *xds.Resource) *clusterSpec {
	spec := &clusterSpec{
		config: config.Cluster{
			Name:           c.Name,
			ConnectTimeout: config.Duration(c.ConnectTimeout),
			IdleTimeout:    config.Duration(c.IdleTimeout),
			WarmUp:         config.WarmUp{Time: config.Duration(c.WarmUp)},
			Breakers:       configBreakers(&c.Breakers),
		},
		source:          xdsWatch,
		service:         c.Service,
		inline:          c.Static,
		localityWeights: c.LocalityWeights,
		version:         r.Version,
		warnings:        r.Warnings,
	}
	if c.HighPriority != (xds.Breakers{}) {
		spec.config.Breakers.High = new(configBreakers(&c.HighPriority))
	}
	spec.config.SetDefaults()
	return spec
}

// dynamicQuota returns the quota of one of the control plane's clusters, given their number.
func dynamicQuota(limits *config.Limits, clusters int) config.Quota {
	guaranteed := config.Amount{
		Descriptors: limits.Descriptors / 8 / clusters,
		Memory:      limits.Memory / 4 / config.Size(clusters),
		Requests:    limits.Requests / 4 / clusters,
	}
	return config.Quota{Guaranteed: guaranteed, Max: limits.PerCluster.Max}
}

func configBreakers(b *xds.Breakers) config.Breakers {
	breakers := config.Breakers{MaxRequests: b.MaxRequests, MaxPending: b.MaxPending, MaxRetries: b.MaxRetries}
	if b.RetryBudget != nil {
		breakers.RetryBudget = &config.RetryBudget{Percent: b.RetryBudget.Percent, MinConcurrency: b.RetryBudget.MinRetries}
	}
	return breakers
}

const (
	maxServerRetryAfter = 5 * time.Second
	overloadWindow      = time.Second
)

// balancerSettings returns the settings of a cluster's balancer, except for Admission and Localities.
func (s *clusterSpec) balancerSettings() balancer.Settings {
	cluster := &s.config
	return balancer.Settings{
		Zone:             s.zone,
		Index:            s.gateway.Index,
		Proxies:          s.gateway.Count,
		MaxAttempts:      cluster.Attempts,
		ParallelAttempts: *cluster.Hedge,
		MayCancel:        true,
		RetryAfter:       true,
		MaxRetryAfter:    maxServerRetryAfter,
		ConnectTimeout:   cluster.ConnectTimeout.D(),
		ConnIdle:         cluster.IdleTimeout.D(),
		Multiplex:        1,
		DrainGrace:       cluster.DrainGrace.D(),
		WarmUpTime:       cluster.WarmUp.Time.D(),
		WarmUpShare:      cluster.WarmUp.InitialShare,
		OverloadMultiple: cluster.WarmUp.OverloadMultiple,
		OverloadWindow:   overloadWindow,
		Price:            balancer.Prices{CrossZone: *cluster.CrossZone},
		Weights:          balancer.WeightNominal,
		Classes:          s.balancerClasses(),
	}
}

// balancerClasses returns the classes of requests. Each class that is idempotent only with a key is followed by a class for
// its requests without a key.
func (s *clusterSpec) balancerClasses() []balancer.Class {
	var classes []balancer.Class
	for i := range s.classes {
		class := &s.classes[i]
		converted := balancer.Class{
			Name:             class.Name,
			LatencyObjective: class.LatencyObjective.D(),
			Deadline:         class.Deadline.D(),
			Effect:           balancer.Effect(class.Effect),
			Group:            balancer.Group(class.Group),
			Window:           class.Window.D(),
			PriorityWeight:   class.PriorityWeight,
		}
		classes = append(classes, converted)
		if needsKey(class) {
			converted.Name += withoutKeySuffix
			converted.Effect = balancer.NonIdempotent
			converted.Window = 0
			converted.Group = 0
			classes = append(classes, converted)
		}
	}
	return classes
}
