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

const head = `{"robindrum_capture":1,"began":"2026-12-01T09:00:00Z","sample":0.5}` + "\n"

func line(at, took int) string {
	return fmt.Sprintf(`{"t":%d,"c":"map","m":"GET","d":%d,"o":"served"}`+"\n", at, took)
}

// What cannot be used is refused with its line; what was cut off is not.
func TestReadRejectsInvalidLines(t *testing.T) {
	for text, want := range map[string]string{
		"":                                     "f:1: the file is empty",
		"GET / HTTP/1.1\n":                     "f:1: not a capture",
		strings.Replace(head, ":1,", ":2,", 1): "f:1: robindrum_capture: version 2 is not known, only 1",
		strings.Replace(head, "0.5", "0", 1):   "f:1: sample: want more than 0",
		strings.Replace(head, "0.5", "NaN", 1): "f:1: not a capture",
		strings.Replace(head, "}", `,"path":"/secret"}`, 1):                         "f:1: not a line of a capture",
		head + "nonsense\n" + line(1, 1):                                            "f:2: not a line",
		head + line(1, 1) + `{"t":-1,"c":"map","d":1,"o":"served"}` + "\n":          "f:3: t, d, s: -1, 1, 0",
		head + `{"t":1,"d":1,"o":"served"}` + "\n":                                  "f:2: c: is missing",
		head + `{"t":1,"c":"map","d":1,"o":"lovely"}` + "\n":                        `f:2: o: "lovely" is not known`,
		head + `{"t":1,"c":"map","d":1,"o":"served","cookie":"x"}` + "\n":           "f:2: not a line",
		head + line(1, 1) + line(60_000_000, 1) + line(50_000_000, 1):               "f:4: time goes back by 10s",
		head + `{"t":9e18,"c":"map","d":1,"o":"served"}` + "\n":                     "f:2:",
		head + `{"t":` + strings.Repeat("1", maxLineBytes) + "\n":                   "f:2: longer than",
		head + line(1, 1) + `{"end":true,"length":5,"records":2,"missed":0}` + "\n": "f:3: the end says 2 records over 5 us, and there are 1",
		head + `{"end":true,"length":5,"records":0,"missed":0}` + "\n" + line(1, 1): "f:3: something stands behind the end",
	} {
		if _, err := Read("f", strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%.80q: %v, want %q", text, err, want)
		}
	}
	// Records end in another order than they came, within what is usual; a gap is nothing wrong.
	whole := head + line(2_000_000, 10) + line(1_000_000, 1_500_000) + line(90_000_000, 5) + `{"end":true,"length":95000000,"records":3,"missed":7}` + "\n"
	c, err := Read("f", strings.NewReader(whole))
	if err != nil || !c.Complete || c.Truncated || c.Missed != 7 || c.Length != 95*time.Second || len(c.Records) != 3 || c.Records[0].ArrivalMicros != 1_000_000 {
		t.Errorf("%+v, %v", c, err)
	}
	for cut := len(head); cut < len(whole); cut++ {
		c, err := Read("f", strings.NewReader(whole[:cut]))
		if err != nil || c.Complete || c.Truncated != (whole[cut-1] != '\n') || len(c.Records) != strings.Count(whole[len(head):cut], "\n") {
			t.Fatalf("cut at %d: %+v, %v", cut, c, err)
		}
	}
}

// What is recorded comes back: bounded, sampled, with keys that nobody can tell, and alike for the same key.
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
		r.Add("map", "", "GET", 0, 2*time.Second, Served) // it came before the recording began
		r.Add("hold", "customer-4711", "POST", 12, 20*time.Millisecond, Served)
		r.Add("hold", "customer-4711", "POST", 12, 30*time.Millisecond, Rejected)
		time.Sleep(time.Minute)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		c, err := Read("f", bytes.NewReader(out.Bytes()))
		if err != nil || !c.Complete || len(c.Records) != 2 || c.Gateway != "sapporo" || c.Length != time.Minute {
			t.Fatalf("%+v, %v\n%s", c, err, out.String())
		}
		a, b := c.Records[0], c.Records[1]
		if a.Key != b.Key || len(a.Key) != 16 || strings.Contains(out.String(), "4711") || a.ArrivalMicros != 970_000 || a.LatencyMicros != 30_000 || a.Outcome != Rejected || b.BodyBytes != 12 {
			t.Errorf("%+v, %+v", a, b)
		}
	})
}

// More than may be recorded, all at once and from many: what is written is bounded, and what is missed is counted.
func TestRecorderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, err := NewRecorder(Options{Duration: time.Second, SampleRate: 1, MaxRecords: 1000})
		if err != nil {
			t.Fatal(err)
		}
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() {
				for range queueSize / 5 {
					r.Add("map", "k", "GET", 0, 0, Served)
				}
			})
		}
		all.Wait() // nobody writes yet
		var out bytes.Buffer
		if err := r.Write(t.Context(), &out); err != nil {
			t.Fatal(err)
		}
		c, err := Read("f", &out)
		if err != nil || len(c.Records) != 1000 || c.Missed != uint64(10*(queueSize/5)-1000) {
			t.Errorf("%d records, %d missed, %v", len(c.Records), c.Missed, err)
		}
	})
}

type broken struct{ after int }

func (b *broken) Write(p []byte) (int, error) {
	if b.after--; b.after < 0 {
		return 0, errors.New("no space")
	}
	return len(p), nil
}

// Who reads it goes away: the recording ends with an error, and without a trailer.
func TestRecorderWhoseReaderLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := NewRecorder(Options{Duration: time.Hour, SampleRate: 1})
		r.Add("map", "", "GET", 0, 0, Served)
		if err := r.Write(t.Context(), &broken{after: 1}); err == nil || !strings.Contains(err.Error(), "no space") {
			t.Error(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		var out bytes.Buffer
		if err := r.Write(ctx, &out); err != nil || !strings.Contains(out.String(), `"end":true`) {
			t.Errorf("called off: %v\n%s", err, out.String())
		}
	})
	for _, o := range []Options{{}, {Duration: 2 * time.Hour, SampleRate: 1}, {Duration: time.Second, SampleRate: 2}, {Duration: time.Second}, {Duration: time.Second, SampleRate: 1, MaxRecords: -1}} {
		if _, err := NewRecorder(o); err == nil {
			t.Errorf("%+v: taken", o)
		}
	}
}

// Whatever a file holds, it is refused with its line or can be used.
func FuzzRead(f *testing.F) {
	f.Add([]byte(head + line(1, 2) + line(5, 2) + `{"end":true,"length":95,"records":2,"missed":7}` + "\n"))
	f.Add([]byte(head + line(1, 2)[:20]))
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
				t.Fatalf("%d: %+v of %v", i, r, c.Length)
			}
		}
	})
}
