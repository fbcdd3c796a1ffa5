package xds

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"robindrum/internal/testbed"
	"robindrum/internal/testbed/controlplane"
)

// recordingSink records the changes of a source.
type recordingSink struct {
	mu  sync.Mutex
	all map[string]Resource
	n   int
	at  map[string][]string // versions by name, in the order of the changes
}

func (s *recordingSink) Changed(l []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range l {
		s.n++
		s.all[c.Type.Short()+" "+c.Name] = c.Resource
		s.at[c.Name] = append(s.at[c.Name], c.Version)
	}
}

func (s *recordingSink) get(name string) Resource {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[name]
}

func serve(t *testing.T) *controlplane.Server {
	t.Helper()
	s, err := controlplane.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func run(t *testing.T, shape func(*ClientOptions), servers ...string) (*Client, *recordingSink) {
	t.Helper()
	began := time.Now()
	opt := ClientOptions{Servers: servers, ConnectTimeout: testbed.WaitTimeout, BackoffBase: 5 * time.Millisecond, MaxBackoff: 20 * time.Millisecond,
		Keepalive: time.Minute, MaxMessageBytes: 16 << 20, Now: func() time.Duration { return time.Since(began) + 1 }, Log: slog.New(slog.DiscardHandler),
		Options: Options{Clusters: true, Node: Node("gw", "c", "z")}}
	if shape != nil {
		shape(&opt)
	}
	s := &recordingSink{all: map[string]Resource{}, at: map[string][]string{}}
	c := NewClient(opt, s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		testbed.Receive(t, "the client's end", done)
	})
	return c, s
}

func await(t *testing.T, s *controlplane.Server, from int, fits func(controlplane.Request) bool) (controlplane.Request, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
	defer cancel()
	r, n, err := s.Await(ctx, from, fits)
	if err != nil {
		t.Fatal(err)
	}
	return r, n
}

func push(t *testing.T, s *controlplane.Server, version string, l ...controlplane.Resource) {
	t.Helper()
	if _, err := s.Push(version, false, l...); err != nil {
		t.Fatal(err)
	}
}

func eps(name string, addrs ...string) controlplane.Resource {
	var l []controlplane.Endpoint
	for _, a := range addrs {
		l = append(l, controlplane.Endpoint{Addr: a, Zone: "z"})
	}
	return controlplane.Resource{Name: name, Body: controlplane.Assignment(name, l...)}
}

func cds(name string) controlplane.Resource {
	return controlplane.Resource{Name: name, Body: controlplane.Cluster(name, "")}
}

func both(t *testing.T, f func(t *testing.T, delta bool)) {
	for _, delta := range []bool{false, true} {
		t.Run(fmt.Sprint("delta=", delta), func(t *testing.T) { f(t, delta) })
	}
}

// The control plane disconnects and returns: with an older version and a smaller list, with the same version and other
// contents, and with a former response under a new nonce. The last response is used, also while it is disconnected.
func TestControlPlaneRestarts(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		testbed.Leaks(t)
		s := serve(t)
		push(t, s, "5", cds("a"), cds("b"), eps("a", "127.0.0.1:1", "127.0.0.1:2"), eps("b", "127.0.0.1:3"))
		c, got := run(t, func(o *ClientOptions) { o.Delta = delta }, s.Addr)
		count := func(name string) int {
			a, _ := got.get("endpoints " + name).Value.(*Assignment)
			if a == nil {
				return -1
			}
			return len(a.Endpoints)
		}
		testbed.Eventually(t, "the first list", func() bool { return count("a") == 2 && count("b") == 1 })
		if l := c.Connection(); l.Server != s.Addr || l.LastResponseAt == 0 || l.Streams != 1 {
			t.Errorf("%+v", l)
		}
		s.Stop()
		testbed.Eventually(t, "the loss to show", func() bool { l := c.Connection(); return l.Server == "" && l.LastError != "" })
		if count("a") != 2 || len(c.Resources(EndpointType)) != 2 {
			t.Error("what was told is lost with the connection")
		}
		s.ClearAll()
		push(t, s, "3", cds("a"), eps("a", "127.0.0.1:2"))
		if err := s.Restart(); err != nil {
			t.Fatal(err)
		}
		testbed.Eventually(t, "the older, smaller list", func() bool { return count("a") == 1 && got.get("cluster b").State == Absent })
		if !delta {
			r, _ := await(t, s, 0, func(r controlplane.Request) bool { return r.Stream == 2 && r.Type() == string(ClusterType) })
			if r.SotW.GetVersionInfo() != "5" || r.SotW.GetResponseNonce() != "" {
				t.Errorf("a new stream begins with %v", r.SotW)
			}
			// Incremental clients are not told of what has the same version: there the version is the contents.
			push(t, s, "3", eps("a", "127.0.0.1:7", "127.0.0.1:8", "127.0.0.1:9"))
			testbed.Eventually(t, "other contents under the same version", func() bool { return count("a") == 3 })
		}
		push(t, s, "2", eps("a"))
		testbed.Eventually(t, "the empty list", func() bool { return count("a") == 0 })
	})
}

