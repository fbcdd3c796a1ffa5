package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"robindrum/internal/capture"
	"robindrum/internal/testbed"
)

// A capture contains the requests made while it runs, with hashed keys. Only one capture runs at a time, and it ends when its
// client disconnects.
func TestCapture(t *testing.T) {
	testbed.Leaks(t)
	backend := newOrigin(t)
	backend.SetHandler(func(w http.ResponseWriter, request *http.Request) bool {
		if request.URL.Path == "/bad" {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}
		return false
	})
	conf := strings.Replace(configWithOrigins(t, "", backend), "routes: [{", "routes: [{key: {header: Idempotency-Key}, ", 1)
	g := runGatewayWithConfig(t, conf+"classes: [{name: default-safe, wanted: 1s, deadline: 3s}, {name: default-unsafe, effect: unsafe, wanted: 1s, deadline: 3s}]\n")
	admin := httptest.NewServer(g.Admin())
	t.Cleanup(admin.Close)
	startCapture := func(ctx context.Context, query string) *http.Response {
		t.Helper()
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, admin.URL+"/capture?"+query, nil)
		resp, err := admin.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	for query, want := range map[string]string{"seconds=0": "for: want more than 0", "sample=3": "sample: want", "seconds=x": `seconds: want a number, not "x"`, "records=-1": "records: want 0"} {
		resp := startCapture(t.Context(), query)
		text, _ := io.ReadAll(resp.Body)
		if resp.Body.Close(); resp.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), want) {
			t.Errorf("POST /capture?%s: got status %d, body %q, want status 400 and %q", query, resp.StatusCode, text, want)
		}
	}
	client := newTestClient(t, g)
	ctx, leave := context.WithCancel(t.Context())
	first := startCapture(ctx, "seconds=60")
	if second := startCapture(t.Context(), "seconds=1"); second.StatusCode != http.StatusConflict {
		t.Errorf("POST /capture during another capture: got status %d, want 409", second.StatusCode)
	} else {
		second.Body.Close()
	}
	leave()
	first.Body.Close()
	testbed.Eventually(t, "the capture of the disconnected client to end", func() bool { return g.recorder.Load() == nil })
	third := startCapture(t.Context(), "seconds=60&records=4")
	defer third.Body.Close()
	for _, path := range []string{"/a", "/b?who=me", "/bad"} {
		if _, err := client.do(http.MethodGet, path); err != nil {
			t.Fatal(err)
		}
	}
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, client.base+"/pay", strings.NewReader("body!"))
	request.Header.Set("Idempotency-Key", "customer-secret")
	if resp, err := client.Do(request); err != nil {
		t.Fatal(err)
	} else {
		resp.Body.Close()
	}
	text, err := io.ReadAll(third.Body)
	if err != nil {
		t.Fatal(err)
	}
	captured, err := capture.Read("capture", bytes.NewReader(text))
	if err != nil || !captured.Complete || len(captured.Records) != 4 {
		t.Fatalf("Read: got error %v, want a complete capture with 4 records from:\n%s", err, text)
	}
	for i, want := range []capture.Record{{Class: "default-safe", Method: "GET", Outcome: capture.Served}, {Class: "default-safe", Method: "GET", Outcome: capture.Served},
		{Class: "default-safe", Method: "GET", Outcome: capture.Failed}, {Class: "default-unsafe", Method: "POST", Outcome: capture.Served, BodyBytes: 5}} {
		got := captured.Records[i]
		if got.Class != want.Class || got.Method != want.Method || got.Outcome != want.Outcome || got.BodyBytes != want.BodyBytes || got.LatencyMicros <= 0 || (got.Key != "") != (i == 3) {
			t.Errorf("record %d: got %+v, want %+v with a latency above 0 and a key only in record 3", i, got, want)
		}
	}
	for _, secret := range []string{"secret", "who=me", "/pay", "body!", backend.Addr, "127.0.0.1"} {
		if strings.Contains(string(text), secret) {
			t.Errorf("capture contains %q, want it absent:\n%s", secret, text)
		}
	}
}
