package gateway

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"robindrum/internal/capture"
	"robindrum/internal/proxy"
)

const (
	defaultCaptureTime = time.Minute
	maxCaptureSeconds  = 1e6
	maxCaptureRecords  = 1e9
	// captureWriteTimeout is the timeout of a write. It ends a capture whose client stops reading, because the Recorder's
	// buffer is bounded.
	captureWriteTimeout = 10 * time.Second
)

// captureOutcomes maps the outcomes of requests to those in a capture. All others are capture.Failed.
var captureOutcomes = map[proxy.RequestOutcome]capture.Outcome{
	proxy.OutcomeServed:     capture.Served,
	proxy.OutcomeRejected:   capture.Rejected,
	proxy.OutcomeClientLeft: capture.Abandoned,
}

// recordCompleted counts a completed request and adds it to the capture, if one is running. It is called with a core's
// lock held and never blocks.
func (g *Gateway) recordCompleted(completed proxy.Completed) {
	class := strings.TrimSuffix(completed.Attributes.Class, withoutKeySuffix)
	if g.fleet != nil {
		objective, known := g.routing.Load().latencyObjectives[class]
		g.outcomes.add(class, completed.Outcome, completed.Latency, known && completed.Latency <= objective)
	}
	recorder := g.recorder.Load()
	if recorder == nil {
		return
	}
	outcome, known := captureOutcomes[completed.Outcome]
	if !known {
		outcome = capture.Failed
	}
	key := completed.Attributes.Key
	if key == "" {
		key = completed.Attributes.Tenant
	}
	recorder.Add(class, key, completed.Method, completed.Attributes.Size, completed.Latency, outcome)
}

// serveCapture streams a capture of the load, as in POST /capture?seconds=60&sample=1&records=1000000. Only one capture can
// run at a time.
func (g *Gateway) serveCapture(w http.ResponseWriter, r *http.Request) {
	options, optionsErr := captureOptions(r.URL.Query())
	g.mu.Lock()
	options.Gateway = g.config.Zone
	g.mu.Unlock()
	recorder, err := capture.NewRecorder(options)
	err = errors.Join(optionsErr, err)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !g.recorder.CompareAndSwap(nil, recorder) {
		http.Error(w, "a capture is under way", http.StatusConflict)
		return
	}
	defer g.recorder.Store(nil)
	w.Header().Set("Content-Type", "application/x-ndjson")
	writer := flushingWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
	if err := recorder.Write(r.Context(), writer); err != nil {
		g.log.Warn("capture aborted", "error", err)
	}
}

// captureOptions parses the options of a capture. It clamps seconds and records only so far that their conversion does not
// overflow; capture.NewRecorder rejects values that are out of range.
func captureOptions(query url.Values) (capture.Options, error) {
	options := capture.Options{Duration: defaultCaptureTime, SampleRate: 1}
	var errs []error
	parse := func(name string, apply func(float64)) {
		text := query.Get(name)
		if text == "" {
			return
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(value) {
			errs = append(errs, fmt.Errorf("%s: want a number, not %q", name, text))
			return
		}
		apply(value)
	}
	parse("seconds", func(value float64) {
		options.Duration = time.Duration(min(max(value, 0), maxCaptureSeconds) * float64(time.Second))
	})
	parse("sample", func(value float64) { options.SampleRate = value })
	parse("records", func(value float64) { options.MaxRecords = int(min(max(value, -1), maxCaptureRecords)) })
	return options, errors.Join(errs...)
}

// flushingWriter flushes after each write. A Recorder writes large chunks, so this costs little.
type flushingWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Write writes and flushes p.
func (f flushingWriter) Write(p []byte) (int, error) {
	_ = f.controller.SetWriteDeadline(time.Now().Add(captureWriteTimeout)) // not every writer supports deadlines
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = f.controller.Flush()
	}
	return n, err
}
