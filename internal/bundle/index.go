package bundle

import (
	"slices"
	"strings"
)

// Index looks up routes by host, so that the cost of a match does not grow with the number of hosts. It is
// immutable and safe for concurrent use.
type Index struct {
	byHost map[string][]*Route // each in order of compareRoutes; the key "" holds the routes for any host
	// Regions holds the sets of allowed regions of the bundle.
	Regions *RegionSets
}

// NewIndex returns the index of b, which must not be modified afterwards. The index of a nil bundle is empty.
func NewIndex(b *Bundle) *Index {
	x := &Index{byHost: map[string][]*Route{}, Regions: NewRegionSets(b)}
	if b == nil {
		return x
	}
	for i := range b.Routes {
		r := &b.Routes[i]
		host := strings.ToLower(r.Host)
		x.byHost[host] = append(x.byHost[host], r)
	}
	for _, routes := range x.byHost {
		slices.SortStableFunc(routes, compareRoutes)
	}
	return x
}

// Match returns the same route as Bundle.Match.
func (x *Index) Match(method, host, path string) *Route {
	host = strings.ToLower(host)
	if r := firstMatch(x.byHost[host], method, host, path); r != nil || host == "" {
		return r
	}
	return firstMatch(x.byHost[""], method, host, path)
}

func firstMatch(routes []*Route, method, host, path string) *Route {
	for _, r := range routes {
		if r.matches(method, host, path) {
			return r
		}
	}
	return nil
}
