// Package config is the gateway's file: its schema, its defaults and what makes it unusable. A file is read and checked
// as a whole before anything starts; all that is wrong with it comes at once, each with file, line, column and field.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"robindrum/internal/ratelimit"
	"robindrum/internal/route"

	"go.yaml.in/yaml/v3"
)

// File is the whole of it.
type File struct {
	Zone      string     `yaml:"zone"`    // where this gateway stands
	Gateway   Gateway    `yaml:"gateway"` // which one it is
	Listeners []Listener `yaml:"listeners"`
	Admin     Admin      `yaml:"admin"`
	Log       Log        `yaml:"log"`
	Limits    Limits     `yaml:"limits"`
	Classes   []Class    `yaml:"classes"`
	XDS       *XDS       `yaml:"xds,omitempty"`
	Clusters  []Cluster  `yaml:"clusters"`
	Zones     *Zones     `yaml:"zones,omitempty"`
	Fleet     *Fleet     `yaml:"fleet,omitempty"`
	Sites     *Sites     `yaml:"sites,omitempty"`
	Routes    []Route    `yaml:"routes"`

	RateLimits []RateLimit `yaml:"rate_limits,omitempty"`

	path string
	dir  string
	text []byte
}

// Gateway is this one among those before the same servers.
type Gateway struct {
	Index int `yaml:"number"` // from 0
	Count int `yaml:"of"`
}

// Listener is where clients connect, over HTTP/1.1.
type Listener struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Admin is where the operators ask.
type Admin struct {
	Address string `yaml:"address"` // "none": nowhere
	// AllowRemote allows an address that is not on loopback. What answers there is not protected in any way.
	AllowRemote bool `yaml:"remote"`
}

