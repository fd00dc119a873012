package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// backend is a simulated backend server: each request holds a slot for a random service time.
type backend struct {
	sim   *simulation
	index int
	rng   *rand.Rand

	running     int
	runningLong int
	// longBusyTotal is the total time up to longBusyUpdatedAt in which at least one long request held a slot.
	longBusyTotal     time.Duration
	longBusyUpdatedAt int64

	speed speedProfile
}

func newBackend(s *simulation, index int) *backend {
	b := &backend{sim: s, index: index, rng: s.newRand()}
	b.speed = newSpeedProfile(s.config.Duration+drainTime(s.workload), s.newRand(), func(at time.Duration) float64 {
		return s.scenario.slowdown(s.config.Duration, at, index)
	})
	return b
}

// run executes the request of a in a free slot and calls done when it ends.
func (b *backend) run(a *attempt, done func(ok bool, duration time.Duration)) {
	b.setRunning(+1, a.request.route.trulyLong)
	if b.running > b.sim.workload.Slots {
		panic(fmt.Sprintf("measure: backend server %d is running %d requests with only %d slots", b.index, b.running, b.sim.workload.Slots))
	}
	duration, ok := b.serviceDuration(a), true
	if b.failing() {
		duration, ok = failureLatency, false
	}
	b.sim.loop.after(duration, func() {
		b.setRunning(-1, a.request.route.trulyLong)
		done(ok, duration)
	})
}

func (b *backend) setRunning(delta int, long bool) {
	b.longBusyTotal = b.longBusyTime()
	b.longBusyUpdatedAt = b.sim.loop.now
	b.running += delta
	if long {
		b.runningLong += delta
	}
}

// longBusyTime returns the total time so far in which at least one long request held a slot.
func (b *backend) longBusyTime() time.Duration {
	if b.runningLong == 0 {
		return b.longBusyTotal
	}
	return b.longBusyTotal + time.Duration(b.sim.loop.now-b.longBusyUpdatedAt)
}

func (b *backend) failing() bool {
	s := b.sim
	return s.scenario.Failing != nil && s.scenario.Failing(s.config.Duration, s.loop.elapsed(), b.index)
}

// serviceDuration returns how long a request that starts now runs, with the slowdowns during its run.
func (b *backend) serviceDuration(a *attempt) time.Duration {
	now := b.sim.loop.elapsed()
	return b.speed.finishTime(now, b.sim.workload.serviceTime(a.request.route, b.rng)) - now
}
