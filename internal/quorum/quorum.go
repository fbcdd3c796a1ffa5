// Package quorum holds what a fleet agrees on: three or five named voters keep one log by Raft (hashicorp/raft, its log in
// bbolt) and apply package lease's commands; everyone else is a client of them over HTTP/1.1. Nothing on a request's path
// waits for it.
package quorum

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"robindrum/internal/drain"
	"robindrum/internal/peer"
	"robindrum/internal/release"
)

// Voter is one of those that decide.
type Voter struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Options are what a Server is told.
type Options struct {
	Dir    string
	Name   string // which voter this is
	Voters []Voter
	// Heartbeat is how long a voter waits for word of the leader before it stands for election, at the least. 0: 500 ms.
	Heartbeat time.Duration
	// MaxLogBytes bounds the log's file. 0: 256 MiB.
	MaxLogBytes int64
	Disk        Disk // nil: the file system
	Log         *slog.Logger
}

// Server is one voter. Its methods may be called by several goroutines at once.
type Server struct {
	opt    Options
	node   *peer.Node
	state  *state
	boot   time.Time
	raft   *raft.Raft
	trans  *raft.NetworkTransport
	layer  *layer
	guard  *guard
	lead   chan bool
	opened chan struct{} // closed when Open has ended
	end    context.CancelFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	id      identity     // as on disk
	name    string       // of id, which does not change
	stopped string       // why it does not vote any more
	leading atomic.Bool  // and has counted every lease anew
	forgot  atomic.Int64 // when the leader last had names forgotten, as Unix time
	behind  sync.Map     // voters that said last that they do not know all entries, by name
}

// Status is how a voter stands.
type Status struct {
	Voter        string  `json:"voter"`
	ID           string  `json:"id"`
	State        string  `json:"state"` // waiting, follower, candidate, leader, stopped
	Reason       string  `json:"why,omitempty"`
	Fleet        string  `json:"fleet,omitempty"`
	Leader       string  `json:"leader,omitempty"`
	Term         uint64  `json:"term"`
	Applied      uint64  `json:"applied"`
	Bytes        int64   `json:"bytes"`
	Voters       []Voter `json:"voters,omitempty"` // as agreed
	Unassigned   bool    `json:"empty,omitempty"`  // it has never been in a fleet
	CommandLevel int     `json:"knows"`            // which entries it knows, see entries
}

// entries is which entries of the log this program knows: 1 leases, 2 orders and releases as well, 3 orders of zones and those that
// releases of programs ask for. Danger: a voter that does not
// know one skips it, and would lead without what it says.
const entries = 3

// Open takes a voter's folder and has the node answer for it. An error of the folder (ErrFolder) means that this process
// cannot vote; it can do all else.
func Open(n *peer.Node, opt Options) (*Server, error) {
	if opt.Heartbeat == 0 {
		opt.Heartbeat = 500 * time.Millisecond
	}
	if opt.MaxLogBytes == 0 {
		opt.MaxLogBytes = 256 << 20
	}
	path := filepath.Join(opt.Dir, logFile)
	if opt.Disk == nil {
		opt.Disk = plainDisk{path, opt.MaxLogBytes}
	}
	s := &Server{opt: opt, node: n, state: newState(), boot: time.Now(), lead: make(chan bool, 16), opened: make(chan struct{})}
	defer close(s.opened)
	var err error
	if s.id, err = openFolder(opt.Dir, opt.Name, opt.Name+"."+random()); err != nil {
		return nil, fmt.Errorf("voter %q, %s: %w", opt.Name, opt.Dir, err)
	}
	s.name = s.id.ID
	db, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: time.Second}})
	if err != nil {
		return nil, fmt.Errorf("voter %q, %s: %w (is another process using it?)", opt.Name, path, err)
	}
	s.guard = &guard{BoltStore: db, disk: opt.Disk, fail: s.failed}
	if err := s.open(); err != nil {
		db.Close()
		return nil, fmt.Errorf("voter %q: %w", opt.Name, err)
	}
	n.Handle("/fleet/v1/quorum", 4*release.MaxConfigBytes, s.command)
	n.Handle("/fleet/v1/leases", 1<<10, s.leases)
	n.Handle("/fleet/v1/book", 1<<10, s.orders)
	n.Handle("/fleet/v1/releases", 1<<10, s.releases)
	n.Handle("/fleet/v1/text", 1<<10, s.text)
	n.Handle("/fleet/v1/voter", 1<<10, func(context.Context, []byte) (any, error) { return s.Status(), nil })
	return s, nil
}

