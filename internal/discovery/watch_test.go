package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/testbed"
)

func (c call) whole(text string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// A snapshot that was requested before a change and is read after it does not undo the change.
func TestSnapshotOvertakenByADelta(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, false, line(7, true, entry("s1", "SERVING")), nil)
	w.Watch(true)
	watch := testbed.Receive(t, "a call", w.calls)
	watch.begin()
	w.Fetch()
	fetch := testbed.Receive(t, "a call", w.calls)
	watch.chunk(line(9, false, entry("s1", "DRAINING")) + "\n")
	w.expect(t, balancer.UpdateDelta, "s1")
	fetch.whole(line(8, true, entry("s1", "SERVING")))
	w.expect(t, balancer.UpdateFailed)
	watch.chunk(line(10, false) + "\n") // the watch continues
	w.expect(t, balancer.UpdateDelta)
}

// Two snapshots are requested, and the older one is read last.
func TestSnapshotOvertakenByASnapshot(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, false, "", nil)
	w.Fetch()
	first := testbed.Receive(t, "a call", w.calls)
	w.Fetch()
	testbed.Receive(t, "a call", w.calls).whole(line(9, true, entry("s1", "DRAINING")))
	w.expect(t, balancer.UpdateSnapshot, "s1")
	first.whole(line(8, true, entry("s1", "SERVING")))
	w.expect(t, balancer.UpdateFailed)
}

// A service that has lost its revisions starts them anew: its next snapshot replaces the list.
func TestRevisionsStartAnew(t *testing.T) {
	testbed.Leaks(t)
	for _, pushed := range []bool{false, true} {
		w := start(t, pushed, line(70, true, entry("s1", "SERVING")), nil)
		w.Watch(true)
		c := testbed.Receive(t, "a call", w.calls)
		c.begin()
		c.chunk(line(2, true, entry("s2", "SERVING")) + "\n")
		w.expect(t, balancer.UpdateSnapshot, "s2")
		c.chunk(line(1, true, entry("s3", "SERVING")) + "\n") // again, on the same watch
		w.expect(t, balancer.UpdateSnapshot, "s3")
	}
}

// A snapshot that was requested at the former address arrives after the move: it is dropped, is not reported as a failed call, and
// leaves no revision for the next watch.
func TestListOfTheFormerAddressIsDropped(t *testing.T) {
	testbed.Leaks(t)
	old := start(t, false, line(7, true, entry("s1", "SERVING")), nil)
	next := start(t, false, "", nil) // only its listener is used
	old.Fetch()
	fetch := testbed.Receive(t, "a call", old.calls)
	old.Move(next.addr)
	c := testbed.Receive(t, "a call at the new address", next.calls)
	if c.uri != "/registry/instances?watch=1" {
		t.Errorf("called %s", c.uri)
	}
	fetch.whole(line(8, true, entry("late", "SERVING")))
	_, _ = io.Copy(io.Discard, fetch.conn) // the client has closed the connection
	c.begin()
	c.chunk(line(3, true, entry("s3", "SERVING")) + "\n")
	old.expect(t, balancer.UpdateSnapshot, "s3")
	c.conn.Close()
	old.expect(t, balancer.UpdateFailed)
	old.Watch(true)
	if c := testbed.Receive(t, "a call", next.calls); c.uri != "/registry/instances?watch=1&after=3" {
		t.Errorf("called %s", c.uri)
	}
}