// Log says how lines are written.
type Log struct {
	Format string `yaml:"format"` // text or json
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// Limits are the process's, and what each cluster gets of them unless it says otherwise.
type Limits struct {
	Descriptors int      `yaml:"descriptors"` // connections of clients and to endpoints
	Memory      Size     `yaml:"memory"`      // of requests' bodies
	Requests    int      `yaml:"requests"`    // without their answer
	Body        Size     `yaml:"body"`        // of one request
	Drain       Duration `yaml:"drain"`       // what a stop waits for answers at the most
	PerCluster  Quota    `yaml:"per_cluster"`
}

// Quota is one cluster's of the limits.
type Quota struct {
	Guaranteed Amount `yaml:"guaranteed"` // its own, whatever the other clusters do
	Max        Amount `yaml:"most"`       // 0: as the whole
}

// Amount is a part of each limit.
type Amount struct {
	Descriptors int  `yaml:"descriptors"`
	Memory      Size `yaml:"memory"`
	Requests    int  `yaml:"requests"`
}

// Zones has zones and priorities taken as tiers of preference, with a limit on what goes to another zone and a gradual way
// back. Where it is missing another zone is only weighed by its price.
type Zones struct {
	Tiers           [][]string `yaml:"tiers,omitempty"` // zones in order of preference; "*": all others; none: the own one, then all others
	Overprovision   float64    `yaml:"overprovisioning_factor"`
	PanicThreshold  *float64   `yaml:"panic_threshold"` // as a fraction of a tier's endpoints
	FailHold        Duration   `yaml:"fail_hold"`       // bad evidence for so long: failing
	DarkHold        Duration   `yaml:"dark_hold"`       // worse evidence for so long: dark
	UpHold          Duration   `yaml:"up_hold"`         // good evidence for so long: up again
	MinHold         Duration   `yaml:"hold"`            // dark at the least, twice as long each time
	MaxHold         Duration   `yaml:"most_hold"`
	ProbeInterval   Duration   `yaml:"probe"`         // between probes of a dark zone
	Step            Duration   `yaml:"step"`          // of the way back, at the least
	InitialShare    float64    `yaml:"first_share"`   // of its load, that a returning zone begins with; doubled each step
	InitialCapacity float64    `yaml:"first_room"`    // requests at once that may go where nothing is known, over all gateways
	Tolerance       float64    `yaml:"tolerance"`     // latency over its best at which another zone is busy
	OwnTolerance    float64    `yaml:"own_tolerance"` // the same of the own zone
	Floor           *float64   `yaml:"floor"`         // of a zone's room, for each class whatever its worth
	RetryBudget     *float64   `yaml:"retry_budget"`  // retries out at a zone, as a part of all that is out there
	MinRetries      int        `yaml:"retry_least"`   // and so many in any case
}

// Class is a kind of request.
type Class struct {
	Name             string   `yaml:"name"`
	LatencyObjective Duration `yaml:"wanted"`   // an answer within it is in time
	Deadline         Duration `yaml:"deadline"` // over all tries
	PriorityWeight   float64  `yaml:"worth"`
	Effect           Effect   `yaml:"effect"`
	Group            Group    `yaml:"group"`  // keyed only
	Window           Duration `yaml:"window"` // keyed only: repeats are dropped for so long
}

// Cluster is a set of endpoints that serve the same. Exactly one of Endpoints, File and XDS says which they are.
type Cluster struct {
	Name      string      `yaml:"name"`
	Endpoints []Endpoint  `yaml:"endpoints,omitempty"`
	File      *FileSource `yaml:"file,omitempty"`
	XDS       *XDSSource  `yaml:"xds,omitempty"`
	Quota     *Quota      `yaml:"limits,omitempty"`

	ConnectTimeout Duration `yaml:"connect_timeout"`
	IdleTimeout    Duration `yaml:"idle_timeout"` // of a connection to an endpoint
	Attempts       int      `yaml:"attempts"`     // of one request, all together
	Hedge          *bool    `yaml:"hedge"`        // a second copy of what is overdue
	WarmUp         WarmUp   `yaml:"warm_up"`
	CrossZone      *float64 `yaml:"cross_zone_price"` // of a request served in another zone, as a part of its worth
	DrainGrace     Duration `yaml:"drain_grace"`

	Overload Overload `yaml:"overload"`
	Breakers Breakers `yaml:"circuit_breakers"`
}

// Overload is how a cluster's requests are admitted; see package admission.
type Overload struct {
	Mode        Mode           `yaml:"mode"`         // adaptive, fixed or off
	PerEndpoint int            `yaml:"per_endpoint"` // requests in flight for each endpoint that an adaptive limit begins with
	Limit       int            `yaml:"limit"`        // requests in flight, of a fixed one
	MaxWait     Duration       `yaml:"max_wait"`     // of a request before it starts; 0: what its class's wanted time leaves
	MaxWaiting  Size           `yaml:"max_waiting"`  // of the bodies of requests that wait; 0: the cluster's part of limits.memory alone
	Floor       *float64       `yaml:"floor"`        // of starts, for each class with waiting requests whatever its worth
	Retries     RetryAllowance `yaml:"retries"`
}

// RetryAllowance is what retries a cluster's requests earn, hedges included.
type RetryAllowance struct {
	Ratio *float64 `yaml:"ratio"` // by each request
	Rate  *float64 `yaml:"rate"`  // a second, in any case
	TTL   Duration `yaml:"ttl"`   // how long they are kept
}

// Breakers are Envoy's circuit breakers, with its meaning. 0: no bound.
type Breakers struct {
	MaxConnections int          `yaml:"max_connections"`
	MaxRequests    int          `yaml:"max_requests"`
	MaxPending     int          `yaml:"max_pending_requests"` // requests that wait to start; 1024 where it is left out
	MaxRetries     int          `yaml:"max_retries"`          // in flight
	RetryBudget    *RetryBudget `yaml:"retry_budget,omitempty"`
	// High is of requests on routes of the priority high, which are counted apart; nil: no bounds but 1024 that wait.
	// Connections to endpoints are shared, its max_connections is not read.
	High *Breakers `yaml:"high,omitempty"`
}

// RetryBudget bounds retries in flight by requests in flight or waiting. It takes the place of max_retries.
type RetryBudget struct {
	Percent        float64 `yaml:"budget_percent"`
	MinConcurrency int     `yaml:"min_retry_concurrency"`
}

// WarmUp is how a server that has just started takes load.
type WarmUp struct {
	Time         Duration `yaml:"time"`
	InitialShare float64  `yaml:"share"` // of its capacity, at first
	// OverloadMultiple is the multiple of its warm share above which it falls over.
	OverloadMultiple float64 `yaml:"most"`
}

// Endpoint is one server of a static cluster.
type Endpoint struct {
	Address  string  `yaml:"address"`
	Zone     string  `yaml:"zone,omitempty"`
	Kind     string  `yaml:"kind,omitempty"`
	Cell     int     `yaml:"cell,omitempty"`
	Weight   float64 `yaml:"weight"`
	Priority int     `yaml:"priority,omitempty"`
}

// FileSource is a file of xDS resources, in JSON or YAML.
type FileSource struct {
	Path    string `yaml:"path"`
	Service string `yaml:"service,omitempty"` // the ClusterLoadAssignment's cluster_name; the cluster's where empty
}

// XDSSource asks the control plane.
type XDSSource struct {
	Service string `yaml:"service,omitempty"` // the ClusterLoadAssignment's cluster_name; the cluster's where empty
}

// XDS is how control planes are spoken to, or which file stands in for them.
type XDS struct {
	Servers         []string `yaml:"servers,omitempty"` // asked in this order
	Path            string   `yaml:"path,omitempty"`    // a file of resources in place of servers
	Variant         Variant  `yaml:"variant"`
	Node            Node     `yaml:"node"`
	Clusters        bool     `yaml:"clusters"`                      // take all clusters that it names (CDS)
	RouteConfigName string   `yaml:"route_configuration,omitempty"` // take the routes of this RouteConfiguration behind the file's own

	ListenerName string `yaml:"listener,omitempty"` // take the routes that this Listener names

	InitialFetchTimeout Duration `yaml:"initial_fetch_timeout"`
	ConnectTimeout      Duration `yaml:"connect_timeout"`
	BackoffBase         Duration `yaml:"backoff_base"`
	MaxBackoff          Duration `yaml:"backoff_most"`
	Keepalive           Duration `yaml:"keepalive"` // a control plane that is silent twice so long is gone
	MaxMessageBytes     Size     `yaml:"message"`   // the longest that is read
}

// Node is how the gateway calls itself toward control planes.
type Node struct {
	ID      string `yaml:"id"`
	Cluster string `yaml:"cluster"`
}

// Route is one rule; see package route for the order of precedence.
type Route struct {
	Name     string     `yaml:"name"`
	Match    Match      `yaml:"match"`
	Cluster  string     `yaml:"cluster,omitempty"`
	Clusters []Weighted `yaml:"clusters,omitempty"`
	Class    string     `yaml:"class,omitempty"` // none: default-safe for GET, HEAD and OPTIONS, else default-unsafe
	Key      Key        `yaml:"key,omitempty"`
	Tenant   Key        `yaml:"tenant,omitempty"`   // whose request it is: tenants take turns where requests wait
	Priority string     `yaml:"priority,omitempty"` // default or high: which circuit breakers count
}

// RateLimit bounds how often requests with the same key may come, over all gateways. Empty lists cover all.
type RateLimit struct {
	Name      string   `yaml:"name"`
	Listeners []string `yaml:"listeners,omitempty"`
	Routes    []string `yaml:"routes,omitempty"`
	Classes   []string `yaml:"classes,omitempty"`
	Key       RateKey  `yaml:"key"`
	Rate      float64  `yaml:"rate"`  // requests a second
	Burst     int      `yaml:"burst"` // requests at once
	Keys      int      `yaml:"keys"`  // that are counted by themselves at the same time
}

// RateKey says what tells the clients of a limit apart; nothing set: all are one.
type RateKey struct {
	Header  string         `yaml:"header,omitempty"`
	Cookie  string         `yaml:"cookie,omitempty"`
	Address *AddressPrefix `yaml:"address,omitempty"` // of the client's connection
}

// AddressPrefix is the part of an address that stands for one client, in bits.
type AddressPrefix struct {
	IPv4 int `yaml:"ipv4"`
	IPv6 int `yaml:"ipv6"`
}

// Match is what a route asks of a request.
type Match struct {
	Hosts    []string    `yaml:"hosts,omitempty"`
	Path     string      `yaml:"path,omitempty"`
	Prefix   string      `yaml:"prefix,omitempty"`
	Template string      `yaml:"template,omitempty"`
	Methods  []string    `yaml:"methods,omitempty"`
	Headers  []Condition `yaml:"headers,omitempty"`
	Query    []Condition `yaml:"query,omitempty"`
}

// Condition holds where the named value is there and is, begins, ends or contains what is set.
type Condition struct {
	Name     string  `yaml:"name"`
	Exact    *string `yaml:"exact,omitempty"`
	Prefix   *string `yaml:"prefix,omitempty"`
	Suffix   *string `yaml:"suffix,omitempty"`
	Contains *string `yaml:"contains,omitempty"`
	Not      bool    `yaml:"not,omitempty"`
}

// Weighted is a cluster's part of a route.
type Weighted struct {
	Name   string `yaml:"name"`
	Weight uint32 `yaml:"weight"`
}

// Key says where a request's key stands.
type Key struct {
	Header string `yaml:"header,omitempty"`
	Query  string `yaml:"query,omitempty"`
	Path   string `yaml:"path,omitempty"`
}

// The classes that a route takes where it names none.
const (
	DefaultSafeClass   = "default-safe"
	DefaultUnsafeClass = "default-unsafe"
)

// Load reads and checks a file.
func Load(path string) (*File, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Errors{{File: path, Reason: err.Error()}}
	}
	return text, nil
}

