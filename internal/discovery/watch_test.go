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

func (c call) respond(text string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// A snapshot requested before a change but received after it must not undo the change.
func TestSnapshotOvertakenByADelta(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, listLine(7, true, targetEntry("s1", "SERVING")), nil)
	h.Watch(true)
	watch := testbed.Receive(t, "a call", h.calls)
	watch.writeHead()
	h.Fetch()
	fetch := testbed.Receive(t, "a call", h.calls)
	watch.writeChunk(listLine(9, false, targetEntry("s1", "DRAINING")) + "\n")
	h.expect(t, balancer.UpdateDelta, "s1")
	fetch.respond(listLine(8, true, targetEntry("s1", "SERVING")))
	h.expect(t, balancer.UpdateFailed)
	watch.writeChunk(listLine(10, false) + "\n") // the watch continues
	h.expect(t, balancer.UpdateDelta)
}

// Of two snapshots in flight, the older one arrives last and must not replace the newer one.
func TestSnapshotOvertakenByASnapshot(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, "", nil)
	h.Fetch()
	first := testbed.Receive(t, "a call", h.calls)
	h.Fetch()
	testbed.Receive(t, "a call", h.calls).respond(listLine(9, true, targetEntry("s1", "DRAINING")))
	h.expect(t, balancer.UpdateSnapshot, "s1")
	first.respond(listLine(8, true, targetEntry("s1", "SERVING")))
	h.expect(t, balancer.UpdateFailed)
}

// A service that has lost its state resets its revisions. Its next snapshot replaces the list despite the lower revision.
func TestSnapshotAfterRevisionResetReplacesList(t *testing.T) {
	testbed.Leaks(t)
	for _, pushed := range []bool{false, true} {
		h := startHarness(t, pushed, listLine(70, true, targetEntry("s1", "SERVING")), nil)
		h.Watch(true)
		c := testbed.Receive(t, "a call", h.calls)
		c.writeHead()
		c.writeChunk(listLine(2, true, targetEntry("s2", "SERVING")) + "\n")
		h.expect(t, balancer.UpdateSnapshot, "s2")
		c.writeChunk(listLine(1, true, targetEntry("s3", "SERVING")) + "\n") // another reset, on the same watch
		h.expect(t, balancer.UpdateSnapshot, "s3")
	}
}

// A snapshot requested at the previous address arrives after Move. It is dropped, not reported as a failed call, and its revision is
// not used for the next watch.
func TestListFromPreviousAddressIsDropped(t *testing.T) {
	testbed.Leaks(t)
	previous := startHarness(t, false, listLine(7, true, targetEntry("s1", "SERVING")), nil)
	next := startHarness(t, false, "", nil) // only its listener is used
	previous.Fetch()
	fetch := testbed.Receive(t, "a call", previous.calls)
	previous.Move(next.addr)
	c := testbed.Receive(t, "a call at the new address", next.calls)
	if c.uri != "/registry/instances?watch=1" {
		t.Errorf("watch at the new address called %s, want no revision", c.uri)
	}
	fetch.respond(listLine(8, true, targetEntry("late", "SERVING")))
	_, _ = io.Copy(io.Discard, fetch.conn) // the client has closed the connection
	c.writeHead()
	c.writeChunk(listLine(3, true, targetEntry("s3", "SERVING")) + "\n")
	previous.expect(t, balancer.UpdateSnapshot, "s3")
	c.conn.Close()
	previous.expect(t, balancer.UpdateFailed)
	previous.Watch(true)
	if c := testbed.Receive(t, "a call", next.calls); c.uri != "/registry/instances?watch=1&after=3" {
		t.Errorf("next watch called %s, want after=3", c.uri)
	}
}

