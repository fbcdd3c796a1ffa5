package quorum

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"robindrum/internal/drain"
	"robindrum/internal/lease"
	"robindrum/internal/release"
	"robindrum/internal/unknownfields"
)

const (
	snapshotFormat   = 1
	maxSnapshotBytes = 64 << 20
)

// storedState is the encoding of the replicated state in a snapshot.
type storedState struct {
	Format   int                  `json:"format"`
	Fleet    string               `json:"fleet"`
	Leases   json.RawMessage      `json:"table"`
	Drains   json.RawMessage      `json:"book,omitempty"`     // absent in snapshots written by earlier versions
	Releases json.RawMessage      `json:"releases,omitempty"` // absent in snapshots written by earlier versions
	Unknown  unknownfields.Fields `json:"-"`
}

// MarshalJSON encodes the state, including its unknown fields.
func (s storedState) MarshalJSON() ([]byte, error) {
	type plain storedState
	return unknownfields.Marshal(plain(s), s.Unknown)
}

// UnmarshalJSON decodes the state and keeps its unknown fields.
func (s *storedState) UnmarshalJSON(data []byte) error {
	type plain storedState
	return unknownfields.Unmarshal(data, (*plain)(s), &s.Unknown)
}

// encode returns the state encoded as a snapshot.
func (f *fsm) encode() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	leases, err := json.Marshal(f.leases)
	if err != nil {
		return nil, err
	}
	drains, err := json.Marshal(f.drains)
	if err != nil {
		return nil, err
	}
	releases, err := json.Marshal(f.releases)
	if err != nil {
		return nil, err
	}
	return json.Marshal(storedState{
		Format:   snapshotFormat,
		Fleet:    f.fleet,
		Leases:   leases,
		Drains:   drains,
		Releases: releases,
		Unknown:  f.unknown,
	})
}

// decode replaces the state with an encoded snapshot. On an error the state is unchanged.
func (f *fsm) decode(data []byte) error {
	var stored storedState
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if stored.Format != snapshotFormat {
		return fmt.Errorf("snapshot: unsupported format %d, want %d", stored.Format, snapshotFormat)
	}
	leases, err := lease.Restore(stored.Leases)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	drains, err := restoreOrNew(stored.Drains, drain.Restore, drain.NewLedger)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	releases, err := restoreOrNew(stored.Releases, release.Restore, release.NewLedger)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases, f.drains, f.releases = leases, drains, releases
	f.fleet, f.unknown = stored.Fleet, stored.Unknown
	return nil
}

// restoreOrNew restores a part of the state, or returns an empty one if the snapshot does not contain it.
func restoreOrNew[T any](data []byte, restore func([]byte) (T, error), newEmpty func() T) (T, error) {
	if len(data) == 0 {
		return newEmpty(), nil
	}
	return restore(data)
}

// encodedSnapshot is an encoded state. It implements raft.FSMSnapshot.
type encodedSnapshot []byte

// Snapshot implements raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	data, err := f.encode()
	return encodedSnapshot(data), err
}

// Persist implements raft.FSMSnapshot.
func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s encodedSnapshot) Release() {}

// Restore implements raft.FSM.
func (f *fsm) Restore(reader io.ReadCloser) error {
	defer reader.Close()
	data, err := io.ReadAll(io.LimitReader(reader, maxSnapshotBytes))
	if err != nil {
		return err
	}
	return f.decode(data)
}
