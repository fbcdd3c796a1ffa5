package config

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"robindrum/internal/lease"
	"robindrum/internal/peer"
)

// Fleet holds the settings of this process as a member of a fleet. Without them it does not know of any other process. Changes
// take effect at the next start.
type Fleet struct {
	Name   string `yaml:"name"`   // of the fleet; processes of other fleets are rejected
	Member string `yaml:"member"` // name of this process, unique in the fleet
	Site   string `yaml:"site,omitempty"`
	// Address is used by other members only, for calls, streams and packets over TCP and UDP. Every peer that can connect
	// to it is trusted.
	Address          string            `yaml:"address"`
	Advertise        string            `yaml:"advertise,omitempty"` // address by which other members reach this process; default: Address
	AllowRemote      bool              `yaml:"remote"`              // allows an Address that is not on loopback
	Seeds            []string          `yaml:"seeds,omitempty"`     // addresses of some members, for joining the fleet
	AddressOverrides []AddressOverride `yaml:"via,omitempty"`
	ProbeInterval    Duration          `yaml:"probe"`  // interval between probes of other members
	ForgetAfter      Duration          `yaml:"forget"` // after which a dead member is forgotten
	LeaseLength      Duration          `yaml:"lease"`  // of the leases of leader-only tasks
	Quorum           Quorum            `yaml:"quorum"`
	Subscription     *Subscription     `yaml:"subscription,omitempty"` // shared by all gateways of the site; nil: each subscribes to the control plane directly
	Posts            []PostTask        `yaml:"posts,omitempty"`
	// Budgets limit what drain requests may take out of service at once. The budgets of the voters apply; all voters must
	// have the same ones.
	Budgets []DisruptionBudget `yaml:"budgets,omitempty"`
}

// DisruptionBudget limits how many gateways, or endpoints of a cluster, may be unavailable at once, for any reason. If both
// Max and Fraction are set, both apply.
type DisruptionBudget struct {
	Name     string  `yaml:"name"`
	Cluster  string  `yaml:"cluster,omitempty"` // whose endpoints are limited; "*": those of each cluster; empty: gateways are limited
	Site     string  `yaml:"site,omitempty"`    // only in this site
	Zone     string  `yaml:"zone,omitempty"`    // only in this zone
	Each     string  `yaml:"each,omitempty"`    // zone or site: the limit applies to each one separately
	Max      int     `yaml:"most,omitempty"`    // 0: only Fraction applies
	Fraction float64 `yaml:"part,omitempty"`    // 0: only Max applies
}

// AddressOverride replaces the address at which this process connects to a member, for example by that of a tunnel.
type AddressOverride struct {
	Member  string `yaml:"member"` // address that the member advertises
	Address string `yaml:"at"`
}

// Quorum configures the voters, which replicate leases, drain requests and releases.
type Quorum struct {
	Voters          []Voter  `yaml:"voters"`           // 3 or 5; 1 for trials
	Directory       string   `yaml:"folder,omitempty"` // for the log of this process, if it is a voter
	ElectionTimeout Duration `yaml:"heartbeat"`        // how long a voter does not hear from the leader before it starts an election
	MaxBytes        Size     `yaml:"most_bytes"`       // maximum size of the log
}

// Voter is a voter of the quorum.
type Voter struct {
	Name    string `yaml:"name"` // Fleet.Member of the voter's process
	Address string `yaml:"address"`
}

// Subscription configures the shared subscription of a site to the control plane. One gateway, the leader, opens a stream
// and sends the updates to the others.
type Subscription struct {
	DirectAfter Duration `yaml:"own_after"` // how long a gateway does not hear from a leader before it opens a direct stream
	Spread      Duration `yaml:"spread"`    // upper bound of the random additional wait, so that not all gateways open streams at once
	Heartbeat   Duration `yaml:"heartbeat"` // interval between heartbeats of the leader
}

// PostTask is a leader-only task that repeatedly sends a POST request to a URL, from one process of the fleet at a time. The
// header Robindrum-Token contains the fencing token. The receiver should reject a token that is lower than the highest one it
// has received.
type PostTask struct {
	Name     string   `yaml:"name"`
	URL      string   `yaml:"url"`
	Interval Duration `yaml:"every"`
	Timeout  Duration `yaml:"timeout"`
}

const (
	// maxFleetName is the maximum length, in bytes, of names that members exchange.
	maxFleetName       = 64
	defaultMaxLogBytes = 256 << 20
	minMaxLogBytes     = 1 << 20 // lower bound of Quorum.MaxBytes
	// defaultBudgetFraction is the fraction of gateways, and of endpoints, that may be unavailable at once.
	defaultBudgetFraction = 0.34
	// electionsPerLease is the minimum length of a lease in election timeouts, so that a lease outlasts an election.
	electionsPerLease = 4
)

