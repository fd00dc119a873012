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
	// probeInterval and ejectInterval are the periods of the engine's probe and ejection passes.
	probeInterval = 10 * time.Millisecond
	ejectInterval = 100 * time.Millisecond
	// rateUpdateInterval is the longest time for which the arrival rate is taken as constant.
	rateUpdateInterval = 10 * time.Millisecond
)

// callerNode simulates a node with an ingress. It generates the requests of the ingress and sends their
// attempts as the policy decides.
type callerNode struct {
	sim      *simulation
	id       string
	domain   int
	rng      *rand.Rand
	picker   balance.Picker
	snapshot *table.Snapshot

	retries            *retry.Budget
	probes             *balance.ProbePlanner
	classes            admission.Classes // corrects the declared class of routes by measured time; only policy dandelionspoke uses it
	attemptsSinceProbe int               // since the last probe pass
	// Probe messages, replies included, in probeSecond, the current second of the run.
	probeSecond                       time.Duration
	probeCount, crossRegionProbeCount int
}

func newCallerNode(s *simulation, domain, index int) *callerNode {
	picker, err := balance.New(s.config.Policy)
	if err != nil {
		panic(err)
	}
	c := &callerNode{sim: s, id: fmt.Sprintf("caller-%d-%d", domain, index), domain: domain, rng: s.newRand(), picker: picker}
	if s.isDandelionspoke {
		p := s.bundle.Policy
		c.retries = retry.NewBudget(s.loop.time(), p.RetryShare, p.RetryMinPerSecond)
		c.probes = balance.NewProbePlanner(s.loop.now, p, probeBytes(c.domain)+probeReplyBytes(s))
		s.loop.every(probeInterval, c.sendProbes)
		s.loop.every(ejectInterval, c.eject)
	}
	s.loop.after(0, c.arrive)
	return c
}

// updateSnapshot rebuilds the snapshot from the members, as the engine does after a change.
func (c *callerNode) updateSnapshot(members []*wire.Member) {
	d := c.sim.workload.Domains[c.domain]
	self := system.Self{NodeID: c.id, FailureDomain: d.Name, Region: d.Region}
	var usable []*wire.Member
	for _, m := range members {
		if c.sim.isDandelionspoke || !c.sim.config.LocalRegionOnly || m.Region == d.Region {
			usable = append(usable, m)
		}
	}
	c.snapshot = system.BuildSnapshot(1, self, usable, c.sim.bundle, c.snapshot, c.sim.loop.time(), subset)
}

// subset selects the endpoints that a caller node uses, as the node program does.
func subset(self system.Self, _ string, candidates []*table.Endpoint, size int) []*table.Endpoint {
	return balance.Subset(self.NodeID, candidates, size)
}

func (c *callerNode) service() *table.Service { return c.snapshot.Service(serviceKey) }

// arrive schedules the next request of a Poisson process. When the sampled interval exceeds
// rateUpdateInterval, it samples again after rateUpdateInterval, since the rate may have changed by then.
// This is sound because the exponential distribution is memoryless.
func (c *callerNode) arrive() {
	s := c.sim
	if s.arrivalsEnded {
		return
	}
	rate := s.scenario.Load(s.config.Duration, s.loop.elapsed(), c.domain) * s.capacityPerCallerNode
	wait := time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
	if wait > rateUpdateInterval {
		s.loop.after(rateUpdateInterval, c.arrive)
		return
	}
	s.loop.after(wait, func() {
		c.startRequest()
		c.arrive()
	})
}

func (c *callerNode) startRequest() {
	s := c.sim
	route := s.sampleRoute(c.rng)
	timeout := s.workload.timeout(route)
	r := &request{callerNode: c, route: route, arrived: s.loop.now, deadline: s.loop.now + int64(timeout)}
	s.pending++
	s.sampleBound(r)
	if c.retries != nil {
		c.retries.RecordFirstAttempt()
	}
	s.loop.after(timeout, r.expire)
	c.sendAttempt(r)
}

// sendAttempt sends an attempt of r to the endpoint that the policy picks.
func (c *callerNode) sendAttempt(r *request) {
	if r.done {
		return
	}
	l := c.sim.loop
	r.attempts++
	svc := c.service()
	long := c.isLong(r.route)
	i := c.picker.Pick(l.now, c.rng, svc, r.excludedMask(svc), long)
	if i == balance.None {
		c.retryOrFail(r, nil, verdict.NotRun, verdict.NoEndpoint)
		return
	}
	e := svc.Endpoints[i]
	r.tried = append(r.tried, e)
	a := &attempt{request: r, endpoint: e, sentAt: l.now, long: long, remaining: time.Duration(r.deadline - l.now)}
	if c.sim.isDandelionspoke && !long && !r.refusedBusy {
		a.maxWait = retry.PolicyOf(c.sim.bundle.Policy).PlacementLimit(c.sim.workload.Objective)
	}
	r.current = a
	c.attemptsSinceProbe++
	balance.ObserveStart(e.Stats, l.now, long)
	target := c.sim.endpointIndex(e)
	c.sim.countBytes(c.domain, a.domain(), requestBytes)
	c.sim.send(c.domain, a.domain(), func() { c.sim.gates[target].offer(a) })
}

