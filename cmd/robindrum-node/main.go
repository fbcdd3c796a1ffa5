// Robindrum-node is the platform's proxy node. Its configuration is the JSON file at the path in the environment variable
// PROXY_CONFIG. On SIGHUP it reads the file again and switches to the discovery address in it; on SIGTERM it finishes the requests in
// flight and exits.
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
	defaultSockets     = 1024                   // file descriptors, used when limits.sockets is 0
	defaultMemoryBytes = 192 << 20              // used when limits.memory_mb is 0
	reservedSockets    = 32                     // file descriptors for the runtime, discovery and the standard streams
	killDelay          = 700 * time.Millisecond // minimum time between the longest deadline and the platform's SIGKILL
	killMargin         = 200 * time.Millisecond // time to exit before SIGKILL
	reuseDelay         = 10 * time.Millisecond  // the platform's endpoints may send a second response some milliseconds after the first
	maxResponseBytes   = 64 << 10               // the longest body of the platform's protocol
	statusInterval     = 10 * time.Second       // between two status messages in the log
)

// loadConfig reads and validates the file at the path in PROXY_CONFIG. Environment variables supply the name and the addresses that
// the file lacks.
func loadConfig() (c config, err error) {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return c, errors.New("PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("read configuration: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("parse configuration %s: %w", path, err)
	}
	for name, field := range map[string]*string{"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery} {
		if *field == "" {
			*field = os.Getenv(name)
		}
	}
	return c, c.validate()
}

// validate returns an error that names the first missing or invalid field.
func (c *config) validate() error {
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if addr == "" {
			return fmt.Errorf("configuration: %s is missing", name)
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("configuration: %s: %w", name, err)
		}
	}
	switch {
	case c.Limits.Cores < 0:
		return fmt.Errorf("configuration: limits.cores must not be negative, got %v", c.Limits.Cores)
	case c.Limits.MemoryMB < 0:
		return fmt.Errorf("configuration: limits.memory_mb must not be negative, got %d", c.Limits.MemoryMB)
	case c.Limits.Sockets < 0 || c.Limits.Sockets > 0 && c.Limits.Sockets <= 2*reservedSockets:
		return fmt.Errorf("configuration: limits.sockets must be at least %d, or 0 for the default, got %d", 2*reservedSockets+1, c.Limits.Sockets)
	case c.Settings == nil:
		return errors.New("configuration: settings is missing")
	}
	return nil
}

// reload reads the configuration file again and moves discovery to the address in it. Other changes take effect at
// the next start. reload returns an error and changes nothing if the file is invalid or belongs to another node.
func reload(running *config, n *proxy.Node) error {
	c, err := loadConfig()
	if err != nil {
		return err
	}
	if _, err := c.Settings.Settings(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := running.checkReload(&c); err != nil {
		return err
	}
	n.MoveDiscovery(c.Discovery)
	slog.Info("configuration reloaded", "discovery", c.Discovery)
	return nil
}

// checkReload returns an error if newer belongs to another node or deployment, naming the field that shows it.
func (c *config) checkReload(newer *config) error {
	switch {
	case newer.Name != c.Name:
		return fmt.Errorf("configuration of another node: name is %q, want %q", newer.Name, c.Name)
	case newer.Listen != c.Listen:
		return fmt.Errorf("configuration of another node: listen is %q, want %q", newer.Listen, c.Listen)
	}
	for _, class := range newer.Settings.Profiles {
		for _, current := range c.Settings.Profiles {
			if class.Name == current.Name {
				return nil
			}
		}
	}
	return errors.New("configuration of another deployment: settings.profiles has none of this node's classes")
}

// limitRuntime configures the Go runtime for the configured limits on cores and memory.
func limitRuntime(c *config) {
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(c.Limits.Cores)), 1))
	}
	if mb := c.Limits.MemoryMB; mb > 0 {
		// 60% of the limit leaves a wide margin, since the kernel's socket buffers may count towards the limit.
		debug.SetMemoryLimit(mb << 20 * 6 / 10)
		debug.SetGCPercent(400)
	}
}

// nodeSeed returns the configured seed, or one derived from the current time if none is configured or it is not hexadecimal.
func nodeSeed(c *config) uint64 {
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return uint64(time.Now().UnixNano())
	}
	return seed
}

// newNode returns a node with the limits of c and the given settings.
func newNode(c *config, settings balancer.Settings) (*proxy.Node, error) {
	sockets := c.Limits.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	memory := c.Limits.MemoryMB << 20
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	budget := backend.NewBudget(sockets - reservedSockets)
	pool := backend.NewPool(backend.Options{
		ConnectTimeout:   settings.ConnectTimeout,
		IdleTimeout:      settings.ConnIdle,
		ReuseDelay:       reuseDelay,
		MaxResponseBytes: maxResponseBytes,
	}, budget)
	options := proxy.Options{
		Settings:        settings,
		Seed:            nodeSeed(c),
		MaxOpen:         c.Settings.Caps.MaxOpen,
		BodyBytes:       memory * 3 / 10,
		Budget:          budget,
		HealthCheckPath: "/health/live",
		LoadReports:     settings.Report != balancer.ReportNone,
		LogRequests:     true,
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

// shutdownTimeout returns how long the node waits for requests in flight after SIGTERM. The platform sends SIGKILL at the earliest
// after the longest request deadline plus killDelay.
func shutdownTimeout(settings *balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest + killDelay - killMargin
}

func run() error {
	// Signals are registered first, since either signal terminates a process that does not handle it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := loadConfig()
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
		slog.Warn("cached endpoint list rejected", "error", err)
	}
	go n.Serve(listener)
	go func() { // runs until the process exits, since requests in flight still need the endpoint list during shutdown
		for range hangups {
			if err := reload(&c, n); err != nil {
				slog.Error("configuration reload failed, keeping the current configuration", "error", err)
			}
		}
	}()
	logStatus(ctx, n)
	slog.Info("shutdown begins", "timeout", shutdownTimeout(&settings))
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout(&settings))
	defer cancel()
	n.Stop(ctx, listener)
	n.LogStatus()
	return nil
}

// logStatus logs the node's status every statusInterval until ctx ends.
func logStatus(ctx context.Context, n *proxy.Node) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.LogStatus()
		}
	}
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "robindrum-node:", err)
		os.Exit(1)
	}
}
