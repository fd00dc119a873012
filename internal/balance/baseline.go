package balance

import (
	"math/rand/v2"
	"sync/atomic"

	"dandelionspoke/internal/table"
)

// The baseline policies ignore locality, ejection, suspicion and reports. Measurements compare the
// dandelionspoke policy with them.

// available reports whether a baseline policy may select position i.
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

// maxRandomDraws bounds the random draws before a linear scan takes over. Draws keep the selection
// uniform when few positions are unavailable; the scan guarantees a result.
const maxRandomDraws = 8

// randomAvailable returns a random available position other than avoid, or None.
func randomAvailable(rng *rand.Rand, svc *table.Service, exclude uint64, avoid int) int {
	n := len(svc.Endpoints)
	if n == 0 {
		return None
	}
	for range maxRandomDraws {
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

// Pick implements Picker: a uniformly random available endpoint.
func (randomPicker) Pick(_ int64, rng *rand.Rand, svc *table.Service, exclude uint64, _ bool) int {
	return randomAvailable(rng, svc, exclude, None)
}

type roundRobin struct{ next atomic.Uint64 }

// Pick implements Picker: the available endpoints in turn.
func (r *roundRobin) Pick(_ int64, _ *rand.Rand, svc *table.Service, exclude uint64, _ bool) int {
	n := len(svc.Endpoints)
	if n == 0 {
		return None
	}
	return nextAvailable(svc, exclude, int((r.next.Add(1)-1)%uint64(n)))
}

type leastRequests struct{}

// Pick implements Picker: the endpoint with the fewest requests in flight from this node, with ties
// broken at random.
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
		inFlight := svc.Endpoints[i].Stats.OwnInFlight.Load()
		if best == None || inFlight < least {
			best, least = i, inFlight
		}
	}
	return best
}

type p2c struct{}

// Pick implements Picker (power of two choices): of two random endpoints, the one with fewer requests in
// flight from this node.
func (p2c) Pick(_ int64, rng *rand.Rand, svc *table.Service, exclude uint64, _ bool) int {
	a := randomAvailable(rng, svc, exclude, None)
	if a == None {
		return None
	}
	b := randomAvailable(rng, svc, exclude, a)
	if b == None {
		return a
	}
	if svc.Endpoints[b].Stats.OwnInFlight.Load() < svc.Endpoints[a].Stats.OwnInFlight.Load() {
		return b
	}
	return a
}
