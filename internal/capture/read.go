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
	"slices"
	"time"
)

// Read reads a capture. Its errors begin with the name and the line. A capture that ends without a trailer or within a line is valid.
func Read(name string, in io.Reader) (*Capture, error) {
	c := &Capture{}
	r := &reader{capture: c, lines: bufio.NewReaderSize(in, maxLineBytes)}
	if err := r.read(); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, r.line, err)
	}
	c.finish(r.latest)
	return c, nil
}

// reader reads the lines of a capture.
type reader struct {
	capture *Capture
	lines   *bufio.Reader
	line    int           // number of the current line, from 1
	latest  time.Duration // end of the request that ended last
}

func (r *reader) read() error {
	for {
		r.line++
		text, last, err := r.readLine()
		if err != nil {
			return err
		}
		if len(text) == 0 {
			return r.checkHeader()
		}
		if last && r.line > 1 { // without its line feed
			r.capture.Truncated = true
			return r.checkHeader()
		}
		trailer, err := r.addLine(text)
		if err != nil {
			return err
		}
		if trailer {
			return r.checkEnd()
		}
	}
}

// readLine returns the next line, and whether it is the last one because it lacks a line feed. At the end of the file the text is empty.
func (r *reader) readLine() (text []byte, last bool, err error) {
	text, err = r.lines.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, false, fmt.Errorf("longer than %d bytes", maxLineBytes)
	case err != nil && !errors.Is(err, io.EOF):
		return nil, false, err
	case len(text) == 0 && r.line == 1:
		return nil, false, errors.New("the file is empty")
	}
	return text, err != nil, nil
}

// checkHeader returns an error if there was no complete header.
func (r *reader) checkHeader() error {
	if r.capture.Version == 0 {
		r.line = 1
		return errors.New("the header line is incomplete")
	}
	return nil
}

// checkEnd returns an error if a line follows the trailer.
func (r *reader) checkEnd() error {
	if more, err := r.lines.Peek(1); err == nil {
		r.line++
		return fmt.Errorf("unexpected data after the trailer: %q", more)
	}
	return nil
}

// addLine adds a line to the capture and reports whether it is the trailer.
func (r *reader) addLine(text []byte) (trailer bool, err error) {
	if r.line == 1 {
		return false, r.capture.setHeader(text)
	}
	var t Trailer
	if bytes.Contains(text, []byte(`"end"`)) && decodeStrict(text, &t) == nil && t.End {
		return true, r.capture.setTrailer(t)
	}
	return false, r.addRecord(text)
}

func (r *reader) addRecord(text []byte) error {
	var record Record
	if err := decodeStrict(text, &record); err != nil {
		return err
	}
	if len(r.capture.Records) >= MaxRecords {
		return fmt.Errorf("more than %d records", MaxRecords)
	}
	if err := record.validate(); err != nil {
		return err
	}
	ended := record.Arrival() + time.Duration(record.LatencyMicros)*time.Microsecond
	if ended < r.latest-maxReordering {
		return fmt.Errorf("time goes back by %v; the file may contain two captures", r.latest-ended)
	}
	r.latest = max(r.latest, ended)
	r.capture.Records = append(r.capture.Records, record)
	return nil
}

func (r *Record) validate() error {
	maxMicros := maxLength.Microseconds()
	switch {
	case r.Class == "" || max(len(r.Class), len(r.Key), len(r.Method)) > maxNameBytes:
		return fmt.Errorf("c: is missing, or c, k or m is longer than %d bytes", maxNameBytes)
	case min(r.ArrivalMicros, r.LatencyMicros, r.BodyBytes) < 0 || max(r.ArrivalMicros, r.LatencyMicros) > maxMicros:
		return fmt.Errorf("t, d, s: %d, %d, %d: must be at least 0, and t and d at most %v", r.ArrivalMicros, r.LatencyMicros, r.BodyBytes, maxLength)
	case !slices.Contains([]Outcome{Served, Rejected, Failed, Abandoned}, r.Outcome):
		return fmt.Errorf("o: unknown outcome %q", r.Outcome)
	}
	return nil
}

// setTrailer checks the trailer against the records and takes the length from it.
func (c *Capture) setTrailer(t Trailer) error {
	if t.Records != len(c.Records) || t.LengthMicros < 0 || t.LengthMicros > maxLength.Microseconds() {
		return fmt.Errorf("trailer: got %d records over %d us, want %d records over 0 to %d us",
			t.Records, t.LengthMicros, len(c.Records), maxLength.Microseconds())
	}
	c.Complete = true
	c.Missed = t.Missed
	c.Length = time.Duration(t.LengthMicros) * time.Microsecond
	return nil
}

// setHeader parses and checks the header line.
func (c *Capture) setHeader(text []byte) error {
	var v struct {
		Version *int `json:"robindrum_capture"`
	}
	if err := json.Unmarshal(text, &v); err != nil || v.Version == nil {
		return errors.New("not a capture: the first line has no field robindrum_capture")
	}
	if *v.Version != Version {
		return fmt.Errorf("robindrum_capture: unsupported version %d, want %d", *v.Version, Version)
	}
	if err := decodeStrict(text, &c.Header); err != nil {
		return err
	}
	if !(c.SampleRate > 0 && c.SampleRate <= 1) || math.IsNaN(c.SampleRate) {
		return fmt.Errorf("sample: want more than 0 and at most 1, got %v", c.SampleRate)
	}
	return nil
}

// finish sorts the records and sets the length of a capture without a trailer to latest, the end of the last record.
func (c *Capture) finish(latest time.Duration) {
	slices.SortStableFunc(c.Records, func(a, b Record) int { return cmp.Compare(a.ArrivalMicros, b.ArrivalMicros) })
	if !c.Complete {
		c.Length = latest
	}
	if n := len(c.Records); n > 0 {
		c.Length = max(c.Length, c.Records[n-1].Arrival()+time.Microsecond)
	}
}

// decodeStrict decodes a line into v and rejects unknown fields.
func decodeStrict(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("not a line of a capture: %w", err)
	}
	if d.More() {
		return errors.New("more than one JSON value in a line")
	}
	return nil
}
