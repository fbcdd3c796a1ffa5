package supervisor

import (
	"os"
	"path/filepath"
	"testing"
)

// TestFormerFolderIsRead reads the folder of an earlier version's supervisor (tools/fixtures/write): version three was given up for
// two, and four is on trial.
func TestFormerFolderIsRead(t *testing.T) {
	f := Folder{Path: filepath.Join(t.TempDir(), "folder")}
	from := filepath.Join("testdata", "former", "folder")
	if err := os.MkdirAll(filepath.Join(f.Path, versionsDir), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"trial", "refused", "versions/two", "versions/three", "versions/four"} {
		text, err := os.ReadFile(filepath.Join(from, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(f.Path, name), text, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"current", "previous"} {
		to, err := os.Readlink(filepath.Join(from, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Symlink(to, filepath.Join(f.Path, name)); err != nil {
			t.Fatal(err)
		}
	}
	if label, err := f.Current(); label != "four" || err != nil {
		t.Errorf("current: %q, %v", label, err)
	}
	if label, err := f.Previous(); label != "two" || err != nil {
		t.Errorf("previous: %q, %v", label, err)
	}
	if label, why := f.Rejected(); label != "three" || why != "it broke twice" {
		t.Errorf("refused: %q, %q", label, why)
	}
	if !f.OnTrial() {
		t.Error("four is not on trial")
	}
	if err := f.Rollback("it broke again"); err != nil {
		t.Fatal(err)
	}
	if label, err := f.Current(); label != "two" || err != nil || f.OnTrial() {
		t.Errorf("gone back: %q, %v, on trial %v", label, err, f.OnTrial())
	}
}
