package balance

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
)

// Limits of ejection that the bundle does not set.
const (
	// maxEjection bounds the doubling duration of repeated ejections.
	maxEjection = 60 * time.Second
	// maxDoublings keeps the shift of the duration in range.
	maxDoublings = 16
	// ejectRateMilli is the failure share that ejects, in thousandths.
	ejectRateMilli = 500
	// ejectLatencyRatio is the latency, in multiples of the peers' median, that ejects.
	ejectLatencyRatio = 8
	// minEjectLatency keeps differences of fast services from ejecting.
	minEjectLatency = 20 * time.Millisecond
	// ejectSlowFor is the time for which each pass must find an endpoint slow. Spells of a few
	// hundred milliseconds are left to the choice, which avoids the endpoint only while they last.
	ejectSlowFor = time.Second
	// latencyFresh is the age up to which a latency average is evidence.
	latencyFresh = time.Second
	// minLatencyPeers is the number of endpoints with a known latency that a median needs.
	minLatencyPeers = 3
	// forgiveAfter is the time without ejection after which the duration starts from the first.
	forgiveAfter = 2 * time.Minute
)

// EjectReason is the evidence that led to an ejection.
type EjectReason string

// Reasons of ejections and of their early end.
const (
	EjectFailures    EjectReason = "consecutive-failures"
	EjectFailureRate EjectReason = "failure-rate"
	EjectLatency     EjectReason = "latency"
	// ReadmitShare means that an ejection ended early to keep within the ejected share.
	ReadmitShare EjectReason = "ejected-share"
)

// EjectEvent is one change that Eject made.
type EjectEvent struct {
	Endpoint *table.Endpoint
	Reason   EjectReason
	Until    int64 // end of the ejection; 0 for a re-admission
}

// ejected reports whether the endpoint takes no ordinary work. It stays so until a trial succeeds.
func ejected(s *table.Stats) bool { return s.EjectedUntil.Load() != 0 }

// onTrial reports whether the next request to the endpoint decides on its re-admission.
func onTrial(s *table.Stats, now int64) bool {
	until := s.EjectedUntil.Load()
	return until != 0 && now >= until
}

// MaxEjected is the number of n endpoints that may be ejected at once.
func MaxEjected(n int, share float64) int {
	return min(max(int(share*float64(n)), 0), n)
}

// Eject ejects outliers of a service and returns the changes. It runs in the engine loop, over one
// service at a time; request goroutines only end ejections. The number of ejected endpoints never
// exceeds MaxEjected of the endpoints given: when the share or the list has shrunk, the ejections
// that end first end now. At least one endpoint that is neither draining nor suspect stays.
func Eject(now int64, endpoints []*table.Endpoint, p bundle.Policy) []EjectEvent {
	limit := MaxEjected(len(endpoints), p.EjectShare)
	out, live := countEjected(endpoints)
	var events []EjectEvent
	for len(out) > limit {
		events = append(events, readmitFirst(now, &out))
	}
	medians := medianLatencies(now, endpoints)
	for _, e := range endpoints {
		if ejected(e.Stats) || slices.Contains(out, e) {
			continue
		}
		forgive(e.Stats, now)
		reason, bad := outlier(now, e.Stats, medians[e.Locality], p)
		alive := isLive(e.Stats)
		if !bad || len(out) >= limit || (alive && live <= 1) {
			continue
		}
		out = append(out, e)
		if alive {
			live--
		}
		assertShare(len(out), limit)
		events = append(events, EjectEvent{e, reason, eject(now, e.Stats, p.EjectFor.D())})
	}
	return events
}

// assertShare stops the program rather than eject more endpoints than the bundle permits.
func assertShare(count, limit int) {
	if count > limit {
		panic(errors.AssertionFailedf("ejected %d endpoints, limit %d", count, limit))
	}
}

func isLive(s *table.Stats) bool { return !s.Draining.Load() && !s.Suspect.Load() }

// countEjected returns the ejected endpoints and the number of live ones that are not ejected.
func countEjected(endpoints []*table.Endpoint) (out []*table.Endpoint, live int) {
	for _, e := range endpoints {
		if ejected(e.Stats) {
			out = append(out, e)
		} else if isLive(e.Stats) {
			live++
		}
	}
	return out, live
}

// readmitFirst ends the ejection that would end first.
func readmitFirst(now int64, out *[]*table.Endpoint) EjectEvent {
	first := 0
	for i, e := range *out {
		if e.Stats.EjectedUntil.Load() < (*out)[first].Stats.EjectedUntil.Load() {
			first = i
		}
	}
	e := (*out)[first]
	*out = slices.Delete(*out, first, first+1)
	readmit(e.Stats, now)
	return EjectEvent{Endpoint: e, Reason: ReadmitShare}
}

