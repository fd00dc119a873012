package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
)

// simulateOverload simulates one endpoint at twice its capacity and counts the responses within and after the
// objective, and the refusals. Requests arrive at random, run 100 ms on 9 slots, and have an objective of 400 ms and
// a deadline of 1200 ms.
func simulateOverload(t *testing.T, withObjective bool) (inTime, late, refused int, longestRefusal time.Duration) {
	t.Helper()
	const (
		slots     = 9
		run       = 100 * time.Millisecond
		objective = 400 * time.Millisecond
		deadline  = 1200 * time.Millisecond
		duration  = 10 * time.Second
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
	startRun := func(ticket Ticket, now time.Time) {
		active = append(active, running{ticket, now.Add(run), offered[ticket]})
	}
	applyDecisions := func(decisions []Decision, now time.Time) {
		for _, decision := range decisions {
			if decision.Admitted {
				startRun(decision.Ticket, now)
				continue
			}
			refused++
			longestRefusal = max(longestRefusal, now.Sub(offered[decision.Ticket]))
		}
	}
	nextArrival := start
	for now := start; now.Before(start.Add(duration)); now = now.Add(time.Millisecond) {
		slices.SortFunc(active, func(a, b running) int { return a.ends.Compare(b.ends) })
		for len(active) > 0 && !active[0].ends.After(now) {
			done := active[0]
			active = active[1:]
			if now.Sub(done.offered) <= objective {
				inTime++
			} else {
				late++
			}
			applyDecisions(q.Release(now, done.ticket, run), now)
		}
		applyDecisions(q.Expire(now), now)
		for !nextArrival.After(now) {
			gap := rng.ExpFloat64() * float64(run) / slots / 2
			nextArrival = nextArrival.Add(time.Duration(gap))
			r := Request{Route: "browse", Deadline: now.Add(deadline)}
			if withObjective {
				r.Objective = now.Add(objective)
			}
			ticket, outcome := q.Offer(now, r)
			applyDecisions(outcome.Decisions, now)
			switch outcome.State {
			case Refused:
				refused++
			case Admitted, Queued:
				offered[ticket] = now
				if outcome.State == Admitted {
					startRun(ticket, now)
				}
			}
		}
	}
	return inTime, late, refused, longestRefusal
}

// Guards against a queue in which all responses are late under overload. The capacity is 900 requests in 10 s; at
// twice that load, nearly as many should complete within their objective, and no refusal should come later than half
// an objective after the objective.
func TestOverloadIsServedWithinObjective(t *testing.T) {
	inTime, late, refused, longest := simulateOverload(t, true)
	if inTime < 700 {
		t.Errorf("%d responses in time, want 700 of 900", inTime)
	}
	if late > inTime/5 {
		t.Errorf("%d late responses and %d in time", late, inTime)
	}
	if limit := 610 * time.Millisecond; longest > limit {
		t.Errorf("longest time to a refusal %s, limit %s", longest, limit)
	}
	inTimeWithout, lateWithout, _, _ := simulateOverload(t, false)
	if inTime <= inTimeWithout {
		t.Errorf("%d responses in time, without objectives %d", inTime, inTimeWithout)
	}
	t.Logf("in time %d, late %d, refused %d, longest refusal %s; without objectives in time %d, late %d",
		inTime, late, refused, longest, inTimeWithout, lateWithout)
}

// Guards against starting a request that can still meet its objective before a late one of higher priority.
func TestHighPriorityStaysFirstWhenLate(t *testing.T) {
	q := New(Limits{Slots: 1, LongSlots: 1, QueueShort: 9, QueueLong: 9})
	warmUp, _ := q.Offer(start, Request{Route: "r", Deadline: at(9000)})
	q.Release(start, warmUp, 100*time.Millisecond)
	running, _ := q.Offer(start, Request{Route: "r", Deadline: at(9000)})
	urgent, _ := q.Offer(start, Request{Route: "r", Deadline: at(9000), Priority: 0, Objective: at(150)})
	q.Offer(start, Request{Route: "r", Deadline: at(9000), Priority: 1, Objective: at(5000)})
	decisions := q.Release(at(100), running, 100*time.Millisecond)
	if len(decisions) != 1 || decisions[0].Ticket != urgent || !decisions[0].Admitted {
		t.Fatalf("decisions %+v, want admission of ticket %d", decisions, urgent)
	}
}

// Guards against admitting a request with a MaxWait at an endpoint on a slow machine, although it could be sent to
// another endpoint. Also guards against refusing a request without a MaxWait for the slowness, since it has no other
// endpoint left.
func TestSlowMachineRefusesRequestsWithMaxWait(t *testing.T) {
	q := New(Limits{Slots: 4, LongSlots: 1, QueueShort: 9, QueueLong: 9})
	warmUp, _ := q.Offer(start, Request{Route: "r", Deadline: at(9000)})
	q.Release(start, warmUp, 100*time.Millisecond)
	request := Request{Route: "r", Deadline: at(9000), MaxWait: time.Millisecond, Slowness: 4}
	if _, outcome := q.Offer(start, request); outcome.State != Refused || outcome.Reason != verdict.Busy {
		t.Fatalf("slow machine: %+v", outcome)
	}
	request.MaxWait = 0
	if _, outcome := q.Offer(start, request); outcome.State != Admitted {
		t.Fatalf("without MaxWait: %+v", outcome)
	}
	request.MaxWait, request.Slowness = time.Millisecond, 1
	if _, outcome := q.Offer(start, request); outcome.State != Admitted {
		t.Fatalf("normal service time: %+v", outcome)
	}
}
