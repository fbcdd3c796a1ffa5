// Package supervisor runs robindrum as the version that a link names, and starts it again: at once where it asks for that, after a
// growing pause where it crashed; as the version before where a new one does not come up, and not at all where nothing helps.
//
// A folder holds it all:
//
//	versions/LABEL   the programs
//	current          a link to the one that runs
//	previous         a link to the one before
//	trial            the label of a version that has not been seen at work yet; not there: none is on trial
//	refused          a label and why it was given up
package supervisor

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// ExitRestart is the exit code by which a process asks to be started again, as whatever current names then.
const ExitRestart = 10

// Environment by which a process knows that it is supervised.
const (
	FolderVariable  = "ROBINDRUM_FOLDER"
	VersionVariable = "ROBINDRUM_VERSION"
)

const (
	versions, current, previous, trial, refused = "versions", "current", "previous", "trial", "refused"
	maxLabel                                    = 64
	maxReason                                   = 300
)

// Folder is one. Its methods are for one goroutine of one process at a time; a supervisor and its process take turns.
type Folder struct{ Path string }

// CheckLabel tells whether a version can be called so.
func CheckLabel(label string) error {
	if label == "" || len(label) > maxLabel || strings.HasPrefix(label, ".") || strings.ContainsAny(label, "/\\ \t\n*?") {
		return fmt.Errorf("version %q: want a plain name of up to %d bytes", label, maxLabel)
	}
	return nil
}

func (f Folder) at(name ...string) string { return filepath.Join(append([]string{f.Path}, name...)...) }

// Program is the path of a version.
func (f Folder) Program(label string) string { return f.at(versions, label) }

// Check says why a version cannot be started here; nil: it can.
func (f Folder) Check(label string) error {
	if err := CheckLabel(label); err != nil {
		return err
	}
	switch info, err := os.Stat(f.Program(label)); {
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("version %s is not here", label)
	case err != nil:
		return fmt.Errorf("version %s: %w", label, err)
	case !info.Mode().IsRegular() || info.Mode().Perm()&0o111 == 0:
		return fmt.Errorf("version %s is no program", label)
	}
	return nil
}

// Current is the version that the link names.
func (f Folder) Current() (string, error) { return f.read(current) }

// Previous is the one before.
func (f Folder) Previous() (string, error) { return f.read(previous) }

func (f Folder) read(link string) (string, error) {
	to, err := os.Readlink(f.at(link))
	if err != nil {
		return "", err
	}
	label := filepath.Base(to)
	return label, f.Check(label)
}

// link has a link name a version, whole or as before.
func (f Folder) link(name, label string) error {
	tmp := f.at("." + name)
	if err := os.Remove(tmp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.Symlink(filepath.Join(versions, label), tmp); err != nil {
		return err
	}
	if err := os.Rename(tmp, f.at(name)); err != nil {
		return err
	}
	return f.sync()
}

// write has a file hold a text, whole or as before.
func (f Folder) write(name, text string) error {
	tmp := f.at("." + name)
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.Rename(tmp, f.at(name)); err != nil {
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
	d, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Switch has another version run from the next start on. It is on trial until Proved. What was given up is given another try.
//
// Danger: the order. A crash in between leaves a link to a version that is there, and previous to one that ran.
func (f Folder) Switch(label string) error {
	if err := f.Check(label); err != nil {
		return err
	}
	now, err := f.Current()
	if err != nil {
		return err
	}
	if now == label {
		return nil
	}
	return errors.Join(f.remove(refused), f.link(previous, now), f.write(trial, label), f.link(current, label))
}

// OnTrial tells whether the version that the link names is on trial.
func (f Folder) OnTrial() bool {
	label, err := os.ReadFile(f.at(trial))
	now, err2 := f.Current()
	return err == nil && err2 == nil && string(label) == now
}

// ConfirmTrial ends a version's trial.
func (f Folder) ConfirmTrial() error { return f.remove(trial) }

// Rollback has the version before run from the next start on, and notes why the other one does not.
func (f Folder) Rollback(why string) error {
	now, err := f.Current()
	if err != nil {
		return err
	}
	before, err := f.Previous()
	if err != nil {
		return fmt.Errorf("there is no version to go back to: %w", err)
	}
	why = strings.Join(strings.Fields(why), " ")
	return errors.Join(f.write(refused, now+" "+why[:min(len(why), maxReason)]), f.link(current, before), f.remove(trial))
}

// Rejected is which version was given up here, and why; empty: none was.
func (f Folder) Rejected() (label, why string) {
	text, err := os.ReadFile(f.at(refused))
	if err != nil {
		return "", ""
	}
	label, why, _ = strings.Cut(string(text), " ")
	return label, why
}

// ClearRejected has a version that was given up tried again when it is asked for.
func (f Folder) ClearRejected() error { return f.remove(refused) }
