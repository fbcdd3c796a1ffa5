package capture

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"sync/atomic"
	"time"
)

// Options configures a recording.
type Options struct {
	Duration   time.Duration // more than 0 and at most an hour
	SampleRate float64       // fraction of requests, more than 0 and at most 1
	MaxRecords int           // 0: defaultMaxRecords
	Gateway    string        // name for the header
}

// Validate returns an error that names the first invalid option.
func (o *Options) Validate() error {
	switch {
	case o.Duration <= 0 || o.Duration > time.Hour:
		return fmt.Errorf("for: want more than 0 and at most an hour, got %v", o.Duration)
	case !(o.SampleRate > 0 && o.SampleRate <= 1):
		return fmt.Errorf("sample: want more than 0 and at most 1, got %v", o.SampleRate)
	case o.MaxRecords < 0 || o.MaxRecords > MaxRecords:
		return fmt.Errorf("records: want 0 to %d, got %d", MaxRecords, o.MaxRecords)
	}
	return nil
}

// Recorder records requests as they end. Add is safe for concurrent use and does not block; if the queue is full, the request is counted
// as missed. Write may be called once.
type Recorder struct {
	options   Options
	startedAt time.Time
	queue     chan entry
	missed    atomic.Uint64
}

type entry struct {
	Record
	plainKey string // hashed before it is written
}

const (
	queueSize         = 16 << 10 // records
	defaultMaxRecords = 1_000_000
	secretBytes       = 32
	keyHashBytes      = 8
	writeBufferBytes  = 64 << 10
	flushInterval     = time.Second
)

// NewRecorder returns a recorder of requests that arrive from now on. Up to queueSize of them are queued until Write writes them.
func NewRecorder(o Options) (*Recorder, error) {
	if o.MaxRecords == 0 {
		o.MaxRecords = defaultMaxRecords
	}
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return &Recorder{options: o, startedAt: time.Now(), queue: make(chan entry, queueSize)}, nil
}

// Add records a request that ends now. Its key is hashed before it is written.
func (r *Recorder) Add(class, key, method string, size int64, latency time.Duration, outcome Outcome) {
	if r.options.SampleRate < 1 && mathrand.Float64() >= r.options.SampleRate {
		return
	}
	arrival := time.Since(r.startedAt) - latency
	if arrival < 0 {
		return // the request arrived before the recording started
	}
	record := Record{
		ArrivalMicros: arrival.Microseconds(),
		Class:         class,
		Method:        method,
		BodyBytes:     size,
		LatencyMicros: latency.Microseconds(),
		Outcome:       outcome,
	}
	select {
	case r.queue <- entry{record, key}:
	default:
		r.missed.Add(1)
	}
}

// Write writes the recorded requests to out. It blocks until the duration is over, ctx ends, or the maximum number of records is reached,
// and then writes the trailer. If Write returns an error, the capture has no complete trailer.
func (r *Recorder) Write(ctx context.Context, out io.Writer) error {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("generating the secret of the capture: %w", err)
	}
	buffer := bufio.NewWriterSize(out, writeBufferBytes)
	w := &entryWriter{buffer: buffer, encoder: json.NewEncoder(buffer), secret: secret}
	if err := r.write(ctx, w); err != nil {
		return fmt.Errorf("writing the capture: %w", err)
	}
	return nil
}

func (r *Recorder) write(ctx context.Context, w *entryWriter) error {
	header := Header{Version: Version, StartedAt: r.startedAt.UTC(), SampleRate: r.options.SampleRate, Gateway: r.options.Gateway}
	if err := w.writeAndFlush(header); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, r.startedAt.Add(r.options.Duration))
	defer cancel()
	if err := r.writeUntilDone(ctx, w); err != nil {
		return err
	}
	for len(r.queue) > 0 && w.records < r.options.MaxRecords {
		if err := w.write(<-r.queue); err != nil {
			return err
		}
	}
	return w.writeAndFlush(Trailer{
		End:          true,
		LengthMicros: time.Since(r.startedAt).Microseconds(),
		Records:      w.records,
		Missed:       r.missed.Load() + uint64(len(r.queue)),
	})
}

// writeUntilDone writes entries until ctx ends or the maximum number of records is reached.
func (r *Recorder) writeUntilDone(ctx context.Context, w *entryWriter) error {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for w.records < r.options.MaxRecords {
		var err error
		select {
		case e := <-r.queue:
			err = w.write(e)
		case <-flush.C:
			err = w.buffer.Flush()
		case <-ctx.Done():
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// entryWriter writes the lines of a capture.
type entryWriter struct {
	buffer  *bufio.Writer
	encoder *json.Encoder // writes to buffer
	secret  []byte        // for the hashes of keys
	records int           // number of records written
}

// write writes a record with the hash of its key.
func (w *entryWriter) write(e entry) error {
	w.records++
	if e.plainKey != "" {
		h := hmac.New(sha256.New, w.secret)
		h.Write([]byte(e.plainKey))
		e.Key = hex.EncodeToString(h.Sum(nil)[:keyHashBytes])
	}
	return w.encoder.Encode(e.Record)
}

func (w *entryWriter) writeAndFlush(line any) error {
	return errors.Join(w.encoder.Encode(line), w.buffer.Flush())
}
