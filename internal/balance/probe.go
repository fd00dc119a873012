package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
)

// Probing parameters.
const (
	// maxFreshReportAge is the age below which a report makes a probe unnecessary.
	maxFreshReportAge = 25 * time.Millisecond
	// minProbeInterval is the minimum time between two probes of one endpoint.
	minProbeInterval = 25 * time.Millisecond
	// drainingProbeInterval is the time between two probes of an endpoint whose last report states that it accepts no
	// requests. Without a probe no later report would arrive.
	drainingProbeInterval = 500 * time.Millisecond
	// drainingReportValid is the age up to which a report that an endpoint drains is taken for current if there is no other
	// endpoint.
	drainingReportValid = time.Second
	// probeBurstWindow is the time over which unused budget accumulates.
	probeBurstWindow = 100 * time.Millisecond
	// probesPerRequest limits the probes to a share of this node's requests. With two messages each,
	// they stay below 0.2 messages per request.
	probesPerRequest = 0.08
	// maxRequestCredit is the maximum number of probes that past requests permit at once.
	maxRequestCredit = 16
	// messagesPerExchange counts a probe and its reply.
	messagesPerExchange = 2
)

// ProbeCounts are the totals since the start: probes and replies, and their payload bytes.
type ProbeCounts struct {
	Messages, Bytes         uint64
	LinkMessages, LinkBytes uint64 // the part sent to and received from other regions
}

// bucket is a token bucket whose token count never falls below zero. No window of one second exceeds the budget,
// except that a single item larger than the budget is permitted.
type bucket struct {
	tokens, refillRate, burst float64 // units, units per second, units
	refilledAt                int64
}

// newBucket returns a full bucket for a budget in units per second. It holds at least one item of the
// given size. The burst and the refill of one second together are the budget if it is at least two items
// per second. A lower budget permits one item per second, or one item every item/budget seconds if it is
// below one item per second. A budget of zero permits nothing.
func newBucket(budget, item float64, now int64) bucket {
	if budget <= 0 {
		return bucket{refilledAt: now}
	}
	burst := math.Max(budget*probeBurstWindow.Seconds(), item)
	refill := budget - burst
	if budget < 2*item {
		refill = math.Min(budget, item)
	}
	return bucket{tokens: burst, refillRate: refill, burst: burst, refilledAt: now}
}

