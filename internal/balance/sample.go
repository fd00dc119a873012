package balance

import (
	"math/rand/v2"

	"dandelionspoke/internal/table"
)

// sample is the set of endpoints compared for one selection.
type sample struct {
	candidates [2 * sampleSize]candidate
	n          int
}

// addLocal adds endpoints of the local failure domain and of the rest of the local region, and estimates them.
func (s *sample) addLocal(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) {
	domainEnd, regionEnd := svc.LocalityEnd[table.SameDomain], svc.LocalityEnd[table.SameRegion]
	s.addRandom(now, rng, svc, 0, domainEnd, exclude)
	s.addRandom(now, rng, svc, domainEnd, regionEnd, exclude)
	s.estimate(now, rng, svc, long, 0)
}

// acceptsWork reports whether ordinary requests may go to the endpoint. An endpoint that is due for a
// trial request accepts one at a time.
func acceptsWork(s *table.Stats, now int64) bool {
	if s.Draining.Load() || s.Suspect.Load() {
		return false
	}
	until := s.EjectedUntil.Load()
	if until == 0 {
		return true
	}
	return now >= until && s.TrialInFlight.Load() == 0
}

// addRandom adds up to sampleSize distinct endpoints that accept work, from positions start (inclusive) to end
// (exclusive).
func (s *sample) addRandom(now int64, rng *rand.Rand, svc *table.Service, start, end int, exclude uint64) {
	n, limit := end-start, s.n+sampleSize
	if n <= 0 {
		return
	}
	if n <= sampleSize {
		s.addFrom(now, rng, svc, start, n, exclude, limit)
		return
	}
	first := s.n
	for range 2 * sampleSize {
		i := start + rng.IntN(n)
		if !excluded(exclude, i) && !s.has(i) && acceptsWork(svc.Endpoints[i].Stats, now) {
			s.add(i)
			if s.n == limit {
				return
			}
		}
	}
	if s.n == first {
		s.addFrom(now, rng, svc, start, n, exclude, first+2)
	}
}

// addFrom adds the endpoints that accept work among n positions from start on, in order from a random one
// and wrapping around, until the sample has limit endpoints.
func (s *sample) addFrom(now int64, rng *rand.Rand, svc *table.Service, start, n int, exclude uint64, limit int) {
	offset := rng.IntN(n)
	for k := range n {
		i := start + offset + k
		if i >= start+n {
			i -= n
		}
		if excluded(exclude, i) || !acceptsWork(svc.Endpoints[i].Stats, now) {
			continue
		}
		s.add(i)
		if s.n == limit {
			return
		}
	}
}

func (s *sample) has(i int) bool {
	for k := range s.n {
		if s.candidates[k].index == i {
			return true
		}
	}
	return false
}

func (s *sample) add(i int) {
	s.candidates[s.n].index = i
	s.n++
}

// estimate computes load, latency and cost of each sampled endpoint. networkLatency is added for
// endpoints without a measured latency.
func (s *sample) estimate(now int64, rng *rand.Rand, svc *table.Service, long bool, networkLatency float64) {
	if s.n == 0 {
		return
	}
	slots := max(svc.Config.Slots, 1)
	if long {
		slots = max(svc.Config.LongSlots, 1)
	}
	for k := range s.n {
		c := &s.candidates[k]
		e := svc.Endpoints[c.index]
		c.readStats(now, e, slots, long)
		c.limitToRamp(now, rng, e.Stats)
		c.slowStartSkip = skipForSlowStart(now, rng, svc, e.Stats)
	}
	prior := s.meanOthersInFlight()
	lowest := s.lowestLatency(svc)
	for k := range s.n {
		c := &s.candidates[k]
		e := svc.Endpoints[c.index]
		c.load = (c.ownInFlight + c.estimateOthersInFlight(e.Stats, c.othersPrior(prior)) + 1) / c.slots
		if c.coldSkip {
			c.load = max(c.load, coldLoad)
		}
		c.latency = estimateLatency(e.Stats, now, lowest)
		if e.Stats.LatencyNanos.Load() == 0 {
			c.latency += networkLatency
		}
	}
	s.penalizeUnhealthy()
	for k := range s.n {
		c := &s.candidates[k]
		c.cost = c.expectedTime() * (1 + costJitter*c.uncertainty*rng.Float64())
		if svc.Endpoints[c.index].Locality == table.SameRegion {
			c.cost *= crossDomainBias
		}
	}
}

// expectedTime returns the expected latency of one more request, multiplied by the penalty for recent failures.
func (c *candidate) expectedTime() float64 {
	excess := max(c.load-congestionLoad, 0)
	return c.latencyOrDefault() * (1 + loadWeight*c.load + congestionWeight*excess*excess) * c.penalty
}

