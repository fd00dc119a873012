package admission

import (
	"time"

	"dandelionspoke/internal/verdict"
)

// roomAfter returns the time after which a request like e, refused for the given reason, is expected to be accepted if its
// caller sends it again with as much time left. It returns 0 when accounts are not in use, when nothing has been measured, and
// for reasons that do not depend on the load.
func (q *Queue) roomAfter(now time.Time, e *entry, reason verdict.Reason) time.Duration {
	if e.flow == nil {
		return 0
	}
	l, _ := q.waitListOf(e)
	average, slots := q.serviceOf(e)
	slotWait := average.wait(0, slots) // until the next slot is free
	switch reason {
	case verdict.QueueFull:
		return slotWait
	case verdict.Busy:
		return average.wait(l.countBefore(e), slots)
	case verdict.Overloaded:
		return max(average.wait(l.countBefore(e), slots)-q.tolerableWait(now, e), slotWait)
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
