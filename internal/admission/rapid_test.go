package admission

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260101")
	}
	os.Exit(m.Run())
}

// model is a reference model of a Queue, built from the offers made to it and the decisions that it returned.
type model struct {
	t       *rapid.T
	queue   *Queue
	now     time.Time
	limits  Limits
	waiting map[Ticket]Request
	running map[Ticket]bool // value: whether the request is long
	decided map[Ticket]bool
	long    map[Ticket]bool
	// accounts makes the model draw objectives, accounts and returning callers; beforeOffer is called with each new request.
	objectives, accounts bool
	beforeOffer          func(e *entry)
}

func newModel(t *rapid.T) *model {
	limits := Limits{
		Slots:      rapid.IntRange(1, 6).Draw(t, "slots"),
		LongSlots:  rapid.IntRange(0, 6).Draw(t, "longSlots"),
		QueueShort: rapid.IntRange(0, 6).Draw(t, "queueShort"),
		QueueLong:  rapid.IntRange(0, 4).Draw(t, "queueLong"),
	}
	return &model{
		t: t, queue: New(limits), now: start, limits: limits.normalized(),
		waiting: map[Ticket]Request{}, running: map[Ticket]bool{}, decided: map[Ticket]bool{}, long: map[Ticket]bool{},
	}
}

func (m *model) markDecided(ticket Ticket) {
	if m.decided[ticket] {
		m.t.Fatalf("ticket %d decided twice", ticket)
	}
	m.decided[ticket] = true
}

func (m *model) applyDecisions(decisions []Decision) {
	for _, decision := range decisions {
		request, ok := m.waiting[decision.Ticket]
		if !ok {
			m.t.Fatalf("decision on ticket %d, which is not waiting", decision.Ticket)
		}
		delete(m.waiting, decision.Ticket)
		m.markDecided(decision.Ticket)
		if !decision.Admitted {
			if decision.Reason == "" {
				m.t.Fatalf("ticket %d refused without a reason", decision.Ticket)
			}
			continue
		}
		if !request.Deadline.After(m.now) {
			m.t.Fatalf("ticket %d started after its deadline", decision.Ticket)
		}
		m.running[decision.Ticket] = m.long[decision.Ticket]
	}
}

func (m *model) offer() {
	request := Request{
		Route:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "route"),
		Long:     rapid.IntRange(0, 3).Draw(m.t, "long") == 0,
		Priority: rapid.IntRange(0, 7).Draw(m.t, "priority"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 300).Draw(m.t, "deadline")) * time.Millisecond),
	}
	if m.objectives && rapid.Bool().Draw(m.t, "objective") {
		request.Objective = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(m.t, "objectiveMS")) * time.Millisecond)
	}
	if m.accounts {
		request.Account = rapid.SampledFrom([]string{"", "small", "large", "huge"}).Draw(m.t, "account")
		request.AccountWeight = map[string]float64{"small": 1, "large": 10, "huge": 300}[request.Account]
		request.Returning = rapid.IntRange(0, 4).Draw(m.t, "returning") == 0
	}
	if m.beforeOffer != nil {
		m.beforeOffer(&entry{request: request, offered: m.now, ticket: m.queue.lastTicket + 1})
	}
	ticket, outcome := m.queue.Offer(m.now, request)
	m.applyDecisions(outcome.Decisions)
	if request.Long && !outcome.Long {
		m.t.Fatalf("request declared long is handled as short")
	}
	switch outcome.State {
	case Refused:
		if ticket != 0 || outcome.Reason == "" {
			m.t.Fatalf("refusal with ticket %d, reason %q", ticket, outcome.Reason)
		}
		return
	case Admitted:
		m.markDecided(ticket)
		m.running[ticket] = outcome.Long
	case Queued:
		m.waiting[ticket] = request
	}
	m.long[ticket] = outcome.Long
}

func (m *model) drawTicket(from []Ticket) (Ticket, bool) {
	if len(from) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(from).Draw(m.t, "ticket"), true
}

func sortedTickets[V any](set map[Ticket]V, last Ticket) []Ticket {
	var list []Ticket
	for t := Ticket(1); t <= last; t++ {
		if _, ok := set[t]; ok {
			list = append(list, t)
		}
	}
	return list
}

func (m *model) release() {
	ticket, ok := m.drawTicket(sortedTickets(m.running, m.queue.lastTicket))
	if !ok {
		return
	}
	runTime := time.Duration(rapid.IntRange(0, 100).Draw(m.t, "ran")) * time.Millisecond
	delete(m.running, ticket)
	m.applyDecisions(m.queue.Release(m.now, ticket, runTime))
}

func (m *model) cancel() {
	ticket, ok := m.drawTicket(sortedTickets(m.waiting, m.queue.lastTicket))
	if !ok {
		return
	}
	delete(m.waiting, ticket)
	m.markDecided(ticket)
	m.applyDecisions(m.queue.Cancel(m.now, ticket))
}

func (m *model) reportSlowness() {
	slowness := rapid.SampledFrom([]float64{0.5, 1, 4, 20}).Draw(m.t, "slowness")
	m.applyDecisions(m.queue.SetSlowness(m.now, slowness))
}

func (m *model) advance() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(m.t, "ms")) * time.Millisecond)
	m.applyDecisions(m.queue.Expire(m.now))
}

