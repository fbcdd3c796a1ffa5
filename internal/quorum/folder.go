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

// Files of a voter's folder.
const (
	identityFile = "voter.json"
	logFile      = "raft.db"
	failedFile   = "failed" // exists once a write was lost
)

const (
	identityFormat  = 1
	maxStarts       = 256 // that a folder records of its voter
	maxPeerStarts   = 256 // that a folder records of other voters
	boltLockTimeout = time.Second
)

// ErrUnusableFolder means that a voter's folder cannot be used. Emptying it makes a new voter of it.
var ErrUnusableFolder = errors.New("the voter's folder cannot be used; empty it to have the voter replaced")

// identity is what a folder records of its voter.
type identity struct {
	Format     int              `json:"format"`
	Voter      string           `json:"voter"`
	ID         string           `json:"id"`              // random when the folder was empty: with an empty folder a voter is another one
	Fleet      string           `json:"fleet,omitempty"` // ID of the fleet; empty until the voter is a member of one
	StartCount uint64           `json:"boot"`
	Starts     []string         `json:"starts"`         // nonces of the latest starts, in order
	PeerStarts map[string]start `json:"seen,omitempty"` // latest known starts of other voters, by their IDs
}

// start is one start of a voter's process.
type start struct {
	Number uint64 `json:"boot"` // 1 for the first start; 0: none
	Nonce  string `json:"word"`
}

// includesStart reports whether a folder's starts include one that was seen of its voter. A folder that was restored from a copy
// lacks later ones, and with them what its voter has promised since.
func includesStart(startCount uint64, starts []string, seen start) bool {
	if seen.Number == 0 {
		return true
	}
	if seen.Number > startCount {
		return false
	}
	age := startCount - seen.Number
	if age >= uint64(len(starts)) {
		return false
	}
	return starts[len(starts)-1-int(age)] == seen.Nonce
}

// openFolder reads the folder of a voter and records a start in it; an empty one gets the identity newID. The folder must belong to
// this voter, be complete, and never have lost a write; otherwise the error is an ErrUnusableFolder.
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

// readIdentity returns the identity in a folder, or a new one where the folder has neither identity nor log.
func readIdentity(dir, voter, newID string) (identity, error) {
	text, err := os.ReadFile(filepath.Join(dir, identityFile))
	_, logErr := os.Stat(filepath.Join(dir, logFile))
	if errors.Is(err, os.ErrNotExist) && logErr != nil {
		return identity{Format: identityFormat, Voter: voter, ID: newID}, nil
	}
	if err != nil {
		return identity{}, err
	}
	var id identity
	if err := json.Unmarshal(text, &id); err != nil {
		return identity{}, fmt.Errorf("%s: %w", identityFile, err)
	}
	if id.Format != identityFormat || id.ID == "" || id.StartCount == 0 || len(id.Starts) == 0 {
		return identity{}, fmt.Errorf("%s is incomplete", identityFile)
	}
	if id.Voter != voter {
		return identity{}, fmt.Errorf("it is of voter %q, not of %q", id.Voter, voter)
	}
	if err := checkLogComplete(filepath.Join(dir, logFile)); err != nil {
		return identity{}, fmt.Errorf("%s: %w", logFile, err)
	}
	return id, nil
}

// clone returns a copy that shares no map with the original. Starts is never changed in place.
func (id identity) clone() identity {
	id.PeerStarts = maps.Clone(id.PeerStarts)
	return id
}

// write replaces the identity in a folder.
func (id identity) write(dir string) error {
	text, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, identityFile), text)
}

// replaceFile writes a file so that after a crash it has either its former or its new contents.
func replaceFile(path string, text []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // fails once it is renamed
	_, err = file.Write(text)
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

// checkLogComplete returns an error where a log's file lacks pages that it should have. bbolt maps the file, and reading a missing
// page would end the process.
func checkLogComplete(path string) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return errors.New("it is missing")
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
			return fmt.Errorf("%d bytes are missing of %d", tx.Size()-info.Size(), tx.Size())
		}
		return nil
	})
}

// randomHex returns 48 random bits as text.
func randomHex() string {
	var bits [6]byte
	_, _ = rand.Read(bits[:]) // never fails
	return hex.EncodeToString(bits[:])
}
