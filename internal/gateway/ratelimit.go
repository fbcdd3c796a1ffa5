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

// rateLimit is a rate limit of the configuration. It is kept across reloads that do not change it.
type rateLimit struct {
	config   config.RateLimit
	gateways int // number of gateways that share the limit
	seed     maphash.Seed
	table    *ratelimit.Table
	policy   string // value of the RateLimit-Policy header
	allowed  atomic.Uint64
	rejected atomic.Uint64
}

// newRateLimits returns the rate limits of a configuration. Unchanged ones keep their counts.
func newRateLimits(f *config.File, previous []*rateLimit) []*rateLimit {
	var limits []*rateLimit
	for _, settings := range f.RateLimits {
		unchanged := func(l *rateLimit) bool {
			return l.gateways == f.Gateway.Count && reflect.DeepEqual(l.config, settings)
		}
		if i := slices.IndexFunc(previous, unchanged); i >= 0 {
			limits = append(limits, previous[i])
			continue
		}
		limits = append(limits, newRateLimit(settings, f.Gateway.Count))
	}
	return limits
}

// newRateLimit returns this gateway's part of a rate limit. Gateways do not share their counts: each allows an equal part of
// the limit.
func newRateLimit(settings config.RateLimit, gateways int) *rateLimit {
	rate := settings.Rate / float64(gateways)
	burst := max(settings.Burst/gateways, 1)
	table, err := ratelimit.New(rate, burst, settings.Keys)
	if err != nil { // cannot happen: the configuration was checked
		panic(fmt.Sprintf("rate limit %s: %v", settings.Name, err))
	}
	return &rateLimit{
		config:   settings,
		gateways: gateways,
		seed:     maphash.MakeSeed(),
		table:    table,
		policy:   fmt.Sprintf("%q;q=%d;w=%d", settings.Name, table.Burst(), ceilSeconds(table.Window())),
	}
}

// ceilSeconds returns a duration in seconds, rounded up.
func ceilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// checkRateLimits counts a request against the limits that apply to it, up to the first that rejects it. It returns the
// answer if the request is rejected, and nil otherwise.
func (r *routing) checkRateLimits(now time.Duration, request *http.Request, from proxy.Peer, route, class string) *proxy.Destination {
	for _, limit := range r.rateLimits {
		if !limit.applies(from.Listener, route, class) {
			continue
		}
		decision := limit.table.Allow(now, limit.hash(request, from.Addr))
		if decision.OK {
			limit.allowed.Add(1)
			continue
		}
		limit.rejected.Add(1)
		return limit.rejection(decision)
	}
	return nil
}

// rejection returns the answer to a rejected request, with the header fields of draft-ietf-httpapi-ratelimit-headers. Its
// Retry-After is randomized, so that clients that share a key do not retry at the same time.
func (l *rateLimit) rejection(decision ratelimit.Decision) *proxy.Destination {
	remaining := fmt.Sprintf("%q;r=%d;t=%d", l.config.Name, decision.Remaining, ceilSeconds(decision.Reset))
	return &proxy.Destination{
		Status:     http.StatusTooManyRequests,
		Text:       "rate limit " + l.config.Name,
		RetryAfter: time.Duration(float64(decision.RetryAfter) * (1 + rand.Float64()/2)),
		Header:     http.Header{"Ratelimit-Policy": {l.policy}, "Ratelimit": {remaining}},
	}
}

// applies reports whether the limit counts requests of a listener, route and class.
func (l *rateLimit) applies(listener, route, class string) bool {
	matches := func(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
	return matches(l.config.Listeners, listener) && matches(l.config.Routes, route) && matches(l.config.Classes, class)
}

// hash returns the hash of the request's key. All requests without a key have the same hash.
func (l *rateLimit) hash(r *http.Request, from netip.Addr) uint64 {
	key := &l.config.Key
	switch {
	case key.Header != "":
		return maphash.String(l.seed, r.Header.Get(key.Header))
	case key.Cookie != "":
		if cookie, err := r.Cookie(key.Cookie); err == nil {
			return maphash.String(l.seed, cookie.Value)
		}
	case key.Address != nil:
		return maphash.Comparable(l.seed, proxy.PrefixOf(from, key.Address.IPv4, key.Address.IPv6))
	}
	return maphash.String(l.seed, "")
}

// RateLimitStatus describes one rate limit.
type RateLimitStatus struct {
	Name            string `json:"name"`
	Allowed         uint64 `json:"allowed"`
	Rejected        uint64 `json:"refused"`
	CountedTogether uint64 `json:"counted_together"` // requests counted under a shared key because the table is full
}

func (g *Gateway) rateLimitStatus() []RateLimitStatus {
	var limits []RateLimitStatus
	for _, limit := range g.rateLimits {
		limits = append(limits, RateLimitStatus{
			Name:            limit.config.Name,
			Allowed:         limit.allowed.Load(),
			Rejected:        limit.rejected.Load(),
			CountedTogether: limit.table.SharedCount(),
		})
	}
	return limits
}

// reservedDescriptors is the number of descriptors that the process needs for other purposes than connections.
const reservedDescriptors = 64

// maxDescriptors returns the number of descriptors for connections: the configured number, or less if the open files limit of
// the process requires it.
func maxDescriptors(configured int, log *slog.Logger) int {
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	if err != nil || limit.Cur > uint64(configured+reservedDescriptors) {
		return configured
	}
	allowed := max(int(limit.Cur)-reservedDescriptors, int(limit.Cur)/2)
	log.Warn("open files limit below limits.descriptors", "descriptors", configured, "used", allowed)
	return allowed
}
