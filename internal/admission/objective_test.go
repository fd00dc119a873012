package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
)

// peak plays a load of twice the capacity on one endpoint and counts what callers get within their objective.
// Requests come at random, run 100 ms on 9 slots, and have an objective of 400 ms and a deadline of 1200 ms.
func peak(t *testing.T, withObjective bool) (inTime, late, refused int, longestRefusal time.Duration) {
	t.Helper()
	const (
		slots     = 9
		run       = 100 * time.Millisecond
		objective = 400 * time.Millisecond
		deadline  = 1200 * time.Millisecond
		length    = 10 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	q := New(Limits{Slots: slots, LongSlots: 8, QueueShort: 500, QueueLong: 500})
	type running struct {
		ticket  Ticket
		ends    time.Time
		offered time.Time
	}
	var active []running
	offered := map[Ticket]time.Time{}
	begin := func(ticket Ticket, now time.Time) {
		active = append(active, running{ticket, now.Add(run), offered[ticket]})
	}
	take := func(grants []Decision, now time.Time) {
		for _, g := range grants {
			if g.Admitted {
				begin(g.Ticket, now)
				continue
			}
			refused++
			longestRefusal = max(longestRefusal, now.Sub(offered[g.Ticket]))
		}
	}
	nextArrival := start
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		slices.SortFunc(active, func(a, b running) int { return a.ends.Compare(b.ends) })
		for len(active) > 0 && !active[0].ends.After(now) {
			done := active[0]
			active = active[1:]
			if now.Sub(done.offered) <= objective {
				inTime++
			} else {
				late++
			}
			take(q.Release(now, done.ticket, run), now)
		}
		take(q.Expire(now), now)
		for !nextArrival.After(now) {
			gap := rng.ExpFloat64() * float64(run) / slots / 2
			nextArrival = nextArrival.Add(time.Duration(gap))
			r := Request{Route: "browse", Deadline: now.Add(deadline)}
			if withObjective {
				r.Objective = now.Add(objective)
			}
			ticket, outcome := q.Offer(now, r)
			take(outcome.Decisions, now)
			switch outcome.State {
			case Refused:
				refused++
			case Admitted, Queued:
				offered[ticket] = now
				if outcome.State == Admitted {
					begin(ticket, now)
				}
			}
		}
	}
	return inTime, late, refused, longestRefusal
}

// Guards against a queue that answers everything late in a peak. The capacity is 900 requests in 10 s; at twice
// that, nearly all of them should be answered within their objective, and no caller should learn of its refusal
// later than half an objective after the objective.
func TestPeakIsServedInTime(t *testing.T) {
	inTime, late, refused, longest := peak(t, true)
	if inTime < 700 {
		t.Errorf("%d answers in time, want 700 of 900", inTime)
	}
	if late > inTime/5 {
		t.Errorf("%d late answers beside %d in time", late, inTime)
	}
	if limit := 610 * time.Millisecond; longest > limit {
		t.Errorf("a refusal after %s, limit %s", longest, limit)
	}
	plain, plainLate, _, _ := peak(t, false)
	if inTime <= plain {
		t.Errorf("%d answers in time, without objectives %d", inTime, plain)
	}
	t.Logf("in time %d, late %d, refused %d, longest refusal %s; without objectives in time %d, late %d",
		inTime, late, refused, longest, plain, plainLate)
}

// Guards against a request that overtakes a more urgent one because it can still be answered in time.
func TestUrgentWorkStaysFirstWhenLate(t *testing.T) {
	q := New(Limits{Slots: 1, LongSlots: 1, QueueShort: 9, QueueLong: 9})
	warm, _ := q.Offer(start, Request{Route: "r", Deadline: at(9000)})
	q.Release(start, warm, 100*time.Millisecond)
	held, _ := q.Offer(start, Request{Route: "r", Deadline: at(9000)})
	urgent, _ := q.Offer(start, Request{Route: "r", Deadline: at(9000), Priority: 0, Objective: at(150)})
	q.Offer(start, Request{Route: "r", Deadline: at(9000), Priority: 1, Objective: at(5000)})
	grants := q.Release(at(100), held, 100*time.Millisecond)
	if len(grants) != 1 || grants[0].Ticket != urgent || !grants[0].Admitted {
		t.Fatalf("grants %+v, want %d", grants, urgent)
	}
}

// Guards against a first placement at an endpoint whose machine is slow at this moment, and against a last one that
// finds no endpoint for the same reason.
func TestSlowMachinePassesPlacementsOn(t *testing.T) {
	q := New(Limits{Slots: 4, LongSlots: 1, QueueShort: 9, QueueLong: 9})
	warm, _ := q.Offer(start, Request{Route: "r", Deadline: at(9000)})
	q.Release(start, warm, 100*time.Millisecond)
	request := Request{Route: "r", Deadline: at(9000), MaxWait: time.Millisecond, Slowness: 4}
	if _, outcome := q.Offer(start, request); outcome.State != Refused || outcome.Reason != verdict.Busy {
		t.Fatalf("slow machine: %+v", outcome)
	}
	request.MaxWait = 0
	if _, outcome := q.Offer(start, request); outcome.State != Admitted {
		t.Fatalf("last placement: %+v", outcome)
	}
	request.MaxWait, request.Slowness = time.Millisecond, 1
	if _, outcome := q.Offer(start, request); outcome.State != Admitted {
		t.Fatalf("usual speed: %+v", outcome)
	}
}
