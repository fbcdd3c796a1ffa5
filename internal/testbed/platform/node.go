package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// NodeConfig is what a node's configuration file says.
type NodeConfig struct {
	Index, Nodes int
	Discovery    string
	Known        List
	Sockets      int
	Seed         uint64
	LongDeadline time.Duration // the longest deadline of a request
}

// Text returns the configuration file of a node that listens at an address.
func (c *NodeConfig) Text(listen string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", c.Index), "listen": listen, "discovery": c.Discovery, "seed": fmt.Sprintf("%x", c.Seed), "known": c.Known,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": c.Sockets},
		"settings": map[string]any{
			"az": "a", "azs": []string{"a", "b"}, "discovery": "on_request", "me": c.Index, "replicas-of-me": c.Nodes,
			"caps": map[string]any{"attempts-cap": 3, "may-cancel": true, "parallel-tries": true, "connect-timeout": 75 * time.Millisecond,
				"conn-idle": 10 * time.Second},
			"contract": map[string]any{"must-ask-in": 10 * time.Second, "drain-grace": drainGrace},
			"profiles": []map[string]any{{"name": "get", "deadline": c.LongDeadline, "slo": c.LongDeadline / 2, "effect": "free", "gain": 1}},
		},
	})
}

// Node is a node's process. Its methods must not be called concurrently, except for Log.
type Node struct {
	Listen  string
	program string
	folder  string

	command *exec.Cmd
	exited  chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

// NewNode returns a node that keeps its files in folder. It listens at a free address, the same at every start.
func NewNode(program, folder string) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listener.Close()
	return &Node{Listen: listener.Addr().String(), program: program, folder: folder}, nil
}

// Configure writes the configuration file.
func (n *Node) Configure(config *NodeConfig) error {
	text, err := config.Text(n.Listen)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.path()+".new", n.path())
}

func (n *Node) path() string { return filepath.Join(n.folder, "config.json") }

// Start starts the process.
func (n *Node) Start() error {
	n.command = exec.Command(n.program)
	n.command.Env = append(os.Environ(), "PROXY_CONFIG="+n.path())
	n.command.Stderr = lockedWriter{n}
	if err := n.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), n.command
	n.exited = exited
	go func() { // ends with the process
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) { _ = n.command.Process.Signal(signal) }

// Exited reports whether the process has ended.
func (n *Node) Exited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.exited
}

// ExitCode returns the exit code of the process, -1 if a signal ended it.
func (n *Node) ExitCode() int { return n.command.ProcessState.ExitCode() }

// AwaitReady waits until the node answers 200 to GET /health/ready.
func (n *Node) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + n.Listen + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the node at %s was not ready within %v", n.Listen, limit)
}

// Log returns what the process wrote to its standard error, over all starts.
func (n *Node) Log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.String()
}

// lockedWriter writes to a node's log.
type lockedWriter struct{ node *Node }

func (w lockedWriter) Write(p []byte) (int, error) {
	w.node.mu.Lock()
	defer w.node.mu.Unlock()
	return w.node.log.Write(p)
}
