package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"robindrum/internal/testbed"
	"robindrum/internal/testbed/origin"
)

// TestDelayLossAndClose checks the delay in both directions, the loss of responses, for which the client must get neither a response nor
// an error, and Close.
func TestDelayLossAndClose(t *testing.T) {
	testbed.Leaks(t)
	o, err := origin.Start("", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Kill)
	relay, err := Start(o.Addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	transport := &http.Transport{DisableKeepAlives: true}
	get := func(within time.Duration) (string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+relay.Addr+"/x", nil)
		resp, err := transport.RoundTrip(request)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	if body, err := get(10 * time.Second); body != "/x\n" || err != nil {
		t.Fatalf("GET /x = %q, %v; want the path and no error", body, err)
	}
	relay.SetDelay(30 * time.Millisecond)
	began := time.Now()
	if _, err := get(10 * time.Second); err != nil || time.Since(began) < 60*time.Millisecond {
		t.Errorf("GET with a delay of 30 ms each way: error %v after %v, want none after at least 60 ms", err, time.Since(began))
	}
	relay.SetDelay(0)
	relay.SetLoss(0.8)
	served, timedOut := 0, 0
	for range 40 {
		switch _, err := get(50 * time.Millisecond); {
		case err == nil:
			served++
		case errors.Is(err, context.DeadlineExceeded):
			timedOut++
		default:
			t.Errorf("GET with loss: got error %v, want a response or a timeout", err)
		}
	}
	if timedOut < 20 || served < 1 || relay.Lost() < timedOut {
		t.Errorf("%d of 40 requests served, %d timed out, Lost() = %d; want at least 1, at least 20 and at least one loss per timeout", served, timedOut, relay.Lost())
	}
	relay.Close()
	if _, err := get(time.Second); err == nil {
		t.Error("GET through a closed link succeeded")
	}
}
