package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulateSlowPeriods simulates a service of 8 endpoints, each of which is slow by a factor of 4 in 35 of 100 periods
// of 300 ms. A request that starts in a slow period takes 4 times as long. Each request goes to the endpoint with the
// fewest requests. If reportSlowness is true, the slowness is reported to the queues every 35 ms. The function
// returns the share of the requests that complete within their objective.
func simulateSlowPeriods(t *testing.T, reportSlowness bool, load float64) float64 {
	t.Helper()
	const (
		endpoints      = 8
		slots          = 14
		run            = 290 * time.Millisecond
		objective      = time.Second
		deadline       = 6 * time.Second
		duration       = 30 * time.Second
		slowPeriod     = 300 * time.Millisecond
		reportInterval = 35 * time.Millisecond
		slowdownFactor = 4
	)
	rng := rand.New(rand.NewPCG(3, 4))
	type job struct {
		ticket   Ticket
		endpoint int
		ends     time.Time
		offered  time.Time
		runTime  time.Duration
	}
	var active []job
	var queues [endpoints]*Queue
	var offered [endpoints]map[Ticket]time.Time
	var slowness [endpoints]float64
	inTime, offeredCount := 0, 0
	startRun := func(i int, ticket Ticket, now time.Time) {
		runTime := time.Duration(slowness[i] * float64(run))
		active = append(active, job{ticket, i, now.Add(runTime), offered[i][ticket], runTime})
	}
	applyDecisions := func(i int, decisions []Decision, now time.Time) {
		for _, decision := range decisions {
			if decision.Admitted {
				startRun(i, decision.Ticket, now)
			}
		}
	}
	for i := range queues {
		queues[i] = New(Limits{Slots: slots, LongSlots: slots - 1, QueueShort: 500, QueueLong: 500})
		offered[i] = map[Ticket]time.Time{}
		slowness[i] = 1
	}
	arrival := start
	for step := 0; step < int(duration/time.Millisecond); step++ {
		now := start.Add(time.Duration(step) * time.Millisecond)
		for i, q := range queues {
			if (step+i*37)%int(slowPeriod/time.Millisecond) == 0 {
				slowness[i] = 1
				if rng.Float64() < 0.35 {
					slowness[i] = slowdownFactor
				}
			}
			if reportSlowness && (step+i)%int(reportInterval/time.Millisecond) == 0 {
				applyDecisions(i, q.SetSlowness(now, slowness[i]), now)
			}
			applyDecisions(i, q.Expire(now), now)
		}
		slices.SortFunc(active, func(a, b job) int { return a.ends.Compare(b.ends) })
		for len(active) > 0 && !active[0].ends.After(now) {
			done := active[0]
			active = active[1:]
			if now.Sub(done.offered) <= objective {
				inTime++
			}
			applyDecisions(done.endpoint, queues[done.endpoint].Release(now, done.ticket, done.runTime), now)
		}
		for ; !arrival.After(now); arrival = arrival.Add(time.Duration(rng.ExpFloat64() * float64(run) / slots / endpoints / load)) {
			offeredCount++
			i := 0
			for k, q := range queues {
				if len(q.entries) < len(queues[i].entries) {
					i = k
				}
			}
			ticket, outcome := queues[i].Offer(now, Request{
				Route: "browse", Deadline: now.Add(deadline), Objective: now.Add(objective),
			})
			applyDecisions(i, outcome.Decisions, now)
			if ticket != 0 {
				offered[i][ticket] = now
			}
			if outcome.State == Admitted {
				startRun(i, ticket, now)
			}
		}
	}
	return float64(inTime) / float64(offeredCount)
}

