package balance

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
)

// Ejection parameters that the bundle does not set.
const (
	// maxEjectionTime caps the duration of an ejection, which doubles with each repeat.
	maxEjectionTime = 60 * time.Second
	// maxDoublings keeps the shift that computes the duration in range.
	maxDoublings = 16
	// ejectionFailureRateMilli is the failure rate, in thousandths, at which an endpoint is ejected.
	ejectionFailureRateMilli = 500
	// ejectionLatencyRatio is the latency, as a multiple of the median, above which an endpoint is ejected.
	ejectionLatencyRatio = 8
	// minEjectionLatency is the latency up to which an endpoint is never ejected as slow: in fast services,
	// small differences exceed the ratio.
	minEjectionLatency = 20 * time.Millisecond
	// minSlowDuration is the time for which every pass must find an endpoint slow before it is ejected.
	// Endpoint selection handles slowness of a few hundred milliseconds and avoids the endpoint only
	// while it lasts.
	minSlowDuration = time.Second
	// maxLatencyAge is the age up to which a latency average is taken into account.
	maxLatencyAge = time.Second
	// minLatencyEndpoints is the number of endpoints with a known latency that a median requires.
	minLatencyEndpoints = 3
	// ejectionCountResetAfter is the time without an ejection after which the next one has the initial duration.
	ejectionCountResetAfter = 2 * time.Minute
)

// EjectReason is the reason for an ejection or for its early end.
type EjectReason string

// Values of EjectReason.
const (
	EjectFailures    EjectReason = "consecutive-failures"
	EjectFailureRate EjectReason = "failure-rate"
	EjectLatency     EjectReason = "latency"
	// ReadmitEjectedShare means that an ejection ended early to keep within the ejected share.
	ReadmitEjectedShare EjectReason = "ejected-share"
)

// EjectEvent is an ejection or a re-admission by Eject.
type EjectEvent struct {
	Endpoint *table.Endpoint
	Reason   EjectReason
	Until    int64 // end of the ejection; 0 for a re-admission
}

// isEjected reports whether the endpoint gets no ordinary requests. It stays ejected until a trial request succeeds.
func isEjected(s *table.Stats) bool { return s.EjectedUntil.Load() != 0 }

// trialDue reports whether the ejection time has passed, so that the next request to the endpoint is a
// trial request that decides on its re-admission.
func trialDue(s *table.Stats, now int64) bool {
	until := s.EjectedUntil.Load()
	return until != 0 && now >= until
}

// MaxEjected returns how many of n endpoints may be ejected at once.
func MaxEjected(n int, share float64) int {
	return min(max(int(share*float64(n)), 0), n)
}

// Eject ejects the outliers of a service and returns the changes. The engine loop calls it for one
// service at a time; request goroutines only end or extend ejections. The number of ejected endpoints never
// exceeds MaxEjected of the endpoints given: when the share or the list has shrunk, the ejections
// with the earliest end are ended at once. Eject never ejects the last remaining endpoint that is neither
// draining nor suspect.
func Eject(now int64, endpoints []*table.Endpoint, p bundle.Policy) []EjectEvent {
	limit := MaxEjected(len(endpoints), p.EjectShare)
	ejected, liveCount := ejectedAndLive(endpoints)
	var events []EjectEvent
	for len(ejected) > limit {
		events = append(events, readmitEarliest(now, &ejected))
	}
	medians := medianLatencies(now, endpoints)
	for _, e := range endpoints {
		if isEjected(e.Stats) || slices.Contains(ejected, e) {
			continue
		}
		resetEjectionCount(e.Stats, now)
		reason, isOutlier := outlier(now, e.Stats, medians[e.Locality], p)
		live := isLive(e.Stats)
		if !isOutlier || len(ejected) >= limit || (live && liveCount <= 1) {
			continue
		}
		ejected = append(ejected, e)
		if live {
			liveCount--
		}
		assertEjectionLimit(len(ejected), limit)
		events = append(events, EjectEvent{e, reason, eject(now, e.Stats, p.EjectFor.D())})
	}
	return events
}

// assertEjectionLimit panics if more endpoints are ejected than the bundle permits.
func assertEjectionLimit(count, limit int) {
	if count > limit {
		panic(errors.AssertionFailedf("ejected %d endpoints, limit %d", count, limit))
	}
}

func isLive(s *table.Stats) bool { return !s.Draining.Load() && !s.Suspect.Load() }

// ejectedAndLive returns the ejected endpoints and the number of live endpoints that are not ejected.
func ejectedAndLive(endpoints []*table.Endpoint) (ejected []*table.Endpoint, liveCount int) {
	for _, e := range endpoints {
		if isEjected(e.Stats) {
			ejected = append(ejected, e)
		} else if isLive(e.Stats) {
			liveCount++
		}
	}
	return ejected, liveCount
}

// readmitEarliest ends the ejection with the earliest end.
func readmitEarliest(now int64, ejected *[]*table.Endpoint) EjectEvent {
	earliest := 0
	for i, e := range *ejected {
		if e.Stats.EjectedUntil.Load() < (*ejected)[earliest].Stats.EjectedUntil.Load() {
			earliest = i
		}
	}
	e := (*ejected)[earliest]
	*ejected = slices.Delete(*ejected, earliest, earliest+1)
	readmit(e.Stats, now)
	return EjectEvent{Endpoint: e, Reason: ReadmitEjectedShare}
}

