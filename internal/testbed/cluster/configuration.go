package cluster

import (
	"fmt"
	"strings"
)

// maxSeeds is the maximum number of nodes, from the first one on, that are the membership's seeds.
const maxSeeds = 3

// configuration returns the node's configuration as YAML.
func (n *Node) configuration() string {
	var b strings.Builder
	fmt.Fprintf(&b, "log: {format: json, level: info}\nadmin: {address: %q, remote: true}\n", n.Admin)
	if !n.Witness {
		n.writeGatewaySections(&b)
	}
	if !n.cluster.options.NoFleet {
		n.writeFleetSection(&b)
	}
	return b.String()
}

func (n *Node) writeGatewaySections(b *strings.Builder) {
	options := &n.cluster.options
	fmt.Fprintf(b, "listeners: [{name: web, address: %q}]\nlimits: {drain: 2s}\ngateway: {number: %d, of: %d}\n", n.Web, n.Number, options.Nodes)
	if options.ExtraConfig != nil {
		b.WriteString(options.ExtraConfig(n.Number))
	} else {
		b.WriteString("clusters: [{name: c, endpoints: [{address: \"127.0.0.1:9\"}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n")
	}
	if options.XDS != nil {
		fmt.Fprintf(b, "xds: {servers: [%q], variant: %s, node: {id: %q}, clusters: true, backoff_base: 100ms, backoff_most: 1s, connect_timeout: 1s, initial_fetch_timeout: 5s}\n",
			n.serviceAddress(options.XDS), options.Variant, n.Name)
	}
}

func (n *Node) writeFleetSection(b *strings.Builder) {
	options := &n.cluster.options
	fmt.Fprintf(b, "fleet:\n  name: %s\n  member: %s\n  address: %q\n  remote: true\n  probe: %v\n  lease: %v\n",
		options.Name, n.Name, n.Address, options.Probe, options.Lease)
	if len(options.Sites) > 0 {
		fmt.Fprintf(b, "  site: %s\n", options.Sites[n.Number%len(options.Sites)])
	}
	n.writePeers(b)
	n.writeQuorum(b)
	if n.Witness {
		return
	}
	n.writePosts(b)
	if options.ExtraFleetConfig != nil {
		b.WriteString(options.ExtraFleetConfig(n.Number))
	}
}

// writePeers writes the seeds, and for each other node the address of the relay to it.
func (n *Node) writePeers(b *strings.Builder) {
	nodes := n.cluster.Nodes
	b.WriteString("  seeds: [")
	for _, seed := range nodes[:min(maxSeeds, len(nodes))] {
		fmt.Fprintf(b, "%q, ", seed.Address)
	}
	b.WriteString("]\n  via:\n")
	for _, peer := range nodes {
		if peer != n {
			fmt.Fprintf(b, "    - {member: %q, at: %q}\n", peer.Address, n.cluster.relayAddress(n.Number, peer.Number))
		}
	}
}

func (n *Node) writeQuorum(b *strings.Builder) {
	options := &n.cluster.options
	fmt.Fprintf(b, "  quorum:\n    heartbeat: %v\n    folder: %s\n    most_bytes: %s\n    voters:\n", options.Heartbeat, votesDir, options.MaxLogSize)
	for _, voter := range n.cluster.Voters() {
		fmt.Fprintf(b, "      - {name: %s, address: %q}\n", voter.Name, voter.Address)
	}
}

func (n *Node) writePosts(b *strings.Builder) {
	options := &n.cluster.options
	if len(options.PostTasks) == 0 {
		return
	}
	b.WriteString("  posts:\n")
	for name, service := range options.PostTasks {
		fmt.Fprintf(b, "    - {name: %s, url: \"http://%s/\", every: %v, timeout: 30s}\n", name, n.serviceAddress(service), options.PostInterval)
	}
}

// serviceAddress returns the address at which the node reaches an external service.
func (n *Node) serviceAddress(service *ExternalService) string {
	if service.Direct {
		return service.Address
	}
	for i, s := range n.cluster.services {
		if s == service {
			return n.cluster.relayAddress(n.Number, firstServiceNumber+i)
		}
	}
	return service.Address
}
