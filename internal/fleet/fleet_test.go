package fleet

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/membership"
	"robindrum/internal/peer"
	"robindrum/internal/testbed"
)

// A fleet of one process votes, leads its task, serves the operators' interface, and leaks no goroutines. The fencing token rises
// after a restart, and when a revoked lease is granted again.
func TestSingleProcessFleet(t *testing.T) {
	testbed.Leaks(t)
	var token atomic.Value
	receiver := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { token.Store(r.Header.Get(TokenHeader)) }))
	defer receiver.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	conf := &config.Fleet{Name: "f", Member: "a", Address: addr, Advertise: addr, Seeds: []string{addr}, ProbeInterval: config.Duration(50 * time.Millisecond), ForgetAfter: config.Duration(time.Minute),
		LeaseLength: config.Duration(400 * time.Millisecond),
		Quorum:      config.Quorum{Voters: []config.Voter{{Name: "a", Address: addr}}, Directory: t.TempDir(), ElectionTimeout: config.Duration(50 * time.Millisecond), MaxBytes: 8 << 20},
		Posts:       []config.PostTask{{Name: "p", URL: receiver.URL, Interval: config.Duration(10 * time.Millisecond), Timeout: config.Duration(time.Second)}}}
	lastToken := ""
	for range 2 {
		f, err := New(conf, "z", "v", membership.Joining, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		f.Start()
		testbed.Eventually(t, "a request with a higher token", func() bool { s, _ := token.Load().(string); return s > lastToken })
		lastToken = token.Load().(string)
		f.Announce(membership.Serving, "w")
		admin := httptest.NewServer(f.Handler())
		resp, err := http.Get(admin.URL + "/fleet")
		if err != nil {
			t.Fatal(err)
		}
		var status Status
		if err := json.NewDecoder(resp.Body).Decode(&status); err != nil || len(status.Members) != 1 || status.Members[0].State != membership.Serving || status.Vote.State != "leader" || status.Tasks[0].Token == 0 || status.Stale != "" {
			t.Errorf("GET /fleet: got %+v, error %v, want one serving member, voter state leader, a task with a token and no Stale text", status, err)
		}
		resp.Body.Close()
		if resp, err = http.Post(admin.URL+"/fleet/revoke?lease=post/p", "", nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("POST /fleet/revoke of a lease: got response %v, error %v, want status 200", resp, err)
		}
		resp.Body.Close()
		testbed.Eventually(t, "a higher token after the revocation", func() bool { return token.Load().(string) > lastToken })
		if resp, err = http.Post(admin.URL+"/fleet/revoke?lease=none", "", nil); err != nil || resp.StatusCode == http.StatusOK {
			t.Errorf("POST /fleet/revoke of an unknown lease: got response %v, error %v, want another status than 200", resp, err)
		}
		resp.Body.Close()
		admin.Close()
		http.DefaultClient.CloseIdleConnections()
		f.Drain()
		f.Stop(100 * time.Millisecond)
		lastToken = token.Load().(string)
	}
}

// A node rejects the streams and calls of another fleet, and serves those of its own.
func TestOtherFleetsAreRejected(t *testing.T) {
	testbed.Leaks(t)
	listen := func(name string) *peer.Node {
		node, err := peer.Listen(peer.Options{Fleet: name, Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		node.Serve()
		t.Cleanup(node.Close)
		return node
	}
	server, otherFleet, client := listen("one"), listen("two"), listen("one")
	server.HandleStream("x", func(http.Header) (http.Header, error) { return http.Header{"Hello": {"you"}}, nil }, func(client net.Conn) { _, _ = client.Write([]byte("!")); client.Close() })
	if _, _, err := otherFleet.Stream(t.Context(), server.Addr(), "x", http.Header{}); err == nil {
		t.Error("Stream from a node of another fleet: got no error, want a rejection")
	}
	if err := otherFleet.Call(t.Context(), server.Addr(), "/fleet/v1/x", 1, nil); err == nil {
		t.Error("Call from a node of another fleet: got no error, want a rejection")
	}
	stream, header, err := client.Stream(t.Context(), server.Addr(), "x", http.Header{})
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1)
	if _, err := stream.Read(buf); err != nil || buf[0] != '!' || header.Get("Hello") != "you" {
		t.Errorf("stream within a fleet: got data %q, header %v, error %v, want data \"!\" and Hello: you", buf, header, err)
	}
	stream.Close()
}
