package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxClassifiedRoutes bounds the memory of a Classifier. Further routes keep their declared class.
	maxClassifiedRoutes = 256
	// routeSamples is the number of recent run times kept for each route.
	routeSamples = 32
	// minRouteSamples is the number of run times below which a route keeps its declared class, and
	// the number of run times between two decisions on a route's class. Long routes are rare, so a
	// higher number leaves them misclassified for seconds; longRatio makes chance results unlikely.
	minRouteSamples = 4
	// longRatio is the ratio of a route's median to the short median from which it counts as long.
	longRatio = 8
	// shortAgainRatio is the ratio below which a corrected route counts as short again. It lies below
	// longRatio so that a route near the limit does not change class with each sample.
	shortAgainRatio = 4
	// maxLongShare is the share of the requests above which a route is not corrected to long: work that makes up
	// much of the load is what an endpoint is there for. Without this, routes with a few trivial requests made the
	// main route of a service count as long, and its requests were paced while slots were free.
	maxLongShare = 0.5
	// recentRequests is the number of requests after which the counts of all routes are halved.
	recentRequests = 1024
)

// Classifier corrects the declared class of routes by the measured run times. A route declared short
// whose median run time is many times that of the other short routes counts as long. A route declared
// long stays long. The gate's Queue has one for its endpoint; an ingress uses Classes. The zero value is
// ready. It is not safe for concurrent use.
type Classifier struct {
	routes map[string]*routeTimes
	recent int // requests of all routes, halved at recentRequests
}

type routeTimes struct {
	samples [routeSamples]time.Duration
	count   int
	recent  int // part of Classifier.recent
	median  time.Duration
	long    bool
}

// Long reports whether requests of the route count as long.
func (c *Classifier) Long(route string, declaredLong bool) bool {
	if declaredLong {
		return true
	}
	r := c.routes[route]
	return r != nil && r.long
}

// Record adds the run time of one request of the route.
func (c *Classifier) Record(route string, declaredLong bool, ran time.Duration) {
	if declaredLong {
		return
	}
	r := c.routes[route]
	if r == nil {
		if len(c.routes) >= maxClassifiedRoutes {
			return
		}
		if c.routes == nil {
			c.routes = make(map[string]*routeTimes)
		}
		r = &routeTimes{}
		c.routes[route] = r
	}
	r.add(ran)
	c.countRecent(r)
	c.reclassify(r)
}

func (c *Classifier) countRecent(r *routeTimes) {
	r.recent++
	c.recent++
	if c.recent < recentRequests {
		return
	}
	c.recent = 0
	for _, each := range c.routes {
		each.recent /= 2
		c.recent += each.recent
	}
}

// Retain forgets the routes for which keep returns false, such as those that left the bundle.
func (c *Classifier) Retain(keep func(route string) bool) {
	for route := range c.routes {
		if !keep(route) {
			delete(c.routes, route)
		}
	}
}

func (r *routeTimes) add(ran time.Duration) {
	r.samples[r.count%routeSamples] = ran
	r.count++
	recent := r.samples
	filled := recent[:min(r.count, routeSamples)]
	slices.Sort(filled)
	r.median = filled[len(filled)/2]
}

func (c *Classifier) reclassify(r *routeTimes) {
	if r.count%minRouteSamples != 0 {
		return
	}
	reference := c.shortMedianWithout(r)
	if reference <= 0 {
		return
	}
	if r.long {
		r.long = r.median >= shortAgainRatio*reference
		return
	}
	r.long = r.median >= longRatio*reference && float64(r.recent) <= maxLongShare*float64(c.recent)
}

// shortMedianWithout returns the median of the other short routes' medians, each weighted by its recent requests, or
// 0 when there is none. Without the weights, a few routes with hardly any requests would set the measure.
func (c *Classifier) shortMedianWithout(excluded *routeTimes) time.Duration {
	var buffer [maxClassifiedRoutes]*routeTimes
	others, total := buffer[:0], 0
	for _, r := range c.routes {
		if r != excluded && !r.long && r.count >= minRouteSamples {
			others = append(others, r)
			total += r.recent
		}
	}
	slices.SortFunc(others, func(a, b *routeTimes) int { return cmp.Compare(a.median, b.median) })
	for _, r := range others {
		if total -= 2 * r.recent; total <= 0 {
			return r.median
		}
	}
	return 0
}
