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

// recordingSink is a Sink that records the changes it receives.
type recordingSink struct {
	mu        sync.Mutex
	resources map[string]Resource
	count     int
	versions  map[string][]string // versions of each resource by name, in the order of the changes
}

func (s *recordingSink) Changed(changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		s.count++
		s.resources[change.Type.Short()+" "+change.Name] = change.Resource
		s.versions[change.Name] = append(s.versions[change.Name], change.Version)
	}
}

func (s *recordingSink) get(name string) Resource {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resources[name]
}

// startControlPlane starts a control plane that is stopped at the end of the test.
func startControlPlane(t *testing.T) *controlplane.Server {
	t.Helper()
	server, err := controlplane.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return server
}

// startClient runs a client until the end of the test. If configure is not nil, it changes the default options.
func startClient(t *testing.T, configure func(*ClientOptions), servers ...string) (*Client, *recordingSink) {
	t.Helper()
	start := time.Now()
	options := ClientOptions{Servers: servers, ConnectTimeout: testbed.WaitTimeout, BackoffBase: 5 * time.Millisecond, MaxBackoff: 20 * time.Millisecond,
		Keepalive: time.Minute, MaxMessageBytes: 16 << 20, Now: func() time.Duration { return time.Since(start) + 1 }, Log: slog.New(slog.DiscardHandler),
		Options: Options{Clusters: true, Node: Node("gw", "c", "z")}}
	if configure != nil {
		configure(&options)
	}
	sink := &recordingSink{resources: map[string]Resource{}, versions: map[string][]string{}}
	client := NewClient(options, sink)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		testbed.Receive(t, "the end of the client's Run", done)
	})
	return client, sink
}

// awaitRequest waits for a request that matches, beginning with request number from. It returns the request and its number.
func awaitRequest(t *testing.T, server *controlplane.Server, from int, matches func(controlplane.Request) bool) (controlplane.Request, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testbed.WaitTimeout)
	defer cancel()
	request, index, err := server.Await(ctx, from, matches)
	if err != nil {
		t.Fatal(err)
	}
	return request, index
}

func push(t *testing.T, server *controlplane.Server, version string, resources ...controlplane.Resource) {
	t.Helper()
	if _, err := server.Push(version, false, resources...); err != nil {
		t.Fatal(err)
	}
}

func endpointsResource(name string, addresses ...string) controlplane.Resource {
	var endpoints []controlplane.Endpoint
	for _, address := range addresses {
		endpoints = append(endpoints, controlplane.Endpoint{Addr: address, Zone: "z"})
	}
	return controlplane.Resource{Name: name, Body: controlplane.Assignment(name, endpoints...)}
}

func clusterResource(name string) controlplane.Resource {
	return controlplane.Resource{Name: name, Body: controlplane.Cluster(name, "")}
}

// forBothVariants runs a test with the state-of-the-world and the incremental variant of the protocol.
func forBothVariants(t *testing.T, test func(t *testing.T, delta bool)) {
	for _, delta := range []bool{false, true} {
		t.Run(fmt.Sprint("delta=", delta), func(t *testing.T) { test(t, delta) })
	}
}

// The control plane disconnects and comes back with an older version and a smaller list, then sends other contents under the
// same version, and then an empty list under an older version. The client must always use the last response, and must keep
// using it while the control plane is disconnected.
func TestControlPlaneRestarts(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		testbed.Leaks(t)
		server := startControlPlane(t)
		push(t, server, "5", clusterResource("a"), clusterResource("b"), endpointsResource("a", "127.0.0.1:1", "127.0.0.1:2"), endpointsResource("b", "127.0.0.1:3"))
		client, sink := startClient(t, func(options *ClientOptions) { options.Delta = delta }, server.Addr)
		count := func(name string) int {
			assignment, _ := sink.get("endpoints " + name).Value.(*Assignment)
			if assignment == nil {
				return -1
			}
			return len(assignment.Endpoints)
		}
		testbed.Eventually(t, "the first endpoint list", func() bool { return count("a") == 2 && count("b") == 1 })
		if connection := client.Connection(); connection.Server != server.Addr || connection.LastResponseAt == 0 || connection.Streams != 1 {
			t.Errorf("Connection() = %+v, want server %s, a response and 1 stream", connection, server.Addr)
		}
		server.Stop()
		testbed.Eventually(t, "Connection to report the lost connection", func() bool {
			connection := client.Connection()
			return connection.Server == "" && connection.LastError != ""
		})
		if count("a") != 2 || len(client.Resources(EndpointType)) != 2 {
			t.Error("resources were lost with the connection")
		}
		server.ClearAll()
		push(t, server, "3", clusterResource("a"), endpointsResource("a", "127.0.0.1:2"))
		if err := server.Restart(); err != nil {
			t.Fatal(err)
		}
		testbed.Eventually(t, "the older, smaller list", func() bool { return count("a") == 1 && sink.get("cluster b").State == Absent })
		if !delta {
			request, _ := awaitRequest(t, server, 0, func(request controlplane.Request) bool {
				return request.Stream == 2 && request.Type() == string(ClusterType)
			})
			if request.SotW.GetVersionInfo() != "5" || request.SotW.GetResponseNonce() != "" {
				t.Errorf("first cluster request of the new stream = %v, want version 5 and no nonce", request.SotW)
			}
			// In the incremental variant, a resource with an unchanged version is not sent again.
			push(t, server, "3", endpointsResource("a", "127.0.0.1:7", "127.0.0.1:8", "127.0.0.1:9"))
			testbed.Eventually(t, "other contents under the same version", func() bool { return count("a") == 3 })
		}
		push(t, server, "2", endpointsResource("a"))
		testbed.Eventually(t, "the empty list", func() bool { return count("a") == 0 })
	})
}

