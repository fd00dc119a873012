package admission

import (
	"time"

	"dandelionspoke/internal/verdict"
)

// MaxReturnDelay bounds the delay after which refused callers are told to return. The load that far ahead cannot be predicted,
// and most callers do not wait longer.
const MaxReturnDelay = 2 * time.Second

// returnSpread is the range, as a ratio of the delay, over which the return of refused callers is spread, and minReturnSpread its
// lower limit. Callers refused at the same moment by several gates would otherwise return at the same moment.
const (
	returnSpread    = 0.5
	minReturnSpread = 100 * time.Millisecond
)

// SpreadReturn returns the delay after which a refused caller is told to return: at least the given one, or near MaxReturnDelay if
// that is less. random is uniform in [0, 1).
func SpreadReturn(delay time.Duration, random float64) time.Duration {
	spread := time.Duration(random * float64(max(time.Duration(returnSpread*float64(delay)), minReturnSpread)))
	if delay+spread > MaxReturnDelay {
		return MaxReturnDelay - spread
	}
	return delay + spread
}

// returnShare is the part of an account's share of the starts that is promised to refused callers. The rest is left to
// newcomers, who would otherwise be refused because of those who return, and so on without end.
const returnShare = 0.25

// roomAfter returns the time after which a request like e, refused for the given reason, is expected to be accepted if its
// caller sends it again with as much time left. Callers of one account that are refused in succession get successive times,
// at the rate at which the account's share lets them start. It returns 0 when accounts are not in use, when nothing has been
// measured, and for reasons that do not depend on the load.
func (q *Queue) roomAfter(now time.Time, e *entry, reason verdict.Reason) time.Duration {
	if e.flow == nil {
		return 0
	}
	l, _ := q.waitListOf(e)
	average, slots := q.serviceOf(e)
	slotWait := average.wait(0, slots) // until the next slot is free
	if slotWait <= 0 {
		return 0
	}
	switch reason {
	case verdict.Busy:
		return min(average.wait(l.countBefore(e), slots), MaxReturnDelay)
	case verdict.QueueFull, verdict.Overloaded:
		room := max(average.wait(l.countBefore(e), slots)-q.tolerableWait(now, e), slotWait)
		interval := time.Duration(float64(slotWait) / l.shareOf(e) / returnShare)
		at := now.Add(room)
		if next := e.flow.lastReturn.Add(interval); next.After(at) {
			at = next
		}
		if limit := now.Add(MaxReturnDelay); at.After(limit) {
			return MaxReturnDelay
		}
		e.flow.lastReturn = at
		return at.Sub(now)
	}
	return 0
}

// tolerableWait returns the wait after which e can still run within its objective if it has one, or else its deadline.
func (q *Queue) tolerableWait(now time.Time, e *entry) time.Duration {
	end := e.request.Deadline
	if objective := e.request.Objective; !objective.IsZero() && objective.Before(end) {
		end = objective
	}
	return max(end.Sub(now)-q.expectedRunTime(e), 0)
}

// shareOf returns the share of e's account, above 0 and at most 1, among the accounts with waiting requests of its priority.
func (l *waitList) shareOf(e *entry) float64 {
	for _, other := range l.entries {
		if other.flow != nil {
			other.flow.counted = 0
		}
	}
	e.flow.counted = 1
	weights := e.flow.weight
	for _, other := range l.entries {
		if f := other.flow; f != nil && f.counted == 0 && other.request.Priority == e.request.Priority {
			f.counted = 1
			weights += f.weight
		}
	}
	return e.flow.weight / weights
}
