package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"robindrum/balancer"
)

// deliverFailure delivers a failed call or an ended watch, unless ctx was cancelled by this client. silence is the time since
// the last line of the watch, 0 if there is none; cause is why a call failed, nil if it is not known.
func (c *Client) deliverFailure(ctx context.Context, silence time.Duration, cause error) {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	c.stats.Failures++
	failure := balancer.EndpointUpdate{Kind: balancer.UpdateFailed, SilentFor: silence}
	failure.Interrupted = errors.Is(cause, errIncomplete)
	failure.Busy = !failure.Interrupted && isTurnedAway(cause)
	c.deliver(Update{EndpointUpdate: failure})
}

// isTurnedAway reports whether a call failed because the service responded with an error or closed the connection that it had accepted.
func isTurnedAway(cause error) bool {
	var status *statusError
	var network *net.OpError
	switch {
	case errors.As(cause, &status):
		return true
	case errors.As(cause, &network) && network.Op == "dial":
		return false
	}
	return errors.Is(cause, io.EOF) || errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE)
}

// statusError is a response of the service with a status other than 200.
type statusError struct{ code int }

func (e *statusError) Error() string {
	return fmt.Sprintf("discovery responded with status %d, want %d", e.code, http.StatusOK)
}

// startCall starts the watch or the fetch with the given ID and returns the response and the revision that was known at the start.
func (c *Client) startCall(ctx context.Context, id uint64, watch bool) (resp *http.Response, known knownRevision, err error) {
	c.deliverMu.Lock()
	c.mu.Lock()
	known = knownRevision{c.revision, c.hasRevision}
	url := c.url
	c.mu.Unlock()
	c.stats.Calls++
	c.deliverMu.Unlock()
	slog.Info("list requested", "call", id, "watch", watch, "url", url, "known", known.known, "revision", known.revision)
	if watch {
		url += "?watch=1"
		if known.known {
			url += "&after=" + strconv.FormatUint(known.revision, 10)
		}
	}
	resp, err = c.get(ctx, url)
	return resp, known, err
}

// knownRevision is the revision of the list delivered last; known is false if none was delivered.
type knownRevision struct {
	revision uint64
	known    bool
}

func (c *Client) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &statusError{resp.StatusCode}
	}
	return resp, nil
}

func (c *Client) fetch(ctx context.Context, id uint64) error {
	resp, known, err := c.startCall(ctx, id, false)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxLineBytes {
		return fmt.Errorf("endpoint list must be at most %d bytes", maxLineBytes)
	}
	_, err = c.deliverLine(ctx, id, text, known)
	return err
}