// Control planes are tried in order. After a stream has ended, the client starts again with the first one.
func TestServersAreTriedInOrder(t *testing.T) {
	testbed.Leaks(t)
	first, second := startControlPlane(t), startControlPlane(t)
	push(t, first, "1", clusterResource("a"))
	push(t, second, "2", clusterResource("b"))
	first.Stop()
	client, sink := startClient(t, nil, first.Addr, second.Addr)
	testbed.Eventually(t, "the resource of the second control plane", func() bool { return sink.get("cluster b").State == Received })
	if err := first.Restart(); err != nil {
		t.Fatal(err)
	}
	second.Stop()
	testbed.Eventually(t, "the resource of the first control plane", func() bool {
		return sink.get("cluster a").State == Received && client.Connection().Server == first.Addr
	})
	testbed.Eventually(t, "the resource of the second control plane to be withdrawn", func() bool { return sink.get("cluster b").State == Absent })
}

// A message that exceeds MaxMessageBytes ends the stream, but the resources stay in use and the client reconnects.
func TestOversizedMessageEndsStream(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		testbed.Leaks(t)
		server := startControlPlane(t)
		push(t, server, "1", clusterResource("a"), endpointsResource("a", "127.0.0.1:1"))
		client, sink := startClient(t, func(options *ClientOptions) { options.MaxMessageBytes, options.Delta = 20<<10, delta }, server.Addr)
		testbed.Eventually(t, "the first endpoint list", func() bool { return sink.get("endpoints a").State == Received })
		var addresses []string
		for i := range 1000 {
			addresses = append(addresses, fmt.Sprint("127.0.0.1:", i+1))
		}
		push(t, server, "2", endpointsResource("a", addresses...))
		testbed.Eventually(t, "a reconnection after the oversized message", func() bool { return client.Connection().Streams > 2 })
		if resource := sink.get("endpoints a"); resource.Version != "1" {
			t.Errorf("version in use after the oversized message = %q, want 1", resource.Version)
		}
		push(t, server, "3", endpointsResource("a", "127.0.0.1:2"))
		testbed.Eventually(t, "a list within the limit", func() bool { return sink.get("endpoints a").Version == "3" })
	})
}

// With 10,000 endpoints and updates sent as fast as possible, the last update is used, and Changed is called in the order of
// the versions.
func TestManyEndpointsWithRapidUpdates(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		testbed.Leaks(t)
		server := startControlPlane(t)
		_, sink := startClient(t, func(options *ClientOptions) { options.Delta = delta }, server.Addr)
		var endpoints []controlplane.Endpoint
		for i := range 10000 {
			endpoints = append(endpoints, controlplane.Endpoint{Addr: fmt.Sprintf("127.1.%d.%d:80", i/250, i%250+1), Zone: fmt.Sprint("z", i%3)})
		}
		push(t, server, "0", clusterResource("a"), controlplane.Resource{Name: "a", Body: controlplane.Assignment("a", endpoints...)})
		testbed.Eventually(t, "all endpoints", func() bool {
			assignment, _ := sink.get("endpoints a").Value.(*Assignment)
			return assignment != nil && len(assignment.Endpoints) == 10000
		})
		const updates = 500
		for i := 1; i <= updates; i++ {
			push(t, server, fmt.Sprintf("%04d", i), endpointsResource("a", fmt.Sprint("127.0.0.1:", i)))
		}
		testbed.Eventually(t, "the last update", func() bool { return sink.get("endpoints a").Version == fmt.Sprintf("%04d", updates) })
		sink.mu.Lock()
		defer sink.mu.Unlock()
		newest := ""
		for _, version := range sink.versions["a"] {
			if version != "" && version < newest {
				t.Fatalf("Changed: got version %s after version %s, want increasing versions", version, newest)
			}
			newest = max(newest, version)
		}
	})
}

// While a control plane stalls, its resources stay in use. Subscriptions that are made during the stall are sent afterwards.
func TestStalledControlPlane(t *testing.T) {
	testbed.Leaks(t)
	server := startControlPlane(t)
	push(t, server, "1", endpointsResource("a", "127.0.0.1:1"), endpointsResource("b", "127.0.0.1:2"))
	client, sink := startClient(t, func(options *ClientOptions) { options.Clusters, options.Services = false, []string{"a"} }, server.Addr)
	testbed.Eventually(t, "the first endpoint list", func() bool { return sink.get("endpoints a").State == Received })
	server.Stall()
	client.Subscribe([]string{"a", "b"}, nil)
	testbed.Eventually(t, "the subscription to be applied", func() bool { return len(client.Resources(EndpointType)) == 2 })
	server.Resume()
	testbed.Eventually(t, "the second endpoint list", func() bool { return sink.get("endpoints b").State == Received })
	client.Subscribe([]string{"b"}, nil)
	testbed.Eventually(t, "the first endpoint list to be removed", func() bool { return sink.get("endpoints a").State == Absent })
}

