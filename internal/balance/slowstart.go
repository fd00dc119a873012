package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/table"
)

// coldLoad is the load of an endpoint that a draw passes over because its backend server is cold. It exceeds freeLoad, so that
// the endpoint is chosen only when the others have long queues.
const coldLoad = refusingLoad

// coldCapacity returns the requests that a cold backend server can run at a time, which is its ramp times its service time, and
// true; or false if it is warm.
func coldCapacity(s *table.Stats, now int64) (capacity float64, cold bool) {
	ramp := s.RampMilli.Load()
	if ramp <= 0 || now >= s.ColdUntil.Load() {
		return 0, false
	}
	service := s.ReportedServiceTimeNanos.Load()
	if service == 0 {
		service = int64(defaultLatency)
	}
	return float64(ramp) / 1000 * float64(service) / float64(time.Second), true
}

// limitToRamp gives a cold endpoint the capacity of its ramp instead of its slots. Below one request at a time, the endpoint
// has one slot, and takes part in as many draws as corresponds to its capacity.
func (c *candidate) limitToRamp(now int64, rng *rand.Rand, s *table.Stats) {
	capacity, cold := coldCapacity(s, now)
	if !cold {
		return
	}
	c.cold, c.coldCapacity = true, capacity
	c.slots = min(c.slots, max(capacity, 1))
	c.coldSkip = rng.Float64() >= capacity
}

// othersPrior returns the mean of the sample that replaces an outdated report of the endpoint. The gate of a cold backend server
// does not let as many requests run there as at the others; below one at a time, those of other nodes are accounted for by the
// draws that the endpoint does not take part in.
func (c *candidate) othersPrior(mean float64) float64 {
	if !c.cold {
		return mean
	}
	return min(mean, math.Floor(c.coldCapacity))
}
