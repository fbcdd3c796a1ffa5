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
func (e *Experiment) gatewayConfig(i int, plane string) string {
	var b strings.Builder
	f, g := &e.Fleet, &e.Gateways
	zone := f.Zones[i%len(f.Zones)]
	fmt.Fprintf(&b, "zone: %q\ngateway: {number: %d, of: %d}\nlog: {format: json}\n", zone, i, g.Count)
	fmt.Fprintf(&b, "listeners: [{name: web, address: \"127.0.0.1:0\"}]\nadmin: {address: \"127.0.0.1:0\"}\nlimits: {descriptors: 16384, memory: 256MiB, requests: 65536, drain: 2s}\n")
	fmt.Fprintf(&b, "xds: {servers: [%q], node: {id: \"gateway-%d\"}, backoff_base: 100ms, backoff_most: 500ms}\nclasses:\n", plane, i)
	for _, c := range e.Classes {
		effect, _ := c.Effect.MarshalText()
		group, _ := c.Group.MarshalText()
		fmt.Fprintf(&b, "  - {name: %q, wanted: %v, deadline: %v, worth: %v, effect: %s", c.Name, c.LatencyObjective.D(), c.Deadline.D(), c.PriorityWeight, effect)
		if c.Window > 0 {
			fmt.Fprintf(&b, ", group: %s, window: %v", group, c.Window.D())
		}
		b.WriteString("}\n")
	}
	switch g.ZoneMode {
	case "tiers":
		fmt.Fprintf(&b, "zones: {tiers: [[%q], ['*']]}\n", zone)
	case "failover":
		fmt.Fprintf(&b, "zones: {tiers: [[%q], ['*']], first_room: 100000, tolerance: 100, own_tolerance: 100, first_share: 1, hold: 100ms, most_hold: 100ms, "+
			"probe: 100ms, step: 10ms, floor: 0}\n", zone)
	}
	fmt.Fprintf(&b, "clusters:\n  - {name: fleet, xds: {}, overload: {mode: %s, limit: %d}, warm_up: {time: %v, share: %v, most: %v}}\nroutes:\n",
		g.Admission, g.AdmissionLimit, f.WarmUp.D(), f.InitialSpeed, f.CollapseLoad)
	for i, c := range e.Classes {
		fmt.Fprintf(&b, "  - {name: %q, match: {path: /%d}, cluster: fleet, class: %q, key: {header: Idempotency-Key}, tenant: {header: X-Tenant}}\n", c.Name, i, c.Name)
	}
	return b.String()
}

// startGateway starts gateway i with its configuration file in dir, and blocks until it is ready.
func (e *Experiment) startGateway(ctx context.Context, binary, dir string, i int, plane string) (*gatewayProcess, error) {
	path := filepath.Join(dir, fmt.Sprintf("gateway-%d.yaml", i))
	if err := os.WriteFile(path, []byte(e.gatewayConfig(i, plane)), 0o600); err != nil {
		return nil, fmt.Errorf("gateway %d: %w", i, err)
	}
	c := &gatewayProcess{number: i, zone: e.Fleet.Zones[i%len(e.Fleet.Zones)]}
	addresses := make(chan struct{})
	p, err := proc.Start(fmt.Sprintf("gateway %d", i), binary, func(text string) {
		var l struct {
			Msg, Address string
		}
		_ = json.Unmarshal([]byte(text), &l) // other lines are not JSON
		switch l.Msg {
		case "listening":
			c.address = l.Address
		case "listening for operators":
			c.adminAddress = l.Address
			close(addresses)
		}
	}, "serve", "--with-parent", "-c", path)
	if err != nil {
		return nil, err
	}
	c.Process = p
	select {
	case <-addresses:
	case <-c.Exited:
		return nil, c.ExitError()
	case <-ctx.Done():
		c.stop()
		return nil, ctx.Err()
	}
	return c, c.waitUntilReady(ctx)
}

// waitUntilReady blocks until the gateway reports that it is ready. It stops the gateway if that takes too long.
func (c *gatewayProcess) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.adminAddress+"/health/ready", nil)
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
		case <-c.Exited:
			return c.ExitError()
		case <-ctx.Done():
			c.stop()
			return fmt.Errorf("gateway %d is not ready: %w", c.number, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stop drains the gateway, and kills it if that takes too long.
func (c *gatewayProcess) stop() { c.Stop(5 * time.Second) }
