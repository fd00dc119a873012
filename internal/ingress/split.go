package ingress

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"dandelionspoke/internal/bundle"
)

// destinationService returns the service for the next request of a route. For a split route it uses a low-discrepancy
// sequence, which keeps each part close to its weight even over few requests; random choices do not.
func (in *Ingress) destinationService(route *bundle.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	sequence, _ := in.splitSequences.LoadOrStore(route.Name, newSplitSequence())
	return route.Destination(sequence.(*splitSequence).next())
}

// splitSequence generates numbers in [0, 1). Every run of them is spread evenly, whatever its length.
type splitSequence struct {
	offset float64
	count  atomic.Uint64
}

func newSplitSequence() *splitSequence { return &splitSequence{offset: rand.Float64()} }

// goldenRatioFraction is the fractional part of the golden ratio. Its multiples modulo 1 are spread most evenly.
const goldenRatioFraction = 0.6180339887498949

func (s *splitSequence) next() float64 {
	_, fraction := math.Modf(s.offset + goldenRatioFraction*float64(s.count.Add(1)))
	return fraction
}
