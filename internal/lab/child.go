package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// child is a gateway: the real program as a process of its own.
type child struct {
	number int
	zone   string
	cmd    *exec.Cmd
	stdin  io.Closer
	web    string // its listeners' addresses
	admin  string
	exited chan struct{} // closed when it has ended
	killed atomic.Bool   // on purpose

	mu   sync.Mutex
	err  error    // how it ended
	last []string // lines of its log
}

// gatewayFile is what gateway i of an experiment is configured by.
func (e *Experiment) gatewayFile(i int, plane string) string {
	var b strings.Builder
	f, g := &e.Fleet, &e.Gateways
	zone := f.Zones[i%len(f.Zones)]
	fmt.Fprintf(&b, "zone: %q\ngateway: {number: %d, of: %d}\nlog: {format: json}\n", zone, i, g.Number)
	fmt.Fprintf(&b, "listeners: [{name: web, address: \"127.0.0.1:0\"}]\nadmin: {address: \"127.0.0.1:0\"}\nlimits: {descriptors: 16384, memory: 256MiB, requests: 65536, drain: 2s}\n")
	fmt.Fprintf(&b, "xds: {servers: [%q], node: {id: \"gateway-%d\"}, backoff_base: 100ms, backoff_most: 500ms}\nclasses:\n", plane, i)
	for _, c := range e.Classes {
		effect, _ := c.Effect.MarshalText()
		group, _ := c.Group.MarshalText()
		fmt.Fprintf(&b, "  - {name: %q, wanted: %v, deadline: %v, worth: %v, effect: %s", c.Name, c.Wanted.D(), c.Deadline.D(), c.Worth, effect)
		if c.Window > 0 {
			fmt.Fprintf(&b, ", group: %s, window: %v", group, c.Window.D())
		}
		b.WriteString("}\n")
	}
	switch g.Zones {
	case "tiers":
		fmt.Fprintf(&b, "zones: {tiers: [[%q], ['*']]}\n", zone)
	case "failover":
		fmt.Fprintf(&b, "zones: {tiers: [[%q], ['*']], first_room: 100000, tolerance: 100, own_tolerance: 100, first_share: 1, hold: 100ms, most_hold: 100ms, "+
			"probe: 100ms, step: 10ms, floor: 0}\n", zone)
	}
	fmt.Fprintf(&b, "clusters:\n  - {name: fleet, xds: {}, overload: {mode: %s, limit: %d}, warm_up: {time: %v, share: %v, most: %v}}\nroutes:\n",
		g.Admission, g.Limit, f.WarmUp.D(), f.Share, f.Fall)
	for i, c := range e.Classes {
		fmt.Fprintf(&b, "  - {name: %q, match: {path: /%d}, cluster: fleet, class: %q, key: {header: Idempotency-Key}, tenant: {header: X-Tenant}}\n", c.Name, i, c.Name)
	}
	return b.String()
}

// begin starts gateway i. Its files are in dir.
func (e *Experiment) begin(ctx context.Context, binary, dir string, i int, plane string) (*child, error) {
	path := filepath.Join(dir, fmt.Sprintf("gateway-%d.yaml", i))
	if err := os.WriteFile(path, []byte(e.gatewayFile(i, plane)), 0o600); err != nil {
		return nil, fmt.Errorf("gateway %d: %w", i, err)
	}
	c := &child{number: i, zone: e.Fleet.Zones[i%len(e.Fleet.Zones)], exited: make(chan struct{}), cmd: exec.Command(binary, "serve", "--with-parent", "-c", path)}
	// A group of its own, so that an interrupt on the terminal is for the laboratory to pass on.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	logs, err := c.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("gateway %d: %w", i, err)
	}
	// It ends when this end of its standard input is closed, also where this process is killed.
	if c.stdin, err = c.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("gateway %d: %w", i, err)
	}
	if err := c.cmd.Start(); err != nil {
		return nil, fmt.Errorf("gateway %d: %w", i, err)
	}
	addresses := make(chan struct{})
	go c.follow(logs, addresses)
	select {
	case <-addresses:
	case <-c.exited:
		return nil, c.died()
	case <-ctx.Done():
		c.stop()
		return nil, ctx.Err()
	}
	return c, c.await(ctx)
}

// follow reads the log until the process ends, and notes the addresses that it listens on.
func (c *child) follow(logs io.Reader, addresses chan<- struct{}) {
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var l struct {
			Msg, Address string
		}
		_ = json.Unmarshal(lines.Bytes(), &l) // other lines are for people
		c.mu.Lock()
		if c.last = append(c.last, lines.Text()); len(c.last) > 5 {
			c.last = c.last[1:]
		}
		c.mu.Unlock()
		switch l.Msg {
		case "listening":
			c.web = l.Address
		case "listening for operators":
			c.admin = l.Address
			close(addresses)
		}
	}
	_, _ = io.Copy(io.Discard, logs) // a line too long must not hold it up
	err := c.cmd.Wait()
	c.mu.Lock()
	c.err = err
	c.mu.Unlock()
	close(c.exited)
}

// died says how it ended by itself.
func (c *child) died() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Errorf("gateway %d ended by itself: %v; its last words:\n%s", c.number, c.err, strings.Join(c.last, "\n"))
}

// await waits until it is ready.
func (c *child) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.admin+"/health/ready", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-c.exited:
			return c.died()
		case <-ctx.Done():
			c.stop()
			return fmt.Errorf("gateway %d is not ready: %w", c.number, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// kill ends it at once, with all that it has in hand.
func (c *child) kill() {
	c.killed.Store(true)
	_ = c.cmd.Process.Kill() // it may have ended
	<-c.exited
	_ = c.stdin.Close()
}

// stop ends it: by its drain, or, where that takes too long, at once.
func (c *child) stop() {
	_ = c.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-c.exited:
	case <-time.After(5 * time.Second):
		_ = c.cmd.Process.Kill()
		<-c.exited
	}
	_ = c.stdin.Close()
}
