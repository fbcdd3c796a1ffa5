package main

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/config"
	"robindrum/internal/discovery"
	"robindrum/internal/gateway"
	"robindrum/internal/proxy"
)

// The kinds of measured processes: the first argument of the child command.
const (
	childReverse   = "reverse"        // httputil.ReverseProxy
	childNode      = "robindrum-node" // the platform's node
	childRobindrum = "robindrum"      // the gateway
)

// runChild runs a measured process. It prints its listen addresses on one line and serves until it receives SIGTERM or its standard
// input ends. A single argument @FILE is replaced with the contents of FILE, which may be too long for a command line.
func runChild(kind string, args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	inputEnded := make(chan struct{})
	go func() {
		defer close(inputEnded)
		answerHeapRequests()
	}()
	args, err := readArgumentFile(kind, args)
	if err != nil {
		return err
	}
	shutdown, err := startChild(kind, args)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-inputEnded:
	}
	shutdown()
	return nil
}

// answerHeapRequests prints the live heap size for each heap request on standard input, until the input ends.
func answerHeapRequests() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if lines.Text() != heapRequest {
			continue
		}
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		fmt.Println(stats.HeapAlloc)
	}
}

// readArgumentFile replaces a single argument @FILE with the contents of the file: one argument, or for a node one argument per word.
func readArgumentFile(kind string, args []string) ([]string, error) {
	if len(args) != 1 || !strings.HasPrefix(args[0], "@") {
		return args, nil
	}
	text, err := os.ReadFile(args[0][1:])
	if err != nil {
		return nil, err
	}
	if kind == childNode {
		return strings.Fields(string(text)), nil
	}
	return []string{string(text)}, nil
}

// startChild starts a server of the given kind and prints its addresses. The caller must call shutdown once.
func startChild(kind string, args []string) (shutdown func(), err error) {
	switch kind {
	case childReverse:
		return startReverseProxy(args[0])
	case childNode:
		return startNode(args)
	case childRobindrum:
		return startGateway(args[0])
	default:
		return nil, fmt.Errorf("unknown kind of child process %q", kind)
	}
}

func startReverseProxy(origin string) (shutdown func(), err error) {
	target, err := url.Parse("http://" + origin)
	if err != nil {
		return nil, err
	}
	handler := httputil.NewSingleHostReverseProxy(target)
	handler.Transport = &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	fmt.Println(listener.Addr())
	return func() { _ = server.Close() }, nil
}

func startNode(endpoints []string) (shutdown func(), err error) {
	budget := backend.NewBudget(1024)
	settings := balancer.Settings{
		Zone:             "a",
		Zones:            []string{"a"},
		Proxies:          1,
		MaxAttempts:      3,
		MayCancel:        true,
		ParallelAttempts: true,
		Classes: []balancer.Class{{
			Name:             "x",
			LatencyObjective: time.Second,
			Deadline:         5 * time.Second,
			Effect:           balancer.Idempotent,
			PriorityWeight:   1,
		}},
	}
	pool := backend.NewPool(backend.Options{}, budget)
	node, err := proxy.New(proxy.Options{Settings: settings, Seed: 1, BodyBytes: 64 << 20, Budget: budget}, pool)
	if err != nil {
		return nil, err
	}
	update := discovery.Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateSnapshot}, Endpoints: map[string]string{}}
	for _, address := range endpoints {
		update.Servers = append(update.Servers, balancer.Server{ID: address, Zone: "a", Weight: 1})
		update.Endpoints[address] = address
	}
	node.UpdateEndpoints(update)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go node.Serve(listener)
	fmt.Println(listener.Addr())
	return func() {
		listener.Close()
		node.Close()
	}, nil
}

func startGateway(configuration string) (shutdown func(), err error) {
	file, err := config.Parse("measure.yaml", []byte(configuration))
	if err != nil {
		return nil, err
	}
	server, err := gateway.New(file, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	fmt.Println(server.Addr("web"), server.AdminAddr())
	return server.Close, nil
}