// refill adds the tokens for the time since the last call. A clock that goes backwards adds none.
func (b *bucket) refill(now int64) {
	if now > b.refilledAt {
		b.tokens = math.Min(b.burst, b.tokens+b.refillRate*time.Duration(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

func (b *bucket) has(n float64) bool { return b.tokens >= n }

// take removes n tokens. It panics if fewer are left: probes must not exceed the budget.
func (b *bucket) take(n float64) {
	b.tokens -= n
	if b.tokens < 0 {
		panic(errors.AssertionFailedf("probe budget exceeded by %v", -b.tokens))
	}
}

// setBudget applies a new budget. Unused tokens are kept, up to the new burst.
func (b *bucket) setBudget(budget, item float64, now int64) {
	b.refill(now)
	next := newBucket(budget, item, now)
	next.tokens = math.Min(b.tokens, next.tokens)
	*b = next
}

// probeBudget limits the messages and bytes of probes.
type probeBudget struct{ messages, bytes bucket }

func (b *probeBudget) allows(now int64, size float64) bool {
	b.messages.refill(now)
	b.bytes.refill(now)
	return b.messages.has(messagesPerExchange) && b.bytes.has(size)
}

func (b *probeBudget) take(size float64) {
	b.messages.take(messagesPerExchange)
	b.bytes.take(size)
}

// ProbePlanner selects the endpoints to probe within the bundle's budget. It is used by the engine
// loop only and is not safe for concurrent use. A probe and its reply both count towards the budget.
type ProbePlanner struct {
	all, link     probeBudget
	exchangeBytes float64
	requestCredit float64 // probes that past requests of this node still permit
	counts        ProbeCounts
}

// NewProbePlanner returns a planner with full buckets. exchangeBytes is the maximum payload size of
// a probe and its reply together.
func NewProbePlanner(now int64, p bundle.Policy, exchangeBytes int) *ProbePlanner {
	size := float64(exchangeBytes)
	return &ProbePlanner{
		exchangeBytes: size,
		all: probeBudget{
			newBucket(p.ProbesPerSecond, messagesPerExchange, now),
			newBucket(p.ProbeBytesPerSecond, size, now),
		},
		link: probeBudget{
			newBucket(p.LinkProbesPerSecond, messagesPerExchange, now),
			newBucket(p.LinkProbeBytesPerSecond, size, now),
		},
	}
}

// SetPolicy applies the budgets of a new bundle.
func (pp *ProbePlanner) SetPolicy(now int64, p bundle.Policy) {
	pp.all.messages.setBudget(p.ProbesPerSecond, messagesPerExchange, now)
	pp.all.bytes.setBudget(p.ProbeBytesPerSecond, pp.exchangeBytes, now)
	pp.link.messages.setBudget(p.LinkProbesPerSecond, messagesPerExchange, now)
	pp.link.bytes.setBudget(p.LinkProbeBytesPerSecond, pp.exchangeBytes, now)
}

// Counts returns the messages and bytes planned so far.
func (pp *ProbePlanner) Counts() ProbeCounts { return pp.counts }

// ExpireDraining makes the endpoints of svc whose report is older than drainingReportValid accept requests again, if it has no
// live endpoint. The next request to each shows whether it still drains. Probes alone could take long to show it, since they are
// limited to a share of the requests.
func ExpireDraining(now int64, svc *table.Service) {
	if slices.ContainsFunc(svc.Endpoints, func(e *table.Endpoint) bool { return isLive(e.Stats) }) {
		return
	}
	for _, e := range svc.Endpoints {
		if now-e.Stats.ReportedAt.Load() >= int64(drainingReportValid) {
			e.Stats.Draining.Store(false)
		}
	}
}

// ObserveRequests adds n requests that this node has sent since the last call. Probes are limited to
// a share of them, so that an idle node does not probe.
func (pp *ProbePlanner) ObserveRequests(n int) {
	pp.requestCredit = math.Min(pp.requestCredit+probesPerRequest*float64(n), maxRequestCredit)
}

// Plan appends to out the endpoints of svc to probe at now, and charges them to the budget. The
// caller plans the services to which it sent requests in the last second, in random order, and sends
// one Probe to each endpoint returned. Plan starts at a random position, so that no endpoint is starved
// when the budget is short; draining endpoints come first, since they are probed rarely.
func (pp *ProbePlanner) Plan(now int64, rng *rand.Rand, svc *table.Service, out []*table.Endpoint) []*table.Endpoint {
	out = pp.planWhere(needsDrainingProbe, now, rng, svc, out)
	return pp.planWhere(needsProbe, now, rng, svc, out)
}

func (pp *ProbePlanner) planWhere(needed func(int64, *table.Stats) bool, now int64, rng *rand.Rand, svc *table.Service, out []*table.Endpoint) []*table.Endpoint {
	n := len(svc.Endpoints)
	if n == 0 {
		return out
	}
	offset := rng.IntN(n)
	for k := range n {
		if !pp.allows(now, false) {
			return out
		}
		e := svc.Endpoints[(offset+k)%n]
		crossRegion := e.Locality == table.OtherRegion
		if !needed(now, e.Stats) || !pp.allows(now, crossRegion) {
			continue
		}
		pp.charge(crossRegion)
		e.Stats.ProbedAt.Store(now)
		out = append(out, e)
	}
	return out
}

// needsDrainingProbe reports whether the endpoint gets no requests because its last report states that it drains, and is due
// for a probe that shows whether it still does.
func needsDrainingProbe(now int64, s *table.Stats) bool {
	return s.Draining.Load() && !s.Suspect.Load() && now-s.ProbedAt.Load() >= int64(drainingProbeInterval)
}

// needsProbe reports whether the endpoint gets ordinary requests and has neither a fresh report nor a recent probe.
func needsProbe(now int64, s *table.Stats) bool {
	if !isLive(s) || isEjected(s) {
		return false
	}
	at := s.ReportedAt.Load()
	if at != 0 && now-at < int64(maxFreshReportAge) && s.RequestsSinceReport.Load() < reportFullWeightRequests {
		return false
	}
	at = s.ProbedAt.Load()
	return at == 0 || now-at >= int64(minProbeInterval)
}

func (pp *ProbePlanner) allows(now int64, crossRegion bool) bool {
	if pp.requestCredit < 1 || !pp.all.allows(now, pp.exchangeBytes) {
		return false
	}
	return !crossRegion || pp.link.allows(now, pp.exchangeBytes)
}

func (pp *ProbePlanner) charge(crossRegion bool) {
	pp.requestCredit--
	pp.all.take(pp.exchangeBytes)
	pp.counts.Messages += messagesPerExchange
	pp.counts.Bytes += uint64(pp.exchangeBytes)
	if crossRegion {
		pp.link.take(pp.exchangeBytes)
		pp.counts.LinkMessages += messagesPerExchange
		pp.counts.LinkBytes += uint64(pp.exchangeBytes)
	}
}
