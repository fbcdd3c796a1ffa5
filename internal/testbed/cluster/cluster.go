// Package cluster runs processes of the built program as a fleet, each with a directory and an address of its own and a relay for
// TCP and UDP to each other one. Seeded schedules inject faults into processes and links, and audits check what the fleet does to
// the outside.
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
	// Binary is the path of the program, Dir a directory for the nodes' files.
	Binary string
	Dir    string
	// Binaries are other programs than Binary, by node.
	Binaries map[int]string
	// Versions has the gateways run under supervisors, with these programs by label. They run Version first.
	Versions map[string]string
	Version  string

	// Name of the fleet; empty: "rig".
	Name string
	// NoFleet leaves the block `fleet:` out of the configuration.
	NoFleet bool
	// Nodes is how many processes there are, the first Voters of which vote; 0 voters: three, or one if there are fewer nodes.
	Nodes  int
	Voters int
	// Witness has the last voter be a witness.
	Witness bool
	// Sites are those of the nodes, in turn.
	Sites []string

	Lease     time.Duration // 0: 1 s
	Heartbeat time.Duration // of the voters; 0: 100 ms
	Probe     time.Duration // interval of the membership probes; 0: 100 ms
	// MaxLogSize of a voter's log, as in the configuration; empty: 64MiB.
	MaxLogSize string

	// Posts are leader-only tasks by name, each of which posts to an external service once per PostInterval (0: 20 ms).
	Posts        map[string]*ExternalService
	PostInterval time.Duration
	// XDS is the control plane; nil: a static cluster.
	XDS *ExternalService
	// Variant of xDS; empty: state of the world.
	Variant string
	// ExtraFleetConfig and ExtraConfig return more lines of a node's block `fleet:` and of its configuration; nil: none.
	ExtraFleetConfig func(node int) string
	ExtraConfig      func(node int) string

	// Seed of the links' random numbers.
	Seed uint64
	// OnLogLine is called with each line that a node logs, by a goroutine a node; nil: lines are dropped.
	OnLogLine func(node int, line string)
}

// Defaults of Options, and ports of a node.
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
	// relayPort and on are a node's relays, by number of the peer.
	relayPort = 8000
	// Numbers of peers that are no nodes.
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

// ExternalService is a server outside of the fleet. Each node reaches it over a relay of its own.
type ExternalService struct {
	Name    string
	Address string
	Direct  bool // reached without a relay
}

// Cluster is a fleet of processes. Its methods may be called by several goroutines at once.
type Cluster struct {
	Nodes []*Node

	options  Options
	host     string // prefix of all addresses, 127.x.y
	services []*ExternalService
	relays   []*relay
	links    map[linkKey]*link
	client   *http.Client
}

// clusterCount is how many clusters this process has created, so that each has addresses of its own.
var clusterCount atomic.Uint32

// New creates the nodes' directories and the relays between them. No process runs before Start. Close must be called.
func New(options Options) (*Cluster, error) {
	c := &Cluster{
		options: options.withDefaults(),
		host:    nextHost(),
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
	for _, service := range options.Posts {
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

// nextHost returns a prefix in a part of 127/8 that is this process's own. Addresses there do not collide with the ports of
// outgoing connections.
func nextHost() string {
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

// addRelaysOf adds the relays from a node to all other nodes and external services.
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

// addRelay adds the relay from the peer with number to another one, which has the number toNumber.
func (c *Cluster) addRelay(number int, from, to, address string, toNumber int) error {
	r, err := newRelay(c.relayAddress(number, toNumber), address, c.link(from, to), c.link(to, from))
	if err != nil {
		return err
	}
	c.relays = append(c.relays, r)
	return nil
}

// relayAddress is where the peer with the number from reaches the one with the number to.
func (c *Cluster) relayAddress(from, to int) string {
	return fmt.Sprintf("%s.%d:%d", c.host, from+1, relayPort+to)
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

// Close kills all processes, closes all relays and waits for both.
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

// TaskLeader asks the running nodes and returns one that leads a leader-only task by its own account, or nil.
func (c *Cluster) TaskLeader(task string) *Node {
	for _, n := range c.Nodes {
		if n.Up() && n.leadsTask(task) {
			return n
		}
	}
	return nil
}

// Leader asks the running voters and returns one that leads the quorum by its own account, or nil.
func (c *Cluster) Leader() *Node {
	for _, n := range c.voterNodes() {
		if n.Up() && n.leadsQuorum() {
			return n
		}
	}
	return nil
}

// Listen opens a loopback address for an external service.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
