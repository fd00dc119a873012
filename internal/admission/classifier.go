package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxClassifiedRoutes bounds the memory of a Classifier. Routes beyond it keep their declared class.
	maxClassifiedRoutes = 256
	// routeSamples is the number of recent run times kept for each route.
	routeSamples = 32
	// minRouteSamples is the number of run times that a route needs before its class can be corrected, and the
	// number of run times between two evaluations of its class. Long routes receive few requests, so a higher
	// number would leave them misclassified for seconds; longRatio makes misclassification by chance unlikely.
	minRouteSamples = 4
	// longRatio is the minimum ratio of a route's median run time to that of the other short routes at which the route
	// is corrected to long.
	longRatio = 8
	// shortReturnRatio is the ratio below which a route corrected to long becomes short again. The hysteresis keeps
	// a route near longRatio from changing class with each sample.
	shortReturnRatio = 4
	// maxLongShare is the share of all requests above which a route is not corrected to long, since the main load of
	// a service must not be paced. Without this limit, routes with a few trivial requests made the main route of a
	// service long, and its requests waited while slots were free.
	maxLongShare = 0.5
	// recentRequestsLimit is the number of requests after which the request counts of all routes are halved, so that
	// old requests lose weight.
	recentRequestsLimit = 1024
)

// Classifier corrects the declared class of routes from measured run times. A route declared short is handled as long
// when its median run time is many times that of the other short routes. A route declared long stays long. The Queue
// of a gate has one Classifier for its endpoint; an ingress uses Classes. The zero value is ready to use. It is not
// safe for concurrent use.
type Classifier struct {
	routes map[string]*routeStats
	recent int // sum of routeStats.recent; includes removed routes until the counts are next halved
}

type routeStats struct {
	samples [routeSamples]time.Duration
	count   int
	recent  int // number of requests, halved with those of all routes at recentRequestsLimit
	median  time.Duration
	long    bool
}

// Long reports whether requests of the route are handled as long.
func (c *Classifier) Long(route string, declaredLong bool) bool {
	if declaredLong {
		return true
	}
	r := c.routes[route]
	return r != nil && r.long
}

// Record adds the run time of one request of the route. It has no effect on a route declared long.
func (c *Classifier) Record(route string, declaredLong bool, runTime time.Duration) {
	if declaredLong {
		return
	}
	r := c.routes[route]
	if r == nil {
		if len(c.routes) >= maxClassifiedRoutes {
			return
		}
		if c.routes == nil {
			c.routes = make(map[string]*routeStats)
		}
		r = &routeStats{}
		c.routes[route] = r
	}
	r.add(runTime)
	c.countRecent(r)
	c.reclassify(r)
}

func (c *Classifier) countRecent(r *routeStats) {
	r.recent++
	c.recent++
	if c.recent < recentRequestsLimit {
		return
	}
	c.recent = 0
	for _, each := range c.routes {
		each.recent /= 2
		c.recent += each.recent
	}
}

// Retain removes the routes for which keep returns false, such as those no longer in the bundle.
func (c *Classifier) Retain(keep func(route string) bool) {
	for route := range c.routes {
		if !keep(route) {
			delete(c.routes, route)
		}
	}
}

func (r *routeStats) add(runTime time.Duration) {
	r.samples[r.count%routeSamples] = runTime
	r.count++
	sorted := r.samples
	kept := sorted[:min(r.count, routeSamples)]
	slices.Sort(kept)
	r.median = kept[len(kept)/2]
}

func (c *Classifier) reclassify(r *routeStats) {
	if r.count%minRouteSamples != 0 {
		return
	}
	reference := c.shortMedianExcluding(r)
	if reference <= 0 {
		return
	}
	if r.long {
		r.long = r.median >= shortReturnRatio*reference
		return
	}
	r.long = r.median >= longRatio*reference && float64(r.recent) <= maxLongShare*float64(c.recent)
}

// shortMedianExcluding returns the weighted median of the median run times of the other short routes, or 0 when there
// is none. The weights are the recent request counts; without them, a few routes with hardly any requests would
// determine the result.
func (c *Classifier) shortMedianExcluding(excluded *routeStats) time.Duration {
	var buffer [maxClassifiedRoutes]*routeStats
	others, total := buffer[:0], 0
	for _, r := range c.routes {
		if r != excluded && !r.long && r.count >= minRouteSamples {
			others = append(others, r)
			total += r.recent
		}
	}
	slices.SortFunc(others, func(a, b *routeStats) int { return cmp.Compare(a.median, b.median) })
	for _, r := range others {
		if total -= 2 * r.recent; total <= 0 {
			return r.median
		}
	}
	return 0
}
