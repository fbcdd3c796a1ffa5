// Robindrum-node is one load-balancer node. It is told everything by the file that PROXY_CONFIG names.
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

// config is the file's contents.
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
	spareSockets = 32 // descriptors for the runtime, discovery and the standard streams
	killAfter    = 700 * time.Millisecond
	killMargin   = 200 * time.Millisecond
	answerRest   = 10 * time.Millisecond // the platform's backends may send a second answer some milliseconds behind the first
)

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

// check names the field that cannot be used, if any.
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

// reload reads the file anew and moves news to the address of discovery that it names. Nothing else of it is taken
// over before the next start. A file that cannot be used, or that is another node's, changes nothing.
func reload(running *config, news *discovery.Client) error {
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
	news.Move(c.Discovery)
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

// bound fits the runtime into the limits.
func bound(c *config) {
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(c.Limits.Cores)), 1))
	}
	if mb := c.Limits.MemoryMB; mb > 0 {
		// A wide margin under the limit: the kernel's side of the sockets may count as well.
		debug.SetMemoryLimit(mb << 20 * 6 / 10)
		debug.SetGCPercent(400)
	}
}

func run() error {
	// First of all, as either would end the process where nobody listens for it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := load()
	if err != nil {
		return err
	}
	bound(&c)
	settings, err := c.Settings.Settings()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	sockets := c.Limits.Sockets
	if sockets <= 0 {
		sockets = 1024
	}
	memory := c.Limits.MemoryMB << 20
	if memory <= 0 {
		memory = 192 << 20
	}
	budget := backend.NewBudget(sockets - spareSockets)
	pool := backend.NewPool(backend.Options{ConnectTimeout: settings.ConnectTimeout, IdleTimeout: settings.ConnIdle, ReuseDelay: answerRest}, budget)
	opt := proxy.Options{Settings: settings, Seed: seed, MaxOpen: c.Settings.Caps.MaxOpen, BodyBytes: memory * 3 / 10,
		Budget: budget, HealthCheckPath: "/health/live", LoadReports: settings.Report != balancer.ReportNone}
	if settings.Report == balancer.ReportHealthChecks {
		opt.HealthCheckPath = "/stats"
	}
	n, err := proxy.New(opt, pool)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	news := discovery.New(c.Discovery, !settings.Polled, n.UpdateEndpoints)
	if err := n.Start(news, c.Known); err != nil {
		slog.Warn("the known list is of no use", "err", err)
	}
	go n.Serve(l)
	go func() { // until the process ends: what it holds is still sent by the list
		for range hup {
			if err := reload(&c, news); err != nil {
				slog.Error("the new configuration is of no use, the old one goes on", "err", err)
			}
		}
	}()
	<-ctx.Done()
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	until, cancel := context.WithTimeout(context.Background(), longest+killAfter-killMargin)
	defer cancel()
	n.Stop(until, l)
	return nil
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "robindrum-node:", err)
		os.Exit(1)
	}
}
