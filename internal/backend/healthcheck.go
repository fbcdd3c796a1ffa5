package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HealthCheck requests path from an endpoint and returns the result.
func HealthCheck(ctx context.Context, up *Upstream, path string, timeout time.Duration) Reply {
	req := &Request{Method: http.MethodGet, URI: path, Header: http.Header{}}
	a := NewAttempt(up, req, time.Now().Add(timeout))
	defer context.AfterFunc(ctx, a.Cancel)()
	return a.Do(func(int, http.Header, int64) io.Writer { return nil })
}

// ParseLoad reads a load report, "TEXT inflight=7, queue=2". What is not understood is passed over.
func ParseLoad(text string) map[string]float64 {
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return nil
	}
	load := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			load[name] = v
		}
	}
	return load
}
