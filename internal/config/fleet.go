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

// Fleet are the settings of this process as a member of a fleet. Without them it knows of no other process. Changes take
// effect at the next start.
type Fleet struct {
	Name   string `yaml:"name"`   // of the fleet; processes of another one are rejected
	Member string `yaml:"member"` // the name of this process, unique in the fleet
	Site   string `yaml:"site,omitempty"`
	// Address is for other members only: calls, streams and packets, over TCP and UDP. Whoever reaches it is trusted.
	Address          string            `yaml:"address"`
	Advertise        string            `yaml:"advertise,omitempty"` // how other members reach Address; empty: as it is
	AllowRemote      bool              `yaml:"remote"`              // allows an Address that is not on loopback
	Seeds            []string          `yaml:"seeds,omitempty"`     // addresses of some members
	AddressOverrides []AddressOverride `yaml:"via,omitempty"`
	ProbeInterval    Duration          `yaml:"probe"`  // between probes of other members
	ForgetAfter      Duration          `yaml:"forget"` // how long a dead member is remembered
	LeaseLength      Duration          `yaml:"lease"`  // of leader-only tasks
	Quorum           Quorum            `yaml:"quorum"`
	Subscription     *Subscription     `yaml:"subscription,omitempty"` // one to the control plane for all gateways of the site
	Posts            []PostTask        `yaml:"posts,omitempty"`
	// Budgets limit what drain requests may take out of service at once. Those of the voters apply, and must be the same.
	Budgets []DisruptionBudget `yaml:"budgets,omitempty"`
}

// DisruptionBudget is how many gateways, or endpoints of a cluster, may be unavailable at once, for any reason. Max and
// Fraction both apply if both are set.
type DisruptionBudget struct {
	Name     string  `yaml:"name"`
	Cluster  string  `yaml:"cluster,omitempty"` // of its endpoints; "*": of each cluster; empty: of gateways
	Site     string  `yaml:"site,omitempty"`    // of one site
	Zone     string  `yaml:"zone,omitempty"`    // of one zone
	Each     string  `yaml:"each,omitempty"`    // zone or site: of each one separately
	Max      int     `yaml:"most,omitempty"`
	Fraction float64 `yaml:"part,omitempty"`
}

// AddressOverride is another address by which a member is reached from here, such as a tunnel.
type AddressOverride struct {
	Member  string `yaml:"member"` // the address that it advertises
	Address string `yaml:"at"`
}

// Quorum are the voters that replicate leases, drains and releases.
type Quorum struct {
	Voters          []Voter  `yaml:"voters"`           // three or five; one for trials
	Directory       string   `yaml:"folder,omitempty"` // of this process's log, if it is a voter
	ElectionTimeout Duration `yaml:"heartbeat"`        // how long without the leader before a voter stands for election
	MaxBytes        Size     `yaml:"most_bytes"`       // of the log
}

// Voter is a voter, by its member's name.
type Voter struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Subscription are the settings of a site's shared subscription.
type Subscription struct {
	DirectAfter Duration `yaml:"own_after"` // how long without a leader before a gateway opens a stream of its own
	Spread      Duration `yaml:"spread"`    // the time over which gateways do so, at random
	Heartbeat   Duration `yaml:"heartbeat"` // between heartbeats of the leader
}

// PostTask is a leader-only task: one process of the fleet repeatedly posts to a URL, with its token in the header
// Robindrum-Token. The receiver should reject a token lower than the highest that it has seen.
type PostTask struct {
	Name     string   `yaml:"name"`
	URL      string   `yaml:"url"`
	Interval Duration `yaml:"every"`
	Timeout  Duration `yaml:"timeout"`
}

const (
	// maxFleetName bounds names that members exchange.
	maxFleetName       = 64
	defaultMaxLogBytes = 256 << 20
	minMaxLogBytes     = 1 << 20
	// defaultFraction is the part of gateways, and of endpoints, that may be unavailable at once.
	defaultFraction = 0.34
	// electionsPerLease is how many election timeouts a lease must outlast.
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
			{Name: "gateways", Each: "site", Fraction: defaultFraction},
			{Name: "endpoints", Cluster: "*", Each: "zone", Fraction: defaultFraction},
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

// IsVoter reports whether this process is one of the voters.
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

// checkFleetName checks a name that members exchange.
func checkFleetName(d *decoder, field, name string) {
	switch {
	case name == "":
		d.errorAt(field, "is missing")
	case len(name) > maxFleetName:
		d.errorAt(field, "%d bytes, %d at most", len(name), maxFleetName)
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '@' || r > '~' }):
		d.errorAt(field, "%q: letters, digits and signs but @ and spaces", name)
	}
}

