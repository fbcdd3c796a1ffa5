package cluster

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/gateway"
	"robindrum/internal/quorum"
	"robindrum/internal/testbed/proc"
)

// Options are what a cluster is made of.
type Options struct {
	Binary string // robindrum
	Dir    string // for folders and files
	Name   string // of the fleet
	Nodes  int    // processes
	Voters int    // the first ones; 0: as many as there can be, up to 5
	// Witness has the last voter be a witness.
	Witness   bool
	Sites     []string // of the nodes, in turn
	Lease     time.Duration
	Heartbeat time.Duration // the voters' heartbeat
	Probe     time.Duration
	// Posts are duties by name, each to an end outside.
	Posts        map[string]*ExternalService
	PostInterval time.Duration // between two posts
	// XDS is the control plane, an end outside; nil: a static cluster.
	XDS     *ExternalService
	Variant string // of xDS; empty: the program's default
	// ExtraFleetConfig and File are more lines of the block `fleet:` and of the file; nil: none.
	ExtraFleetConfig, ExtraConfig func(i int) string
	// Binaries are other programs than Binary, by node: an earlier version.
	Binaries map[int]string
	// Versions has the nodes supervised: programs by label, of which they run Version at first.
	Versions map[string]string
	Version  string
	// NoFleet leaves the block out.
	NoFleet    bool
	MaxLogSize string // most_bytes of the voters' logs
	Seed       uint64
	OnLogLine  func(node int, line string) // of the logs; nil: nobody looks
}

// ExternalService is something outside of the fleet that its members reach: each over a relay of its own.
type ExternalService struct {
	Name    string
	Address string
	Direct  bool // reached without a relay
}

// Node is one process and its place.
type Node struct {
	Number          int
	Name, Address   string
	Admin, Web, Dir string
	Witness         bool
	cluster         *Cluster
	mu              sync.Mutex
	process         *proc.Process
	starts          int
	epoch           int // changes with each start, freeze and thaw
	frozen          bool
	listening       bool   // it listens for operators
	binary          string // in place of the options'; empty: theirs
}

// Cluster is the fleet. Its methods may be called by several goroutines at once.
type Cluster struct {
	opt      Options
	host     string // of all addresses, 127.x.y
	Nodes    []*Node
	services []*ExternalService
	relays   []*relay
	links    map[[2]string]*link // from, to
	client   *http.Client
}

// clusters of this process, each with addresses of its own.
var clusters atomic.Uint32