// Parse checks a file's text and fills in the defaults. The error is of type Errors.
func Parse(path string, text []byte) (*File, error) {
	d := &decoder{file: path}
	f := &File{path: path, dir: filepath.Dir(path), text: text}
	d.decode(text, f)
	if err := d.err(); err != nil {
		return nil, err
	}
	f.fill()
	f.check(d)
	if err := d.err(); err != nil {
		return nil, err
	}
	return f, nil
}

// releaseSections are the sections that a release may bring. The others are this process's own.
var releaseSections = []string{"classes", "clusters", "routes", "rate_limits", "zones", "xds"}

// With gives the file with a release's sections in place of its own.
func (f *File) With(release string) (*File, error) {
	var mine, theirs yaml.Node
	if err := yaml.Unmarshal(f.text, &mine); err != nil {
		return nil, err
	}
	if err := yaml.Unmarshal([]byte(release), &theirs); err != nil {
		return nil, fmt.Errorf("the release: %w", err)
	}
	if len(theirs.Content) != 1 || theirs.Content[0].Kind != yaml.MappingNode || len(mine.Content) != 1 || mine.Content[0].Kind != yaml.MappingNode {
		return nil, errors.New("the release: want sections by name")
	}
	own := mine.Content[0]
	l := theirs.Content[0].Content
	for i := 0; i+1 < len(l); i += 2 {
		key := l[i].Value
		if !slices.Contains(releaseSections, key) {
			return nil, fmt.Errorf("the release: %s is each process's own; a release brings %s", key, strings.Join(releaseSections, ", "))
		}
		at := -1
		for j := 0; j+1 < len(own.Content); j += 2 {
			if own.Content[j].Value == key {
				at = j
			}
		}
		if at < 0 {
			own.Content = append(own.Content, l[i], l[i+1])
		} else {
			own.Content[at+1] = l[i+1]
		}
	}
	text, err := yaml.Marshal(&mine)
	if err != nil {
		return nil, fmt.Errorf("the release: %w", err)
	}
	n, err := Parse(f.path+" with the release", text)
	if err == nil {
		n.dir, n.text = f.dir, f.text
	}
	return n, err
}

