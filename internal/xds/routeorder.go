package xds

import (
	"slices"
	"strings"

	"robindrum/internal/route"
)

// takesPrecedence reports whether package route would give route r some request that former, which stands before it,
// matches as well.
func takesPrecedence(r, former *route.Route) bool {
	relation := comparePaths(r, former)
	if relation == notMoreSpecific {
		return false
	}
	if anyExclusive(r.Headers, former.Headers) || anyExclusive(r.Query, former.Query) || methodsDisjoint(r.Methods, former.Methods) {
		return false
	}
	return relation == moreSpecific || conditionCount(r) > conditionCount(former)
}

// pathRelation is how the paths that a route matches relate to those of another one.
type pathRelation int

const (
	notMoreSpecific pathRelation = iota // they have none in common, or the other route comes first
	moreSpecific
	samePaths
)

func comparePaths(r, former *route.Route) pathRelation {
	switch {
	case former.Path != "" && r.Path != "":
		if former.Path == r.Path {
			return samePaths
		}
		return notMoreSpecific
	case former.Path != "": // an exact path comes before a prefix
		return notMoreSpecific
	case r.Path != "":
		if prefixMatches(former, r.Path) {
			return moreSpecific
		}
		return notMoreSpecific
	case former.Prefix == r.Prefix && former.Textual == r.Textual:
		return samePaths
	case prefixMatches(former, r.Prefix) && len(former.Prefix) <= len(r.Prefix):
		return moreSpecific
	}
	return notMoreSpecific
}

// prefixMatches reports whether the prefix of a route matches a path.
func prefixMatches(r *route.Route, path string) bool {
	if r.Textual {
		return strings.HasPrefix(path, r.Prefix)
	}
	prefix := strings.TrimSuffix(r.Prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// anyExclusive reports whether two lists have conditions that no request meets together.
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

// exclusive reports whether two exact conditions require different values, or one requires what the other one excludes.
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

func conditionCount(r *route.Route) int {
	count := len(r.Headers) + len(r.Query)
	if len(r.Methods) > 0 {
		count++
	}
	return count
}
