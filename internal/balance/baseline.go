package balance

import (
	"math/rand/v2"
	"sync/atomic"

	"dandelionspoke/internal/table"
)

// The baselines ignore locality, ejection, suspicion and reports. They are what measurements compare
// the dandelionspoke policy with.

// available reports whether a baseline may choose position i.
func available(svc *table.Service, exclude uint64, i int) bool {
	return !excluded(exclude, i) && !svc.Endpoints[i].Stats.Draining.Load()
}

// nextAvailable returns the first available position at or after start, wrapping around, or None.
func nextAvailable(svc *table.Service, exclude uint64, start int) int {
	n := len(svc.Endpoints)
	for k := range n {
		i := start + k
		if i >= n {
			i -= n
		}
		if available(svc, exclude, i) {
			return i
		}
	}
	return None
}

// drawAttempts bounds the uniform draws before a scan takes over. A draw keeps the choice uniform
// when few positions are unavailable; the scan guarantees an answer.
const drawAttempts = 8

// drawAvailable returns a random available position other than avoid, or None.
func drawAvailable(rng *rand.Rand, svc *table.Service, exclude uint64, avoid int) int {
	n := len(svc.Endpoints)
	if n == 0 {
		return None
	}
	for range drawAttempts {
		i := rng.IntN(n)
		if i != avoid && available(svc, exclude, i) {
			return i
		}
	}
	i := nextAvailable(svc, exclude, rng.IntN(n))
	if i != avoid || i == None {
		return i
	}
	if i = nextAvailable(svc, exclude, (avoid+1)%n); i == avoid {
		return None
	}
	return i
}

type randomPicker struct{}

// Pick implements Picker: uniform over the available endpoints.
func (randomPicker) Pick(_ int64, rng *rand.Rand, svc *table.Service, exclude uint64, _ bool) int {
	return drawAvailable(rng, svc, exclude, None)
}

type roundRobin struct{ next atomic.Uint64 }

// Pick implements Picker: each available endpoint in turn.
func (r *roundRobin) Pick(_ int64, _ *rand.Rand, svc *table.Service, exclude uint64, _ bool) int {
	n := len(svc.Endpoints)
	if n == 0 {
		return None
	}
	return nextAvailable(svc, exclude, int((r.next.Add(1)-1)%uint64(n)))
}

type leastRequests struct{}

// Pick implements Picker: fewest own requests in flight over all endpoints, ties at random.
func (leastRequests) Pick(_ int64, rng *rand.Rand, svc *table.Service, exclude uint64, _ bool) int {
	n := len(svc.Endpoints)
	if n == 0 {
		return None
	}
	best, least := None, int32(0)
	start := rng.IntN(n)
	for k := range n {
		i := start + k
		if i >= n {
			i -= n
		}
		if !available(svc, exclude, i) {
			continue
		}
		own := svc.Endpoints[i].Stats.OwnInFlight.Load()
		if best == None || own < least {
			best, least = i, own
		}
	}
	return best
}

type p2c struct{}

// Pick implements Picker: the one of two random endpoints with fewer own requests in flight.
func (p2c) Pick(_ int64, rng *rand.Rand, svc *table.Service, exclude uint64, _ bool) int {
	a := drawAvailable(rng, svc, exclude, None)
	if a == None {
		return None
	}
	b := drawAvailable(rng, svc, exclude, a)
	if b == None {
		return a
	}
	if svc.Endpoints[b].Stats.OwnInFlight.Load() < svc.Endpoints[a].Stats.OwnInFlight.Load() {
		return b
	}
	return a
}
