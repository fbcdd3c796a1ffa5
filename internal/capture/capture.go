// Package capture records the load of a gateway in a bounded, sampled form and reads it back. A record has the arrival time of a
// request, its class, its hashed key, its size, its latency and its outcome; never a body, a path, an address, a credential or a plain
// key.
//
// The format, version 1, is lines of JSON (UTF-8, each ended by \n). The first is the Header, the last one of a complete capture the
// Trailer; between them is a Record a line, in the order in which requests ended.
package capture

import (
	"fmt"
	"os"
	"time"
)

// Version is the version of the format, the only one that Read accepts.
const Version = 1

// Limits of what Read accepts.
const (
	MaxRecords    = 5_000_000
	maxLineBytes  = 16 << 10
	maxNameBytes  = 256
	maxLength     = 30 * 24 * time.Hour
	maxReordering = 2 * time.Second // between the ends of consecutive records, as many goroutines record them
)

// Header is the first line of a capture.
type Header struct {
	Version    int       `json:"robindrum_capture"`
	StartedAt  time.Time `json:"began"`
	SampleRate float64   `json:"sample"` // fraction of requests that is recorded, above 0 to 1
	Gateway    string    `json:"gateway,omitempty"`
}

// Record is a recorded request.
type Record struct {
	ArrivalMicros int64   `json:"t"`           // arrival, in microseconds since the start of the capture
	Class         string  `json:"c"`           // request class
	Key           string  `json:"k,omitempty"` // 64 bits of the HMAC-SHA-256 of the key with a secret of this capture, in hex
	Method        string  `json:"m,omitempty"`
	BodyBytes     int64   `json:"s,omitempty"` // of the request
	LatencyMicros int64   `json:"d"`           // microseconds until the end of the response
	Outcome       Outcome `json:"o"`
}

// Arrival returns the arrival time since the start of the capture.
func (r *Record) Arrival() time.Duration { return time.Duration(r.ArrivalMicros) * time.Microsecond }

// Outcome is the outcome of a request.
type Outcome string

// The outcomes of requests.
const (
	Served    Outcome = "served"
	Rejected  Outcome = "refused" // 503 or 429; a retry is harmless
	Failed    Outcome = "failed"
	Abandoned Outcome = "left" // the client disconnected, or the deadline passed
)

// Trailer is the last line of a complete capture.
type Trailer struct {
	End          bool   `json:"end"`
	LengthMicros int64  `json:"length"`  // microseconds
	Records      int    `json:"records"` // number of written records
	Missed       uint64 `json:"missed"`  // not written, because there were too many at once or in all
}

// Capture is a capture that was read. Its records are in order of arrival.
type Capture struct {
	Header
	Records   []Record
	Length    time.Duration
	Missed    uint64
	Complete  bool // it has a trailer
	Truncated bool // its last line was incomplete and is left out
}

// Open reads a capture from a file.
func Open(path string) (*Capture, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading the capture: %w", err)
	}
	defer func() { _ = f.Close() }()
	return Read(path, f)
}