func (s *Server) open() error {
	log := hclog.New(&hclog.LoggerOptions{Output: &lineLog{s.opt.Log}, Level: hclog.Info, DisableTime: true})
	address := ""
	for _, v := range s.opt.Voters {
		if v.Name == s.opt.Name {
			address = v.Address
		}
	}
	if address == "" {
		return errors.New("is not among the voters")
	}
	s.layer = newLayer(s, address)
	s.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.layer, MaxPool: 3, Timeout: 2 * s.opt.Heartbeat, Logger: log})
	snaps, err := raft.NewFileSnapshotStoreWithLogger(s.opt.Dir, 2, log)
	if err != nil {
		return errors.Join(err, s.trans.Close())
	}
	c := raft.DefaultConfig()
	c.LocalID, c.Logger, c.NotifyCh = raft.ServerID(s.name), log, s.lead
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = s.opt.Heartbeat, s.opt.Heartbeat, s.opt.Heartbeat/2
	c.CommitTimeout = max(s.opt.Heartbeat/20, time.Millisecond)
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = 20*time.Second, 4096, 1024
	if some, err := raft.HasExistingState(s.guard, s.guard, snaps); err != nil {
		return errors.Join(err, s.trans.Close())
	} else if !some { // nothing was ever promised in it
		s.id.Fleet = ""
	}
	// On a goroutine of its own, which a write that fails may end.
	made := make(chan struct{})
	go func() {
		defer close(made)
		s.raft, err = raft.NewRaft(c, s.state, s.guard, s.guard, snaps, s.trans)
	}()
	<-made
	if f := s.guard.failed.Load(); f != nil && err == nil {
		err = f.err
	}
	if err != nil {
		return errors.Join(err, s.trans.Close())
	}
	return nil
}

func random() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func sorted[T any](l []T, by func(a, b T) int) []T {
	slices.SortFunc(l, by)
	return l
}

// Now is the reading of this process's monotonic clock that commands carry while it leads.
func (s *Server) Now() time.Duration { return time.Since(s.boot) }

// Start has it vote. The node must be serving.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.end = cancel
	s.work.Go(func() { s.found(ctx) })
	s.work.Go(func() { s.follow(ctx) })
	s.work.Go(func() { s.keepVoters(ctx) })
}

// Close ends it.
func (s *Server) Close() {
	if s.end != nil {
		s.end()
	}
	s.leading.Store(false)
	_ = s.trans.Close()
	f := s.raft.Shutdown()
	if s.Stopped() == "" { // one whose goroutine ended by a failed write never says that it is done
		_ = f.Error()
	}
	s.work.Wait()
	_ = s.guard.BoltStore.Close()
}

// failed stops a voter whose store has failed. Only a new folder makes a voter of it again where something may be lost.
func (s *Server) failed(f failure) {
	if f.lost {
		_ = replace(filepath.Join(s.opt.Dir, failedFile), []byte(f.err.Error()+"\n")) // the disk may be gone
	}
	go func() { // not here: the library's goroutine waits for this one
		if <-s.opened; s.raft != nil { // else Open tells of it
			s.stop(fmt.Sprintf("its store cannot be trusted any more: %v", f.err))
		}
	}()
}

