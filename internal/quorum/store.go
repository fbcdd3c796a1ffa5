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

// entryOverheadBytes is what a stored entry or key may take beyond its value.
const entryOverheadBytes = 128

// ErrStoreFull means that the voter's store has reached its size limit.
var ErrStoreFull = errors.New("the store has reached its size")

// Disk is called around each write of the log, so that tests can make writes slow or fail. It must be safe for concurrent use.
type Disk interface {
	// Before is called before a write of about this many bytes. After an error nothing is written.
	Before(bytes int) error
	// After is called after a write. After an error the write counts as lost.
	After() error
}

// limitedDisk rejects writes that would make the log's file larger than a limit.
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

// guardedStore is the log, term and vote of a voter. After the first failed write it writes nothing any more, so that the voter
// cannot promise anything: whatever a later fsync reports, earlier writes may be lost.
type guardedStore struct {
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

// write runs a write, and fails for good once one has failed.
func (g *guardedStore) write(bytes int, write func() error) error {
	if failure := g.failure.Load(); failure != nil {
		return failure.err
	}
	if err := g.disk.Before(bytes); err != nil {
		g.fail(storeFailure{err: err})
		return err
	}
	err := write()
	if err == nil {
		err = g.disk.After()
	}
	if err != nil {
		g.fail(storeFailure{err: err, dataLost: true})
	}
	return err
}

func (g *guardedStore) fail(failure storeFailure) {
	g.failure.CompareAndSwap(nil, &failure)
	g.once.Do(func() { g.onFailure(failure) })
}

// StoreLog implements raft.LogStore.
func (g *guardedStore) StoreLog(entry *raft.Log) error { return g.StoreLogs([]*raft.Log{entry}) }

// StoreLogs implements raft.LogStore.
func (g *guardedStore) StoreLogs(entries []*raft.Log) error {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Data) + entryOverheadBytes
	}
	return g.write(bytes, func() error { return g.BoltStore.StoreLogs(entries) })
}

// DeleteRange implements raft.LogStore.
func (g *guardedStore) DeleteRange(from, to uint64) error {
	return g.write(0, func() error { return g.BoltStore.DeleteRange(from, to) })
}

// Set implements raft.StableStore; see writeOrExit.
func (g *guardedStore) Set(key, value []byte) error {
	g.writeOrExit(len(value)+entryOverheadBytes, func() error { return g.BoltStore.Set(key, value) })
	return nil
}

// SetUint64 implements raft.StableStore; see writeOrExit.
func (g *guardedStore) SetUint64(key []byte, value uint64) error {
	g.writeOrExit(entryOverheadBytes, func() error { return g.BoltStore.SetUint64(key, value) })
	return nil
}

// writeOrExit writes a term or a vote. Where that fails it ends the calling goroutine, and with it the voter: package raft would
// panic on an error, which would end a gateway that serves requests.
func (g *guardedStore) writeOrExit(bytes int, write func() error) {
	if g.write(bytes, write) != nil {
		runtime.Goexit()
	}
}