// Bytes that do not complete a line, or line breaks within an incomplete list, do not extend the timeouts of a watch.
func TestIncompleteLinesDoNotKeepWatchAlive(t *testing.T) {
	testbed.Leaks(t)
	for name, text := range map[string]string{"partial line": "x", "line breaks in a partial list": "\n"} {
		h := startHarness(t, false, "", func(c *Client) { c.firstLineTimeout, c.silenceTimeout = 100*time.Millisecond, 100*time.Millisecond })
		h.Watch(true)
		c := testbed.Receive(t, "a call", h.calls)
		c.writeHead()
		c.writeChunk(`{"rev":1,`)
		go func() {
			for {
				if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
		if h.expect(t, balancer.UpdateFailed); t.Failed() {
			t.Fatal(name)
		}
	}
}

// A watch that receives a response head but no line, or an incomplete line, fails after the timeout.
func TestWatchWithoutLinesTimesOut(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, "", func(c *Client) { c.firstLineTimeout, c.silenceTimeout = 50*time.Millisecond, 50*time.Millisecond })
	for _, text := range []string{"", `{"rev":1,"all":true,"tar`, "{\n"} {
		h.Watch(true)
		c := testbed.Receive(t, "a call", h.calls)
		c.writeHead()
		if text != "" {
			c.writeChunk(text)
		}
		h.expect(t, balancer.UpdateFailed)
	}
}

// A list may be indented over several lines, in a watch as well as in a fetched snapshot.
func TestIndentedList(t *testing.T) {
	testbed.Leaks(t)
	indented := func(rev int, id, state string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(listLine(rev, true, targetEntry(id, state))), "", "  "); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	h := startHarness(t, false, "", nil)
	h.Watch(true)
	c := testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	for i := range 3 {
		text := indented(i+1, fmt.Sprintf(`s{%d}"\`, i), "SERVING") + "\n" // with an ID that contains JSON delimiters
		c.writeChunk("\n" + text[:30])
		c.writeChunk(text[30:] + "\n")
		h.expect(t, balancer.UpdateSnapshot, fmt.Sprintf(`s{%d}"\`, i))
	}
	h.Fetch()
	testbed.Receive(t, "a call", h.calls).respond(indented(9, "s9", "SERVING"))
	h.expect(t, balancer.UpdateSnapshot, "s9")
}

// However often the watches of a pushed list hang, are reset or rejected, another one begins. The time between two watches is shorter
// than the drain grace period of 1 s, during which requests may still be sent to a draining server.
func TestPushedListIsWatchedAgain(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, true, listLine(7, true), func(c *Client) { c.firstLineTimeout, c.minRetryPause = 20*time.Millisecond, time.Millisecond })
	for i := range 12 {
		c := testbed.Receive(t, "a call", h.calls)
		switch i % 3 {
		case 0: // hangs
		case 1:
			testbed.Reset(c.conn)
		case 2:
			_, _ = io.WriteString(c.conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}
	}
	c := testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	c.writeChunk(listLine(8, false, targetEntry("s1", "DRAINING")) + "\n")
	h.expect(t, balancer.UpdateDelta, "s1")
	if maxDelay := agentTimeout + maxRetryPause/2 + maxRetryPause; maxDelay >= time.Second {
		t.Errorf("up to %v between two watches, want less than 1s", maxDelay)
	}
}

// A watch that hangs, or receives only part of a response, is reported as failed in time and only once. It continues in parallel with the
// next watch. The watch that receives a line first is kept, and the other one is cancelled.
func TestOverdueWatchContinuesInParallel(t *testing.T) {
	for name, partial := range map[string]string{"hangs": "", "head only": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"partial line": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"rev\":1,\r\n"} {
		for _, overdueResponds := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", overdue watch responds: ", overdueResponds), func(t *testing.T) {
				testbed.Leaks(t)
				h := startHarness(t, false, listLine(1, true, targetEntry("s0", "SERVING")), func(c *Client) { c.firstLineTimeout = 50 * time.Millisecond })
				h.Watch(true)
				overdue := testbed.Receive(t, "a call", h.calls)
				_, _ = io.WriteString(overdue.conn, partial)
				h.expect(t, balancer.UpdateFailed)
				h.firstLineTimeout = testbed.WaitTimeout // long enough that no timeout expires from here on
				h.Watch(true)
				next := testbed.Receive(t, "the next call", h.calls)
				responding, cancelled := next, overdue
				if overdueResponds {
					responding, cancelled = overdue, next
				}
				switch {
				case partial == "" || !overdueResponds:
					responding.writeHead()
					responding.writeChunk(listLine(7, true, targetEntry("s1", "DRAINING")) + "\n")
				case name == "partial line":
					responding.writeChunk(listLine(7, true, targetEntry("s1", "DRAINING"))[len(`{"rev":1,`):] + "\n")
				default:
					responding.writeChunk(listLine(7, true, targetEntry("s1", "DRAINING")) + "\n")
				}
				h.expect(t, balancer.UpdateSnapshot, "s1")
				testbed.Eventually(t, "the other watch to be cancelled", func() bool { _, err := cancelled.conn.Write([]byte("\n")); return err != nil })
				if overdueResponds { // the balancer may have scheduled this call before it was notified; the current watch continues
					h.Watch(true)
				}
				responding.writeChunk(listLine(8, false, targetEntry("s2", "SERVING")) + "\n")
				h.expect(t, balancer.UpdateDelta, "s2")
				responding.conn.Close()
				h.expect(t, balancer.UpdateFailed)
				if len(h.updates) != 0 || len(h.calls) != 0 {
					t.Errorf("%d unexpected updates, %d unexpected calls; want 0, 0", len(h.updates), len(h.calls))
				}
			})
		}
	}
}

