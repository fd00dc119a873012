package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// MaxRegionSets is the maximum number of different sets of allowed regions that the routes and accounts of a bundle
	// combine to. Each node keeps a subset of endpoints for each set and service; 64 sets of 720 services take about 15 MB.
	MaxRegionSets = 64
	// unrestrictedList is the position of the empty list of allowed regions in RegionSets.
	unrestrictedList = 0
	// regionSeparator cannot occur in the name of a region.
	regionSeparator = 0
)

// Values of RegionSets.Lookup besides positions of sets.
const (
	// AllRegions means that no region is excluded.
	AllRegions = -1
	// NoRegion means that the route and the account have no allowed region in common.
	NoRegion = -2
)

// RegionSets holds the sets of allowed regions that result from the routes and accounts of one bundle. It is immutable
// and safe for concurrent use.
type RegionSets struct {
	// lists maps each list of allowed regions in the bundle to its position.
	lists map[string]int
	// combined holds the set for a list of a route and a list of an account, by their positions.
	combined [][]int
	sets     [][]string
	// services holds, for each set, the services of the routes that can produce it.
	services []map[string]bool
}

// NewRegionSets returns the sets that the routes and accounts of b can produce. The sets of a nil bundle are empty.
func NewRegionSets(b *Bundle) *RegionSets {
	s := &RegionSets{lists: map[string]int{"": unrestrictedList}}
	if b == nil {
		s.combined = [][]int{{AllRegions}}
		return s
	}
	routeLists, accountLists := allowedRegionLists(b)
	all := slices.Concat(routeLists, accountLists)
	for _, list := range all {
		s.addList(list)
	}
	s.combined = make([][]int, len(s.lists))
	for i := range s.combined {
		s.combined[i] = make([]int, len(s.lists))
		for j := range s.combined[i] {
			s.combined[i][j] = AllRegions
		}
	}
	positions := map[string]int{}
	for _, route := range routeLists {
		for _, account := range accountLists {
			s.combined[s.position(route)][s.position(account)] = s.addSet(positions, IntersectRegions(route, account), route, account)
		}
	}
	s.collectServices(b, accountLists)
	return s
}

// allowedRegionLists returns the different lists of the routes and of the accounts. Both contain the empty list: a request
// may match any route and belong to no account.
func allowedRegionLists(b *Bundle) (routes, accounts [][]string) {
	seen := map[string]bool{"": true}
	routes, accounts = [][]string{nil}, [][]string{nil}
	for i := range b.Routes {
		if list := b.Routes[i].AllowedRegions; !seen[listKey(list)] {
			seen[listKey(list)] = true
			routes = append(routes, list)
		}
	}
	seen = map[string]bool{"": true}
	for _, account := range b.Accounts {
		if list := account.AllowedRegions; !seen[listKey(list)] {
			seen[listKey(list)] = true
			accounts = append(accounts, list)
		}
	}
	return routes, accounts
}

func (s *RegionSets) addList(list []string) {
	if _, known := s.lists[listKey(list)]; !known {
		s.lists[listKey(list)] = len(s.lists)
	}
}

func (s *RegionSets) position(list []string) int { return s.lists[listKey(list)] }

// addSet returns the position of a set of regions, which is the intersection of the two lists.
func (s *RegionSets) addSet(positions map[string]int, set, route, account []string) int {
	switch {
	case len(route) == 0 && len(account) == 0:
		return AllRegions
	case len(set) == 0:
		return NoRegion
	}
	key := listKey(set)
	position, known := positions[key]
	if !known {
		position = len(s.sets)
		positions[key] = position
		s.sets = append(s.sets, set)
		s.services = append(s.services, map[string]bool{})
	}
	return position
}

// collectServices sets the services of each set. Routes with the same list are handled together, because a bundle may have
// thousands of routes.
func (s *RegionSets) collectServices(b *Bundle, accountLists [][]string) {
	if len(s.sets) == 0 {
		return
	}
	servicesByList := make([]map[string]bool, len(s.lists))
	for i := range b.Routes {
		r := &b.Routes[i]
		list := s.position(r.AllowedRegions)
		if servicesByList[list] == nil {
			servicesByList[list] = map[string]bool{}
		}
		servicesByList[list][r.Service] = true
		for _, share := range r.Split {
			servicesByList[list][share.Service] = true
		}
	}
	for list, services := range servicesByList {
		for _, account := range accountLists {
			if set := s.combined[list][s.position(account)]; set >= 0 {
				maps.Copy(s.services[set], services)
			}
		}
	}
}

// Lookup returns the position of the set of regions for a route and an account with the given lists of allowed regions,
// or AllRegions or NoRegion. An empty list allows all regions. known is false if the bundle does not have the lists. Lookup
// does not allocate for lists of up to lookupBytes.
func (s *RegionSets) Lookup(route, account []string) (set int, known bool) {
	if len(route) == 0 && len(account) == 0 {
		return AllRegions, true
	}
	if s == nil {
		return NoRegion, false
	}
	i, routeKnown := s.find(route)
	j, accountKnown := s.find(account)
	if !routeKnown || !accountKnown {
		return NoRegion, false
	}
	return s.combined[i][j], true
}

// lookupBytes is the size of a list, with a separator after each name, up to which Lookup does not allocate.
const lookupBytes = 256

func (s *RegionSets) find(list []string) (int, bool) {
	if len(list) == 0 {
		return unrestrictedList, true
	}
	var buf [lookupBytes]byte
	key := buf[:0]
	for _, name := range list {
		key = append(append(key, name...), regionSeparator)
	}
	position, known := s.lists[string(key)]
	return position, known
}

// listKey returns the key of a list, in the order in which the bundle has it.
func listKey(list []string) string {
	var key strings.Builder
	for _, name := range list {
		key.WriteString(name)
		key.WriteByte(regionSeparator)
	}
	return key.String()
}

// Len returns the number of sets.
func (s *RegionSets) Len() int {
	if s == nil {
		return 0
	}
	return len(s.sets)
}

// Regions returns the regions of a set, sorted. The caller must not modify the result.
func (s *RegionSets) Regions(set int) []string { return s.sets[set] }

// HasService reports whether requests for the service can be restricted to the set.
func (s *RegionSets) HasService(set int, service string) bool { return s.services[set][service] }

// IntersectRegions returns the regions that both lists allow, sorted and without duplicates. An empty list allows all
// regions; the result is nil if both are empty, and empty but not nil if they have no region in common.
func IntersectRegions(a, b []string) []string {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		a, b = b, nil
	}
	common := []string{}
	for _, name := range a {
		if len(b) == 0 || slices.Contains(b, name) {
			common = append(common, name)
		}
	}
	slices.Sort(common)
	return slices.Compact(common)
}

// checkRegionSets limits the number of sets that the lists of the routes and accounts combine to. The lists are counted
// first, so that a bundle with very many of them is refused without combining them.
func (v *validator) checkRegionSets(b *Bundle) {
	routes, accounts := allowedRegionLists(b)
	got := max(len(routes), len(accounts)) - 1
	if got <= MaxRegionSets {
		got = NewRegionSets(b).Len()
	}
	v.require(got <= MaxRegionSets, "", "allowed_regions", fmt.Sprintf("at most %d different sets of regions over all routes and accounts", MaxRegionSets), "%d", got)
}
