package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/system"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const (
	// tick is the period of the engine loop's probe pass, ejectPeriod that of its ejection pass.
	tick        = 10 * time.Millisecond
	ejectPeriod = 100 * time.Millisecond
	// rateStep bounds the time over which the arrival rate counts as constant.
	rateStep = 10 * time.Millisecond
)

// caller is a fake ingress: it draws arrivals and sends attempts by the product's decisions.
type caller struct {
	sim      *simulation
	domain   int
	region   int
	rng      *rand.Rand
	picker   balance.Picker
	snapshot *table.Snapshot

	retries *retry.Budget
	probes  *balance.ProbePlanner
	classes admission.Classes // corrects the declared class of routes for the product's choice
	sent    int               // attempts since the last probe pass
	// Probe messages in the current second of the run.
	probeSecond           time.Duration
	probeCount, linkCount int
}

func newCaller(s *simulation, domain, region int) *caller {
	picker, err := balance.New(s.config.Policy)
	if err != nil {
		panic(err)
	}
	c := &caller{sim: s, domain: domain, region: region, rng: s.newRand(), picker: picker}
	if s.product {
		p := s.bundle.Policy
		c.retries = retry.NewBudget(s.loop.time(), p.RetryShare, p.RetryMinPerSecond)
		c.probes = balance.NewProbePlanner(s.loop.now, p, probeBytes(c.domain)+replyBytes(s))
		s.loop.every(tick, c.probe)
		s.loop.every(ejectPeriod, c.eject)
	}
	s.loop.after(0, c.arrive)
	return c
}

// refresh rebuilds the snapshot from the members, as the engine loop does after a change.
func (c *caller) refresh(members []*wire.Member) {
	d := c.sim.workload.Domains[c.domain]
	self := system.Self{NodeID: fmt.Sprint("caller-", c.domain), FailureDomain: d.Name, Region: d.Region}
	var usable []*wire.Member
	for _, m := range members {
		if c.sim.product || !c.sim.config.OwnRegionOnly || m.Region == d.Region {
			usable = append(usable, m)
		}
	}
	c.snapshot = system.BuildSnapshot(1, self, usable, c.sim.bundle, c.snapshot, c.sim.loop.time(), nil)
}

func (c *caller) service() *table.Service { return c.snapshot.Service(serviceKey) }

// arrive draws the next arrival. An interval longer than rateStep is drawn again, since the rate may
// have changed by then; the exponential distribution has no memory.
func (c *caller) arrive() {
	s := c.sim
	if s.ended {
		return
	}
	rate := s.scenario.Load(s.config.Duration, s.loop.elapsed(), c.region) * s.callerCapacity
	wait := time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
	if wait > rateStep {
		s.loop.after(rateStep, c.arrive)
		return
	}
	s.loop.after(wait, func() {
		c.begin()
		c.arrive()
	})
}

func (c *caller) begin() {
	s := c.sim
	route := s.drawRoute(c.rng)
	timeout := s.workload.timeout(route)
	r := &request{caller: c, route: route, arrived: s.loop.now, deadline: s.loop.now + int64(timeout)}
	s.pending++
	if c.retries != nil {
		c.retries.RecordFirstAttempt()
	}
	s.loop.after(timeout, r.expire)
	c.attempt(r)
}

// attempt sends one attempt of r to the endpoint that the policy picks.
func (c *caller) attempt(r *request) {
	if r.done {
		return
	}
	l := c.sim.loop
	r.attempts++
	svc := c.service()
	long := c.long(r.route)
	i := c.picker.Pick(l.now, c.rng, svc, r.excluded(svc), long)
	if i == balance.None {
		c.failed(r, nil, verdict.NotRun, verdict.NoEndpoint)
		return
	}
	e := svc.Endpoints[i]
	r.tried = append(r.tried, e)
	a := &attempt{request: r, endpoint: e, sentAt: l.now, long: long, remaining: time.Duration(r.deadline - l.now)}
	if c.sim.product && !long && !r.placed {
		a.maxWait = retry.MaxPlacementWait
	}
	r.current = a
	c.sent++
	balance.ObserveStart(e.Stats, l.now, long)
	target := c.sim.endpointIndex(e)
	c.sim.send(c.domain, target, func() { c.sim.gates[target].offer(a) })
}

// long is the class of the route, corrected by measured time when the product is measured.
func (c *caller) long(r *route) bool {
	if !c.sim.product {
		return r.declaredLong
	}
	return c.classes.Long(serviceKey, r.name, r.declaredLong)
}

