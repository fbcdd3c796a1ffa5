// Package proc runs the built program as child processes for experiments and test clusters. They end with their parent, can be
// stopped, killed and frozen, and what they log can be followed.
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
	// maxLastLines is how many lines of a log are retained.
	maxLastLines = 16
	// maxLineSize bounds a line in bytes; what follows a longer one is dropped.
	maxLineSize = 1 << 20
)

// Process is a child process. Its methods may be called by several goroutines at once.
type Process struct {
	Name string
	// Exited is closed when the process has ended and all it logged was read.
	Exited chan struct{}

	cmd   *exec.Cmd
	stdin io.Closer

	mu     sync.Mutex
	err    error    // of the process's end
	last   []string // lines
	killed bool
}

// Start starts a program. The arguments must have it end with its standard input, as --with-parent does, so that it ends when this
// process is killed. onLine, which may be nil, is called with each line of its standard error, by one goroutine.
func Start(name, binary string, onLine func(line string), arguments ...string) (*Process, error) {
	p := &Process{Name: name, Exited: make(chan struct{}), cmd: exec.Command(binary, arguments...)}
	// In a process group of its own, an interrupt from the terminal does not reach it.
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

// follow reads the log until the process ends.
func (p *Process) follow(logs io.Reader, onLine func(string)) {
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		p.retain(lines.Text())
		if onLine != nil {
			onLine(lines.Text())
		}
	}
	_, _ = io.Copy(io.Discard, logs) // so that a line that is too long does not block the process
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.Exited)
}

func (p *Process) retain(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = append(p.last, line)
	if len(p.last) > maxLastLines {
		p.last = p.last[1:]
	}
}

// PID returns the process's id.
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
	return slices.Clone(p.last)
}

// ExitError returns an error that describes how the process ended by itself, with its last lines. It must have ended.
func (p *Process) ExitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Errorf("%s ended by itself: %w; its last output:\n%s", p.Name, p.err, strings.Join(p.last, "\n"))
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
		_ = syscall.Kill(-p.PID(), signal) // it may have ended meanwhile
	}
}

// Freeze stops the process with SIGSTOP until Thaw.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.Signal(syscall.SIGKILL)
	<-p.Exited
	_ = p.stdin.Close()
}

// Stop ends the process with SIGTERM, or with SIGKILL after timeout, and waits for its end.
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
