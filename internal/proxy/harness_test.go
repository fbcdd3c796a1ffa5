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

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

type world struct {
	*Node
	addr   string
	budget *backend.Budget
	l      net.Listener
	served chan struct{}
}

// start runs a node in front of backends at the given addresses, all of one zone and cell.
func start(t *testing.T, shape func(*Options), addrs ...string) *world {
	t.Helper()
	s := balancer.Settings{Zone: "a", Zones: []string{"a"}, Proxies: 1, MaxAttempts: 3, MayCancel: true,
		Classes: []balancer.Class{
			{Name: "get", Deadline: testbed.WaitTimeout, Effect: balancer.Idempotent, PriorityWeight: 1},
			{Name: "brief", Deadline: 50 * time.Millisecond, Effect: balancer.Idempotent, PriorityWeight: 1},
			{Name: "put", Deadline: testbed.WaitTimeout, Effect: balancer.IdempotentWithKey, Group: balancer.GroupCell, Window: time.Minute, PriorityWeight: 1},
			{Name: "post", Deadline: testbed.WaitTimeout, Effect: balancer.NonIdempotent, PriorityWeight: 1},
		}}
	w := &world{budget: backend.NewBudget(64), served: make(chan struct{})}
	opt := Options{Settings: s, Seed: 1, BodyBytes: 64 << 20, Budget: w.budget}
	if shape != nil {
		shape(&opt)
		w.budget = opt.Budget
	}
	pool := backend.NewPool(backend.Options{ConnectTimeout: testbed.WaitTimeout, IdleTimeout: time.Hour}, w.budget)
	var err error
	if w.Node, err = New(opt, pool); err != nil {
		t.Fatal(err)
	}
	if w.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	w.addr = w.l.Addr().String()
	w.list(addrs...)
	go func() {
		w.Serve(w.l)
		close(w.served)
	}()
	t.Cleanup(func() {
		w.stopping.Store(true)
		w.l.Close()
		testbed.Receive(t, "the end of serving", w.served)
		w.Close()
		w.conns.awaitEmpty()
	})
	return w
}

func (w *world) list(addrs ...string) {
	u := discovery.Update{EndpointUpdate: balancer.EndpointUpdate{Kind: balancer.UpdateSnapshot}, Endpoints: map[string]string{}}
	if len(addrs) == 0 { // no endpoint list yet: requests wait
		u.Kind = balancer.UpdateCached
	}
	for i, a := range addrs {
		id := fmt.Sprint("s", i)
		u.Servers = append(u.Servers, balancer.Server{ID: id, Zone: "a", Weight: 1})
		u.Endpoints[id] = a
	}
	w.UpdateEndpoints(u)
}

func (w *world) held() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// peer is the client's side of a connection.
type peer struct {
	net.Conn
	r *bufio.Reader
}

func (w *world) dial(t *testing.T) *peer {
	t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testbed.WaitTimeout))
	t.Cleanup(func() { c.Close() })
	return &peer{c, bufio.NewReader(c)}
}

var ids atomic.Int64

// head returns the head of a request, with a trace ID unless one is given.
func head(method, class string, fields ...string) string {
	h := method + " /" + class + "/x?obj=7 HTTP/1.1\r\nHost: api.internal\r\nX-Qos: " + class + "\r\n"
	if !strings.Contains(strings.Join(fields, "\n"), "X-Trace-Id") {
		fields = append(fields, fmt.Sprint("X-Trace-Id: t", ids.Add(1)))
	}
	for _, f := range fields {
		if f != "X-Trace-Id" {
			h += f + "\r\n"
		}
	}
	return h + "\r\n"
}

func (c *peer) send(text string) { _, _ = io.WriteString(c, text) }

func (c *peer) answer(t *testing.T) (int, string, http.Header) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("half an answer: %v", err)
	}
	if resp.Close {
		resp.Header.Set("Connection", "close") // net/http removes it
	}
	return resp.StatusCode, string(body), resp.Header
}

func (c *peer) closed() bool {
	_, err := c.r.ReadByte()
	return err != nil
}

func mustURL(text string) *url.URL {
	u, err := url.ParseRequestURI(text)
	if err != nil {
		panic(err)
	}
	return u
}