// outlier reports whether the figures of an endpoint call for its ejection.
func outlier(now int64, s *table.Stats, median float64, p bundle.Policy) (EjectReason, bool) {
	failures := int(s.ConsecutiveFailures.Load())
	if p.EjectConsecutiveFailures > 0 && failures >= p.EjectConsecutiveFailures {
		return EjectFailures, true
	}
	if failures > 0 && s.FailureRateMilli.Load() >= ejectRateMilli {
		return EjectFailureRate, true
	}
	if persistentlySlow(now, s, median) {
		return EjectLatency, true
	}
	return "", false
}

// persistentlySlow reports whether each pass of the last ejectSlowFor found the endpoint far slower
// than the median of its peers.
func persistentlySlow(now int64, s *table.Stats, median float64) bool {
	latency := meanAge(s, now)
	if now-s.LatencyUpdatedAt.Load() <= int64(latencyFresh) {
		latency = max(latency, float64(s.LatencyNanos.Load()))
	}
	if median == 0 || latency <= ejectLatencyRatio*median || latency <= float64(minEjectLatency) {
		s.SlowSince.Store(0)
		return false
	}
	s.SlowSince.CompareAndSwap(0, now)
	return now-s.SlowSince.Load() >= int64(ejectSlowFor)
}

// medianLatencies is, for each locality, the lower median of the fresh latency averages, or 0 when
// too few are known. Endpoints of the own region are compared with one another, and those of other
// regions too, since the distance between regions may exceed any service time.
func medianLatencies(now int64, endpoints []*table.Endpoint) (medians [table.Localities]float64) {
	var near, far []int64
	for _, e := range endpoints {
		l := e.Stats.LatencyNanos.Load()
		switch {
		case l == 0 || now-e.Stats.LatencyUpdatedAt.Load() > int64(latencyFresh):
		case e.Locality == table.OtherRegion:
			far = append(far, l)
		default:
			near = append(near, l)
		}
	}
	medians[table.SameDomain] = lowerMedian(near)
	medians[table.SameRegion] = medians[table.SameDomain]
	medians[table.OtherRegion] = lowerMedian(far)
	return medians
}

func lowerMedian(values []int64) float64 {
	if len(values) < minLatencyPeers {
		return 0
	}
	slices.Sort(values)
	return float64(values[(len(values)-1)/2])
}

// eject starts an ejection whose duration doubles with each repeat, and returns its end.
func eject(now int64, s *table.Stats, first time.Duration) int64 {
	until := now + int64(ejectionTime(first, s.EjectionCount.Add(1)-1))
	s.TrialInFlight.Store(0)
	s.EjectedUntil.Store(until)
	return until
}

// ejectionTime is the duration of an ejection after repeats earlier ones.
func ejectionTime(first time.Duration, repeats int32) time.Duration {
	d := first << min(repeats, maxDoublings)
	if d <= 0 || d > maxEjection {
		return maxEjection
	}
	return d
}

// readmit ends an ejection and starts slow start. Old failures are forgotten: they would eject the
// endpoint again at once.
func readmit(s *table.Stats, now int64) {
	s.ConsecutiveFailures.Store(0)
	s.FailureRateMilli.Store(0)
	s.LatencyNanos.Store(0)
	s.SlowSince.Store(0)
	s.AdmittedAt.Store(now)
	s.TrialInFlight.Store(0)
	s.EjectedUntil.Store(0)
}

// endTrial re-admits the endpoint after a successful trial and ejects it again after a failed one.
// Only an endpoint that is still ejected is ejected again, so that the ejected share cannot grow here.
func endTrial(s *table.Stats, now int64, outcome Outcome) {
	until := s.EjectedUntil.Load()
	if until == 0 || now < until || s.TrialInFlight.Load() == 0 {
		return
	}
	switch outcome {
	case Success:
		readmit(s, now)
	case Failed:
		next := now + int64(ejectionTime(trialRetry, s.EjectionCount.Load()))
		if s.EjectedUntil.CompareAndSwap(until, next) {
			s.EjectionCount.Add(1)
		}
		s.TrialInFlight.Store(0)
	default:
		s.TrialInFlight.Store(0)
	}
}

// trialRetry is the first duration after a failed trial; it doubles with the count of ejections.
const trialRetry = time.Second

// forgive lets the next ejection start from the first duration after a long time without one.
func forgive(s *table.Stats, now int64) {
	if s.EjectionCount.Load() > 0 && now-s.AdmittedAt.Load() > int64(forgiveAfter) {
		s.EjectionCount.Store(0)
	}
}
