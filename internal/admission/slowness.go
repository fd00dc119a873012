package admission

import "time"

// Scheduling during slow periods, in which other processes on the endpoint's machine compete for its CPU for a few
// hundred milliseconds. A request that starts in a slow period occupies its slot several times as long, even after
// the period has ended, so requests with a long run time complete earlier if their start is deferred to the end of
// it.

const (
	// slowPeriodRatio marks a slow period: the reported slowness is at least this multiple of its recent minimum.
	slowPeriodRatio = 1.25
	// maxSlownessAge is the age after which a reported slowness is ignored, since slow periods end within a few
	// hundred milliseconds.
	maxSlownessAge = 100 * time.Millisecond
	// expectedSlowPeriod is the expected remaining time of a slow period. A request that would be delayed less by
	// starting at once is not deferred.
	expectedSlowPeriod = 300 * time.Millisecond
	// slownessWindow is the length of the windows over which the minimum slowness is taken. The minimum covers the
	// current and the previous window, and so between one and two lengths. An endpoint that is slow for longer, as in
	// the seconds after its start, is not in a slow period, since waiting for the end would take too long.
	slownessWindow = 700 * time.Millisecond
)

// slownessTracker keeps the slowness that an endpoint reports: the ratio of its current service time to the normal one.
// A slowness of 0 means unknown.
type slownessTracker struct {
	latest     float64 // most recent report
	reportedAt time.Time
	// currentMin is the minimum of the window that began at windowStart, previousMin that of the window before.
	currentMin, previousMin float64
	windowStart             time.Time
}

func (s *slownessTracker) report(now time.Time, slowness float64) {
	switch age := now.Sub(s.windowStart); {
	case age >= 2*slownessWindow:
		s.windowStart, s.previousMin, s.currentMin = now, slowness, slowness
	case age >= slownessWindow:
		s.windowStart, s.previousMin, s.currentMin = now, s.currentMin, slowness
	}
	s.currentMin = min(s.currentMin, slowness)
	s.latest, s.reportedAt = slowness, now
}

// runTimeIncrease returns the relative increase of the run time of a request that starts now rather than after the slow
// period: 0.5 means 50 % longer. It is 0 outside of slow periods and without a recent report.
func (s *slownessTracker) runTimeIncrease(now time.Time) float64 {
	minimum := min(s.currentMin, s.previousMin)
	if minimum <= 0 || now.Sub(s.reportedAt) > maxSlownessAge || s.latest < slowPeriodRatio*minimum {
		return 0
	}
	return s.latest/minimum - 1
}

// SetSlowness records the ratio of the endpoint's current service time to the normal one. When a slow period has ended,
// it starts the requests that were deferred.
func (q *Queue) SetSlowness(now time.Time, slowness float64) []Decision {
	q.slowness.report(now, slowness)
	return q.dispatch(now)
}

// HasDeferred reports whether a slot is free and a waiting request is deferred to the end of a slow period. The caller
// should then update the slowness within maxSlownessAge.
func (q *Queue) HasDeferred(now time.Time) bool {
	if q.freeSlots() <= 0 {
		return false
	}
	for _, l := range []*waitList{&q.short, &q.long} {
		for _, e := range l.entries {
			if q.defersStart(now, e) {
				return true
			}
		}
	}
	return false
}

// defersStart reports whether e should not start now because it would complete earlier after the current slow period.
func (q *Queue) defersStart(now time.Time, e *entry) bool {
	increase := q.slowness.runTimeIncrease(now)
	if increase == 0 {
		return false
	}
	run := q.expectedRunTime(e)
	delay := time.Duration(increase * float64(run))
	return delay > expectedSlowPeriod && now.Add(expectedSlowPeriod+run).Before(e.request.Deadline)
}

// deferralEnd returns the time from which the most recent report is too old to defer a request.
func (q *Queue) deferralEnd() time.Time { return q.slowness.reportedAt.Add(maxSlownessAge + 1) }