// Control planes are tried in order, beginning with the first one again after a stream has ended.
func TestServersAreTriedInOrder(t *testing.T) {
	testbed.Leaks(t)
	first, second := serve(t), serve(t)
	push(t, first, "1", cds("a"))
	push(t, second, "2", cds("b"))
	first.Stop()
	c, got := run(t, nil, first.Addr, second.Addr)
	testbed.Eventually(t, "the second one's word", func() bool { return got.get("cluster b").State == Received })
	if err := first.Restart(); err != nil {
		t.Fatal(err)
	}
	second.Stop()
	testbed.Eventually(t, "the first one's word", func() bool { return got.get("cluster a").State == Received && c.Connection().Server == first.Addr })
	testbed.Eventually(t, "the second one's to be withdrawn", func() bool { return got.get("cluster b").State == Absent })
}

// A message above the limit ends the stream only, and the resources stay in use.
func TestOversizedMessageEndsStream(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		testbed.Leaks(t)
		s := serve(t)
		push(t, s, "1", cds("a"), eps("a", "127.0.0.1:1"))
		c, got := run(t, func(o *ClientOptions) { o.MaxMessageBytes, o.Delta = 20<<10, delta }, s.Addr)
		testbed.Eventually(t, "the first list", func() bool { return got.get("endpoints a").State == Received })
		var l []string
		for i := range 1000 {
			l = append(l, fmt.Sprint("127.0.0.1:", i+1))
		}
		push(t, s, "2", eps("a", l...))
		testbed.Eventually(t, "the stream to break", func() bool { return c.Connection().Streams > 2 })
		if r := got.get("endpoints a"); r.Version != "1" {
			t.Errorf("%q is in use", r.Version)
		}
		push(t, s, "3", eps("a", "127.0.0.1:2"))
		testbed.Eventually(t, "a list that fits", func() bool { return got.get("endpoints a").Version == "3" })
	})
}

// With ten thousand endpoints and updates as fast as they can be sent, the last one is used, and changes are in order.
func TestManyEndpointsWithRapidUpdates(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		testbed.Leaks(t)
		s := serve(t)
		_, got := run(t, func(o *ClientOptions) { o.Delta = delta }, s.Addr)
		var l []controlplane.Endpoint
		for i := range 10000 {
			l = append(l, controlplane.Endpoint{Addr: fmt.Sprintf("127.1.%d.%d:80", i/250, i%250+1), Zone: fmt.Sprint("z", i%3)})
		}
		push(t, s, "0", cds("a"), controlplane.Resource{Name: "a", Body: controlplane.Assignment("a", l...)})
		testbed.Eventually(t, "all of them", func() bool {
			a, _ := got.get("endpoints a").Value.(*Assignment)
			return a != nil && len(a.Endpoints) == 10000
		})
		const n = 500
		for i := 1; i <= n; i++ {
			push(t, s, fmt.Sprintf("%04d", i), eps("a", fmt.Sprint("127.0.0.1:", i)))
		}
		testbed.Eventually(t, "the last update", func() bool { return got.get("endpoints a").Version == fmt.Sprintf("%04d", n) })
		got.mu.Lock()
		defer got.mu.Unlock()
		newest := ""
		for _, v := range got.at["a"] {
			if v != "" && v < newest {
				t.Fatalf("%s is told after %s", v, newest)
			}
			newest = max(newest, v)
		}
	})
}

