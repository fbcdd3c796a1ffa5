// Package drain holds what operators and releases have asked a fleet to take out of service, and decides when that may be: the
// state machine that the quorum applies beside its leases. It has no clock, no I/O and no goroutine; times are readings of the
// leader's clock, as in package lease.
//
// One rule stands over all: **what is missing counts as out**, whoever caused it. A budget says how many may be out; an order is
// granted a slot before anything is taken out, and gives it back only when its target has been seen in service again. Bringing
// something back needs no slot and no majority.
package drain

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"robindrum/internal/unknownfields"
)

// Bounds: texts come from outside, and the book is in every snapshot.
const (
	maxOrders    = 1024 // that have not ended, and of those that have as many
	maxBudgets   = 64
	maxGateways  = 4096
	maxEndpoints = 20_000
	maxMore      = 16  // unknown fields of one
	maxText      = 256 // bytes of an id, owner or reason
	// MaxGrace bounds how long what is in hand is waited for.
	MaxGrace = time.Hour
	// keepEnded is how long an order that has ended can be asked for.
	keepEnded = 24 * time.Hour
)

// Target is what an order is about: a gateway, an endpoint of a cluster, a zone of a site's gateways, or a zone of a cluster.
type Target struct {
	Gateway  string `json:"gateway,omitempty"`  // a member's name
	Cluster  string `json:"cluster,omitempty"`  // with Endpoint or Zone
	Endpoint string `json:"endpoint,omitempty"` // address
	Site     string `json:"site,omitempty"`     // with Zone, of gateways
	Zone     string `json:"zone,omitempty"`
}

func (t Target) String() string {
	switch {
	case t.Gateway != "":
		return "gateway " + t.Gateway
	case t.Endpoint != "":
		return "endpoint " + t.Cluster + "/" + t.Endpoint
	case t.Cluster != "":
		return "zone " + t.Zone + " of cluster " + t.Cluster
	}
	return strings.TrimSpace("gateways of zone " + t.Zone + " " + t.Site)
}

// OfGateways tells whether a target is gateways; else it is endpoints.
func (t Target) OfGateways() bool { return t.Cluster == "" }

// MatchesGateway tells whether a gateway of a site and zone is in the target, HasEndpoint whether a cluster's endpoint in a zone is.
func (t Target) MatchesGateway(name, site, zone string) bool {
	return t.OfGateways() && (t.Gateway == name && name != "" || t.Gateway == "" && t.Zone != "" && t.Zone == zone && t.Site == site)
}

func (t Target) MatchesEndpoint(cluster, address, zone string) bool {
	return t.Cluster != "" && t.Cluster == cluster && (t.Endpoint == address && address != "" || t.Endpoint == "" && t.Zone != "" && t.Zone == zone)
}

// State is where an order stands.
type State string

// An order goes from asked to granted to under way to done, or to overdue and then done; to cancelled from anywhere before it has
// ended, and to refused at once.
const (
	Pending   State = "asked"     // waits for a slot
	Granted   State = "granted"   // has a slot; nothing was taken out yet
	Draining  State = "under way" // its target gets nothing new
	Drained   State = "done"      // its target has nothing in hand
	Overdue   State = "overdue"   // its time is over, and it had something in hand
	Cancelled State = "cancelled" // its target may serve; the slot is held until it does
	Ended     State = "ended"     // its target has been seen in service again, or is not there any more
	Rejected  State = "refused"
)

// holdsSlot tells whether an order in this state has a slot.
func (s State) holdsSlot() bool {
	return s == Granted || s == Draining || s == Drained || s == Overdue || s == Cancelled
}

// Unavailable tells whether an order in this state keeps its target from serving.
func (s State) Unavailable() bool { return s == Draining || s == Drained || s == Overdue }

