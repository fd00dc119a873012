package ingress

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/retry"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// The simulated load: endpoints of one region share their VMs with noisy neighbors, which slow them down for short
// periods. Requests have the objective and the service time of the users' browsing routes.
const (
	simEndpoints  = 8
	simSlots      = 8
	simObjective  = 400 * time.Millisecond
	simService    = 120 * time.Millisecond // mean of a log-normal distribution
	simSpread     = 0.4                    // standard deviation of its logarithm
	simSlowFactor = 5.0
	simSlowFor    = 300 * time.Millisecond // mean duration of a slow period
	simSlowEvery  = 4 * time.Second        // mean time between slow periods of an endpoint
	simDuration   = 120 * time.Second
	// Retry budget of the users' deployments.
	simRetryShare  = 0.2
	simRetryFloor  = 56
	simRetryWindow = 10 * time.Second
)

type simEvent struct {
	at  time.Duration
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// hedgeSim plays requests of many nodes against one service in virtual time. One set of statistics stands for all nodes.
type hedgeSim struct {
	rng    *rand.Rand
	now    time.Duration
	events simEvents
	svc    *table.Service
	gates  []simGate
	hedges bool
	budget *retry.WindowBudget

	requests, late, arrivals int
}

// simGate is the queue in front of one backend server.
type simGate struct {
	running int
	queue   []*simAttempt
	slowTo  time.Duration
}

type simRequest struct {
	startedAt time.Duration
	attempts  []*simAttempt
	answered  bool
}

type simAttempt struct {
	request  *simRequest
	endpoint int
	sentAt   time.Duration
	started  bool
	ended    bool
}

func newHedgeSim(seed uint64, hedges bool) *hedgeSim {
	s := &hedgeSim{
		rng: rand.New(rand.NewPCG(seed, 1)), gates: make([]simGate, simEndpoints), hedges: hedges,
		svc: &table.Service{Name: "katalog", Config: bundle.Service{Slots: simSlots}},
	}
	share, floor := retry.NodeShare(simRetryShare, simRetryFloor, simEndpoints)
	s.budget = retry.NewWindowBudget(simRetryWindow, share, floor)
	for range simEndpoints {
		s.svc.Endpoints = append(s.svc.Endpoints, &table.Endpoint{Slots: simSlots, Stats: &table.Stats{}})
	}
	for i := range s.svc.LocalityEnd {
		s.svc.LocalityEnd[i] = simEndpoints
	}
	return s
}

func (s *hedgeSim) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now + d, run})
}

