package xds

import (
	"fmt"
	"strings"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"

	"robindrum/internal/route"
)

const methodPseudoHeader = ":method"

var (
	matchTable = fieldTable{
		supported: []string{
			"prefix", "path", "path_separated_prefix", "headers", "query_parameters", "case_sensitive",
		},
	}
	headerTable = fieldTable{
		supported: []string{
			"name", "exact_match", "present_match", "prefix_match", "suffix_match", "contains_match",
			"string_match", "invert_match",
		},
	}
	queryTable = fieldTable{
		supported: []string{"name", "string_match", "present_match"},
	}
	stringTable = fieldTable{
		supported: []string{"exact", "prefix", "suffix", "contains"},
	}
)

// parseMatch sets the path, methods and conditions of a route.
func (p *routesParser) parseMatch(match *routev3.RouteMatch, path string, parsed *route.Route) error {
	if err := matchTable.audit(match, path, &p.warnings); err != nil {
		return err
	}
	if match.GetCaseSensitive() != nil && !match.GetCaseSensitive().GetValue() {
		return fmt.Errorf("%scase_sensitive: false is not supported", path)
	}
	switch specifier := match.GetPathSpecifier().(type) {
	case *routev3.RouteMatch_Path:
		parsed.Path = specifier.Path
	case *routev3.RouteMatch_Prefix:
		parsed.Prefix = specifier.Prefix
		parsed.PrefixWithinSegment = specifier.Prefix != "/" // all paths begin with "/"
	case *routev3.RouteMatch_PathSeparatedPrefix:
		parsed.Prefix = specifier.PathSeparatedPrefix
	}
	if parsed.Path == "" && parsed.Prefix == "" {
		return fmt.Errorf("%spath_specifier: one of prefix, path and path_separated_prefix is required", path)
	}
	for i, header := range match.GetHeaders() {
		if err := p.parseHeader(header, fmt.Sprintf("%sheaders[%d].", path, i), parsed); err != nil {
			return err
		}
	}
	if len(parsed.Methods) > 1 {
		return fmt.Errorf("%sheaders: duplicate :method", path)
	}
	for i, parameter := range match.GetQueryParameters() {
		condition, err := p.parseQueryParameter(parameter, fmt.Sprintf("%squery_parameters[%d].", path, i))
		if err != nil {
			return err
		}
		parsed.Query = append(parsed.Query, condition)
	}
	return nil
}

// parseHeader adds a header matcher to a route. An exact match of :method is added to the methods, any other matcher to the
// headers.
func (p *routesParser) parseHeader(header *routev3.HeaderMatcher, path string, parsed *route.Route) error {
	if err := headerTable.audit(header, path, &p.warnings); err != nil {
		return err
	}
	condition := route.Condition{Name: header.GetName(), Not: header.GetInvertMatch()}
	switch specifier := header.GetHeaderMatchSpecifier().(type) {
	case *routev3.HeaderMatcher_ExactMatch:
		condition.Op = route.Exact
		condition.Value = specifier.ExactMatch //nolint:staticcheck // deprecated, but control planes still send it
	case *routev3.HeaderMatcher_PrefixMatch:
		condition.Op = route.Prefix
		condition.Value = specifier.PrefixMatch //nolint:staticcheck // deprecated, but control planes still send it
	case *routev3.HeaderMatcher_SuffixMatch:
		condition.Op = route.Suffix
		condition.Value = specifier.SuffixMatch //nolint:staticcheck // deprecated, but control planes still send it
	case *routev3.HeaderMatcher_ContainsMatch:
		condition.Op = route.Contains
		condition.Value = specifier.ContainsMatch //nolint:staticcheck // deprecated, but control planes still send it
	case *routev3.HeaderMatcher_PresentMatch:
		condition.Not = condition.Not == specifier.PresentMatch
	case *routev3.HeaderMatcher_StringMatch:
		if err := p.parseString(specifier.StringMatch, path+"string_match.", &condition); err != nil {
			return err
		}
	}
	if !strings.HasPrefix(condition.Name, ":") {
		parsed.Headers = append(parsed.Headers, condition)
		return nil
	}
	if condition.Name != methodPseudoHeader || condition.Op != route.Exact || condition.Not {
		return fmt.Errorf("%sname: pseudo-header %s: only an exact match of :method is supported", path, condition.Name)
	}
	parsed.Methods = append(parsed.Methods, condition.Value)
	return nil
}

func (p *routesParser) parseQueryParameter(parameter *routev3.QueryParameterMatcher, path string) (route.Condition, error) {
	condition := route.Condition{Name: parameter.GetName()}
	if err := queryTable.audit(parameter, path, &p.warnings); err != nil {
		return condition, err
	}
	switch specifier := parameter.GetQueryParameterMatchSpecifier().(type) {
	case *routev3.QueryParameterMatcher_PresentMatch:
		condition.Not = !specifier.PresentMatch
	case *routev3.QueryParameterMatcher_StringMatch:
		if err := p.parseString(specifier.StringMatch, path+"string_match.", &condition); err != nil {
			return condition, err
		}
	}
	return condition, nil
}

func (p *routesParser) parseString(matcher *matcherv3.StringMatcher, path string, condition *route.Condition) error {
	if err := stringTable.audit(matcher, path, &p.warnings); err != nil {
		return err
	}
	switch pattern := matcher.GetMatchPattern().(type) {
	case *matcherv3.StringMatcher_Exact:
		condition.Op = route.Exact
		condition.Value = pattern.Exact
	case *matcherv3.StringMatcher_Prefix:
		condition.Op = route.Prefix
		condition.Value = pattern.Prefix
	case *matcherv3.StringMatcher_Suffix:
		condition.Op = route.Suffix
		condition.Value = pattern.Suffix
	case *matcherv3.StringMatcher_Contains:
		condition.Op = route.Contains
		condition.Value = pattern.Contains
	default:
		return fmt.Errorf("%smatch_pattern: is missing", path)
	}
	return nil
}
