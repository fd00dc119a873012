package balance

import (
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/table"
)

// Tuning of the choice.
const (
	// sampleSize is the number of endpoints of a locality that one choice compares.
	sampleSize = 3
	// hotQuantile of the sampled loads separates hot from cold endpoints (Prequal, NSDI 2024).
	hotQuantile = 0.75
	// freeLoad is the estimated load per slot, with the new request, up to which an endpoint has
	// free capacity.
	freeLoad = 1.0
	// loadCost is the weight of the load in the expected time of a request.
	loadCost = 1.0
	// crowdedLoad is the load from which the cost rises with its square, weighted by crowdedCost.
	crowdedLoad = 0.7
	crowdedCost = 10
	// jitter spreads the choices of nodes that hold the same report, as a share of the cost. It
	// applies in proportion to the part of the load that comes from reports.
	jitter = 0.3
	// domainBias is the factor by which the cost of another failure domain must be lower.
	domainBias = 1.3
	// stalledRatio is the latency, in multiples of the fastest sampled endpoint, from which an
	// endpoint counts as having no free capacity.
	stalledRatio = 4
	// unknownLatency is assumed while no endpoint of the sample has answered or reported.
	unknownLatency = 5 * time.Millisecond
	// farLatency is the latency added for another region until an answer from there is known.
	farLatency = 40 * time.Millisecond
	// farBias is the factor by which the expected time in another region must be lower than that in the
	// own one: the link is paid, and queues in the own region often drain before an answer crosses it.
	farBias = 1.2
	// fullFarBias applies instead when the other region has no free capacity either.
	fullFarBias = 2
	// queueCost weighs the wait for a slot against the way to another region. A request that waits also
	// delays those behind it: at 1, a region with lasting overload queued until the wait equalled the way.
	queueCost = 3
	// closedLoad is the load per slot from which refusals mean that the queue is closed. Below, a gate
	// only passes a request on to a peer with a shorter queue.
	closedLoad = 2.5
	// hedgeLoad is the load per slot up to which an endpoint takes hedges.
	hedgeLoad = 0.9
	// unknownLoad caps the load assumed for an endpoint that has never reported.
	unknownLoad = 0.5
	// minSlowStart is the share of its draws that a newly admitted endpoint starts with.
	minSlowStart = 0.05
	// trialShare is the share of first attempts that try a sampled endpoint whose ejection has ended.
	trialShare = 0.125
)

// dandelionspoke is the node's own policy; see docs/operations/endpoint-choice.md.
type dandelionspoke struct{}

// sample is the set of endpoints that one choice compares.
type sample struct {
	c [2 * sampleSize]candidate
	n int
}

// Pick implements Picker. It compares endpoints of the own failure domain and the own region, the
// former with an advantage. It considers another region only when none of these has free capacity.
// When the other region would take longer, it stays in the own region unless that refuses much work.
// Ejected endpoints, then suspect ones, are the last resort. A draining endpoint is never chosen.
func (dandelionspoke) Pick(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) int {
	var near sample
	near.drawNear(now, rng, svc, exclude, long)
	if i := near.trial(rng, exclude); i != None {
		return i
	}
	if i := near.best(); i != None {
		return near.c[i].index
	}
	var far sample
	far.draw(now, rng, svc, svc.LocalityEnd[table.SameRegion], svc.LocalityEnd[table.OtherRegion], exclude)
	far.rate(now, rng, svc, long, float64(farLatency))
	if i := far.trial(rng, exclude); i != None {
		return i
	}
	if i := overflow(&near, &far); i != None {
		return i
	}
	return lastResort(rng, svc, exclude)
}

// PickHedge returns the position of an endpoint for a second attempt while the first one runs, or
// None. A hedge must not add to an overload or use the paid link: only endpoints of the own region
// with a load up to hedgeLoad are chosen. The arguments are those of Picker.Pick.
func PickHedge(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) int {
	var near sample
	near.drawNear(now, rng, svc, exclude, long)
	i := near.best()
	if i == None || near.c[i].load > hedgeLoad {
		return None
	}
	return near.c[i].index
}

// drawNear fills the sample from the own failure domain and the own region, and rates it.
func (s *sample) drawNear(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) {
	domainEnd, regionEnd := svc.LocalityEnd[table.SameDomain], svc.LocalityEnd[table.SameRegion]
	s.draw(now, rng, svc, 0, domainEnd, exclude)
	s.draw(now, rng, svc, domainEnd, regionEnd, exclude)
	s.rate(now, rng, svc, long, 0)
}

// overflow chooses between regions when the own one has no free capacity: another region when it has
// and the own one refuses work or takes longer by farBias, or when it has not and the own one takes
// longer by fullFarBias.
func overflow(near, far *sample) int {
	n, f, factor := near.cheapest(), far.best(), farBias
	if n != None && f != None && near.c[n].closed && near.c[n].load >= closedLoad {
		return far.c[f].index
	}
	if f == None {
		f, factor = far.cheapest(), fullFarBias
	}
	switch {
	case f != None && (n == None || far.c[f].waitingTime()*factor < near.c[n].waitingTime()):
		return far.c[f].index
	case n != None:
		return near.c[n].index
	}
	return None
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
