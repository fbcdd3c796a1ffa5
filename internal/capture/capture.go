// Package capture records the load of a gateway in a bounded, sampled form and reads it back. A record says when a request
// came, of which class, by a hashed key, how large it was, how long it took and how it ended; never a body, a path, an
// address, a credential or a key as it was.
//
// The format, version 1, is lines of JSON (UTF-8, each ended by \n). The first is the Header, the last one, where the capture
// is whole, the Trailer; between them is a Record a line, in the order in which requests ended.
package capture

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"time"
)

// Version of the format that is written. Others are refused by Read.
const Version = 1

// Bounds of what is read. Danger: a file may be anything.
const (
	MaxRecords = 5_000_000
	maxLine    = 16 << 10
	maxName    = 256
	maxLength  = 30 * 24 * time.Hour
	backwards  = 2 * time.Second // by which the ends of records may go back, as they are written by many
)

// Header is the first line.
type Header struct {
	Version int       `json:"robindrum_capture"`
	Began   time.Time `json:"began"`
	Sample  float64   `json:"sample"` // the part of requests that is recorded, above 0 to 1
	Gateway string    `json:"gateway,omitempty"`
}

// Record is one request.
type Record struct {
	At      int64   `json:"t"`           // us since the header's time, as it came
	Class   string  `json:"c"`           // its class
	Key     string  `json:"k,omitempty"` // HMAC-SHA-256 of its key with a secret of the capture alone, 64 bits in hex
	Method  string  `json:"m,omitempty"`
	Size    int64   `json:"s,omitempty"` // bytes of its body
	Took    int64   `json:"d"`           // us until its answer, or the end of a streamed one
	Outcome Outcome `json:"o"`
}

// Came is when it came, since the capture began.
func (r *Record) Came() time.Duration { return time.Duration(r.At) * time.Microsecond }

// Outcome is how a request ended.
type Outcome string

// The outcomes there are.
const (
	Served  Outcome = "served"
	Refused Outcome = "refused" // 503 or 429: asking again is harmless
	Failed  Outcome = "failed"
	Left    Outcome = "left" // its client left, or its time ran out
)

// Trailer is the last line of a capture that is whole.
type Trailer struct {
	End     bool   `json:"end"`
	Length  int64  `json:"length"`  // us
	Records int    `json:"records"` // written
	Missed  uint64 `json:"missed"`  // not written, as there were too many at once or in all
}

// Capture is one that was read. Records are in the order in which requests came.
type Capture struct {
	Header
	Records []Record
	Length  time.Duration
	Missed  uint64
	Whole   bool // it has its trailer
	Cut     bool // its last line is not whole; it was left out
}

// Open reads a file.
func Open(path string) (*Capture, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading the capture: %w", err)
	}
	defer func() { _ = f.Close() }()
	return Read(path, f)
}

// Read reads a capture; name is for its errors, which say the line.
func Read(name string, in io.Reader) (*Capture, error) {
	lines := bufio.NewReaderSize(in, maxLine)
	c := &Capture{}
	bad := func(line int, reason string, args ...any) error {
		return fmt.Errorf("%s:%d: %s", name, line, fmt.Sprintf(reason, args...))
	}
	latest := time.Duration(0) // the end of a record
	for n := 1; ; n++ {
		text, err := lines.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, bad(n, "longer than %d bytes", maxLine)
		case err != nil && !errors.Is(err, io.EOF):
			return nil, bad(n, "%v", err)
		case len(text) == 0 && n == 1:
			return nil, bad(1, "the file is empty")
		}
		end := err != nil
		if len(text) == 0 {
			break
		}
		if n > 1 && end { // without its \n: who wrote it was cut off
			c.Cut = true
			break
		}
		switch stop, err := c.line(n, text, &latest); {
		case err != nil:
			return nil, bad(n, "%v", err)
		case stop:
			if more, err := lines.Peek(1); err == nil {
				return nil, bad(n+1, "something stands behind the end: %q", more)
			}
			c.finish(latest)
			return c, nil
		}
	}
	if c.Version == 0 {
		return nil, bad(1, "the header is not whole")
	}
	c.finish(latest)
	return c, nil
}

func (c *Capture) line(n int, text []byte, latest *time.Duration) (stop bool, err error) {
	if n == 1 {
		return false, c.header(text)
	}
	if bytes.Contains(text, []byte(`"end"`)) {
		var t Trailer
		if err := strictly(text, &t); err == nil && t.End {
			if t.Records != len(c.Records) || t.Length < 0 || t.Length > maxLength.Microseconds() {
				return false, fmt.Errorf("the end says %d records over %d us, and there are %d", t.Records, t.Length, len(c.Records))
			}
			c.Whole, c.Missed, c.Length = true, t.Missed, time.Duration(t.Length)*time.Microsecond
			return true, nil
		}
	}
	var r Record
	if err := strictly(text, &r); err != nil {
		return false, err
	}
	switch {
	case len(c.Records) >= MaxRecords:
		return false, fmt.Errorf("more than %d records", MaxRecords)
	case r.Class == "" || len(r.Class) > maxName || len(r.Key) > maxName || len(r.Method) > maxName:
		return false, errors.New("c: is missing, or a name is too long")
	case r.At < 0 || r.Took < 0 || r.At > maxLength.Microseconds() || r.Took > maxLength.Microseconds() || r.Size < 0:
		return false, fmt.Errorf("t, d, s: %d, %d, %d: want 0 at least, and no more than %v", r.At, r.Took, r.Size, maxLength)
	case !slices.Contains([]Outcome{Served, Refused, Failed, Left}, r.Outcome):
		return false, fmt.Errorf("o: %q is not known", r.Outcome)
	}
	ended := r.Came() + time.Duration(r.Took)*time.Microsecond
	if ended < *latest-backwards {
		return false, fmt.Errorf("time goes back by %v: are these two captures in one file?", *latest-ended)
	}
	*latest = max(*latest, ended)
	c.Records = append(c.Records, r)
	return false, nil
}

func (c *Capture) header(text []byte) error {
	var v struct {
		Version *int `json:"robindrum_capture"`
	}
	if err := json.Unmarshal(text, &v); err != nil || v.Version == nil {
		return errors.New("not a capture: the first line has no robindrum_capture")
	}
	if *v.Version != Version {
		return fmt.Errorf("robindrum_capture: version %d is not known, only %d", *v.Version, Version)
	}
	if err := strictly(text, &c.Header); err != nil {
		return err
	}
	if !(c.Sample > 0 && c.Sample <= 1) || math.IsNaN(c.Sample) {
		return fmt.Errorf("sample: want more than 0 and 1 at most, not %v", c.Sample)
	}
	return nil
}

func (c *Capture) finish(latest time.Duration) {
	slices.SortStableFunc(c.Records, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	if !c.Whole {
		c.Length = latest
	}
	if n := len(c.Records); n > 0 {
		c.Length = max(c.Length, c.Records[n-1].Came()+time.Microsecond)
	}
}

func strictly(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("not a line of a capture: %w", err)
	}
	if d.More() {
		return errors.New("more than one value in a line")
	}
	return nil
}
