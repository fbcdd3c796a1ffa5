package config

import (
	"fmt"
	"net"
	"net/url"
	"path/filepath"
	"strings"
	"time"

	"robindrum/internal/lease"
	"robindrum/internal/peer"
)

// Fleet is this process's place among the others. Where it is missing the process knows of no other one. Changes count from
// the next start on.
type Fleet struct {
	Name   string `yaml:"name"`   // of the fleet; processes of another one are refused
	Member string `yaml:"member"` // of this process, which no other one has
	Site   string `yaml:"site,omitempty"`
	// Address is for the others alone: calls, streams and packets, over TCP and UDP. Whoever reaches it is believed.
	Address          string            `yaml:"address"`
	Advertise        string            `yaml:"advertise,omitempty"` // how the others reach it; Address where empty
	AllowRemote      bool              `yaml:"remote"`              // Address may be one that is not on loopback
	Seeds            []string          `yaml:"seeds,omitempty"`     // addresses of some members
	AddressOverrides []AddressOverride `yaml:"via,omitempty"`       // other addresses by which members are reached from here
	ProbeInterval    Duration          `yaml:"probe"`               // between two probes of the others
	ForgetAfter      Duration          `yaml:"forget"`              // a dead member is gone after so long
	LeaseLength      Duration          `yaml:"lease"`               // how long a duty is held at the most without word of the quorum
	Quorum           Quorum            `yaml:"quorum"`
	// Subscription: one to the control plane for all gateways of the site.
	Subscription *Subscription `yaml:"subscription,omitempty"`
	Posts        []PostTask    `yaml:"posts,omitempty"`
	// Budgets bound what orders may take out at once. The voters' files count, and have to be alike.
	Budgets []DisruptionBudget `yaml:"budgets,omitempty"`
}

// DisruptionBudget is how many gateways, or endpoints of a cluster, may be out at once, with those that are out by themselves. Most and
// Part both count where both are set.
type DisruptionBudget struct {
	Name     string  `yaml:"name"`
	Cluster  string  `yaml:"cluster,omitempty"` // endpoints of it, "*": of each; empty: gateways
	Site     string  `yaml:"site,omitempty"`    // of one site
	Zone     string  `yaml:"zone,omitempty"`    // of one zone
	Each     string  `yaml:"each,omitempty"`    // zone or site: each by itself
	Max      int     `yaml:"most,omitempty"`
	Fraction float64 `yaml:"part,omitempty"`
}

// AddressOverride is how one member is reached from here, by forwarding or a tunnel.
type AddressOverride struct {
	Member  string `yaml:"member"` // the address that it is known by
	Address string `yaml:"at"`
}

// Quorum are the voters that agree on who holds what.
type Quorum struct {
	Voters          []Voter  `yaml:"voters"`           // one for a try, three or five
	Directory       string   `yaml:"folder,omitempty"` // of this process's log, where it is one of them
	ElectionTimeout Duration `yaml:"heartbeat"`        // without word of the leader for so long a voter stands for election
	MaxBytes        Size     `yaml:"most_bytes"`       // of the log
}

// Voter is one of them, by its member's name.
type Voter struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Subscription is how the gateways of a site share one.
type Subscription struct {
	DirectAfter Duration `yaml:"own_after"` // without word of a holder, each asks the control plane itself
	Spread      Duration `yaml:"spread"`    // over so long, by chance
	Heartbeat   Duration `yaml:"heartbeat"` // between two signs of life of the holder
}

// PostTask is a duty: one process of the fleet posts to a URL, again and again, with its token in the header Robindrum-Token.
// What is posted to is to refuse a token lower than the highest that it has seen.
type PostTask struct {
	Name     string   `yaml:"name"`
	URL      string   `yaml:"url"`
	Interval Duration `yaml:"every"`
	Timeout  Duration `yaml:"timeout"`
}

// Bounds of a fleet's names, as its members tell each other of them.
const maxFleetName = 64

