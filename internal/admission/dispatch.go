package admission

import (
	"fmt"
	"time"

	"dandelionspoke/internal/verdict"
)

// settle refuses expired waiters, then starts waiters while slots are free.
func (q *Queue) settle(now time.Time) []Decision {
	var grants []Decision
	q.settled = now
	for _, l := range []*lane{&q.short, &q.long} {
		for _, e := range l.takeExpired(now) {
			grants = append(grants, q.refuse(now, e, verdict.QueueTimeout))
		}
		for _, e := range l.takeWhere(func(e *entry) bool { return e.hopeless(now) }) {
			grants = append(grants, q.refuse(now, e, verdict.Overloaded))
		}
	}
	for q.free() > 0 {
		next := q.takeNext(now)
		if next == nil {
			break
		}
		grants = append(grants, q.startOrRefuse(now, next))
	}
	return grants
}

// takeNext removes the waiter that the next free slot belongs to, or returns nil.
func (q *Queue) takeNext(now time.Time) *entry {
	if head := q.long.head(); head != nil && q.longMayStart(now, head) {
		if next := q.next(&q.long, now); next >= 0 {
			return q.long.take(next)
		}
	}
	if next := q.next(&q.short, now); next >= 0 {
		return q.short.take(next)
	}
	return nil
}

// longMayStart reports whether a long request may take a free slot now.
func (q *Queue) longMayStart(now time.Time, e *entry) bool {
	start, ok := q.longStart(e)
	return ok && !start.After(now)
}

// longStart returns from when on a long request may take a slot as things are, or false when another
// event must come first. Long work yields to waiting short work, leaves a reserve of free slots and is paced,
// except that one long request may run once e has waited too long.
func (q *Queue) longStart(e *entry) (time.Time, bool) {
	if q.inUseLong >= q.limits.LongSlots || q.free() <= 0 {
		return time.Time{}, false
	}
	if q.short.len() == 0 && q.free() > q.shortReserve() {
		return e.offered.Add(q.pace(e)), true
	}
	return e.offered.Add(q.longPatience()), q.inUseLong == 0
}

// pace is the least wait of a long request. It is zero for the first one and while many slots are free, and for
// requests with an objective, which a wait beside free slots would use up.
func (q *Queue) pace(e *entry) time.Duration {
	if !e.request.Objective.IsZero() || q.free() > q.limits.Slots/paceFreeDivisor {
		return 0
	}
	taken := float64(q.inUseLong) / float64(q.limits.LongSlots)
	wait := time.Duration(paceServiceTimes * taken * taken * float64(q.longTime))
	return min(wait, e.request.Deadline.Sub(e.offered)/paceDeadlineDivisor)
}

func (q *Queue) shortReserve() int {
	if q.limits.Slots == 1 {
		return 0
	}
	return max(1, q.limits.Slots/shortReserveDivisor)
}

func (q *Queue) longPatience() time.Duration {
	return max(longPatience, longPatienceServiceTimes*q.shortTime.duration())
}

// startOrRefuse refuses a short waiter that can no longer be answered in time while others wait, so
// that the slot does work that counts.
func (q *Queue) startOrRefuse(now time.Time, e *entry) Decision {
	remaining := e.request.Deadline.Sub(now)
	if !e.long && q.short.len() > 0 && remaining < q.shortTime.duration() {
		return q.refuse(now, e, verdict.DeadlineTooShort)
	}
	q.start(e)
	return Decision{Ticket: e.ticket, ID: e.request.ID, Admitted: true, Waited: now.Sub(e.offered)}
}

func (q *Queue) refuse(now time.Time, e *entry, reason verdict.Reason) Decision {
	delete(q.entries, e.ticket)
	return Decision{Ticket: e.ticket, ID: e.request.ID, Reason: reason, Waited: now.Sub(e.offered)}
}

func (q *Queue) free() int { return q.limits.Slots - q.inUse }

func (q *Queue) start(e *entry) {
	e.running = true
	q.inUse++
	if e.long {
		q.inUseLong++
	}
	q.assertSlots(e)
}

// assertSlots stops the program when a start exceeded the limits: the backend server would run more
// requests than it was built for, and every figure reported to callers would be wrong.
func (q *Queue) assertSlots(e *entry) {
	if q.inUse > q.limits.Slots {
		panic(fmt.Sprintf("admission: %d slots in use, limit %d", q.inUse, q.limits.Slots))
	}
	if e.long && q.inUseLong > q.limits.LongSlots {
		panic(fmt.Sprintf("admission: %d slots in use by long requests, limit %d", q.inUseLong, q.limits.LongSlots))
	}
}