func (s *hedgeSim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// clock returns the virtual time in the unit of table.Stats.
func (s *hedgeSim) clock() int64 { return time.Unix(1_000_000, 0).Add(s.now).UnixNano() }

// play runs the simulation at a load given as a share of all slots.
func (s *hedgeSim) play(utilization float64) {
	interval := time.Duration(float64(simService) / (utilization * simEndpoints * simSlots))
	var arrive, slow func()
	arrive = func() {
		s.requests++
		s.send(&simRequest{startedAt: s.now})
		s.after(s.exponential(interval), arrive)
	}
	slow = func() {
		g := &s.gates[s.rng.IntN(simEndpoints)]
		g.slowTo = s.now + s.exponential(simSlowFor)
		s.after(s.exponential(simSlowEvery/simEndpoints), slow)
	}
	arrive()
	slow()
	for len(s.events) > 0 && s.now < simDuration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

func (s *hedgeSim) send(r *simRequest) {
	s.budget.RecordFirstAttempt(time.Unix(0, s.clock()))
	picker, _ := balance.New("dandelionspoke")
	s.attempt(r, picker.Pick(s.clock(), s.rng, s.svc, 0, false))
	if !s.hedges {
		return
	}
	delay, ok := retry.Policy{MaxAttempts: 2}.HedgeDelay(retry.HedgeCandidate{
		Permitted: true, Idempotent: true, Number: 1, HasObjective: true, Objective: simObjective, Remaining: 5 * time.Second,
	})
	if ok {
		s.after(delay, func() { s.hedge(r) })
	}
}

func (s *hedgeSim) hedge(r *simRequest) {
	if r.answered {
		return
	}
	i := balance.PickHedge(s.clock(), s.rng, s.svc, 1<<r.attempts[0].endpoint, false)
	if i != balance.None && s.budget.SpendHedge(time.Unix(0, s.clock())) {
		s.attempt(r, i)
	}
}

func (s *hedgeSim) attempt(r *simRequest, endpoint int) {
	s.arrivals++
	a := &simAttempt{request: r, endpoint: endpoint, sentAt: s.now}
	r.attempts = append(r.attempts, a)
	balance.ObserveStart(s.svc.Endpoints[endpoint].Stats, s.clock(), false)
	s.gates[endpoint].queue = append(s.gates[endpoint].queue, a)
	s.admit(endpoint)
}

// admit starts waiting attempts while slots are free.
func (s *hedgeSim) admit(endpoint int) {
	g := &s.gates[endpoint]
	for len(g.queue) > 0 && g.running < simSlots {
		a := g.queue[0]
		g.queue = g.queue[1:]
		if a.ended {
			continue
		}
		g.running++
		a.started = true
		service := time.Duration(float64(simService) * math.Exp(simSpread*s.rng.NormFloat64()-simSpread*simSpread/2))
		if s.now < g.slowTo {
			service = time.Duration(float64(service) * simSlowFactor)
		}
		s.after(service, func() { s.end(a, balance.Success) })
	}
}

// end ends an attempt with a response, or by the cancellation of the loser.
func (s *hedgeSim) end(a *simAttempt, outcome balance.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	g, stats := &s.gates[a.endpoint], s.svc.Endpoints[a.endpoint].Stats
	if a.started {
		g.running--
	}
	balance.ObserveResult(stats, s.clock(), s.now-a.sentAt, outcome, false)
	balance.ObserveReport(stats, s.clock(), &wire.Load{InFlight: uint32(g.running), QueuedShort: uint32(len(g.queue)), ServiceTimeUs: uint32(simService.Microseconds())})
	if outcome == balance.Success {
		a.request.answered = true
		if s.now-a.request.startedAt > simObjective {
			s.late++
		}
		for _, other := range a.request.attempts {
			s.end(other, balance.Canceled)
		}
	}
	s.admit(a.endpoint)
}

// Guards against answers that come late although other endpoints have room, and against hedges that take the slots of first
// attempts in a peak. Load: noisy neighbors slow single VMs down by five times for about 300 ms, at a low and at a high
// utilization.
func TestHedgesUnderLoad(t *testing.T) {
	tests := []struct {
		name        string
		utilization float64
		// maxLateRatio is the highest allowed ratio of the late answers with hedges to those without.
		maxLateRatio float64
		// maxExtraArrivals is the highest allowed share of additional arrivals at endpoints.
		maxExtraArrivals float64
	}{
		{"calm", 0.2, 0.4, 0.1},
		{"peak", 0.9, 1.05, 0.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var requests, lateWithout, lateWith, arrivals int
			for seed := range uint64(4) {
				without, with := newHedgeSim(seed, false), newHedgeSim(seed, true)
				without.play(test.utilization)
				with.play(test.utilization)
				lateWithout += without.late * with.requests
				lateWith += with.late * without.requests
				arrivals, requests = arrivals+with.arrivals, requests+with.requests
			}
			ratio, extra := float64(lateWith)/float64(lateWithout), float64(arrivals)/float64(requests)-1
			t.Logf("late answers with and without hedges: ratio %.2f; %.1f%% additional arrivals", ratio, 100*extra)
			if ratio > test.maxLateRatio || extra > test.maxExtraArrivals {
				t.Errorf("ratio of late answers %.2f, want at most %.2f; additional arrivals %.3f, want at most %.3f",
					ratio, test.maxLateRatio, extra, test.maxExtraArrivals)
			}
		})
	}
}
