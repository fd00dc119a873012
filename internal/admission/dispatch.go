package admission

import (
	"fmt"
	"time"

	"dandelionspoke/internal/verdict"
)

// dispatch refuses the waiting requests that have expired or are too late for their objective, then starts waiting
// requests while slots are free.
func (q *Queue) dispatch(now time.Time) []Decision {
	var decisions []Decision
	q.lastDispatch = now
	for _, l := range []*waitList{&q.short, &q.long} {
		for _, e := range l.removeExpired(now) {
			decisions = append(decisions, q.refuse(now, e, verdict.QueueTimeout))
		}
		for _, e := range l.removeWhere(func(e *entry) bool { return e.latenessExceeded(now) }) {
			decisions = append(decisions, q.refuse(now, e, verdict.Overloaded))
		}
	}
	for q.freeSlots() > 0 {
		next := q.dequeueNext(now)
		if next == nil {
			break
		}
		decisions = append(decisions, q.startOrRefuse(now, next))
	}
	return decisions
}

// dequeueNext removes and returns the waiting request that takes the next free slot, or nil if none may start.
func (q *Queue) dequeueNext(now time.Time) *entry {
	if head := q.long.head(); head != nil && q.canStartLong(now, head) {
		if next := q.nextWaiter(&q.long, now); next >= 0 {
			return q.long.removeAt(next)
		}
	}
	if next := q.nextWaiter(&q.short, now); next >= 0 {
		return q.short.removeAt(next)
	}
	return nil
}

// canStartLong reports whether the long request e may take a free slot now.
func (q *Queue) canStartLong(now time.Time, e *entry) bool {
	start, ok := q.earliestLongStart(e)
	return ok && !start.After(now)
}

// earliestLongStart returns the time from which the long request e may take a slot in the current state of the queue,
// or false when it can't start before that state changes. Long requests yield to waiting short requests, leave
// shortReserve slots free and are paced. When none is running, one that has waited for longStarvationLimit may start
// even if short requests wait or the reserve is in use.
func (q *Queue) earliestLongStart(e *entry) (time.Time, bool) {
	if q.inUseLong >= q.limits.LongSlots || q.freeSlots() <= 0 {
		return time.Time{}, false
	}
	if q.short.len() == 0 && q.freeSlots() > q.shortReserve() {
		return e.offered.Add(q.pacingDelay(e)), true
	}
	return e.offered.Add(q.longStarvationLimit()), q.inUseLong == 0
}

// pacingDelay returns the minimum wait of a long request. It is zero when no other long request is running, while
// many slots are free, and for requests with an objective, since waiting while slots are free could make them miss
// it.
func (q *Queue) pacingDelay(e *entry) time.Duration {
	if !e.request.Objective.IsZero() || q.freeSlots() > q.limits.Slots/pacingFreeDivisor {
		return 0
	}
	usedShare := float64(q.inUseLong) / float64(q.limits.LongSlots)
	wait := time.Duration(pacingServiceTimes * usedShare * usedShare * float64(q.longServiceTime))
	return min(wait, e.request.Deadline.Sub(e.offered)/pacingDeadlineDivisor)
}

func (q *Queue) shortReserve() int {
	if q.limits.Slots == 1 {
		return 0
	}
	return max(1, q.limits.Slots/shortReserveDivisor)
}

func (q *Queue) longStarvationLimit() time.Duration {
	return max(minLongStarvationLimit, longStarvationServiceTimes*q.shortServiceTime.duration())
}

// startOrRefuse starts e. If e is short and can no longer complete before its deadline while other short requests
// wait, it refuses e so that the slot goes to one that can.
func (q *Queue) startOrRefuse(now time.Time, e *entry) Decision {
	remaining := e.request.Deadline.Sub(now)
	if !e.long && q.short.len() > 0 && remaining < q.shortServiceTime.duration() {
		return q.refuse(now, e, verdict.DeadlineTooShort)
	}
	q.occupySlot(e)
	return Decision{Ticket: e.ticket, ID: e.request.ID, Admitted: true, Waited: now.Sub(e.offered)}
}

func (q *Queue) refuse(now time.Time, e *entry, reason verdict.Reason) Decision {
	delete(q.entries, e.ticket)
	return Decision{Ticket: e.ticket, ID: e.request.ID, Reason: reason, Wait: q.roomAfter(now, e, reason), Waited: now.Sub(e.offered)}
}

func (q *Queue) freeSlots() int { return q.limits.Slots - q.inUse }

func (q *Queue) occupySlot(e *entry) {
	e.running = true
	l, _ := q.waitListOf(e)
	l.charge(e)
	q.inUse++
	if e.long {
		q.inUseLong++
	}
	q.assertWithinLimits(e)
}

// assertWithinLimits panics when starting e exceeded the limits: the backend server would run more concurrent
// requests than it is configured for, and the reported load would be wrong.
func (q *Queue) assertWithinLimits(e *entry) {
	if q.inUse > q.limits.Slots {
		panic(fmt.Sprintf("admission: %d slots in use, limit %d", q.inUse, q.limits.Slots))
	}
	if e.long && q.inUseLong > q.limits.LongSlots {
		panic(fmt.Sprintf("admission: %d slots in use by long requests, limit %d", q.inUseLong, q.limits.LongSlots))
	}
}