// stop ends the voting of this process for good; all else of it goes on.
func (s *Server) stop(why string) {
	s.mu.Lock()
	first := s.stopped == ""
	if first {
		s.stopped = why
	}
	s.mu.Unlock()
	if !first {
		return
	}
	s.opt.Log.Error("this voter has stopped voting", "voter", s.opt.Name, "why", why)
	s.leading.Store(false)
	_ = s.trans.Close()
	s.raft.Shutdown()
}

// Stopped is why it does not vote any more; empty while it does.
func (s *Server) Stopped() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// Status tells how it stands.
func (s *Server) Status() Status {
	s.mu.Lock()
	st := Status{CommandLevel: entries, Voter: s.opt.Name, ID: s.name, Fleet: s.id.Fleet, Reason: s.stopped, Unassigned: s.id.Fleet == ""}
	s.mu.Unlock()
	st.Term, st.Applied = s.raft.CurrentTerm(), s.raft.AppliedIndex()
	if info, err := os.Stat(filepath.Join(s.opt.Dir, logFile)); err == nil {
		st.Bytes = info.Size()
	}
	if _, id := s.raft.LeaderWithID(); id != "" {
		st.Leader = voterOf(string(id))
	}
	for _, v := range s.servers() {
		st.Voters = append(st.Voters, Voter{voterOf(string(v.ID)), afterID(v.Address)})
	}
	switch {
	case st.Reason != "":
		st.State, st.Leader = "stopped", ""
	case st.Unassigned || len(st.Voters) == 0:
		st.State, st.Reason = "waiting", "for the other voters: they all must be there once, or have a fleet that takes this one in"
	default:
		st.State = strings.ToLower(s.raft.State().String())
	}
	return st
}

func (s *Server) servers() []raft.Server {
	f := s.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

// An ID is a voter's name and what was drawn for its folder; an address on the wire is an ID and where it is reached, so that a
// connection for one folder is never taken by another one at the same place.
func voterOf(id string) string {
	name, _, _ := cutLast(id, ".")
	return name
}
func afterID(a raft.ServerAddress) string {
	_, addr, _ := strings.Cut(string(a), "@")
	return addr
}
func cutLast(s, sep string) (before, after string, ok bool) {
	if i := strings.LastIndex(s, sep); i >= 0 {
		return s[:i], s[i+len(sep):], true
	}
	return s, "", false
}

// found begins a fleet where there is none: the first voter by name does, once every voter has answered that it has never
// been in one. A voter alone cannot know whether the others have one.
func (s *Server) found(ctx context.Context) {
	first := slices.MinFunc(s.opt.Voters, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	if first.Name != s.opt.Name {
		return
	}
	for ; ; pause(ctx, s.opt.Heartbeat) {
		s.mu.Lock()
		in := s.id.Fleet != "" || s.stopped != ""
		s.mu.Unlock()
		if in || ctx.Err() != nil {
			return
		}
		var servers []raft.Server
		for _, v := range s.opt.Voters {
			st, err := s.ask(ctx, v)
			if err != nil || !st.Unassigned || st.Voter != v.Name {
				break
			}
			servers = append(servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(st.ID), Address: raft.ServerAddress(st.ID + "@" + v.Address)})
		}
		if len(servers) < len(s.opt.Voters) {
			continue
		}
		if err := s.adopt(random() + random()); err != nil {
			s.stop(err.Error())
			return
		}
		if err := s.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err != nil {
			s.stop(fmt.Sprintf("beginning a fleet: %v", err))
			return
		}
		s.opt.Log.Info("a fleet was founded", "fleet", s.fleetID(), "voters", len(servers))
		return
	}
}

func (s *Server) ask(ctx context.Context, v Voter) (Status, error) {
	if v.Name == s.opt.Name {
		return s.Status(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*s.opt.Heartbeat)
	defer cancel()
	var st Status
	err := s.node.Call(ctx, v.Address, "/fleet/v1/voter", struct{}{}, &st)
	return st, err
}

// adopt takes a fleet's identity, on disk before anything else.
func (s *Server) adopt(fleet string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keep(func(id *identity) { id.Fleet = fleet })
}

// keep changes what the folder says of the voter.
func (s *Server) keep(change func(id *identity)) error {
	id := s.id
	id.Seen = maps.Clone(id.Seen)
	change(&id)
	if err := id.write(s.opt.Dir); err != nil {
		return err
	}
	s.id = id
	return nil
}

func (s *Server) fleetID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id.Fleet
}

// follow counts every lease anew as soon as this voter leads.
func (s *Server) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case on := <-s.lead:
			s.leading.Store(false)
			if !on {
				continue
			}
			// Danger: a try that fails must not be the last one. By Raft's word this voter leads, so no other one does.
			for on && ctx.Err() == nil && s.raft.State() == raft.Leader {
				// Tokens of a fleet that is founded anew, after all folders were lost, are higher than the ones before.
				_, err := s.propose(Command{Op: opBeginTerm, Fleet: s.fleetID(), TokenBase: uint64(time.Now().UnixMilli())})
				if err == nil {
					s.leading.Store(true)
					s.opt.Log.Info("leads the quorum", "voter", s.opt.Name, "term", s.raft.CurrentTerm())
					break
				}
				s.opt.Log.Warn("leading did not begin", "err", err)
				pause(ctx, s.opt.Heartbeat/4)
			}
		}
	}
}

