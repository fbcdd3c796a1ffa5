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

// TestDelayLossAndClose checks a delay in both directions, lost responses, of which the client hears nothing, and the end of the link.
func TestDelayLossAndClose(t *testing.T) {
	testbed.Leaks(t)
	o, err := origin.Start("", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Kill)
	k, err := Start(o.Addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	tr := &http.Transport{DisableKeepAlives: true}
	get := func(within time.Duration) (string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+k.Addr+"/x", nil)
		resp, err := tr.RoundTrip(r)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return string(b), err
	}
	if b, err := get(10 * time.Second); b != "/x\n" || err != nil {
		t.Fatalf("%q, %v", b, err)
	}
	k.SetDelay(30 * time.Millisecond)
	began := time.Now()
	if _, err := get(10 * time.Second); err != nil || time.Since(began) < 60*time.Millisecond {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	k.SetDelay(0)
	k.SetLoss(0.8)
	served, silent := 0, 0
	for range 40 {
		switch _, err := get(50 * time.Millisecond); {
		case err == nil:
			served++
		case errors.Is(err, context.DeadlineExceeded):
			silent++
		default:
			t.Errorf("neither served nor silent: %v", err)
		}
	}
	if silent < 20 || served < 1 || k.Lost() < silent {
		t.Errorf("%d served, %d silent, %d lost", served, silent, k.Lost())
	}
	k.Close()
	if _, err := get(time.Second); err == nil {
		t.Error("a link that was cut serves")
	}
}
