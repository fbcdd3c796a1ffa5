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

// Options bound a recording.
type Options struct {
	For     time.Duration // above 0 to an hour
	Sample  float64       // part of requests, above 0 to 1
	Records int           // at most; 0: 1,000,000
	Gateway string        // its name, for the header
}

// Check says what cannot be used.
func (o *Options) Check() error {
	switch {
	case o.For <= 0 || o.For > time.Hour:
		return fmt.Errorf("for: want more than 0 and an hour at most, not %v", o.For)
	case !(o.Sample > 0 && o.Sample <= 1):
		return fmt.Errorf("sample: want more than 0 and 1 at most, not %v", o.Sample)
	case o.Records < 0 || o.Records > MaxRecords:
		return fmt.Errorf("records: want 0 to %d, not %d", MaxRecords, o.Records)
	}
	return nil
}

// Recorder takes requests as they end. Add may be called by several goroutines at once and never waits: what the writer has
// no room for is counted as missed.
type Recorder struct {
	opt    Options
	began  time.Time
	queue  chan entry
	missed atomic.Uint64
}

type entry struct {
	Record
	key string // as it was: it never leaves this process
}

const queued = 16 << 10 // records

// NewRecorder makes one. It records nothing until Write runs.
func NewRecorder(o Options) (*Recorder, error) {
	if o.Records == 0 {
		o.Records = 1_000_000
	}
	if err := o.Check(); err != nil {
		return nil, err
	}
	return &Recorder{opt: o, began: time.Now(), queue: make(chan entry, queued)}, nil
}

// Add takes a request that ends now. Its key is hashed before it is written.
func (r *Recorder) Add(class, key, method string, size int64, took time.Duration, out Outcome) {
	if r.opt.Sample < 1 && mathrand.Float64() >= r.opt.Sample {
		return
	}
	at := time.Since(r.began) - took
	if at < 0 {
		return // it came before the recording began
	}
	select {
	case r.queue <- entry{Record{At: at.Microseconds(), Class: class, Method: method, Size: size, Took: took.Microseconds(), Outcome: out}, key}:
	default:
		r.missed.Add(1)
	}
}

// Write writes what is added, until the time is over, ctx ends, or as many records are written as may be. A capture whose
// writing broke off has no trailer.
func (r *Recorder) Write(ctx context.Context, out io.Writer) error {
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("a secret for the capture: %w", err)
	}
	w := bufio.NewWriterSize(out, 64<<10)
	enc := json.NewEncoder(w)
	if err := errors.Join(enc.Encode(Header{Version: Version, Began: r.began.UTC(), Sample: r.opt.Sample, Gateway: r.opt.Gateway}), w.Flush()); err != nil {
		return fmt.Errorf("writing the capture: %w", err)
	}
	ctx, cancel := context.WithDeadline(ctx, r.began.Add(r.opt.For))
	defer cancel()
	flush := time.NewTicker(time.Second)
	defer flush.Stop()
	n := 0
	for more := true; more && n < r.opt.Records; {
		var err error
		select {
		case e := <-r.queue:
			n++
			err = r.one(enc, &e, secret)
		case <-flush.C:
			err = w.Flush()
		case <-ctx.Done():
			more = false
		}
		if err != nil {
			return fmt.Errorf("writing the capture: %w", err)
		}
	}
	for len(r.queue) > 0 && n < r.opt.Records {
		e := <-r.queue
		n++
		if err := r.one(enc, &e, secret); err != nil {
			return fmt.Errorf("writing the capture: %w", err)
		}
	}
	t := Trailer{End: true, Length: time.Since(r.began).Microseconds(), Records: n, Missed: r.missed.Load() + uint64(len(r.queue))}
	if err := errors.Join(enc.Encode(t), w.Flush()); err != nil {
		return fmt.Errorf("writing the capture: %w", err)
	}
	return nil
}

func (r *Recorder) one(enc *json.Encoder, e *entry, secret []byte) error {
	if e.key != "" {
		h := hmac.New(sha256.New, secret)
		h.Write([]byte(e.key))
		e.Key = hex.EncodeToString(h.Sum(nil)[:8])
	}
	return enc.Encode(e.Record)
}
