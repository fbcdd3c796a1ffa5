package capture

import (
	"path/filepath"
	"testing"
	"time"
)

// TestFormerCaptureIsRead reads a capture that an earlier version wrote (tools/fixtures/write).
func TestFormerCaptureIsRead(t *testing.T) {
	c, err := Open(filepath.Join("testdata", "former", "load.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Version != 1 || c.SampleRate != 1 || c.Gateway != "g1" || c.StartedAt.Year() != 2026 || !c.Complete || c.Truncated || c.Missed != 0 || c.Length < 100*time.Millisecond {
		t.Errorf("Open: got %+v, want the complete capture of version 1 from gateway g1, with sample rate 1 and no missed requests", c)
	}
	want := []struct {
		class, method string
		hasKey        bool
		bodyBytes     int64
		latency       time.Duration
		outcome       Outcome
	}{
		{"order", "POST", true, 512, 9 * time.Millisecond, Failed},
		{"order", "POST", true, 512, 7 * time.Millisecond, Rejected},
		{"page", "GET", false, 0, 3 * time.Millisecond, Served},
		{"page", "", false, 0, 2 * time.Millisecond, Abandoned},
	}
	if len(c.Records) != len(want) {
		t.Fatalf("got %d records, want %d", len(c.Records), len(want))
	}
	for i, w := range want {
		r := c.Records[i]
		if r.Class != w.class || r.Method != w.method || (r.Key != "") != w.hasKey || r.BodyBytes != w.bodyBytes || r.LatencyMicros != w.latency.Microseconds() || r.Outcome != w.outcome {
			t.Errorf("record %d: got %+v, want %+v", i, r, w)
		}
	}
}
