package supervisor

import "os"

// ExitRestart is the exit code with which a process requests to be restarted as the version that is then current.
const ExitRestart = 10

// Environment variables that tell a process that it is supervised: the path of the supervisor's folder and the version that it runs.
const (
	FolderVariable  = "ROBINDRUM_FOLDER"
	VersionVariable = "ROBINDRUM_VERSION"
)

// Child is the supervised process's access to its supervisor's folder. Only Restarting may be called concurrently with other methods.
type Child struct {
	Folder  Folder
	Version string

	restarting       chan struct{}
	restartRequested bool
}

// FromEnv returns the Child of this process, or nil if the process is not supervised.
func FromEnv() *Child {
	dir, version := os.Getenv(FolderVariable), os.Getenv(VersionVariable)
	if dir == "" || version == "" {
		return nil
	}
	return &Child{Folder: Folder{Path: dir}, Version: version, restarting: make(chan struct{})}
}

// Restarting returns a channel that is closed when this process has to exit with ExitRestart. For a nil Child the channel is nil and is
// never closed.
func (c *Child) Restarting() <-chan struct{} {
	if c == nil {
		return nil
	}
	return c.restarting
}

// SwitchTo makes another version the current one and requests the restart of this process. After an earlier request for a restart it
// does nothing.
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

// Rollback makes the previous version the current one and requests the restart of this process. After an earlier request for a restart
// it does nothing. The reason is stored in the folder.
func (c *Child) Rollback(reason string) error {
	if c.restartRequested {
		return nil
	}
	if err := c.Folder.Rollback(reason); err != nil {
		return err
	}
	c.requestRestart()
	return nil
}

// requestRestart closes the channel that Restarting returns. It must be called only once.
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

// RejectReason returns why this process cannot be restarted as a version, or "" if it can.
func (c *Child) RejectReason(version string) string {
	if rejected, reason := c.Folder.Rejected(); rejected == version {
		return "given up here: " + reason
	}
	if err := c.Folder.Check(version); err != nil {
		return err.Error()
	}
	return ""
}
