package supervisor

import (
	"os"
	"path/filepath"
	"testing"
)

// TestFolderOfEarlierBuildIsRead reads a folder written by the supervisor of an earlier build (see tools/fixtures/write). Version three
// was rolled back to two, and four is on trial.
func TestFolderOfEarlierBuildIsRead(t *testing.T) {
	f := Folder{Path: filepath.Join(t.TempDir(), "folder")}
	fixture := filepath.Join("testdata", "former", "folder")
	if err := os.MkdirAll(filepath.Join(f.Path, versionsDir), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"trial", "refused", "versions/two", "versions/three", "versions/four"} {
		text, err := os.ReadFile(filepath.Join(fixture, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(f.Path, name), text, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"current", "previous"} {
		target, err := os.Readlink(filepath.Join(fixture, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Symlink(target, filepath.Join(f.Path, name)); err != nil {
			t.Fatal(err)
		}
	}
	if label, err := f.Current(); label != "four" || err != nil {
		t.Errorf("Current: got %q, %v, want %q, nil", label, err, "four")
	}
	if label, err := f.Previous(); label != "two" || err != nil {
		t.Errorf("Previous: got %q, %v, want %q, nil", label, err, "two")
	}
	if label, reason := f.Rejected(); label != "three" || reason != "it broke twice" {
		t.Errorf("Rejected: got %q, %q, want %q, %q", label, reason, "three", "it broke twice")
	}
	if !f.OnTrial() {
		t.Error("OnTrial for version four: got false, want true")
	}
	if err := f.Rollback("it broke again"); err != nil {
		t.Fatal(err)
	}
	if label, err := f.Current(); label != "two" || err != nil || f.OnTrial() {
		t.Errorf("after Rollback: got version %q, %v, on trial %v, want %q, nil, false", label, err, f.OnTrial(), "two")
	}
}
