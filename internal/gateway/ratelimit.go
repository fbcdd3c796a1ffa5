package gateway

import (
	"fmt"
	"hash/maphash"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/proxy"
	"robindrum/internal/ratelimit"
)

// rateLimit is one limit of the configuration. It outlives reloads that leave it as it is.
type rateLimit struct {
	config   config.RateLimit
	gateways int // gateways that share it
	seed     maphash.Seed
	table    *ratelimit.Table
	policy   string // RateLimit-Policy
	allowed  atomic.Uint64
	refused  atomic.Uint64
}

// rateLimits makes a configuration's limits. What of the former ones is alike goes on, with all that it has counted.
func rateLimits(f *config.File, old []*rateLimit) (l []*rateLimit) {
	for _, c := range f.RateLimits {
		same := func(o *rateLimit) bool { return o.gateways == f.Gateway.Of && reflect.DeepEqual(o.config, c) }
		if i := slices.IndexFunc(old, same); i >= 0 {
			l = append(l, old[i])
			continue
		}
		// Gateways share nothing: each has its part of the whole.
		t, err := ratelimit.New(c.Rate/float64(f.Gateway.Of), max(c.Burst/f.Gateway.Of, 1), c.Keys)
		if err != nil { // the configuration was checked: this cannot be
			panic(fmt.Sprintf("rate limit %s: %v", c.Name, err))
		}
		l = append(l, &rateLimit{config: c, gateways: f.Gateway.Of, seed: maphash.MakeSeed(), table: t,
			policy: fmt.Sprintf("%q;q=%d;w=%d", c.Name, t.Burst(), ceilSeconds(t.Window()))})
	}
	return l
}

// ceilSeconds rounds up, as what is told in whole seconds must not be too short.
func ceilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// checkRateLimits counts a request for all limits that it falls under, and gives the answer where one of them refuses it.
func (t *routing) checkRateLimits(now time.Duration, r *http.Request, from proxy.Peer, route, class string) *proxy.Destination {
	for _, l := range t.rateLimits {
		if !l.applies(from.Listener, route, class) {
			continue
		}
		d := l.table.Allow(now, l.hash(r, from.Addr))
		if d.OK {
			l.allowed.Add(1)
			continue
		}
		l.refused.Add(1)
		// The fields of draft-ietf-httpapi-ratelimit-headers. Danger: all that share a key would come back at the same moment.
		return &proxy.Destination{Status: http.StatusTooManyRequests, Text: "rate limit " + l.config.Name,
			RetryAfter: time.Duration(float64(d.RetryAfter) * (1 + rand.Float64()/2)),
			Header:     http.Header{"Ratelimit-Policy": {l.policy}, "Ratelimit": {fmt.Sprintf("%q;r=%d;t=%d", l.config.Name, d.Remaining, ceilSeconds(d.Reset))}}}
	}
	return nil
}

func (l *rateLimit) applies(listener, route, class string) bool {
	in := func(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
	return in(l.config.Listeners, listener) && in(l.config.Routes, route) && in(l.config.Classes, class)
}

// hash is that of the request's key. Requests that have none share one.
func (l *rateLimit) hash(r *http.Request, from netip.Addr) uint64 {
	switch k := l.config.Key; {
	case k.Header != "":
		return maphash.String(l.seed, r.Header.Get(k.Header))
	case k.Cookie != "":
		if c, err := r.Cookie(k.Cookie); err == nil {
			return maphash.String(l.seed, c.Value)
		}
	case k.Address != nil:
		return maphash.Comparable(l.seed, proxy.PrefixOf(from, k.Address.IPv4, k.Address.IPv6))
	}
	return maphash.String(l.seed, "")
}

// RateLimitStatus is about one rate limit.
type RateLimitStatus struct {
	Name            string `json:"name"`
	Allowed         uint64 `json:"allowed"`
	Rejected        uint64 `json:"refused"`
	CountedTogether uint64 `json:"counted_together"` // requests whose keys found no room
}

func (g *Gateway) rateLimitStatus() (l []RateLimitStatus) {
	for _, x := range g.rateLimits {
		l = append(l, RateLimitStatus{x.config.Name, x.allowed.Load(), x.refused.Load(), x.table.SharedCount()})
	}
	return l
}

// reservedFiles is what the process needs of descriptors beside connections.
const reservedFiles = 64

// maxDescriptors is how many connections there may be: what was asked for, or what the system allows the process.
func maxDescriptors(asked int, log *slog.Logger) int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > uint64(asked+reservedFiles) {
		return asked
	}
	may := max(int(r.Cur)-reservedFiles, int(r.Cur)/2)
	log.Warn("the process may open fewer files than limits.descriptors says", "descriptors", asked, "used", may)
	return may
}