// New makes the places and the relays. Nothing runs before Start.
func New(opt Options) (*Cluster, error) {
	c := &Cluster{opt: opt, links: map[[2]string]*link{}, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
	c.opt.Name = cmp.Or(opt.Name, "rig")
	c.opt.Lease, c.opt.Heartbeat, c.opt.Probe = cmp.Or(opt.Lease, time.Second), cmp.Or(opt.Heartbeat, 100*time.Millisecond), cmp.Or(opt.Probe, 100*time.Millisecond)
	c.opt.PostInterval = cmp.Or(opt.PostInterval, 20*time.Millisecond)
	if c.opt.Voters == 0 {
		c.opt.Voters = map[bool]int{true: 1, false: 3}[opt.Nodes < 3]
	}
	// Addresses below the ports that outgoing connections take, on a part of 127/8 that is this process's.
	n := uint32(os.Getpid())*16 + clusters.Add(1)
	c.host = fmt.Sprintf("127.%d.%d", 16+n>>8&0x7f, n&0xff)
	for i := range opt.Nodes {
		node := &Node{Number: i, Name: fmt.Sprintf("n%d", i), cluster: c, Dir: filepath.Join(opt.Dir, fmt.Sprintf("n%d", i)), Witness: opt.Witness && i == c.opt.Voters-1}
		ip := fmt.Sprintf("%s.%d", c.host, i+1)
		node.Address, node.Admin, node.Web = ip+":7600", ip+":7601", ip+":7602"
		if err := os.MkdirAll(node.Dir, 0o700); err != nil {
			return nil, err
		}
		c.Nodes = append(c.Nodes, node)
	}
	for _, e := range opt.Posts {
		c.services = append(c.services, e)
	}
	if opt.XDS != nil {
		c.services = append(c.services, opt.XDS)
	}
	for _, a := range c.Nodes {
		for _, b := range c.Nodes {
			if a != b {
				if err := c.addRelay(a.Number, a.Name, b.Name, b.Address, b.Number); err != nil {
					c.Close()
					return nil, err
				}
			}
		}
		for i, e := range c.services {
			if e.Direct {
				continue
			}
			if err := c.addRelay(a.Number, a.Name, e.Name, e.Address, 200+i); err != nil {
				c.Close()
				return nil, err
			}
		}
	}
	return c, nil
}

func (c *Cluster) relayAddress(from, to int) string {
	return fmt.Sprintf("%s.%d:%d", c.host, from+1, 8000+to)
}

func (c *Cluster) addRelay(number int, from, to, addr string, at int) error {
	r, err := newRelay(c.relayAddress(number, at), addr, c.link(from, to), c.link(to, from))
	if err == nil {
		c.relays = append(c.relays, r)
	}
	return err
}

func (c *Cluster) link(from, to string) *link {
	k := [2]string{from, to}
	if c.links[k] == nil {
		c.links[k] = newLink(c.opt.Seed + uint64(len(c.links)))
	}
	return c.links[k]
}

// Set changes what is on the way from one end to another, by name: one direction.
func (c *Cluster) Set(from, to string, w LinkState) {
	if p := c.links[[2]string{from, to}]; p != nil {
		p.set(w)
	}
}

// SetBoth changes both directions.
func (c *Cluster) SetBoth(a, b string, w LinkState) {
	c.Set(a, b, w)
	c.Set(b, a, w)
}

// Isolate cuts a node off from all other nodes; ends outside are still reached.
func (c *Cluster) Isolate(n *Node, w LinkState) {
	for _, o := range c.Nodes {
		c.SetBoth(n.Name, o.Name, w)
	}
}

// Heal has all ways carry all.
func (c *Cluster) Heal() {
	for _, p := range c.links {
		p.set(LinkState{})
	}
}

// Ends are addresses as a node reaches them.
func (n *Node) serviceAddress(e *ExternalService) string {
	for i, x := range n.cluster.services {
		if x == e && !e.Direct {
			return n.cluster.relayAddress(n.Number, 200+i)
		}
	}
	return e.Address
}

// Voters are all voters of the fleet.
func (c *Cluster) Voters() (l []quorum.Voter) {
	for _, n := range c.Nodes[:c.opt.Voters] {
		l = append(l, quorum.Voter{Name: n.Name, Address: n.Address})
	}
	return l
}

// configuration is a node's configuration.
func (n *Node) configuration() string {
	c, o := n.cluster, &n.cluster.opt
	var b strings.Builder
	fmt.Fprintf(&b, "log: {format: json, level: info}\nadmin: {address: %q, remote: true}\n", n.Admin)
	if !n.Witness {
		fmt.Fprintf(&b, "listeners: [{name: web, address: %q}]\nlimits: {drain: 2s}\ngateway: {number: %d, of: %d}\n", n.Web, n.Number, o.Nodes)
		if o.ExtraConfig != nil {
			b.WriteString(o.ExtraConfig(n.Number))
		} else {
			b.WriteString("clusters: [{name: c, endpoints: [{address: \"127.0.0.1:9\"}]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n")
		}
		if o.XDS != nil {
			fmt.Fprintf(&b, "xds: {servers: [%q], variant: %s, node: {id: %q}, clusters: true, backoff_base: 100ms, backoff_most: 1s, connect_timeout: 1s, initial_fetch_timeout: 5s}\n", n.serviceAddress(o.XDS), cmp.Or(o.Variant, "sotw"), n.Name)
		}
	}
	if o.NoFleet {
		return b.String()
	}
	fmt.Fprintf(&b, "fleet:\n  name: %s\n  member: %s\n  address: %q\n  remote: true\n  probe: %v\n  lease: %v\n", o.Name, n.Name, n.Address, o.Probe, o.Lease)
	if len(o.Sites) > 0 {
		fmt.Fprintf(&b, "  site: %s\n", o.Sites[n.Number%len(o.Sites)])
	}
	b.WriteString("  seeds: [")
	for _, v := range c.Nodes[:min(3, len(c.Nodes))] {
		fmt.Fprintf(&b, "%q, ", v.Address)
	}
	b.WriteString("]\n  via:\n")
	for _, p := range c.Nodes {
		if p != n {
			fmt.Fprintf(&b, "    - {member: %q, at: %q}\n", p.Address, c.relayAddress(n.Number, p.Number))
		}
	}
	fmt.Fprintf(&b, "  quorum:\n    heartbeat: %v\n    folder: votes\n    most_bytes: %s\n    voters:\n", o.Heartbeat, cmp.Or(o.MaxLogSize, "64MiB"))
	for _, v := range c.Voters() {
		fmt.Fprintf(&b, "      - {name: %s, address: %q}\n", v.Name, v.Address)
	}
	if !n.Witness && len(o.Posts) > 0 {
		b.WriteString("  posts:\n")
		for name, e := range o.Posts {
			fmt.Fprintf(&b, "    - {name: %s, url: \"http://%s/\", every: %v, timeout: 30s}\n", name, n.serviceAddress(e), o.PostInterval)
		}
	}
	if o.ExtraFleetConfig != nil && !n.Witness {
		b.WriteString(o.ExtraFleetConfig(n.Number))
	}
	return b.String()
}

// Start starts all nodes at once.
func (c *Cluster) Start() error {
	errs := make([]error, len(c.Nodes))
	var all sync.WaitGroup
	for i, n := range c.Nodes {
		all.Go(func() { errs[i] = n.Start() })
	}
	all.Wait()
	return errors.Join(errs...)
}

// SetBinary has its next start run another program; it is for one goroutine at a time.
func (n *Node) SetBinary(binary string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.binary = binary
}

// Start starts a node's process, with the folder as it is.
func (n *Node) Start() error {
	path := filepath.Join(n.Dir, "robindrum.yaml")
	if err := os.WriteFile(path, []byte(n.configuration()), 0o600); err != nil {
		return err
	}
	verb := "serve"
	if n.Witness {
		verb = "witness"
	}
	up := make(chan struct{})
	var once sync.Once
	n.mu.Lock()
	binary := cmp.Or(n.binary, n.cluster.opt.Binaries[n.Number], n.cluster.opt.Binary)
	n.mu.Unlock()
	args := []string{verb, "--with-parent", "-c", path}
	if len(n.cluster.opt.Versions) > 0 && !n.Witness {
		if err := n.createVersionsDir(); err != nil {
			return err
		}
		args = append([]string{"supervise", "--with-parent", "--folder", n.Dir, "--pause", "100ms", "--longest-pause", "1s", "--"}, args...)
	}
	p, err := proc.Start(n.Name, binary, func(line string) {
		if strings.Contains(line, `"listening for operators"`) {
			once.Do(func() { close(up) })
		}
		if n.cluster.opt.OnLogLine != nil {
			n.cluster.opt.OnLogLine(n.Number, line)
		}
	}, args...)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process, n.frozen, n.listening = p, false, false
	n.starts++
	n.epoch++
	n.mu.Unlock()
	select {
	case <-up:
		n.mu.Lock()
		n.listening = true
		n.mu.Unlock()
		return nil
	case <-p.Exited:
		return p.Died()
	case <-time.After(20 * time.Second):
		p.Kill()
		return fmt.Errorf("%s did not come up", n.Name)
	}
}

// createVersionsDir lays out the folder of a node's supervisor where there is none.
func (n *Node) createVersionsDir() error {
	if err := os.Mkdir(filepath.Join(n.Dir, "versions"), 0o700); err != nil {
		if os.IsExist(err) {
			return nil
		}
		return err
	}
	for label, program := range n.cluster.opt.Versions {
		if err := os.Link(program, filepath.Join(n.Dir, "versions", label)); err != nil {
			return err
		}
	}
	return os.Symlink(filepath.Join("versions", n.cluster.opt.Version), filepath.Join(n.Dir, "current"))
}

// Process is its process; nil: it was never started.
func (n *Node) Process() *proc.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Starts is how often its process was started.
func (n *Node) Starts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// Epoch changes with each start, freeze and thaw: what was known of it before says nothing of it now.
func (n *Node) Epoch() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch
}

