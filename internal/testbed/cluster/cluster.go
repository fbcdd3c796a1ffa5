// Package cluster runs processes of the robindrum program as a fleet. Each process has its own directory and addresses, and reaches
// each of the others over its own relay for TCP and UDP. Seeded schedules inject faults into processes and links, and audits check the
// requests that the fleet sends to external services.
package cluster

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/quorum"
)

// Options configure a Cluster.
type Options struct {
	// Binary is the path of the program, Dir the directory in which the nodes' directories are created.
	Binary string
	Dir    string
	// Binaries replaces Binary for single nodes, by node number.
	Binaries map[int]string
	// Versions maps version labels to programs. If it is not empty, the gateways run under supervisors and start with Version.
	Versions map[string]string
	Version  string

	// Name is the fleet's name; empty: "rig".
	Name string
	// NoFleet omits the section `fleet` from the configuration.
	NoFleet bool
	// Nodes is the number of processes. The first Voters of them vote; 0: three, or one if there are fewer than three nodes.
	Nodes  int
	Voters int
	// Witness makes the last voter a witness.
	Witness bool
	// Sites are assigned to the nodes round-robin; nil: no site is configured.
	Sites []string

	Lease     time.Duration // 0: 1 s
	Heartbeat time.Duration // interval of the voters' heartbeats; 0: 100 ms
	Probe     time.Duration // interval of the membership probes; 0: 100 ms
	// MaxLogSize is the maximum size of a voter's log, as in the configuration; empty: 64MiB.
	MaxLogSize string

	// PostTasks are post tasks by name: leader-only tasks that send a POST request to an external service once per PostInterval (0: 20 ms).
	PostTasks    map[string]*ExternalService
	PostInterval time.Duration
	// XDS is the control plane; nil: the configuration has a static cluster.
	XDS *ExternalService
	// Variant is the variant of xDS; empty: state of the world.
	Variant string
	// ExtraFleetConfig returns more lines for a node's section `fleet`; nil: none. ExtraConfig returns its sections `clusters` and
	// `routes` and any further ones; nil: one static cluster and a route to it.
	ExtraFleetConfig func(node int) string
	ExtraConfig      func(node int) string

	// Seed is the seed of the links' random numbers.
	Seed uint64
	// OnLogLine is called with each line that a node logs, from one goroutine per node; nil: lines are discarded.
	OnLogLine func(node int, line string)
}

// Defaults of Options, ports of a node, and numbers of peers.
const (
	defaultName         = "rig"
	defaultLease        = time.Second
	defaultHeartbeat    = 100 * time.Millisecond
	defaultProbe        = 100 * time.Millisecond
	defaultPostInterval = 20 * time.Millisecond
	defaultMaxLogSize   = "64MiB"
	defaultVariant      = "sotw"
	defaultVoters       = 3

	fleetPort = 7600
	adminPort = 7601
	webPort   = 7602
	// firstRelayPort plus the number of a peer is the port of a node's relay to that peer.
	firstRelayPort = 8000
	// Numbers of the peers that are not nodes: clients of the quorum and external services.
	firstClientNumber  = 100
	firstServiceNumber = 200

	adminTimeout = 3 * time.Second
)

func (o Options) withDefaults() Options {
	o.Name = cmp.Or(o.Name, defaultName)
	o.Lease = cmp.Or(o.Lease, defaultLease)
	o.Heartbeat = cmp.Or(o.Heartbeat, defaultHeartbeat)
	o.Probe = cmp.Or(o.Probe, defaultProbe)
	o.PostInterval = cmp.Or(o.PostInterval, defaultPostInterval)
	o.MaxLogSize = cmp.Or(o.MaxLogSize, defaultMaxLogSize)
	o.Variant = cmp.Or(o.Variant, defaultVariant)
	if o.Voters == 0 {
		o.Voters = defaultVoters
		if o.Nodes < defaultVoters {
			o.Voters = 1
		}
	}
	return o
}

// ExternalService is a server outside the fleet. Each node reaches it over its own relay, unless it is Direct.
type ExternalService struct {
	Name    string
	Address string
	Direct  bool // reached without a relay
}

// Cluster is a fleet of processes. Its methods are safe for concurrent use.
type Cluster struct {
	Nodes []*Node

	options  Options
	host     string // the first three octets of all addresses: 127.x.y
	services []*ExternalService
	relays   []*relay
	links    map[linkKey]*link
	client   *http.Client
}

// clusterCount is the number of clusters that this process has created. It gives each cluster its own addresses.
var clusterCount atomic.Uint32

