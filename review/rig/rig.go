// Package rig has the stand-ins of the review's cases: backends, discovery and clients that follow the platform's pages, and the
// node as a process of its own, started by the deploy file's command.
package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the record of a run. Its methods may be called concurrently.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line that begins with the time since the record began.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }

// Since returns the time of the record that t stands for, in seconds.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Class is a class of requests in a node's settings.
type Class struct {
	Name     string
	Effect   string // free, guarded or single_shot
	Group    string // all, zone or cell
	Deadline time.Duration
	SLO      time.Duration
	Window   time.Duration
}

// Config is what a node's configuration file says.
type Config struct {
	Name      string
	Listen    string // a free address unless it is set
	Discovery string
	Me, Nodes int
	Known     []Target
	Classes   []Class
	Parallel  bool
	Sockets   int
	MemoryMB  int
	NoCancel  bool // attempts may not be called off
	Pushed    bool // lists are pushed
}

// Target is an entry of the list of backends.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// list is the list of backends in discovery's form.
type list struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// text returns the configuration file. Its settings are those of the example on the platform's pages.
func (c *Config) text(listen string) ([]byte, error) {
	var profiles []map[string]any
	for _, class := range c.Classes {
		profiles = append(profiles, map[string]any{"name": class.Name, "effect": class.Effect, "group": class.Group, "deadline": class.Deadline,
			"slo": class.SLO, "window": class.Window, "gain": 1, "late-value": 0.3, "stream": false})
	}
	discovery := "on_request"
	if c.Pushed {
		discovery = "pushed"
	}
	return json.MarshalIndent(map[string]any{
		"name": c.Name, "listen": listen, "discovery": c.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": cmp.Or(c.MemoryMB, 192), "sockets": cmp.Or(c.Sockets, 1024)},
		"known":  list{Rev: 1, All: true, Targets: c.Known},
		"settings": map[string]any{
			"az": "sapporo", "azs": []string{"sapporo", "ishikari"},
			"caps": map[string]any{"attempts-cap": 5, "conn-idle": 10 * time.Second, "connect-timeout": 75 * time.Millisecond, "cpu-us-per-request": 0,
				"cpu-us-per-s": 191857, "max-open": 479643, "max-retry-after": time.Second, "may-cancel": !c.NoCancel, "may-tell": false, "multiplex": 1,
				"parallel-tries": c.Parallel, "probes": true, "retry-after": true},
			"clients": map[string]any{"marks-retry": false},
			"contract": map[string]any{"cold": 8500 * time.Millisecond, "cold-share": 0.31, "drain-grace": time.Second, "fall-multiple": 3,
				"grace-to-answer": 8 * time.Millisecond, "must-ask-in": 10 * time.Second, "overload-for": 2 * time.Second},
			"costs":     map[string]any{"cross-zone": 0.02, "late-fail": 0.08, "probe": 0.01, "waste": 0.05},
			"discovery": discovery, "family": "proxy", "family-info": map[string]any{"warm-keys": false},
			"kinds": []string{"std-2c"}, "me": c.Me, "over-share-worth": 0.1, "profiles": profiles, "replicas-of-me": c.Nodes,
			"reporting":   map[string]any{"fields": []string{}, "how": "off"},
			"scoring-mix": map[string]any{"whole": 0.55, "worst-class": 0.1, "worst-tenant": 0, "worst-window": 0.35},
			"stage":       0, "step": 2 * time.Millisecond, "tenants": []string{}, "tiers": []string{"ticket-web"}, "weight-source": "rough", "worth-by": "request",
		}}, "", " ")
}

// Node is a running node.
type Node struct {
	Listen string
	cmd    *exec.Cmd
	path   string
	exited chan struct{}
	ended  bool // by the run
	err    error
}

// StartNode starts a node by the deploy file's run command, from the project's root, with its files in folder.
func StartNode(root, folder string, c *Config) (*Node, error) {
	listen := c.Listen
	if listen == "" {
		var err error
		if listen, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	n := &Node{Listen: listen, path: filepath.Join(folder, c.Name+".json"), exited: make(chan struct{})}
	if err := n.Configure(c); err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := ""
	for line := range strings.Lines(string(deploy)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			run, _, _ = strings.Cut(rest, `"`)
		}
	}
	if run == "" {
		return nil, fmt.Errorf("deploy/balancer.toml names no run")
	}
	log, err := os.Create(filepath.Join(folder, c.Name+".log"))
	if err != nil {
		return nil, err
	}
	n.cmd = exec.Command("/bin/sh", "-c", run)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = root, log, log
	n.cmd.Env = append(os.Environ(), "PROXY_NAME="+c.Name, "PROXY_LISTEN="+listen, "PROXY_DISCOVERY="+c.Discovery, "PROXY_CONFIG="+n.path, "TMPDIR="+folder)
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		n.err = n.cmd.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	return n, nil
}

// Configure replaces the node's configuration file.
func (n *Node) Configure(c *Config) error {
	text, err := c.text(n.Listen)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.path+".new", n.path)
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// Exited is closed when the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// Kill ends the process and waits for it.
func (n *Node) Kill() {
	n.ended = true
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// AwaitReady waits until the node answers 200 to GET /health/ready.
func (n *Node) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", n.Listen, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		_, _ = fmt.Fprintf(c, "GET /health/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
		head := make([]byte, 12)
		k, _ := c.Read(head)
		c.Close()
		if string(head[:k]) == "HTTP/1.1 200" {
			return nil
		}
	}
	return fmt.Errorf("the node is not ready within %v", limit)
}

// FreeAddress returns a loopback address at which nothing listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// PID returns the node's process id.
func (n *Node) PID() int { return n.cmd.Process.Pid }