// Path is the file's name, Resolve a name in it as seen from its folder.
func (f *File) Path() string { return f.path }

// Resolve gives a name in the file as seen from its folder.
func (f *File) Resolve(name string) string { return resolveIn(f.dir, name) }

func resolveIn(dir, name string) string {
	if filepath.IsAbs(name) || name == "" {
		return name
	}
	return filepath.Join(dir, name)
}

// Print gives the file with all that was left out.
func (f *File) Print() ([]byte, error) {
	var b strings.Builder
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(f); err != nil {
		return nil, fmt.Errorf("printing the configuration: %w", err)
	}
	return []byte(b.String()), nil
}

// QuotaOf is the part of a cluster's limits, by name; clusters that the file does not name have the usual one.
func (f *File) QuotaOf(c *Cluster) Quota {
	if c.Quota != nil {
		return *c.Quota
	}
	return f.Limits.PerCluster
}

func (f *File) check(d *decoder) {
	if len(f.Listeners) == 0 {
		d.errorAt("listeners", "none is given")
	}
	names := map[string]string{}
	once := func(kind, field, name string) {
		if name == "" {
			d.errorAt(field, "is missing")
			return
		}
		if first, ok := names[kind+name]; ok {
			d.errorAt(field, "%q is taken by %s", name, first)
			return
		}
		names[kind+name] = field
	}
	for i, l := range f.Listeners {
		once("listener ", fmt.Sprintf("listeners[%d].name", i), l.Name)
		checkAddress(d, fmt.Sprintf("listeners[%d].address", i), l.Address, true)
		if l.Address != "" {
			once("address ", fmt.Sprintf("listeners[%d].address", i), l.Address)
		}
	}
	f.checkAdmin(d)
	f.checkLog(d)
	if f.Gateway.Count < 1 || f.Gateway.Index < 0 || f.Gateway.Index >= f.Gateway.Count {
		d.errorAt("gateway", "number %d of %d: it counts from 0 and is below of", f.Gateway.Index, f.Gateway.Count)
	}
	classes := map[string]bool{}
	for i, c := range f.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		once("class ", field+".name", c.Name)
		classes[c.Name] = true
		if strings.Contains(c.Name, "!") {
			d.errorAt(field+".name", "%q: ! is not for names", c.Name)
		}
		if c.LatencyObjective > c.Deadline {
			d.errorAt(field+".wanted", "%v is longer than the deadline, %v", c.LatencyObjective.D(), c.Deadline.D())
		}
		if c.PriorityWeight <= 0 || c.PriorityWeight > 1e6 {
			d.errorAt(field+".worth", "want more than 0 and at most 1000000, not %v", c.PriorityWeight)
		}
		if c.Effect != 1 && (c.Window != 0 || c.Group != 0) {
			d.errorAt(field+".effect", "group and window are for keyed classes")
		}
		if c.Effect == 1 && c.Window == 0 {
			d.errorAt(field+".window", "a keyed class needs it: how long its servers drop repeats")
		}
	}
	clusters := map[string]bool{}
	for i := range f.Clusters {
		c := &f.Clusters[i]
		once("cluster ", fmt.Sprintf("clusters[%d].name", i), c.Name)
		clusters[c.Name] = true
		f.checkCluster(d, fmt.Sprintf("clusters[%d]", i), c)
	}
	f.checkXDS(d)
	f.checkZones(d)
	if f.Sites != nil {
		f.checkSites(d)
	}
	if f.Fleet != nil {
		f.Fleet.check(d)
		if f.Fleet.Subscription != nil && (f.XDS == nil || len(f.XDS.Servers) == 0) {
			d.errorAt("fleet.subscription", "there are no xds.servers to subscribe to")
		}
	}
	f.checkLimits(d)
	f.checkRateLimits(d, classes)
	f.checkRoutes(d, classes, clusters)
}

