package ingress

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"dandelionspoke/internal/bundle"
)

// destination returns the service for the next request of a route. A route that is split gets a sequence that
// keeps each part near its weight also over few requests, which random choices do not.
func (in *Ingress) destination(route *bundle.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	counter, _ := in.splits.LoadOrStore(route.Name, newSplitCounter())
	return route.Destination(counter.(*splitCounter).next())
}

// splitCounter yields numbers in [0, 1) that are spread evenly at any length.
type splitCounter struct {
	start float64
	count atomic.Uint64
}

func newSplitCounter() *splitCounter { return &splitCounter{start: rand.Float64()} }

// goldenStep is the fractional part of the golden ratio, whose multiples modulo 1 are spread most evenly.
const goldenStep = 0.6180339887498949

func (c *splitCounter) next() float64 {
	_, fraction := math.Modf(c.start + goldenStep*float64(c.count.Add(1)))
	return fraction
}
