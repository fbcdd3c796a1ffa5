package quorum

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
)

// Files in a voter's folder.
const (
	identityFile = "voter.json"
	logFile      = "raft.db"
	failedFile   = "failed" // exists if a write may have been lost; contains the error
)

const (
	identityFormat  = 1
	maxStarts       = 256 // starts of its own voter that a folder records
	maxPeerStarts   = 256 // other voters whose latest start a folder records
	boltLockTimeout = time.Second
)

// ErrUnusableFolder means that a voter's folder cannot be used. With an emptied folder the voter joins again under a new ID.
var ErrUnusableFolder = errors.New("the voter's folder cannot be used; empty it to have the voter replaced")

// identity is the contents of identityFile: the voter that the folder belongs to, the starts of that voter, and the latest starts of
// other voters.
type identity struct {
	Format     int                     `json:"format"`
	Voter      string                  `json:"voter"`
	ID         string                  `json:"id"`              // see newVoterID; emptying the folder changes it
	Fleet      string                  `json:"fleet,omitempty"` // ID of the fleet; empty until the voter is a member of one
	StartCount uint64                  `json:"boot"`            // number of starts so far
	Starts     []string                `json:"starts"`          // nonces of the latest starts, oldest first
	PeerStarts map[string]processStart `json:"seen,omitempty"`  // latest known starts of other voters, by voter ID
}

// processStart identifies one start of a voter's process.
type processStart struct {
	Number uint64 `json:"boot"` // counts from 1; 0 means no start
	Nonce  string `json:"word"`
}

// includesStart reports whether the starts recorded in a voter's folder include a start of the voter that another voter knows. A
// folder that was restored from an old copy lacks later starts, and may lack votes and log entries that the voter has acknowledged
// since. The result is also false if known is too old to be among the recorded starts.
func includesStart(startCount uint64, starts []string, known processStart) bool {
	if known.Number == 0 {
		return true
	}
	if known.Number > startCount {
		return false
	}
	age := startCount - known.Number
	if age >= uint64(len(starts)) {
		return false
	}
	return starts[len(starts)-1-int(age)] == known.Nonce
}

// openFolder reads the identity in a voter's folder and records a new start in it. An empty folder gets the ID newID. The error wraps
// ErrUnusableFolder if the folder belongs to another voter, is incomplete, or may have lost a write.
func openFolder(dir, voter, newID string) (identity, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return identity{}, err
	}
	if reason, err := os.ReadFile(filepath.Join(dir, failedFile)); err == nil {
		return identity{}, fmt.Errorf("%w: a write failed in it: %s", ErrUnusableFolder, reason)
	}
	id, err := readIdentity(dir, voter, newID)
	if err != nil {
		return identity{}, fmt.Errorf("%w: %w", ErrUnusableFolder, err)
	}
	id.StartCount++
	id.Starts = append(id.Starts, randomHex())
	id.Starts = id.Starts[max(0, len(id.Starts)-maxStarts):]
	return id, id.write(dir)
}

// readIdentity returns the identity in a folder, or a new one if the folder has neither an identity nor a log.
func readIdentity(dir, voter, newID string) (identity, error) {
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	_, logErr := os.Stat(filepath.Join(dir, logFile))
	if errors.Is(err, os.ErrNotExist) && logErr != nil {
		return identity{Format: identityFormat, Voter: voter, ID: newID}, nil
	}
	if err != nil {
		return identity{}, err
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil {
		return identity{}, fmt.Errorf("%s: %w", identityFile, err)
	}
	if id.Format != identityFormat || id.ID == "" || id.StartCount == 0 || len(id.Starts) == 0 {
		return identity{}, fmt.Errorf("%s is incomplete", identityFile)
	}
	if id.Voter != voter {
		return identity{}, fmt.Errorf("folder belongs to voter %q, not to %q", id.Voter, voter)
	}
	if err := checkLogComplete(filepath.Join(dir, logFile)); err != nil {
		return identity{}, fmt.Errorf("%s: %w", logFile, err)
	}
	return id, nil
}

// clone returns a copy with its own PeerStarts. The copy shares Starts, which is never modified in place.
func (id identity) clone() identity {
	id.PeerStarts = maps.Clone(id.PeerStarts)
	return id
}

// write replaces the identity file in a folder.
func (id identity) write(dir string) error {
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, identityFile), data)
}

// replaceFile replaces a file atomically: after a crash it has either its old or its new contents.
func replaceFile(path string, data []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // fails after the rename, when there is nothing to remove
	_, err = file.Write(data)
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// checkLogComplete returns an error if a log file is missing or truncated. bbolt maps the file into memory, and reading a page beyond
// its end would crash the process.
func checkLogComplete(path string) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return errors.New("file is missing")
	}
	if err != nil {
		return err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: boltLockTimeout})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("file is truncated: %d of %d bytes are missing", tx.Size()-info.Size(), tx.Size())
		}
		return nil
	})
}

// randomHex returns 48 random bits in hexadecimal.
func randomHex() string {
	var bits [6]byte
	_, _ = rand.Read(bits[:]) // never returns an error
	return hex.EncodeToString(bits[:])
}
