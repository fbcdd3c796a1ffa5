package quorum

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"
)

// TestTruncatedFolderIsUsableOrRejected truncates the log or the identity of a folder at an arbitrary byte, and tests that openFolder
// accepts the folder only if the log is complete, rejects it with ErrUnusableFolder otherwise, and never crashes the process.
func TestTruncatedFolderIsUsableOrRejected(t *testing.T) {
	voters, client := startVoters(t)
	for i := range 30 {
		acquire(t, client, fmt.Sprint("x", i))
	}
	voter := voters[1]
	voter.Close()
	fullLog, err := os.ReadFile(filepath.Join(voter.dir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	fullIdentity, err := os.ReadFile(filepath.Join(voter.dir, identityFile))
	if err != nil {
		t.Fatal(err)
	}
	opened := 0
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp(voter.dir, "cut-")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		truncateIdentity := rapid.IntRange(0, 3).Draw(t, "which") == 0
		logText, identityText := fullLog, fullIdentity
		if truncateIdentity {
			identityText = fullIdentity[:rapid.IntRange(0, len(fullIdentity)-1).Draw(t, "at")]
		} else {
			logText = fullLog[:rapid.IntRange(0, len(fullLog)).Draw(t, "at")]
		}
		err = errors.Join(os.WriteFile(filepath.Join(dir, logFile), logText, 0o600), os.WriteFile(filepath.Join(dir, identityFile), identityText, 0o600))
		if err != nil {
			t.Fatal(err)
		}
		id, err := openFolder(dir, "v1", "new")
		switch {
		case err == nil && truncateIdentity:
			t.Fatalf("openFolder accepted an identity truncated to %d of %d bytes: %+v", len(identityText), len(fullIdentity), id)
		case err == nil:
			opened++
			if err := checkLogComplete(filepath.Join(dir, logFile)); err != nil {
				t.Fatal(err)
			}
		case !errors.Is(err, ErrUnusableFolder):
			t.Fatal(err)
		}
	})
	if opened == 0 { // a truncated log can be complete, because bbolt files have unused space at their end
		t.Log("every truncated log was incomplete")
	}
}

func TestIncludesStart(t *testing.T) {
	starts := []string{"c", "d", "e"} // numbers 3, 4 and 5
	for known, want := range map[processStart]bool{
		{}:       true,
		{5, "e"}: true,
		{4, "d"}: true,
		{3, "c"}: true,
		{2, "b"}: false, // older than the recorded starts
		{6, "f"}: false,
		{5, "x"}: false,
	} {
		if got := includesStart(5, starts, known); got != want {
			t.Errorf("includesStart of known start %+v: got %v, want %v", known, got, want)
		}
	}
}
