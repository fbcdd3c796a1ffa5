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
	OpAcquire      Op = "acquire"
	OpRenew        Op = "renew"
	OpRelease      Op = "release"
	OpRevoke       Op = "revoke"
	OpForget       Op = "forget"
	OpDrain        Op = "order"  // something is to be taken out
	OpCancelDrain  Op = "cancel" // and to come back
	OpHaltDrains   Op = "halt"   // nothing new is taken out
	OpResumeDrains Op = "resume"
	// Of releases: a configuration is kept, a release begins, and what is done to it by hand.
	OpStoreConfig     Op = "config"
	OpStartRelease    Op = "release-begin"
	OpHaltRelease     Op = "release-halt"
	OpResumeRelease   Op = "release-resume"
	OpRollbackRelease Op = "release-back"
	OpStopRelease     Op = "release-stop"
	// The leader's own.
	opBeginTerm     Op = "lead"
	opSetBudgets    Op = "limit"
	opObserve       Op = "see"
	opBeginDrain    Op = "begin"
	opDrainProgress Op = "progress"
)

// Command is one entry of the agreed log.
type Command struct {
	Op        Op             `json:"op"`
	Lease     string         `json:"lease,omitempty"`
	Rules     lease.Rules    `json:"rules,omitzero"`
	Member    lease.Member   `json:"member,omitzero"`
	Token     uint64         `json:"token,omitempty"`
	Successor string         `json:"heir,omitempty"`
	Drain     *drain.Request `json:"order,omitempty"` // ask, cancel; begin and progress with its token and what is in hand

	Budgets     []drain.Budget `json:"budgets,omitempty"` // limit
	Observation *Observation   `json:"seen,omitempty"`    // see

	Plan   *release.Plan `json:"plan,omitempty"`   // release
	Digest string        `json:"digest,omitempty"` // config
	Text   string        `json:"text,omitempty"`   // config; else why something is done by hand

	// Now is the reading of the leader's monotonic clock, set by the leader.
	Now       time.Duration        `json:"now,omitempty"`
	Fleet     string               `json:"fleet,omitempty"` // lead: the identity that the fleet was founded with
	TokenBase uint64               `json:"base,omitempty"`  // lead: tokens are higher than this
	Unknown   unknownfields.Fields `json:"-"`               // handed on: a leader writes what a newer client asked
}

// MarshalJSON and UnmarshalJSON keep the fields that this program does not know.
func (c Command) MarshalJSON() ([]byte, error) {
	type plain Command
	return unknownfields.Marshal(plain(c), c.Unknown)
}

// UnmarshalJSON is the other way of MarshalJSON.
func (c *Command) UnmarshalJSON(text []byte) error {
	type plain Command
	return unknownfields.Unmarshal(text, (*plain)(c), &c.Unknown)
}

// Observation is what the leader has heard of the fleet in one round.
type Observation struct {
	Version   uint64           `json:"version"` // of the view that all who answered had taken over
	Gateways  []drain.Gateway  `json:"gateways"`
	Endpoints []drain.Endpoint `json:"endpoints"`
	// Releases is what each gateway shows, while a release is under way; else nil.
	Releases []release.Gateway `json:"release,omitempty"`
}

// Result is what a command gave.
type Result struct {
	Grant lease.Grant    `json:"grant,omitzero"`
	Drain *drain.Request `json:"order,omitempty"`
	// Code is empty, or why not: waiting, lost, old, full, bad.
	Code string `json:"code,omitempty"`
	Text string `json:"text,omitempty"`
	// Of one who waits: when the lease may be free at the earliest, and whether it is first in line for it.
	AvailableIn time.Duration `json:"left,omitempty"`
	NextInLine  bool          `json:"first,omitempty"`
}

var codes = map[string]error{"waiting": lease.ErrWaiting, "lost": lease.ErrNotHeld, "old": lease.ErrStaleIncarnation, "full": lease.ErrFull}

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
	book  *drain.Ledger
	rel   *release.Ledger
	fleet string
	more  unknownfields.Fields // of its stored form, by a newer program
}

func newState() *state {
	return &state{table: lease.NewTable(), book: drain.NewLedger(), rel: release.NewLedger()}
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
		if err := s.table.BeginTerm(term, c.Now); err != nil {
			return result(lease.Grant{}, err)
		}
		s.book.BeginTerm(c.Now)
		s.rel.BeginTerm(c.Now)
	}
	t := s.table
	switch c.Op {
	case opBeginTerm:
		if s.fleet == "" {
			s.fleet = c.Fleet
			t.LastToken = max(t.LastToken, c.TokenBase)
		}
		return Result{}
	case OpAcquire:
		r := result(t.Acquire(term, c.Now, c.Lease, c.Rules, c.Member))
		if r.Code == "waiting" {
			r.AvailableIn, r.NextInLine = t.NextGrant(c.Lease, c.Member)
		}
		return r
	case OpRenew:
		return result(t.Renew(term, c.Now, c.Lease, c.Member, c.Token))
	case OpRelease:
		return result(lease.Grant{}, t.Release(term, c.Now, c.Lease, c.Member, c.Token, c.Successor))
	case OpRevoke:
		return result(lease.Grant{}, t.Revoke(term, c.Now, c.Lease))
	case OpForget:
		return result(lease.Grant{}, t.Forget(term, c.Now))
	}
	return s.applyOrder(c)
}

