package admission

import (
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
)

// Classifier corrects the declared class of routes by the measured run times. A route declared short
// whose median run time is many times that of the other short routes counts as long. A route declared
// long stays long. The gate's Queue has one for its endpoint; an ingress uses Classes. The zero value is
// ready. It is not safe for concurrent use.
type Classifier struct{ routes map[string]*routeTimes }

type routeTimes struct {
	samples [routeSamples]time.Duration
	count   int
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
	c.reclassify(r)
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
	r.long = r.median >= longRatio*reference
}

// shortMedianWithout returns the median of the other short routes' medians, or 0 when there is none.
func (c *Classifier) shortMedianWithout(excluded *routeTimes) time.Duration {
	var buffer [maxClassifiedRoutes]time.Duration
	medians := buffer[:0]
	for _, r := range c.routes {
		if r != excluded && !r.long && r.count >= minRouteSamples {
			medians = append(medians, r.median)
		}
	}
	if len(medians) == 0 {
		return 0
	}
	slices.Sort(medians)
	return medians[(len(medians)-1)/2]
}
