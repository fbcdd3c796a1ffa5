package config

import (
	"fmt"
	"strings"

	"robindrum/internal/ratelimit"
)

const (
	defaultKeys = 100_000
	ipv4Bits    = 32
	ipv6Bits    = 128
	// defaultIPv6Bits is the length of the prefix that is usually assigned to one client.
	defaultIPv6Bits = 64
)

// RateLimit limits the rate of requests with the same key, over all gateways. It applies to the listeners, routes and
// classes that are listed; an empty list stands for all of them.
type RateLimit struct {
	Name      string       `yaml:"name"`
	Listeners []string     `yaml:"listeners,omitempty"`
	Routes    []string     `yaml:"routes,omitempty"`
	Classes   []string     `yaml:"classes,omitempty"`
	Key       RateLimitKey `yaml:"key"`
	Rate      float64      `yaml:"rate"`  // requests per second
	Burst     int          `yaml:"burst"` // requests that may arrive at once
	Keys      int          `yaml:"keys"`  // number of keys that can be counted separately at the same time
}

// RateLimitKey is the key by which a rate limit distinguishes clients. If no field is set, all clients share one key.
type RateLimitKey struct {
	Header  string         `yaml:"header,omitempty"`
	Cookie  string         `yaml:"cookie,omitempty"`
	Address *AddressPrefix `yaml:"address,omitempty"` // source address of the client's connection
}

// AddressPrefix holds the length, in bits, of the address prefix that identifies a client.
type AddressPrefix struct {
	IPv4 int `yaml:"ipv4"`
	IPv6 int `yaml:"ipv6"`
}

func (l *RateLimit) setDefaults() {
	setDefault(&l.Burst, max(int(min(l.Rate, 1e9)), 1))
	setDefault(&l.Keys, defaultKeys)
	if prefix := l.Key.Address; prefix != nil {
		setDefault(&prefix.IPv4, ipv4Bits)
		setDefault(&prefix.IPv6, defaultIPv6Bits)
	}
}

func (f *File) checkRateLimits(d *decoder) {
	known := knownNames{listeners: map[string]bool{}, routes: map[string]bool{}, classes: f.classNames()}
	for _, l := range f.Listeners {
		known.listeners[l.Name] = true
	}
	for i := range f.Routes {
		known.routes[f.Routes[i].Name] = f.Routes[i].Name != ""
	}
	if f.XDS != nil { // the route may come from the control plane
		known.routes = nil
	}
	names := map[string]bool{}
	for i := range f.RateLimits {
		l := &f.RateLimits[i]
		field := fmt.Sprintf("rate_limits[%d]", i)
		switch {
		case !isHeaderString(l.Name):
			d.errorAt(field+".name", "must be printable ASCII without quotation marks and backslashes, got %q", l.Name)
		case names[l.Name]:
			d.errorAt(field+".name", "duplicate name %q", l.Name)
		}
		names[l.Name] = true
		l.checkNames(d, field, &known)
		l.Key.check(d, field+".key")
		rate := l.Rate / float64(max(f.Gateway.Count, 1))
		if _, err := ratelimit.New(rate, l.Burst, l.Keys); err != nil {
			d.errorAt(field, "%v", err)
		}
	}
}

// isHeaderString reports whether a name is not empty and needs no escapes in a quoted string of a header.
func isHeaderString(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r > '~' || r == '"' || r == '\\' })
}

// knownNames holds the names that a rate limit may refer to. If routes is nil, names of routes are not checked.
type knownNames struct {
	listeners map[string]bool
	routes    map[string]bool
	classes   map[string]bool
}

func (l *RateLimit) checkNames(d *decoder, field string, known *knownNames) {
	checkKnown(d, field+".listeners", l.Listeners, known.listeners)
	checkKnown(d, field+".classes", l.Classes, known.classes)
	if known.routes != nil {
		checkKnown(d, field+".routes", l.Routes, known.routes)
	}
}

func checkKnown(d *decoder, field string, names []string, known map[string]bool) {
	for i, name := range names {
		if !known[name] {
			d.errorAt(fmt.Sprintf("%s[%d]", field, i), "unknown name %q", name)
		}
	}
}

func (k *RateLimitKey) check(d *decoder, field string) {
	count := 0
	for _, isSet := range []bool{k.Header != "", k.Cookie != "", k.Address != nil} {
		if isSet {
			count++
		}
	}
	if count > 1 {
		d.errorAt(field, "at most one of header, cookie and address can be set, got %d", count)
	}
	prefix := k.Address
	if prefix == nil {
		return
	}
	if prefix.IPv4 < 0 || prefix.IPv4 > ipv4Bits || prefix.IPv6 < 0 || prefix.IPv6 > ipv6Bits {
		d.errorAt(field+".address", "must be from 0 to %d bits for IPv4 and from 0 to %d bits for IPv6, got %d and %d", ipv4Bits, ipv6Bits, prefix.IPv4, prefix.IPv6)
	}
}
