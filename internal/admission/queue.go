package admission

import (
	"fmt"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

const (
	// defaultTimeout bounds the wait of a request without a deadline.
	defaultTimeout = 10 * time.Second
	// minStandingInterval is the minimum time for which the short wait list must stay non-empty to be a standing queue.
	// Shorter bursts are absorbed by the wait list.
	minStandingInterval = 100 * time.Millisecond
	// standingIntervalServiceTimes is the same limit in service times; the longer of the two applies. Ordinary bursts
	// last longer on slow backend servers.
	standingIntervalServiceTimes = 10
	// standingWaitServiceTimes is the expected wait, in service times, above which a standing queue accepts no more
	// requests. This keeps every slot occupied, while new requests are refused early enough to be sent to another
	// endpoint.
	standingWaitServiceTimes = 3
	// minStandingWaitLimit is the lower limit of that wait. It keeps very fast backend servers from refusing requests
	// because of scheduling jitter.
	minStandingWaitLimit = 5 * time.Millisecond
	// minLongStarvationLimit and longStarvationServiceTimes, of which the longer applies, bound the time for which
	// waiting short requests may keep all long requests from starting.
	minLongStarvationLimit     = 50 * time.Millisecond
	longStarvationServiceTimes = 10
	// shortReserveDivisor sets the fraction of the slots that must remain free for short requests when a long request
	// starts.
	shortReserveDivisor = 6
	// pacingServiceTimes is the upper limit of the pacing delay of a long request, in long service times. The delay
	// grows with the square of the occupied share of LongSlots. This evens out the number of running long requests, so
	// that short requests seldom find all of LongSlots occupied.
	pacingServiceTimes = 2
	// pacingDeadlineDivisor bounds the pacing delay to a fraction of the time from offer to deadline.
	pacingDeadlineDivisor = 4
	// pacingFreeDivisor sets the fraction of free slots above which long requests are not paced.
	pacingFreeDivisor = 2
)

// Queue is the admission queue of one endpoint. It is not safe for concurrent use: the gate holds a mutex during
// every call. The times passed to it must not decrease.
type Queue struct {
	limits           Limits
	draining         bool
	lastTicket       Ticket
	entries          map[Ticket]*entry
	short            waitList
	long             waitList
	inUse            int
	inUseLong        int
	shortServiceTime serviceTime
	longServiceTime  serviceTime
	classifier       Classifier
	routeTimes       routeServiceTimes
	slowness         slownessTracker
	lastDispatch     time.Time // time of the most recent dispatch
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits.normalized(), entries: make(map[Ticket]*entry), routeTimes: routeServiceTimes{}}
}

// Classifier returns the classifier of this queue. Like the queue, it is not safe for concurrent use.
func (q *Queue) Classifier() *Classifier { return &q.classifier }

// Limits returns the current limits, clamped to their permitted ranges.
func (q *Queue) Limits() Limits { return q.limits }

// SetLimits applies new limits. Running requests keep their slots and waiting requests stay queued, so their numbers
// may exceed lowered limits for a while.
func (q *Queue) SetLimits(now time.Time, limits Limits) []Decision {
	q.limits = limits.normalized()
	return q.dispatch(now)
}

// Drain makes the queue refuse all later offers. Waiting and running requests complete as usual.
func (q *Queue) Drain() { q.draining = true }

// Undrain ends a drain.
func (q *Queue) Undrain() { q.draining = false }

// Idle reports whether no request is running or waiting.
func (q *Queue) Idle() bool { return len(q.entries) == 0 }

// Offer admits, queues or refuses a new request. A refused request has not run and has no ticket.
func (q *Queue) Offer(now time.Time, r Request) (Ticket, Outcome) {
	r = withDefaults(now, r)
	decisions := q.dispatch(now)
	e := &entry{request: r, offered: now, long: q.classifier.Long(r.Route, r.Long)}
	outcome := Outcome{Long: e.long, Decisions: decisions}
	l, _ := q.waitListOf(e)
	e.flow = l.flowOf(r)
	outcome.Reason = q.immediateRefusal(now, e)
	if outcome.Reason != "" {
		outcome.Wait = q.roomAfter(now, e, outcome.Reason)
		return 0, outcome
	}
	q.lastTicket++
	e.ticket = q.lastTicket
	if q.canStartNow(now, e) {
		outcome.State = Admitted
		q.entries[e.ticket] = e
		q.occupySlot(e)
		return e.ticket, outcome
	}
	var evicted []Decision
	outcome.Reason, evicted = q.enqueue(now, e)
	outcome.Decisions = append(outcome.Decisions, evicted...)
	if outcome.Reason != "" {
		outcome.Wait = q.roomAfter(now, e, outcome.Reason)
		return 0, outcome
	}
	outcome.State = Queued
	return e.ticket, outcome
}