// propose has a command agreed on. The error does not tell whether it was.
func (s *Server) propose(c Command) (Result, error) {
	c.Now = s.Now()
	b, err := json.Marshal(c)
	if err != nil {
		return Result{}, err
	}
	f := s.raft.Apply(b, 2*s.opt.Heartbeat)
	if err := f.Error(); err != nil {
		return Result{}, err
	}
	r, ok := f.Response().(Result)
	if !ok {
		return Result{}, fmt.Errorf("unexpected answer %T", f.Response())
	}
	return r, nil
}

// NotLeader is why a voter does nothing about a command.
const NotLeader = "not the leader"

// reply is what a voter answers to a command.
type reply struct {
	Result
	Done   bool   `json:"done"`             // it was agreed on
	Leader string `json:"leader,omitempty"` // address of whom to ask instead
	Why    string `json:"why,omitempty"`
}

func (s *Server) elsewhere(why string) reply {
	addr, id := s.raft.LeaderWithID()
	r := reply{Why: why}
	if id != raft.ServerID(s.name) && s.Stopped() == "" {
		r.Leader = afterID(addr)
	}
	return r
}

func (s *Server) command(_ context.Context, body []byte) (any, error) {
	var c Command
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
	}
	switch c.Op {
	case OpAcquire, OpRenew, OpRelease, OpRevoke, OpForget, OpDrain, OpCancelDrain, OpHaltDrains, OpResumeDrains, OpStoreConfig, OpStartRelease, OpHaltRelease, OpResumeRelease, OpRollbackRelease, OpStopRelease:
	default:
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: fmt.Errorf("no such command: %q", c.Op)}
	}
	if !s.leading.Load() {
		return s.elsewhere(NotLeader), nil
	}
	if c.Op == OpDrain || c.Op == OpStoreConfig || c.Op == OpStartRelease {
		old := ""
		s.behind.Range(func(name, _ any) bool { old = name.(string); return false })
		if old != "" {
			return reply{Done: true, Result: Result{Code: "bad", Text: fmt.Sprintf("voter %s is of an earlier version, which does not know all orders and releases: upgrade it first", old)}}, nil
		}
	}
	r, err := s.propose(c)
	if err == nil && c.Op == OpAcquire && r.Code == "full" && s.mayForget() { // names that are in no lease any more make room
		if _, err = s.propose(Command{Op: OpForget}); err == nil {
			r, err = s.propose(c)
		}
	}
	if err != nil {
		return s.elsewhere(err.Error()), nil
	}
	return reply{Result: r, Done: true}, nil
}

