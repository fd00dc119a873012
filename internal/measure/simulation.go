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
	// warmup precedes the measured part of every run.
	warmup = time.Second
	// suspectAfter is how long membership takes to suspect the nodes beyond a cut, and to clear them.
	suspectAfter = time.Second
	// seedStream separates the random numbers of this package from others with the same seed.
	seedStream = 0x6d656173757265
)

// Config selects one run.
type Config struct {
	Policy   string
	Duration time.Duration
	Seed     uint64
	// OwnRegionOnly keeps the baselines within the caller's region. Without it they also choose
	// endpoints of the other region at random, and RegionDelay dominates their latency.
	OwnRegionOnly bool
}

// simulation is one run: fake backend servers, callers and network delays around the decision code.
type simulation struct {
	config   Config
	scenario Scenario
	workload Workload
	product  bool // gate admission, reports, probes, ejection and the retry budget are in use

	loop    *loop
	seeds   *rand.Rand
	bundle  *bundle.Bundle
	gates   []gate
	callers []*caller
	members []*wire.Member
	routes  []route
	// callerCapacity is the part of the capacity, in requests per second, that belongs to one caller.
	callerCapacity float64

	result  Result
	retried uint64
	pending int  // requests that have not ended
	ended   bool // no further arrivals
}

// Run measures one scenario. The same arguments give the same result.
func Run(s Scenario, w Workload, c Config) *Result {
	sim := newSimulation(s, w, c)
	sim.loop.run(c.Duration)
	sim.ended = true
	sim.loop.run(c.Duration + drainTime(w))
	if sim.pending != 0 {
		panic(fmt.Sprintf("measure: %d requests have not ended after the drain", sim.pending))
	}
	sim.result.Retries = sim.retried
	return &sim.result
}

// drainTime lets every request of the run end before the result is taken.
func drainTime(w Workload) time.Duration { return w.LongTimeout + time.Second }

func newSimulation(scenario Scenario, w Workload, c Config) *simulation {
	s := &simulation{
		config: c, scenario: scenario, workload: w, product: c.Policy == balance.Dandelionspoke,
		loop: newLoop(), seeds: rand.New(rand.NewPCG(c.Seed, seedStream)), bundle: w.bundle(), routes: routes(scenario.LongShare),
	}
	s.result = newResult(scenario, w, c)
	s.callerCapacity = w.capacity(len(w.Domains), scenario.LongShare) / float64(len(w.Domains)*callersPerDomain)
	for i := range w.Domains {
		s.gates = append(s.gates, s.newGate(newBackend(s, i)))
	}
	for i, d := range w.Domains {
		for range callersPerDomain {
			s.callers = append(s.callers, newCaller(s, i, regionIndex(w, d)))
		}
	}
	s.joinAll()
	s.scheduleCut()
	return s
}

func (s *simulation) newGate(b *backend) gate {
	if s.product {
		return newAdmissionGate(b, s.bundle.Services[serviceKey])
	}
	return &fifoGate{backend: b}
}

func regionIndex(w Workload, d Domain) int {
	if d.Region == w.Domains[0].Region {
		return 0
	}
	return 1
}

func (s *simulation) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(s.seeds.Uint64(), s.seeds.Uint64()))
}

// joinAll makes the endpoints known to the callers, the last one late when the scenario says so.
func (s *simulation) joinAll() {
	now := len(s.workload.Domains)
	if s.scenario.Joins > 0 {
		now--
		s.loop.after(share(s.config.Duration, s.scenario.Joins), func() { s.join(lastEndpoint) })
	}
	for i := range now {
		s.join(i)
	}
}

func (s *simulation) join(i int) {
	d := s.workload.Domains[i]
	s.members = append(s.members, &wire.Member{
		NodeId: fmt.Sprint("node-", i), FailureDomain: d.Name, Region: d.Region,
		Incarnation: uint64(membership.NewIncarnation(s.loop.time())),
		Endpoints: []*wire.EndpointRecord{{
			Id: endpointID(i), Service: serviceKey, Slots: uint32(s.workload.Slots), Connections: uint32(s.workload.Connections),
		}},
	})
	for _, c := range s.callers {
		c.refresh(s.members)
	}
}

func endpointID(i int) string { return fmt.Sprint("endpoint-", i) }

// endpointIndex is the failure domain of an endpoint, which has the same index.
func (s *simulation) endpointIndex(e *table.Endpoint) int { return int(e.ID[len(e.ID)-1] - '0') }

// scheduleCut lets membership suspect the nodes beyond a cut and clear them after it.
func (s *simulation) scheduleCut() {
	if s.scenario.Cut == nil {
		return
	}
	s.loop.after(share(s.config.Duration, cutFrom)+suspectAfter, func() { s.suspectOtherRegion(true) })
	s.loop.after(share(s.config.Duration, cutTo)+suspectAfter, func() { s.suspectOtherRegion(false) })
}

func (s *simulation) suspectOtherRegion(suspect bool) {
	for _, c := range s.callers {
		for _, e := range c.service().Endpoints {
			if e.Locality == table.OtherRegion {
				e.Stats.Suspect.Store(suspect)
			}
		}
	}
}

// send delivers a message between failure domains after the one-way delay, unless a cut drops it.
func (s *simulation) send(from, to int, deliver func()) {
	if s.crosses(from, to) && s.scenario.Cut != nil && s.scenario.Cut(s.config.Duration, s.loop.elapsed()) {
		return
	}
	delay := s.workload.delay(s.workload.Domains[from], s.workload.Domains[to])
	if s.product {
		delay += gateHop
	}
	s.loop.after(delay, deliver)
}

func (s *simulation) crosses(from, to int) bool {
	return s.workload.Domains[from].Region != s.workload.Domains[to].Region
}

func (s *simulation) countProbe(from, to, bytes int) {
	if !s.ended {
		s.result.probe(bytes, s.crosses(from, to))
	}
}

func (s *simulation) drawRoute(rng *rand.Rand) *route {
	x := rng.Float64()
	for i := range s.routes {
		if x -= s.routes[i].share; x < 0 {
			return &s.routes[i]
		}
	}
	return &s.routes[0]
}
