package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HealthCheck sends a GET request for path to an endpoint and returns the result. It ends early if ctx is done.
func HealthCheck(ctx context.Context, up *Upstream, path string, timeout time.Duration) Reply {
	req := &Request{Method: http.MethodGet, URI: path, Header: http.Header{}}
	a := NewAttempt(up, req, time.Now().Add(timeout))
	defer context.AfterFunc(ctx, a.Cancel)()
	return a.Do(func(int, http.Header, int64) io.Writer { return nil })
}

// ParseLoad parses a load report such as "TEXT inflight=7, queue=2". It skips invalid pairs and returns nil if the prefix
// "TEXT " is missing.
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
