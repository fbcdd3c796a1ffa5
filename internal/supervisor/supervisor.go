// Package supervisor runs the version of robindrum that a symbolic link points to, and restarts it: immediately if the process requests a
// restart, and with exponential backoff if it crashed. A new version that keeps crashing is rolled back. After too many consecutive
// crashes the supervisor gives up.
//
// All its state is stored in one folder:
//
//	versions/LABEL   the executable of each version
//	current          a link to the current version
//	previous         a link to the version that ran before the current one
//	trial            the label of a version that has not been confirmed yet; absent if none is on trial
//	refused          the label of the version that was rolled back, and the reason; absent if none is rejected
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
	// Stop is how long the process may take to end after SIGTERM before it is killed.
	Stop   time.Duration
	Stdout io.Writer
	Stderr io.Writer
	// Signals delivers the signals that are forwarded to the process; nil: none.
	Signals <-chan os.Signal
	Log     *slog.Logger
}

// ErrGaveUp is returned after too many consecutive crashes, or when a rollback fails.
var ErrGaveUp = errors.New("gave up")

// Run starts the folder's current version and restarts it according to the rules. It blocks and returns nil once ctx ends or the process
// exits successfully. After too many crashes it returns an error that wraps ErrGaveUp. Only one supervisor can run on a folder.
func Run(ctx context.Context, opt Options) error {
	opt.Rules.SetDefaults()
	lock, err := opt.Folder.lock()
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }()
	decider := Decider{Rules: opt.Rules}
	for {
		version, err := opt.Folder.Current()
		if err != nil {
			return fmt.Errorf("%s: %w", opt.Folder.pathOf(currentLink), err)
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
		if action.Pause > 0 && !sleepWithJitter(ctx, action.Pause) {
			return nil
		}
	}
}

// prepareRestart logs the action after a process of a version has ended, and rolls the version back if the action requires it. An error
// means that no version is to be started.
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

// sleepWithJitter waits for 0.5 to 1.5 times the pause, so that processes of a fleet that crashed at the same time do not restart at the
// same time. It returns false if ctx ends first.
func sleepWithJitter(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// runProcess runs a version until its process ends and returns the exit code, or -1 if the process was not started or was ended by a
// signal. When ctx ends, the process gets SIGTERM, and is killed if it still runs after opt.Stop.
func (opt *Options) runProcess(ctx context.Context, version string) (exitCode int, err error) {
	cmd := exec.Command(opt.Folder.Program(version), opt.Args...)
	cmd.Env = append(os.Environ(), FolderVariable+"="+opt.Folder.Path, VersionVariable+"="+version)
	cmd.Stdout = opt.Stdout
	cmd.Stderr = opt.Stderr
	// The process exits when its standard input is closed, which also happens when the supervisor is killed.
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
			_ = cmd.Process.Signal(syscall.SIGTERM) // the process may have ended
			timer := time.NewTimer(opt.Stop)
			defer timer.Stop()
			kill = timer.C
		case <-kill:
			_ = cmd.Process.Kill()
		case signal := <-opt.Signals:
			_ = cmd.Process.Signal(signal)
		}
	}
}
