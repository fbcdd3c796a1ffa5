package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/testbed"
)

func targetEntry(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:8081","az":"a","model":"m2","pod_group":3,"state":%q,"capacity_hint":1.5,"boot_ms":1000}`, uid, state)
}

func listLine(rev int, all bool, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(entries, ","))
}

func TestParse(t *testing.T) {
	rev, u, err := Parse([]byte(listLine(41, true, targetEntry("s1", "SERVING"), targetEntry("s2", "DRAINING"))))
	if err != nil || rev != 41 || u.Kind != balancer.UpdateSnapshot {
		t.Fatalf("Parse = %d, %+v, %v; want revision 41 and a snapshot", rev, u, err)
	}
	want := balancer.Server{ID: "s1", Zone: "a", Kind: "m2", Cell: 3, State: balancer.Running, Weight: 1.5, Since: time.Second}
	if u.Servers[0] != want || u.Servers[1].State != balancer.Draining || u.Endpoints["s2"] != "127.0.0.1:8081" {
		t.Errorf("Parse = %+v, want first server %+v, s2 draining at 127.0.0.1:8081", u, want)
	}
	if _, u, err := Parse([]byte(`{"rev":1,"targets":[{"uid":"x","state":"DELETED"}]}`)); err != nil || u.Servers[0].State != balancer.Removed {
		t.Errorf("Parse of a DELETED target = %+v, %v; want state %v", u, err, balancer.Removed)
	}
	for _, invalid := range []string{"", "{", "[]", "null", `{"rev":1}`, `{"targets":[]}`, `{"rev":-1,"targets":[]}`, `{"rev":1,"targets":7}`,
		listLine(1, true, targetEntry("s1", "SERVING"), targetEntry("s2", "ODD")), listLine(1, true, targetEntry("", "SERVING")),
		`{"rev":1,"targets":[{"uid":"x","state":"SERVING"}]}`, `{"rev":1,"targets":[{"uid":"x","state":"SERVING","endpoint":"nowhere"}]}`} {
		if _, _, err := Parse([]byte(invalid)); err == nil {
			t.Errorf("Parse(%s) succeeded, want an error", invalid)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(listLine(1, true, targetEntry("a", "SERVING"))))
	f.Add([]byte(listLine(2, false, targetEntry("a", "DELETED"))))
	f.Add([]byte(`{"rev":1,"targets":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, u, err := Parse(text)
		if err != nil {
			return
		}
		for _, s := range u.Servers {
			if _, ok := u.Endpoints[s.ID]; s.ID == "" || s.Since < 0 || s.State != balancer.Removed && !ok {
				t.Errorf("Parse: got server %+v, want an ID, a Since of at least 0 and an address", s)
			}
		}
	})
}

// call is one call of the client to the fake discovery service. Its methods write parts of the response.
type call struct {
	uri  string
	conn net.Conn
}

func (c call) writeChunk(text string) { fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(text), text) }

func (c call) writeHead() {
	_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// harness is a client together with the fake discovery service that it calls.
type harness struct {
	*Client
	addr    string
	calls   chan call
	updates chan Update
}

// startHarness starts a client with a cached list; shorten, if not nil, changes its timeouts before.
func startHarness(t *testing.T, pushed bool, cached string, shorten func(*Client)) *harness {
	t.Helper()
	h := &harness{calls: make(chan call, 9), updates: make(chan Update, 99)}
	done := make(chan struct{})
	peer := testbed.NewPeer(t, func(c net.Conn, _ int) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		h.calls <- call{req.RequestURI, c}
		<-done
	})
	t.Cleanup(func() { close(done) })
	h.addr = peer.Addr
	h.Client = New(peer.Addr, pushed, func(u Update) { h.updates <- u })
	if shorten != nil {
		shorten(h.Client)
	}
	t.Cleanup(h.Stop)
	if err := h.Start([]byte(cached)); err != nil {
		t.Fatal(err)
	}
	if u := h.next(t); u.Kind != balancer.UpdateCached {
		t.Fatalf("first update is %+v, want kind %v", u, balancer.UpdateCached)
	}
	return h
}

// next waits for the next update.
func (h *harness) next(t *testing.T) Update {
	t.Helper()
	return testbed.Receive(t, "an update", h.updates)
}

// expect checks the kind of the next update and the IDs of its servers.
func (h *harness) expect(t *testing.T, kind balancer.UpdateKind, ids ...string) {
	t.Helper()
	u := h.next(t)
	var got []string
	for _, s := range u.Servers {
		got = append(got, s.ID)
	}
	if u.Kind != kind || !reflect.DeepEqual(got, ids) {
		t.Errorf("update has kind %d, servers %v; want kind %d, servers %v", u.Kind, got, kind, ids)
	}
}

func TestWatch(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, listLine(7, true, targetEntry("s1", "SERVING")), nil)
	h.Watch(true)
	c := testbed.Receive(t, "a call", h.calls)
	if c.uri != "/registry/instances?watch=1&after=7" {
		t.Errorf("watch called %s, want after=7", c.uri)
	}
	c.writeHead()
	c.writeChunk(listLine(8, false, targetEntry("s2", "SERVING")) + "\n")
	h.expect(t, balancer.UpdateDelta, "s2")
	text := listLine(9, false, targetEntry("s3", "SERVING"), targetEntry("s2", "DELETED")) + "\n" // split into chunks, after an empty line
	c.writeChunk("\n" + text[:20])
	c.writeChunk(text[20:])
	h.expect(t, balancer.UpdateDelta, "s3", "s2")
	long := listLine(10, true, targetEntry("s"+strings.Repeat("x", 100<<10), "SERVING")) + "\n"
	c.writeChunk("\r\n" + long + listLine(11, false) + "\n")
	if u := h.next(t); u.Kind != balancer.UpdateSnapshot || len(u.Servers) != 1 {
		t.Errorf("long line: update has kind %d, %d servers; want kind %d, 1", u.Kind, len(u.Servers), balancer.UpdateSnapshot)
	}
	h.expect(t, balancer.UpdateDelta)
	c.writeChunk(listLine(5, false, targetEntry("old", "SERVING")) + "\n") // an older revision than the known one ends the watch
	h.expect(t, balancer.UpdateFailed)
	h.Watch(true)
	c = testbed.Receive(t, "a call", h.calls)
	if c.uri != "/registry/instances?watch=1&after=11" {
		t.Errorf("next watch called %s, want after=11", c.uri)
	}
	c.writeHead()
	c.writeChunk("{nonsense\n" + listLine(12, false, targetEntry("s4", "SERVING")) + "\n") // an invalid line ends the watch; later lines are ignored
	h.expect(t, balancer.UpdateFailed)
	h.Watch(true)
	c = testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	c.writeChunk(listLine(12, false)[:9]) // the connection closes within a line
	c.conn.Close()
	h.expect(t, balancer.UpdateFailed)
	h.Watch(true)
	c = testbed.Receive(t, "a call", h.calls)
	_, _ = io.WriteString(c.conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	h.expect(t, balancer.UpdateFailed)
	h.Watch(true)
	testbed.Receive(t, "a call", h.calls)
	h.Watch(true) // replaces the pending watch, which is not reported as a failure
	c = testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	c.writeChunk(listLine(12, false) + "\n")
	h.expect(t, balancer.UpdateDelta)
	h.Watch(false)
	testbed.Eventually(t, "the watch to end", func() bool { _, err := c.conn.Write([]byte("1\r\n\n\r\n")); return err != nil })
	if len(h.updates) != 0 {
		t.Errorf("Watch(false) delivered update %+v, want none", h.next(t))
	}
}

func TestFetch(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, "null", nil)
	h.Fetch()
	c := testbed.Receive(t, "a call", h.calls)
	if c.uri != "/registry/instances" {
		t.Errorf("Fetch called %s, want no query", c.uri)
	}
	text := listLine(3, true, targetEntry("s1", "SERVING"))
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	h.expect(t, balancer.UpdateSnapshot, "s1")
	h.Fetch()
	c = testbed.Receive(t, "a call", h.calls)
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text)+1, text)
	c.conn.Close()
	h.expect(t, balancer.UpdateFailed)
}

// A service behind a network partition sends nothing. A watch without lines, not even empty ones, fails.
func TestSilentWatch(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, "", func(c *Client) { c.firstLineTimeout, c.silenceTimeout = 50*time.Millisecond, 50*time.Millisecond })
	h.Watch(true)
	c := testbed.Receive(t, "a call", h.calls)
	if c.uri != "/registry/instances?watch=1" {
		t.Errorf("watch called %s, want no revision", c.uri)
	}
	h.expect(t, balancer.UpdateFailed) // no response
	h.Watch(true)
	c = testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	c.writeChunk(listLine(1, true, targetEntry("s1", "SERVING")) + "\n")
	h.expect(t, balancer.UpdateSnapshot, "s1")
	h.expect(t, balancer.UpdateFailed) // no further line
}

func TestPushedList(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, true, listLine(7, true), func(c *Client) { c.minRetryPause = time.Millisecond })
	h.Watch(true) // has no effect on a pushed list
	for range 2 {
		c := testbed.Receive(t, "a call", h.calls)
		if c.uri != "/registry/instances?watch=1&after=7" {
			t.Errorf("watch called %s, want after=7", c.uri)
		}
		c.conn.Close()
	}
	c := testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	c.writeChunk(listLine(8, true, targetEntry("s1", "SERVING")) + "\n")
	h.expect(t, balancer.UpdateSnapshot, "s1")
	c.conn.Close()
	if c := testbed.Receive(t, "a call", h.calls); c.uri != "/registry/instances?watch=1&after=8" {
		t.Errorf("next watch called %s, want after=8", c.uri)
	}
	if len(h.updates) != 0 {
		t.Errorf("got update %+v, want none: interrupted watches of a pushed list are not reported", h.next(t))
	}
}

// Move closes the connections to the previous address at once and requests a full snapshot from the new one.
func TestMove(t *testing.T) {
	testbed.Leaks(t)
	for _, pushed := range []bool{false, true} {
		previous := startHarness(t, pushed, listLine(7, true, targetEntry("s1", "SERVING")), nil)
		next := startHarness(t, false, "", nil) // only its listener is used
		previous.Watch(true)
		c := testbed.Receive(t, "a call", previous.calls)
		c.writeHead()
		c.writeChunk(listLine(8, false, targetEntry("s2", "SERVING")) + "\n")
		previous.expect(t, balancer.UpdateDelta, "s2")
		previous.Move(next.addr)
		testbed.Eventually(t, "the old watch to end", func() bool { _, err := c.conn.Write([]byte("1\r\n\n\r\n")); return err != nil })
		c = testbed.Receive(t, "a call at the new address", next.calls)
		if c.uri != "/registry/instances?watch=1" {
			t.Errorf("pushed %v: watch at the new address called %s, want no revision", pushed, c.uri)
		}
		c.writeHead()
		c.writeChunk(listLine(3, true, targetEntry("s3", "SERVING")) + "\n") // lower than at the previous address
		previous.expect(t, balancer.UpdateSnapshot, "s3")
		if len(previous.updates) != 0 || len(previous.calls) != 0 {
			t.Errorf("pushed %v: %d more updates and %d more calls to the previous address after Move, want 0", pushed, len(previous.updates), len(previous.calls))
		}
	}
}

func TestInvalidCachedList(t *testing.T) {
	testbed.Leaks(t)
	updates := make(chan Update, 1)
	c := New("127.0.0.1:1", false, func(u Update) { updates <- u })
	defer c.Stop()
	if err := c.Start([]byte(`{"rev":1,"targets":[{"uid":"x","state":"ODD"}]}`)); err == nil {
		t.Error("Start with an invalid cached list succeeded, want an error")
	}
	if u := <-updates; u.Kind != balancer.UpdateCached || len(u.Servers) != 0 {
		t.Errorf("first update is %+v, want kind %v without servers", u, balancer.UpdateCached)
	}
}

// Guards against sends to a server whose drain was written, in a whole line or a part, as the node moved to another address.
func TestLineWrittenBeforeMoveIsDelivered(t *testing.T) {
	testbed.Leaks(t)
	for i := range 30 {
		previous := startHarness(t, false, listLine(7, true, targetEntry("s1", "SERVING")), nil)
		next := startHarness(t, false, "", nil) // only its listener is used
		previous.Watch(true)
		c := testbed.Receive(t, "a call", previous.calls)
		c.writeHead()
		c.writeChunk(listLine(8, false) + "\n")
		previous.expect(t, balancer.UpdateDelta)
		if i%2 == 0 {
			c.writeChunk(listLine(9, false, targetEntry("s1", "DRAINING")) + "\n")
			previous.Move(next.addr)
		} else {
			previous.Move(next.addr)
			c.writeChunk(listLine(9, false, targetEntry("s1", "DRAINING"), targetEntry("s2", "SERVING"))[:200])
			c.conn.Close()
		}
		testbed.Receive(t, "a call at the new address", next.calls)
		select {
		case <-previous.updates:
		case <-time.After(200 * time.Millisecond):
			t.Fatal("the line was dropped")
		}
	}
}

// Guards against calls of all nodes at once after a new configuration that names the current address.
func TestMoveToTheCurrentAddressKeepsTheWatch(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, listLine(7, true, targetEntry("s1", "SERVING")), nil)
	h.Watch(true)
	c := testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	c.writeChunk(listLine(8, false) + "\n")
	h.expect(t, balancer.UpdateDelta)
	h.Move(h.addr)
	c.writeChunk(listLine(9, false, targetEntry("s1", "DRAINING")) + "\n")
	h.expect(t, balancer.UpdateDelta, "s1")
	if len(h.calls) != 0 {
		t.Error("the list was called for again")
	}
}