// Guards against starts in slow periods of a machine: each such request occupies its slot 4 times as long and is
// late, and at high load the lost capacity makes other requests late as well. A start within 35 ms of the beginning
// of a slow period can't be avoided (4 in 100 requests), and consecutive slow periods of 0.7 s make a request late in
// any case (another 4 in 100); the limit leaves as much again for requests that are late because they waited.
func TestStartsAreDeferredInSlowPeriods(t *testing.T) {
	for _, c := range []struct{ load, wantInTime float64 }{{0.3, 0.85}, {0.6, 0.85}} {
		with, without := simulateSlowPeriods(t, true, c.load), simulateSlowPeriods(t, false, c.load)
		t.Logf("load %.1f: in time %.3f, without slowness reports %.3f", c.load, with, without)
		if with < c.wantInTime || with < without+0.1 {
			t.Errorf("load %.1f: %.3f in time, want %.2f and 0.1 more than %.3f", c.load, with, c.wantInTime, without)
		}
	}
}

// newSlowQueue returns a queue in a slow period that has just begun, with one recorded run time of the route.
func newSlowQueue(route string, runTime time.Duration) *Queue {
	q := New(Limits{Slots: 4, LongSlots: 1, QueueShort: 9, QueueLong: 9})
	warmUp, _ := q.Offer(start, Request{Route: route, Deadline: at(9000)})
	q.Release(start, warmUp, runTime)
	q.SetSlowness(start, 1)
	q.SetSlowness(start, 4)
	return q
}

// Guards against requests with a short run time that wait longer for the end of a slow period than an immediate start
// would delay them.
func TestShortRequestStartsInSlowPeriod(t *testing.T) {
	q := newSlowQueue("call", 30*time.Millisecond)
	if _, outcome := q.Offer(at(1), Request{Route: "call", Deadline: at(9000)}); outcome.State != Admitted {
		t.Errorf("outcome %+v", outcome)
	}
}

// Guards against a request that is deferred without limit at an endpoint that stays slow or stops reporting its
// slowness.
func TestDeferralIsBounded(t *testing.T) {
	newDeferringQueue := func() *Queue {
		q := newSlowQueue("r", 400*time.Millisecond)
		if _, outcome := q.Offer(at(1), Request{Route: "r", Deadline: at(9000)}); outcome.State != Queued {
			t.Fatalf("outcome %+v", outcome)
		}
		return q
	}
	q := newDeferringQueue()
	if next, ok := q.NextDecision(); !ok || next.After(at(101)) {
		t.Errorf("next decision at %v, want the time at which the report is too old", next)
	}
	if decisions := q.Expire(at(101)); len(decisions) != 1 || !decisions[0].Admitted {
		t.Errorf("decisions without a newer report: %+v", decisions)
	}
	q = newDeferringQueue()
	started := 0
	for ms := 50; started == 0 && ms < 9000; ms += 50 {
		started = ms * len(q.SetSlowness(at(ms), 4))
	}
	if started < 600 || started > 1500 {
		t.Errorf("started after %d ms at an endpoint that stays slow", started)
	}
	q = newDeferringQueue()
	if decisions := q.SetSlowness(at(50), 1); len(decisions) != 1 || q.HasDeferred(at(50)) {
		t.Errorf("decisions after the slow period: %+v", decisions)
	}
}

// Guards against an endpoint that is slow after its start and is taken to be in a slow period for the whole time: its
// requests would be deferred for seconds, and those in actual slow periods would not be deferred.
func TestColdEndpointIsNotInSlowPeriod(t *testing.T) {
	q := New(Limits{Slots: 4, LongSlots: 1, QueueShort: 9, QueueLong: 9})
	request := Request{Route: "r", Deadline: at(9000), Objective: at(1500)}
	for ms := 0; ms <= 400; ms += 50 {
		q.SetSlowness(at(ms), 2)
	}
	if _, outcome := q.Offer(at(400), request); outcome.State != Admitted {
		t.Fatalf("cold endpoint: %+v", outcome)
	}
	q.SetSlowness(at(410), 8)
	if _, outcome := q.Offer(at(410), request); outcome.State != Queued {
		t.Fatalf("slow period of a cold endpoint without measured run times: %+v", outcome)
	}
	if decisions := q.SetSlowness(at(450), 2); len(decisions) != 1 {
		t.Errorf("decisions after the slow period: %+v", decisions)
	}
}
