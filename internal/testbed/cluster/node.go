package cluster

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"robindrum/internal/testbed/proc"
)

const (
	// startTimeout is the maximum time from the start of a process until it listens on its admin address.
	startTimeout = 20 * time.Second
	// stopTimeout is the maximum time that a process may take to end after SIGTERM; after that it is killed.
	stopTimeout = 20 * time.Second
	// listeningMessage is logged by a process when it listens on its admin address.
	listeningMessage = `"listening for operators"`

	configurationFile = "robindrum.yaml"
	votesDir          = "votes"
	versionsDir       = "versions"
	currentLink       = "current"
)

// Node is a member of the fleet. Its directory and addresses stay the same when its process is restarted. Its methods are
// safe for concurrent use, except those that start or stop the process.
type Node struct {
	Number  int
	Name    string
	Address string // of the fleet's protocols
	Admin   string // address of the admin listener
	Web     string // address of the listener for clients' requests
	Dir     string
	Witness bool

	cluster *Cluster

	mu        sync.Mutex
	process   *proc.Process
	starts    int
	epoch     int
	frozen    bool
	listening bool   // on the admin address
	binary    string // overrides the options' program if not empty
}

// SetBinary sets the program that the node runs from its next start on.
func (n *Node) SetBinary(binary string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.binary = binary
}

// Start writes the configuration, starts the process in the node's existing directory, and waits until it listens on its admin
// address. It returns an error if the process ends before that or takes longer than 20 s.
func (n *Node) Start() error {
	path := filepath.Join(n.Dir, configurationFile)
	if err := os.WriteFile(path, []byte(n.configuration()), 0o600); err != nil {
		return err
	}
	arguments, err := n.arguments(path)
	if err != nil {
		return err
	}
	listening := make(chan struct{})
	var once sync.Once
	process, err := proc.Start(n.Name, n.currentBinary(), func(line string) {
		if strings.Contains(line, listeningMessage) {
			once.Do(func() { close(listening) })
		}
		if n.cluster.options.OnLogLine != nil {
			n.cluster.options.OnLogLine(n.Number, line)
		}
	}, arguments...)
	if err != nil {
		return err
	}
	n.setStarted(process)
	select {
	case <-listening:
		n.setListening()
		return nil
	case <-process.Exited:
		return process.ExitError()
	case <-time.After(startTimeout):
		process.Kill()
		return fmt.Errorf("%s: not listening on %s within %v", n.Name, n.Admin, startTimeout)
	}
}

// arguments returns the command-line arguments of the process. For a supervised node it also creates the versions directory.
func (n *Node) arguments(path string) ([]string, error) {
	command := "serve"
	if n.Witness {
		command = "witness"
	}
	arguments := []string{command, "--with-parent", "-c", path}
	if len(n.cluster.options.Versions) == 0 || n.Witness {
		return arguments, nil
	}
	if err := n.createVersionsDir(); err != nil {
		return nil, err
	}
	supervise := []string{"supervise", "--with-parent", "--folder", n.Dir, "--pause", "100ms", "--longest-pause", "1s", "--"}
	return append(supervise, arguments...), nil
}

func (n *Node) currentBinary() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	options := &n.cluster.options
	return cmp.Or(n.binary, options.Binaries[n.Number], options.Binary)
}

func (n *Node) setStarted(process *proc.Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process
	n.frozen = false
	n.listening = false
	n.starts++
	n.epoch++
}

func (n *Node) setListening() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listening = true
}

// createVersionsDir creates the directory of versions that the node's supervisor runs, unless it exists.
func (n *Node) createVersionsDir() error {
	err := os.Mkdir(filepath.Join(n.Dir, versionsDir), 0o700)
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for label, program := range n.cluster.options.Versions {
		if err := os.Link(program, filepath.Join(n.Dir, versionsDir, label)); err != nil {
			return err
		}
	}
	return n.linkVersion(n.cluster.options.Version)
}

func (n *Node) linkVersion(version string) error {
	return os.Symlink(filepath.Join(versionsDir, version), filepath.Join(n.Dir, currentLink))
}

// Process returns the process that was started last, or nil if none has been started.
func (n *Node) Process() *proc.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Starts returns how many times the node's process has been started.
func (n *Node) Starts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// Epoch returns a number that increases with each start, freeze and thaw, so that observations from before one can be discarded.
func (n *Node) Epoch() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch
}

// Up reports whether the process runs, listens on its admin address, and has been neither killed nor frozen.
func (n *Node) Up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.listening || n.frozen {
		return false
	}
	return n.process.Running() && !n.process.Killed()
}

// Kill kills the process and waits until it has ended. It does nothing if no process has been started.
func (n *Node) Kill() {
	if p := n.Process(); p != nil {
		p.Kill()
	}
}

// Freeze stops the process with SIGSTOP. The node must have been started.
func (n *Node) Freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = true
	n.epoch++
	n.process.Freeze()
}

// Thaw continues a frozen process with SIGCONT. The node must have been started.
func (n *Node) Thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = false
	n.epoch++
	n.process.Thaw()
}

// Restart kills the process and starts it again. If eraseVoter is set, it removes the voter's directory in between.
func (n *Node) Restart(eraseVoter bool) error {
	n.Kill()
	if eraseVoter {
		if err := os.RemoveAll(n.VoterDir()); err != nil {
			return err
		}
	}
	return n.Start()
}

// RestartAs restarts a supervised node with another version without a release: it stops the process, replaces the link to the
// current version and starts the process again, as a deployment script would do.
func (n *Node) RestartAs(version string) error {
	if p := n.Process(); p != nil {
		p.Stop(stopTimeout)
	}
	if err := os.Remove(filepath.Join(n.Dir, currentLink)); err != nil {
		return err
	}
	if err := n.linkVersion(version); err != nil {
		return err
	}
	return n.Start()
}

// VoterDir returns the directory in which the node's voter stores its state.
func (n *Node) VoterDir() string { return filepath.Join(n.Dir, votesDir) }