// Request is one.
type Request struct {
	ID     string `json:"id"` // the asker's: the same one asked for again is the same order
	Target Target `json:"target"`
	Owner  string `json:"owner"`
	Reason string `json:"reason,omitempty"`
	// Grace is how long what the target has in hand is waited for. A gateway still takes what comes for the first part of it,
	// Notice, with its readiness off, so that those before it can turn away.
	Grace  time.Duration `json:"grace"`
	Notice time.Duration `json:"notice,omitempty"`
	// WaitForAll: what a gateway has in hand when Grace is over is waited for on; else it is answered there, see Last.
	WaitForAll bool `json:"wait,omitempty"`
	// Restart is the version of the program as which a gateway is to start anew once it has nothing in hand; empty: it stays.
	Restart string               `json:"restart,omitempty"`
	Unknown unknownfields.Fields `json:"-"` // handed on

	State       State  `json:"state"`
	StateReason string `json:"why,omitempty"` // of refused, and of asked: what it waits for
	// Token is higher than that of each order granted before it. Who takes the target out shows it.
	Token        uint64        `json:"token,omitempty"`
	StateSince   time.Duration `json:"since"` // of State
	Deadline     time.Duration `json:"until,omitempty"`
	InFlight     int           `json:"in_hand,omitempty"` // as the target said last
	Seq          uint64        `json:"seq"`               // orders in the order in which they were asked for
	StateVersion uint64        `json:"at"`                // the book's version at the last change of State
}

// MarshalJSON and UnmarshalJSON keep the fields that this program does not know.
func (o Request) MarshalJSON() ([]byte, error) {
	type plain Request
	return unknownfields.Marshal(plain(o), o.Unknown)
}

// UnmarshalJSON is the other way of MarshalJSON.
func (o *Request) UnmarshalJSON(text []byte) error {
	type plain Request
	return unknownfields.Unmarshal(text, (*plain)(o), &o.Unknown)
}

// Scope is what a budget counts.
type Scope struct {
	// Gateways of all sites, or of one; a site's by zone, or of one zone.
	Gateways bool   `json:"gateways,omitempty"`
	Site     string `json:"site,omitempty"`
	// Cluster's endpoints: "*" is each cluster by itself.
	Cluster string `json:"cluster,omitempty"`
	Zone    string `json:"zone,omitempty"`
	// Each zone by itself.
	EachZone bool `json:"each_zone,omitempty"`
	EachSite bool `json:"each_site,omitempty"`
}

// Budget bounds how many of a scope may be out. Both bounds count where both are set; a part is rounded down, and at least one
// may be out where a part alone is set and there are more than one.
type Budget struct {
	Name     string  `json:"name"`
	Scope    Scope   `json:"scope"`
	Max      int     `json:"most,omitempty"`
	Fraction float64 `json:"part,omitempty"`
}

func (b *Budget) bound(of int) int {
	n := of
	if b.Max > 0 {
		n = min(n, b.Max)
	}
	if b.Fraction > 0 {
		p := int(b.Fraction * float64(of))
		if p == 0 && of > 1 && b.Max == 0 {
			p = 1
		}
		n = min(n, p)
	}
	return n
}

