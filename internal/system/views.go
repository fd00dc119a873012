package system

import (
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
)

// resolver replaces the candidates of one service by endpoints with Stats. A candidate that is in several views gets the
// same endpoint in all of them, so that its statistics are shared.
type resolver struct {
	now      time.Time
	prev     map[string]*table.Endpoint // of the previous snapshot, by ID
	resolved map[string]*table.Endpoint // by ID
}

func newResolver(prev *table.Service, now time.Time) *resolver {
	r := &resolver{now: now, prev: map[string]*table.Endpoint{}, resolved: map[string]*table.Endpoint{}}
	if prev != nil {
		for _, e := range prev.AllEndpoints() {
			r.prev[e.ID] = e
		}
	}
	return r
}

func (r *resolver) resolve(e *table.Endpoint) *table.Endpoint {
	known := r.resolved[e.ID]
	if known == nil {
		known = reuseStats(e, r.prev[e.ID], r.now)
		r.resolved[e.ID] = known
	}
	return known
}

// setViews sets the views of a service. choose selects the subset of the candidates that a view allows. It must be called
// before the subset of the service itself is chosen, which may reorder the candidates.
func setViews(
	service *table.Service, routes *bundle.Index, candidates []*table.Endpoint, r *resolver,
	choose func([]*table.Endpoint) []*table.Endpoint,
) {
	if routes == nil || routes.Regions.Len() == 0 {
		return
	}
	service.Views = make([]*table.Service, routes.Regions.Len())
	for set := range service.Views {
		if !routes.Regions.HasService(set, service.Name) {
			continue
		}
		view := &table.Service{Name: service.Name, Config: service.Config, AllowedRegions: routes.Regions.Regions(set)}
		setEndpoints(view, choose(table.InRegions(candidates, view.AllowedRegions)), r)
		service.Views[set] = view
	}
}
