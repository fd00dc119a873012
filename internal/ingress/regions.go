package ingress

import (
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
)

// allowedRegions returns the lists of allowed regions of the request's route and account.
func (q *request) allowedRegions() (route, account []string) {
	if q.route != nil {
		route = q.route.AllowedRegions
	}
	if q.account != nil {
		account = q.account.AllowedRegions
	}
	return route, account
}

// restrictRegions restricts the request to the regions that its route and its account allow: every choice of an endpoint
// is made from q.service, which then holds no other ones. It refuses the request if they have no region in common.
func (in *Ingress) restrictRegions(q *request) error {
	route, account := q.allowedRegions()
	if len(route) == 0 && len(account) == 0 {
		return nil
	}
	q.regions, q.service = q.snapshot.View(q.serviceName, route, account)
	if len(q.regions) == 0 {
		in.Counters.NoAllowedRegion.Add(1)
		return verdict.New(verdict.NotRun, verdict.NoAllowedRegion, "route %s and the account have no allowed region in common", q.route.Name)
	}
	return nil
}

// isRestricted reports whether only some regions may run the request.
func (q *request) isRestricted() bool { return q.regions != nil }

// view returns the service of the request in a snapshot, restricted to the request's regions.
func (q *request) view(s *table.Snapshot) *table.Service {
	if !q.isRestricted() {
		return s.Service(q.serviceName)
	}
	route, account := q.allowedRegions()
	_, view := s.View(q.serviceName, route, account)
	return view
}

// checkEndpointKnown refuses a request that has no endpoint to choose from: at once for a restricted request, because no
// further attempt can help it, and as no-endpoint if the service is not known.
func (in *Ingress) checkEndpointKnown(q *request) error {
	switch {
	case q.isRestricted() && (q.service == nil || len(q.service.Endpoints) == 0):
		in.Counters.NoAllowedRegion.Add(1)
		return verdict.New(verdict.NotRun, verdict.NoAllowedRegion, "service %s has no endpoint in the allowed regions %v", q.serviceName, q.regions)
	case q.service == nil:
		return verdict.New(verdict.NotRun, verdict.NoEndpoint, "service %s has no endpoint", q.serviceName)
	}
	return nil
}
