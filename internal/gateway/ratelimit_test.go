package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"robindrum/internal/testbed"
)

// Rate limits by header and by address let the burst pass, and then reject requests with 429 and the rate limit headers.
// Other keys and routes are not affected. A reload that does not change a limit keeps its counts.
func TestRateLimits(t *testing.T) {
	testbed.Leaks(t)
	backend := newOrigin(t)
	conf := func(rate string) string {
		return strings.Replace(configWithOrigins(t, "", backend), "routes: [", "routes: [{name: free, match: {prefix: /free}, cluster: c}, {name: rest, match: {prefix: /r}, cluster: c}, ", 1) +
			"rate_limits:\n  - {name: tenant, routes: [rest], key: {header: X-Tenant}, rate: 0.1, burst: 3}\n" +
			"  - {name: address, listeners: [web], routes: [rest], classes: [default-unsafe], key: {address: {ipv4: 24}}, rate: " + rate + ", burst: 2}\n"
	}
	g := runGatewayWithConfig(t, conf("0.1"))
	client := newTestClient(t, g)
	count := func(n int, method, path string, header ...string) (served, rejected int) {
		for range n {
			r, err := client.do(method, path, header...)
			switch {
			case err != nil:
				t.Fatal(err)
			case r.status == 200:
				served++
			case r.status == 429:
				rejected++
				if n, err := strconv.Atoi(r.header.Get("Retry-After")); err != nil || n < 1 || n > 30 {
					t.Errorf("Retry-After: got %q, want 1 to 30", r.header.Get("Retry-After"))
				}
				if policy, limit := r.header.Get("RateLimit-Policy"), r.header.Get("RateLimit"); !strings.Contains(policy, ";q=") || !strings.Contains(limit, ";r=0;t=") {
					t.Errorf("got RateLimit-Policy %q, RateLimit %q, want a q parameter and r=0 with a t parameter", policy, limit)
				}
			}
		}
		return served, rejected
	}
	if served, rejected := count(5, http.MethodGet, "/r", "X-Tenant", "a"); served != 3 || rejected != 2 {
		t.Errorf("5 requests of a tenant: got %d served, %d rejected, want 3 and 2", served, rejected)
	}
	if served, _ := count(3, http.MethodGet, "/r", "X-Tenant", "b"); served != 3 {
		t.Errorf("3 requests of another tenant: got %d served, want 3", served)
	}
	if served, _ := count(9, http.MethodGet, "/free", "X-Tenant", "a"); served != 9 {
		t.Errorf("9 requests to a route without limits: got %d served, want 9", served)
	}
	if served, rejected := count(3, http.MethodPost, "/r", "X-Tenant", "c"); served != 2 || rejected != 1 {
		t.Errorf("3 requests from one address: got %d served, %d rejected, want 2 and 1", served, rejected)
	}
	if err := g.Reload(parseConfig(t, conf("0.2"))); err != nil {
		t.Fatal(err)
	}
	if served, _ := count(2, http.MethodGet, "/r", "X-Tenant", "a"); served != 0 {
		t.Errorf("requests under a limit that the reload did not change: got %d served, want 0", served)
	}
	if served, _ := count(1, http.MethodPost, "/r", "X-Tenant", "d"); served != 1 {
		t.Errorf("requests under a limit that the reload changed: got %d served, want 1", served)
	}
	for _, limitStatus := range g.Status(0).RateLimits {
		if limitStatus.Name == "tenant" && (limitStatus.Rejected != 4 || limitStatus.CountedTogether != 0) {
			t.Errorf("status of the rate limit: got %+v, want 4 rejected and 0 counted together", limitStatus)
		}
	}
}