// mayForget tells whether the leader may have names forgotten now: where the names that are in use fill the table it is of no use.
func (s *Server) mayForget() bool {
	now := time.Now().UnixNano()
	last := s.forgot.Load()
	return now-last >= int64(time.Minute) && s.forgot.CompareAndSwap(last, now)
}

// LeaseList are all, as one voter knows them.
type LeaseList struct {
	Voter  string      `json:"voter"`
	Term   uint64      `json:"term"`
	Fresh  bool        `json:"fresh"` // the leader's, which a majority confirmed
	Leases []LeaseView `json:"leases"`
}

func (s *Server) leases(context.Context, []byte) (any, error) {
	l := LeaseList{Voter: s.opt.Name, Term: s.raft.CurrentTerm()}
	now := time.Duration(0)
	if s.leading.Load() && s.raft.VerifyLeader().Error() == nil {
		l.Fresh, now = true, s.Now()
	}
	l.Leases = s.state.views(now)
	return l, nil
}

// DrainList are all orders, as one voter knows them.
type DrainList struct {
	Voter    string               `json:"voter"`
	Fresh    bool                 `json:"fresh"` // the leader's, which a majority confirmed
	Halted   bool                 `json:"halted"`
	View     drain.View           `json:"view"`
	Requests []drain.Request      `json:"orders"`
	Budgets  []drain.BudgetStatus `json:"budgets"`
	Now      time.Duration        `json:"now"` // what the times count from
	// DesiredConfigs are the configurations that gateways are to have, by name; those that are to have their own files' are left out.
	DesiredConfigs map[string]string `json:"want,omitempty"`
	Revision       uint64            `json:"want_version"`
	Release        string            `json:"release,omitempty"` // the one under way, in a line
}

func (s *Server) orders(context.Context, []byte) (any, error) {
	o := DrainList{Voter: s.opt.Name, Fresh: s.leading.Load() && s.raft.VerifyLeader().Error() == nil, View: s.DrainView()}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	o.Halted, o.Requests, o.Budgets, o.Now = s.state.book.Halted, s.state.book.List(), s.state.book.BudgetStatuses(), s.state.book.Now
	o.DesiredConfigs, o.Revision = map[string]string{}, s.state.rel.Revision
	for name := range s.state.book.Gateways {
		if w := s.state.rel.DesiredConfig(name); w != "" {
			o.DesiredConfigs[name] = w
		}
	}
	if s.state.rel.Current != nil {
		o.Release = s.state.rel.Current.String()
	}
	return o, nil
}

// Summary is what a voter has of orders and releases, in numbers.
type Summary struct {
	Halted  bool                 `json:"halted"`
	Drains  map[drain.State]int  `json:"orders"`
	Budgets []drain.BudgetStatus `json:"budgets"`
	Release release.State        `json:"release,omitempty"` // of the one under way
}

// Summary gives it.
func (s *Server) Summary() Summary {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	u := Summary{Halted: s.state.book.Halted, Drains: map[drain.State]int{}, Budgets: s.state.book.BudgetStatuses()}
	for _, o := range s.state.book.Requests {
		u.Drains[o.State]++
	}
	if r := s.state.rel.Current; r != nil {
		u.Release = r.State
	}
	return u
}

// Leading tells whether this voter leads and has counted every lease anew.
func (s *Server) Leading() bool { return s.leading.Load() }

// DrainView is what each gateway is to know of orders.
func (s *Server) DrainView() drain.View {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.book.View(s.state.table.Term)
}

// KnownGateways are the gateways that were heard of last.
func (s *Server) KnownGateways() []drain.Gateway {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return slices.Collect(maps.Values(s.state.book.Gateways))
}

