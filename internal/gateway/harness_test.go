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

func parse(t testing.TB, text string) *config.File {
	t.Helper()
	f, err := config.Parse(filepath.Join(t.TempDir(), "gateway.yaml"), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

const head = `zone: a
listeners: [{name: web, address: "127.0.0.1:0"}]
admin: {address: "127.0.0.1:0"}
limits: {descriptors: 512, drain: 5s}
classes:
  - {name: hold, wanted: 100ms, deadline: 2s, effect: keyed, group: all, window: 4s}
`

// runGateway runs a gateway with the usual head and the given rest of a configuration.
func runGateway(t testing.TB, rest string) *Gateway {
	t.Helper()
	g, err := New(parse(t, head+rest), slog.New(slog.DiscardHandler))
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

type reply struct {
	status int
	body   string
	header http.Header
}

// user is a client of the gateway with connections of its own.
type user struct {
	*http.Client
	base string
}

func newUser(t testing.TB, g *Gateway) *user {
	t.Helper()
	tr := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	t.Cleanup(tr.CloseIdleConnections)
	return &user{&http.Client{Transport: tr, Timeout: testbed.WaitTimeout, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}, "http://" + g.Addr("web").String()}
}

func (u *user) do(method, path string, header ...string) (reply, error) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body")
	}
	r, err := http.NewRequest(method, u.base+path, body)
	if err != nil {
		return reply{}, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
		if header[i] == "Host" {
			r.Host = header[i+1]
		}
	}
	resp, err := u.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(b), resp.Header}, err
}

func (u *user) get(t testing.TB, path string, header ...string) reply {
	t.Helper()
	r, err := u.do(http.MethodGet, path, header...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func push(t testing.TB, s *controlplane.Server, version string, all bool, l ...controlplane.Resource) time.Time {
	t.Helper()
	at, err := s.Push(version, all, l...)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

func cds(name string) controlplane.Resource {
	return controlplane.Resource{Name: name, Body: controlplane.Cluster(name, "")}
}

func eds(name string, l ...any) controlplane.Resource {
	var e []controlplane.Endpoint
	for _, x := range l {
		switch x := x.(type) {
		case *origin.Origin:
			e = append(e, controlplane.Endpoint{Addr: x.Addr, Zone: "a"})
		case controlplane.Endpoint:
			e = append(e, x)
		}
	}
	return controlplane.Resource{Name: name, Body: controlplane.Assignment(name, e...)}
}

func rds(name string, l ...[2]string) controlplane.Resource {
	return controlplane.Resource{Name: name, Body: controlplane.Routes(name, l...)}
}

func (g *Gateway) usable(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.clusters[name]; c != nil && c.view.Known() {
		return c.view.Usable()
	}
	return -1
}

// adsConfig returns a configuration that gets clusters and routes from a control plane.
func adsConfig(s *controlplane.Server, rest string) string {
	return fmt.Sprintf("xds: {servers: [%q], node: {id: gw}, clusters: true, route_configuration: r, backoff_base: 5ms, backoff_most: 20ms%s}\n", s.Addr, rest)
}

// load sends requests with some clients until it is ended.
type load struct {
	end      chan struct{}
	all      sync.WaitGroup
	ok, no   atomic.Int64 // 200; 503
	other    atomic.Int64 // any other answer, or none
	why      atomic.Pointer[string]
	refused  atomic.Pointer[string] // what the last refusal said
	requests atomic.Int64
}

func startLoad(t testing.TB, g *Gateway, clients int, path string) *load {
	l := &load{end: make(chan struct{})}
	for range clients {
		u := newUser(t, g)
		l.all.Go(func() {
			for {
				select {
				case <-l.end:
					return
				default:
				}
				l.requests.Add(1)
				r, err := u.do(http.MethodGet, path)
				switch {
				case err == nil && r.status == http.StatusOK:
					l.ok.Add(1)
				case err == nil && r.status == http.StatusServiceUnavailable:
					l.no.Add(1)
					l.refused.Store(new(r.body))
				default:
					l.other.Add(1)
					l.why.Store(new(fmt.Sprint(r.status, " ", err)))
				}
			}
		})
	}
	return l
}

func (l *load) stop() {
	close(l.end)
	l.all.Wait()
}

// checkNoneLost fails the test if a request was neither served nor rejected.
func (l *load) checkNoneLost(t testing.TB) {
	t.Helper()
	if n := l.other.Load(); n != 0 {
		t.Errorf("%d of %d requests had neither a good answer nor a refusal: %s", n, l.requests.Load(), *l.why.Load())
	}
}

// configWithOrigins returns a configuration of four lines with the given endpoints in cluster c.
func configWithOrigins(t *testing.T, rest string, all ...*origin.Origin) string {
	t.Helper()
	var l []string
	for _, o := range all {
		l = append(l, fmt.Sprintf("{address: %q}", o.Addr))
	}
	return fmt.Sprintf("listeners: [{name: web, address: \"127.0.0.1:0\"}]\nadmin: {address: none}\nclusters: [{name: c, %sendpoints: [%s]}]\nroutes: [{match: {prefix: /}, cluster: c}]\n",
		rest, strings.Join(l, ", "))
}

func run(t *testing.T, conf string) *Gateway {
	t.Helper()
	g, err := New(parse(t, conf), discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	testbed.Eventually(t, "the gateway to be ready", g.Ready)
	return g
}

// xdsPolicy merges text, in protobuf JSON, into a resource.
func xdsPolicy(r controlplane.Resource, text string) error {
	m := r.Body.ProtoReflect().New().Interface()
	if err := protojson.Unmarshal([]byte(text), m); err != nil {
		return err
	}
	proto.Merge(r.Body, m)
	return nil
}

// xdsHigh sets the priority HIGH on the first route of a RouteConfiguration.
func xdsHigh(r controlplane.Resource) error {
	m, ok := r.Body.(*routev3.RouteConfiguration)
	if !ok {
		return fmt.Errorf("%T has no routes", r.Body)
	}
	m.VirtualHosts[0].Routes[0].GetRoute().Priority = corev3.RoutingPriority_HIGH
	return nil
}

func asOpError(err error, to **net.OpError) bool { return errors.As(err, to) }

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
