package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"robindrum/balancer"
	"robindrum/internal/config"
	"robindrum/internal/proxy"
	"robindrum/internal/route"
)

const (
	// timeoutHeader contains the number of milliseconds that the client waits for the answer.
	timeoutHeader = "X-Expires-In-Ms"
	// drainRetryAfter is the Retry-After in answers to requests that a draining gateway rejects.
	drainRetryAfter = time.Second
	// dropScale is the denominator of the fraction of requests to drop for a control plane's drop_overloads.
	dropScale = 1 << 32
)

// Route returns the core that handles a request, or the answer if no core does. It implements proxy.Router.
func (g *Gateway) Route(r *http.Request, from proxy.Peer) proxy.Destination {
	destination := g.destination(r, from)
	if destination.Core == nil {
		g.unrouted.Add(1)
	}
	return destination
}

func (g *Gateway) destination(r *http.Request, from proxy.Peer) proxy.Destination {
	if g.rejectingRequests.Load() {
		return proxy.Destination{
			Status:     http.StatusServiceUnavailable,
			Text:       "this gateway is taken out of service",
			RetryAfter: drainRetryAfter,
			Close:      true,
		}
	}
	path := r.URL.EscapedPath()
	if hasDotSegment(path) {
		return proxy.Destination{Status: http.StatusBadRequest, Text: "a path with . or .. segments", Close: true}
	}
	routing := g.routing.Load()
	found, ok := routing.find(r, path)
	if !ok {
		return proxy.Destination{Status: http.StatusNotFound, Text: "no route"}
	}
	c := routing.clusters[found.Cluster]
	if c == nil {
		return unavailable("cluster " + found.Cluster + " is not known")
	}
	if drop := c.dropThreshold.Load(); drop > 0 && rand.Uint64N(dropScale) < drop {
		c.totals.dropped.Add(1)
		return unavailable("refused by the control plane's drop_overloads")
	}
	attributes := g.attributes(r.Method, &found)
	if rejected := routing.checkRateLimits(g.Now(), r, from, found.Route.Name, attributes.Class); rejected != nil {
		return *rejected
	}
	if routing.keyRequired[attributes.Class] && attributes.Key == "" {
		attributes.Class += withoutKeySuffix
	}
	core := c.core.Load()
	deadline := core.Deadline(attributes.Class)
	if deadline <= 0 { // the last reload removed the class
		return unavailable("class " + found.Class + " is not known")
	}
	attributes.TimeLeft = clientDeadline(r, deadline)
	return proxy.Destination{Core: core, Attributes: attributes}
}

func unavailable(text string) proxy.Destination {
	return proxy.Destination{Status: http.StatusServiceUnavailable, Text: text}
}

// find returns the route of a request. Configured routes take precedence over those of the control plane.
func (r *routing) find(request *http.Request, path string) (route.Result, bool) {
	query := route.Request{
		Host:     request.Host,
		Method:   request.Method,
		Path:     path,
		RawQuery: request.URL.RawQuery,
		Header:   request.Header,
	}
	found, ok := r.configured.Find(&query, rand.Uint64())
	if !ok && r.dynamic != nil {
		return r.dynamic.Find(&query, rand.Uint64())
	}
	return found, ok
}

// attributes returns the balancer's view of a request, except for its deadline.
func (g *Gateway) attributes(method string, found *route.Result) balancer.Request {
	attributes := balancer.Request{
		ID:           strconv.FormatUint(g.lastRequestID.Add(1), 36),
		Class:        found.Class,
		Key:          found.Key,
		Tenant:       found.Tenant,
		HighPriority: found.Route.High,
	}
	defaultClass := config.DefaultSafeClass
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
	default:
		attributes.Write = true
		defaultClass = config.DefaultUnsafeClass
	}
	if attributes.Class == "" {
		attributes.Class = defaultClass
	}
	return attributes
}

// clientDeadline returns the timeout that the client sets in timeoutHeader, or the deadline of the class if that is shorter
// or the header is missing or invalid.
func clientDeadline(r *http.Request, deadline time.Duration) time.Duration {
	milliseconds, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 64)
	if err != nil || milliseconds <= 0 || milliseconds >= deadline.Milliseconds() {
		return deadline
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// hasDotSegment reports whether a path has a "." or ".." segment, percent-encoded or not. An upstream may resolve /a/../b
// to /b, although the request would have been routed by /a.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, ".") && !strings.Contains(path, "%2") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if len(segment) > len("%2e%2e") {
			continue
		}
		decoded := strings.ReplaceAll(strings.ToLower(segment), "%2e", ".")
		if decoded == "." || decoded == ".." {
			return true
		}
	}
	return false
}
