package quorum

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"
)

// TestTruncatedFolderIsUsableOrRejected truncates a folder's log or identity at any byte: it is used only if it is complete, else
// rejected, and no process dies.
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
			t.Fatalf("%d of %d bytes of the identity: %+v", len(identityText), len(fullIdentity), id)
		case err == nil:
			opened++
			if err := checkLogComplete(filepath.Join(dir, logFile)); err != nil {
				t.Fatal(err)
			}
		case !errors.Is(err, ErrUnusableFolder):
			t.Fatal(err)
		}
	})
	if opened == 0 { // bbolt's files have room behind what is used
		t.Log("every truncated log was incomplete")
	}
}

func TestIncludesStart(t *testing.T) {
	starts := []string{"c", "d", "e"} // numbers 3, 4 and 5
	for seen, want := range map[start]bool{
		{}:       true,
		{5, "e"}: true,
		{4, "d"}: true,
		{3, "c"}: true,
		{2, "b"}: false, // too old to tell
		{6, "f"}: false,
		{5, "x"}: false,
	} {
		if got := includesStart(5, starts, seen); got != want {
			t.Errorf("%+v: %v, want %v", seen, got, want)
		}
	}
}
