package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	// warmup is the time at the start of every run that isn't measured.
	warmup = time.Second
	// suspectDelay is how long membership takes to suspect the nodes of the other region after a partition
	// starts, and to clear them after it heals.
	suspectDelay = time.Second
	// rngStream is the second word of the PCG seed, so that this package gets different random numbers from
	// other packages with the same seed.
	rngStream = 0x6d656173757265
)

// Config is the configuration of one run.
type Config struct {
	Policy   string
	Duration time.Duration
	Seed     uint64
	// LocalRegionOnly restricts the baselines to endpoints in the caller node's region. Otherwise they also
	// choose endpoints of the other region at random, and RegionDelay dominates their latency.
	LocalRegionOnly bool
	// PlacementWait is the bundle's policy.placement_wait.
	PlacementWait time.Duration
}

// simulation is the state of one run.
type simulation struct {
	config           Config
	scenario         Scenario
	workload         Workload
	isDandelionspoke bool // use gate admission, load reports, probes, ejection and the retry budget

	loop       *eventLoop
	seedSource *rand.Rand
	bundle     *bundle.Bundle
	// gates and endpointDomains hold, for each endpoint, its gate and the index of its failure domain.
	gates           []gate
	backends        []*backend
	endpointDomains []int
	endpointIndexes map[string]int // by endpoint ID
	callerNodes     []*callerNode
	members         []*wire.Member
	routes          []route
	// capacityPerCallerNode is the total capacity, in requests per second, divided by the number of caller nodes.
	capacityPerCallerNode float64

	boundRand     *rand.Rand // for sampleBound; nil if the workload has no objective
	result        Result
	retryCount    uint64
	pending       int  // requests that have not completed
	arrivalsEnded bool // no request arrives any more
}

// Run simulates one scenario. The same arguments give the same result.
func Run(s Scenario, w Workload, c Config) *Result {
	sim := newSimulation(s, w, c)
	sim.loop.run(c.Duration)
	sim.arrivalsEnded = true
	sim.loop.run(c.Duration + drainTime(w))
	if sim.pending != 0 {
		panic(fmt.Sprintf("measure: %d requests are incomplete after the drain time", sim.pending))
	}
	sim.result.Retries = sim.retryCount
	return &sim.result
}

// drainTime returns how long the simulation goes on after the last arrival, so that every request completes.
func drainTime(w Workload) time.Duration { return w.LongTimeout + time.Second }

func newSimulation(scenario Scenario, w Workload, c Config) *simulation {
	if scenario.Workload != nil {
		w = *scenario.Workload
	}
	s := &simulation{
		config: c, scenario: scenario, workload: w, isDandelionspoke: c.Policy == balance.Dandelionspoke,
		endpointIndexes: map[string]int{},
		loop:            newEventLoop(), seedSource: rand.New(rand.NewPCG(c.Seed, rngStream)), bundle: w.bundle(), routes: routes(scenario.LongShare),
	}
	s.bundle.Policy.PlacementWait = bundle.Duration(c.PlacementWait)
	s.result = newResult(scenario, w, c)
	s.capacityPerCallerNode = w.capacity(w.endpoints(), scenario.LongShare) / float64(len(w.Domains)*w.callerNodes())
	for i, d := range w.Domains {
		for range d.endpoints() {
			s.endpointIndexes[endpointID(len(s.gates))] = len(s.gates)
			s.endpointDomains = append(s.endpointDomains, i)
			s.backends = append(s.backends, newBackend(s, len(s.gates)))
			s.gates = append(s.gates, s.newGate(s.backends[len(s.gates)]))
		}
	}
	for i := range w.Domains {
		for k := range w.callerNodes() {
			s.callerNodes = append(s.callerNodes, newCallerNode(s, i, k))
		}
	}
	if w.Objective > 0 {
		s.boundRand = s.newRand()
	}
	s.joinEndpoints()
	s.schedulePartition()
	return s
}