func (f *File) checkLog(d *decoder) {
	switch f.Log.Format {
	case "text", "json":
	default:
		d.errorAt("log.format", "want text or json, not %q", f.Log.Format)
	}
	switch f.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		d.errorAt("log.level", "want debug, info, warn or error, not %q", f.Log.Level)
	}
}

func (f *File) checkAdmin(d *decoder) {
	if f.Admin.Address == "none" {
		return
	}
	if !checkAddress(d, "admin.address", f.Admin.Address, true) {
		return
	}
	host, _, _ := net.SplitHostPort(f.Admin.Address)
	if ip := net.ParseIP(host); !f.Admin.AllowRemote && host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		d.errorAt("admin.address", "%s is not on loopback; what answers there is not protected, say admin.remote: true if that is meant", f.Admin.Address)
	}
}

// checkAddress checks host:port.
func checkAddress(d *decoder, field, text string, mayBeZero bool) bool {
	if text == "" {
		d.errorAt(field, "is missing")
		return false
	}
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		d.errorAt(field, "%q is not host:port", text)
		return false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && !mayBeZero {
		d.errorAt(field, "%q is not a port", port)
		return false
	}
	return true
}

func (f *File) checkCluster(d *decoder, field string, c *Cluster) {
	sources := 0
	if c.Endpoints != nil {
		sources++
		seen := map[string]int{}
		for i, e := range c.Endpoints {
			at := fmt.Sprintf("%s.endpoints[%d]", field, i)
			checkAddress(d, at+".address", e.Address, false)
			if first, ok := seen[e.Address]; ok && e.Address != "" {
				d.errorAt(at+".address", "%s is endpoints[%d] already", e.Address, first)
			}
			seen[e.Address] = i
			if e.Weight <= 0 || e.Weight > 1e9 {
				d.errorAt(at+".weight", "want more than 0 and at most 1000000000, not %v", e.Weight)
			}
			if e.Priority < 0 || e.Priority > 128 {
				d.errorAt(at+".priority", "want 0 to 128, not %d", e.Priority)
			}
		}
	}
	if c.File != nil {
		if sources++; c.File.Path == "" {
			d.errorAt(field+".file.path", "is missing")
		}
	}
	if c.XDS != nil {
		if sources++; f.XDS == nil {
			d.errorAt(field+".xds", "there is no control plane: xds is missing")
		}
	}
	if sources != 1 {
		d.errorAt(field, "want one of endpoints, file and xds, not %d", sources)
	}
	if c.Attempts < 1 || c.Attempts > 10 {
		d.errorAt(field+".attempts", "want 1 to 10, not %d", c.Attempts)
	}
	if c.WarmUp.InitialShare <= 0 || c.WarmUp.InitialShare > 1 {
		d.errorAt(field+".warm_up.share", "want more than 0 and at most 1, not %v", c.WarmUp.InitialShare)
	}
	if c.WarmUp.OverloadMultiple < 1 || c.WarmUp.OverloadMultiple > 100 {
		d.errorAt(field+".warm_up.most", "want 1 to 100, not %v", c.WarmUp.OverloadMultiple)
	}
	if p := *c.CrossZone; p < 0 || p > 1 {
		d.errorAt(field+".cross_zone_price", "want 0 to 1, not %v", p)
	}
	if c.ConnectTimeout == 0 || c.ConnectTimeout > Duration(10*time.Second) {
		d.errorAt(field+".connect_timeout", "want more than 0 and at most 10s, not %v", c.ConnectTimeout.D())
	}
	if c.IdleTimeout == 0 {
		d.errorAt(field+".idle_timeout", "want more than 0")
	}
	checkOverload(d, field, c)
}

