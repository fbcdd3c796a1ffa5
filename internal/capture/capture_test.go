package capture

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const header = `{"robindrum_capture":1,"began":"2026-12-01T09:00:00Z","sample":0.5}` + "\n"

func recordLine(arrival, latency int) string {
	return fmt.Sprintf(`{"t":%d,"c":"map","m":"GET","d":%d,"o":"served"}`+"\n", arrival, latency)
}

// Read returns the number of an invalid line in its error, and accepts a capture that is truncated anywhere after the header.
func TestReadRejectsInvalidLines(t *testing.T) {
	for text, want := range map[string]string{
		"":                                       "f:1: the file is empty",
		"GET / HTTP/1.1\n":                       "f:1: not a capture",
		strings.Replace(header, ":1,", ":2,", 1): "f:1: robindrum_capture: unsupported version 2, want 1",
		strings.Replace(header, "0.5", "0", 1):   "f:1: sample: want more than 0",
		strings.Replace(header, "0.5", "NaN", 1): "f:1: not a capture",
		strings.Replace(header, "}", `,"path":"/secret"}`, 1):                               "f:1: not a line of a capture",
		header + "nonsense\n" + recordLine(1, 1):                                            "f:2: not a line",
		header + recordLine(1, 1) + `{"t":-1,"c":"map","d":1,"o":"served"}` + "\n":          "f:3: t, d, s: -1, 1, 0",
		header + `{"t":1,"d":1,"o":"served"}` + "\n":                                        "f:2: c: is missing",
		header + `{"t":1,"c":"map","d":1,"o":"lovely"}` + "\n":                              `f:2: o: unknown outcome "lovely"`,
		header + `{"t":1,"c":"map","d":1,"o":"served","cookie":"x"}` + "\n":                 "f:2: not a line",
		header + recordLine(1, 1) + recordLine(60_000_000, 1) + recordLine(50_000_000, 1):   "f:4: time goes back by 10s",
		header + `{"t":9e18,"c":"map","d":1,"o":"served"}` + "\n":                           "f:2:",
		header + `{"t":` + strings.Repeat("1", maxLineBytes) + "\n":                         "f:2: longer than",
		header + recordLine(1, 1) + `{"end":true,"length":5,"records":2,"missed":0}` + "\n": "f:3: trailer: got 2 records over 5 us, want 1 records over 0 to 2592000000000 us",
		header + `{"end":true,"length":5,"records":0,"missed":0}` + "\n" + recordLine(1, 1): "f:3: unexpected data after the trailer",
	} {
		if _, err := Read("f", strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("Read(%.80q): got error %v, want prefix %q", text, err, want)
		}
	}
	// Records may be out of order by up to maxReordering, and there may be gaps between them.
	complete := header + recordLine(2_000_000, 10) + recordLine(1_000_000, 1_500_000) + recordLine(90_000_000, 5) + `{"end":true,"length":95000000,"records":3,"missed":7}` + "\n"
	c, err := Read("f", strings.NewReader(complete))
	if err != nil || !c.Complete || c.Truncated || c.Missed != 7 || c.Length != 95*time.Second || len(c.Records) != 3 || c.Records[0].ArrivalMicros != 1_000_000 {
		t.Errorf("Read of a complete capture: got %+v, error %v, want 3 records sorted by arrival, 7 missed requests and a length of 95s", c, err)
	}
	for cut := len(header); cut < len(complete); cut++ {
		c, err := Read("f", strings.NewReader(complete[:cut]))
		if err != nil || c.Complete || c.Truncated != (complete[cut-1] != '\n') || len(c.Records) != strings.Count(complete[len(header):cut], "\n") {
			t.Fatalf("Read of a capture truncated to %d bytes: got %+v, error %v, want an incomplete capture with all complete records", cut, c, err)
		}
	}
}

