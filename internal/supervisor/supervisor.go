package supervisor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Options are what a supervisor is told.
type Options struct {
	Folder Folder
	Args   []string // of the program
	Rules  Rules
	// Stop is how long a process has to end once it was told to; then it is killed.
	Stop   time.Duration
	Stdout io.Writer
	Stderr io.Writer
	Hangup <-chan os.Signal // passed on; nil: none
	Log    *slog.Logger
}

// ErrGaveUp is that nothing that can be started stays up.
var ErrGaveUp = errors.New("gave up")

// Run starts the version that the folder's link names and keeps it running, until ctx ends, it ends by itself, or nothing helps.
func Run(ctx context.Context, opt Options) error {
	opt.Rules.Fill()
	lock, err := os.OpenFile(opt.Folder.at("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fmt.Errorf("%s has a supervisor already: %w", opt.Folder.Path, err)
	}
	d := Decider{Rules: opt.Rules}
	for {
		label, err := opt.Folder.Current()
		if err != nil {
			return fmt.Errorf("%s: %w", opt.Folder.at(current), err)
		}
		began := time.Now()
		code, err := opt.once(ctx, label)
		if err != nil {
			opt.Log.Error("cannot be started", "version", label, "err", err)
		}
		a := d.ProcessEnded(time.Since(began), code, ctx.Err() != nil, opt.Folder.OnTrial())
		switch {
		case a.End:
			return nil
		case a.GiveUp:
			opt.Log.Error("given up: nothing is started any more", "version", label, "why", a.Reason)
			return fmt.Errorf("%w on version %s: %s", ErrGaveUp, label, a.Reason)
		case a.Rollback:
			if err := opt.Folder.Rollback(a.Reason); err != nil {
				return fmt.Errorf("%w on version %s, %s: %w", ErrGaveUp, label, a.Reason, err)
			}
			opt.Log.Error("back to the version before", "from", label, "why", a.Reason)
		case a.Reason != "":
			opt.Log.Warn("it crashed and is started again", "version", label, "in", a.Pause, "why", a.Reason)
		default:
			opt.Log.Info("started again as it asked", "from", label)
		}
		if a.Pause > 0 { // spread: a fleet that crashed at once does not come back at once
			t := time.NewTimer(a.Pause/2 + rand.N(a.Pause))
			select {
			case <-ctx.Done():
				t.Stop()
				return nil
			case <-t.C:
			}
		}
	}
}

// once runs a version until it ends, and gives its exit code; -1 where it did not start or was killed.
func (opt *Options) once(ctx context.Context, label string) (int, error) {
	cmd := exec.Command(opt.Folder.Program(label), opt.Args...)
	cmd.Env = append(os.Environ(), FolderVariable+"="+opt.Folder.Path, VersionVariable+"="+label)
	cmd.Stdout, cmd.Stderr = opt.Stdout, opt.Stderr
	// The process ends when this end is closed, also where the supervisor is killed.
	in, err := cmd.StdinPipe()
	if err != nil {
		return -1, err
	}
	if err := cmd.Start(); err != nil {
		return -1, err
	}
	opt.Log.Info("started", "version", label, "pid", cmd.Process.Pid)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	stop := ctx.Done()
	var kill <-chan time.Time
	for {
		select {
		case err := <-ended:
			in.Close()
			if err != nil && cmd.ProcessState == nil {
				return -1, err
			}
			return cmd.ProcessState.ExitCode(), nil
		case <-stop:
			stop = nil
			_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended
			t := time.NewTimer(opt.Stop)
			defer t.Stop()
			kill = t.C
		case <-kill:
			_ = cmd.Process.Kill()
		case s := <-opt.Hangup:
			_ = cmd.Process.Signal(s)
		}
	}
}

// Child is the place of a process that is supervised, as the process knows it. Its methods may be called by one goroutine at a time.
type Child struct {
	Folder  Folder
	Version string
	again   chan struct{}
	asked   bool
}

// FromEnv gives this process's; nil: nobody supervises it.
func FromEnv() *Child {
	dir, version := os.Getenv(FolderVariable), os.Getenv(VersionVariable)
	if dir == "" || version == "" {
		return nil
	}
	return &Child{Folder: Folder{dir}, Version: version, again: make(chan struct{})}
}

// Restarting is closed when this process is to end with the exit code of that name.
func (c *Child) Restarting() <-chan struct{} {
	if c == nil {
		return nil
	}
	return c.again
}

// SwitchTo has this process end and another version start in its place. Asked once more, nothing happens.
func (c *Child) SwitchTo(label string) error {
	if c.asked {
		return nil
	}
	if err := c.Folder.Switch(label); err != nil {
		return err
	}
	c.end()
	return nil
}

// Rollback has this process end and the version before start in its place.
func (c *Child) Rollback(why string) error {
	if c.asked {
		return nil
	}
	if err := c.Folder.Rollback(why); err != nil {
		return err
	}
	c.end()
	return nil
}

func (c *Child) end() {
	c.asked = true
	close(c.again)
}

// ConfirmTrial, Forgive and Trial are the folder's.
func (c *Child) ConfirmTrial() error  { return c.Folder.ConfirmTrial() }
func (c *Child) ClearRejected() error { return c.Folder.ClearRejected() }
func (c *Child) OnTrial() bool        { return c.Folder.OnTrial() }

// RejectReason says why this process would not start as a version; empty: it would.
func (c *Child) RejectReason(label string) string {
	if given, why := c.Folder.Rejected(); given == label {
		return "given up here: " + why
	}
	if err := c.Folder.Check(label); err != nil {
		return err.Error()
	}
	return ""
}
