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
	// leastFarBias applies to services that state no bias towards the own region: the link is paid, and queues in the
	// own region often drain before an answer crosses it.
	leastFarBias = 1.2
	// fullFarRatio raises the bias when the other region has no free capacity either.
	fullFarRatio = 5.0 / 3
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
	if i := overflow(&near, &far, svc.Config.FarBias); i != None {
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

// overflow chooses between regions when the own one has no free capacity: another region when it has
// and the own one refuses work or takes longer by bias, or when it has not and the own one takes longer by
// fullFarRatio times that.
func overflow(near, far *sample, bias float64) int {
	n, f, factor := near.cheapest(), far.best(), max(bias, leastFarBias)
	if n != None && f != None && near.c[n].closed && near.c[n].load >= closedLoad {
		return far.c[f].index
	}
	if f == None {
		f, factor = far.cheapest(), factor*fullFarRatio
	}
	switch {
	case f != None && (n == None || far.c[f].waitingTime()*factor < near.c[n].waitingTime()):
		return far.c[f].index
	case n != None:
		return near.c[n].index
	}
	return None
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
