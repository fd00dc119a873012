package table

import (
	"iter"
	"slices"

	"dandelionspoke/internal/bundle"
)

// View returns the regions to which requests of a route and an account are restricted, given their lists of allowed
// regions, and the view of the service that holds only endpoints in these regions. Without a restriction the regions are
// nil, and the service itself is returned. If the lists have no region in common, the regions are empty but not nil, and the
// view is nil; it is also nil if the service is not known. View does not allocate if the snapshot's bundle has the lists.
func (s *Snapshot) View(service string, route, account []string) (regions []string, view *Service) {
	all := s.Service(service)
	var sets *bundle.RegionSets
	if s != nil && s.Routes != nil {
		sets = s.Routes.Regions
	}
	set, known := sets.Lookup(route, account)
	switch {
	case known && set == bundle.AllRegions:
		return nil, all
	case known && set == bundle.NoRegion:
		return []string{}, nil
	case known && all != nil && set < len(all.Views) && all.Views[set] != nil:
		return sets.Regions(set), all.Views[set]
	case known && all == nil:
		return sets.Regions(set), nil
	}
	regions = bundle.IntersectRegions(route, account)
	if all == nil || len(regions) == 0 {
		return regions, nil
	}
	return regions, all.restrictedTo(regions)
}

// restrictedTo returns a view with the endpoints of s in the given regions. It serves requests whose route belongs to
// another bundle than the snapshot, for which the snapshot holds no view.
func (s *Service) restrictedTo(regions []string) *Service {
	view := &Service{Name: s.Name, Config: s.Config, AllowedRegions: regions, Endpoints: InRegions(s.Endpoints, regions)}
	for i, e := range view.Endpoints {
		for l := int(e.Locality); l < Localities; l++ {
			view.LocalityEnd[l] = i + 1
		}
	}
	return view
}

// InRegions returns the endpoints in the given regions, in the same order, as a new slice.
func InRegions(endpoints []*Endpoint, regions []string) []*Endpoint {
	var in []*Endpoint
	for _, e := range endpoints {
		if slices.Contains(regions, e.Region) {
			in = append(in, e)
		}
	}
	return in
}

// WithViews yields the service, then its views.
func (s *Service) WithViews() iter.Seq[*Service] {
	return func(yield func(*Service) bool) {
		if !yield(s) {
			return
		}
		for _, view := range s.Views {
			if view != nil && !yield(view) {
				return
			}
		}
	}
}

// AllEndpoints returns each endpoint of the service and of its views once.
func (s *Service) AllEndpoints() []*Endpoint {
	if len(s.Views) == 0 {
		return s.Endpoints
	}
	seen := map[*Endpoint]bool{}
	var all []*Endpoint
	for view := range s.WithViews() {
		for _, e := range view.Endpoints {
			if !seen[e] {
				seen[e] = true
				all = append(all, e)
			}
		}
	}
	return all
}
