// Package demo demonstrates the gateway on loopback in bounded time, with servers in two zones, a control plane and a load. Its scenes
// include a slow server, a draining server, a crashed server, a control plane that stops, the loss of a zone, an overload, the loss of a
// lease and releases.
package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"robindrum/internal/config"
	"robindrum/internal/gateway"
	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/origin"
)

// configuration is the configuration of the gateway. Its formatting verb is the address of the control plane.
const configuration = `zone: sapporo
listeners: [{name: web, address: "127.0.0.1:0"}]
admin: {address: "127.0.0.1:0"}
limits: {descriptors: 2048, drain: 5s}
classes:
  - {name: seat-map, wanted: 100ms, deadline: 2s, worth: 1, effect: safe}
  - {name: seat-hold, wanted: 150ms, deadline: 2s, worth: 5, effect: keyed, group: zone, window: 4s}
  - {name: pay, wanted: 200ms, deadline: 2s, worth: 20, effect: unsafe}
xds:
  servers: [%q]
  node: {id: try}
  clusters: true
  backoff_base: 100ms
  backoff_most: 500ms
clusters: []
routes:
  - {name: maps, match: {prefix: /maps, methods: [GET]}, cluster: tickets, class: seat-map}
  - {name: holds, match: {template: "/holds/{seat}", methods: [POST]}, cluster: tickets, class: seat-hold, key: {header: Idempotency-Key}}
  - {name: pay, match: {path: /pay, methods: [POST]}, cluster: tickets, class: pay}
`

// zoneLossSections is appended to the configuration in the zone loss scene.
const zoneLossSections = `zones:
  tiers: [[sapporo], [ishikari]]
`

// The names of the scenes.
const (
	mainScene     = "main"
	zoneLossScene = "zone-loss"
	overloadScene = "overload"
)

// Scenes lists the names of the scenes that Run accepts. The first one is the default.
var Scenes = []string{mainScene, zoneLossScene, overloadScene}

// Options configures a demonstration.
type Options struct {
	Scene    string        // one of Scenes
	Duration time.Duration // of the load; default 20 s
	Rate     int           // requests per second, except in the overload scene; default 250
	// Out receives the progress. If Redraw is set, the progress is a table that is redrawn on a terminal, otherwise lines.
	Out    io.Writer
	Redraw bool
	// Verbose also writes the log of the gateway to Out.
	Verbose bool
}

const (
	defaultDuration = 20 * time.Second
	defaultRate     = 250
	// maxRequests bounds the requests of a demonstration.
	maxRequests     = 100_000
	stopTimeout     = 5 * time.Second
	readyTimeout    = 10 * time.Second
	readyInterval   = 5 * time.Millisecond
	serversPerZone  = 3
	serverDelay     = 4 * time.Millisecond
	slowServerDelay = 80 * time.Millisecond
	coldServerDelay = 25 * time.Millisecond
	maxEvents       = 64 // waiting to be printed
)

// server is an origin with its state on the endpoint list of the control plane.
type server struct {
	*origin.Origin
	name     string
	zone     string
	health   corev3.HealthStatus
	listed   bool
	reported int // requests until the progress was last printed
}

// run is the state of a running demonstration.
type run struct {
	options      Options
	began        time.Time
	gateway      *gateway.Gateway
	controlPlane *controlplane.Server
	version      int
	servers      []*server
	ledgers      []*origin.Ledger
	counts       loadCounts
	overload     overloadCounts
	display      display
	events       chan string // of the gateway's log
}

