package discovery

import (
	"io"
	"strings"
	"testing"
	"time"

	"robindrum/balancer"
	"robindrum/internal/testbed"
)

func TestParsePartial(t *testing.T) {
	whole := listLine(9, false, targetEntry("s1", "SERVING"), targetEntry("s2", "DRAINING"), targetEntry("s3", "DELETED"), targetEntry("s4", "DRAINING"))
	for name, c := range map[string]struct {
		line string
		want []string
	}{
		"nothing":                 {"", nil},
		"no entry":                {whole[:strings.Index(whole, "s1")], nil},
		"only a running server":   {whole[:strings.Index(whole, "s2")], nil},
		"two entries":             {whole[:strings.Index(whole, "s3")], []string{"s2"}},
		"cut behind an entry":     {whole[:strings.Index(whole, `,{"uid":"s4"`)], []string{"s2", "s3"}},
		"all entries":             {whole[:len(whole)-2], []string{"s2", "s3", "s4"}},
		"revision behind entries": {`{"all":true,"targets":[` + targetEntry("s1", "DRAINING") + `],"rev":9`, nil},
		"unknown field":           {`{"x":{"rev":1},"rev":9,"targets":[` + targetEntry("s1", "DRAINING"), []string{"s1"}},
		"invalid entry":           {`{"rev":9,"targets":[` + targetEntry("s1", "DRAINING") + `,{"uid":"s2","state":"ODD"},` + targetEntry("s3", "DRAINING"), []string{"s1"}},
		"not a list":              {`[1,2`, nil},
	} {
		rev, update := parsePartial([]byte(c.line))
		var got []string
		for _, server := range update.Servers {
			got = append(got, server.ID)
		}
		if strings.Join(got, " ") != strings.Join(c.want, " ") || update.Kind != balancer.UpdatePartial {
			t.Errorf("%s: parsePartial = kind %d, servers %v; want kind %d, servers %v", name, update.Kind, got, balancer.UpdatePartial, c.want)
		}
		if len(c.want) > 0 && rev != 9 {
			t.Errorf("%s: parsePartial = revision %d, want 9", name, rev)
		}
	}
}

// Guards against sends to servers whose drain was written in a line that did not arrive whole, in a call's answer and in an open watch.
func TestDrainInIncompleteLineIsDelivered(t *testing.T) {
	testbed.Leaks(t)
	line := listLine(9, false, targetEntry("s1", "DRAINING"), targetEntry("s2", "SERVING"))
	part := line[:strings.Index(line, "s2")]
	for _, stops := range []bool{false, true} {
		for _, open := range []bool{false, true} {
			for _, pushed := range []bool{false, true} {
				h := startHarness(t, pushed, listLine(7, true, targetEntry("s1", "SERVING")), func(c *Client) { c.stallTimeout = 50 * time.Millisecond })
				h.Watch(true)
				c := testbed.Receive(t, "a call", h.calls)
				c.writeHead()
				if open {
					c.writeChunk(listLine(8, false) + "\n")
					h.expect(t, balancer.UpdateDelta)
				}
				c.writeChunk(part)
				if !stops {
					c.conn.Close()
				}
				h.expect(t, balancer.UpdatePartial, "s1")
				if pushed { // called again at once
					testbed.Receive(t, "the next call", h.calls)
					continue
				}
				failure := h.next(t)
				if failure.Kind != balancer.UpdateFailed || !failure.Interrupted {
					t.Errorf("stops %t, open %t: got %+v, want an interrupted failure", stops, open, failure)
				}
			}
		}
	}
}

// Guards against an older list, written in part, that takes a restarted server out of use.
func TestStaleIncompleteLineIsDropped(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, listLine(7, true, targetEntry("s1", "SERVING")), nil)
	h.Watch(true)
	c := testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	c.writeChunk(listLine(6, false, targetEntry("s1", "DRAINING"), targetEntry("s2", "SERVING"))[:200])
	c.conn.Close()
	h.expect(t, balancer.UpdateFailed)
}

// Guards against an open watch that stalls within a line and is reported only after the silence timeout, or twice, or is cut off although the
// rest of the line arrives.
func TestStalledWatchContinuesInParallel(t *testing.T) {
	testbed.Leaks(t)
	for _, rest := range []bool{false, true} {
		h := startHarness(t, false, listLine(7, true, targetEntry("s1", "SERVING")), func(c *Client) { c.stallTimeout = 50 * time.Millisecond })
		h.Watch(true)
		stalled := testbed.Receive(t, "a call", h.calls)
		stalled.writeHead()
		stalled.writeChunk(listLine(8, false) + "\n")
		h.expect(t, balancer.UpdateDelta)
		line := listLine(9, false, targetEntry("s1", "DRAINING"))
		stalled.writeChunk(line[:20])
		h.expect(t, balancer.UpdateFailed)
		h.Watch(true)
		next := testbed.Receive(t, "the next call", h.calls)
		answering, cancelled := next, stalled
		if rest {
			answering, cancelled = stalled, next
			stalled.writeChunk(line[20:] + "\n")
		} else {
			next.writeHead()
			next.writeChunk(line + "\n")
		}
		h.expect(t, balancer.UpdateDelta, "s1")
		testbed.Eventually(t, "the other watch to be cancelled", func() bool { _, err := cancelled.conn.Write([]byte("\n")); return err != nil })
		answering.writeChunk(listLine(10, false, targetEntry("s2", "SERVING")) + "\n")
		h.expect(t, balancer.UpdateDelta, "s2")
		answering.conn.Close()
		h.expect(t, balancer.UpdateFailed)
		if len(h.updates) != 0 {
			t.Errorf("rest %t: unexpected update %+v", rest, h.next(t))
		}
	}
}

// A list that comes in pieces with pauses shorter than the stall timeout is no failure, however long it takes.
func TestSlowPiecesAreNoStall(t *testing.T) {
	testbed.Leaks(t)
	h := startHarness(t, false, "", func(c *Client) { c.stallTimeout = 500 * time.Millisecond })
	h.Watch(true)
	c := testbed.Receive(t, "a call", h.calls)
	c.writeHead()
	text := listLine(8, true, targetEntry("s1", "DRAINING")) + "\n"
	for i := 0; i < len(text); i += 20 {
		c.writeChunk(text[i:min(i+20, len(text))])
		time.Sleep(80 * time.Millisecond)
	}
	h.expect(t, balancer.UpdateSnapshot, "s1")
}

func TestStallDetectorKeepsWhatIsBehindALine(t *testing.T) {
	stalls := make(chan string, 1)
	source, write := io.Pipe()
	detector := newStallDetector(source, 20*time.Millisecond, func(partial []byte) { stalls <- string(partial) })
	defer detector.stop()
	go func() { _, _ = io.WriteString(write, "line\npart") }()
	buffer := make([]byte, 64)
	if n, err := detector.Read(buffer); n != 9 || err != nil {
		t.Fatalf("Read = %d, %v, want 9 bytes", n, err)
	}
	detector.lineComplete(len("part"))
	if got := testbed.Receive(t, "a stall", stalls); got != "part" {
		t.Errorf("stalled with %q, want %q", got, "part")
	}
}
