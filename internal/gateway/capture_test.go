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

// A capture contains the requests made while it runs, with hashed keys. Only one runs at a time, and it ends when its
// reader leaves.
func TestCapture(t *testing.T) {
	testbed.Leaks(t)
	o := newOrigin(t)
	o.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/bad" {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}
		return false
	})
	conf := strings.Replace(configWithOrigins(t, "", o), "routes: [{", "routes: [{key: {header: Idempotency-Key}, ", 1)
	g := run(t, conf+"classes: [{name: default-safe, wanted: 1s, deadline: 3s}, {name: default-unsafe, effect: unsafe, wanted: 1s, deadline: 3s}]\n")
	admin := httptest.NewServer(g.Admin())
	t.Cleanup(admin.Close)
	ask := func(ctx context.Context, query string) *http.Response {
		t.Helper()
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, admin.URL+"/capture?"+query, nil)
		resp, err := admin.Client().Do(r)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	for query, want := range map[string]string{"seconds=0": "for: want more than 0", "sample=3": "sample: want", "seconds=x": `seconds: want a number, not "x"`, "records=-1": "records: want 0"} {
		resp := ask(t.Context(), query)
		text, _ := io.ReadAll(resp.Body)
		if resp.Body.Close(); resp.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), want) {
			t.Errorf("%s: %d %s", query, resp.StatusCode, text)
		}
	}
	u := newUser(t, g)
	ctx, leave := context.WithCancel(t.Context())
	first := ask(ctx, "seconds=60")
	if second := ask(t.Context(), "seconds=1"); second.StatusCode != http.StatusConflict {
		t.Errorf("a second one: %d", second.StatusCode)
	} else {
		second.Body.Close()
	}
	leave()
	first.Body.Close()
	testbed.Eventually(t, "the one whose reader left to end", func() bool { return g.recorder.Load() == nil })
	third := ask(t.Context(), "seconds=60&records=4")
	defer third.Body.Close()
	for _, path := range []string{"/a", "/b?who=me", "/bad"} {
		if _, err := u.do(http.MethodGet, path); err != nil {
			t.Fatal(err)
		}
	}
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, u.base+"/pay", strings.NewReader("body!"))
	r.Header.Set("Idempotency-Key", "customer-secret")
	if resp, err := u.Do(r); err != nil {
		t.Fatal(err)
	} else {
		resp.Body.Close()
	}
	text, err := io.ReadAll(third.Body)
	if err != nil {
		t.Fatal(err)
	}
	c, err := capture.Read("capture", bytes.NewReader(text))
	if err != nil || !c.Complete || len(c.Records) != 4 {
		t.Fatalf("%v\n%s", err, text)
	}
	for i, want := range []capture.Record{{Class: "default-safe", Method: "GET", Outcome: capture.Served}, {Class: "default-safe", Method: "GET", Outcome: capture.Served},
		{Class: "default-safe", Method: "GET", Outcome: capture.Failed}, {Class: "default-unsafe", Method: "POST", Outcome: capture.Served, BodyBytes: 5}} {
		got := c.Records[i]
		if got.Class != want.Class || got.Method != want.Method || got.Outcome != want.Outcome || got.BodyBytes != want.BodyBytes || got.LatencyMicros <= 0 || (got.Key != "") != (i == 3) {
			t.Errorf("%d: %+v", i, got)
		}
	}
	for _, secret := range []string{"secret", "who=me", "/pay", "body!", o.Addr, "127.0.0.1"} {
		if strings.Contains(string(text), secret) {
			t.Errorf("%q is in the capture:\n%s", secret, text)
		}
	}
}