// ReleaseList are the release under way and those before it, as one voter knows them.
type ReleaseList struct {
	Voter           string            `json:"voter"`
	Fresh           bool              `json:"fresh"`
	Term            uint64            `json:"term"`
	Revision        uint64            `json:"version"`
	CurrentConfig   string            `json:"base"` // what every gateway is to have where none is under way
	Current         *release.Release  `json:"current,omitempty"`
	Ended           []release.Release `json:"ended"`
	Gateways        []release.Gateway `json:"gateways"`
	DesiredConfigs  map[string]string `json:"want"`
	CurrentVersion  string            `json:"program,omitempty"`  // the version that every gateway is to run as
	DesiredVersions map[string]string `json:"programs,omitempty"` // by gateway
	Now             time.Duration     `json:"now"`
}

func (s *Server) releases(context.Context, []byte) (any, error) {
	r := ReleaseList{Voter: s.opt.Name, Fresh: s.leading.Load() && s.raft.VerifyLeader().Error() == nil, DesiredConfigs: map[string]string{}, DesiredVersions: map[string]string{}}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	b := s.state.rel
	r.CurrentVersion = b.CurrentVersion
	r.Term, r.Revision, r.CurrentConfig, r.Now, r.Ended = s.state.table.Term, b.Revision, b.CurrentConfig, b.Now, slices.Clone(b.Ended)
	if b.Current != nil {
		c := *b.Current
		r.Current = &c
	}
	for name, g := range b.Gateways {
		r.Gateways = append(r.Gateways, g)
		r.DesiredConfigs[name], r.DesiredVersions[name] = b.DesiredConfig(name), b.DesiredVersion(name)
	}
	slices.SortFunc(r.Gateways, func(x, y release.Gateway) int { return strings.Compare(x.Name, y.Name) })
	// What is under way is changed in place: hand out a copy.
	text, err := json.Marshal(r)
	return json.RawMessage(text), err
}

// text gives a configuration by its digest.
func (s *Server) text(_ context.Context, body []byte) (any, error) {
	var digest string
	if err := json.Unmarshal(body, &digest); err != nil {
		return nil, &peer.StatusError{Status: http.StatusBadRequest, Err: err}
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	t, ok := s.state.rel.Configs[digest]
	if !ok {
		return nil, &peer.StatusError{Status: http.StatusNotFound, Err: release.ErrUnknownConfig}
	}
	return t, nil
}

// Desired are what gateways are to have, by name.
type Desired struct {
	Configs, Versions map[string]string
	Revision          uint64        // rises
	InProgress        bool          // a release is under way
	Soak              time.Duration // of it
}

// Desired gives them.
func (s *Server) Desired(names []string) Desired {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	b := s.state.rel
	w := Desired{Configs: map[string]string{}, Versions: map[string]string{}, Revision: b.Revision, InProgress: b.Current != nil}
	for _, n := range names {
		w.Configs[n], w.Versions[n] = b.DesiredConfig(n), b.DesiredVersion(n)
	}
	if w.InProgress {
		w.Soak = b.Current.Soak
	}
	return w
}

// StatesAgreed tells whether the quorum has it that the gateways stand so; their figures aside.
func (s *Server) StatesAgreed(l []release.Gateway) bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	known := s.state.rel.Gateways
	for _, g := range l {
		if k, ok := known[g.Name]; !ok || !k.SameState(g) {
			return false
		}
	}
	return len(l) == len(known)
}

// SetBudgets has the budgets agreed on, where they are not so already. It is for the leader, as the next ones are.
func (s *Server) SetBudgets(l []drain.Budget) error {
	s.state.mu.Lock()
	same := slices.Equal(l, s.state.book.Budgets)
	s.state.mu.Unlock()
	if same {
		return nil
	}
	r, err := s.propose(Command{Op: opSetBudgets, Budgets: l})
	return errors.Join(err, r.Err())
}