// outlier reports whether the statistics of an endpoint call for its ejection, and the reason.
func outlier(now int64, s *table.Stats, median float64, p bundle.Policy) (EjectReason, bool) {
	failures := int(s.ConsecutiveFailures.Load())
	if p.EjectConsecutiveFailures > 0 && failures >= p.EjectConsecutiveFailures {
		return EjectFailures, true
	}
	if failures > 0 && s.FailureRateMilli.Load() >= ejectionFailureRateMilli {
		return EjectFailureRate, true
	}
	if isPersistentlySlow(now, s, median) {
		return EjectLatency, true
	}
	return "", false
}

// isPersistentlySlow reports whether every pass of the last minSlowDuration found the endpoint slow compared
// with the given median latency.
func isPersistentlySlow(now int64, s *table.Stats, median float64) bool {
	if !isSlow(now, s, median) {
		s.SlowSince.Store(0)
		return false
	}
	s.SlowSince.CompareAndSwap(0, now)
	return now-s.SlowSince.Load() >= int64(minSlowDuration)
}

// isSlow reports whether the endpoint is slow compared with the given median latency; 0 means that none is known.
func isSlow(now int64, s *table.Stats, median float64) bool {
	latency := meanInFlightAge(s, now)
	if now-s.LatencyUpdatedAt.Load() <= int64(maxLatencyAge) {
		latency = max(latency, float64(s.LatencyNanos.Load()))
	}
	return median > 0 && latency > ejectionLatencyRatio*median && latency > float64(minEjectionLatency)
}

// medianLatencies returns, for each locality, the lower median of the recent latency averages, or 0 when
// too few are known. Endpoints of the local region are compared only with one another, and likewise
// endpoints of other regions, since the latency between regions may exceed any service time.
func medianLatencies(now int64, endpoints []*table.Endpoint) (medians [table.Localities]float64) {
	var local, remote []int64
	for _, e := range endpoints {
		latency := e.Stats.LatencyNanos.Load()
		switch {
		case latency == 0 || now-e.Stats.LatencyUpdatedAt.Load() > int64(maxLatencyAge):
		case e.Locality == table.OtherRegion:
			remote = append(remote, latency)
		default:
			local = append(local, latency)
		}
	}
	medians[table.SameDomain] = lowerMedian(local)
	medians[table.SameRegion] = medians[table.SameDomain]
	medians[table.OtherRegion] = lowerMedian(remote)
	return medians
}

func lowerMedian(values []int64) float64 {
	if len(values) < minLatencyEndpoints {
		return 0
	}
	slices.Sort(values)
	return float64(values[(len(values)-1)/2])
}

// eject starts an ejection, whose duration doubles with each repeat, and returns its end.
func eject(now int64, s *table.Stats, initial time.Duration) int64 {
	until := now + int64(ejectionTime(initial, s.EjectionCount.Add(1)-1))
	s.TrialInFlight.Store(0)
	s.EjectedUntil.Store(until)
	return until
}

// ejectionTime returns the duration of an ejection that follows the given number of earlier ones.
func ejectionTime(initial time.Duration, repeats int32) time.Duration {
	d := initial << min(repeats, maxDoublings)
	if d <= 0 || d > maxEjectionTime {
		return maxEjectionTime
	}
	return d
}

// readmit ends an ejection and begins slow start. It clears the failure and latency statistics, which
// would eject the endpoint again at once.
func readmit(s *table.Stats, now int64) {
	s.ConsecutiveFailures.Store(0)
	s.FailureRateMilli.Store(0)
	s.LatencyNanos.Store(0)
	s.SlowSince.Store(0)
	s.AdmittedAt.Store(now)
	s.TrialInFlight.Store(0)
	s.EjectedUntil.Store(0)
}

// endTrial re-admits the endpoint after a successful trial request and extends the ejection after a failed one.
// It extends only an ejection that has not been ended meanwhile, so that it cannot raise the number of
// ejected endpoints.
func endTrial(s *table.Stats, now int64, outcome Outcome) {
	until := s.EjectedUntil.Load()
	if until == 0 || now < until || s.TrialInFlight.Load() == 0 {
		return
	}
	switch outcome {
	case Success:
		readmit(s, now)
	case Failed:
		next := now + int64(ejectionTime(trialRetryDelay, s.EjectionCount.Load()))
		if s.EjectedUntil.CompareAndSwap(until, next) {
			s.EjectionCount.Add(1)
		}
		s.TrialInFlight.Store(0)
	default:
		s.TrialInFlight.Store(0)
	}
}

// trialRetryDelay is the shortest extension of an ejection after a failed trial request. The extension doubles
// with each ejection and failed trial.
const trialRetryDelay = time.Second

// resetEjectionCount resets the ejection count ejectionCountResetAfter after the last re-admission, so that
// the next ejection has the initial duration.
func resetEjectionCount(s *table.Stats, now int64) {
	if s.EjectionCount.Load() > 0 && now-s.AdmittedAt.Load() > int64(ejectionCountResetAfter) {
		s.EjectionCount.Store(0)
	}
}
