package balance

import (
	"sync/atomic"
	"time"

	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// Outcome is the result of an attempt at an endpoint.
type Outcome uint8

const (
	// Success is a complete response that is not a server error.
	Success Outcome = iota
	// Failed is a server error, a broken connection or an exceeded deadline at the endpoint.
	Failed
	// Refused is a gate's refusal before the request ran. It means that the endpoint is busy or
	// draining, which its report states, and not that the endpoint fails.
	Refused
	// Canceled means that the caller canceled the request or that another attempt won. It says nothing
	// about the endpoint.
	Canceled
)

// Divisors of the moving averages: a new observation has the weight 1/divisor.
const (
	latencyAveragingDivisor = 8
	failureAveragingDivisor = 8
	refusalAveragingDivisor = 32
)

// fullRateMilli is a rate of 1, in thousandths.
const fullRateMilli = 1000

// ObserveStart records that this node sends a request to the endpoint at now.
func ObserveStart(s *table.Stats, now int64, long bool) {
	s.OwnInFlight.Add(1)
	if long {
		s.OwnLongInFlight.Add(1)
	} else {
		s.StartTimeSum.Add(now)
	}
	s.RequestsSinceReport.Add(1)
	if trialDue(s, now) {
		s.TrialInFlight.Store(1)
	}
}

// ObserveReport records a gate's load report that arrived at now. Call it after ObserveResult when
// both come with the same response, since the report no longer counts the finished request.
func ObserveReport(s *table.Stats, now int64, load *wire.Load) {
	if load == nil {
		return
	}
	s.OwnInFlightAtReport.Store(s.OwnInFlight.Load())
	s.OwnLongInFlightAtReport.Store(s.OwnLongInFlight.Load())
	s.ReportedInFlight.Store(int32(load.InFlight))
	s.ReportedQueue.Store(int32(load.QueuedShort + load.QueuedLong))
	s.ReportedLongInFlight.Store(int32(load.InFlightLong))
	s.ReportedLongQueue.Store(int32(load.QueuedLong))
	s.ReportedServiceTimeNanos.Store(int64(load.ServiceTimeUs) * int64(time.Microsecond))
	s.RequestsSinceReport.Store(0)
	s.Draining.Store(load.Draining)
	s.RampMilli.Store(int64(load.RampMilli))
	s.ColdUntil.Store(now + int64(load.SlowStartMs)*int64(time.Millisecond))
	s.ReportedAt.Store(now)
}

// ObserveResult records the end, at now, of an attempt that ObserveStart recorded at now - latency.
// Every ObserveStart must be followed by exactly one ObserveResult with the same value of long.
func ObserveResult(s *table.Stats, now int64, latency time.Duration, outcome Outcome, long bool) {
	s.OwnInFlight.Add(-1)
	if long {
		s.OwnLongInFlight.Add(-1)
	} else {
		s.StartTimeSum.Add(-(now - int64(latency)))
	}
	switch outcome {
	case Success:
		s.ConsecutiveFailures.Store(0)
		updateRate(&s.FailureRateMilli, 0, failureAveragingDivisor)
		updateRate(&s.RefusalRateMilli, 0, refusalAveragingDivisor)
		if !long {
			updateLatency(s, now, latency)
		}
	case Failed:
		s.ConsecutiveFailures.Add(1)
		s.FailedAt.Store(now)
		updateRate(&s.FailureRateMilli, fullRateMilli, failureAveragingDivisor)
	case Refused:
		updateRate(&s.RefusalRateMilli, fullRateMilli, refusalAveragingDivisor)
		s.RefusedAt.Store(now)
	}
	endTrial(s, now, outcome)
}

// updateLatency adds a latency to the moving average. An update that loses a race with another is dropped.
func updateLatency(s *table.Stats, now int64, latency time.Duration) {
	old := s.LatencyNanos.Load()
	next := int64(latency)
	if old > 0 {
		next = old + (next-old)/latencyAveragingDivisor
	}
	s.LatencyNanos.CompareAndSwap(old, max(next, 1))
	s.LatencyUpdatedAt.Store(now)
}

// updateRate adds an observation to a moving average with the weight 1/divisor. It rounds towards the
// observation, so that the rate reaches 0 and 1000.
func updateRate(rate *atomic.Int32, observed, divisor int32) {
	for {
		old := rate.Load()
		next := old
		if observed > old {
			next += (observed - old + divisor - 1) / divisor
		} else {
			next -= (old - observed + divisor - 1) / divisor
		}
		if rate.CompareAndSwap(old, next) {
			return
		}
	}
}