func (f *File) checkRateLimits(d *decoder, classes map[string]bool) {
	listeners, routes, names := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range f.Listeners {
		listeners[l.Name] = true
	}
	for _, r := range f.Routes {
		routes[r.Name] = r.Name != ""
	}
	for i, l := range f.RateLimits {
		field := fmt.Sprintf("rate_limits[%d]", i)
		switch {
		case l.Name == "" || strings.ContainsFunc(l.Name, func(r rune) bool { return r < ' ' || r > '~' || r == '"' || r == '\\' }):
			d.errorAt(field+".name", "%q: want a name in plain letters", l.Name)
		case names[l.Name]:
			d.errorAt(field+".name", "%q is taken", l.Name)
		}
		names[l.Name] = true
		known := func(what string, list []string, in map[string]bool) {
			for j, n := range list {
				if !in[n] {
					d.errorAt(fmt.Sprintf("%s.%s[%d]", field, what, j), "there is no %q", n)
				}
			}
		}
		known("listeners", l.Listeners, listeners)
		known("classes", l.Classes, classes)
		if f.XDS == nil { // else a control plane may name it
			known("routes", l.Routes, routes)
		}
		set := 0
		for _, is := range []bool{l.Key.Header != "", l.Key.Cookie != "", l.Key.Address != nil} {
			if is {
				set++
			}
		}
		if set > 1 {
			d.errorAt(field+".key", "want one of header, cookie and address, not %d", set)
		}
		if a := l.Key.Address; a != nil && (a.IPv4 < 0 || a.IPv4 > 32 || a.IPv6 < 0 || a.IPv6 > 128) {
			d.errorAt(field+".key.address", "want 0 to 32 bits of IPv4 and 0 to 128 of IPv6, not %d and %d", a.IPv4, a.IPv6)
		}
		if _, err := ratelimit.New(l.Rate/float64(max(f.Gateway.Count, 1)), l.Burst, l.Keys); err != nil {
			d.errorAt(field, "%v", err)
		}
	}
}

func checkOverload(d *decoder, field string, c *Cluster) {
	between := func(name string, v, least, most float64) {
		if !(v >= least && v <= most) {
			d.errorAt(field+"."+name, "want %v to %v, not %v", least, most, v)
		}
	}
	o, b := &c.Overload, &c.Breakers
	between("overload.per_endpoint", float64(o.PerEndpoint), 1, 1e6)
	between("overload.limit", float64(o.Limit), 1, 1e6)
	between("overload.floor", *o.Floor, 0, 0.5)
	between("overload.retries.ratio", *o.Retries.Ratio, 0, 10)
	between("overload.retries.rate", *o.Retries.Rate, 0, 1e6)
	if t := o.Retries.TTL; t < Duration(100*time.Millisecond) || t > Duration(time.Hour) {
		d.errorAt(field+".overload.retries.ttl", "want 100ms to 1h, not %v", t.D())
	}
	for at, b := range map[string]*Breakers{"circuit_breakers.": b, "circuit_breakers.high.": b.High} {
		if b == nil {
			continue
		}
		between(at+"max_connections", float64(b.MaxConnections), 0, 1e6)
		between(at+"max_requests", float64(b.MaxRequests), 0, 1e6)
		between(at+"max_pending_requests", float64(b.MaxPending), 1, 1e6)
		between(at+"max_retries", float64(b.MaxRetries), 0, 1e6)
		if r := b.RetryBudget; r != nil {
			between(at+"retry_budget.budget_percent", r.Percent, 0, 100)
			between(at+"retry_budget.min_retry_concurrency", float64(r.MinConcurrency), 0, 1e6)
		}
	}
	if h := b.High; h != nil && h.MaxConnections > 0 {
		d.errorAt(field+".circuit_breakers.high.max_connections", "connections are shared by both priorities, set it for the cluster")
	}
	if h := b.High; h != nil && h.High != nil {
		d.errorAt(field+".circuit_breakers.high.high", "there are two priorities")
	}
}

