package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// backend is a fake backend server: it runs requests in slots for a drawn time.
type backend struct {
	sim   *simulation
	index int
	rng   *rand.Rand

	running     int
	runningLong int
	// longTime is the total time during which at least one archive pull held a slot, up to longAt.
	longTime time.Duration
	longAt   int64

	speed speedCurve
}

func newBackend(s *simulation, index int) *backend {
	b := &backend{sim: s, index: index, rng: s.newRand()}
	b.speed = newSpeedCurve(s.config.Duration+drainTime(s.workload), s.newRand(), func(at time.Duration) float64 {
		if s.scenario.Slowdown == nil {
			return 1
		}
		return s.scenario.Slowdown(s.config.Duration, at, index)
	})
	return b
}

// run works on the request of a and calls done when it ends.
func (b *backend) run(a *attempt, done func(ok bool, ran time.Duration)) {
	b.setRunning(+1, a.request.route.trulyLong)
	if b.running > b.sim.workload.Slots {
		panic(fmt.Sprintf("measure: backend server %d runs %d requests in %d slots", b.index, b.running, b.sim.workload.Slots))
	}
	ran, ok := b.duration(a), true
	if b.failing() {
		ran, ok = failAfter, false
	}
	b.sim.loop.after(ran, func() {
		b.setRunning(-1, a.request.route.trulyLong)
		done(ok, ran)
	})
}

func (b *backend) setRunning(change int, long bool) {
	b.longTime = b.longHeld()
	b.longAt = b.sim.loop.now
	b.running += change
	if long {
		b.runningLong += change
	}
}

// longHeld returns the total time until now during which an archive pull held a slot.
func (b *backend) longHeld() time.Duration {
	if b.runningLong == 0 {
		return b.longTime
	}
	return b.longTime + time.Duration(b.sim.loop.now-b.longAt)
}

func (b *backend) failing() bool {
	s := b.sim
	return s.scenario.Failing != nil && s.scenario.Failing(s.config.Duration, s.loop.elapsed(), b.index)
}

// duration is how long a request that starts now takes at the changing speed of the backend server.
func (b *backend) duration(a *attempt) time.Duration {
	now := b.sim.loop.elapsed()
	return b.speed.finish(now, b.sim.workload.serviceTime(a.request.route, b.rng)) - now
}