func (f *Fleet) checkAddresses(d *decoder) {
	checkIPAddress(d, "fleet.address", f.Address, true)
	checkIPAddress(d, "fleet.advertise", f.Advertise, false)
	host, _, _ := net.SplitHostPort(f.Address)
	ip := net.ParseIP(host)
	if ip != nil && !ip.IsLoopback() && !f.AllowRemote {
		d.errorAt("fleet.address", "%s is not on loopback; whoever reaches it is believed, say fleet.remote: true if that is meant", f.Address)
	}
	for i, seed := range f.Seeds {
		checkIPAddress(d, fmt.Sprintf("fleet.seeds[%d]", i), seed, false)
	}
	for i, override := range f.AddressOverrides {
		checkAddress(d, fmt.Sprintf("fleet.via[%d].member", i), override.Member, false)
		checkAddress(d, fmt.Sprintf("fleet.via[%d].at", i), override.Address, false)
	}
}

// checkIPAddress checks an IP address with a port.
func checkIPAddress(d *decoder, field, address string, allowUnspecified bool) {
	if !checkAddress(d, field, address, false) {
		return
	}
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() && !allowUnspecified {
		d.errorAt(field, "%q is not an IP address with a port", address)
	}
}

func (f *Fleet) checkQuorum(d *decoder) {
	q := &f.Quorum
	switch len(q.Voters) {
	case 1, 3, 5:
	default:
		d.errorAt("fleet.quorum.voters", "want 3 or 5 (1 for a try), not %d", len(q.Voters))
	}
	f.checkVoters(d)
	if f.IsVoter() && q.Directory == "" {
		d.errorAt("fleet.quorum.folder", "is missing: %s is a voter, and what it promises must outlast a crash", f.Member)
	}
	checkRange(d, "fleet.quorum.heartbeat", q.ElectionTimeout, 20*time.Millisecond, 10*time.Second)
	if electionsPerLease*q.ElectionTimeout > f.LeaseLength {
		d.errorAt("fleet.lease", "%v, want four times fleet.quorum.heartbeat (%v) at the least: a lease is to outlast an election", f.LeaseLength.D(), q.ElectionTimeout.D())
	}
	if q.MaxBytes < minMaxLogBytes {
		d.errorAt("fleet.quorum.most_bytes", "want 1MiB at the least")
	}
}

func (f *Fleet) checkVoters(d *decoder) {
	seen := map[string]bool{} // names and addresses
	for i, voter := range f.Quorum.Voters {
		field := fmt.Sprintf("fleet.quorum.voters[%d]", i)
		checkFleetName(d, field+".name", voter.Name)
		checkIPAddress(d, field+".address", voter.Address, false)
		if seen[voter.Name] || seen[voter.Address] {
			d.errorAt(field, "%s %s stands twice", voter.Name, voter.Address)
		}
		seen[voter.Name] = true
		seen[voter.Address] = true
		if voter.Name == f.Member && voter.Address != f.Advertise {
			d.errorAt(field+".address", "%s, but this process is reached at %s", voter.Address, f.Advertise)
		}
	}
}

func (f *Fleet) checkSubscription(d *decoder) {
	s := f.Subscription
	if s == nil {
		return
	}
	if f.Site == "" {
		d.errorAt("fleet.subscription", "needs fleet.site: it is one for each site")
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
			d.errorAt(field+".name", "%q stands twice", budget.Name)
		case !budget.hasValidAmount():
			d.errorAt(field, "want most, a part from 0 to 1, or both")
		case !budget.hasValidScope():
			d.errorAt(field+".each", "want zone, or site for gateways, not %q", budget.Each)
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
			d.errorAt(field+".name", "%q stands twice", post.Name)
		}
		seen[post.Name] = true
		parsed, err := url.Parse(post.URL)
		if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
			d.errorAt(field+".url", "%q is not an http URL", post.URL)
		}
		checkRange(d, field+".every", post.Interval, 10*time.Millisecond, 24*time.Hour)
		checkRange(d, field+".timeout", post.Timeout, 10*time.Millisecond, time.Minute)
	}
}

func (f *Fleet) warnings() []string {
	var warnings []string
	if !peer.Private(f.Address) {
		warnings = append(warnings, fmt.Sprintf("fleet.address: %s is not on a private address: whoever reaches it is believed", f.Address))
	}
	if len(f.Quorum.Voters) == 1 {
		warnings = append(warnings, "fleet.quorum.voters: with one voter nothing is agreed on while it is away")
	}
	return warnings
}