// New creates the nodes' directories and the relays between them. Start starts the processes. Close must be called.
func New(options Options) (*Cluster, error) {
	c := &Cluster{
		options: options.withDefaults(),
		host:    nextAddressPrefix(),
		links:   map[linkKey]*link{},
		client:  &http.Client{Timeout: adminTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
	for number := range options.Nodes {
		node := c.newNode(number)
		if err := os.MkdirAll(node.Dir, 0o700); err != nil {
			return nil, err
		}
		c.Nodes = append(c.Nodes, node)
	}
	for _, service := range options.PostTasks {
		c.services = append(c.services, service)
	}
	if options.XDS != nil {
		c.services = append(c.services, options.XDS)
	}
	for _, node := range c.Nodes {
		if err := c.addRelaysOf(node); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// nextAddressPrefix returns the address prefix of a new cluster, within a part of 127/8 derived from this process's ID. Listeners on
// these addresses do not collide with the ports of outgoing connections.
func nextAddressPrefix() string {
	n := uint32(os.Getpid())*16 + clusterCount.Add(1)
	return fmt.Sprintf("127.%d.%d", 16+n>>8&0x7f, n&0xff)
}

func (c *Cluster) newNode(number int) *Node {
	name := fmt.Sprintf("n%d", number)
	ip := fmt.Sprintf("%s.%d", c.host, number+1)
	return &Node{
		Number:  number,
		Name:    name,
		Address: fmt.Sprintf("%s:%d", ip, fleetPort),
		Admin:   fmt.Sprintf("%s:%d", ip, adminPort),
		Web:     fmt.Sprintf("%s:%d", ip, webPort),
		Dir:     filepath.Join(c.options.Dir, name),
		Witness: c.options.Witness && number == c.options.Voters-1,
		cluster: c,
	}
}

// addRelaysOf adds the relays from a node to all other nodes and to the external services that are not direct.
func (c *Cluster) addRelaysOf(node *Node) error {
	for _, other := range c.Nodes {
		if other == node {
			continue
		}
		if err := c.addRelay(node.Number, node.Name, other.Name, other.Address, other.Number); err != nil {
			return err
		}
	}
	for i, service := range c.services {
		if service.Direct {
			continue
		}
		if err := c.addRelay(node.Number, node.Name, service.Name, service.Address, firstServiceNumber+i); err != nil {
			return err
		}
	}
	return nil
}

// addRelay adds the relay from the peer with the given number to the peer with the number toNumber at address.
func (c *Cluster) addRelay(number int, from, to, address string, toNumber int) error {
	r, err := newRelay(c.relayAddress(number, toNumber), address, c.link(from, to), c.link(to, from))
	if err != nil {
		return err
	}
	c.relays = append(c.relays, r)
	return nil
}

// relayAddress returns the address at which the peer with the number from reaches the peer with the number to.
func (c *Cluster) relayAddress(from, to int) string {
	return fmt.Sprintf("%s.%d:%d", c.host, from+1, firstRelayPort+to)
}

// Voters returns all voters of the fleet.
func (c *Cluster) Voters() []quorum.Voter {
	var voters []quorum.Voter
	for _, n := range c.voterNodes() {
		voters = append(voters, quorum.Voter{Name: n.Name, Address: n.Address})
	}
	return voters
}

func (c *Cluster) voterNodes() []*Node { return c.Nodes[:c.options.Voters] }

// Start starts all nodes at once and waits until each listens on its admin address.
func (c *Cluster) Start() error {
	errs := make([]error, len(c.Nodes))
	var all sync.WaitGroup
	for i, n := range c.Nodes {
		all.Go(func() { errs[i] = n.Start() })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Close kills all processes and closes all relays, and waits until they have ended.
func (c *Cluster) Close() {
	var all sync.WaitGroup
	for _, n := range c.Nodes {
		if p := n.Process(); p != nil {
			all.Go(p.Kill)
		}
	}
	all.Wait()
	for _, r := range c.relays {
		all.Go(r.close)
	}
	all.Wait()
	c.client.CloseIdleConnections()
}

// TaskLeader returns the first running node whose status says that it leads the leader-only task, or nil.
func (c *Cluster) TaskLeader(task string) *Node {
	for _, n := range c.Nodes {
		if n.Up() && n.leadsTask(task) {
			return n
		}
	}
	return nil
}

// Leader returns the first running voter whose status says that it leads the quorum, or nil.
func (c *Cluster) Leader() *Node {
	for _, n := range c.voterNodes() {
		if n.Up() && n.leadsQuorum() {
			return n
		}
	}
	return nil
}

// Listen opens a TCP listener on a free loopback port for an external service.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