// Up tells whether its process has come up, runs and is not frozen.
func (n *Node) Up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil && n.listening && n.process.Running() && !n.process.Killed() && !n.frozen
}

// Kill ends its process at once.
func (n *Node) Kill() {
	if p := n.Process(); p != nil {
		p.Kill()
	}
}

// Freeze stops its process in the middle of whatever it does.
func (n *Node) Freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = true
	n.epoch++
	n.process.Freeze()
}

// Thaw has it go on.
func (n *Node) Thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = false
	n.epoch++
	n.process.Thaw()
}

// Restart starts it again: with its folder, or with an empty one.
func (n *Node) Restart(empty bool) error {
	n.Kill()
	if empty {
		if err := os.RemoveAll(n.VoterDir()); err != nil {
			return err
		}
	}
	return n.Start()
}

// RestartAs has a supervised node run another version as a plain script does: told to end, linked, started.
func (n *Node) RestartAs(version string) error {
	if p := n.Process(); p != nil {
		p.Stop(20 * time.Second)
	}
	link := filepath.Join(n.Dir, "current")
	if err := os.Remove(link); err != nil {
		return err
	}
	if err := os.Symlink(filepath.Join("versions", version), link); err != nil {
		return err
	}
	return n.Start()
}

// VoterDir is the folder of its vote.
func (n *Node) VoterDir() string { return filepath.Join(n.Dir, "votes") }

