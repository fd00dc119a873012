package admission

import (
	"time"

	"dandelionspoke/internal/verdict"
)

// Decisions for the heaviest load: more requests than the endpoint can answer within their objectives. Serving
// them in the order of their arrival would answer all of them late. The queue serves first those that can still
// be answered in time, and keeps late ones only as far as slots become free soon.

const (
	// runMargin is the multiple of the usual run time that a request needs before its objective to count as in
	// time. Run times scatter, and a start just before the last moment is late half of the time.
	runMargin = 1.25
	// latePatience bounds the wait of a request that has become late, as a share of its objective. A caller that
	// hears early may find room elsewhere or later.
	latePatience = 0.5
	// lateDeadlineDivisor sets the least such wait, as a part of the time that the caller gave.
	lateDeadlineDivisor = 8
	// objectiveRuns is the number of run times that an objective is assumed to hold while none has been measured.
	objectiveRuns = 3
	// maxRouteTimes bounds the routes whose run times are kept.
	maxRouteTimes = 256
)

// routeTimesByName holds the moving average of the run time of each route.
type routeTimesByName map[string]*serviceTime

func (r routeTimesByName) record(route string, ran time.Duration) {
	s := r[route]
	if s == nil {
		if len(r) >= maxRouteTimes {
			clear(r) // routes of earlier bundles; the present ones are measured again within seconds
		}
		s = new(serviceTime)
		r[route] = s
	}
	s.record(ran)
}

// refusalByObjective refuses a request that waits longer than it accepts, that can't be answered before its deadline,
// or that would be late behind as many late ones as the endpoint has slots: these would not start soon either.
func (q *Queue) refusalByObjective(now time.Time, e *entry, l *lane, estimate serviceTime, slots int) verdict.Reason {
	wait := estimate.wait(q.aheadInTime(l, e, now), slots)
	remaining := e.request.Deadline.Sub(now)
	switch run := q.runTime(e); {
	case run > remaining:
		return verdict.DeadlineTooShort
	case e.request.MaxWait > 0 && wait > e.request.MaxWait:
		return verdict.Busy
	case wait+run > remaining:
		return verdict.Overloaded
	case q.late(e, now.Add(wait)) && q.lateWaiters(l, now) >= slots:
		return verdict.Overloaded
	}
	return ""
}

// runTime is the expected run time of a request. Until its route has been measured, as after a start, it is a part of
// the objective, if there is one, else the average of the lane; 0 when nothing is known.
func (q *Queue) runTime(e *entry) time.Duration {
	if s := q.routes[e.request.Route]; s != nil {
		return s.duration()
	}
	if !e.request.Objective.IsZero() {
		return max(e.request.Objective.Sub(e.offered), 0) / objectiveRuns
	}
	return q.laneTime(e).duration()
}

func (q *Queue) laneTime(e *entry) serviceTime {
	if e.long {
		return q.longTime
	}
	return q.shortTime
}

// late reports whether a request that starts at a time would miss its objective. Requests without an objective
// are never late.
func (q *Queue) late(e *entry, start time.Time) bool {
	if e.request.Objective.IsZero() {
		return false
	}
	need := time.Duration(runMargin * float64(q.runTime(e)))
	return start.Add(need).After(e.request.Objective)
}

// lateLimit returns the time from which a waiting request has been late for so long that its caller should rather
// hear it; false without an objective.
func (e *entry) lateLimit() (time.Time, bool) {
	if e.request.Objective.IsZero() {
		return time.Time{}, false
	}
	patience := time.Duration(latePatience * float64(e.request.Objective.Sub(e.offered)))
	least := e.request.Deadline.Sub(e.offered) / lateDeadlineDivisor
	return e.request.Objective.Add(max(patience, least)), true
}

// hopeless reports whether the limit of lateness has been reached.
func (e *entry) hopeless(now time.Time) bool {
	limit, ok := e.lateLimit()
	return ok && !limit.After(now)
}

// next returns the position of the waiter of a lane to start: of those with the highest priority the first that can
// be answered in time, else the first. Waiters that do better to wait for the end of a slow spell do not count. It
// returns -1 for none.
func (q *Queue) next(l *lane, now time.Time) int {
	first := -1
	for i, e := range l.entries {
		if q.holds(now, e) {
			continue
		}
		if first >= 0 && e.request.Priority != l.entries[first].request.Priority {
			break
		}
		if !q.late(e, now) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// aheadInTime counts the waiters that start before e if e is to be answered in time.
func (q *Queue) aheadInTime(l *lane, e *entry, now time.Time) int {
	count := 0
	for _, other := range l.entries[:l.ahead(e)] {
		if other.request.Priority < e.request.Priority || !q.late(other, now) {
			count++
		}
	}
	return count
}

// lateWaiters counts the waiters of a lane that can't be answered in time any more.
func (q *Queue) lateWaiters(l *lane, now time.Time) int {
	count := 0
	for _, e := range l.entries {
		if q.late(e, now) {
			count++
		}
	}
	return count
}
