package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"robindrum/internal/testbed/proc"
)

// gatewayProcess is a gateway that runs as a child process.
type gatewayProcess struct {
	*proc.Process
	number       int
	zone         string
	address      string // of its listener for requests
	adminAddress string
}

// gatewayConfig returns the configuration file of gateway i.
func (e *Experiment) gatewayConfig(i int, controlPlane string) string {
	var b strings.Builder
	fleet, gateways := &e.Fleet, &e.Gateways
	zone := fleet.Zones[i%len(fleet.Zones)]
	fmt.Fprintf(&b, "zone: %q\ngateway: {number: %d, of: %d}\nlog: {format: json}\n", zone, i, gateways.Count)
	fmt.Fprintf(&b, "listeners: [{name: web, address: \"127.0.0.1:0\"}]\nadmin: {address: \"127.0.0.1:0\"}\nlimits: {descriptors: 16384, memory: 256MiB, requests: 65536, drain: 2s}\n")
	fmt.Fprintf(&b, "xds: {servers: [%q], node: {id: \"gateway-%d\"}, backoff_base: 100ms, backoff_most: 500ms}\nclasses:\n", controlPlane, i)
	for _, class := range e.Classes {
		effect, _ := class.Effect.MarshalText()
		group, _ := class.Group.MarshalText()
		fmt.Fprintf(&b, "  - {name: %q, wanted: %v, deadline: %v, worth: %v, effect: %s", class.Name, class.LatencyObjective.D(), class.Deadline.D(), class.PriorityWeight, effect)
		if class.Window > 0 {
			fmt.Fprintf(&b, ", group: %s, window: %v", group, class.Window.D())
		}
		b.WriteString("}\n")
	}
	switch gateways.ZoneMode {
	case "tiers":
		fmt.Fprintf(&b, "zones: {tiers: [[%q], ['*']]}\n", zone)
	case "failover":
		fmt.Fprintf(&b, "zones: {tiers: [[%q], ['*']], first_room: 100000, tolerance: 100, own_tolerance: 100, first_share: 1, hold: 100ms, most_hold: 100ms, "+
			"probe: 100ms, step: 10ms, floor: 0}\n", zone)
	}
	fmt.Fprintf(&b, "clusters:\n  - {name: fleet, xds: {}, overload: {mode: %s, limit: %d}, warm_up: {time: %v, share: %v, most: %v}}\nroutes:\n",
		gateways.Admission, gateways.AdmissionLimit, fleet.WarmUp.D(), fleet.InitialSpeed, fleet.CollapseLoad)
	for i, class := range e.Classes {
		fmt.Fprintf(&b, "  - {name: %q, match: {path: /%d}, cluster: fleet, class: %q, key: {header: Idempotency-Key}, tenant: {header: X-Tenant}}\n", class.Name, i, class.Name)
	}
	return b.String()
}

// startGateway starts gateway i with its configuration file in dir, and blocks until it is ready.
func (e *Experiment) startGateway(ctx context.Context, binary, dir string, i int, controlPlane string) (*gatewayProcess, error) {
	path := filepath.Join(dir, fmt.Sprintf("gateway-%d.yaml", i))
	if err := os.WriteFile(path, []byte(e.gatewayConfig(i, controlPlane)), 0o600); err != nil {
		return nil, fmt.Errorf("writing the configuration of gateway %d: %w", i, err)
	}
	gateway := &gatewayProcess{number: i, zone: e.Fleet.Zones[i%len(e.Fleet.Zones)]}
	addressesKnown := make(chan struct{})
	process, err := proc.Start(fmt.Sprintf("gateway %d", i), binary, func(text string) {
		var entry struct {
			Msg, Address string
		}
		_ = json.Unmarshal([]byte(text), &entry) // other lines are not JSON
		switch entry.Msg {
		case "listening":
			gateway.address = entry.Address
		case "listening for operators":
			gateway.adminAddress = entry.Address
			close(addressesKnown)
		}
	}, "serve", "--with-parent", "-c", path)
	if err != nil {
		return nil, err
	}
	gateway.Process = process
	select {
	case <-addressesKnown:
	case <-gateway.Exited:
		return nil, gateway.ExitError()
	case <-ctx.Done():
		gateway.stop()
		return nil, ctx.Err()
	}
	return gateway, gateway.waitUntilReady(ctx)
}

// waitUntilReady blocks until the gateway reports that it is ready. It stops the gateway if that takes longer than 15 seconds.
func (g *gatewayProcess) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.adminAddress+"/health/ready", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-g.Exited:
			return g.ExitError()
		case <-ctx.Done():
			g.stop()
			return fmt.Errorf("gateway %d is not ready: %w", g.number, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stop drains the gateway. It kills the gateway if that takes longer than 5 seconds.
func (g *gatewayProcess) stop() { g.Stop(5 * time.Second) }
