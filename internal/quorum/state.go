package quorum

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"robindrum/internal/drain"
	"robindrum/internal/lease"
	"robindrum/internal/release"
	"robindrum/internal/unknownfields"
)

// Op is what a command does.
type Op string

const (
	Acquire Op = "acquire"
	Renew   Op = "renew"
	Release Op = "release"
	Revoke  Op = "revoke"
	Forget  Op = "forget"
	Ask     Op = "order"  // something is to be taken out
	Cancel  Op = "cancel" // and to come back
	Halt    Op = "halt"   // nothing new is taken out
	Resume  Op = "resume"
	// Of releases: a configuration is kept, a release begins, and what is done to it by hand.
	Put           Op = "config"
	ReleaseBegin  Op = "release-begin"
	ReleaseHalt   Op = "release-halt"
	ReleaseResume Op = "release-resume"
	ReleaseBack   Op = "release-back"
	ReleaseStop   Op = "release-stop"
	// The leader's own.
	lead     Op = "lead"
	limit    Op = "limit"
	see      Op = "see"
	begin    Op = "begin"
	progress Op = "progress"
)

// Command is one entry of the agreed log.
type Command struct {
	Op     Op           `json:"op"`
	Lease  string       `json:"lease,omitempty"`
	Rules  lease.Rules  `json:"rules,omitzero"`
	Member lease.Member `json:"member,omitzero"`
	Token  uint64       `json:"token,omitempty"`
	Heir   string       `json:"heir,omitempty"`
	Order  *drain.Order `json:"order,omitempty"` // ask, cancel; begin and progress with its token and what is in hand

	Budgets []drain.Budget `json:"budgets,omitempty"` // limit
	Seen    *Seen          `json:"seen,omitempty"`    // see

	Plan   *release.Plan `json:"plan,omitempty"`   // release
	Digest string        `json:"digest,omitempty"` // config
	Text   string        `json:"text,omitempty"`   // config; else why something is done by hand

	// Now is the reading of the leader's monotonic clock, set by the leader.
	Now   time.Duration        `json:"now,omitempty"`
	Fleet string               `json:"fleet,omitempty"` // lead: the identity that the fleet was founded with
	Base  uint64               `json:"base,omitempty"`  // lead: tokens are higher than this
	More  unknownfields.Fields `json:"-"`               // handed on: a leader writes what a newer client asked
}

// MarshalJSON and UnmarshalJSON keep the fields that this program does not know.
func (c Command) MarshalJSON() ([]byte, error) {
	type plain Command
	return unknownfields.Marshal(plain(c), c.More)
}

// UnmarshalJSON is the other way of MarshalJSON.
func (c *Command) UnmarshalJSON(text []byte) error {
	type plain Command
	return unknownfields.Unmarshal(text, (*plain)(c), &c.More)
}

// Seen is what the leader has heard of the fleet in one round.
type Seen struct {
	Version   uint64           `json:"version"` // of the view that all who answered had taken over
	Gateways  []drain.Gateway  `json:"gateways"`
	Endpoints []drain.Endpoint `json:"endpoints"`
	// Release is what each gateway shows, while a release is under way; else nil.
	Release []release.Gateway `json:"release,omitempty"`
}

// Result is what a command gave.
type Result struct {
	Grant lease.Grant  `json:"grant,omitzero"`
	Order *drain.Order `json:"order,omitempty"`
	// Code is empty, or why not: waiting, lost, old, full, bad.
	Code string `json:"code,omitempty"`
	Text string `json:"text,omitempty"`
	// Of one who waits: when the lease may be free at the earliest, and whether it is first in line for it.
	Left  time.Duration `json:"left,omitempty"`
	First bool          `json:"first,omitempty"`
}

var codes = map[string]error{"waiting": lease.ErrWaiting, "lost": lease.ErrLost, "old": lease.ErrOld, "full": lease.ErrFull}

func result(g lease.Grant, err error) Result {
	if err == nil {
		return Result{Grant: g}
	}
	for code, e := range codes {
		if errors.Is(err, e) {
			return Result{Code: code, Text: err.Error()}
		}
	}
	return Result{Code: "bad", Text: err.Error()}
}

