package supervisor

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// Names of the entries in the folder; see the package documentation.
const (
	versionsDir  = "versions"
	currentLink  = "current"
	previousLink = "previous"
	trialFile    = "trial"
	rejectedFile = "refused"
	lockFile     = "lock"
)

const (
	maxLabelBytes  = 64
	maxReasonBytes = 300
)

// Folder stores the versions of the program and which one is current. Its methods must not be called concurrently, not even by different
// processes: the supervisor calls them only while the supervised process is not running, and the process calls them while it runs.
type Folder struct {
	Path string
}

// CheckLabel returns an error if a string is not a valid version label. A label is a file name of up to 64 bytes that does not begin with
// a dot and contains no path separator, blank or wildcard.
func CheckLabel(label string) error {
	if label == "" || len(label) > maxLabelBytes || strings.HasPrefix(label, ".") || strings.ContainsAny(label, "/\\ \t\n*?") {
		return fmt.Errorf("version %q: want a plain name of up to %d bytes", label, maxLabelBytes)
	}
	return nil
}

// pathOf returns the path of an entry in the folder.
func (f Folder) pathOf(name ...string) string {
	return filepath.Join(append([]string{f.Path}, name...)...)
}

// Program returns the path of a version's executable.
func (f Folder) Program(label string) string { return f.pathOf(versionsDir, label) }

// Check returns an error if a version cannot be started.
func (f Folder) Check(label string) error {
	if err := CheckLabel(label); err != nil {
		return err
	}
	info, err := os.Stat(f.Program(label))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("version %s is not here", label)
	case err != nil:
		return fmt.Errorf("version %s: %w", label, err)
	case !info.Mode().IsRegular() || info.Mode().Perm()&0o111 == 0:
		return fmt.Errorf("version %s is no program", label)
	}
	return nil
}

// Current returns the version to run. It returns an error if that version cannot be started.
func (f Folder) Current() (string, error) { return f.readLink(currentLink) }

// Previous returns the version that ran before the current one. It returns an error if that version cannot be started.
func (f Folder) Previous() (string, error) { return f.readLink(previousLink) }

// readLink returns the version that a link points to, and an error if that version cannot be started.
func (f Folder) readLink(name string) (string, error) {
	target, err := os.Readlink(f.pathOf(name))
	if err != nil {
		return "", err
	}
	label := filepath.Base(target)
	return label, f.Check(label)
}

// lock opens and locks the lock file. The lock keeps out other supervisors until the file is closed.
func (f Folder) lock() (*os.File, error) {
	file, err := os.OpenFile(f.pathOf(lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("folder %s is locked by another supervisor: %w", f.Path, err)
	}
	return file, nil
}

// writeLink atomically makes a link point to a version.
func (f Folder) writeLink(name, label string) error {
	return f.replace(name, func(temporary string) error {
		if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return os.Symlink(filepath.Join(versionsDir, label), temporary)
	})
}

// writeFile atomically replaces the contents of a file.
func (f Folder) writeFile(name, text string) error {
	return f.replace(name, func(temporary string) error { return os.WriteFile(temporary, []byte(text), 0o600) })
}

// replace creates an entry under a temporary name, renames it to its final name and syncs the folder. An existing entry of that name is
// replaced.
func (f Folder) replace(name string, create func(temporary string) error) error {
	temporary := f.pathOf("." + name)
	if err := create(temporary); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.pathOf(name)); err != nil {
		return err
	}
	return f.sync()
}

// remove deletes an entry. A missing entry is not an error.
func (f Folder) remove(name string) error {
	if err := os.Remove(f.pathOf(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// sync flushes the folder's entries to disk.
func (f Folder) sync() error {
	dir, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Switch makes another version the current one, on trial until ConfirmTrial. It also clears the record of a rejected version, which may
// then be tried again.
func (f Folder) Switch(label string) error {
	if err := f.Check(label); err != nil {
		return err
	}
	current, err := f.Current()
	if err != nil {
		return err
	}
	if current == label {
		return nil
	}
	// The order matters: after a crash between any two of these writes, the current version can be started and the previous one has run.
	return errors.Join(f.remove(rejectedFile), f.writeLink(previousLink, current), f.writeFile(trialFile, label), f.writeLink(currentLink, label))
}

// OnTrial reports whether the current version is on trial.
func (f Folder) OnTrial() bool {
	label, err := os.ReadFile(f.pathOf(trialFile))
	if err != nil {
		return false
	}
	current, err := f.Current()
	return err == nil && string(label) == current
}

// ConfirmTrial ends the trial of the current version.
func (f Folder) ConfirmTrial() error { return f.remove(trialFile) }

// Rollback makes the previous version the current one. It records the version that was current as rejected, with the reason.
func (f Folder) Rollback(reason string) error {
	current, err := f.Current()
	if err != nil {
		return err
	}
	previous, err := f.Previous()
	if err != nil {
		return fmt.Errorf("no previous version to roll back to: %w", err)
	}
	reason = strings.Join(strings.Fields(reason), " ")
	rejected := current + " " + reason[:min(len(reason), maxReasonBytes)]
	return errors.Join(f.writeFile(rejectedFile, rejected), f.writeLink(currentLink, previous), f.remove(trialFile))
}

// Rejected returns the version that was rolled back and the reason, or empty strings if none was.
func (f Folder) Rejected() (label, reason string) {
	text, err := os.ReadFile(f.pathOf(rejectedFile))
	if err != nil {
		return "", ""
	}
	label, reason, _ = strings.Cut(string(text), " ")
	return label, reason
}

// ClearRejected allows a version that was rolled back to be tried again.
func (f Folder) ClearRejected() error { return f.remove(rejectedFile) }
