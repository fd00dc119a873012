package balance

import (
	"time"

	"dandelionspoke/internal/table"
)

// Tuning of the estimates.
const (
	// reportHalfWeight is the age at which a report counts half.
	reportHalfWeight = 10 * time.Millisecond
	// reportReuse is the number of own requests after which a report loses weight, since the
	// other nodes that hold the same report have sent about as many.
	reportReuse = 8
	// latencyHalfWeight is the age at which a latency average counts half against that of the
	// endpoint's peers, so that an endpoint is tried again after a spell of slowness.
	latencyHalfWeight = 250 * time.Millisecond
	// maxMeanAge discards a mean age computed from counters that changed between two reads.
	maxMeanAge = time.Hour
	// failurePenalty multiplies the cost of an endpoint whose every answer is a failure.
	failurePenalty = 12
	// failureHalfWeight is the age of the last failure at which the penalty is half.
	failureHalfWeight = 500 * time.Millisecond
	// failingStreak is the number of failures in a row, and failingHold the time since the last,
	// for which an endpoint counts as having no free capacity before the next ejection pass.
	failingStreak = 2
	failingHold   = time.Second
	// closedRateMilli is the share of refusals from which the queue of a loaded endpoint counts as closed.
	closedRateMilli = 100
	// refusalHalfWeight is the age of the last refusal at which the share counts half.
	refusalHalfWeight = 200 * time.Millisecond
)

// candidate is a sampled endpoint with what is known about it.
type candidate struct {
	index   int
	slots   float64
	own     float64 // own requests in flight that compete with the request
	others  float64 // requests of other nodes by the newest report
	weight  float64 // trust in others, 0 to 1
	load    float64 // estimated requests in flight or queued per slot, counting the new one
	latency float64 // nanoseconds; 0 when unknown
	unsure  float64 // part of the load that is estimated, 0 to 1
	cost    float64 // expected time of one more request, nanoseconds
	penalty float64 // at least 1; grows with the failure share
	failing bool    // the last results were failures
	closed  bool    // its gate refuses many requests
	trial   bool    // its ejection has ended and no trial runs
	late    bool    // in slow start and passed over in this draw
}

// decay is 1 at age 0 and one half at half.
func decay(age int64, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(half) / float64(int64(half)+age)
}

// reportWeight is the trust in the newest report: it falls with age and with reuse.
func reportWeight(s *table.Stats, now int64) float64 {
	at := s.ReportedAt.Load()
	if at == 0 {
		return 0
	}
	w := decay(now-at, reportHalfWeight)
	if uses := s.RequestsSinceReport.Load(); uses > reportReuse {
		w *= reportReuse / float64(uses)
	}
	return w
}

// observe fills the figures of one candidate that need no knowledge of its peers.
func (c *candidate) observe(now int64, e *table.Endpoint, cfgSlots int, long bool) {
	s := e.Stats
	c.slots = float64(cfgSlots)
	if !long && e.Slots > 0 {
		c.slots = float64(e.Slots)
	}
	if long && e.LongSlots > 0 {
		c.slots = float64(e.LongSlots)
	}
	reported, atReport := 0.0, 0.0
	if long {
		c.own, atReport = float64(s.OwnLongInFlight.Load()), float64(s.OwnLongInFlightAtReport.Load())
		reported = float64(s.ReportedLongInFlight.Load() + s.ReportedLongQueue.Load())
	} else {
		c.own, atReport = float64(s.OwnInFlight.Load()), float64(s.OwnInFlightAtReport.Load())
		reported = float64(s.ReportedInFlight.Load() + s.ReportedQueue.Load())
	}
	present := c.presence(s)
	c.own *= present
	c.others = max(reported-atReport*present, 0)
	c.weight = reportWeight(s, now)
	c.trial = onTrial(s, now)
	if rate := s.RefusalRateMilli.Load(); rate > 0 {
		c.closed = float64(rate)*decay(now-s.RefusedAt.Load(), refusalHalfWeight) >= closedRateMilli
	}
	c.penalty = 1
	if rate := s.FailureRateMilli.Load(); rate > 0 {
		since := now - s.FailedAt.Load()
		c.penalty += failurePenalty * float64(rate) / fullRateMilli * decay(since, failureHalfWeight)
		c.failing = s.ConsecutiveFailures.Load() >= failingStreak && since < int64(failingHold)
	}
}

// estimateOthers is the load by other nodes. Its trust in the report falls towards the prior, which
// is the mean of the peers.
func (c *candidate) estimateOthers(s *table.Stats, prior float64) float64 {
	others := prior + (c.others-prior)*c.weight
	if s.ReportedAt.Load() == 0 {
		others = min(prior, unknownLoad*c.slots)
	}
	c.unsure = (others + 1) / (c.own + others + 1)
	return others
}

// presence is the share of the time of a request that it spends at the gate and not on the way.
// Requests on the way to another region take most of the time and hold no slot.
func (c *candidate) presence(s *table.Stats) float64 {
	latency, service := float64(s.LatencyNanos.Load()), float64(s.ReportedServiceTimeNanos.Load())
	if latency == 0 || service == 0 {
		return 1
	}
	atGate := service * (1 + float64(s.ReportedQueue.Load())/c.slots)
	return min(atGate/latency, 1)
}

// meanAge is the mean age of this node's short requests in flight, in nanoseconds; 0 when there are none.
func meanAge(s *table.Stats, now int64) float64 {
	n := int64(s.OwnInFlight.Load() - s.OwnLongInFlight.Load())
	if n <= 0 {
		return 0
	}
	age := (n*now - s.StartTimeSum.Load()) / n
	if age <= 0 || age > int64(maxMeanAge) {
		return 0
	}
	return float64(age)
}

// latencyOf estimates the time that a short request takes at the endpoint now. peer is the latency
// towards which old figures move.
func latencyOf(s *table.Stats, now int64, peer float64) float64 {
	l := float64(s.LatencyNanos.Load())
	switch {
	case l == 0:
		l = peer
	case peer > 0:
		l = peer + (l-peer)*decay(now-s.LatencyUpdatedAt.Load(), latencyHalfWeight)
	}
	if service := float64(s.ReportedServiceTimeNanos.Load()); service > l {
		l += (service - l) * decay(now-s.ReportedAt.Load(), latencyHalfWeight)
	}
	return max(l, meanAge(s, now))
}
