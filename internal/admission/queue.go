package admission

import (
	"fmt"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const (
	// defaultPatience bounds the wait of a request without a deadline.
	defaultPatience = 10 * time.Second
	// standingInterval is how long the short lane must stay occupied to count as a standing queue.
	// Shorter bursts are absorbed by the lane.
	standingInterval = 100 * time.Millisecond
	// standingServiceTimes extends standingInterval for slow backend servers, whose ordinary bursts last longer.
	standingServiceTimes = 10
	// standingWaitServiceTimes is the wait, in service times, above which a standing queue takes no
	// further request. It keeps every slot busy while new requests are refused early enough to go elsewhere.
	standingWaitServiceTimes = 3
	// minStandingWait keeps very fast backend servers from refusing on scheduling noise.
	minStandingWait = 5 * time.Millisecond
	// longPatience and longPatienceServiceTimes bound how long waiting short work may keep all long work from starting.
	longPatience             = 50 * time.Millisecond
	longPatienceServiceTimes = 10
	// shortReserveDivisor sets the share of the slots that long work leaves free when it starts.
	shortReserveDivisor = 6
	// paceServiceTimes is the wait, in long service times, before the last of LongSlots is taken while
	// the gate is busy. Earlier ones wait less, by the square of the share already taken. It evens out the
	// number of long requests, so that short work seldom meets the full LongSlots.
	paceServiceTimes = 2
	// paceDeadlineDivisor bounds that wait to a share of the time that the caller gave.
	paceDeadlineDivisor = 4
	// paceFreeDivisor sets the share of free slots above which long work is not paced.
	paceFreeDivisor = 2
)

// Queue is the admission queue of one endpoint. It is not safe for concurrent use: the gate holds one
// mutex around every call. Times passed to it must not go backwards.
type Queue struct {
	limits     Limits
	draining   bool
	lastTicket Ticket
	entries    map[Ticket]*entry
	short      lane
	long       lane
	inUse      int
	inUseLong  int
	shortTime  serviceTime
	longTime   serviceTime
	classifier Classifier
	routes     routeTimesByName
	speed      machineSpeed
	settled    time.Time // time of the newest settle
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits.normalized(), entries: make(map[Ticket]*entry), routes: routeTimesByName{}}
}

// Classifier returns the classifier of this queue, under the same rule of concurrent use.
func (q *Queue) Classifier() *Classifier { return &q.classifier }

// Limits returns the limits in force.
func (q *Queue) Limits() Limits { return q.limits }

// SetLimits puts new limits in force. Requests that hold a slot keep it, so the slots in use may stay
// above a lowered limit until they are released; waiters above a lowered lane limit stay queued.
func (q *Queue) SetLimits(now time.Time, limits Limits) []Decision {
	q.limits = limits.normalized()
	return q.settle(now)
}

// Drain refuses all later offers. Waiters and running requests complete as usual.
func (q *Queue) Drain() { q.draining = true }

// Undrain ends a drain.
func (q *Queue) Undrain() { q.draining = false }

// Idle reports whether no request runs or waits.
func (q *Queue) Idle() bool { return len(q.entries) == 0 }

// Offer decides a new request. A refused request has not run and has no ticket.
func (q *Queue) Offer(now time.Time, r Request) (Ticket, Outcome) {
	r = withDefaults(now, r)
	others := q.settle(now)
	e := &entry{request: r, offered: now, long: q.classifier.Long(r.Route, r.Long)}
	outcome := Outcome{Long: e.long, Decisions: others}
	outcome.Reason = q.refusalBeforeQueue(now, e)
	if outcome.Reason != "" {
		return 0, outcome
	}
	q.lastTicket++
	e.ticket = q.lastTicket
	if q.startsAtOnce(now, e) {
		outcome.State = Admitted
		q.entries[e.ticket] = e
		q.start(e)
		return e.ticket, outcome
	}
	var displaced []Decision
	outcome.Reason, displaced = q.enqueue(now, e)
	outcome.Decisions = append(outcome.Decisions, displaced...)
	if outcome.Reason != "" {
		return 0, outcome
	}
	outcome.State = Queued
	return e.ticket, outcome
}

func withDefaults(now time.Time, r Request) Request {
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(defaultPatience)
	}
	r.Priority = min(max(r.Priority, 0), bundle.MaxPriority)
	return r
}

func (q *Queue) refusalBeforeQueue(now time.Time, e *entry) verdict.Reason {
	if q.draining {
		return verdict.Draining
	}
	if !e.request.Deadline.After(now) {
		return verdict.DeadlineExceeded
	}
	if maxWait := e.request.MaxWait; maxWait > 0 && q.slowdown(e) > maxWait {
		return verdict.Busy
	}
	return ""
}

// slowdown is the time that the request would take beyond the usual at the present speed of the endpoint. It
// ends when the work of a neighbour on the same machine does, so only requests that can go elsewhere mind it.
func (q *Queue) slowdown(e *entry) time.Duration {
	return time.Duration(max(e.request.Slowness-1, 0) * float64(q.runTime(e)))
}

func (q *Queue) startsAtOnce(now time.Time, e *entry) bool {
	if q.holds(now, e) {
		return false
	}
	if e.long {
		return q.long.len() == 0 && q.longMayStart(now, e)
	}
	return q.short.len() == 0 && q.free() > 0
}