func (f *Fleet) setDefaults() {
	setDefault(&f.Address, "127.0.0.1:7600")
	setDefault(&f.Advertise, f.Address)
	setDefault(&f.ProbeInterval, Duration(time.Second))
	setDefault(&f.ForgetAfter, Duration(time.Hour))
	setDefault(&f.LeaseLength, Duration(10*time.Second))
	setDefault(&f.Quorum.ElectionTimeout, Duration(500*time.Millisecond))
	setDefault(&f.Quorum.MaxBytes, defaultMaxLogBytes)
	if f.Budgets == nil {
		f.Budgets = []DisruptionBudget{
			{Name: "gateways", Each: "site", Fraction: defaultBudgetFraction},
			{Name: "endpoints", Cluster: "*", Each: "zone", Fraction: defaultBudgetFraction},
		}
	}
	if s := f.Subscription; s != nil {
		setDefault(&s.DirectAfter, Duration(5*time.Second))
		setDefault(&s.Spread, Duration(5*time.Second))
		setDefault(&s.Heartbeat, Duration(time.Second))
	}
	for i := range f.Posts {
		setDefault(&f.Posts[i].Interval, Duration(10*time.Second))
		setDefault(&f.Posts[i].Timeout, Duration(5*time.Second))
	}
}

// IsVoter reports whether this process is a voter.
func (f *Fleet) IsVoter() bool {
	for _, voter := range f.Quorum.Voters {
		if voter.Name == f.Member {
			return true
		}
	}
	return false
}

func (f *Fleet) check(d *decoder) {
	checkFleetName(d, "fleet.name", f.Name)
	checkFleetName(d, "fleet.member", f.Member)
	if f.Site != "" {
		checkFleetName(d, "fleet.site", f.Site)
	}
	f.checkAddresses(d)
	checkRange(d, "fleet.probe", f.ProbeInterval, 10*time.Millisecond, time.Minute)
	checkRange(d, "fleet.forget", f.ForgetAfter, f.ProbeInterval.D(), 24*time.Hour)
	checkRange(d, "fleet.lease", f.LeaseLength, lease.MinLength, lease.MaxLength)
	f.checkQuorum(d)
	f.checkSubscription(d)
	f.checkBudgets(d)
	f.checkPosts(d)
}

// checkFleetName checks a name that members exchange: 1 to maxFleetName bytes of printable ASCII without space and @.
func checkFleetName(d *decoder, field, name string) {
	switch {
	case name == "":
		d.errorAt(field, "is missing")
	case len(name) > maxFleetName:
		d.errorAt(field, "must be at most %[2]d bytes long, got %[1]d", len(name), maxFleetName)
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '@' || r > '~' }):
		d.errorAt(field, "must be printable ASCII without spaces and @, got %q", name)
	}
}

func (f *Fleet) checkAddresses(d *decoder) {
	checkIPAddress(d, "fleet.address", f.Address, true)
	checkIPAddress(d, "fleet.advertise", f.Advertise, false)
	host, _, _ := net.SplitHostPort(f.Address)
	ip := net.ParseIP(host)
	if ip != nil && !ip.IsLoopback() && !f.AllowRemote {
		d.errorAt("fleet.address", "%s is not a loopback address: every peer that can connect to it is trusted; set fleet.remote: true to allow it", f.Address)
	}
	for i, seed := range f.Seeds {
		checkIPAddress(d, fmt.Sprintf("fleet.seeds[%d]", i), seed, false)
	}
	for i, override := range f.AddressOverrides {
		checkAddress(d, fmt.Sprintf("fleet.via[%d].member", i), override.Member, false)
		checkAddress(d, fmt.Sprintf("fleet.via[%d].at", i), override.Address, false)
	}
}

// checkIPAddress checks that address is an IP address with a port other than 0.
func checkIPAddress(d *decoder, field, address string, allowUnspecified bool) {
	if !checkAddress(d, field, address, false) {
		return
	}
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() && !allowUnspecified {
		d.errorAt(field, "must be an IP address with a port, got %q", address)
	}
}

