package balance

import (
	"math/rand/v2"

	"dandelionspoke/internal/table"
)

// sample is the set of endpoints that one choice compares.
type sample struct {
	c [2 * sampleSize]candidate
	n int
}

// drawNear fills the sample from the own failure domain and the own region, and rates it.
func (s *sample) drawNear(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) {
	domainEnd, regionEnd := svc.LocalityEnd[table.SameDomain], svc.LocalityEnd[table.SameRegion]
	s.draw(now, rng, svc, 0, domainEnd, exclude)
	s.draw(now, rng, svc, domainEnd, regionEnd, exclude)
	s.rate(now, rng, svc, long, 0)
}

// usable reports whether ordinary work may go to the endpoint. An endpoint whose ejection has ended
// takes one trial request at a time.
func usable(s *table.Stats, now int64) bool {
	if s.Draining.Load() || s.Suspect.Load() {
		return false
	}
	until := s.EjectedUntil.Load()
	if until == 0 {
		return true
	}
	return now >= until && s.TrialInFlight.Load() == 0
}

// draw adds up to sampleSize distinct usable endpoints from positions start to end.
func (s *sample) draw(now int64, rng *rand.Rand, svc *table.Service, start, end int, exclude uint64) {
	n, full := end-start, s.n+sampleSize
	if n <= 0 {
		return
	}
	if n <= sampleSize {
		s.scan(now, rng, svc, start, n, exclude, full)
		return
	}
	first := s.n
	for range 2 * sampleSize {
		i := start + rng.IntN(n)
		if !excluded(exclude, i) && !s.has(i) && usable(svc.Endpoints[i].Stats, now) {
			s.add(i)
			if s.n == full {
				return
			}
		}
	}
	if s.n == first {
		s.scan(now, rng, svc, start, n, exclude, first+2)
	}
}

