package gateway

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"robindrum/internal/config"
	"robindrum/internal/testbed"
	"robindrum/internal/testbed/controlplane"
	"robindrum/internal/testbed/origin"
)

// parseConfig parses a configuration, and fails the test if it is invalid.
func parseConfig(t testing.TB, text string) *config.File {
	t.Helper()
	file, err := config.Parse(filepath.Join(t.TempDir(), "gateway.yaml"), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// configHead is the first part of most configurations in these tests.
const configHead = `zone: a
listeners: [{name: web, address: "127.0.0.1:0"}]
admin: {address: "127.0.0.1:0"}
limits: {descriptors: 512, drain: 5s}
classes:
  - {name: hold, wanted: 100ms, deadline: 2s, effect: keyed, group: all, window: 4s}
`

// runGateway runs a gateway with a configuration that consists of configHead and rest.
func runGateway(t testing.TB, rest string) *Gateway {
	t.Helper()
	g, err := New(parseConfig(t, configHead+rest), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func newOrigin(t testing.TB) *origin.Origin {
	t.Helper()
	o, err := origin.Start("", origin.NewLedger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Kill)
	return o
}

func newControlPlane(t testing.TB) *controlplane.Server {
	t.Helper()
	s, err := controlplane.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// response is a response of the gateway with its complete body.
type response struct {
	status int
	body   string
	header http.Header
}

// testClient is an HTTP client of the gateway with its own connections.
type testClient struct {
	*http.Client
	base string
}

func newTestClient(t testing.TB, g *Gateway) *testClient {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &testClient{&http.Client{Transport: transport, Timeout: testbed.WaitTimeout, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}, "http://" + g.Addr("web").String()}
}

// do sends a request and returns the response. header contains pairs of field names and values. POST requests have a body.
func (u *testClient) do(method, path string, header ...string) (response, error) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body")
	}
	r, err := http.NewRequest(method, u.base+path, body)
	if err != nil {
		return response{}, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
		if header[i] == "Host" {
			r.Host = header[i+1]
		}
	}
	resp, err := u.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(content), resp.Header}, err
}

// get is like do for the method GET, and fails the test on an error.
func (u *testClient) get(t testing.TB, path string, header ...string) response {
	t.Helper()
	r, err := u.do(http.MethodGet, path, header...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// pushResources makes the control plane send resources, and returns when it has sent the last response. If replace is set, all
// other resources of the same types are removed.
func pushResources(t testing.TB, server *controlplane.Server, version string, replace bool, resources ...controlplane.Resource) time.Time {
	t.Helper()
	at, err := server.Push(version, replace, resources...)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// cds returns a Cluster resource.
func cds(name string) controlplane.Resource {
	return controlplane.Resource{Name: name, Body: controlplane.Cluster(name, "")}
}

// eds returns a ClusterLoadAssignment resource. Each source is an *origin.Origin, which is in zone a, or a
// controlplane.Endpoint.
func eds(name string, sources ...any) controlplane.Resource {
	var endpoints []controlplane.Endpoint
	for _, source := range sources {
		switch source := source.(type) {
		case *origin.Origin:
			endpoints = append(endpoints, controlplane.Endpoint{Addr: source.Addr, Zone: "a"})
		case controlplane.Endpoint:
			endpoints = append(endpoints, source)
		}
	}
	return controlplane.Resource{Name: name, Body: controlplane.Assignment(name, endpoints...)}
}

// rds returns a RouteConfiguration resource with pairs of path prefixes and clusters.
func rds(name string, routes ...[2]string) controlplane.Resource {
	return controlplane.Resource{Name: name, Body: controlplane.Routes(name, routes...)}
}

// usableEndpoints returns the number of usable endpoints of a cluster, or -1 if its endpoint list is not known.
func (g *Gateway) usableEndpoints(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.clusters[name]; c != nil && c.view.Known() {
		return c.view.Usable()
	}
	return -1
}

// adsConfig returns the part of a configuration that gets clusters and routes from a control plane. rest is appended to the
// settings of the control plane.
func adsConfig(server *controlplane.Server, rest string) string {
	return fmt.Sprintf("xds: {servers: [%q], node: {id: gw}, clusters: true, route_configuration: r, backoff_base: 5ms, backoff_most: 20ms%s}\n", server.Addr, rest)
}

// loadGenerator sends requests with several clients until it is stopped.
type loadGenerator struct {
	done             chan struct{}
	running          sync.WaitGroup
	served, rejected atomic.Int64           // requests answered with 200 and with 503
	other            atomic.Int64           // requests with any other answer or none
	lastFailure      atomic.Pointer[string] // the last other answer or error
	lastRejection    atomic.Pointer[string] // body of the last answer with 503
	requests         atomic.Int64
}

// startLoad starts clients that send GET requests for path, one at a time each, until stop is called.
func startLoad(t testing.TB, g *Gateway, clients int, path string) *loadGenerator {
	load := &loadGenerator{done: make(chan struct{})}
	for range clients {
		client := newTestClient(t, g)
		load.running.Go(func() {
			for {
				select {
				case <-load.done:
					return
				default:
				}
				load.requests.Add(1)
				answer, err := client.do(http.MethodGet, path)
				switch {
				case err == nil && answer.status == http.StatusOK:
					load.served.Add(1)
				case err == nil && answer.status == http.StatusServiceUnavailable:
					load.rejected.Add(1)
					load.lastRejection.Store(new(answer.body))
				default:
					load.other.Add(1)
					load.lastFailure.Store(new(fmt.Sprint(answer.status, " ", err)))
				}
			}
		})
	}
	return load
}

func (l *loadGenerator) stop() {
	close(l.done)
	l.running.Wait()
}

// checkNoneLost fails the test if a request was neither served nor rejected.
func (l *loadGenerator) checkNoneLost(t testing.TB) {
	t.Helper()
	if n := l.other.Load(); n != 0 {
		t.Errorf("%d of %d requests were neither served nor rejected, want 0; the last one: %s", n, l.requests.Load(), *l.lastFailure.Load())
	}
}

// configWithOrigins returns a configuration that routes all requests to cluster c, whose endpoints are the given origins.
// clusterSettings is inserted into the settings of the cluster.
func configWithOrigins(t *testing.T, clusterSettings string, origins ...*origin.Origin) string {
	t.Helper()
	var endpoints []string
	for _, o := range origins {
		endpoints = append(endpoints, fmt.Sprintf("{address: %q}", o.Addr))
	}
	return fmt.Sprintf("listeners: [{name: web, address: \"127.0.0.1:0\"}]\nadmin: {address: none}\nclusters: [{name: c, %sendpoints: [%s]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n",
		clusterSettings, strings.Join(endpoints, ", "))
}

// runGatewayWithConfig runs a gateway with a complete configuration, and waits until it is ready.
func runGatewayWithConfig(t *testing.T, text string) *Gateway {
	t.Helper()
	g, err := New(parseConfig(t, text), discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	return g
}

// mergeJSON merges a message in protobuf JSON into a resource.
func mergeJSON(r controlplane.Resource, text string) error {
	message := r.Body.ProtoReflect().New().Interface()
	if err := protojson.Unmarshal([]byte(text), message); err != nil {
		return err
	}
	proto.Merge(r.Body, message)
	return nil
}

// setHighPriority sets the priority of the first route of a RouteConfiguration to HIGH.
func setHighPriority(r controlplane.Resource) error {
	routes, ok := r.Body.(*routev3.RouteConfiguration)
	if !ok {
		return fmt.Errorf("resource is a %T, want a RouteConfiguration", r.Body)
	}
	routes.VirtualHosts[0].Routes[0].GetRoute().Priority = corev3.RoutingPriority_HIGH
	return nil
}

func asOpError(err error, to **net.OpError) bool { return errors.As(err, to) }

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
