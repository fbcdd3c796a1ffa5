package cluster

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/origin"
)

// Site is a cluster of gateways that share origins and a control plane.
type Site struct {
	*Cluster
	ControlPlane *controlplane.Server
	Origins      []*origin.Origin

	dir     string
	version int      // version that the control plane serves
	zones   []string // assigned to the origins round-robin
}

// SiteOptions configure a Site.
type SiteOptions struct {
	Binary string
	// Dir is where temporary directories are created.
	Dir string
	// Versions maps version labels to programs. If it is not empty, the gateways run under supervisors and start with Version.
	Versions map[string]string
	Version  string

	Gateways int
	// Sites are assigned to the gateways round-robin; nil: all are in one site.
	Sites []string
	// Zones are assigned to the gateways, and to the origins, round-robin; nil: no zones.
	Zones []string

	// SharedSubscription makes one gateway subscribe to the control plane for all. DirectAfter is the time without the shared
	// subscription after which the other gateways open direct streams. It is also the upper bound of the random additional wait
	// that spreads the opening of these streams. Heartbeat is the heartbeat interval of the subscription's leader.
	SharedSubscription bool
	DirectAfter        time.Duration
	Heartbeat          time.Duration
	// Variant is the variant of xDS; empty: state of the world.
	Variant string

	Lease time.Duration
	// PostTasks are post tasks by name: leader-only tasks that send POST requests to an external service.
	PostTasks map[string]*ExternalService
	// Budgets is the value of `budgets` in the fleet's configuration; empty: no budgets.
	Budgets string
	// ExtraConfig is appended to every gateway's configuration.
	ExtraConfig string
	// Seed is the seed of the links' random numbers.
	Seed uint64
	// OnLogLine is called with each line that a node logs, from one goroutine per node; nil: lines are discarded.
	OnLogLine func(node int, line string)
}

// siteOrigins is the number of origins of a site.
const siteOrigins = 3

// NewSite starts a site and waits until every gateway uses the endpoint list with all origins. If a gateway does not use it in time,
// NewSite returns the site with an error. Close must be called if the returned site is not nil.
func NewSite(ctx context.Context, options SiteOptions) (*Site, error) {
	s := &Site{zones: options.Zones}
	if err := s.start(options); err != nil {
		s.Close()
		return nil, err
	}
	return s, s.AwaitVersion(ctx, recoveryTimeout)
}

func (s *Site) start(options SiteOptions) error {
	var err error
	if s.dir, err = os.MkdirTemp(options.Dir, "site-"); err != nil {
		return err
	}
	if err := s.startServers(); err != nil {
		return err
	}
	if s.Cluster, err = New(s.clusterOptions(options)); err != nil {
		return err
	}
	return s.Start()
}

// startServers starts the control plane and the origins, and pushes all origins.
func (s *Site) startServers() error {
	var err error
	if s.ControlPlane, err = controlplane.Start(""); err != nil {
		return err
	}
	var all []int
	for i := range siteOrigins {
		o, err := origin.Start("", nil)
		if err != nil {
			return err
		}
		s.Origins = append(s.Origins, o)
		all = append(all, i)
	}
	_, err = s.Push(all...)
	return err
}

func (s *Site) clusterOptions(options SiteOptions) Options {
	sites := options.Sites
	if len(sites) == 0 {
		sites = []string{"s"}
	}
	fleetConfig := options.fleetConfig()
	return Options{
		Binary:           options.Binary,
		Dir:              s.dir,
		Versions:         options.Versions,
		Version:          options.Version,
		Nodes:            options.Gateways,
		Sites:            sites,
		Lease:            options.Lease,
		Heartbeat:        options.Lease / heartbeatsPerLease,
		PostTasks:        options.PostTasks,
		XDS:              &ExternalService{Name: "plane", Address: s.ControlPlane.Addr},
		Variant:          options.Variant,
		ExtraFleetConfig: func(int) string { return fleetConfig },
		ExtraConfig:      options.gatewayConfig,
		Seed:             options.Seed,
		OnLogLine:        options.OnLogLine,
	}
}

// fleetConfig returns the extra lines of the section `fleet`.
func (o *SiteOptions) fleetConfig() string {
	var b strings.Builder
	if o.SharedSubscription {
		fmt.Fprintf(&b, "  subscription: {own_after: %v, spread: %v, heartbeat: %v}\n", o.DirectAfter, o.DirectAfter, o.Heartbeat)
	}
	if o.Budgets != "" {
		fmt.Fprintf(&b, "  budgets: %s\n", o.Budgets)
	}
	return b.String()
}

// gatewayConfig returns a gateway's sections `clusters` and `routes`, ExtraConfig, and the gateway's zone if there are zones.
func (o *SiteOptions) gatewayConfig(node int) string {
	text := "clusters: []\nroutes: [{match: {prefix: /}, cluster: c}]\n" + o.ExtraConfig
	if len(o.Zones) > 0 {
		text += "zone: " + o.Zones[node%len(o.Zones)] + "\n"
	}
	return text
}

// Close ends all processes, the control plane and the origins, and removes the directory.
func (s *Site) Close() {
	if s.Cluster != nil {
		s.Cluster.Close()
	}
	if s.ControlPlane != nil {
		s.ControlPlane.Stop()
	}
	for _, o := range s.Origins {
		o.Kill()
	}
	_ = os.RemoveAll(s.dir)
}

// Push makes the control plane serve the origins with the given indexes under a new version. It returns the time of the push.
func (s *Site) Push(origins ...int) (time.Time, error) {
	s.version++
	var endpoints []controlplane.Endpoint
	for _, i := range origins {
		endpoint := controlplane.Endpoint{Addr: s.Origins[i].Addr}
		if len(s.zones) > 0 {
			endpoint.Zone = s.zones[i%len(s.zones)]
		}
		endpoints = append(endpoints, endpoint)
	}
	return s.ControlPlane.Push(strconv.Itoa(s.version), false,
		controlplane.Resource{Name: "c", Body: controlplane.Cluster("c", "")},
		controlplane.Resource{Name: "c", Body: controlplane.Assignment("c", endpoints...)})
}

// usesVersion reports whether a gateway uses the version that was pushed last. It returns true for a gateway that is not up.
func (s *Site) usesVersion(n *Node) bool {
	if !n.Up() {
		return true
	}
	status, err := n.Status()
	if err != nil || !status.Ready || len(status.Clusters) != 1 {
		return false
	}
	return status.Clusters[0].Version == strconv.Itoa(s.version)
}

// AwaitVersion waits until every gateway that is up uses the version that was pushed last.
func (s *Site) AwaitVersion(ctx context.Context, timeout time.Duration) error {
	return Await(ctx, "version "+strconv.Itoa(s.version)+" at every gateway", timeout, func() bool {
		for _, n := range s.Nodes {
			if !s.usesVersion(n) {
				return false
			}
		}
		return true
	})
}

// awaitReady waits until every gateway is ready.
func (s *Site) awaitReady(ctx context.Context) error {
	notReady := ""
	err := Await(ctx, "every gateway to be ready", recoveryTimeout, func() bool {
		for _, n := range s.Nodes {
			if !n.Ready() {
				notReady = n.Name
				return false
			}
		}
		return true
	})
	if err != nil {
		return fmt.Errorf("%w: %s is not ready", err, notReady)
	}
	return nil
}

// SubscriptionLeader returns a gateway whose status says that it leads the shared subscription, or nil.
func (s *Site) SubscriptionLeader() *Node { return s.TaskLeader("xds/s") }
