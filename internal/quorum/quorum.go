// Package quorum replicates the shared state of a fleet: leases, drain requests and releases.
//
// Three or five named voters replicate one log with Raft (hashicorp/raft, with the log stored in bbolt) and apply its commands to the
// state of packages lease, drain and release. Every other process is a client of the voters over HTTP/1.1. Proxied requests never
// wait for this package.
package quorum

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"robindrum/internal/peer"
)

const (
	defaultHeartbeat   = 500 * time.Millisecond
	defaultMaxLogBytes = 256 << 20

	transportPoolSize = 3 // idle connections to each voter
	retainedSnapshots = 2
	snapshotInterval  = 20 * time.Second
	snapshotThreshold = 4096 // log entries
	trailingLogs      = 1024 // log entries kept after a snapshot, so that lagging followers can catch up without it

	leadershipBuffer = 16 // leadership changes that can wait for watchLeadership
)

// Voter is the name and address of a process that stores the replicated log and votes in elections.
type Voter struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Options configure a Server.
type Options struct {
	Dir    string // where the voter stores its identity, log and snapshots
	Name   string // name of this voter; Voters must include it
	Voters []Voter
	// Heartbeat is the minimum time without contact from the leader after which a voter starts an election. Defaults to 500 ms.
	Heartbeat time.Duration
	// MaxLogBytes is the maximum size of the log file. Defaults to 256 MiB.
	MaxLogBytes int64
	// Disk is called before and after each write. Defaults to one that enforces MaxLogBytes.
	Disk Disk
	Log  *slog.Logger
}

// Server is one voter. Its methods are safe for concurrent use.
type Server struct {
	options    Options
	id         string // ID of this voter; see newVoterID
	node       *peer.Node
	fsm        *fsm
	store      *failStopStore
	raft       *raft.Raft
	transport  *raft.NetworkTransport
	startedAt  time.Time
	leadership chan bool     // receives whether Raft considers this voter the leader, on each change
	opened     chan struct{} // closed when Open returns
	cancel     context.CancelFunc
	tasks      sync.WaitGroup

	leading        atomic.Bool  // this voter is the leader and has committed the first entry of its term
	lastForgetNano atomic.Int64 // Unix time in ns of the last OpForget that this voter proposed as the leader
	outdated       sync.Map     // command levels of voters that run an earlier version, by voter name

	mu         sync.Mutex
	identity   identity // contents of identityFile
	stopReason string   // empty while this process votes
}

// States of a voter, in addition to those of Raft (follower, candidate, leader).
const (
	stateWaiting = "waiting" // not a member of a fleet yet
	stateStopped = "stopped" // no longer votes
)

// Status is the state of a voter.
type Status struct {
	Voter        string  `json:"voter"`
	ID           string  `json:"id"`
	State        string  `json:"state"` // waiting, follower, candidate, leader or stopped
	Reason       string  `json:"why,omitempty"`
	Fleet        string  `json:"fleet,omitempty"`
	Leader       string  `json:"leader,omitempty"` // name of the leader
	Term         uint64  `json:"term"`
	Applied      uint64  `json:"applied"`          // index of the last applied entry
	Bytes        int64   `json:"bytes"`            // size of the log file
	Voters       []Voter `json:"voters,omitempty"` // voters in the Raft configuration
	Unassigned   bool    `json:"empty,omitempty"`  // the voter has never been a member of a fleet
	CommandLevel int     `json:"knows"`            // see commandLevel
}

// Open opens a voter's folder and registers the voter's handlers with the node, which must not be serving yet. If the error wraps
// ErrUnusableFolder, this process cannot vote but can still run everything else.
func Open(node *peer.Node, options Options) (*Server, error) {
	if options.Heartbeat == 0 {
		options.Heartbeat = defaultHeartbeat
	}
	if options.MaxLogBytes == 0 {
		options.MaxLogBytes = defaultMaxLogBytes
	}
	logPath := filepath.Join(options.Dir, logFile)
	if options.Disk == nil {
		options.Disk = limitedDisk{path: logPath, maxBytes: options.MaxLogBytes}
	}
	s := &Server{
		options:    options,
		node:       node,
		fsm:        newFSM(),
		startedAt:  time.Now(),
		leadership: make(chan bool, leadershipBuffer),
		opened:     make(chan struct{}),
	}
	defer close(s.opened)
	var err error
	s.identity, err = openFolder(options.Dir, options.Name, newVoterID(options.Name))
	if err != nil {
		return nil, fmt.Errorf("voter %q, %s: %w", options.Name, options.Dir, err)
	}
	s.id = s.identity.ID
	db, err := raftboltdb.New(raftboltdb.Options{Path: logPath, BoltOptions: &bbolt.Options{Timeout: boltLockTimeout}})
	if err != nil {
		return nil, fmt.Errorf("voter %q, %s: %w (is another process using it?)", options.Name, logPath, err)
	}
	s.store = &failStopStore{BoltStore: db, disk: options.Disk, onFailure: s.storeFailed}
	if err := s.openRaft(); err != nil {
		return nil, fmt.Errorf("voter %q: %w", options.Name, errors.Join(err, db.Close()))
	}
	s.registerHandlers()
	return s, nil
}

// openRaft creates the Raft node on the voter's store.
func (s *Server) openRaft() error {
	address, err := s.configuredAddress()
	if err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{Output: &debugWriter{s.options.Log}, Level: hclog.Info, DisableTime: true})
	s.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  newStreamLayer(s, address),
		MaxPool: transportPoolSize,
		Timeout: 2 * s.options.Heartbeat,
		Logger:  logger,
	})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(s.options.Dir, retainedSnapshots, logger)
	if err != nil {
		return errors.Join(err, s.transport.Close())
	}
	hasState, err := raft.HasExistingState(s.store, s.store, snapshots)
	if err != nil {
		return errors.Join(err, s.transport.Close())
	}
	if !hasState { // without Raft state the voter has acknowledged nothing, so it may still join any fleet
		s.identity.Fleet = ""
	}
	if err := s.newRaft(logger, snapshots); err != nil {
		return errors.Join(err, s.transport.Close())
	}
	return nil
}