// Run runs a demonstration and blocks until it has ended. It returns an error if the options are invalid, the control plane, a server or
// the gateway does not start, or ctx ends.
func Run(ctx context.Context, options Options) (Summary, error) {
	options.Duration = cmp.Or(options.Duration, defaultDuration)
	options.Rate = cmp.Or(options.Rate, defaultRate)
	options.Scene = cmp.Or(options.Scene, Scenes[0])
	if requests := options.Duration.Seconds() * float64(options.Rate); requests > maxRequests {
		return Summary{}, fmt.Errorf("duration and rate amount to %.0f requests, must be at most %d", requests, maxRequests)
	}
	if !slices.Contains(Scenes, options.Scene) {
		return Summary{}, fmt.Errorf("unknown scene %q, must be one of %s", options.Scene, strings.Join(Scenes, ", "))
	}
	r := &run{options: options, events: make(chan string, maxEvents)}
	defer r.close()
	if err := r.start(); err != nil {
		return Summary{}, err
	}
	if !r.awaitReady(ctx) {
		return Summary{Unready: true}, ctx.Err()
	}
	r.began = time.Now()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		r.load(ctx)
	}()
	r.playSteps(ctx, loaded)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	r.gateway.Stop(stopping)
	return r.summary(), ctx.Err()
}

// start starts the control plane, the servers and the gateway.
func (r *run) start() error {
	var err error
	if r.controlPlane, err = controlplane.Start(""); err != nil {
		return err
	}
	if err := r.startServers(); err != nil {
		return err
	}
	text := fmt.Sprintf(configuration, r.controlPlane.Addr)
	switch r.options.Scene {
	case overloadScene:
		r.limitServers()
	case zoneLossScene:
		text += zoneLossSections
		for _, s := range r.servers {
			s.SetDelay(coldServerDelay)
			s.SetCapacity(origin.Capacity{Workers: 4, WarmUp: 10 * time.Second, InitialSpeed: 0.1})
		}
	default:
		r.servers[2].SetDelay(slowServerDelay)
	}
	if err := r.push(); err != nil {
		return err
	}
	file, err := config.Parse("try.yaml", []byte(text))
	if err != nil {
		return err
	}
	handler := slog.DiscardHandler
	if r.options.Verbose {
		handler = slog.NewTextHandler(r.options.Out, nil)
	}
	r.gateway, err = gateway.New(file, slog.New(&eventHandler{Handler: handler, events: r.events}))
	return err
}

func (r *run) startServers() error {
	for _, zone := range []string{"sapporo", "ishikari"} {
		ledger := origin.NewLedger()
		r.ledgers = append(r.ledgers, ledger)
		for i := range serversPerZone {
			o, err := origin.Start("", ledger)
			if err != nil {
				return err
			}
			o.SetDelay(serverDelay)
			name := fmt.Sprintf("%s-%d", zone, i+1)
			r.servers = append(r.servers, &server{Origin: o, name: name, zone: zone, health: corev3.HealthStatus_HEALTHY, listed: true})
		}
	}
	return nil
}

func (r *run) close() {
	if r.gateway != nil {
		r.gateway.Close()
	}
	if r.controlPlane != nil {
		r.controlPlane.Stop()
	}
	for _, s := range r.servers {
		s.Kill()
	}
}

// awaitReady waits until the gateway is ready. It returns false if ctx ends or readyTimeout passes first.
func (r *run) awaitReady(ctx context.Context) bool {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !r.gateway.Ready() {
		select {
		case <-ctx.Done():
			return false
		case <-timeout.C:
			return false
		case <-ticker.C:
		}
	}
	return true
}

// assignment returns the current endpoint list.
func (r *run) assignment() *endpointv3.ClusterLoadAssignment {
	var endpoints []controlplane.Endpoint
	for _, s := range r.servers {
		if s.listed {
			endpoints = append(endpoints, controlplane.Endpoint{Addr: s.Addr, Zone: s.zone, Health: s.health})
		}
	}
	return controlplane.Assignment("tickets", endpoints...)
}

// push has the control plane serve the current endpoint list.
func (r *run) push() error {
	r.version++
	_, err := r.controlPlane.Push(fmt.Sprint(r.version), false,
		controlplane.Resource{Name: "tickets", Body: controlplane.Cluster("tickets", "")},
		controlplane.Resource{Name: "tickets", Body: r.assignment()})
	return err
}