// Observe has what was heard of the fleet agreed on, where it is news or something waits for it.
func (s *Server) Observe(v *Observation) error {
	s.state.mu.Lock()
	b := s.state.book
	same := v.Releases == nil && b.ObservedVersion >= v.Version && len(b.Gateways) == len(v.Gateways) && len(b.Endpoints) == len(v.Endpoints)
	for _, g := range v.Gateways {
		same = same && b.Gateways[g.Name] == g
	}
	for _, e := range v.Endpoints {
		same = same && b.Endpoints[e.Cluster+"/"+e.Address] == e
	}
	for _, o := range b.Requests {
		same = same && !(o.Deadline > 0 && (o.State == drain.Draining) && s.Now() >= o.Deadline) // its time is over
	}
	s.state.mu.Unlock()
	if same {
		return nil
	}
	r, err := s.propose(Command{Op: opObserve, Observation: v})
	return errors.Join(err, r.Err())
}

// BeginDrain has an order's taking out begin, Progress what its target has in hand agreed on.
func (s *Server) BeginDrain(o drain.Request) error {
	r, err := s.propose(Command{Op: opBeginDrain, Drain: &drain.Request{ID: o.ID, Token: o.Token}})
	return errors.Join(err, r.Err())
}

// ReportDrainProgress has it agreed on what an order's target has in hand.
func (s *Server) ReportDrainProgress(o drain.Request, inHand int) error {
	if o.InFlight == inHand && inHand > 0 {
		return nil
	}
	r, err := s.propose(Command{Op: opDrainProgress, Drain: &drain.Request{ID: o.ID, Token: o.Token, InFlight: inHand}})
	return errors.Join(err, r.Err())
}

// keepVoters has the leader take in whoever stands where a voter should: one with an empty folder replaces the one whose
// folder was lost. It is asked at the voter's own address, so that nobody else can claim its name.
func (s *Server) keepVoters(ctx context.Context) {
	for ; ctx.Err() == nil; pause(ctx, 2*s.opt.Heartbeat) {
		if !s.leading.Load() {
			continue
		}
		for _, v := range s.opt.Voters {
			if v.Name == s.opt.Name {
				continue
			}
			st, err := s.ask(ctx, v)
			if err != nil || st.Voter != v.Name || !s.leading.Load() {
				continue
			}
			if st.CommandLevel < entries {
				s.behind.Store(v.Name, st.CommandLevel)
			} else {
				s.behind.Delete(v.Name)
			}
			if err := s.admit(v, st); err != nil {
				s.opt.Log.Warn("a voter could not be taken in", "voter", v.Name, "err", err)
			}
		}
	}
}

