package quorum

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

// Disk stands before and behind each write of the log, so that tests can have it slow, full or failing. An error before a
// write means that nothing was written, one behind it that what was written may be lost.
type Disk interface {
	Before(bytes int) error
	After() error
}

// plainDisk is the file system as it is, within a bound.
type plainDisk struct {
	path     string
	maxBytes int64
}

// ErrStoreFull is that the voter's store has reached its bound.
var ErrStoreFull = errors.New("the store has reached its size")

func (d plainDisk) Before(n int) error {
	info, err := os.Stat(d.path)
	if err != nil {
		return err
	}
	if info.Size()+int64(n) > d.maxBytes {
		return fmt.Errorf("%w: %d bytes, %d at most", ErrStoreFull, info.Size(), d.maxBytes)
	}
	return nil
}
func (d plainDisk) After() error { return nil }

// guard is the log and the promises (term, vote) of a voter. After the first write that failed nothing is written any
// more, so that nothing can be promised: what was written before may be lost, whatever a later fsync says.
type guard struct {
	*raftboltdb.BoltStore
	disk   Disk
	failed atomic.Pointer[failure]
	fail   func(failure) // called once
	once   sync.Once
}

type failure struct {
	err  error
	lost bool // what was written may be
}

func (g *guard) write(bytes int, fn func() error) error {
	if f := g.failed.Load(); f != nil {
		return f.err
	}
	err := g.disk.Before(bytes)
	lost := false
	if err == nil {
		if err = fn(); err == nil {
			err = g.disk.After()
		}
		lost = err != nil
	}
	if err != nil {
		f := failure{err: err, lost: lost}
		g.failed.CompareAndSwap(nil, &f)
		g.once.Do(func() { g.fail(f) })
	}
	return err
}

func (g *guard) StoreLog(l *raft.Log) error { return g.StoreLogs([]*raft.Log{l}) }

func (g *guard) StoreLogs(l []*raft.Log) error {
	n := 0
	for _, e := range l {
		n += len(e.Data) + 128
	}
	return g.write(n, func() error { return g.BoltStore.StoreLogs(l) })
}

func (g *guard) DeleteRange(from, to uint64) error {
	return g.write(0, func() error { return g.BoltStore.DeleteRange(from, to) })
}

// promise writes a term or a vote. Danger: the library panics where that fails, which would end a gateway that serves; so
// its goroutine ends here instead, and with it the voter.
func (g *guard) promise(bytes int, fn func() error) error {
	if g.write(bytes, fn) != nil {
		runtime.Goexit()
	}
	return nil
}

func (g *guard) Set(k, v []byte) error {
	return g.promise(len(v)+128, func() error { return g.BoltStore.Set(k, v) })
}
func (g *guard) SetUint64(k []byte, v uint64) error {
	return g.promise(128, func() error { return g.BoltStore.SetUint64(k, v) })
}

// identity is what a folder says of its voter.
type identity struct {
	Format int    `json:"format"`
	Voter  string `json:"voter"`
	ID     string `json:"id"`              // drawn when the folder was empty: a voter that lost its folder is another one
	Fleet  string `json:"fleet,omitempty"` // identity of the fleet; empty: not admitted to one yet
	// Starts are drawn words of the voter's latest starts, in order, of which there were Boot.
	Boot   uint64   `json:"boot"`
	Starts []string `json:"starts"`
	// Seen are the latest starts of other voters, by ID.
	Seen map[string]start `json:"seen,omitempty"`
}

// start is one start of a voter's process.
type start struct {
	Boot uint64 `json:"boot"`
	Word string `json:"word"`
}

const (
	maxStarts = 256
	maxVoters = 256
)

// knows tells whether a folder with these starts has a start of its voter in it. Danger: one that was restored from a copy has
// not; what its voter has promised since is not in it either, and it might promise something else.
func knows(boot uint64, starts []string, s start) bool {
	if s.Boot == 0 {
		return true
	}
	if s.Boot > boot || boot-s.Boot >= uint64(len(starts)) {
		return false
	}
	return starts[len(starts)-1-int(boot-s.Boot)] == s.Word
}

const (
	identityFile = "voter.json"
	logFile      = "raft.db"
	failedFile   = "failed"
)

// ErrUnusableFolder is that a voter's folder cannot be used. It has to be emptied, which makes a new voter of it.
var ErrUnusableFolder = errors.New("the voter's folder cannot be used; empty it to have the voter replaced")

// openFolder reads a folder and counts the start. What it finds there must be of this voter, whole, and never have failed.
func openFolder(dir, voter, fresh string) (id identity, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return id, err
	}
	if text, err := os.ReadFile(filepath.Join(dir, failedFile)); err == nil {
		return id, fmt.Errorf("%w: a write failed in it: %s", ErrUnusableFolder, text)
	}
	text, err := os.ReadFile(filepath.Join(dir, identityFile))
	_, noLog := os.Stat(filepath.Join(dir, logFile))
	switch {
	case errors.Is(err, os.ErrNotExist) && noLog != nil:
		id = identity{Format: format, Voter: voter, ID: fresh}
	case err != nil:
		return id, fmt.Errorf("%w: %w", ErrUnusableFolder, err)
	default:
		if err := json.Unmarshal(text, &id); err != nil {
			return id, fmt.Errorf("%w: %s: %w", ErrUnusableFolder, identityFile, err)
		}
		if id.Format != format || id.ID == "" || id.Boot == 0 || len(id.Starts) == 0 {
			return id, fmt.Errorf("%w: %s is not whole", ErrUnusableFolder, identityFile)
		}
		if id.Voter != voter {
			return id, fmt.Errorf("%w: it is of voter %q, not of %q", ErrUnusableFolder, id.Voter, voter)
		}
		if err := whole(filepath.Join(dir, logFile)); err != nil {
			return id, fmt.Errorf("%w: %s: %w", ErrUnusableFolder, logFile, err)
		}
	}
	id.Boot++
	id.Starts = append(id.Starts, random())
	id.Starts = id.Starts[max(0, len(id.Starts)-maxStarts):]
	return id, id.write(dir)
}

func (id identity) write(dir string) error {
	text, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return replace(filepath.Join(dir, identityFile), text)
}

// replace writes a file so that it is there as a whole or as it was.
func replace(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// whole tells whether a log holds all pages that it says it has. Danger: bbolt maps the file, and a page that was cut off
// would end the process when it is looked at.
func whole(path string) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return errors.New("it is missing")
	}
	if err != nil {
		return err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%d bytes are missing of %d", tx.Size()-info.Size(), tx.Size())
		}
		return nil
	})
}