// However many consecutive calls hang, each is reported as failed in time and only once, and at most two are open at a time.
func TestConsecutiveHangingCalls(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, "", func(c *Client) { c.firstLineTimeout = 20 * time.Millisecond })
	var calls []call
	for range 6 {
		h.Watch(true)
		calls = append(calls, testbed.Receive(t, "a call", h.calls))
		h.expect(t, balancer.UpdateFailed)
	}
	for i, c := range calls[:4] {
		testbed.Eventually(t, fmt.Sprint("the end of call ", i), func() bool { _, err := c.conn.Write([]byte("\n")); return err != nil })
	}
	if len(h.updates) != 0 {
		t.Errorf("unexpected update %+v, want one failure for each call", h.next(t))
	}
}

// A change must be received before it counts as notified after 6 s. This test computes the worst cases from the timeouts: a call hangs,
// or a watch becomes silent, at the moment at which the discovery service becomes reachable again. The next call begins within the
// balancer's maximum poll interval after the previous call or the last line.
func TestNotifiedInTimeByCallSchedule(t *testing.T) {
	const notifiedAfter, maxInterval = 6 * time.Second, balancer.MaxPollInterval
	for name, timeout := range map[string]time.Duration{"an overdue call": defaultSilenceTimeout, "a silent watch": defaultSilenceTimeout, "a dial": dialTimeout} {
		if timeout > maxInterval {
			t.Errorf("%s is detected after %v, want at most %v, before the next call", name, timeout, maxInterval)
		}
	}
	if maxInterval >= notifiedAfter {
		t.Errorf("got a maximum poll interval of %v, want one that leaves time for a call within %v", maxInterval, notifiedAfter)
	}
	if total := agentTimeout + maxRetryPause/2 + maxRetryPause + defaultSilenceTimeout; total >= notifiedAfter {
		t.Errorf("after a partial response of a pushed list the next one takes up to %v, want less than %v", total, notifiedAfter)
	}
}

// Guards against a watch without changes that the balancer takes for a pending call.
func TestWatchThatBeginsWithAnEmptyLineEndsItsCall(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, listLine(7, true, targetEntry("s1", "SERVING")), nil)
	h.Watch(true)
	c := testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	c.writeChunk("\n")
	h.expect(t, balancer.UpdateDelta)
	c.writeChunk("\r\n")
	c.writeChunk(listLine(8, false, targetEntry("s1", "DRAINING")) + "\n")
	h.expect(t, balancer.UpdateDelta, "s1")
	c.conn.Close()
	h.expect(t, balancer.UpdateFailed)
}

// Guards against a node that keeps a watch which never gives it a list.
func TestWatchThatBeginsWithAnEmptyLineFailsIfNoListIsKnown(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, "", func(c *Client) { c.firstLineTimeout = 50 * time.Millisecond })
	h.Watch(true)
	c := testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	c.writeChunk("\n")
	h.expect(t, balancer.UpdateFailed)
}