func (s *Server) admit(v Voter, st Status) error {
	var old raft.ServerID
	for _, x := range s.servers() {
		switch {
		case string(x.ID) == st.ID:
			return nil
		case voterOf(string(x.ID)) == v.Name:
			old = x.ID
		}
	}
	if !st.Unassigned { // it has promised something, to whomever: it may not begin anew
		return nil
	}
	if old != "" {
		if err := s.raft.RemoveServer(old, 0, 2*s.opt.Heartbeat).Error(); err != nil {
			return err
		}
	}
	s.opt.Log.Info("a voter is taken in", "voter", v.Name, "id", st.ID, "in place of", string(old))
	return s.raft.AddVoter(raft.ServerID(st.ID), raft.ServerAddress(st.ID+"@"+v.Address), 0, 2*s.opt.Heartbeat).Error()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// layer has the library's connections go over the node. Both sides say who they are; whoever is of another fleet, was meant
// for another folder, or is older than what is known of it is refused.
type layer struct {
	s    *Server
	addr address
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

type address string

func (a address) Network() string { return "robindrum" }
func (a address) String() string  { return string(a) }

const (
	idHeader     = "Robindrum-Voter"
	toHeader     = "Robindrum-To"
	bootHeader   = "Robindrum-Boot"
	startsHeader = "Robindrum-Starts"
	fleetIDField = "Robindrum-Fleet-Id"
	streamKind   = "quorum"
)

func newLayer(s *Server, at string) *layer {
	l := &layer{s: s, addr: address(s.name + "@" + at), in: make(chan net.Conn), done: make(chan struct{})}
	s.node.HandleStream(streamKind, func(h http.Header) (http.Header, error) {
		if to := h.Get(toHeader); to != s.name {
			return nil, fmt.Errorf("this is voter %s, not %s", s.name, to)
		}
		if err := s.meet(h, true); err != nil {
			return nil, err
		}
		return s.card(), nil
	}, func(c net.Conn) {
		select {
		case l.in <- c:
		case <-l.done:
			c.Close()
		}
	})
	return l
}

// card is what this voter says of itself.
func (s *Server) card() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := http.Header{}
	h.Set(idHeader, s.name)
	h.Set(fleetIDField, s.id.Fleet)
	h.Set(bootHeader, strconv.FormatUint(s.id.Boot, 10))
	h.Set(startsHeader, strings.Join(s.id.Starts, " "))
	return h
}

// errOlder is what a voter is told whose folder is older than what is known of it.
var errOlder = errors.New("folder is older than what the fleet knows of it")

// meet looks at the other side's card. taken: it came to this one, by its own ID.
func (s *Server) meet(h http.Header, taken bool) error {
	id, fleet, starts := h.Get(idHeader), h.Get(fleetIDField), strings.Fields(h.Get(startsHeader))
	n, err := strconv.ParseUint(h.Get(bootHeader), 10, 64)
	if err != nil || n == 0 || id == "" || len(id) > 256 || len(starts) == 0 || len(starts) > maxStarts || fleet == "" {
		return errors.New("who is this?")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped != "" {
		return errors.New(s.stopped)
	}
	// Only one who has agreed on this folder's drawn ID knows it, and may say which fleet it is in.
	if s.id.Fleet != fleet && (s.id.Fleet != "" || !taken) {
		return fmt.Errorf("this is fleet %s, not %s", s.id.Fleet, fleet)
	}
	known := s.id.Seen[id]
	if !knows(n, starts, known) {
		return fmt.Errorf("voter %s: its %w (start %d, known %d)", id, errOlder, n, known.Boot)
	}
	now := start{n, starts[len(starts)-1]}
	if s.id.Fleet == fleet && known == now {
		return nil
	}
	return s.keep(func(mine *identity) {
		mine.Fleet = fleet
		if len(mine.Seen) >= maxVoters || mine.Seen == nil {
			mine.Seen = map[string]start{}
		}
		mine.Seen[id] = now
	})
}

func (l *layer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	id, addr, ok := strings.Cut(string(to), "@")
	if !ok {
		return nil, fmt.Errorf("%q is no voter's address", to)
	}
	h := l.s.card()
	h.Set(toHeader, id)
	c, answer, err := l.s.node.Stream(ctx, addr, streamKind, h)
	if err != nil {
		if errors.Is(err, peer.ErrRemoteRejected) && strings.Contains(err.Error(), "voter "+l.s.name+": its "+errOlder.Error()) {
			l.s.failed(failure{err: err, lost: true})
		}
		return nil, err
	}
	if answer.Get(idHeader) != id {
		err = fmt.Errorf("%s answered, not %s", answer.Get(idHeader), id)
	} else {
		err = l.s.meet(answer, false)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (l *layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *layer) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}
func (l *layer) Addr() net.Addr { return l.addr }

// lineLog has the library's lines in the log, for those who look closely.
type lineLog struct{ log *slog.Logger }

func (w *lineLog) Write(b []byte) (int, error) {
	w.log.Debug("quorum", "line", strings.TrimSpace(string(b)))
	return len(b), nil
}

var _ io.Writer = (*lineLog)(nil)
