// Package capture records a bounded sample of the requests of a gateway and reads it back. A record has the arrival time, class, hashed
// key, method, size, latency and outcome of a request. It never has a body, a path, an address, a credential or a plain key.
//
// Version 1 of the format consists of lines of JSON in UTF-8, each terminated by \n: a Header, a Record for each request in the order in
// which the requests ended, and a Trailer. An incomplete capture has no Trailer.
package capture

import (
	"fmt"
	"os"
	"time"
)

// Version is the version of the format. Read accepts no other version.
const Version = 1

// Limits of what Read accepts.
const (
	MaxRecords    = 5_000_000
	maxLineBytes  = 16 << 10
	maxNameBytes  = 256
	maxLength     = 30 * 24 * time.Hour
	maxReordering = 2 * time.Second // by which a record may end before an earlier one, because goroutines record concurrently
)

// Header is the first line of a capture.
type Header struct {
	Version    int       `json:"robindrum_capture"`
	StartedAt  time.Time `json:"began"`
	SampleRate float64   `json:"sample"` // fraction of requests that are recorded, more than 0 and at most 1
	Gateway    string    `json:"gateway,omitempty"`
}

// Record is a recorded request.
type Record struct {
	ArrivalMicros int64   `json:"t"`           // arrival, in microseconds since the start of the capture
	Class         string  `json:"c"`           // request class
	Key           string  `json:"k,omitempty"` // 64 bits of the HMAC-SHA-256 of the key with a secret of this capture, in hex
	Method        string  `json:"m,omitempty"`
	BodyBytes     int64   `json:"s,omitempty"` // of the request
	LatencyMicros int64   `json:"d"`           // from the arrival to the end of the response, in microseconds
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
	Missed       uint64 `json:"missed"`  // requests that were not recorded because the queue was full or the maximum number of records was reached
}

// Capture is a capture that was read. Its records are sorted by arrival.
type Capture struct {
	Header
	Records   []Record
	Length    time.Duration
	Missed    uint64
	Complete  bool // it has a trailer
	Truncated bool // its last line is incomplete and was ignored
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