func (s *simulation) newGate(b *backend) gate {
	if s.isDandelionspoke {
		return newAdmissionGate(b, s.bundle.Services[serviceKey])
	}
	return &fifoGate{backend: b}
}

func (s *simulation) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(s.seedSource.Uint64(), s.seedSource.Uint64()))
}

// joinEndpoints adds all endpoints to the snapshots of the caller nodes, the late endpoint at the scenario's
// JoinAt.
func (s *simulation) joinEndpoints() {
	initial := len(s.gates)
	if s.scenario.JoinAt > 0 {
		initial--
		s.loop.after(fractionOf(s.config.Duration, s.scenario.JoinAt), func() { s.joinEndpoint(lateEndpoint) })
	}
	for i := range initial {
		s.joinEndpoint(i)
	}
}

func (s *simulation) joinEndpoint(i int) {
	d := s.workload.Domains[s.endpointDomains[i]]
	s.members = append(s.members, &wire.Member{
		NodeId: fmt.Sprint("node-", i), FailureDomain: d.Name, Region: d.Region,
		Incarnation: uint64(membership.NewIncarnation(s.loop.time())),
		Endpoints: []*wire.EndpointRecord{{
			Id: endpointID(i), Service: serviceKey, Slots: uint32(s.workload.Slots), Connections: uint32(s.workload.Connections),
		}},
	})
	for _, c := range s.callerNodes {
		c.updateSnapshot(s.members)
	}
}

func endpointID(i int) string { return fmt.Sprint("endpoint-", i) }

func (s *simulation) endpointIndex(e *table.Endpoint) int { return s.endpointIndexes[e.ID] }

// schedulePartition simulates the reaction of membership to a partition: the caller nodes suspect the nodes of
// the other region suspectDelay after it starts, and clear them suspectDelay after it heals.
func (s *simulation) schedulePartition() {
	if s.scenario.Partitioned == nil {
		return
	}
	s.loop.after(fractionOf(s.config.Duration, partitionFrom)+suspectDelay, func() { s.setOtherRegionSuspect(true) })
	s.loop.after(fractionOf(s.config.Duration, partitionTo)+suspectDelay, func() { s.setOtherRegionSuspect(false) })
}

func (s *simulation) setOtherRegionSuspect(suspect bool) {
	for _, c := range s.callerNodes {
		for _, e := range c.service().Endpoints {
			if e.Locality == table.OtherRegion {
				e.Stats.Suspect.Store(suspect)
			}
		}
	}
}

// send delivers a message between failure domains after the one-way delay, to which policy dandelionspoke
// adds gateDelay, unless a partition drops it.
func (s *simulation) send(from, to int, deliver func()) {
	if s.crossesRegions(from, to) && s.scenario.Partitioned != nil && s.scenario.Partitioned(s.config.Duration, s.loop.elapsed()) {
		return
	}
	delay := s.workload.delay(s.workload.Domains[from], s.workload.Domains[to])
	if s.isDandelionspoke {
		delay += gateDelay
	}
	s.loop.after(delay, deliver)
}

func (s *simulation) crossesRegions(from, to int) bool {
	return s.workload.Domains[from].Region != s.workload.Domains[to].Region
}

// countBytes counts the payload of a message between two failure domains, by their indexes.
func (s *simulation) countBytes(from, to, bytes int) {
	if from != to {
		s.result.DomainBytes += uint64(bytes)
	}
}

func (s *simulation) countProbe(from, to, bytes int) {
	if !s.arrivalsEnded {
		s.countBytes(from, to, bytes)
		s.result.addProbe(bytes, s.crossesRegions(from, to))
	}
}

// sampleRoute returns a random route, weighted by share.
func (s *simulation) sampleRoute(rng *rand.Rand) *route {
	x := rng.Float64()
	for i := range s.routes {
		if x -= s.routes[i].share; x < 0 {
			return &s.routes[i]
		}
	}
	return &s.routes[0]
}