// Err is why not, as one of package lease's errors where it is one.
func (r Result) Err() error {
	switch {
	case r.Code == "":
		return nil
	case codes[r.Code] != nil:
		return fmt.Errorf("%w (%s)", codes[r.Code], r.Text)
	}
	return errors.New(r.Text)
}

// state is what the quorum agrees on. It is the raft library's FSM.
type state struct {
	mu    sync.Mutex
	table *lease.Table
	book  *drain.Book
	rel   *release.Book
	fleet string
	more  unknownfields.Fields // of its stored form, by a newer program
}

func newState() *state {
	return &state{table: lease.NewTable(), book: drain.NewBook(), rel: release.NewBook()}
}

// Apply runs one entry. The same entries give the same state on each voter: time and term come from the entry alone.
func (s *state) Apply(l *raft.Log) any {
	var c Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return Result{Code: "bad", Text: err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(l.Term, &c)
}

func (s *state) apply(term uint64, c *Command) Result {
	if term > s.table.Term { // the first entry of a term counts every lease anew, whatever it is
		if err := s.table.Lead(term, c.Now); err != nil {
			return result(lease.Grant{}, err)
		}
		s.book.Lead(c.Now)
		s.rel.Lead(c.Now)
	}
	t := s.table
	switch c.Op {
	case lead:
		if s.fleet == "" {
			s.fleet = c.Fleet
			t.Last = max(t.Last, c.Base)
		}
		return Result{}
	case Acquire:
		r := result(t.Acquire(term, c.Now, c.Lease, c.Rules, c.Member))
		if r.Code == "waiting" {
			r.Left, r.First = t.Due(c.Lease, c.Member)
		}
		return r
	case Renew:
		return result(t.Renew(term, c.Now, c.Lease, c.Member, c.Token))
	case Release:
		return result(lease.Grant{}, t.Release(term, c.Now, c.Lease, c.Member, c.Token, c.Heir))
	case Revoke:
		return result(lease.Grant{}, t.Revoke(term, c.Now, c.Lease))
	case Forget:
		return result(lease.Grant{}, t.Forget(term, c.Now))
	}
	return s.applyOrder(c)
}

func (s *state) applyOrder(c *Command) Result {
	b := s.book
	var o drain.Order
	var err error
	switch {
	case c.Op == Halt, c.Op == Resume:
		b.Halt(c.Now, c.Op == Halt)
		return Result{}
	case c.Op == limit:
		return result(lease.Grant{}, b.Limit(c.Now, c.Budgets))
	case c.Op == see && c.Seen != nil:
		if c.Seen.Release != nil {
			s.rel.See(c.Now, c.Seen.Release)
		}
		err := b.See(c.Now, c.Seen.Version, c.Seen.Gateways, c.Seen.Endpoints)
		s.rel.Pace(c.Now, b)
		return result(lease.Grant{}, err)
	case c.Op == Ask && c.Order != nil:
		o, err = b.Ask(c.Now, *c.Order)
	case c.Op == Cancel && c.Order != nil:
		o, err = b.Cancel(c.Now, c.Order.ID)
	case c.Op == begin && c.Order != nil:
		o, err = b.Begin(c.Now, c.Order.ID, c.Order.Token)
	case c.Op == progress && c.Order != nil:
		o, err = b.Progress(c.Now, c.Order.ID, c.Order.Token, c.Order.InHand)
	default:
		err := s.applyRelease(c)
		s.rel.Pace(c.Now, b)
		return result(lease.Grant{}, err)
	}
	r := result(lease.Grant{}, err)
	r.Order = &o
	return r
}

func (s *state) applyRelease(c *Command) error {
	b := s.rel
	switch {
	case c.Op == Put:
		return b.Put(c.Digest, c.Text)
	case c.Op == ReleaseBegin && c.Plan != nil && len(c.More) > 0:
		// A gate that nobody here knows must not be left out.
		return fmt.Errorf("the release says what this voter's version does not know (%s): upgrade the voters first", strings.Join(slices.Sorted(maps.Keys(c.More)), ", "))
	case c.Op == ReleaseBegin && c.Plan != nil:
		return b.Begin(c.Now, *c.Plan)
	case c.Op == ReleaseHalt:
		return b.Halt(c.Now, c.Text)
	case c.Op == ReleaseResume:
		return b.Resume(c.Now)
	case c.Op == ReleaseBack:
		return b.Back(c.Now, c.Text)
	case c.Op == ReleaseStop:
		return b.Stop(c.Now, c.Text)
	}
	return fmt.Errorf("no such command: %q", c.Op)
}

// saved is the stored form.
type saved struct {
	Format int                  `json:"format"`
	Fleet  string               `json:"fleet"`
	Table  json.RawMessage      `json:"table"`
	Book   json.RawMessage      `json:"book,omitempty"` // earlier snapshots have none
	Rel    json.RawMessage      `json:"releases,omitempty"`
	More   unknownfields.Fields `json:"-"`
}

// MarshalJSON and UnmarshalJSON keep the fields that this program does not know.
func (v saved) MarshalJSON() ([]byte, error) {
	type plain saved
	return unknownfields.Marshal(plain(v), v.More)
}

// UnmarshalJSON is the other way of MarshalJSON.
func (v *saved) UnmarshalJSON(text []byte) error {
	type plain saved
	return unknownfields.Unmarshal(text, (*plain)(v), &v.More)
}

const format = 1

func (s *state) save() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	table, err := json.Marshal(s.table)
	if err != nil {
		return nil, err
	}
	book, err := json.Marshal(s.book)
	if err != nil {
		return nil, err
	}
	rel, err := json.Marshal(s.rel)
	if err != nil {
		return nil, err
	}
	return json.Marshal(saved{format, s.fleet, table, book, rel, s.more})
}

