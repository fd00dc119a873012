package measure

import (
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// response is the result of an attempt.
type response struct {
	ok      bool
	refused verdict.Reason // set if the request was refused and did not run
	load    *wire.Load     // nil from a baseline
}

// gate decides which requests run on one backend server, and when.
type gate interface {
	// offer runs, queues or refuses an attempt, and calls a.reply when it has ended.
	offer(a *attempt)
	load() *wire.Load
}

// fifoGate is the gate of the baselines: one FIFO queue in the backend server, bounded by its connections.
type fifoGate struct {
	backend *backend
	waiting []*attempt
}

func (g *fifoGate) load() *wire.Load { return nil }

func (g *fifoGate) offer(a *attempt) {
	w := g.backend.sim.workload
	if g.backend.running+len(g.waiting) >= w.Connections {
		a.reply(response{refused: verdict.QueueFull})
		return
	}
	a.startWait(g.backend)
	g.waiting = append(g.waiting, a)
	g.startNext()
}

func (g *fifoGate) startNext() {
	for len(g.waiting) > 0 && g.backend.running < g.backend.sim.workload.Slots {
		a := g.waiting[0]
		g.waiting = g.waiting[1:]
		a.endWait(g.backend)
		g.backend.run(a, func(ok bool, _ time.Duration) {
			a.reply(response{ok: ok})
			g.startNext()
		})
	}
}

// admissionGate puts dandelionspoke's admission queue in front of the backend server.
type admissionGate struct {
	backend *backend
	queue   *admission.Queue
	waiting map[admission.Ticket]*attempt
	timerAt int64 // virtual time of the pending timer; 0 if none
}

func newAdmissionGate(b *backend, config bundle.Service) *admissionGate {
	return &admissionGate{
		backend: b,
		queue:   admission.New(admission.LimitsOf(config)),
		waiting: make(map[admission.Ticket]*attempt),
	}
}

// load returns the load report, with the service time at the reported slowness, as the gate does.
func (g *admissionGate) load() *wire.Load {
	l := g.queue.Load()
	if slowness := g.slowness(); slowness > 1 {
		l.ServiceTimeUs = uint32(float64(l.ServiceTimeUs) * slowness)
	}
	return l
}

// slowness returns the slowness that the backend server reports, 0 if it reports none.
func (g *admissionGate) slowness() float64 {
	s := g.backend.sim
	if !s.scenario.ReportsSlowness {
		return 0
	}
	return s.scenario.slowdown(s.config.Duration, s.loop.elapsed(), g.backend.index)
}

func (g *admissionGate) offer(a *attempt) {
	now := g.backend.sim.loop.time()
	r := a.request.route
	ticket, outcome := g.queue.Offer(now, admission.Request{
		Route: r.name, Long: r.declaredLong, Priority: r.priority, Deadline: now.Add(a.remaining), MaxWait: a.maxWait,
		Slowness: g.slowness(),
	})
	g.applyDecisions(outcome.Decisions)
	switch outcome.State {
	case admission.Admitted:
		a.startWait(g.backend)
		g.start(ticket, a)
	case admission.Queued:
		a.startWait(g.backend)
		g.waiting[ticket] = a
	case admission.Refused:
		a.reply(response{refused: outcome.Reason, load: g.load()})
	}
	g.setTimer()
}

func (g *admissionGate) applyDecisions(decisions []admission.Decision) {
	for _, decision := range decisions {
		a := g.waiting[decision.Ticket]
		delete(g.waiting, decision.Ticket)
		if decision.Admitted {
			g.start(decision.Ticket, a)
			continue
		}
		a.endWait(g.backend)
		a.reply(response{refused: decision.Reason, load: g.load()})
	}
}

func (g *admissionGate) start(ticket admission.Ticket, a *attempt) {
	a.endWait(g.backend)
	g.backend.run(a, func(ok bool, duration time.Duration) {
		measured := duration
		if !ok {
			measured = 0
		}
		decisions := g.queue.Release(g.backend.sim.loop.time(), ticket, measured)
		a.reply(response{ok: ok, load: g.load()})
		g.applyDecisions(decisions)
		g.setTimer()
	})
}

// setTimer schedules a call of Expire for the next time at which it may decide a queued request.
func (g *admissionGate) setTimer() {
	next, ok := g.queue.NextDecision()
	if !ok || next.UnixNano() == g.timerAt {
		return
	}
	l := g.backend.sim.loop
	g.timerAt = next.UnixNano()
	l.after(time.Duration(g.timerAt-l.now), func() {
		if l.now == g.timerAt {
			g.timerAt = 0
		}
		g.applyDecisions(g.queue.Expire(l.time()))
		g.setTimer()
	})
}