func (m *model) checkInvariants() {
	runningLong, waitingShort := 0, 0
	for _, isLong := range m.running {
		if isLong {
			runningLong++
		}
	}
	for ticket, request := range m.waiting {
		if !m.long[ticket] {
			waitingShort++
		}
		if !request.Deadline.After(m.now) {
			m.t.Fatalf("ticket %d is still waiting after its deadline", ticket)
		}
	}
	load := m.queue.Load()
	if len(m.running) > m.limits.Slots || runningLong > m.limits.LongSlots {
		m.t.Fatalf("%d running, %d long; limits %+v", len(m.running), runningLong, m.limits)
	}
	if int(load.InFlight) != len(m.running) || int(load.InFlightLong) != runningLong {
		m.t.Fatalf("load %v, want %d in flight, %d long", load, len(m.running), runningLong)
	}
	if int(load.QueuedShort+load.QueuedLong) != len(m.waiting) || int(load.QueuedShort) != waitingShort {
		m.t.Fatalf("load %v, want %d waiting, %d short: a waiting request was lost", load, len(m.waiting), waitingShort)
	}
	if next, ok := m.queue.NextDecision(); ok != (len(m.waiting) > 0) || (ok && !next.After(m.now)) {
		m.t.Fatalf("next decision %v, %v at %v with %d waiting: a timer would loop", next, ok, m.now, len(m.waiting))
	}
	// A short request may wait while slots are free only if it is deferred to the end of a slow period.
	for ticket := range m.waiting {
		if !m.long[ticket] && len(m.running) < m.limits.Slots && !m.queue.defersStart(m.now, m.queue.entries[ticket]) {
			m.t.Fatalf("a short request waits while %d slots are free", m.limits.Slots-len(m.running))
		}
	}
}

// Guards against lost requests, requests decided twice, more running requests than the limits permit and free slots
// while short requests wait, over random sequences of operations.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newModel(t).play() })
}

// play plays random operations, checks the invariants after each, and ends all requests.
func (m *model) play() {
	steps := []func(){m.offer, m.offer, m.offer, m.release, m.release, m.cancel, m.advance, m.reportSlowness}
	for range rapid.IntRange(1, 120).Draw(m.t, "steps") {
		steps[rapid.IntRange(0, len(steps)-1).Draw(m.t, "step")]()
		m.checkInvariants()
	}
	m.now = m.now.Add(time.Hour)
	m.applyDecisions(m.queue.Expire(m.now))
	for _, ticket := range sortedTickets(m.running, m.queue.lastTicket) {
		m.applyDecisions(m.queue.Release(m.now, ticket, time.Millisecond))
	}
	if len(m.waiting) != 0 || !m.queue.Idle() {
		m.t.Fatalf("%d waiting requests left undecided", len(m.waiting))
	}
}

// Guards against long requests that delay short requests without bound: the slots beyond LongSlots serve only short
// requests, so the wait is at most the run time of the short requests ahead divided by the number of those slots,
// however many long requests are offered.
func TestLongRequestsDelayShortWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shortRun, longRun = 10 * time.Millisecond, 500 * time.Millisecond
		slots := rapid.IntRange(2, 12).Draw(t, "slots")
		longSlots := rapid.IntRange(1, slots-1).Draw(t, "longSlots")
		q := New(Limits{Slots: slots, LongSlots: longSlots, QueueShort: 20, QueueLong: 50})
		simulation := interferenceSimulation{q: q, now: start, ends: map[Ticket]time.Time{}, runs: map[Ticket]time.Duration{}}
		for range rapid.IntRange(1, 50).Draw(t, "long") {
			simulation.offer(Request{Route: "archive", Long: true}, longRun)
		}
		waiting := rapid.IntRange(1, 20).Draw(t, "short")
		for range slots + waiting {
			simulation.offer(Request{Route: "browse"}, shortRun)
		}
		simulation.runUntilNoShortWaits()
		rounds := (slots+waiting)/(slots-longSlots) + 1
		if limit := time.Duration(rounds) * shortRun; simulation.now.Sub(start) > limit {
			t.Fatalf("last short request started after %v, limit %v", simulation.now.Sub(start), limit)
		}
	})
}

type interferenceSimulation struct {
	q    *Queue
	now  time.Time
	ends map[Ticket]time.Time
	runs map[Ticket]time.Duration
}

func (s *interferenceSimulation) offer(r Request, run time.Duration) {
	ticket, outcome := s.q.Offer(s.now, r)
	if outcome.State == Refused {
		return
	}
	s.runs[ticket] = run
	if outcome.State == Admitted {
		s.ends[ticket] = s.now.Add(run)
	}
}

func (s *interferenceSimulation) runUntilNoShortWaits() {
	for s.q.Load().QueuedShort > 0 {
		var next Ticket
		for ticket := Ticket(1); ticket <= s.q.lastTicket; ticket++ {
			end, running := s.ends[ticket]
			if running && (next == 0 || end.Before(s.ends[next])) {
				next = ticket
			}
		}
		s.now = s.ends[next]
		delete(s.ends, next)
		for _, decision := range s.q.Release(s.now, next, s.runs[next]) {
			if decision.Admitted {
				s.ends[decision.Ticket] = s.now.Add(s.runs[decision.Ticket])
			}
		}
	}
}