// Bytes that do not complete a line are no sign of life, nor are empty lines within a list.
func TestBytesWithoutLinesAreNoSignOfLife(t *testing.T) {
	testbed.Leaks(t)
	for name, text := range map[string]string{"half a line": "x", "lines in half a list": "\n"} {
		w := start(t, false, "", func(c *Client) { c.firstLineTimeout, c.silenceTimeout = 100*time.Millisecond, 100*time.Millisecond })
		w.Watch(true)
		c := testbed.Receive(t, "a call", w.calls)
		c.begin()
		c.chunk(`{"rev":1,`)
		go func() {
			for {
				if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
		if w.expect(t, balancer.UpdateFailed); t.Failed() {
			t.Fatal(name)
		}
	}
}

// A watch that is answered but sends no line, or stops within a line, is given up.
func TestWatchWithoutLinesIsGivenUp(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, false, "", func(c *Client) { c.firstLineTimeout, c.silenceTimeout = 50*time.Millisecond, 50*time.Millisecond })
	for _, text := range []string{"", `{"rev":1,"all":true,"tar`, "{\n"} {
		w.Watch(true)
		c := testbed.Receive(t, "a call", w.calls)
		c.begin()
		if text != "" {
			c.chunk(text)
		}
		w.expect(t, balancer.UpdateFailed)
	}
}

// A list may be indented over several lines, in a watch as well as in a fetched snapshot.
func TestIndentedList(t *testing.T) {
	testbed.Leaks(t)
	indented := func(rev int, id, state string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(line(rev, true, entry(id, state))), "", "  "); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	w := start(t, false, "", nil)
	w.Watch(true)
	c := testbed.Receive(t, "a call", w.calls)
	c.begin()
	for i := range 3 {
		text := indented(i+1, fmt.Sprintf(`s{%d}"\`, i), "SERVING") + "\n" // with a name that looks like the end of the list
		c.chunk("\n" + text[:30])
		c.chunk(text[30:] + "\n")
		w.expect(t, balancer.UpdateSnapshot, fmt.Sprintf(`s{%d}"\`, i))
	}
	w.Fetch()
	testbed.Receive(t, "a call", w.calls).whole(indented(9, "s9", "SERVING"))
	w.expect(t, balancer.UpdateSnapshot, "s9")
}

// However often the watches of a pushed list hang, are refused or end, another one begins, and the time between two is shorter
// than the time in which requests may still go to a draining server.
func TestPushedListIsWatchedAgain(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, true, line(7, true), func(c *Client) { c.firstLineTimeout, c.minRetryPause = 20*time.Millisecond, time.Millisecond })
	for i := range 12 {
		c := testbed.Receive(t, "a call", w.calls)
		switch i % 3 {
		case 0: // hangs
		case 1:
			testbed.Reset(c.conn)
		case 2:
			_, _ = io.WriteString(c.conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}
	}
	c := testbed.Receive(t, "a call", w.calls)
	c.begin()
	c.chunk(line(8, false, entry("s1", "DRAINING")) + "\n")
	w.expect(t, balancer.UpdateDelta, "s1")
	if most := agentTimeout + maxRetryPause/2 + maxRetryPause; most >= time.Second {
		t.Errorf("%v between two calls", most)
	}
}

// A call that hangs, or is answered in part, is reported as refused in time, once, and continues beside the next one. The one that
// sends a line first is followed, and the other one is ended.
func TestOverdueWatchBesideTheNext(t *testing.T) {
	for name, half := range map[string]string{"hangs": "", "head alone": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"half a line": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"rev\":1,\r\n"} {
		for _, lateAnswers := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", the late one answers: ", lateAnswers), func(t *testing.T) {
				testbed.Leaks(t)
				w := start(t, false, line(1, true, entry("s0", "SERVING")), func(c *Client) { c.firstLineTimeout = 50 * time.Millisecond })
				w.Watch(true)
				late := testbed.Receive(t, "a call", w.calls)
				_, _ = io.WriteString(late.conn, half)
				w.expect(t, balancer.UpdateFailed)
				w.firstLineTimeout = testbed.WaitTimeout // from here on no timeout expires
				w.Watch(true)
				next := testbed.Receive(t, "a call beside it", w.calls)
				answers, ended := next, late
				if lateAnswers {
					answers, ended = late, next
				}
				switch {
				case half == "" || !lateAnswers:
					answers.begin()
					answers.chunk(line(7, true, entry("s1", "DRAINING")) + "\n")
				case name == "half a line":
					answers.chunk(line(7, true, entry("s1", "DRAINING"))[len(`{"rev":1,`):] + "\n")
				default:
					answers.chunk(line(7, true, entry("s1", "DRAINING")) + "\n")
				}
				w.expect(t, balancer.UpdateSnapshot, "s1")
				testbed.Eventually(t, "the other one to be ended", func() bool { _, err := ended.conn.Write([]byte("\n")); return err != nil })
				if lateAnswers { // the balancer may have planned a call before it was notified: the current one continues
					w.Watch(true)
				}
				answers.chunk(line(8, false, entry("s2", "SERVING")) + "\n")
				w.expect(t, balancer.UpdateDelta, "s2")
				answers.conn.Close()
				w.expect(t, balancer.UpdateFailed)
				if len(w.updates) != 0 || len(w.calls) != 0 {
					t.Errorf("%d more updates, %d more calls", len(w.updates), len(w.calls))
				}
			})
		}
	}
}

// However many calls in a row hang, each is reported as refused in time, and no more than two are open at once.
func TestConsecutiveHangingCalls(t *testing.T) {
	testbed.Leaks(t)
	w := start(t, false, "", func(c *Client) { c.firstLineTimeout = 20 * time.Millisecond })
	var calls []call
	for range 6 {
		w.Watch(true)
		calls = append(calls, testbed.Receive(t, "a call", w.calls))
		w.expect(t, balancer.UpdateFailed)
	}
	for i, c := range calls[:4] {
		testbed.Eventually(t, fmt.Sprint("the end of call ", i), func() bool { _, err := c.conn.Write([]byte("\n")); return err != nil })
	}
	if len(w.updates) != 0 {
		t.Errorf("told twice: %+v", w.next(t))
	}
}

// The time by which a change counts as notified, calculated from the timeouts for the worst cases: a call that hung, or a watch that
// fell silent, at the moment in which discovery can be reached again. The next call begins within the balancer's maximum interval
// after the one before, or after the last line.
func TestNotifiedInTimeByCallSchedule(t *testing.T) {
	const told, span = 6 * time.Second, balancer.MaxPollInterval
	for name, at := range map[string]time.Duration{"an overdue call": defaultSilenceTimeout, "a silent watch": defaultSilenceTimeout, "a dial": dialTimeout} {
		if at > span {
			t.Errorf("%s is noticed after %v, behind the next call", name, at)
		}
	}
	if span >= told {
		t.Errorf("no time is left for the call")
	}
	if pushed := agentTimeout + maxRetryPause/2 + maxRetryPause + defaultSilenceTimeout; pushed >= told {
		t.Errorf("a pushed list's half answer takes %v until the next one", pushed)
	}
}
