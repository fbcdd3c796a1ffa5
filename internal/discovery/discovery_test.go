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

func entry(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:8081","az":"a","model":"m2","pod_group":3,"state":%q,"capacity_hint":1.5,"boot_ms":1000}`, uid, state)
}

func line(rev int, all bool, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(entries, ","))
}

func TestParse(t *testing.T) {
	rev, u, err := Parse([]byte(line(41, true, entry("s1", "SERVING"), entry("s2", "DRAINING"))))
	if err != nil || rev != 41 || u.Kind != balancer.UpdateSnapshot {
		t.Fatalf("%d %+v %v", rev, u, err)
	}
	want := balancer.Server{ID: "s1", Zone: "a", Kind: "m2", Cell: 3, State: balancer.Running, Weight: 1.5, Since: time.Second}
	if u.Servers[0] != want || u.Servers[1].State != balancer.Draining || u.Endpoints["s2"] != "127.0.0.1:8081" {
		t.Errorf("%+v", u)
	}
	if _, u, err := Parse([]byte(`{"rev":1,"targets":[{"uid":"x","state":"DELETED"}]}`)); err != nil || u.Servers[0].State != balancer.Removed {
		t.Errorf("deleted: %+v %v", u, err)
	}
	for _, bad := range []string{"", "{", "[]", "null", `{"rev":1}`, `{"targets":[]}`, `{"rev":-1,"targets":[]}`, `{"rev":1,"targets":7}`,
		line(1, true, entry("s1", "SERVING"), entry("s2", "ODD")), line(1, true, entry("", "SERVING")),
		`{"rev":1,"targets":[{"uid":"x","state":"SERVING"}]}`, `{"rev":1,"targets":[{"uid":"x","state":"SERVING","endpoint":"nowhere"}]}`} {
		if _, _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(line(1, true, entry("a", "SERVING"))))
	f.Add([]byte(line(2, false, entry("a", "DELETED"))))
	f.Add([]byte(`{"rev":1,"targets":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, u, err := Parse(text)
		if err != nil {
			return
		}
		for _, s := range u.Servers {
			if _, ok := u.Endpoints[s.ID]; s.ID == "" || s.Since < 0 || s.State != balancer.Removed && !ok {
				t.Errorf("%+v has no use", s)
			}
		}
	})
}

// call is one call of the client to the fake discovery; what is written to it is sent on.
type call struct {
	uri  string
	conn net.Conn
}

func (c call) chunk(text string) { fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(text), text) }

func (c call) begin() {
	_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

type world struct {
	*Client
	addr    string
	calls   chan call
	updates chan Update
}

func start(t *testing.T, pushed bool, known string, shorten func(*Client)) *world {
	t.Helper()
	w := &world{calls: make(chan call, 9), updates: make(chan Update, 99)}
	over := make(chan struct{})
	p := testbed.NewPeer(t, func(c net.Conn, _ int) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		w.calls <- call{req.RequestURI, c}
		<-over
	})
	t.Cleanup(func() { close(over) })
	w.addr = p.Addr
	w.Client = New(p.Addr, pushed, func(u Update) { w.updates <- u })
	if shorten != nil {
		shorten(w.Client)
	}
	t.Cleanup(w.Stop)
	if err := w.Start([]byte(known)); err != nil {
		t.Fatal(err)
	}
	if u := w.next(t); u.Kind != balancer.UpdateCached {
		t.Fatalf("first came %+v", u)
	}
	return w
}

func (w *world) next(t *testing.T) Update {
	t.Helper()
	return testbed.Receive(t, "an update", w.updates)
}

func (w *world) expect(t *testing.T, kind balancer.UpdateKind, ids ...string) {
	t.Helper()
	u := w.next(t)
	var got []string
	for _, s := range u.Servers {
		got = append(got, s.ID)
	}
	if u.Kind != kind || !reflect.DeepEqual(got, ids) {
		t.Errorf("kind %d %v, want %d %v", u.Kind, got, kind, ids)
	}
}

func TestWatch(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, false, line(7, true, entry("s1", "SERVING")), nil)
	w.Watch(true)
	c := testbed.Receive(t, "a call", w.calls)
	if c.uri != "/registry/instances?watch=1&after=7" {
		t.Errorf("called %s", c.uri)
	}
	c.begin()
	c.chunk(line(8, false, entry("s2", "SERVING")) + "\n")
	w.expect(t, balancer.UpdateDelta, "s2")
	text := line(9, false, entry("s3", "SERVING"), entry("s2", "DELETED")) + "\n" // in pieces, followed by others
	c.chunk("\n" + text[:20])
	c.chunk(text[20:])
	w.expect(t, balancer.UpdateDelta, "s3", "s2")
	long := line(10, true, entry("s"+strings.Repeat("x", 100<<10), "SERVING")) + "\n"
	c.chunk("\r\n" + long + line(11, false) + "\n")
	if u := w.next(t); u.Kind != balancer.UpdateSnapshot || len(u.Servers) != 1 {
		t.Errorf("a long line: %d servers", len(u.Servers))
	}
	w.expect(t, balancer.UpdateDelta)
	c.chunk(line(5, false, entry("old", "SERVING")) + "\n") // older than what is known: not to be followed
	w.expect(t, balancer.UpdateFailed)
	w.Watch(true)
	c = testbed.Receive(t, "a call", w.calls)
	if c.uri != "/registry/instances?watch=1&after=11" {
		t.Errorf("resumed with %s", c.uri)
	}
	c.begin()
	c.chunk("{nonsense\n" + line(12, false, entry("s4", "SERVING")) + "\n") // ends the watch, and nothing else
	w.expect(t, balancer.UpdateFailed)
	w.Watch(true)
	c = testbed.Receive(t, "a call", w.calls)
	c.begin()
	c.chunk(line(12, false)[:9]) // breaks off in a line
	c.conn.Close()
	w.expect(t, balancer.UpdateFailed)
	w.Watch(true)
	c = testbed.Receive(t, "a call", w.calls)
	_, _ = io.WriteString(c.conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	w.expect(t, balancer.UpdateFailed)
	w.Watch(true)
	testbed.Receive(t, "a call", w.calls)
	w.Watch(true) // takes the place of the one that waits, which fails nobody
	c = testbed.Receive(t, "a call", w.calls)
	c.begin()
	c.chunk(line(12, false) + "\n")
	w.expect(t, balancer.UpdateDelta)
	w.Watch(false)
	testbed.Eventually(t, "the watch to end", func() bool { _, err := c.conn.Write([]byte("1\r\n\n\r\n")); return err != nil })
	if len(w.updates) != 0 {
		t.Errorf("a watch that was ended told %+v", w.next(t))
	}
}

func TestFetch(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, false, "null", nil)
	w.Fetch()
	c := testbed.Receive(t, "a call", w.calls)
	if c.uri != "/registry/instances" {
		t.Errorf("called %s", c.uri)
	}
	text := line(3, true, entry("s1", "SERVING"))
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	w.expect(t, balancer.UpdateSnapshot, "s1")
	w.Fetch()
	c = testbed.Receive(t, "a call", w.calls)
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text)+1, text)
	c.conn.Close()
	w.expect(t, balancer.UpdateFailed)
}

// A machine that is cut off says nothing: a watch without its empty lines is dead.
func TestSilentWatch(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, false, "", func(c *Client) { c.firstLineTimeout, c.silenceTimeout = 50*time.Millisecond, 50*time.Millisecond })
	w.Watch(true)
	c := testbed.Receive(t, "a call", w.calls)
	if c.uri != "/registry/instances?watch=1" {
		t.Errorf("called %s", c.uri)
	}
	w.expect(t, balancer.UpdateFailed) // never an answer
	w.Watch(true)
	c = testbed.Receive(t, "a call", w.calls)
	c.begin()
	c.chunk(line(1, true, entry("s1", "SERVING")) + "\n")
	w.expect(t, balancer.UpdateSnapshot, "s1")
	w.expect(t, balancer.UpdateFailed) // then nothing more
}

func TestPushedList(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, true, line(7, true), func(c *Client) { c.minRetryPause = time.Millisecond })
	w.Watch(true) // has no meaning here
	for range 2 {
		c := testbed.Receive(t, "a call", w.calls)
		if c.uri != "/registry/instances?watch=1&after=7" {
			t.Errorf("called %s", c.uri)
		}
		c.conn.Close()
	}
	c := testbed.Receive(t, "a call", w.calls)
	c.begin()
	c.chunk(line(8, true, entry("s1", "SERVING")) + "\n")
	w.expect(t, balancer.UpdateSnapshot, "s1")
	c.conn.Close()
	if c := testbed.Receive(t, "a call", w.calls); c.uri != "/registry/instances?watch=1&after=8" {
		t.Errorf("resumed with %s", c.uri)
	}
	if len(w.updates) != 0 {
		t.Errorf("nobody asked, yet there came %+v", w.next(t))
	}
}

// A client that is moved to another address closes its connections to the old one at once and fetches a snapshot from the new one.
func TestMove(t *testing.T) {
	testbed.Leaks(t)
	for _, pushed := range []bool{false, true} {
		old := start(t, pushed, line(7, true, entry("s1", "SERVING")), nil)
		next := start(t, false, "", nil) // lends its listener
		old.Watch(true)
		c := testbed.Receive(t, "a call", old.calls)
		c.begin()
		c.chunk(line(8, false, entry("s2", "SERVING")) + "\n")
		old.expect(t, balancer.UpdateDelta, "s2")
		old.Move(next.addr)
		testbed.Eventually(t, "the old watch to end", func() bool { _, err := c.conn.Write([]byte("1\r\n\n\r\n")); return err != nil })
		c = testbed.Receive(t, "a call at the new address", next.calls)
		if c.uri != "/registry/instances?watch=1" {
			t.Errorf("pushed %v: called %s", pushed, c.uri)
		}
		c.begin()
		c.chunk(line(3, true, entry("s3", "SERVING")) + "\n") // its versions are its own
		old.expect(t, balancer.UpdateSnapshot, "s3")
		if len(old.updates) != 0 || len(old.calls) != 0 {
			t.Errorf("pushed %v: moving told %d more and called the old address %d times", pushed, len(old.updates), len(old.calls))
		}
	}
}

func TestInvalidCachedList(t *testing.T) {
	testbed.Leaks(t)
	updates := make(chan Update, 1)
	c := New("127.0.0.1:1", false, func(u Update) { updates <- u })
	defer c.Stop()
	if err := c.Start([]byte(`{"rev":1,"targets":[{"uid":"x","state":"ODD"}]}`)); err == nil {
		t.Error("it was taken")
	}
	if u := <-updates; u.Kind != balancer.UpdateCached || len(u.Servers) != 0 {
		t.Errorf("%+v", u)
	}
}