// Close ends all processes and relays.
func (c *Cluster) Close() {
	var all sync.WaitGroup
	for _, n := range c.Nodes {
		if p := n.Process(); p != nil {
			all.Go(func() { p.Kill() })
		}
	}
	all.Wait()
	for _, r := range c.relays {
		all.Go(r.close)
	}
	all.Wait()
	c.client.CloseIdleConnections()
}

// Get asks a node's admin listener.
func (n *Node) Get(path string, v any) error {
	resp, err := n.cluster.client.Get("http://" + n.Admin + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return fmt.Errorf("%s: %s: %s", n.Name, resp.Status, text)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// Fleet is what a node says of its fleet.
func (n *Node) Fleet() (s fleet.Status, err error) {
	err = n.Get("/fleet", &s)
	return s, err
}

// Status is what a gateway says of itself.
func (n *Node) Status() (s gateway.Status, err error) {
	err = n.Get("/status", &s)
	return s, err
}

// SendDrain has a node's admin listener pass on an order: what is drain, undrain, halt or resume.
func (n *Node) SendDrain(what string, o drain.Request) (x drain.Request, err error) {
	err = n.post("/fleet/"+what, o, &x)
	return x, err
}

// Releases are the fleet's, as the quorum says to a node.
func (n *Node) Releases() (l quorum.ReleaseList, err error) {
	err = n.Get("/fleet/releases", &l)
	return l, err
}

// SendRelease has a node's admin listener pass on a command about releases.
func (n *Node) SendRelease(c quorum.Command) error { return n.post("/fleet/release", c, nil) }

// post asks a node's admin listener for something; out may be nil.
func (n *Node) post(path string, in, out any) error {
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := n.cluster.client.Post("http://"+n.Admin+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return fmt.Errorf("%s: %s: %s", n.Name, resp.Status, text)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// DrainRequests are all orders, as the quorum says to a node, by id.
func (n *Node) DrainRequests() (map[string]drain.Request, error) {
	var l quorum.DrainList
	m := map[string]drain.Request{}
	err := n.Get("/fleet/orders", &l)
	for _, o := range l.Requests {
		m[o.ID] = o
	}
	return m, err
}

// Ready tells whether a gateway says that it is ready.
func (n *Node) Ready() bool {
	resp, err := n.cluster.client.Get("http://" + n.Admin + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Leases are what the quorum says to a node.
func (n *Node) Leases() (l quorum.LeaseList, err error) {
	err = n.Get("/fleet/leases", &l)
	return l, err
}

// TaskLeader is the node that holds a duty by its own word; nil: none does.
func (c *Cluster) TaskLeader(duty string) *Node {
	for _, n := range c.Nodes {
		if !n.Up() {
			continue
		}
		s, err := n.Fleet()
		if err != nil {
			continue
		}
		for _, d := range s.Tasks {
			if d.Name == duty && d.State == "holding" {
				return n
			}
		}
	}
	return nil
}

// Leader is the node that leads the quorum by its own word; nil: none does.
func (c *Cluster) Leader() *Node {
	for _, n := range c.Nodes[:c.opt.Voters] {
		if !n.Up() {
			continue
		}
		if s, err := n.Fleet(); err == nil && s.Vote != nil && s.Vote.State == "leader" {
			return n
		}
	}
	return nil
}

// Await waits until ok, looking again and again.
func Await(ctx context.Context, what string, within time.Duration, ok func() bool) error {
	for end := time.Now().Add(within); ; {
		if ok() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("within %v never came: %s", within, what)
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
}

// Listen opens an address for an end outside.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