// isLong returns the class of the route, which policy dandelionspoke corrects by measured time.
func (c *callerNode) isLong(r *route) bool {
	if !c.sim.isDandelionspoke {
		return r.declaredLong
	}
	return c.classes.Long(serviceKey, r.name, r.declaredLong)
}

// handleResponse records a response that has reached the caller node, and completes or retries its request.
func (c *callerNode) handleResponse(a *attempt, resp response) {
	if a.finished {
		return
	}
	outcome := balance.Success
	switch {
	case resp.refused != "":
		outcome = balance.Refused
	case !resp.ok:
		outcome = balance.Failed
	}
	a.finish(outcome)
	balance.ObserveReport(a.endpoint.Stats, c.sim.loop.now, resp.load)
	switch outcome {
	case balance.Success:
		r := a.request
		c.classes.Record(serviceKey, r.route.name, r.route.declaredLong, time.Duration(c.sim.loop.now-a.sentAt))
		r.complete(true)
	case balance.Refused:
		if resp.refused == verdict.Busy {
			a.request.dropLastAttempt()
			c.sendAttempt(a.request)
			return
		}
		c.retryOrFail(a.request, a, verdict.NotRun, resp.refused)
	default:
		c.retryOrFail(a.request, a, verdict.Ran, "")
	}
}

// retryOrFail retries r if the retry policy permits it, and completes it as failed otherwise. a is the failed
// or refused attempt, or nil if there was no endpoint to choose.
func (c *callerNode) retryOrFail(r *request, a *attempt, v verdict.Verdict, reason verdict.Reason) {
	delay, permitted := c.nextRetry(r, a, v, reason)
	if !permitted {
		r.complete(false)
		return
	}
	c.sim.retryCount++
	c.sim.loop.after(delay, func() { c.sendAttempt(r) })
}

// nextRetry returns the delay before the next attempt of r, and false if r must not be retried. A baseline
// retries a refused request once, immediately.
func (c *callerNode) nextRetry(r *request, a *attempt, v verdict.Verdict, reason verdict.Reason) (time.Duration, bool) {
	if !c.sim.isDandelionspoke {
		return 0, a != nil && v == verdict.NotRun && r.attempts == 1
	}
	failed := retry.Attempt{
		Idempotent: r.route.idempotent, Number: r.attempts, Verdict: v, Reason: reason,
		Remaining: time.Duration(r.deadline - c.sim.loop.now),
	}
	if v == verdict.Ran {
		failed.Status = failureStatus
	}
	d := retry.PolicyOf(c.sim.bundle.Policy).Next(failed, c.retries, c.sim.loop.time(), c.rng.Float64())
	return d.Wait, d.Retry
}

// failureStatus is the HTTP status that a failing backend server returns.
const failureStatus = 500

func (c *callerNode) eject() {
	balance.Eject(c.sim.loop.now, c.service().Endpoints, c.sim.bundle.Policy)
}

// sendProbes sends the probes that the planner chooses, and counts each probe and its reply.
func (c *callerNode) sendProbes() {
	s := c.sim
	c.probes.ObserveRequests(c.attemptsSinceProbe)
	c.attemptsSinceProbe = 0
	for _, e := range c.probes.Plan(s.loop.now, c.rng, c.service(), nil) {
		gate := s.gates[s.endpointIndex(e)]
		target := s.endpointDomains[s.endpointIndex(e)]
		c.countProbeExchange(s.crossesRegions(c.domain, target))
		s.countProbe(c.domain, target, probeBytes(c.domain))
		s.send(c.domain, target, func() {
			load := gate.load()
			s.countProbe(target, c.domain, probeReplyBytes(s))
			s.send(target, c.domain, func() { balance.ObserveReport(e.Stats, s.loop.now, load) })
		})
	}
}

// countProbeExchange adds a probe and its reply to the counts of the current second.
func (c *callerNode) countProbeExchange(crossRegion bool) {
	if second := c.sim.loop.elapsed().Truncate(time.Second); second != c.probeSecond {
		c.probeSecond, c.probeCount, c.crossRegionProbeCount = second, 0, 0
	}
	c.probeCount += messagesPerExchange
	if crossRegion {
		c.crossRegionProbeCount += messagesPerExchange
	}
	r := &c.sim.result
	r.PeakNodeProbes = max(r.PeakNodeProbes, c.probeCount)
	r.PeakNodeCrossRegionProbes = max(r.PeakNodeCrossRegionProbes, c.crossRegionProbeCount)
}

// messagesPerExchange is the number of messages of one probe: the probe and its reply.
const messagesPerExchange = 2

// probeBytes returns the size of a probe datagram's payload.
func probeBytes(domain int) int {
	return proto.Size(&wire.Datagram{
		From: fmt.Sprint("caller-", domain), Incarnation: 1 << 56, BundleVersion: 1,
		Kind: &wire.Datagram_Probe{Probe: &wire.Probe{Seq: 1 << 30, Service: serviceKey}},
	})
}

// probeReplyBytes returns the largest size of a probe reply's payload.
func probeReplyBytes(s *simulation) int {
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
