package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"robindrum/internal/config"
)

const (
	adminReadHeaderTimeout = 5 * time.Second
	adminWriteTimeout      = 30 * time.Second
	adminShutdownTimeout   = time.Second
	maxAdminHeaderBytes    = 16 << 10
	maxConcurrentScrapes   = 4
)

// adminServer is the HTTP server for operators and its listener.
type adminServer struct {
	listener          net.Listener
	configuredAddress string
	server            *http.Server
	done              chan struct{} // closed when the server has ended
}

// listenAdmin opens the admin listener of a configuration, or returns the current one if its address is unchanged. It returns
// nil if the configuration disables the admin listener.
func (g *Gateway) listenAdmin(f *config.File) (*adminServer, error) {
	if f.Admin.Address == "none" {
		return nil, nil
	}
	if g.admin != nil && g.admin.configuredAddress == f.Admin.Address {
		return g.admin, nil
	}
	l, err := net.Listen("tcp", f.Admin.Address)
	if err != nil {
		return nil, fmt.Errorf("admin listener: %w", err)
	}
	return &adminServer{listener: l, configuredAddress: f.Admin.Address, done: make(chan struct{})}, nil
}

// replaceAdmin starts a new admin server and closes the previous one in the background. It does nothing if the server is
// unchanged.
func (g *Gateway) replaceAdmin(a *adminServer) {
	if a == g.admin {
		return
	}
	if g.admin != nil {
		g.background.Go(g.admin.close)
	}
	g.admin = a
	if a == nil {
		return
	}
	a.server = &http.Server{
		Handler:           g.Admin(),
		ReadHeaderTimeout: adminReadHeaderTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    maxAdminHeaderBytes,
	}
	go func() {
		defer close(a.done)
		_ = a.server.Serve(a.listener) // returns after close
	}()
}

// close shuts the server down and waits until it has ended. It aborts requests that take longer than adminShutdownTimeout.
func (a *adminServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		_ = a.server.Close()
	}
	<-a.done
}

// Admin returns the handler of the admin listener. It serves /health/live, /health/ready, /metrics, /status, POST /capture
// and, in a fleet, /fleet. /status?endpoints=N lists at most N endpoints of each cluster; 0 means all.
func (g *Gateway) Admin() http.Handler {
	registry := prometheus.NewRegistry()
	processCollector := collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})
	registry.MustRegister(newCollector(g), collectors.NewGoCollector(), processCollector)
	metricsOptions := promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes}

	mux := http.NewServeMux()
	mux.HandleFunc("GET /health/live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc("GET /health/ready", g.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, metricsOptions))
	mux.HandleFunc("GET /status", g.serveStatus)
	mux.HandleFunc("POST /capture", g.serveCapture)
	if g.fleet != nil {
		mux.Handle("/fleet", g.fleet.Handler())
		mux.Handle("/fleet/", g.fleet.Handler())
	}
	return mux
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (g *Gateway) serveStatus(w http.ResponseWriter, r *http.Request) {
	maxEndpoints := 0
	if text := r.URL.Query().Get("endpoints"); text != "" {
		var err error
		maxEndpoints, err = strconv.Atoi(text)
		if err != nil || maxEndpoints < 0 {
			http.Error(w, "endpoints: want a whole number from 0", http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(g.Status(maxEndpoints)) // fails only if the client has left
}