// enqueue puts e into its lane, or returns why it is refused, with the waiter that it displaced.
func (q *Queue) enqueue(now time.Time, e *entry) (verdict.Reason, []Decision) {
	l, limit := q.laneOf(e)
	if reason := q.earlyRefusal(now, e, l); reason != "" {
		return reason, nil
	}
	var displaced []Decision
	if l.len() >= limit {
		victim := l.displaceable(e.request.Priority)
		if victim == nil || limit == 0 {
			return verdict.QueueFull, nil
		}
		l.remove(victim)
		displaced = append(displaced, q.refuse(now, victim, verdict.QueueFull))
	}
	l.insert(e, now)
	q.entries[e.ticket] = e
	return "", displaced
}

func (q *Queue) laneOf(e *entry) (*lane, int) {
	if e.long {
		return &q.long, q.limits.QueueLong
	}
	return &q.short, q.limits.QueueShort
}

// earlyRefusal refuses a request that would miss its deadline or lengthen a standing queue. The reason
// DeadlineTooShort holds without any queue, so other endpoints would refuse too; Overloaded does not.
func (q *Queue) earlyRefusal(now time.Time, e *entry, l *lane) verdict.Reason {
	estimate, slots := q.shortTime, q.limits.Slots-q.inUseLong
	if e.long {
		estimate, slots = q.longTime, q.limits.LongSlots
	}
	if !e.request.Objective.IsZero() {
		return q.refusalByObjective(now, e, l, estimate, slots)
	}
	wait := estimate.wait(l.ahead(e), slots)
	remaining := e.request.Deadline.Sub(now)
	if estimate.duration() > remaining {
		return verdict.DeadlineTooShort
	}
	if wait+estimate.duration() > remaining {
		return verdict.Overloaded
	}
	if maxWait := e.request.MaxWait; maxWait > 0 && wait > maxWait {
		return verdict.Busy
	}
	if !e.long && q.standing(now) && wait > q.standingWait() {
		return verdict.Overloaded
	}
	return ""
}

func (q *Queue) standing(now time.Time) bool {
	interval := max(standingInterval, standingServiceTimes*q.shortTime.duration())
	return q.short.len() > 0 && now.Sub(q.short.occupiedSince) >= interval
}

func (q *Queue) standingWait() time.Duration {
	return max(minStandingWait, standingWaitServiceTimes*q.shortTime.duration())
}

// Release returns the slot of an admitted ticket. ran is the time that the backend server worked on the
// request; pass 0 when it says nothing about the service time, as after a failure. It panics when the
// ticket holds no slot, since a second release would let more requests run than the endpoint has slots.
func (q *Queue) Release(now time.Time, t Ticket, ran time.Duration) []Decision {
	e := q.entries[t]
	if e == nil || !e.running {
		panic(fmt.Sprintf("admission: release of ticket %d, which holds no slot", t))
	}
	delete(q.entries, t)
	q.inUse--
	if e.long {
		q.inUseLong--
	}
	if ran > 0 {
		q.record(e, ran)
	}
	return q.settle(now)
}

func (q *Queue) record(e *entry, ran time.Duration) {
	q.classifier.Record(e.request.Route, e.request.Long, ran)
	q.routes.record(e.request.Route, ran)
	if q.classifier.Long(e.request.Route, e.request.Long) {
		q.longTime.record(ran)
		return
	}
	q.shortTime.record(ran)
}

// Cancel removes a waiting ticket, for which no Grant follows. It has no effect on a ticket that is
// running or unknown; a running one must still be released.
func (q *Queue) Cancel(now time.Time, t Ticket) []Decision {
	e := q.entries[t]
	if e != nil && !e.running {
		l, _ := q.laneOf(e)
		l.remove(e)
		delete(q.entries, t)
	}
	return q.settle(now)
}

// Expire refuses the waiters whose deadline has passed and starts those that may start by now. The
// gate calls it at NextDecision or on a tick of a few milliseconds.
func (q *Queue) Expire(now time.Time) []Decision { return q.settle(now) }

// NextDecision returns the earliest time at which Expire may decide a waiter, or false without waiters.
// After any other call it lies after the time passed to that call.
func (q *Queue) NextDecision() (time.Time, bool) {
	next := q.long.earliestDeadline(q.short.earliestDeadline(time.Time{}))
	if head := q.long.head(); head != nil && !q.holds(q.settled, head) {
		if start, ok := q.longStart(head); ok && start.Before(next) {
			next = start
		}
	}
	if !next.IsZero() && q.free() > 0 && q.speed.excess(q.settled) > 0 {
		if end := q.holdEnds(); end.After(q.settled) && end.Before(next) {
			next = end
		}
	}
	return next, !next.IsZero()
}

// Load returns the state to report to callers.
func (q *Queue) Load() *wire.Load {
	return &wire.Load{
		InFlight:      uint32(q.inUse),
		InFlightLong:  uint32(q.inUseLong),
		QueuedShort:   uint32(q.short.len()),
		QueuedLong:    uint32(q.long.len()),
		Slots:         uint32(q.limits.Slots),
		ServiceTimeUs: uint32(min(q.shortTime.duration(), time.Hour) / time.Microsecond),
		Draining:      q.draining,
	}
}
