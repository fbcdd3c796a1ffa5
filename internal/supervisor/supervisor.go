// Package supervisor runs robindrum as the version that a link names, and starts it again: at once where the process asks for it, after
// a growing pause where it crashed. A new version that keeps crashing is rolled back; after too many crashes nothing is started any
// more.
//
// A folder holds all its state:
//
//	versions/LABEL   the programs
//	current          a link to the version that runs
//	previous         a link to the version before
//	trial            the label of a version that has not been confirmed yet; absent: none is on trial
//	refused          the label of a version that was rolled back, and why
//	lock             locked by the running supervisor
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

// Options configure a supervisor.
type Options struct {
	Folder Folder
	// Args are the program's arguments.
	Args  []string
	Rules Rules
	// Stop is how long the process has to end after SIGTERM; then it is killed.
	Stop   time.Duration
	Stdout io.Writer
	Stderr io.Writer
	// Hangup has the signals that are passed on to the process; nil: none.
	Hangup <-chan os.Signal
	Log    *slog.Logger
}

// ErrGaveUp is returned when no version keeps running.
var ErrGaveUp = errors.New("gave up")

// Run starts the folder's current version and restarts it as the rules say. It blocks until ctx ends or the process ends by itself, and
// then returns nil; it returns an error that wraps ErrGaveUp after too many crashes. Only one supervisor runs on a folder.
func Run(ctx context.Context, opt Options) error {
	opt.Rules.Fill()
	lock, err := opt.Folder.lock()
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }()
	decider := Decider{Rules: opt.Rules}
	for {
		version, err := opt.Folder.Current()
		if err != nil {
			return fmt.Errorf("%s: %w", opt.Folder.at(currentLink), err)
		}
		startedAt := time.Now()
		exitCode, err := opt.runProcess(ctx, version)
		if err != nil {
			opt.Log.Error("start failed", "version", version, "error", err)
		}
		action := decider.ProcessEnded(time.Since(startedAt), exitCode, ctx.Err() != nil, opt.Folder.OnTrial())
		if action.End {
			return nil
		}
		if err := opt.prepareRestart(action, version); err != nil {
			return err
		}
		if action.Pause > 0 && !sleepAbout(ctx, action.Pause) {
			return nil
		}
	}
}

// prepareRestart logs what is done about a version's process that has ended, and rolls the version back where that is the action. An
// error means that nothing is started any more.
func (opt *Options) prepareRestart(action Action, version string) error {
	switch {
	case action.GiveUp:
		opt.Log.Error("gave up", "version", version, "reason", action.Reason)
		return fmt.Errorf("%w on version %s: %s", ErrGaveUp, version, action.Reason)
	case action.Rollback:
		if err := opt.Folder.Rollback(action.Reason); err != nil {
			return fmt.Errorf("%w on version %s, %s: %w", ErrGaveUp, version, action.Reason, err)
		}
		opt.Log.Error("rolled back", "from", version, "reason", action.Reason)
	case action.Reason != "":
		opt.Log.Warn("restarting after crash", "version", version, "pause", action.Pause, "reason", action.Reason)
	default:
		opt.Log.Info("restarting on request", "from", version)
	}
	return nil
}

// sleepAbout waits for half to one and a half of a pause, so that a fleet that crashed at once does not restart at once. It returns
// false when ctx ends first.
func sleepAbout(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// runProcess runs a version until it ends, and returns its exit code; -1: it was not started or was killed. When ctx ends the process
// gets SIGTERM, and after opt.Stop it is killed.
func (opt *Options) runProcess(ctx context.Context, version string) (exitCode int, err error) {
	cmd := exec.Command(opt.Folder.Program(version), opt.Args...)
	cmd.Env = append(os.Environ(), FolderVariable+"="+opt.Folder.Path, VersionVariable+"="+version)
	cmd.Stdout = opt.Stdout
	cmd.Stderr = opt.Stderr
	// The process ends when its standard input does, also where the supervisor is killed.
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return -1, err
	}
	if err := cmd.Start(); err != nil {
		return -1, err
	}
	opt.Log.Info("started", "version", version, "pid", cmd.Process.Pid)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	stop := ctx.Done()
	var kill <-chan time.Time
	for {
		select {
		case err := <-ended:
			stdin.Close()
			if err != nil && cmd.ProcessState == nil {
				return -1, err
			}
			return cmd.ProcessState.ExitCode(), nil
		case <-stop:
			stop = nil
			_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended
			timer := time.NewTimer(opt.Stop)
			defer timer.Stop()
			kill = timer.C
		case <-kill:
			_ = cmd.Process.Kill()
		case signal := <-opt.Hangup:
			_ = cmd.Process.Signal(signal)
		}
	}
}
