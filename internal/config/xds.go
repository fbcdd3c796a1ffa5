package config

import (
	"fmt"
	"time"
)

const minMessageBytes = 1 << 10

// XDS configures the source of xDS resources: control planes, or a file.
type XDS struct {
	Servers         []string `yaml:"servers,omitempty"` // control planes, tried in this order
	Path            string   `yaml:"path,omitempty"`    // file of resources that replaces the servers
	Variant         Variant  `yaml:"variant"`
	Node            Node     `yaml:"node"`
	Clusters        bool     `yaml:"clusters"`                      // use all clusters of the control plane (CDS)
	RouteConfigName string   `yaml:"route_configuration,omitempty"` // use the routes of this RouteConfiguration for requests that no route of the file matches

	ListenerName string `yaml:"listener,omitempty"` // like RouteConfigName, with the routes of this Listener

	InitialFetchTimeout Duration `yaml:"initial_fetch_timeout"`
	ConnectTimeout      Duration `yaml:"connect_timeout"`
	BackoffBase         Duration `yaml:"backoff_base"`
	MaxBackoff          Duration `yaml:"backoff_most"`
	Keepalive           Duration `yaml:"keepalive"` // interval of pings; the connection is closed after twice this time without an answer
	MaxMessageBytes     Size     `yaml:"message"`
}

// Node identifies this gateway to control planes.
type Node struct {
	ID      string `yaml:"id"`
	Cluster string `yaml:"cluster"`
}

func (x *XDS) setDefaults() {
	setDefault(&x.Node.Cluster, "robindrum")
	setDefault(&x.InitialFetchTimeout, Duration(15*time.Second))
	setDefault(&x.ConnectTimeout, Duration(5*time.Second))
	setDefault(&x.BackoffBase, Duration(500*time.Millisecond))
	setDefault(&x.MaxBackoff, Duration(30*time.Second))
	setDefault(&x.Keepalive, Duration(30*time.Second))
	setDefault(&x.MaxMessageBytes, 16<<20)
}

func (f *File) checkXDS(d *decoder) {
	x := f.XDS
	if x == nil {
		return
	}
	if len(x.Servers) == 0 && x.Path == "" {
		d.errorAt("xds.servers", "none is given, and path is not set either")
	}
	if len(x.Servers) > 0 && x.Path != "" {
		d.errorAt("xds.path", "only one of servers and path can be set")
	}
	for i, server := range x.Servers {
		checkAddress(d, fmt.Sprintf("xds.servers[%d]", i), server, false)
	}
	if x.RouteConfigName != "" && x.ListenerName != "" {
		d.errorAt("xds.listener", "only one of route_configuration and listener can be set")
	}
	if x.Node.ID == "" && x.Path == "" {
		d.errorAt("xds.node.id", "is missing: control planes use it to identify this gateway")
	}
	x.checkTimes(d)
	if x.MaxMessageBytes < minMessageBytes {
		d.errorAt("xds.message", "must be at least 1KiB")
	}
}

func (x *XDS) checkTimes(d *decoder) {
	for name, value := range map[string]Duration{
		"connect_timeout": x.ConnectTimeout,
		"backoff_base":    x.BackoffBase,
		"backoff_most":    x.MaxBackoff,
		"keepalive":       x.Keepalive,
	} {
		if value == 0 {
			d.errorAt("xds."+name, "must be greater than 0")
		}
	}
	if x.MaxBackoff < x.BackoffBase {
		d.errorAt("xds.backoff_most", "must be at least backoff_base (%[2]v), got %[1]v", x.MaxBackoff.D(), x.BackoffBase.D())
	}
}