// Gateway is what the fleet knows of one.
type Gateway struct {
	Name        string `json:"name"`
	Site        string `json:"site,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Incarnation uint64 `json:"birth"`
	Serving     bool   `json:"serving"`
}

// Endpoint is what the fleet's gateways know of one.
type Endpoint struct {
	Cluster string `json:"cluster"`
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	// Healthy: enough gateways have it in use, warm and not ejected.
	Healthy bool `json:"well"`
}

// Ledger is all orders with what they are judged by. A Book is for one goroutine at a time; the same calls give the same book.
type Ledger struct {
	Version   uint64              `json:"version"` // rises with each change that others are to know of
	LastToken uint64              `json:"last_token"`
	Seq       uint64              `json:"seq"`
	Now       time.Duration       `json:"now"`
	Requests  map[string]*Request `json:"orders"`
	Budgets   []Budget            `json:"budgets"`
	Gateways  map[string]Gateway  `json:"gateways"`
	Endpoints map[string]Endpoint `json:"endpoints"`
	Halted    bool                `json:"halted,omitempty"` // nothing new is granted
	// ObservedVersion is the version that everyone who was asked had taken over when it said what Gateways and Endpoints have.
	ObservedVersion uint64               `json:"seen"`
	Unknown         unknownfields.Fields `json:"-"`
}

// MarshalJSON and UnmarshalJSON keep the fields that this program does not know.
func (b Ledger) MarshalJSON() ([]byte, error) {
	type plain Ledger
	return unknownfields.Marshal(plain(b), b.Unknown)
}

// UnmarshalJSON is the other way of MarshalJSON.
func (b *Ledger) UnmarshalJSON(text []byte) error {
	type plain Ledger
	return unknownfields.Unmarshal(text, (*plain)(b), &b.Unknown)
}

// NewLedger makes an empty one.
func NewLedger() *Ledger {
	return &Ledger{Requests: map[string]*Request{}, Gateways: map[string]Gateway{}, Endpoints: map[string]Endpoint{}}
}

// Restore reads a ledger as encoding/json wrote it. A ledger that no calls can have led to is an error.
func Restore(text []byte) (*Ledger, error) {
	return unknownfields.Restore("orders", text, NewLedger())
}

// Validate returns an error where no sequence of calls can have led to the ledger.
func (b *Ledger) Validate() error {
	if b.Requests == nil || b.Gateways == nil || b.Endpoints == nil || len(b.Requests) > 2*maxOrders || len(b.Budgets) > maxBudgets || b.LastToken == math.MaxUint64 ||
		b.Seq == math.MaxUint64 || b.Version == math.MaxUint64 {
		return errors.New("not a ledger")
	}
	for id, o := range b.Requests {
		if o == nil || o.ID != id || o.Token > b.LastToken || o.Seq > b.Seq {
			return fmt.Errorf("%q is no drain request", id)
		}
	}
	return nil
}

// What an asker may be told.
var (
	ErrIDInUse    = errors.New("another order has this id")
	ErrNotFound   = errors.New("there is no such order")
	ErrTooMany    = errors.New("there are too many orders")
	ErrWrongState = errors.New("the order is not in a state for this")
)

// BeginTerm begins a term of another leader, whose clock has nothing to do with the one before: times count from now on.
func (b *Ledger) BeginTerm(now time.Duration) {
	shift := now - b.Now
	b.Now = now
	for _, o := range b.Requests {
		o.StateSince += shift
		if o.Deadline > 0 {
			o.Deadline += shift
		}
	}
}

func (b *Ledger) at(now time.Duration) { b.Now = max(b.Now, now) }

func (b *Ledger) set(o *Request, s State, why string) {
	if o.State != s {
		o.StateSince = b.Now
		b.Version++
		o.StateVersion = b.Version
	}
	o.State, o.StateReason = s, why
}

// Submit asks for an order. Asked once more with the same id it is the same one, in whatever state it is; with another target it is an
// error.
func (b *Ledger) Submit(now time.Duration, o Request) (Request, error) {
	b.at(now)
	if old := b.Requests[o.ID]; old != nil {
		if old.Target != o.Target || old.Restart != o.Restart {
			return *old, ErrIDInUse
		}
		b.settle()
		return *old, nil
	}
	if err := b.check(&o); err != nil {
		return o, err
	}
	b.Seq++
	x := &Request{ID: o.ID, Target: o.Target, Owner: o.Owner, Reason: o.Reason, Grace: o.Grace, Notice: o.Notice, WaitForAll: o.WaitForAll, Restart: o.Restart,
		Unknown: o.Unknown, Seq: b.Seq}
	b.Requests[o.ID] = x
	if why := b.never(x); why != "" {
		b.set(x, Rejected, why)
		return *x, nil
	}
	b.set(x, Pending, "")
	b.settle()
	return *x, nil
}

func (b *Ledger) check(o *Request) error {
	for field, s := range map[string]string{"id": o.ID, "owner": o.Owner, "reason": o.Reason, "gateway": o.Target.Gateway, "cluster": o.Target.Cluster, "endpoint": o.Target.Endpoint,
		"site": o.Target.Site, "zone": o.Target.Zone, "restart": o.Restart} {
		if len(s) > maxText {
			return fmt.Errorf("%s: %d bytes, %d at most", field, len(s), maxText)
		}
	}
	t, kinds := o.Target, 0
	for _, s := range []string{t.Gateway, t.Endpoint, t.Zone} {
		if s != "" {
			kinds++
		}
	}
	switch {
	case o.ID == "":
		return errors.New("id: is missing")
	case kinds != 1 || t.Gateway != "" && t.Cluster+t.Site != "" || t.Endpoint != "" && (t.Cluster == "" || t.Site != "") || t.Zone != "" && t.Cluster != "" && t.Site != "":
		return errors.New("target: want a gateway, an endpoint of a cluster, a zone of a site, or a zone of a cluster")
	case o.Restart != "" && t.Gateway == "":
		return errors.New("restart: is for one gateway")
	case len(o.Unknown) > maxMore:
		return fmt.Errorf("%d fields that are not known, %d at most", len(o.Unknown), maxMore)
	case strings.ContainsAny(t.Gateway+t.Endpoint+t.Cluster+t.Site+t.Zone, "*?"):
		return errors.New("target: patterns are not taken: name each")
	case o.Grace <= 0:
		return fmt.Errorf("grace: %v is in the past", o.Grace)
	case o.Notice < 0 || o.Notice > o.Grace:
		return fmt.Errorf("notice: %v, want 0 to the grace of %v", o.Notice, o.Grace)
	case o.Grace > MaxGrace:
		return fmt.Errorf("grace: %v, %v at most", o.Grace, MaxGrace)
	}
	n := 0
	for _, x := range b.Requests {
		if x.State != Ended && x.State != Rejected {
			n++
		}
	}
	if n >= maxOrders {
		return ErrTooMany
	}
	return nil
}

// never says why an order cannot ever be granted as the fleet is; empty: it can.
func (b *Ledger) never(o *Request) string {
	members := b.members(o.Target)
	if len(members) == 0 {
		if len(b.Gateways) == 0 { // nobody has looked yet
			return ""
		}
		return "nobody knows of " + o.Target.String()
	}
	held := b.tally()
	for _, m := range members {
		for _, c := range held.counts(m) {
			switch n := c.among(members); {
			case c.bound == 0:
				return fmt.Sprintf("budget %s allows none of %d to be out", c.name, c.of)
			case n > c.bound:
				return fmt.Sprintf("budget %s allows %d of %d to be out, this is %d", c.name, c.bound, c.of, n)
			}
		}
	}
	return ""
}

// members are the gateways or endpoints that a target stands for, as far as they are known.
func (b *Ledger) members(t Target) (l []Target) {
	if t.Gateway != "" {
		if _, ok := b.Gateways[t.Gateway]; ok {
			l = append(l, t)
		}
		return l
	}
	if t.OfGateways() {
		for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
			if g := b.Gateways[name]; t.MatchesGateway(name, g.Site, g.Zone) {
				l = append(l, Target{Gateway: name})
			}
		}
		return l
	}
	if t.Endpoint != "" {
		if _, ok := b.Endpoints[t.key()]; ok {
			l = append(l, t)
		}
		return l
	}
	for _, key := range slices.Sorted(maps.Keys(b.Endpoints)) {
		if e := b.Endpoints[key]; t.MatchesEndpoint(e.Cluster, e.Address, e.Zone) {
			l = append(l, Target{Cluster: e.Cluster, Endpoint: e.Address})
		}
	}
	return l
}

// count is one budget as it stands for a gateway or an endpoint.
type count struct {
	name      string
	of, bound int
	in        map[string]bool // all that it counts
	out       map[string]bool // of them, with what orders hold
}

// among is how many of some it counts.
func (c *count) among(l []Target) (n int) {
	for _, t := range l {
		if c.in[t.key()] {
			n++
		}
	}
	return n
}

// tally is how the budgets stand while nothing changes.
type tally struct {
	b    *Ledger
	held map[Target]bool
	by   map[Target][]count // by place: all of one fall under the same budgets
}

func (b *Ledger) tally() *tally { return &tally{b: b, held: b.held(), by: map[Target][]count{}} }

// counts gives the budgets that a gateway or an endpoint falls under.
func (y *tally) counts(t Target) []count {
	place := Target{Cluster: t.Cluster}
	known := false
	if t.Gateway != "" {
		g, ok := y.b.Gateways[t.Gateway]
		place.Site, place.Zone, known = g.Site, g.Zone, ok
	} else {
		e, ok := y.b.Endpoints[t.key()]
		place.Zone, known = e.Zone, ok
	}
	if !known {
		return nil
	}
	l, ok := y.by[place]
	if !ok {
		l = y.b.counts(t, y.held)
		y.by[place] = l
	}
	return l
}

func (b *Ledger) counts(t Target, held map[Target]bool) (l []count) {
	for i := range b.Budgets {
		g := &b.Budgets[i]
		s := &g.Scope
		c := count{name: g.Name, in: map[string]bool{}, out: map[string]bool{}}
		if t.Gateway != "" {
			me, known := b.Gateways[t.Gateway]
			if !s.Gateways || !known || s.Site != "" && s.Site != me.Site || s.Zone != "" && s.Zone != me.Zone {
				continue
			}
			for name, x := range b.Gateways {
				if s.Site != "" && x.Site != s.Site || s.Zone != "" && x.Zone != s.Zone || s.EachSite && x.Site != me.Site || s.EachZone && (x.Zone != me.Zone || x.Site != me.Site) {
					continue
				}
				c.in[name] = true
				if !x.Serving || held[Target{Gateway: name}] {
					c.out[name] = true
				}
			}
		} else {
			me, known := b.Endpoints[t.Cluster+"/"+t.Endpoint]
			if s.Cluster == "" || !known || s.Cluster != "*" && s.Cluster != t.Cluster || s.Zone != "" && s.Zone != me.Zone {
				continue
			}
			for key, x := range b.Endpoints {
				if x.Cluster != t.Cluster || s.Zone != "" && x.Zone != s.Zone || s.EachZone && x.Zone != me.Zone {
					continue
				}
				c.in[key] = true
				if !x.Healthy || held[Target{Cluster: x.Cluster, Endpoint: x.Address}] {
					c.out[key] = true
				}
			}
		}
		c.of = len(c.in)
		c.bound = g.bound(c.of)
		l = append(l, c)
	}
	return l
}

// held are the gateways and endpoints for which an order has a slot. One that is cancelled holds it until it is seen in service.
func (b *Ledger) held() map[Target]bool {
	m := map[Target]bool{}
	for _, o := range b.Requests {
		if !o.State.holdsSlot() {
			continue
		}
		l := b.members(o.Target)
		if len(l) == 0 && (o.Target.Gateway != "" || o.Target.Endpoint != "") {
			l = []Target{o.Target}
		}
		for _, t := range l {
			if o.State != Cancelled || b.ObservedVersion < o.StateVersion || !b.well(t) {
				m[t] = true
			}
		}
	}
	return m
}

func (t Target) key() string {
	if t.Gateway != "" {
		return t.Gateway
	}
	return t.Cluster + "/" + t.Endpoint
}

// room says why a target may not be taken out now; empty: it may. What is out already takes no more room.
func (b *Ledger) room(t Target, held *tally) string {
	members := b.members(t)
	if len(members) == 0 {
		return "nobody knows of " + t.String()
	}
	for _, m := range members {
		for _, c := range held.counts(m) {
			more := 0
			for _, x := range members {
				if k := x.key(); c.in[k] && !c.out[k] {
					more++
				}
			}
			if n := len(c.out); more > 0 && n+more > c.bound || n > c.bound {
				return fmt.Sprintf("budget %s: %d of %d are out, %d may be (%s)", c.name, n, c.of, c.bound, some(c.out))
			}
		}
	}
	return ""
}

// some names a few.
func some(m map[string]bool) string {
	l := slices.Sorted(maps.Keys(m))
	if len(l) > 5 {
		return strings.Join(l[:5], ", ") + ", ..."
	}
	return strings.Join(l, ", ")
}

// settle grants what may be granted, in the order in which it was asked for, takes back what was granted and not begun where
// something was lost meanwhile, and ends what has come back.
func (b *Ledger) settle() {
	all := slices.SortedFunc(maps.Values(b.Requests), func(x, y *Request) int { return cmp.Compare(x.Seq, y.Seq) })
	for _, o := range all {
		switch {
		case o.State.Unavailable() && o.State != Drained && o.State != Overdue && o.Deadline > 0 && b.Now >= o.Deadline:
			b.set(o, Overdue, "")
		case o.State == Cancelled && b.ObservedVersion >= o.StateVersion && b.well(o.Target) && !b.other(o):
			b.set(o, Ended, "")
		case (o.State == Ended || o.State == Rejected) && b.Now-o.StateSince > keepEnded:
			delete(b.Requests, o.ID)
		}
	}
	// The latest granted goes first. Danger: taken back one by one, as each may be enough.
	held := b.tally()
	for i := len(all) - 1; i >= 0; i-- {
		if o := all[i]; o.State == Granted {
			if why := b.room(o.Target, held); why != "" {
				b.set(o, Pending, "taken back: "+why)
				held = b.tally()
			}
		}
	}
	for _, o := range all {
		if o.State != Pending {
			continue
		}
		why := b.room(o.Target, held)
		if b.Halted {
			why = "halted: nothing new is taken out"
		}
		if why != "" {
			o.StateReason = why
			continue
		}
		b.LastToken++
		o.Token = b.LastToken
		b.set(o, Granted, "")
		held = b.tally()
	}
	b.trim(all)
}

// trim forgets the oldest that have ended.
func (b *Ledger) trim(all []*Request) {
	n := 0
	for i := len(all) - 1; i >= 0; i-- {
		if o := all[i]; o.State == Ended || o.State == Rejected {
			if n++; n > maxOrders {
				delete(b.Requests, o.ID)
			}
		}
	}
}

// well tells whether all of a target is in service, or is not there any more.
func (b *Ledger) well(t Target) bool {
	for _, m := range b.members(t) {
		if m.Gateway != "" && !b.Gateways[m.Gateway].Serving || m.Gateway == "" && !b.Endpoints[m.key()].Healthy {
			return false
		}
	}
	return true
}

// other tells whether another order keeps the same target out.
func (b *Ledger) other(o *Request) bool {
	for _, x := range b.Requests {
		if x != o && x.Target == o.Target && x.State.Unavailable() {
			return true
		}
	}
	return false
}

// Begin is that the target's taking out begins, under the token that it was granted with. It is the last moment at which a slot can
// still be taken back.
func (b *Ledger) Begin(now time.Duration, id string, token uint64) (Request, error) {
	b.at(now)
	b.settle()
	o := b.Requests[id]
	switch {
	case o == nil:
		return Request{}, ErrNotFound
	case o.Token != token:
		return *o, fmt.Errorf("%w: its token is %d, not %d", ErrWrongState, o.Token, token)
	case o.State.Unavailable(): // said once more
		return *o, nil
	case o.State != Granted:
		return *o, fmt.Errorf("%w: it is %s", ErrWrongState, o.State)
	}
	o.Deadline = b.Now + o.Grace
	b.set(o, Draining, "")
	return *o, nil
}

// Progress is what a target under way has in hand; none: it is done.
func (b *Ledger) Progress(now time.Duration, id string, token uint64, inHand int) (Request, error) {
	b.at(now)
	b.settle()
	o := b.Requests[id]
	switch {
	case o == nil:
		return Request{}, ErrNotFound
	case o.Token != token || !o.State.Unavailable():
		return *o, fmt.Errorf("%w: it is %s under token %d", ErrWrongState, o.State, o.Token)
	}
	o.InFlight = max(inHand, 0)
	if o.InFlight == 0 {
		b.set(o, Drained, "")
	}
	return *o, nil
}

// Cancel brings a target back, or drops what was not begun. It needs no slot. Cancelled once more, nothing changes.
func (b *Ledger) Cancel(now time.Duration, id string) (Request, error) {
	b.at(now)
	o := b.Requests[id]
	if o == nil {
		return Request{}, ErrNotFound
	}
	switch {
	case o.State == Pending || o.State == Granted:
		b.set(o, Ended, "cancelled before it began")
	case o.State.Unavailable():
		b.set(o, Cancelled, "")
	}
	b.settle()
	return *o, nil
}

// SetHalted has nothing new granted until it is lifted. What is out stays, what comes back comes back.
func (b *Ledger) SetHalted(now time.Duration, on bool) {
	b.at(now)
	if b.Halted != on {
		b.Halted = on
		b.Version++
	}
	b.settle()
}

// SetBudgets sets the budgets. One lowered under what is out brings nothing back by itself, and grants nothing new.
func (b *Ledger) SetBudgets(now time.Duration, l []Budget) error {
	b.at(now)
	if len(l) > maxBudgets {
		return fmt.Errorf("%d budgets, %d at most", len(l), maxBudgets)
	}
	for _, g := range l {
		switch {
		case g.Name == "" || len(g.Name) > maxText:
			return errors.New("a budget without a name")
		case g.Scope.Gateways == (g.Scope.Cluster != ""):
			return fmt.Errorf("budget %s: it counts gateways, or the endpoints of a cluster", g.Name)
		case g.Max < 0 || g.Fraction < 0 || g.Fraction > 1 || g.Fraction != g.Fraction || g.Max == 0 && g.Fraction == 0:
			return fmt.Errorf("budget %s: want a number, a part from 0 to 1, or both", g.Name)
		}
	}
	b.Budgets = slices.Clone(l)
	b.settle()
	return nil
}

// Observe takes what the fleet knows of its gateways and endpoints: all of them, as each said when it had taken over the view of a
// version; who does not answer is not serving. A gateway that was killed while it was out, and runs again, is still out: its order
// goes on. Danger: an order that is cancelled must not end by what was seen before.
func (b *Ledger) Observe(now time.Duration, version uint64, gateways []Gateway, endpoints []Endpoint) error {
	b.at(now)
	b.ObservedVersion = max(b.ObservedVersion, min(version, b.Version))
	if len(gateways) > maxGateways || len(endpoints) > maxEndpoints {
		return fmt.Errorf("%d gateways and %d endpoints, %d and %d at most", len(gateways), len(endpoints), maxGateways, maxEndpoints)
	}
	clear(b.Gateways)
	for _, g := range gateways {
		b.Gateways[g.Name] = g
	}
	clear(b.Endpoints)
	for _, e := range endpoints {
		b.Endpoints[e.Cluster+"/"+e.Address] = e
	}
	b.settle()
	return nil
}

// View is what each gateway is to know: what is out, and since which version.
type View struct {
	Term     uint64    `json:"term"`
	Version  uint64    `json:"version"`
	Requests []Request `json:"out"` // granted, or out
}

// View gives it.
func (b *Ledger) View(term uint64) View {
	v := View{Term: term, Version: b.Version}
	for _, o := range b.Requests {
		if o.State.Unavailable() || o.State == Granted {
			v.Requests = append(v.Requests, *o)
		}
	}
	slices.SortFunc(v.Requests, func(x, y Request) int { return cmp.Compare(x.Seq, y.Seq) })
	return v
}

// NewerThan tells whether a view is of a later state than another one.
func (v *View) NewerThan(o *View) bool {
	return v.Version > o.Version || v.Version == o.Version && v.Term > o.Term
}

// List gives all orders, in the order in which they were asked for.
func (b *Ledger) List() []Request {
	l := make([]Request, 0, len(b.Requests))
	for _, o := range b.Requests {
		l = append(l, *o)
	}
	slices.SortFunc(l, func(x, y Request) int { return cmp.Compare(x.Seq, y.Seq) })
	return l
}

// FinalAnswer says how a request that is in hand when a gateway's grace is over is answered there: what can have had no effect may be asked
// for again; of all else nobody knows. Danger: a keyed one has one effect within its group alone, and another gateway may send it out
// of that.
func FinalAnswer(effect string, sent bool) (status int, again bool) {
	if !sent || effect == "safe" {
		return 503, true
	}
	return 504, false
}

// BudgetStatus is a budget as it stands.
type BudgetStatus struct {
	Name        string   `json:"name"`
	Scope       string   `json:"scope"`
	Total       int      `json:"of"`
	Allowed     int      `json:"bound"`
	Unavailable []string `json:"out"`
}

// BudgetStatuses gives each budget as it stands, for each zone, site or cluster that it counts by itself.
func (b *Ledger) BudgetStatuses() (l []BudgetStatus) {
	seen, held := map[string]bool{}, b.tally()
	note := func(t Target, site, zone string) {
		for _, c := range held.counts(t) {
			g := b.Budgets[slices.IndexFunc(b.Budgets, func(g Budget) bool { return g.Name == c.name })]
			scope := ""
			if g.Scope.Cluster != "" {
				scope = "cluster " + t.Cluster
			}
			if g.Scope.EachSite || g.Scope.Site != "" || g.Scope.EachZone && t.Gateway != "" {
				scope += " site " + site
			}
			if g.Scope.EachZone || g.Scope.Zone != "" {
				scope += " zone " + zone
			}
			scope = strings.TrimSpace(cmp.Or(scope, "all"))
			if k := c.name + "\x00" + scope; !seen[k] {
				seen[k] = true
				l = append(l, BudgetStatus{c.name, scope, c.of, c.bound, slices.Sorted(maps.Keys(c.out))})
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		note(Target{Gateway: name}, b.Gateways[name].Site, b.Gateways[name].Zone)
	}
	for _, key := range slices.Sorted(maps.Keys(b.Endpoints)) {
		e := b.Endpoints[key]
		note(Target{Cluster: e.Cluster, Endpoint: e.Address}, "", e.Zone)
	}
	return l
}
