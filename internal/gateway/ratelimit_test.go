package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"robindrum/internal/testbed"
)

// With rate limits by header and address the burst passes, and then there is 429 with the rate limit headers. Other keys
// and routes are not affected, and a reload that does not change a limit retains its counts.
func TestRateLimits(t *testing.T) {
	testbed.Leaks(t)
	o := newOrigin(t)
	conf := func(rate string) string {
		return strings.Replace(configWithOrigins(t, "", o), "routes: [", "routes: [{name: free, match: {prefix: /free}, cluster: c}, {name: rest, match: {prefix: /r}, cluster: c}, ", 1) +
			"rate_limits:\n  - {name: tenant, routes: [rest], key: {header: X-Tenant}, rate: 0.1, burst: 3}\n" +
			"  - {name: address, listeners: [web], routes: [rest], classes: [default-unsafe], key: {address: {ipv4: 24}}, rate: " + rate + ", burst: 2}\n"
	}
	g := run(t, conf("0.1"))
	u := newUser(t, g)
	count := func(n int, method, path string, header ...string) (ok, no int) {
		for range n {
			r, err := u.do(method, path, header...)
			switch {
			case err != nil:
				t.Fatal(err)
			case r.status == 200:
				ok++
			case r.status == 429:
				no++
				if n, err := strconv.Atoi(r.header.Get("Retry-After")); err != nil || n < 1 || n > 30 {
					t.Errorf("Retry-After: %q", r.header.Get("Retry-After"))
				}
				if p, l := r.header.Get("RateLimit-Policy"), r.header.Get("RateLimit"); !strings.Contains(p, ";q=") || !strings.Contains(l, ";r=0;t=") {
					t.Errorf("RateLimit-Policy: %s, RateLimit: %s", p, l)
				}
			}
		}
		return ok, no
	}
	if ok, no := count(5, http.MethodGet, "/r", "X-Tenant", "a"); ok != 3 || no != 2 {
		t.Errorf("%d served, %d refused", ok, no)
	}
	if ok, _ := count(3, http.MethodGet, "/r", "X-Tenant", "b"); ok != 3 {
		t.Errorf("another tenant: %d served", ok)
	}
	if ok, _ := count(9, http.MethodGet, "/free", "X-Tenant", "a"); ok != 9 {
		t.Errorf("another route: %d served", ok)
	}
	if ok, no := count(3, http.MethodPost, "/r", "X-Tenant", "c"); ok != 2 || no != 1 {
		t.Errorf("by address: %d served, %d refused", ok, no)
	}
	if err := g.Reload(parse(t, conf("0.2"))); err != nil {
		t.Fatal(err)
	}
	if ok, _ := count(2, http.MethodGet, "/r", "X-Tenant", "a"); ok != 0 {
		t.Errorf("%d served by a limit that a reload left alone", ok)
	}
	if ok, _ := count(1, http.MethodPost, "/r", "X-Tenant", "d"); ok != 1 {
		t.Errorf("%d served by a limit that a reload changed", ok)
	}
	for _, s := range g.Status(0).RateLimits {
		if s.Name == "tenant" && (s.Rejected != 4 || s.CountedTogether != 0) {
			t.Errorf("%+v", s)
		}
	}
}
