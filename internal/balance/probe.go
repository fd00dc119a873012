package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
)

// Rules of probing.
const (
	// probeFreshFor is the age up to which a report makes a probe needless.
	probeFreshFor = 25 * time.Millisecond
	// probeRepeat is the least time between two probes of one endpoint.
	probeRepeat = 25 * time.Millisecond
	// probeBurst is the time over which unused budget may be saved up.
	probeBurst = 100 * time.Millisecond
	// probesPerRequest caps the exchanges at a share of the node's own requests. With two messages
	// each, they stay below 0.2 messages per request.
	probesPerRequest = 0.08
	// maxEarned bounds the exchanges saved up from requests.
	maxEarned = 16
	// messagesPerExchange counts a probe and its reply.
	messagesPerExchange = 2
)

// ProbeCounts are the totals since the start: probes and replies, and their payload bytes.
type ProbeCounts struct {
	Messages, Bytes         uint64
	LinkMessages, LinkBytes uint64 // part of the above that crossed to other regions
}

// bucket is a token bucket with a balance that never falls below zero. Burst and refill of a second
// together are at most the budget, so that no window of one second exceeds it.
type bucket struct {
	tokens, refillRate, burst float64 // units, units per second, units
	at                        int64
}

// newBucket returns a full bucket for a budget in units per second. It holds at least one item of the
// given size. A budget below one item per second permits one item each item/budget seconds; a budget
// of zero permits nothing.
func newBucket(budget, item float64, now int64) bucket {
	if budget <= 0 {
		return bucket{at: now}
	}
	burst := math.Max(budget*probeBurst.Seconds(), item)
	refill := budget - burst
	if budget < 2*item {
		refill = math.Min(budget, item)
	}
	return bucket{tokens: burst, refillRate: refill, burst: burst, at: now}
}

// refill adds the tokens earned since the last call. A clock that goes back earns nothing.
func (b *bucket) refill(now int64) {
	if now > b.at {
		b.tokens = math.Min(b.burst, b.tokens+b.refillRate*time.Duration(now-b.at).Seconds())
		b.at = now
	}
}

func (b *bucket) has(n float64) bool { return b.tokens >= n }

// take removes n tokens. It stops the program rather than exceed the budget.
func (b *bucket) take(n float64) {
	b.tokens -= n
	if b.tokens < 0 {
		panic(errors.AssertionFailedf("probe budget exceeded by %v", -b.tokens))
	}
}

// retune applies a new budget. Tokens saved up under the old one are kept up to the new burst.
func (b *bucket) retune(budget, item float64, now int64) {
	b.refill(now)
	next := newBucket(budget, item, now)
	next.tokens = math.Min(b.tokens, next.tokens)
	*b = next
}

// allowance is the budget of one kind of path.
type allowance struct{ messages, bytes bucket }

func (a *allowance) affords(now int64, size float64) bool {
	a.messages.refill(now)
	a.bytes.refill(now)
	return a.messages.has(messagesPerExchange) && a.bytes.has(size)
}

func (a *allowance) take(size float64) {
	a.messages.take(messagesPerExchange)
	a.bytes.take(size)
}

// ProbePlanner chooses the endpoints to probe within the bundle's budget. It belongs to the engine
// loop and is not safe for concurrent use. Both messages of a probe count: the probe and its reply.
type ProbePlanner struct {
	all, link     allowance
	exchangeBytes float64
	earned        float64 // exchanges that the node's own requests permit
	counts        ProbeCounts
}

// NewProbePlanner returns a planner with full buckets. exchangeBytes is the largest payload size of
// a probe and its reply together.
func NewProbePlanner(now int64, p bundle.Policy, exchangeBytes int) *ProbePlanner {
	size := float64(exchangeBytes)
	return &ProbePlanner{
		exchangeBytes: size,
		all: allowance{
			newBucket(p.ProbesPerSecond, messagesPerExchange, now),
			newBucket(p.ProbeBytesPerSecond, size, now),
		},
		link: allowance{
			newBucket(p.LinkProbesPerSecond, messagesPerExchange, now),
			newBucket(p.LinkProbeBytesPerSecond, size, now),
		},
	}
}

// SetPolicy applies the budgets of a new bundle.
func (pp *ProbePlanner) SetPolicy(now int64, p bundle.Policy) {
	pp.all.messages.retune(p.ProbesPerSecond, messagesPerExchange, now)
	pp.all.bytes.retune(p.ProbeBytesPerSecond, pp.exchangeBytes, now)
	pp.link.messages.retune(p.LinkProbesPerSecond, messagesPerExchange, now)
	pp.link.bytes.retune(p.LinkProbeBytesPerSecond, pp.exchangeBytes, now)
}

// Counts returns the messages and bytes planned so far.
func (pp *ProbePlanner) Counts() ProbeCounts { return pp.counts }

// ObserveRequests adds n requests that this node has sent since the last call. Probes are limited to
// a share of them, so that an idle node does not probe.
func (pp *ProbePlanner) ObserveRequests(n int) {
	pp.earned = math.Min(pp.earned+probesPerRequest*float64(n), maxEarned)
}

// Plan appends to out the endpoints of svc to probe at now, and charges them to the budget. The
// caller plans the services to which it sent requests in the last second, in random order, and sends
// one Probe to each endpoint returned. Endpoints are considered from a random position on, so that
// none is starved when the budget is short.
func (pp *ProbePlanner) Plan(now int64, rng *rand.Rand, svc *table.Service, out []*table.Endpoint) []*table.Endpoint {
	n := len(svc.Endpoints)
	if n == 0 {
		return out
	}
	offset := rng.IntN(n)
	for k := range n {
		if !pp.affords(now, false) {
			return out
		}
		e := svc.Endpoints[(offset+k)%n]
		far := e.Locality == table.OtherRegion
		if !wantsProbe(now, e.Stats) || !pp.affords(now, far) {
			continue
		}
		pp.charge(far)
		e.Stats.ProbedAt.Store(now)
		out = append(out, e)
	}
	return out
}

// wantsProbe reports whether a probe would tell something that traffic does not.
func wantsProbe(now int64, s *table.Stats) bool {
	if !isLive(s) || ejected(s) {
		return false
	}
	at := s.ReportedAt.Load()
	if at != 0 && now-at < int64(probeFreshFor) && s.RequestsSinceReport.Load() < reportReuse {
		return false
	}
	at = s.ProbedAt.Load()
	return at == 0 || now-at >= int64(probeRepeat)
}

func (pp *ProbePlanner) affords(now int64, far bool) bool {
	if pp.earned < 1 || !pp.all.affords(now, pp.exchangeBytes) {
		return false
	}
	return !far || pp.link.affords(now, pp.exchangeBytes)
}

func (pp *ProbePlanner) charge(far bool) {
	pp.earned--
	pp.all.take(pp.exchangeBytes)
	pp.counts.Messages += messagesPerExchange
	pp.counts.Bytes += uint64(pp.exchangeBytes)
	if far {
		pp.link.take(pp.exchangeBytes)
		pp.counts.LinkMessages += messagesPerExchange
		pp.counts.LinkBytes += uint64(pp.exchangeBytes)
	}
}