func (s *state) applyOrder(c *Command) Result {
	b := s.book
	var o drain.Request
	var err error
	switch {
	case c.Op == OpHaltDrains, c.Op == OpResumeDrains:
		b.SetHalted(c.Now, c.Op == OpHaltDrains)
		return Result{}
	case c.Op == opSetBudgets:
		return result(lease.Grant{}, b.SetBudgets(c.Now, c.Budgets))
	case c.Op == opObserve && c.Observation != nil:
		if c.Observation.Releases != nil {
			s.rel.Observe(c.Now, c.Observation.Releases)
		}
		err := b.Observe(c.Now, c.Observation.Version, c.Observation.Gateways, c.Observation.Endpoints)
		s.rel.RequestDrains(c.Now, b)
		return result(lease.Grant{}, err)
	case c.Op == OpDrain && c.Drain != nil:
		o, err = b.Submit(c.Now, *c.Drain)
	case c.Op == OpCancelDrain && c.Drain != nil:
		o, err = b.Cancel(c.Now, c.Drain.ID)
	case c.Op == opBeginDrain && c.Drain != nil:
		o, err = b.Begin(c.Now, c.Drain.ID, c.Drain.Token)
	case c.Op == opDrainProgress && c.Drain != nil:
		o, err = b.Progress(c.Now, c.Drain.ID, c.Drain.Token, c.Drain.InFlight)
	default:
		err := s.applyRelease(c)
		s.rel.RequestDrains(c.Now, b)
		return result(lease.Grant{}, err)
	}
	r := result(lease.Grant{}, err)
	r.Drain = &o
	return r
}

func (s *state) applyRelease(c *Command) error {
	b := s.rel
	switch {
	case c.Op == OpStoreConfig:
		return b.StoreConfig(c.Digest, c.Text)
	case c.Op == OpStartRelease && c.Plan != nil && len(c.Unknown) > 0:
		// A gate that nobody here knows must not be left out.
		return fmt.Errorf("the release says what this voter's version does not know (%s): upgrade the voters first", strings.Join(slices.Sorted(maps.Keys(c.Unknown)), ", "))
	case c.Op == OpStartRelease && c.Plan != nil:
		return b.Start(c.Now, *c.Plan)
	case c.Op == OpHaltRelease:
		return b.Halt(c.Now, c.Text)
	case c.Op == OpResumeRelease:
		return b.Resume(c.Now)
	case c.Op == OpRollbackRelease:
		return b.Rollback(c.Now, c.Text)
	case c.Op == OpStopRelease:
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
	book := drain.NewLedger()
	if len(v.Book) > 0 {
		if book, err = drain.Restore(v.Book); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	rel := release.NewLedger()
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

// maxSnapshot bounds what is read of a snapshot.
const maxSnapshot = 64 << 20

// Restore is the raft library's.
func (s *state) Restore(r io.ReadCloser) error {
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, maxSnapshot))
	if err != nil {
		return err
	}
	return s.load(b)
}

// LeaseView is one lease for people and programs to look at.
type LeaseView struct {
	Name      string        `json:"name"`
	Holder    lease.Member  `json:"holder,omitzero"`
	Token     uint64        `json:"token"`
	Remaining time.Duration `json:"left"` // until it may be given away, as of the last command
	Length    time.Duration `json:"length"`
	Waiters   []string      `json:"line,omitempty"`
	Successor string        `json:"heir,omitempty"`
	Revoked   bool          `json:"revoked,omitempty"`
}

func (s *state) views(now time.Duration) []LeaseView {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []LeaseView
	for name, x := range s.table.Leases {
		v := LeaseView{Name: name, Holder: x.Holder, Token: x.Token, Remaining: max(x.ExpiresAt-max(now, s.table.Now), 0), Length: x.Rules.Length, Successor: x.Successor, Revoked: x.Revoked}
		for _, w := range x.Waiters {
			v.Waiters = append(v.Waiters, w.Member.Name)
		}
		l = append(l, v)
	}
	return sorted(l, func(a, b LeaseView) int { return cmp.Compare(a.Name, b.Name) })
}