// Guards against long pauses behind streams that broke after a long time in which nothing had changed.
func TestQuietStreamsDoNotLengthenTheBackoff(t *testing.T) {
	testbed.Leaks(t)
	const base, most = 20 * time.Millisecond, 400 * time.Millisecond
	server := startControlPlane(t)
	startClient(t, func(options *ClientOptions) {
		options.Delta, options.BackoffBase, options.MaxBackoff = true, base, most
	}, server.Addr)
	server.SetMuted(true)
	for range 7 {
		testbed.Eventually(t, "a stream", func() bool { open, _ := server.Streams(); return open == 1 })
		time.Sleep(most + 50*time.Millisecond)
		server.Stop()
		if err := server.Restart(); err != nil {
			t.Fatal(err)
		}
		restartedAt := time.Now()
		testbed.Eventually(t, "the next stream", func() bool { open, _ := server.Streams(); return open == 1 })
		if took := time.Since(restartedAt); took > most/2 {
			t.Errorf("the next stream was opened after %v, want about %v", took, base)
		}
	}
}

// Resources time out even if no control plane is connected, so that client requests do not wait for them indefinitely.
func TestFetchTimeoutWithoutControlPlane(t *testing.T) {
	testbed.Leaks(t)
	client, sink := startClient(t, func(options *ClientOptions) {
		options.Services, options.FetchTimeout = []string{"a"}, 20*time.Millisecond
	}, testbed.RefusingAddress(t), testbed.RefusingAddress(t))
	client.Subscribe([]string{"a", "b"}, nil)
	testbed.Eventually(t, "both resources to become absent", func() bool {
		return sink.get("endpoints a").State == Absent && sink.get("endpoints b").State == Absent
	})
	if connection := client.Connection(); connection.Streams != 0 || connection.LastError == "" {
		t.Errorf("Connection() = %+v, want 0 streams and an error", connection)
	}
}

// A NACK contains the reason for the rejection, and Summaries counts the rejected response.
func TestNACKCarriesReason(t *testing.T) {
	forBothVariants(t, func(t *testing.T, delta bool) {
		testbed.Leaks(t)
		server := startControlPlane(t)
		push(t, server, "1", clusterResource("a"), endpointsResource("a", "127.0.0.1:1"))
		client, sink := startClient(t, func(options *ClientOptions) { options.Delta = delta }, server.Addr)
		testbed.Eventually(t, "the first endpoint list", func() bool { return sink.get("endpoints a").State == Received })
		push(t, server, "2", controlplane.Resource{Name: "a", Body: controlplane.Assignment("a", controlplane.Endpoint{Addr: "127.0.0.1:0", Health: corev3.HealthStatus_HEALTHY})})
		received, _ := awaitRequest(t, server, 0, func(received controlplane.Request) bool { return received.Error() != "" })
		if !strings.Contains(received.Error(), "0 is not a port") || !delta && received.SotW.GetVersionInfo() != "1" {
			t.Errorf("NACK = %v, want an error about port 0 and version 1", received)
		}
		if received := sink.get("endpoints a"); received.Version != "1" || received.State != Received || received.RejectedReason == "" {
			t.Errorf("resource after the NACK = %+v, want version 1 received, with a reason of rejection", received)
		}
		for _, summary := range client.Summaries() {
			if summary.Type == EndpointType && (summary.Rejected != 1 || summary.LastError == "") {
				t.Errorf("summary of the endpoints = %+v, want 1 rejected response and an error", summary)
			}
		}
	})
}

// Run returns immediately when its context ends while the client connects.
func TestRunEndsWhileConnecting(t *testing.T) {
	testbed.Leaks(t)
	server := startControlPlane(t)
	push(t, server, "1", clusterResource("a"), endpointsResource("a", "127.0.0.1:1"))
	for i := range 50 {
		options := ClientOptions{Servers: []string{server.Addr}, ConnectTimeout: testbed.WaitTimeout, BackoffBase: time.Millisecond, MaxBackoff: time.Millisecond,
			Keepalive: time.Minute, MaxMessageBytes: 1 << 20, Now: func() time.Duration { return 1 }, Log: slog.New(slog.DiscardHandler), Options: Options{Clusters: true}}
		client := NewClient(options, &recordingSink{resources: map[string]Resource{}, versions: map[string][]string{}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			client.Run(ctx)
			close(done)
		}()
		if i%2 == 0 {
			testbed.Eventually(t, "a stream to be opened", func() bool { return client.Connection().Streams > 0 })
		}
		cancel()
		testbed.Receive(t, "the end of Run", done)
	}
}
