package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"robindrum/internal/capture"
	"robindrum/internal/proxy"
)

// recordCompleted hands a request that has its answer to the recording under way, if there is one. It is called with a core's lock
// held, and never waits.
func (g *Gateway) recordCompleted(e proxy.Completed) {
	if g.fleet != nil {
		class := strings.TrimSuffix(e.Attributes.Class, withoutKey)
		wanted, known := g.routing.Load().latencyObjectives[class]
		g.outcomes.add(class, e.Outcome, e.Latency, known && e.Latency <= wanted)
	}
	r := g.recorder.Load()
	if r == nil {
		return
	}
	out := capture.Failed
	switch e.Outcome {
	case proxy.OutcomeServed:
		out = capture.Served
	case proxy.OutcomeRejected:
		out = capture.Refused
	case proxy.OutcomeClientLeft:
		out = capture.Left
	}
	key := e.Attributes.Key
	if key == "" {
		key = e.Attributes.Tenant
	}
	r.Add(strings.TrimSuffix(e.Attributes.Class, withoutKey), key, e.Method, e.Attributes.Size, e.Latency, out)
}

// serveCapture streams a recording of the load: POST /capture?seconds=60&sample=1&records=1000000. There is one at a time.
func (g *Gateway) serveCapture(w http.ResponseWriter, r *http.Request) {
	o := capture.Options{For: time.Minute, Sample: 1}
	q := r.URL.Query()
	var errs []error
	number := func(name string, to func(float64)) {
		if text := q.Get(name); text != "" {
			v, err := strconv.ParseFloat(text, 64)
			if err != nil || v != v {
				errs = append(errs, errors.New(name+": want a number, not "+strconv.Quote(text)))
				return
			}
			to(v)
		}
	}
	number("seconds", func(v float64) { o.For = time.Duration(min(max(v, 0), 1e6) * float64(time.Second)) })
	number("sample", func(v float64) { o.Sample = v })
	number("records", func(v float64) { o.Records = int(min(max(v, -1), 1e9)) })
	g.mu.Lock()
	o.Gateway = g.config.Zone
	g.mu.Unlock()
	rec, err := capture.NewRecorder(o)
	if errs = append(errs, err); errors.Join(errs...) != nil {
		http.Error(w, errors.Join(errs...).Error(), http.StatusBadRequest)
		return
	}
	if !g.recorder.CompareAndSwap(nil, rec) {
		http.Error(w, "a capture is under way", http.StatusConflict)
		return
	}
	defer g.recorder.Store(nil)
	w.Header().Set("Content-Type", "application/x-ndjson")
	c := http.NewResponseController(w)
	if err := rec.Write(r.Context(), flushingWriter{w, c}); err != nil {
		g.log.Warn("a capture broke off", "error", err)
	}
}

// flushingWriter passes on at once what a Recorder gives it, which comes in large parts. One that reads nothing is given up after
// a while, as the Recorder holds a bounded part for it.
type flushingWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

func (f flushingWriter) Write(p []byte) (int, error) {
	_ = f.controller.SetWriteDeadline(time.Now().Add(10 * time.Second)) // where there is no deadline the client's leaving ends it
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = f.controller.Flush()
	}
	return n, err
}
