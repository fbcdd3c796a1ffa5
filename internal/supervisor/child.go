package supervisor

import "os"

// ExitRestart is the exit code by which a process asks to be started again, as the version that is current then.
const ExitRestart = 10

// Environment variables by which a process knows that it is supervised.
const (
	FolderVariable  = "ROBINDRUM_FOLDER"
	VersionVariable = "ROBINDRUM_VERSION"
)

// Child is the supervised process's side. Its methods must not be called concurrently, except Restarting.
type Child struct {
	Folder  Folder
	Version string

	restarting       chan struct{}
	restartRequested bool
}

// FromEnv returns this process's Child; nil: it is not supervised.
func FromEnv() *Child {
	dir, version := os.Getenv(FolderVariable), os.Getenv(VersionVariable)
	if dir == "" || version == "" {
		return nil
	}
	return &Child{Folder: Folder{Path: dir}, Version: version, restarting: make(chan struct{})}
}

// Restarting returns a channel that is closed when this process is to end with ExitRestart. A nil Child's is never closed.
func (c *Child) Restarting() <-chan struct{} {
	if c == nil {
		return nil
	}
	return c.restarting
}

// SwitchTo makes this process end and another version start in its place. After the first restart was requested it does nothing.
func (c *Child) SwitchTo(version string) error {
	if c.restartRequested {
		return nil
	}
	if err := c.Folder.Switch(version); err != nil {
		return err
	}
	c.requestRestart()
	return nil
}

// Rollback makes this process end and the previous version start in its place. After the first restart was requested it does nothing.
func (c *Child) Rollback(why string) error {
	if c.restartRequested {
		return nil
	}
	if err := c.Folder.Rollback(why); err != nil {
		return err
	}
	c.requestRestart()
	return nil
}

func (c *Child) requestRestart() {
	c.restartRequested = true
	close(c.restarting)
}

// ConfirmTrial ends the trial of the current version.
func (c *Child) ConfirmTrial() error { return c.Folder.ConfirmTrial() }

// ClearRejected allows a version that was rolled back to be tried again.
func (c *Child) ClearRejected() error { return c.Folder.ClearRejected() }

// OnTrial reports whether the current version has not been confirmed yet.
func (c *Child) OnTrial() bool { return c.Folder.OnTrial() }

// RejectReason returns why this process would not start as a version; empty: it would.
func (c *Child) RejectReason(version string) string {
	if rejected, why := c.Folder.Rejected(); rejected == version {
		return "given up here: " + why
	}
	if err := c.Folder.Check(version); err != nil {
		return err.Error()
	}
	return ""
}
