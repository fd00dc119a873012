package balance

import (
	"math/rand/v2"

	"dandelionspoke/internal/table"
)

// Tuning of the choice.
const (
	// sampleSize is the number of endpoints of a locality that one choice compares.
	sampleSize = 6
	// hotQuantile of the sampled loads separates hot from cold endpoints (Prequal, NSDI 2024).
	hotQuantile = 0.75
	// freeLoad is the estimated load per slot up to which an endpoint has free capacity.
	freeLoad = 0.9
	// loadCost is the weight of the load in the expected latency of a request.
	loadCost = 1.0
	// jitter spreads the choices of nodes that hold the same report, as a share of the cost.
	jitter = 0.3
	// stalledRatio is the latency, in multiples of the fastest sampled endpoint, from which an
	// endpoint counts as having no free capacity.
	stalledRatio = 4
	// minSlowStart is the share of its draws that a newly admitted endpoint starts with.
	minSlowStart = 0.05
	// trialShare is the share of first attempts that try a sampled endpoint whose ejection has ended.
	trialShare = 0.125
)

// dandelionspoke is the node's own policy; see docs/operations/endpoint-choice.md.
type dandelionspoke struct{}

// sample is the set of endpoints that one choice compares.
type sample struct {
	c [sampleSize]candidate
	n int
}

// Pick implements Picker. It takes localities in order and leaves one only when no sampled endpoint
// of it has free capacity. When none has, it takes the least loaded one of the nearest region that
// has a usable endpoint, then an ejected one, then a suspect one. A draining endpoint
// is never chosen.
func (dandelionspoke) Pick(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) int {
	fallback, fallbackLoad := None, 0.0
	start := 0
	for l, end := range svc.LocalityEnd {
		if end <= start {
			continue
		}
		var s sample
		s.draw(now, rng, svc, start, end, exclude)
		start = end
		if s.n == 0 {
			continue
		}
		s.rate(now, rng, svc, long)
		if i := s.trial(rng, exclude); i != None {
			return i
		}
		if i := s.best(); i != None {
			return i
		}
		if table.Locality(l) == table.OtherRegion && fallback != None {
			break
		}
		if i, load := s.leastLoaded(); fallback == None || load < fallbackLoad {
			fallback, fallbackLoad = i, load
		}
	}
	if fallback != None {
		return fallback
	}
	return lastResort(rng, svc, exclude)
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

// draw fills the sample with distinct usable endpoints from positions start to end.
func (s *sample) draw(now int64, rng *rand.Rand, svc *table.Service, start, end int, exclude uint64) {
	n := end - start
	if n <= sampleSize {
		s.scan(now, rng, svc, start, n, exclude, sampleSize)
		return
	}
	for range 2 * sampleSize {
		i := start + rng.IntN(n)
		if !excluded(exclude, i) && !s.has(i) && usable(svc.Endpoints[i].Stats, now) {
			s.add(i)
			if s.n == sampleSize {
				return
			}
		}
	}
	if s.n == 0 {
		s.scan(now, rng, svc, start, n, exclude, 2)
	}
}

// scan adds the usable endpoints of a range from a random position on, until the sample holds limit.
func (s *sample) scan(now int64, rng *rand.Rand, svc *table.Service, start, n int, exclude uint64, limit int) {
	offset := rng.IntN(n)
	for k := range n {
		i := start + (offset+k)%n
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

// rate estimates load, latency and cost of each sampled endpoint.
func (s *sample) rate(now int64, rng *rand.Rand, svc *table.Service, long bool) {
	slots := max(svc.Config.Slots, 1)
	if long {
		slots = max(svc.Config.LongSlots, 1)
	}
	for k := range s.n {
		c := &s.c[k]
		c.observe(now, svc.Endpoints[c.index], slots, long)
		c.late = slowStartSkips(now, rng, svc, svc.Endpoints[c.index].Stats)
	}
	prior := s.meanOthers()
	peer := s.peerLatency(svc)
	for k := range s.n {
		c := &s.c[k]
		others := prior + (c.others-prior)*c.weight
		c.load = (c.own + others + 1) / c.slots
		c.latency = latencyOf(svc.Endpoints[c.index].Stats, now, peer)
		noise := 1 + jitter*rng.Float64()
		c.cost = max(c.latency, 1) * (1 + loadCost*c.load) * c.penalty * noise
	}
	s.markUnfit()
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

// best returns the position with the lowest cost among the cold endpoints with free capacity, or
// None when no endpoint has free capacity. Endpoints in slow start that were passed over count only
// when there is no other.
func (s *sample) best() int {
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
			return s.c[best].index
		}
	}
	return None
}

// loadQuantile is the hotQuantile of the loads among candidates with the given value of late.
func (s *sample) loadQuantile(late bool) float64 {
	var loads [sampleSize]float64
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

// leastLoaded returns the position with the lowest load, and that load.
func (s *sample) leastLoaded() (int, float64) {
	best := 0
	for k := 1; k < s.n; k++ {
		if s.c[k].load < s.c[best].load {
			best = k
		}
	}
	return s.c[best].index, s.c[best].load
}

// lastResort returns an ejected endpoint, else a suspect one, else None. Work that would otherwise
// be refused may still succeed there.
func lastResort(rng *rand.Rand, svc *table.Service, exclude uint64) int {
	n := len(svc.Endpoints)
	if n == 0 {
		return None
	}
	suspect := None
	offset := rng.IntN(n)
	for k := range n {
		i := (offset + k) % n
		st := svc.Endpoints[i].Stats
		if excluded(exclude, i) || st.Draining.Load() {
			continue
		}
		if !st.Suspect.Load() {
			return i
		}
		suspect = i
	}
	return suspect
}
