package balance

import (
	"sync/atomic"
	"time"

	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// Outcome is how an attempt at an endpoint ended.
type Outcome uint8

const (
	// Success is a complete answer that is not a server error.
	Success Outcome = iota
	// Failed is a server error, a broken connection or an exceeded deadline at the endpoint.
	Failed
	// Refused is a gate's refusal before the request ran. It says that the endpoint is busy or
	// leaving, which its report states, and not that the endpoint fails.
	Refused
	// Canceled means that the caller gave up or a hedge won. It says nothing about the endpoint.
	Canceled
)

// Weights of a new observation in the moving averages, as 1/weight.
const (
	latencyWeight = 8
	failureWeight = 8
	refusalWeight = 32
)

// fullRateMilli is a failure share of 1.
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
	if onTrial(s, now) {
		s.TrialInFlight.Store(1)
	}
}

// ObserveReport records a gate's load report that arrived at now. Call it after ObserveResult when
// both come with the same answer, since the report no longer counts the finished request.
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
	s.ReportedAt.Store(now)
}

// ObserveResult records the end, at now, of an attempt that ObserveStart recorded at now - latency.
// Exactly one call follows each ObserveStart, with the same value of long.
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
		average(&s.FailureRateMilli, 0, failureWeight)
		average(&s.RefusalRateMilli, 0, refusalWeight)
		if !long {
			observeLatency(s, now, latency)
		}
	case Failed:
		s.ConsecutiveFailures.Add(1)
		s.FailedAt.Store(now)
		average(&s.FailureRateMilli, fullRateMilli, failureWeight)
	case Refused:
		average(&s.RefusalRateMilli, fullRateMilli, refusalWeight)
		s.RefusedAt.Store(now)
	}
	endTrial(s, now, outcome)
}

// observeLatency moves the average of short latency. A lost race drops one sample of the average.
func observeLatency(s *table.Stats, now int64, latency time.Duration) {
	old := s.LatencyNanos.Load()
	next := int64(latency)
	if old > 0 {
		next = old + (next-old)/latencyWeight
	}
	s.LatencyNanos.CompareAndSwap(old, max(next, 1))
	s.LatencyUpdatedAt.Store(now)
}

// average moves a share by 1/weight. It rounds towards the observation, so that it reaches 0 and 1000.
func average(rate *atomic.Int32, observed, weight int32) {
	for {
		old := rate.Load()
		next := old
		if observed > old {
			next += (observed - old + weight - 1) / weight
		} else {
			next -= (old - observed + weight - 1) / weight
		}
		if rate.CompareAndSwap(old, next) {
			return
		}
	}
}