func (f *Fleet) fill() {
	setDefault(&f.Address, "127.0.0.1:7600")
	setDefault(&f.Advertise, f.Address)
	setDefault(&f.ProbeInterval, Duration(time.Second))
	setDefault(&f.ForgetAfter, Duration(time.Hour))
	setDefault(&f.LeaseLength, Duration(10*time.Second))
	setDefault(&f.Quorum.ElectionTimeout, Duration(500*time.Millisecond))
	setDefault(&f.Quorum.MaxBytes, 256<<20)
	if f.Budgets == nil {
		f.Budgets = []DisruptionBudget{{Name: "gateways", Each: "site", Fraction: 0.34}, {Name: "endpoints", Cluster: "*", Each: "zone", Fraction: 0.34}}
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

// IsVoter tells whether this process is one of the voters.
func (f *Fleet) IsVoter() bool {
	for _, v := range f.Quorum.Voters {
		if v.Name == f.Member {
			return true
		}
	}
	return false
}

func (f *Fleet) check(d *decoder) {
	text := func(field, s string, needed bool) {
		switch {
		case s == "" && needed:
			d.errorAt(field, "is missing")
		case len(s) > maxFleetName:
			d.errorAt(field, "%d bytes, %d at most", len(s), maxFleetName)
		case strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '@' || r > '~' }):
			d.errorAt(field, "%q: letters, digits and signs but @ and spaces", s)
		}
	}
	text("fleet.name", f.Name, true)
	text("fleet.member", f.Member, true)
	text("fleet.site", f.Site, false)
	ip := func(field, s string, zero bool) {
		if !checkAddress(d, field, s, zero) {
			return
		}
		if host, _, _ := net.SplitHostPort(s); net.ParseIP(host) == nil || net.ParseIP(host).IsUnspecified() && field != "fleet.address" {
			d.errorAt(field, "%q is not an IP address with a port", s)
		}
	}
	ip("fleet.address", f.Address, false)
	ip("fleet.advertise", f.Advertise, false)
	if host, _, _ := net.SplitHostPort(f.Address); !f.AllowRemote && net.ParseIP(host) != nil && !net.ParseIP(host).IsLoopback() {
		d.errorAt("fleet.address", "%s is not on loopback; whoever reaches it is believed, say fleet.remote: true if that is meant", f.Address)
	}
	for i, s := range f.Seeds {
		ip(fmt.Sprintf("fleet.seeds[%d]", i), s, false)
	}
	for i, v := range f.AddressOverrides {
		checkAddress(d, fmt.Sprintf("fleet.via[%d].member", i), v.Member, false)
		checkAddress(d, fmt.Sprintf("fleet.via[%d].at", i), v.Address, false)
	}
	checkRange(d, "fleet.probe", f.ProbeInterval, 10*time.Millisecond, time.Minute)
	checkRange(d, "fleet.forget", f.ForgetAfter, f.ProbeInterval.D(), 24*time.Hour)
	checkRange(d, "fleet.lease", f.LeaseLength, lease.MinLength, lease.MaxLength)
	f.checkQuorum(d, text, ip)
	if s := f.Subscription; s != nil {
		if f.Site == "" {
			d.errorAt("fleet.subscription", "needs fleet.site: it is one for each site")
		}
		checkRange(d, "fleet.subscription.own_after", s.DirectAfter, 10*time.Millisecond, time.Hour)
		checkRange(d, "fleet.subscription.spread", s.Spread, time.Millisecond, time.Hour)
		checkRange(d, "fleet.subscription.heartbeat", s.Heartbeat, 10*time.Millisecond, s.DirectAfter.D()/2)
	}
	names := map[string]bool{}
	for i, b := range f.Budgets {
		at := fmt.Sprintf("fleet.budgets[%d]", i)
		text(at+".name", b.Name, true)
		switch {
		case names["budget "+b.Name]:
			d.errorAt(at+".name", "%q stands twice", b.Name)
		case b.Max < 0 || b.Fraction < 0 || b.Fraction > 1 || b.Max == 0 && b.Fraction == 0:
			d.errorAt(at, "want most, a part from 0 to 1, or both")
		case b.Each != "" && b.Each != "zone" && b.Each != "site" || b.Each == "site" && b.Cluster != "":
			d.errorAt(at+".each", "want zone, or site for gateways, not %q", b.Each)
		}
		names["budget "+b.Name] = true
	}
	for i, p := range f.Posts {
		at := fmt.Sprintf("fleet.posts[%d]", i)
		text(at+".name", p.Name, true)
		if names[p.Name] {
			d.errorAt(at+".name", "%q stands twice", p.Name)
		}
		names[p.Name] = true
		if u, err := url.Parse(p.URL); err != nil || u.Scheme != "http" || u.Host == "" {
			d.errorAt(at+".url", "%q is not an http URL", p.URL)
		}
		checkRange(d, at+".every", p.Interval, 10*time.Millisecond, 24*time.Hour)
		checkRange(d, at+".timeout", p.Timeout, 10*time.Millisecond, time.Minute)
	}
}