func (s *state) load(text []byte) error {
	var v saved
	if err := json.Unmarshal(text, &v); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if v.Format != format {
		return fmt.Errorf("snapshot: format %d, this program reads %d", v.Format, format)
	}
	t, err := lease.Restore(v.Table)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	book := drain.NewBook()
	if len(v.Book) > 0 {
		if book, err = drain.Restore(v.Book); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	rel := release.NewBook()
	if len(v.Rel) > 0 {
		if rel, err = release.Restore(v.Rel); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table, s.book, s.rel, s.fleet, s.more = t, book, rel, v.Fleet, v.More
	return nil
}

type snapshot []byte

// Snapshot is the raft library's.
func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	b, err := s.save()
	return snapshot(b), err
}

func (b snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(b); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}
func (b snapshot) Release() {}

// mostSnapshot bounds what is read of a snapshot.
const mostSnapshot = 64 << 20

// Restore is the raft library's.
func (s *state) Restore(r io.ReadCloser) error {
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, mostSnapshot))
	if err != nil {
		return err
	}
	return s.load(b)
}

// View is one lease for people and programs to look at.
type View struct {
	Name   string        `json:"name"`
	Holder lease.Member  `json:"holder,omitzero"`
	Token  uint64        `json:"token"`
	Left   time.Duration `json:"left"` // until it may be given away, as of the last command
	Length time.Duration `json:"length"`
	Line   []string      `json:"line,omitempty"`
	Heir   string        `json:"heir,omitempty"`
	Revoke bool          `json:"revoked,omitempty"`
}

func (s *state) views(now time.Duration) []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []View
	for name, x := range s.table.Leases {
		v := View{Name: name, Holder: x.Holder, Token: x.Token, Left: max(x.Until-max(now, s.table.Now), 0), Length: x.Rules.Length, Heir: x.Heir, Revoke: x.Revoked}
		for _, w := range x.Line {
			v.Line = append(v.Line, w.Member.Name)
		}
		l = append(l, v)
	}
	return sorted(l, func(a, b View) int { return cmp.Compare(a.Name, b.Name) })
}
