package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/backend"
	"robindrum/internal/discovery"
	"robindrum/internal/testbed"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// testNode is a Node that serves on a loopback listener.
type testNode struct {
	*Node
	addr     string
	budget   *backend.Budget
	listener net.Listener
	served   chan struct{} // closed when Serve has returned
}

// startNode starts a node whose endpoints, all in one zone and cell, have the given addresses. configure may change the options.
// Without addresses the node has no endpoint list yet, so that requests wait.
func startNode(t *testing.T, configure func(*Options), addrs ...string) *testNode {
	t.Helper()
	settings := balancer.Settings{Zone: "a", Zones: []string{"a"}, Proxies: 1, MaxAttempts: 3, MayCancel: true,
		Classes: []balancer.Class{
			{Name: "get", Deadline: testbed.WaitTimeout, Effect: balancer.Idempotent, PriorityWeight: 1},
			{Name: "brief", Deadline: 50 * time.Millisecond, Effect: balancer.Idempotent, PriorityWeight: 1},
			{Name: "put", Deadline: testbed.WaitTimeout, Effect: balancer.IdempotentWithKey, Group: balancer.GroupCell, Window: time.Minute, PriorityWeight: 1},
			{Name: "post", Deadline: testbed.WaitTimeout, Effect: balancer.NonIdempotent, PriorityWeight: 1},
		}}
	node := &testNode{budget: backend.NewBudget(64), served: make(chan struct{})}
	opt := Options{Settings: settings, Seed: 1, BodyBytes: 64 << 20, Budget: node.budget}
	if configure != nil {
		configure(&opt)
		node.budget = opt.Budget
	}
	pool := backend.NewPool(backend.Options{ConnectTimeout: testbed.WaitTimeout, IdleTimeout: time.Hour}, node.budget)
	var err error
	if node.Node, err = New(opt, pool); err != nil {
		t.Fatal(err)
	}
	if node.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	node.addr = node.listener.Addr().String()
	node.list(addrs...)
	go func() {
		node.Serve(node.listener)
		close(node.served)
	}()
	t.Cleanup(func() {
		node.stopping.Store(true)
		node.listener.Close()
		testbed.Receive(t, "the return of Serve", node.served)
		node.Close()
		node.conns.awaitEmpty()
	})
	return node
}

// list applies an endpoint list of servers s0, s1 and so on with the given addresses.
func (node *testNode) list(addrs ...string) {
	update := discovery.Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateSnapshot}, Endpoints: map[string]string{}}
	if len(addrs) == 0 { // an empty cached list leaves requests waiting
		update.Kind = balancer.UpdateCached
	}
	for i, addr := range addrs {
		id := fmt.Sprint("s", i)
		update.Servers = append(update.Servers, balancer.Server{ID: id, Zone: "a", Weight: 1})
		update.Endpoints[id] = addr
	}
	node.UpdateEndpoints(update)
}

// pending returns the number of requests that are unanswered or have attempts running.
func (node *testNode) pending() int {
	node.mu.Lock()
	defer node.mu.Unlock()
	return len(node.requests)
}

// clientConn is the client's side of a connection.
type clientConn struct {
	net.Conn
	r    *bufio.Reader
	node *testNode
}

func (node *testNode) dial(t *testing.T) *clientConn {
	t.Helper()
	c, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testbed.WaitTimeout))
	t.Cleanup(func() { c.Close() })
	return &clientConn{c, bufio.NewReader(c), node}
}

var lastTraceID atomic.Int64

// requestHead returns the head of a request with the given additional header fields. It adds a new X-Trace-Id unless fields has
// one; the field "X-Trace-Id" without a value leaves the header out.
func requestHead(method, class string, fields ...string) string {
	text := method + " /" + class + "/x?obj=7 HTTP/1.1\r\nHost: api.internal\r\nX-Qos: " + class + "\r\n"
	if !strings.Contains(strings.Join(fields, "\n"), "X-Trace-Id") {
		fields = append(fields, fmt.Sprint("X-Trace-Id: t", lastTraceID.Add(1)))
	}
	for _, field := range fields {
		if field != "X-Trace-Id" {
			text += field + "\r\n"
		}
	}
	return text + "\r\n"
}

func (c *clientConn) send(text string) { _, _ = io.WriteString(c, text) }

// readAnswer reads an answer and returns its status, body and header.
func (c *clientConn) readAnswer(t *testing.T) (int, string, http.Header) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("reading the answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("reading the body of the answer: %v", err)
	}
	if resp.Close {
		resp.Header.Set("Connection", "close") // net/http removes it
	}
	return resp.StatusCode, string(body), resp.Header
}

// isClosed waits for the next byte and reports whether the connection was closed instead.
func (c *clientConn) isClosed() bool {
	_, err := c.r.ReadByte()
	return err != nil
}

func mustParseURL(text string) *url.URL {
	u, err := url.ParseRequestURI(text)
	if err != nil {
		panic(err)
	}
	return u
}
