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

// Names in the folder; see the package's documentation.
const (
	versionsDir  = "versions"
	currentLink  = "current"
	previousLink = "previous"
	trialFile    = "trial"
	rejectedFile = "refused"
	lockFile     = "lock"
)

const (
	maxLabel  = 64  // bytes
	maxReason = 300 // bytes
)

// Folder holds the versions of the program and which one runs. Its methods must not be called concurrently, not by other processes
// either: the supervisor calls them while its process does not run, and the process while it does.
type Folder struct {
	Path string
}

// CheckLabel returns an error where a string cannot be a version's label: a file name of up to 64 bytes.
func CheckLabel(label string) error {
	if label == "" || len(label) > maxLabel || strings.HasPrefix(label, ".") || strings.ContainsAny(label, "/\\ \t\n*?") {
		return fmt.Errorf("version %q: want a plain name of up to %d bytes", label, maxLabel)
	}
	return nil
}

// at returns the path of something in the folder.
func (f Folder) at(name ...string) string { return filepath.Join(append([]string{f.Path}, name...)...) }

// Program returns the path of a version's program.
func (f Folder) Program(label string) string { return f.at(versionsDir, label) }

// Check returns why a version cannot be started; nil: it can.
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

// Current returns the version that is to run. It returns an error where that cannot be started.
func (f Folder) Current() (string, error) { return f.readLink(currentLink) }

// Previous returns the version that ran before the current one. It returns an error where that cannot be started.
func (f Folder) Previous() (string, error) { return f.readLink(previousLink) }

func (f Folder) readLink(name string) (string, error) {
	target, err := os.Readlink(f.at(name))
	if err != nil {
		return "", err
	}
	label := filepath.Base(target)
	return label, f.Check(label)
}

// lock returns the open lock file, locked against other supervisors until it is closed.
func (f Folder) lock() (*os.File, error) {
	file, err := os.OpenFile(f.at(lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("%s has a supervisor already: %w", f.Path, err)
	}
	return file, nil
}

// writeLink makes a link name a version, atomically.
func (f Folder) writeLink(name, label string) error {
	return f.replace(name, func(temporary string) error {
		if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return os.Symlink(filepath.Join(versionsDir, label), temporary)
	})
}

// writeFile replaces a file's contents, atomically.
func (f Folder) writeFile(name, text string) error {
	return f.replace(name, func(temporary string) error { return os.WriteFile(temporary, []byte(text), 0o600) })
}

// replace creates something under a temporary name and renames it over what has the name now.
func (f Folder) replace(name string, create func(temporary string) error) error {
	temporary := f.at("." + name)
	if err := create(temporary); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.at(name)); err != nil {
		return err
	}
	return f.sync()
}

func (f Folder) remove(name string) error {
	if err := os.Remove(f.at(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (f Folder) sync() error {
	dir, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Switch makes another version the current one, on trial until ConfirmTrial. A version that was rolled back may be tried again after
// that.
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
	// After a crash between any two of these the current version can be started, and the previous one has run.
	return errors.Join(f.remove(rejectedFile), f.writeLink(previousLink, current), f.writeFile(trialFile, label), f.writeLink(currentLink, label))
}

// OnTrial reports whether the current version is on trial.
func (f Folder) OnTrial() bool {
	label, err := os.ReadFile(f.at(trialFile))
	if err != nil {
		return false
	}
	current, err := f.Current()
	return err == nil && string(label) == current
}

// ConfirmTrial ends the current version's trial.
func (f Folder) ConfirmTrial() error { return f.remove(trialFile) }

// Rollback makes the previous version the current one, and records why the other one is rejected.
func (f Folder) Rollback(why string) error {
	current, err := f.Current()
	if err != nil {
		return err
	}
	previous, err := f.Previous()
	if err != nil {
		return fmt.Errorf("there is no version to go back to: %w", err)
	}
	why = strings.Join(strings.Fields(why), " ")
	rejected := current + " " + why[:min(len(why), maxReason)]
	return errors.Join(f.writeFile(rejectedFile, rejected), f.writeLink(currentLink, previous), f.remove(trialFile))
}

// Rejected returns the version that was rolled back, and why; empty: none was.
func (f Folder) Rejected() (label, why string) {
	text, err := os.ReadFile(f.at(rejectedFile))
	if err != nil {
		return "", ""
	}
	label, why, _ = strings.Cut(string(text), " ")
	return label, why
}

// ClearRejected allows a version that was rolled back to be tried again.
func (f Folder) ClearRejected() error { return f.remove(rejectedFile) }
