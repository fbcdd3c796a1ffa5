// Package proc runs the robindrum program as child processes of experiments and test clusters. A child process ends with its parent,
// can be stopped, killed and frozen, and its log can be followed.
package proc

import (
	"bufio"
	"fmt"
	"io"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxLastLines is the number of log lines that are retained.
	maxLastLines = 16
	// maxLineSize is the maximum length of a log line in bytes. Everything from the first longer line on is discarded.
	maxLineSize = 1 << 20
)

// Process is a child process. Its methods are safe for concurrent use.
type Process struct {
	Name string
	// Exited is closed when the process has ended and its whole log has been read.
	Exited chan struct{}

	cmd   *exec.Cmd
	stdin io.Closer

	mu        sync.Mutex
	err       error    // returned by cmd.Wait
	lastLines []string // at most maxLastLines
	killed    bool
}

// Start starts a program. The arguments must make it exit when its standard input is closed, as --with-parent does, so that it ends
// when this process is killed. onLine, which may be nil, is called from one goroutine with each line of the program's standard error.
func Start(name, binary string, onLine func(line string), arguments ...string) (*Process, error) {
	p := &Process{Name: name, Exited: make(chan struct{}), cmd: exec.Command(binary, arguments...)}
	// The child gets its own process group, so that an interrupt from the terminal does not reach it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	logs, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go p.follow(logs, onLine)
	return p, nil
}

// follow reads the log until the process ends, and records how it ended.
func (p *Process) follow(logs io.Reader, onLine func(string)) {
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		p.retain(lines.Text())
		if onLine != nil {
			onLine(lines.Text())
		}
	}
	_, _ = io.Copy(io.Discard, logs) // after a line that is too long, so that the process does not block on a full pipe
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.Exited)
}

func (p *Process) retain(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastLines = append(p.lastLines, line)
	if len(p.lastLines) > maxLastLines {
		p.lastLines = p.lastLines[1:]
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.Exited:
		return false
	default:
		return true
	}
}

// LastLines returns the last 16 lines of the log.
func (p *Process) LastLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lastLines)
}

// ExitError describes how the process ended without being killed, with the last lines of its log. The process must have ended.
func (p *Process) ExitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Errorf("%s ended by itself: %w; last output:\n%s", p.Name, p.err, strings.Join(p.lastLines, "\n"))
}

// Killed reports whether Kill was called.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Signal sends a signal to the process and its children. It does nothing if the process has ended.
func (p *Process) Signal(signal syscall.Signal) {
	if p.Running() {
		_ = syscall.Kill(-p.PID(), signal) // the process may have ended in the meantime
	}
}

// Freeze stops the process with SIGSTOP until Thaw.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.Signal(syscall.SIGKILL)
	<-p.Exited
	_ = p.stdin.Close()
}

// Stop thaws the process, sends it SIGTERM, and SIGKILL if it still runs after timeout, and waits until it has ended.
func (p *Process) Stop(timeout time.Duration) {
	p.Thaw()
	p.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.Exited:
	case <-timer.C:
		p.Signal(syscall.SIGKILL)
		<-p.Exited
	}
	_ = p.stdin.Close()
}
