package quorum

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// entryOverheadBytes is the space that a stored entry or key may take in addition to its value.
const entryOverheadBytes = 128

// ErrStoreFull means that a write would exceed the size limit of the voter's store.
var ErrStoreFull = errors.New("the store has reached its size")

// Disk is called before and after each write to the store, so that tests can make writes slow or fail. Its methods must be safe for
// concurrent use.
type Disk interface {
	// Before is called before a write of approximately this many bytes. On an error nothing is written.
	Before(bytes int) error
	// After is called after a successful write. On an error the write is considered lost.
	After() error
}

// limitedDisk rejects writes that would make the log file larger than maxBytes.
type limitedDisk struct {
	path     string
	maxBytes int64
}

func (d limitedDisk) Before(bytes int) error {
	info, err := os.Stat(d.path)
	if err != nil {
		return err
	}
	if info.Size()+int64(bytes) > d.maxBytes {
		return fmt.Errorf("%w: %d bytes, max %d", ErrStoreFull, info.Size(), d.maxBytes)
	}
	return nil
}

func (d limitedDisk) After() error { return nil }

// failStopStore stores the log, term and vote of a voter. After the first failed write it rejects all further writes, so that the
// voter cannot acknowledge anything: earlier writes may be lost even if a later fsync succeeds.
type failStopStore struct {
	*raftboltdb.BoltStore
	disk      Disk
	failure   atomic.Pointer[storeFailure]
	onFailure func(storeFailure) // called once
	once      sync.Once
}

// storeFailure is the first failure of a voter's store.
type storeFailure struct {
	err      error
	dataLost bool // earlier writes may be lost
}

// write runs a write. After a failed write it returns the first error without writing.
func (s *failStopStore) write(bytes int, write func() error) error {
	if failure := s.failure.Load(); failure != nil {
		return failure.err
	}
	if err := s.disk.Before(bytes); err != nil {
		s.fail(storeFailure{err: err})
		return err
	}
	err := write()
	if err == nil {
		err = s.disk.After()
	}
	if err != nil {
		s.fail(storeFailure{err: err, dataLost: true})
	}
	return err
}

func (s *failStopStore) fail(failure storeFailure) {
	s.failure.CompareAndSwap(nil, &failure)
	s.once.Do(func() { s.onFailure(failure) })
}

// StoreLog implements raft.LogStore.
func (s *failStopStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs implements raft.LogStore.
func (s *failStopStore) StoreLogs(entries []*raft.Log) error {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Data) + entryOverheadBytes
	}
	return s.write(bytes, func() error { return s.BoltStore.StoreLogs(entries) })
}

// DeleteRange implements raft.LogStore.
func (s *failStopStore) DeleteRange(from, to uint64) error {
	return s.write(0, func() error { return s.BoltStore.DeleteRange(from, to) })
}

// Set implements raft.StableStore; see writeOrGoexit.
func (s *failStopStore) Set(key, value []byte) error {
	s.writeOrGoexit(len(value)+entryOverheadBytes, func() error { return s.BoltStore.Set(key, value) })
	return nil
}

// SetUint64 implements raft.StableStore; see writeOrGoexit.
func (s *failStopStore) SetUint64(key []byte, value uint64) error {
	s.writeOrGoexit(entryOverheadBytes, func() error { return s.BoltStore.SetUint64(key, value) })
	return nil
}

// writeOrGoexit writes a term or a vote. If the write fails it ends the calling goroutine, and onFailure stops the voter. Package raft
// would panic if it got the error, which would end the whole process, and a gateway has to keep serving requests.
func (s *failStopStore) writeOrGoexit(bytes int, write func() error) {
	if s.write(bytes, write) != nil {
		runtime.Goexit()
	}
}