func (f *Fleet) checkQuorum(d *decoder, text func(string, string, bool), ip func(string, string, bool)) {
	q := &f.Quorum
	switch len(q.Voters) {
	case 1, 3, 5:
	default:
		d.errorAt("fleet.quorum.voters", "want 3 or 5 (1 for a try), not %d", len(q.Voters))
	}
	seen := map[string]bool{}
	for i, v := range q.Voters {
		at := fmt.Sprintf("fleet.quorum.voters[%d]", i)
		text(at+".name", v.Name, true)
		ip(at+".address", v.Address, false)
		if seen[v.Name] || seen[v.Address] {
			d.errorAt(at, "%s %s stands twice", v.Name, v.Address)
		}
		seen[v.Name], seen[v.Address] = true, true
		if v.Name == f.Member && v.Address != f.Advertise {
			d.errorAt(at+".address", "%s, but this process is reached at %s", v.Address, f.Advertise)
		}
	}
	if f.IsVoter() && q.Directory == "" {
		d.errorAt("fleet.quorum.folder", "is missing: %s is a voter, and what it promises must outlast a crash", f.Member)
	}
	checkRange(d, "fleet.quorum.heartbeat", q.ElectionTimeout, 20*time.Millisecond, 10*time.Second)
	if 4*q.ElectionTimeout > f.LeaseLength {
		d.errorAt("fleet.lease", "%v, want four times fleet.quorum.heartbeat (%v) at the least: a lease is to outlast an election", f.LeaseLength.D(), q.ElectionTimeout.D())
	}
	if q.MaxBytes < 1<<20 {
		d.errorAt("fleet.quorum.most_bytes", "want 1MiB at the least")
	}
}

func checkRange(d *decoder, field string, v Duration, least, most time.Duration) {
	if v.D() < least || v.D() > most {
		d.errorAt(field, "want %v to %v, not %v", least, most, v.D())
	}
}

// Warnings are what can be used and should be looked at.
func (f *File) Warnings() []string {
	if f.Fleet == nil {
		return nil
	}
	return f.Fleet.warnings()
}

func (f *Fleet) warnings() (l []string) {
	if !peer.Private(f.Address) {
		l = append(l, fmt.Sprintf("fleet.address: %s is not on a private address: whoever reaches it is believed", f.Address))
	}
	if len(f.Quorum.Voters) == 1 {
		l = append(l, "fleet.quorum.voters: with one voter nothing is agreed on while it is away")
	}
	return l
}

// WitnessFile is the file of a process that votes and serves no traffic.
type WitnessFile struct {
	Fleet Fleet `yaml:"fleet"`
	Admin Admin `yaml:"admin"`
	Log   Log   `yaml:"log"`

	dir string
}

// LoadWitness reads and checks one. The error is of type Errors.
func LoadWitness(path string) (*WitnessFile, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	w := &WitnessFile{dir: filepath.Dir(path)}
	d := &decoder{file: path}
	d.decode(text, w)
	if err := d.err(); err != nil {
		return nil, err
	}
	f := &File{Admin: w.Admin, Log: w.Log}
	f.fill()
	w.Fleet.fill()
	f.checkAdmin(d)
	f.checkLog(d)
	w.Fleet.check(d)
	if !w.Fleet.IsVoter() {
		d.errorAt("fleet.member", "%q is not among fleet.quorum.voters: a witness votes and does nothing else", w.Fleet.Member)
	}
	if w.Fleet.Subscription != nil || len(w.Fleet.Posts) > 0 {
		d.errorAt("fleet", "a witness has no duties: leave subscription and posts out")
	}
	w.Admin, w.Log = f.Admin, f.Log
	w.Fleet.Quorum.Directory = resolveIn(w.dir, w.Fleet.Quorum.Directory)
	if err := d.err(); err != nil {
		return nil, err
	}
	return w, nil
}

// Warnings are what can be used and should be looked at.
func (w *WitnessFile) Warnings() []string { return w.Fleet.warnings() }