func (f *File) checkXDS(d *decoder) {
	x := f.XDS
	if x == nil {
		return
	}
	if len(x.Servers) == 0 && x.Path == "" {
		d.errorAt("xds.servers", "none is given, and no path")
	}
	if len(x.Servers) > 0 && x.Path != "" {
		d.errorAt("xds.path", "only one of servers and path can be set")
	}
	for i, s := range x.Servers {
		checkAddress(d, fmt.Sprintf("xds.servers[%d]", i), s, false)
	}
	if x.RouteConfigName != "" && x.ListenerName != "" {
		d.errorAt("xds.listener", "only one of route_configuration and listener can be set")
	}
	if x.Node.ID == "" && x.Path == "" {
		d.errorAt("xds.node.id", "is missing: control planes tell gateways apart by it")
	}
	for name, v := range map[string]Duration{"connect_timeout": x.ConnectTimeout, "backoff_base": x.BackoffBase,
		"backoff_most": x.MaxBackoff, "keepalive": x.Keepalive} {
		if v == 0 {
			d.errorAt("xds."+name, "want more than 0")
		}
	}
	if x.MaxBackoff < x.BackoffBase {
		d.errorAt("xds.backoff_most", "%v is shorter than backoff_base, %v", x.MaxBackoff.D(), x.BackoffBase.D())
	}
	if x.MaxMessageBytes < 1<<10 {
		d.errorAt("xds.message", "want 1KiB at least")
	}
}

func (f *File) checkZones(d *decoder) {
	z := f.Zones
	if z == nil {
		return
	}
	if f.Zone == "" {
		d.errorAt("zones", "zone is missing: where the gateway stands")
	}
	seen := map[string]string{}
	for i, t := range z.Tiers {
		for j, name := range t {
			field := fmt.Sprintf("zones.tiers[%d][%d]", i, j)
			if first, ok := seen[name]; ok {
				d.errorAt(field, "%q is %s already", name, first)
			}
			seen[name] = field
		}
	}
	between := func(field string, v, least, most float64) {
		if !(v >= least && v <= most) {
			d.errorAt("zones."+field, "want %v to %v, not %v", least, most, v)
		}
	}
	between("overprovisioning_factor", z.Overprovision, 1, 10)
	between("panic_threshold", *z.PanicThreshold, 0, 1)
	between("first_share", z.InitialShare, 0.001, 1)
	between("first_room", z.InitialCapacity, 1, 1e6)
	between("tolerance", z.Tolerance, 1.05, 100)
	between("own_tolerance", z.OwnTolerance, 1.05, 100)
	between("floor", *z.Floor, 0, 0.5)
	between("retry_budget", *z.RetryBudget, 0, 1)
	between("retry_least", float64(z.MinRetries), 0, 1e6)
	for name, v := range map[string]Duration{"probe": z.ProbeInterval, "step": z.Step, "hold": z.MinHold} {
		if v < Duration(10*time.Millisecond) || v > Duration(time.Hour) {
			d.errorAt("zones."+name, "want 10ms to 1h, not %v", v.D())
		}
	}
	if z.MaxHold < z.MinHold {
		d.errorAt("zones.most_hold", "%v is shorter than hold, %v", z.MaxHold.D(), z.MinHold.D())
	}
}

func (f *File) checkLimits(d *decoder) {
	l := &f.Limits
	if l.Descriptors < 16 {
		d.errorAt("limits.descriptors", "want 16 at least, not %d", l.Descriptors)
	}
	if l.Requests < 1 {
		d.errorAt("limits.requests", "want 1 at least, not %d", l.Requests)
	}
	if l.Body < 1 || l.Body > l.Memory {
		d.errorAt("limits.body", "want 1B at least and no more than limits.memory")
	}
	if l.Drain == 0 {
		d.errorAt("limits.drain", "want more than 0")
	}
	var sum Amount
	for i := range f.Clusters {
		g := f.QuotaOf(&f.Clusters[i]).Guaranteed
		if g.Descriptors < 0 || g.Requests < 0 {
			d.errorAt(fmt.Sprintf("clusters[%d].limits.guaranteed", i), "is negative")
		}
		sum.Descriptors, sum.Memory, sum.Requests = sum.Descriptors+g.Descriptors, sum.Memory+g.Memory, sum.Requests+g.Requests
	}
	// Clients' connections need descriptors as well, and clusters may come that the file does not name.
	if sum.Descriptors > l.Descriptors/2 {
		d.errorAt("limits.per_cluster.guaranteed", "%d descriptors are guaranteed to clusters, half of limits.descriptors (%d) at most",
			sum.Descriptors, l.Descriptors)
	}
	if sum.Memory > l.Memory {
		d.errorAt("limits.per_cluster.guaranteed", "%d bytes are guaranteed of %d", int64(sum.Memory), int64(l.Memory))
	}
	if sum.Requests > max(l.Requests, 0) {
		d.errorAt("limits.per_cluster.guaranteed", "%d requests are guaranteed of %d", sum.Requests, l.Requests)
	}
}