func withDefaults(now time.Time, r Request) Request {
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(defaultTimeout)
	}
	r.Priority = min(max(r.Priority, 0), bundle.MaxPriority)
	return r
}

func (q *Queue) immediateRefusal(now time.Time, e *entry) verdict.Reason {
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

// slowdown returns by how much longer than usual the request would run at the endpoint's current slowness. Contention
// for the CPU is temporary, so the slowdown counts only for requests with a MaxWait, which can be sent to another
// endpoint.
func (q *Queue) slowdown(e *entry) time.Duration {
	return time.Duration(max(e.request.Slowness-1, 0) * float64(q.expectedRunTime(e)))
}

func (q *Queue) canStartNow(now time.Time, e *entry) bool {
	if q.defersStart(now, e) {
		return false
	}
	if e.long {
		return q.long.len() == 0 && q.canStartLong(now, e)
	}
	return q.short.len() == 0 && q.freeSlots() > 0
}

// enqueue adds e to its wait list or returns why e is refused. It also returns the decision on a waiting request
// that e evicted, if any.
func (q *Queue) enqueue(now time.Time, e *entry) (verdict.Reason, []Decision) {
	l, limit := q.waitListOf(e)
	if reason := q.earlyRefusal(now, e, l); reason != "" {
		return reason, nil
	}
	if e.flow != nil {
		e.latestStart = e.request.Deadline.Add(-q.expectedRunTime(e))
		if !e.latestStart.After(now) {
			return verdict.Overloaded, nil
		}
	}
	var evicted []Decision
	if l.len() >= limit {
		evictee := l.evictionCandidate(e)
		if evictee == nil || limit == 0 {
			return verdict.QueueFull, nil
		}
		l.remove(evictee)
		evicted = append(evicted, q.refuse(now, evictee, verdict.QueueFull))
	}
	l.insert(e, now)
	q.entries[e.ticket] = e
	return "", evicted
}

func (q *Queue) waitListOf(e *entry) (*waitList, int) {
	if e.long {
		return &q.long, q.limits.QueueLong
	}
	return &q.short, q.limits.QueueShort
}

// earlyRefusal returns why a request is refused that would miss its deadline, wait longer than its MaxWait or
// lengthen a standing queue, or "" if it may wait. DeadlineTooShort means that the deadline can't be met even without
// a queue, so other endpoints would refuse the request too; after Overloaded, another endpoint may accept it.
func (q *Queue) earlyRefusal(now time.Time, e *entry, l *waitList) verdict.Reason {
	average, slots := q.serviceOf(e)
	if !e.request.Objective.IsZero() {
		return q.objectiveRefusal(now, e, l, average, slots)
	}
	wait := average.wait(l.countBefore(e), slots)
	remaining := e.request.Deadline.Sub(now)
	if average.duration() > remaining {
		return verdict.DeadlineTooShort
	}
	if wait+average.duration() > remaining {
		return verdict.Overloaded
	}
	if maxWait := e.request.MaxWait; maxWait > 0 && wait > maxWait {
		return verdict.Busy
	}
	if !e.long && q.hasStandingQueue(now) && wait > q.standingWaitLimit() {
		return verdict.Overloaded
	}
	return ""
}

// serviceOf returns the service time of the entry's class and the number of slots that serve it.
func (q *Queue) serviceOf(e *entry) (serviceTime, int) {
	if e.long {
		return q.longServiceTime, q.limits.LongSlots
	}
	return q.shortServiceTime, q.limits.Slots - q.inUseLong
}

func (q *Queue) hasStandingQueue(now time.Time) bool {
	interval := max(minStandingInterval, standingIntervalServiceTimes*q.shortServiceTime.duration())
	return q.short.len() > 0 && now.Sub(q.short.nonEmptySince) >= interval
}

func (q *Queue) standingWaitLimit() time.Duration {
	return max(minStandingWaitLimit, standingWaitServiceTimes*q.shortServiceTime.duration())
}

// Release frees the slot of an admitted request. runTime is the time that the backend server took for the request;
// pass 0 when it is not representative of the service time, as after a failure. Release panics when the ticket holds
// no slot, since releasing a slot twice would let more requests run than the endpoint has slots.
func (q *Queue) Release(now time.Time, t Ticket, runTime time.Duration) []Decision {
	e := q.entries[t]
	if e == nil || !e.running {
		panic(fmt.Sprintf("admission: release of ticket %d, which holds no slot", t))
	}
	delete(q.entries, t)
	q.inUse--
	if e.long {
		q.inUseLong--
	}
	if runTime > 0 {
		q.record(e, runTime)
	}
	return q.dispatch(now)
}

func (q *Queue) record(e *entry, runTime time.Duration) {
	q.classifier.Record(e.request.Route, e.request.Long, runTime)
	q.routeTimes.record(e.request.Route, runTime)
	if q.classifier.Long(e.request.Route, e.request.Long) {
		q.longServiceTime.record(runTime)
		return
	}
	q.shortServiceTime.record(runTime)
}

// Cancel removes a waiting request; no Decision follows for it. It has no effect on a running or unknown ticket; the
// slot of a running request must still be released.
func (q *Queue) Cancel(now time.Time, t Ticket) []Decision {
	e := q.entries[t]
	if e != nil && !e.running {
		l, _ := q.waitListOf(e)
		l.remove(e)
		delete(q.entries, t)
	}
	return q.dispatch(now)
}

// Withdraw refuses the waiting requests that are not expected to start within maxWait; with 0, all of them.
func (q *Queue) Withdraw(now time.Time, maxWait time.Duration) []Decision {
	var decisions []Decision
	withdraw := func(l *waitList, average serviceTime, slots int) {
		ahead := 0
		for _, e := range l.removeWhere(func(*entry) bool {
			ahead++
			return maxWait <= 0 || average.wait(ahead-1, slots) > maxWait
		}) {
			decisions = append(decisions, q.refuse(now, e, verdict.Draining))
		}
	}
	withdraw(&q.short, q.shortServiceTime, q.limits.Slots-q.inUseLong)
	withdraw(&q.long, q.longServiceTime, q.limits.LongSlots)
	return decisions
}

// Expire refuses the waiting requests whose deadline or lateness limit has passed and starts those that may start
// now. The gate calls it at NextDecision or on a tick of a few milliseconds.
func (q *Queue) Expire(now time.Time) []Decision { return q.dispatch(now) }

// NextDecision returns the earliest time at which Expire may start or refuse a waiting request, or false when none is
// waiting. The returned time is always later than the one passed to the most recent call.
func (q *Queue) NextDecision() (time.Time, bool) {
	next := q.long.nextRefusal(q.short.nextRefusal(time.Time{}))
	if head := q.long.head(); head != nil && !q.defersStart(q.lastDispatch, head) {
		if start, ok := q.earliestLongStart(head); ok && start.Before(next) {
			next = start
		}
	}
	if !next.IsZero() && q.freeSlots() > 0 && q.slowness.runTimeIncrease(q.lastDispatch) > 0 {
		if end := q.deferralEnd(); end.After(q.lastDispatch) && end.Before(next) {
			next = end
		}
	}
	return next, !next.IsZero()
}

// Load returns the load report of the endpoint.
func (q *Queue) Load() *wire.Load {
	return &wire.Load{
		InFlight:      uint32(q.inUse),
		InFlightLong:  uint32(q.inUseLong),
		QueuedShort:   uint32(q.short.len()),
		QueuedLong:    uint32(q.long.len()),
		Slots:         uint32(q.limits.Slots),
		ServiceTimeUs: uint32(min(q.shortServiceTime.duration(), time.Hour) / time.Microsecond),
		Draining:      q.draining,
	}
}