// Recorded requests are read back, without those that arrived before the recording. Equal keys have the same hash, and the plain key is
// not in the capture.
func TestRecordedRequestsAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, err := NewRecorder(Options{Duration: time.Minute, SampleRate: 1, MaxRecords: 100, Gateway: "sapporo"})
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		done := make(chan error)
		go func() { done <- r.Write(t.Context(), &out) }()
		time.Sleep(time.Second)
		r.Add("map", "", "GET", 0, 2*time.Second, Served) // arrived before the recording started
		r.Add("hold", "customer-4711", "POST", 12, 20*time.Millisecond, Served)
		r.Add("hold", "customer-4711", "POST", 12, 30*time.Millisecond, Rejected)
		time.Sleep(time.Minute)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		c, err := Read("f", bytes.NewReader(out.Bytes()))
		if err != nil || !c.Complete || len(c.Records) != 2 || c.Gateway != "sapporo" || c.Length != time.Minute {
			t.Fatalf("Read of the recording: got %+v, error %v, want a complete capture of 1m0s with 2 records from\n%s", c, err, out.String())
		}
		first, second := c.Records[0], c.Records[1]
		if first.Key != second.Key || len(first.Key) != 16 || strings.Contains(out.String(), "4711") || first.ArrivalMicros != 970_000 || first.LatencyMicros != 30_000 || first.Outcome != Rejected || second.BodyBytes != 12 {
			t.Errorf("got records %+v and %+v, want equal hashed keys, arrival 970000, latency 30000 and outcome refused in the first, and 12 body bytes in the second", first, second)
		}
	})
}

// Many goroutines add more requests than the queue and the maximum number of records allow: only the maximum is written, and the others
// are counted as missed.
func TestRecorderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, err := NewRecorder(Options{Duration: time.Second, SampleRate: 1, MaxRecords: 1000})
		if err != nil {
			t.Fatal(err)
		}
		var adders sync.WaitGroup
		for range 10 {
			adders.Go(func() {
				for range queueSize / 5 {
					r.Add("map", "k", "GET", 0, 0, Served)
				}
			})
		}
		adders.Wait() // Write has not been called yet
		var out bytes.Buffer
		if err := r.Write(t.Context(), &out); err != nil {
			t.Fatal(err)
		}
		c, err := Read("f", &out)
		if err != nil || len(c.Records) != 1000 || c.Missed != uint64(10*(queueSize/5)-1000) {
			t.Errorf("got %d records, %d missed, error %v, want 1000 records, %d missed", len(c.Records), c.Missed, err, 10*(queueSize/5)-1000)
		}
	})
}

// failingWriter returns an error after a number of successful writes.
type failingWriter struct{ remaining int }

func (w *failingWriter) Write(p []byte) (int, error) {
	if w.remaining--; w.remaining < 0 {
		return 0, errors.New("no space")
	}
	return len(p), nil
}

// Write returns the error of its writer, writes a trailer when its context is cancelled, and invalid options are rejected.
func TestWriteErrorCancellationAndInvalidOptions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := NewRecorder(Options{Duration: time.Hour, SampleRate: 1})
		r.Add("map", "", "GET", 0, 0, Served)
		if err := r.Write(t.Context(), &failingWriter{remaining: 1}); err == nil || !strings.Contains(err.Error(), "no space") {
			t.Error(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		var out bytes.Buffer
		if err := r.Write(ctx, &out); err != nil || !strings.Contains(out.String(), `"end":true`) {
			t.Errorf("Write with a cancelled context: got error %v, want none and a trailer\n%s", err, out.String())
		}
	})
	for _, o := range []Options{{}, {Duration: 2 * time.Hour, SampleRate: 1}, {Duration: time.Second, SampleRate: 2}, {Duration: time.Second}, {Duration: time.Second, SampleRate: 1, MaxRecords: -1}} {
		if _, err := NewRecorder(o); err == nil {
			t.Errorf("NewRecorder(%+v): got no error, want one", o)
		}
	}
}

// Read returns either an error with the line or a capture with sorted, valid records.
func FuzzRead(f *testing.F) {
	f.Add([]byte(header + recordLine(1, 2) + recordLine(5, 2) + `{"end":true,"length":95,"records":2,"missed":7}` + "\n"))
	f.Add([]byte(header + recordLine(1, 2)[:20]))
	f.Add([]byte(`{"robindrum_capture":7}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Read("f", bytes.NewReader(text))
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatal(err)
			}
			return
		}
		for i, r := range c.Records {
			if r.ArrivalMicros < 0 || r.Arrival() > c.Length || i > 0 && r.ArrivalMicros < c.Records[i-1].ArrivalMicros || r.Class == "" {
				t.Fatalf("record %d: got %+v in a capture of %v, want a class and an arrival within the capture, in order of time", i, r, c.Length)
			}
		}
	})
}
