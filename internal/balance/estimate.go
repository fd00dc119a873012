package balance

import (
	"time"

	"dandelionspoke/internal/table"
)

// Parameters of the estimates.
const (
	// reportHalfWeightAge is the age at which a report counts half.
	reportHalfWeightAge = 10 * time.Millisecond
	// reportFullWeightRequests is the number of requests from this node after which a report loses weight,
	// since the other nodes that hold the same report have sent about as many.
	reportFullWeightRequests = 8
	// latencyHalfWeightAge is the age at which a latency average counts half relative to the lowest
	// latency of the sample, so that an endpoint is tried again after it was slow.
	latencyHalfWeightAge = 250 * time.Millisecond
	// A mean age above maxMeanInFlightAge is discarded: its counters changed between two reads.
	maxMeanInFlightAge = time.Hour
	// The cost of an endpoint whose responses are all failures is multiplied by 1 + maxFailurePenalty.
	maxFailurePenalty = 12
	// failureHalfWeightAge is the age of the last failure at which the penalty is half.
	failureHalfWeightAge = 500 * time.Millisecond
	// An endpoint with at least failingMinFailures consecutive failures, the last within failingMaxAge,
	// counts as having no free capacity. This takes effect before the next ejection pass.
	failingMinFailures = 2
	failingMaxAge      = time.Second
	// refusingRateMilli is the refusal rate, in thousandths, at or above which an endpoint counts as refusing.
	refusingRateMilli = 100
	// refusalHalfWeightAge is the age of the last refusal at which the refusal rate counts half.
	refusalHalfWeightAge = 200 * time.Millisecond
)

// candidate is a sampled endpoint with the estimates for one selection.
type candidate struct {
	index          int
	slots          float64
	ownInFlight    float64 // requests from this node that compete for the slots
	othersInFlight float64 // requests from other nodes, according to the newest report
	reportWeight   float64 // weight of othersInFlight, 0 to 1
	load           float64 // estimated requests in flight or queued per slot, including the new one
	latency        float64 // nanoseconds; 0 when unknown
	uncertainty    float64 // share of the load that is estimated, 0 to 1
	cost           float64 // expected time of one more request, nanoseconds
	penalty        float64 // at least 1; grows with the failure rate
	failing        bool    // the last results were failures
	refusing       bool    // its gate refuses many requests
	trialDue       bool    // its ejection time has passed and no trial request is in flight
	cold           bool    // its backend server is cold
	coldCapacity   float64 // requests that a cold backend server can run at a time
	coldSkip       bool    // passed over in this draw because its backend server is cold
	slowStartSkip  bool    // in slow start and skipped in this draw
}

// decay returns the weight of a value of the given age: 1 at age 0 and one half at halfWeightAge.
func decay(age int64, halfWeightAge time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfWeightAge) / float64(int64(halfWeightAge)+age)
}

// reportWeight returns the weight of the newest report, from 0 to 1. It falls with the report's age and with
// the number of requests sent since.
func reportWeight(s *table.Stats, now int64) float64 {
	at := s.ReportedAt.Load()
	if at == 0 {
		return 0
	}
	w := decay(now-at, reportHalfWeightAge)
	if requests := s.RequestsSinceReport.Load(); requests > reportFullWeightRequests {
		w *= reportFullWeightRequests / float64(requests)
	}
	return w
}

// readStats sets the fields that depend on this endpoint alone.
func (c *candidate) readStats(now int64, e *table.Endpoint, defaultSlots int, long bool) {
	s := e.Stats
	c.slots = float64(defaultSlots)
	if !long && e.Slots > 0 {
		c.slots = float64(e.Slots)
	}
	if long && e.LongSlots > 0 {
		c.slots = float64(e.LongSlots)
	}
	reported, atReport := 0.0, 0.0
	if long {
		c.ownInFlight, atReport = float64(s.OwnLongInFlight.Load()), float64(s.OwnLongInFlightAtReport.Load())
		reported = float64(s.ReportedLongInFlight.Load() + s.ReportedLongQueue.Load())
	} else {
		c.ownInFlight, atReport = float64(s.OwnInFlight.Load()), float64(s.OwnInFlightAtReport.Load())
		reported = float64(s.ReportedInFlight.Load() + s.ReportedQueue.Load())
	}
	gateShare := c.shareAtGate(s)
	c.ownInFlight *= gateShare
	c.othersInFlight = max(reported-atReport*gateShare, 0)
	c.reportWeight = reportWeight(s, now)
	c.trialDue = trialDue(s, now)
	if rate := s.RefusalRateMilli.Load(); rate > 0 {
		c.refusing = float64(rate)*decay(now-s.RefusedAt.Load(), refusalHalfWeightAge) >= refusingRateMilli
	}
	c.penalty = 1
	if rate := s.FailureRateMilli.Load(); rate > 0 {
		since := now - s.FailedAt.Load()
		c.penalty += maxFailurePenalty * float64(rate) / fullRateMilli * decay(since, failureHalfWeightAge)
		c.failing = s.ConsecutiveFailures.Load() >= failingMinFailures && since < int64(failingMaxAge)
	}
}

// estimateOthersInFlight estimates the requests of other nodes and sets c.uncertainty. The less weight the report
// has, the closer the estimate is to prior, the mean of the sample.
func (c *candidate) estimateOthersInFlight(s *table.Stats, prior float64) float64 {
	others := prior + (c.othersInFlight-prior)*c.reportWeight
	if s.ReportedAt.Load() == 0 {
		others = min(prior, maxUnreportedLoad*c.slots)
	}
	c.uncertainty = (others + 1) / (c.ownInFlight + others + 1)
	return others
}

// shareAtGate estimates the share of a request's latency that it spends at the gate and not in transit.
// A request to another region is in transit most of the time and occupies no slot then.
func (c *candidate) shareAtGate(s *table.Stats) float64 {
	latency, service := float64(s.LatencyNanos.Load()), float64(s.ReportedServiceTimeNanos.Load())
	if latency == 0 || service == 0 {
		return 1
	}
	atGate := service * (1 + float64(s.ReportedQueue.Load())/c.slots)
	return min(atGate/latency, 1)
}

// meanInFlightAge returns the mean age, in nanoseconds, of this node's short requests in flight; 0 when there are none.
func meanInFlightAge(s *table.Stats, now int64) float64 {
	n := int64(s.OwnInFlight.Load() - s.OwnLongInFlight.Load())
	if n <= 0 {
		return 0
	}
	age := (n*now - s.StartTimeSum.Load()) / n
	if age <= 0 || age > int64(maxMeanInFlightAge) {
		return 0
	}
	return float64(age)
}

// estimateLatency estimates the current latency of a short request at the endpoint. As its measurements age,
// the estimate approaches reference.
func estimateLatency(s *table.Stats, now int64, reference float64) float64 {
	l := float64(s.LatencyNanos.Load())
	switch {
	case l == 0:
		l = reference
	case reference > 0:
		l = reference + (l-reference)*decay(now-s.LatencyUpdatedAt.Load(), latencyHalfWeightAge)
	}
	if service := float64(s.ReportedServiceTimeNanos.Load()); service > l {
		l += (service - l) * decay(now-s.ReportedAt.Load(), latencyHalfWeightAge)
	}
	return max(l, meanInFlightAge(s, now))
}
