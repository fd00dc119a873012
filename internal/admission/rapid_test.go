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

// model mirrors a Queue from the outside: what was offered and what was decided.
type model struct {
	t       *rapid.T
	queue   *Queue
	now     time.Time
	limits  Limits
	waiting map[Ticket]Request
	running map[Ticket]bool // value: long
	decided map[Ticket]bool
	long    map[Ticket]bool
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

func (m *model) decide(ticket Ticket) {
	if m.decided[ticket] {
		m.t.Fatalf("ticket %d decided twice", ticket)
	}
	m.decided[ticket] = true
}

func (m *model) apply(grants []Decision) {
	for _, g := range grants {
		request, ok := m.waiting[g.Ticket]
		if !ok {
			m.t.Fatalf("grant for ticket %d, which does not wait", g.Ticket)
		}
		delete(m.waiting, g.Ticket)
		m.decide(g.Ticket)
		if !g.Admitted {
			if g.Reason == "" {
				m.t.Fatalf("ticket %d refused without a reason", g.Ticket)
			}
			continue
		}
		if !request.Deadline.After(m.now) {
			m.t.Fatalf("ticket %d started after its deadline", g.Ticket)
		}
		m.running[g.Ticket] = m.long[g.Ticket]
	}
}

func (m *model) offer() {
	request := Request{
		Route:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "route"),
		Long:     rapid.IntRange(0, 3).Draw(m.t, "long") == 0,
		Priority: rapid.IntRange(0, 7).Draw(m.t, "priority"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 300).Draw(m.t, "deadline")) * time.Millisecond),
	}
	ticket, outcome := m.queue.Offer(m.now, request)
	m.apply(outcome.Decisions)
	if request.Long && !outcome.Long {
		m.t.Fatalf("declared long request treated as short")
	}
	switch outcome.State {
	case Refused:
		if ticket != 0 || outcome.Reason == "" {
			m.t.Fatalf("refusal with ticket %d, reason %q", ticket, outcome.Reason)
		}
		return
	case Admitted:
		m.decide(ticket)
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
	ran := time.Duration(rapid.IntRange(0, 100).Draw(m.t, "ran")) * time.Millisecond
	delete(m.running, ticket)
	m.apply(m.queue.Release(m.now, ticket, ran))
}

func (m *model) cancel() {
	ticket, ok := m.drawTicket(sortedTickets(m.waiting, m.queue.lastTicket))
	if !ok {
		return
	}
	delete(m.waiting, ticket)
	m.decide(ticket)
	m.apply(m.queue.Cancel(m.now, ticket))
}

func (m *model) stateSlowness() {
	slowness := rapid.SampledFrom([]float64{0.5, 1, 4, 20}).Draw(m.t, "slowness")
	m.apply(m.queue.SetSlowness(m.now, slowness))
}

func (m *model) advance() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(m.t, "ms")) * time.Millisecond)
	m.apply(m.queue.Expire(m.now))
}

func (m *model) check() {
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
			m.t.Fatalf("ticket %d waits after its deadline", ticket)
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
		m.t.Fatalf("load %v, want %d waiting, %d short: a waiter was lost", load, len(m.waiting), waitingShort)
	}
	if next, ok := m.queue.NextDecision(); ok != (len(m.waiting) > 0) || (ok && !next.After(m.now)) {
		m.t.Fatalf("next decision %v, %v at %v with %d waiting: a timer would spin", next, ok, m.now, len(m.waiting))
	}
	// Short work may wait beside free slots only for the end of a slow spell.
	for ticket := range m.waiting {
		if !m.long[ticket] && len(m.running) < m.limits.Slots && !m.queue.holds(m.now, m.queue.entries[ticket]) {
			m.t.Fatalf("short work waits beside %d free slots", m.limits.Slots-len(m.running))
		}
	}
}

// Guards against lost waiters, double decisions, slots above the limits and idle slots beside waiting
// short work, over random sequences of operations.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		steps := []func(){m.offer, m.offer, m.offer, m.release, m.release, m.cancel, m.advance, m.stateSlowness}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			m.check()
		}
		m.now = m.now.Add(time.Hour)
		m.apply(m.queue.Expire(m.now))
		for _, ticket := range sortedTickets(m.running, m.queue.lastTicket) {
			m.apply(m.queue.Release(m.now, ticket, time.Millisecond))
		}
		if len(m.waiting) != 0 || !m.queue.Idle() {
			t.Fatalf("%d waiters left undecided", len(m.waiting))
		}
	})
}

// Guards against long work that delays short work without bound: the slots above LongSlots serve short
// work alone, so the wait is at most the short work ahead divided by those slots, whatever long work is offered.
func TestShortStartsWithinBoundedLongInterference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shortRun, longRun = 10 * time.Millisecond, 500 * time.Millisecond
		slots := rapid.IntRange(2, 12).Draw(t, "slots")
		longSlots := rapid.IntRange(1, slots-1).Draw(t, "longSlots")
		q := New(Limits{Slots: slots, LongSlots: longSlots, QueueShort: 20, QueueLong: 50})
		simulation := interference{q: q, now: start, ends: map[Ticket]time.Time{}, runs: map[Ticket]time.Duration{}}
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

type interference struct {
	q    *Queue
	now  time.Time
	ends map[Ticket]time.Time
	runs map[Ticket]time.Duration
}

func (s *interference) offer(r Request, run time.Duration) {
	ticket, outcome := s.q.Offer(s.now, r)
	if outcome.State == Refused {
		return
	}
	s.runs[ticket] = run
	if outcome.State == Admitted {
		s.ends[ticket] = s.now.Add(run)
	}
}

func (s *interference) runUntilNoShortWaits() {
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
		for _, grant := range s.q.Release(s.now, next, s.runs[next]) {
			if grant.Admitted {
				s.ends[grant.Ticket] = s.now.Add(s.runs[grant.Ticket])
			}
		}
	}
}