// While a control plane stalls its resources stay in use, and subscriptions made meanwhile are sent afterwards.
func TestStalledControlPlane(t *testing.T) {
	testbed.Leaks(t)
	s := serve(t)
	push(t, s, "1", eps("a", "127.0.0.1:1"), eps("b", "127.0.0.1:2"))
	c, got := run(t, func(o *ClientOptions) { o.Clusters, o.Services = false, []string{"a"} }, s.Addr)
	testbed.Eventually(t, "the first list", func() bool { return got.get("endpoints a").State == Received })
	s.Stall()
	c.Subscribe([]string{"a", "b"}, nil)
	testbed.Eventually(t, "the wish", func() bool { return len(c.Resources(EndpointType)) == 2 })
	s.Resume()
	testbed.Eventually(t, "the second list", func() bool { return got.get("endpoints b").State == Received })
	c.Subscribe([]string{"b"}, nil)
	testbed.Eventually(t, "the first one to go", func() bool { return got.get("endpoints a").State == Absent })
}

// Resources time out also while no control plane is connected, so that requests need not wait for them.
func TestFetchTimeoutWithoutControlPlane(t *testing.T) {
	testbed.Leaks(t)
	c, got := run(t, func(o *ClientOptions) {
		o.Services, o.FetchTimeout = []string{"a"}, 20*time.Millisecond
	}, testbed.RefusingAddress(t), testbed.RefusingAddress(t))
	c.Subscribe([]string{"a", "b"}, nil)
	testbed.Eventually(t, "both to be given up", func() bool {
		return got.get("endpoints a").State == Absent && got.get("endpoints b").State == Absent
	})
	if l := c.Connection(); l.Streams != 0 || l.LastError == "" {
		t.Errorf("%+v", l)
	}
}

// The control plane gets the reason of a rejected response, and the summaries count it.
func TestNACKCarriesReason(t *testing.T) {
	both(t, func(t *testing.T, delta bool) {
		testbed.Leaks(t)
		s := serve(t)
		push(t, s, "1", cds("a"), eps("a", "127.0.0.1:1"))
		c, got := run(t, func(o *ClientOptions) { o.Delta = delta }, s.Addr)
		testbed.Eventually(t, "the first list", func() bool { return got.get("endpoints a").State == Received })
		push(t, s, "2", controlplane.Resource{Name: "a", Body: controlplane.Assignment("a", controlplane.Endpoint{Addr: "127.0.0.1:0", Health: corev3.HealthStatus_HEALTHY})})
		r, _ := await(t, s, 0, func(r controlplane.Request) bool { return r.Error() != "" })
		if !strings.Contains(r.Error(), "0 is not a port") || !delta && r.SotW.GetVersionInfo() != "1" {
			t.Errorf("%v", r)
		}
		if r := got.get("endpoints a"); r.Version != "1" || r.State != Received || r.RejectedReason == "" {
			t.Errorf("%+v", r)
		}
		for _, sum := range c.Summaries() {
			if sum.Type == EndpointType && (sum.Rejected != 1 || sum.LastError == "") {
				t.Errorf("%+v", sum)
			}
		}
	})
}

// A client whose context ends while it connects returns at once.
func TestRunEndsWhileConnecting(t *testing.T) {
	testbed.Leaks(t)
	s := serve(t)
	push(t, s, "1", cds("a"), eps("a", "127.0.0.1:1"))
	for i := range 50 {
		opt := ClientOptions{Servers: []string{s.Addr}, ConnectTimeout: testbed.WaitTimeout, BackoffBase: time.Millisecond, MaxBackoff: time.Millisecond,
			Keepalive: time.Minute, MaxMessageBytes: 1 << 20, Now: func() time.Duration { return 1 }, Log: slog.New(slog.DiscardHandler), Options: Options{Clusters: true}}
		c := NewClient(opt, &recordingSink{all: map[string]Resource{}, at: map[string][]string{}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			c.Run(ctx)
			close(done)
		}()
		if i%2 == 0 {
			testbed.Eventually(t, "the connection", func() bool { return c.Connection().Streams > 0 })
		}
		cancel()
		testbed.Receive(t, "the end", done)
	}
}
