package measure

import (
	"fmt"
	"math"
	"time"
)

// Parameters of the scenario uneven. Demand moves in waves over the failure domains, endpoints are unevenly placed, and
// neighbours slow a quarter of the backend servers for a part of each period.
const (
	unevenMeanLoad  = 0.65 // the sum over the failure domains peaks at 0.89; neighbours leave 0.94 of the capacity
	unevenSwing     = 0.55 // of the mean
	unevenPeriod    = 15 * time.Second
	unevenPhaseStep = 0.08 // of the period, from one failure domain to the next

	neighbourSlowdown = 4
	neighbourEvery    = 4 // every fourth backend server has a neighbour
	neighbourDuration = 300 * time.Millisecond
	neighbourPeriod   = time.Second
	// neighbourOffset is the time between the slow periods of one backend server and the next.
	neighbourOffset = 170 * time.Millisecond
)

func unevenScenario() Scenario {
	endpoints := []int{11, 13, 13, 11, 10, 9}
	w := Workload{
		Name: "uneven", Slots: 12, CallerNodes: 6, Connections: 200,
		CallerDelay: time.Millisecond, DomainDelay: 500 * time.Microsecond, RegionDelay: 12 * time.Millisecond,
		ShortMean: 20 * time.Millisecond, ShortTimeout: 400 * time.Millisecond, LongTimeout: 10 * time.Second,
		Objective: 100 * time.Millisecond,
	}
	for i, n := range endpoints {
		region := i / 2
		w.Domains = append(w.Domains, Domain{Name: fmt.Sprintf("region-%d-%c", region, 'a'+i%2), Region: fmt.Sprint("region-", region), Endpoints: n})
	}
	return Scenario{Name: "uneven", Load: unevenLoad, Slowdown: neighbours, ReportsSlowness: true, IngressMoves: true, Workload: &w}
}

func unevenLoad(_, at time.Duration, domain int) float64 {
	phase := at.Seconds()/unevenPeriod.Seconds() - unevenPhaseStep*float64(domain)
	return unevenMeanLoad * (1 + unevenSwing*math.Sin(2*math.Pi*phase))
}

func neighbours(_, at time.Duration, endpoint int) float64 {
	shifted := at + time.Duration(endpoint)*neighbourOffset
	if endpoint%neighbourEvery == 0 && shifted%neighbourPeriod < neighbourDuration {
		return neighbourSlowdown
	}
	return 1
}

// boundStep is the time resolution of the capacity bound.
const boundStep = 10 * time.Millisecond

// capacityBound returns an upper bound of the share of requests within their objective in a run: the demand that all endpoints
// together can serve. In each step they serve at most their capacity, and demand that exceeds it waits for at most the
// objective without the mean service time. Interference that every scenario has is part of the capacity.
func (s *Scenario) capacityBound(w Workload, run, from time.Duration) float64 {
	perSlot := w.capacity(1, s.LongShare)
	maxBacklog := (w.Objective - w.ShortMean).Seconds() * perSlot * float64(w.endpoints())
	offered, lost, backlog := 0.0, 0.0, 0.0
	for at := time.Duration(0); at < run; at += boundStep {
		demand, capacity := 0.0, 0.0
		for i := range w.Domains {
			demand += s.Load(run, at, i) * perSlot * float64(w.endpoints()) / float64(len(w.Domains))
		}
		for i := range w.endpoints() {
			capacity += perSlot / s.slowdown(run, at, i)
		}
		backlog = max(0, backlog+(demand-capacity)*boundStep.Seconds())
		if at >= from {
			offered += demand * boundStep.Seconds()
			lost += max(0, backlog-maxBacklog)
		}
		backlog = min(backlog, maxBacklog)
	}
	return 1 - lost/offered
}

// sampleBound sets r.inBound for a service time of its own. A request can't move once it runs, so it is late if the slow
// period of a neighbour begins soon after its start, or its service time is far above the mean.
func (s *simulation) sampleBound(r *request) {
	if s.boundRand == nil {
		return
	}
	at := s.loop.elapsed()
	i := s.boundRand.IntN(len(s.backends))
	for s.scenario.slowdown(s.config.Duration, at, i) > 1 {
		i = (i + 1) % len(s.backends)
	}
	end := s.backends[i].speed.finishTime(at, s.workload.serviceTime(r.route, s.boundRand))
	r.inBound = end-at+2*s.workload.CallerDelay <= s.workload.Objective
}

func (s *Scenario) slowdown(run, at time.Duration, endpoint int) float64 {
	if s.Slowdown == nil {
		return 1
	}
	return s.Slowdown(run, at, endpoint)
}