func (f *Fleet) checkQuorum(d *decoder) {
	q := &f.Quorum
	switch len(q.Voters) {
	case 1, 3, 5:
	default:
		d.errorAt("fleet.quorum.voters", "must have 3 or 5 entries (1 for trials), got %d", len(q.Voters))
	}
	f.checkVoters(d)
	if f.IsVoter() && q.Directory == "" {
		d.errorAt("fleet.quorum.folder", "is missing: %s is a voter, and its log must survive a crash", f.Member)
	}
	checkRange(d, "fleet.quorum.heartbeat", q.ElectionTimeout, 20*time.Millisecond, 10*time.Second)
	if electionsPerLease*q.ElectionTimeout > f.LeaseLength {
		d.errorAt("fleet.lease", "must be at least four times fleet.quorum.heartbeat (%[2]v), so that a lease outlasts an election, got %[1]v", f.LeaseLength.D(), q.ElectionTimeout.D())
	}
	if q.MaxBytes < minMaxLogBytes {
		d.errorAt("fleet.quorum.most_bytes", "must be at least 1MiB")
	}
}

func (f *Fleet) checkVoters(d *decoder) {
	seen := map[string]bool{} // names and addresses
	for i, voter := range f.Quorum.Voters {
		field := fmt.Sprintf("fleet.quorum.voters[%d]", i)
		checkFleetName(d, field+".name", voter.Name)
		checkIPAddress(d, field+".address", voter.Address, false)
		if seen[voter.Name] || seen[voter.Address] {
			d.errorAt(field, "duplicate name or address: %s %s", voter.Name, voter.Address)
		}
		seen[voter.Name] = true
		seen[voter.Address] = true
		if voter.Name == f.Member && voter.Address != f.Advertise {
			d.errorAt(field+".address", "must be %[2]s, the address that this process advertises, got %[1]s", voter.Address, f.Advertise)
		}
	}
}

func (f *Fleet) checkSubscription(d *decoder) {
	s := f.Subscription
	if s == nil {
		return
	}
	if f.Site == "" {
		d.errorAt("fleet.subscription", "requires fleet.site: the gateways of a site share a subscription")
	}
	checkRange(d, "fleet.subscription.own_after", s.DirectAfter, 10*time.Millisecond, time.Hour)
	checkRange(d, "fleet.subscription.spread", s.Spread, time.Millisecond, time.Hour)
	checkRange(d, "fleet.subscription.heartbeat", s.Heartbeat, 10*time.Millisecond, s.DirectAfter.D()/2)
}

func (f *Fleet) checkBudgets(d *decoder) {
	seen := map[string]bool{}
	for i := range f.Budgets {
		budget := &f.Budgets[i]
		field := fmt.Sprintf("fleet.budgets[%d]", i)
		checkFleetName(d, field+".name", budget.Name)
		switch {
		case seen[budget.Name]:
			d.errorAt(field+".name", "duplicate name %q", budget.Name)
		case !budget.hasValidAmount():
			d.errorAt(field, "must set most, part (greater than 0, at most 1) or both")
		case !budget.hasValidScope():
			d.errorAt(field+".each", "must be zone, or site for gateways, got %q", budget.Each)
		}
		seen[budget.Name] = true
	}
}

func (b *DisruptionBudget) hasValidAmount() bool {
	if b.Max < 0 || b.Fraction < 0 || b.Fraction > 1 {
		return false
	}
	return b.Max != 0 || b.Fraction != 0
}

func (b *DisruptionBudget) hasValidScope() bool {
	switch b.Each {
	case "", "zone":
		return true
	case "site":
		return b.Cluster == ""
	}
	return false
}

func (f *Fleet) checkPosts(d *decoder) {
	seen := map[string]bool{}
	for i := range f.Posts {
		post := &f.Posts[i]
		field := fmt.Sprintf("fleet.posts[%d]", i)
		checkFleetName(d, field+".name", post.Name)
		if seen[post.Name] {
			d.errorAt(field+".name", "duplicate name %q", post.Name)
		}
		seen[post.Name] = true
		parsed, err := url.Parse(post.URL)
		if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
			d.errorAt(field+".url", "must be an http URL, got %q", post.URL)
		}
		checkRange(d, field+".every", post.Interval, 10*time.Millisecond, 24*time.Hour)
		checkRange(d, field+".timeout", post.Timeout, 10*time.Millisecond, time.Minute)
	}
}

func (f *Fleet) warnings() []string {
	var warnings []string
	if !peer.Private(f.Address) {
		warnings = append(warnings, fmt.Sprintf("fleet.address: %s is not a private address: every peer that can connect to it is trusted", f.Address))
	}
	if len(f.Quorum.Voters) == 1 {
		warnings = append(warnings, "fleet.quorum.voters: with only one voter, nothing can be committed while it is unavailable")
	}
	return warnings
}
