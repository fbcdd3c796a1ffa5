package discovery

import (
	"io"
	"sync"
	"time"
)

// stallDetector passes on what a watch sends, and reports when nothing more comes within a line.
type stallDetector struct {
	source  io.Reader
	timeout time.Duration
	stalled func(partial []byte) // called once for each stall with what has come of the line; must not call the detector

	mu      sync.Mutex // held while stalled is called
	timer   *time.Timer
	partial []byte // what has come since the last complete line
	stopped bool
}

// newStallDetector returns a detector that reads from source. The caller must call stop.
func newStallDetector(source io.Reader, timeout time.Duration, stalled func(partial []byte)) *stallDetector {
	d := &stallDetector{source: source, timeout: timeout, stalled: stalled}
	d.timer = time.AfterFunc(timeout, d.expired)
	return d
}

// Read implements io.Reader.
func (d *stallDetector) Read(p []byte) (int, error) {
	n, err := d.source.Read(p)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partial = append(d.partial, p[:n]...)
	d.timer.Reset(d.timeout)
	return n, err
}

// lineComplete drops a complete line, behind which so many bytes have been read.
func (d *stallDetector) lineComplete(behind int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rest := d.partial[len(d.partial)-behind:]
	if cap(d.partial) > maxRetainedBytes {
		d.partial = nil
	}
	d.partial = append(d.partial[:0], rest...)
}

func (d *stallDetector) expired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped && len(d.partial) > 0 {
		d.stalled(d.partial)
	}
}

// stop ends the detection. stalled is not called after it returns.
func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}
