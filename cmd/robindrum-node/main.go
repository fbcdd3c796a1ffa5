// Robindrum-node is the platform's proxy node. The JSON file that the environment variable PROXY_CONFIG names configures it. On
// SIGHUP it reads the file again and follows another discovery address; on SIGTERM it answers its open requests and ends.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/discovery"
	"robindrum/internal/proxy"
	"robindrum/internal/simprotocol"
)

// config is the configuration file, with the platform's field names.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage   `json:"known"`
	Settings *simprotocol.Info `json:"settings"`
}

const (
	defaultSockets = 1024      // descriptors
	defaultMemory  = 192 << 20 // bytes
	spareSockets   = 32        // descriptors for the runtime, discovery and the standard streams
	killDelay      = 700 * time.Millisecond
	killMargin     = 200 * time.Millisecond
	reuseDelay     = 10 * time.Millisecond // the platform's endpoints may send a second response some milliseconds after the first
)

// load reads and checks the file that PROXY_CONFIG names.
func load() (c config, err error) {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return c, errors.New("PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("reading the configuration: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("reading the configuration %s: %w", path, err)
	}
	for name, to := range map[string]*string{"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery} {
		if *to == "" {
			*to = os.Getenv(name)
		}
	}
	return c, c.check()
}

// check returns an error that names the first field that cannot be used.
func (c *config) check() error {
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if addr == "" {
			return fmt.Errorf("the configuration's %s is missing", name)
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("the configuration's %s: %w", name, err)
		}
	}
	switch {
	case c.Limits.Cores < 0:
		return fmt.Errorf("the configuration's limits.cores: %v is negative", c.Limits.Cores)
	case c.Limits.MemoryMB < 0:
		return fmt.Errorf("the configuration's limits.memory_mb: %d is negative", c.Limits.MemoryMB)
	case c.Limits.Sockets < 0 || c.Limits.Sockets > 0 && c.Limits.Sockets <= 2*spareSockets:
		return fmt.Errorf("the configuration's limits.sockets: %d leaves none for clients and backends", c.Limits.Sockets)
	case c.Settings == nil:
		return errors.New("the configuration's settings is missing")
	}
	return nil
}

// reload reads the file again and moves the discovery client to the address that it names. Other changes wait for the next
// start. A file that cannot be used, or that is of another node, changes nothing.
func reload(running *config, client *discovery.Client) error {
	c, err := load()
	if err != nil {
		return err
	}
	if _, err := c.Settings.Settings(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := running.checkReload(&c); err != nil {
		return err
	}
	client.Move(c.Discovery)
	slog.Info("the configuration was read anew", "discovery", c.Discovery)
	return nil
}

// checkReload returns an error that names the field by which newer is of another node or deployment.
func (c *config) checkReload(newer *config) error {
	switch {
	case newer.Name != c.Name:
		return fmt.Errorf("the configuration's name: %q, and this node is %q", newer.Name, c.Name)
	case newer.Listen != c.Listen:
		return fmt.Errorf("the configuration's listen: %q, and this node listens on %q", newer.Listen, c.Listen)
	}
	for _, class := range newer.Settings.Profiles {
		for _, own := range c.Settings.Profiles {
			if class.Name == own.Name {
				return nil
			}
		}
	}
	return errors.New("the configuration's settings.profiles: none of this node's classes is in it")
}

// limitRuntime fits the Go runtime into the configured limits.
func limitRuntime(c *config) {
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(c.Limits.Cores)), 1))
	}
	if mb := c.Limits.MemoryMB; mb > 0 {
		// A wide margin under the limit: the kernel's side of the sockets may count as well.
		debug.SetMemoryLimit(mb << 20 * 6 / 10)
		debug.SetGCPercent(400)
	}
}

// nodeSeed returns the configured seed, or one drawn from the time if there is none.
func nodeSeed(c *config) uint64 {
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return uint64(time.Now().UnixNano())
	}
	return seed
}

// newNode returns a node for the configuration.
func newNode(c *config, settings balancer.Settings) (*proxy.Node, error) {
	sockets := c.Limits.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	memory := c.Limits.MemoryMB << 20
	if memory <= 0 {
		memory = defaultMemory
	}
	budget := backend.NewBudget(sockets - spareSockets)
	pool := backend.NewPool(backend.Options{
		ConnectTimeout: settings.ConnectTimeout,
		IdleTimeout:    settings.ConnIdle,
		ReuseDelay:     reuseDelay,
	}, budget)
	options := proxy.Options{
		Settings:        settings,
		Seed:            nodeSeed(c),
		MaxOpen:         c.Settings.Caps.MaxOpen,
		BodyBytes:       memory * 3 / 10,
		Budget:          budget,
		HealthCheckPath: "/health/live",
		LoadReports:     settings.Report != balancer.ReportNone,
	}
	if settings.Report == balancer.ReportHealthChecks {
		options.HealthCheckPath = "/stats"
	}
	n, err := proxy.New(options, pool)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return n, nil
}

// shutdownTimeout returns how long open requests are waited for after SIGTERM. The platform sends SIGKILL no sooner than the longest
// deadline and killDelay later.
func shutdownTimeout(settings *balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest + killDelay - killMargin
}

func run() error {
	// Before anything else, since either signal would end a process that does not catch it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := load()
	if err != nil {
		return err
	}
	limitRuntime(&c)
	settings, err := c.Settings.Settings()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	n, err := newNode(&c, settings)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	client := discovery.New(c.Discovery, !settings.Polled, n.UpdateEndpoints)
	if err := n.Start(client, c.Known); err != nil {
		slog.Warn("the known list is of no use", "error", err)
	}
	go n.Serve(listener)
	go func() { // until the process ends, since attempts of open requests still need the endpoint list
		for range hangups {
			if err := reload(&c, client); err != nil {
				slog.Error("the new configuration is of no use, the old one goes on", "error", err)
			}
		}
	}()
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout(&settings))
	defer cancel()
	n.Stop(ctx, listener)
	return nil
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "robindrum-node:", err)
		os.Exit(1)
	}
}
