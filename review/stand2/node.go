package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

type object = map[string]any

// profile is a class of the settings.
type profile struct {
	name     string
	effect   string
	group    string
	aim      time.Duration
	deadline time.Duration
	window   time.Duration
}

// The classes of the site.
var (
	seatMap  = profile{"seat-map", "free", "all", time.Second, 2 * time.Second, 5 * time.Second}
	seatHold = profile{"seat-hold", "guarded", "cell", 150 * time.Millisecond, 750 * time.Millisecond, 4 * time.Second}
)

// nodeConfig is what a node's configuration file says.
type nodeConfig struct {
	index, nodes   int
	discovery      string
	known          list
	profiles       []profile
	connectTimeout time.Duration
}

// text returns the configuration file: the example of the settings in the platform's pages, with the figures of the case.
func (c *nodeConfig) text(listen string) []byte {
	profiles := []object{}
	for _, p := range c.profiles {
		profiles = append(profiles, object{"deadline": p.deadline, "effect": p.effect, "gain": 1, "group": p.group, "late-value": 0.3,
			"name": p.name, "slo": p.aim, "stream": false, "window": p.window})
	}
	text, _ := json.MarshalIndent(object{
		"name": fmt.Sprintf("n%d", c.index), "listen": listen, "discovery": c.discovery, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": c.known,
		"settings": object{
			"az": "sapporo", "azs": []string{"sapporo", "ishikari"},
			"caps": object{"attempts-cap": 5, "conn-idle": 10 * time.Second, "connect-timeout": c.connectTimeout, "cpu-us-per-request": 0,
				"cpu-us-per-s": 191857, "max-open": 479643, "max-retry-after": time.Second, "may-cancel": true, "may-tell": false,
				"multiplex": 1, "parallel-tries": true, "probes": true, "retry-after": true},
			"clients": object{"marks-retry": false},
			"contract": object{"cold": 8500 * time.Millisecond, "cold-share": 0.31, "drain-grace": time.Second, "fall-multiple": 3.0,
				"grace-to-answer": 8 * time.Millisecond, "must-ask-in": 10 * time.Second, "overload-for": 2 * time.Second},
			"costs":     object{"cross-zone": 0.02, "late-fail": 0.08, "probe": 0.01, "waste": 0.05},
			"discovery": "on_request", "family": "proxy", "family-info": object{"warm-keys": false}, "kinds": []string{"std-2c"},
			"me": c.index, "over-share-worth": 0.1, "profiles": profiles, "replicas-of-me": c.nodes,
			"reporting": object{"fields": []string{}, "how": "off"}, "stage": 0, "step": 2 * time.Millisecond, "tenants": []string{},
			"tiers": []string{"ticket-web"}, "weight-source": "rough", "worth-by": "request",
			"scoring-mix": object{"whole": 0.55, "worst-class": 0.1, "worst-tenant": 0, "worst-window": 0.35},
		},
	}, "", " ")
	return text
}

// node is a node's process.
type node struct {
	run     *run
	config  nodeConfig
	listen  string
	folder  string
	command *exec.Cmd
	exited  chan struct{}
}

// newNode returns a node at a free port of a loopback address of its own, which is the same at each start. Connections and stand-ins use
// 127.0.0.1 and can't take the port while the process is away.
func (r *run) newNode(config nodeConfig) *node {
	if config.connectTimeout == 0 {
		config.connectTimeout = 75 * time.Millisecond
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", os.Getpid()%250, config.index+1))
	if err != nil {
		r.fail(err)
	}
	listener.Close()
	n := &node{run: r, config: config, listen: listener.Addr().String(), folder: filepath.Join(r.temp, fmt.Sprintf("n%d", config.index))}
	if err := os.MkdirAll(n.folder, 0o700); err != nil {
		r.fail(err)
	}
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	return n
}

func (n *node) name() string { return fmt.Sprintf("n%d", n.config.index) }

// configure replaces the configuration file.
func (n *node) configure() {
	path := filepath.Join(n.folder, "config.json")
	err := os.WriteFile(path+".new", n.config.text(n.listen), 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		n.run.fail(err)
	}
}

// startCommand returns the run command of the deploy file.
func (r *run) startCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		r.fail(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	r.fail(fmt.Errorf("the deploy file has no run"))
	return ""
}

// begin starts the process and waits until it is ready.
func (n *node) begin() {
	n.configure()
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.run.fail(err)
	}
	command := exec.Command("/bin/sh", "-c", n.run.startCommand())
	command.Env = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(n.folder, "config.json"), "PROXY_NAME="+n.name(), "PROXY_LISTEN="+n.listen,
		"PROXY_DISCOVERY="+n.config.discovery, "TMPDIR="+n.folder)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		n.run.fail(err)
	}
	_ = log.Close()
	exited := make(chan struct{})
	n.run.mu.Lock()
	n.command, n.exited = command, exited
	n.run.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		response, err := http.Get("http://" + n.listen + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			n.run.printf("%s: ready, process %d", n.name(), command.Process.Pid)
			return
		}
	}
	n.run.fail(fmt.Errorf("%s was not ready within 30 s", n.name()))
}

func (n *node) signal(signal syscall.Signal) {
	n.run.printf("%s: %v", n.name(), signal)
	_ = n.command.Process.Signal(signal)
}

// kill ends the process and copies the end of its log into the folder of the run if LOGS names one.
func (n *node) kill() {
	n.run.mu.Lock()
	command, exited := n.command, n.exited
	n.run.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
	if folder := os.Getenv("LOGS"); folder != "" {
		if text, err := os.ReadFile(filepath.Join(n.folder, "log")); err == nil {
			_ = os.WriteFile(filepath.Join(folder, n.name()+".log"), text, 0o600)
		}
	}
}