// regionCost returns the cost used to compare regions: the expected latency of one more request, with the
// queueing time weighted by queueWeight. Unlike expectedTime it does not grow with the load below freeLoad,
// since such a load is no reason to send work to another region.
func (c *candidate) regionCost() float64 {
	return c.latencyOrDefault() * (1 + queueWeight*max(c.load-freeLoad, 0)) * c.penalty
}

// latencyOrDefault returns the latency, or defaultLatency when it is unknown.
func (c *candidate) latencyOrDefault() float64 {
	if c.latency == 0 {
		return float64(defaultLatency)
	}
	return c.latency
}

// skipForSlowStart reports whether this draw skips the endpoint because it was admitted recently. The share of
// draws that skip it falls over the slow-start period.
func skipForSlowStart(now int64, rng *rand.Rand, svc *table.Service, st *table.Stats) bool {
	admitted := st.AdmittedAt.Load()
	if admitted == 0 {
		return false
	}
	period := int64(svc.Config.SlowStart)
	age := now - admitted
	if period <= 0 || age >= period {
		return false
	}
	share := max(float64(age)/float64(period), minSlowStartShare)
	return rng.Float64() >= share
}

// meanOthersInFlight returns the mean number of requests of other nodes, weighted by the weight of each report.
// It replaces missing reports, so that an endpoint without one does not look idle.
func (s *sample) meanOthersInFlight() float64 {
	sum, weight := 0.0, 0.0
	for k := range s.n {
		if s.candidates[k].cold {
			continue
		}
		sum += s.candidates[k].othersInFlight * s.candidates[k].reportWeight
		weight += s.candidates[k].reportWeight
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// lowestLatency returns the lowest known latency average of the sample, or 0.
func (s *sample) lowestLatency(svc *table.Service) float64 {
	lowest := 0.0
	for k := range s.n {
		l := float64(svc.Endpoints[s.candidates[k].index].Stats.LatencyNanos.Load())
		if l > 0 && (lowest == 0 || l < lowest) {
			lowest = l
		}
	}
	return lowest
}

// penalizeUnhealthy raises the load of failing and stalled endpoints, and of those due for a trial request,
// to at least 1 and multiplies it by their failure penalty.
func (s *sample) penalizeUnhealthy() {
	fastest := s.candidates[0].latency
	for k := 1; k < s.n; k++ {
		fastest = min(fastest, s.candidates[k].latency)
	}
	for k := range s.n {
		c := &s.candidates[k]
		stalled := c.latency > stalledLatencyRatio*fastest
		if c.failing || c.trialDue || stalled {
			c.load = max(c.load, 1) * c.penalty
		}
	}
}

// pickTrial returns, with probability trialShare, a sampled endpoint that is due for a trial request, else
// None. Only first attempts are used as trials, since a later one has less time left.
func (s *sample) pickTrial(rng *rand.Rand, exclude uint64) int {
	if exclude != 0 {
		return None
	}
	for k := range s.n {
		if s.candidates[k].trialDue && rng.Float64() < trialShare {
			return s.candidates[k].index
		}
	}
	return None
}

// best returns the sampled endpoint with the lowest cost among the cold ones with free capacity, or
// None when no endpoint has free capacity. Endpoints that this draw skips for slow start are used only
// when there is no other.
func (s *sample) best() int {
	if !s.hasFree() {
		return None
	}
	for _, slowStartSkip := range [2]bool{false, true} {
		threshold := s.loadQuantile(slowStartSkip)
		best := None
		for k := range s.n {
			c := &s.candidates[k]
			if c.slowStartSkip != slowStartSkip || c.load > freeLoad || c.load > threshold {
				continue
			}
			if best == None || c.cost < s.candidates[best].cost {
				best = k
			}
		}
		if best != None {
			return best
		}
	}
	return None
}

func (s *sample) hasFree() bool {
	for k := range s.n {
		if s.candidates[k].load <= freeLoad {
			return true
		}
	}
	return false
}

// loadQuantile returns the hotQuantile of the loads of the candidates with the given value of slowStartSkip.
func (s *sample) loadQuantile(slowStartSkip bool) float64 {
	var loads [2 * sampleSize]float64
	n := 0
	for k := range s.n {
		if s.candidates[k].slowStartSkip != slowStartSkip {
			continue
		}
		j := n
		for j > 0 && loads[j-1] > s.candidates[k].load {
			loads[j] = loads[j-1]
			j--
		}
		loads[j] = s.candidates[k].load
		n++
	}
	if n == 0 {
		return 0
	}
	return loads[int(hotQuantile*float64(n-1)+0.5)]
}

// cheapest returns the sampled endpoint with the lowest cost, or None.
func (s *sample) cheapest() int {
	best := None
	for k := range s.n {
		if best == None || s.candidates[k].cost < s.candidates[best].cost {
			best = k
		}
	}
	return best
}