func (f *File) checkRoutes(d *decoder, classes, clusters map[string]bool) {
	if len(f.Routes) == 0 && (f.XDS == nil || f.XDS.RouteConfigName == "" && f.XDS.ListenerName == "") {
		d.errorAt("routes", "none is given")
	}
	for i, r := range f.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if r.Cluster != "" && len(r.Clusters) > 0 {
			d.errorAt(field+".clusters", "only one of cluster and clusters can be set")
		}
		if r.Class != "" && !classes[r.Class] {
			d.errorAt(field+".class", "there is no class %q", r.Class)
		}
		if p := r.Priority; p != "" && p != "default" && p != "high" {
			d.errorAt(field+".priority", "want default or high, not %q", p)
		}
		named := func(field, name string) {
			if name != "" && !clusters[name] && (f.XDS == nil || !f.XDS.Clusters) {
				d.errorAt(field, "there is no cluster %q", name)
			}
		}
		named(field+".cluster", r.Cluster)
		for j, w := range r.Clusters {
			named(fmt.Sprintf("%s.clusters[%d].name", field, j), w.Name)
		}
		for kind, l := range map[string][]Condition{"headers": r.Match.Headers, "query": r.Match.Query} {
			for j, c := range l {
				if c.operatorCount() > 1 {
					d.errorAt(fmt.Sprintf("%s.match.%s[%d]", field, kind, j), "only one of exact, prefix, suffix and contains can be set")
				}
			}
		}
	}
	if _, err := route.Compile(f.Table(), route.Options{}); err != nil {
		joined, ok := err.(interface{ Unwrap() []error })
		if !ok {
			d.errorAt("routes", "%v", err)
			return
		}
		for _, err := range joined.Unwrap() {
			e, ok := err.(*route.Error)
			if !ok {
				d.errorAt("routes", "%v", err)
				continue
			}
			field := fmt.Sprintf("routes[%d].", e.Route)
			switch e.Field {
			case "cluster", "clusters", "key", "match":
			default:
				field += "match."
			}
			d.errorAt(field+e.Field, "%s", e.Reason)
		}
	}
}

func (c Condition) operatorCount() (n int) {
	for _, p := range []*string{c.Exact, c.Prefix, c.Suffix, c.Contains} {
		if p != nil {
			n++
		}
	}
	return n
}

func routeConditions(l []Condition) []route.Condition {
	var out []route.Condition
	for _, c := range l {
		r := route.Condition{Name: c.Name, Not: c.Not}
		for _, o := range []struct {
			op route.Op
			v  *string
		}{{route.Exact, c.Exact}, {route.Prefix, c.Prefix}, {route.Suffix, c.Suffix}, {route.Contains, c.Contains}} {
			if o.v != nil {
				r.Op, r.Value = o.op, *o.v
			}
		}
		out = append(out, r)
	}
	return out
}

// Table gives the file's routes as package route has them.
func (f *File) Table() []route.Route {
	l := make([]route.Route, len(f.Routes))
	for i, r := range f.Routes {
		l[i] = route.Route{Name: r.Name, Hosts: r.Match.Hosts, Path: r.Match.Path, Template: r.Match.Template,
			Prefix: r.Match.Prefix, Methods: r.Match.Methods, Headers: routeConditions(r.Match.Headers),
			Query: routeConditions(r.Match.Query), Class: r.Class, Key: route.Key(r.Key), Tenant: route.Key(r.Tenant), High: r.Priority == "high"}
		if r.Cluster != "" {
			l[i].Clusters = []route.Weighted{{Cluster: r.Cluster, Weight: 1}}
		}
		for _, w := range r.Clusters {
			l[i].Clusters = append(l[i].Clusters, route.Weighted{Cluster: w.Name, Weight: w.Weight})
		}
	}
	return l
}
