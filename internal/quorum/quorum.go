// Package quorum replicates what a fleet agrees on: three or five named voters keep one log by Raft (hashicorp/raft, with the log in
// bbolt) and apply the commands of packages lease, drain and release; every other process is their client over HTTP/1.1. Nothing on
// a request's path waits for it.
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
	trailingLogs      = 1024 // entries behind a snapshot, for followers that lag

	leadershipBuffer = 16 // leader changes that may wait for watchLeadership
)

// Voter is one of the processes that keep the log.
type Voter struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Options configure a Server.
type Options struct {
	Dir    string
	Name   string // of this voter, which must be among Voters
	Voters []Voter
	// Heartbeat is the shortest time without contact after which a voter starts an election. 0: 500 ms.
	Heartbeat time.Duration
	// MaxLogBytes is the largest size of the log's file. 0: 256 MiB.
	MaxLogBytes int64
	// Disk is called around each write. Nil: one that enforces MaxLogBytes.
	Disk Disk
	Log  *slog.Logger
}

// Server is one voter. Its methods may be called by several goroutines at once.
type Server struct {
	options    Options
	id         string // of this voter; see newVoterID
	node       *peer.Node
	fsm        *fsm
	store      *guardedStore
	raft       *raft.Raft
	transport  *raft.NetworkTransport
	startedAt  time.Time
	leadership chan bool     // whether Raft considers this voter the leader, after each change
	opened     chan struct{} // closed when Open returns
	cancel     context.CancelFunc
	tasks      sync.WaitGroup

	leading        atomic.Bool  // the leader, and has begun its term
	lastForgetNano atomic.Int64 // Unix time of the leader's last OpForget, in ns
	outdated       sync.Map     // command levels of voters of earlier versions, by name

	mu         sync.Mutex
	identity   identity // as on disk
	stopReason string   // empty while this process votes
}

// States of a voter beside those of Raft (follower, candidate, leader).
const (
	stateWaiting = "waiting" // is in no fleet yet
	stateStopped = "stopped" // does not vote any more
)

// Status is the state of a voter.
type Status struct {
	Voter        string  `json:"voter"`
	ID           string  `json:"id"`
	State        string  `json:"state"` // waiting, follower, candidate, leader or stopped
	Reason       string  `json:"why,omitempty"`
	Fleet        string  `json:"fleet,omitempty"`
	Leader       string  `json:"leader,omitempty"` // its name
	Term         uint64  `json:"term"`
	Applied      uint64  `json:"applied"`          // index of the last applied entry
	Bytes        int64   `json:"bytes"`            // size of the log's file
	Voters       []Voter `json:"voters,omitempty"` // of the Raft configuration
	Unassigned   bool    `json:"empty,omitempty"`  // it has never been in a fleet
	CommandLevel int     `json:"knows"`            // see commandLevel
}

// Open opens a voter's folder and registers the voter's handlers with the node, which must not serve yet. An ErrUnusableFolder means
// that this process cannot vote; it can do everything else.
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
	s.store = &guardedStore{BoltStore: db, disk: options.Disk, onFailure: s.storeFailed}
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
	if !hasState { // nothing was ever promised to a fleet
		s.identity.Fleet = ""
	}
	if err := s.newRaft(logger, snapshots); err != nil {
		return errors.Join(err, s.transport.Close())
	}
	return nil
}

// newRaft sets s.raft. It runs on a goroutine of its own, which the store ends where a write fails; see guardedStore.writeOrExit.
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

// configuredAddress returns this voter's address among the voters.
func (s *Server) configuredAddress() (string, error) {
	for _, voter := range s.options.Voters {
		if voter.Name == s.options.Name && voter.Address != "" {
			return voter.Address, nil
		}
	}
	return "", errors.New("is not among the voters")
}

// Now returns this process's monotonic clock, whose readings commands carry while it leads.
func (s *Server) Now() time.Duration { return time.Since(s.startedAt) }

// Start begins to vote. The node must be serving. It must be called at most once.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tasks.Go(func() { s.bootstrap(ctx) })
	s.tasks.Go(func() { s.watchLeadership(ctx) })
	s.tasks.Go(func() { s.maintainVoters(ctx) })
}

// Close ends the voter and waits for its goroutines. It must be called once.
func (s *Server) Close() {
	if s.cancel != nil {
		s.cancel()
	}
	s.leading.Store(false)
	_ = s.transport.Close()
	shutdown := s.raft.Shutdown()
	if s.Stopped() == "" { // else a goroutine that a failed write ended would never be done
		_ = shutdown.Error()
	}
	s.tasks.Wait()
	_ = s.store.Close()
}

// storeFailed stops the voter. Where data may be lost the folder is marked, so that it is never used again.
func (s *Server) storeFailed(failure storeFailure) {
	if failure.dataLost {
		text := []byte(failure.err.Error() + "\n")
		_ = replaceFile(filepath.Join(s.options.Dir, failedFile), text) // fails where the disk has failed
	}
	go func() { // not in place: Open, or a goroutine of package raft, waits for this call
		<-s.opened
		if s.raft != nil { // else Open returns the error
			s.stop(fmt.Sprintf("its store cannot be trusted any more: %v", failure.err))
		}
	}()
}

// stop ends the voting of this process for good; everything else in it goes on. Only the first call counts.
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

// Stopped returns why this process does not vote any more; empty while it does.
func (s *Server) Stopped() string {
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
	for _, member := range s.committedVoters() {
		status.Voters = append(status.Voters, Voter{Name: voterName(member.ID), Address: reachedAt(member.Address)})
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

// debugWriter writes the lines of package raft to a log at debug level. It implements io.Writer.
type debugWriter struct {
	log *slog.Logger
}

func (w *debugWriter) Write(line []byte) (int, error) {
	w.log.Debug("raft", "line", strings.TrimSpace(string(line)))
	return len(line), nil
}