// answered handles an answer that reached the caller.
func (c *caller) answered(a *attempt, got answer) {
	if a.finished {
		return
	}
	outcome := balance.Success
	switch {
	case got.refused != "":
		outcome = balance.Refused
	case !got.ok:
		outcome = balance.Failed
	}
	a.finish(outcome)
	balance.ObserveReport(a.endpoint.Stats, c.sim.loop.now, got.load)
	switch outcome {
	case balance.Success:
		r := a.request
		c.classes.Record(serviceKey, r.route.name, r.route.declaredLong, time.Duration(c.sim.loop.now-a.sentAt))
		r.complete(true)
	case balance.Refused:
		if got.refused == verdict.Busy {
			a.request.moved()
			c.attempt(a.request)
			return
		}
		c.failed(a.request, a, verdict.NotRun, got.refused)
	default:
		c.failed(a.request, a, verdict.Ran, "")
	}
}

// failed sends another attempt of r when the policy of retries permits it.
func (c *caller) failed(r *request, a *attempt, v verdict.Verdict, reason verdict.Reason) {
	wait, again := c.retryAfter(r, a, v, reason)
	if !again {
		r.complete(false)
		return
	}
	c.sim.retried++
	c.sim.loop.after(wait, func() { c.attempt(r) })
}

func (c *caller) retryAfter(r *request, a *attempt, v verdict.Verdict, reason verdict.Reason) (time.Duration, bool) {
	if !c.sim.product {
		return 0, a != nil && v == verdict.NotRun && r.attempts == 1
	}
	failed := retry.Attempt{
		Idempotent: r.route.idempotent, Number: r.attempts, Verdict: v, Reason: reason,
		Remaining: time.Duration(r.deadline - c.sim.loop.now),
	}
	if v == verdict.Ran {
		failed.Status = statusOfFailure
	}
	d := retry.PolicyOf(c.sim.bundle.Policy).Next(failed, c.retries, c.sim.loop.time(), c.rng.Float64())
	return d.Wait, d.Retry
}

// statusOfFailure is the HTTP status of a failing backend server.
const statusOfFailure = 500

func (c *caller) eject() { balance.Eject(c.sim.loop.now, c.service().Endpoints, c.sim.bundle.Policy) }

// probe sends the probes that the planner chooses and counts both messages of each.
func (c *caller) probe() {
	s := c.sim
	c.probes.ObserveRequests(c.sent)
	c.sent = 0
	for _, e := range c.probes.Plan(s.loop.now, c.rng, c.service(), nil) {
		target := s.endpointIndex(e)
		c.countExchange(s.crosses(c.domain, target))
		s.countProbe(c.domain, target, probeBytes(c.domain))
		s.send(c.domain, target, func() {
			load := s.gates[target].load()
			s.countProbe(target, c.domain, replyBytes(s))
			s.send(target, c.domain, func() { balance.ObserveReport(e.Stats, s.loop.now, load) })
		})
	}
}

// countExchange counts a probe and its reply against the current second.
func (c *caller) countExchange(link bool) {
	if second := c.sim.loop.elapsed().Truncate(time.Second); second != c.probeSecond {
		c.probeSecond, c.probeCount, c.linkCount = second, 0, 0
	}
	c.probeCount += messagesPerExchange
	if link {
		c.linkCount += messagesPerExchange
	}
	r := &c.sim.result
	r.PeakNodeProbes = max(r.PeakNodeProbes, c.probeCount)
	r.PeakNodeLinkProbes = max(r.PeakNodeLinkProbes, c.linkCount)
}

// messagesPerExchange counts a probe and its reply.
const messagesPerExchange = 2

// probeBytes is the payload of a probe datagram.
func probeBytes(domain int) int {
	return proto.Size(&wire.Datagram{
		From: fmt.Sprint("caller-", domain), Incarnation: 1 << 56, BundleVersion: 1,
		Kind: &wire.Datagram_Probe{Probe: &wire.Probe{Seq: 1 << 30, Service: serviceKey}},
	})
}

// replyBytes is the largest payload of a reply to a probe.
func replyBytes(s *simulation) int {
	load := &wire.Load{
		InFlight: uint32(s.workload.Slots), InFlightLong: uint32(s.workload.Slots), Slots: uint32(s.workload.Slots),
		QueuedShort: 1000, QueuedLong: 1000, ServiceTimeUs: uint32(time.Minute.Microseconds()), Draining: true,
	}
	return proto.Size(&wire.Datagram{
		From: "endpoint-0", Incarnation: 1 << 56, BundleVersion: 1,
		Kind: &wire.Datagram_ProbeReply{ProbeReply: &wire.ProbeReply{
			Seq: 1 << 30, Service: serviceKey, Endpoint: "endpoint-0", Load: load,
		}},
	})
}
