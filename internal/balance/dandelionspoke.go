package balance

import (
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/table"
)

// Parameters of the dandelionspoke policy. A load is the number of requests in flight or queued per slot.
const (
	// sampleSize is the number of endpoints sampled per locality for one selection.
	sampleSize = 3
	// hotQuantile of the sampled loads separates hot from cold endpoints (Prequal, NSDI 2024).
	hotQuantile = 0.75
	// freeLoad is the highest estimated load, including the new request, at which an endpoint has free
	// capacity.
	freeLoad = 1.0
	// loadWeight is the weight of the load in the expected time of a request.
	loadWeight = 1.0
	// congestionLoad is the load above which the expected time also grows with the square of the excess,
	// weighted by congestionWeight.
	congestionLoad   = 0.7
	congestionWeight = 10
	// costJitter is the largest random increase of the cost, as a share of it. It spreads the selections
	// of nodes that hold the same report, and applies in proportion to the estimated part of the load.
	costJitter = 0.3
	// crossDomainBias multiplies the cost of endpoints in other failure domains of the local region.
	crossDomainBias = 1.3
	// stalledLatencyRatio is the latency, as a multiple of the fastest sampled endpoint's, above which
	// an endpoint counts as fully loaded.
	stalledLatencyRatio = 4
	// defaultLatency is assumed while no sampled endpoint has responded or reported.
	defaultLatency = 5 * time.Millisecond
	// crossRegionLatency is added to the latency estimate of an endpoint in another region while none has
	// been measured.
	crossRegionLatency = 40 * time.Millisecond
	// minCrossRegionBias is the lowest bias towards the local region, also for services that configure none.
	// Traffic between regions is billed, and a local queue often drains before a response from another
	// region arrives.
	minCrossRegionBias = 1.2
	// fullRegionBiasFactor raises the bias when the other region has no free capacity either.
	fullRegionBiasFactor = 5.0 / 3
	// queueWeight weighs the queueing time against the latency to another region. A queued request also
	// delays those behind it: at 1, an overloaded region kept queueing until the queueing time equaled that
	// latency.
	queueWeight = 3
	// refusingLoad is the load at or above which refusals mean that an endpoint's queue is full. Below it, a gate
	// refuses a request only to move it to an endpoint with a shorter queue.
	refusingLoad = 2.5
	// maxHedgeLoad is the highest load at which an endpoint is selected for a hedge.
	maxHedgeLoad = 0.9
	// maxHedgeUtilization is the highest utilization of the local region's slots, requests in queues included, at which
	// hedges are sent. In a peak, a hedge takes the slot of a first attempt, which is worth more.
	maxHedgeUtilization = 0.5
	// maxUnreportedLoad caps the load assumed for an endpoint that has never reported.
	maxUnreportedLoad = 0.5
	// minSlowStartShare is the share of draws in which a newly admitted endpoint takes part at first.
	minSlowStartShare = 0.05
	// trialShare is the probability that a first attempt goes to a given sampled endpoint that is due for a
	// trial request.
	trialShare = 0.125
)

// dandelionspoke is the default policy; see docs/operations/endpoint-choice.md.
type dandelionspoke struct{}

// Pick implements Picker. It compares sampled endpoints of the local failure domain and of the rest of the
// local region, and favors the former. It considers other regions only when none of these has free
// capacity, and then compares the regions as described at chooseRegion. Ejected endpoints, then suspect
// ones, are used only when there is no other. A draining endpoint is never selected.
func (dandelionspoke) Pick(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) int {
	var local sample
	local.addLocal(now, rng, svc, exclude, long)
	if i := local.pickTrial(rng, exclude); i != None {
		return i
	}
	if i := local.best(); i != None {
		return local.candidates[i].index
	}
	var remote sample
	remote.addRandom(now, rng, svc, svc.LocalityEnd[table.SameRegion], svc.LocalityEnd[table.OtherRegion], exclude)
	remote.estimate(now, rng, svc, long, float64(crossRegionLatency))
	if i := remote.pickTrial(rng, exclude); i != None {
		return i
	}
	if i := chooseRegion(&local, &remote, svc.Config.FarBias); i != None {
		return i
	}
	return pickFallback(rng, svc, exclude)
}

// PickHedge returns the position of an endpoint for a second attempt while the first one runs, or
// None. A hedge must neither add to an overload nor cause billed traffic between regions: only endpoints
// of the local region with a load of at most maxHedgeLoad are selected, and only while the region's
// utilization is at most maxHedgeUtilization. The arguments are those of Picker.Pick.
func PickHedge(now int64, rng *rand.Rand, svc *table.Service, exclude uint64, long bool) int {
	if localUtilization(svc) > maxHedgeUtilization {
		return None
	}
	var local sample
	local.addLocal(now, rng, svc, exclude, long)
	i := local.best()
	if i == None || local.candidates[i].load > maxHedgeLoad {
		return None
	}
	return local.candidates[i].index
}

// localUtilization returns the requests in flight and in queues per slot, over the endpoints of the local region that have
// reported. It is 0 if none has.
func localUtilization(svc *table.Service) float64 {
	requests, slots := 0.0, 0.0
	for _, e := range svc.Endpoints[:svc.LocalityEnd[table.SameRegion]] {
		s := e.Stats
		if s.ReportedAt.Load() == 0 {
			continue
		}
		requests += float64(max(s.ReportedInFlight.Load()+s.ReportedQueue.Load(), s.OwnInFlight.Load()))
		if e.Slots > 0 {
			slots += float64(e.Slots)
		} else {
			slots += float64(svc.Config.Slots)
		}
	}
	if slots == 0 {
		return 0
	}
	return requests / slots
}

// chooseRegion selects an endpoint when the local region has no free capacity. It selects another region
// that has free capacity if the local one refuses requests at refusingLoad or above, or costs more than bias
// times as much. It selects another region without free capacity if the local one costs more than bias times
// fullRegionBiasFactor as much. A bias below minCrossRegionBias is raised to it.
func chooseRegion(local, remote *sample, bias float64) int {
	l, r, factor := local.cheapest(), remote.best(), max(bias, minCrossRegionBias)
	if l != None && r != None && local.candidates[l].refusing && local.candidates[l].load >= refusingLoad {
		return remote.candidates[r].index
	}
	if r == None {
		r, factor = remote.cheapest(), factor*fullRegionBiasFactor
	}
	switch {
	case r != None && (l == None || remote.candidates[r].regionCost()*factor < local.candidates[l].regionCost()):
		return remote.candidates[r].index
	case l != None:
		return local.candidates[l].index
	}
	return None
}

// pickFallback returns an ejected endpoint, else a suspect one, else None. A request that would otherwise
// be refused may still succeed there.
func pickFallback(rng *rand.Rand, svc *table.Service, exclude uint64) int {
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