// newRaft sets s.raft. It calls raft.NewRaft on a separate goroutine because a failed write of the term or vote ends the calling
// goroutine; see failStopStore.writeOrGoexit.
func (s *Server) newRaft(logger hclog.Logger, snapshots raft.SnapshotStore) error {
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.raft, err = raft.NewRaft(s.raftConfig(logger), s.fsm, s.store, s.store, snapshots, s.transport)
	}()
	<-done
	if failure := s.store.failure.Load(); failure != nil && err == nil {
		return failure.err
	}
	return err
}

func (s *Server) raftConfig(logger hclog.Logger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(s.id)
	config.Logger = logger
	config.NotifyCh = s.leadership
	config.HeartbeatTimeout = s.options.Heartbeat
	config.ElectionTimeout = s.options.Heartbeat
	config.LeaderLeaseTimeout = s.options.Heartbeat / 2
	config.CommitTimeout = max(s.options.Heartbeat/20, time.Millisecond)
	config.SnapshotInterval = snapshotInterval
	config.SnapshotThreshold = snapshotThreshold
	config.TrailingLogs = trailingLogs
	return config
}

// configuredAddress returns the address that Options.Voters has for this voter.
func (s *Server) configuredAddress() (string, error) {
	for _, voter := range s.options.Voters {
		if voter.Name == s.options.Name && voter.Address != "" {
			return voter.Address, nil
		}
	}
	return "", errors.New("not in the list of voters, or without an address")
}

// Now returns the time since this Server was opened, by a monotonic clock. As the leader, the voter sets it as the time of each
// command.
func (s *Server) Now() time.Duration { return time.Since(s.startedAt) }

// Start starts the voter's background goroutines. The node must be serving. Start must be called at most once.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tasks.Go(func() { s.bootstrap(ctx) })
	s.tasks.Go(func() { s.watchLeadership(ctx) })
	s.tasks.Go(func() { s.maintainVoters(ctx) })
}

// Close stops the voter and waits for its goroutines. It must be called exactly once.
func (s *Server) Close() {
	if s.cancel != nil {
		s.cancel()
	}
	s.leading.Store(false)
	_ = s.transport.Close()
	shutdown := s.raft.Shutdown()
	if s.StopReason() == "" { // after a failed write, a Raft goroutine may have exited early and the future would never complete
		_ = shutdown.Error()
	}
	s.tasks.Wait()
	_ = s.store.Close()
}

// storeFailed stops the voter after a failure of its store. If data may be lost it also writes failedFile, so that the folder is never
// used again.
func (s *Server) storeFailed(failure storeFailure) {
	if failure.dataLost {
		text := []byte(failure.err.Error() + "\n")
		_ = replaceFile(filepath.Join(s.options.Dir, failedFile), text) // best effort: the disk may have failed
	}
	go func() { // asynchronous, because Open or a goroutine of package raft waits for storeFailed to return
		<-s.opened
		if s.raft != nil { // if nil, Open returns the error
			s.stop(fmt.Sprintf("its store cannot be trusted any more: %v", failure.err))
		}
	}()
}

// stop permanently stops this process from voting; its other functions continue. Calls after the first have no effect.
func (s *Server) stop(reason string) {
	s.mu.Lock()
	alreadyStopped := s.stopReason != ""
	if !alreadyStopped {
		s.stopReason = reason
	}
	s.mu.Unlock()
	if alreadyStopped {
		return
	}
	s.options.Log.Error("voter stopped", "voter", s.options.Name, "reason", reason)
	s.leading.Store(false)
	_ = s.transport.Close()
	s.raft.Shutdown()
}

// StopReason returns why this process has stopped voting, or "" if it has not.
func (s *Server) StopReason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopReason
}

// Status returns the state of this voter.
func (s *Server) Status() Status {
	s.mu.Lock()
	status := Status{
		Voter:        s.options.Name,
		ID:           s.id,
		Fleet:        s.identity.Fleet,
		Reason:       s.stopReason,
		Unassigned:   s.identity.Fleet == "",
		CommandLevel: commandLevel,
	}
	s.mu.Unlock()
	status.Term, status.Applied = s.raft.CurrentTerm(), s.raft.AppliedIndex()
	if info, err := os.Stat(filepath.Join(s.options.Dir, logFile)); err == nil {
		status.Bytes = info.Size()
	}
	if _, leader := s.raft.LeaderWithID(); leader != "" {
		status.Leader = voterName(leader)
	}
	for _, member := range s.raftServers() {
		status.Voters = append(status.Voters, Voter{Name: voterName(member.ID), Address: dialAddress(member.Address)})
	}
	switch {
	case status.Reason != "":
		status.State, status.Leader = stateStopped, ""
	case status.Unassigned || len(status.Voters) == 0:
		status.State = stateWaiting
		status.Reason = "for the other voters: all of them must be reached once, or have a fleet that admits this one"
	default:
		status.State = strings.ToLower(s.raft.State().String())
	}
	return status
}

// debugWriter logs the output of package raft at debug level. It implements io.Writer.
type debugWriter struct {
	log *slog.Logger
}

func (w *debugWriter) Write(line []byte) (int, error) {
	w.log.Debug("raft", "line", strings.TrimSpace(string(line)))
	return len(line), nil
}