// scan adds the usable endpoints of a range from a random position on, until the sample holds limit.
func (s *sample) scan(now int64, rng *rand.Rand, svc *table.Service, start, n int, exclude uint64, limit int) {
	offset := rng.IntN(n)
	for k := range n {
		i := start + offset + k
		if i >= start+n {
			i -= n
		}
		if excluded(exclude, i) || !usable(svc.Endpoints[i].Stats, now) {
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
		if s.c[k].index == i {
			return true
		}
	}
	return false
}

func (s *sample) add(i int) {
	s.c[s.n].index = i
	s.n++
}

// rate estimates load, latency and cost of each sampled endpoint. distance is the latency added
// to endpoints of which none is known.
func (s *sample) rate(now int64, rng *rand.Rand, svc *table.Service, long bool, distance float64) {
	if s.n == 0 {
		return
	}
	slots := max(svc.Config.Slots, 1)
	if long {
		slots = max(svc.Config.LongSlots, 1)
	}
	for k := range s.n {
		c := &s.c[k]
		e := svc.Endpoints[c.index]
		c.observe(now, e, slots, long)
		c.late = slowStartSkips(now, rng, svc, e.Stats)
	}
	prior := s.meanOthers()
	peer := s.peerLatency(svc)
	for k := range s.n {
		c := &s.c[k]
		e := svc.Endpoints[c.index]
		c.load = (c.own + c.estimateOthers(e.Stats, prior) + 1) / c.slots
		c.latency = latencyOf(e.Stats, now, peer)
		if e.Stats.LatencyNanos.Load() == 0 {
			c.latency += distance
		}
	}
	s.markUnfit()
	for k := range s.n {
		c := &s.c[k]
		c.cost = c.expectedTime() * (1 + jitter*c.unsure*rng.Float64())
		if svc.Endpoints[c.index].Locality == table.SameRegion {
			c.cost *= domainBias
		}
	}
}

// expectedTime is the expected latency of one more request, raised by recent failures.
func (c *candidate) expectedTime() float64 {
	crowded := max(c.load-crowdedLoad, 0)
	return c.known() * (1 + loadCost*c.load + crowdedCost*crowded*crowded) * c.penalty
}

// waitingTime is the expected latency of one more request, with the wait weighed by queueCost. Unlike
// expectedTime it does not grow with load below the slots, which moves no work to another region.
func (c *candidate) waitingTime() float64 {
	return c.known() * (1 + queueCost*max(c.load-freeLoad, 0)) * c.penalty
}

// known is the latency, or an assumption without one.
func (c *candidate) known() float64 {
	if c.latency == 0 {
		return float64(unknownLatency)
	}
	return c.latency
}

// slowStartSkips passes over a recently admitted endpoint in a falling share of the draws.
func slowStartSkips(now int64, rng *rand.Rand, svc *table.Service, st *table.Stats) bool {
	admitted := st.AdmittedAt.Load()
	if admitted == 0 {
		return false
	}
	period := int64(svc.Config.SlowStart)
	age := now - admitted
	if period <= 0 || age >= period {
		return false
	}
	share := max(float64(age)/float64(period), minSlowStart)
	return rng.Float64() >= share
}

// meanOthers is the mean load by other nodes, weighted by the trust in each report. It stands in for
// what is not known of an endpoint, so that an endpoint without a report does not look empty.
func (s *sample) meanOthers() float64 {
	sum, weight := 0.0, 0.0
	for k := range s.n {
		sum += s.c[k].others * s.c[k].weight
		weight += s.c[k].weight
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// peerLatency is the lowest known average latency of the sample, or 0.
func (s *sample) peerLatency(svc *table.Service) float64 {
	least := 0.0
	for k := range s.n {
		l := float64(svc.Endpoints[s.c[k].index].Stats.LatencyNanos.Load())
		if l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	return least
}

// markUnfit raises the load of failing and stalled endpoints to at least 1, so that they count as
// having no free capacity.
func (s *sample) markUnfit() {
	fastest := s.c[0].latency
	for k := 1; k < s.n; k++ {
		fastest = min(fastest, s.c[k].latency)
	}
	for k := range s.n {
		c := &s.c[k]
		stalled := c.latency > stalledRatio*fastest
		if c.failing || c.trial || stalled {
			c.load = max(c.load, 1) * c.penalty
		}
	}
}

// trial returns a sampled endpoint on trial in a share of the first attempts, else None. A repeated
// attempt has less time left and takes no trial.
func (s *sample) trial(rng *rand.Rand, exclude uint64) int {
	if exclude != 0 {
		return None
	}
	for k := range s.n {
		if s.c[k].trial && rng.Float64() < trialShare {
			return s.c[k].index
		}
	}
	return None
}

// best returns the sampled endpoint with the lowest cost among the cold ones with free capacity, or
// None when no endpoint has free capacity. Endpoints in slow start that were passed over count only
// when there is no other.
func (s *sample) best() int {
	if !s.hasFree() {
		return None
	}
	for _, late := range [2]bool{false, true} {
		threshold := s.loadQuantile(late)
		best := None
		for k := range s.n {
			c := &s.c[k]
			if c.late != late || c.load > freeLoad || c.load > threshold {
				continue
			}
			if best == None || c.cost < s.c[best].cost {
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
		if s.c[k].load <= freeLoad {
			return true
		}
	}
	return false
}

// loadQuantile is the hotQuantile of the loads among candidates with the given value of late.
func (s *sample) loadQuantile(late bool) float64 {
	var loads [2 * sampleSize]float64
	n := 0
	for k := range s.n {
		if s.c[k].late != late {
			continue
		}
		j := n
		for j > 0 && loads[j-1] > s.c[k].load {
			loads[j] = loads[j-1]
			j--
		}
		loads[j] = s.c[k].load
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
		if best == None || s.c[k].cost < s.c[best].cost {
			best = k
		}
	}
	return best
}
