package admission

import (
	"time"

	"dandelionspoke/internal/verdict"
)

// Scheduling under overload, when an endpoint receives more requests than it can complete within their objectives.
// First-in, first-out order would make all of them late. The queue first serves the requests that can still meet
// their objective, and keeps only as many late ones as will soon get a slot.

const (
	// runTimeMargin is the multiple of the expected run time that must remain before the objective when a request
	// starts. Run times vary: without a margin, a request started at the last possible moment would be late half of
	// the time.
	runTimeMargin = 1.25
	// maxLatenessRatio bounds how long a request waits beyond its objective, as a ratio of the time from its offer to
	// the objective. After an early refusal, the caller may get a slot at another endpoint or on a later retry.
	maxLatenessRatio = 0.5
	// latenessDeadlineDivisor sets the lower limit of that bound, as a fraction of the time from offer to deadline.
	latenessDeadlineDivisor = 8
	// assumedRunsPerObjective estimates the run time of a route that has not been measured: the time from offer to
	// objective is taken as this many run times.
	assumedRunsPerObjective = 3
	// maxRouteServiceTimes bounds the number of routes whose service times are kept.
	maxRouteServiceTimes = 256
)

// routeServiceTimes maps the name of a route to its service time.
type routeServiceTimes map[string]*serviceTime

func (r routeServiceTimes) record(route string, runTime time.Duration) {
	s := r[route]
	if s == nil {
		if len(r) >= maxRouteServiceTimes {
			clear(r) // mostly routes of earlier bundles; current routes are measured again within seconds
		}
		s = new(serviceTime)
		r[route] = s
	}
	s.record(runTime)
}

// objectiveRefusal returns why a request with an objective is refused, or "" if it may wait. It refuses a request
// whose expected wait exceeds MaxWait, one that can't complete before its deadline, and one that would be late when
// at least as many late requests as slots are waiting already, since it would not start soon.
func (q *Queue) objectiveRefusal(now time.Time, e *entry, l *waitList, average serviceTime, slots int) verdict.Reason {
	wait := average.wait(q.countInTimeAhead(l, e, now), slots)
	remaining := e.request.Deadline.Sub(now)
	switch run := q.expectedRunTime(e); {
	case run > remaining:
		return verdict.DeadlineTooShort
	case e.request.MaxWait > 0 && wait > e.request.MaxWait:
		return verdict.Busy
	case wait+run > remaining:
		return verdict.Overloaded
	case q.missesObjective(e, now.Add(wait)) && q.countLateBefore(l, e, now) >= slots:
		return verdict.Overloaded
	}
	return ""
}

// expectedRunTime returns the service time of the request's route. For a route without measurements, as after a
// restart, it returns a fraction of the time from offer to objective, or without an objective the service time of the
// request's class, which is 0 when unknown.
func (q *Queue) expectedRunTime(e *entry) time.Duration {
	if s := q.routeTimes[e.request.Route]; s != nil {
		return s.duration()
	}
	if !e.request.Objective.IsZero() {
		return max(e.request.Objective.Sub(e.offered), 0) / assumedRunsPerObjective
	}
	return q.classServiceTime(e).duration()
}

func (q *Queue) classServiceTime(e *entry) serviceTime {
	if e.long {
		return q.longServiceTime
	}
	return q.shortServiceTime
}

// missesObjective reports whether e is late, that is, whether it would miss its objective if it started at the given
// time and ran for runTimeMargin times its expected run time. Requests without an objective are never late.
func (q *Queue) missesObjective(e *entry, start time.Time) bool {
	if e.request.Objective.IsZero() {
		return false
	}
	needed := time.Duration(runTimeMargin * float64(q.expectedRunTime(e)))
	return start.Add(needed).After(e.request.Objective)
}

// latenessLimit returns the time at which e is refused if it is still waiting: some time after its objective, or earlier if
// it could then no longer complete before its deadline. It returns false if there is no such time.
func (e *entry) latenessLimit() (time.Time, bool) {
	if e.request.Objective.IsZero() {
		return e.latestStart, !e.latestStart.IsZero()
	}
	lateness := time.Duration(maxLatenessRatio * float64(e.request.Objective.Sub(e.offered)))
	minLateness := e.request.Deadline.Sub(e.offered) / latenessDeadlineDivisor
	limit := e.request.Objective.Add(max(lateness, minLateness))
	if !e.latestStart.IsZero() && e.latestStart.Before(limit) {
		limit = e.latestStart
	}
	return limit, true
}

// latenessExceeded reports whether the latenessLimit of e has been reached.
func (e *entry) latenessExceeded(now time.Time) bool {
	limit, ok := e.latenessLimit()
	return ok && !limit.After(now)
}

// nextWaiter returns the position of the entry to start next, or -1 for none. Among the entries with the highest
// priority, it is the first that is not late, or else the first; with accounts, the first in the fair order. Entries that
// wait for the end of a slow period are skipped.
func (q *Queue) nextWaiter(l *waitList, now time.Time) int {
	best, bestLate, shared := -1, false, l.isShared(nil)
	for i, e := range l.entries {
		if q.defersStart(now, e) {
			continue
		}
		if best >= 0 && e.request.Priority != l.entries[best].request.Priority {
			break
		}
		late := q.missesObjective(e, now)
		if !late && !shared {
			return i
		}
		if best < 0 || !l.startsBefore(l.entries[best], bestLate, e, late) {
			best, bestLate = i, late
		}
	}
	return best
}

// countInTimeAhead counts the entries that start before e if e is not late: those of higher priority, and those of
// its own priority ahead of it that are not late.
func (q *Queue) countInTimeAhead(l *waitList, e *entry, now time.Time) int {
	if l.isShared(e) {
		return l.countFairlyAhead(e, func(other *entry) bool {
			return other.request.Priority < e.request.Priority || !q.missesObjective(other, now)
		})
	}
	count := 0
	for _, other := range l.entries[:l.countAhead(e)] {
		if other.request.Priority < e.request.Priority || !q.missesObjective(other, now) {
			count++
		}
	}
	return count
}

// countLateBefore counts the late entries of a wait list; with accounts, those that start before e in the fair order, so
// that the late requests of one account don't keep out another one.
func (q *Queue) countLateBefore(l *waitList, e *entry, now time.Time) int {
	if l.isShared(e) {
		return l.countFairlyAhead(e, func(other *entry) bool { return q.missesObjective(other, now) })
	}
	return q.countLate(l, now)
}

// countLate counts the entries of a wait list that are late.
func (q *Queue) countLate(l *waitList, now time.Time) int {
	count := 0
	for _, e := range l.entries {
		if q.missesObjective(e, now) {
			count++
		}
	}
	return count
}
