package xds

import (
	"slices"
	"strings"

	"robindrum/internal/route"
)

// takesPrecedence reports whether some request matches both r and earlier, a preceding route of the same virtual host, and
// package route would choose r because it is more specific. Envoy would choose earlier.
func takesPrecedence(r, earlier *route.Route) bool {
	relation := comparePaths(r, earlier)
	if relation == notMoreSpecific {
		return false
	}
	if anyExclusive(r.Headers, earlier.Headers) || anyExclusive(r.Query, earlier.Query) || methodsDisjoint(r.Methods, earlier.Methods) {
		return false
	}
	return relation == moreSpecific || conditionCount(r) > conditionCount(earlier)
}

// pathRelation is the relation of the paths that a route matches to the paths that another route matches.
type pathRelation int

const (
	notMoreSpecific pathRelation = iota // no common paths, or the other route takes precedence
	moreSpecific
	samePaths
)

// comparePaths returns the relation of the paths of r to those of earlier.
func comparePaths(r, earlier *route.Route) pathRelation {
	switch {
	case earlier.Path != "" && r.Path != "":
		if earlier.Path == r.Path {
			return samePaths
		}
		return notMoreSpecific
	case earlier.Path != "": // an exact path takes precedence over a prefix
		return notMoreSpecific
	case r.Path != "":
		if prefixMatches(earlier, r.Path) {
			return moreSpecific
		}
		return notMoreSpecific
	case earlier.Prefix == r.Prefix && earlier.PrefixWithinSegment == r.PrefixWithinSegment:
		return samePaths
	case prefixMatches(earlier, r.Prefix) && len(earlier.Prefix) <= len(r.Prefix):
		return moreSpecific
	}
	return notMoreSpecific
}

// prefixMatches reports whether the prefix of a route matches a path.
func prefixMatches(r *route.Route, path string) bool {
	if r.PrefixWithinSegment {
		return strings.HasPrefix(path, r.Prefix)
	}
	prefix := strings.TrimSuffix(r.Prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// anyExclusive reports whether a condition of one list and a condition of the other one exclude each other, so that no request
// meets both lists.
func anyExclusive(x, y []route.Condition) bool {
	for i := range x {
		for j := range y {
			if exclusive(&x[i], &y[j]) {
				return true
			}
		}
	}
	return false
}

// exclusive reports whether no request meets both conditions. It detects this only for two exact conditions of the same name
// that require different values, or of which one requires the value that the other one excludes.
func exclusive(a, b *route.Condition) bool {
	if a.Name != b.Name || a.Op != route.Exact || b.Op != route.Exact {
		return false
	}
	if a.Not != b.Not {
		return a.Value == b.Value
	}
	return !a.Not && a.Value != b.Value
}

// methodsDisjoint reports whether two routes have no method in common. No methods means all.
func methodsDisjoint(x, y []string) bool {
	if len(x) == 0 || len(y) == 0 {
		return false
	}
	return !slices.ContainsFunc(x, func(method string) bool { return slices.Contains(y, method) })
}

// conditionCount returns the number of conditions of a route. The methods count as one.
func conditionCount(r *route.Route) int {
	count := len(r.Headers) + len(r.Query)
	if len(r.Methods) > 0 {
		count++
	}
	return count
}
