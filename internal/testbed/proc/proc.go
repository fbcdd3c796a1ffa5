// Package proc runs the real program as child processes, for experiments and rigs: they end with their parent, can be
// stopped, killed and frozen, and what they log is followed.
package proc

import (
	"bufio"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lastLines of a log are kept for the error of a process that ended by itself.
const lastLines = 16

// Process is one child. Its methods may be called by several goroutines at once.
type Process struct {
	Name   string
	Exited chan struct{} // closed when it has ended

	cmd   *exec.Cmd
	stdin io.Closer

	mu     sync.Mutex
	err    error // how it ended
	last   []string
	killed bool // on purpose
}

// Start runs a program. args must have it end with its standard input, as --with-parent does. line, which may be nil, gets
// each line of its standard error, by one goroutine.
func Start(name, binary string, line func(text string), args ...string) (*Process, error) {
	p := &Process{Name: name, Exited: make(chan struct{}), cmd: exec.Command(binary, args...)}
	// A group of its own, so that an interrupt on the terminal is for the parent to pass on.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	logs, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	// It ends when this end of its standard input is closed, also where this process is killed.
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go p.follow(logs, line)
	return p, nil
}

func (p *Process) follow(logs io.Reader, line func(string)) {
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		if p.last = append(p.last, lines.Text()); len(p.last) > lastLines {
			p.last = p.last[1:]
		}
		p.mu.Unlock()
		if line != nil {
			line(lines.Text())
		}
	}
	_, _ = io.Copy(io.Discard, logs) // a line too long must not hold it up
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.Exited)
}

// PID is its process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running tells whether it has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.Exited:
		return false
	default:
		return true
	}
}

// Last are its last lines.
func (p *Process) Last() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.last...)
}

// ExitError says how it ended by itself.
func (p *Process) ExitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Errorf("%s ended by itself: %w; its last output:\n%s", p.Name, p.err, strings.Join(p.last, "\n"))
}

// Killed tells whether Kill was called.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Signal sends one to the process and to those that it has started, which are of its group; where it has ended it does nothing.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		_ = syscall.Kill(-p.PID(), s) // it may have ended
	}
}

// Freeze stops it in the middle of whatever it does, Thaw has it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw has it go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Kill ends it at once, with all that it has in hand.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.Signal(syscall.SIGKILL)
	<-p.Exited
	_ = p.stdin.Close()
}

// Stop ends it by SIGTERM, or, where that takes too long, at once.
func (p *Process) Stop(within time.Duration) {
	p.Thaw()
	p.Signal(syscall.SIGTERM)
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-p.Exited:
	case <-t.C:
		p.Signal(syscall.SIGKILL)
		<-p.Exited
	}
	_ = p.stdin.Close()
}
