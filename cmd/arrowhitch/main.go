// Arrowhitch is one load-balancer node. It is told everything by the file that PROXY_CONFIG names.
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

	"arrowhitch/internal/backend"
	"arrowhitch/internal/discovery"
	"arrowhitch/internal/node"
	"arrowhitch/internal/wire"
	"arrowhitch/logic"
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
	Known    json.RawMessage `json:"known"`
	Settings *wire.Info      `json:"settings"`
}

const (
	spareSockets = 32 // descriptors for the runtime, discovery and the standard streams
	killAfter    = 700 * time.Millisecond
	killMargin   = 200 * time.Millisecond
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
	switch {
	case c.Listen == "":
		err = errors.New("the configuration has no listen address")
	case c.Discovery == "":
		err = errors.New("the configuration has no discovery address")
	case c.Settings == nil:
		err = errors.New("the configuration has no settings")
	}
	return c, err
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
	pool := backend.NewPool(backend.Options{ConnectTimeout: settings.ConnectTimeout, IdleTimeout: settings.ConnIdle}, budget)
	opt := node.Options{Settings: settings, Seed: seed, MaxOpen: c.Settings.Caps.MaxOpen, BodyBytes: memory * 3 / 10,
		Budget: budget, ProbePath: "/health/live", LoadReports: settings.Report != logic.ReportNone}
	if settings.Report == logic.ReportProbes {
		opt.ProbePath = "/stats"
	}
	n, err := node.New(opt, pool)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	if err := n.Start(discovery.New(c.Discovery, !settings.Ask, n.Fleet), c.Known); err != nil {
		slog.Warn("the known list is of no use", "err", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go n.Serve(l)
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
		fmt.Fprintln(os.Stderr, "arrowhitch:", err)
		os.Exit(1)
	}
}
