package measure

import (
	"time"

	"dandelionspoke/internal/admission"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// answer is what an attempt ends with.
type answer struct {
	ok      bool
	refused verdict.Reason // not empty: the request did not run
	load    *wire.Load     // nil from a baseline
}

// gate stands before one backend server.
type gate interface {
	// offer takes an attempt and calls a.reply once it has ended.
	offer(a *attempt)
	load() *wire.Load
}

// fifoGate is the baseline: one queue in the backend server, bounded by its connections.
type fifoGate struct {
	backend *backend
	waiting []*attempt
}

func (g *fifoGate) load() *wire.Load { return nil }

func (g *fifoGate) offer(a *attempt) {
	w := g.backend.sim.workload
	if g.backend.running+len(g.waiting) >= w.Connections {
		a.reply(answer{refused: verdict.QueueFull})
		return
	}
	a.enqueued(g.backend)
	g.waiting = append(g.waiting, a)
	g.startNext()
}

func (g *fifoGate) startNext() {
	for len(g.waiting) > 0 && g.backend.running < g.backend.sim.workload.Slots {
		a := g.waiting[0]
		g.waiting = g.waiting[1:]
		a.dequeued(g.backend)
		g.backend.run(a, func(ok bool, _ time.Duration) {
			a.reply(answer{ok: ok})
			g.startNext()
		})
	}
}

// admissionGate puts the product's admission queue before the backend server.
type admissionGate struct {
	backend *backend
	queue   *admission.Queue
	waiting map[admission.Ticket]*attempt
	timerAt int64
}

func newAdmissionGate(b *backend, config bundle.Service) *admissionGate {
	return &admissionGate{
		backend: b,
		queue:   admission.New(admission.LimitsOf(config)),
		waiting: make(map[admission.Ticket]*attempt),
	}
}

func (g *admissionGate) load() *wire.Load { return g.queue.Load() }

func (g *admissionGate) offer(a *attempt) {
	now := g.backend.sim.loop.time()
	r := a.request.route
	ticket, outcome := g.queue.Offer(now, admission.Request{
		Route: r.name, Long: r.declaredLong, Priority: r.priority, Deadline: now.Add(a.remaining), MaxWait: a.maxWait,
	})
	g.decide(outcome.Decisions)
	switch outcome.State {
	case admission.Admitted:
		a.enqueued(g.backend)
		g.start(ticket, a)
	case admission.Queued:
		a.enqueued(g.backend)
		g.waiting[ticket] = a
	case admission.Refused:
		a.reply(answer{refused: outcome.Reason, load: g.load()})
	}
	g.setTimer()
}

func (g *admissionGate) decide(grants []admission.Decision) {
	for _, grant := range grants {
		a := g.waiting[grant.Ticket]
		delete(g.waiting, grant.Ticket)
		if grant.Admitted {
			g.start(grant.Ticket, a)
			continue
		}
		a.dequeued(g.backend)
		a.reply(answer{refused: grant.Reason, load: g.load()})
	}
}

func (g *admissionGate) start(ticket admission.Ticket, a *attempt) {
	a.dequeued(g.backend)
	g.backend.run(a, func(ok bool, ran time.Duration) {
		measured := ran
		if !ok {
			measured = 0
		}
		grants := g.queue.Release(g.backend.sim.loop.time(), ticket, measured)
		a.reply(answer{ok: ok, load: g.load()})
		g.decide(grants)
		g.setTimer()
	})
}

// setTimer calls Expire at the next time at which it may decide a waiter.
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
		g.decide(g.queue.Expire(l.time()))
		g.setTimer()
	})
}
